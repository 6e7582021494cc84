#ifndef PAPAYA_LEDGER_PARTITION_H
#define PAPAYA_LEDGER_PARTITION_H

#include "ledger.h"

#include <sys/queue.h>

/*
 * Internals of the ledger: partitions, and an entry per idempotency key that
 * has a request in progress at this node.
 */

typedef enum ledger_entry_state {
	LEDGER_ENTRY_STARTING,	/* start record to be committed */
	LEDGER_ENTRY_RUNNING,	/* start committed; attempt in progress */
	LEDGER_ENTRY_FINISHING, /* attempt ended; outcome to be written */
	/*
	 * Refused as not run, but its start record may be in the store and is
	 * to be removed. Requests that arrive meanwhile wait and then start
	 * with a new nonce, so that the retention always begins shortly before
	 * a run.
	 */
	LEDGER_ENTRY_WITHDRAWING,
	/* The key has another start record, which has no outcome yet. */
	LEDGER_ENTRY_WAITING,
} ledger_entry_state_t;

/* A request that waits for the outcome of an entry. */
typedef struct ledger_waiter {
	uint64_t id;	     /* of the ledger_request_t */
	int64_t deadline_ms; /* wall clock */
} ledger_waiter_t;

/*
 * One key with requests in progress at this node. Owned by its partition. The
 * comments name the states in which a field is used.
 */
typedef struct ledger_entry {
	TAILQ_ENTRY(ledger_entry) entries;
	ledger_entry_state_t state;
	char *name;
	char *service;
	char *key;
	ledger_id_t hash;
	ledger_id_t nonce;
	int64_t retention_ms;
	ledger_id_t next_nonce;	   /* WITHDRAWING: of the next start */
	int64_t start_deadline_ms; /* STARTING, WITHDRAWING with waiters */
	int64_t reply_deadline_ms; /* FINISHING */
	/* A swap with its start record was sent and may have taken effect. */
	bool start_may_be_stored;
	bool replied;		   /* FINISHING */
	bool outcome_queried;	   /* WAITING: from the other node */
	bool outcome_lost;	   /* WAITING: no running node knows it */
	ledger_id_t other_nonce;   /* WAITING: of the other start */
	ledger_record_t *response; /* FINISHING: with the whole body */
	ledger_record_t *outcome;  /* FINISHING: as stored */
	GArray *waiters;	   /* of ledger_waiter_t */
	GPtrArray *querying_nodes; /* names of nodes to notify */
} ledger_entry_t;

typedef enum ledger_partition_phase {
	LEDGER_PARTITION_IDLE,
	LEDGER_PARTITION_READING,
	LEDGER_PARTITION_SWAPPING
} ledger_partition_phase_t;

typedef struct ledger_partition {
	unsigned index;
	ledger_partition_phase_t phase;
	ledger_value_t *value; /* latest known; NULL before the first read */
	ledger_value_t *next_value; /* SWAPPING: as sent to the store */
	/*
	 * Highest expected revision of a swap whose response was lost; -1:
	 * none. The store may still apply that swap until the key has a higher
	 * revision. Only then does the value show whether the swap's records
	 * were written.
	 */
	int64_t unconfirmed_revision;
	int64_t revision_min; /* a read with a lower one is stale */
	bool needs_read;
	int64_t retry_at_ms; /* no store call before it; 0: none */
	/*
	 * Set by a conflict, as other nodes write the partition too. While not
	 * 0, the partition is read before a swap; a read that finds no newer
	 * value decrements it.
	 */
	unsigned contended_swaps;
	int64_t value_time_ms; /* last read or write of value */
	unsigned failures;     /* consecutive; sets the backoff */
	int64_t poll_at_ms;    /* next read for WAITING entries; 0: none */
	int64_t poll_interval_ms;
	TAILQ_HEAD(, ledger_entry) entries;
} ledger_partition_t;

struct ledger {
	ledger_options_t options;
	char *node;
	ledger_partition_t *partitions;
	GHashTable *entries_by_name; /* ledger_entry_t by its own name */
	GQueue actions;		     /* of ledger_action_t */
	/*
	 * When the store refuses calls as over its rate limit, swaps in flight
	 * are limited and the other partitions defer theirs. The changes of a
	 * deferred partition accumulate, so each write carries more of them.
	 */
	unsigned swaps_in_flight;
	unsigned swap_window; /* limit on them; SWAP_WINDOW_MAX: no limit */
	int64_t swaps_paused_until_ms;
	/* Deferred swaps are served round-robin. */
	bool in_round_robin; /* within ledger_advance_partitions() */
	bool swap_deferred;  /* at least one partition has deferred a swap */
	unsigned round_robin_start; /* index of the partition served first */
	/* Metrics. */
	uint64_t *reads;
	uint64_t *swaps;
	uint64_t *changes;
	uint64_t *conflicts;
	uint64_t *lost_responses;
	uint64_t *withdrawals;
	uint64_t *unreadable_values;
};

/* Queues an action; the caller fills in its other members. */
ledger_action_t *ledger_queue_action(
    ledger_t *ledger, ledger_action_kind_t kind);

/* message: static, not copied. not_run: the request certainly did not run. */
void ledger_queue_refusal(ledger_t *ledger, uint64_t id, papaya_error_t error,
    const char *message, bool not_run);
/*
 * Queues the reply with a record's outcome, or a refusal if the response is
 * lost. The record must not be LEDGER_STARTED.
 */
void ledger_queue_reply(ledger_t *ledger, uint64_t id, ledger_record_t *record);

/* Refuse or reply to all waiters of an entry, and remove the waiters. */
void ledger_entry_refuse(ledger_t *ledger, ledger_entry_t *entry,
    papaya_error_t error, const char *message, bool not_run);
void ledger_entry_reply(
    ledger_t *ledger, ledger_entry_t *entry, ledger_record_t *record);

/*
 * Refuses all waiters as not run. Removes (and frees) the entry, unless its
 * start record may be in the store and has to be withdrawn first.
 */
void ledger_entry_abort(ledger_t *ledger, ledger_partition_t *partition,
    ledger_entry_t *entry, papaya_error_t error, const char *message);

/*
 * Notifies the nodes that queried the outcome of the entry's nonce.
 * outcome_known: the outcome is in the store.
 */
void ledger_entry_notify_nodes(
    ledger_t *ledger, ledger_entry_t *entry, bool outcome_known);

/* Calls ledger_entry_notify_nodes(), then removes and frees the entry. */
void ledger_entry_remove(ledger_t *ledger, ledger_partition_t *partition,
    ledger_entry_t *entry, bool outcome_known);

enum { SWAP_WINDOW_MAX = 64 };

/*
 * Advances all partitions in order, beginning with the first one that deferred
 * its swap in the previous round.
 */
void ledger_advance_partitions(ledger_t *ledger, int64_t now_ms);

/*
 * Ends the entries that the partition's value decides, then queues its next
 * store call if it needs one and none is in progress.
 */
void ledger_partition_advance(
    ledger_t *ledger, ledger_partition_t *partition, int64_t now_ms);

#endif
