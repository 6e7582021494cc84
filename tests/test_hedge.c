#include "hedge.h"
#include "retry_budget.h"
#include "suite.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>

enum {
	START_MS = 5000000,
	SEED = 7,
	SERVERS = 8,
	BASE_MS = 40,
	INTERVAL_MS = 10,
	/* The requests before that only give the percentile its samples. */
	WARM_UP = 500,
	REQUESTS = 5000,
};

static const double share = 0.05;
static const hedge_kind_t kind = {.route = "r", .service = "s"};

/* Adds times of attempts that were answered, none of them late. */
static void
add_times(hedge_t *hedge, unsigned count, double elapsed_ms, int64_t now_ms)
{
	hedge_time_t time = {
	    .elapsed_ms = elapsed_ms, .late_ms = -1, .answered = true};

	for (unsigned i = 0; i < count; i++)
		hedge_add_time(hedge, &kind, &time, now_ms);
}

/* A late attempt whose request would be answered sooner elsewhere. */
static hedge_situation_t
clear_case(void)
{
	return (hedge_situation_t){.late_ms = 200,
	    .target_ms = BASE_MS,
	    .remaining_ms = 1000,
	    .staying = SERVERS,
	    .usable = SERVERS};
}

static bool
take_hedge(hedge_t *hedge, const hedge_situation_t *situation, int64_t now_ms)
{
	if (hedge_decide(hedge, &kind, situation, now_ms) != HEDGE_SEND)
		return false;
	hedge_count_sent(hedge, kind.service);
	return true;
}

/* A node that sends requests to its servers at random. */
typedef struct simulation {
	hedge_t *hedge;
	GRand *random;
	double slowness[SERVERS]; /* factor of each server's times */
	double estimate_ms;	  /* of an attempt */
	unsigned requests;
	unsigned hedges;
	GArray *answers_ms; /* double, of the requests after the warm-up */
} simulation_t;

static simulation_t
simulation_new(double hedge_share)
{
	simulation_t sim = {.hedge = hedge_new(hedge_share),
	    .random = g_rand_new_with_seed(SEED),
	    .estimate_ms = BASE_MS,
	    .answers_ms = g_array_new(FALSE, FALSE, sizeof(double))};

	for (unsigned i = 0; i < SERVERS; i++)
		sim.slowness[i] = 1;
	return sim;
}

static void
simulation_free(simulation_t *sim)
{
	hedge_free(sim->hedge);
	g_rand_free(sim->random);
	g_array_unref(sim->answers_ms);
}

/* Time of an attempt: half of it is fixed, the rest varies. */
static double
draw_time_ms(simulation_t *sim, unsigned server)
{
	double varies = -log(1 - g_rand_double(sim->random)) / 2;

	return BASE_MS * sim->slowness[server] * (0.5 + varies);
}

/* When the hedge is sent, since the first attempt; negative: it is not. */
static double
hedge_sent_ms(simulation_t *sim, double first_ms, int64_t now_ms)
{
	int64_t delay_ms = hedge_delay_ms(sim->hedge, &kind, now_ms);
	double at_ms;

	if (delay_ms < 0)
		return -1;
	for (at_ms = (double)delay_ms; at_ms < first_ms;
	     at_ms += (double)hedge_recheck_ms(at_ms)) {
		hedge_situation_t situation = clear_case();

		situation.late_ms = at_ms - (double)delay_ms;
		situation.target_ms = sim->estimate_ms;
		if (take_hedge(sim->hedge, &situation, now_ms))
			return at_ms;
	}
	return -1;
}

static void
simulate_request(simulation_t *sim, int64_t now_ms)
{
	unsigned server = g_rand_int_range(sim->random, 0, SERVERS);
	double first_ms = draw_time_ms(sim, server), answer_ms = first_ms;
	int64_t delay_ms = hedge_delay_ms(sim->hedge, &kind, now_ms);
	hedge_time_t time = {.late_ms = -1, .answered = true};
	double sent_ms;

	hedge_count_request(sim->hedge, kind.service);
	sim->requests++;
	sent_ms = hedge_sent_ms(sim, first_ms, now_ms);
	if (sent_ms >= 0) {
		double second_ms = draw_time_ms(sim, (server + 1) % SERVERS);

		sim->hedges++;
		answer_ms = MIN(first_ms, sent_ms + second_ms);
		time.answered = answer_ms == first_ms;
	}
	time.elapsed_ms = answer_ms;
	if (delay_ms >= 0 && answer_ms >= (double)delay_ms)
		time.late_ms = answer_ms - (double)delay_ms;
	hedge_add_time(sim->hedge, &kind, &time, now_ms);
	if (sim->requests > WARM_UP)
		g_array_append_val(sim->answers_ms, answer_ms);
}

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static double
answer_quantile_ms(const simulation_t *sim, double quantile)
{
	g_array_sort(sim->answers_ms, compare_doubles);
	return g_array_index(sim->answers_ms, double,
	    (guint)(quantile * (sim->answers_ms->len - 1)));
}

