#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Two regions with an entry host and one backend server of each service in
 * each. Hosts prefer the servers of their own zone, so that without the rules
 * the requests, which all go to the host at home, would go to the server there.
 */

enum {
	US_PER_MS = 1000,
	MS_PER_S = 1000,
	/* For a change of the store to reach a node; its watch is at once. */
	CHANGE_MS = 300,
	/* A retry follows a failure at once. */
	NO_RETRY_MS = 500,
	/* For nodes to exchange digests, one each 200 ms. */
	DIGESTS_MS = 700,
	/* After which the directory must not name a host that is down. */
	DOWN_MS = 7000,
};

static const char zones[] = "{\"z\": \"home\", \"y\": \"abroad\"}";

static program_t *node_abroad;
static int plain_home, plain_abroad, engine_home, engine_abroad;
static int engine_home_port;

static int
start_server(const char *id, const char *service, const char *zone, int *port)
{
	int listener = wire_listen(port);

	gateway_register_server_in_zone(id, service, *port, zone);
	return listener;
}

static void
setup(void)
{
	int port;

	gateway_setup();
	plain_home = start_server("i-1", "plain", "z", &port);
	plain_abroad = start_server("i-2", "plain", "y", &port);
	engine_home = start_server("e-1", "engine", "z", &engine_home_port);
	engine_abroad = start_server("e-2", "engine", "y", &port);
	gateway_node = gateway_start_in_zone("n1", "z", zones);
	node_abroad = gateway_start_in_zone("n2", "y", zones);
}

static void
teardown(void)
{
	gateway_teardown();
	close(plain_home);
	close(plain_abroad);
	close(engine_home);
	close(engine_abroad);
}

static void
configure(int version, const char *path_prefix, const char *regions_json)
{
	gateway_configure_regions(version, path_prefix, regions_json);
	g_usleep(CHANGE_MS * US_PER_MS);
}

/* Fails the request at its server without a response. */
static void
break_off(gateway_exchange_t *exchange)
{
	close(exchange->server_fd);
	exchange->server_fd = -1;
}

/* Guards against requests outside the regions of the route or workspace. */
START_TEST(a_request_goes_to_an_allowed_region)
{
	static const char *const paths[] = {"/book/", NULL};

	for (int i = 0; i < 2; i++) {
		gateway_exchange_t exchange;

		configure(2 + i, paths[i], "[\"abroad\"]");
		exchange = gateway_exchange_open("/book/a", plain_abroad);
		ck_assert(!wire_wait_connection(plain_home, 0));
		gateway_exchange_close(&exchange);
	}
}
END_TEST

/* Guards against a retry that ignores the region of the next server. */
START_TEST(a_retry_stays_in_the_allowed_region)
{
	gateway_exchange_t exchange;

	configure(2, "/read/", "[\"home\"]");
	exchange = gateway_exchange_open("/read/a", plain_home);
	break_off(&exchange);
	ck_assert_uint_eq(wire_read_status(exchange.client_fd), 502);
	ck_assert(!wire_wait_connection(plain_abroad, NO_RETRY_MS));
	gateway_exchange_close(&exchange);
}
END_TEST

/* Guards against a resumed stream that ignores the region. */
START_TEST(a_stream_is_resumed_in_the_allowed_region)
{
	gateway_exchange_t exchange;
	bool reset;

	configure(2, "/talk/", "[\"home\"]");
	exchange = gateway_exchange_open("/talk/a", engine_home);
	wire_send(exchange.server_fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
	    "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
	g_free(wire_read_until(exchange.client_fd, "data: a\n\n"));
	break_off(&exchange);
	g_free(wire_read_until_closed(exchange.client_fd, &reset));
	ck_assert(!wire_wait_connection(engine_abroad, NO_RETRY_MS));
	gateway_exchange_close(&exchange);
}
END_TEST

/* Starts a stream that cannot be resumed at the engine at home, which leaves.
 */
static gateway_exchange_t
start_leaving_stream(void)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/write/a", engine_home);

	wire_send(exchange.server_fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
	    "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
	gateway_register_server("e-1", "engine", engine_home_port, "draining");
	return exchange;
}

/* Guards against a stream that is moved to a region that is not allowed. */
START_TEST(a_stream_is_not_moved_to_another_region)
{
	gateway_exchange_t exchange;

	configure(2, "/write/", "[\"home\"]");
	exchange = start_leaving_stream();
	/* The order to copy comes a second before the engine leaves, in 2 s. */
	ck_assert(!wire_wait_connection(engine_home, 2 * MS_PER_S));
	ck_assert(!wire_wait_connection(engine_abroad, 0));
	gateway_exchange_close(&exchange);
}
END_TEST

/* Guards against the same where the rule changes while the copy is made. */
START_TEST(a_move_follows_the_current_rule)
{
	gateway_exchange_t exchange = start_leaving_stream();
	int copy = wire_accept(engine_home);
	bool reset;

	g_free(wire_read_message(copy));
	configure(2, "/write/", "[\"home\"]");
	break_off(&exchange);
	wire_send(copy, "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n"
			"{\"handle\": 7,\"created\": 2}");
	g_free(wire_read_until_closed(exchange.client_fd, &reset));
	ck_assert(!wire_wait_connection(engine_abroad, NO_RETRY_MS));
	close(copy);
	gateway_exchange_close(&exchange);
}
END_TEST

/*
 * Guards against a retry by the rule under which the request was accepted: the
 * rule becomes narrower, or wider, while the first attempt runs.
 */
START_TEST(a_retry_follows_the_current_rule)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/read/a", plain_home);

	configure(2, "/read/", "[\"home\"]");
	break_off(&exchange);
	ck_assert_uint_eq(wire_read_status(exchange.client_fd), 502);
	ck_assert(!wire_wait_connection(plain_abroad, NO_RETRY_MS));
	gateway_exchange_close(&exchange);

	exchange = gateway_exchange_open("/read/a", plain_home);
	configure(3, "/read/", "[\"home\", \"abroad\"]");
	break_off(&exchange);
	exchange.server_fd = wire_accept(plain_abroad);
	g_free(wire_read_message(exchange.server_fd));
	gateway_exchange_close(&exchange);
}
END_TEST

