#include "drain.h"
#include "suite.h"

#include <check.h>
#include <glib.h>

enum {
	START_MS = 5000,
	GRACE_MS = 8000,
	MAX_MS = 7600,
	STEP_MS = 100,
	SERVED_MS = 2500,
};

/* Steps until the drain is done; returns the time since its start. */
static int64_t
run_until_done(drain_t *drain, int64_t from_ms, unsigned connections)
{
	int64_t now_ms = START_MS + from_ms;
	uint64_t accepted = drain->accepted;

	while (drain_step(drain, connections, accepted, now_ms) != DRAIN_DONE) {
		now_ms += STEP_MS;
		ck_assert_int_le(now_ms, START_MS + MAX_MS);
	}
	return now_ms - START_MS;
}

/* Guards against a node that refuses requests before its peers delist it. */
START_TEST(new_requests_are_served_at_first)
{
	drain_t drain;

	drain_start(&drain, GRACE_MS, START_MS);
	for (int64_t at = 0; at < SERVED_MS; at += STEP_MS)
		ck_assert_int_eq(
		    drain_step(&drain, 0, 0, START_MS + at), DRAIN_SERVING);
	ck_assert_int_eq(
	    drain_step(&drain, 0, 0, START_MS + SERVED_MS), DRAIN_REFUSING);
}
END_TEST

/*
 * Guards against an end between two clients with cached address lists, whose
 * connections are shorter than a step.
 */
START_TEST(clients_that_still_come_delay_the_end)
{
	drain_t drain;
	int64_t at = SERVED_MS;

	drain_start(&drain, GRACE_MS, START_MS);
	for (; at < 6000; at += STEP_MS)
		ck_assert_int_eq(
		    drain_step(
			&drain, 0, (uint64_t)(at / STEP_MS / 4), START_MS + at),
		    DRAIN_REFUSING);
	ck_assert_int_lt(run_until_done(&drain, at, 0), at + 1000);
}
END_TEST

/*
 * Guards against an end right after a stall of the node, when requests wait in
 * its sockets: time alone does not end a drain.
 */
START_TEST(stalled_node_reads_its_sockets_first)
{
	drain_t drain;

	drain_start(&drain, GRACE_MS, START_MS);
	ck_assert_int_eq(
	    drain_step(&drain, 0, 0, START_MS + 100), DRAIN_SERVING);
	ck_assert_int_eq(
	    drain_step(&drain, 0, 0, START_MS + 5000), DRAIN_REFUSING);
	ck_assert_int_eq(
	    drain_step(&drain, 3, 3, START_MS + 5001), DRAIN_REFUSING);
}
END_TEST

/* Guards against a process that is killed before it has ended its streams. */
START_TEST(drain_ends_before_the_process_is_killed)
{
	drain_t drain;

	drain_start(&drain, GRACE_MS, START_MS);
	ck_assert_int_eq(run_until_done(&drain, 0, 7), MAX_MS);
}
END_TEST

static const int64_t graces_ms[] = {1000, 2000, 4000, 8000, 30000};

/*
 * Guards against requests that are taken late in a short grace period and cut
 * at its end: most of it is left to the last of them, and none is cut before
 * the last sixth.
 */
START_TEST(a_short_grace_period_is_not_used_up_by_new_requests)
{
	int64_t grace_ms = graces_ms[_i], served_ms = 0, end_ms;
	drain_t drain;

	drain_start(&drain, grace_ms, START_MS);
	while (drain_step(&drain, 1, 1, START_MS + served_ms) == DRAIN_SERVING)
		served_ms++;
	for (end_ms = served_ms;
	     drain_step(&drain, 1, 1, START_MS + end_ms) != DRAIN_DONE;
	     end_ms++)
		ck_assert_int_lt(end_ms, grace_ms);
	ck_assert_int_gt(served_ms, 0);
	ck_assert_int_ge(end_ms - served_ms, grace_ms / 2);
	ck_assert_int_ge(end_ms, grace_ms * 5 / 6);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("drain");
	TCase *cases = tcase_create("drain");

	tcase_add_test(cases, new_requests_are_served_at_first);
	tcase_add_test(cases, clients_that_still_come_delay_the_end);
	tcase_add_test(cases, stalled_node_reads_its_sockets_first);
	tcase_add_test(cases, drain_ends_before_the_process_is_killed);
	tcase_add_loop_test(cases,
	    a_short_grace_period_is_not_used_up_by_new_requests, 0,
	    G_N_ELEMENTS(graces_ms));
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
