#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * Late requests at a gateway that hedges them. Service "plain" has the servers
 * i-1 and i-2, service "engine" e-1 and e-2; the first of each gets a request
 * first, as it is known to be fast or in the gateway's zone.
 */

enum {
	/* Attempts that the gateway needs for its percentile, and more. */
	WARM_UP_REQUESTS = 70,
	/* For a new entry of the store to reach the gateway, and for it to
	 * compute its percentile again. */
	LISTING_US = 300000,
	/* Well above the delay of a hedge, below any other timer. */
	HEDGE_WAIT_MS = 600,
	/* A cancelled attempt's connection must close within this time. */
	CANCEL_MS = 300,
	/* A server that has sent nothing for so long is silent. */
	SILENT_US = 2300000,
	USAGE_REPORT_US = 4500000,
};

#define HEAD(status)                                    \
	"HTTP/1.1 " status "\r\nX-Attempt-Id: id-1\r\n" \
	"X-Response-Stamp: s\r\n"
#define ANSWER(body) HEAD("200 OK") "Content-Length: 5\r\n\r\n" body
#define STREAM_HEAD HEAD("200 OK") "Transfer-Encoding: chunked\r\n\r\n"
#define EVENT_A "f\r\nid: 1\ndata: a\n\n\r\n"
#define EVENT_B "f\r\nid: 1\ndata: b\n\n\r\n"
#define LAST_CHUNK "0\r\n\r\n"
#define REFUSAL \
	HEAD("503 Busy") "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define FAILURE HEAD("500 Error") "Content-Length: 5\r\n\r\nFAULT"

/* A request in progress, at the first server and maybe at a second one. */
typedef struct hedged {
	int client;
	int first;
	int second;
} hedged_t;

static int second_listener, second_port;

static void
setup(void)
{
	g_setenv("PAPAYA_HEDGE_SHARE", "0.2", TRUE);
	gateway_fixture_setup();
	second_listener = wire_listen(&second_port);
}

static void
setup_default(void)
{
	g_unsetenv("PAPAYA_HEDGE_SHARE");
	gateway_fixture_setup();
	second_listener = wire_listen(&second_port);
}

static void
teardown(void)
{
	g_unsetenv("PAPAYA_HEDGE_SHARE");
	gateway_fixture_teardown();
	close(second_listener);
}

/* Lists the second server, in another availability zone. */
static void
add_second_server(const char *service, int slots, const char *state)
{
	char *text = g_strdup_printf(
	    "{\"service\": \"%s\", \"address\": \"127.0.0.1:%d\","
	    " \"zone\": \"y\", \"version\": \"v1\", \"slots\": %d,"
	    " \"state\": \"%s\", \"sequence\": 1}",
	    service, second_port, slots, state);

	gateway_store_put("servers/second", text);
	g_free(text);
	g_usleep(LISTING_US);
}

/* Serves quick requests; returns the connection to the first server. */
static int
warm_up(const char *path, int listener, const char *answer)
{
	bool is_stream = strstr(answer, "chunked") != NULL;
	char *text = gateway_format_request(path, "id-1", "key-1");
	int client = wire_connect(gateway_node->address), server = -1;

	for (int i = 0; i < WARM_UP_REQUESTS; i++) {
		wire_send(client, text);
		if (server < 0)
			server = wire_accept(listener);
		g_free(wire_read_message(server));
		wire_send(server, answer);
		g_free(is_stream ? wire_read_until(client, LAST_CHUNK)
				 : wire_read_message(client));
	}
	g_free(text);
	close(client);
	return server;
}

/*
 * Sends a request of which the first server has had quick ones, beside a second
 * server with these slots in this state.
 */
