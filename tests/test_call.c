#include "support.h"
#include "token.h"

#include <check.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum { TOKENS = 40, MANY_TOKENS = 65536 };

static program_t *store, *node, *one, *two;
static int max_tokens = TOKENS;

static json_t *
backend(const program_t *program, const char *host, const char *service)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "address",
	    program->address, "host", host, "zone", "zone-a", "class", "a",
	    "service", service, "version", "v1");
}

/* The timeout is looked at only where the service is known. */
static bool
is_applied(void *data)
{
	static const char *const headers[] = {
	    "Papaya-Workspace: depot", "Papaya-Timeout-Ms: none", NULL};
	ask_t ask = {.to = node,
	    .path = "/v1/services/t1/pages/ready",
	    .headers = headers};
	answer_t *answer = ask_send(&ask);
	bool known = answer->status == 400;

	answer_free(answer);
	return known;
}

/* Two servers of a model service, or of a plain one, and a node. */
static void
start_all(const char *program, const char *service, int in_flight)
{
	json_t *services, *backends;

	store = program_start("standin-store", NULL);
	one = program_start(program, "--name", "one", NULL);
	two = program_start(program, "--name", "two", NULL);
	node = papayad_start("n1", "zone-a", store, "t1", NULL);
	services =
	    json_pack("{s:{s:s,s:s,s:[s],s:i,s:{s:i,s:i,s:f},s:{s:i,s:i}},"
		      "s:{s:s,s:b,s:s,s:[s],s:i,s:{s:i,s:f}}}",
		"chat", "kind", "model", "current", "v1", "versions", "v1",
		"timeout_ms", 20000, "slo", "first_token_ms", 200,
		"between_tokens_ms", 61, "target", 0.95, "limit", "in_flight",
		in_flight, "waiting", 8, "pages", "kind", "plain", "repeatable",
		1, "current", "v1", "versions", "v1", "timeout_ms", 20000,
		"slo", "answer_ms", 200, "target", 0.95);
	backends =
	    json_pack("{s:o,s:o}", "one", backend(one, "host-1", service),
		"two", backend(two, "host-2", service));
	settings_put(node, "t1",
	    json_pack("{s:o,s:o,s:{s:{s:i,s:i,s:b}}}", "services", services,
		"backends", backends, "workspaces", "depot", "weight", 1,
		"priority", 1, "large", 0));
	wait_until(is_applied, NULL);
}

static void
end_all(void)
{
	programs_end();
	max_tokens = TOKENS;
}

static answer_t *
complete(bool stream, const char *prompt, const char *header,
    bool (*on_data)(answer_t *answer, void *data), void *data)
{
	const char *const headers[] = {"Papaya-Workspace: depot",
	    "Content-Type: application/json", header, NULL};
	json_t *body = json_pack("{s:s,s:s,s:i,s:b}", "model", "t1/chat",
	    "prompt", prompt, "max_tokens", max_tokens, "stream", (int)stream);
	char *text = json_dumps(body, 0);
	ask_t ask = {.to = node,
	    .path = "/v1/completions",
	    .headers = headers,
	    .body = text,
	    .on_data = on_data,
	    .data = data};
	answer_t *answer = ask_send(&ask);

	free(text);
	json_decref(body);
	return answer;
}

/* Tokens of a stream in order; -1 where one is not the prompt's. */
static int
count_tokens(const answer_t *answer, const char *prompt)
{
	char **lines = g_strsplit(answer->body->str, "\n", -1);
	int count = 0;

	for (size_t i = 0; lines[i] != NULL && count >= 0; i++) {
		json_t *event = g_str_has_prefix(lines[i], "data: {")
				    ? json_loads(lines[i] + 6, 0, NULL)
				    : NULL;
		json_t *choice =
		    json_array_get(json_object_get(event, "choices"), 0);
		const char *text =
		    json_string_value(json_object_get(choice, "text"));
		papaya_token_t token =
		    papaya_token("v1", prompt, (unsigned)count);

		if (text != NULL)
			count = strcmp(text, token.text) == 0 ? count + 1 : -1;
		json_decref(event);
	}
	g_strfreev(lines);
	return count;
}

static bool
is_done(const answer_t *answer)
{
	return answer->whole &&
	       g_str_has_suffix(answer->body->str, "data: [DONE]\n\n");
}

static void
check_stream(answer_t *answer, const char *prompt)
{
	ck_assert_msg(answer->status == 200 && is_done(answer),
	    "status %ld: %s", answer->status, answer->body->str);
	ck_assert_int_eq(count_tokens(answer, prompt), max_tokens);
	answer_free(answer);
}

/* Guards against a response that differs with or without streaming. */
START_TEST(responses_are_whole)
{
	GString *text = g_string_new(NULL);
	answer_t *answer;
	json_t *choice;

	start_all("standin-engine", "chat", 8);
	check_stream(complete(true, "hello", NULL, NULL, NULL), "hello");
	for (unsigned i = 0; i < TOKENS; i++)
		g_string_append(text, papaya_token("v1", "hello", i).text);
	answer = complete(false, "hello", NULL, NULL, NULL);
	ck_assert_int_eq(answer->status, 200);
	choice = json_array_get(json_object_get(answer->json, "choices"), 0);
	ck_assert_str_eq(
	    json_string_value(json_object_get(choice, "text")), text->str);
	answer_free(answer);
	g_string_free(text, TRUE);
}
END_TEST