static double
one_slow_server_p99_ms(double hedge_share)
{
	simulation_t sim = simulation_new(hedge_share);
	double p99_ms;

	for (unsigned i = 0; i < REQUESTS; i++) {
		/* It gets one request in eight and stalls a third of the time.
		 */
		sim.slowness[0] = i / 100 % 3 == 0 ? 12 : 1;
		simulate_request(&sim, START_MS + i * INTERVAL_MS);
	}
	ck_assert_uint_le(sim.hedges, (unsigned)(hedge_share * REQUESTS));
	p99_ms = answer_quantile_ms(&sim, 0.99);
	simulation_free(&sim);
	return p99_ms;
}

/* Guards against slow answers that stay as slow as the slow server. */
START_TEST(one_slow_server_of_many_delays_few_answers)
{
	double without_ms = one_slow_server_p99_ms(0);
	double with_ms = one_slow_server_p99_ms(share);

	ck_assert_double_lt(with_ms, without_ms / 2);
}
END_TEST

/*
 * Guards against hedges as more load where all servers are slow: at first the
 * limit holds them back, and once the estimates follow they have no gain.
 */
START_TEST(no_hedges_where_all_servers_are_slow)
{
	simulation_t sim = simulation_new(share);
	unsigned before;
	int64_t now_ms = START_MS;

	for (unsigned i = 0; i < WARM_UP; i++, now_ms += INTERVAL_MS)
		simulate_request(&sim, now_ms);
	for (unsigned i = 0; i < SERVERS; i++)
		sim.slowness[i] = 5;
	before = sim.hedges;
	for (unsigned i = 0; i < 100; i++, now_ms += INTERVAL_MS)
		simulate_request(&sim, now_ms);
	ck_assert_uint_le(sim.hedges - before, (unsigned)(100 * share + 8));
	sim.estimate_ms = 5 * BASE_MS;
	before = sim.hedges;
	for (unsigned i = 0; i < 1000; i++, now_ms += INTERVAL_MS)
		simulate_request(&sim, now_ms);
	ck_assert_uint_le(sim.hedges - before, 10);
	simulation_free(&sim);
}
END_TEST

/* Guards against hedges for each of the requests that wait in a burst. */
START_TEST(a_burst_gets_few_hedges)
{
	hedge_t *hedge = hedge_new(share);
	hedge_situation_t situation = clear_case();
	unsigned sent = 0;

	add_times(hedge, 100, BASE_MS, START_MS);
	for (unsigned i = 0; i < 1000; i++)
		hedge_count_request(hedge, kind.service);
	situation.full = SERVERS - 1;
	ck_assert_int_eq(
	    hedge_decide(hedge, &kind, &situation, START_MS), HEDGE_FULL);
	situation.full = 0;
	while (take_hedge(hedge, &situation, START_MS))
		sent++;
	ck_assert_uint_le(sent, 8);
	ck_assert_int_eq(
	    hedge_decide(hedge, &kind, &situation, START_MS), HEDGE_LIMIT);
	hedge_free(hedge);
}
END_TEST

/* Hedges and retries that a node sends where all of its requests need one. */
static unsigned
node_extra_requests(unsigned nodes, unsigned requests, unsigned *hedges)
{
	static const retry_limits_t limits = {.retries_per_request = 0.2,
	    .extra_retries = 10,
	    .window_ms = 10000};
	retry_budget_t *budget = retry_budget_new(&limits);
	hedge_t *hedge = hedge_new(hedge_share_max);
	hedge_situation_t situation = clear_case();
	unsigned own_hedges = 0, retries = 0;

	for (unsigned i = 0; i < requests; i++) {
		retry_budget_count_request(budget, kind.service, START_MS);
		hedge_count_request(hedge, kind.service);
		if (hedge_decide(hedge, &kind, &situation, START_MS) ==
			HEDGE_SEND &&
		    retry_budget_take_hedge(
			budget, kind.service, nodes, START_MS)) {
			hedge_count_sent(hedge, kind.service);
			own_hedges++;
		}
	}
	while (retry_budget_take(budget, kind.service, nodes, START_MS))
		retries++;
	ck_assert_uint_ge(retries, own_hedges);
	*hedges += own_hedges;
	retry_budget_free(budget);
	hedge_free(hedge);
	return own_hedges + retries;
}

