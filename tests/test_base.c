#include "counter.h"
#include "error.h"
#include "json.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>

/* Guards against an error kind without a name, status or remedy. */
START_TEST(every_error_kind_is_described)
{
	for (int kind = 0; kind < PAPAYA_ERROR_COUNT; kind++) {
		ck_assert_ptr_nonnull(papaya_error_name(kind));
		ck_assert_ptr_nonnull(papaya_error_remedy(kind));
		ck_assert_int_ge(papaya_error_status(kind), 400);
	}
}
END_TEST

/* Guards against a quantile that is more than one bucket off. */
START_TEST(quantiles_are_within_a_bucket)
{
	histogram_t histogram = {0};

	for (int i = 1; i <= 1000; i++)
		histogram_add(&histogram, i * 1000);
	ck_assert_uint_ge(histogram_quantile(&histogram, 0.5), 437000);
	ck_assert_uint_le(histogram_quantile(&histogram, 0.5), 500000);
	ck_assert_uint_eq(histogram.count, 1000);
	ck_assert_uint_eq(histogram.max_us, 1000000);
}
END_TEST

/* Guards against a parse error without the file name and line. */
START_TEST(json_error_names_file_and_line)
{
	GError *error = NULL;

	ck_assert_ptr_null(json_parse("{\n \"a\" 1}", 10, "a.json", &error));
	ck_assert_ptr_nonnull(strstr(error->message, "a.json:2:"));
	g_error_free(error);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("base");
	TCase *tests = tcase_create("base");

	tcase_add_test(tests, every_error_kind_is_described);
	tcase_add_test(tests, quantiles_are_within_a_bucket);
	tcase_add_test(tests, json_error_names_file_and_line);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
