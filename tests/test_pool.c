#include "pool.h"
#include "suite.h"

#include <check.h>

enum { NOW_MS = 1000000, DRAIN_MS = 2000, GRACE_MS = 1800 };

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

static server_info_t *
make_entry(const char *address, int64_t started_ms)
{
	server_info_t *info = g_new0(server_info_t, 1);

	info->id = g_strdup("i-1");
	info->service = g_strdup("s");
	info->address = g_strdup(address);
	info->zone = g_strdup("z");
	info->version = g_strdup("v1");
	info->slots = 4;
	info->started_ms = started_ms;
	info->shutdown_in_ms = -1;
	return info;
}

static void
put_server(const char *address, int64_t started_ms, bool draining,
    int64_t shutdown_in_ms, int64_t now_ms)
{
	server_info_t *info = make_entry(address, started_ms);

	info->draining = draining;
	info->shutdown_in_ms = shutdown_in_ms;
	pool_put(pool, info, now_ms);
}

static server_t *
find_server(void)
{
	return pool_find(pool, server_tag("i-1"));
}

/*
 * Guards against dropping a server whose entry expired during a store outage
 * and was written again within the grace period.
 */
START_TEST(a_server_whose_entry_returns_in_the_grace_period_is_kept)
{
	server_t *server;

	put_server("127.0.0.1:1", 7, false, -1, NOW_MS);
	server = find_server();
	pool_remove(pool, "i-1", GRACE_MS, NOW_MS);
	ck_assert(server_usable(find_server(), NOW_MS + 100));
	put_server("127.0.0.1:1", 7, false, -1, NOW_MS + 1000);
	pool_sweep(pool, NOW_MS + GRACE_MS + 1);
	ck_assert_ptr_eq(find_server(), server);
	ck_assert(server_usable(server, NOW_MS + GRACE_MS + 1));
}
END_TEST

/* Guards against requests to a server whose entry is not written again. */
START_TEST(a_server_is_removed_after_the_grace_period)
{
	put_server("127.0.0.1:1", 7, false, -1, NOW_MS);
	pool_remove(pool, "i-1", GRACE_MS, NOW_MS);
	pool_sweep(pool, NOW_MS + GRACE_MS);
	ck_assert_ptr_null(find_server());
	put_server("127.0.0.1:1", 7, false, -1, NOW_MS);
	pool_remove(pool, "i-1", 0, NOW_MS);
	ck_assert_ptr_null(find_server());
}
END_TEST

/* Guards against a grace period for a server that announced its shutdown. */
START_TEST(a_draining_server_has_no_grace_period)
{
	put_server("127.0.0.1:1", 7, true, -1, NOW_MS);
	ck_assert(!server_usable(find_server(), NOW_MS));
	pool_remove(pool, "i-1", GRACE_MS, NOW_MS);
	ck_assert_ptr_null(find_server());
}
END_TEST

START_TEST(the_first_draining_entry_sets_the_shutdown_time)
{
	put_server("127.0.0.1:1", 7, false, -1, NOW_MS);
	ck_assert_int_eq(find_server()->shutdown_at_ms, 0);
	put_server("127.0.0.1:1", 7, true, 2500, NOW_MS + 10);
	ck_assert_int_eq(find_server()->shutdown_at_ms, NOW_MS + 2510);
	put_server("127.0.0.1:1", 7, true, 2000, NOW_MS + 500);
	ck_assert_int_eq(find_server()->shutdown_at_ms, NOW_MS + 2510);
}
END_TEST

/*
 * Guards against new requests to a server that has said in a response that it
 * leaves, while its entry says that it is ready, lapses or is written again.
 */
START_TEST(a_server_that_said_it_leaves_is_not_usable)
{
	put_server("127.0.0.1:1", 7, false, -1, NOW_MS);
	pool_set_leaving(pool, find_server(), NOW_MS);
	ck_assert(!server_usable(find_server(), NOW_MS));
	ck_assert_int_eq(find_server()->shutdown_at_ms, NOW_MS + DRAIN_MS);
	put_server("127.0.0.1:1", 7, false, -1, NOW_MS + 10);
	ck_assert(!server_usable(find_server(), NOW_MS + 10));
	pool_remove(pool, "i-1", 0, NOW_MS + 20);
	put_server("127.0.0.1:1", 7, false, -1, NOW_MS + 30000);
	ck_assert(!server_usable(find_server(), NOW_MS + 30000));
	/* A new process under the same id. */
	put_server("127.0.0.1:1", 8, false, -1, NOW_MS + 30001);
	ck_assert(server_usable(find_server(), NOW_MS + 30001));
}
END_TEST