/*
 * Guards against nodes that together exceed the limit of hedges or, with their
 * retries, the retry budget, and against hedges that leave no retries.
 */
START_TEST(many_nodes_at_the_limit_keep_the_bounds)
{
	enum { NODES = 32, NODE_REQUESTS = 400 };
	unsigned extra = 0, hedges = 0;

	for (unsigned node = 0; node < NODES; node++)
		extra += node_extra_requests(NODES, NODE_REQUESTS, &hedges);
	ck_assert_uint_gt(hedges, NODES);
	ck_assert_double_le(hedges, hedge_share_max * NODES * NODE_REQUESTS);
	ck_assert_double_le(extra, 0.2 * NODES * NODE_REQUESTS + 10);
}
END_TEST

/* Guards against an answer, or a failure, of an attempt that was cancelled. */
START_TEST(a_lost_cancel_gives_no_second_answer)
{
	for (hedge_side_t winner = 0; winner < HEDGE_SIDES; winner++) {
		hedge_side_t loser = HEDGE_SECOND - winner;
		hedge_race_t race = {0};

		hedge_race_begin(&race);
		ck_assert(hedge_race_is_open(&race));
		ck_assert(hedge_race_win(&race, winner));
		ck_assert(!hedge_race_is_open(&race));
		ck_assert(!hedge_race_win(&race, loser));
		ck_assert(!hedge_race_fail(&race, loser));
	}
}
END_TEST

/* Guards against two answers, or none, where both come in one instant. */
START_TEST(of_two_answers_at_once_one_is_taken)
{
	for (hedge_side_t first = 0; first < HEDGE_SIDES; first++) {
		hedge_race_t race = {0};
		unsigned taken = 0;

		hedge_race_begin(&race);
		taken += hedge_race_win(&race, first);
		taken += hedge_race_win(&race, HEDGE_SECOND - first);
		ck_assert_uint_eq(taken, 1);
	}
}
END_TEST

/* Guards against a wrong answer or a refusal that ends the other attempt. */
START_TEST(a_wrong_answer_leaves_the_other_attempt)
{
	for (hedge_side_t wrong = 0; wrong < HEDGE_SIDES; wrong++) {
		hedge_side_t other = HEDGE_SECOND - wrong;
		hedge_race_t race = {0}, both_wrong;

		hedge_race_begin(&race);
		ck_assert(hedge_race_fail(&race, wrong));
		both_wrong = race;
		ck_assert(hedge_race_win(&race, other));
		ck_assert(!hedge_race_fail(&both_wrong, other));
	}
}
END_TEST

/* Guards against hedges where the setting is off, the default. */
START_TEST(nothing_is_hedged_by_default)
{
	hedge_t *hedge = hedge_new(0);
	hedge_situation_t situation = clear_case();

	add_times(hedge, 1000, BASE_MS, START_MS);
	hedge_count_request(hedge, kind.service);
	ck_assert_int_eq(hedge_delay_ms(hedge, &kind, START_MS), -1);
	ck_assert(!take_hedge(hedge, &situation, START_MS));
	hedge_free(hedge);
}
END_TEST

/*
 * Guards against a percentile of a few attempts, or of old ones: the servers
 * may have been replaced since.
 */
START_TEST(the_delay_needs_recent_attempts)
{
	hedge_t *hedge = hedge_new(share);

	add_times(hedge, 59, BASE_MS, START_MS);
	ck_assert_int_eq(hedge_delay_ms(hedge, &kind, START_MS), -1);
	add_times(hedge, 1, BASE_MS, START_MS);
	ck_assert_int_ge(
	    hedge_delay_ms(hedge, &kind, START_MS + 1000), BASE_MS);
	ck_assert_int_eq(hedge_delay_ms(hedge, &kind, START_MS + 21000), -1);
	hedge_sweep(hedge, START_MS + 50000);
	ck_assert_int_eq(hedge_delay_ms(hedge, &kind, START_MS + 50000), -1);
	hedge_free(hedge);
}
END_TEST

/*
 * Guards against a delay that falls as hedges replace the slow attempts, which
 * would make ever more attempts late.
 */
START_TEST(cancelled_attempts_keep_the_delay)
{
	hedge_t *hedge = hedge_new(share);
	hedge_time_t cancelled = {.elapsed_ms = 300, .late_ms = 100};
	hedge_time_t early = {.elapsed_ms = 1, .late_ms = -1};

	add_times(hedge, 90, BASE_MS, START_MS);
	for (unsigned i = 0; i < 10; i++)
		hedge_add_time(hedge, &kind, &cancelled, START_MS);
	for (unsigned i = 0; i < 1000; i++)
		hedge_add_time(hedge, &kind, &early, START_MS);
	ck_assert_int_ge(hedge_delay_ms(hedge, &kind, START_MS), 300);
	hedge_free(hedge);
}
END_TEST

