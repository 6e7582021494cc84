#include "move.h"

#include <string.h>

/*
 * MOVE_MUTANT compiles a fault in, for the checks of the checks:
 * 1: a stage is written without the lease;
 * 2: the deadline does not stop requests while the store is out;
 * 3: a swap without an answer is taken as written;
 * 4: an absent state is settled as finished;
 * 5: a stop does not stop requests.
 */
#ifndef MOVE_MUTANT
#define MOVE_MUTANT 0
#endif

enum {
	RETRY_MS = 200, /* after a failed call, plus as much at random */
	POLL_MS = 500,	/* of the state around the end of its lease */
	/*
	 * Between two looks at all nodes' evidence, plus as much at random, so
	 * that one of several writers comes first.
	 */
	JUDGE_MS = 200,
	/* After the deadline, before a node that is no writer reads. */
	READER_WAIT_MS = 2000,
	/* Attempts at the new version that let a stage end early. */
	ENOUGH_ATTEMPTS = 60,
	/* A stage that is to see fewer is left early. */
	IDLE_ATTEMPTS = 2,
	/* A finish needs this many attempts over the whole move. */
	LEAST_ATTEMPTS = 5,
	PEERS_MAX = 256,
	/* Parts of the usable time, per thousand. */
	DWELL_PART = 50, /* least time in a stage */
	HOLD_PART = 100, /* of a stage in doubt after its last bound */
	GIVE_UP_PART = 950,
	/* Baseline policy: threshold and least attempts. */
	FIXED_LEAST_ATTEMPTS = 20,
	FIXED_ERRORS_PERCENT = 5,
};

/*
 * Parts of a move's usable time, per thousand: no stage ends before its first
 * bound, so that a delayed fault meets a small share; a stage without enough
 * evidence ends at its last bound, so that tiny traffic also reaches an end.
 */
static const int stage_first[MOVE_STAGES] = {100, 200, 300, 400, 600};
static const int stage_last[MOVE_STAGES] = {150, 300, 450, 600, 850};

typedef enum pending { PENDING_NONE, PENDING_READ, PENDING_SWAP } pending_t;

struct move {
	move_record_t *record;
	int64_t revision; /* of the state; 0: unknown or absent */
	bool absent;	  /* the store had no state at the last read */
	bool stale;	  /* read before the next write */
	bool stopped;
	bool own_stop; /* by this node's evidence */
	bool told;     /* peers know of the stop */
	bool superseded;
	bool comparing; /* last stage: half to each until it ends */
	char *reason;	/* of the stop */
	pending_t pending;
	move_record_t *writing;
	int64_t retry_ms;
	int64_t poll_ms;
	int64_t judge_ms;
	int64_t comparing_ms; /* since when */
	evidence_t *own;
	evidence_t *all;   /* own and peers' */
	evidence_t *since; /* all, as it was when the stage began */
	GHashTable *peers; /* node: json_t of its evidence last taken */
	evidence_verdict_t combined;
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
	move->stale = true;
	move->own = evidence_new();
	move->all = evidence_new();
	move->since = evidence_new();
	move->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_json);
	return move;
}

void
move_free(move_t *move)
{
	if (move == NULL)
		return;
	move_record_free(move->record);
	move_record_free(move->writing);
	evidence_free(move->own);
	evidence_free(move->all);
	evidence_free(move->since);
	g_hash_table_destroy(move->peers);
	g_free(move->reason);
	g_free(move);
}

const move_record_t *
move_record(const move_t *move)
{
	return move->record;
}

int64_t
move_revision(const move_t *move)
{
	return move->revision;
}

int64_t
move_last_write_ms(const move_record_t *record)
{
	return record->deadline_ms - MOVE_MARGIN_MS;
}

static bool
last_stage(const move_t *move)
{
	return move->record->stage == MOVE_STAGES - 1;
}

/*
 * The last stage sends nothing to the old version, so it begins with half to
 * each where the stage before has shown too little.
 */
