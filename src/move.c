#include "move.h"

#include <string.h>

/*
 * MOVE_MUTANT compiles in a fault that the fuzz target must detect:
 * 1: a stage is written without the lease;
 * 2: the deadline does not end requests to the new version while the store is
 *    unavailable;
 * 3: a swap without a response counts as written;
 * 4: an absent state is recorded as finished;
 * 5: a stop does not end requests to the new version.
 */
#ifndef MOVE_MUTANT
#define MOVE_MUTANT 0
#endif

enum {
	/* Delay after a failed call, plus a random delay of up to as much. */
	RETRY_MS = 200,
	/* Interval of reads of the state from the end of its lease on. */
	POLL_MS = 500,
	/*
	 * Interval between two evaluations of all nodes' evidence, plus a
	 * random delay of up to as much, so that several writers seldom write
	 * at once.
	 */
	EVALUATE_INTERVAL_MS = 200,
	/* Delay after the deadline before a node that is no writer reads. */
	READER_GRACE_MS = 2000,
	/* Attempts at the new version after which a stage may end early. */
	STAGE_MIN_ATTEMPTS = 60,
	/* A stage that expects fewer at the new version ends early. */
	IDLE_STAGE_ATTEMPTS = 2,
	/* Attempts at the new version, over the whole move, to finish it. */
	FINISH_MIN_ATTEMPTS = 5,
	PEERS_MAX = 256,
	/* Shares of the usable time (see below), in thousandths. */
	STAGE_MIN_PER_MILLE = 50, /* shortest stage */
	/* Extension of a stage, past its latest end, under suspicion. */
	SUSPICION_HOLD_PER_MILLE = 100,
	ROLL_BACK_PER_MILLE = 950, /* rolled back unless finished by then */
	/* Baseline policy: least attempts, and error rate that is tolerated. */
	FIXED_MIN_ATTEMPTS = 20,
	FIXED_ERROR_PERCENT_MAX = 5,
};

/*
 * Bounds of the time at which each stage ends, in thousandths of the usable
 * time (from the start of the move to its write deadline). The earliest end
 * keeps the share small while a fault that appears with a delay may yet show
 * up. At the latest end a stage ends without enough evidence, so that a service
 * with little traffic completes its stages too.
 */
static const int stage_earliest_end[MOVE_STAGES] = {100, 200, 300, 400, 600};
static const int stage_latest_end[MOVE_STAGES] = {150, 300, 450, 600, 850};

typedef enum pending_call {
	PENDING_NONE,
	PENDING_READ,
	PENDING_SWAP
} pending_call_t;

struct move {
	move_record_t *record;
	int64_t state_revision; /* 0: unknown or absent */
	bool state_absent;	/* at the last read */
	bool must_read;		/* before the next write */
	bool stopped;
	bool stopped_by_own_evidence;
	bool stop_broadcast; /* BROADCAST_STOP was returned */
	bool superseded;
	bool comparing; /* last stage: half of the requests to each */
	char *stop_reason;
	pending_call_t pending_call;
	move_record_t *swap_record; /* of the pending swap */
	int64_t retry_at_ms;
	int64_t poll_at_ms;
	int64_t evaluate_at_ms;
	int64_t comparing_since_ms; /* 0: since the stage began */
	evidence_t *own_evidence;
	evidence_t *all_evidence; /* own and peers' */
	/* Snapshot of all_evidence when the stage began. */
	evidence_t *stage_start_evidence;
	GHashTable *peer_evidence; /* node: json_t of its last evidence */
	evidence_verdict_t verdict;
};

static void
free_json(void *json)
{
	json_decref(json);
}

move_t *
move_new(const move_record_t *record)
{
	move_t *move = g_new0(move_t, 1);

	move->record = move_record_copy(record);
	move->must_read = true;
	move->own_evidence = evidence_new();
	move->all_evidence = evidence_new();
	move->stage_start_evidence = evidence_new();
	move->peer_evidence =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_json);
	return move;
}

