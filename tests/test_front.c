#include "suite.h"
#include "support_front.h"
#include "support_wire.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static unsigned
status_of(const char *message)
{
	return (unsigned)strtoul(message + strlen("HTTP/1.1 "), NULL, 10);
}

static unsigned
read_status(int fd)
{
	char *message = wire_read_message(fd);
	unsigned status = status_of(message);

	g_free(message);
	return status;
}

/* Answers a request at a backend server with a whole response. */
static void
answer(int fd, const char *status, const char *attempt_id, const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n"
				     "X-Response-Stamp: s1\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
	    status, attempt_id, strlen(body), body);

	wire_send(fd, text);
	g_free(text);
}

START_TEST(a_request_reaches_its_server_and_the_response_its_client)
{
	front_ends_t ends = front_open("/read/a?b=c", front_server_1);
	char *deadline = wire_header(ends.request, "X-Deadline-Ms");
	char *response;

	ck_assert(
	    g_str_has_prefix(ends.request, "POST /read/a?b=c HTTP/1.1\r\n"));
	ck_assert(g_str_has_suffix(ends.request, "\r\n\r\nbody"));
	wire_assert_header(ends.request, "X-Attempt-Id", "id-1");
	wire_assert_header(ends.request, "X-Tenant", "depot");
	wire_assert_header(ends.request, "X-Target-Instance", "i-1");
	wire_assert_header(ends.request, "Authorization", NULL);
	ck_assert_int_le(atoi(deadline), 3000);
	ck_assert_int_gt(atoi(deadline), 2000);
	answer(ends.server, "200 OK", "id-1", "whole");
	response = wire_read_message(ends.client);
	ck_assert_uint_eq(status_of(response), 200);
	wire_assert_header(response, "X-Response-Stamp", "s1");
	ck_assert(g_str_has_suffix(response, "\r\n\r\nwhole"));
	g_free(response);
	g_free(deadline);
	front_close(&ends);
}
END_TEST

/* Guards against a cut response without a length that looks complete. */
START_TEST(a_response_without_a_length_is_not_framed_as_complete)
{
	front_ends_t ends = front_open("/book/a", front_server_1);
	char *response;
	bool reset;

	wire_send(ends.server, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
			       "Connection: close\r\n\r\nhalf");
	close(ends.server);
	ends.server = -1;
	response = wire_read_to_end(ends.client, &reset);
	wire_assert_header(response, "Content-Length", NULL);
	wire_assert_header(response, "Transfer-Encoding", NULL);
	wire_assert_header(response, "Connection", "close");
	g_free(response);
	front_close(&ends);
}
END_TEST

/* Guards against a booking that runs twice. */
START_TEST(a_booking_that_may_have_run_is_not_sent_again)
{
	int client, server;
	char *request;

	front_list_server("i-2", "plain", front_port_2, "ready");
	client = front_send("/book/a", "id-1");
	if (wire_waits(front_server_1, 300))
		server = wire_accept(front_server_1);
	else
		server = wire_accept(front_server_2);
	request = wire_read_message(server);
	close(server);
	ck_assert_uint_eq(read_status(client), 502);
	ck_assert(!wire_waits(front_server_1, 300));
	ck_assert(!wire_waits(front_server_2, 100));
	g_free(request);
	close(client);
}
END_TEST

