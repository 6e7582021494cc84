#include "ledger.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum {
	NOW_MS = 1000000,
	RETENTION_MS = 60000,
	WAIT_MS = 1000,
	START_MAX = 600,
};

static counters_t *counters;
static ledger_t *ledger;
static uint64_t next_nonce;
static int64_t now_ms;

/* The newest action of each kind, and how many of them. */
static ledger_action_t seen[LEDGER_NOTIFY_NODE + 1];
static unsigned counts[LEDGER_NOTIFY_NODE + 1];

static ledger_t *
ledger_make(void)
{
	ledger_options_t options = {
	    .node = "a",
	    .partition_count = 1,
	    .value_size_max = 2 * START_MAX,
	    .start_value_size_max = START_MAX,
	    .start_timeout_ms = WAIT_MS,
	    .reply_delay_max_ms = 100,
	    .entries_max = 100,
	    .counters = counters,
	};

	return ledger_new(&options);
}

static void
forget(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(seen); i++)
		ledger_action_clear(&seen[i]);
	memset(seen, 0, sizeof(seen));
	memset(counts, 0, sizeof(counts));
}

static void
start(void)
{
	counters = counters_new();
	ledger = ledger_make();
	next_nonce = 0;
	now_ms = NOW_MS;
}

static void
end(void)
{
	forget();
	ledger_free(ledger);
	counters_free(counters);
}

/* Takes the actions since the last call. */
static void
collect(void)
{
	ledger_action_t action;

	forget();
	while (ledger_next_action(ledger, &action)) {
		ledger_action_clear(&seen[action.kind]);
		seen[action.kind] = action;
		counts[action.kind]++;
	}
}

static void
request(uint64_t id, const char *key, uint64_t hash)
{
	ledger_request_t asked = {
	    .id = id,
	    .service = "t/pickup",
	    .key = key,
	    .hash = {.low = hash},
	    .nonce = {.low = ++next_nonce},
	    .retention_ms = RETENTION_MS,
	    .deadline_ms = now_ms + 5000,
	};

	ledger_request(ledger, &asked, now_ms);
	collect();
}

static void
read_done(store_status_t status, int64_t revision, GBytes *value)
{
	gsize length = 0;
	const void *bytes =
	    value != NULL ? g_bytes_get_data(value, &length) : NULL;

	ledger_on_read(ledger, 0, status, revision, bytes, length, now_ms, 1);
	collect();
}

static void
swap_done(store_status_t status, int64_t revision)
{
	ledger_on_swap(ledger, 0, status, revision, now_ms, 1);
	collect();
}

/* Lets time pass. */
static void
tick(int64_t later_ms)
{
	now_ms += later_ms;
	ledger_tick(ledger, now_ms);
	collect();
}

static void
finish(const ledger_record_t *run, ledger_attempt_end_t how, const char *body)
{
	ledger_outcome_t outcome = {
	    .end = how,
	    .status = 201,
	    .content_type = "text/plain",
	    .body = g_bytes_new(body, strlen(body)),
	};

	ledger_finish(ledger, run, &outcome, now_ms);
	g_bytes_unref(outcome.body);
	collect();
}

/* A start of a key that is committed at revision 1, and its run. */
static ledger_record_t *
committed(const char *key)
{
	request(1, key, 7);
	ck_assert_uint_eq(counts[LEDGER_READ], 1);
	read_done(STORE_ABSENT, 0, NULL);
	ck_assert_uint_eq(counts[LEDGER_SWAP], 1);
	ck_assert_uint_eq(counts[LEDGER_RUN], 0);
	swap_done(STORE_OK, 1);
	ck_assert_uint_eq(counts[LEDGER_RUN], 1);
	return ledger_record_ref(seen[LEDGER_RUN].record);
}

