#include "frame.h"
#include "message.h"

#include <stdlib.h>
#include <string.h>

enum {
	TEMPLATE_COUNT = 5,
	LIST_ITEM_COUNT = 3,
};

/*
 * A decoded message must encode to a frame that decodes and encodes to the same
 * bytes again; nothing may crash.
 */
static void
check_round_trip(const message_t *message)
{
	GByteArray *first_frame = g_byte_array_new();
	GByteArray *second_frame = g_byte_array_new();
	message_t decoded;

	message_encode(message, first_frame);
	if (first_frame->len < 4 || !message_decode(first_frame->data + 4,
					first_frame->len - 4, &decoded, NULL))
		abort();
	message_encode(&decoded, second_frame);
	if (first_frame->len != second_frame->len ||
	    memcmp(first_frame->data, second_frame->data, first_frame->len) !=
		0)
		abort();
	message_clear(&decoded);
	g_byte_array_unref(first_frame);
	g_byte_array_unref(second_frame);
}

/* Decodes a copy of the exact size, so that ASan detects a read past it. */
static void
check_payload(const uint8_t *payload, size_t length)
{
	uint8_t *copy = g_memdup2(payload, length);
	message_t message;

	if (message_decode(copy, length, &message, NULL)) {
		check_round_trip(&message);
		message_clear(&message);
	}
	g_free(copy);
}

static void
fill_zone_summary(message_t *message)
{
	GArray *revisions =
	    g_array_new(FALSE, TRUE, sizeof(message_revision_t));
	GArray *members = g_array_new(FALSE, TRUE, sizeof(message_member_t));

	for (int64_t i = 0; i < LIST_ITEM_COUNT; i++) {
		message_revision_t revision = {g_strdup("team"), i << 31};
		message_member_t member = {g_strdup("n1"), g_strdup("a:1"),
		    g_strdup("a:2"), i, i == 1, i == 2};

		g_array_append_val(revisions, revision);
		g_array_append_val(members, member);
	}
	message->type = MESSAGE_ZONE_SUMMARY;
	message->zone_summary.zone = g_strdup("zone");
	message->zone_summary.revisions = revisions;
	message->zone_summary.members = members;
}

static void
fill_engine_reports(message_t *message)
{
	message->type = MESSAGE_ENGINE_REPORTS;
	message->engine_reports.list =
	    g_array_new(FALSE, TRUE, sizeof(message_engine_report_t));
	for (uint64_t i = 0; i < LIST_ITEM_COUNT; i++) {
		message_engine_report_t report = {
		    .backend = g_strdup("team/e1"),
		    .running_requests = 70000,
		    .stored_prefixes =
			g_array_new(FALSE, TRUE, sizeof(uint64_t)),
		    .evicted_prefixes =
			g_array_new(FALSE, TRUE, sizeof(uint64_t))};

		g_array_append_val(report.stored_prefixes, i);
		g_array_append_val(message->engine_reports.list, report);
	}
}

static void
fill_template(message_t *message, unsigned template_index)
{
	memset(message, 0, sizeof(*message));
	switch (template_index) {
	case 0:
		fill_zone_summary(message);
		break;
	case 1:
		fill_engine_reports(message);
		break;
	case 2:
		message->type = MESSAGE_HELLO;
		message->hello.node = g_strdup("n1");
		message->hello.zone = g_strdup("zone");
		message->hello.http_address = g_strdup("127.0.0.1:1");
		message->hello.peer_address = g_strdup("127.0.0.1:2");
		break;
	case 3:
		message->type = MESSAGE_OUTCOME_RESPONSE;
		message->outcome_response.service = g_strdup("team/pay");
		message->outcome_response.key = g_strdup("key");
		message->outcome_response.body = g_strdup("body");
		message->outcome_response.body_length = 4;
		break;
	default:
		message->type = MESSAGE_SETTINGS;
		message->settings.team = g_strdup("team");
		message->settings.value = g_strdup("{}");
		break;
	}
}

/* Replaces bytes of a valid message by pairs of position and value in data. */
static void
check_mutated_message(const uint8_t *data, size_t size)
{
	GByteArray *frame = g_byte_array_new();
	message_t message;

	fill_template(&message, data[0] % TEMPLATE_COUNT);
	message_encode(&message, frame);
	message_clear(&message);
	for (size_t i = 1; i + 1 < size; i += 2)
		frame->data[4 + data[i] % (frame->len - 4)] = data[i + 1];
	check_payload(frame->data + 4, frame->len - 4);
	g_byte_array_unref(frame);
}

/* Feeds data to the decoder in chunks, their length set by the first byte. */
static void
check_stream(const uint8_t *data, size_t size)
{
	frame_status_t status = FRAME_INCOMPLETE;
	frame_decoder_t decoder;
	const uint8_t *payload;
	size_t length, chunk_length = 1 + data[0];

	frame_init(&decoder, MESSAGE_FRAME_MAX_BYTES);
	for (size_t offset = 1; offset < size && status != FRAME_INVALID;
	     offset += chunk_length) {
		frame_feed(
		    &decoder, data + offset, MIN(chunk_length, size - offset));
		while ((status = frame_next(
			    &decoder, &payload, &length, NULL)) == FRAME_READY)
			check_payload(payload, length);
	}
	frame_clear(&decoder);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size == 0)
		return 0;
	check_payload(data + 1, size - 1);
	check_mutated_message(data, size);
	check_stream(data, size);
	return 0;
}
