#include "rollout.h"
#include "suite.h"

#include <check.h>
#include <string.h>

/*
 * Simulates the rollout of a service with REQUESTS_PER_S requests per second,
 * in steps of TICK_MS, on one or more nodes. The first is the leader; they
 * exchange their evidence in each step.
 */
enum {
	TICK_MS = 100,
	REQUESTS_PER_S = 160,
	DURATION_MS = 14000,
	RESTART_MS = DURATION_MS / 3 / TICK_MS * TICK_MS,
	STARTED_MS = 1000000,
	SERVERS = 18,
	/* Duration of a request at an old server. */
	STREAM_MS = 1000,
	LATENCY_MS = 100,
	NODES_MAX = 8,
};

static const rollout_limits_t limits = {.share = 0.1, .extra_requests = 50};

/* Faults of the versions, and the conditions under which they occur. */
typedef struct scenario {
	double new_failure_rate; /* of the new version while faulty, 0..1 */
	double old_failure_rate; /* of the old version, and the new otherwise */
	double latency_factor;	 /* of the new version while faulty; 0: 1 */
	int64_t fault_after_ms;	 /* since the start of the rollout */
	double fault_min_share;	 /* traffic share from which on it is faulty */
	const char *fault_route; /* the only faulty one; NULL: all */
	unsigned requests_per_s; /* 0: REQUESTS_PER_S */
	bool restart_midway;	 /* the node loses its state */
	unsigned nodes;		 /* 0: 1 */
	/* Both versions are slower by this factor from burst_after_ms on. */
	double burst_latency_factor; /* 0: 1 */
	int64_t burst_after_ms;
} scenario_t;

typedef struct simulation {
	rollout_t *rollouts[NODES_MAX]; /* views of the nodes */
	GRand *random;
	rollout_inputs_t inputs;
	int64_t last_old_request_ms; /* when the last one was sent */
	unsigned requests;
	unsigned requests_to_new;
	rollout_stage_t final_stage;
	char reason[256];	/* why it was reverted */
	int64_t ended_after_ms; /* since the start; -1: not yet */
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

/* Factor of the latency of both versions. */
static double
load_factor(const scenario_t *scenario, int64_t elapsed_ms)
{
	return scenario->burst_latency_factor > 0 &&
		       elapsed_ms >= scenario->burst_after_ms
		   ? scenario->burst_latency_factor
		   : 1;
}

static void
send_request(simulation_t *simulation, const scenario_t *scenario)
{
	unsigned nodes = simulation->inputs.node_count;
	rollout_t *rollout =
	    simulation
		->rollouts[nodes == 1 ? 0
				      : g_rand_int_range(simulation->random, 0,
					    (gint32)nodes)];
	double share = rollout_traffic_share(rollout, &simulation->inputs);
	bool to_new = g_rand_double(simulation->random) < share;
	const char *route =
	    g_rand_int_range(simulation->random, 0, 5) == 0 ? "b" : "a";
	int64_t elapsed_ms = simulation->inputs.now_ms - STARTED_MS;
	bool faulty = to_new && is_faulty(scenario, route, share, elapsed_ms);
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
			  load_factor(scenario, elapsed_ms) *
			  g_rand_double_range(simulation->random, 0.7, 1.6)};

	simulation->requests++;
	simulation->requests_to_new += to_new;
	if (!to_new)
		simulation->last_old_request_ms = simulation->inputs.now_ms;
	rollout_count_request(rollout, to_new);
	rollout_add_attempt(rollout, &attempt);
}

static void
restart_node(simulation_t *simulation)
{
	rollout_stage_t stage = rollout_stage(simulation->rollouts[0]);

	rollout_free(simulation->rollouts[0]);
	simulation->rollouts[0] = new_rollout();
	rollout_set_stage(simulation->rollouts[0], stage, STARTED_MS,
	    simulation->inputs.now_ms);
}

