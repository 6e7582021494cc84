#include "suite.h"
#include "turn.h"

#include <check.h>

/*
 * Load: many connections whose bytes are costly, beside others whose bytes are
 * not.
 */

enum {
	NS_PER_MS = 1000 * 1000,
	CHEAP_NS = 50 * 1000,
	COSTLY_NS = 2 * NS_PER_MS,
	/* More than a turn's time for reading. */
	LONG_NS = 8 * NS_PER_MS,
	BYTES = 64 * 1024,
};

static uv_loop_t loop;
static counters_t *counters;

static void
on_idle(uv_idle_t *idle)
{
	uv_idle_stop(idle);
}

static void
next_turn(void)
{
	uv_idle_t idle;

	/* The loop runs only with a handle that keeps it alive. */
	uv_idle_init(&loop, &idle);
	uv_idle_start(&idle, on_idle);
	uv_run(&loop, UV_RUN_NOWAIT);
	uv_close((uv_handle_t *)&idle, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
}

static void
setup(void)
{
	uv_loop_init(&loop);
	counters = counters_new();
	turn_start(&loop, counters);
	next_turn();
}

static void
teardown(void)
{
	suite_keep(g_memdup2(&loop, sizeof(loop)));
	suite_keep(counters);
}

static unsigned
count_taken(uint64_t cost_ns)
{
	unsigned count = 0;

	while (turn_take(cost_ns))
		count++;
	return count;
}

/* Guards against a turn that is as long as all readings together. */
START_TEST(a_turn_takes_as_many_readings_as_fit)
{
	unsigned costly = count_taken(COSTLY_NS);

	ck_assert_uint_ge(costly, 1);
	ck_assert_uint_le(costly * COSTLY_NS, LONG_NS);
	ck_assert(!turn_take(COSTLY_NS));
	next_turn();
	ck_assert_uint_eq(count_taken(COSTLY_NS), costly);
}
END_TEST

/* Guards against requests that wait behind the streams of a faulty server. */
START_TEST(cheap_readings_do_not_wait_for_costly_ones)
{
	count_taken(COSTLY_NS);
	ck_assert(turn_take(CHEAP_NS));
}
END_TEST

/* Guards against a connection that never reads, since it costs too much. */
START_TEST(a_reading_above_the_budget_is_alone_in_its_turn)
{
	ck_assert(turn_take(LONG_NS));
	ck_assert(!turn_take(LONG_NS));
	next_turn();
	ck_assert(turn_take(LONG_NS));
}
END_TEST

/* Guards against readings that go on after the turn's time is used up. */
START_TEST(a_spent_turn_puts_readings_off)
{
	uint64_t since_ns = turn_clock_ns() - LONG_NS;

	ck_assert(!turn_is_spent());
	ck_assert_uint_ge(
	    turn_note_connection(TURN_SERVER, NULL, since_ns), LONG_NS);
	ck_assert(turn_is_spent());
	turn_put_off();
	/* Those that were put off come before those that have read. */
	ck_assert_uint_gt(turn_wait_ms(), 0);
	next_turn();
	ck_assert(!turn_is_spent());
	ck_assert_uint_eq(*counter_get(counters, "readings_put_off_total"), 1);
	ck_assert_uint_ge(*counter_get(counters, "loop_turn_longest_us"), 0);
	ck_assert_uint_ge(histogram_get(counters, "loop_turn_us")->count, 1);
}
END_TEST

/* Guards against one read that takes longer than a turn should. */
START_TEST(costly_reads_become_smaller)
{
	ck_assert(!turn_is_costly(CHEAP_NS));
	ck_assert(turn_is_costly(COSTLY_NS));
	ck_assert_uint_le(turn_read_max(BYTES, COSTLY_NS), BYTES / 2);
	ck_assert_uint_gt(turn_read_max(BYTES, UINT64_MAX), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("turn");
	TCase *cases = tcase_create("turn");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, a_turn_takes_as_many_readings_as_fit);
	tcase_add_test(cases, cheap_readings_do_not_wait_for_costly_ones);
	tcase_add_test(cases, a_reading_above_the_budget_is_alone_in_its_turn);
	tcase_add_test(cases, a_spent_turn_puts_readings_off);
	tcase_add_test(cases, costly_reads_become_smaller);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
