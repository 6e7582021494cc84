#include "ledger.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum {
	NOW_MS = 1000000,
	RETENTION_MS = 60000,
	START_TIMEOUT_MS = 1000,
	START_VALUE_SIZE_MAX = 600,
};

static counters_t *counters;
static ledger_t *ledger;
static uint64_t next_nonce;
static int64_t now_ms;

/*
 * The last action of each kind, and the number of actions of that kind, since
 * collect_actions() was last called.
 */
static ledger_action_t last_actions[LEDGER_NOTIFY_NODE + 1];
static unsigned action_counts[LEDGER_NOTIFY_NODE + 1];

static ledger_t *
make_ledger(void)
{
	ledger_options_t options = {
	    .node = "a",
	    .partition_count = 1,
	    .value_size_max = 2 * START_VALUE_SIZE_MAX,
	    .start_value_size_max = START_VALUE_SIZE_MAX,
	    .start_timeout_ms = START_TIMEOUT_MS,
	    .reply_delay_max_ms = 100,
	    .entries_max = 100,
	    .counters = counters,
	};

	return ledger_new(&options);
}

static void
clear_actions(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(last_actions); i++)
		ledger_action_clear(&last_actions[i]);
	memset(last_actions, 0, sizeof(last_actions));
	memset(action_counts, 0, sizeof(action_counts));
}

static void
setup(void)
{
	counters = counters_new();
	ledger = make_ledger();
	next_nonce = 0;
	now_ms = NOW_MS;
}

static void
teardown(void)
{
	clear_actions();
	ledger_free(ledger);
	counters_free(counters);
}

/* Empties the ledger's queue of actions. */
static void
collect_actions(void)
{
	ledger_action_t action;

	clear_actions();
	while (ledger_next_action(ledger, &action)) {
		ledger_action_clear(&last_actions[action.kind]);
		last_actions[action.kind] = action;
		action_counts[action.kind]++;
	}
}

static void
submit(uint64_t id, const char *key, uint64_t hash)
{
	ledger_request_t req = {
	    .id = id,
	    .service = "t/pickup",
	    .key = key,
	    .hash = {.low = hash},
	    .nonce = {.low = ++next_nonce},
	    .retention_ms = RETENTION_MS,
	    .deadline_ms = now_ms + 5000,
	};

	ledger_request(ledger, &req, now_ms);
	collect_actions();
}

static void
complete_read(store_status_t status, int64_t revision, GBytes *value)
{
	gsize length = 0;
	const void *bytes =
	    value != NULL ? g_bytes_get_data(value, &length) : NULL;

	ledger_on_read(ledger, 0, status, revision, bytes, length, now_ms, 1);
	collect_actions();
}

static void
complete_swap(store_status_t status, int64_t revision)
{
	ledger_on_swap(ledger, 0, status, revision, now_ms, 1);
	collect_actions();
}

static void
tick(int64_t elapsed_ms)
{
	now_ms += elapsed_ms;
	ledger_tick(ledger, now_ms);
	collect_actions();
}

static void
finish(const ledger_record_t *start_record, ledger_attempt_end_t attempt_end,
    const char *body)
{
	ledger_outcome_t outcome = {
	    .end = attempt_end,
	    .status = 201,
	    .content_type = "text/plain",
	    .body = g_bytes_new(body, strlen(body)),
	};

	ledger_finish(ledger, start_record, &outcome, now_ms);
	g_bytes_unref(outcome.body);
	collect_actions();
}

/* Commits a start at revision 1. Returns the record of its LEDGER_RUN. */
static ledger_record_t *
commit_start(const char *key)
{
	submit(1, key, 7);
	ck_assert_uint_eq(action_counts[LEDGER_READ], 1);
	complete_read(STORE_NOT_FOUND, 0, NULL);
	ck_assert_uint_eq(action_counts[LEDGER_SWAP], 1);
	ck_assert_uint_eq(action_counts[LEDGER_RUN], 0);
	complete_swap(STORE_OK, 1);
	ck_assert_uint_eq(action_counts[LEDGER_RUN], 1);
	return ledger_record_ref(last_actions[LEDGER_RUN].record);
}

