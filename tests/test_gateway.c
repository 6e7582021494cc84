#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	/* For the first request of a workspace. */
	REFILL_US = 2000000,
	/* More than is buffered before a response is forwarded. */
	ERROR_PAGE_BYTES = 100 * 1000,
	/* For the gateway to receive changes of the store. */
	SETTLE_US = 500000,
};

/* Less than a request in the deadline of one, 3 s. */
static const double slow_rate_per_s = 0.2;

static unsigned
parse_status(const char *message)
{
	return (unsigned)strtoul(message + strlen("HTTP/1.1 "), NULL, 10);
}

/* Sends a complete response, as a backend server. */
static void
send_response(
    int fd, const char *status, const char *attempt_id, const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n"
				     "X-Response-Stamp: s1\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
	    status, attempt_id, strlen(body), body);

	wire_send(fd, text);
	g_free(text);
}

START_TEST(request_and_response_are_forwarded)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/read/a?b=c", backend_listener_1);
	char *deadline = wire_header(exchange.request, "X-Deadline-Ms");
	char *response;

	ck_assert(g_str_has_prefix(
	    exchange.request, "POST /read/a?b=c HTTP/1.1\r\n"));
	ck_assert(g_str_has_suffix(exchange.request, "\r\n\r\nbody"));
	wire_assert_header(exchange.request, "X-Attempt-Id", "id-1");
	wire_assert_header(exchange.request, "X-Tenant", "depot");
	wire_assert_header(exchange.request, "X-Target-Instance", "i-1");
	wire_assert_header(exchange.request, "Authorization", NULL);
	ck_assert_int_le(atoi(deadline), 3000);
	ck_assert_int_gt(atoi(deadline), 2000);
	send_response(exchange.server_fd, "200 OK", "id-1", "whole");
	response = wire_read_message(exchange.client_fd);
	ck_assert_uint_eq(parse_status(response), 200);
	wire_assert_header(response, "X-Response-Stamp", "s1");
	ck_assert(g_str_has_suffix(response, "\r\n\r\nwhole"));
	g_free(response);
	g_free(deadline);
	gateway_exchange_close(&exchange);
}
END_TEST

/*
 * Guards against a response that a client cannot tell from a cut one: the
 * server ends it with its connection, and the gateway adds no framing.
 */
START_TEST(response_without_length_is_framed_for_the_client)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);
	char *response;

	wire_send(exchange.server_fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
	    "Connection: close\r\n\r\nwhole");
	close(exchange.server_fd);
	exchange.server_fd = -1;
	response = wire_read_message(exchange.client_fd);
	wire_assert_header(response, "Content-Length", "5");
	wire_assert_header(response, "Transfer-Encoding", NULL);
	wire_assert_header(response, "Connection", NULL);
	ck_assert(g_str_has_suffix(response, "\r\n\r\nwhole"));
	g_free(response);
	gateway_exchange_close(&exchange);
}
END_TEST

/*
 * Guards against a booking that runs twice: its server closes the connection
 * after it has read the request, and the gateway retries at another server.
 */
START_TEST(possibly_executed_booking_is_not_retried)
{
	int client, server;
	char *request;

	gateway_register_server("i-2", "plain", backend_port_2, "ready");
	client = gateway_send_request("/book/a", "id-1");
	if (wire_wait_connection(backend_listener_1, 300))
		server = wire_accept(backend_listener_1);
	else
		server = wire_accept(backend_listener_2);
	request = wire_read_message(server);
	close(server);
	ck_assert_uint_eq(wire_read_status(client), 502);
	ck_assert(!wire_wait_connection(backend_listener_1, 300));
	ck_assert(!wire_wait_connection(backend_listener_2, 100));
	g_free(request);
	close(client);
}
END_TEST

/*
 * Guards against a wrong statement on whether a request was executed: the
 * server states that it was not, so the client gets the gateway's own 503 with
 * Retry-After, without the headers of the server's response.
 */
