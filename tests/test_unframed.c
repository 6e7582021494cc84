#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * Responses with neither a length nor chunks, which end with the server's
 * connection. The client must be able to tell one that was cut from a complete
 * one.
 */

#define HEAD                                                               \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Stamp: s\r\n" \
	"Connection: close\r\n\r\n"
#define EVENT "id: 1\ndata: a\n\n"

/* For the gateway to read the bytes before the connection ends. */
enum { READ_US = 50000 };

/* More than is buffered before a response is forwarded. */
enum { LARGE_BYTES = 100000 };

/* Clients that read nothing for some time. */
enum {
	SLOW_US = 1500000,
	STALLED_US = 6500000,
	SLOW_CLIENTS = 30,
	SLOW_STEP_BYTES = 200000,
};

/* Closes a server's connection with a reset. */
static void
reset_connection(int fd)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

static const struct ending {
	const char *what;
	const char *path;
	const char *bytes;
	bool server_resets;
	bool is_cut;
} endings[] = {
    {"complete stream", "/write/a", HEAD EVENT, false, false},
    {"ends inside an event", "/write/a", HEAD EVENT "id: 2\nda", false, true},
    {"ends before the end of an event", "/write/a", HEAD EVENT "id: 2\n", false,
	true},
    {"reset after an event", "/write/a", HEAD EVENT, true, true},
    {"reset inside an event", "/write/a", HEAD EVENT "id: 2\nda", true, true},
};

/* Pauses of the process after which a timer of the request is due. */
static const struct pause {
	const char *path;
	unsigned long length_us;
} pauses[] = {
    {"/read/a", 2200000}, /* of a silent server */
    {"/book/a", 3200000}, /* of the deadline */
};

/* Guards against a cut stream that looks complete to the client. */
START_TEST(a_cut_stream_without_framing_does_not_look_complete)
{
	const struct ending *ending = &endings[_i];
	gateway_exchange_t exchange =
	    gateway_exchange_open(ending->path, backend_listener_2);
	char *events;
	bool is_whole;

	wire_send(exchange.server_fd, ending->bytes);
	g_usleep(READ_US);
	if (ending->server_resets)
		reset_connection(exchange.server_fd);
	else
		close(exchange.server_fd);
	exchange.server_fd = -1;
	events = wire_read_body(exchange.client_fd, &is_whole);
	ck_assert_msg(is_whole != ending->is_cut, "%s: is_whole=%d",
	    ending->what, is_whole);
	ck_assert_str_eq(events, EVENT);
	g_free(events);
	gateway_exchange_close(&exchange);
}
END_TEST

/* Guards against a stream without an event that is taken for complete. */
START_TEST(a_stream_that_ends_before_its_first_event_is_a_failure)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/write/a", backend_listener_2);
	char *response;

	wire_send(exchange.server_fd, HEAD);
	g_usleep(READ_US);
	close(exchange.server_fd);
	exchange.server_fd = -1;
	response = wire_read_message(exchange.client_fd);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 502"));
	g_free(response);
	gateway_exchange_close(&exchange);
}
END_TEST

/*
 * Guards against a response that is reset and looks complete since the gateway
 * finds its last bytes and the reset at once: here after a pause.
 */
START_TEST(a_response_that_is_reset_with_its_last_bytes_is_a_failure)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);
	char *response;

	kill(gateway_node->pid, SIGSTOP);
	wire_send(exchange.server_fd, HEAD "part");
	reset_connection(exchange.server_fd);
	exchange.server_fd = -1;
	kill(gateway_node->pid, SIGCONT);
	response = wire_read_message(exchange.client_fd);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 502"));
	g_free(response);
	gateway_exchange_close(&exchange);
}
END_TEST

/*
 * Guards against the same where the first part has been read before the pause,
 * and a timer of the request is due when the pause ends.
 */
