#include "rollout.h"
#include "suite.h"

#include <check.h>
#include <string.h>

/*
 * A move of a service that gets RATE requests a second, in steps of TICK_MS, as
 * one node sees it that holds the duties.
 */
enum {
	TICK_MS = 100,
	REQUESTS_PER_S = 160,
	DURATION_MS = 14000,
	STARTED_MS = 1000000,
	SERVERS = 18,
	/* Time that a request at an old server takes. */
	STREAM_MS = 1000,
	LATENCY_MS = 100,
};

static const rollout_limits_t limits = {.share = 0.1, .extra_requests = 50};

/* What the new version does, and from when on. */
typedef struct scenario {
	double new_failure_rate; /* share of its requests */
	double old_failure_rate; /* the same of the old version */
	double latency_factor;	 /* its latency: so many times */
	int64_t fault_after_ms;	 /* after the start of the move */
	double fault_min_share;	 /* load at which it turns bad */
	const char *fault_route; /* the only one; NULL: all */
	unsigned requests_per_s; /* requests a second; 0: RATE */
	bool restart_midway;	 /* the node is started again midway */
} scenario_t;

typedef struct simulation {
	rollout_t *move;
	GRand *random;
	rollout_inputs_t view;
	int64_t last_old_ms;
	unsigned requests;
	unsigned exposed; /* requests that the new version got */
	rollout_stage_t end;
	int64_t ended_ms; /* after the start */
} simulation_t;

static rollout_t *
new_rollout(void)
{
	return rollout_new(
	    &(rollout_spec_t){
		.target = "v2", .revision = 7, .duration_ms = DURATION_MS},
	    &limits, STARTED_MS);
}

static bool
is_faulty(const scenario_t *scenario, const char *route, double share,
    int64_t elapsed_ms)
{
	return elapsed_ms >= scenario->fault_after_ms &&
	       share >= scenario->fault_min_share &&
	       (scenario->fault_route == NULL ||
		   strcmp(scenario->fault_route, route) == 0);
}

static void
send_request(simulation_t *simulation, const scenario_t *scenario)
{
	double share =
	    rollout_traffic_share(simulation->move, &simulation->view);
	bool to_new = g_rand_double(simulation->random) < share;
	const char *route =
	    g_rand_int_range(simulation->random, 0, 5) == 0 ? "b" : "a";
	bool faulty = to_new && is_faulty(scenario, route, share,
				    simulation->view.now_ms - STARTED_MS);
	double failure_rate =
	    faulty ? scenario->new_failure_rate : scenario->old_failure_rate;
	double latency_factor = faulty && scenario->latency_factor > 0
				    ? scenario->latency_factor
				    : 1;
	evidence_attempt_t attempt = {.version = to_new,
	    .new_version_share = share,
	    .route = route,
	    .ok = g_rand_double(simulation->random) >= failure_rate,
	    .latency_ms = LATENCY_MS * latency_factor *
			  g_rand_double_range(simulation->random, 0.7, 1.6)};

	simulation->requests++;
	simulation->exposed += to_new;
	if (!to_new)
		simulation->last_old_ms = simulation->view.now_ms;
	rollout_count_request(simulation->move, to_new);
	rollout_add_attempt(simulation->move, &attempt);
}

static void
restart_node(simulation_t *simulation)
{
	rollout_stage_t stage = rollout_stage(simulation->move);

	rollout_free(simulation->move);
	simulation->move = new_rollout();
	rollout_set_stage(
	    simulation->move, stage, STARTED_MS, simulation->view.now_ms);
}

static void
step(simulation_t *simulation, const scenario_t *scenario)
{
	unsigned requests_per_s = scenario->requests_per_s == 0
				      ? REQUESTS_PER_S
				      : scenario->requests_per_s;
	rollout_stage_t next;

	for (unsigned i = 0; i < MAX(requests_per_s * TICK_MS / 1000, 1); i++)
		send_request(simulation, scenario);
	simulation->view.old_requests_in_flight =
	    simulation->view.now_ms - simulation->last_old_ms < STREAM_MS;
	next = rollout_next_stage(simulation->move, &simulation->view);
	if (next != rollout_stage(simulation->move))
		rollout_set_stage(simulation->move, next, STARTED_MS,
		    simulation->view.now_ms);
	if (simulation->ended_ms < 0 &&
	    (next == ROLLOUT_COMPLETED || next == ROLLOUT_REVERTED))
		simulation->ended_ms = simulation->view.now_ms - STARTED_MS;
}