START_TEST(not_executed_request_is_refused_with_retry_after)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);
	char *response, *retry_after;

	wire_send(exchange.server_fd,
	    "HTTP/1.1 503 Full\r\nX-Attempt-Id: id-1\r\n"
	    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
	response = wire_read_message(exchange.client_fd);
	retry_after = wire_header(response, "Retry-After");
	ck_assert_uint_eq(parse_status(response), 503);
	ck_assert_ptr_nonnull(retry_after);
	wire_assert_header(response, "X-Response-Stamp", NULL);
	g_free(retry_after);
	g_free(response);
	gateway_exchange_close(&exchange);
}
END_TEST

/* Statuses that mean to a client that its request was not executed. */
static const char *const not_run_statuses[] = {
    "408 Late", "429 Busy", "503 Broken"};

/*
 * Guards against a duplicate by the client's retry: a server that may have
 * executed the request sends one of these statuses, and the gateway passes it
 * on.
 */
START_TEST(status_that_implies_not_executed_becomes_502)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);

	send_response(exchange.server_fd, not_run_statuses[_i], "id-1", "");
	ck_assert_uint_eq(wire_read_status(exchange.client_fd), 502);
	gateway_exchange_close(&exchange);
}
END_TEST

START_TEST(idempotent_request_is_retried_on_another_server)
{
	int client, servers[2], used;
	char *request;

	gateway_register_server("i-2", "plain", backend_port_2, "ready");
	g_usleep(100000);
	client = gateway_send_request("/read/a", "id-1");
	used = wire_wait_connection(backend_listener_1, 300) ? 0 : 1;
	servers[0] =
	    wire_accept(used == 0 ? backend_listener_1 : backend_listener_2);
	request = wire_read_message(servers[0]);
	close(servers[0]);
	servers[1] =
	    wire_accept(used == 0 ? backend_listener_2 : backend_listener_1);
	g_free(request);
	request = wire_read_message(servers[1]);
	wire_assert_header(request, "X-Attempt-Id", "id-1");
	send_response(servers[1], "200 OK", "id-1", "ok");
	ck_assert_uint_eq(wire_read_status(client), 200);
	g_free(request);
	close(client);
	close(servers[1]);
}
END_TEST

/*
 * Guards against a late response to an earlier request that is forwarded to the
 * client of the present one.
 */
START_TEST(response_with_another_attempt_id_is_skipped)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);
	char *response;

	send_response(exchange.server_fd, "200 OK", "id-0", "other");
	send_response(exchange.server_fd, "200 OK", "id-1", "mine");
	response = wire_read_message(exchange.client_fd);
	ck_assert(g_str_has_suffix(response, "\r\n\r\nmine"));
	g_free(response);
	gateway_exchange_close(&exchange);
}
END_TEST

/*
 * Guards against bytes after the end of a response that are read as the start
 * of the next response on the connection.
 */
START_TEST(connection_with_trailing_bytes_is_not_reused)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/read/a", backend_listener_1);

	wire_send(exchange.server_fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
	    "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
	ck_assert_uint_eq(wire_read_status(exchange.client_fd), 200);
	ck_assert(wire_wait_closed(exchange.server_fd, 1000));
	gateway_exchange_close(&exchange);
}
END_TEST

/*
 * Guards against a server that goes on working on a request whose client has
 * disconnected.
 */
START_TEST(client_disconnect_closes_the_server_connection)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/write/a", backend_listener_2);

	close(exchange.client_fd);
	exchange.client_fd = -1;
	ck_assert(wire_wait_closed(exchange.server_fd, 500));
	gateway_exchange_close(&exchange);
}
END_TEST

START_TEST(unknown_api_keys_and_routes_are_refused)
{
	char *text = gateway_format_request("/read/a", "id-1", "key-3");
	int client = wire_connect(gateway_node->address);

	wire_send(client, text);
	ck_assert_uint_eq(wire_read_status(client), 401);
	g_free(text);
	text = gateway_format_request("/none/a", "id-2", "key-1");
	wire_send(client, text);
	ck_assert_uint_eq(wire_read_status(client), 404);
	g_free(text);
	close(client);
}
END_TEST

