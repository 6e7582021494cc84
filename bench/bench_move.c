#include "json.h"
#include "move.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Seeded moves of a simulated service, for both policies on the same seeds.
 * Usage: bench-move [MOVES-PER-CASE]. Prints JSON.
 */
enum {
	DEFAULT_MOVES = 200,
	NODES = 3,
	WITHIN_MS = 63000,
	USABLE_MS = WITHIN_MS - MOVE_MARGIN_MS,
	STEP_MS = 50,
	EXCHANGE_MS = 1000,
	ROUTES = 4,
};

static const double route_part[ROUTES] = {0.6, 0.3, 0.08, 0.02};
static const char *const route_name[ROUTES] = {"/a", "/b", "/c", "/d"};
static const double BASE_ERROR_RATE = 0.005;
static const double BASE_LATENCY_MS = 50;
static const double LATENCY_SIGMA = 0.5; /* of the logarithm */

typedef enum fault {
	FAULT_NONE,
	FAULT_ERRORS,	/* of the new version, from onset_ms on */
	FAULT_LOAD,	/* errors above a part of the traffic */
	FAULT_ROUTE,	/* errors on the third route */
	FAULT_SLOW,	/* latency only */
	FAULT_BOTH,	/* both versions, for a while */
	FAULT_BOTH_ONE, /* the same, at one node only */
} fault_t;

typedef struct test_case {
	const char *name;
	fault_t fault;
	bool later;
	double per_s;
} test_case_t;

static const test_case_t cases[] = {
    {"bad_at_once", FAULT_ERRORS, false, 60},
    {"bad_later", FAULT_ERRORS, true, 60},
    {"bad_under_load", FAULT_LOAD, false, 60},
    {"bad_on_one_route", FAULT_ROUTE, false, 60},
    {"bad_only_slower", FAULT_SLOW, false, 60},
    {"bad_tiny_traffic", FAULT_ERRORS, false, 0.5},
    {"good", FAULT_NONE, false, 60},
    {"good_fault_of_both", FAULT_BOTH, true, 60},
    {"good_fault_at_one_node", FAULT_BOTH_ONE, true, 60},
    {"good_tiny_traffic", FAULT_NONE, false, 0.5},
};

/* One simulated move. */
typedef struct sim {
	const test_case_t *test;
	GRand *rand;
	move_t *nodes[NODES];
	move_record_t *state; /* in the store; NULL once expired */
	int64_t revision;
	int64_t now_ms;
	int64_t onset_ms;
	int64_t fault_end_ms;
	double strength;
	double load_limit;
	double recent_new, recent_all; /* decayed request counts */
	/* Results */
	unsigned requests, met_bad;
	int64_t stopped_ms; /* every node has stopped; -1: never */
	int64_t decided_ms; /* -1: not by the deadline */
} sim_t;

static double
uniform(sim_t *sim, double low, double high)
{
	return g_rand_double_range(sim->rand, low, high);
}

static double
normal(sim_t *sim)
{
	double a = uniform(sim, 1e-12, 1), b = uniform(sim, 0, 1);

	return sqrt(-2 * log(a)) * cos(2 * G_PI * b);
}

static bool
is_bad(const test_case_t *test)
{
	return test->fault >= FAULT_ERRORS && test->fault <= FAULT_SLOW;
}

static void
sim_init(
    sim_t *sim, const test_case_t *test, move_policy_t policy, unsigned seed)
{
	move_record_t *record = g_new0(move_record_t, 1);

	memset(sim, 0, sizeof(*sim));
	sim->test = test;
	sim->rand = g_rand_new_with_seed(seed);
	record->id = g_strdup("m");
	record->service = g_strdup("team/service");
	record->from = g_strdup("v1");
	record->to = g_strdup("v2");
	record->base = g_strdup("v1");
	record->reason = g_strdup("");
	record->lease = g_strdup("l");
	record->nonce = g_strdup("n");
	record->policy = policy;
	record->deadline_ms = WITHIN_MS;
	sim->state = record;
	sim->revision = 1;
	sim->stopped_ms = -1;
	sim->decided_ms = -1;
	sim->strength = uniform(sim, 0.2, 1);
	sim->load_limit = uniform(sim, 0.1, 0.4);
	if (test->later)
		sim->onset_ms = (int64_t)(uniform(sim, 0.05, 0.55) * USABLE_MS);
	sim->fault_end_ms =
	    sim->onset_ms + (int64_t)(uniform(sim, 0.05, 0.3) * USABLE_MS);
	for (int i = 0; i < NODES; i++) {
		sim->nodes[i] = move_new(record);
		move_read_done(sim->nodes[i], record, 1, false, 0, 0);
	}
}