/* Plays a move up to its deadline. */
static simulation_t
simulate(const scenario_t *scenario, guint32 seed)
{
	simulation_t simulation = {
	    .move = new_rollout(),
	    .random = g_rand_new_with_seed(seed),
	    .view = {.node_count = 1,
		.old_servers_listed = SERVERS,
		.old_servers_usable = SERVERS,
		.new_servers_usable = SERVERS},
	    .ended_ms = -1,
	};

	for (int64_t elapsed_ms = 0; elapsed_ms <= DURATION_MS;
	     elapsed_ms += TICK_MS) {
		simulation.view.now_ms = STARTED_MS + elapsed_ms;
		if (scenario->restart_midway && elapsed_ms == DURATION_MS / 3)
			restart_node(&simulation);
		step(&simulation, scenario);
	}
	simulation.end = rollout_stage(simulation.move);
	rollout_free(simulation.move);
	g_rand_free(simulation.random);
	return simulation;
}

enum { SEEDS = 40 };

/* The outcome, and the requests that a bad version may get. */
static void
check_outcome(const scenario_t *scenario, rollout_stage_t expected_stage)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		simulation_t simulation = simulate(scenario, seed);

		ck_assert_msg(simulation.end == expected_stage, "seed %u: %s",
		    seed, rollout_stage_name(simulation.end));
		ck_assert_int_lt(simulation.ended_ms, DURATION_MS);
		if (expected_stage == ROLLOUT_REVERTED)
			ck_assert_double_le(simulation.exposed,
			    limits.share * simulation.requests +
				limits.extra_requests);
	}
}

/* Guards against a good version that is given up. */
START_TEST(a_good_version_completes_in_time)
{
	check_outcome(&(scenario_t){0}, ROLLOUT_COMPLETED);
}
END_TEST

/* Guards against taking failures of both versions for those of the new one. */
START_TEST(failures_of_both_versions_do_not_count)
{
	check_outcome(
	    &(scenario_t){.new_failure_rate = 0.14, .old_failure_rate = 0.14},
	    ROLLOUT_COMPLETED);
}
END_TEST

/* Guards against a good version that is given up since a node has restarted. */
START_TEST(a_restart_does_not_end_the_move)
{
	check_outcome(&(scenario_t){.restart_midway = true}, ROLLOUT_COMPLETED);
}
END_TEST

static const scenario_t bad_scenarios[] = {
    {.new_failure_rate = 0.3},
    {.new_failure_rate = 0.3, .old_failure_rate = 0.1},
    {.latency_factor = 4},
    {.new_failure_rate = 0.5, .fault_route = "b"},
    {.new_failure_rate = 0.3, .fault_after_ms = 4000},
    {.new_failure_rate = 0.3, .fault_after_ms = 7000},
    {.new_failure_rate = 0.4, .fault_min_share = 0.9}, /* under full load */
    {.new_failure_rate = 0.3, .restart_midway = true},
};

/* Guards against requests to a bad version beyond what it may get. */
START_TEST(a_bad_version_is_taken_back)
{
	check_outcome(&bad_scenarios[_i], ROLLOUT_REVERTED);
}
END_TEST

/* Guards against completing a version of which nothing is known. */
START_TEST(nothing_completes_without_requests)
{
	rollout_t *move = new_rollout();
	rollout_inputs_t view = {.node_count = 1,
	    .old_servers_listed = 3,
	    .old_servers_usable = 3,
	    .new_servers_usable = 3};

	for (int64_t passed_ms = 0; passed_ms < DURATION_MS;
	     passed_ms += TICK_MS) {
		view.now_ms = STARTED_MS + passed_ms;
		rollout_set_stage(move, rollout_next_stage(move, &view),
		    STARTED_MS, view.now_ms);
	}
	ck_assert_int_eq(rollout_stage(move), ROLLOUT_REVERTED);
	ck_assert_str_ne(rollout_reason(move), "");
	rollout_free(move);
}
END_TEST

