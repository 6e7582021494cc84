#include "message.h"

#include "error.h"
#include "message_scan.h"
#include "msgpack_codec.h"

#include <msgpack.h>
#include <string.h>

enum {
	/* Longest service, team, node or host name, address or reason. */
	NAME_MAX_BYTES = 1024,
	/* A store value of up to 1 MB, and the JSON around it. */
	TEXT_MAX_BYTES = 1536 * 1024,
	REVISIONS_MAX = 4096,
	MEMBERS_MAX = 1024,
	REPORTS_MAX = 1024,
	PREFIXES_MAX = 1024,
	STATUS_MAX = 999,
	FIELDS_MAX = 9,
};

typedef enum field_kind {
	FIELD_NONE,
	FIELD_NAME,   /* char *, not empty */
	FIELD_STRING, /* char * */
	FIELD_TEXT,   /* char *, up to TEXT_MAX_BYTES */
	FIELD_BYTES,  /* char *, with its length in the next field */
	FIELD_LENGTH, /* size_t, sent with the FIELD_BYTES before it */
	FIELD_INT64,  /* int64_t, not negative */
	FIELD_COUNT,  /* unsigned */
	FIELD_STATUS, /* int, 0 to STATUS_MAX */
	FIELD_BOOL,
	FIELD_REVISIONS, /* GArray of message_revision_t */
	FIELD_MEMBERS,	 /* GArray of message_member_t */
	FIELD_REPORTS,	 /* GArray of message_engine_report_t */
} field_kind_t;

typedef struct field {
	field_kind_t kind;
	size_t offset;
} field_t;

#define FIELD(kind, member)                               \
	{                                                 \
		FIELD_##kind, offsetof(message_t, member) \
	}

/* The fields of each message in wire order. */
static const field_t layouts[][FIELDS_MAX + 1] = {
    [MESSAGE_HELLO] = {FIELD(NAME, hello.node), FIELD(NAME, hello.zone),
	FIELD(NAME, hello.http_address), FIELD(NAME, hello.peer_address),
	FIELD(INT64, hello.incarnation)},
    [MESSAGE_HEARTBEAT] = {FIELD(NAME, heartbeat.node),
	FIELD(INT64, heartbeat.sequence), FIELD(BOOL, heartbeat.draining),
	FIELD(COUNT, heartbeat.in_flight),
	FIELD(REVISIONS, heartbeat.revisions)},
    [MESSAGE_SETTINGS] = {FIELD(NAME, settings.team),
	FIELD(INT64, settings.revision), FIELD(TEXT, settings.value)},
    [MESSAGE_SETTINGS_REQUEST] = {FIELD(NAME, settings_request.team)},
    [MESSAGE_HOST_LEAVING] = {FIELD(NAME, host_leaving.host),
	FIELD(INT64, host_leaving.leave_at_ms),
	FIELD(STRING, host_leaving.source)},
    [MESSAGE_MOVE_STOP] = {FIELD(NAME, move_stop.service),
	FIELD(NAME, move_stop.move_id), FIELD(STRING, move_stop.reason)},
    [MESSAGE_MOVE_STATE] = {FIELD(STRING, move_state.service),
	FIELD(TEXT, move_state.record)},
    [MESSAGE_OUTCOME_REQUEST] = {FIELD(NAME, outcome_request.service),
	FIELD(NAME, outcome_request.key), FIELD(STRING, outcome_request.nonce)},
    [MESSAGE_OUTCOME_RESPONSE] = {FIELD(NAME, outcome_response.service),
	FIELD(NAME, outcome_response.key),
	FIELD(STRING, outcome_response.nonce),
	FIELD(BOOL, outcome_response.known),
	FIELD(STATUS, outcome_response.status),
	FIELD(BYTES, outcome_response.body),
	FIELD(LENGTH, outcome_response.body_length)},
    [MESSAGE_ZONE_SUMMARY] = {FIELD(NAME, zone_summary.zone),
	FIELD(COUNT, zone_summary.nodes), FIELD(COUNT, zone_summary.backends),
	FIELD(COUNT, zone_summary.in_flight),
	FIELD(INT64, zone_summary.sent_at_ms),
	FIELD(REVISIONS, zone_summary.revisions),
	FIELD(MEMBERS, zone_summary.members)},
    [MESSAGE_ENGINE_REPORTS] = {FIELD(REPORTS, engine_reports.list)},
};

