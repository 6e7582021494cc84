#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * A planned stop under load. Clients keep an address list for up to three
 * times its TTL, so that new connections come while the node drains.
 */

enum {
	US_PER_MS = 1000,
	/* Three times the TTL of an address list, less a margin. */
	STALE_CLIENTS_MS = 4500,
	REQUEST_INTERVAL_MS = 20,
	GRACE_MS = 6000,
	/* Requests are taken for so long after SIGTERM. Their route allows 4 s:
	 * the server of a late one is at work at the end of the grace period.
	 */
	LATE_MS = 1750,
	/* Around the end of the grace period, less its margin. */
	PAUSE_START_MS = 5300,
	PAUSE_END_MS = 5700,
	/* A client that reads for longer than an idle node takes to stop. */
	SLOW_BYTES = 1500 * 1000,
	SLOW_READ_BYTES = 8192,
};

static gint64
elapsed_ms(gint64 since_us)
{
	return (g_get_monotonic_time() - since_us) / US_PER_MS;
}

/* Sends a booking on a new connection; returns whether it is answered. */
static bool
is_answered(void)
{
	int fd = gateway_send_request("/book/a", "id-1");
	bool reset;
	char *response = wire_read_until_closed(fd, &reset);
	bool answered = g_str_has_prefix(response, "HTTP/1.1 503");

	g_free(response);
	close(fd);
	return answered;
}

/*
 * Guards against requests on connections that are accepted late in a planned
 * stop and closed, with the process, without an answer.
 */
START_TEST(requests_sent_during_a_planned_stop_are_answered)
{
	gint64 start_us = g_get_monotonic_time();

	gateway_store_remove("servers/i-1");
	g_usleep(500 * US_PER_MS);
	kill(gateway_node->pid, SIGTERM);
	while (elapsed_ms(start_us) < STALE_CLIENTS_MS) {
		ck_assert_msg(is_answered(), "no answer %d ms after SIGTERM",
		    (int)elapsed_ms(start_us) - 500);
		g_usleep(REQUEST_INTERVAL_MS * US_PER_MS);
	}
	ck_assert_int_eq(program_wait(gateway_node), 0);
	ck_assert_int_lt(elapsed_ms(start_us), GRACE_MS + 500);
}
END_TEST

/* Guards against cutting a request whose body still arrives. */
START_TEST(body_that_arrives_during_a_planned_stop_is_read)
{
	char *request = gateway_format_request("/book/a", "id-1", "key-1");
	char *middle = request + strlen(request) - strlen("dy");
	char *start = g_strndup(request, (gsize)(middle - request));
	int fd = wire_connect(gateway_node->address);
	char *response;

	gateway_store_remove("servers/i-1");
	g_usleep(500 * US_PER_MS);
	wire_send(fd, start);
	kill(gateway_node->pid, SIGTERM);
	g_usleep(3500 * US_PER_MS);
	wire_send(fd, middle);
	response = wire_read_message(fd);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 503"));
	ck_assert_int_eq(program_wait(gateway_node), 0);
	g_free(response);
	g_free(request);
	g_free(start);
	close(fd);
}
END_TEST

/*
 * Guards against a request that is cut without an answer at the end of the
 * grace period, as its server is still at work.
 */
START_TEST(request_in_flight_at_the_end_of_the_grace_period_is_answered)
{
	char *request = gateway_format_request("/book/a", "id-1", "key-1");
	char **parts = g_strsplit(request, "3000", 2);
	int fd = wire_connect(gateway_node->address), server;
	char *response;

	kill(gateway_node->pid, SIGTERM);
	g_usleep(LATE_MS * US_PER_MS);
	g_free(request);
	request = g_strjoinv("9000", parts);
	wire_send(fd, request);
	server = wire_accept(backend_listener_1);
	g_free(wire_read_message(server));
	response = wire_read_message(fd);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 504"));
	ck_assert_int_eq(program_wait(gateway_node), 0);
	g_free(response);
	g_free(request);
	g_strfreev(parts);
	close(fd);
	close(server);
}
END_TEST

/*
 * Guards against a 504 at the end of the grace period for a request whose
 * answer has come in a pause of the process.
 */