START_TEST(a_response_that_is_reset_in_a_pause_is_a_failure)
{
	const struct pause *pause = &pauses[_i];
	gateway_exchange_t exchange =
	    gateway_exchange_open(pause->path, backend_listener_1);
	char *response;

	wire_send(exchange.server_fd, HEAD "part");
	g_usleep(READ_US);
	kill(gateway_node->pid, SIGSTOP);
	g_usleep(READ_US); /* the loop stops before it sees the reset */
	reset_connection(exchange.server_fd);
	exchange.server_fd = -1;
	g_usleep(pause->length_us);
	kill(gateway_node->pid, SIGCONT);
	response = wire_read_message(exchange.client_fd);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 50"));
	g_free(response);
	gateway_exchange_close(&exchange);
}
END_TEST

/* Guards against a large response that is reset and looks complete. */
START_TEST(a_reset_response_without_framing_does_not_look_complete)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);
	char *body = g_strnfill(LARGE_BYTES, 'x');
	bool is_whole;

	wire_send(exchange.server_fd, HEAD);
	wire_send(exchange.server_fd, body);
	g_usleep(READ_US);
	reset_connection(exchange.server_fd);
	exchange.server_fd = -1;
	g_free(wire_read_body(exchange.client_fd, &is_whole));
	ck_assert(!is_whole);
	g_free(body);
	gateway_exchange_close(&exchange);
}
END_TEST

/*
 * Guards against a response that looks complete since the host's process is
 * killed in the middle of it: the kernel closes its connections in order.
 */
START_TEST(a_response_of_a_killed_host_does_not_look_complete)
{
	bool is_stream = _i == 0;
	gateway_exchange_t exchange =
	    is_stream ? gateway_exchange_open("/write/a", backend_listener_2)
		      : gateway_exchange_open("/book/a", backend_listener_1);
	char *body = g_strnfill(LARGE_BYTES, 'x');
	bool is_whole;

	wire_send(exchange.server_fd, HEAD);
	wire_send(exchange.server_fd, is_stream ? EVENT : body);
	g_usleep(READ_US);
	program_end(gateway_node, SIGKILL);
	g_free(body);
	body = wire_read_body(exchange.client_fd, &is_whole);
	ck_assert_uint_gt(strlen(body), 0);
	ck_assert(!is_whole);
	g_free(body);
	gateway_exchange_close(&exchange);
}
END_TEST

/*
 * Guards against a cut response that looks complete to a client of HTTP/1.0,
 * which cannot read chunks.
 */
START_TEST(a_cut_response_is_reset_for_a_client_of_http_1_0)
{
	char *text = gateway_format_request("/write/a", "id-1", "key-1");
	int client = wire_connect(gateway_node->address), server;
	char **parts = g_strsplit(text, "HTTP/1.1", 2);
	char *response;
	bool reset;

	g_free(text);
	text = g_strjoinv("HTTP/1.0", parts);
	wire_send(client, text);
	server = wire_accept(backend_listener_2);
	g_free(wire_read_message(server));
	wire_send(server, HEAD EVENT);
	g_free(wire_read_until(client, EVENT));
	reset_connection(server);
	response = wire_read_until_closed(client, &reset);
	ck_assert(reset);
	g_free(response);
	g_strfreev(parts);
	g_free(text);
	close(client);
}
END_TEST

/* Guards against a stream that could be resumed and is ended instead. */
START_TEST(a_stream_that_ends_inside_an_event_is_resumed)
{
	gateway_exchange_t exchange;
	int port, listener = wire_listen(&port), server;
	char *events, *request;
	bool is_whole;

	exchange = gateway_exchange_open("/talk/a", backend_listener_2);
	gateway_register_server("e-2", "engine", port, "ready");
	g_usleep(600000);
	wire_send(exchange.server_fd, HEAD EVENT "id: 2\nda");
	close(exchange.server_fd);
	exchange.server_fd = -1;
	server = wire_accept(listener);
	request = wire_read_message(server);
	wire_assert_header(request, "Last-Event-Id", "1");
	wire_send(server, HEAD "id: 2\ndata: b\n\n");
	close(server);
	events = wire_read_body(exchange.client_fd, &is_whole);
	ck_assert(is_whole);
	ck_assert_str_eq(events, EVENT "id: 2\ndata: b\n\n");
	g_free(request);
	g_free(events);
	close(listener);
	gateway_exchange_close(&exchange);
}
END_TEST

