#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * Backend servers in trouble that send bytes without end, until the gateway
 * closes the connection.
 */

enum {
	US_PER_MS = 1000,
	/* The requests have a deadline of 3 s. */
	CLOSE_TIMEOUT_MS = 3500,
	MEMORY_GROWTH_MAX_KB = 16 * 1024,
	SENT_MAX_BYTES = 256 * 1024 * 1024,
	PIECE_BYTES = 16 * 1024,
	FLOOD_BYTES = 64 * 1024,
	/* Callers of a faulty server, and requests beside them. */
	CALLERS = 8,
	REQUESTS_BESIDE = 10,
	/* Objective of the routes. */
	OBJECTIVE_MS = 1000,
};

#define RESPONSE_HEAD                                                      \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Stamp: s\r\n" \
	"Transfer-Encoding: chunked\r\n\r\n"

static const struct answer {
	const char *what;
	const char *path;
	bool from_engine;
	const char *start;  /* sent once */
	const char *repeat; /* sent until the connection is closed */
} answers[] = {
    {"head", "/read/a", false, "HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n"},
    {"header", "/read/a", false, "HTTP/1.1 200 OK\r\nX-Filler: ", "abcdefgh"},
    {"interim responses", "/read/a", false, "",
	"HTTP/1.1 100 Continue\r\n\r\n"},
    {"body of a refusal", "/book/a", false,
	"HTTP/1.1 503 Full\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\n"
	"Transfer-Encoding: chunked\r\n\r\n",
	"8\r\nabcdefgh\r\n"},
    {"event", "/talk/a", true, RESPONSE_HEAD, "8\r\nabcdefgh\r\n"},
    {"comments", "/write/a", true, RESPONSE_HEAD, "4\r\n:a\n\n\r\n"},
    {"chunk extension", "/read/a", false, RESPONSE_HEAD "8;", "abcdefgh"},
    {"trailers", "/read/a", false, RESPONSE_HEAD "0\r\n", "X-T: abcdefgh\r\n"},
    {"response to another request", "/read/a", false,
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-9\r\n"
	"Transfer-Encoding: chunked\r\n\r\n",
	"8\r\nabcdefgh\r\n"},
    {"bytes that are no response", "/read/a", false, "", "\x01\x02\x03\x04"},
};

static long
memory_kb(const program_t *program)
{
	char *path = g_strdup_printf("/proc/%d/statm", (int)program->pid);
	FILE *file = fopen(path, "r");
	long total, resident = 0;

	g_free(path);
	ck_assert_ptr_nonnull(file);
	ck_assert_int_eq(fscanf(file, "%ld %ld", &total, &resident), 2);
	fclose(file);
	return resident * sysconf(_SC_PAGESIZE) / 1024;
}

/* Reads and drops what a client has received. */
static void
drop_input(int fd)
{
	static char buffer[64 * 1024];

	while (recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT) > 0)
		;
}

/*
 * Sends the repeated text until the connection is closed. Returns the largest
 * growth of the gateway's memory.
 */
