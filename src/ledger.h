#ifndef PAPAYA_LEDGER_H
#define PAPAYA_LEDGER_H

#include "counter.h"
#include "error.h"
#include "ledger_record.h"
#include "store.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * At-most-once ledger of one node. Takes events with the time (wall clock,
 * ms) and random numbers, and queues actions for its shell. Every non-
 * idempotent request goes through it; the shell sends one to a backend server
 * only on LEDGER_RUN. At most one store call per partition is in progress.
 */
typedef struct ledger ledger_t;

typedef struct ledger_options {
	const char *node;
	unsigned partition_count;
	size_t value_size_max; /* bytes of a partition's value */
	size_t
	    start_value_size_max; /* bytes over which new starts are refused */
	int64_t start_timeout_ms; /* for the store before a start is refused */
	int64_t
	    reply_delay_max_ms; /* that a reply waits for its outcome record */
	unsigned entries_max;	/* requests in progress */
	counters_t *counters;
} ledger_options_t;

/* A client's request. id names it in the replies; unique. */
typedef struct ledger_request {
	uint64_t id;
	const char *service;
	const char *key; /* checked by ledger_check_key() */
	ledger_id_t hash;
	ledger_id_t nonce; /* random */
	int64_t retention_ms;
	int64_t deadline_ms; /* the client waits no longer */
} ledger_request_t;

/* How an attempt ended. */
typedef enum ledger_attempt_end {
	LEDGER_END_RESPONDED,
	LEDGER_END_UNKNOWN,  /* a byte may have left, and no response */
	LEDGER_END_NOT_SENT, /* no backend server got a byte */
} ledger_attempt_end_t;

typedef struct ledger_outcome {
	ledger_attempt_end_t end;
	int status;
	const char *content_type;
	GBytes *body; /* may be NULL */
	ledger_body_location_t
	    body_location; /* how the record keeps the body */
} ledger_outcome_t;

typedef enum ledger_action_kind {
	LEDGER_READ,	      /* read a partition, then ledger_on_read() */
	LEDGER_SWAP,	      /* write a partition, then ledger_on_swap() */
	LEDGER_RUN,	      /* send the request, then ledger_finish() */
	LEDGER_REPLY,	      /* with the response in record */
	LEDGER_REFUSE,	      /* with an error */
	LEDGER_QUERY_OUTCOME, /* ask record's node for the outcome of its nonce
			       */
	LEDGER_NOTIFY_NODE,   /* tell a node about the outcome of a nonce */
} ledger_action_kind_t;

typedef struct ledger_action {
	ledger_action_kind_t kind;
	uint64_t id;		   /* RUN, REPLY, REFUSE */
	unsigned partition_index;  /* READ, SWAP */
	int64_t expected_revision; /* SWAP: revision */
	GBytes *value;		   /* SWAP */
	/* RUN, REPLY, ASK, TELL; a REPLY has the body unless SEPARATE, NOT */
	ledger_record_t *record;
	papaya_error_t error; /* REFUSE */
	const char *message;  /* REFUSE; static */
	bool not_run;	      /* REFUSE */
	char *node;	      /* TELL: to whom */
	bool outcome_known;   /* TELL */
} ledger_action_t;

ledger_t *ledger_new(const ledger_options_t *options);
void ledger_free(ledger_t *ledger);

/* Next action, in order; false if none. The caller clears it. */
bool ledger_next_action(ledger_t *ledger, ledger_action_t *action);
void ledger_action_clear(ledger_action_t *action);

/*
 * Checks an idempotency key (may be NULL) at a time. False and *error where it
 * is missing, malformed, not a UUIDv7 where only those are accepted, or older
 * than the retention.
 */
bool ledger_check_key(const char *key, bool only_uuidv7, int64_t retention_ms,
    int64_t now_ms, GError **error);

void ledger_request(
    ledger_t *ledger, const ledger_request_t *request, int64_t now_ms);

/* The attempt for a LEDGER_RUN has ended. */
void ledger_finish(ledger_t *ledger, const ledger_record_t *run,
    const ledger_outcome_t *outcome, int64_t now_ms);

/* Answers of the store. random spreads the retries. */
void ledger_on_read(ledger_t *ledger, unsigned partition, store_status_t status,
    int64_t revision, const void *value, size_t length, int64_t now_ms,
    uint64_t random);
void ledger_on_swap(ledger_t *ledger, unsigned partition, store_status_t status,
    int64_t revision, int64_t now_ms, uint64_t random);

/* Another node asks for an outcome; answered by LEDGER_NOTIFY_NODE once known.
 */
void ledger_on_outcome_query(ledger_t *ledger, const char *from,
    const char *service, const char *key, ledger_id_t nonce, int64_t now_ms);

/* Another node told: its outcome is written, or it does not know the nonce. */
void ledger_on_outcome(ledger_t *ledger, const char *service, const char *key,
    ledger_id_t nonce, bool known, int64_t now_ms);

/* Time passes: retries, polls, timeouts. Needed while entries > 0. */
void ledger_tick(ledger_t *ledger, int64_t now_ms);

/* Requests, withdrawals and outcomes in progress. */
unsigned ledger_entries(const ledger_t *ledger);

#endif
