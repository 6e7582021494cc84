#ifndef PAPAYA_MOVE_H
#define PAPAYA_MOVE_H

#include "evidence.h"
#include "move_record.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	MOVE_CLOCK_SKEW_MS = 1000, /* largest between two nodes' clocks */
	MOVE_STORE_TIMEOUT_MS = 2000,
	/* The state's lease ends this long before the deadline. */
	MOVE_MARGIN_MS = MOVE_CLOCK_SKEW_MS + MOVE_STORE_TIMEOUT_MS,
	/* Shorter moves leave no time for stages. */
	MOVE_DURATION_MIN_MS = MOVE_MARGIN_MS + 2000,
	MOVE_DURATION_MAX_MS = 7 * 24 * 3600 * 1000,
	/*
	 * From the declaration to the state at most: a lease and a write, each
	 * at most one store timeout, and the clock skew. A state that is absent
	 * after this time was never written or has expired.
	 */
	MOVE_START_GRACE_MS = 2 * MOVE_STORE_TIMEOUT_MS + MOVE_CLOCK_SKEW_MS,
};

/*
 * One node's view of one version move. Holds the newest record known, this
 * node's evidence and its peers'. Every decision is made here; the caller
 * carries out the actions and reports their results.
 *
 * Safety: a finish is a swap of the state at the revision last read, which
 * fails once the lease has ended; an absent state is settled by creating it as
 * taken back. A record in a final state never changes its outcome.
 */
typedef struct move move_t;

typedef enum move_action_type {
	MOVE_ACTION_NONE,
	MOVE_ACTION_READ,	    /* read the state; then move_read_done() */
	MOVE_ACTION_SWAP,	    /* write the state; then move_swap_done() */
	MOVE_ACTION_BROADCAST_STOP, /* tell the peers to stop */
} move_action_type_t;

/* What to do next; pointers are valid until the next call on the move. */
typedef struct move_action {
	move_action_type_t type;
	const move_record_t *record; /* SWAP: to write; STOP: whose move */
	int64_t expected_revision;   /* SWAP: revision; 0: the key is absent */
	const char *lease;	     /* SWAP: to attach; NULL: detach */
	const char *reason;	     /* STOP */
} move_action_t;

typedef enum move_write_result {
	MOVE_WRITE_DONE,
	MOVE_WRITE_CONFLICT,
	MOVE_WRITE_NOT_WRITTEN, /* certainly not written */
	MOVE_WRITE_UNKNOWN,	/* no answer */
} move_write_result_t;

/* Takes over a first record (a declaration, or a state). */
move_t *move_new(const move_record_t *record);
void move_free(move_t *move);

const move_record_t *move_record(const move_t *move);

/* Of the state, as known here; 0: unknown or absent. */
int64_t move_state_revision(const move_t *move);

/*
 * Offers a record of the same move, with the state's revision, or 0 where that
 * is unknown. Returns true where it changes what is known.
 */
bool move_merge_record(
    move_t *move, const move_record_t *record, int64_t revision);

/* The state as read: NULL and failed false where the key is absent. */
void move_read_done(move_t *move, const move_record_t *record, int64_t revision,
    bool failed, int64_t now_ms, uint64_t random);
void move_swap_done(move_t *move, move_write_result_t result, int64_t revision,
    int64_t now_ms, uint64_t random);

/* Share of requests to the new version at this node now, 0..1. */
double move_new_version_share(const move_t *move, int64_t now_ms);

/* The version for one new request, chosen by a random number. */
const char *move_select_version(
    const move_t *move, int64_t now_ms, uint64_t random);

/*
 * Outcome as this node has to take it: without a recorded finish a move counts
 * as taken back from its deadline (less the clock skew) on.
 */
move_state_t move_outcome(const move_t *move, int64_t now_ms);
/* True where the store holds that outcome. */
bool move_recorded(const move_t *move);
/* True where the store holds all that this node has to write. */
bool move_fully_recorded(const move_t *move);
/* True where the peers are to hear of a stop now. */
bool move_stop_broadcast_due(const move_t *move);
const char *move_reason(const move_t *move, int64_t now_ms);

/* Evidence of one finished attempt at a version. */
void move_observe(move_t *move, const char *version, const char *route, bool ok,
    double latency_ms, int64_t now_ms);

/* Attempts that this node has seen. */
unsigned move_own_attempts(const move_t *move);
/* This node's evidence so far, for its peers. */
json_t *move_own_evidence_to_json(const move_t *move);
/* Takes over a peer's evidence. False where it is malformed. */
bool move_merge_evidence(
    move_t *move, const char *peer, const json_t *evidence);

/* A peer's stop, or an operator's reason to take the move back. */
void move_stop(move_t *move, const char *reason);

/* The settings have come to name another version than at the start. */
void move_supersede(move_t *move);

/*
 * Decides what to do at this time; call until it returns NONE. A node that is
 * no writer leaves stages to those that are, but records its own stop, and
 * looks for the outcome after the deadline.
 */
move_action_t move_step(
    move_t *move, bool writer, int64_t now_ms, uint64_t random);

/* Time from which no stage is entered and no finish tried. */
int64_t move_write_deadline_ms(const move_record_t *record);

#endif