/* Guards against a removed server that is remembered for good. */
START_TEST(a_removed_server_is_forgotten_after_a_while)
{
	put_server("127.0.0.1:1", 7, false, -1, NOW_MS);
	pool_set_leaving(pool, find_server(), NOW_MS);
	pool_remove(pool, "i-1", 0, NOW_MS);
	pool_sweep(pool, NOW_MS + 60001);
	put_server("127.0.0.1:1", 7, false, -1, NOW_MS + 60002);
	ck_assert(server_usable(find_server(), NOW_MS + 60002));
}
END_TEST

/* Guards against a server whose entry returned that is taken for leaving. */
START_TEST(a_server_whose_entry_returns_keeps_its_state)
{
	server_t *server;

	put_server("127.0.0.1:1", 7, false, -1, NOW_MS);
	server = find_server();
	server_record_outcome(server, SERVER_UNREACHABLE, 0, NOW_MS);
	pool_remove(pool, "i-1", 0, NOW_MS);
	put_server("127.0.0.1:1", 7, false, -1, NOW_MS + 100);
	ck_assert_ptr_eq(find_server(), server);
	ck_assert(!server_usable(server, NOW_MS + 100));
	ck_assert(server_usable(server, NOW_MS + 1000));
	ck_assert_int_eq(server->shutdown_at_ms, 0);
}
END_TEST

/* Guards against a restarted server that inherits load and failures. */
START_TEST(a_restart_under_the_same_id_is_a_new_server)
{
	server_t *server;

	put_server("127.0.0.1:1", 7, false, -1, NOW_MS);
	server = server_ref(find_server());
	server_record_outcome(server, SERVER_UNREACHABLE, 0, NOW_MS);
	server->local_load.in_flight = 3;
	ck_assert(!server_usable(server, NOW_MS));
	put_server("127.0.0.1:1", 8, false, -1, NOW_MS);
	ck_assert_ptr_ne(find_server(), server);
	ck_assert(server->removed);
	ck_assert(server_usable(find_server(), NOW_MS));
	ck_assert_uint_eq(server_in_flight(find_server()), 0);
	ck_assert_uint_eq(pool_servers(pool, "s")->len, 1);
	server_unref(server);
}
END_TEST

/*
 * Guards against requests in the pause that a server has asked for, after a
 * shorter pause of our own or a success.
 */
START_TEST(a_pause_that_the_server_asks_for_is_kept)
{
	server_t *server;

	put_server("127.0.0.1:1", 7, false, -1, NOW_MS);
	server = find_server();
	server_pause(server, 5000, NOW_MS);
	server_record_outcome(server, SERVER_FULL, 0, NOW_MS);
	server_record_outcome(server, SERVER_SERVED, 10, NOW_MS + 50);
	server_pause(server, 1000, NOW_MS + 100);
	ck_assert(!server_usable(server, NOW_MS + 4999));
	ck_assert_int_eq(
	    pool_pause_ms(pool_servers(pool, "s"), NOW_MS + 1000), 4000);
	ck_assert(server_usable(server, NOW_MS + 5000));
	ck_assert_int_eq(
	    pool_pause_ms(pool_servers(pool, "s"), NOW_MS + 6000), 0);
	pool_set_leaving(pool, server, NOW_MS);
	ck_assert_int_eq(pool_pause_ms(pool_servers(pool, "s"), NOW_MS), 0);
	ck_assert_int_eq(pool_pause_ms(NULL, NOW_MS), 0);
}
END_TEST

/* Guards against trying an unreachable server at every request. */
START_TEST(consecutive_failures_increase_the_backoff)
{
	int64_t first_backoff_ms, second_backoff_ms;
	server_t *server;

	put_server("127.0.0.1:1", 7, false, -1, NOW_MS);
	server = find_server();
	server_record_outcome(server, SERVER_UNREACHABLE, 0, NOW_MS);
	first_backoff_ms = server->backoff_until_ms - NOW_MS;
	server_record_outcome(server, SERVER_UNREACHABLE, 0, NOW_MS);
	second_backoff_ms = server->backoff_until_ms - NOW_MS;
	ck_assert_int_gt(second_backoff_ms, first_backoff_ms);
	server_record_outcome(server, SERVER_SERVED, 10, NOW_MS);
	server_record_outcome(server, SERVER_UNREACHABLE, 0, NOW_MS);
	ck_assert_int_eq(server->backoff_until_ms - NOW_MS, first_backoff_ms);
}
END_TEST