static long
send_until_closed(int server_fd, int client_fd, const struct answer *answer)
{
	gint64 deadline_us =
	    g_get_monotonic_time() + CLOSE_TIMEOUT_MS * US_PER_MS;
	long memory_before_kb = memory_kb(gateway_node), growth_kb = 0;
	GString *piece = g_string_new(NULL);
	size_t sent = 0, offset = 0;

	while (piece->len < PIECE_BYTES)
		g_string_append(piece, answer->repeat);
	for (;;) {
		struct pollfd ready = {
		    .fd = server_fd, .events = POLLOUT | POLLRDHUP};
		ssize_t count;

		ck_assert_msg(g_get_monotonic_time() < deadline_us,
		    "the connection stays open (%s)", answer->what);
		drop_input(client_fd);
		growth_kb =
		    MAX(growth_kb, memory_kb(gateway_node) - memory_before_kb);
		poll(&ready, 1, 10);
		if ((ready.revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0)
			break;
		if ((ready.revents & POLLOUT) == 0 || sent > SENT_MAX_BYTES)
			continue;
		count = send(server_fd, piece->str + offset,
		    piece->len - offset, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (count < 0 && errno != EAGAIN)
			break;
		if (count < 0)
			continue;
		sent += (size_t)count;
		offset = (offset + (size_t)count) % piece->len;
	}
	g_string_free(piece, TRUE);
	return growth_kb;
}

/* Checks that the process still answers: here, that no route matches. */
static void
expect_service(void)
{
	int fd = gateway_send_request("/nowhere/", "id-2");
	char *response = wire_read_message(fd);

	ck_assert(g_str_has_prefix(response, "HTTP/1.1 404"));
	g_free(response);
	close(fd);
}

/*
 * Guards against memory that grows with such an answer, and against requests
 * and connections that outlive the deadline.
 */
START_TEST(endless_answer_is_cut_off)
{
	const struct answer *answer = &answers[_i];
	gateway_exchange_t exchange = gateway_exchange_open(answer->path,
	    answer->from_engine ? backend_listener_2 : backend_listener_1);
	long growth_kb;

	wire_send(exchange.server_fd, answer->start);
	growth_kb =
	    send_until_closed(exchange.server_fd, exchange.client_fd, answer);
	ck_assert_msg(growth_kb <= MEMORY_GROWTH_MAX_KB,
	    "memory grew by %ld kB (%s)", growth_kb, answer->what);
	gateway_exchange_close(&exchange);
	expect_service();
}
END_TEST

/*
 * Bodies without end that are costly to read: each shape of events has its own
 * way through the parsers.
 */
static const struct flood {
	const char *what;
	bool is_events;
	const char *repeat;
	size_t chunk_bytes;
} floods[] = {
    {"tiny chunks", false, "a", 1},
    {"empty lines", true, "\n", FLOOD_BYTES},
    {"empty lines in tiny chunks", true, "\n", 1},
    {"empty lines, CR LF", true, "\r\n", FLOOD_BYTES},
    {"comments", true, ":\n\n", FLOOD_BYTES},
    {"events without data", true, "data:\n\n", FLOOD_BYTES},
    {"events of an id", true, "id: 1\n\n", FLOOD_BYTES},
    {"events, CR LF", true, "a\r\n\r\n", FLOOD_BYTES},
};

static GString *
flood_chunks(const struct flood *flood)
{
	GString *body = g_string_new(NULL);
	GString *chunks = g_string_new(NULL);

	while (body->len < FLOOD_BYTES)
		g_string_append(body, flood->repeat);
	wire_append_chunks(chunks, body, flood->chunk_bytes);
	g_string_free(body, TRUE);
	return chunks;
}

/* A faulty server's process: one response without end. */
static pid_t
start_faulty_server(const struct flood *flood)
{
	pid_t pid = fork();
	GString *chunks;
	int fd;

	if (pid != 0)
		return pid;
	chunks = flood_chunks(flood);
	fd = wire_accept(
	    flood->is_events ? backend_listener_2 : backend_listener_1);
	g_free(wire_read_message(fd));
	wire_send(fd, RESPONSE_HEAD);
	while (send(fd, chunks->str, chunks->len, MSG_NOSIGNAL) > 0)
		;
	_exit(0);
}

/* A caller's process: reads whatever comes. */
static pid_t
start_caller(const struct flood *flood)
{
	static char buffer[PIECE_BYTES];
	pid_t pid = fork();
	int fd;

	if (pid != 0)
		return pid;
	fd = gateway_send_request(
	    flood->is_events ? "/write/a" : "/read/a", "id-1");
	while (recv(fd, buffer, sizeof(buffer), 0) > 0)
		;
	_exit(0);
}

/* Time of a request to a sound server of another service, which responds at
 * once. */
static int64_t
request_ms(const struct flood *flood)
{
	gint64 start_us = g_get_monotonic_time();
	gateway_exchange_t exchange =
	    gateway_exchange_open(flood->is_events ? "/read/a" : "/write/a",
		flood->is_events ? backend_listener_1 : backend_listener_2);

	wire_send(exchange.server_fd,
	    RESPONSE_HEAD "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
	g_free(wire_read_until(exchange.client_fd,
	    flood->is_events ? "data: a\n\n" : "\r\n0\r\n\r\n"));
	gateway_exchange_close(&exchange);
	return (g_get_monotonic_time() - start_us) / US_PER_MS;
}

/*
 * Guards against a process that is busy with what one faulty server sends, and
 * answers no other client in time.
 */
START_TEST(a_faulty_server_does_not_hold_up_requests_to_others)
{
	const struct flood *flood = &floods[_i];
	pid_t children[2 * CALLERS];

	for (int i = 0; i < CALLERS; i++) {
		children[2 * i] = start_faulty_server(flood);
		children[2 * i + 1] = start_caller(flood);
	}
	g_usleep(300 * US_PER_MS);
	for (int i = 0; i < REQUESTS_BESIDE; i++) {
		int64_t elapsed_ms = request_ms(flood);

		ck_assert_msg(elapsed_ms <= OBJECTIVE_MS, "%s: %" PRId64 " ms",
		    flood->what, elapsed_ms);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(children); i++) {
		kill(children[i], SIGKILL);
		waitpid(children[i], NULL, 0);
	}
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("endless");
	TCase *cases = tcase_create("endless");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_loop_test(
	    cases, endless_answer_is_cut_off, 0, G_N_ELEMENTS(answers));
	tcase_add_loop_test(cases,
	    a_faulty_server_does_not_hold_up_requests_to_others, 0,
	    G_N_ELEMENTS(floods));
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