static void
sim_clear(sim_t *sim)
{
	for (int i = 0; i < NODES; i++)
		move_free(sim->nodes[i]);
	move_record_free(sim->state);
	g_rand_free(sim->rand);
}

static int
draw_route(sim_t *sim)
{
	double draw = uniform(sim, 0, 1);
	int route = 0;

	while (route < ROUTES - 1 && draw >= route_part[route])
		draw -= route_part[route++];
	return route;
}

/* What the fault does to one attempt. */
static bool
faulty(sim_t *sim, int node, bool is_new, int route)
{
	double part = sim->recent_new / (sim->recent_all + 1);

	switch (sim->test->fault) {
	case FAULT_NONE:
		return false;
	case FAULT_ERRORS:
	case FAULT_SLOW:
		return is_new && sim->now_ms >= sim->onset_ms;
	case FAULT_LOAD:
		return is_new && part > sim->load_limit;
	case FAULT_ROUTE:
		return is_new && route == 2;
	case FAULT_BOTH:
	case FAULT_BOTH_ONE:
		return sim->now_ms >= sim->onset_ms &&
		       sim->now_ms < sim->fault_end_ms &&
		       (sim->test->fault == FAULT_BOTH || node == 0);
	}
	return false;
}

static void
request(sim_t *sim)
{
	int node = g_rand_int_range(sim->rand, 0, NODES);
	int route = draw_route(sim);
	uint64_t draw = (uint64_t)g_rand_int(sim->rand) << 32;
	const char *version =
	    move_select_version(sim->nodes[node], sim->now_ms, draw);
	bool is_new = strcmp(version, "v2") == 0;
	bool hit = faulty(sim, node, is_new, route);
	bool slow = hit && sim->test->fault == FAULT_SLOW;
	double error_rate = hit && !slow ? sim->strength : BASE_ERROR_RATE;
	bool ok = uniform(sim, 0, 1) >= error_rate;
	double ms = BASE_LATENCY_MS * exp(LATENCY_SIGMA * normal(sim));

	/* 1.6 to 4 times as slow. */
	if (slow)
		ms *= 1 + 3 * sim->strength;
	sim->requests++;
	sim->met_bad += hit && is_new && is_bad(sim->test);
	sim->recent_all++;
	sim->recent_new += is_new;
	move_observe(
	    sim->nodes[node], version, route_name[route], ok, ms, sim->now_ms);
}

static void
swap(sim_t *sim, move_t *move, const move_action_t *action)
{
	int64_t present = sim->state != NULL ? sim->revision : 0;
	move_record_t *record = move_record_copy(action->record);

	if (action->expected_revision != present) {
		move_swap_done(move, MOVE_WRITE_CONFLICT, 0, sim->now_ms,
		    g_rand_int(sim->rand));
		move_record_free(record);
		return;
	}
	move_record_free(sim->state);
	sim->state = record;
	sim->revision++;
	move_swap_done(move, MOVE_WRITE_DONE, sim->revision, sim->now_ms, 0);
	for (int i = 0; i < NODES; i++)
		move_merge_record(sim->nodes[i], record, sim->revision);
}

static void
tell_stop(sim_t *sim, const char *reason)
{
	for (int i = 0; i < NODES; i++)
		move_stop(sim->nodes[i], reason);
}

static void
step(sim_t *sim, move_t *move)
{
	for (;;) {
		move_action_t action =
		    move_step(move, true, sim->now_ms, g_rand_int(sim->rand));

		switch (action.type) {
		case MOVE_ACTION_NONE:
			return;
		case MOVE_ACTION_BROADCAST_STOP:
			tell_stop(sim, action.reason);
			break;
		case MOVE_ACTION_READ:
			move_read_done(move, sim->state, sim->revision, false,
			    sim->now_ms, 0);
			break;
		case MOVE_ACTION_SWAP:
			swap(sim, move, &action);
			break;
		}
	}
}

static void
exchange(sim_t *sim)
{
	for (int i = 0; i < NODES; i++) {
		json_t *evidence = move_own_evidence_to_json(sim->nodes[i]);
		char name[8];

		g_snprintf(name, sizeof(name), "%d", i);
		for (int j = 0; j < NODES; j++)
			if (j != i)
				move_merge_evidence(
				    sim->nodes[j], name, evidence);
		json_decref(evidence);
	}
}

