#include "quota.h"
#include "suite.h"

#include <check.h>

enum {
	WINDOW_MS = 8000,
	REPORT_AGE_MS = 200,
	RATE = 1000,
	BURST = 2000,
	LIMIT = RATE * WINDOW_MS / 1000 + BURST,
	START_MS = 1000000,
	STEP_MS = 50,
	UNITS = 40,
};

static catalog_t *
catalog_with(double rate, double burst)
{
	catalog_t *catalog = catalog_new();
	catalog_workspace_t *workspace = g_new0(catalog_workspace_t, 1);

	workspace->name = g_strdup("depot");
	workspace->rate_per_s = rate;
	workspace->burst = burst;
	catalog_add_workspace(catalog, workspace);
	return catalog;
}

static quota_t *
quota_with(double rate, double burst, int64_t now_ms)
{
	quota_t *quota = quota_new(&(quota_options_t){.window_ms = WINDOW_MS});
	catalog_t *catalog = catalog_with(rate, burst);

	quota_configure(quota, catalog, now_ms);
	catalog_unref(catalog);
	return quota;
}

/* Units admitted of a steady demand above the rate, from one time to another.
 */
static double
admitted_units(quota_t *quota, int64_t from_ms, int64_t to_ms)
{
	double sum = 0;

	for (int64_t now = from_ms; now < to_ms; now += STEP_MS)
		for (int i = 0; i < 10; i++)
			if (quota_take(quota, "depot", UNITS, false, now)
				.allowed)
				sum += UNITS;
	return sum;
}

/* Guards against refusing what the quota allows over its window. */
START_TEST(a_steady_demand_gets_the_whole_window)
{
	quota_t *quota = quota_with(RATE, BURST, START_MS);
	int64_t later_ms = START_MS + 3 * WINDOW_MS;

	admitted_units(quota, START_MS, later_ms);
	ck_assert_double_ge(
	    admitted_units(quota, later_ms, later_ms + 4 * WINDOW_MS),
	    4 * LIMIT * 0.9);
	quota_free(quota);
}
END_TEST

/*
 * Guards against refusing a workspace that asks for just its limit: where the
 * bound has a tolerance, the capacity of the bucket lies in it.
 */
START_TEST(a_demand_at_the_limit_is_served)
{
	enum { DEMAND_STEP = LIMIT * STEP_MS / WINDOW_MS, WINDOWS = 6 };
	catalog_t *catalog = catalog_with(RATE, BURST);
	quota_t *quota = quota_new(&(quota_options_t){.window_ms = WINDOW_MS,
	    .tolerance_ratio = 0.1,
	    .tolerance_units = LIMIT * 0.15});
	double asked = 0, served = 0;

	quota_configure(quota, catalog, START_MS);
	for (int64_t now = START_MS + WINDOW_MS;
	     now < START_MS + WINDOWS * WINDOW_MS; now += STEP_MS) {
		asked += DEMAND_STEP;
		if (quota_take(quota, "depot", DEMAND_STEP, false, now).allowed)
			served += DEMAND_STEP;
	}
	ck_assert_double_ge(served, asked * 0.98);
	catalog_unref(catalog);
	quota_free(quota);
}
END_TEST

/* Guards against more than the bound of any window, from the start on. */
START_TEST(no_window_passes_the_bound)
{
	quota_t *quota = quota_with(RATE, BURST, START_MS);
	GArray *taken = g_array_new(FALSE, TRUE, sizeof(double));
	size_t width = WINDOW_MS / STEP_MS;

	for (int64_t now = START_MS; now < START_MS + 5 * WINDOW_MS;
	     now += STEP_MS) {
		double units = admitted_units(quota, now, now + STEP_MS);

		g_array_append_val(taken, units);
	}
	for (guint i = 0; i + width <= taken->len; i++) {
		double sum = 0;

		for (size_t j = 0; j < width; j++)
			sum += g_array_index(taken, double, i + j);
		ck_assert_double_le(sum, LIMIT + UNITS);
	}
	g_array_unref(taken);
	quota_free(quota);
}
END_TEST

/*
 * Guards against a second quota after all nodes were restarted, whenever
 * in the window the first one was spent.
 */