static int
calls_of(const program_t *program, const char *name)
{
	answer_t *answer = ask_json(program, "GET", "/stats", NULL, 200);
	int value =
	    (int)json_integer_value(json_object_get(answer->json, name));

	answer_free(answer);
	return value;
}

typedef struct strike {
	int signal;
	bool done;
	program_t *hit;
} strike_t;

/* Signals the engine that serves the stream, after some of its tokens. */
static bool
strike_engine(answer_t *answer, void *data)
{
	strike_t *strike = data;

	if (strike->done || strstr(answer->body->str, "\"index\":5") == NULL)
		return true;
	strike->done = true;
	strike->hit = calls_of(one, "calls") > 0 ? one : two;
	kill(strike->hit->pid, strike->signal);
	return true;
}

static void
strike_mid_stream(int signal, const char *reason)
{
	strike_t strike = {.signal = signal};
	char *failed =
	    g_strdup_printf("attempts_failed_total{reason=\"%s\"}", reason);

	start_all("standin-engine", "chat", 8);
	faults_set(one, "{\"token_ms\": 10}");
	faults_set(two, "{\"token_ms\": 10}");
	check_stream(
	    complete(true, "struck", NULL, strike_engine, &strike), "struck");
	ck_assert(strike.done);
	ck_assert(counter_read(node, "stream_resumes_total") >= 1 ||
		  counter_read(node, failed) >= 1);
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

	start_all("standin-engine", "chat", 8);
	/* Misdelivery needs an earlier request to take the response from. */
	check_stream(complete(true, "first", NULL, NULL, NULL), "first");
	check_stream(complete(true, "other", NULL, NULL, NULL), "other");
	faults_set(one, faults);
	for (int i = 0; i < 40 && counter_read(node, failed) == 0; i++) {
		char *prompt = g_strdup_printf("question %d", i);

		check_stream(complete(true, prompt, NULL, NULL, NULL), prompt);
		g_free(prompt);
	}
	ck_assert_msg(
	    counter_read(node, failed) > 0, "%s was not seen", reason);
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
	answer_t *answer;

	start_all("standin-engine", "chat", 8);
	faults_set(one, "{\"cut_rate\": 1}");
	faults_set(two, "{\"cut_rate\": 1}");
	answer = complete(true, "hello", NULL, NULL, NULL);
	ck_assert_int_eq(answer->status, 200);
	ck_assert(!answer->whole);
	ck_assert_ptr_null(strstr(answer->body->str, "[DONE]"));
	ck_assert_ptr_nonnull(strstr(answer->body->str, "backend_failed"));
	ck_assert_int_ge(count_tokens(answer, "hello"), TOKENS / 2);
	answer_free(answer);
}
END_TEST

/* Guards against a deadline that ends the wait late or says "not run". */
START_TEST(deadline_is_kept)
{
	gint64 start;
	answer_t *answer;

	start_all("standin-engine", "chat", 8);
	faults_set(one, "{\"delay_ms\": 10000}");
	faults_set(two, "{\"delay_ms\": 10000}");
	start = g_get_monotonic_time();
	answer = complete(true, "hello", "Papaya-Timeout-Ms: 300", NULL, NULL);
	ck_assert_int_eq(answer->status, 504);
	ck_assert_str_eq(answer_header(answer, "papaya-not-run"), "false");
	ck_assert_int_lt(g_get_monotonic_time() - start, 5000000);
	answer_free(answer);
}
END_TEST

static bool
leave(answer_t *answer, void *data)
{
	return false;
}

static bool
is_cancelled(void *data)
{
	return calls_of(one, "cancelled") + calls_of(two, "cancelled") == 1;
}

/* Guards against engines that work for clients that have left. */
START_TEST(client_that_leaves_cancels)
{
	start_all("standin-engine", "chat", 8);
	faults_set(one, "{\"token_ms\": 50}");
	faults_set(two, "{\"token_ms\": 50}");
	answer_free(complete(true, "hello", NULL, leave, NULL));
	wait_until(is_cancelled, NULL);
}
END_TEST

static bool
is_generated(void *data)
{
	return calls_of(one, "tokens") + calls_of(two, "tokens") == max_tokens;
}

/* Reads on only once the engine is done. */
static bool
read_late(answer_t *answer, void *data)
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
	bool waited = false;

	start_all("standin-engine", "chat", 8);
	max_tokens = MANY_TOKENS;
	check_stream(
	    complete(true, "hello", NULL, read_late, &waited), "hello");
}
END_TEST

static gpointer
complete_keyed(gpointer data)
{
	return complete(true, "same", "Idempotency-Key: key-1", NULL, NULL);
}

static bool
has_joined(void *data)
{
	return counter_read(node, "requests_joined_total") >= 1;
}

