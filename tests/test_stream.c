#include "reclaim.h"
#include "stream.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum { TOKENS = 4 };

static stream_t *stream;

static void
setup(void)
{
	stream = stream_new(TOKENS, "v1");
	stream_start_attempt(stream, "a");
}

static void
teardown(void)
{
	stream_free(stream);
}

static stream_status_t
feed(const char *attempt, const char *text)
{
	return stream_receive_data(stream, attempt, text, strlen(text));
}

/* Receives the event of one token as the engine sends it. */
static stream_status_t
send_token(const char *attempt, const char *id, int index)
{
	char *text = g_strdup_printf(
	    "data: {\"id\":\"%s\",\"model\":\"v1\",\"index\":%d,\"choices\":"
	    "[{\"text\":\"t%d \",\"finish_reason\":%s}]}\n\n",
	    id, index, index, index == TOKENS - 1 ? "\"stop\"" : "null");
	stream_status_t status = feed(attempt, text);

	g_free(text);
	return status;
}

static void
send_tokens(const char *attempt, int from, int to)
{
	for (int i = from; i < to; i++)
		ck_assert_int_eq(send_token(attempt, attempt, i), STREAM_OPEN);
}

static void
check_complete(void)
{
	ck_assert(stream_is_complete(stream));
	ck_assert_uint_eq(stream_token_count(stream), TOKENS);
	for (unsigned i = 0; i < TOKENS; i++) {
		char *text = g_strdup_printf("t%u ", i);

		ck_assert_str_eq(stream_token(stream, i), text);
		g_free(text);
	}
}

/* Guards against an unrecognised complete response that arrives byte by byte.
 */
START_TEST(response_in_single_bytes_is_complete)
{
	static const char text[] =
	    "data: {\"id\":\"a\",\"index\":0,\"choices\":"
	    "[{\"text\":\"t0 \",\"finish_reason\":null}]}\n\n";

	for (size_t i = 0; i + 1 < sizeof(text); i++)
		ck_assert_int_eq(
		    stream_receive_data(stream, "a", text + i, 1), STREAM_OPEN);
	send_tokens("a", 1, TOKENS);
	ck_assert(!stream_is_complete(stream));
	ck_assert_int_eq(feed("a", "data: [DONE]\n\n"), STREAM_COMPLETE);
	check_complete();
	ck_assert_str_eq(stream_finish_reason(stream), "stop");
}
END_TEST

/* Guards against a late token of a cancelled attempt in the response. */
START_TEST(stale_data_is_discarded)
{
	send_tokens("a", 0, 2);
	stream_start_attempt(stream, "b");
	ck_assert_int_eq(send_token("a", "a", 2), STREAM_STALE);
	ck_assert_int_eq(
	    stream_receive_header(stream, "a", 200, "a"), STREAM_STALE);
	ck_assert_int_eq(stream_receive_end(stream, "a"), STREAM_STALE);
	ck_assert_uint_eq(stream_token_count(stream), 2);
	send_tokens("b", 2, TOKENS);
	ck_assert_int_eq(feed("b", "data: [DONE]\n\n"), STREAM_COMPLETE);
	ck_assert_int_eq(send_token("b", "b", 4), STREAM_STALE);
	check_complete();
}
END_TEST

/* Guards against tokens of another request in the response. */
START_TEST(misdelivered_data_is_discarded)
{
	ck_assert_int_eq(
	    stream_receive_header(stream, "a", 200, "x"), STREAM_MISDELIVERED);
	stream_start_attempt(stream, "b");
	ck_assert_int_eq(
	    stream_receive_header(stream, "b", 200, NULL), STREAM_MISDELIVERED);
	stream_start_attempt(stream, "c");
	send_tokens("c", 0, 1);
	ck_assert_int_eq(send_token("c", "x", 1), STREAM_MISDELIVERED);
	/* All later data of that attempt is discarded. */
	ck_assert_int_eq(send_token("c", "c", 1), STREAM_STALE);
	ck_assert_uint_eq(stream_token_count(stream), 1);
}
END_TEST

/* Guards against tokens of another model version in the response. */
START_TEST(other_version_is_discarded)
{
	ck_assert_int_eq(
	    feed("a", "data: {\"id\":\"a\",\"model\":\"v2\",\"index\":0,"
		      "\"choices\":[{\"text\":\"t\"}]}\n\n"),
	    STREAM_MISDELIVERED);
	ck_assert_uint_eq(stream_token_count(stream), 0);
}
END_TEST

