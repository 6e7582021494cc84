#include "suite.h"
#include "usage.h"

#include <check.h>

enum { WINDOW_MS = 5000 };

static double
total(usage_t *usage, int64_t window, const char *workspace)
{
	GHashTable *counts = usage_total(usage, window);
	double *count = g_hash_table_lookup(counts, workspace);
	double value = count == NULL ? 0 : *count;

	g_hash_table_unref(counts);
	return value;
}

/* Guards against losing the counts of a node that has ended. */
START_TEST(counts_of_all_processes_are_summed)
{
	usage_t *usage = usage_new(WINDOW_MS);

	usage_count(usage, "a", 50 * WINDOW_MS);
	usage_merge(usage, "n1/1", 50, "a", 3);
	usage_merge(usage, "n1/1", 50, "a", 5);
	usage_merge(usage, "n1/2", 50, "a", 2);
	ck_assert_double_eq(total(usage, 50, "a"), 8);
	ck_assert_double_eq(total(usage, 51, "a"), 0);
	usage_free(usage);
}
END_TEST

/* Guards against counts of an old window in the slot of a newer one. */
START_TEST(old_windows_are_dropped)
{
	usage_t *usage = usage_new(WINDOW_MS);

	usage_count(usage, "a", 60 * WINDOW_MS);
	usage_merge(usage, "n1/1", 60 - USAGE_WINDOWS, "a", 9);
	ck_assert_double_eq(total(usage, 60, "a"), 1);
	ck_assert_double_eq(total(usage, 60 - USAGE_WINDOWS, "a"), 0);
	usage_free(usage);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("usage");
	TCase *cases = tcase_create("usage");

	tcase_add_test(cases, counts_of_all_processes_are_summed);
	tcase_add_test(cases, old_windows_are_dropped);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