/* Guards against an API key that is still accepted after its withdrawal. */
START_TEST(withdrawn_api_key_is_refused)
{
	int client;

	gateway_configure(2, "[\"key-2\"]");
	g_usleep(300000);
	client = gateway_send_request("/read/a", "id-1");
	ck_assert_uint_eq(wire_read_status(client), 401);
	close(client);
}
END_TEST

/* Guards against an older configuration that replaces a newer one. */
START_TEST(older_configuration_is_ignored)
{
	int client;

	gateway_configure(5, "[\"key-2\"]");
	gateway_configure(4, "[\"key-1\"]");
	g_usleep(300000);
	client = gateway_send_request("/read/a", "id-1");
	ck_assert_uint_eq(wire_read_status(client), 401);
	close(client);
}
END_TEST

/*
 * Guards against the use of an API key that was withdrawn while this node could
 * not reach the store: after revoke_ms without the store it refuses all keys,
 * and it serves again once the store is back.
 */
START_TEST(api_keys_are_refused_while_store_is_unavailable)
{
	int client;

	faults_set(platform_standin, "{\"down\": true}");
	g_usleep(2100000);
	client = gateway_send_request("/read/a", "id-1");
	ck_assert_uint_eq(wire_read_status(client), 503);
	close(client);
	faults_set(platform_standin, "{\"down\": false}");
	g_usleep(1000000);
	client = gateway_send_request("/book/a", "id-2");
	close(wire_accept(backend_listener_1));
	close(client);
}
END_TEST

/* Guards against refusals of requests that no withdrawn API key can affect. */
START_TEST(public_requests_are_served_while_store_is_unavailable)
{
	static const char request[] =
	    "POST /open/a HTTP/1.1\r\n"
	    "Host: t.example\r\nX-Attempt-Id: id-1\r\n"
	    "X-Deadline-Ms: 3000\r\n"
	    "Content-Length: 0\r\n\r\n";
	int client, server;

	faults_set(platform_standin, "{\"down\": true}");
	g_usleep(2100000);
	client = wire_connect(gateway_node->address);
	wire_send(client, request);
	server = wire_accept(backend_listener_1);
	g_free(wire_read_message(server));
	send_response(server, "200 OK", "id-1", "ok");
	ck_assert_uint_eq(wire_read_status(client), 200);
	close(server);
	close(client);
	/* A route that may have been added since. */
	client = gateway_send_request("/unknown/a", "id-1");
	ck_assert_uint_eq(wire_read_status(client), 503);
	close(client);
	/* A key that may count by now, and be withdrawn. */
	client = gateway_send_request("/open/a", "id-1");
	ck_assert_uint_eq(wire_read_status(client), 503);
	close(client);
}
END_TEST

/*
 * Guards against refusals just after the start, when the configuration has not
 * been read yet.
 */
START_TEST(request_during_startup_waits_for_configuration)
{
	int client, server;
	char *request;

	faults_set(platform_standin, "{\"down\": true}");
	gateway_node = gateway_launch("n2");
	client = gateway_send_request("/read/a", "id-1");
	g_usleep(100000);
	faults_set(platform_standin, "{\"down\": false}");
	server = wire_accept(backend_listener_1);
	request = wire_read_message(server);
	send_response(server, "200 OK", "id-1", "ok");
	ck_assert_uint_eq(wire_read_status(client), 200);
	g_free(request);
	close(client);
	close(server);
}
END_TEST

/*
 * Guards against refusals while the configuration has been read, but the first
 * watch has not confirmed it yet.
 */
START_TEST(request_during_startup_waits_for_confirmation)
{
	int client;

	faults_set(platform_standin, "{\"watch_down\": true}");
	gateway_node = gateway_launch("n2");
	client = gateway_send_request("/read/a", "id-1");
	/* wire_wait_connection() waits for data too. */
	ck_assert(!wire_wait_connection(client, 150));
	close(client);
}
END_TEST

/* Guards against requests to a server whose entry says "draining". */
START_TEST(draining_server_gets_no_new_request)
{
	int client;

	gateway_register_server("i-1", "plain", backend_port_1, "draining");
	g_usleep(300000);
	client = gateway_send_request("/read/a", "id-1");
	ck_assert_uint_eq(wire_read_status(client), 503);
	ck_assert(!wire_wait_connection(backend_listener_1, 100));
	close(client);
}
END_TEST