static const field_t *
layout_of(int64_t type)
{
	if (type < MESSAGE_HELLO || type > MESSAGE_ENGINE_REPORTS)
		return NULL;
	return layouts[type];
}

static void
free_revisions(GArray *revisions)
{
	if (revisions == NULL)
		return;
	for (guint i = 0; i < revisions->len; i++)
		g_free(g_array_index(revisions, message_revision_t, i).team);
	g_array_free(revisions, TRUE);
}

void
message_member_clear(message_member_t *member)
{
	g_free(member->node);
	g_free(member->http_address);
	g_free(member->peer_address);
}

static void
free_members(GArray *members)
{
	if (members == NULL)
		return;
	for (guint i = 0; i < members->len; i++)
		message_member_clear(
		    &g_array_index(members, message_member_t, i));
	g_array_free(members, TRUE);
}

static void
free_prefixes(GArray *prefixes)
{
	if (prefixes != NULL)
		g_array_free(prefixes, TRUE);
}

static void
free_reports(GArray *reports)
{
	if (reports == NULL)
		return;
	for (guint i = 0; i < reports->len; i++) {
		message_engine_report_t *report =
		    &g_array_index(reports, message_engine_report_t, i);

		g_free(report->backend);
		free_prefixes(report->stored_prefixes);
		free_prefixes(report->evicted_prefixes);
	}
	g_array_free(reports, TRUE);
}

void
message_clear(message_t *message)
{
	const field_t *field = layout_of(message->type);

	for (; field != NULL && field->kind != FIELD_NONE; field++) {
		void *value = (char *)message + field->offset;

		switch (field->kind) {
		case FIELD_NAME:
		case FIELD_STRING:
		case FIELD_TEXT:
		case FIELD_BYTES:
			g_free(*(char **)value);
			break;
		case FIELD_REVISIONS:
			free_revisions(*(GArray **)value);
			break;
		case FIELD_MEMBERS:
			free_members(*(GArray **)value);
			break;
		case FIELD_REPORTS:
			free_reports(*(GArray **)value);
			break;
		default:
			break;
		}
	}
	memset(message, 0, sizeof(*message));
}

static void
pack_bool(msgpack_packer *packer, bool value)
{
	if (value)
		msgpack_pack_true(packer);
	else
		msgpack_pack_false(packer);
}

static void
pack_revisions(msgpack_packer *packer, const GArray *revisions)
{
	guint count = revisions == NULL ? 0 : revisions->len;

	msgpack_pack_array(packer, count);
	for (guint i = 0; i < count; i++) {
		const message_revision_t *revision =
		    &g_array_index(revisions, message_revision_t, i);

		msgpack_pack_array(packer, 2);
		mp_pack_string(packer, revision->team);
		msgpack_pack_int64(packer, revision->revision);
	}
}

static void
pack_members(msgpack_packer *packer, const GArray *members)
{
	guint count = members == NULL ? 0 : members->len;

	msgpack_pack_array(packer, count);
	for (guint i = 0; i < count; i++) {
		const message_member_t *member =
		    &g_array_index(members, message_member_t, i);

		msgpack_pack_array(packer, 6);
		mp_pack_string(packer, member->node);
		mp_pack_string(packer, member->http_address);
		mp_pack_string(packer, member->peer_address);
		msgpack_pack_int64(packer, member->incarnation);
		pack_bool(packer, member->draining);
		pack_bool(packer, member->suspect);
	}
}

static void
pack_prefixes(msgpack_packer *packer, const GArray *prefixes)
{
	guint count = prefixes == NULL ? 0 : prefixes->len;

	msgpack_pack_array(packer, count);
	for (guint i = 0; i < count; i++)
		msgpack_pack_uint64(
		    packer, g_array_index(prefixes, uint64_t, i));
}

