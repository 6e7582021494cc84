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

/* Guards against nodes that together repeat more than the bound allows. */
START_TEST(all_nodes_together_keep_the_bound)
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

/* Guards against twice the bound in a window that spans two of its own. */
START_TEST(a_sliding_window_keeps_the_bound)
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

START_TEST(services_are_counted_apart)
{
	retry_budget_t *budget = retry_budget_new(&limits);

	take_all(budget, START_MS);
	ck_assert(retry_budget_take(budget, "other", NODES, START_MS));
	retry_budget_free(budget);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("retry_budget");
	TCase *cases = tcase_create("retry_budget");

	tcase_add_test(cases, all_nodes_together_keep_the_bound);
	tcase_add_test(cases, a_sliding_window_keeps_the_bound);
	tcase_add_test(cases, services_are_counted_apart);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
