#include "active_set.h"
#include "quota.h"
#include "suite.h"

#include <check.h>

/*
 * Quotas of a fleet whose nodes report what is asked of them, where the clients
 * of a workspace use one node or all of them.
 */

enum {
	WINDOW_MS = 8000,
	NODES = 32,
	RATE = 900000,
	BURST = 900000,
	TOLERANCE_UNITS = 140000,
	PROMPT_UNITS = 3000,
	START_MS = 1000000,
	/* The buckets are full by then. */
	DEMAND_START_MS = START_MS + WINDOW_MS,
	DEMAND_MS = 2 * WINDOW_MS,
	SEED = 3,
};

static const double window_limit =
    (RATE * (WINDOW_MS / 1000.0) + BURST) * 1.1 + TOLERANCE_UNITS;

typedef struct fleet {
	quota_t *quotas[NODES];
	double unreported[NODES];
	double demand_per_s[NODES]; /* last report of each node */
	int64_t interval_ms;
} fleet_t;

static void
fleet_start(fleet_t *fleet)
{
	quota_options_t options = {.window_ms = WINDOW_MS,
	    .tolerance_ratio = 0.1,
	    .tolerance_units = TOLERANCE_UNITS};
	catalog_t *catalog = catalog_new();
	catalog_workspace_t *workspace = g_new0(catalog_workspace_t, 1);

	workspace->name = g_strdup("depot");
	workspace->rate_per_s = RATE;
	workspace->burst = BURST;
	catalog_add_workspace(catalog, workspace);
	*fleet = (fleet_t){.interval_ms = active_set_digest_interval_ms(NODES)};
	for (int i = 0; i < NODES; i++) {
		fleet->quotas[i] = quota_new(&options);
		quota_configure(fleet->quotas[i], catalog, START_MS);
		quota_set_nodes(fleet->quotas[i], NODES, 0,
		    fleet->interval_ms / 2, START_MS);
	}
	catalog_unref(catalog);
}

static void
fleet_stop(fleet_t *fleet)
{
	for (int i = 0; i < NODES; i++)
		quota_free(fleet->quotas[i]);
}

static void
read_demand(const quota_state_t *state, void *data)
{
	*(double *)data = state->demand_per_s;
}

static void
report(fleet_t *fleet, int reporter, int64_t now_ms)
{
	quota_each(fleet->quotas[reporter], now_ms, read_demand,
	    &fleet->demand_per_s[reporter]);
	for (int i = 0; i < NODES; i++) {
		double remote = 0;

		if (i == reporter)
			continue;
		for (int j = 0; j < NODES; j++)
			if (j != i)
				remote += fleet->demand_per_s[j];
		quota_apply_remote(fleet->quotas[i], "depot",
		    fleet->unreported[reporter], 0, now_ms);
		quota_set_remote_demand(
		    fleet->quotas[i], "depot", remote, now_ms);
	}
	fleet->unreported[reporter] = 0;
}

/* Lets the nodes report whose turn in the interval it is. */
static void
report_in_turn(fleet_t *fleet, int64_t now_ms)
{
	for (int i = 0; i < NODES; i++)
		if ((now_ms - fleet->interval_ms * i / NODES) %
			fleet->interval_ms ==
		    0)
			report(fleet, i, now_ms);
}

static quota_decision_t
send_prompt(fleet_t *fleet, int node, int64_t now_ms)
{
	quota_decision_t decision = quota_take(
	    fleet->quotas[node], "depot", PROMPT_UNITS, QUOTA_URGENT, now_ms);

	if (decision.allowed)
		fleet->unreported[node] += PROMPT_UNITS;
	return decision;
}

/*
 * Guards against refusing a workspace within its quota because all of its
 * clients use one node: three quarters of it were, with equal parts.
 */
START_TEST(clients_at_one_node_get_the_quota)
{
	unsigned requests = 0, refused = 0;
	fleet_t fleet;

	fleet_start(&fleet);
	for (int64_t step = 0; step < DEMAND_MS; step++) {
		int64_t now = DEMAND_START_MS + step;

		/* 0.8 of the rate. */
		if (step % 25 < 6) {
			requests++;
			refused += !send_prompt(&fleet, 0, now).allowed;
		}
		report_in_turn(&fleet, now);
	}
	ck_assert_uint_le(refused, requests / 200);
	fleet_stop(&fleet);
}
END_TEST