static void
pack_reports(msgpack_packer *packer, const GArray *reports)
{
	guint count = reports == NULL ? 0 : reports->len;

	msgpack_pack_array(packer, count);
	for (guint i = 0; i < count; i++) {
		const message_engine_report_t *report =
		    &g_array_index(reports, message_engine_report_t, i);

		msgpack_pack_array(packer, 5);
		mp_pack_string(packer, report->backend);
		msgpack_pack_uint32(packer, report->running_requests);
		msgpack_pack_uint32(packer, report->waiting_requests);
		pack_prefixes(packer, report->stored_prefixes);
		pack_prefixes(packer, report->evicted_prefixes);
	}
}

static void
pack_field(
    msgpack_packer *packer, const message_t *message, const field_t *field)
{
	const void *value = (const char *)message + field->offset;
	size_t length;

	switch (field->kind) {
	case FIELD_NAME:
	case FIELD_STRING:
	case FIELD_TEXT:
		mp_pack_string(packer, *(char *const *)value);
		break;
	case FIELD_BYTES:
		length =
		    *(const size_t *)((const char *)message + field[1].offset);
		msgpack_pack_bin(packer, length);
		if (length > 0)
			msgpack_pack_bin_body(
			    packer, *(char *const *)value, length);
		break;
	case FIELD_INT64:
		msgpack_pack_int64(packer, *(const int64_t *)value);
		break;
	case FIELD_COUNT:
		msgpack_pack_uint32(packer, *(const unsigned *)value);
		break;
	case FIELD_STATUS:
		msgpack_pack_int32(packer, *(const int *)value);
		break;
	case FIELD_BOOL:
		pack_bool(packer, *(const bool *)value);
		break;
	case FIELD_REVISIONS:
		pack_revisions(packer, *(GArray *const *)value);
		break;
	case FIELD_MEMBERS:
		pack_members(packer, *(GArray *const *)value);
		break;
	case FIELD_REPORTS:
		pack_reports(packer, *(GArray *const *)value);
		break;
	case FIELD_LENGTH:
	case FIELD_NONE:
		break;
	}
}

/* Number of array items that a layout's fields take on the wire. */
static size_t
layout_item_count(const field_t *field)
{
	size_t items = 0;

	for (; field->kind != FIELD_NONE; field++)
		if (field->kind != FIELD_LENGTH)
			items++;
	return items;
}

/*
 * True if receivers accept the names. Oversized texts are detected by the
 * length of the encoded frame.
 */
static bool
names_fit(const message_t *message, const field_t *field)
{
	for (; field->kind != FIELD_NONE; field++) {
		const char *name;

		if (field->kind != FIELD_NAME && field->kind != FIELD_STRING)
			continue;
		name = *(char *const *)(const void *)((const char *)message +
						      field->offset);
		if (name == NULL || name[0] == '\0') {
			if (field->kind == FIELD_NAME)
				return false;
			continue;
		}
		if (strnlen(name, NAME_MAX_BYTES + 1) > NAME_MAX_BYTES)
			return false;
	}
	return true;
}

void
message_encode(const message_t *message, GByteArray *out)
{
	static const guint8 length_placeholder[4] = {0};
	const field_t *field = layout_of(message->type);
	guint start = out->len;
	msgpack_packer packer;
	guint32 length;

	if (field == NULL || !names_fit(message, field))
		return;
	g_byte_array_append(
	    out, length_placeholder, sizeof(length_placeholder));
	msgpack_packer_init(&packer, out, mp_append_bytes);
	msgpack_pack_array(&packer, 1 + layout_item_count(field));
	msgpack_pack_int(&packer, (int)message->type);
	for (; field->kind != FIELD_NONE; field++)
		pack_field(&packer, message, field);
	if (out->len - start - sizeof(length_placeholder) >
	    MESSAGE_FRAME_MAX_BYTES) {
		g_byte_array_set_size(out, start);
		return;
	}
	length =
	    GUINT32_TO_BE(out->len - start - (guint)sizeof(length_placeholder));
	memcpy(out->data + start, &length, sizeof(length));
}

