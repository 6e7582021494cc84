#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <string.h>
#include <unistd.h>

/*
 * A backend server says in its responses that it is leaving. Its entry in
 * service discovery may say so later, or never.
 */

enum {
	US_PER_MS = 1000,
	/* For a change of the store to reach the gateway. */
	CHANGE_DELIVERY_MS = 600,
	NO_CONNECTION_MS = 300,
	/* Longer than the store may fail before it counts as unavailable. */
	LIMITED_MS = 1500,
	/* After a refusal the gateway pauses a server for less than this. */
	REFUSAL_PAUSE_MS = 300,
};

static void
respond_leaving(int server, const char *status_and_headers)
{
	char *text = g_strdup_printf(
	    "HTTP/1.1 %s\r\nX-Attempt-Id: id-1\r\nServer-Leaving: 1\r\n"
	    "Content-Length: 0\r\nConnection: close\r\n\r\n",
	    status_and_headers);

	wire_send(server, text);
	g_free(text);
}

/* The server's response to a request says that it is leaving. */
static void
announce_leaving(const char *status_and_headers, const char *expected_status)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);
	char *response;

	respond_leaving(exchange.server_fd, status_and_headers);
	response = wire_read_message(exchange.client_fd);
	ck_assert_msg(
	    g_str_has_prefix(response, expected_status), "%s", response);
	g_free(response);
	gateway_exchange_close(&exchange);
}

/* Sends a request and expects that it is refused without reaching a server. */
static void
assert_not_sent(void)
{
	int client = gateway_send_request("/book/a", "id-2");
	char *response;

	ck_assert(!wire_wait_connection(backend_listener_1, NO_CONNECTION_MS));
	response = wire_read_message(client);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 503"));
	g_free(response);
	close(client);
}

/*
 * Guards against requests at a leaving server whose entry still says that it is
 * ready.
 */
START_TEST(no_request_is_sent_to_a_server_that_said_it_leaves)
{
	announce_leaving("200 OK\r\nX-Response-Stamp: s", "HTTP/1.1 200");
	assert_not_sent();
}
END_TEST

/* Guards against reading the announcement in answers of success only. */
START_TEST(a_refusal_may_say_that_the_server_leaves)
{
	announce_leaving(
	    "503 Service Unavailable\r\nX-Not-Executed: 1", "HTTP/1.1 503");
	g_usleep(REFUSAL_PAUSE_MS * US_PER_MS);
	assert_not_sent();
}
END_TEST

/*
 * Guards against forgetting the announcement when the entry lapses, as in an
 * outage of the store, and is written again by the same server.
 */
START_TEST(a_leaving_server_whose_entry_returns_gets_no_request)
{
	announce_leaving("200 OK\r\nX-Response-Stamp: s", "HTTP/1.1 200");
	gateway_store_remove("servers/i-1");
	g_usleep(CHANGE_DELIVERY_MS * US_PER_MS);
	gateway_register_server("i-1", "plain", backend_port_1, "ready");
	g_usleep(CHANGE_DELIVERY_MS * US_PER_MS);
	assert_not_sent();
}
END_TEST

/* Guards against requests at a server that has asked for a pause. */
START_TEST(a_server_gets_no_request_in_the_pause_that_it_asks_for)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);
	char *retry_after;
	char *response;
	int client;

	wire_send(exchange.server_fd,
	    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: id-1\r\n"
	    "X-Not-Executed: 1\r\nRetry-After: 2.5\r\n"
	    "Content-Length: 0\r\nConnection: close\r\n\r\n");
	response = wire_read_message(exchange.client_fd);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 503"));
	g_free(response);
	gateway_exchange_close(&exchange);
	g_usleep(1000 * US_PER_MS);
	client = gateway_send_request("/book/a", "id-2");
	ck_assert(!wire_wait_connection(backend_listener_1, NO_CONNECTION_MS));
	response = wire_read_message(client);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 503"));
	retry_after = wire_header(response, "Retry-After");
	ck_assert_double_gt(g_ascii_strtod(retry_after, NULL), 1.0);
	ck_assert_double_le(g_ascii_strtod(retry_after, NULL), 1.5);
	g_free(retry_after);
	g_free(response);
	close(client);
	g_usleep(1500 * US_PER_MS);
	client = gateway_send_request("/book/a", "id-3");
	ck_assert(wire_wait_connection(backend_listener_1, NO_CONNECTION_MS));
	close(client);
}
END_TEST

/*
 * Guards against a server that has left and stays in use, as the store has
 * refused the gateway's calls for a while: it was up, and its removal is none
 * of an outage.
 */
START_TEST(a_server_that_left_in_a_rate_limit_is_not_kept)
{
	faults_set(platform_standin, "{\"watch_limited\": 1}");
	g_usleep(LIMITED_MS * US_PER_MS);
	gateway_store_remove("servers/i-1");
	faults_set(platform_standin, "{\"watch_limited\": 0}");
	g_usleep(CHANGE_DELIVERY_MS * US_PER_MS);
	assert_not_sent();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("leaving");
	TCase *cases = tcase_create("leaving");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(
	    cases, no_request_is_sent_to_a_server_that_said_it_leaves);
	tcase_add_test(cases, a_refusal_may_say_that_the_server_leaves);
	tcase_add_test(
	    cases, a_leaving_server_whose_entry_returns_gets_no_request);
	tcase_add_test(
	    cases, a_server_gets_no_request_in_the_pause_that_it_asks_for);
	tcase_add_test(cases, a_server_that_left_in_a_rate_limit_is_not_kept);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