/* Guards against long prompts that count as late for their size alone. */
START_TEST(prompts_are_compared_by_their_expected_time)
{
	hedge_t *hedge = hedge_new(share);
	hedge_kind_t prompt = kind;

	for (unsigned i = 0; i < 200; i++) {
		hedge_time_t time = {.late_ms = -1, .answered = true};

		prompt.expected_ms = i % 2 == 0 ? 50 : 5000;
		time.elapsed_ms = 1.2 * prompt.expected_ms;
		hedge_add_time(hedge, &prompt, &time, START_MS);
	}
	prompt.expected_ms = 5000;
	ck_assert_int_ge(hedge_delay_ms(hedge, &prompt, START_MS), 6000);
	prompt.expected_ms = 50;
	ck_assert_int_ge(hedge_delay_ms(hedge, &prompt, START_MS), 60);
	ck_assert_int_lt(hedge_delay_ms(hedge, &prompt, START_MS), 75);
	hedge_free(hedge);
}
END_TEST

/* What keeps a late attempt from being hedged. */
static const struct refusal {
	hedge_verdict_t verdict;
	hedge_situation_t change; /* members that differ from the clear case */
} refusals[] = {
    {HEDGE_OVER_QUOTA, {.over_quota = true}},
    {HEDGE_OUTAGE, {.usable = 5}},
    {HEDGE_FULL, {.full = 5}},
    {HEDGE_NO_GAIN, {.target_ms = 170}},
    {HEDGE_DEADLINE, {.remaining_ms = 79}},
};

/* Guards against hedges that do no good, or harm. */
START_TEST(a_late_attempt_is_not_hedged)
{
	const struct refusal *refusal = &refusals[_i];
	const hedge_situation_t *change = &refusal->change;
	hedge_t *hedge = hedge_new(share);
	hedge_situation_t situation = clear_case();

	for (unsigned i = 0; i < 40; i++)
		hedge_count_request(hedge, kind.service);
	ck_assert_int_eq(
	    hedge_decide(hedge, &kind, &situation, START_MS), HEDGE_SEND);
	situation.over_quota = change->over_quota;
	situation.full = change->full;
	if (change->usable > 0)
		situation.usable = change->usable;
	if (change->target_ms > 0)
		situation.target_ms = change->target_ms;
	if (change->remaining_ms > 0)
		situation.remaining_ms = change->remaining_ms;
	ck_assert_int_eq(
	    hedge_decide(hedge, &kind, &situation, START_MS), refusal->verdict);
	hedge_free(hedge);
}
END_TEST

static const struct share_text {
	const char *text;
	double share; /* negative: rejected */
} share_texts[] = {{"0", 0}, {"0.05", 0.05}, {"0.2", 0.2}, {"0.21", -1},
    {"-0.01", -1}, {"", -1}, {"nan", -1}, {"inf", -1}, {"0.1x", -1}, {"5%", -1},
    {"0,1", -1}};

/* Guards against a limit that is not what the operators meant. */
START_TEST(the_share_is_checked)
{
	const struct share_text *expected = &share_texts[_i];
	double value = 7;
	GError *error = NULL;
	bool ok = hedge_parse_share(expected->text, "x", &value, &error);

	ck_assert_msg(ok == (expected->share >= 0), "%s", expected->text);
	ck_assert_double_eq(value, ok ? expected->share : 7);
	ck_assert((error != NULL) == !ok);
	g_clear_error(&error);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("hedge");
	TCase *cases = tcase_create("hedge");

	tcase_add_test(cases, one_slow_server_of_many_delays_few_answers);
	tcase_add_test(cases, no_hedges_where_all_servers_are_slow);
	tcase_add_test(cases, a_burst_gets_few_hedges);
	tcase_add_test(cases, many_nodes_at_the_limit_keep_the_bounds);
	tcase_add_test(cases, a_lost_cancel_gives_no_second_answer);
	tcase_add_test(cases, of_two_answers_at_once_one_is_taken);
	tcase_add_test(cases, a_wrong_answer_leaves_the_other_attempt);
	tcase_add_test(cases, nothing_is_hedged_by_default);
	tcase_add_test(cases, the_delay_needs_recent_attempts);
	tcase_add_test(cases, cancelled_attempts_keep_the_delay);
	tcase_add_test(cases, prompts_are_compared_by_their_expected_time);
	tcase_add_loop_test(
	    cases, a_late_attempt_is_not_hedged, 0, G_N_ELEMENTS(refusals));
	tcase_add_loop_test(
	    cases, the_share_is_checked, 0, G_N_ELEMENTS(share_texts));
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
