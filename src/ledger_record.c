#include "ledger_record.h"

#include "error.h"
#include "msgpack_codec.h"

#include <msgpack.h>
#include <string.h>

enum {
	FORMAT_VERSION = 1,
	RECORD_FIELDS = 13,
	/* Upper bounds of encoded bytes, without strings and body. */
	RECORD_FIXED_SIZE = 96,
	FLOOR_FIXED_SIZE = 16,
	VALUE_FIXED_SIZE = 32,
	UUID_LENGTH = 36,
};

bool
ledger_id_equal(ledger_id_t a, ledger_id_t b)
{
	return a.high == b.high && a.low == b.low;
}

char *
ledger_id_text(ledger_id_t id)
{
	return g_strdup_printf("%016" G_GINT64_MODIFIER
			       "x%016" G_GINT64_MODIFIER "x",
	    id.high, id.low);
}

bool
ledger_id_parse(const char *text, ledger_id_t *id)
{
	uint64_t halves[2] = {0, 0};

	if (strlen(text) != 32)
		return false;
	for (size_t i = 0; i < 32; i++) {
		if (!g_ascii_isxdigit(text[i]))
			return false;
		halves[i / 16] = halves[i / 16] << 4 |
				 (uint64_t)g_ascii_xdigit_value(text[i]);
	}
	id->high = halves[0];
	id->low = halves[1];
	return true;
}

char *
ledger_record_name(const char *service, const char *key)
{
	/* Neither service nor key contains a space. */
	return g_strconcat(service, " ", key, NULL);
}

int64_t
ledger_key_time_ms(const char *key)
{
	int64_t ms = 0;

	if (strlen(key) != UUID_LENGTH)
		return LEDGER_NO_KEY_TIME;
	for (size_t i = 0; i < UUID_LENGTH; i++) {
		bool is_dash = i == 8 || i == 13 || i == 18 || i == 23;

		if (is_dash ? key[i] != '-' : !g_ascii_isxdigit(key[i]))
			return LEDGER_NO_KEY_TIME;
		if (!is_dash && i < 13)
			ms = ms << 4 | g_ascii_xdigit_value(key[i]);
	}
	if (key[14] != '7' || (g_ascii_xdigit_value(key[19]) & 0xc) != 0x8)
		return LEDGER_NO_KEY_TIME;
	return ms;
}

ledger_record_t *
ledger_record_new(const ledger_record_t *record)
{
	ledger_record_t *copy = g_new(ledger_record_t, 1);

	*copy = *record;
	copy->refs = 1;
	copy->service = g_strdup(record->service);
	copy->key = g_strdup(record->key);
	copy->node = g_strdup(record->node);
	copy->content_type = g_strdup(record->content_type);
	if (record->body != NULL)
		copy->body = g_bytes_ref(record->body);
	return copy;
}

ledger_record_t *
ledger_record_ref(ledger_record_t *record)
{
	record->refs++;
	return record;
}

void
ledger_record_unref(ledger_record_t *record)
{
	if (record == NULL || --record->refs > 0)
		return;
	g_free(record->service);
	g_free(record->key);
	g_free(record->node);
	g_free(record->content_type);
	g_bytes_unref(record->body);
	g_free(record);
}

size_t
ledger_record_size(const ledger_record_t *record)
{
	size_t size = RECORD_FIXED_SIZE;

	size += strlen(record->service) + strlen(record->key);
	size += strlen(record->node);
	if (record->content_type != NULL)
		size += strlen(record->content_type);
	if (record->body != NULL)
		size += g_bytes_get_size(record->body);
	return size;
}

static void
unref_record(void *data)
{
	ledger_record_unref(data);
}

ledger_value_t *
ledger_value_new(void)
{
	ledger_value_t *value = g_new0(ledger_value_t, 1);

	value->records = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, unref_record);
	value->floors =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	value->size = VALUE_FIXED_SIZE;
	return value;
}

void
ledger_value_free(ledger_value_t *value)
{
	if (value == NULL)
		return;
	g_hash_table_destroy(value->records);
	g_hash_table_destroy(value->floors);
	g_free(value);
}

ledger_record_t *
ledger_value_find(const ledger_value_t *value, const char *name)
{
	return g_hash_table_lookup(value->records, name);
}

void
ledger_value_remove(ledger_value_t *value, const char *name)
{
	const ledger_record_t *record = ledger_value_find(value, name);

	if (record == NULL)
		return;
	value->size -= ledger_record_size(record);
	g_hash_table_remove(value->records, name);
}

