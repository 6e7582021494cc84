#include "relay.h"

#include "message_scan.h"
#include "msgpack_codec.h"
#include "relay_fragment.h"

#include <string.h>

enum {
	/* First field of a message; that of a digest is lower. */
	REQUEST_TYPE = 100,
	RESPONSE_TYPE = 101,
	/* Without the era, as an earlier version has them. */
	REQUEST_FIELDS = 3,
	RESPONSE_FIELDS = 8,
	ITEM_FIELDS = 3,
	LOG_MAX_ITEMS = 1024,
	LOG_MAX_BYTES = 256 * 1024,
	/* Limit of the changes in a response; the rest is for the addresses. */
	RESPONSE_MAX_BYTES =
	    (RELAY_FRAGMENTS_MAX - 1) * RELAY_FRAGMENT_MAX_BYTES,
	KEY_MAX_BYTES = 200,
	CURRENT_WATCHES = 4,
	ADDRESS_MAX_BYTES = 64,
};

typedef struct change {
	char *key;
	char *value; /* NULL: removed */
	size_t length;
	int64_t revision;
} change_t;

struct relay_log {
	GQueue *changes;       /* of change_t, oldest first */
	size_t value_bytes;    /* total length of the values */
	int64_t base_revision; /* all changes after it are in the log */
};

static void
change_free(change_t *change)
{
	g_free(change->key);
	g_free(change->value);
	g_free(change);
}

bool
relay_is_current(int64_t confirmation_age_ms, int64_t watch_ms)
{
	return confirmation_age_ms < CURRENT_WATCHES * watch_ms;
}

relay_log_t *
relay_log_new(void)
{
	relay_log_t *log = g_new0(relay_log_t, 1);

	log->changes = g_queue_new();
	log->base_revision = INT64_MAX;
	return log;
}

static void
drop_oldest(relay_log_t *log)
{
	change_t *change = g_queue_pop_head(log->changes);

	log->base_revision = change->revision;
	log->value_bytes -= change->length;
	change_free(change);
}

void
relay_log_reset(relay_log_t *log, int64_t revision)
{
	while (!g_queue_is_empty(log->changes))
		drop_oldest(log);
	log->base_revision = revision;
}

void
relay_log_free(relay_log_t *log)
{
	if (log == NULL)
		return;
	relay_log_reset(log, 0);
	g_queue_free(log->changes);
	g_free(log);
}

void
relay_log_add(relay_log_t *log, const platform_item_t *item)
{
	change_t *change = g_new0(change_t, 1);

	change->key = g_strdup(item->key);
	change->revision = item->revision;
	if (!item->removed && item->value != NULL) {
		change->length = item->length;
		change->value = g_memdup2(item->value, item->length + 1);
	}
	g_queue_push_tail(log->changes, change);
	log->value_bytes += change->length;
	while (log->value_bytes > LOG_MAX_BYTES ||
	       g_queue_get_length(log->changes) > LOG_MAX_ITEMS)
		drop_oldest(log);
}

void
relay_encode_request(const relay_request_t *request, GByteArray *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, mp_append_bytes);
	msgpack_pack_array(&packer, REQUEST_FIELDS + 1);
	msgpack_pack_int(&packer, REQUEST_TYPE);
	msgpack_pack_int64(&packer, request->after_revision);
	msgpack_pack_int64(&packer, request->sent_ms);
	msgpack_pack_int64(&packer, request->era);
}

/*
 * Returns the changes after a revision that fit in a response; the log owns
 * them. Lowers *complete_revision to the last revision whose changes all fit.
 */