/* Guards against requests that wait, or whose refusal cannot be explained. */
START_TEST(without_a_server_in_an_allowed_region_it_is_refused_at_once)
{
	int client;
	char *response, *retry_after;

	configure(2, "/book/", "[\"far\"]");
	client = gateway_send_request("/book/a", "id-1");
	response = wire_read_message(client);
	ck_assert_ptr_nonnull(strstr(response, "HTTP/1.1 503"));
	retry_after = wire_header(response, "Retry-After");
	ck_assert_str_eq(retry_after, "1.000");
	ck_assert_double_eq(
	    gateway_metric(gateway_node,
		"requests_total{service=\"plain\",status=\"503\","
		"cause=\"no_server_in_region\"}"),
	    1);
	ck_assert(!wire_wait_connection(plain_home, 0));
	ck_assert(!wire_wait_connection(plain_abroad, 0));
	g_free(retry_after);
	g_free(response);
	close(client);
}
END_TEST

/* The directory's answer of a node to a caller in the region. */
static json_t *
ask_directory(const program_t *node, const char *region)
{
	program_t to = {.address = (char *)gateway_directory_address(node)};
	char *path = g_strdup_printf(
	    "/v1/resolve?name=t.example&region=%s&zone=x", region);
	test_request_t ask = {.target = &to, .path = path};
	test_response_t *response = test_request_send(&ask);
	json_t *addresses =
	    json_incref(json_object_get(response->json, "addresses"));

	ck_assert_int_eq(response->status, 200);
	ck_assert(json_is_array(addresses));
	test_response_free(response);
	g_free(path);
	return addresses;
}

/* Checks which of the two nodes are named, by both directories. */
static void
expect_named(const char *region, bool home, bool abroad)
{
	const program_t *nodes[] = {gateway_node, node_abroad};

	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++) {
		json_t *addresses = ask_directory(nodes[i], region);
		char *text = json_dumps(addresses, 0);

		ck_assert_msg(
		    (strstr(text, gateway_node->address) != NULL) == home &&
			(strstr(text, node_abroad->address) != NULL) == abroad,
		    "caller in %s, node %zu: %s", region, i, text);
		free(text);
		json_decref(addresses);
	}
}

/* Guards against callers that are sent to hosts of another region. */
START_TEST(the_directory_names_hosts_of_allowed_regions)
{
	g_usleep(DIGESTS_MS * US_PER_MS);
	expect_named("far", true, true);
	configure(2, "/read/", "[\"abroad\"]");
	expect_named("far", false, true);
	expect_named("abroad", false, true);
	expect_named("home", true, true);
	configure(3, "/read/", "[\"far\"]");
	expect_named("home", true, false);
	expect_named("far", false, false);
}
END_TEST

/* Guards against naming the last host of a region long after its death. */
START_TEST(the_directory_forgets_hosts_that_are_down)
{
	g_usleep(DIGESTS_MS * US_PER_MS);
	configure(2, "/read/", "[\"abroad\"]");
	expect_named("far", false, true);
	program_end(node_abroad, SIGKILL);
	g_usleep(DOWN_MS * US_PER_MS);
	for (int i = 0; i < 2; i++) {
		const char *regions[] = {"far", "home"};
		json_t *addresses = ask_directory(gateway_node, regions[i]);

		ck_assert_uint_eq(json_array_size(addresses), (size_t)i);
		json_decref(addresses);
	}
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("regions");
	TCase *cases = tcase_create("regions");

	tcase_set_timeout(cases, 30);
	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, a_request_goes_to_an_allowed_region);
	tcase_add_test(cases, a_retry_stays_in_the_allowed_region);
	tcase_add_test(cases, a_stream_is_resumed_in_the_allowed_region);
	tcase_add_test(cases, a_retry_follows_the_current_rule);
	tcase_add_test(cases, a_stream_is_not_moved_to_another_region);
	tcase_add_test(cases, a_move_follows_the_current_rule);
	tcase_add_test(
	    cases, without_a_server_in_an_allowed_region_it_is_refused_at_once);
	tcase_add_test(cases, the_directory_names_hosts_of_allowed_regions);
	tcase_add_test(cases, the_directory_forgets_hosts_that_are_down);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