void
ledger_value_put(ledger_value_t *value, ledger_record_t *record)
{
	char *name = ledger_record_name(record->service, record->key);

	ledger_value_remove(value, name);
	value->size += ledger_record_size(record);
	g_hash_table_insert(value->records, name, record);
}

int64_t
ledger_value_floor(const ledger_value_t *value, const char *service)
{
	const int64_t *floor_ms = g_hash_table_lookup(value->floors, service);

	return floor_ms != NULL ? *floor_ms : LEDGER_NO_KEY_TIME;
}

static void
raise_floor(ledger_value_t *value, const char *service, int64_t key_time_ms)
{
	int64_t *floor_ms = g_hash_table_lookup(value->floors, service);

	if (key_time_ms == LEDGER_NO_KEY_TIME)
		return;
	if (floor_ms == NULL) {
		floor_ms = g_new(int64_t, 1);
		*floor_ms = key_time_ms;
		g_hash_table_insert(value->floors, g_strdup(service), floor_ms);
		value->size += FLOOR_FIXED_SIZE + strlen(service);
	}
	*floor_ms = MAX(*floor_ms, key_time_ms);
}

void
ledger_value_expire(ledger_value_t *value, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer data;

	g_hash_table_iter_init(&iter, value->records);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const ledger_record_t *record = data;

		if (now_ms < record->expires_at_ms)
			continue;
		raise_floor(value, record->service, record->key_time_ms);
		value->size -= ledger_record_size(record);
		g_hash_table_iter_remove(&iter);
	}
}

ledger_value_t *
ledger_value_copy(const ledger_value_t *value)
{
	ledger_value_t *copy = ledger_value_new();
	GHashTableIter iter;
	gpointer key, data;

	copy->revision = value->revision;
	g_hash_table_iter_init(&iter, value->records);
	while (g_hash_table_iter_next(&iter, &key, &data))
		g_hash_table_insert(
		    copy->records, g_strdup(key), ledger_record_ref(data));
	g_hash_table_iter_init(&iter, value->floors);
	while (g_hash_table_iter_next(&iter, &key, &data))
		raise_floor(copy, key, *(const int64_t *)data);
	copy->size = value->size;
	return copy;
}

static void
pack_id(msgpack_packer *packer, ledger_id_t id)
{
	uint64_t big_endian[2] = {
	    GUINT64_TO_BE(id.high), GUINT64_TO_BE(id.low)};

	msgpack_pack_bin(packer, sizeof(big_endian));
	msgpack_pack_bin_body(packer, big_endian, sizeof(big_endian));
}

static void
pack_record(msgpack_packer *packer, const ledger_record_t *record)
{
	gsize length = 0;
	const void *body = NULL;

	if (record->body != NULL)
		body = g_bytes_get_data(record->body, &length);
	msgpack_pack_array(packer, RECORD_FIELDS);
	mp_pack_string(packer, record->service);
	mp_pack_string(packer, record->key);
	mp_pack_string(packer, record->node);
	pack_id(packer, record->hash);
	pack_id(packer, record->nonce);
	msgpack_pack_int64(packer, record->start_ms);
	msgpack_pack_int64(packer, record->expires_at_ms);
	msgpack_pack_int64(packer, record->key_time_ms);
	msgpack_pack_int(packer, record->state);
	msgpack_pack_int(packer, record->status);
	mp_pack_string(packer, record->content_type);
	msgpack_pack_int(packer, record->body_location);
	msgpack_pack_bin(packer, length);
	msgpack_pack_bin_body(packer, body != NULL ? body : "", length);
}

GBytes *
ledger_value_encode(const ledger_value_t *value)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	GHashTableIter iter;
	gpointer key, data;
	GBytes *bytes;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_int(&packer, FORMAT_VERSION);
	msgpack_pack_map(&packer, g_hash_table_size(value->floors));
	g_hash_table_iter_init(&iter, value->floors);
	while (g_hash_table_iter_next(&iter, &key, &data)) {
		mp_pack_string(&packer, key);
		msgpack_pack_int64(&packer, *(const int64_t *)data);
	}
	msgpack_pack_array(&packer, g_hash_table_size(value->records));
	g_hash_table_iter_init(&iter, value->records);
	while (g_hash_table_iter_next(&iter, NULL, &data))
		pack_record(&packer, data);
	bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

/* Newly allocated string; NULL if not a string or if it has a NUL byte. */
static char *
unpack_text(const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_STR ||
	    (object->via.str.size > 0 && memchr(object->via.str.ptr, '\0',
					     object->via.str.size) != NULL))
		return NULL;
	return g_strndup(object->via.str.ptr, object->via.str.size);
}