/* Puts an entry that says for how long the server is still cold. */
static void
put_cold_server(int64_t started_ms, int64_t warmup_ms, int64_t now_ms)
{
	server_info_t *info = make_entry("127.0.0.1:1", started_ms);

	info->warmup_ms = warmup_ms;
	pool_put(pool, info, now_ms);
}

/*
 * Guards against a server that is taken for warm, or for cold, by the time of
 * its first listing: it may become cold again at any moment.
 */
START_TEST(an_entry_counts_from_the_time_at_which_it_was_read)
{
	put_cold_server(7, 3000, NOW_MS);
	ck_assert(server_is_cold(find_server(), NOW_MS + 2999));
	ck_assert(!server_is_cold(find_server(), NOW_MS + 3000));
	put_cold_server(7, 0, NOW_MS + 1000);
	ck_assert(!server_is_cold(find_server(), NOW_MS + 1000));
	put_cold_server(7, 2500, NOW_MS + 60000);
	ck_assert(server_is_cold(find_server(), NOW_MS + 62499));
	ck_assert(!server_is_cold(find_server(), NOW_MS + 62500));
}
END_TEST

/*
 * Guards against an entry that was written before the server became cold, and
 * is read after a response that shows it.
 */
START_TEST(a_response_that_says_cold_outlives_an_entry)
{
	put_cold_server(7, 0, NOW_MS);
	server_report_cold(find_server(), 2000, NOW_MS);
	server_report_cold(find_server(), 500, NOW_MS + 10);
	put_cold_server(7, 0, NOW_MS + 100);
	ck_assert(server_is_cold(find_server(), NOW_MS + 1999));
	ck_assert(!server_is_cold(find_server(), NOW_MS + 2000));
}
END_TEST

/*
 * Guards against a server that is taken for warm by an entry of the time before
 * the end of its zone's evacuation, and against one that stays cold although a
 * later entry says otherwise.
 */
START_TEST(an_assumption_holds_until_the_next_entry)
{
	put_cold_server(7, 0, NOW_MS);
	server_assume_cold(find_server(), 3000, NOW_MS + 100);
	ck_assert(server_is_cold(find_server(), NOW_MS + 3099));
	put_cold_server(7, 0, NOW_MS + 1000);
	ck_assert(!server_is_cold(find_server(), NOW_MS + 1000));
	put_cold_server(7, 5000, NOW_MS + 2000);
	server_assume_cold(find_server(), 3000, NOW_MS + 2000);
	ck_assert(server_is_cold(find_server(), NOW_MS + 6999));
}
END_TEST

/* Guards against turns and cold times of a process that has been replaced. */
START_TEST(a_replaced_server_has_its_own_cold_time)
{
	put_cold_server(7, 0, NOW_MS);
	server_report_cold(find_server(), 60000, NOW_MS);
	cold_turns_count(&find_server()->cold_turns, NOW_MS);
	put_cold_server(8, 3000, NOW_MS + 1);
	ck_assert(!server_is_cold(find_server(), NOW_MS + 3001));
	ck_assert_uint_eq(
	    cold_turns_sum(&find_server()->cold_turns, NOW_MS + 1), 0);
}
END_TEST

/* Puts an entry that is read while the store is being restored. */
static void
put_restored(
    int64_t started_ms, int64_t sequence, bool draining, int64_t now_ms)
{
	server_info_t *info = make_entry("127.0.0.1:1", started_ms);

	info->sequence = sequence;
	info->draining = draining;
	info->warmup_ms = 3000;
	if (pool_is_outdated(pool, info))
		pool_put_outdated(pool, info, now_ms);
	else
		pool_put(pool, info, now_ms);
}

/*
 * Guards against requests to a server that drains or is gone, by its older
 * entry, and against the loss of a server whose entry stays.
 */