/* Encoded partition with one record of another node. */
static GBytes *
value_from_other_node(
    ledger_record_state_t state, int64_t expires_at_ms, const char *key)
{
	ledger_record_t record = {
	    .service = (char *)"t/pickup",
	    .key = (char *)key,
	    .node = (char *)"b",
	    .hash = {.low = 7},
	    .nonce = {.low = 99},
	    .expires_at_ms = expires_at_ms,
	    .key_time_ms = ledger_key_time_ms(key),
	    .state = state,
	    .status = 200,
	    .content_type = (char *)"",
	    .body_location = LEDGER_BODY_OMITTED,
	};
	ledger_value_t *value = ledger_value_new();
	GBytes *bytes;

	ledger_value_put(value, ledger_record_new(&record));
	bytes = ledger_value_encode(value);
	ledger_value_free(value);
	return bytes;
}

static void
read_record_of_other_node(ledger_record_state_t state, int64_t revision)
{
	GBytes *value =
	    value_from_other_node(state, NOW_MS + RETENTION_MS, "k");

	complete_read(STORE_OK, revision, value);
	g_bytes_unref(value);
}

/*
 * Guards against a request that runs before its start record is committed, or
 * that runs twice.
 */
START_TEST(start_is_committed_before_the_run)
{
	ledger_record_t *run = commit_start("k");

	submit(2, "k", 7);
	ck_assert_uint_eq(action_counts[LEDGER_RUN], 0);
	finish(run, LEDGER_END_RESPONDED, "done");
	ck_assert_uint_eq(action_counts[LEDGER_SWAP], 1);
	ck_assert_uint_eq(action_counts[LEDGER_REPLY], 0);
	complete_swap(STORE_OK, 2);
	ck_assert_uint_eq(action_counts[LEDGER_REPLY], 2);
	ck_assert_int_eq(last_actions[LEDGER_REPLY].record->status, 201);
	ck_assert_uint_eq(ledger_entries(ledger), 0);
	submit(3, "k", 7);
	ck_assert_uint_eq(action_counts[LEDGER_REPLY], 1);
	submit(4, "k", 8);
	ck_assert_int_eq(
	    last_actions[LEDGER_REFUSE].error, PAPAYA_ERROR_KEY_REUSED);
	ledger_record_unref(run);
}
END_TEST

/* Guards against a separate store write for each request. */
START_TEST(requests_during_a_swap_share_the_next_swap)
{
	submit(1, "k1", 1);
	complete_read(STORE_NOT_FOUND, 0, NULL);
	submit(2, "k2", 1);
	submit(3, "k3", 1);
	ck_assert_uint_eq(action_counts[LEDGER_SWAP], 0);
	complete_swap(STORE_OK, 1);
	ck_assert_uint_eq(action_counts[LEDGER_SWAP], 1);
	complete_swap(STORE_OK, 2);
	ck_assert_uint_eq(action_counts[LEDGER_RUN], 2);
}
END_TEST

/*
 * The response to a swap is lost. Guards against treating the write as failed,
 * or as done, before the store's value shows which.
 */
START_TEST(lost_response_is_resolved_by_the_nonce)
{
	GBytes *sent;

	submit(1, "k", 7);
	complete_read(STORE_NOT_FOUND, 0, NULL);
	sent = g_bytes_ref(last_actions[LEDGER_SWAP].value);
	complete_swap(STORE_OUTCOME_UNKNOWN, 0);
	tick(100);
	ck_assert_uint_eq(action_counts[LEDGER_READ], 1);
	/*
	 * The start is absent, but the store may still apply the first swap.
	 * Only a further swap decides.
	 */
	complete_read(STORE_NOT_FOUND, 0, NULL);
	ck_assert_uint_eq(action_counts[LEDGER_RUN], 0);
	ck_assert_uint_eq(action_counts[LEDGER_SWAP], 1);
	complete_swap(STORE_CONFLICT, 1);
	tick(100);
	complete_read(STORE_OK, 1, sent);
	ck_assert_uint_eq(action_counts[LEDGER_RUN], 1);
	g_bytes_unref(sent);
}
END_TEST

/* Guards against running a request again that another node has started. */
START_TEST(started_record_is_never_run_again)
{
	submit(1, "k", 7);
	read_record_of_other_node(LEDGER_STARTED, 5);
	ck_assert_uint_eq(action_counts[LEDGER_QUERY_OUTCOME], 1);
	ck_assert_uint_eq(
	    action_counts[LEDGER_SWAP] + action_counts[LEDGER_RUN], 0);
	ledger_on_outcome(
	    ledger, "t/pickup", "k", (ledger_id_t){.low = 99}, false, now_ms);
	collect_actions();
	read_record_of_other_node(LEDGER_STARTED, 5);
	ck_assert_int_eq(
	    last_actions[LEDGER_REFUSE].error, PAPAYA_ERROR_OUTCOME_UNKNOWN);
	ck_assert(!last_actions[LEDGER_REFUSE].not_run);
	submit(2, "k", 7);
	tick(4000);
	read_record_of_other_node(LEDGER_STARTED, 5);
	tick(1000);
	ck_assert_int_eq(
	    last_actions[LEDGER_REFUSE].error, PAPAYA_ERROR_OUTCOME_UNKNOWN);
}
END_TEST

