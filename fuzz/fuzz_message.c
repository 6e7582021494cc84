#include "frame.h"
#include "message.h"

#include <stdlib.h>
#include <string.h>

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

static void
try_message(const uint8_t *payload, size_t length)
{
	message_t message;

	if (!message_decode(payload, length, &message, NULL))
		return;
	check_round_trip(&message);
	message_clear(&message);
}

/* The first byte sets how the rest is cut into feeds. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	frame_decoder_t decoder;
	frame_status_t status = FRAME_MORE;
	const uint8_t *payload;
	size_t length, step;

	if (size == 0)
		return 0;
	try_message(data + 1, size - 1);
	step = 1 + data[0];
	frame_init(&decoder, MESSAGE_FRAME_MAX);
	for (size_t at = 1; at < size && status != FRAME_BAD; at += step) {
		frame_feed(&decoder, data + at, MIN(step, size - at));
		while ((status = frame_next(
			    &decoder, &payload, &length, NULL)) == FRAME_READY)
			try_message(payload, length);
	}
	frame_clear(&decoder);
	return 0;
}