static void
begin_stage(move_t *move)
{
	move->comparing = last_stage(move) &&
			  move->record->policy == MOVE_EVIDENCE &&
			  (move->combined != EVIDENCE_CLEAR ||
			      !evidence_sample_sufficient(
				  move->all, move->since, ENOUGH_ATTEMPTS));
	move->comparing_ms = 0;
	evidence_free(move->since);
	move->since = evidence_copy(move->all);
	move->judge_ms = 0;
}

bool
move_offer(move_t *move, const move_record_t *record, int64_t revision)
{
	unsigned stage = move->record->stage;
	int order;

	if (strcmp(record->id, move->record->id) != 0)
		return false;
	order = move_record_compare(record, move->record);
	if (order >= 0 && revision > move->revision) {
		move->revision = revision;
		move->absent = false;
	}
	if (order <= 0)
		return false;
	move_record_free(move->record);
	move->record = move_record_copy(record);
	if (revision == 0)
		move->stale = true;
	if (record->state == MOVE_RUNNING && record->stage != stage)
		begin_stage(move);
	return true;
}

static void
retry_later(move_t *move, int64_t now_ms, uint64_t random)
{
	move->retry_ms = now_ms + RETRY_MS + (int64_t)(random % RETRY_MS);
}

void
move_read_done(move_t *move, const move_record_t *record, int64_t revision,
    bool failed, int64_t now_ms, uint64_t random)
{
	move->pending = PENDING_NONE;
	if (failed) {
		retry_later(move, now_ms, random);
		return;
	}
	move->stale = false;
	if (record != NULL) {
		move_offer(move, record, revision);
		/* A stale answer: the next swap conflicts and reads again. */
		move->absent = false;
		return;
	}
	move->absent = true;
	move->revision = 0;
}

