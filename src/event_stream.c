#include "event_stream.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum {
	EVENT_MAX_BYTES = 256 * 1024,
	EVENT_END_MAX_BYTES = 4, /* CR LF CR LF */
};

struct event_stream {
	GString *buffer;
	size_t searched; /* no event ends within these bytes of the buffer */
	char *last_id;
	uint64_t event_count;
	bool resumed;
};

event_stream_t *
event_stream_new(void)
{
	event_stream_t *stream = g_new0(event_stream_t, 1);

	stream->buffer = g_string_sized_new(512);
	return stream;
}

void
event_stream_free(event_stream_t *stream)
{
	if (stream == NULL)
		return;
	g_string_free(stream->buffer, TRUE);
	g_free(stream->last_id);
	g_free(stream);
}

bool
event_stream_feed(event_stream_t *stream, const char *bytes, size_t length)
{
	if (stream->buffer->len > EVENT_MAX_BYTES)
		return false;
	g_string_append_len(stream->buffer, bytes, (gssize)length);
	return true;
}

/* Offset after the first end of an event from an offset on; 0 if none. */
static size_t
event_end(const GString *buffer, size_t from)
{
	const char *start = buffer->str + from;
	size_t length = buffer->len - from;
	const char *lf = memmem(start, length, "\n\n", 2);
	const char *crlf = memmem(start, length, "\r\n\r\n", 4);

	if (crlf != NULL && (lf == NULL || crlf < lf))
		return (size_t)(crlf - buffer->str) + 4;
	return lf == NULL ? 0 : (size_t)(lf - buffer->str) + 2;
}

/* The event's id, newly allocated; NULL if it has none. */
static char *
event_id(const char *event, size_t length)
{
	static const char field[] = "id:";
	const char *end = event + length;

	while (event < end) {
		const char *line_end =
		    memchr(event, '\n', (size_t)(end - event));

		if (line_end == NULL)
			line_end = end;
		if ((size_t)(line_end - event) > strlen(field) &&
		    memcmp(event, field, strlen(field)) == 0) {
			char *id = g_strndup(event + strlen(field),
			    (size_t)(line_end - event) - strlen(field));

			return g_strstrip(id);
		}
		event = line_end + 1;
	}
	return NULL;
}

/* True where every line is empty or a comment. */
static bool
is_comment(const char *event, size_t length)
{
	const char *end = event + length;

	while (event < end) {
		const char *line_end =
		    memchr(event, '\n', (size_t)(end - event));

		if (*event != ':' && *event != '\r' && *event != '\n')
			return false;
		if (line_end == NULL)
			return true;
		event = line_end + 1;
	}
	return true;
}

/* True for an event that was forwarded before the stream was resumed. */
static bool
is_duplicate(const event_stream_t *stream, const char *id)
{
	char *id_end, *last_end;
	long long id_number, last_number;

	if (!stream->resumed || id == NULL || stream->last_id == NULL)
		return false;
	id_number = strtoll(id, &id_end, 10);
	last_number = strtoll(stream->last_id, &last_end, 10);
	return *id_end == '\0' && *last_end == '\0' && id_number <= last_number;
}

GString *
event_stream_take_complete(event_stream_t *stream)
{
	GString *out = NULL;
	size_t from = 0, end, unsearched;

	while ((end = event_end(stream->buffer, MAX(from, stream->searched))) !=
	       0) {
		const char *event = stream->buffer->str + from;
		char *id = event_id(event, end - from);

		if (!is_comment(event, end - from))
			stream->event_count++;
		if (!is_duplicate(stream, id)) {
			if (out == NULL)
				out = g_string_sized_new(end - from + 1);
			g_string_append_len(out, event, (gssize)(end - from));
			if (id != NULL) {
				g_free(stream->last_id);
				stream->last_id = g_strdup(id);
			}
		}
		g_free(id);
		from = end;
	}
	g_string_erase(stream->buffer, 0, (gssize)from);
	/* The buffer may end within the end of an event. */
	unsearched = MIN(stream->buffer->len, EVENT_END_MAX_BYTES - 1);
	stream->searched = stream->buffer->len - unsearched;
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
	GString *remainder = stream->buffer;

	stream->buffer = g_string_new(NULL);
	stream->searched = 0;
	return remainder;
}

void
event_stream_resume(event_stream_t *stream)
{
	g_string_truncate(stream->buffer, 0);
	stream->searched = 0;
	stream->resumed = stream->last_id != NULL;
}

const char *
event_stream_last_id(const event_stream_t *stream)
{
	return stream->last_id;
}

bool
event_stream_has_partial_event(const event_stream_t *stream)
{
	return !is_comment(stream->buffer->str, stream->buffer->len);
}
