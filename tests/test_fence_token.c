#include "fence_token.h"
#include "platform_store.h"
#include "suite.h"

#include <check.h>
#include <glib.h>

/*
 * Guards against a leader that the platform refuses, since its token is lower
 * than that of an earlier era of the store.
 */
START_TEST(tokens_rise_with_the_era_and_the_revision)
{
	static const int64_t eras[] = {0, 1, 2, 1 << 20, (1 << 20) + 1,
	    (1 << 22) - 1, 1 << 22, (1 << 22) + 1, 1700000000,
	    PLATFORM_ERA_MAX};
	int64_t last = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(eras); i++) {
		int64_t first = fence_token(eras[i], 1);

		ck_assert_int_gt(first, last);
		last = fence_token(eras[i], INT64_C(2000000000));
		ck_assert_int_gt(last, first);
	}
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fence_token");
	TCase *cases = tcase_create("fence_token");

	tcase_add_test(cases, tokens_rise_with_the_era_and_the_revision);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