/*
 * Guards against a request that is refused as not run, but whose start record
 * stays in the store and blocks retries.
 */
START_TEST(refused_start_is_withdrawn)
{
	GBytes *sent;
	ledger_value_t *value;
	gsize length;
	const void *bytes;

	submit(1, "k", 7);
	complete_read(STORE_NOT_FOUND, 0, NULL);
	sent = g_bytes_ref(last_actions[LEDGER_SWAP].value);
	complete_swap(STORE_OUTCOME_UNKNOWN, 0);
	tick(START_TIMEOUT_MS);
	ck_assert(last_actions[LEDGER_REFUSE].not_run);
	ck_assert_int_eq(
	    last_actions[LEDGER_REFUSE].error, PAPAYA_ERROR_STORE_UNAVAILABLE);
	/* A retry waits until the start record is removed. */
	submit(2, "k", 7);
	complete_read(STORE_OK, 1, sent);
	ck_assert_uint_eq(action_counts[LEDGER_RUN], 0);
	bytes = g_bytes_get_data(last_actions[LEDGER_SWAP].value, &length);
	value = ledger_value_decode(bytes, length, 1, NULL);
	ck_assert_uint_eq(g_hash_table_size(value->records), 0);
	complete_swap(STORE_OK, 2);
	complete_swap(STORE_OK, 3);
	ck_assert_uint_eq(action_counts[LEDGER_RUN], 1);
	ledger_value_free(value);
	g_bytes_unref(sent);
}
END_TEST

/* Guards against an entry that remains although no swap was ever sent. */
START_TEST(start_that_was_never_sent_needs_no_withdrawal)
{
	submit(1, "k", 7);
	complete_read(STORE_NOT_SENT, 0, NULL);
	tick(START_TIMEOUT_MS);
	ck_assert(last_actions[LEDGER_REFUSE].not_run);
	ck_assert_uint_eq(ledger_entries(ledger), 0);
}
END_TEST

/* Guards against delaying a known response while the store is down. */
START_TEST(response_does_not_wait_for_a_failing_store)
{
	ledger_record_t *run = commit_start("k");

	finish(run, LEDGER_END_RESPONDED, "done");
	complete_swap(STORE_OUTCOME_UNKNOWN, 0);
	ck_assert_uint_eq(action_counts[LEDGER_REPLY], 1);
	ck_assert_uint_eq(ledger_entries(ledger), 1);
	tick(100);
	complete_read(STORE_NOT_SENT, 0, NULL);
	tick(1000);
	ck_assert_uint_eq(action_counts[LEDGER_READ], 1);
	ledger_record_unref(run);
}
END_TEST

/* Guards against a partition that exceeds its limit or loses a record. */
START_TEST(full_partition_refuses_new_starts)
{
	char key[8];
	unsigned id = 0;

	submit(++id, "k0", 1);
	complete_read(STORE_NOT_FOUND, 0, NULL);
	while (action_counts[LEDGER_SWAP] > 0) {
		complete_swap(STORE_OK, id);
		ck_assert_uint_eq(action_counts[LEDGER_RUN], 1);
		g_snprintf(key, sizeof(key), "k%u", id);
		submit(++id, key, 1);
	}
	ck_assert_uint_gt(id, 3);
	ck_assert_int_eq(
	    last_actions[LEDGER_REFUSE].error, PAPAYA_ERROR_LEDGER_FULL);
	ck_assert(last_actions[LEDGER_REFUSE].not_run);
	submit(++id, "k0", 2);
	ck_assert_int_eq(
	    last_actions[LEDGER_REFUSE].error, PAPAYA_ERROR_KEY_REUSED);
	/* After the retention the records expire, which frees space. */
	now_ms += RETENTION_MS;
	submit(++id, "new", 1);
	ck_assert_uint_eq(action_counts[LEDGER_SWAP], 1);
}
END_TEST

/*
 * Guards against a response that is too large for the partition and so prevents
 * the write of its outcome.
 */
