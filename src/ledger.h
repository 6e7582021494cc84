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
 * Ledger of one node: runs each non-idempotent request at most once. It does no
 * I/O. It takes events, with the time (wall clock, ms) and random numbers, and
 * queues actions, which its caller carries out. Every non-idempotent request
 * passes through it; the caller sends one to a backend server only on
 * LEDGER_RUN. The records of requests are in the store, in partitions by hash
 * of service and key. A partition is one value, which compare-and-swap writes;
 * at most one store call per partition is in progress.
 */
typedef struct ledger ledger_t;

typedef struct ledger_options {
	const char *node;	     /* name of this node; copied */
	unsigned partition_count;    /* the same on all nodes */
	size_t value_size_max;	     /* bytes of a partition */
	size_t start_value_size_max; /* bytes up to which starts are added */
	int64_t start_timeout_ms;    /* for committing a start */
	int64_t reply_delay_max_ms;  /* for writing the outcome */
	unsigned entries_max;	     /* keys in progress */
	counters_t *counters;
} ledger_options_t;

/*
 * A client's request. id is unique and names the request in actions. Times are
 * in ms of the wall clock.
 */
typedef struct ledger_request {
	uint64_t id;
	const char *service;
	const char *key;   /* passed ledger_check_key() */
	ledger_id_t hash;  /* a reused key with another hash is refused */
	ledger_id_t nonce; /* random */
	int64_t retention_ms;
	int64_t deadline_ms; /* of the client */
} ledger_request_t;

/* How an attempt ended. */
typedef enum ledger_attempt_end {
	LEDGER_END_RESPONDED,
	LEDGER_END_UNKNOWN,  /* may have been sent; no whole response */
	LEDGER_END_NOT_SENT, /* no backend server received a byte */
} ledger_attempt_end_t;

typedef struct ledger_outcome {
	ledger_attempt_end_t end;
	int status;
	const char *content_type;
	GBytes *body;			      /* may be NULL */
	ledger_body_location_t body_location; /* of the stored record */
} ledger_outcome_t;

typedef enum ledger_action_kind {
	LEDGER_READ,	      /* read a partition; then ledger_on_read() */
	LEDGER_SWAP,	      /* write a partition; then ledger_on_swap() */
	LEDGER_RUN,	      /* send the request; then ledger_finish() */
	LEDGER_REPLY,	      /* reply with the response in record */
	LEDGER_REFUSE,	      /* reply with an error */
	LEDGER_QUERY_OUTCOME, /* query record's node for the outcome */
	LEDGER_NOTIFY_NODE,   /* notify a node of the outcome of a nonce */
} ledger_action_kind_t;

typedef struct ledger_action {
	ledger_action_kind_t kind;
	uint64_t id;		   /* RUN, REPLY, REFUSE */
	unsigned partition_index;  /* READ, SWAP */
	int64_t expected_revision; /* SWAP */
	GBytes *value;		   /* SWAP */
	/*
	 * RUN, REPLY, QUERY_OUTCOME, NOTIFY_NODE. Of a REPLY it has the body
	 * only if its body_location is LEDGER_BODY_INLINE. Of a NOTIFY_NODE
	 * only service, key and nonce are set.
	 */
	ledger_record_t *record;
	papaya_error_t error; /* REFUSE */
	const char *message;  /* REFUSE; static */
	bool not_run;	      /* REFUSE: certainly did not run */
	char *node;	      /* NOTIFY_NODE: recipient */
	bool outcome_known;   /* NOTIFY_NODE: the outcome is stored */
} ledger_action_t;

ledger_t *ledger_new(const ledger_options_t *options);
void ledger_free(ledger_t *ledger);

/*
 * Removes the oldest queued action; false if there is none. The caller clears
 * the action.
 */
bool ledger_next_action(ledger_t *ledger, ledger_action_t *action);
void ledger_action_clear(ledger_action_t *action);

/*
 * Checks an idempotency key, which may be NULL. Returns false and sets *error
 * if the key is missing, malformed, not a UUIDv7 although only_uuidv7 is set,
 * or a UUIDv7 that is older than the retention or too far in the future.
 */
bool ledger_check_key(const char *key, bool only_uuidv7, int64_t retention_ms,
    int64_t now_ms, GError **error);

/* Submits a request. It ends in one LEDGER_REPLY or LEDGER_REFUSE. */
void ledger_request(
    ledger_t *ledger, const ledger_request_t *request, int64_t now_ms);

/*
 * The attempt for a LEDGER_RUN has ended. start_record: record of that action.
 */
void ledger_finish(ledger_t *ledger, const ledger_record_t *start_record,
    const ledger_outcome_t *outcome, int64_t now_ms);

/* Results of store calls. random adds jitter to retries. */
void ledger_on_read(ledger_t *ledger, unsigned partition_index,
    store_status_t status, int64_t revision, const void *value, size_t length,
    int64_t now_ms, uint64_t random);
void ledger_on_swap(ledger_t *ledger, unsigned partition_index,
    store_status_t status, int64_t revision, int64_t now_ms, uint64_t random);

/*
 * Another node queries the outcome of a nonce. LEDGER_NOTIFY_NODE responds: at
 * once if no start with this nonce is in progress here, otherwise when it ends.
 */
void ledger_on_outcome_query(ledger_t *ledger, const char *querying_node,
    const char *service, const char *key, ledger_id_t nonce, int64_t now_ms);

/*
 * Notice from another node. outcome_known: the outcome of the nonce is in the
 * store; otherwise that node does not know the nonce.
 */
void ledger_on_outcome(ledger_t *ledger, const char *service, const char *key,
    ledger_id_t nonce, bool outcome_known, int64_t now_ms);

/* Does what is due: retries, polls, timeouts. Call it while entries > 0. */
void ledger_tick(ledger_t *ledger, int64_t now_ms);

/* Keys with requests, withdrawals or outcome writes in progress. */
unsigned ledger_entries(const ledger_t *ledger);

#endif