/* Guards against cutting requests at the old servers, which end at once. */
START_TEST(old_requests_end_before_the_move_completes)
{
	simulation_t run = simulate(&(scenario_t){0}, 3);

	ck_assert_int_eq(run.end, ROLLOUT_COMPLETED);
	ck_assert_int_ge(
	    STARTED_MS + run.ended_ms - run.last_old_ms, STREAM_MS);
}
END_TEST

/* Guards against nodes that go on where one of them knows better. */
START_TEST(a_stop_of_one_node_stops_the_others)
{
	rollout_t *one = new_rollout(), *other = new_rollout();
	rollout_inputs_t view = {.now_ms = STARTED_MS,
	    .node_count = 2,
	    .old_servers_listed = 3,
	    .old_servers_usable = 3,
	    .new_servers_usable = 3};
	json_t *evidence = rollout_evidence_json(one);

	ck_assert_double_gt(rollout_traffic_share(other, &view), 0);
	ck_assert(rollout_merge_evidence(other, "n1", evidence, true));
	ck_assert(rollout_evaluate(other));
	ck_assert_double_eq(rollout_traffic_share(other, &view), 0);
	ck_assert_int_eq(rollout_next_stage(other, &view), ROLLOUT_REVERTED);
	json_decref(evidence);
	rollout_free(one);
	rollout_free(other);
}
END_TEST

/*
 * Guards against refusing every request where the operators order the version
 * that serves already, so that there is no other one.
 */
START_TEST(a_version_without_an_older_one_is_complete)
{
	rollout_t *move = new_rollout();
	rollout_inputs_t view = {
	    .now_ms = STARTED_MS, .node_count = 1, .new_servers_usable = 3};

	ck_assert_double_eq(rollout_traffic_share(move, &view), 1);
	ck_assert_int_eq(rollout_next_stage(move, &view), ROLLOUT_COMPLETED);
	/* The same after it was taken back, and the old servers have left. */
	rollout_set_stage(move, ROLLOUT_REVERTED, STARTED_MS, STARTED_MS);
	ck_assert_double_eq(rollout_traffic_share(move, &view), 1);
	rollout_free(move);
}
END_TEST

/* Guards against an outcome that changes after it was written. */
START_TEST(a_final_stage_stays)
{
	rollout_t *move = new_rollout();
	rollout_inputs_t view = {.now_ms = STARTED_MS,
	    .node_count = 1,
	    .old_servers_listed = 3,
	    .old_servers_usable = 3,
	    .new_servers_usable = 3};

	rollout_set_stage(move, ROLLOUT_REVERTED, STARTED_MS, STARTED_MS);
	rollout_set_stage(move, ROLLOUT_FULL, STARTED_MS, STARTED_MS);
	ck_assert_int_eq(rollout_stage(move), ROLLOUT_REVERTED);
	ck_assert_double_eq(rollout_traffic_share(move, &view), 0);
	rollout_free(move);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("rollout");
	TCase *cases = tcase_create("rollout");

	tcase_add_test(cases, a_good_version_completes_in_time);
	tcase_add_test(cases, failures_of_both_versions_do_not_count);
	tcase_add_test(cases, a_restart_does_not_end_the_move);
	tcase_add_loop_test(
	    cases, a_bad_version_is_taken_back, 0, G_N_ELEMENTS(bad_scenarios));
	tcase_add_test(cases, nothing_completes_without_requests);
	tcase_add_test(cases, old_requests_end_before_the_move_completes);
	tcase_add_test(cases, a_stop_of_one_node_stops_the_others);
	tcase_add_test(cases, a_version_without_an_older_one_is_complete);
	tcase_add_test(cases, a_final_stage_stays);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
