#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <string.h>
#include <unistd.h>

/*
 * Requests of which one prompt segment crashes every engine that begins to
 * write on it. All other segments are those of sound requests.
 */

enum {
	US_PER_MS = 1000,
	ENGINES = 5,
	CRASHES = 5,
	CRASH_INTERVAL_MS = 450,
	/* For a change of the store to reach the gateway. */
	CHANGE_DELIVERY_MS = 600,
	NO_CONNECTION_MS = 300,
};

static int listeners[ENGINES];

static void
setup(void)
{
	gateway_fixture_setup();
	listeners[0] = backend_listener_2;
	for (int i = 1; i < ENGINES; i++) {
		char *id = g_strdup_printf("e-%d", i + 1);
		int port;

		listeners[i] = wire_listen(&port);
		gateway_register_server(id, "engine", port, "ready");
		g_free(id);
	}
	g_usleep(CHANGE_DELIVERY_MS * US_PER_MS);
}

static void
teardown(void)
{
	for (int i = 1; i < ENGINES; i++)
		close(listeners[i]);
	gateway_fixture_teardown();
}

/* Sends a stream request; the last segment is the request's own. */
static int
send_prompt(const char *segments, int number)
{
	char *text = g_strdup_printf(
	    "POST /write/a HTTP/1.1\r\nHost: t.example\r\n"
	    "X-Attempt-Id: id-%d\r\nX-Deadline-Ms: 3000\r\n"
	    "X-Token-Counts: 30,10\r\nX-Prompt-Prefix: %s,%x:10\r\n"
	    "Authorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody",
	    number, segments, 0x1000 + number);
	int client = wire_connect(gateway_node->address);

	wire_send(client, text);
	g_free(text);
	return client;
}

/* Accepts the gateway's connection at any engine; -1 if there is none. */
static int
accept_any(int timeout_ms)
{
	for (int waited_ms = 0; waited_ms <= timeout_ms; waited_ms += ENGINES)
		for (int i = 0; i < ENGINES; i++)
			if (wire_wait_connection(listeners[i], 1))
				return wire_accept(listeners[i]);
	return -1;
}

/* Sends a prompt whose engine closes its connections: it has crashed. */
static void
crash_an_engine(const char *segments, int number)
{
	int client = send_prompt(segments, number);
	int server = accept_any(WIRE_TIMEOUT_MS);

	ck_assert_int_ge(server, 0);
	g_free(wire_read_message(server));
	close(server);
	g_free(wire_read_message(client));
	close(client);
}

/* Sends a prompt that an engine answers. */
static void
serve_prompt(const char *segments, int number)
{
	int client = send_prompt(segments, number);
	int server = accept_any(WIRE_TIMEOUT_MS);
	char *request, *answer, *response;

	ck_assert_msg(server >= 0, "request %d is not sent", number);
	request = wire_read_message(server);
	answer = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-%d\r\nConnection: close\r\n"
	    "X-Response-Stamp: s\r\nContent-Length: 15\r\n\r\n"
	    "id: 1\ndata: a\n\n",
	    number);
	wire_send(server, answer);
	response = wire_read_until(client, "data: a");
	g_free(request);
	g_free(answer);
	g_free(response);
	close(client);
	close(server);
}

/*
 * Guards against requests with a segment that crashes engines which reach one
 * engine after the other, and against refusing sound prompts that have their
 * other segments.
 */
START_TEST(prompts_that_crash_engines_are_refused)
{
	int client, number = 1;
	char *response;

	for (int i = 0; i < CRASHES; i++) {
		crash_an_engine("aa:10,dead:10", number++);
		serve_prompt("aa:10,bb:10", number++);
		g_usleep(CRASH_INTERVAL_MS * US_PER_MS);
	}
	client = send_prompt("aa:10,dead:10", number++);
	ck_assert_int_eq(accept_any(NO_CONNECTION_MS), -1);
	response = wire_read_message(client);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 503"));
	g_free(response);
	close(client);
	serve_prompt("aa:10,bb:10", number);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("crashing_prompt");
	TCase *cases = tcase_create("crashing_prompt");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, prompts_that_crash_engines_are_refused);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