/* A partition with one record, made by another node. */
static GBytes *
other_value(ledger_record_state_t state, int64_t drop_ms, const char *key)
{
	ledger_record_t record = {
	    .service = (char *)"t/pickup",
	    .key = (char *)key,
	    .node = (char *)"b",
	    .hash = {.low = 7},
	    .nonce = {.low = 99},
	    .expires_at_ms = drop_ms,
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
read_other(ledger_record_state_t state, int64_t revision)
{
	GBytes *value = other_value(state, NOW_MS + RETENTION_MS, "k");

	read_done(STORE_OK, revision, value);
	g_bytes_unref(value);
}

/* Guards against a run before its start is committed, or a second one. */
START_TEST(start_is_committed_before_the_run)
{
	ledger_record_t *run = committed("k");

	request(2, "k", 7);
	ck_assert_uint_eq(counts[LEDGER_RUN], 0);
	finish(run, LEDGER_END_RESPONDED, "done");
	ck_assert_uint_eq(counts[LEDGER_SWAP], 1);
	ck_assert_uint_eq(counts[LEDGER_REPLY], 0);
	swap_done(STORE_OK, 2);
	ck_assert_uint_eq(counts[LEDGER_REPLY], 2);
	ck_assert_int_eq(seen[LEDGER_REPLY].record->status, 201);
	ck_assert_uint_eq(ledger_entries(ledger), 0);
	request(3, "k", 7);
	ck_assert_uint_eq(counts[LEDGER_REPLY], 1);
	request(4, "k", 8);
	ck_assert_int_eq(seen[LEDGER_REFUSE].error, PAPAYA_ERROR_KEY_REUSED);
	ledger_record_unref(run);
}
END_TEST

/* Guards against one store write per request. */
START_TEST(requests_during_a_write_share_the_next)
{
	request(1, "k1", 1);
	read_done(STORE_ABSENT, 0, NULL);
	request(2, "k2", 1);
	request(3, "k3", 1);
	ck_assert_uint_eq(counts[LEDGER_SWAP], 0);
	swap_done(STORE_OK, 1);
	ck_assert_uint_eq(counts[LEDGER_SWAP], 1);
	swap_done(STORE_OK, 2);
	ck_assert_uint_eq(counts[LEDGER_RUN], 2);
}
END_TEST

/* Guards against a lost answer that is taken as a failed or a done write. */
START_TEST(lost_answer_is_resolved_by_the_nonce)
{
	GBytes *sent;

	request(1, "k", 7);
	read_done(STORE_ABSENT, 0, NULL);
	sent = g_bytes_ref(seen[LEDGER_SWAP].value);
	swap_done(STORE_UNKNOWN, 0);
	tick(100);
	ck_assert_uint_eq(counts[LEDGER_READ], 1);
	/* Not there yet: it may still arrive, so a write has to settle it. */
	read_done(STORE_ABSENT, 0, NULL);
	ck_assert_uint_eq(counts[LEDGER_RUN], 0);
	ck_assert_uint_eq(counts[LEDGER_SWAP], 1);
	swap_done(STORE_CONFLICT, 1);
	tick(100);
	read_done(STORE_OK, 1, sent);
	ck_assert_uint_eq(counts[LEDGER_RUN], 1);
	g_bytes_unref(sent);
}
END_TEST

/* Guards against a start of another node that is run again. */
START_TEST(started_record_is_never_run_again)
{
	request(1, "k", 7);
	read_other(LEDGER_STARTED, 5);
	ck_assert_uint_eq(counts[LEDGER_QUERY_OUTCOME], 1);
	ck_assert_uint_eq(counts[LEDGER_SWAP] + counts[LEDGER_RUN], 0);
	ledger_on_outcome(
	    ledger, "t/pickup", "k", (ledger_id_t){.low = 99}, false, now_ms);
	collect();
	read_other(LEDGER_STARTED, 5);
	ck_assert_int_eq(
	    seen[LEDGER_REFUSE].error, PAPAYA_ERROR_OUTCOME_UNKNOWN);
	ck_assert(!seen[LEDGER_REFUSE].not_run);
	request(2, "k", 7);
	tick(4000);
	read_other(LEDGER_STARTED, 5);
	tick(1000);
	ck_assert_int_eq(
	    seen[LEDGER_REFUSE].error, PAPAYA_ERROR_OUTCOME_UNKNOWN);
}
END_TEST

/* Guards against a refusal "not run" whose start is left in the store. */
START_TEST(refused_start_is_withdrawn)
{
	GBytes *sent;
	ledger_value_t *value;
	gsize length;
	const void *bytes;

	request(1, "k", 7);
	read_done(STORE_ABSENT, 0, NULL);
	sent = g_bytes_ref(seen[LEDGER_SWAP].value);
	swap_done(STORE_UNKNOWN, 0);
	tick(WAIT_MS);
	ck_assert(seen[LEDGER_REFUSE].not_run);
	ck_assert_int_eq(
	    seen[LEDGER_REFUSE].error, PAPAYA_ERROR_STORE_UNAVAILABLE);
	/* A retry waits for the withdrawal. */
	request(2, "k", 7);
	read_done(STORE_OK, 1, sent);
	ck_assert_uint_eq(counts[LEDGER_RUN], 0);
	bytes = g_bytes_get_data(seen[LEDGER_SWAP].value, &length);
	value = ledger_value_decode(bytes, length, 1, NULL);
	ck_assert_uint_eq(g_hash_table_size(value->records), 0);
	swap_done(STORE_OK, 2);
	swap_done(STORE_OK, 3);
	ck_assert_uint_eq(counts[LEDGER_RUN], 1);
	ledger_value_free(value);
	g_bytes_unref(sent);
}
END_TEST

/* Guards against a start that is kept although it was never sent. */
START_TEST(start_that_was_never_sent_needs_no_withdrawal)
{
	request(1, "k", 7);
	read_done(STORE_NOT_SENT, 0, NULL);
	tick(WAIT_MS);
	ck_assert(seen[LEDGER_REFUSE].not_run);
	ck_assert_uint_eq(ledger_entries(ledger), 0);
}
END_TEST

/* Guards against a response that waits for a store that is down. */
START_TEST(response_does_not_wait_for_a_failing_store)
{
	ledger_record_t *run = committed("k");

	finish(run, LEDGER_END_RESPONDED, "done");
	swap_done(STORE_UNKNOWN, 0);
	ck_assert_uint_eq(counts[LEDGER_REPLY], 1);
	ck_assert_uint_eq(ledger_entries(ledger), 1);
	tick(100);
	read_done(STORE_NOT_SENT, 0, NULL);
	tick(1000);
	ck_assert_uint_eq(counts[LEDGER_READ], 1);
	ledger_record_unref(run);
}
END_TEST

/* Guards against a partition that grows over its limit or drops a record. */
START_TEST(full_partition_refuses_new_starts)
{
	char key[8];
	unsigned id = 0;

	request(++id, "k0", 1);
	read_done(STORE_ABSENT, 0, NULL);
	while (counts[LEDGER_SWAP] > 0) {
		swap_done(STORE_OK, id);
		ck_assert_uint_eq(counts[LEDGER_RUN], 1);
		g_snprintf(key, sizeof(key), "k%u", id);
		request(++id, key, 1);
	}
	ck_assert_uint_gt(id, 3);
	ck_assert_int_eq(seen[LEDGER_REFUSE].error, PAPAYA_ERROR_LEDGER_FULL);
	ck_assert(seen[LEDGER_REFUSE].not_run);
	request(++id, "k0", 2);
	ck_assert_int_eq(seen[LEDGER_REFUSE].error, PAPAYA_ERROR_KEY_REUSED);
	/* After the retention there is room again. */
	now_ms += RETENTION_MS;
	request(++id, "new", 1);
	ck_assert_uint_eq(counts[LEDGER_SWAP], 1);
}
END_TEST

/* Guards against a response that does not fit and blocks its outcome. */
START_TEST(response_that_does_not_fit_is_not_kept)
{
	ledger_record_t *run = committed("k");
	char *body = g_strnfill(3 * START_MAX, 'x');

	finish(run, LEDGER_END_RESPONDED, body);
	ck_assert_uint_lt(g_bytes_get_size(seen[LEDGER_SWAP].value), START_MAX);
	swap_done(STORE_OK, 2);
	ck_assert_int_eq(
	    seen[LEDGER_REPLY].record->body_location, LEDGER_BODY_INLINE);
	request(2, "k", 7);
	ck_assert_int_eq(
	    seen[LEDGER_REPLY].record->body_location, LEDGER_BODY_OMITTED);
	ledger_record_unref(run);
	g_free(body);
}
END_TEST

/* 1,000,000 ms (0xf4240) is the time in this key. */
static const char uuid[] = "0000000f-4240-7000-8000-000000000001";

/* Guards against an old or future key, or one that was dropped, that runs. */
START_TEST(uuidv7_keys_expire_for_good)
{
	GError *error = NULL;
	GBytes *value;

	ck_assert_int_eq(ledger_key_time_ms(uuid), NOW_MS);
	ck_assert_int_eq(
	    ledger_key_time_ms("0000000f-4240-4000-8000-000000000001"),
	    LEDGER_NO_KEY_TIME);
	ck_assert(ledger_check_key(uuid, true, RETENTION_MS, NOW_MS, NULL));
	ck_assert(!ledger_check_key(
	    uuid, true, RETENTION_MS, NOW_MS + RETENTION_MS, &error));
	ck_assert_int_eq(error->code, PAPAYA_ERROR_KEY_EXPIRED);
	g_clear_error(&error);
	ck_assert(!ledger_check_key(uuid, true, RETENTION_MS, 0, &error));
	ck_assert_int_eq(error->code, PAPAYA_ERROR_KEY_MALFORMED);
	g_clear_error(&error);
	ck_assert(!ledger_check_key("k", true, RETENTION_MS, 0, &error));
	g_clear_error(&error);
	/* A node whose clock is ahead has dropped the record. */
	request(1, uuid, 7);
	value = other_value(LEDGER_RESPONDED, NOW_MS - 1, uuid);
	read_done(STORE_OK, 1, value);
	ck_assert_uint_eq(counts[LEDGER_SWAP], 1);
	g_bytes_unref(value);
	value = g_bytes_ref(seen[LEDGER_SWAP].value);
	ledger_free(ledger);
	ledger = ledger_make();
	request(2, "0000000f-4240-7000-8000-000000000002", 7);
	read_done(STORE_OK, 2, value);
	ck_assert_int_eq(seen[LEDGER_REFUSE].error, PAPAYA_ERROR_KEY_EXPIRED);
	g_bytes_unref(value);
}
END_TEST

/* Guards against a crash on, or a use of, a value that is not readable. */
START_TEST(unreadable_value_is_not_used)
{
	GBytes *value = other_value(LEDGER_RESPONDED, 0, "k");
	gsize length;
	const char *bytes = g_bytes_get_data(value, &length);

	for (gsize i = 0; i < length; i++)
		ck_assert_ptr_null(ledger_value_decode(bytes, i, 1, NULL));
	request(1, "k", 7);
	read_done(STORE_OK, 1, NULL);
	ck_assert_uint_eq(counts[LEDGER_SWAP] + counts[LEDGER_RUN], 0);
	tick(WAIT_MS);
	ck_assert(seen[LEDGER_REFUSE].not_run);
	g_bytes_unref(value);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("ledger");
	TCase *tests = tcase_create("ledger");

	tcase_add_checked_fixture(tests, start, end);
	tcase_add_test(tests, start_is_committed_before_the_run);
	tcase_add_test(tests, requests_during_a_write_share_the_next);
	tcase_add_test(tests, lost_answer_is_resolved_by_the_nonce);
	tcase_add_test(tests, started_record_is_never_run_again);
	tcase_add_test(tests, refused_start_is_withdrawn);
	tcase_add_test(tests, start_that_was_never_sent_needs_no_withdrawal);
	tcase_add_test(tests, response_does_not_wait_for_a_failing_store);
	tcase_add_test(tests, full_partition_refuses_new_starts);
	tcase_add_test(tests, response_that_does_not_fit_is_not_kept);
	tcase_add_test(tests, uuidv7_keys_expire_for_good);
	tcase_add_test(tests, unreadable_value_is_not_used);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