START_TEST(a_restart_keeps_the_bound)
{
	for (int64_t ran_ms = 0; ran_ms <= WINDOW_MS; ran_ms += 500) {
		quota_t *quota = quota_with(RATE, BURST, START_MS);
		int64_t from_ms = START_MS + 2 * WINDOW_MS;
		int64_t restart_ms = from_ms + ran_ms;
		double sum = admitted_units(quota, from_ms, restart_ms);

		quota_free(quota);
		quota = quota_with(RATE, BURST, restart_ms);
		sum += admitted_units(quota, restart_ms, from_ms + WINDOW_MS);
		ck_assert_double_le(sum, LIMIT + 2 * UNITS);
		quota_free(quota);
	}
}
END_TEST

/* Nodes, and the time between two of their digests. */
static const struct fleet {
	int nodes;
	int exchange_ms;
} fleets[] = {{7, 200}, {62, 930}};

enum { NODES_MAX = 62 };

/* Tells every node what the others have spent since the last time. */
static void
exchange_reports(quota_t **quotas, double *unsent, int nodes, int64_t now_ms)
{
	for (int i = 0; i < nodes; i++) {
		for (int j = 0; j < nodes; j++)
			if (i != j)
				quota_apply_remote(
				    quotas[j], "depot", unsent[i], 0, now_ms);
		unsent[i] = 0;
	}
}

/*
 * Guards against nodes that all use the same free part at the same time, also
 * where digests are rare because the fleet is large.
 */
START_TEST(nodes_together_keep_the_bound)
{
	const struct fleet *fleet = &fleets[_i];
	quota_t *quotas[NODES_MAX] = {0};
	double unsent[NODES_MAX] = {0}, total = 0;

	for (int i = 0; i < fleet->nodes; i++) {
		quotas[i] = quota_with(RATE, BURST, START_MS);
		quota_set_nodes(quotas[i], (unsigned)fleet->nodes, 0,
		    fleet->exchange_ms, START_MS);
	}
	for (int64_t now = START_MS; now < START_MS + 4 * WINDOW_MS; now++) {
		for (int i = 0; i < fleet->nodes; i++) {
			if (!quota_take(quotas[i], "depot", UNITS, false, now)
				 .allowed)
				continue;
			unsent[i] += UNITS;
			if (now >= START_MS + 3 * WINDOW_MS)
				total += UNITS;
		}
		if (now % fleet->exchange_ms == 0)
			exchange_reports(quotas, unsent, fleet->nodes, now);
	}
	ck_assert_double_le(total, LIMIT * 1.1);
	ck_assert_double_ge(total, LIMIT * 0.7);
	for (int i = 0; i < fleet->nodes; i++)
		quota_free(quotas[i]);
}
END_TEST

/*
 * Guards against nodes that each spend a full bucket in a sudden flood, before
 * they hear of each other.
 */
START_TEST(a_sudden_flood_keeps_the_bound)
{
	enum { FLOOD_UNITS = 4 };
	const struct fleet *fleet = &fleets[_i];
	int64_t flood_ms = START_MS + 2 * WINDOW_MS;
	quota_t *quotas[NODES_MAX] = {0};
	double unsent[NODES_MAX] = {0}, total = 0;

	for (int i = 0; i < fleet->nodes; i++) {
		quotas[i] = quota_with(RATE, BURST, START_MS);
		quota_set_nodes(quotas[i], (unsigned)fleet->nodes, 0,
		    fleet->exchange_ms, START_MS);
	}
	for (int64_t now = flood_ms; now < flood_ms + WINDOW_MS; now++) {
		for (int i = 0; i < fleet->nodes; i++) {
			if (!quota_take(
				quotas[i], "depot", FLOOD_UNITS, false, now)
				 .allowed)
				continue;
			unsent[i] += FLOOD_UNITS;
			total += FLOOD_UNITS;
		}
		if ((now + 1) % fleet->exchange_ms == 0)
			exchange_reports(quotas, unsent, fleet->nodes, now);
	}
	ck_assert_double_le(total, LIMIT * 1.1);
	for (int i = 0; i < fleet->nodes; i++)
		quota_free(quotas[i]);
}
END_TEST

/* Guards against two halves of a partition that each spend the whole. */
START_TEST(silent_nodes_keep_their_part)
{
	quota_t *quota = quota_with(RATE, BURST, START_MS);
	double sum = 0;

	for (int64_t now = START_MS; now < START_MS + 4 * WINDOW_MS;
	     now += STEP_MS) {
		double units;

		quota_set_nodes(quota, 4, 3, REPORT_AGE_MS, now);
		units = admitted_units(quota, now, now + STEP_MS);
		if (now >= START_MS + 3 * WINDOW_MS)
			sum += units;
	}
	ck_assert_double_le(sum, LIMIT / 4.0 + UNITS);
	quota_free(quota);
}
END_TEST