void
move_free(move_t *move)
{
	if (move == NULL)
		return;
	move_record_free(move->record);
	move_record_free(move->swap_record);
	evidence_free(move->own_evidence);
	evidence_free(move->all_evidence);
	evidence_free(move->stage_start_evidence);
	g_hash_table_destroy(move->peer_evidence);
	g_free(move->stop_reason);
	g_free(move);
}

const move_record_t *
move_record(const move_t *move)
{
	return move->record;
}

int64_t
move_state_revision(const move_t *move)
{
	return move->state_revision;
}

int64_t
move_write_deadline_ms(const move_record_t *record)
{
	return record->deadline_ms - MOVE_MARGIN_MS;
}

static bool
in_last_stage(const move_t *move)
{
	return move->record->stage == MOVE_STAGES - 1;
}

/*
 * The last stage sends nothing to the old version, so nothing can be compared.
 * It therefore begins with half of the requests to each version if the evidence
 * of the stage before is insufficient or suspect.
 */
static void
begin_stage(move_t *move)
{
	move->comparing =
	    in_last_stage(move) && move->record->policy == MOVE_EVIDENCE &&
	    (move->verdict != EVIDENCE_CLEAR ||
		!evidence_sample_sufficient(move->all_evidence,
		    move->stage_start_evidence, STAGE_MIN_ATTEMPTS));
	move->comparing_since_ms = 0;
	evidence_free(move->stage_start_evidence);
	move->stage_start_evidence = evidence_copy(move->all_evidence);
	move->evaluate_at_ms = 0;
}

bool
move_merge_record(move_t *move, const move_record_t *record, int64_t revision)
{
	unsigned stage = move->record->stage;
	int order;

	if (strcmp(record->id, move->record->id) != 0)
		return false;
	order = move_record_compare(record, move->record);
	if (order >= 0 && revision > move->state_revision) {
		move->state_revision = revision;
		move->state_absent = false;
	}
	if (order <= 0)
		return false;
	move_record_free(move->record);
	move->record = move_record_copy(record);
	if (revision == 0)
		move->must_read = true;
	if (record->state == MOVE_RUNNING && record->stage != stage)
		begin_stage(move);
	return true;
}

static void
schedule_retry(move_t *move, int64_t now_ms, uint64_t random)
{
	move->retry_at_ms = now_ms + RETRY_MS + (int64_t)(random % RETRY_MS);
}

void
move_read_done(move_t *move, const move_record_t *record, int64_t revision,
    bool failed, int64_t now_ms, uint64_t random)
{
	move->pending_call = PENDING_NONE;
	if (failed) {
		schedule_retry(move, now_ms, random);
		return;
	}
	move->must_read = false;
	if (record != NULL) {
		move_merge_record(move, record, revision);
		/* If the record is stale, the next swap conflicts and is
		 * followed by another read. */
		move->state_absent = false;
		return;
	}
	move->state_absent = true;
	move->state_revision = 0;
}

void
move_swap_done(move_t *move, move_write_result_t result, int64_t revision,
    int64_t now_ms, uint64_t random)
{
	move_record_t *written = move->swap_record;

	move->pending_call = PENDING_NONE;
	move->swap_record = NULL;
	if (MOVE_MUTANT == 3 && result == MOVE_WRITE_UNKNOWN)
		result = MOVE_WRITE_DONE;
	switch (result) {
	case MOVE_WRITE_DONE:
		move->state_absent = false;
		move_merge_record(move, written, revision);
		break;
	case MOVE_WRITE_NOT_WRITTEN:
		schedule_retry(move, now_ms, random);
		break;
	case MOVE_WRITE_CONFLICT:
	case MOVE_WRITE_UNKNOWN:
		/* The next read shows whether this write took effect. */
		move->must_read = true;
		schedule_retry(move, now_ms, random);
		break;
	}
	move_record_free(written);
}

