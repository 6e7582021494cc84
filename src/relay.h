#ifndef PAPAYA_RELAY_H
#define PAPAYA_RELAY_H

#include "platform_store.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * How nodes of a large fleet learn the store's changes from a few that watch
 * it: a follower asks for all after a revision, and the answer carries the
 * changes and how old the proof is that there are no more. The follower counts
 * that age from its own question, so that a datagram that is held up proves
 * nothing too new. No I/O.
 */

/*
 * True where a follower's proof is as new as those of a node that watches the
 * store, whose watches end after watch_ms. Where it is not, the node that is
 * asked may have lost the store.
 */
bool relay_is_current(int64_t confirmation_age_ms, int64_t watch_ms);

/* The newest changes that a node knows. */
typedef struct relay_log relay_log_t;

relay_log_t *relay_log_new(void);
void relay_log_free(relay_log_t *log);

/* Forgets all: what is known is a list as of a revision. */
void relay_log_reset(relay_log_t *log, int64_t revision);
/* A change; revisions do not go down. */
void relay_log_add(relay_log_t *log, const platform_item_t *item);

typedef struct relay_request {
	int64_t after_revision; /* revision */
	int64_t sent_ms;	/* of the sender's clock */
} relay_request_t;

typedef struct relay_response {
	int64_t request_sent_ms; /* that of the question */
	int64_t revision;	 /* all changes up to it are there */
	/* Age of the proof that there are no later ones; -1: no proof. */
	int64_t confirmation_age_ms;
	bool store_unstable;  /* the store is, or was just, away */
	bool changes_missing; /* some changes are not known, or do not fit */
	platform_item_t *items;
	size_t count;
} relay_response_t;

/* What the node that is asked knows of itself. */
typedef struct relay_state {
	int64_t revision;
	int64_t confirmation_age_ms;
	bool store_unstable;
} relay_state_t;

void relay_encode_request(const relay_request_t *question, GByteArray *out);
void relay_encode_response(const relay_log_t *log,
    const relay_request_t *question, const relay_state_t *state,
    GByteArray *out);

typedef enum relay_kind {
	RELAY_OTHER, /* another message */
	RELAY_REQUEST,
	RELAY_RESPONSE,
	RELAY_MALFORMED,
} relay_kind_t;

typedef struct relay_message {
	relay_kind_t kind;
	relay_request_t request;
	relay_response_t response;
} relay_message_t;

void relay_decode(const char *bytes, size_t length, relay_message_t *message);
void relay_message_clear(relay_message_t *message);

#endif