/* Every node receives the digests of all others. */
static void
exchange_evidence(simulation_t *simulation)
{
	unsigned nodes = simulation->inputs.node_count;

	for (unsigned from = 0; nodes > 1 && from < nodes; from++) {
		const rollout_t *sender = simulation->rollouts[from];
		json_t *evidence = rollout_evidence_json(sender);
		char *name = g_strdup_printf("n%u", from);

		for (unsigned to = 0; to < nodes; to++)
			if (to != from)
				ck_assert(rollout_merge_evidence(
				    simulation->rollouts[to], name, evidence,
				    rollout_reason(sender)[0] != '\0'));
		json_decref(evidence);
		g_free(name);
	}
}

/* Applies the stage that the leader writes on every node. */
static void
set_stage(simulation_t *simulation, rollout_stage_t stage)
{
	for (unsigned i = 0; i < simulation->inputs.node_count; i++)
		rollout_set_stage(simulation->rollouts[i], stage, STARTED_MS,
		    simulation->inputs.now_ms);
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
	simulation->inputs.old_requests_in_flight =
	    simulation->inputs.now_ms - simulation->last_old_request_ms <
	    STREAM_MS;
	exchange_evidence(simulation);
	for (unsigned i = 0; i < simulation->inputs.node_count; i++)
		rollout_evaluate(simulation->rollouts[i]);
	next = rollout_next_stage(simulation->rollouts[0], &simulation->inputs);
	if (next != rollout_stage(simulation->rollouts[0]))
		set_stage(simulation, next);
	if (simulation->ended_after_ms < 0 &&
	    (next == ROLLOUT_COMPLETED || next == ROLLOUT_REVERTED))
		simulation->ended_after_ms =
		    simulation->inputs.now_ms - STARTED_MS;
}

/* Simulates a rollout up to its deadline. */
static simulation_t
simulate(const scenario_t *scenario, guint32 seed)
{
	simulation_t simulation = {
	    .random = g_rand_new_with_seed(seed),
	    .inputs = {.node_count = MAX(scenario->nodes, 1),
		.old_servers_listed = SERVERS,
		.old_servers_usable = SERVERS,
		.new_servers_usable = SERVERS},
	    .ended_after_ms = -1,
	};

	for (unsigned i = 0; i < simulation.inputs.node_count; i++)
		simulation.rollouts[i] = new_rollout();
	for (int64_t elapsed_ms = 0; elapsed_ms <= DURATION_MS;
	     elapsed_ms += TICK_MS) {
		simulation.inputs.now_ms = STARTED_MS + elapsed_ms;
		if (scenario->restart_midway && elapsed_ms == RESTART_MS)
			restart_node(&simulation);
		step(&simulation, scenario);
	}
	simulation.final_stage = rollout_stage(simulation.rollouts[0]);
	g_strlcpy(simulation.reason, rollout_reason(simulation.rollouts[0]),
	    sizeof(simulation.reason));
	for (unsigned i = 0; i < simulation.inputs.node_count; i++)
		rollout_free(simulation.rollouts[i]);
	g_rand_free(simulation.random);
	return simulation;
}

enum { SEEDS = 40 };

/* Checks the outcome and, if reverted, the number of requests sent to the new
 * version, for each seed. */
static void
check_outcome(const scenario_t *scenario, rollout_stage_t expected_stage)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		simulation_t simulation = simulate(scenario, seed);

		ck_assert_msg(simulation.final_stage == expected_stage,
		    "seed %u: %s, %s", seed,
		    rollout_stage_name(simulation.final_stage),
		    simulation.reason);
		ck_assert_int_lt(simulation.ended_after_ms, DURATION_MS);
		if (expected_stage == ROLLOUT_REVERTED)
			ck_assert_double_le(simulation.requests_to_new,
			    limits.share * simulation.requests +
				limits.extra_requests);
	}
}

/* Guards against reverting a good version. */
START_TEST(good_version_completes_before_deadline)
{
	check_outcome(&(scenario_t){0}, ROLLOUT_COMPLETED);
}
END_TEST