static bool
past_deadline(const move_t *move, int64_t now_ms)
{
	return MOVE_MUTANT != 2 &&
	       now_ms >= move->record->deadline_ms - MOVE_CLOCK_SKEW_MS;
}

move_state_t
move_outcome(const move_t *move, int64_t now_ms)
{
	if (move->record->state == MOVE_RUNNING && past_deadline(move, now_ms))
		return MOVE_ROLLED_BACK;
	return move->record->state;
}

bool
move_recorded(const move_t *move)
{
	return move->record->state != MOVE_RUNNING;
}

bool
move_fully_recorded(const move_t *move)
{
	return move_recorded(move) &&
	       (move->record->superseded || !move->superseded);
}

bool
move_stop_broadcast_due(const move_t *move)
{
	return move->stopped && !move->stop_broadcast;
}

const char *
move_reason(const move_t *move, int64_t now_ms)
{
	if (move_recorded(move))
		return move->record->reason;
	if (move->stopped)
		return move->stop_reason;
	return past_deadline(move, now_ms)
		   ? "no finish recorded by the deadline"
		   : "";
}

double
move_new_version_share(const move_t *move, int64_t now_ms)
{
	switch (move_outcome(move, now_ms)) {
	case MOVE_FINISHED:
		return 1;
	case MOVE_ROLLED_BACK:
		return 0;
	case MOVE_RUNNING:
		break;
	}
	if (move->stopped && MOVE_MUTANT != 5)
		return 0;
	if (move->superseded || move->state_absent)
		return 0;
	/* A declaration without a state does not start the move. */
	if (move->record->lease[0] == '\0')
		return 0;
	return move->comparing ? 0.5 : move_stage_share[move->record->stage];
}

const char *
move_select_version(const move_t *move, int64_t now_ms, uint64_t random)
{
	/* 53 bits: the mantissa of a double. */
	double draw = (double)(random >> 11) / (double)(UINT64_C(1) << 53);

	return draw < move_new_version_share(move, now_ms) ? move->record->to
							   : move->record->from;
}

void
move_stop(move_t *move, const char *reason)
{
	if (move->stopped || move_recorded(move))
		return;
	move->stopped = true;
	move->stop_reason = g_strdup(reason);
}

void
move_supersede(move_t *move)
{
	move->superseded = true;
	move_stop(move, "the settings name another current version");
}

/* Baseline policy: a fixed limit on the new version's error rate alone. */
static bool
fixed_policy_rejects(const evidence_t *evidence)
{
	unsigned attempts = evidence_attempts(evidence, EVIDENCE_NEW_VERSION);

	return attempts >= FIXED_MIN_ATTEMPTS &&
	       evidence_errors(evidence, EVIDENCE_NEW_VERSION) * 100 >
		   attempts * FIXED_ERROR_PERCENT_MAX;
}

static evidence_verdict_t
evaluate(const move_t *move, const evidence_t *evidence, const char *route,
    char **reason)
{
	if (move->record->policy == MOVE_EVIDENCE)
		return evidence_evaluate(evidence, route, reason);
	if (!fixed_policy_rejects(evidence))
		return EVIDENCE_CLEAR;
	*reason =
	    g_strdup_printf("more than %d%% errors", FIXED_ERROR_PERCENT_MAX);
	return EVIDENCE_BAD;
}

/*
 * In the last stage nothing goes to the old version. A suspicion sends it half
 * of the requests again until the stage ends, so that the versions can be
 * compared.
 */
static void
compare_if_suspected(move_t *move, int64_t now_ms)
{
	if (move->record->policy != MOVE_EVIDENCE || move->comparing ||
	    !in_last_stage(move) ||
	    !evidence_regression_suspected(
		move->own_evidence, NULL, NULL, NULL))
		return;
	move->comparing = true;
	move->comparing_since_ms = now_ms;
}

