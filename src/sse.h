#ifndef PAPAYA_SSE_H
#define PAPAYA_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * Incremental parser of server-sent events; only "data" fields are read. Owned
 * by the reader of one response.
 */
typedef struct sse {
	GString *buffer;
	size_t consumed; /* bytes at the start of buffer already returned */
} sse_t;

enum { SSE_EVENT_MAX = 1024 * 1024 }; /* bytes */

void sse_init(sse_t *sse);
void sse_clear(sse_t *sse);

/* Appends bytes; false if more than SSE_EVENT_MAX bytes are then unread. */
bool sse_feed(sse_t *sse, const char *bytes, size_t length);

/*
 * Data of the next complete event, NUL-terminated and valid until the next call
 * of sse_feed(); NULL if no event is complete.
 */
char *sse_next(sse_t *sse, size_t *length);

#endif
