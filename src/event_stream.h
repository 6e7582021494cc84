#ifndef PAPAYA_EVENT_STREAM_H
#define PAPAYA_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Splits a stream of server-sent events into complete events for forwarding.
 * Keeps the id of the last event, so that the stream can be resumed from
 * another backend server.
 */
typedef struct event_stream event_stream_t;

event_stream_t *event_stream_new(void);
void event_stream_free(event_stream_t *stream);

/*
 * Adds bytes of the response. False where the event that is being read is
 * larger than any that may be forwarded; the stream must not be used further.
 */
bool event_stream_feed(
    event_stream_t *stream, const char *bytes, size_t length);

/* Removes the complete events; newly allocated, NULL if there are none. */
GString *event_stream_take_complete(event_stream_t *stream);

/*
 * Events taken so far that are more than a comment. Comments keep a connection
 * open, also that of a server that makes no progress.
 */
uint64_t event_stream_event_count(const event_stream_t *stream);

/* Removes the bytes after the last complete event, newly allocated. */
GString *event_stream_take_remainder(event_stream_t *stream);

/*
 * To be called before another response continues the stream. Discards an event
 * that was read in part; from now on, events with an integer id up to the last
 * one are dropped as duplicates.
 */
void event_stream_resume(event_stream_t *stream);

/* Id of the last event taken that had one; borrowed, NULL if there was none. */
const char *event_stream_last_id(const event_stream_t *stream);

/* True where more than a comment has been fed after the last whole event. */
bool event_stream_has_partial_event(const event_stream_t *stream);

#endif
