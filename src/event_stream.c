#include "event_stream.h"

#include "sse.h"

enum { EVENT_MAX_BYTES = 256 * 1024 };

struct event_stream {
	sse_t sse;
	GString *id;	     /* of the event that is being taken */
	GString *last_id;    /* of the last one that had an id */
	int64_t last_number; /* of last_id */
	uint64_t event_count;
	bool has_last_id;
	bool resumed;
};

/* An id that is no integer from 0 to INT64_MAX. */
enum { ID_NO_NUMBER = -1 };

event_stream_t *
event_stream_new(void)
{
	event_stream_t *stream = g_new0(event_stream_t, 1);

	sse_init(&stream->sse, EVENT_MAX_BYTES);
	stream->id = g_string_new(NULL);
	stream->last_id = g_string_new(NULL);
	stream->last_number = ID_NO_NUMBER;
	return stream;
}

void
event_stream_free(event_stream_t *stream)
{
	if (stream == NULL)
		return;
	sse_clear(&stream->sse);
	g_string_free(stream->id, TRUE);
	g_string_free(stream->last_id, TRUE);
	g_free(stream);
}

bool
event_stream_feed(event_stream_t *stream, const char *bytes, size_t length)
{
	return sse_feed(&stream->sse, bytes, length);
}

static int64_t
id_number(const char *id)
{
	gint64 number;

	if (!g_ascii_string_to_signed(id, 10, 0, G_MAXINT64, &number, NULL))
		return ID_NO_NUMBER;
	return number;
}

/*
 * Notes the id of an event that has one. False for an event that was forwarded
 * before the stream was resumed.
 */
static bool
accept_id(event_stream_t *stream, const sse_value_t *id)
{
	GString *last_id = stream->last_id;
	int64_t number;

	if (id->bytes == NULL)
		return true;
	g_string_truncate(stream->id, 0);
	g_string_append_len(stream->id, id->bytes, (gssize)id->length);
	number = id_number(stream->id->str);
	if (stream->resumed && number != ID_NO_NUMBER &&
	    number <= stream->last_number)
		return false;
	stream->last_id = stream->id;
	stream->id = last_id;
	stream->last_number = number;
	stream->has_last_id = true;
	return true;
}

GString *
event_stream_take_complete(event_stream_t *stream)
{
	GString *out = NULL;
	sse_event_t event;

	while (sse_next(&stream->sse, &event)) {
		if (event.has_fields)
			stream->event_count++;
		if (!accept_id(stream, &event.id))
			continue;
		if (out == NULL)
			out = g_string_sized_new(event.length + 1);
		g_string_append_len(out, event.bytes, (gssize)event.length);
	}
	return out;
}

uint64_t
event_stream_event_count(const event_stream_t *stream)
{
	return stream->event_count;
}

GString *
event_stream_take_remainder(event_stream_t *stream)
{
	return sse_take_remainder(&stream->sse);
}

void
event_stream_resume(event_stream_t *stream)
{
	g_string_free(sse_take_remainder(&stream->sse), TRUE);
	stream->resumed = stream->has_last_id;
}

const char *
event_stream_last_id(const event_stream_t *stream)
{
	return stream->has_last_id ? stream->last_id->str : NULL;
}

bool
event_stream_has_partial_event(const event_stream_t *stream)
{
	return sse_has_partial_event(&stream->sse);
}
