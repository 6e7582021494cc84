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
	RATE = 160,
	DURATION_MS = 14000,
	STARTED_MS = 1000000,
	SERVERS = 18,
	/* Time that a request at an old server takes. */
	STREAM_MS = 1000,
	LATENCY_MS = 100,
};

static const rollout_limits_t limits = {.share = 0.1, .extra = 50};

/* What the new version does, and from when on. */
typedef struct plan {
	double failures;     /* share of its requests */
	double old_failures; /* the same of the old version */
	double slowness;     /* its latency: so many times */
	int64_t from_ms;     /* after the start of the move */
	double from_share;   /* load at which it turns bad */
	const char *route;   /* the only one; NULL: all */
	unsigned rate;	     /* requests a second; 0: RATE */
	bool restart;	     /* the node is started again midway */
} plan_t;

typedef struct run {
	rollout_t *move;
	GRand *random;
	rollout_view_t view;
	int64_t last_old_ms;
	unsigned requests;
	unsigned exposed; /* requests that the new version got */
	rollout_stage_t end;
	int64_t ended_ms; /* after the start */
} run_t;

static rollout_t *
new_move(void)
{
	return rollout_new(
	    &(rollout_order_t){
		.target = "v2", .revision = 7, .duration_ms = DURATION_MS},
	    &limits, STARTED_MS);
}

static bool
is_bad(const plan_t *plan, const char *route, double share, int64_t passed_ms)
{
	return passed_ms >= plan->from_ms && share >= plan->from_share &&
	       (plan->route == NULL || strcmp(plan->route, route) == 0);
}

static void
send_one(run_t *run, const plan_t *plan)
{
	double share = rollout_share(run->move, &run->view);
	bool to_new = g_rand_double(run->random) < share;
	const char *route =
	    g_rand_int_range(run->random, 0, 5) == 0 ? "b" : "a";
	bool bad =
	    to_new && is_bad(plan, route, share, run->view.now_ms - STARTED_MS);
	double failures = bad ? plan->failures : plan->old_failures;
	double slowness = bad && plan->slowness > 0 ? plan->slowness : 1;
	evidence_attempt_t attempt = {.side = to_new,
	    .share = share,
	    .route = route,
	    .ok = g_rand_double(run->random) >= failures,
	    .first_ms = LATENCY_MS * slowness *
			g_rand_double_range(run->random, 0.7, 1.6)};

	run->requests++;
	run->exposed += to_new;
	if (!to_new)
		run->last_old_ms = run->view.now_ms;
	rollout_sent(run->move, to_new);
	rollout_observe(run->move, &attempt);
}

static void
restart(run_t *run)
{
	rollout_stage_t stage = rollout_stage(run->move);

	rollout_free(run->move);
	run->move = new_move();
	rollout_enter(run->move, stage, STARTED_MS, run->view.now_ms);
}

static void
step(run_t *run, const plan_t *plan)
{
	unsigned rate = plan->rate == 0 ? RATE : plan->rate;
	rollout_stage_t next;

	for (unsigned i = 0; i < MAX(rate * TICK_MS / 1000, 1); i++)
		send_one(run, plan);
	run->view.old_in_flight =
	    run->view.now_ms - run->last_old_ms < STREAM_MS;
	next = rollout_next(run->move, &run->view);
	if (next != rollout_stage(run->move))
		rollout_enter(run->move, next, STARTED_MS, run->view.now_ms);
	if (run->ended_ms < 0 &&
	    (next == ROLLOUT_COMPLETED || next == ROLLOUT_REVERTED))
		run->ended_ms = run->view.now_ms - STARTED_MS;
}

/* Plays a move up to its deadline. */
static run_t
play(const plan_t *plan, guint32 seed)
{
	run_t run = {
	    .move = new_move(),
	    .random = g_rand_new_with_seed(seed),
	    .view = {.nodes = 1,
		.old_listed = SERVERS,
		.old_servers = SERVERS,
		.new_servers = SERVERS},
	    .ended_ms = -1,
	};

	for (int64_t passed_ms = 0; passed_ms <= DURATION_MS;
	     passed_ms += TICK_MS) {
		run.view.now_ms = STARTED_MS + passed_ms;
		if (plan->restart && passed_ms == DURATION_MS / 3)
			restart(&run);
		step(&run, plan);
	}
	run.end = rollout_stage(run.move);
	rollout_free(run.move);
	g_rand_free(run.random);
	return run;
}

enum { SEEDS = 40 };

/* The outcome, and the requests that a bad version may get. */
static void
check(const plan_t *plan, rollout_stage_t end)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		run_t run = play(plan, seed);

		ck_assert_msg(run.end == end, "seed %u: %s", seed,
		    rollout_stage_name(run.end));
		ck_assert_int_lt(run.ended_ms, DURATION_MS);
		if (end == ROLLOUT_REVERTED)
			ck_assert_double_le(run.exposed,
			    limits.share * run.requests + limits.extra);
	}
}

