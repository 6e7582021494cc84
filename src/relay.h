#ifndef PAPAYA_RELAY_H
#define PAPAYA_RELAY_H

#include "platform_store.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Messages by which most nodes of a large fleet (followers) get the store's
 * changes from the few nodes that watch it (relays). A follower requests all
 * changes after a revision. The response carries them and the age of the
 * relay's last confirmation that there are no later ones. The follower
 * subtracts that age from the time at which it sent the request, so a delayed
 * datagram never makes a confirmation look newer than it is. No I/O.
 *
 * Both messages carry the store's era that their sender knows: revisions of
 * different eras cannot be compared. Without one they are from a node of an
 * earlier version, or of one that knows none, and count as era 0.
 */

/*
 * Returns whether a confirmation of this age is recent enough for relays whose
 * watches last watch_ms at most. If not, the relay may have lost its connection
 * to the store. A confirmation counts from the start of the watch that gave it,
 * so it is as old as two watches before the next one; the rest is an allowance
 * for the relaying, with one response lost.
 */
bool relay_is_current(int64_t confirmation_age_ms, int64_t watch_ms);

/* The most recent changes; the oldest are dropped when it is full. */
typedef struct relay_log relay_log_t;

relay_log_t *relay_log_new(void);
void relay_log_free(relay_log_t *log);

/*
 * Removes all changes; the log then starts after the revision. INT64_MAX: all
 * changes are missing from it, as in a new log.
 */
void relay_log_reset(relay_log_t *log, int64_t revision);
/* Adds a copy of a change; revisions must not decrease. */
void relay_log_add(relay_log_t *log, const platform_item_t *item);

typedef struct relay_request {
	int64_t after_revision;
	int64_t sent_ms; /* by the clock of the follower */
	int64_t era;	 /* of the revision; 0: unknown */
} relay_request_t;

typedef struct relay_response {
	int64_t request_sent_ms; /* copied from the request */
	int64_t revision;	 /* all changes up to it are included */
	/* Age of the confirmation that no later ones exist; -1: none. */
	int64_t confirmation_age_ms;
	bool store_unstable; /* the store is or was just unavailable */
	/* No longer in the log, too large, or of another era. */
	bool changes_missing;
	platform_item_t *items; /* owned, see relay_message_clear() */
	size_t count;
	/* char *, owned: of the active nodes; empty if the relay is none. */
	GPtrArray *client_addresses;
	int64_t era; /* of the revisions; 0: unknown */
} relay_response_t;

/* State of the responding relay. */
typedef struct relay_state {
	int64_t revision;
	int64_t confirmation_age_ms;
	bool store_unstable;
	const GPtrArray *client_addresses; /* char *; may be NULL */
	int64_t era;			   /* 0: unknown */
} relay_state_t;

void relay_encode_request(const relay_request_t *request, GByteArray *out);
void relay_encode_response(const relay_log_t *log,
    const relay_request_t *request, const relay_state_t *state,
    GByteArray *out);

typedef enum relay_kind {
	RELAY_OTHER, /* not a relay message */
	RELAY_REQUEST,
	RELAY_RESPONSE,
	RELAY_MALFORMED,
} relay_kind_t;

typedef struct relay_message {
	relay_kind_t kind;
	relay_request_t request;
	relay_response_t response;
} relay_message_t;

/* Sets message->kind; free the contents with relay_message_clear(). */
void relay_decode(const char *bytes, size_t length, relay_message_t *message);
void relay_message_clear(relay_message_t *message);

#endif
