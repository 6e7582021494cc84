#include "sse.h"

#include <string.h>

/* Prepares for the event that follows the ones taken. */
static void
start_event(sse_t *sse, size_t start)
{
	sse->event_start = start;
	sse->line_start = start;
	sse->searched = start;
	sse->has_fields = false;
	sse->id = (sse_range_t){0};
	sse->data = (sse_range_t){0};
}

void
sse_init(sse_t *sse, size_t event_max)
{
	sse->buffer = g_string_new(NULL);
	sse->event_max = event_max;
	start_event(sse, 0);
}

void
sse_clear(sse_t *sse)
{
	if (sse->buffer != NULL)
		g_string_free(sse->buffer, TRUE);
	sse->buffer = NULL;
}

static void
move_range(sse_range_t *range, size_t removed)
{
	if (range->present)
		range->start -= removed;
}

/* Drops the events taken. */
static void
remove_taken(sse_t *sse)
{
	size_t removed = sse->event_start;

	if (removed == 0)
		return;
	g_string_erase(sse->buffer, 0, (gssize)removed);
	sse->event_start = 0;
	sse->line_start -= removed;
	sse->searched -= removed;
	move_range(&sse->id, removed);
	move_range(&sse->data, removed);
}

bool
sse_feed(sse_t *sse, const char *bytes, size_t length)
{
	remove_taken(sse);
	if (sse->buffer->len > sse->event_max)
		return false;
	g_string_append_len(sse->buffer, bytes, (gssize)length);
	return true;
}

static bool
is_space(char c)
{
	return c == ' ' || c == '\t';
}

/* Keeps the first field of the name; name: with its colon. */
static void
keep_field(sse_t *sse, sse_range_t *field, const char *name, bool may_be_empty,
    size_t line_length)
{
	const char *line = sse->buffer->str + sse->line_start;
	size_t start = strlen(name);
	size_t end = line_length;

	if (field->present || line_length < start ||
	    memcmp(line, name, start) != 0)
		return;
	while (start < end && is_space(line[start]))
		start++;
	while (end > start && is_space(line[end - 1]))
		end--;
	if (start == end && !may_be_empty)
		return;
	*field = (sse_range_t){
	    .start = sse->line_start + start,
	    .length = end - start,
	    .present = true,
	};
}

/* Moves on to the next line. False if the current one is not complete. */
static bool
read_line(sse_t *sse, bool *is_empty)
{
	const GString *buffer = sse->buffer;
	const char *line = buffer->str + sse->line_start;
	const char *end = memchr(
	    buffer->str + sse->searched, '\n', buffer->len - sse->searched);
	size_t length;

	if (end == NULL) {
		sse->searched = buffer->len;
		return false;
	}
	length = (size_t)(end - line);
	if (length > 0 && line[length - 1] == '\r')
		length--;
	*is_empty = length == 0;
	if (length > 0 && *line != ':') {
		sse->has_fields = true;
		keep_field(sse, &sse->id, "id:", false, length);
		keep_field(sse, &sse->data, "data:", true, length);
	}
	sse->line_start = (size_t)(end - buffer->str) + 1;
	sse->searched = sse->line_start;
	return true;
}

/* Further empty lines, which would each be an event without a field. */
static size_t
skip_empty_lines(const GString *buffer, size_t offset)
{
	for (;;) {
		const char *line = buffer->str + offset;

		/* The buffer ends with a NUL. */
		if (line[0] == '\n')
			offset++;
		else if (line[0] == '\r' && line[1] == '\n')
			offset += 2;
		else
			return offset;
	}
}

static sse_value_t
get_value(const sse_t *sse, const sse_range_t *field)
{
	if (!field->present)
		return (sse_value_t){.bytes = NULL};
	return (sse_value_t){
	    .bytes = sse->buffer->str + field->start,
	    .length = field->length,
	};
}

bool
sse_value_equals(const sse_value_t *value, const char *text)
{
	return value->bytes != NULL && value->length == strlen(text) &&
	       memcmp(value->bytes, text, value->length) == 0;
}

bool
sse_next(sse_t *sse, sse_event_t *event)
{
	bool is_empty = false;
	size_t end;

	while (!is_empty)
		if (!read_line(sse, &is_empty))
			return false;
	end = skip_empty_lines(sse->buffer, sse->line_start);
	*event = (sse_event_t){
	    .bytes = sse->buffer->str + sse->event_start,
	    .length = end - sse->event_start,
	    .has_fields = sse->has_fields,
	    .id = get_value(sse, &sse->id),
	    .data = get_value(sse, &sse->data),
	};
	start_event(sse, end);
	return true;
}

bool
sse_has_partial_event(const sse_t *sse)
{
	const char *line = sse->buffer->str + sse->line_start;
	size_t length = sse->buffer->len - sse->line_start;

	if (sse->has_fields)
		return true;
	if (length == 0 || *line == ':')
		return false;
	/* A CR may begin the end of an empty line. */
	return length > 1 || *line != '\r';
}

GString *
sse_take_remainder(sse_t *sse)
{
	GString *remainder;

	remove_taken(sse);
	remainder = sse->buffer;
	sse->buffer = g_string_new(NULL);
	start_event(sse, 0);
	return remainder;
}