START_TEST(an_older_entry_does_not_return_a_server)
{
	put_restored(7, 5, false, NOW_MS);
	put_restored(7, 4, true, NOW_MS);
	put_restored(7, 4, false, NOW_MS);
	put_restored(6, 9, false, NOW_MS);
	ck_assert(!server_usable(find_server(), NOW_MS));
	pool_remove(pool, "i-1", 0, NOW_MS);
	put_restored(7, 4, false, NOW_MS);
	pool_sweep(pool, NOW_MS + 10000);
	ck_assert_ptr_null(find_server());
	put_restored(8, 1, false, NOW_MS);
	ck_assert(server_usable(find_server(), NOW_MS));
	pool_remove(pool, "i-1", 0, NOW_MS);
	put_restored(8, 1, false, NOW_MS);
	pool_sweep(pool, NOW_MS + 4000);
	ck_assert_ptr_null(find_server());
	pool_remove(pool, "i-1", 0, NOW_MS);
	pool_sweep(pool, NOW_MS + 10000);
	ck_assert_ptr_null(find_server());
	put_restored(8, 1, false, NOW_MS);
	pool_sweep(pool, NOW_MS + 10000);
	ck_assert(server_usable(find_server(), NOW_MS));
}
END_TEST

/* Guards against an older entry that makes a warm server cold again. */
START_TEST(an_older_entry_changes_nothing_but_ends_a_grace_period)
{
	put_cold_server(7, 0, NOW_MS);
	pool_remove(pool, "i-1", GRACE_MS, NOW_MS);
	put_restored(7, 0, false, NOW_MS);
	ck_assert(!server_is_cold(find_server(), NOW_MS));
	pool_sweep(pool, NOW_MS + GRACE_MS);
	ck_assert_ptr_nonnull(find_server());
}
END_TEST

START_TEST(a_malformed_address_is_never_used)
{
	put_server("nowhere", 7, false, -1, NOW_MS);
	ck_assert(!server_usable(find_server(), NOW_MS));
}
END_TEST

/*
 * Guards against a slow server that looks fast as its slow attempts are
 * cancelled, and against one that looks faster than it is by a cancelled one.
 */
START_TEST(an_attempt_without_an_answer_only_raises_the_latency)
{
	server_t *server;

	put_server("127.0.0.1:1", 7, false, -1, NOW_MS);
	server = find_server();
	server_record_outcome(server, SERVER_SERVED, 50, NOW_MS);
	server_record_no_answer(server, 20);
	ck_assert_double_eq(server->latency_ms, 50);
	server_record_no_answer(server, 500);
	ck_assert_double_gt(server->latency_ms, 50);
	ck_assert_double_lt(server->latency_ms, 500);
	ck_assert_double_eq(server->failure_rate, 0);
	ck_assert(server_usable(server, NOW_MS));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("pool");
	TCase *cases = tcase_create("pool");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(
	    cases, a_server_whose_entry_returns_in_the_grace_period_is_kept);
	tcase_add_test(cases, a_server_is_removed_after_the_grace_period);
	tcase_add_test(cases, a_draining_server_has_no_grace_period);
	tcase_add_test(cases, the_first_draining_entry_sets_the_shutdown_time);
	tcase_add_test(cases, a_pause_that_the_server_asks_for_is_kept);
	tcase_add_test(cases, a_server_that_said_it_leaves_is_not_usable);
	tcase_add_test(cases, a_removed_server_is_forgotten_after_a_while);
	tcase_add_test(cases, a_server_whose_entry_returns_keeps_its_state);
	tcase_add_test(cases, a_restart_under_the_same_id_is_a_new_server);
	tcase_add_test(cases, consecutive_failures_increase_the_backoff);
	tcase_add_test(cases, an_older_entry_does_not_return_a_server);
	tcase_add_test(
	    cases, an_older_entry_changes_nothing_but_ends_a_grace_period);
	tcase_add_test(cases, a_malformed_address_is_never_used);
	tcase_add_test(
	    cases, an_entry_counts_from_the_time_at_which_it_was_read);
	tcase_add_test(cases, a_response_that_says_cold_outlives_an_entry);
	tcase_add_test(cases, an_assumption_holds_until_the_next_entry);
	tcase_add_test(cases, a_replaced_server_has_its_own_cold_time);
	tcase_add_test(
	    cases, an_attempt_without_an_answer_only_raises_the_latency);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