static hedged_t
send_late_beside(const char *path, int slots, const char *state)
{
	bool is_plain =
	    strcmp(path, "/read/a") == 0 || strcmp(path, "/book/a") == 0;
	hedged_t hedged = {.second = -1};

	hedged.first = is_plain
			   ? warm_up(path, backend_listener_1, ANSWER("quick"))
			   : warm_up(path, backend_listener_2,
				 STREAM_HEAD EVENT_A LAST_CHUNK);
	add_second_server(is_plain ? "plain" : "engine", slots, state);
	hedged.client = gateway_send_request(path, "id-1");
	g_free(wire_read_message(hedged.first));
	return hedged;
}

static hedged_t
send_late(const char *path)
{
	return send_late_beside(path, 4, "ready");
}

/* The same, until the second server has the request too. */
static hedged_t
send_hedged(const char *path)
{
	hedged_t hedged = send_late(path);

	ck_assert_msg(wire_wait_connection(second_listener, HEDGE_WAIT_MS),
	    "the request was not hedged");
	hedged.second = wire_accept(second_listener);
	g_free(wire_read_message(hedged.second));
	return hedged;
}

static void
hedged_close(hedged_t *hedged)
{
	close(hedged->client);
	close(hedged->first);
	if (hedged->second >= 0)
		close(hedged->second);
}

static void
assert_response(int client, const char *status, const char *body)
{
	char *response = wire_read_message(client);

	ck_assert_msg(g_str_has_prefix(response, status) &&
			  g_str_has_suffix(response, body),
	    "expected %s %s: %s", status, body, response);
	g_free(response);
}

static void
assert_metric(const char *name, double expected)
{
	ck_assert_double_eq(gateway_metric(gateway_node, name), expected);
}

/* Requests of the workspace in the usage that was reported. */
static int64_t
reported_usage(void)
{
	test_response_t *response =
	    test_request_json(platform_standin, "GET", "/calls", NULL, 200);
	int64_t sum = 0;
	json_t *call;
	size_t i;

	json_array_foreach (response->json, i, call)
		if (strcmp(json_string_value(json_object_get(call, "path")),
			"/usage") == 0)
			sum += json_integer_value(json_object_get(
			    json_object_get(
				json_object_get(call, "body"), "counts"),
			    "depot"));
	test_response_free(response);
	return sum;
}

/*
 * Guards against a request that waits for a silent server, whose attempt is not
 * cancelled, or that counts twice in the usage.
 */
START_TEST(the_second_server_answers_for_a_silent_one)
{
	hedged_t hedged = send_hedged("/read/a");

	wire_send(hedged.second, ANSWER("other"));
	assert_response(hedged.client, "HTTP/1.1 200", "other");
	ck_assert(wire_wait_closed(hedged.first, CANCEL_MS));
	assert_metric("hedges_sent_total{service=\"plain\"}", 1);
	assert_metric(
	    "hedges_ended_total{service=\"plain\",outcome=\"won\"}", 1);
	g_usleep(USAGE_REPORT_US);
	ck_assert_int_eq(reported_usage(), WARM_UP_REQUESTS + 1);
	hedged_close(&hedged);
}
END_TEST

/* Guards against a request that counts twice as its first server failed. */
START_TEST(a_failed_and_a_sound_attempt_count_once)
{
	hedged_t hedged = send_hedged("/read/a");

	wire_send(hedged.first, FAILURE);
	g_usleep(50000);
	wire_send(hedged.second, ANSWER("other"));
	assert_response(hedged.client, "HTTP/1.1 200", "other");
	g_usleep(USAGE_REPORT_US);
	ck_assert_int_eq(reported_usage(), WARM_UP_REQUESTS + 1);
	hedged_close(&hedged);
}
END_TEST

/* Guards against a second attempt that goes on though the first answered. */
START_TEST(the_second_attempt_is_cancelled)
{
	hedged_t hedged = send_hedged("/read/a");

	wire_send(hedged.first, ANSWER("first"));
	assert_response(hedged.client, "HTTP/1.1 200", "first");
	ck_assert(wire_wait_closed(hedged.second, CANCEL_MS));
	assert_metric(
	    "hedges_ended_total{service=\"plain\",outcome=\"lost\"}", 1);
	hedged_close(&hedged);
}
END_TEST

