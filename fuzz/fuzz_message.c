#include "frame.h"
#include "message.h"

#include <stdlib.h>
#include <string.h>

enum {
	TEMPLATES = 5,
	LIST_ITEMS = 3,
};

/*
 * Every accepted message must encode to a frame that decodes to the same
 * frame again; nothing may crash.
 */
static void
check_round_trip(const message_t *message)
{
	GByteArray *first = g_byte_array_new();
	GByteArray *second = g_byte_array_new();
	message_t again;

	message_encode(message, first);
	if (first->len < 4 ||
	    !message_decode(first->data + 4, first->len - 4, &again, NULL))
		abort();
	message_encode(&again, second);
	if (first->len != second->len ||
	    memcmp(first->data, second->data, first->len) != 0)
		abort();
	message_clear(&again);
	g_byte_array_unref(first);
	g_byte_array_unref(second);
}

/* Decodes a copy of the exact size, so that ASan sees a read past it. */
static void
try_message(const uint8_t *payload, size_t length)
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
fill_lists(message_t *message)
{
	GArray *revisions =
	    g_array_new(FALSE, TRUE, sizeof(message_revision_t));
	GArray *members = g_array_new(FALSE, TRUE, sizeof(message_member_t));

	for (int64_t i = 0; i < LIST_ITEMS; i++) {
		message_revision_t revision = {g_strdup("team"), i << 31};
		message_member_t member = {g_strdup("n1"), g_strdup("a:1"),
		    g_strdup("a:2"), i, i == 1, i == 2};

		g_array_append_val(revisions, revision);
		g_array_append_val(members, member);
	}
	message->type = MESSAGE_ZONE_SUM;
	message->zone_sum.zone = g_strdup("zone");
	message->zone_sum.revisions = revisions;
	message->zone_sum.members = members;
}

static void
fill_reports(message_t *message)
{
	message->type = MESSAGE_REPORTS;
	message->reports.list =
	    g_array_new(FALSE, TRUE, sizeof(message_report_t));
	for (uint64_t i = 0; i < LIST_ITEMS; i++) {
		message_report_t report = {.backend = g_strdup("team/e1"),
		    .running = 70000,
		    .stored = g_array_new(FALSE, TRUE, sizeof(uint64_t)),
		    .evicted = g_array_new(FALSE, TRUE, sizeof(uint64_t))};

		g_array_append_val(report.stored, i);
		g_array_append_val(message->reports.list, report);
	}
}

static void
fill_template(message_t *message, unsigned which)
{
	memset(message, 0, sizeof(*message));
	switch (which) {
	case 0:
		fill_lists(message);
		break;
	case 1:
		fill_reports(message);
		break;
	case 2:
		message->type = MESSAGE_HELLO;
		message->hello.node = g_strdup("n1");
		message->hello.zone = g_strdup("zone");
		message->hello.http_address = g_strdup("127.0.0.1:1");
		message->hello.peer_address = g_strdup("127.0.0.1:2");
		break;
	case 3:
		message->type = MESSAGE_OUTCOME;
		message->outcome.service = g_strdup("team/pay");
		message->outcome.key = g_strdup("key");
		message->outcome.body = g_strdup("body");
		message->outcome.length = 4;
		break;
	default:
		message->type = MESSAGE_SETTINGS;
		message->settings.team = g_strdup("team");
		message->settings.value = g_strdup("{}");
		break;
	}
}

/* A valid message with single bytes replaced: pairs of position and byte. */
static void
try_changed(const uint8_t *data, size_t size)
{
	GByteArray *frame = g_byte_array_new();
	message_t message;

	fill_template(&message, data[0] % TEMPLATES);
	message_encode(&message, frame);
	message_clear(&message);
	for (size_t at = 1; at + 1 < size; at += 2)
		frame->data[4 + data[at] % (frame->len - 4)] = data[at + 1];
	try_message(frame->data + 4, frame->len - 4);
	g_byte_array_unref(frame);
}

/* The first byte sets how the rest is cut into feeds. */
static void
try_stream(const uint8_t *data, size_t size)
{
	frame_status_t status = FRAME_MORE;
	frame_decoder_t decoder;
	const uint8_t *payload;
	size_t length, step = 1 + data[0];

	frame_init(&decoder, MESSAGE_FRAME_MAX);
	for (size_t at = 1; at < size && status != FRAME_BAD; at += step) {
		frame_feed(&decoder, data + at, MIN(step, size - at));
		while ((status = frame_next(
			    &decoder, &payload, &length, NULL)) == FRAME_READY)
			try_message(payload, length);
	}
	frame_clear(&decoder);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size == 0)
		return 0;
	try_message(data + 1, size - 1);
	try_changed(data, size);
	try_stream(data, size);
	return 0;
}
