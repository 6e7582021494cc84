#ifndef PAPAYA_SSE_H
#define PAPAYA_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * Incremental reader of server-sent events; only "data" fields matter here.
 * Owned by the reader of one response.
 */
typedef struct sse {
	GString *buffer;
	size_t consumed;
} sse_t;

enum { SSE_EVENT_MAX = 1024 * 1024 };

void sse_init(sse_t *sse);
void sse_clear(sse_t *sse);

/* Adds bytes; false once an event is longer than SSE_EVENT_MAX. */
bool sse_feed(sse_t *sse, const char *bytes, size_t length);

/*
 * Next complete event's data, zero-terminated, valid until the next call of
 * sse_feed(); NULL where no event is complete.
 */
char *sse_next(sse_t *sse, size_t *length);

#endif
