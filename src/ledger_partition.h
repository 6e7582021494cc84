#ifndef PAPAYA_LEDGER_PARTITION_H
#define PAPAYA_LEDGER_PARTITION_H

#include "ledger.h"

#include <sys/queue.h>

/* Inside of the ledger: entries, and the partitions that hold them. */

typedef enum ledger_entry_state {
	LEDGER_ENTRY_STARTING,	/* wants its start record committed */
	LEDGER_ENTRY_RUNNING,	/* start record confirmed; the attempt is out */
	LEDGER_ENTRY_FINISHING, /* the attempt has ended; wants its outcome
				   written */
	/*
	 * Refused; its start record may be in the store. Requests that come
	 * meanwhile wait and then start under a nonce of their own, so that
	 * the retention always begins shortly before a run.
	 */
	LEDGER_ENTRY_WITHDRAWING,
	LEDGER_ENTRY_WAITING, /* another start record exists, without outcome */
} ledger_entry_state_t;

typedef struct ledger_waiter {
	uint64_t id;
	int64_t deadline_ms;
} ledger_waiter_t;

/* One key in progress at this node. Owned by its partition. */
typedef struct ledger_entry {
	TAILQ_ENTRY(ledger_entry) entries;
	ledger_entry_state_t state;
	char *name;
	char *service;
	char *key;
	ledger_id_t hash;
	ledger_id_t nonce;
	int64_t retention_ms;
	ledger_id_t next_nonce;	   /* WITHDRAW: of the start after it */
	int64_t start_deadline_ms; /* START, and WITHDRAW with waiters */
	int64_t reply_deadline_ms; /* FINISH */
	/* A swap with its start record was sent and may have taken effect. */
	bool start_may_be_stored;
	bool replied;		   /* FINISH */
	bool outcome_queried;	   /* WAIT: the other node */
	bool outcome_lost;	   /* WAIT: the other node does not know */
	ledger_id_t other_nonce;   /* WAIT: nonce of the other start */
	ledger_record_t *response; /* FINISH: with the whole body */
	ledger_record_t *outcome;  /* FINISH: as written */
	GArray *waiters;	   /* ledger_waiter_t */
	GPtrArray *querying_nodes; /* names of nodes */
} ledger_entry_t;

typedef enum ledger_partition_phase {
	LEDGER_PARTITION_IDLE,
	LEDGER_PARTITION_READING,
	LEDGER_PARTITION_SWAPPING
} ledger_partition_phase_t;

typedef struct ledger_partition {
	unsigned index;
	ledger_partition_phase_t phase;
	ledger_value_t *value; /* newest seen; NULL before the first read */
	ledger_value_t *next_value; /* SWAPPING: as sent */
	/*
	 * Highest expected revision of a swap without an answer. It can take
	 * effect until a higher revision exists; only then is the value's
	 * content final for the entries of that swap.
	 */
	int64_t unconfirmed_revision;
	int64_t revision_min; /* a lower one read is stale */
	bool needs_read;
	int64_t retry_at_ms; /* no store call before */
	/* Swaps to come that read first, since other nodes write as well. */
	unsigned contended_swaps;
	int64_t value_time_ms; /* when the value was read or written */
	unsigned failures;
	int64_t poll_at_ms; /* next read for WAIT entries; 0: none */
	int64_t poll_interval_ms;
	TAILQ_HEAD(, ledger_entry) entries;
} ledger_partition_t;

struct ledger {
	ledger_options_t options;
	char *node;
	ledger_partition_t *partitions;
	GHashTable *entries_by_name; /* borrowed name: ledger_entry_t */
	GQueue actions;		     /* ledger_action_t */
	/*
	 * While the store refuses calls over its rate, few swaps are out at
	 * once and the others wait for their turn: meanwhile the changes of
	 * their partitions gather, so fewer writes carry more of them.
	 */
	unsigned swaps_in_flight;
	unsigned swap_window; /* most swaps out; SWAP_WINDOW_MAX: no limit */
	int64_t swaps_paused_until_ms;
	bool in_round_robin; /* partitions go in order, from the one at turn */
	bool swap_deferred;
	unsigned round_robin_start;
	uint64_t *reads;
	uint64_t *swaps;
	uint64_t *changes;
	uint64_t *conflicts;
	uint64_t *lost_responses;
	uint64_t *withdrawals;
	uint64_t *unreadable_values;
};

/* Queues an action; the caller fills in the rest. */
ledger_action_t *ledger_queue_action(
    ledger_t *ledger, ledger_action_kind_t kind);

void ledger_queue_refusal(ledger_t *ledger, uint64_t id, papaya_error_t error,
    const char *message, bool not_run);
/* Replies with a record's outcome, which is known. */
void ledger_queue_reply(ledger_t *ledger, uint64_t id, ledger_record_t *record);

/* To every waiter, which then waits no longer. */
void ledger_entry_refuse(ledger_t *ledger, ledger_entry_t *entry,
    papaya_error_t error, const char *message, bool not_run);
void ledger_entry_reply(
    ledger_t *ledger, ledger_entry_t *entry, ledger_record_t *record);

/* Refuses as not run; the start record is withdrawn if it may exist. */
void ledger_entry_abort(ledger_t *ledger, ledger_partition_t *part,
    ledger_entry_t *entry, papaya_error_t error, const char *message);

/* Tells the nodes that asked whether the nonce's outcome is written. */
void ledger_entry_notify_nodes(
    ledger_t *ledger, ledger_entry_t *entry, bool known);

/* Ends an entry, with ledger_entry_notify_nodes(). */
void ledger_entry_remove(ledger_t *ledger, ledger_partition_t *part,
    ledger_entry_t *entry, bool known);

enum { SWAP_WINDOW_MAX = 64 };

/* Lets the partitions that wait for their turn go on, in order. */
void ledger_advance_partitions(ledger_t *ledger, int64_t now_ms);

/* Queues the partition's next store call, if it needs one. */
void ledger_partition_advance(
    ledger_t *ledger, ledger_partition_t *part, int64_t now_ms);

#endif
