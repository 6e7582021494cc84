#include "pool.h"
#include "suite.h"

#include <check.h>

enum { NOW_MS = 1000000, DRAIN_MS = 2000, LAPSE_MS = 1800 };

static pool_t *pool;

static void
setup(void)
{
	pool = pool_new(uv_default_loop(), DRAIN_MS);
}

static void
teardown(void)
{
	pool_free(pool);
}

static void
put(const char *address, int64_t started_ms, bool draining, int64_t leaves_ms,
    int64_t now_ms)
{
	server_info_t *info = g_new0(server_info_t, 1);

	info->id = g_strdup("i-1");
	info->service = g_strdup("s");
	info->address = g_strdup(address);
	info->zone = g_strdup("z");
	info->version = g_strdup("v1");
	info->slots = 4;
	info->started_ms = started_ms;
	info->draining = draining;
	info->shutdown_in_ms = leaves_ms;
	pool_put(pool, info, now_ms);
}

static server_t *
find(void)
{
	return pool_find(pool, server_tag("i-1"));
}

/* Guards against a server that is dropped since its entry lapsed. */
START_TEST(a_lapsed_entry_that_comes_back_changes_nothing)
{
	server_t *server;

	put("127.0.0.1:1", 7, false, -1, NOW_MS);
	server = find();
	pool_remove(pool, "i-1", LAPSE_MS, NOW_MS);
	ck_assert(server_usable(find(), NOW_MS + 100));
	put("127.0.0.1:1", 7, false, -1, NOW_MS + 1000);
	pool_sweep(pool, NOW_MS + LAPSE_MS + 1);
	ck_assert_ptr_eq(find(), server);
	ck_assert(server_usable(server, NOW_MS + LAPSE_MS + 1));
}
END_TEST

/* Guards against requests to a server that has gone for good. */
START_TEST(an_entry_that_stays_away_is_gone)
{
	put("127.0.0.1:1", 7, false, -1, NOW_MS);
	pool_remove(pool, "i-1", LAPSE_MS, NOW_MS);
	pool_sweep(pool, NOW_MS + LAPSE_MS);
	ck_assert_ptr_null(find());
	put("127.0.0.1:1", 7, false, -1, NOW_MS);
	pool_remove(pool, "i-1", 0, NOW_MS);
	ck_assert_ptr_null(find());
}
END_TEST

/* Guards against a lapse that hides that the server had said it leaves. */
START_TEST(a_draining_server_never_lapses)
{
	put("127.0.0.1:1", 7, true, -1, NOW_MS);
	ck_assert(!server_usable(find(), NOW_MS));
	pool_remove(pool, "i-1", LAPSE_MS, NOW_MS);
	ck_assert_ptr_null(find());
}
END_TEST

START_TEST(a_leaving_server_says_when_it_ends)
{
	put("127.0.0.1:1", 7, false, -1, NOW_MS);
	ck_assert_int_eq(find()->shutdown_at_ms, 0);
	put("127.0.0.1:1", 7, true, 2500, NOW_MS + 10);
	ck_assert_int_eq(find()->shutdown_at_ms, NOW_MS + 2510);
	put("127.0.0.1:1", 7, true, 2000, NOW_MS + 500);
	ck_assert_int_eq(find()->shutdown_at_ms, NOW_MS + 2510);
}
END_TEST

/* Guards against load and failures of before that count for a new process. */
START_TEST(a_new_start_under_the_same_id_is_a_new_server)
{
	server_t *server;

	put("127.0.0.1:1", 7, false, -1, NOW_MS);
	server = server_ref(find());
	server_record_outcome(server, SERVER_UNREACHABLE, 0, NOW_MS);
	server->local_load.in_flight = 3;
	ck_assert(!server_usable(server, NOW_MS));
	put("127.0.0.1:1", 8, false, -1, NOW_MS);
	ck_assert_ptr_ne(find(), server);
	ck_assert(server->removed);
	ck_assert(server_usable(find(), NOW_MS));
	ck_assert_uint_eq(server_in_flight(find()), 0);
	ck_assert_uint_eq(pool_servers(pool, "s")->len, 1);
	server_unref(server);
}
END_TEST

/* Guards against a dead server that is tried at every request. */
START_TEST(an_unreachable_server_is_tried_ever_more_seldom)
{
	int64_t first_ms, second_ms;
	server_t *server;

	put("127.0.0.1:1", 7, false, -1, NOW_MS);
	server = find();
	server_record_outcome(server, SERVER_UNREACHABLE, 0, NOW_MS);
	first_ms = server->backoff_until_ms - NOW_MS;
	server_record_outcome(server, SERVER_UNREACHABLE, 0, NOW_MS);
	second_ms = server->backoff_until_ms - NOW_MS;
	ck_assert_int_gt(second_ms, first_ms);
	server_record_outcome(server, SERVER_SERVED, 10, NOW_MS);
	server_record_outcome(server, SERVER_UNREACHABLE, 0, NOW_MS);
	ck_assert_int_eq(server->backoff_until_ms - NOW_MS, first_ms);
}
END_TEST

START_TEST(a_malformed_address_is_never_used)
{
	put("nowhere", 7, false, -1, NOW_MS);
	ck_assert(!server_usable(find(), NOW_MS));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("pool");
	TCase *cases = tcase_create("pool");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, a_lapsed_entry_that_comes_back_changes_nothing);
	tcase_add_test(cases, an_entry_that_stays_away_is_gone);
	tcase_add_test(cases, a_draining_server_never_lapses);
	tcase_add_test(cases, a_leaving_server_says_when_it_ends);
	tcase_add_test(cases, a_new_start_under_the_same_id_is_a_new_server);
	tcase_add_test(cases, an_unreachable_server_is_tried_ever_more_seldom);
	tcase_add_test(cases, a_malformed_address_is_never_used);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