/* Guards against a refusal that says not run where it may have run. */
START_TEST(what_a_server_did_not_run_is_refused_as_not_run)
{
	front_ends_t ends = front_open("/book/a", front_server_1);
	char *response, *after;

	wire_send(ends.server,
	    "HTTP/1.1 503 Full\r\nX-Attempt-Id: id-1\r\n"
	    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
	response = wire_read_message(ends.client);
	after = wire_header(response, "Retry-After");
	ck_assert_uint_eq(status_of(response), 503);
	ck_assert_ptr_nonnull(after);
	wire_assert_header(response, "X-Response-Stamp", NULL);
	g_free(after);
	g_free(response);
	front_close(&ends);
}
END_TEST

/* Statuses that promise a client that its request has not run. */
static const char *const promises[] = {"408 Late", "429 Busy", "503 Broken"};

/* Guards against a false promise passed on from a server. */
START_TEST(a_server_that_fails_after_it_ran_promises_nothing)
{
	front_ends_t ends = front_open("/book/a", front_server_1);

	answer(ends.server, promises[_i], "id-1", "");
	ck_assert_uint_eq(read_status(ends.client), 502);
	front_close(&ends);
}
END_TEST

START_TEST(an_idempotent_request_goes_to_another_server)
{
	int client, servers[2], used;
	char *request;

	front_list_server("i-2", "plain", front_port_2, "ready");
	g_usleep(100000);
	client = front_send("/read/a", "id-1");
	used = wire_waits(front_server_1, 300) ? 0 : 1;
	servers[0] = wire_accept(used == 0 ? front_server_1 : front_server_2);
	request = wire_read_message(servers[0]);
	close(servers[0]);
	servers[1] = wire_accept(used == 0 ? front_server_2 : front_server_1);
	g_free(request);
	request = wire_read_message(servers[1]);
	wire_assert_header(request, "X-Attempt-Id", "id-1");
	answer(servers[1], "200 OK", "id-1", "ok");
	ck_assert_uint_eq(read_status(client), 200);
	g_free(request);
	close(client);
	close(servers[1]);
}
END_TEST

/* Guards against a late response that is taken for another request's. */
START_TEST(a_response_to_another_request_is_skipped)
{
	front_ends_t ends = front_open("/book/a", front_server_1);
	char *response;

	answer(ends.server, "200 OK", "id-0", "other");
	answer(ends.server, "200 OK", "id-1", "mine");
	response = wire_read_message(ends.client);
	ck_assert(g_str_has_suffix(response, "\r\n\r\nmine"));
	g_free(response);
	front_close(&ends);
}
END_TEST

/* Guards against bytes behind a response that the next request would get. */
START_TEST(a_connection_with_bytes_left_over_is_not_used_again)
{
	front_ends_t ends = front_open("/read/a", front_server_1);

	wire_send(ends.server,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
	    "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
	ck_assert_uint_eq(read_status(ends.client), 200);
	ck_assert(wire_closes(ends.server, 1000));
	front_close(&ends);
}
END_TEST

/* Guards against work that goes on for nobody. */
START_TEST(a_client_that_leaves_ends_the_work_of_its_server)
{
	front_ends_t ends = front_open("/write/a", front_server_2);

	close(ends.client);
	ends.client = -1;
	ck_assert(wire_closes(ends.server, 500));
	front_close(&ends);
}
END_TEST

START_TEST(unknown_keys_and_routes_are_refused)
{
	char *text = front_request("/read/a", "id-1", "key-3");
	int client = wire_connect(front_node->address);

	wire_send(client, text);
	ck_assert_uint_eq(read_status(client), 401);
	g_free(text);
	text = front_request("/none/a", "id-2", "key-1");
	wire_send(client, text);
	ck_assert_uint_eq(read_status(client), 404);
	g_free(text);
	close(client);
}
END_TEST

/* Guards against a withdrawn key that goes on to work. */
START_TEST(a_withdrawn_key_stops)
{
	int client;

	front_configure(2, "[\"key-2\"]");
	g_usleep(300000);
	client = front_send("/read/a", "id-1");
	ck_assert_uint_eq(read_status(client), 401);
	close(client);
}
END_TEST

/* Guards against an older configuration that replaces a newer one. */
START_TEST(an_older_configuration_is_ignored)
{
	int client;

	front_configure(5, "[\"key-2\"]");
	front_configure(4, "[\"key-1\"]");
	g_usleep(300000);
	client = front_send("/read/a", "id-1");
	ck_assert_uint_eq(read_status(client), 401);
	close(client);
}
END_TEST

/* Guards against keys that were withdrawn while the store cannot be reached. */
START_TEST(a_node_without_the_store_refuses_keys_in_time)
{
	int client;

	faults_set(front_platform, "{\"down\": true}");
	g_usleep(2100000);
	client = front_send("/read/a", "id-1");
	ck_assert_uint_eq(read_status(client), 503);
	close(client);
	faults_set(front_platform, "{\"down\": false}");
	g_usleep(1000000);
	client = front_send("/book/a", "id-2");
	close(wire_accept(front_server_1));
	close(client);
}
END_TEST

/* Guards against refusals in the moment between the start and the first list.
 */
START_TEST(a_request_at_the_start_waits_for_the_configuration)
{
	int client, server;
	char *request;

	faults_set(front_platform, "{\"down\": true}");
	front_node = front_launch("n2");
	client = front_send("/read/a", "id-1");
	g_usleep(100000);
	faults_set(front_platform, "{\"down\": false}");
	server = wire_accept(front_server_1);
	request = wire_read_message(server);
	answer(server, "200 OK", "id-1", "ok");
	ck_assert_uint_eq(read_status(client), 200);
	g_free(request);
	close(client);
	close(server);
}
END_TEST

/* Guards against requests to a server that has said that it leaves. */
START_TEST(a_leaving_server_gets_nothing_new)
{
	int client;

	front_list_server("i-1", "plain", front_port_1, "draining");
	g_usleep(300000);
	client = front_send("/read/a", "id-1");
	ck_assert_uint_eq(read_status(client), 503);
	ck_assert(!wire_waits(front_server_1, 100));
	close(client);
}
END_TEST

START_TEST(requests_beyond_the_limits_are_refused)
{
	int client = wire_connect(front_node->address);
	char *body = g_strnfill(3000, 'x');
	char *text = g_strdup_printf("POST /read/a HTTP/1.1\r\n"
				     "Host: t.example\r\nX-Attempt-Id: i\r\n"
				     "Content-Length: 3000\r\n\r\n%s",
	    body);

	wire_send(client, text);
	ck_assert_uint_eq(read_status(client), 413);
	close(client);
	client = wire_connect(front_node->address);
	wire_send(client, "GET /read/a HTTP/1.1\r\nHost: t.exa");
	ck_assert_uint_eq(read_status(client), 408);
	close(client);
	client = wire_connect(front_node->address);
	wire_send(client, "POST /read/a HTTP/1.1\r\nHost: t.example\r\n"
			  "Content-Length: 3\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	ck_assert_uint_eq(read_status(client), 400);
	close(client);
	g_free(text);
	g_free(body);
}
END_TEST

static char *
addresses(void)
{
	program_t to = {.address = (char *)front_questions(front_node)};
	ask_t ask = {.to = &to, .path = "/v1/resolve?name=t.example&zone=z"};
	answer_t *response = ask_send(&ask);
	char *text = g_strdup(response->body->str);

	answer_free(response);
	return text;
}

/* Guards against a planned stop that cuts a request in progress. */
START_TEST(a_stop_finishes_what_runs_and_leaves_the_list_first)
{
	program_t *other = front_start("n2");
	int client, server;
	char *request, *list;

	g_usleep(500000);
	list = addresses();
	ck_assert_ptr_nonnull(strstr(list, other->address));
	g_free(list);
	client = front_send("/book/a", "id-1");
	server = wire_accept(front_server_1);
	request = wire_read_message(server);
	kill(front_node->pid, SIGTERM);
	g_usleep(300000);
	list = addresses();
	ck_assert_ptr_null(strstr(list, front_node->address));
	g_free(list);
	g_usleep(1700000);
	answer(server, "200 OK", "id-1", "done");
	ck_assert_uint_eq(read_status(client), 200);
	ck_assert_int_eq(program_wait(front_node), 0);
	g_free(request);
	close(client);
	close(server);
}
END_TEST

static json_t *
duty_calls(const char *path)
{
	answer_t *response =
	    ask_json(front_platform, "GET", "/calls", NULL, 200);
	json_t *found = json_array();
	json_t *call;
	size_t i;

	json_array_foreach (response->json, i, call)
		if (strcmp(json_string_value(json_object_get(call, "path")),
			path) == 0)
			json_array_append(found, call);
	answer_free(response);
	return found;
}

/* Guards against two reports of one window that differ. */
START_TEST(usage_is_reported_once_a_window)
{
	front_ends_t ends = front_open("/read/a", front_server_1);
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	json_t *calls, *call, *count;
	int64_t total = 0;
	size_t i;

	answer(ends.server, "200 OK", "id-1", "ok");
	ck_assert_uint_eq(read_status(ends.client), 200);
	g_usleep(4500000);
	calls = duty_calls("/usage");
	ck_assert_uint_ge(json_array_size(calls), 2);
	json_array_foreach (calls, i, call) {
		json_t *body = json_object_get(call, "body");
		int64_t window =
		    json_integer_value(json_object_get(body, "window_id"));

		ck_assert(g_hash_table_add(seen, GINT_TO_POINTER(window)));
		count =
		    json_object_get(json_object_get(body, "counts"), "depot");
		total += json_integer_value(count);
	}
	ck_assert_int_eq(total, 1);
	json_decref(calls);
	g_hash_table_unref(seen);
	front_close(&ends);
}
END_TEST

/* Fails where two reports of one window differ. */
static void
assert_consistent(const json_t *calls)
{
	const json_t *left, *right;
	size_t i, j;

	json_array_foreach (calls, i, left) {
		json_array_foreach (calls, j, right) {
			json_t *a = json_object_get(left, "body");
			json_t *b = json_object_get(right, "body");

			if (json_equal(json_object_get(a, "window_id"),
				json_object_get(b, "window_id")))
				ck_assert(json_equal(a, b));
		}
	}
}

static const char *
last_holder(const json_t *calls)
{
	const json_t *call = json_array_get(calls, json_array_size(calls) - 1);

	return json_string_value(json_object_get(call, "holder"));
}

static int64_t
last_token(const json_t *calls)
{
	const json_t *call = json_array_get(calls, json_array_size(calls) - 1);

	return json_integer_value(json_object_get(call, "token"));
}

/* Guards against duties that end with their holder, or are done by two. */
START_TEST(the_duties_pass_on_when_their_holder_is_killed)
{
	program_t *other = front_start("n2");
	json_t *before, *after;

	g_usleep(4000000);
	before = duty_calls("/usage");
	ck_assert_uint_ge(json_array_size(before), 1);
	program_end(strcmp(last_holder(before), "n1") == 0 ? front_node : other,
	    SIGKILL);
	g_usleep(7000000);
	after = duty_calls("/usage");
	ck_assert_str_ne(last_holder(after), last_holder(before));
	ck_assert_int_gt(last_token(after), last_token(before));
	assert_consistent(after);
	json_decref(before);
	json_decref(after);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("front");
	TCase *cases = tcase_create("front");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, front_fixture_start, front_fixture_end);
	tcase_add_test(
	    cases, a_request_reaches_its_server_and_the_response_its_client);
	tcase_add_test(
	    cases, a_response_without_a_length_is_not_framed_as_complete);
	tcase_add_test(cases, a_booking_that_may_have_run_is_not_sent_again);
	tcase_add_test(cases, what_a_server_did_not_run_is_refused_as_not_run);
	tcase_add_loop_test(cases,
	    a_server_that_fails_after_it_ran_promises_nothing, 0,
	    G_N_ELEMENTS(promises));
	tcase_add_test(cases, an_idempotent_request_goes_to_another_server);
	tcase_add_test(cases, a_response_to_another_request_is_skipped);
	tcase_add_test(
	    cases, a_connection_with_bytes_left_over_is_not_used_again);
	tcase_add_test(cases, a_client_that_leaves_ends_the_work_of_its_server);
	tcase_add_test(cases, unknown_keys_and_routes_are_refused);
	tcase_add_test(cases, a_withdrawn_key_stops);
	tcase_add_test(cases, an_older_configuration_is_ignored);
	tcase_add_test(cases, a_node_without_the_store_refuses_keys_in_time);
	tcase_add_test(
	    cases, a_request_at_the_start_waits_for_the_configuration);
	tcase_add_test(cases, a_leaving_server_gets_nothing_new);
	tcase_add_test(cases, requests_beyond_the_limits_are_refused);
	tcase_add_test(
	    cases, a_stop_finishes_what_runs_and_leaves_the_list_first);
	tcase_add_test(cases, usage_is_reported_once_a_window);
	tcase_add_test(cases, the_duties_pass_on_when_their_holder_is_killed);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
