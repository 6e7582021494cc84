#include "relay_fragment.h"

#include "message_scan.h"
#include "msgpack_codec.h"

enum {
	/* First field; see relay.c for those of the other datagrams. */
	FRAGMENT_TYPE = 102,
	FRAGMENT_FIELDS = 5,
};

struct relay_assembler {
	int64_t id; /* of the response being received */
	unsigned count;
	unsigned received;
	GByteArray *fragments[RELAY_FRAGMENTS_MAX]; /* NULL: not received */
};

typedef struct fragment {
	int64_t id;
	int64_t index;
	int64_t count; /* of the response's fragments */
	const char *bytes;
	size_t length;
} fragment_t;

static GByteArray *
encode_fragment(const fragment_t *fragment)
{
	GByteArray *out = g_byte_array_new();
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, mp_append_bytes);
	msgpack_pack_array(&packer, FRAGMENT_FIELDS);
	msgpack_pack_int(&packer, FRAGMENT_TYPE);
	msgpack_pack_int64(&packer, fragment->id);
	msgpack_pack_int64(&packer, fragment->index);
	msgpack_pack_int64(&packer, fragment->count);
	msgpack_pack_bin(&packer, fragment->length);
	msgpack_pack_bin_body(&packer, fragment->bytes, fragment->length);
	return out;
}

GPtrArray *
relay_split(const GByteArray *response, int64_t id)
{
	GPtrArray *fragments =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
	size_t size = RELAY_FRAGMENT_MAX_BYTES;
	size_t count = (response->len + size - 1) / size;

	for (size_t i = 0; i < count; i++) {
		fragment_t fragment = {.id = id,
		    .index = (int64_t)i,
		    .count = (int64_t)count,
		    .bytes = (const char *)response->data + i * size,
		    .length = MIN(size, response->len - i * size)};

		g_ptr_array_add(fragments, encode_fragment(&fragment));
	}
	return fragments;
}

relay_assembler_t *
relay_assembler_new(void)
{
	return g_new0(relay_assembler_t, 1);
}

static void
reset(relay_assembler_t *assembler, int64_t id, unsigned count)
{
	for (unsigned i = 0; i < RELAY_FRAGMENTS_MAX; i++)
		g_clear_pointer(&assembler->fragments[i], g_byte_array_unref);
	assembler->id = id;
	assembler->count = count;
	assembler->received = 0;
}

void
relay_assembler_free(relay_assembler_t *assembler)
{
	if (assembler == NULL)
		return;
	reset(assembler, 0, 0);
	g_free(assembler);
}

static bool
read_fragment(const msgpack_object *object, fragment_t *fragment)
{
	const msgpack_object *fields;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != FRAGMENT_FIELDS)
		return false;
	fields = object->via.array.ptr;
	if (!mp_read_int64(&fields[1], &fragment->id) ||
	    !mp_read_int64(&fields[2], &fragment->index) ||
	    !mp_read_int64(&fields[3], &fragment->count) ||
	    fields[4].type != MSGPACK_OBJECT_BIN)
		return false;
	fragment->bytes = fields[4].via.bin.ptr;
	fragment->length = fields[4].via.bin.size;
	return fragment->count > 0 && fragment->count <= RELAY_FRAGMENTS_MAX &&
	       fragment->index >= 0 && fragment->index < fragment->count;
}

static void
add_fragment(relay_assembler_t *assembler, const fragment_t *fragment)
{
	GByteArray **slot;

	if (fragment->id != assembler->id ||
	    fragment->count != assembler->count)
		reset(assembler, fragment->id, (unsigned)fragment->count);
	slot = &assembler->fragments[fragment->index];
	if (*slot != NULL)
		return;
	*slot = g_byte_array_new();
	g_byte_array_append(
	    *slot, (const guint8 *)fragment->bytes, (guint)fragment->length);
	assembler->received++;
}

static GByteArray *
join_fragments(relay_assembler_t *assembler)
{
	GByteArray *response = g_byte_array_new();

	for (unsigned i = 0; i < assembler->count; i++)
		g_byte_array_append(response, assembler->fragments[i]->data,
		    assembler->fragments[i]->len);
	reset(assembler, 0, 0);
	return response;
}

/* A fragment is a fixarray that starts with its type. */
static bool
has_fragment_type(const char *bytes, size_t length)
{
	static const uint8_t fixarray = 0x90;
	const uint8_t *header = (const uint8_t *)bytes;

	return length >= 2 && header[0] == (fixarray | FRAGMENT_FIELDS) &&
	       header[1] == FRAGMENT_TYPE;
}

relay_assembly_t
relay_assemble(relay_assembler_t *assembler, const char *bytes, size_t length,
    GByteArray **response)
{
	fragment_t fragment = {0};
	msgpack_unpacked unpacked;
	size_t offset = 0;

	if (!has_fragment_type(bytes, length))
		return RELAY_NOT_A_FRAGMENT;
	msgpack_unpacked_init(&unpacked);
	if (message_well_formed(bytes, length) &&
	    msgpack_unpack_next(&unpacked, bytes, length, &offset) ==
		MSGPACK_UNPACK_SUCCESS &&
	    read_fragment(&unpacked.data, &fragment))
		add_fragment(assembler, &fragment);
	msgpack_unpacked_destroy(&unpacked);
	if (assembler->count == 0 || assembler->received < assembler->count)
		return RELAY_INCOMPLETE;
	*response = join_fragments(assembler);
	return RELAY_COMPLETE;
}