static bool
decode_int64(const msgpack_object *object, int64_t max, int64_t *out)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > (uint64_t)max)
		return false;
	*out = (int64_t)object->via.u64;
	return true;
}

static bool
decode_bool(const msgpack_object *object, bool *out)
{
	if (object->type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	*out = object->via.boolean;
	return true;
}

static bool
is_array(const msgpack_object *object, size_t min, size_t max)
{
	return object->type == MSGPACK_OBJECT_ARRAY &&
	       object->via.array.size >= min && object->via.array.size <= max;
}

static bool
decode_revisions(const msgpack_object *object, GArray **out)
{
	if (!is_array(object, 0, REVISIONS_MAX))
		return false;
	*out = g_array_new(FALSE, TRUE, sizeof(message_revision_t));
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		const msgpack_object *pair = &object->via.array.ptr[i];
		message_revision_t revision = {0};

		if (!is_array(pair, 2, 2) ||
		    !decode_int64(&pair->via.array.ptr[1], G_MAXINT64,
			&revision.revision) ||
		    !mp_read_string(&pair->via.array.ptr[0], 1, NAME_MAX_BYTES,
			&revision.team))
			return false;
		g_array_append_val(*out, revision);
	}
	return true;
}

static bool
decode_member(const msgpack_object *object, message_member_t *member)
{
	const msgpack_object *items = object->via.array.ptr;

	return is_array(object, 6, 6) &&
	       mp_read_string(&items[0], 1, NAME_MAX_BYTES, &member->node) &&
	       mp_read_string(
		   &items[1], 1, NAME_MAX_BYTES, &member->http_address) &&
	       mp_read_string(
		   &items[2], 1, NAME_MAX_BYTES, &member->peer_address) &&
	       decode_int64(&items[3], G_MAXINT64, &member->incarnation) &&
	       decode_bool(&items[4], &member->draining) &&
	       decode_bool(&items[5], &member->suspect);
}

static bool
decode_members(const msgpack_object *object, GArray **out)
{
	if (!is_array(object, 0, MEMBERS_MAX))
		return false;
	*out = g_array_new(FALSE, TRUE, sizeof(message_member_t));
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		message_member_t member = {0};
		bool ok = decode_member(&object->via.array.ptr[i], &member);

		/* Appended even if incomplete, so that it is freed. */
		g_array_append_val(*out, member);
		if (!ok)
			return false;
	}
	return true;
}

static bool
decode_count(const msgpack_object *object, unsigned *out)
{
	int64_t number;

	if (!decode_int64(object, G_MAXUINT32, &number))
		return false;
	*out = (unsigned)number;
	return true;
}

static bool
decode_prefixes(const msgpack_object *object, GArray **out)
{
	if (!is_array(object, 0, PREFIXES_MAX))
		return false;
	*out = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		const msgpack_object *item = &object->via.array.ptr[i];

		if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		g_array_append_val(*out, item->via.u64);
	}
	return true;
}

static bool
decode_report(const msgpack_object *object, message_engine_report_t *report)
{
	const msgpack_object *items = object->via.array.ptr;

	return is_array(object, 5, 5) &&
	       mp_read_string(&items[0], 1, NAME_MAX_BYTES, &report->backend) &&
	       decode_count(&items[1], &report->running_requests) &&
	       decode_count(&items[2], &report->waiting_requests) &&
	       decode_prefixes(&items[3], &report->stored_prefixes) &&
	       decode_prefixes(&items[4], &report->evicted_prefixes);
}

static bool
decode_reports(const msgpack_object *object, GArray **out)
{
	if (!is_array(object, 0, REPORTS_MAX))
		return false;
	*out = g_array_new(FALSE, TRUE, sizeof(message_engine_report_t));
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		message_engine_report_t report = {0};
		bool ok = decode_report(&object->via.array.ptr[i], &report);

		g_array_append_val(*out, report);
		if (!ok)
			return false;
	}
	return true;
}