START_TEST(answer_unread_at_the_end_of_the_grace_period_is_passed_on)
{
	char *request = gateway_format_request("/book/a", "id-1", "key-1");
	char **parts = g_strsplit(request, "3000", 2);
	int fd = wire_connect(gateway_node->address), server;
	gint64 start_us = g_get_monotonic_time();
	char *response;

	kill(gateway_node->pid, SIGTERM);
	g_usleep(LATE_MS * US_PER_MS);
	g_free(request);
	request = g_strjoinv("9000", parts);
	wire_send(fd, request);
	server = wire_accept(backend_listener_1);
	g_free(wire_read_message(server));
	g_usleep((PAUSE_START_MS - LATE_MS) * US_PER_MS);
	kill(gateway_node->pid, SIGSTOP);
	wire_send(server, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
			  "Content-Length: 5\r\n\r\nwhole");
	while (elapsed_ms(start_us) < PAUSE_END_MS)
		g_usleep(US_PER_MS);
	kill(gateway_node->pid, SIGCONT);
	response = wire_read_message(fd);
	ck_assert_msg(
	    g_str_has_suffix(response, "whole"), "got: %.40s", response);
	ck_assert_int_eq(program_wait(gateway_node), 0);
	g_free(response);
	g_free(request);
	g_strfreev(parts);
	close(fd);
	close(server);
}
END_TEST

/*
 * Guards against the end of the process that discards the rest of a response,
 * as a request that came after it lies unread.
 */
START_TEST(planned_stop_waits_for_a_slow_client)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);
	char *body = g_strnfill(SLOW_BYTES, 'x');
	char bytes[SLOW_READ_BYTES];
	size_t sum = 0;
	ssize_t length;

	kill(gateway_node->pid, SIGTERM);
	g_usleep(REQUEST_INTERVAL_MS * US_PER_MS);
	wire_send(exchange.server_fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
	    "Content-Length: 1500000\r\n\r\n");
	wire_send(exchange.server_fd, body);
	g_usleep(10 * REQUEST_INTERVAL_MS * US_PER_MS);
	wire_send(exchange.client_fd, "GET / HTTP/1.1\r\n\r\n");
	while (
	    (length = recv(exchange.client_fd, bytes, sizeof(bytes), 0)) > 0) {
		sum += (size_t)length;
		g_usleep(REQUEST_INTERVAL_MS * US_PER_MS);
	}
	ck_assert_uint_ge(sum, SLOW_BYTES);
	gateway_exchange_close(&exchange);
	ck_assert_int_eq(program_wait(gateway_node), 0);
	g_free(body);
}
END_TEST

/*
 * Guards against a second SIGTERM, or a reload, that ends a planned stop and
 * cuts what is in flight.
 */
START_TEST(signals_during_a_planned_stop_do_not_end_it)
{
	static const int signals[] = {SIGTERM, SIGHUP, SIGINT, SIGTERM, SIGHUP};
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);
	char *response;

	kill(gateway_node->pid, SIGTERM);
	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
		g_usleep(REQUEST_INTERVAL_MS * US_PER_MS);
		kill(gateway_node->pid, signals[i]);
	}
	g_usleep(REQUEST_INTERVAL_MS * US_PER_MS);
	wire_send(exchange.server_fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
	    "Content-Length: 5\r\n\r\nwhole");
	response = wire_read_message(exchange.client_fd);
	ck_assert(g_str_has_suffix(response, "whole"));
	g_free(response);
	gateway_exchange_close(&exchange);
	ck_assert_int_eq(program_wait(gateway_node), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("planned_stop");
	TCase *cases = tcase_create("planned_stop");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(cases, requests_sent_during_a_planned_stop_are_answered);
	tcase_add_test(cases, body_that_arrives_during_a_planned_stop_is_read);
	tcase_add_test(cases,
	    request_in_flight_at_the_end_of_the_grace_period_is_answered);
	tcase_add_test(
	    cases, answer_unread_at_the_end_of_the_grace_period_is_passed_on);
	tcase_add_test(cases, planned_stop_waits_for_a_slow_client);
	tcase_add_test(cases, signals_during_a_planned_stop_do_not_end_it);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