START_TEST(response_too_large_is_not_stored)
{
	ledger_record_t *run = commit_start("k");
	char *body = g_strnfill(3 * START_VALUE_SIZE_MAX, 'x');

	finish(run, LEDGER_END_RESPONDED, body);
	ck_assert_uint_lt(g_bytes_get_size(last_actions[LEDGER_SWAP].value),
	    START_VALUE_SIZE_MAX);
	complete_swap(STORE_OK, 2);
	ck_assert_int_eq(last_actions[LEDGER_REPLY].record->body_location,
	    LEDGER_BODY_INLINE);
	submit(2, "k", 7);
	ck_assert_int_eq(last_actions[LEDGER_REPLY].record->body_location,
	    LEDGER_BODY_OMITTED);
	ledger_record_unref(run);
	g_free(body);
}
END_TEST

/* The time in this key is 0xf4240 = 1,000,000 ms (NOW_MS). */
static const char uuidv7_key[] = "0000000f-4240-7000-8000-000000000001";

/*
 * Guards against running a request whose key is expired, is from the future, or
 * had a record that has expired.
 */
START_TEST(expired_uuidv7_keys_stay_refused)
{
	GError *error = NULL;
	GBytes *value;

	ck_assert_int_eq(ledger_key_time_ms(uuidv7_key), NOW_MS);
	ck_assert_int_eq(
	    ledger_key_time_ms("0000000f-4240-4000-8000-000000000001"),
	    LEDGER_NO_KEY_TIME);
	ck_assert(
	    ledger_check_key(uuidv7_key, true, RETENTION_MS, NOW_MS, NULL));
	ck_assert(!ledger_check_key(
	    uuidv7_key, true, RETENTION_MS, NOW_MS + RETENTION_MS, &error));
	ck_assert_int_eq(error->code, PAPAYA_ERROR_KEY_EXPIRED);
	g_clear_error(&error);
	ck_assert(!ledger_check_key(uuidv7_key, true, RETENTION_MS, 0, &error));
	ck_assert_int_eq(error->code, PAPAYA_ERROR_KEY_MALFORMED);
	g_clear_error(&error);
	ck_assert(!ledger_check_key("k", true, RETENTION_MS, 0, &error));
	g_clear_error(&error);
	/*
	 * A node whose clock is ahead removes the record as expired. The floor
	 * in its swap must refuse keys of that time on the other nodes.
	 */
	submit(1, uuidv7_key, 7);
	value = value_from_other_node(LEDGER_RESPONDED, NOW_MS - 1, uuidv7_key);
	complete_read(STORE_OK, 1, value);
	ck_assert_uint_eq(action_counts[LEDGER_SWAP], 1);
	g_bytes_unref(value);
	value = g_bytes_ref(last_actions[LEDGER_SWAP].value);
	ledger_free(ledger);
	ledger = make_ledger();
	submit(2, "0000000f-4240-7000-8000-000000000002", 7);
	complete_read(STORE_OK, 2, value);
	ck_assert_int_eq(
	    last_actions[LEDGER_REFUSE].error, PAPAYA_ERROR_KEY_EXPIRED);
	g_bytes_unref(value);
}
END_TEST

/* Guards against a crash on a malformed value, and against using it. */
START_TEST(malformed_value_is_not_used)
{
	GBytes *value = value_from_other_node(LEDGER_RESPONDED, 0, "k");
	gsize length;
	const char *bytes = g_bytes_get_data(value, &length);

	for (gsize i = 0; i < length; i++)
		ck_assert_ptr_null(ledger_value_decode(bytes, i, 1, NULL));
	submit(1, "k", 7);
	complete_read(STORE_OK, 1, NULL);
	ck_assert_uint_eq(
	    action_counts[LEDGER_SWAP] + action_counts[LEDGER_RUN], 0);
	tick(START_TIMEOUT_MS);
	ck_assert(last_actions[LEDGER_REFUSE].not_run);
	g_bytes_unref(value);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("ledger");
	TCase *tests = tcase_create("ledger");

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, start_is_committed_before_the_run);
	tcase_add_test(tests, requests_during_a_swap_share_the_next_swap);
	tcase_add_test(tests, lost_response_is_resolved_by_the_nonce);
	tcase_add_test(tests, started_record_is_never_run_again);
	tcase_add_test(tests, refused_start_is_withdrawn);
	tcase_add_test(tests, start_that_was_never_sent_needs_no_withdrawal);
	tcase_add_test(tests, response_does_not_wait_for_a_failing_store);
	tcase_add_test(tests, full_partition_refuses_new_starts);
	tcase_add_test(tests, response_too_large_is_not_stored);
	tcase_add_test(tests, expired_uuidv7_keys_stay_refused);
	tcase_add_test(tests, malformed_value_is_not_used);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
