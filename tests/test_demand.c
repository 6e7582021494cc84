#include "demand.h"
#include "suite.h"

#include <check.h>

enum { NODES = 32, REPORT_AGE_MS = 300, START_MS = 1000000, STEP_MS = 10 };

/* A demand of units_per_s at this node from START_MS to the returned time. */
static int64_t
run_demand(demand_t *demand, double units_per_s, int64_t duration_ms)
{
	int64_t now = START_MS;

	for (; now < START_MS + duration_ms; now += STEP_MS)
		demand_add(demand, units_per_s * STEP_MS / 1000, now);
	return now;
}

/* Guards against dividing by what nobody has reported. */
START_TEST(without_reports_the_share_is_equal)
{
	demand_t demand = {0};
	int64_t now = run_demand(&demand, 1000, 2000);

	ck_assert_double_eq_tol(
	    demand_share(&demand, NODES, REPORT_AGE_MS, now), 1.0 / NODES,
	    1e-9);
}
END_TEST

/* Guards against an equal share where all clients use this node. */
START_TEST(only_node_with_demand_gets_most)
{
	demand_t demand = {0};
	int64_t now = run_demand(&demand, 1000, 2000);

	demand_set_remote(&demand, 0, now);
	ck_assert_double_gt(
	    demand_share(&demand, NODES, REPORT_AGE_MS, now), 0.7);
}
END_TEST

/* Guards against shares that sum up to more than the whole. */
START_TEST(even_demand_gives_equal_shares)
{
	demand_t demand = {0};
	int64_t now = run_demand(&demand, 1000, 2000);

	demand_set_remote(&demand, 1000 * (NODES - 1), now);
	ck_assert_double_eq_tol(
	    demand_share(&demand, NODES, REPORT_AGE_MS, now), 1.0 / NODES,
	    0.001);
}
END_TEST

/* Guards against a node that is asked for the first time and has no part. */
START_TEST(node_without_demand_keeps_a_small_share)
{
	demand_t demand = {0};

	demand_set_remote(&demand, 1000, START_MS);
	ck_assert_double_gt(
	    demand_share(&demand, NODES, REPORT_AGE_MS, START_MS), 0.001);
}
END_TEST

/*
 * Guards against a surge at all nodes in which each compares its own demand
 * with old reports, and takes far more than its share.
 */
START_TEST(own_demand_is_as_old_as_the_reports)
{
	demand_t demand = {0};
	int64_t now = run_demand(&demand, 1000, 2000);

	for (int64_t end = now + REPORT_AGE_MS; now < end; now += STEP_MS)
		demand_add(&demand, 10000.0 * STEP_MS / 1000, now);
	demand_set_remote(&demand, 1000 * (NODES - 1), now);
	ck_assert_double_lt(
	    demand_share(&demand, NODES, REPORT_AGE_MS, now), 2.0 / NODES);
}
END_TEST

/* Guards against reports of nodes that were lost seconds ago. */
START_TEST(old_reports_are_not_used)
{
	demand_t demand = {0};
	int64_t now = run_demand(&demand, 1000, 2000);

	demand_set_remote(&demand, 0, now);
	now = START_MS + 6000;
	demand_add(&demand, 1000, now);
	ck_assert_double_eq_tol(
	    demand_share(&demand, NODES, REPORT_AGE_MS, now), 1.0 / NODES,
	    1e-9);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("demand");
	TCase *cases = tcase_create("demand");

	tcase_add_test(cases, without_reports_the_share_is_equal);
	tcase_add_test(cases, only_node_with_demand_gets_most);
	tcase_add_test(cases, even_demand_gives_equal_shares);
	tcase_add_test(cases, node_without_demand_keeps_a_small_share);
	tcase_add_test(cases, own_demand_is_as_old_as_the_reports);
	tcase_add_test(cases, old_reports_are_not_used);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