START_TEST(requests_over_size_or_time_limits_are_refused)
{
	int client = wire_connect(gateway_node->address);
	char *body = g_strnfill(3000, 'x');
	char *text = g_strdup_printf("POST /read/a HTTP/1.1\r\n"
				     "Host: t.example\r\nX-Attempt-Id: i\r\n"
				     "Content-Length: 3000\r\n\r\n%s",
	    body);

	wire_send(client, text);
	ck_assert_uint_eq(wire_read_status(client), 413);
	close(client);
	client = wire_connect(gateway_node->address);
	wire_send(client, "GET /read/a HTTP/1.1\r\nHost: t.exa");
	ck_assert_uint_eq(wire_read_status(client), 408);
	close(client);
	client = wire_connect(gateway_node->address);
	wire_send(client, "POST /read/a HTTP/1.1\r\nHost: t.example\r\n"
			  "Content-Length: 3\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	ck_assert_uint_eq(wire_read_status(client), 400);
	close(client);
	g_free(text);
	g_free(body);
}
END_TEST

static char *
read_address_list(void)
{
	program_t to = {
	    .address = (char *)gateway_directory_address(gateway_node)};
	test_request_t ask = {
	    .target = &to, .path = "/v1/resolve?name=t.example&zone=z"};
	test_response_t *response = test_request_send(&ask);
	char *text = g_strdup(response->body->str);

	test_response_free(response);
	return text;
}

/*
 * Guards against a directory that names no host while hosts serve, that names
 * one which stops, or a host that may be the only one without the store.
 */
START_TEST(directory_names_serving_hosts_while_store_is_unavailable)
{
	program_t *second = gateway_start("n2"), *third = gateway_start("n3");
	char *list;

	g_usleep(700000);
	faults_set(platform_standin, "{\"down\": true}");
	g_usleep(2100000);
	kill(third->pid, SIGTERM);
	g_usleep(300000);
	list = read_address_list();
	ck_assert_ptr_nonnull(strstr(list, gateway_node->address));
	ck_assert_ptr_nonnull(strstr(list, second->address));
	ck_assert_ptr_null(strstr(list, third->address));
	g_free(list);
	program_end(second, SIGKILL);
	program_end(third, SIGKILL);
	g_usleep(1300000);
	list = read_address_list();
	ck_assert_str_eq(list, "");
	g_free(list);
}
END_TEST

/*
 * Guards against a planned stop that cuts a request in progress, or that sends
 * clients to a node that is about to end.
 */
START_TEST(graceful_shutdown_delists_node_and_finishes_requests)
{
	program_t *second_gateway = gateway_start("n2");
	int client, server;
	char *request, *list;

	g_usleep(500000);
	list = read_address_list();
	ck_assert_ptr_nonnull(strstr(list, second_gateway->address));
	g_free(list);
	client = gateway_send_request("/book/a", "id-1");
	server = wire_accept(backend_listener_1);
	request = wire_read_message(server);
	kill(gateway_node->pid, SIGTERM);
	g_usleep(300000);
	list = read_address_list();
	ck_assert_ptr_null(strstr(list, gateway_node->address));
	g_free(list);
	g_usleep(1700000);
	send_response(server, "200 OK", "id-1", "done");
	ck_assert_uint_eq(wire_read_status(client), 200);
	ck_assert_int_eq(program_wait(gateway_node), 0);
	g_free(request);
	close(client);
	close(server);
}
END_TEST

static json_t *
read_recorded_calls(const char *path)
{
	test_response_t *response =
	    test_request_json(platform_standin, "GET", "/calls", NULL, 200);
	json_t *matching = json_array();
	json_t *call;
	size_t i;

	json_array_foreach (response->json, i, call)
		if (strcmp(json_string_value(json_object_get(call, "path")),
			path) == 0)
			json_array_append(matching, call);
	test_response_free(response);
	return matching;
}

/*
 * Guards against a second report of a usage window, which might differ from the
 * first, and against a request that is counted twice or not at all.
 */
START_TEST(usage_is_reported_once_per_window)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/read/a", backend_listener_1);
	GHashTable *reported_windows = g_hash_table_new(NULL, NULL);
	json_t *calls, *call, *count;
	int64_t total = 0;
	size_t i;

	send_response(exchange.server_fd, "200 OK", "id-1", "ok");
	ck_assert_uint_eq(wire_read_status(exchange.client_fd), 200);
	g_usleep(4500000);
	calls = read_recorded_calls("/usage");
	ck_assert_uint_ge(json_array_size(calls), 2);
	json_array_foreach (calls, i, call) {
		json_t *body = json_object_get(call, "body");
		int64_t window =
		    json_integer_value(json_object_get(body, "window_id"));

		ck_assert(g_hash_table_add(
		    reported_windows, GINT_TO_POINTER(window)));
		count =
		    json_object_get(json_object_get(body, "counts"), "depot");
		total += json_integer_value(count);
	}
	ck_assert_int_eq(total, 1);
	json_decref(calls);
	g_hash_table_unref(reported_windows);
	gateway_exchange_close(&exchange);
}
END_TEST