static GPtrArray *
select_changes(
    const relay_log_t *log, int64_t after_revision, int64_t *complete_revision)
{
	GPtrArray *selected = g_ptr_array_new();
	size_t bytes = 0;

	for (GList *link = log->changes->head; link != NULL;
	     link = link->next) {
		change_t *change = link->data;

		if (change->revision <= after_revision)
			continue;
		bytes += change->length + KEY_MAX_BYTES;
		if (bytes > RESPONSE_MAX_BYTES) {
			*complete_revision = change->revision - 1;
			break;
		}
		g_ptr_array_add(selected, change);
	}
	while (selected->len > 0) {
		const change_t *last = selected->pdata[selected->len - 1];

		if (last->revision <= *complete_revision)
			break;
		g_ptr_array_set_size(selected, (gint)selected->len - 1);
	}
	return selected;
}

static void
pack_changes(msgpack_packer *packer, const GPtrArray *changes)
{
	msgpack_pack_array(packer, changes->len * ITEM_FIELDS);
	for (guint i = 0; i < changes->len; i++) {
		const change_t *change = changes->pdata[i];

		mp_pack_string(packer, change->key);
		msgpack_pack_int64(packer, change->revision);
		if (change->value == NULL) {
			msgpack_pack_false(packer);
			continue;
		}
		msgpack_pack_bin(packer, change->length);
		msgpack_pack_bin_body(packer, change->value, change->length);
	}
}

static void
pack_addresses(msgpack_packer *packer, const GPtrArray *addresses)
{
	guint count = addresses == NULL ? 0 : addresses->len;

	msgpack_pack_array(packer, count);
	for (guint i = 0; i < count; i++)
		mp_pack_string(packer, addresses->pdata[i]);
}

void
relay_encode_response(const relay_log_t *log, const relay_request_t *request,
    const relay_state_t *state, GByteArray *out)
{
	int64_t complete_revision = state->revision;
	GPtrArray *changes =
	    select_changes(log, request->after_revision, &complete_revision);
	bool changes_missing =
	    request->era != state->era ||
	    request->after_revision < log->base_revision ||
	    (changes->len == 0 && complete_revision < state->revision);
	bool complete =
	    !changes_missing && complete_revision >= state->revision;
	/* A follower of an earlier version accepts no further field. */
	bool with_era = request->era != 0;
	msgpack_packer packer;

	if (changes_missing)
		g_ptr_array_set_size(changes, 0);
	msgpack_packer_init(&packer, out, mp_append_bytes);
	msgpack_pack_array(&packer, RESPONSE_FIELDS + with_era);
	msgpack_pack_int(&packer, RESPONSE_TYPE);
	msgpack_pack_int64(&packer, request->sent_ms);
	msgpack_pack_int64(&packer, complete_revision);
	msgpack_pack_int64(&packer, complete ? state->confirmation_age_ms : -1);
	msgpack_pack_int(&packer, state->store_unstable);
	msgpack_pack_int(&packer, changes_missing);
	pack_changes(&packer, changes);
	pack_addresses(&packer, state->client_addresses);
	if (with_era)
		msgpack_pack_int64(&packer, state->era);
	g_ptr_array_unref(changes);
}

static bool
read_item(const msgpack_object *fields, platform_item_t *item)
{
	const msgpack_object *value = &fields[2];
	char *key;

	if (!mp_read_int64(&fields[1], &item->revision) ||
	    (value->type != MSGPACK_OBJECT_BOOLEAN &&
		value->type != MSGPACK_OBJECT_BIN) ||
	    !mp_read_string(&fields[0], 1, KEY_MAX_BYTES, &key))
		return false;
	item->key = key;
	item->removed = value->type == MSGPACK_OBJECT_BOOLEAN;
	if (!item->removed) {
		item->length = value->via.bin.size;
		item->value = g_strndup(value->via.bin.ptr, item->length);
	}
	return true;
}

static bool
read_items(const msgpack_object *object, relay_response_t *response)
{
	const msgpack_object *member;
	uint32_t count;

	if (!mp_read_array(object, ITEM_FIELDS, &member, &count))
		return false;
	response->items = g_new0(platform_item_t, (gsize)count + 1);
	for (; count > 0; count--, member += ITEM_FIELDS, response->count++)
		if (!read_item(member, &response->items[response->count]))
			return false;
	return true;
}

