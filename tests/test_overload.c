#include "overload.h"
#include "suite.h"

#include <check.h>

enum {
	START_MS = 1000000,
	STEP_MS = 10,
	SEED = 9,
	/* Length of a phase of a test. */
	PHASE_MS = 5000,
};

typedef struct fixture {
	overload_t *overload;
	GRand *random;
	int64_t now_ms;
} fixture_t;

static void
setup(fixture_t *fixture)
{
	*fixture = (fixture_t){.overload = overload_new(),
	    .random = g_rand_new_with_seed(SEED),
	    .now_ms = START_MS};
}

static void
teardown(fixture_t *fixture)
{
	overload_free(fixture->overload);
	g_rand_free(fixture->random);
}

static bool
admit(fixture_t *fixture, const char *workspace)
{
	return overload_admit(fixture->overload, "engine", workspace, 1,
	    g_rand_double(fixture->random), fixture->now_ms);
}

/* One request that can wait each step, and an urgent one each fifth. */
static unsigned
run(fixture_t *fixture, int64_t duration_ms, double late_share)
{
	int64_t end_ms = fixture->now_ms + duration_ms;
	unsigned admitted = 0;

	for (; fixture->now_ms < end_ms; fixture->now_ms += STEP_MS) {
		if (fixture->now_ms % (5 * STEP_MS) == 0)
			overload_count_urgent(fixture->overload, "engine",
			    g_rand_double(fixture->random) < late_share,
			    fixture->now_ms);
		admitted += admit(fixture, "depot");
	}
	return admitted;
}

/* Guards against refusals while urgent requests are served in time. */
START_TEST(nothing_is_refused_without_overload)
{
	fixture_t fixture;

	setup(&fixture);
	ck_assert_uint_eq(run(&fixture, PHASE_MS, 0.02), PHASE_MS / STEP_MS);
	teardown(&fixture);
}
END_TEST

/*
 * Guards against urgent requests that stay late because others take the
 * engines' time, and against refusing the others altogether.
 */
START_TEST(others_give_way_while_urgent_requests_are_late)
{
	unsigned admitted;
	fixture_t fixture;

	setup(&fixture);
	run(&fixture, 1000, 0.8);
	admitted = run(&fixture, PHASE_MS, 0.8);
	ck_assert_uint_lt(admitted, PHASE_MS / STEP_MS / 4);
	ck_assert_uint_gt(admitted, 0);
	teardown(&fixture);
}
END_TEST

/* Guards against refusals that outlast the overload by many seconds. */
START_TEST(refusals_end_with_the_overload)
{
	fixture_t fixture;

	setup(&fixture);
	run(&fixture, PHASE_MS, 0.8);
	run(&fixture, PHASE_MS, 0);
	ck_assert_uint_eq(run(&fixture, 1000, 0), 1000 / STEP_MS);
	teardown(&fixture);
}
END_TEST

/* Guards against a workspace that crowds out the others. */
START_TEST(workspace_with_most_requests_is_refused_most)
{
	unsigned large_admitted = 0, large = 0, small_admitted = 0, small = 0;
	fixture_t fixture;

	setup(&fixture);
	for (int64_t end = START_MS + PHASE_MS; fixture.now_ms < end;
	     fixture.now_ms += STEP_MS) {
		/* A third of the urgent requests is late. */
		overload_count_urgent(fixture.overload, "engine",
		    fixture.now_ms % (3 * STEP_MS) == 0, fixture.now_ms);
		for (int i = 0; i < 9; i++) {
			large++;
			large_admitted += admit(&fixture, "large");
		}
		if (fixture.now_ms % (2 * STEP_MS) != 0)
			continue;
		small++;
		small_admitted += admit(&fixture, "small");
	}
	ck_assert_double_ge((double)small_admitted / small, 0.7);
	ck_assert_double_le((double)large_admitted / large, 0.4);
	teardown(&fixture);
}
END_TEST

/* Guards against a node with few urgent requests that sees no overload. */
START_TEST(reports_of_other_nodes_count)
{
	overload_counts_t counts = {.on_time = 20, .late = 80};
	unsigned admitted = 0;
	fixture_t fixture;

	setup(&fixture);
	for (int64_t end = START_MS + PHASE_MS; fixture.now_ms < end;
	     fixture.now_ms += STEP_MS) {
		overload_set_remote(
		    fixture.overload, "engine", counts, fixture.now_ms);
		admitted += admit(&fixture, "depot");
	}
	ck_assert_uint_lt(admitted, PHASE_MS / STEP_MS / 2);
	teardown(&fixture);
}
END_TEST

/* Guards against reports of nodes that were lost during the overload. */
START_TEST(old_reports_are_not_used)
{
	overload_counts_t counts = {.on_time = 20, .late = 80};
	fixture_t fixture;

	setup(&fixture);
	overload_set_remote(fixture.overload, "engine", counts, fixture.now_ms);
	run(&fixture, 2 * PHASE_MS, 0);
	ck_assert_uint_eq(run(&fixture, 1000, 0), 1000 / STEP_MS);
	teardown(&fixture);
}
END_TEST

/* Guards against prompts that count as late because of their size. */
START_TEST(long_prompt_is_given_its_reading_time)
{
	ck_assert_int_eq(overload_wait_max_ms(800, 100), 600);
	ck_assert_int_eq(overload_wait_max_ms(800, 700), 940);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("overload");
	TCase *cases = tcase_create("overload");

	tcase_add_test(cases, nothing_is_refused_without_overload);
	tcase_add_test(cases, others_give_way_while_urgent_requests_are_late);
	tcase_add_test(cases, refusals_end_with_the_overload);
	tcase_add_test(cases, workspace_with_most_requests_is_refused_most);
	tcase_add_test(cases, reports_of_other_nodes_count);
	tcase_add_test(cases, old_reports_are_not_used);
	tcase_add_test(cases, long_prompt_is_given_its_reading_time);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