static void
note_results(sim_t *sim)
{
	bool stopped = true;

	for (int i = 0; i < NODES; i++)
		stopped = stopped && move_new_version_share(
					 sim->nodes[i], sim->now_ms) <= 0;
	if (stopped && sim->stopped_ms < 0)
		sim->stopped_ms = sim->now_ms;
	if (sim->decided_ms < 0 && sim->state != NULL &&
	    sim->state->state != MOVE_RUNNING)
		sim->decided_ms = sim->now_ms;
}

static void
sim_run(sim_t *sim)
{
	double mean = sim->test->per_s * STEP_MS / 1000;

	for (; sim->now_ms < WITHIN_MS; sim->now_ms += STEP_MS) {
		double due = mean;

		/* Poisson arrivals within one step. */
		for (due += log(uniform(sim, 1e-12, 1)); due > 0;
		     due += log(uniform(sim, 1e-12, 1)))
			request(sim);
		sim->recent_all *= 0.98;
		sim->recent_new *= 0.98;
		if (sim->now_ms >= USABLE_MS && sim->state != NULL &&
		    sim->state->state == MOVE_RUNNING)
			g_clear_pointer(&sim->state, move_record_free);
		if (sim->now_ms % EXCHANGE_MS == 0)
			exchange(sim);
		for (int i = 0; i < NODES; i++)
			step(sim, sim->nodes[i]);
		note_results(sim);
	}
}

static int
compare_double(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double
quantile(GArray *values, double at)
{
	if (values->len == 0)
		return 0;
	g_array_sort(values, compare_double);
	return g_array_index(
	    values, double, (guint)((values->len - 1) * at + 0.5));
}

typedef struct tally {
	unsigned finished, taken_back, decided, right;
	double met_bad;
	GArray *shares, *detection_ms;
} tally_t;

static void
tally_add(tally_t *tally, const sim_t *sim)
{
	bool finished =
	    sim->state != NULL && sim->state->state == MOVE_FINISHED;
	double share =
	    sim->requests == 0 ? 0 : (double)sim->met_bad / sim->requests;
	double detection = (double)(sim->stopped_ms - sim->onset_ms);

	tally->finished += finished;
	tally->taken_back += !finished;
	tally->decided += sim->decided_ms >= 0;
	tally->right += finished != is_bad(sim->test);
	tally->met_bad += share;
	g_array_append_val(tally->shares, share);
	if (is_bad(sim->test) && !finished)
		g_array_append_val(tally->detection_ms, detection);
}

static json_t *
tally_json(tally_t *tally, const test_case_t *test, unsigned moves)
{
	json_t *json = json_pack("{s:i, s:i, s:i, s:i, s:i}", "moves",
	    (int)moves, "finished", (int)tally->finished, "taken_back",
	    (int)tally->taken_back, "decided_by_deadline", (int)tally->decided,
	    "right_outcome", (int)tally->right);

	if (is_bad(test)) {
		json_object_update_new(json,
		    json_pack("{s:f, s:f, s:f, s:f}", "detection_ms_median",
			quantile(tally->detection_ms, 0.5), "detection_ms_p95",
			quantile(tally->detection_ms, 0.95),
			"share_met_bad_mean", tally->met_bad / moves,
			"share_met_bad_p95", quantile(tally->shares, 0.95)));
	} else {
		json_object_set_new(json, "false_rollbacks",
		    json_integer((json_int_t)tally->taken_back));
	}
	return json;
}

static json_t *
run_case(const test_case_t *test, move_policy_t policy, unsigned moves)
{
	tally_t tally = {
	    .shares = g_array_new(FALSE, FALSE, sizeof(double)),
	    .detection_ms = g_array_new(FALSE, FALSE, sizeof(double)),
	};
	json_t *json;

	for (unsigned seed = 1; seed <= moves; seed++) {
		sim_t sim;

		sim_init(&sim, test, policy, seed);
		sim_run(&sim);
		tally_add(&tally, &sim);
		sim_clear(&sim);
	}
	json = tally_json(&tally, test, moves);
	g_array_free(tally.shares, TRUE);
	g_array_free(tally.detection_ms, TRUE);
	return json;
}

int
main(int argc, char **argv)
{
	long moves = argc > 1 ? strtol(argv[1], NULL, 10) : DEFAULT_MOVES;
	json_t *json = json_object();

	if (moves <= 0) {
		fprintf(stderr, "bench-move: give a number of moves\n");
		return 2;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		json_object_set_new(json, cases[i].name,
		    json_pack("{s:o, s:o}", "evidence",
			run_case(&cases[i], MOVE_EVIDENCE, (unsigned)moves),
			"fixed_steps",
			run_case(
			    &cases[i], MOVE_FIXED_STEPS, (unsigned)moves)));
	json_dumpf(json, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(4));
	printf("\n");
	json_decref(json);
	return 0;
}