/* Guards against a good version that is given up. */
START_TEST(a_good_version_completes_in_time)
{
	check(&(plan_t){0}, ROLLOUT_COMPLETED);
}
END_TEST

/* Guards against taking failures of both versions for those of the new one. */
START_TEST(failures_of_both_versions_do_not_count)
{
	check(&(plan_t){.failures = 0.14, .old_failures = 0.14},
	    ROLLOUT_COMPLETED);
}
END_TEST

/* Guards against a good version that is given up since a node has restarted. */
START_TEST(a_restart_does_not_end_the_move)
{
	check(&(plan_t){.restart = true}, ROLLOUT_COMPLETED);
}
END_TEST

static const plan_t bad_plans[] = {
    {.failures = 0.3},
    {.failures = 0.3, .old_failures = 0.1},
    {.slowness = 4},
    {.failures = 0.5, .route = "b"},
    {.failures = 0.3, .from_ms = 4000},
    {.failures = 0.3, .from_ms = 7000},
    {.failures = 0.4, .from_share = 0.9}, /* under full load */
    {.failures = 0.3, .restart = true},
};

/* Guards against requests to a bad version beyond what it may get. */
START_TEST(a_bad_version_is_taken_back)
{
	check(&bad_plans[_i], ROLLOUT_REVERTED);
}
END_TEST

/* Guards against completing a version of which nothing is known. */
START_TEST(nothing_completes_without_requests)
{
	rollout_t *move = new_move();
	rollout_view_t view = {
	    .nodes = 1, .old_listed = 3, .old_servers = 3, .new_servers = 3};

	for (int64_t passed_ms = 0; passed_ms < DURATION_MS;
	     passed_ms += TICK_MS) {
		view.now_ms = STARTED_MS + passed_ms;
		rollout_enter(
		    move, rollout_next(move, &view), STARTED_MS, view.now_ms);
	}
	ck_assert_int_eq(rollout_stage(move), ROLLOUT_REVERTED);
	ck_assert_str_ne(rollout_reason(move), "");
	rollout_free(move);
}
END_TEST

/* Guards against cutting requests at the old servers, which end at once. */
START_TEST(old_requests_end_before_the_move_completes)
{
	run_t run = play(&(plan_t){0}, 3);

	ck_assert_int_eq(run.end, ROLLOUT_COMPLETED);
	ck_assert_int_ge(
	    STARTED_MS + run.ended_ms - run.last_old_ms, STREAM_MS);
}
END_TEST

/* Guards against nodes that go on where one of them knows better. */
START_TEST(a_stop_of_one_node_stops_the_others)
{
	rollout_t *one = new_move(), *other = new_move();
	rollout_view_t view = {.now_ms = STARTED_MS,
	    .nodes = 2,
	    .old_listed = 3,
	    .old_servers = 3,
	    .new_servers = 3};
	json_t *evidence = rollout_evidence(one);

	ck_assert_double_gt(rollout_share(other, &view), 0);
	ck_assert(rollout_merge(other, "n1", evidence, true));
	ck_assert(rollout_judge(other));
	ck_assert_double_eq(rollout_share(other, &view), 0);
	ck_assert_int_eq(rollout_next(other, &view), ROLLOUT_REVERTED);
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
	rollout_t *move = new_move();
	rollout_view_t view = {
	    .now_ms = STARTED_MS, .nodes = 1, .new_servers = 3};

	ck_assert_double_eq(rollout_share(move, &view), 1);
	ck_assert_int_eq(rollout_next(move, &view), ROLLOUT_COMPLETED);
	/* The same after it was taken back, and the old servers have left. */
	rollout_enter(move, ROLLOUT_REVERTED, STARTED_MS, STARTED_MS);
	ck_assert_double_eq(rollout_share(move, &view), 1);
	rollout_free(move);
}
END_TEST

/* Guards against an outcome that changes after it was written. */
START_TEST(a_final_stage_stays)
{
	rollout_t *move = new_move();
	rollout_view_t view = {.now_ms = STARTED_MS,
	    .nodes = 1,
	    .old_listed = 3,
	    .old_servers = 3,
	    .new_servers = 3};

	rollout_enter(move, ROLLOUT_REVERTED, STARTED_MS, STARTED_MS);
	rollout_enter(move, ROLLOUT_FULL, STARTED_MS, STARTED_MS);
	ck_assert_int_eq(rollout_stage(move), ROLLOUT_REVERTED);
	ck_assert_double_eq(rollout_share(move, &view), 0);
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
	    cases, a_bad_version_is_taken_back, 0, G_N_ELEMENTS(bad_plans));
	tcase_add_test(cases, nothing_completes_without_requests);
	tcase_add_test(cases, old_requests_end_before_the_move_completes);
	tcase_add_test(cases, a_stop_of_one_node_stops_the_others);
	tcase_add_test(cases, a_version_without_an_older_one_is_complete);
	tcase_add_test(cases, a_final_stage_stays);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