void
move_swap_done(move_t *move, move_write_t result, int64_t revision,
    int64_t now_ms, uint64_t random)
{
	move_record_t *written = move->writing;

	move->pending = PENDING_NONE;
	move->writing = NULL;
	if (MOVE_MUTANT == 3 && result == MOVE_WRITE_UNKNOWN)
		result = MOVE_WRITE_DONE;
	switch (result) {
	case MOVE_WRITE_DONE:
		move->absent = false;
		move_offer(move, written, revision);
		break;
	case MOVE_WRITE_NONE:
		retry_later(move, now_ms, random);
		break;
	case MOVE_WRITE_CONFLICT:
	case MOVE_WRITE_UNKNOWN:
		/* The record read next tells whether this write took effect. */
		move->stale = true;
		retry_later(move, now_ms, random);
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
		return MOVE_TAKEN_BACK;
	return move->record->state;
}

bool
move_recorded(const move_t *move)
{
	return move->record->state != MOVE_RUNNING;
}

bool
move_settled(const move_t *move)
{
	return move_recorded(move) &&
	       (move->record->superseded || !move->superseded);
}

bool
move_stopping(const move_t *move)
{
	return move->stopped && !move->told;
}

const char *
move_reason(const move_t *move, int64_t now_ms)
{
	if (move_recorded(move))
		return move->record->reason;
	if (move->stopped)
		return move->reason;
	return past_deadline(move, now_ms)
		   ? "no finish recorded by the deadline"
		   : "";
}

double
move_share(const move_t *move, int64_t now_ms)
{
	switch (move_outcome(move, now_ms)) {
	case MOVE_FINISHED:
		return 1;
	case MOVE_TAKEN_BACK:
		return 0;
	case MOVE_RUNNING:
		break;
	}
	if (move->stopped && MOVE_MUTANT != 5)
		return 0;
	if (move->superseded || move->absent)
		return 0;
	/* A declaration without a state sends nothing to the new version. */
	if (move->record->lease[0] == '\0')
		return 0;
	return move->comparing ? 0.5 : move_stage_share[move->record->stage];
}

const char *
move_pick(const move_t *move, int64_t now_ms, uint64_t random)
{
	/* 53 bits: the mantissa of a double. */
	double draw = (double)(random >> 11) / (double)(UINT64_C(1) << 53);

	return draw < move_share(move, now_ms) ? move->record->to
					       : move->record->from;
}

void
move_stop(move_t *move, const char *reason)
{
	if (move->stopped || move_recorded(move))
		return;
	move->stopped = true;
	move->reason = g_strdup(reason);
}

void
move_supersede(move_t *move)
{
	move->superseded = true;
	move_stop(move, "the settings name another current version");
}

/* Baseline policy: a fixed threshold on the new version's errors alone. */
static bool
fixed_bad(const evidence_t *evidence)
{
	unsigned attempts = evidence_attempts(evidence, EVIDENCE_NEW_VERSION);

	return attempts >= FIXED_LEAST_ATTEMPTS &&
	       evidence_errors(evidence, EVIDENCE_NEW_VERSION) * 100 >
		   attempts * FIXED_ERRORS_PERCENT;
}

static evidence_verdict_t
judge(const move_t *move, const evidence_t *evidence, const char *route,
    char **why)
{
	if (move->record->policy == MOVE_EVIDENCE)
		return evidence_evaluate(evidence, route, why);
	if (!fixed_bad(evidence))
		return EVIDENCE_CLEAR;
	*why = g_strdup_printf("more than %d%% errors", FIXED_ERRORS_PERCENT);
	return EVIDENCE_BAD;
}

/* At the last stage nothing goes to the old version: share until sure. */
static void
compare_if_doubtful(move_t *move, int64_t now_ms)
{
	if (move->record->policy != MOVE_EVIDENCE || move->comparing ||
	    !last_stage(move) || !evidence_regression_suspected(move->own))
		return;
	move->comparing = true;
	move->comparing_ms = now_ms;
}

void
move_observe(move_t *move, const char *version, const char *route, bool ok,
    double first_ms, int64_t now_ms)
{
	evidence_attempt_t attempt = {
	    .version = strcmp(version, move->record->to) == 0
			   ? EVIDENCE_NEW_VERSION
			   : EVIDENCE_OLD_VERSION,
	    .new_version_share = move_share(move, now_ms),
	    .route = route,
	    .ok = ok,
	    .latency_ms = first_ms,
	};
	char *why = NULL;

	if (attempt.version == EVIDENCE_OLD_VERSION &&
	    strcmp(version, move->record->from) != 0)
		return;
	if (move_recorded(move) || move->stopped || past_deadline(move, now_ms))
		return;
	evidence_add(move->own, &attempt);
	evidence_add(move->all, &attempt);
	if (attempt.version == EVIDENCE_OLD_VERSION)
		return;
	if (judge(move, move->own, route, &why) == EVIDENCE_BAD) {
		move->own_stop = true;
		move_stop(move, why);
	} else {
		compare_if_doubtful(move, now_ms);
	}
	g_free(why);
}

unsigned
move_attempts(const move_t *move)
{
	return evidence_attempts(move->own, EVIDENCE_OLD_VERSION) +
	       evidence_attempts(move->own, EVIDENCE_NEW_VERSION);
}

json_t *
move_evidence(const move_t *move)
{
	return evidence_to_json(move->own);
}

bool
move_merge(move_t *move, const char *node, const json_t *evidence)
{
	const json_t *last = g_hash_table_lookup(move->peers, node);

	if ((last == NULL && g_hash_table_size(move->peers) >= PEERS_MAX) ||
	    !evidence_merge_json(move->all, evidence, last))
		return false;
	g_hash_table_replace(
	    move->peers, g_strdup(node), json_deep_copy(evidence));
	return true;
}

/* Looks at all nodes' evidence. */
static void
judge_all(move_t *move)
{
	char *why = NULL;

	move->combined = judge(move, move->all, NULL, &why);
	if (move->combined == EVIDENCE_BAD)
		move_stop(move, why);
	g_free(why);
}

static int64_t
part_ms(const move_record_t *record, int per_thousand)
{
	int64_t usable = move_last_write_ms(record) - record->started_ms;

	return usable * per_thousand / 1000;
}

static int64_t
part_of_time(const move_record_t *record, int per_thousand)
{
	return record->started_ms + part_ms(record, per_thousand);
}

/*
 * True where the stage would reach its last bound with hardly an attempt at
 * the new version: it protects no one and shows nothing.
 */
static bool
stage_is_idle(const move_t *move, int64_t now_ms)
{
	const move_record_t *record = move->record;
	double elapsed_ms = (double)(now_ms - record->stage_ms);
	double length_ms =
	    (double)(part_of_time(record, stage_last[record->stage]) -
		     record->stage_ms);
	double attempts = evidence_attempts_since(
			      move->all, move->since, EVIDENCE_OLD_VERSION) +
			  evidence_attempts_since(
			      move->all, move->since, EVIDENCE_NEW_VERSION);

	return !last_stage(move) && elapsed_ms > 0 &&
	       attempts / elapsed_ms * length_ms *
		       move_stage_share[record->stage] <
		   IDLE_ATTEMPTS;
}

/* A suspicion that is not confirmed in time holds up the last stage only. */
static bool
in_doubt(const move_t *move, int64_t now_ms)
{
	return move->combined != EVIDENCE_CLEAR &&
	       (last_stage(move) ||
		   now_ms < part_of_time(move->record,
				stage_last[move->record->stage] + HOLD_PART));
}

static bool
stage_over(const move_t *move, int64_t now_ms)
{
	const move_record_t *record = move->record;
	unsigned stage = record->stage;

	if (record->policy == MOVE_FIXED_STEPS)
		return now_ms >= part_of_time(record, stage_last[stage]);
	if (now_ms < part_of_time(record, stage_first[stage]) ||
	    now_ms < MAX(record->stage_ms, move->comparing_ms) +
			 part_ms(record, DWELL_PART) ||
	    in_doubt(move, now_ms))
		return false;
	return now_ms >= part_of_time(record, stage_last[stage]) ||
	       stage_is_idle(move, now_ms) ||
	       evidence_sample_sufficient(
		   move->all, move->since, ENOUGH_ATTEMPTS);
}

static move_action_t
swap_to(move_t *move, move_record_t *next, uint64_t random)
{
	bool running = next->state == MOVE_RUNNING;

	g_free(next->nonce);
	next->nonce = g_strdup_printf("%016" G_GINT64_MODIFIER "x", random);
	if (!running)
		move_record_set(&next->lease, "");
	move->pending = PENDING_SWAP;
	move->writing = next;
	return (move_action_t){
	    .type = MOVE_ACTION_SWAP,
	    .record = next,
	    .expected = move->absent ? 0 : move->revision,
	    .lease = running && MOVE_MUTANT != 1 ? next->lease : NULL,
	};
}

static move_action_t
take_back(move_t *move, const char *reason, uint64_t random)
{
	move_record_t *next = move_record_copy(move->record);

	next->state = MOVE_TAKEN_BACK;
	move_record_set(&next->reason, reason);
	return swap_to(move, next, random);
}

static move_action_t
finish(move_t *move, uint64_t random)
{
	move_record_t *next = move_record_copy(move->record);

	next->state = MOVE_FINISHED;
	move_record_set(&next->reason, "every stage passed");
	return swap_to(move, next, random);
}

static move_action_t
next_stage(move_t *move, int64_t now_ms, uint64_t random)
{
	move_record_t *next = move_record_copy(move->record);

	next->stage++;
	next->stage_ms = MAX(now_ms, next->stage_ms);
	return swap_to(move, next, random);
}

static move_action_t
read_state(move_t *move)
{
	move->pending = PENDING_READ;
	return (move_action_t){.type = MOVE_ACTION_READ};
}

/* An absent state has expired, or was not written in time. */
static move_action_t
step_absent(move_t *move, int64_t now_ms, uint64_t random)
{
	if (now_ms < move->record->started_ms + MOVE_START_GRACE_MS) {
		move->stale = true;
		retry_later(move, now_ms, random);
		return (move_action_t){.type = MOVE_ACTION_NONE};
	}
	if (MOVE_MUTANT == 4)
		return finish(move, random);
	return take_back(move,
	    move->stopped ? move->reason : "no finish recorded by the deadline",
	    random);
}

typedef enum want { WANT_NOTHING, WANT_STAGE, WANT_FINISH, WANT_BACK } want_t;

static want_t
want_at_stage_end(const move_t *move)
{
	if (!last_stage(move))
		return WANT_STAGE;
	if (move->record->policy == MOVE_FIXED_STEPS ||
	    evidence_attempts(move->all, EVIDENCE_NEW_VERSION) >=
		LEAST_ATTEMPTS)
		return WANT_FINISH;
	return WANT_NOTHING;
}

static want_t
want_of(move_t *move, int64_t now_ms, uint64_t random)
{
	want_t want = WANT_NOTHING;

	if (move->stopped)
		return WANT_BACK;
	if (now_ms < move->judge_ms)
		return WANT_NOTHING;
	move->judge_ms = now_ms + JUDGE_MS + (int64_t)(random % JUDGE_MS);
	judge_all(move);
	if (move->stopped)
		return WANT_BACK;
	if (stage_over(move, now_ms))
		want = want_at_stage_end(move);
	if (want == WANT_NOTHING &&
	    now_ms >= part_of_time(move->record, GIVE_UP_PART)) {
		move_stop(move, move->combined == EVIDENCE_CLEAR
				    ? "too little evidence or time"
				    : "evidence in doubt until the end");
		want = WANT_BACK;
	}
	return want;
}

static move_action_t
step_running(move_t *move, int64_t now_ms, uint64_t random)
{
	want_t want = want_of(move, now_ms, random);

	if (want != WANT_NOTHING && (move->stale || move->revision == 0)) {
		move->judge_ms = now_ms;
		return read_state(move);
	}
	switch (want) {
	case WANT_STAGE:
		return next_stage(move, now_ms, random);
	case WANT_FINISH:
		return finish(move, random);
	case WANT_BACK:
		return take_back(move, move->reason, random);
	case WANT_NOTHING:
		break;
	}
	return (move_action_t){.type = MOVE_ACTION_NONE};
}

static move_action_t
step_store(move_t *move, int64_t now_ms, uint64_t random)
{
	if (move->absent && !move->stale)
		return step_absent(move, now_ms, random);
	if (move->absent || move->record->lease[0] == '\0')
		return read_state(move);
	if (now_ms < move_last_write_ms(move->record))
		return step_running(move, now_ms, random);
	/* The lease has ended or ends now: see which outcome there is. */
	if (now_ms < move->poll_ms)
		return (move_action_t){.type = MOVE_ACTION_NONE};
	move->poll_ms = now_ms + POLL_MS;
	return read_state(move);
}

static move_action_t
step_final(move_t *move, uint64_t random)
{
	move_record_t *next;

	if (!move->superseded || move->record->superseded)
		return (move_action_t){.type = MOVE_ACTION_NONE};
	if (move->stale || move->revision == 0)
		return read_state(move);
	next = move_record_copy(move->record);
	next->superseded = true;
	return swap_to(move, next, random);
}

move_action_t
move_step(move_t *move, bool writer, int64_t now_ms, uint64_t random)
{
	if (move_stopping(move)) {
		move->told = true;
		return (move_action_t){
		    .type = MOVE_ACTION_STOP,
		    .record = move->record,
		    .reason = move->reason,
		};
	}
	if (move->pending != PENDING_NONE || now_ms < move->retry_ms)
		return (move_action_t){.type = MOVE_ACTION_NONE};
	if (!writer && !move->own_stop &&
	    now_ms < move->record->deadline_ms + READER_WAIT_MS)
		return (move_action_t){.type = MOVE_ACTION_NONE};
	return move_recorded(move) ? step_final(move, random)
				   : step_store(move, now_ms, random);
}
