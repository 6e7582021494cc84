#include "suite.h"
#include "support_chat.h"
#include "token.h"

#include <check.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum { MANY_TOKENS = 65536 };

static void
set_both(const char *faults)
{
	faults_set(chat.one, faults);
	faults_set(chat.two, faults);
}

/* Guards against a response that differs with or without streaming. */
START_TEST(responses_are_whole)
{
	GString *text = g_string_new(NULL);
	test_response_t *answer;
	json_t *choice;

	chat_start("standin-engine", "chat", 8, NULL);
	chat_check(chat_complete(true, "hello", NULL, NULL, NULL), "hello");
	for (unsigned i = 0; i < CHAT_TOKENS; i++)
		g_string_append(text, papaya_token("v1", "hello", i).text);
	answer = chat_complete(false, "hello", NULL, NULL, NULL);
	ck_assert_int_eq(answer->status, 200);
	choice = json_array_get(json_object_get(answer->json, "choices"), 0);
	ck_assert_str_eq(
	    json_string_value(json_object_get(choice, "text")), text->str);
	test_response_free(answer);
	g_string_free(text, TRUE);
}
END_TEST

typedef struct strike {
	int signal;
	bool done;
	program_t *hit;
} strike_t;

/* Signals the engine that serves the stream, after some of its tokens. */
static bool
strike_engine(test_response_t *answer, void *data)
{
	strike_t *strike = data;

	if (strike->done || strstr(answer->body->str, "\"index\":5") == NULL)
		return true;
	strike->done = true;
	strike->hit = chat_stat(chat.one, "calls") > 0 ? chat.one : chat.two;
	kill(strike->hit->pid, strike->signal);
	return true;
}

static void
strike_mid_stream(int signal, const char *reason)
{
	strike_t strike = {.signal = signal};
	char *failed =
	    g_strdup_printf("attempts_failed_total{reason=\"%s\"}", reason);

	chat_start("standin-engine", "chat", 8, NULL);
	set_both("{\"token_ms\": 20}");
	chat_check(chat_complete(true, "struck", NULL, strike_engine, &strike),
	    "struck");
	ck_assert(strike.done);
	ck_assert(metric_read(chat.node, "stream_resumes_total") >= 1 ||
		  metric_read(chat.node, failed) >= 1);
	g_free(failed);
}

/* Guards against a response lost with its engine. */
START_TEST(killed_engine_costs_a_resume)
{
	strike_mid_stream(SIGKILL, "truncated");
}
END_TEST

/* Guards against a client that waits for a paused engine. */
START_TEST(stopped_engine_costs_a_resume)
{
	strike_mid_stream(SIGSTOP, "stalled");
}
END_TEST

/* Guards against a faulty response that is shown to the client as its own. */
static void
check_faulty(const char *faults, const char *reason)
{
	char *failed =
	    g_strdup_printf("attempts_failed_total{reason=\"%s\"}", reason);

	chat_start("standin-engine", "chat", 8, NULL);
	/* Misdelivery needs an earlier request to take the response from. */
	chat_check(chat_complete(true, "first", NULL, NULL, NULL), "first");
	chat_check(chat_complete(true, "other", NULL, NULL, NULL), "other");
	faults_set(chat.one, faults);
	for (int i = 0; i < 40 && metric_read(chat.node, failed) == 0; i++) {
		char *prompt = g_strdup_printf("question %d", i);

		chat_check(
		    chat_complete(true, prompt, NULL, NULL, NULL), prompt);
		g_free(prompt);
	}
	ck_assert_msg(
	    metric_read(chat.node, failed) > 0, "%s was not seen", reason);
	g_free(failed);
}

START_TEST(misdelivered_response_is_replaced)
{
	check_faulty("{\"cross_rate\": 1}", "misdelivered");
}
END_TEST

START_TEST(truncated_response_is_completed)
{
	check_faulty("{\"cut_rate\": 1}", "truncated");
}
END_TEST

START_TEST(late_response_is_replaced)
{
	check_faulty("{\"late_ms\": 15000}", "stalled");
}
END_TEST

START_TEST(failed_response_is_replaced)
{
	check_faulty("{\"error_rate\": 1}", "failed");
}
END_TEST

/* Guards against an incomplete response that looks complete. */
START_TEST(incomplete_response_says_so)
{
	test_response_t *answer;

	chat_start("standin-engine", "chat", 8, NULL);
	set_both("{\"cut_rate\": 1}");
	answer = chat_complete(true, "hello", NULL, NULL, NULL);
	ck_assert_int_eq(answer->status, 200);
	ck_assert(!answer->complete);
	ck_assert_ptr_null(strstr(answer->body->str, "[DONE]"));
	ck_assert_ptr_nonnull(strstr(answer->body->str, "backend_failed"));
	ck_assert_int_ge(chat_tokens(answer, "hello"), CHAT_TOKENS / 2);
	test_response_free(answer);
}
END_TEST