/* Guards against a limit that one node exceeds as it knows of no other. */
START_TEST(flood_at_one_node_keeps_the_limit)
{
	double spent[DEMAND_MS] = {0}, sum = 0;
	fleet_t fleet;

	fleet_start(&fleet);
	for (int64_t step = 0; step < DEMAND_MS; step++) {
		int64_t now = DEMAND_START_MS + step;

		if (send_prompt(&fleet, 0, now).allowed)
			spent[step] = PROMPT_UNITS;
		report_in_turn(&fleet, now);
		sum += spent[step];
		if (step >= WINDOW_MS)
			sum -= spent[step - WINDOW_MS];
		ck_assert_double_le(sum, window_limit);
	}
	ck_assert_double_ge(sum, (RATE * (WINDOW_MS / 1000.0) + BURST) * 0.9);
	fleet_stop(&fleet);
}
END_TEST

/*
 * Guards against a 429 without Retry-After, whose client returns at once: the
 * nodes refuse what exceeds their part while the shared level is above zero.
 * Also against exceeding the limit when the demand moves to all nodes at once.
 */
START_TEST(refusals_in_a_flood_tell_when_to_return)
{
	double spent[DEMAND_MS] = {0}, sum = 0;
	GRand *random = g_rand_new_with_seed(SEED);
	unsigned refused = 0;
	fleet_t fleet;

	fleet_start(&fleet);
	for (int64_t step = 0; step < DEMAND_MS; step++) {
		int64_t now = DEMAND_START_MS + step;

		/* 6.6 times the rate. */
		for (int i = 0; i < 2; i++) {
			int node = step < WINDOW_MS / 2
				       ? 0
				       : g_rand_int_range(random, 0, NODES);
			quota_decision_t decision =
			    send_prompt(&fleet, node, now);

			if (decision.allowed) {
				spent[step] += PROMPT_UNITS;
				continue;
			}
			refused++;
			ck_assert_int_gt(decision.retry_after_ms, 0);
			ck_assert_int_le(decision.retry_after_ms, WINDOW_MS);
		}
		report_in_turn(&fleet, now);
		sum += spent[step];
		if (step >= WINDOW_MS)
			sum -= spent[step - WINDOW_MS];
		ck_assert_double_le(sum, window_limit);
	}
	ck_assert_uint_gt(refused, 0);
	g_rand_free(random);
	fleet_stop(&fleet);
}
END_TEST

/*
 * Guards against refusals after clients have moved to another node: its part
 * grows with the next reports.
 */
START_TEST(part_follows_clients_to_another_node)
{
	unsigned requests = 0, refused = 0;
	fleet_t fleet;

	fleet_start(&fleet);
	for (int64_t step = 0; step < DEMAND_MS; step++) {
		int64_t now = DEMAND_START_MS + step;
		int node = step < WINDOW_MS ? 0 : 1;

		/* 0.8 of the rate. */
		if (step % 25 < 6) {
			requests++;
			refused += !send_prompt(&fleet, node, now).allowed;
		}
		report_in_turn(&fleet, now);
	}
	ck_assert_uint_le(refused, requests / 20);
	fleet_stop(&fleet);
}
END_TEST

/* Units that one node spends for each class in the last window of a flood. */
static void
flood_one_node(bool has_urgent, double *urgent_units, double *deferrable_units)
{
	quota_t *quota = quota_new(&(quota_options_t){.window_ms = WINDOW_MS});
	catalog_t *catalog = catalog_new();
	catalog_workspace_t *workspace = g_new0(catalog_workspace_t, 1);

	workspace->name = g_strdup("depot");
	workspace->rate_per_s = RATE;
	catalog_add_workspace(catalog, workspace);
	quota_configure(quota, catalog, START_MS);
	*urgent_units = 0;
	*deferrable_units = 0;
	for (int64_t step = 0; step < DEMAND_MS; step++) {
		int64_t now = DEMAND_START_MS + step;
		bool counts = step >= WINDOW_MS;

		if (has_urgent &&
		    quota_take(quota, "depot", PROMPT_UNITS, QUOTA_URGENT, now)
			.allowed &&
		    counts)
			*urgent_units += PROMPT_UNITS;
		if (quota_take(
			quota, "depot", PROMPT_UNITS, QUOTA_DEFERRABLE, now)
			.allowed &&
		    counts)
			*deferrable_units += PROMPT_UNITS;
	}
	catalog_unref(catalog);
	quota_free(quota);
}