/* Guards against an immediate retry that doubles the engines' work. */
START_TEST(duplicates_share_one_attempt)
{
	GThread *thread;

	start_all("standin-engine", "chat", 8);
	faults_set(one, "{\"token_ms\": 20}");
	faults_set(two, "{\"token_ms\": 20}");
	thread = g_thread_new("first", complete_keyed, NULL);
	check_stream(complete_keyed(NULL), "same");
	check_stream(g_thread_join(thread), "same");
	wait_until(has_joined, NULL);
	ck_assert_int_eq(calls_of(one, "calls") + calls_of(two, "calls"), 1);
}
END_TEST

static bool
is_queued(void *data)
{
	return counter_read(node, "requests_queued_total") >= 1;
}

static gpointer
complete_plainly(gpointer data)
{
	return complete(true, data, NULL, NULL, NULL);
}

static bool
has_begun(void *data)
{
	return calls_of(one, "calls") + calls_of(two, "calls") > 0;
}

/* Guards against a planned stop that interrupts or forgets requests. */
START_TEST(drain_finishes_what_was_accepted)
{
	GThread *first, *second;
	answer_t *refused;
	ask_t ask;

	start_all("standin-engine", "chat", 1);
	ask = (ask_t){.to = node, .path = "/metrics"};
	faults_set(one, "{\"token_ms\": 10}");
	faults_set(two, "{\"token_ms\": 10}");
	first = g_thread_new("first", complete_plainly, "first");
	wait_until(has_begun, NULL);
	second = g_thread_new("second", complete_plainly, "second");
	wait_until(is_queued, NULL);
	kill(node->pid, SIGTERM);
	check_stream(g_thread_join(first), "first");
	check_stream(g_thread_join(second), "second");
	refused = ask_send(&ask);
	ck_assert_int_eq(refused->status, 0);
	answer_free(refused);
	ck_assert_int_eq(program_wait(node), 0);
}
END_TEST

static answer_t *
get_page(const char *path)
{
	static const char *const headers[] = {"Papaya-Workspace: depot", NULL};
	ask_t ask = {.to = node, .path = path, .headers = headers};

	return ask_send(&ask);
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

	start_all("standin-service", "pages", 8);
	/* Misdelivery needs an earlier request to take the id from. */
	answer_free(get_page("/v1/services/t1/pages/first"));
	answer_free(get_page("/v1/services/t1/pages/second"));
	faults_set(one, plain_cases[_i].faults);
	for (int i = 0; i < 40 && counter_read(node, failed) == 0; i++) {
		char *own = g_strdup_printf("x=%d", i);
		char *target =
		    g_strconcat("/v1/services/t1/pages/a/b?", own, NULL);
		answer_t *answer = get_page(target);
		json_t *path = json_object_get(answer->json, "path");
		json_t *query = json_object_get(answer->json, "query");

		ck_assert_msg(answer->status == 200, "%s: %s",
		    plain_cases[_i].faults, answer->body->str);
		ck_assert_str_eq(json_string_value(path), "/a/b");
		ck_assert_str_eq(json_string_value(query), own);
		g_free(own);
		g_free(target);
		answer_free(answer);
	}
	ck_assert(counter_read(node, failed) > 0);
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

	start_all("standin-engine", "chat", 8);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *workspace =
		    g_strdup_printf("Papaya-Workspace: %s", cases[i].workspace);
		const char *const headers[] = {workspace, NULL};
		ask_t ask = {.to = node,
		    .path = cases[i].path,
		    .headers = headers,
		    .body = cases[i].body};
		answer_t *answer = ask_send(&ask);
		json_t *error = json_object_get(answer->json, "error");

		ck_assert_msg(
		    strcmp(json_string_value(json_object_get(error, "kind")),
			cases[i].kind) == 0,
		    "case %zu: %s", i, answer->body->str);
		ck_assert(json_is_true(json_object_get(error, "not_run")));
		answer_free(answer);
		g_free(workspace);
	}
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("call");
	TCase *tests = tcase_create("call");
	SRunner *runner;
	int failed;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_set_timeout(tests, 60);
	tcase_add_checked_fixture(tests, NULL, end_all);
	tcase_add_test(tests, responses_are_whole);
	tcase_add_test(tests, killed_engine_costs_a_resume);
	tcase_add_test(tests, stopped_engine_costs_a_resume);
	tcase_add_test(tests, misdelivered_response_is_replaced);
	tcase_add_test(tests, truncated_response_is_completed);
	tcase_add_test(tests, late_response_is_replaced);
	tcase_add_test(tests, failed_response_is_replaced);
	tcase_add_test(tests, incomplete_response_says_so);
	tcase_add_test(tests, deadline_is_kept);
	tcase_add_test(tests, client_that_leaves_cancels);
	tcase_add_test(tests, slow_client_gets_everything);
	tcase_add_test(tests, duplicates_share_one_attempt);
	tcase_add_test(tests, drain_finishes_what_was_accepted);
	tcase_add_loop_test(
	    tests, plain_requests_are_retried, 0, G_N_ELEMENTS(plain_cases));
	tcase_add_test(tests, bad_requests_get_typed_errors);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