/* Guards against a deadline that ends the wait late or says "not run". */
START_TEST(deadline_is_kept)
{
	gint64 start;
	test_response_t *answer;

	chat_start("standin-engine", "chat", 8, NULL);
	set_both("{\"delay_ms\": 10000}");
	start = g_get_monotonic_time();
	answer =
	    chat_complete(true, "hello", "Papaya-Timeout-Ms: 300", NULL, NULL);
	ck_assert_int_eq(answer->status, 504);
	ck_assert_str_eq(
	    test_response_header(answer, "papaya-not-run"), "false");
	ck_assert_int_lt(g_get_monotonic_time() - start, 5000000);
	test_response_free(answer);
}
END_TEST

/* Guards against a client that takes the engines from everyone else. */
START_TEST(short_deadlines_blame_no_engine)
{
	chat_start("standin-engine", "chat", 8, NULL);
	set_both("{\"delay_ms\": 200}");
	for (int i = 0; i < 10; i++) {
		test_response_t *answer = chat_complete(
		    true, "short", "Papaya-Timeout-Ms: 20", NULL, NULL);

		ck_assert_int_eq(answer->status, 504);
		test_response_free(answer);
	}
	chat_check(chat_complete(true, "other", NULL, NULL, NULL), "other");
	ck_assert_int_eq(metric_read(chat.node, "backend_waits_total"), 0);
}
END_TEST

static bool
leave(test_response_t *answer, void *data)
{
	return false;
}

static bool
is_cancelled(void *data)
{
	return chat_stat(chat.one, "cancelled") +
		   chat_stat(chat.two, "cancelled") ==
	       1;
}

/* Guards against engines that work for clients that have left. */
START_TEST(client_that_leaves_cancels)
{
	chat_start("standin-engine", "chat", 8, NULL);
	set_both("{\"token_ms\": 50}");
	test_response_free(chat_complete(true, "hello", NULL, leave, NULL));
	wait_until(is_cancelled, NULL);
}
END_TEST

static bool
is_generated(void *data)
{
	return metric_read(chat.node, "streams_completed_total") == 1;
}

/* Reads on only once the engine is done. */
static bool
read_late(test_response_t *answer, void *data)
{
	bool *waited = data;

	if (!*waited)
		wait_until(is_generated, NULL);
	*waited = true;
	return true;
}

/* Guards against a slow client that holds its engine or loses its response. */
START_TEST(slow_client_gets_everything)
{
	/* In every event, so that the sockets do not take all of them. */
	char *id = g_strnfill(400, 'i');
	char *header = g_strconcat("Papaya-Attempt: ", id, NULL);
	bool waited = false;

	chat_start("standin-engine", "chat", 8, NULL);
	chat.max_tokens = MANY_TOKENS;
	chat.receive_buffer = 4096;
	chat_check(
	    chat_complete(true, "hello", header, read_late, &waited), "hello");
	g_free(header);
	g_free(id);
}
END_TEST

static gpointer
complete_keyed(gpointer data)
{
	return chat_complete(
	    true, "same", "Idempotency-Key: key-1", NULL, NULL);
}

static bool
has_joined(void *data)
{
	return metric_read(chat.node, "requests_joined_total") >= 1;
}

/* Guards against an immediate retry that doubles the engines' work. */
START_TEST(duplicates_share_one_attempt)
{
	GThread *thread;

	chat_start("standin-engine", "chat", 8, NULL);
	set_both("{\"token_ms\": 20}");
	thread = g_thread_new("first", complete_keyed, NULL);
	chat_check(complete_keyed(NULL), "same");
	chat_check(g_thread_join(thread), "same");
	wait_until(has_joined, NULL);
	ck_assert_int_eq(
	    chat_stat(chat.one, "calls") + chat_stat(chat.two, "calls"), 1);
}
END_TEST

static bool
is_queued(void *data)
{
	return metric_read(chat.node, "requests_queued_total") >= 1;
}

static gpointer
complete_plainly(gpointer data)
{
	return chat_complete(true, data, NULL, NULL, NULL);
}

static bool
has_begun(void *data)
{
	return chat_stat(chat.one, "calls") + chat_stat(chat.two, "calls") > 0;
}