void
move_observe(move_t *move, const char *version, const char *route, bool ok,
    double latency_ms, int64_t now_ms)
{
	evidence_attempt_t attempt = {
	    .version = strcmp(version, move->record->to) == 0
			   ? EVIDENCE_NEW_VERSION
			   : EVIDENCE_OLD_VERSION,
	    .new_version_share = move_new_version_share(move, now_ms),
	    .route = route,
	    .ok = ok,
	    .latency_ms = latency_ms,
	};
	char *reason = NULL;

	if (attempt.version == EVIDENCE_OLD_VERSION &&
	    strcmp(version, move->record->from) != 0)
		return;
	if (move_recorded(move) || move->stopped || past_deadline(move, now_ms))
		return;
	evidence_add(move->own_evidence, &attempt);
	evidence_add(move->all_evidence, &attempt);
	if (attempt.version == EVIDENCE_OLD_VERSION)
		return;
	if (evaluate(move, move->own_evidence, route, &reason) ==
	    EVIDENCE_BAD) {
		move->stopped_by_own_evidence = true;
		move_stop(move, reason);
	} else {
		compare_if_suspected(move, now_ms);
	}
	g_free(reason);
}

unsigned
move_own_attempts(const move_t *move)
{
	return evidence_attempts(move->own_evidence, EVIDENCE_OLD_VERSION) +
	       evidence_attempts(move->own_evidence, EVIDENCE_NEW_VERSION);
}

json_t *
move_own_evidence_to_json(const move_t *move)
{
	return evidence_to_json(move->own_evidence);
}

bool
move_merge_evidence(move_t *move, const char *peer, const json_t *evidence)
{
	const json_t *previous = g_hash_table_lookup(move->peer_evidence, peer);

	if ((previous == NULL &&
		g_hash_table_size(move->peer_evidence) >= PEERS_MAX) ||
	    !evidence_merge_json(move->all_evidence, evidence, previous))
		return false;
	g_hash_table_replace(
	    move->peer_evidence, g_strdup(peer), json_deep_copy(evidence));
	return true;
}

/* Stops the move if the evidence of all nodes proves a regression. */
static void
evaluate_all(move_t *move)
{
	char *reason = NULL;

	move->verdict = evaluate(move, move->all_evidence, NULL, &reason);
	if (move->verdict == EVIDENCE_BAD)
		move_stop(move, reason);
	g_free(reason);
}

/* Duration of a share of the usable time. */
static int64_t
usable_part_ms(const move_record_t *record, int per_mille)
{
	int64_t usable = move_write_deadline_ms(record) - record->started_ms;

	return usable * per_mille / 1000;
}

/* Time at which that share of the usable time has passed. */
static int64_t
usable_part_end_ms(const move_record_t *record, int per_mille)
{
	return record->started_ms + usable_part_ms(record, per_mille);
}

/*
 * True if, at the current rate, the stage would reach its latest end with
 * hardly an attempt at the new version. Such a stage neither limits the damage
 * nor yields evidence.
 */
static bool
stage_is_idle(const move_t *move, int64_t now_ms)
{
	const move_record_t *record = move->record;
	double elapsed_ms = (double)(now_ms - record->stage_ms);
	double length_ms = (double)(usable_part_end_ms(record,
					stage_latest_end[record->stage]) -
				    record->stage_ms);
	double attempts =
	    evidence_attempts_since(move->all_evidence,
		move->stage_start_evidence, EVIDENCE_OLD_VERSION) +
	    evidence_attempts_since(move->all_evidence,
		move->stage_start_evidence, EVIDENCE_NEW_VERSION);

	return !in_last_stage(move) && elapsed_ms > 0 &&
	       attempts / elapsed_ms * length_ms *
		       move_stage_share[record->stage] <
		   IDLE_STAGE_ATTEMPTS;
}

