/*
 * Events are the same however a stream is cut into pieces, and none of its
 * bytes is lost.
 */
#include "event_stream.h"
#include "oracle.h"

#include <string.h>

static GString *
read_events(const char *bytes, size_t length, size_t piece, uint64_t *events)
{
	event_stream_t *stream = event_stream_new();
	GString *out = g_string_new(NULL);
	GString *remainder;

	for (size_t from = 0; from < length; from += piece) {
		GString *taken;

		CHECK(event_stream_feed(
		    stream, bytes + from, MIN(piece, length - from)));
		taken = event_stream_take_complete(stream);
		if (taken == NULL)
			continue;
		g_string_append_len(out, taken->str, (gssize)taken->len);
		g_string_free(taken, TRUE);
	}
	*events = event_stream_event_count(stream);
	remainder = event_stream_take_remainder(stream);
	g_string_append_len(out, remainder->str, (gssize)remainder->len);
	g_string_free(remainder, TRUE);
	event_stream_free(stream);
	return out;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	uint64_t whole_events, pieces_events;
	GString *whole = read_events(
	    (const char *)bytes, length, MAX(length, 1), &whole_events);
	GString *pieces =
	    read_events((const char *)bytes, length, 1, &pieces_events);

	CHECK(whole->len == length);
	CHECK(length == 0 || memcmp(whole->str, bytes, length) == 0);
	CHECK(g_string_equal(whole, pieces));
	CHECK(whole_events == pieces_events);
	g_string_free(whole, TRUE);
	g_string_free(pieces, TRUE);
	return 0;
}
