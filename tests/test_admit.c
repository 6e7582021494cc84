#include "admit.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>

static admit_t *
new_admit(unsigned in_flight, unsigned waiting, limit_policy_t policy)
{
	service_t service = {
	    .in_flight_max = in_flight,
	    .waiting_max = waiting,
	    .retry_budget = 0.1,
	    .limit_policy = policy,
	};

	return admit_new(&service);
}

static admit_decision_t
submit(admit_t *admit, admit_request_t *request, const char *workspace)
{
	admit_request_t *evicted;

	return admit_submit(admit, request, workspace, 1, 1000, 0, &evicted);
}

/* Guards against more requests running than the limit allows. */
START_TEST(limit_caps_running_requests)
{
	admit_t *admit = new_admit(2, 2, LIMIT_FIXED);
	admit_request_t requests[5] = {0};

	ck_assert_int_eq(submit(admit, &requests[0], "a"), ADMIT_RUN);
	ck_assert_int_eq(submit(admit, &requests[1], "a"), ADMIT_RUN);
	ck_assert_int_eq(submit(admit, &requests[2], "a"), ADMIT_QUEUE);
	ck_assert_int_eq(submit(admit, &requests[3], "a"), ADMIT_QUEUE);
	ck_assert_int_eq(submit(admit, &requests[4], "a"), ADMIT_REFUSE);
	ck_assert_ptr_null(admit_start_next(admit, 0));
	admit_finish(admit, &requests[0], true, 1, 10);
	ck_assert_ptr_eq(admit_start_next(admit, 10), &requests[2]);
	ck_assert_ptr_null(admit_start_next(admit, 10));
	admit_free(admit);
}
END_TEST

/* Guards against a workspace whose many queued requests starve a small one. */
START_TEST(small_workspace_is_not_starved)
{
	admit_t *admit = new_admit(1, 8, LIMIT_FIXED);
	admit_request_t large[9] = {0}, small = {0};
	admit_request_t *evicted, *next;
	admit_decision_t verdict;

	for (int i = 0; i < 9; i++)
		submit(admit, &large[i], "large");
	verdict = admit_submit(admit, &small, "small", 1, 1000, 0, &evicted);
	ck_assert_int_eq(verdict, ADMIT_QUEUE);
	ck_assert_ptr_eq(evicted, &large[8]);
	admit_finish(admit, &large[0], true, 1, 1);
	next = admit_start_next(admit, 1);
	ck_assert_ptr_eq(next, &small);
	admit_free(admit);
}
END_TEST

/* Guards against shares of busy workspaces that do not follow their weights. */
START_TEST(shares_follow_weights)
{
	admit_t *admit = new_admit(1, 400, LIMIT_FIXED);
	admit_request_t heavy[200] = {0}, light[200] = {0};
	admit_request_t *evicted, *running = &heavy[0];
	unsigned heavy_runs = 0;

	for (int i = 0; i < 200; i++) {
		admit_submit(admit, &heavy[i], "heavy", 3, 9999, 0, &evicted);
		admit_submit(admit, &light[i], "light", 1, 9999, 0, &evicted);
	}
	for (int i = 0; i < 100; i++) {
		admit_finish(admit, running, true, 1, i);
		running = admit_start_next(admit, i);
		heavy_runs += running >= heavy && running < heavy + 200;
	}
	ck_assert_uint_ge(heavy_runs, 73);
	ck_assert_uint_le(heavy_runs, 77);
	admit_free(admit);
}
END_TEST

/* Guards against retries that multiply the load while backend servers fail. */
START_TEST(retries_stay_within_the_budget)
{
	admit_t *admit = new_admit(2000, 0, LIMIT_FIXED);
	admit_request_t request = {0};
	unsigned retries = 0;

	for (int i = 0; i < 1000; i++) {
		submit(admit, &request, "a");
		while (admit_take_retry(admit, "a", false))
			retries++;
	}
	ck_assert_uint_le(retries, 1000 / 10 + 10);
	ck_assert_uint_ge(retries, 1000 / 10 - 1);
	ck_assert(admit_take_retry(admit, "a", true));
	ck_assert(!admit_take_retry(admit, "a", false));
	admit_free(admit);
}
END_TEST

/*
 * Guards against a limit that does not shrink while a backend server is slow,
 * or does not grow again afterwards.
 */
START_TEST(limit_follows_latency)
{
	admit_t *admit = new_admit(64, 0, LIMIT_ADAPTIVE);
	admit_request_t requests[64] = {0};
	int64_t now_ms = 0;
	unsigned lowest_limit = 0;

	for (int round = 0; round < 200; round++) {
		double latency_ms = round >= 50 && round < 100 ? 200 : 10;
		unsigned started = 0;

		while (started < 64 &&
		       submit(admit, &requests[started], "a") == ADMIT_RUN)
			started++;
		now_ms += 600;
		for (unsigned i = 0; i < started; i++)
			admit_finish(
			    admit, &requests[i], true, latency_ms, now_ms);
		if (round == 99)
			lowest_limit = admit_limit(admit);
	}
	ck_assert_uint_le(lowest_limit, 8);
	ck_assert_uint_eq(admit_limit(admit), 64);
	admit_free(admit);
}
END_TEST

/* Guards against requests that stay in the queue after their deadline. */
START_TEST(expired_requests_leave_the_queue)
{
	admit_t *admit = new_admit(1, 4, LIMIT_FIXED);
	admit_request_t requests[2] = {0};

	submit(admit, &requests[0], "a");
	submit(admit, &requests[1], "a");
	ck_assert_ptr_null(admit_remove_expired(admit, 999));
	ck_assert_ptr_eq(admit_remove_expired(admit, 1000), &requests[1]);
	ck_assert_uint_eq(admit_waiting(admit), 0);
	admit_free(admit);
}
END_TEST

/*
 * Guards against immediate refusals under overload: clients that retry at once
 * would cause a retry storm. Beyond a maximum number of delayed refusals the
 * delay is 0.
 */
START_TEST(refusal_delay_grows_with_refusals)
{
	admit_t *admit = new_admit(1, 0, LIMIT_FIXED);
	admit_request_t request = {0}, refused = {0};
	int64_t initial_ms, later_ms;

	submit(admit, &request, "a");
	submit(admit, &refused, "a");
	initial_ms = admit_refusal_delay_ms(admit, 0);
	for (int i = 0; i < 100; i++)
		submit(admit, &refused, "a");
	later_ms = admit_refusal_delay_ms(admit, 0);
	ck_assert_int_ge(initial_ms, 100);
	ck_assert_int_gt(later_ms, initial_ms);
	ck_assert_int_le(later_ms, 2000);
	for (int i = 0; i < 1022; i++)
		admit_refusal_delay_ms(admit, 0);
	ck_assert_int_eq(admit_refusal_delay_ms(admit, 0), 0);
	admit_free(admit);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("admit");
	TCase *tests = tcase_create("admit");

	tcase_add_test(tests, limit_caps_running_requests);
	tcase_add_test(tests, small_workspace_is_not_starved);
	tcase_add_test(tests, shares_follow_weights);
	tcase_add_test(tests, retries_stay_within_the_budget);
	tcase_add_test(tests, limit_follows_latency);
	tcase_add_test(tests, expired_requests_leave_the_queue);
	tcase_add_test(tests, refusal_delay_grows_with_refusals);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
