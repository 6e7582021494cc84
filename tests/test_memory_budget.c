#include "memory_budget.h"
#include "suite.h"

#include <check.h>
#include <glib.h>

enum {
	KIB = 1024,
	BUDGET_BYTES = 40 * 1024 * KIB,
	BODY_BYTES = 4 * 1024 * KIB,
	SMALL_BYTES = 8 * KIB,
	CLIENTS = 1000,
	START_MS = 5000,
	STALL_MS = 3000,
};

static memory_budget_t *budget;
static memory_charge_t charges[CLIENTS];

static void
setup(void)
{
	budget = memory_budget_new(BUDGET_BYTES);
	for (size_t i = 0; i < CLIENTS; i++) {
		memory_charge_init(&charges[i], budget, &charges[i]);
		memory_charge_set_evictable(&charges[i], true);
	}
}

static void
teardown(void)
{
	for (size_t i = 0; i < CLIENTS; i++)
		memory_charge_release(&charges[i]);
	ck_assert_uint_eq(memory_budget_held(budget), 0);
	memory_budget_free(budget);
}

/* The holder has received all that it holds at this time. */
static void
receive(size_t client, size_t bytes, int64_t now_ms)
{
	memory_charge_set(&charges[client], charges[client].bytes + bytes);
	memory_charge_add_progress(&charges[client], bytes, now_ms);
}

/* Releases what must go; returns how many charges that were. */
static unsigned
evict(int64_t now_ms)
{
	memory_charge_t *charge;
	unsigned count = 0;

	while ((charge = memory_budget_excess(budget, now_ms)) != NULL) {
		memory_charge_set(charge, 0);
		count++;
	}
	return count;
}

/* Guards against memory beyond the limit: the load of many large bodies. */
START_TEST(many_bodies_stay_within_the_budget)
{
	for (int64_t round = 0; round < BODY_BYTES / (64 * KIB); round++)
		for (size_t i = 0; i < CLIENTS; i++) {
			receive(i, (size_t)64 * KIB, START_MS + round);
			evict(START_MS + round);
			ck_assert_uint_le(
			    memory_budget_held(budget), BUDGET_BYTES);
		}
}
END_TEST

/* Guards against small requests that are refused beside large ones. */
START_TEST(small_requests_find_room_beside_large_ones)
{
	size_t bodies = 0;

	while (evict(START_MS) == 0)
		receive(bodies++, BODY_BYTES, START_MS);
	for (size_t i = bodies; i < CLIENTS; i++) {
		receive(i, SMALL_BYTES, START_MS);
		ck_assert_uint_eq(evict(START_MS), 0);
	}
}
END_TEST

/* Guards against a refusal without other load. */
START_TEST(one_large_body_fits_beside_small_requests)
{
	receive(0, BODY_BYTES, START_MS);
	for (size_t i = 1; i < CLIENTS; i++)
		receive(i, SMALL_BYTES, START_MS);
	ck_assert_uint_eq(evict(START_MS), 0);
	ck_assert_uint_ge(memory_budget_largest(budget), BODY_BYTES);
}
END_TEST

/* Guards against clients that stop short of the end and keep others out. */
START_TEST(clients_that_have_stopped_go_first)
{
	int64_t now_ms = START_MS + STALL_MS;
	size_t moving = 0, client = 1;

	receive(moving, BODY_BYTES, now_ms);
	while (evict(now_ms) == 0) {
		receive(client++, BODY_BYTES, START_MS);
		ck_assert_uint_lt(client, CLIENTS);
	}
	ck_assert_uint_eq(charges[moving].bytes, BODY_BYTES);
}
END_TEST

/*
 * Failure of a peer: requests whose servers do not answer keep their room and
 * cannot go. Guards against a search that does not end, and against the loss
 * of a request that may run.
 */
START_TEST(requests_in_progress_keep_their_room)
{
	for (size_t i = 0; i < 2 * BUDGET_BYTES / BODY_BYTES; i++) {
		receive(i, BODY_BYTES, START_MS);
		memory_charge_set_evictable(&charges[i], false);
	}
	ck_assert_uint_eq(evict(START_MS + STALL_MS), 0);
	receive(CLIENTS - 1, BODY_BYTES, START_MS + STALL_MS);
	ck_assert_uint_eq(evict(START_MS + STALL_MS), 1);
	ck_assert_uint_eq(charges[CLIENTS - 1].bytes, 0);
}
END_TEST

/* Guards against sources that fill the budget before it refuses. */
START_TEST(queues_shrink_as_the_budget_fills)
{
	size_t wanted = (size_t)256 * KIB, previous = wanted;

	ck_assert_uint_eq(memory_budget_queue_max(budget, wanted), wanted);
	for (size_t i = 0; i < BUDGET_BYTES / BODY_BYTES; i++) {
		size_t queue_max;

		receive(i, BODY_BYTES, START_MS);
		queue_max = memory_budget_queue_max(budget, wanted);
		ck_assert_uint_le(queue_max, previous);
		ck_assert_uint_gt(queue_max, 0);
		previous = queue_max;
	}
	ck_assert_uint_lt(previous, wanted / 16);
}
END_TEST

/* Guards against hosts without a limit that refuse requests. */
START_TEST(no_limit_refuses_nothing)
{
	memory_budget_t *unlimited = memory_budget_new(0);
	memory_charge_t charge;

	memory_charge_init(&charge, unlimited, NULL);
	memory_charge_set_evictable(&charge, true);
	memory_charge_set(&charge, (size_t)BUDGET_BYTES * 100);
	ck_assert_ptr_null(memory_budget_excess(unlimited, START_MS));
	ck_assert_uint_eq(memory_budget_queue_max(unlimited, KIB), KIB);
	memory_charge_release(&charge);
	memory_budget_free(unlimited);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("memory_budget");
	TCase *cases = tcase_create("memory_budget");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, many_bodies_stay_within_the_budget);
	tcase_add_test(cases, small_requests_find_room_beside_large_ones);
	tcase_add_test(cases, one_large_body_fits_beside_small_requests);
	tcase_add_test(cases, clients_that_have_stopped_go_first);
	tcase_add_test(cases, requests_in_progress_keep_their_room);
	tcase_add_test(cases, queues_shrink_as_the_budget_fills);
	tcase_add_test(cases, no_limit_refuses_nothing);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