/*
 * Guards against a flood of requests that can wait, which use up the quota that
 * urgent requests of their workspace need, and against starving them in turn.
 */
START_TEST(urgent_requests_come_first)
{
	const double limit = RATE * (WINDOW_MS / 1000.0);
	double urgent, deferrable;

	flood_one_node(true, &urgent, &deferrable);
	ck_assert_double_ge(urgent, 0.7 * limit);
	ck_assert_double_ge(deferrable, 0.1 * limit);
	ck_assert_double_le(urgent + deferrable, limit + 2 * PROMPT_UNITS);
}
END_TEST

/* Guards against reserving quota for urgent requests that never come. */
START_TEST(deferrable_requests_alone_get_the_quota)
{
	const double limit = RATE * (WINDOW_MS / 1000.0);
	double urgent, deferrable;

	flood_one_node(false, &urgent, &deferrable);
	ck_assert_double_ge(deferrable, 0.9 * limit);
}
END_TEST

/*
 * Guards against a node that becomes active and refuses a workspace within its
 * quota: on standby it got reports of 3 s at a time, while its full bucket took
 * no refill.
 */
START_TEST(node_on_standby_follows_the_level)
{
	enum { REPORT_INTERVAL_MS = 3000 };
	fleet_t fleet;
	int64_t now = DEMAND_START_MS;

	fleet_start(&fleet);
	for (int i = 0; i < 4; i++, now += REPORT_INTERVAL_MS)
		quota_follow_level(fleet.quotas[0], "depot", BURST / 4.0, now);
	ck_assert(send_prompt(&fleet, 0, now).allowed);
	fleet_stop(&fleet);
}
END_TEST

/*
 * Guards against a node that hangs, or tells no time to return, where the
 * window is shorter than the reports are old: the bucket was never refilled.
 */
START_TEST(short_window_is_refilled)
{
	enum { SHORT_WINDOW_MS = 1000, OLD_REPORTS_MS = 1550, FLOOD_MS = 5000 };
	quota_t *quota =
	    quota_new(&(quota_options_t){.window_ms = SHORT_WINDOW_MS});
	catalog_t *catalog = catalog_new();
	catalog_workspace_t *workspace = g_new0(catalog_workspace_t, 1);
	unsigned allowed = 0;

	workspace->name = g_strdup("depot");
	workspace->rate_per_s = RATE;
	catalog_add_workspace(catalog, workspace);
	quota_configure(quota, catalog, START_MS);
	quota_set_nodes(quota, NODES, 0, OLD_REPORTS_MS, START_MS);
	for (int64_t now = START_MS; now < START_MS + FLOOD_MS; now++) {
		quota_decision_t decision =
		    quota_take(quota, "depot", PROMPT_UNITS, QUOTA_URGENT, now);

		allowed += decision.allowed;
		ck_assert(decision.allowed || decision.retry_after_ms > 0);
	}
	ck_assert_uint_gt(allowed, 0);
	catalog_unref(catalog);
	quota_free(quota);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("quota_demand");
	TCase *cases = tcase_create("quota_demand");

	tcase_add_test(cases, clients_at_one_node_get_the_quota);
	tcase_add_test(cases, flood_at_one_node_keeps_the_limit);
	tcase_add_test(cases, refusals_in_a_flood_tell_when_to_return);
	tcase_add_test(cases, part_follows_clients_to_another_node);
	tcase_add_test(cases, urgent_requests_come_first);
	tcase_add_test(cases, deferrable_requests_alone_get_the_quota);
	tcase_add_test(cases, node_on_standby_follows_the_level);
	tcase_add_test(cases, short_window_is_refilled);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