/*
 * A suspicion extends a stage by a limited time, or the last stage until the
 * move is rolled back.
 */
static bool
held_by_suspicion(const move_t *move, int64_t now_ms)
{
	return move->verdict != EVIDENCE_CLEAR &&
	       (in_last_stage(move) ||
		   now_ms < usable_part_end_ms(move->record,
				stage_latest_end[move->record->stage] +
				    SUSPICION_HOLD_PER_MILLE));
}

static bool
stage_complete(const move_t *move, int64_t now_ms)
{
	const move_record_t *record = move->record;
	unsigned stage = record->stage;

	if (record->policy == MOVE_FIXED_STEPS)
		return now_ms >=
		       usable_part_end_ms(record, stage_latest_end[stage]);
	if (now_ms < usable_part_end_ms(record, stage_earliest_end[stage]) ||
	    now_ms < MAX(record->stage_ms, move->comparing_since_ms) +
			 usable_part_ms(record, STAGE_MIN_PER_MILLE) ||
	    held_by_suspicion(move, now_ms))
		return false;
	return now_ms >= usable_part_end_ms(record, stage_latest_end[stage]) ||
	       stage_is_idle(move, now_ms) ||
	       evidence_sample_sufficient(move->all_evidence,
		   move->stage_start_evidence, STAGE_MIN_ATTEMPTS);
}

static move_action_t
swap_state(move_t *move, move_record_t *next, uint64_t random)
{
	bool running = next->state == MOVE_RUNNING;

	g_free(next->nonce);
	next->nonce = g_strdup_printf("%016" G_GINT64_MODIFIER "x", random);
	if (!running)
		move_record_set_string(&next->lease, "");
	move->pending_call = PENDING_SWAP;
	move->swap_record = next;
	return (move_action_t){
	    .type = MOVE_ACTION_SWAP,
	    .record = next,
	    .expected_revision = move->state_absent ? 0 : move->state_revision,
	    .lease = running && MOVE_MUTANT != 1 ? next->lease : NULL,
	};
}

static move_action_t
roll_back(move_t *move, const char *reason, uint64_t random)
{
	move_record_t *next = move_record_copy(move->record);

	next->state = MOVE_ROLLED_BACK;
	move_record_set_string(&next->reason, reason);
	return swap_state(move, next, random);
}

static move_action_t
finish(move_t *move, uint64_t random)
{
	move_record_t *next = move_record_copy(move->record);

	next->state = MOVE_FINISHED;
	move_record_set_string(&next->reason, "every stage passed");
	return swap_state(move, next, random);
}

static move_action_t
advance_stage(move_t *move, int64_t now_ms, uint64_t random)
{
	move_record_t *next = move_record_copy(move->record);

	next->stage++;
	next->stage_ms = MAX(now_ms, next->stage_ms);
	return swap_state(move, next, random);
}

static move_action_t
read_state(move_t *move)
{
	move->pending_call = PENDING_READ;
	return (move_action_t){.type = MOVE_ACTION_READ};
}

/* Rolls back unless the state may yet be written by the start of the move. */
static move_action_t
step_absent(move_t *move, int64_t now_ms, uint64_t random)
{
	if (now_ms < move->record->started_ms + MOVE_START_GRACE_MS) {
		move->must_read = true;
		schedule_retry(move, now_ms, random);
		return (move_action_t){.type = MOVE_ACTION_NONE};
	}
	if (MOVE_MUTANT == 4)
		return finish(move, random);
	return roll_back(move,
	    move->stopped ? move->stop_reason
			  : "no finish recorded by the deadline",
	    random);
}

typedef enum decision {
	DECISION_NONE,
	DECISION_NEXT_STAGE,
	DECISION_FINISH,
	DECISION_ROLL_BACK
} decision_t;