/* Guards against a planned stop that interrupts or forgets requests. */
START_TEST(drain_finishes_what_was_accepted)
{
	GThread *first, *second;
	test_response_t *refused;
	test_request_t ask;

	chat_start("standin-engine", "chat", 1, NULL);
	ask = (test_request_t){.target = chat.node, .path = "/metrics"};
	set_both("{\"token_ms\": 50}");
	first = g_thread_new("first", complete_plainly, "first");
	wait_until(has_begun, NULL);
	second = g_thread_new("second", complete_plainly, "second");
	wait_until(is_queued, NULL);
	kill(chat.node->pid, SIGTERM);
	set_both("{\"token_ms\": 1}");
	chat_check(g_thread_join(first), "first");
	chat_check(g_thread_join(second), "second");
	refused = test_request_send(&ask);
	ck_assert_int_eq(refused->status, 0);
	test_response_free(refused);
	ck_assert_int_eq(program_wait(chat.node), 0);
}
END_TEST

/* Guards against a queued request that outlives its deadline, or "has run". */
START_TEST(queued_request_expires_as_not_run)
{
	GThread *first;
	test_response_t *answer;

	chat_start("standin-engine", "chat", 1, NULL);
	set_both("{\"token_ms\": 50}");
	first = g_thread_new("first", complete_plainly, "first");
	wait_until(has_begun, NULL);
	answer =
	    chat_complete(true, "queued", "Papaya-Timeout-Ms: 100", NULL, NULL);
	ck_assert_int_eq(answer->status, 504);
	ck_assert_str_eq(
	    test_response_header(answer, "papaya-not-run"), "true");
	test_response_free(answer);
	set_both("{\"token_ms\": 1}");
	chat_check(g_thread_join(first), "first");
	ck_assert_int_eq(
	    chat_stat(chat.one, "calls") + chat_stat(chat.two, "calls"), 1);
}
END_TEST

static bool
are_queued(void *data)
{
	return metric_read(chat.node, "requests_queued_total") >= 8;
}

/* Guards against a queue without bound, and against fast refusals. */
START_TEST(overload_is_refused_slowly_as_not_run)
{
	GThread *threads[9];
	test_response_t *answer;
	gint64 start;

	chat_start("standin-engine", "chat", 1, NULL);
	set_both("{\"token_ms\": 50}");
	for (size_t i = 0; i < G_N_ELEMENTS(threads); i++)
		threads[i] = g_thread_new("queued", complete_plainly, "queued");
	wait_until(are_queued, NULL);
	start = g_get_monotonic_time();
	answer = chat_complete(true, "refused", NULL, NULL, NULL);
	ck_assert_int_eq(answer->status, 429);
	ck_assert_str_eq(
	    test_response_header(answer, "papaya-not-run"), "true");
	ck_assert_ptr_nonnull(test_response_header(answer, "retry-after"));
	ck_assert_int_ge(g_get_monotonic_time() - start, 100000);
	test_response_free(answer);
	set_both("{\"token_ms\": 1}");
	for (size_t i = 0; i < G_N_ELEMENTS(threads); i++)
		chat_check(g_thread_join(threads[i]), "queued");
}
END_TEST

static test_response_t *
get_page(const char *path)
{
	static const char *const headers[] = {"Papaya-Workspace: depot", NULL};
	test_request_t ask = {
	    .target = chat.node, .path = path, .headers = headers};

	return test_request_send(&ask);
}

static const struct {
	const char *faults;
	const char *reason;
} plain_cases[] = {
    {"{\"error_rate\": 1}", "failed"},
    {"{\"cross_rate\": 1}", "misdelivered"},
    {"{\"cut_rate\": 1}", "truncated"},
    {"{\"close_after_run_rate\": 1}", "truncated"},
    {"{\"late_ms\": 15000}", "stalled"},
};

/* Guards against a faulty plain response that reaches the client. */
START_TEST(plain_requests_are_retried)
{
	char *failed = g_strdup_printf(
	    "attempts_failed_total{reason=\"%s\"}", plain_cases[_i].reason);

	chat_start("standin-service", "pages", 8, NULL);
	/* Misdelivery needs an earlier request to take the id from. */
	test_response_free(get_page("/v1/services/t1/pages/first"));
	test_response_free(get_page("/v1/services/t1/pages/second"));
	faults_set(chat.one, plain_cases[_i].faults);
	for (int i = 0; i < 40 && metric_read(chat.node, failed) == 0; i++) {
		char *own = g_strdup_printf("x=%d", i);
		char *target =
		    g_strconcat("/v1/services/t1/pages/a/b?", own, NULL);
		test_response_t *answer = get_page(target);
		json_t *path = json_object_get(answer->json, "path");
		json_t *query = json_object_get(answer->json, "query");

		ck_assert_msg(answer->status == 200, "%s: %s",
		    plain_cases[_i].faults, answer->body->str);
		ck_assert_str_eq(json_string_value(path), "/a/b");
		ck_assert_str_eq(json_string_value(query), own);
		g_free(own);
		g_free(target);
		test_response_free(answer);
	}
	ck_assert(metric_read(chat.node, failed) > 0);
	g_free(failed);
}
END_TEST