/* Guards against a second response to the client, or a part of it. */
START_TEST(of_two_answers_one_is_forwarded)
{
	hedged_t hedged = send_hedged("/read/a");
	char *text = gateway_format_request("/open/a", "id-2", "key-1");
	char *response;

	wire_send(hedged.first, ANSWER("equal"));
	wire_send(hedged.second, ANSWER("equal"));
	assert_response(hedged.client, "HTTP/1.1 200", "equal");
	ck_assert(!wire_wait_closed(hedged.client, CANCEL_MS));
	/* The connection is sound: the next request gets its own answer. */
	gateway_store_remove("servers/i-1");
	gateway_store_remove("servers/second");
	g_usleep(LISTING_US);
	wire_send(hedged.client, text);
	response = wire_read_message(hedged.client);
	ck_assert_ptr_null(strstr(response, "equal"));
	g_free(response);
	g_free(text);
	hedged_close(&hedged);
}
END_TEST

/* What a server sends that is no answer. */
static const struct no_answer {
	const char *what;
	const char *bytes;
	bool closes;
} no_answers[] = {
    {"failure", FAILURE, false},
    {"refusal", REFUSAL, false},
    {"other server", HEAD("421 Misdirected") "Content-Length: 0\r\n\r\n",
	false},
    {"malformed head", "FAULT FAULT\r\n\r\n", false},
    {"answer to another request",
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-9\r\nX-Response-Stamp: s\r\n"
	"Content-Length: 5\r\n\r\nFAULT",
	true},
    {"half an answer", HEAD("200 OK") "Content-Length: 10\r\n\r\nFAULT", true},
    {"half a head", HEAD("200 OK"), true},
    {"nothing", "", true},
};

static void
send_no_answer(int *server, const struct no_answer *no_answer)
{
	wire_send(*server, no_answer->bytes);
	if (!no_answer->closes)
		return;
	close(*server);
	*server = -1;
}

/* Guards against an error from one server while the other is at work. */
START_TEST(an_attempt_that_fails_leaves_the_other)
{
	const struct no_answer *no_answer =
	    &no_answers[_i % G_N_ELEMENTS(no_answers)];
	bool first_fails = _i >= (int)G_N_ELEMENTS(no_answers);
	hedged_t hedged = send_hedged("/read/a");
	int *failing = first_fails ? &hedged.first : &hedged.second;
	int other = first_fails ? hedged.second : hedged.first;

	send_no_answer(failing, no_answer);
	ck_assert_msg(
	    !wire_wait_closed(other, CANCEL_MS), "%s", no_answer->what);
	wire_send(other, ANSWER("sound"));
	assert_response(hedged.client, "HTTP/1.1 200", "sound");
	ck_assert(!wire_wait_connection(second_listener, 0));
	hedged_close(&hedged);
}
END_TEST

/* Guards against 502 as the first server is slow and the second one fails. */
START_TEST(a_silent_first_attempt_is_kept_for_a_failing_second)
{
	hedged_t hedged = send_hedged("/read/a");

	g_usleep(SILENT_US);
	send_no_answer(
	    &hedged.second, &no_answers[G_N_ELEMENTS(no_answers) - 1]);
	wire_send(hedged.first, ANSWER("sound"));
	assert_response(hedged.client, "HTTP/1.1 200", "sound");
	hedged_close(&hedged);
}
END_TEST

/* Guards against a wait for two silent servers beside a third. */
START_TEST(a_third_server_gets_what_two_are_silent_on)
{
	int port, listener = wire_listen(&port), third;
	hedged_t hedged;

	gateway_limits.read_attempts = 3;
	gateway_configure(2, "[\"key-1\"]");
	hedged = send_hedged("/read/a");
	gateway_register_server("i-3", "plain", port, "ready");
	third = wire_accept(listener);
	g_free(wire_read_message(third));
	ck_assert(wire_wait_closed(hedged.first, CANCEL_MS));
	wire_send(hedged.second, ANSWER("other"));
	assert_response(hedged.client, "HTTP/1.1 200", "other");
	close(third);
	close(listener);
	hedged_close(&hedged);
}
END_TEST