/* Guards against attributing failures of both versions to the new one. */
START_TEST(failures_of_both_versions_do_not_revert)
{
	check_outcome(
	    &(scenario_t){.new_failure_rate = 0.14, .old_failure_rate = 0.14},
	    ROLLOUT_COMPLETED);
}
END_TEST

/* Guards against reverting a good version because a node has restarted. */
START_TEST(node_restart_does_not_revert)
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

/* Guards against more requests to a bad version than the limits allow. */
START_TEST(bad_version_is_reverted_within_limits)
{
	check_outcome(&bad_scenarios[_i], ROLLOUT_REVERTED);
}
END_TEST

/* Guards against completing a rollout without evidence. */
START_TEST(rollout_without_requests_is_reverted)
{
	rollout_t *rollout = new_rollout();
	rollout_inputs_t inputs = {.node_count = 1,
	    .old_servers_listed = 3,
	    .old_servers_usable = 3,
	    .new_servers_usable = 3};

	for (int64_t elapsed_ms = 0; elapsed_ms < DURATION_MS;
	     elapsed_ms += TICK_MS) {
		inputs.now_ms = STARTED_MS + elapsed_ms;
		rollout_set_stage(rollout, rollout_next_stage(rollout, &inputs),
		    STARTED_MS, inputs.now_ms);
	}
	ck_assert_int_eq(rollout_stage(rollout), ROLLOUT_REVERTED);
	ck_assert_str_ne(rollout_reason(rollout), "");
	rollout_free(rollout);
}
END_TEST

/* Guards against interrupting requests at the old servers, which are stopped
 * without draining once the rollout has completed. */
START_TEST(completes_only_after_old_requests_ended)
{
	simulation_t simulation = simulate(&(scenario_t){0}, 3);

	ck_assert_int_eq(simulation.final_stage, ROLLOUT_COMPLETED);
	ck_assert_int_ge(STARTED_MS + simulation.ended_after_ms -
			     simulation.last_old_request_ms,
	    STREAM_MS);
}
END_TEST

/* Guards against hedges at the new version beside its share of the requests. */
START_TEST(hedges_at_the_new_version_use_up_its_share)
{
	rollout_t *rollout = new_rollout();
	rollout_inputs_t inputs = {.now_ms = STARTED_MS,
	    .node_count = 1,
	    .old_servers_listed = 3,
	    .old_servers_usable = 3,
	    .new_servers_usable = 3};

	for (int i = 0; i < 1000; i++)
		rollout_count_request(rollout, false);
	ck_assert_double_gt(rollout_traffic_share(rollout, &inputs), 0);
	for (int i = 0; i < 1000; i++)
		rollout_count_extra(rollout);
	ck_assert_double_eq(rollout_traffic_share(rollout, &inputs), 0);
	rollout_free(rollout);
}
END_TEST

/* Guards against nodes that still send requests to a version which another node
 * has found bad. */
START_TEST(stop_by_a_peer_stops_this_node)
{
	rollout_t *peer = new_rollout(), *rollout = new_rollout();
	rollout_inputs_t inputs = {.now_ms = STARTED_MS,
	    .node_count = 2,
	    .old_servers_listed = 3,
	    .old_servers_usable = 3,
	    .new_servers_usable = 3};
	json_t *evidence = rollout_evidence_json(peer);

	ck_assert_double_gt(rollout_traffic_share(rollout, &inputs), 0);
	ck_assert(rollout_merge_evidence(rollout, "n1", evidence, true));
	ck_assert(rollout_evaluate(rollout));
	ck_assert_double_eq(rollout_traffic_share(rollout, &inputs), 0);
	ck_assert_int_eq(
	    rollout_next_stage(rollout, &inputs), ROLLOUT_REVERTED);
	json_decref(evidence);
	rollout_free(peer);
	rollout_free(rollout);
}
END_TEST

/*
 * Guards against refusing every request when the operators request the version
 * that is already running, so that there are no servers of another one.
 */