/* Checks that repeated reports of a window are equal. */
static void
assert_same_report_per_window(const json_t *calls)
{
	const json_t *report_a, *report_b;
	size_t i, j;

	json_array_foreach (calls, i, report_a) {
		json_array_foreach (calls, j, report_b) {
			json_t *a = json_object_get(report_a, "body");
			json_t *b = json_object_get(report_b, "body");

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

/*
 * Guards against singleton duties that nobody performs after their holder was
 * killed, and against a new holder whose reports contradict earlier ones.
 */
START_TEST(duties_fail_over_after_their_holder_is_killed)
{
	program_t *second_gateway = gateway_start("n2");
	json_t *calls_before, *calls_after;

	g_usleep(4000000);
	calls_before = read_recorded_calls("/usage");
	ck_assert_uint_ge(json_array_size(calls_before), 1);
	program_end(strcmp(last_holder(calls_before), "n1") == 0
			? gateway_node
			: second_gateway,
	    SIGKILL);
	g_usleep(7000000);
	calls_after = read_recorded_calls("/usage");
	ck_assert_str_ne(last_holder(calls_after), last_holder(calls_before));
	ck_assert_int_gt(last_token(calls_after), last_token(calls_before));
	assert_same_report_per_window(calls_after);
	json_decref(calls_before);
	json_decref(calls_after);
}
END_TEST

/* Checks that no holder acts after one with a higher token has acted. */
static void
assert_tokens_do_not_decrease(const json_t *calls)
{
	int64_t highest = 0;
	json_t *call;
	size_t i;

	json_array_foreach (calls, i, call) {
		int64_t token =
		    json_integer_value(json_object_get(call, "token"));

		ck_assert_int_ge(token, highest);
		highest = token;
	}
}

/*
 * Guards against a holder that was paused for longer than its lease and acts
 * when it wakes, after another node has taken over its duties.
 */
START_TEST(paused_holder_does_not_act_when_it_wakes)
{
	program_t *second_gateway = gateway_start("n2"), *paused;
	json_t *calls_before, *calls_after;

	g_usleep(4000000);
	calls_before = read_recorded_calls("/usage");
	ck_assert_uint_ge(json_array_size(calls_before), 1);
	paused = strcmp(last_holder(calls_before), "n1") == 0 ? gateway_node
							      : second_gateway;
	kill(paused->pid, SIGSTOP);
	g_usleep(6000000);
	kill(paused->pid, SIGCONT);
	g_usleep(3000000);
	calls_after = read_recorded_calls("/usage");
	ck_assert_str_ne(last_holder(calls_after), last_holder(calls_before));
	assert_tokens_do_not_decrease(calls_after);
	assert_same_report_per_window(calls_after);
	json_decref(calls_before);
	json_decref(calls_after);
}
END_TEST

/*
 * Guards against a quota that is refunded for a request at which a server may
 * be at work.
 */
START_TEST(request_that_times_out_at_a_server_stays_charged)
{
	gateway_exchange_t exchange;

	gateway_configure_rate(2, slow_rate_per_s);
	g_usleep(REFILL_US);
	exchange = gateway_exchange_open("/book/a", backend_listener_1);
	ck_assert_uint_eq(wire_read_status(exchange.client_fd), 504);
	ck_assert_uint_eq(gateway_booking_status(gateway_node, "key-1"), 429);
	gateway_exchange_close(&exchange);
}
END_TEST

static const char *const refusal_statuses[] = {
    "503 Unavailable", "429 Busy", "408 Late"};

/*
 * Guards against a booking that is made twice: its server has run it and
 * responds with a status that means "not run", and with a large body.
 */
START_TEST(large_error_of_a_server_is_no_refusal)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);
	char *page = g_strnfill(ERROR_PAGE_BYTES, 'x');

	send_response(exchange.server_fd, refusal_statuses[_i], "id-1", page);
	ck_assert_uint_eq(wire_read_status(exchange.client_fd), 502);
	g_free(page);
	gateway_exchange_close(&exchange);
}
END_TEST

/* Guards against a large error that is not tried at another server. */
START_TEST(large_error_of_a_server_is_retried_where_allowed)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/read/a", backend_listener_1);
	char *page = g_strnfill(ERROR_PAGE_BYTES, 'x');
	int server;

	gateway_register_server("i-2", "plain", backend_port_2, "ready");
	g_usleep(SETTLE_US);
	send_response(exchange.server_fd, "500 Error", "id-1", page);
	server = wire_accept(backend_listener_2);
	g_free(wire_read_message(server));
	send_response(server, "200 OK", "id-1", "good");
	ck_assert_uint_eq(wire_read_status(exchange.client_fd), 200);
	close(server);
	g_free(page);
	gateway_exchange_close(&exchange);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("gateway");
	TCase *cases = tcase_create("gateway");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(cases, request_and_response_are_forwarded);
	tcase_add_test(cases, response_without_length_is_framed_for_the_client);
	tcase_add_test(cases, possibly_executed_booking_is_not_retried);
	tcase_add_test(cases, not_executed_request_is_refused_with_retry_after);
	tcase_add_loop_test(cases, status_that_implies_not_executed_becomes_502,
	    0, G_N_ELEMENTS(not_run_statuses));
	tcase_add_test(cases, idempotent_request_is_retried_on_another_server);
	tcase_add_test(cases, response_with_another_attempt_id_is_skipped);
	tcase_add_test(cases, connection_with_trailing_bytes_is_not_reused);
	tcase_add_test(cases, client_disconnect_closes_the_server_connection);
	tcase_add_test(cases, unknown_api_keys_and_routes_are_refused);
	tcase_add_test(cases, withdrawn_api_key_is_refused);
	tcase_add_test(cases, older_configuration_is_ignored);
	tcase_add_test(cases, api_keys_are_refused_while_store_is_unavailable);
	tcase_add_test(
	    cases, public_requests_are_served_while_store_is_unavailable);
	tcase_add_test(
	    cases, directory_names_serving_hosts_while_store_is_unavailable);
	tcase_add_test(cases, request_during_startup_waits_for_configuration);
	tcase_add_test(cases, request_during_startup_waits_for_confirmation);
	tcase_add_test(cases, draining_server_gets_no_new_request);
	tcase_add_test(cases, requests_over_size_or_time_limits_are_refused);
	tcase_add_test(
	    cases, graceful_shutdown_delists_node_and_finishes_requests);
	tcase_add_test(cases, usage_is_reported_once_per_window);
	tcase_add_test(cases, duties_fail_over_after_their_holder_is_killed);
	tcase_add_test(cases, paused_holder_does_not_act_when_it_wakes);
	tcase_add_loop_test(cases, large_error_of_a_server_is_no_refusal, 0,
	    G_N_ELEMENTS(refusal_statuses));
	tcase_add_test(cases, large_error_of_a_server_is_retried_where_allowed);
	tcase_add_test(cases, request_that_times_out_at_a_server_stays_charged);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
