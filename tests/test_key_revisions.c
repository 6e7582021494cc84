#include "key_revisions.h"
#include "suite.h"

#include <check.h>

static key_revisions_t *keys;

static void
setup(void)
{
	keys = key_revisions_new();
	key_revisions_begin_list(keys);
	ck_assert(key_revisions_put(keys, "kept", 80));
	ck_assert(key_revisions_put(keys, "lost", 90));
	g_ptr_array_unref(key_revisions_end_list(keys));
}

static void
teardown(void)
{
	key_revisions_free(keys);
}

static void
assert_only(GPtrArray *taken, const char *key)
{
	ck_assert_uint_eq(taken->len, 1);
	ck_assert_str_eq(taken->pdata[0], key);
	g_ptr_array_unref(taken);
}

/* Guards against taking a repeated or earlier change for a later one. */
START_TEST(only_later_revisions_are_news)
{
	ck_assert(!key_revisions_put(keys, "kept", 80));
	ck_assert(!key_revisions_remove(keys, "kept", 80));
	ck_assert(!key_revisions_remove(keys, "unknown", 99));
	ck_assert(key_revisions_remove(keys, "kept", 81));
	ck_assert(key_revisions_put(keys, "kept", 82));
}
END_TEST

/* Guards against keys that stay after they have left the store. */
START_TEST(unlisted_key_is_forgotten)
{
	key_revisions_begin_list(keys);
	key_revisions_put(keys, "kept", 80);
	assert_only(key_revisions_end_list(keys), "lost");
}
END_TEST

/*
 * Guards against comparing revisions of two eras, against dropping a key that
 * may be written again, also at another list, and against keeping it for ever.
 */
START_TEST(key_that_a_restored_store_lacks_is_held)
{
	key_revisions_restore(keys);
	for (int list = 0; list < 2; list++) {
		key_revisions_begin_list(keys);
		ck_assert_int_eq(
		    key_revisions_put(keys, "kept", 20), list == 0);
		g_ptr_array_unref(key_revisions_end_list(keys));
	}
	assert_only(key_revisions_end_hold(keys), "lost");
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("key_revisions");
	TCase *cases = tcase_create("key_revisions");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, only_later_revisions_are_news);
	tcase_add_test(cases, unlisted_key_is_forgotten);
	tcase_add_test(cases, key_that_a_restored_store_lacks_is_held);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