/* Guards against untyped errors, and against "run" where nothing ran. */
START_TEST(bad_requests_get_typed_errors)
{
	static const struct {
		const char *workspace;
		const char *path;
		const char *body;
		const char *kind;
	} cases[] = {
	    {"depot", "/v1/completions", "{", "bad_request"},
	    {"depot", "/v1/completions", "{}", "bad_request"},
	    {"depot", "/v1/completions",
		"{\"model\":\"t1/chat\",\"prompt\":\"p\",\"max_tokens\":0}",
		"bad_request"},
	    {"depot", "/v1/completions",
		"{\"model\":\"t1/none\",\"prompt\":\"p\"}", "unknown_service"},
	    {"depot", "/v1/completions",
		"{\"model\":\"t1/pages\",\"prompt\":\"p\"}", "unknown_service"},
	    {"x", "/v1/completions", "{\"model\":\"t1/chat\",\"prompt\":\"\"}",
		"unknown_workspace"},
	    {"depot", "/v1/services/t1/chat/a", "", "unknown_service"},
	    {"depot", "/v1/services/t1", "", "not_found"},
	    {"depot", "/v1/services/t1/pages/a", "", "no_backend"},
	};

	chat_start("standin-engine", "chat", 8, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *workspace =
		    g_strdup_printf("Papaya-Workspace: %s", cases[i].workspace);
		const char *const headers[] = {workspace, NULL};
		test_request_t ask = {.target = chat.node,
		    .path = cases[i].path,
		    .headers = headers,
		    .body = cases[i].body};
		test_response_t *answer = test_request_send(&ask);
		json_t *error = json_object_get(answer->json, "error");

		ck_assert_msg(
		    strcmp(json_string_value(json_object_get(error, "kind")),
			cases[i].kind) == 0,
		    "case %zu: %s", i, answer->body->str);
		ck_assert(json_is_true(json_object_get(error, "not_run")));
		test_response_free(answer);
		g_free(workspace);
	}
}
END_TEST

/*
 * Guards against a node that crashes, or streams no JSON, as it echoes an
 * attempt id that is not UTF-8.
 */
START_TEST(an_id_that_is_no_utf_8_ends_no_node)
{
	static const char header[] = "Papaya-Attempt: caf\xe9";
	static const char echoed[] = "\"id\":\"caf\xef\xbf\xbd\"";
	test_response_t *answer;

	chat_start("standin-engine", "chat", 8, NULL);
	answer = chat_complete(true, "hello", header, NULL, NULL);
	ck_assert_ptr_nonnull(strstr(answer->body->str, echoed));
	chat_check(answer, "hello");
	answer = chat_complete(false, "hello", header, NULL, NULL);
	ck_assert_int_eq(answer->status, 200);
	ck_assert_ptr_nonnull(strstr(answer->body->str, echoed));
	ck_assert_str_eq(
	    test_response_header(answer, "papaya-attempt"), "caf\xe9");
	test_response_free(answer);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("call");
	TCase *tests = tcase_create("call");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_set_timeout(tests, 60);
	tcase_add_checked_fixture(tests, NULL, chat_end);
	tcase_add_test(tests, responses_are_whole);
	tcase_add_test(tests, killed_engine_costs_a_resume);
	tcase_add_test(tests, stopped_engine_costs_a_resume);
	tcase_add_test(tests, misdelivered_response_is_replaced);
	tcase_add_test(tests, truncated_response_is_completed);
	tcase_add_test(tests, late_response_is_replaced);
	tcase_add_test(tests, failed_response_is_replaced);
	tcase_add_test(tests, incomplete_response_says_so);
	tcase_add_test(tests, deadline_is_kept);
	tcase_add_test(tests, short_deadlines_blame_no_engine);
	tcase_add_test(tests, client_that_leaves_cancels);
	tcase_add_test(tests, slow_client_gets_everything);
	tcase_add_test(tests, duplicates_share_one_attempt);
	tcase_add_test(tests, drain_finishes_what_was_accepted);
	tcase_add_test(tests, queued_request_expires_as_not_run);
	tcase_add_test(tests, overload_is_refused_slowly_as_not_run);
	tcase_add_loop_test(
	    tests, plain_requests_are_retried, 0, G_N_ELEMENTS(plain_cases));
	tcase_add_test(tests, bad_requests_get_typed_errors);
	tcase_add_test(tests, an_id_that_is_no_utf_8_ends_no_node);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