/*
 * Guards against refusing bookings, which cost next to nothing, because the
 * prompts of the same workspace have used up its quota.
 */
START_TEST(small_requests_pass_beside_a_flood)
{
	enum { PROMPT = 200, SMALL = 1 };
	quota_t *quota = quota_with(RATE, BURST, START_MS);
	unsigned refused = 0;
	double sum = 0;

	for (int64_t now = START_MS + WINDOW_MS; now < START_MS + 2 * WINDOW_MS;
	     now += STEP_MS) {
		if (quota_take(quota, "depot", PROMPT, false, now).allowed)
			sum += PROMPT;
		if (quota_take(quota, "depot", SMALL, true, now).allowed)
			sum += SMALL;
		else
			refused++;
	}
	ck_assert_uint_eq(refused, 0);
	ck_assert_double_le(sum, LIMIT + PROMPT);
	quota_free(quota);
}
END_TEST

/* Guards against small requests without an end. */
START_TEST(small_requests_keep_the_bound)
{
	quota_t *quota = quota_with(RATE, BURST, START_MS);
	double sum = 0;

	for (int64_t now = START_MS + WINDOW_MS; now < START_MS + 2 * WINDOW_MS;
	     now += STEP_MS)
		for (int i = 0; i < 10; i++)
			if (quota_take(quota, "depot", UNITS, true, now)
				.allowed)
				sum += UNITS;
	ck_assert_double_le(sum, LIMIT * 1.1);
	quota_free(quota);
}
END_TEST

/* Guards against a refusal that costs the workspace its quota. */
START_TEST(what_was_not_run_is_given_back)
{
	quota_t *quota = quota_with(RATE, BURST, START_MS);
	int64_t later_ms = START_MS + WINDOW_MS;
	quota_decision_t verdict;

	ck_assert(quota_take(quota, "depot", LIMIT, false, later_ms).allowed);
	verdict = quota_take(quota, "depot", UNITS, false, later_ms + 300);
	ck_assert(!verdict.allowed);
	ck_assert_int_gt(verdict.retry_after_ms, 0);
	quota_refund(quota, "depot", LIMIT, later_ms + 300);
	ck_assert(
	    quota_take(quota, "depot", UNITS, false, later_ms + 600).allowed);
	quota_free(quota);
}
END_TEST

/* Guards against a quota without a burst that lets nothing pass. */
START_TEST(a_rate_without_a_burst_is_served)
{
	quota_t *quota = quota_with(RATE, 0, START_MS);

	ck_assert_double_ge(admitted_units(quota, START_MS + WINDOW_MS,
				START_MS + 2 * WINDOW_MS),
	    RATE * (WINDOW_MS / 1000.0) * 0.9);
	quota_free(quota);
}
END_TEST

START_TEST(a_workspace_without_a_limit_is_never_refused)
{
	quota_t *quota = quota_with(0, 0, START_MS);

	ck_assert(quota_take(quota, "depot", 1e9, false, START_MS).allowed);
	ck_assert(quota_take(quota, "other", 1e9, false, START_MS).allowed);
	quota_free(quota);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("quota");
	TCase *cases = tcase_create("quota");

	tcase_add_test(cases, a_steady_demand_gets_the_whole_window);
	tcase_add_test(cases, a_demand_at_the_limit_is_served);
	tcase_add_test(cases, no_window_passes_the_bound);
	tcase_add_test(cases, a_restart_keeps_the_bound);
	tcase_add_loop_test(
	    cases, a_sudden_flood_keeps_the_bound, 0, G_N_ELEMENTS(fleets));
	tcase_add_loop_test(
	    cases, nodes_together_keep_the_bound, 0, G_N_ELEMENTS(fleets));
	tcase_add_test(cases, silent_nodes_keep_their_part);
	tcase_add_test(cases, small_requests_pass_beside_a_flood);
	tcase_add_test(cases, small_requests_keep_the_bound);
	tcase_add_test(cases, what_was_not_run_is_given_back);
	tcase_add_test(cases, a_rate_without_a_burst_is_served);
	tcase_add_test(cases, a_workspace_without_a_limit_is_never_refused);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
