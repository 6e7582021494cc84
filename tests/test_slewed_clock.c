#include "slewed_clock.h"
#include "suite.h"

#include <check.h>

enum { WALL_MS = 1700000000, BOOT_MS = 5000, READING_INTERVAL_MS = 100 };

/* Feeds readings that differ by shift_ms; returns the clock since boot. */
static int64_t
feed_readings(slewed_clock_t *time, int64_t boot_ms, int64_t duration_ms,
    int64_t shift_ms)
{
	for (int64_t end_ms = boot_ms + duration_ms; boot_ms < end_ms;) {
		boot_ms += READING_INTERVAL_MS;
		slewed_clock_update(
		    time, WALL_MS + boot_ms - BOOT_MS + shift_ms, boot_ms);
	}
	return boot_ms;
}

/* Guards against usage that is counted in the wrong window after a step. */
START_TEST(a_step_there_and_back_changes_nothing)
{
	slewed_clock_t time;
	int64_t boot_ms;

	slewed_clock_init(&time, WALL_MS, BOOT_MS);
	boot_ms = feed_readings(&time, BOOT_MS, 1000, 0);
	boot_ms = feed_readings(&time, boot_ms, 8000, 3000);
	ck_assert_int_eq(
	    slewed_clock_now(&time, boot_ms), WALL_MS + boot_ms - BOOT_MS);
	boot_ms = feed_readings(&time, boot_ms, 8000, -4000);
	boot_ms = feed_readings(&time, boot_ms, 1000, 0);
	ck_assert_int_eq(
	    slewed_clock_now(&time, boot_ms), WALL_MS + boot_ms - BOOT_MS);
}
END_TEST

START_TEST(a_drift_is_followed)
{
	slewed_clock_t time;
	int64_t boot_ms = BOOT_MS;

	slewed_clock_init(&time, WALL_MS, BOOT_MS);
	for (int shift = 0; shift < 2000; shift += 20)
		boot_ms = feed_readings(&time, boot_ms, 2000, shift);
	ck_assert_int_ge(slewed_clock_now(&time, boot_ms),
	    WALL_MS + boot_ms - BOOT_MS + 1900);
}
END_TEST

START_TEST(a_step_that_lasts_is_believed)
{
	slewed_clock_t time;
	int64_t boot_ms;

	slewed_clock_init(&time, WALL_MS, BOOT_MS);
	boot_ms = feed_readings(&time, BOOT_MS, 200000, 5000);
	ck_assert_int_eq(slewed_clock_now(&time, boot_ms),
	    WALL_MS + boot_ms - BOOT_MS + 5000);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("true_time");
	TCase *cases = tcase_create("true_time");

	tcase_add_test(cases, a_step_there_and_back_changes_nothing);
	tcase_add_test(cases, a_drift_is_followed);
	tcase_add_test(cases, a_step_that_lasts_is_believed);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