static bool
unpack_id(const msgpack_object *object, ledger_id_t *id)
{
	uint64_t big_endian[2];

	if (object->type != MSGPACK_OBJECT_BIN ||
	    object->via.bin.size != sizeof(big_endian))
		return false;
	memcpy(big_endian, object->via.bin.ptr, sizeof(big_endian));
	id->high = GUINT64_FROM_BE(big_endian[0]);
	id->low = GUINT64_FROM_BE(big_endian[1]);
	return true;
}

static bool
unpack_int(const msgpack_object *object, int64_t max, int *number)
{
	int64_t value;

	if (!mp_read_int64(object, &value) || value < 0 || value > max)
		return false;
	*number = (int)value;
	return true;
}

static bool
unpack_record_fields(const msgpack_object *fields, ledger_record_t *record)
{
	int state, body_location;

	record->service = unpack_text(&fields[0]);
	record->key = unpack_text(&fields[1]);
	record->node = unpack_text(&fields[2]);
	record->content_type = unpack_text(&fields[10]);
	if (record->service == NULL || record->key == NULL ||
	    record->node == NULL || record->content_type == NULL ||
	    !unpack_id(&fields[3], &record->hash) ||
	    !unpack_id(&fields[4], &record->nonce) ||
	    !mp_read_int64(&fields[5], &record->start_ms) ||
	    !mp_read_int64(&fields[6], &record->expires_at_ms) ||
	    !mp_read_int64(&fields[7], &record->key_time_ms) ||
	    !unpack_int(&fields[8], LEDGER_UNKNOWN, &state) ||
	    !unpack_int(&fields[9], 999, &record->status) ||
	    !unpack_int(&fields[11], LEDGER_BODY_OMITTED, &body_location) ||
	    fields[12].type != MSGPACK_OBJECT_BIN)
		return false;
	record->state = (ledger_record_state_t)state;
	record->body_location = (ledger_body_location_t)body_location;
	if (fields[12].via.bin.size > 0)
		record->body = g_bytes_new(
		    fields[12].via.bin.ptr, fields[12].via.bin.size);
	return true;
}

static bool
unpack_record(const msgpack_object *object, ledger_value_t *value)
{
	ledger_record_t *record;
	char *name;
	bool is_new;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != RECORD_FIELDS)
		return false;
	record = g_new0(ledger_record_t, 1);
	record->refs = 1;
	if (!unpack_record_fields(object->via.array.ptr, record)) {
		ledger_record_unref(record);
		return false;
	}
	name = ledger_record_name(record->service, record->key);
	is_new = ledger_value_find(value, name) == NULL;
	g_free(name);
	if (is_new)
		ledger_value_put(value, record);
	else
		ledger_record_unref(record);
	return is_new;
}

static bool
unpack_floors(const msgpack_object *object, ledger_value_t *value)
{
	if (object->type != MSGPACK_OBJECT_MAP)
		return false;
	for (uint32_t i = 0; i < object->via.map.size; i++) {
		char *service = unpack_text(&object->via.map.ptr[i].key);
		int64_t key_time_ms;
		bool valid =
		    service != NULL &&
		    mp_read_int64(&object->via.map.ptr[i].val, &key_time_ms);

		if (valid)
			raise_floor(value, service, key_time_ms);
		g_free(service);
		if (!valid)
			return false;
	}
	return true;
}

static bool
unpack_value(const msgpack_object *object, ledger_value_t *value)
{
	const msgpack_object *fields = object->via.array.ptr;
	int version;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != 3 ||
	    !unpack_int(&fields[0], FORMAT_VERSION, &version) ||
	    version != FORMAT_VERSION || !unpack_floors(&fields[1], value) ||
	    fields[2].type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < fields[2].via.array.size; i++)
		if (!unpack_record(&fields[2].via.array.ptr[i], value))
			return false;
	return true;
}

ledger_value_t *
ledger_value_decode(
    const void *bytes, size_t length, int64_t revision, GError **error)
{
	ledger_value_t *value = ledger_value_new();
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool valid;

	value->revision = revision;
	msgpack_unpacked_init(&unpacked);
	valid = msgpack_unpack_next(&unpacked, bytes, length, &offset) ==
		    MSGPACK_UNPACK_SUCCESS &&
		offset == length && unpack_value(&unpacked.data, value);
	msgpack_unpacked_destroy(&unpacked);
	if (valid)
		return value;
	ledger_value_free(value);
	papaya_error_set(error, PAPAYA_ERROR_INTERNAL,
	    "value of a ledger partition is malformed (%zu bytes)", length);
	return NULL;
}
