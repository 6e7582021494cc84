#include "burn.h"
#include "json.h"
#include "suite.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum { MINUTE_MS = 60000 };

static const int64_t START_MS = INT64_C(1700000000000);
static const burn_key_t chat_key = {"t1/chat", "v1", "zone-a"};

static const json_t *
first_series(const json_t *report)
{
	return json_array_get(json_object_get(report, "series"), 0);
}

static int64_t
window_count(const json_t *report, const char *window, const char *name)
{
	return json_get_int(
	    json_object_get(first_series(report), window), name, -1);
}

/* Guards against counts that never leave a window, or leave too early. */
START_TEST(counts_expire_from_windows)
{
	burn_t *burn = burn_new();
	json_t *report;

	burn_record(burn, &chat_key, 0.95, (burn_counts_t){90, 10}, START_MS);
	report = burn_report(burn, START_MS + 4 * MINUTE_MS);
	ck_assert_int_eq(window_count(report, "short", "bad"), 10);
	json_decref(report);
	report = burn_report(burn, START_MS + 6 * MINUTE_MS);
	ck_assert_int_eq(window_count(report, "short", "bad"), 0);
	ck_assert_int_eq(window_count(report, "long", "bad"), 10);
	json_decref(report);
	report = burn_report(burn, START_MS + 61 * MINUTE_MS);
	ck_assert_ptr_null(first_series(report));
	json_decref(report);
	/* One hour later the same ring index is reused. */
	burn_record(burn, &chat_key, 0.95, (burn_counts_t){1, 0},
	    START_MS + 60 * MINUTE_MS);
	report = burn_report(burn, START_MS + 60 * MINUTE_MS);
	ck_assert_int_eq(window_count(report, "long", "good"), 1);
	json_decref(report);
	burn_free(burn);
}
END_TEST

/* Guards against a level raised by one window alone. */
START_TEST(level_needs_both_windows)
{
	burn_t *burn = burn_new();
	json_t *report;

	ck_assert_double_eq_tol(burn_rate(90, 10, 0.95), 2, 1e-9);
	ck_assert_double_eq(burn_rate(0, 0, 0.95), 0);
	ck_assert(isfinite(burn_rate(0, 1, 1)));
	burn_record(burn, &chat_key, 0.95, (burn_counts_t){10000, 0}, START_MS);
	burn_record(burn, &chat_key, 0.95, (burn_counts_t){0, 100},
	    START_MS + 30 * MINUTE_MS);
	report = burn_report(burn, START_MS + 30 * MINUTE_MS);
	ck_assert_int_eq(burn_series_level(first_series(report)), BURN_OK);
	json_decref(report);
	burn_record(burn, &chat_key, 0.95, (burn_counts_t){0, 10000},
	    START_MS + 30 * MINUTE_MS);
	report = burn_report(burn, START_MS + 30 * MINUTE_MS);
	ck_assert_int_eq(burn_series_level(first_series(report)), BURN_FAST);
	json_decref(report);
	burn_free(burn);
}
END_TEST

/* Guards against unbounded memory and uncounted requests of dropped series. */
START_TEST(series_count_is_bounded)
{
	static const burn_key_t fresh = {"t1/chat", "new", "zone-a"};
	burn_t *burn = burn_new();
	json_t *report;

	for (int i = 0; i < BURN_SERIES_MAX + 3; i++) {
		char version[16];
		burn_key_t key = {"t1/chat", version, "zone-a"};

		g_snprintf(version, sizeof(version), "v%d", i);
		burn_record(burn, &key, 0.95, (burn_counts_t){1, 0}, START_MS);
	}
	report = burn_report(burn, START_MS);
	ck_assert_uint_eq(json_array_size(json_object_get(report, "series")),
	    BURN_SERIES_MAX);
	ck_assert_int_eq(json_get_int(report, "dropped", 0), 3);
	json_decref(report);
	/* Idle series are evicted for new ones. */
	burn_record(burn, &fresh, 0.95, (burn_counts_t){1, 0},
	    START_MS + 120 * MINUTE_MS);
	report = burn_report(burn, START_MS + 120 * MINUTE_MS);
	ck_assert_uint_eq(
	    json_array_size(json_object_get(report, "series")), 1);
	json_decref(report);
	burn_free(burn);
}
END_TEST

static int64_t
minute_count(const json_t *report, size_t index, size_t counter)
{
	return json_integer_value(json_array_get(
	    json_array_get(
		json_object_get(first_series(report), "minutes"), index),
	    counter));
}

/* Guards against adding counts of different minutes, or a malformed report. */
START_TEST(node_reports_are_merged)
{
	burn_t *one = burn_new(), *two = burn_new();
	json_t *sum, *other;

	burn_record(one, &chat_key, 0.95, (burn_counts_t){5, 1}, START_MS);
	burn_record(two, &chat_key, 0.95, (burn_counts_t){7, 2}, START_MS);
	sum = burn_report(one, START_MS + MINUTE_MS);
	other = burn_report(two, START_MS);
	ck_assert(burn_report_merge(sum, other));
	ck_assert_int_eq(window_count(sum, "long", "good"), 12);
	ck_assert_int_eq(window_count(sum, "short", "bad"), 3);
	ck_assert_int_eq(minute_count(sum, BURN_LONG_SLOTS - 2, 0), 12);
	ck_assert_int_eq(minute_count(sum, BURN_LONG_SLOTS - 2, 1), 3);
	json_object_del((json_t *)first_series(other), "minutes");
	ck_assert(!burn_report_merge(sum, other));
	ck_assert_int_eq(window_count(sum, "long", "good"), 12);
	json_decref(sum);
	json_decref(other);
	burn_free(one);
	burn_free(two);
}
END_TEST

/* Guards against unescaped names and against loading external resources. */
START_TEST(pages_escape_names_and_are_self_contained)
{
	static const burn_key_t odd = {"t1/<b>&", "v\"1", "zone-a"};
	burn_t *burn = burn_new();
	GString *page = g_string_new(NULL), *text = g_string_new(NULL);
	json_t *report;

	burn_record(burn, &odd, 0.95, (burn_counts_t){10, 90}, START_MS);
	report = burn_report(burn, START_MS);
	burn_render_html(report, page);
	burn_render_text(report, text);
	ck_assert_ptr_nonnull(strstr(page->str, "t1/&lt;b&gt;&amp;"));
	ck_assert_ptr_null(strstr(page->str, "<b>&"));
	ck_assert_ptr_null(strstr(page->str, "http"));
	ck_assert_ptr_nonnull(strstr(page->str, "<svg"));
	ck_assert_ptr_nonnull(strstr(text->str, "fast burn"));
	ck_assert_ptr_nonnull(strstr(text->str, "18.00"));
	json_decref(report);
	g_string_free(page, TRUE);
	g_string_free(text, TRUE);
	burn_free(burn);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("burn");
	TCase *tests = tcase_create("burn");

	tcase_add_test(tests, counts_expire_from_windows);
	tcase_add_test(tests, level_needs_both_windows);
	tcase_add_test(tests, series_count_is_bounded);
	tcase_add_test(tests, node_reports_are_merged);
	tcase_add_test(tests, pages_escape_names_and_are_self_contained);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