START_TEST(rollout_without_old_servers_completes)
{
	rollout_t *rollout = new_rollout();
	rollout_inputs_t inputs = {
	    .now_ms = STARTED_MS, .node_count = 1, .new_servers_usable = 3};

	ck_assert_double_eq(rollout_traffic_share(rollout, &inputs), 1);
	ck_assert_int_eq(
	    rollout_next_stage(rollout, &inputs), ROLLOUT_COMPLETED);
	/* The same after a rollback, if the old servers are gone. */
	rollout_set_stage(rollout, ROLLOUT_REVERTED, STARTED_MS, STARTED_MS);
	ck_assert_double_eq(rollout_traffic_share(rollout, &inputs), 1);
	rollout_free(rollout);
}
END_TEST

/* Guards against changing an outcome after it was written. */
START_TEST(final_stage_does_not_change)
{
	rollout_t *rollout = new_rollout();
	rollout_inputs_t inputs = {.now_ms = STARTED_MS,
	    .node_count = 1,
	    .old_servers_listed = 3,
	    .old_servers_usable = 3,
	    .new_servers_usable = 3};

	rollout_set_stage(rollout, ROLLOUT_REVERTED, STARTED_MS, STARTED_MS);
	rollout_set_stage(rollout, ROLLOUT_FULL, STARTED_MS, STARTED_MS);
	ck_assert_int_eq(rollout_stage(rollout), ROLLOUT_REVERTED);
	ck_assert_double_eq(rollout_traffic_share(rollout, &inputs), 0);
	rollout_free(rollout);
}
END_TEST

/*
 * Guards against completing the rollout of a slow version, or sending too many
 * requests to it, where each node sees a part of the requests: from the start,
 * after a while, or as soon as the version has load.
 */
START_TEST(slow_version_is_reverted_by_several_nodes)
{
	const scenario_t scenarios[] = {
	    {.latency_factor = 4},
	    {.latency_factor = 4, .fault_after_ms = DURATION_MS / 2},
	    {.latency_factor = 4, .fault_min_share = 0.5},
	    {.latency_factor = 2.5},
	};
	scenario_t scenario = scenarios[_i];

	scenario.nodes = 6;
	check_outcome(&scenario, ROLLOUT_REVERTED);
}
END_TEST

/* Guards against reverting a good version for what several nodes have seen. */
START_TEST(good_version_completes_on_several_nodes)
{
	check_outcome(&(scenario_t){.nodes = 6}, ROLLOUT_COMPLETED);
}
END_TEST

/*
 * Guards against reverting a good version because both versions get slower
 * under a burst that begins in the ramp or in the full stage: the new version's
 * latencies are then compared with those that the old one had in calm times.
 */
START_TEST(burst_does_not_revert_a_good_version)
{
	const int64_t burst_after_ms[] = {6000, 8000, 8600};

	check_outcome(&(scenario_t){.nodes = 6,
			  .burst_latency_factor = 3,
			  .burst_after_ms = burst_after_ms[_i]},
	    ROLLOUT_COMPLETED);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("rollout");
	TCase *cases = tcase_create("rollout");

	tcase_add_test(cases, good_version_completes_before_deadline);
	tcase_add_test(cases, failures_of_both_versions_do_not_revert);
	tcase_add_test(cases, node_restart_does_not_revert);
	tcase_add_loop_test(cases, bad_version_is_reverted_within_limits, 0,
	    G_N_ELEMENTS(bad_scenarios));
	tcase_add_test(cases, rollout_without_requests_is_reverted);
	tcase_add_test(cases, completes_only_after_old_requests_ended);
	tcase_add_test(cases, hedges_at_the_new_version_use_up_its_share);
	tcase_add_test(cases, stop_by_a_peer_stops_this_node);
	tcase_add_test(cases, rollout_without_old_servers_completes);
	tcase_add_test(cases, final_stage_does_not_change);
	tcase_add_loop_test(
	    cases, slow_version_is_reverted_by_several_nodes, 0, 4);
	tcase_add_test(cases, good_version_completes_on_several_nodes);
	tcase_add_loop_test(cases, burst_does_not_revert_a_good_version, 0, 3);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
