#include "sse.h"

#include <string.h>

static const char data_field[] = "data:";

void
sse_init(sse_t *sse)
{
	sse->buffer = g_string_new(NULL);
	sse->consumed = 0;
}

void
sse_clear(sse_t *sse)
{
	if (sse->buffer != NULL)
		g_string_free(sse->buffer, TRUE);
	sse->buffer = NULL;
}

bool
sse_feed(sse_t *sse, const char *bytes, size_t length)
{
	g_string_erase(sse->buffer, 0, (gssize)sse->consumed);
	sse->consumed = 0;
	g_string_append_len(sse->buffer, bytes, (gssize)length);
	return sse->buffer->len <= SSE_EVENT_MAX;
}

/* Start of an event's first data field, or NULL if it has none. */
static char *
event_data(char *event)
{
	size_t field_length = strlen(data_field);

	while (event != NULL && strncmp(event, data_field, field_length) != 0) {
		event = strchr(event, '\n');
		if (event != NULL)
			event++;
	}
	if (event == NULL)
		return NULL;
	event += field_length;
	return *event == ' ' ? event + 1 : event;
}

char *
sse_next(sse_t *sse, size_t *length)
{
	char *event, *end, *data;

	for (;;) {
		event = sse->buffer->str + sse->consumed;
		end =
		    memmem(event, sse->buffer->len - sse->consumed, "\n\n", 2);
		if (end == NULL)
			return NULL;
		*end = '\0';
		sse->consumed += (size_t)(end - event) + 2;
		data = event_data(event);
		if (data == NULL)
			continue;
		*length = strlen(data);
		return data;
	}
}
