#ifndef PAPAYA_MSGPACK_CODEC_H
#define PAPAYA_MSGPACK_CODEC_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Packing and reading of msgpack values, shared by all msgpack formats. */

/* Write callback of a msgpack_packer whose data is a GByteArray. Returns 0. */
int mp_append_bytes(void *data, const char *bytes, size_t length);

/* Packs a string; NULL as the empty string. */
void mp_pack_string(msgpack_packer *packer, const char *text);

/*
 * Copies a string of min to max bytes into *out; the caller frees it with
 * g_free(). Returns false and leaves *out alone if the object is no string, its
 * length is out of range, or it is not valid UTF-8 or contains a NUL byte.
 */
bool mp_read_string(
    const msgpack_object *object, size_t min, size_t max, char **out);

/*
 * Gives the members of an array, owned by the object, and the number of groups
 * of group_size members in it. Returns false if the object is no array, or its
 * length is not a multiple of group_size.
 */
bool mp_read_array(const msgpack_object *object, uint32_t group_size,
    const msgpack_object **members, uint32_t *group_count);

/* Returns false if the object is no integer or does not fit int64_t. */
bool mp_read_int64(const msgpack_object *object, int64_t *out);

#endif