/* Guards against a promise that a request has not run that may have. */
START_TEST(not_run_is_promised_where_both_refuse)
{
	bool first_ran = _i == 1;
	hedged_t hedged = send_hedged("/read/a");

	wire_send(hedged.first, first_ran ? FAILURE : REFUSAL);
	g_usleep(50000);
	wire_send(hedged.second, REFUSAL);
	assert_response(hedged.client,
	    first_ran ? "HTTP/1.1 502" : "HTTP/1.1 503", "\r\n\r\n");
	hedged_close(&hedged);
}
END_TEST

/* Guards against attempts that go on when their client has left. */
START_TEST(both_attempts_end_with_the_client)
{
	hedged_t hedged = send_hedged("/read/a");

	close(hedged.client);
	ck_assert(wire_wait_closed(hedged.first, CANCEL_MS));
	ck_assert(wire_wait_closed(hedged.second, CANCEL_MS));
	hedged.client = dup(hedged.first);
	hedged_close(&hedged);
}
END_TEST

/*
 * Guards against a stream joined from two runs, and against a comment, which a
 * stalled engine may send, that counts as its first event.
 */
START_TEST(a_stream_comes_from_the_first_engine_with_an_event)
{
	hedged_t hedged = send_hedged("/talk/a");
	char *response;

	wire_send(hedged.first, STREAM_HEAD "3\r\n:\n\n\r\n8\r\nid: 1\nda\r\n");
	g_usleep(50000);
	wire_send(hedged.second, STREAM_HEAD EVENT_B);
	ck_assert(wire_wait_closed(hedged.first, CANCEL_MS));
	wire_send(hedged.second, "f\r\nid: 2\ndata: b\n\n\r\n" LAST_CHUNK);
	response = wire_read_until(hedged.client, LAST_CHUNK);
	ck_assert_ptr_nonnull(strstr(response, "id: 1\ndata: b\n\n"));
	ck_assert_ptr_nonnull(strstr(response, "id: 2\ndata: b\n\n"));
	ck_assert_ptr_null(strstr(response, "da\r\n"));
	ck_assert_ptr_null(strstr(response, ":\n\n"));
	ck_assert_ptr_eq(
	    strstr(response, "HTTP/1.1"), g_strrstr(response, "HTTP/1.1"));
	g_free(response);
	assert_metric(
	    "hedges_ended_total{service=\"engine\",outcome=\"won\"}", 1);
	hedged_close(&hedged);
}
END_TEST

/* Guards against a stream that has begun and is hedged. */
START_TEST(a_stream_that_has_begun_is_not_hedged)
{
	hedged_t hedged = send_late("/talk/a");

	wire_send(hedged.first, STREAM_HEAD EVENT_A);
	ck_assert(!wire_wait_connection(second_listener, HEDGE_WAIT_MS));
	hedged_close(&hedged);
}
END_TEST

/* A second server that gets no hedges. */
static const struct unfit_server {
	int slots;
	const char *state;
} unfit_servers[] = {{0, "ready"}, {4, "draining"}};

/* Guards against more work for a server that is full or leaves. */
START_TEST(an_unfit_server_gets_no_hedge)
{
	hedged_t hedged = send_late_beside(
	    "/read/a", unfit_servers[_i].slots, unfit_servers[_i].state);

	ck_assert(!wire_wait_connection(second_listener, HEDGE_WAIT_MS));
	assert_metric("hedges_refused_total{service=\"plain\","
		      "reason=\"no_server\"}",
	    1);
	hedged_close(&hedged);
}
END_TEST

static const char *const never_hedged[] = {"/book/a", "/write/a"};

