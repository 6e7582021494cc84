#include "store.h"
#include "suite.h"
#include "support.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum { TIMEOUT_MS = 300 };

static program_t *store_program;
static uv_loop_t loop;
static http_client_t *http;
static store_t *store;

/* Copy of the result of a call. */
typedef struct reply {
	bool received;
	store_status_t status;
	int64_t revision;
	GString *value;
	size_t entry_count;
	char *lease_id;
} reply_t;

static reply_t reply;

static void
on_reply(const store_result_t *result, void *data)
{
	reply.received = true;
	reply.status = result->status;
	reply.revision = result->revision;
	reply.entry_count = json_array_size(result->entries);
	g_string_truncate(reply.value, 0);
	if (result->value != NULL)
		g_string_append_len(
		    reply.value, result->value, (gssize)result->value_length);
	g_free(reply.lease_id);
	reply.lease_id = g_strdup(result->lease_id);
}

static store_status_t
wait_reply(void)
{
	reply.received = false;
	while (!reply.received)
		uv_run(&loop, UV_RUN_ONCE);
	return reply.status;
}

static store_status_t
get_key(const char *key)
{
	store_get(store, key, on_reply, NULL);
	return wait_reply();
}

static store_status_t
swap_key(const char *key, int64_t expected_revision, const char *value,
    const char *lease_id)
{
	store_compare_and_swap(store, key, expected_revision, value,
	    strlen(value), lease_id, on_reply, NULL);
	return wait_reply();
}

static store_status_t
grant_lease(int64_t ttl_ms)
{
	store_grant_lease(store, ttl_ms, on_reply, NULL);
	return wait_reply();
}

static void
setup(void)
{
	char *url;

	store_program = program_start("standin-store", NULL);
	url = g_strdup_printf("http://%s/", store_program->address);
	uv_loop_init(&loop);
	http = http_client_new(&loop);
	store = store_new(&loop, http, url, TIMEOUT_MS);
	reply = (reply_t){.value = g_string_new(NULL)};
	g_free(url);
}

static void
teardown(void)
{
	store_free(store);
	http_client_free(http);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
	g_string_free(reply.value, TRUE);
	g_free(reply.lease_id);
	programs_end();
}

/* Guards against a write that ignores its precondition. */
START_TEST(swap_needs_the_expected_revision)
{
	int64_t first_revision;

	ck_assert_int_eq(get_key("a/b"), STORE_NOT_FOUND);
	ck_assert_int_eq(swap_key("a/b", 0, "one", NULL), STORE_OK);
	first_revision = reply.revision;
	ck_assert_int_eq(swap_key("a/b", 0, "two", NULL), STORE_CONFLICT);
	ck_assert_int_eq(reply.revision, first_revision);
	ck_assert_int_eq(
	    swap_key("a/b", first_revision, "three", NULL), STORE_OK);
	ck_assert_int_gt(reply.revision, first_revision);
	ck_assert_int_eq(
	    swap_key("a/b", first_revision, "four", NULL), STORE_CONFLICT);
	ck_assert_int_eq(get_key("a/b"), STORE_OK);
	ck_assert_str_eq(reply.value->str, "three");
	store_list_keys(store, "a/", on_reply, NULL);
	ck_assert_int_eq(wait_reply(), STORE_OK);
	ck_assert_uint_eq(reply.entry_count, 1);
	get_key("a/b");
	store_delete(store, "a/b", reply.revision, on_reply, NULL);
	ck_assert_int_eq(wait_reply(), STORE_OK);
	ck_assert_int_eq(get_key("a/b"), STORE_NOT_FOUND);
}
END_TEST

/* Guards against a truncated or altered value and a missing size limit. */
START_TEST(values_are_binary_and_bounded)
{
	size_t length = STORE_VALUE_MAX_BYTES + 1;
	char *value = g_malloc(length);

	memset(value, '\0', length);
	store_compare_and_swap(
	    store, "v", 0, value, length, NULL, on_reply, NULL);
	ck_assert_int_eq(wait_reply(), STORE_TOO_LARGE);
	store_compare_and_swap(
	    store, "v", 0, value, length - 1, NULL, on_reply, NULL);
	ck_assert_int_eq(wait_reply(), STORE_OK);
	ck_assert_int_eq(get_key("v"), STORE_OK);
	ck_assert_uint_eq(reply.value->len, length - 1);
	g_free(value);
}
END_TEST

/* Guards against a lost response that is reported as a failed write. */
START_TEST(lost_response_is_unknown_and_may_have_taken_effect)
{
	faults_set(store_program, "{\"lose_answers\": 1}");
	ck_assert_int_eq(swap_key("a", 0, "one", NULL), STORE_OUTCOME_UNKNOWN);
	ck_assert_int_eq(grant_lease(1000), STORE_OUTCOME_UNKNOWN);
	faults_set(store_program, "{\"lose_answers\": 0}");
	ck_assert_int_eq(get_key("a"), STORE_OK);
	ck_assert_str_eq(reply.value->str, "one");
}
END_TEST

/* Guards against reporting a write that timed out as not made. */
START_TEST(write_after_its_timeout_takes_effect)
{
	faults_set(store_program, "{\"delay_ms\": 500}");
	ck_assert_int_eq(swap_key("a", 0, "late", NULL), STORE_OUTCOME_UNKNOWN);
	faults_set(store_program, "{\"delay_ms\": 0}");
	while (get_key("a") == STORE_NOT_FOUND)
		;
	ck_assert_str_eq(reply.value->str, "late");
}
END_TEST

