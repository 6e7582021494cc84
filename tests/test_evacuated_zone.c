#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <string.h>
#include <unistd.h>

/*
 * A gateway whose backend servers are all in availability zone "z", which the
 * operators evacuate, and whose servers may be cold.
 */

enum {
	US_PER_MS = 1000,
	/* For a change of the store to reach the gateway. */
	CHANGE_DELIVERY_MS = 600,
	NO_CONNECTION_MS = 300,
	COLD_PER_S = 3,
	COLD_START_MS = 3000,
	/* From ready until a node sends requests to cold servers. */
	SETTLED_MS = 1200,
	REQUESTS = 10,
};

static const char evacuation_key[] = "op/evacuate/z";
static const char other_evacuation_key[] = "op/evacuate/y";
static const char excluded_metric[] =
    "servers_excluded_total{service=\"plain\",reason=\"evacuated\"}";

static const char served[] =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Stamp: s\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";

static void
evacuate(void)
{
	gateway_store_put(evacuation_key, "{}");
	g_usleep(CHANGE_DELIVERY_MS * US_PER_MS);
}

static void
end_evacuation(void)
{
	gateway_store_remove(evacuation_key);
	g_usleep(CHANGE_DELIVERY_MS * US_PER_MS);
}

/* Sends a booking and answers it as the backend server. */
static void
assert_served(void)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);
	char *response;

	wire_send(exchange.server_fd, served);
	response = wire_read_message(exchange.client_fd);
	ck_assert_msg(
	    g_str_has_prefix(response, "HTTP/1.1 200"), "%s", response);
	g_free(response);
	gateway_exchange_close(&exchange);
}

/* Sends a booking that must be refused; returns its Retry-After in seconds. */
static double
assert_refused(void)
{
	int client = gateway_send_request("/book/a", "id-2");
	char *response, *retry_after;
	double retry_s;

	response = wire_read_message(client);
	ck_assert_msg(
	    g_str_has_prefix(response, "HTTP/1.1 503"), "%s", response);
	ck_assert(!wire_wait_connection(backend_listener_1, 0));
	retry_after = wire_header(response, "Retry-After");
	ck_assert_ptr_nonnull(retry_after);
	retry_s = g_ascii_strtod(retry_after, NULL);
	g_free(retry_after);
	g_free(response);
	close(client);
	return retry_s;
}

/* Guards against requests to an evacuated zone, and to one never again. */
START_TEST(requests_stop_and_come_back)
{
	assert_served();
	evacuate();
	ck_assert_double_gt(assert_refused(), 0);
	ck_assert_double_eq(gateway_metric(gateway_node, excluded_metric), 1);
	end_evacuation();
	assert_served();
}
END_TEST

/* Guards against a node that serves an evacuated zone after a restart. */
START_TEST(a_node_that_starts_follows_the_evacuation)
{
	program_t *second;
	unsigned status;

	evacuate();
	second = gateway_start("n2");
	status = gateway_booking_status(second, "key-1");
	ck_assert_uint_eq(status, 503);
	ck_assert(!wire_wait_connection(backend_listener_1, 0));
}
END_TEST

/*
 * Guards against a retry at another server of a zone that was evacuated while
 * the first attempt ran, and against cutting the request that runs there.
 */
START_TEST(a_retry_does_not_go_to_an_evacuated_zone)
{
	int port_3, server_3 = wire_listen(&port_3);
	gateway_exchange_t exchange =
	    gateway_exchange_open("/read/a", backend_listener_1);
	char *response;

	gateway_register_server("i-2", "plain", port_3, "ready");
	evacuate();
	ck_assert(!wire_wait_closed(exchange.server_fd, 0));
	close(exchange.server_fd);
	exchange.server_fd = -1;
	response = wire_read_message(exchange.client_fd);
	ck_assert_msg(
	    g_str_has_prefix(response, "HTTP/1.1 502"), "%s", response);
	ck_assert(!wire_wait_connection(server_3, NO_CONNECTION_MS));
	g_free(response);
	gateway_exchange_close(&exchange);
	close(server_3);
}
END_TEST

