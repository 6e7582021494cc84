#include "msgpack_codec.h"

#include <glib.h>
#include <string.h>

int
mp_append_bytes(void *data, const char *bytes, size_t length)
{
	g_byte_array_append(data, (const guint8 *)bytes, (guint)length);
	return 0;
}

void
mp_pack_string(msgpack_packer *packer, const char *text)
{
	size_t length = text == NULL ? 0 : strlen(text);

	msgpack_pack_str(packer, length);
	if (length > 0)
		msgpack_pack_str_body(packer, text, length);
}

bool
mp_read_string(const msgpack_object *object, size_t min, size_t max, char **out)
{
	const char *bytes = object->via.str.ptr;
	size_t length = object->via.str.size;

	if (object->type != MSGPACK_OBJECT_STR || length < min || length > max)
		return false;
	/* With a length given, g_utf8_validate() rejects NUL bytes too. */
	if (length > 0 && !g_utf8_validate(bytes, (gssize)length, NULL))
		return false;
	/* msgpack-c gives a NULL pointer for an empty string. */
	*out = g_strndup(length > 0 ? bytes : "", length);
	return true;
}

bool
mp_read_int64(const msgpack_object *object, int64_t *out)
{
	if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*out = object->via.i64;
		return true;
	}
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > INT64_MAX)
		return false;
	*out = (int64_t)object->via.u64;
	return true;
}

bool
mp_read_array(const msgpack_object *object, uint32_t group_size,
    const msgpack_object **members, uint32_t *group_count)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size % group_size != 0)
		return false;
	*members = object->via.array.ptr;
	*group_count = object->via.array.size / group_size;
	return true;
}
