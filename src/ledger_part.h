#ifndef PAPAYA_LEDGER_PART_H
#define PAPAYA_LEDGER_PART_H

#include "ledger.h"

#include <sys/queue.h>

/* Inside of the ledger: entries, and the partitions that hold them. */

typedef enum entry_state {
	ENTRY_START,   /* wants its start record committed */
	ENTRY_RUNNING, /* start record confirmed; the attempt is out */
	ENTRY_FINISH,  /* the attempt has ended; wants its outcome written */
	/*
	 * Refused; its start record may be in the store. Requests that come
	 * meanwhile wait and then start under a nonce of their own, so that
	 * the retention always begins shortly before a run.
	 */
	ENTRY_WITHDRAW,
	ENTRY_WAIT, /* another start record exists, without outcome */
} entry_state_t;

typedef struct waiter {
	uint64_t id;
	int64_t until_ms;
} waiter_t;

/* One key in progress at this node. Owned by its partition. */
typedef struct entry {
	TAILQ_ENTRY(entry) entries;
	entry_state_t state;
	char *name;
	char *service;
	char *key;
	ledger_id_t hash;
	ledger_id_t nonce;
	int64_t retention_ms;
	ledger_id_t next_nonce; /* WITHDRAW: of the start after it */
	int64_t start_until_ms; /* START, and WITHDRAW with waiters */
	int64_t reply_by_ms;	/* FINISH */
	/* A swap with its start record was sent and may have taken effect. */
	bool exposed;
	bool replied;		  /* FINISH */
	bool asked;		  /* WAIT: the other node */
	bool lost;		  /* WAIT: the other node does not know */
	ledger_id_t other;	  /* WAIT: nonce of the other start */
	ledger_record_t *answer;  /* FINISH: with the whole body */
	ledger_record_t *outcome; /* FINISH: as written */
	GArray *waiters;	  /* waiter_t */
	GPtrArray *askers;	  /* names of nodes */
} entry_t;

typedef enum part_phase { PART_IDLE, PART_READING, PART_SWAPPING } part_phase_t;

typedef struct part {
	unsigned index;
	part_phase_t phase;
	ledger_value_t *value; /* newest seen; NULL before the first read */
	ledger_value_t *next;  /* SWAPPING: as sent */
	/*
	 * Highest expected revision of a swap without an answer. It can take
	 * effect until a higher revision exists; only then is the value's
	 * content final for the entries of that swap.
	 */
	int64_t unsure_revision;
	int64_t need_revision; /* a lower one read is stale */
	bool want_read;
	int64_t retry_ms; /* no store call before */
	/* Swaps to come that read first, since other nodes write as well. */
	unsigned contended;
	int64_t read_ms; /* when the value was read or written */
	unsigned failures;
	int64_t poll_ms; /* next read for WAIT entries; 0: none */
	int64_t poll_interval_ms;
	TAILQ_HEAD(, entry) entries;
} part_t;

struct ledger {
	ledger_options_t options;
	char *node;
	part_t *parts;
	GHashTable *by_name; /* borrowed name: entry_t */
	GQueue actions;	     /* ledger_action_t */
	/*
	 * While the store refuses calls over its rate, few swaps are out at
	 * once and the others wait for their turn: meanwhile the changes of
	 * their partitions gather, so fewer writes carry more of them.
	 */
	unsigned swaps_out;
	unsigned window; /* most swaps out; SWAP_WINDOW_MAX: no limit */
	int64_t pause_until_ms;
	bool in_turns; /* partitions go in order, from the one at turn */
	bool turn_waits;
	unsigned turn;
	uint64_t *reads;
	uint64_t *swaps;
	uint64_t *changes;
	uint64_t *conflicts;
	uint64_t *lost;
	uint64_t *withdrawn;
	uint64_t *unreadable;
};

/* Queues an action; the caller fills in the rest. */
ledger_action_t *ledger_act(ledger_t *ledger, ledger_action_kind_t kind);

void ledger_refuse_one(ledger_t *ledger, uint64_t id, papaya_error_t error,
    const char *message, bool not_run);
/* Replies with a record's outcome, which is known. */
void ledger_reply_one(ledger_t *ledger, uint64_t id, ledger_record_t *record);

/* To every waiter, which then waits no longer. */
void entry_refuse(ledger_t *ledger, entry_t *entry, papaya_error_t error,
    const char *message, bool not_run);
void entry_reply(ledger_t *ledger, entry_t *entry, ledger_record_t *record);

/* Refuses as not run; the start record is withdrawn if it may exist. */
void entry_give_up(ledger_t *ledger, part_t *part, entry_t *entry,
    papaya_error_t error, const char *message);

/* Tells the nodes that asked whether the nonce's outcome is written. */
void entry_tell(ledger_t *ledger, entry_t *entry, bool known);

/* Ends an entry, with entry_tell(). */
void entry_end(ledger_t *ledger, part_t *part, entry_t *entry, bool known);

enum { SWAP_WINDOW_MAX = 64 };

/* Lets the partitions that wait for their turn go on, in order. */
void ledger_take_turns(ledger_t *ledger, int64_t now_ms);

/* Queues the partition's next store call, if it needs one. */
void part_step(ledger_t *ledger, part_t *part, int64_t now_ms);

#endif