/* Guards against a booking, or a stream that cannot be resumed, run twice. */
START_TEST(what_may_not_be_repeated_is_not_hedged)
{
	hedged_t hedged = send_late(never_hedged[_i]);

	ck_assert(!wire_wait_connection(second_listener, HEDGE_WAIT_MS));
	hedged_close(&hedged);
}
END_TEST

static const char *const repeatable[] = {"/read/a", "/talk/a"};

/* Guards against hedges that the operators have not asked for. */
START_TEST(nothing_is_sent_twice_by_default)
{
	hedged_t hedged = send_late(repeatable[_i]);

	ck_assert(!wire_wait_connection(second_listener, HEDGE_WAIT_MS));
	hedged_close(&hedged);
}
END_TEST

/* Guards against a limit that is out of range and taken as it is. */
START_TEST(a_share_out_of_range_is_refused)
{
	char *program = program_path("papayad");
	char *file = g_strdup("/tmp/papaya-front-XXXXXX");
	static const char settings[] =
	    "{\"node_name\": \"n\", \"zone\": \"z\", \"ip\": \"127.0.0.1\","
	    "\"listen_addrs\": {\"front\": \"127.0.0.1:1\"},"
	    "\"internal_ports\": [1, 2],"
	    "\"platform\": {\"address\": \"127.0.0.1:1\"}}";
	static const struct {
		const char *share;
		int status;
	} options[] = {{"--hedge-share=0.2", 0}, {"--hedge-share=0.3", 2},
	    {"--hedge-share=x", 2}};

	close(g_mkstemp(file));
	ck_assert(g_file_set_contents(file, settings, -1, NULL));
	g_setenv("PAPAYAWHARF_NODE_FILE", file, TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
		char *arguments[] = {program, "--platform", "--check",
		    (char *)options[i].share, NULL};
		int status;

		ck_assert(g_spawn_sync(NULL, arguments, NULL,
		    G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL, NULL, NULL, &status,
		    NULL));
		ck_assert_int_eq(WEXITSTATUS(status), options[i].status);
	}
	unlink(file);
	g_free(file);
	g_free(program);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("hedge_process");
	TCase *hedging = tcase_create("hedging");
	TCase *by_default = tcase_create("by_default");

	tcase_set_timeout(hedging, 60);
	tcase_add_checked_fixture(hedging, setup, teardown);
	tcase_add_test(hedging, the_second_server_answers_for_a_silent_one);
	tcase_add_test(hedging, a_failed_and_a_sound_attempt_count_once);
	tcase_add_test(hedging, the_second_attempt_is_cancelled);
	tcase_add_test(hedging, of_two_answers_one_is_forwarded);
	tcase_add_loop_test(hedging, an_attempt_that_fails_leaves_the_other, 0,
	    2 * G_N_ELEMENTS(no_answers));
	tcase_add_test(
	    hedging, a_silent_first_attempt_is_kept_for_a_failing_second);
	tcase_add_test(hedging, a_third_server_gets_what_two_are_silent_on);
	tcase_add_loop_test(
	    hedging, not_run_is_promised_where_both_refuse, 0, 2);
	tcase_add_test(hedging, both_attempts_end_with_the_client);
	tcase_add_test(
	    hedging, a_stream_comes_from_the_first_engine_with_an_event);
	tcase_add_test(hedging, a_stream_that_has_begun_is_not_hedged);
	tcase_add_loop_test(hedging, an_unfit_server_gets_no_hedge, 0,
	    G_N_ELEMENTS(unfit_servers));
	tcase_add_loop_test(hedging, what_may_not_be_repeated_is_not_hedged, 0,
	    G_N_ELEMENTS(never_hedged));
	tcase_set_timeout(by_default, 60);
	tcase_add_checked_fixture(by_default, setup_default, teardown);
	tcase_add_loop_test(by_default, nothing_is_sent_twice_by_default, 0,
	    G_N_ELEMENTS(repeatable));
	tcase_add_test(by_default, a_share_out_of_range_is_refused);
	suite_add_tcase(suite, hedging);
	suite_add_tcase(suite, by_default);
	return suite_run(suite);
}