/* Guards against a stale read that pairs a value with another revision. */
START_TEST(stale_read_returns_the_previous_value)
{
	int64_t first_revision;

	swap_key("a", 0, "one", NULL);
	first_revision = reply.revision;
	swap_key("a", first_revision, "two", NULL);
	faults_set(store_program, "{\"stale_reads\": 1, \"seed\": 3}");
	ck_assert_int_eq(get_key("a"), STORE_OK);
	ck_assert_int_eq(reply.revision, first_revision);
	ck_assert_str_eq(reply.value->str, "one");
}
END_TEST

/* Guards against calls that hang or succeed while the store is unavailable. */
START_TEST(calls_fail_while_the_store_is_unavailable)
{
	faults_set(store_program, "{\"down\": true}");
	ck_assert_int_eq(get_key("a"), STORE_OUTCOME_UNKNOWN);
	ck_assert_int_eq(swap_key("a", 0, "one", NULL), STORE_OUTCOME_UNKNOWN);
	faults_set(store_program, "{\"down\": false}");
	ck_assert_int_eq(get_key("a"), STORE_NOT_FOUND);
	kill(store_program->pid, SIGSTOP);
	ck_assert_int_eq(get_key("a"), STORE_OUTCOME_UNKNOWN);
	program_end(store_program, SIGKILL);
	ck_assert_int_eq(swap_key("a", 0, "one", NULL), STORE_NOT_SENT);
}
END_TEST

/* Guards against a rate limit that is not applied to writes or to reads. */
START_TEST(calls_over_the_rate_are_refused)
{
	unsigned rate_limited_calls = 0;

	faults_set(store_program, "{\"writes_per_s\": 2, \"reads_per_s\": 2}");
	for (int i = 0; i < 8; i++)
		rate_limited_calls +=
		    swap_key("a", 99, "one", NULL) == STORE_RATE_LIMITED;
	ck_assert_uint_ge(rate_limited_calls, 1);
	rate_limited_calls = 0;
	for (int i = 0; i < 8; i++)
		rate_limited_calls += get_key("a") == STORE_RATE_LIMITED;
	ck_assert_uint_ge(rate_limited_calls, 1);
}
END_TEST

/* Guards against keys that outlive their lease and detached keys that expire.
 */
START_TEST(lease_deletes_the_keys_attached_to_it)
{
	char *lease_id;

	ck_assert_int_eq(grant_lease(200), STORE_OK);
	lease_id = g_strdup(reply.lease_id);
	ck_assert_int_eq(swap_key("kept", 0, "x", lease_id), STORE_OK);
	ck_assert_int_eq(
	    swap_key("kept", reply.revision, "detached", NULL), STORE_OK);
	ck_assert_int_eq(swap_key("gone", 0, "x", lease_id), STORE_OK);
	store_renew_lease(store, lease_id, on_reply, NULL);
	ck_assert_int_eq(wait_reply(), STORE_OK);
	while (get_key("gone") == STORE_OK)
		;
	ck_assert_int_eq(reply.status, STORE_NOT_FOUND);
	ck_assert_int_eq(get_key("kept"), STORE_OK);
	store_renew_lease(store, lease_id, on_reply, NULL);
	ck_assert_int_eq(wait_reply(), STORE_NOT_FOUND);
	ck_assert_int_eq(swap_key("late", 0, "x", lease_id), STORE_NOT_FOUND);
	g_free(lease_id);
}
END_TEST

static void
on_written(const store_result_t *result, void *data)
{
	ck_assert_int_eq(result->status, STORE_OK);
}

/* Guards against a watch that misses a change or expiry or never times out. */
START_TEST(watch_completes_at_a_change)
{
	store_watch_key(store, "w", 0, 20, on_reply, NULL);
	ck_assert_int_eq(wait_reply(), STORE_UNCHANGED);
	store_watch_key(store, "w", 0, 10000, on_reply, NULL);
	store_compare_and_swap(store, "w", 0, "new", 3, NULL, on_written, NULL);
	ck_assert_int_eq(wait_reply(), STORE_OK);
	ck_assert_str_eq(reply.value->str, "new");
	grant_lease(100);
	swap_key("leased", 0, "x", reply.lease_id);
	store_watch_key(store, "leased", reply.revision, 10000, on_reply, NULL);
	ck_assert_int_eq(wait_reply(), STORE_NOT_FOUND);
	ck_assert_int_eq((int)metric_read(store_program, "watches_total"), 3);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("store");
	TCase *tests = tcase_create("store");

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, swap_needs_the_expected_revision);
	tcase_add_test(tests, values_are_binary_and_bounded);
	tcase_add_test(
	    tests, lost_response_is_unknown_and_may_have_taken_effect);
	tcase_add_test(tests, write_after_its_timeout_takes_effect);
	tcase_add_test(tests, stale_read_returns_the_previous_value);
	tcase_add_test(tests, calls_fail_while_the_store_is_unavailable);
	tcase_add_test(tests, calls_over_the_rate_are_refused);
	tcase_add_test(tests, lease_deletes_the_keys_attached_to_it);
	tcase_add_test(tests, watch_completes_at_a_change);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
