#ifndef PAPAYA_MOVE_H
#define PAPAYA_MOVE_H

#include "evidence.h"
#include "move_record.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	/* Largest tolerated difference between two nodes' clocks. */
	MOVE_CLOCK_SKEW_MS = 1000,
	MOVE_STORE_TIMEOUT_MS = 2000,
	/* The lease of the state key ends this long before the deadline. */
	MOVE_MARGIN_MS = MOVE_CLOCK_SKEW_MS + MOVE_STORE_TIMEOUT_MS,
	/* A shorter move would have no time for its stages. */
	MOVE_DURATION_MIN_MS = MOVE_MARGIN_MS + 2000,
	MOVE_DURATION_MAX_MS = 7 * 24 * 3600 * 1000,
	/*
	 * Maximum time from the declaration to the write of the state: a lease
	 * grant and a write, each limited by the store timeout, plus the clock
	 * skew. If the state is absent after this time, it was never written or
	 * its lease has expired.
	 */
	MOVE_START_GRACE_MS = 2 * MOVE_STORE_TIMEOUT_MS + MOVE_CLOCK_SKEW_MS,
};

/*
 * One node's view of one version move: a shift of a service's requests from one
 * version to another in stages of growing share, by a deadline. A move ends as
 * finished (all requests go to the new version) or as rolled back (all go to
 * the old one).
 *
 * Holds the newest record that this node knows, its own evidence and that of
 * its peers. Makes every decision without I/O; the caller executes the actions
 * and reports their results. Times are wall-clock milliseconds.
 *
 * Two keys in the store describe a move: the declaration, which names the
 * newest move of a service, and the state, which is attached to a lease while
 * the move runs. The outcome is unambiguous because finishing is a
 * compare-and-swap of the state at the revision last read, which fails once the
 * lease has expired, and because an expired state is replaced by creating it as
 * rolled back. A record in a final state never changes its outcome.
 */
typedef struct move move_t;

typedef enum move_action_type {
	MOVE_ACTION_NONE,
	MOVE_ACTION_READ, /* read the state, then call move_read_done() */
	MOVE_ACTION_SWAP, /* write the state, then call move_swap_done() */
	MOVE_ACTION_BROADCAST_STOP, /* send the stop to all peers */
} move_action_type_t;

/* The next action. Pointers are valid until the next call with this move. */
typedef struct move_action {
	move_action_type_t type;
	/* SWAP: value to write; BROADCAST_STOP: current record. */
	const move_record_t *record;
	/* SWAP: of the state key; 0: the key must be absent. */
	int64_t expected_revision;
	const char *lease;  /* SWAP: lease to attach; NULL: none */
	const char *reason; /* BROADCAST_STOP */
} move_action_t;

typedef enum move_write_result {
	MOVE_WRITE_DONE,
	MOVE_WRITE_CONFLICT,
	MOVE_WRITE_NOT_WRITTEN, /* the write certainly took no effect */
	MOVE_WRITE_UNKNOWN,	/* no response; the write may take effect */
} move_write_result_t;

/* Copies the record, which is a declaration or a state. */
move_t *move_new(const move_record_t *record);
void move_free(move_t *move);

const move_record_t *move_record(const move_t *move);

/* Newest known revision of the state key; 0: unknown or absent. */
int64_t move_state_revision(const move_t *move);

/*
 * Replaces the known record if the given one is newer (see
 * move_record_compare()); a record of another move is ignored. revision is that
 * of the state key, or 0 if it is unknown, as in a record from a peer. Returns
 * true if the known record was replaced.
 */
bool move_merge_record(
    move_t *move, const move_record_t *record, int64_t revision);

/*
 * Result of a READ action; record is NULL if the read failed or the key is
 * absent. random spreads the retries.
 */
void move_read_done(move_t *move, const move_record_t *record, int64_t revision,
    bool failed, int64_t now_ms, uint64_t random);
/* Result of a SWAP action. */
void move_swap_done(move_t *move, move_write_result_t result, int64_t revision,
    int64_t now_ms, uint64_t random);

/* Share of this node's requests that go to the new version, 0..1. */
double move_new_version_share(const move_t *move, int64_t now_ms);

/* Version for one new request; random is uniform over 64 bits. */
const char *move_select_version(
    const move_t *move, int64_t now_ms, uint64_t random);

/*
 * Outcome that this node applies: the recorded one, or rolled back if none is
 * known when the deadline less the clock skew has passed. The latter holds even
 * if the store is unavailable.
 */
move_state_t move_outcome(const move_t *move, int64_t now_ms);
/* True if the known record has a final state. */
bool move_recorded(const move_t *move);
/* True if the outcome, and a supersession known to this node, are recorded. */
bool move_fully_recorded(const move_t *move);
/* True if the next move_step() returns BROADCAST_STOP. */
bool move_stop_broadcast_due(const move_t *move);
/* Reason for the outcome or the stop; "" if there is none. */
const char *move_reason(const move_t *move, int64_t now_ms);

/*
 * Adds one completed attempt to the evidence and stops the move if the new
 * version proves to be worse. latency_ms is as in evidence_attempt_t.
 */
void move_observe(move_t *move, const char *version, const char *route, bool ok,
    double latency_ms, int64_t now_ms);

/* Number of attempts in this node's evidence. */
unsigned move_own_attempts(const move_t *move);
/* This node's evidence, to be sent to its peers; a new reference. */
json_t *move_own_evidence_to_json(const move_t *move);
/*
 * Replaces a peer's evidence by a newer snapshot, of which it keeps a copy.
 * Returns false if the snapshot is malformed or there are too many peers.
 */
bool move_merge_evidence(
    move_t *move, const char *peer, const json_t *evidence);

/*
 * Stops sending requests to the new version at once; the move is to be rolled
 * back. Only the first reason is kept. Without effect once an outcome is
 * recorded.
 */
void move_stop(move_t *move, const char *reason);

/*
 * Stops the move because the settings name another version than at its start,
 * and marks the record as superseded.
 */
void move_supersede(move_t *move);

/*
 * Returns the next action; call it until it returns NONE. Writers advance the
 * stages and record the outcome. Another node only records a stop due to its
 * own evidence; some time after the deadline it also reads the outcome and
 * records a missing one. random spreads the calls of several nodes and
 * identifies a write.
 */
move_action_t move_step(
    move_t *move, bool writer, int64_t now_ms, uint64_t random);

/* Time from which no stage is started and the move can no longer finish. */
int64_t move_write_deadline_ms(const move_record_t *record);

#endif
