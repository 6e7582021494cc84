#include "slewed_clock.h"
#include "suite.h"

#include <check.h>

enum { WALL_MS = 1700000000, BOOT_MS = 5000, READING_INTERVAL_MS = 100 };

/*
 * Feeds readings with a wall clock that is shift_ms ahead for duration_ms.
 * Returns the boot clock of the last one.
 */
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

/* Guards against usage counted in the wrong window after a clock step. */
START_TEST(temporary_steps_are_ignored)
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

START_TEST(slow_drift_is_followed)
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

START_TEST(lasting_step_is_accepted)
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
	Suite *suite = suite_create("slewed_clock");
	TCase *cases = tcase_create("slewed_clock");

	tcase_add_test(cases, temporary_steps_are_ignored);
	tcase_add_test(cases, slow_drift_is_followed);
	tcase_add_test(cases, lasting_step_is_accepted);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