static bool
read_addresses(const msgpack_object *object, GPtrArray *addresses)
{
	const msgpack_object *member;
	uint32_t count;
	char *address;

	if (!mp_read_array(object, 1, &member, &count))
		return false;
	for (; count > 0; count--, member++) {
		if (!mp_read_string(member, 1, ADDRESS_MAX_BYTES, &address))
			return false;
		g_ptr_array_add(addresses, address);
	}
	return true;
}

/* Reads the field behind the others, in a message that has one. */
static bool
read_era(const msgpack_object_array *message, uint32_t field, int64_t *era)
{
	return message->size == field ||
	       (mp_read_int64(&message->ptr[field], era) && *era >= 0);
}

static bool
read_request(const msgpack_object_array *message, relay_request_t *request)
{
	return mp_read_int64(&message->ptr[1], &request->after_revision) &&
	       mp_read_int64(&message->ptr[2], &request->sent_ms) &&
	       read_era(message, REQUEST_FIELDS, &request->era);
}

static bool
read_response(const msgpack_object_array *message, relay_response_t *response)
{
	const msgpack_object *fields = message->ptr;
	int64_t store_unstable, changes_missing;

	if (message->size < RESPONSE_FIELDS ||
	    !read_era(message, RESPONSE_FIELDS, &response->era) ||
	    !mp_read_int64(&fields[1], &response->request_sent_ms) ||
	    !mp_read_int64(&fields[2], &response->revision) ||
	    !mp_read_int64(&fields[3], &response->confirmation_age_ms) ||
	    !mp_read_int64(&fields[4], &store_unstable) ||
	    !mp_read_int64(&fields[5], &changes_missing))
		return false;
	response->store_unstable = store_unstable != 0;
	response->changes_missing = changes_missing != 0;
	response->client_addresses = g_ptr_array_new_with_free_func(g_free);
	return read_items(&fields[6], response) &&
	       read_addresses(&fields[7], response->client_addresses);
}

static relay_kind_t
read_message(const msgpack_object *object, relay_message_t *message)
{
	const msgpack_object_array *fields = &object->via.array;
	int64_t type;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    fields->size < REQUEST_FIELDS ||
	    !mp_read_int64(&fields->ptr[0], &type))
		return RELAY_OTHER;
	switch (type) {
	case REQUEST_TYPE:
		return read_request(fields, &message->request)
			   ? RELAY_REQUEST
			   : RELAY_MALFORMED;
	case RESPONSE_TYPE:
		return read_response(fields, &message->response)
			   ? RELAY_RESPONSE
			   : RELAY_MALFORMED;
	default:
		return RELAY_OTHER;
	}
}

/* Both messages are fixarrays that start with their type. */
static bool
has_relay_type(const char *bytes, size_t length)
{
	static const uint8_t fixarray = 0x90;
	const uint8_t *header = (const uint8_t *)bytes;

	return length >= 2 && (header[0] & 0xf0) == fixarray &&
	       (header[1] == REQUEST_TYPE || header[1] == RESPONSE_TYPE);
}

void
relay_decode(const char *bytes, size_t length, relay_message_t *message)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;

	*message = (relay_message_t){0};
	if (!has_relay_type(bytes, length))
		return;
	msgpack_unpacked_init(&unpacked);
	if (message_well_formed(bytes, length) &&
	    msgpack_unpack_next(&unpacked, bytes, length, &offset) ==
		MSGPACK_UNPACK_SUCCESS)
		message->kind = read_message(&unpacked.data, message);
	msgpack_unpacked_destroy(&unpacked);
}

void
relay_message_clear(relay_message_t *message)
{
	for (size_t i = 0; i < message->response.count; i++) {
		g_free((char *)message->response.items[i].key);
		g_free((char *)message->response.items[i].value);
	}
	g_free(message->response.items);
	if (message->response.client_addresses != NULL)
		g_ptr_array_unref(message->response.client_addresses);
}
