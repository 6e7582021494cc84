#include "evacuation.h"
#include "suite.h"

#include <check.h>

static evacuation_t *evacuation;

static void
setup(void)
{
	evacuation = evacuation_new();
}

static void
teardown(void)
{
	evacuation_free(evacuation);
}

/* Guards against requests to one zone because another one is evacuated. */
START_TEST(zones_are_evacuated_separately)
{
	ck_assert(!evacuation_has(evacuation, "a"));
	ck_assert(evacuation_begin(evacuation, "a"));
	ck_assert(evacuation_begin(evacuation, "b"));
	ck_assert(evacuation_end(evacuation, "a"));
	ck_assert(!evacuation_has(evacuation, "a"));
	ck_assert(evacuation_has(evacuation, "b"));
	ck_assert(!evacuation_has(evacuation, "B"));
	ck_assert_uint_eq(evacuation_count(evacuation), 1);
}
END_TEST

/*
 * Guards against state that depends on how often a key was reported: a list
 * repeats what a watch has brought, and both may report a removal.
 */
START_TEST(repeated_changes_have_no_effect)
{
	ck_assert(evacuation_begin(evacuation, "a"));
	ck_assert(!evacuation_begin(evacuation, "a"));
	ck_assert(evacuation_has(evacuation, "a"));
	ck_assert(evacuation_end(evacuation, "a"));
	ck_assert(!evacuation_end(evacuation, "a"));
	ck_assert(!evacuation_has(evacuation, "a"));
	ck_assert(evacuation_begin(evacuation, "a"));
	ck_assert(evacuation_has(evacuation, "a"));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("evacuation");
	TCase *cases = tcase_create("evacuation");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, zones_are_evacuated_separately);
	tcase_add_test(cases, repeated_changes_have_no_effect);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