/* Guards against an evacuation that cuts the streams that run in the zone. */
START_TEST(a_stream_in_an_evacuated_zone_ends_by_itself)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/write/a", backend_listener_2);
	char *response;

	wire_send(exchange.server_fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Stamp: s1\r\n"
	    "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
	evacuate();
	wire_send(exchange.server_fd, "f\r\nid: 2\ndata: a\n\n\r\n0\r\n\r\n");
	response = wire_read_until(exchange.client_fd, "0\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(response, "id: 2\n"));
	g_free(response);
	gateway_exchange_close(&exchange);
}
END_TEST

static void
register_engine_in_other_zone(const char *id, int port)
{
	char *key = g_strconcat("servers/", id, NULL);
	char *text = g_strdup_printf(
	    "{\"service\": \"engine\", \"address\": \"127.0.0.1:%d\","
	    " \"zone\": \"y\", \"version\": \"v1\", \"slots\": 4,"
	    " \"state\": \"ready\"}",
	    port);

	gateway_store_put(key, text);
	g_free(text);
	g_free(key);
}

/*
 * Guards against a stream that is moved into a zone that was evacuated while
 * its engine copied the KV cache there. Another engine resumes it.
 */
START_TEST(a_moved_stream_does_not_go_to_an_evacuated_zone)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n";
	gateway_exchange_t exchange =
	    gateway_exchange_open("/talk/a", backend_listener_2);
	int port_y, listener_y = wire_listen(&port_y);
	int port_z, listener_z = wire_listen(&port_z);
	int migration, server;
	char *text;

	wire_send(exchange.server_fd, head);
	wire_send(exchange.server_fd, "f\r\nid: 1\ndata: a\n\n\r\n");
	register_engine_in_other_zone("e-2", port_y);
	gateway_register_server("e-1", "engine", backend_port_2, "draining");
	migration = wire_accept(backend_listener_2);
	g_free(wire_read_message(migration));
	gateway_register_server("e-3", "engine", port_z, "ready");
	gateway_store_put(other_evacuation_key, "{}");
	g_usleep(CHANGE_DELIVERY_MS * US_PER_MS);
	close(exchange.server_fd);
	exchange.server_fd = -1;
	wire_send(migration, "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n"
			     "{\"handle\": 7,\"created\": 2}");
	server = wire_accept(listener_z);
	text = wire_read_message(server);
	wire_assert_header(text, "Last-Event-Id", "1");
	wire_assert_header(text, "Kv-From", NULL);
	g_free(text);
	wire_send(server, head);
	wire_send(server, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
	text = wire_read_until(exchange.client_fd, "0\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(text, "id: 1\ndata: a\n\n"));
	ck_assert_ptr_nonnull(strstr(text, "id: 2\ndata: b\n\n"));
	g_free(text);
	ck_assert(!wire_wait_connection(listener_y, 0));
	gateway_exchange_close(&exchange);
	close(migration);
	close(server);
	close(listener_y);
	close(listener_z);
}
END_TEST

/* Writes a configuration with one route and a limit of cold servers. */
static void
configure_cold_limit(void)
{
	char *text = g_strdup_printf(
	    "{\"version\": 2, \"routes\": [{\"name\": \"r\","
	    " \"host\": \"t.example\", \"path_prefix\": \"/book/\","
	    " \"route_type\": \"non_idempotent\", \"timeout_ms\": 4000,"
	    " \"service\": \"plain\", \"max_attempts\": 1}],"
	    " \"services\": [{\"name\": \"plain\", \"cold_start_s\": %.1f,"
	    " \"cold_per_s\": %d}]}",
	    COLD_START_MS / 1000.0, COLD_PER_S);

	gateway_store_put("op/config", text);
	g_free(text);
}

/* Writes the server's entry with the time for which it is still cold. */
static void
register_cold_server(int cold_ms)
{
	char *text = g_strdup_printf(
	    "{\"service\": \"plain\", \"address\": \"127.0.0.1:%d\","
	    " \"zone\": \"z\", \"version\": \"v1\", \"slots\": 4,"
	    " \"state\": \"ready\", \"cold_remaining_ms\": %d}",
	    backend_port_1, cold_ms);

	gateway_store_put("servers/i-1", text);
	g_free(text);
}

/* Sends bookings at once; returns the number that reach the server. */
static unsigned
count_served(void)
{
	unsigned count = 0;
	int clients[REQUESTS];

	for (int i = 0; i < REQUESTS; i++)
		clients[i] = gateway_send_request("/book/a", "id-1");
	while (wire_wait_connection(backend_listener_1, NO_CONNECTION_MS)) {
		int server = wire_accept(backend_listener_1);

		g_free(wire_read_message(server));
		wire_send(server, served);
		close(server);
		count++;
	}
	for (int i = 0; i < REQUESTS; i++)
		close(clients[i]);
	return count;
}

/* Guards against more requests to a cold server than its limit. */
START_TEST(a_cold_server_gets_its_limit_only)
{
	configure_cold_limit();
	register_cold_server(COLD_START_MS);
	g_usleep(SETTLED_MS * US_PER_MS);
	ck_assert_uint_eq(count_served(), COLD_PER_S);
	ck_assert_double_le(assert_refused(), 1.1);
	/* The next entry says that it is warm. */
	register_cold_server(0);
	g_usleep(CHANGE_DELIVERY_MS * US_PER_MS);
	ck_assert_uint_eq(count_served(), REQUESTS);
}
END_TEST

/* Guards against a limit that each node applies alone. */
START_TEST(two_nodes_share_the_limit_of_a_cold_server)
{
	program_t *first = gateway_node;
	unsigned count;

	configure_cold_limit();
	gateway_node = gateway_start("n2");
	g_usleep(SETTLED_MS * US_PER_MS);
	register_cold_server(COLD_START_MS);
	g_usleep(CHANGE_DELIVERY_MS * US_PER_MS);
	count = count_served();
	gateway_node = first;
	ck_assert_uint_eq(count, COLD_PER_S / 2);
	ck_assert_uint_eq(count_served(), COLD_PER_S / 2);
}
END_TEST

/* Guards against ignoring that a server has become cold again. */
START_TEST(a_response_may_say_that_its_server_is_cold)
{
	gateway_exchange_t exchange;

	configure_cold_limit();
	g_usleep(SETTLED_MS * US_PER_MS);
	exchange = gateway_exchange_open("/book/a", backend_listener_1);
	wire_send(exchange.server_fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Stamp: s\r\n"
	    "X-Cold-Ms: 3000\r\nContent-Length: 0\r\n"
	    "Connection: close\r\n\r\n");
	g_free(wire_read_message(exchange.client_fd));
	gateway_exchange_close(&exchange);
	ck_assert_uint_eq(count_served(), COLD_PER_S - 1);
}
END_TEST

/*
 * Guards against the servers of a zone that is used again getting requests as
 * if they were warm.
 */
START_TEST(the_servers_are_cold_after_an_evacuation)
{
	configure_cold_limit();
	evacuate();
	g_usleep(SETTLED_MS * US_PER_MS);
	end_evacuation();
	ck_assert_uint_eq(count_served(), COLD_PER_S);
	g_usleep(COLD_START_MS * US_PER_MS);
	ck_assert_uint_eq(count_served(), REQUESTS);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("evacuated_zone");
	TCase *cases = tcase_create("evacuated_zone");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(cases, requests_stop_and_come_back);
	tcase_add_test(cases, a_node_that_starts_follows_the_evacuation);
	tcase_add_test(cases, a_retry_does_not_go_to_an_evacuated_zone);
	tcase_add_test(cases, a_stream_in_an_evacuated_zone_ends_by_itself);
	tcase_add_test(cases, a_moved_stream_does_not_go_to_an_evacuated_zone);
	tcase_add_test(cases, a_cold_server_gets_its_limit_only);
	tcase_add_test(cases, two_nodes_share_the_limit_of_a_cold_server);
	tcase_add_test(cases, a_response_may_say_that_its_server_is_cold);
	tcase_add_test(cases, the_servers_are_cold_after_an_evacuation);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
