#ifndef PAPAYA_MSGPACK_CODEC_H
#define PAPAYA_MSGPACK_CODEC_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What the msgpack formats of this project share. */

/* Writer of a packer whose data is a GByteArray. */
int mp_append_bytes(void *data, const char *bytes, size_t length);

/* Packs text; NULL as an empty one. */
void mp_pack_string(msgpack_packer *packer, const char *text);

/*
 * Reads UTF-8 text of min to max bytes without NUL bytes into *out, newly
 * allocated; false, and nothing allocated, where the object is none.
 */
bool mp_read_string(
    const msgpack_object *object, size_t min, size_t max, char **out);

/* Members of an array whose length is a multiple of the step. */
bool mp_read_array(const msgpack_object *object, uint32_t group_size,
    const msgpack_object **members, uint32_t *group_count);

bool mp_read_int64(const msgpack_object *object, int64_t *out);

#endif