/* Sends a response of so many bytes from a process of its own. */
static pid_t
send_from_process(int server, size_t length)
{
	char *body;
	pid_t sender = fork();

	if (sender != 0)
		return sender;
	body = g_strnfill(length, 'x');
	wire_send(server, HEAD);
	wire_send(server, body);
	_exit(0);
}

/* Reads a response and checks that it is whole or cut; returns which. */
static bool
is_cut(int client, size_t length)
{
	bool is_whole;
	char *body = wire_read_body(client, &is_whole);

	if (is_whole)
		ck_assert_uint_eq(strlen(body), length);
	g_free(body);
	return !is_whole;
}

/* A booking after which the client's connection is to be closed. */
static char *
format_closing_request(void)
{
	char *text = gateway_format_request("/book/a", "id-1", "key-1");
	char **lines = g_strsplit(text, "\r\n", 2);
	char *closing =
	    g_strjoin("\r\n", lines[0], "Connection: close", lines[1], NULL);

	g_strfreev(lines);
	g_free(text);
	return closing;
}

/*
 * Clients that read nothing for a while; returns how many responses were cut.
 * *connections: those that the gateway has at the end of that time.
 */
static unsigned
run_slow_clients(unsigned long slow_us, double *connections)
{
	char *text = format_closing_request();
	int clients[SLOW_CLIENTS];
	pid_t senders[SLOW_CLIENTS];
	unsigned cut = 0;

	for (size_t i = 0; i < SLOW_CLIENTS; i++) {
		int server;

		clients[i] = wire_connect_slow(gateway_node->address, 4096);
		wire_send(clients[i], text);
		server = wire_accept(backend_listener_1);
		g_free(wire_read_message(server));
		senders[i] =
		    send_from_process(server, SLOW_STEP_BYTES * (i + 1));
		close(server);
	}
	g_usleep(slow_us);
	*connections = gateway_metric(gateway_node, "client_connections");
	for (size_t i = 0; i < SLOW_CLIENTS; i++) {
		cut += is_cut(clients[i], SLOW_STEP_BYTES * (i + 1));
		ck_assert_int_eq(waitpid(senders[i], NULL, 0), senders[i]);
		close(clients[i]);
	}
	g_free(text);
	return cut;
}

/*
 * Guards against a response that is cut, and looks complete, since its client
 * reads the last part later than the time for which a connection lingers. With
 * one of the lengths that part is more than the kernel's buffers hold.
 */
START_TEST(a_slow_client_gets_the_whole_response)
{
	double connections;

	ck_assert_uint_eq(run_slow_clients(SLOW_US, &connections), 0);
	/* Some must be open: else the clients were not slow enough. */
	ck_assert_double_gt(connections, 0);
}
END_TEST

/*
 * Guards against a connection that is kept for ever, or a response that looks
 * complete, where the client stops reading.
 */
START_TEST(a_client_that_does_not_read_is_reset)
{
	double connections;

	ck_assert_uint_gt(run_slow_clients(STALLED_US, &connections), 0);
	ck_assert_double_eq(connections, 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("unframed");
	TCase *cases = tcase_create("unframed");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_loop_test(cases,
	    a_cut_stream_without_framing_does_not_look_complete, 0,
	    G_N_ELEMENTS(endings));
	tcase_add_test(
	    cases, a_stream_that_ends_before_its_first_event_is_a_failure);
	tcase_add_test(
	    cases, a_response_that_is_reset_with_its_last_bytes_is_a_failure);
	tcase_add_loop_test(cases,
	    a_response_that_is_reset_in_a_pause_is_a_failure, 0,
	    G_N_ELEMENTS(pauses));
	tcase_add_test(
	    cases, a_reset_response_without_framing_does_not_look_complete);
	tcase_add_loop_test(
	    cases, a_response_of_a_killed_host_does_not_look_complete, 0, 2);
	tcase_add_test(cases, a_cut_response_is_reset_for_a_client_of_http_1_0);
	tcase_add_test(cases, a_stream_that_ends_inside_an_event_is_resumed);
	tcase_add_test(cases, a_slow_client_gets_the_whole_response);
	tcase_add_test(cases, a_client_that_does_not_read_is_reset);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