static decision_t
decide_at_stage_end(const move_t *move)
{
	if (!in_last_stage(move))
		return DECISION_NEXT_STAGE;
	if (move->record->policy == MOVE_FIXED_STEPS ||
	    evidence_attempts(move->all_evidence, EVIDENCE_NEW_VERSION) >=
		FINISH_MIN_ATTEMPTS)
		return DECISION_FINISH;
	return DECISION_NONE;
}

static decision_t
decide_running(move_t *move, int64_t now_ms, uint64_t random)
{
	decision_t decision = DECISION_NONE;

	if (move->stopped)
		return DECISION_ROLL_BACK;
	if (now_ms < move->evaluate_at_ms)
		return DECISION_NONE;
	move->evaluate_at_ms = now_ms + EVALUATE_INTERVAL_MS +
			       (int64_t)(random % EVALUATE_INTERVAL_MS);
	evaluate_all(move);
	if (move->stopped)
		return DECISION_ROLL_BACK;
	if (stage_complete(move, now_ms))
		decision = decide_at_stage_end(move);
	if (decision == DECISION_NONE &&
	    now_ms >= usable_part_end_ms(move->record, ROLL_BACK_PER_MILLE)) {
		move_stop(move, move->verdict == EVIDENCE_CLEAR
				    ? "too little evidence or time"
				    : "evidence in doubt until the end");
		decision = DECISION_ROLL_BACK;
	}
	return decision;
}

static move_action_t
step_running(move_t *move, int64_t now_ms, uint64_t random)
{
	decision_t decision = decide_running(move, now_ms, random);

	if (decision != DECISION_NONE &&
	    (move->must_read || move->state_revision == 0)) {
		move->evaluate_at_ms = now_ms;
		return read_state(move);
	}
	switch (decision) {
	case DECISION_NEXT_STAGE:
		return advance_stage(move, now_ms, random);
	case DECISION_FINISH:
		return finish(move, random);
	case DECISION_ROLL_BACK:
		return roll_back(move, move->stop_reason, random);
	case DECISION_NONE:
		break;
	}
	return (move_action_t){.type = MOVE_ACTION_NONE};
}

static move_action_t
step_unrecorded(move_t *move, int64_t now_ms, uint64_t random)
{
	if (move->state_absent && !move->must_read)
		return step_absent(move, now_ms, random);
	if (move->state_absent || move->record->lease[0] == '\0')
		return read_state(move);
	if (now_ms < move_write_deadline_ms(move->record))
		return step_running(move, now_ms, random);
	/* The lease has expired or is about to: read the outcome. */
	if (now_ms < move->poll_at_ms)
		return (move_action_t){.type = MOVE_ACTION_NONE};
	move->poll_at_ms = now_ms + POLL_MS;
	return read_state(move);
}

static move_action_t
step_final(move_t *move, uint64_t random)
{
	move_record_t *next;

	if (!move->superseded || move->record->superseded)
		return (move_action_t){.type = MOVE_ACTION_NONE};
	if (move->must_read || move->state_revision == 0)
		return read_state(move);
	next = move_record_copy(move->record);
	next->superseded = true;
	return swap_state(move, next, random);
}

move_action_t
move_step(move_t *move, bool writer, int64_t now_ms, uint64_t random)
{
	if (move_stop_broadcast_due(move)) {
		move->stop_broadcast = true;
		return (move_action_t){
		    .type = MOVE_ACTION_BROADCAST_STOP,
		    .record = move->record,
		    .reason = move->stop_reason,
		};
	}
	if (move->pending_call != PENDING_NONE || now_ms < move->retry_at_ms)
		return (move_action_t){.type = MOVE_ACTION_NONE};
	if (!writer && !move->stopped_by_own_evidence &&
	    now_ms < move->record->deadline_ms + READER_GRACE_MS)
		return (move_action_t){.type = MOVE_ACTION_NONE};
	return move_recorded(move) ? step_final(move, random)
				   : step_unrecorded(move, now_ms, random);
}