static bool
decode_bytes(
    const msgpack_object *object, message_t *message, const field_t *field)
{
	char **bytes = (char **)(void *)((char *)message + field->offset);
	size_t *length = (size_t *)(void *)((char *)message + field[1].offset);

	if (object->type != MSGPACK_OBJECT_BIN ||
	    object->via.bin.size > TEXT_MAX_BYTES)
		return false;
	*length = object->via.bin.size;
	/* One more byte, so that a text body is NUL-terminated. */
	*bytes = g_malloc0(*length + 1);
	if (*length > 0)
		memcpy(*bytes, object->via.bin.ptr, *length);
	return true;
}

static bool
decode_field(
    const msgpack_object *object, message_t *message, const field_t *field)
{
	void *value = (char *)message + field->offset;
	int64_t number;

	switch (field->kind) {
	case FIELD_NAME:
		return mp_read_string(object, 1, NAME_MAX_BYTES, value);
	case FIELD_STRING:
		return mp_read_string(object, 0, NAME_MAX_BYTES, value);
	case FIELD_TEXT:
		return mp_read_string(object, 0, TEXT_MAX_BYTES, value);
	case FIELD_BYTES:
		return decode_bytes(object, message, field);
	case FIELD_INT64:
		return decode_int64(object, G_MAXINT64, value);
	case FIELD_COUNT:
		return decode_count(object, value);
	case FIELD_STATUS:
		if (!decode_int64(object, STATUS_MAX, &number))
			return false;
		*(int *)value = (int)number;
		return true;
	case FIELD_BOOL:
		return decode_bool(object, value);
	case FIELD_REVISIONS:
		return decode_revisions(object, value);
	case FIELD_MEMBERS:
		return decode_members(object, value);
	case FIELD_REPORTS:
		return decode_reports(object, value);
	case FIELD_LENGTH:
	case FIELD_NONE:
		break;
	}
	return false;
}

static bool
decode_message(const msgpack_object *object, message_t *message, GError **error)
{
	const msgpack_object *items = object->via.array.ptr;
	const field_t *field;
	int64_t type;

	if (!is_array(object, 1, FIELDS_MAX + 1) ||
	    !decode_int64(&items[0], G_MAXINT32, &type)) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_FRAME,
		    "frame is not an array that starts with a message type");
		return false;
	}
	field = layout_of(type);
	if (field == NULL) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_FRAME,
		    "unknown message type %" G_GINT64_FORMAT, type);
		return false;
	}
	if (object->via.array.size != 1 + layout_item_count(field)) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_FRAME,
		    "message of type %" G_GINT64_FORMAT
		    " has %u fields instead of %zu",
		    type, object->via.array.size - 1, layout_item_count(field));
		return false;
	}
	message->type = (message_type_t)type;
	for (size_t i = 1; field->kind != FIELD_NONE; field++) {
		if (field->kind == FIELD_LENGTH)
			continue;
		if (!decode_field(&items[i], message, field)) {
			papaya_error_set(error, PAPAYA_ERROR_BAD_FRAME,
			    "message of type %" G_GINT64_FORMAT
			    ": field %zu has a wrong type or size",
			    type, i);
			return false;
		}
		i++;
	}
	return true;
}

bool
message_decode(
    const void *payload, size_t length, message_t *message, GError **error)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool ok;

	memset(message, 0, sizeof(*message));
	if (length > MESSAGE_FRAME_MAX_BYTES) {
		papaya_error_set(error, PAPAYA_ERROR_TOO_LARGE,
		    "frame of %zu bytes exceeds the maximum of %d bytes",
		    length, MESSAGE_FRAME_MAX_BYTES);
		return false;
	}
	if (length == 0 || !message_well_formed(payload, length)) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_FRAME,
		    "frame of %zu bytes is not a well-formed message", length);
		return false;
	}
	msgpack_unpacked_init(&unpacked);
	ok = msgpack_unpack_next(&unpacked, payload, length, &offset) ==
	     MSGPACK_UNPACK_SUCCESS;
	if (!ok)
		papaya_error_set(error, PAPAYA_ERROR_BAD_FRAME,
		    "frame of %zu bytes is not valid msgpack", length);
	else
		ok = decode_message(&unpacked.data, message, error);
	msgpack_unpacked_destroy(&unpacked);
	if (!ok)
		message_clear(message);
	return ok;
}
