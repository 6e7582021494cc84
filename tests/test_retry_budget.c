#include "retry_budget.h"
#include "suite.h"

#include <check.h>

enum { WINDOW_MS = 10000, START_MS = 5000000, NODES = 7 };

static const retry_limits_t limits = {
    .retries_per_request = 0.2, .extra_retries = 54, .window_ms = WINDOW_MS};

static unsigned
take_all(retry_budget_t *budget, int64_t now_ms)
{
	unsigned taken = 0;

	while (retry_budget_take(budget, "s", NODES, now_ms))
		taken++;
	return taken;
}

/* Guards against nodes that together retry more than the limit allows. */
START_TEST(all_nodes_together_keep_the_limit)
{
	unsigned sum = 0;

	for (int node = 0; node < NODES; node++) {
		retry_budget_t *budget = retry_budget_new(&limits);

		for (int i = 0; i < 100; i++)
			retry_budget_count_request(budget, "s", START_MS);
		sum += take_all(budget, START_MS);
		retry_budget_free(budget);
	}
	ck_assert_uint_le(sum, (unsigned)(0.2 * 100 * NODES + 54));
	ck_assert_uint_ge(sum, 100);
}
END_TEST

/* Guards against fixed windows: a sliding one could have twice the limit. */
START_TEST(sliding_window_keeps_the_limit)
{
	retry_budget_t *budget = retry_budget_new(&limits);
	unsigned sum;

	for (int i = 0; i < 100; i++)
		retry_budget_count_request(budget, "s", START_MS);
	sum = take_all(budget, START_MS + WINDOW_MS / 2);
	ck_assert_uint_gt(sum, 0);
	ck_assert_uint_eq(take_all(budget, START_MS + WINDOW_MS * 9 / 10), 0);
	retry_budget_free(budget);
}
END_TEST

/* Guards against one service using up the retries of another. */
START_TEST(services_have_separate_budgets)
{
	retry_budget_t *budget = retry_budget_new(&limits);

	take_all(budget, START_MS);
	ck_assert(retry_budget_take(budget, "other", NODES, START_MS));
	retry_budget_free(budget);
}
END_TEST

/* Guards against hedges that leave no retry for a request that fails. */
START_TEST(a_part_is_reserved_for_retries)
{
	retry_budget_t *budget = retry_budget_new(&limits);
	unsigned hedges = 0;

	for (int i = 0; i < 100; i++)
		retry_budget_count_request(budget, "s", START_MS);
	while (retry_budget_take_hedge(budget, "s", NODES, START_MS))
		hedges++;
	ck_assert_uint_gt(hedges, 0);
	ck_assert_uint_ge(take_all(budget, START_MS), hedges);
	ck_assert(!retry_budget_take_hedge(budget, "s", NODES, START_MS));
	retry_budget_free(budget);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("retry_budget");
	TCase *cases = tcase_create("retry_budget");

	tcase_add_test(cases, all_nodes_together_keep_the_limit);
	tcase_add_test(cases, sliding_window_keeps_the_limit);
	tcase_add_test(cases, services_have_separate_budgets);
	tcase_add_test(cases, a_part_is_reserved_for_retries);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
