#ifndef PAPAYA_SSE_H
#define PAPAYA_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct sse_range {
	size_t start; /* offset into the buffer */
	size_t length;
	bool present;
} sse_range_t;

/*
 * Incremental parser of server-sent events, whose lines end with LF or CR LF.
 * Looks at each byte once, however the stream is cut. Owned by the reader of
 * one response; its fields are private.
 */
typedef struct sse {
	GString *buffer;
	size_t event_max;   /* bytes */
	size_t event_start; /* offset of the event that is being read */
	size_t line_start;  /* offset of its current line */
	size_t searched;    /* no line ends from line_start up to here */
	bool has_fields;    /* in the lines before line_start */
	sse_range_t id;
	sse_range_t data;
} sse_t;

/* Value of a field; not NUL-terminated, bytes are NULL where it is missing. */
typedef struct sse_value {
	const char *bytes;
	size_t length;
} sse_value_t;

bool sse_value_equals(const sse_value_t *value, const char *text);

/* Valid until the next call of a function that changes the parser. */
typedef struct sse_event {
	const char *bytes; /* as received, up to and with its empty lines */
	size_t length;
	bool has_fields;  /* false: only comments and empty lines */
	sse_value_t id;	  /* the first that is not empty */
	sse_value_t data; /* the first */
} sse_event_t;

/* event_max: bytes of the largest event that is accepted. */
void sse_init(sse_t *sse, size_t event_max);
void sse_clear(sse_t *sse);

/*
 * Appends bytes. False where the event that is being read is too large; the
 * parser must not be fed further.
 */
bool sse_feed(sse_t *sse, const char *bytes, size_t length);

/* Takes the next complete event; false if there is none. */
bool sse_next(sse_t *sse, sse_event_t *event);

/* True where more than comments and empty lines follow the events taken. */
bool sse_has_partial_event(const sse_t *sse);

/* Removes the bytes after the events taken; newly allocated. */
GString *sse_take_remainder(sse_t *sse);

#endif