/* Guards against a truncated response that is taken for complete. */
START_TEST(truncated_response_is_resumed)
{
	send_tokens("a", 0, 2);
	ck_assert_int_eq(stream_receive_end(stream, "a"), STREAM_TRUNCATED);
	stream_start_attempt(stream, "b");
	send_tokens("b", 2, 3);
	/* [DONE] before the last token. */
	ck_assert_int_eq(feed("b", "data: [DONE]\n\n"), STREAM_TRUNCATED);
	ck_assert(!stream_is_complete(stream));
	stream_start_attempt(stream, "c");
	send_tokens("c", 3, TOKENS);
	/* The last token does not count without [DONE]. */
	ck_assert_int_eq(stream_receive_end(stream, "c"), STREAM_TRUNCATED);
	ck_assert_uint_eq(stream_token_count(stream), 3);
	stream_start_attempt(stream, "d");
	send_tokens("d", 3, TOKENS);
	ck_assert_int_eq(feed("d", "data: [DONE]\n\n"), STREAM_COMPLETE);
	check_complete();
}
END_TEST

/* Guards against missing, repeated, surplus or malformed tokens. */
START_TEST(malformed_data_ends_the_attempt)
{
	static const char *const malformed[] = {
	    "data: "
	    "{\"id\":\"a\",\"index\":1,\"choices\":[{\"text\":\"t\"}]}\n\n",
	    "data: "
	    "{\"id\":\"a\",\"index\":-1,\"choices\":[{\"text\":\"t\"}]}\n\n",
	    "data: {\"id\":\"a\",\"index\":0,\"choices\":[]}\n\n",
	    "data: {\"id\":\"a\",\"index\":0,\"choices\":[{\"text\":7}]}\n\n",
	    "data: {\"id\":\"a\",\n\n", "data: 7\n\n", "data: \xff\n\n"};

	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
		stream_start_attempt(stream, "a");
		ck_assert_int_ne(feed("a", malformed[i]), STREAM_OPEN);
		ck_assert_uint_eq(stream_token_count(stream), 0);
	}
	stream_start_attempt(stream, "b");
	send_tokens("b", 0, TOKENS);
	ck_assert_int_eq(send_token("b", "b", TOKENS), STREAM_MALFORMED);
	ck_assert(!stream_is_complete(stream));
}
END_TEST

/*
 * Guards against a rejected request that is treated as a failure of the backend
 * server and would be retried elsewhere.
 */
START_TEST(http_statuses_are_classified)
{
	static const struct {
		long status;
		stream_status_t result;
	} cases[] = {{200, STREAM_OPEN}, {400, STREAM_REJECTED},
	    {413, STREAM_REJECTED}, {429, STREAM_FAILED}, {500, STREAM_FAILED},
	    {503, STREAM_FAILED}, {302, STREAM_FAILED}};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		stream_start_attempt(stream, "a");
		ck_assert_int_eq(
		    stream_receive_header(stream, "a", cases[i].status, "a"),
		    cases[i].result);
	}
	stream_start_attempt(stream, "a");
	ck_assert_int_eq(feed("a", "data: {\"error\":{}}\n\n"), STREAM_FAILED);
}
END_TEST

/* Guards against an action that takes longer than the time to the reclaim. */
START_TEST(reclaim_action_fits_remaining_time)
{
	reclaim_stream_t input = {.time_to_reclaim_ms = 2000,
	    .remaining_tokens_max = 10,
	    .token_interval_ms = 50,
	    .kv_cache_bytes = 1000000,
	    .transfer_bytes_per_ms = 10000};

	ck_assert_int_eq(reclaim_choose_action(&input), RECLAIM_FINISH);
	input.remaining_tokens_max = 1000;
	ck_assert_int_eq(reclaim_choose_action(&input), RECLAIM_EXPORT);
	input.time_to_reclaim_ms = 150;
	ck_assert_int_eq(reclaim_choose_action(&input), RECLAIM_RECOMPUTE);
	input.time_to_reclaim_ms = -5;
	input.remaining_tokens_max = 1;
	ck_assert_int_eq(reclaim_choose_action(&input), RECLAIM_RECOMPUTE);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("stream");
	TCase *tests = tcase_create("stream");

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, response_in_single_bytes_is_complete);
	tcase_add_test(tests, stale_data_is_discarded);
	tcase_add_test(tests, misdelivered_data_is_discarded);
	tcase_add_test(tests, other_version_is_discarded);
	tcase_add_test(tests, truncated_response_is_resumed);
	tcase_add_test(tests, malformed_data_ends_the_attempt);
	tcase_add_test(tests, http_statuses_are_classified);
	tcase_add_test(tests, reclaim_action_fits_remaining_time);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
