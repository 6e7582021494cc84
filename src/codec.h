#ifndef PAPAYA_CODEC_H
#define PAPAYA_CODEC_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What the msgpack formats of this project share. */

/* Writer of a packer whose data is a GByteArray. */
int codec_append(void *data, const char *bytes, size_t length);

/* Packs text; NULL as an empty one. */
void codec_pack_text(msgpack_packer *packer, const char *text);

/*
 * Reads UTF-8 text of min to max bytes without NUL bytes into *out, newly
 * allocated; false, and nothing allocated, where the object is none.
 */
bool codec_read_text(
    const msgpack_object *object, size_t min, size_t max, char **out);

/* Members of an array whose length is a multiple of the step. */
bool codec_read_list(const msgpack_object *object, uint32_t step,
    const msgpack_object **members, uint32_t *count);

bool codec_read_int(const msgpack_object *object, int64_t *out);

#endif
