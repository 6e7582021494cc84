#ifndef PAPAYA_EVENT_STREAM_H
#define PAPAYA_EVENT_STREAM_H

#include <glib.h>
#include <stddef.h>

/*
 * Server-sent events of one response, passed on whole. Remembers the id of the
 * last event, so that another backend server can go on after it.
 */
typedef struct event_stream event_stream_t;

event_stream_t *event_stream_new(void);
void event_stream_free(event_stream_t *stream);

void event_stream_feed(
    event_stream_t *stream, const char *bytes, size_t length);

/* The events that are complete, newly allocated; NULL where there are none. */
GString *event_stream_take_complete(event_stream_t *stream);

/* What is left when the response is complete, newly allocated. */
GString *event_stream_take_remainder(event_stream_t *stream);

/* Another response goes on: drops the part of an event that was read. */
void event_stream_resume(event_stream_t *stream);

/* Id of the last event that was taken; NULL where none had one. */
const char *event_stream_last_id(const event_stream_t *stream);

#endif
