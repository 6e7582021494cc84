#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <string.h>
#include <unistd.h>

/* Streams whose engine closes the connection, drains or crashes. */

/* Well before the deadline of the requests, 3 s. */
enum { CUT_OFF_MS = 1000 };

/* For a change of the store to reach the gateway. */
enum { CHANGE_US = 600000 };

/* A move is done well within this time once the copy is complete. */
enum { MOVE_MS = 600 };

/* Guards against events lost, repeated or merged when a stream resumes. */
START_TEST(a_stream_resumes_at_another_server)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
				   "X-Response-Stamp: s1\r\n"
				   "Content-Type: text/event-stream\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n";
	int client, server, port_3, server_3 = wire_listen(&port_3);
	char *request, *response;
	bool server_2_first;

	gateway_register_server("e-2", "engine", port_3, "ready");
	g_usleep(100000);
	client = gateway_send_request("/talk/a", "id-1");
	server_2_first = wire_wait_connection(backend_listener_2, 300);
	server = wire_accept(server_2_first ? backend_listener_2 : server_3);
	request = wire_read_message(server);
	wire_send(server, head);
	wire_send(server, "1c\r\nid: 1\ndata: a\n\nid: 2\ndata: \r\n");
	close(server);
	g_free(request);
	server = wire_accept(server_2_first ? server_3 : backend_listener_2);
	request = wire_read_message(server);
	wire_assert_header(request, "Last-Event-Id", "1");
	wire_send(server, head);
	wire_send(server, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
	response = wire_read_until(client, "0\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(response, "id: 1\ndata: a\n\n"));
	ck_assert_ptr_nonnull(strstr(response, "id: 2\ndata: b\n\n"));
	ck_assert_ptr_null(strstr(response, "data: \n"));
	g_free(response);
	g_free(request);
	close(client);
	close(server);
	close(server_3);
}
END_TEST

/* Sends a comment now and then until another engine gets the request. */
static void
send_comments_until_resumed(int server, int other_listener)
{
	for (int i = 0; i < 14; i++) {
		if (wire_wait_connection(other_listener, 200))
			return;
		wire_send(server, "3\r\n:\n\n\r\n");
	}
	ck_abort_msg("the stalled stream was not resumed");
}

/*
 * Guards against a stalled stream that is taken for a sound one because its
 * engine sends comments, which are no events.
 */
START_TEST(a_stalled_stream_with_comments_is_resumed)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
				   "X-Response-Stamp: s1\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n";
	int client, server, port_3, server_3 = wire_listen(&port_3);
	bool server_2_first;
	char *request, *response;

	gateway_register_server("e-2", "engine", port_3, "ready");
	g_usleep(100000);
	client = gateway_send_request("/talk/a", "id-1");
	server_2_first = wire_wait_connection(backend_listener_2, 300);
	server = wire_accept(server_2_first ? backend_listener_2 : server_3);
	request = wire_read_message(server);
	wire_send(server, head);
	send_comments_until_resumed(
	    server, server_2_first ? server_3 : backend_listener_2);
	close(server);
	server = wire_accept(server_2_first ? server_3 : backend_listener_2);
	g_free(request);
	request = wire_read_message(server);
	wire_send(server, head);
	wire_send(server, "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
	response = wire_read_until(client, "0\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(response, "id: 1\ndata: a\n\n"));
	g_free(response);
	g_free(request);
	close(client);
	close(server);
	close(server_3);
}
END_TEST

/* Guards against cutting a stream whose events come slowly but in time. */
START_TEST(a_slow_stream_is_not_cut)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/talk/a", backend_listener_2);
	char *response;

	wire_send(exchange.server_fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Stamp: s1\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n");
	for (int id = 1; id <= 3; id++) {
		char *event =
		    g_strdup_printf("f\r\nid: %d\ndata: a\n\n\r\n", id);

		g_usleep(900000);
		wire_send(exchange.server_fd, event);
		g_free(event);
	}
	wire_send(exchange.server_fd, "0\r\n\r\n");
	response = wire_read_until(exchange.client_fd, "0\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(response, "id: 1\n"));
	ck_assert_ptr_nonnull(strstr(response, "id: 3\n"));
	g_free(response);
	gateway_exchange_close(&exchange);
}
END_TEST

/* Guards against a truncated stream that looks complete to the client. */
START_TEST(a_stream_that_cannot_be_resumed_is_truncated)
{
	gateway_exchange_t ends =
	    gateway_exchange_open("/write/a", backend_listener_2);
	char *response;
	bool reset;

	wire_send(ends.server_fd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
				  "Transfer-Encoding: chunked\r\n\r\n"
				  "f\r\nid: 1\ndata: a\n\n\r\n");
	g_usleep(50000);
	close(ends.server_fd);
	ends.server_fd = -1;
	response = wire_read_until_closed(ends.client_fd, &reset);
	ck_assert_ptr_nonnull(strstr(response, "id: 1\ndata: a\n\n"));
	ck_assert_ptr_null(strstr(response, "0\r\n\r\n"));
	g_free(response);
	gateway_exchange_close(&ends);
}
END_TEST

#define RESUMED(status, headers)                        \
	"HTTP/1.1 " status "\r\nX-Attempt-Id: id-1\r\n" \
	"X-Response-Stamp: s2\r\n" headers "\r\n"
#define STREAM_HEAD RESUMED("200 OK", "Transfer-Encoding: chunked\r\n")

/* What the next server answers after a stream has begun and broken off. */
static const struct bad_resume {
	const char *what;
	const char *bytes;
	bool closes;
} bad_resumes[] = {
    {"failure", RESUMED("500 Error", "Content-Length: 5\r\n") "FAULT", false},
    {"failure without framing",
	RESUMED("500 Error", "Connection: close\r\n") "FAULT", true},
    {"failure with events",
	RESUMED(
	    "500 Error", "Content-Length: 22\r\n") "id: 2\ndata: FAULT\n\nxxx",
	false},
    {"failure without an end",
	RESUMED("500 Error", "Transfer-Encoding: chunked\r\n") "5\r\nFAULT\r\n",
	false},
    {"refusal",
	RESUMED(
	    "503 Busy", "X-Not-Executed: 1\r\nContent-Length: 5\r\n") "FAULT",
	false},
    {"other server",
	RESUMED("421 Misdirected", "Content-Length: 5\r\n") "FAULT", false},
    {"not found", RESUMED("404 None", "Content-Length: 5\r\n") "FAULT", false},
    {"redirect",
	RESUMED("302 Found", "Location: /FAULT\r\nContent-Length: 0\r\n"),
	false},
    {"no content", RESUMED("204 FAULT", ""), false},
    {"success that is no stream",
	RESUMED("200 OK",
	    "Content-Type: text/plain\r\nContent-Length: 5\r\n") "FAULT",
	false},
    {"text in a stream", STREAM_HEAD "5\r\nFAULT\r\n0\r\n\r\n", false},
    {"half an event", STREAM_HEAD "b\r\nid: 2\nFAULT\r\n0\r\n\r\n", false},
    {"half an event without framing",
	RESUMED("200 OK", "Connection: close\r\n") "id: 2\nFAULT", true},
    {"malformed head", "FAULT FAULT\r\n\r\n", false},
    {"half a head", "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n", true},
    {"head without framing", RESUMED("200 OK", "Connection: close\r\n"), true},
    {"nothing", "", true},
};

/*
 * Guards against an error in the middle of a stream, or a stream that looks
 * complete: the stream has begun and broken off, and the server that was to
 * resume it answers with an error.
 */
START_TEST(error_of_the_next_server_is_no_part_of_the_stream)
{
	const struct bad_resume *resume = &bad_resumes[_i];
	gateway_exchange_t exchange;
	int port, listener = wire_listen(&port), server;
	char *response;
	bool reset;

	exchange = gateway_exchange_open("/talk/a", backend_listener_2);
	gateway_register_server("e-2", "engine", port, "ready");
	g_usleep(300000);
	wire_send(exchange.server_fd, STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n"
						  "3\r\nid:\r\n");
	g_free(wire_read_until(exchange.client_fd, "data: a\n\n"));
	close(exchange.server_fd);
	exchange.server_fd = -1;
	server = wire_accept(listener);
	g_free(wire_read_message(server));
	wire_send(server, resume->bytes);
	if (resume->closes)
		close(server);
	response = wire_read_until_closed(exchange.client_fd, &reset);
	ck_assert_msg(strstr(response, "FAULT") == NULL &&
			  strstr(response, "HTTP/1.1") == NULL &&
			  strstr(response, "id") == NULL &&
			  strstr(response, "0\r\n\r\n") == NULL,
	    "%s: \"%s\"", resume->what, response);
	g_free(response);
	if (!resume->closes)
		close(server);
	close(listener);
	gateway_exchange_close(&exchange);
}
END_TEST

/* Guards against a stream truncated because its engine is reclaimed. */
START_TEST(a_stream_migrates_from_a_draining_engine)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n";
	int client = gateway_send_request("/write/a", "id-1");
	int source = wire_accept(backend_listener_2);
	int port_3, server_3 = wire_listen(&port_3), migration, target;
	char *request = wire_read_message(source);
	char *response, *expected_from, *kv_from;

	wire_send(source, head);
	wire_send(source, "f\r\nid: 1\ndata: a\n\n\r\n");
	gateway_register_server("e-2", "engine", port_3, "ready");
	gateway_register_server("e-1", "engine", backend_port_2, "draining");
	g_free(request);
	migration = wire_accept(backend_listener_2);
	request = wire_read_message(migration);
	ck_assert(g_str_has_prefix(request, "POST /v1/kv-move "));
	ck_assert_ptr_nonnull(strstr(request, "\"id\":\"id-1\""));
	wire_send(source, "f\r\nid: 2\ndata: b\n\n\r\n");
	g_usleep(50000);
	close(source);
	wire_send(migration, "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n"
			     "{\"handle\": 7,\"created\": 2}");
	g_free(request);
	target = wire_accept(server_3);
	request = wire_read_message(target);
	expected_from = g_strdup_printf("127.0.0.1:%d/7", backend_port_2);
	kv_from = wire_header(request, "Kv-From");
	ck_assert_str_eq(kv_from, expected_from);
	wire_assert_header(request, "Last-Event-Id", "2");
	wire_assert_header(request, "X-Attempt-Id", "id-1");
	wire_send(target, head);
	wire_send(target, "f\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n");
	response = wire_read_until(client, "0\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(response, "id: 2\ndata: b\n\n"));
	ck_assert_ptr_nonnull(strstr(response, "id: 3\ndata: c\n\n"));
	g_free(response);
	g_free(expected_from);
	g_free(kv_from);
	g_free(request);
	close(client);
	close(migration);
	close(target);
	close(server_3);
}
END_TEST

/* A stream whose engine e-1 leaves, and has got the order to copy it to e-2. */
typedef struct move {
	gateway_exchange_t exchange; /* with e-1, which has sent event 1 */
	int listener;		     /* of e-2 */
	int copy;		     /* the order's connection */
} move_t;

static move_t
begin_move(const char *path)
{
	move_t move = {
	    .exchange = gateway_exchange_open(path, backend_listener_2)};
	int port;
	char *request;

	move.listener = wire_listen(&port);
	wire_send(
	    move.exchange.server_fd, STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n");
	g_free(wire_read_until(move.exchange.client_fd, "a\n\n\r\n"));
	gateway_register_server("e-2", "engine", port, "ready");
	gateway_register_server("e-1", "engine", backend_port_2, "draining");
	move.copy = wire_accept(backend_listener_2);
	request = wire_read_message(move.copy);
	ck_assert(g_str_has_prefix(request, "POST /v1/kv-move "));
	g_free(request);
	return move;
}

/*
 * Guards against a process that reads an endless response to the order to copy
 * a stream's memory for as long as the stream lasts.
 */
START_TEST(endless_response_to_a_move_is_cut_off)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/write/a", backend_listener_2);
	int port, listener = wire_listen(&port), copy;
	char *piece = g_strnfill(100000, 'x'), *response;

	wire_send(
	    exchange.server_fd, STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n");
	gateway_register_server("e-2", "engine", port, "ready");
	gateway_register_server("e-1", "engine", backend_port_2, "draining");
	copy = wire_accept(backend_listener_2);
	g_free(wire_read_message(copy));
	wire_send(copy, "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n");
	wire_send(copy, piece);
	ck_assert(wire_wait_closed(copy, CUT_OFF_MS));
	wire_send(exchange.server_fd, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
	response = wire_read_until(exchange.client_fd, "\r\n0\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(response, "id: 2\ndata: b\n\n"));
	g_free(response);
	g_free(piece);
	close(copy);
	close(listener);
	gateway_exchange_close(&exchange);
}
END_TEST

/* Serves one of two simultaneous streams; keeps the connection open. */
static void
end_stream_of(int server, const char *id)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
				     "Content-Length: 15\r\n\r\n"
				     "id: 1\ndata: a\n\n",
	    id);

	g_free(wire_read_message(server));
	wire_send(server, text);
	g_free(text);
}

#define LATE_RESPONSE                                 \
	"HTTP/1.1 503 Busy\r\nX-Attempt-Id: id-1\r\n" \
	"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define LATE_COPY                                       \
	"HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n" \
	"{\"handle\": 6,\"created\": 1}"

/*
 * Guards against a stream truncated, or resumed from another one's memory,
 * because a late response to an earlier request, or to an earlier order, is
 * taken for the engine's response to the order to copy its memory.
 */
START_TEST(late_response_does_not_end_a_migration)
{
	int client_1 = gateway_send_request("/write/a", "id-1");
	int kept = wire_accept(backend_listener_2);
	int client_2 = gateway_send_request("/write/a", "id-2");
	int source = wire_accept(backend_listener_2);
	int port_3, server_3 = wire_listen(&port_3), target, client, copy;
	char *request, *location;

	end_stream_of(kept, "id-1");
	g_free(wire_read_until(client_1, "data: a"));
	end_stream_of(source, "id-2");
	g_free(wire_read_until(client_2, "data: a"));
	client = gateway_send_request("/write/a", "id-3");
	g_free(wire_read_message(source));
	wire_send(source, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-3\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n"
			  "f\r\nid: 1\ndata: a\n\n\r\n");
	gateway_register_server("e-2", "engine", port_3, "ready");
	gateway_register_server("e-1", "engine", backend_port_2, "draining");
	copy = wire_accept(backend_listener_2);
	request = wire_read_message(copy);
	ck_assert(g_str_has_prefix(request, "POST /v1/kv-move "));
	g_free(request);
	wire_send(kept, _i == 0 ? LATE_RESPONSE : LATE_COPY);
	g_usleep(50000);
	wire_send(copy, "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n"
			"{\"handle\": 7,\"created\": 1}" LATE_COPY);
	ck_assert(wire_wait_closed(copy, CUT_OFF_MS));
	g_usleep(50000);
	close(source);
	target = wire_accept(server_3);
	request = wire_read_message(target);
	wire_assert_header(request, "X-Attempt-Id", "id-3");
	wire_assert_header(request, "Last-Event-Id", "1");
	location = wire_header(request, "Kv-From");
	ck_assert(g_str_has_suffix(location, "/7"));
	g_free(location);
	g_free(request);
	close(client);
	close(copy);
	close(client_1);
	close(client_2);
	close(kept);
	close(target);
	close(server_3);
}
END_TEST

/*
 * Guards against a stream that is torn from the server which resumes it: its
 * source broke off inside an event while it copied the stream's memory, and the
 * copy is complete after another server has taken over.
 */
START_TEST(copy_of_a_broken_source_does_not_move_the_resumed_stream)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/talk/a", backend_listener_2);
	int port, listener = wire_listen(&port), copy, server;
	char *request, *response;

	wire_send(
	    exchange.server_fd, STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n");
	g_free(wire_read_until(exchange.client_fd, "data: a\n\n"));
	gateway_register_server("e-2", "engine", port, "ready");
	gateway_register_server("e-1", "engine", backend_port_2, "draining");
	copy = wire_accept(backend_listener_2);
	request = wire_read_message(copy);
	ck_assert(g_str_has_prefix(request, "POST /v1/kv-move "));
	g_free(request);
	wire_send(exchange.server_fd, "5\r\nid: 2\r\n0\r\n\r\n");
	server = wire_accept(listener);
	request = wire_read_message(server);
	wire_assert_header(request, "Last-Event-Id", "1");
	wire_assert_header(request, "Kv-From", NULL);
	g_free(request);
	wire_send(copy, "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n"
			"{\"handle\": 7,\"created\": 1}");
	ck_assert(!wire_wait_connection(listener, 500));
	wire_send(server, STREAM_HEAD "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
	response = wire_read_until(exchange.client_fd, "0\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(response, "id: 2\ndata: b\n\n"));
	g_free(response);
	close(copy);
	close(server);
	close(listener);
	gateway_exchange_close(&exchange);
}
END_TEST

/* Guards against a resumable stream that is cut as its move has failed. */
START_TEST(a_stream_is_resumed_where_its_move_fails)
{
	move_t move = begin_move("/talk/a");
	int server;
	char *request, *response;

	close(move.exchange.server_fd);
	move.exchange.server_fd = -1;
	g_usleep(50000);
	wire_send(move.copy, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
	server = wire_accept(move.listener);
	request = wire_read_message(server);
	wire_assert_header(request, "Last-Event-Id", "1");
	wire_assert_header(request, "Kv-From", NULL);
	g_free(request);
	wire_send(server, STREAM_HEAD "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
	response = wire_read_until(move.exchange.client_fd, "0\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(response, "id: 2\ndata: b\n\n"));
	g_free(response);
	close(move.copy);
	close(server);
	close(move.listener);
	gateway_exchange_close(&move.exchange);
}
END_TEST

/* Time for the gateway to learn that an engine leaves, and to move streams. */
enum { MOVE_US = 1500000 };

/*
 * Guards against a process that crashes as it moves a stream whose attempt id
 * is not UTF-8, which JSON cannot hold: the stream stays at its source.
 */
START_TEST(a_stream_whose_id_is_no_utf_8_is_not_moved)
{
	static const char id[] = "caf\xe9-1";
	int client = gateway_send_request("/write/a", id);
	int source = wire_accept(backend_listener_2);
	int port, listener = wire_listen(&port);
	char *request = wire_read_message(source), *response;

	wire_assert_header(request, "X-Attempt-Id", id);
	wire_send(source, "HTTP/1.1 200 OK\r\nX-Attempt-Id: caf\xe9-1\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n"
			  "f\r\nid: 1\ndata: a\n\n\r\n");
	gateway_register_server("e-2", "engine", port, "ready");
	gateway_register_server("e-1", "engine", backend_port_2, "draining");
	g_usleep(MOVE_US);
	wire_send(source, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
	response = wire_read_until(client, "\r\n0\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(response, "id: 2\ndata: b\n\n"));
	ck_assert_ptr_nonnull(strstr(response, id));
	ck_assert(!wire_wait_connection(backend_listener_2, 0));
	g_free(request);
	g_free(response);
	close(client);
	close(source);
	close(listener);
}
END_TEST

#define COPIED                                          \
	"HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n" \
	"{\"handle\": 7,\"created\": 2}"

static const struct cut_move {
	const char *copy;   /* the source's answer to the order to copy */
	const char *target; /* the target's answer; NULL: it is not asked */
} cut_moves[] = {
    {"HTTP/1.1 200 OK\r\nContent-Le", NULL},
    {"HTTP/1.1 200 OK\r\n\r\n{\"handle\": 7", NULL},
    {COPIED, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"},
    {COPIED, RESUMED("200 OK", "Connection: close\r\n")},
};

/* Guards against a moved stream that looks complete, or is run twice. */
START_TEST(a_cut_answer_ends_no_moved_stream)
{
	const struct cut_move *cut = &cut_moves[_i];
	move_t move = begin_move("/write/a");
	int target;
	char *response;
	bool reset;

	close(move.exchange.server_fd);
	move.exchange.server_fd = -1;
	wire_send(move.copy, cut->copy);
	close(move.copy);
	if (cut->target != NULL) {
		target = wire_accept(move.listener);
		g_free(wire_read_message(target));
		wire_send(target, cut->target);
		close(target);
	}
	response = wire_read_until_closed(move.exchange.client_fd, &reset);
	ck_assert_str_eq(response, "");
	ck_assert(!wire_wait_connection(move.listener, 0));
	g_free(response);
	close(move.listener);
	gateway_exchange_close(&move.exchange);
}
END_TEST

/* What happens to the target of a move while the stream is copied. */
typedef enum target_fate {
	TARGET_REFUSES_CONNECTIONS,
	TARGET_LEAVES,
} target_fate_t;

/*
 * Guards against a stream that could be resumed and is cut, or goes to a server
 * that leaves: the one that has the copy of its KV cache cannot be used, and no
 * other has the copy.
 */
START_TEST(a_stream_whose_target_is_lost_is_resumed_elsewhere)
{
	target_fate_t fate = (target_fate_t)_i;
	gateway_exchange_t exchange =
	    gateway_exchange_open("/talk/a", backend_listener_2);
	int ports[2], listeners[2], copy, server;
	char *request, *response;

	for (int i = 0; i < 2; i++)
		listeners[i] = wire_listen(&ports[i]);
	wire_send(
	    exchange.server_fd, STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n");
	g_free(wire_read_until(exchange.client_fd, "a\n\n\r\n"));
	gateway_register_server("e-2", "engine", ports[0], "ready");
	gateway_register_server("e-1", "engine", backend_port_2, "draining");
	copy = wire_accept(backend_listener_2);
	g_free(wire_read_message(copy));
	gateway_register_server("e-3", "engine", ports[1], "ready");
	if (fate == TARGET_LEAVES)
		gateway_register_server("e-2", "engine", ports[0], "draining");
	else
		close(listeners[0]);
	g_usleep(CHANGE_US);
	wire_send(copy, COPIED);
	close(exchange.server_fd);
	exchange.server_fd = -1;
	server = wire_accept(listeners[1]);
	request = wire_read_message(server);
	wire_assert_header(request, "Last-Event-Id", "1");
	wire_assert_header(request, "Kv-From", NULL);
	g_free(request);
	wire_send(server, STREAM_HEAD "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
	response = wire_read_until(exchange.client_fd, "0\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(response, "id: 2\ndata: b\n\n"));
	g_free(response);
	close(copy);
	close(server);
	close(listeners[1]);
	if (fate == TARGET_LEAVES)
		close(listeners[0]);
	gateway_exchange_close(&exchange);
}
END_TEST

/*
 * Guards against a stream that waits long for a source which has handed it over
 * and stays silent, as one more event has replaced the timer.
 */
START_TEST(a_further_event_does_not_hold_up_a_move)
{
	move_t move = begin_move("/talk/a");
	int target;

	wire_send(move.copy, COPIED);
	g_usleep(50000);
	wire_send(move.exchange.server_fd, "f\r\nid: 2\ndata: b\n\n\r\n");
	ck_assert(wire_wait_connection(move.listener, MOVE_MS));
	target = wire_accept(move.listener);
	close(target);
	close(move.copy);
	close(move.listener);
	gateway_exchange_close(&move.exchange);
}
END_TEST

static void
setup_several_attempts(void)
{
	gateway_limits.write_attempts = 3;
	gateway_fixture_setup();
}

/* Guards against a stream that may run once and runs anew at a third engine
 * since the one that has the copy of its KV cache refuses it. */
START_TEST(a_moved_stream_that_is_refused_does_not_run_anew)
{
	static const char *const refusals[] = {
	    RESUMED("503 Busy", "X-Not-Executed: 1\r\nContent-Length: 0\r\n"),
	    RESUMED("421 Misdirected", "Content-Length: 0\r\n"),
	};
	gateway_exchange_t exchange =
	    gateway_exchange_open("/write/a", backend_listener_2);
	int ports[2], listeners[2], copy, target, first;
	char *response;
	bool reset;

	for (int i = 0; i < 2; i++)
		listeners[i] = wire_listen(&ports[i]);
	wire_send(
	    exchange.server_fd, STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n");
	g_free(wire_read_until(exchange.client_fd, "a\n\n\r\n"));
	gateway_register_server("e-2", "engine", ports[0], "ready");
	gateway_register_server("e-3", "engine", ports[1], "ready");
	gateway_register_server("e-1", "engine", backend_port_2, "draining");
	copy = wire_accept(backend_listener_2);
	g_free(wire_read_message(copy));
	close(exchange.server_fd);
	exchange.server_fd = -1;
	wire_send(copy, COPIED);
	first = wire_wait_connection(listeners[0], 300) ? 0 : 1;
	target = wire_accept(listeners[first]);
	g_free(wire_read_message(target));
	wire_send(target, refusals[_i]);
	response = wire_read_until_closed(exchange.client_fd, &reset);
	ck_assert_str_eq(response, "");
	ck_assert(!wire_wait_connection(listeners[1 - first], 0));
	g_free(response);
	close(copy);
	close(target);
	for (int i = 0; i < 2; i++)
		close(listeners[i]);
	gateway_exchange_close(&exchange);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("stream_moves");
	TCase *cases = tcase_create("stream_moves");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(cases, a_stream_resumes_at_another_server);
	tcase_add_test(cases, a_stalled_stream_with_comments_is_resumed);
	tcase_add_test(cases, a_slow_stream_is_not_cut);
	tcase_add_test(cases, a_stream_that_cannot_be_resumed_is_truncated);
	tcase_add_loop_test(cases,
	    error_of_the_next_server_is_no_part_of_the_stream, 0,
	    G_N_ELEMENTS(bad_resumes));
	tcase_add_test(cases, a_stream_migrates_from_a_draining_engine);
	tcase_add_test(cases, endless_response_to_a_move_is_cut_off);
	tcase_add_loop_test(
	    cases, late_response_does_not_end_a_migration, 0, 2);
	tcase_add_test(
	    cases, copy_of_a_broken_source_does_not_move_the_resumed_stream);
	tcase_add_test(cases, a_stream_is_resumed_where_its_move_fails);
	tcase_add_test(cases, a_stream_whose_id_is_no_utf_8_is_not_moved);
	tcase_add_loop_test(cases, a_cut_answer_ends_no_moved_stream, 0,
	    G_N_ELEMENTS(cut_moves));
	tcase_add_loop_test(cases,
	    a_stream_whose_target_is_lost_is_resumed_elsewhere,
	    TARGET_REFUSES_CONNECTIONS, TARGET_LEAVES + 1);
	tcase_add_test(cases, a_further_event_does_not_hold_up_a_move);
	suite_add_tcase(suite, cases);
	cases = tcase_create("several_attempts");
	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, setup_several_attempts, gateway_fixture_teardown);
	tcase_add_loop_test(
	    cases, a_moved_stream_that_is_refused_does_not_run_anew, 0, 2);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
