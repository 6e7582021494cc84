#include "http1_server.h"
#include "suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Requests that cross a decision of the server on their connection. The loop
 * does not run while the client sends, as after a pause of the process.
 */

#define REQUEST "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"

enum {
	SHORT_MS = 30,
	LINGER_MS = 1000,
	SLOW_BYTES = 1500 * 1000, /* the kernel takes them at once */
	SLOW_READ_BYTES = 8192,
	SLOW_READS_MAX = 400,
	SLOW_PAUSE_MS = 350,
	LARGE_BYTES = 48 * 1024 * 1024, /* more than the kernel takes */
	STALL_MS = 5100,
};

static uv_loop_t loop;
static http1_server_t *server;
static http1_memory_t memory;
static catalog_limits_t limits;
static GPtrArray *exchanges; /* exchange_t *, not answered */
static struct sockaddr_in address;

static void
on_request(exchange_t *exchange, void *data)
{
	g_ptr_array_add(exchanges, exchange);
}

static const catalog_limits_t *
current_limits(void *data)
{
	return &limits;
}

/* Chooses a port that is free. */
static void
choose_address(void)
{
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address = (struct sockaddr_in){
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	ck_assert_int_eq(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	getsockname(fd, (struct sockaddr *)&address, &length);
	close(fd);
}

static void
setup(void)
{
	http1_server_options_t options = {.connections_max = 1,
	    .sockets_max = 100,
	    .memory = &memory,
	    .on_request = on_request,
	    .limits = current_limits};
	char *text;

	choose_address();
	text = g_strdup_printf("127.0.0.1:%d", ntohs(address.sin_port));
	options.address = text;
	uv_loop_init(&loop);
	limits = catalog_limits_default;
	memory = (http1_memory_t){
	    .received = memory_budget_new(0), .queued = memory_budget_new(0)};
	exchanges = g_ptr_array_new();
	server = http1_server_start(&loop, &options, NULL);
	ck_assert_ptr_nonnull(server);
	g_free(text);
}

static void
teardown(void)
{
	suite_keep(g_memdup2(&loop, sizeof(loop)));
	suite_keep(server);
	suite_keep(exchanges);
	suite_keep(memory.received);
	suite_keep(memory.queued);
}

static void
run_loop(int ms)
{
	for (int i = 0; i < ms; i++) {
		uv_run(&loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
}

static void
send_text(int fd, const char *text)
{
	ck_assert_int_eq(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

/* Opens a connection that the server accepts. */
static int
connect_client(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/* What the client has got; free with g_free(). */
static char *
receive(int fd)
{
	char bytes[4096];
	ssize_t length = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	return g_strndup(bytes, (gsize)MAX(length, 0));
}

/* True if the kernel has refused what the client sent last. */
static bool
is_reset(int fd)
{
	int error = 0;
	socklen_t length = sizeof(error);

	getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
	return error != 0;
}

static void
answer(guint number)
{
	exchange_t *exchange = exchanges->pdata[number];

	exchange_reply(exchange, 200, NULL, "done", 4);
	exchange_unref(exchange);
}

/* Reasons to close a connection that is idle for longer than SHORT_MS. */
static const char *const idle_closes[] = {"limit", "drain", "room"};

static void
close_idle(int reason)
{
	if (reason == 1)
		http1_server_close_idle(server, SHORT_MS);
	if (reason == 2)
		connect_client();
	run_loop(10);
}

static int
open_idle(int reason)
{
	int fd;

	if (reason == 0)
		limits.idle_timeout_ms = SHORT_MS;
	fd = connect_client();
	run_loop(10);
	g_usleep(2 * SHORT_MS * 1000);
	return fd;
}

/*
 * Guards against a request that is sent as its connection is closed for being
 * idle, and read and dropped: its client cannot tell that it has not run.
 */
START_TEST(request_that_crosses_an_idle_close_is_reset)
{
	int fd = open_idle(_i);

	close_idle(_i);
	send_text(fd, REQUEST);
	run_loop(10);
	ck_assert_msg(is_reset(fd), "%s: it was read", idle_closes[_i]);
	ck_assert_uint_eq(exchanges->len, 0);
	close(fd);
}
END_TEST

/*
 * Guards against a connection that a process closes as idle after a pause, in
 * which a request has come.
 */
START_TEST(request_that_came_before_an_idle_close_is_passed_on)
{
	int fd = open_idle(_i);

	if (_i == 2)
		connect_client(); /* is accepted before the request is read */
	send_text(fd, REQUEST);
	close_idle(_i % 2);
	ck_assert_msg(exchanges->len == 1, "%s: closed", idle_closes[_i]);
	answer(0);
	close(fd);
}
END_TEST

/* The same as the first, soon after a response, which must arrive. */
START_TEST(request_after_a_closing_response_is_reset)
{
	int fd = connect_client();
	char *text;

	send_text(fd, REQUEST);
	run_loop(10);
	http1_server_drain(server);
	answer(0);
	run_loop(10);
	send_text(fd, REQUEST);
	run_loop(LINGER_MS + 100);
	text = receive(fd);
	ck_assert(g_str_has_suffix(text, "done"));
	ck_assert(is_reset(fd));
	ck_assert_uint_eq(exchanges->len, 1);
	ck_assert_uint_eq(http1_server_losses(server, HTTP1_LOST_LATE), 1);
	g_free(text);
	close(fd);
}
END_TEST

/* A client that reads slowly, so that a response stays in the kernel. */
static int
connect_slow_client(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0), bytes = SLOW_READ_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	send_text(fd, REQUEST);
	run_loop(10);
	return fd;
}

/* Answers with so many bytes of body. */
static void
answer_large(size_t length)
{
	exchange_t *exchange = exchanges->pdata[0];
	char *body = g_malloc0(length);

	exchange_reply(exchange, 200, NULL, body, length);
	exchange_unref(exchange);
	g_free(body);
	run_loop(2);
}

/* Reads slowly to the end of the connection; returns the number of bytes. */
static size_t
read_slowly(int fd)
{
	char bytes[SLOW_READ_BYTES];
	size_t sum = 0;
	ssize_t length;

	for (int i = 0; i < SLOW_READS_MAX; i++) {
		run_loop(10);
		length = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (length == 0 || (length < 0 && errno != EAGAIN))
			break;
		sum += (size_t)MAX(length, 0);
	}
	return sum;
}

/*
 * Guards against a close that discards the rest of a response, as a request
 * that crosses it lies unread.
 */
START_TEST(late_request_does_not_cut_a_response)
{
	int fd = connect_slow_client();

	http1_server_drain(server);
	answer_large(SLOW_BYTES);
	ck_assert_uint_eq(http1_server_connections(server), 0);
	send_text(fd, REQUEST);
	ck_assert_uint_ge(read_slowly(fd), SLOW_BYTES);
	close(fd);
}
END_TEST

/* The same after a close for idleness. */
START_TEST(request_after_an_idle_close_does_not_cut_a_response)
{
	int fd = connect_slow_client();

	answer_large(SLOW_BYTES);
	run_loop(SLOW_PAUSE_MS);
	http1_server_close_idle(server, SHORT_MS);
	ck_assert_uint_eq(http1_server_connections(server), 0);
	send_text(fd, REQUEST);
	ck_assert_uint_ge(read_slowly(fd), SLOW_BYTES);
	close(fd);
}
END_TEST

/* Reads what has come to the client; returns the number of bytes. */
static size_t
read_available(int fd)
{
	static char bytes[1 << 16];
	size_t sum = 0;
	ssize_t length;

	while ((length = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
		sum += (size_t)length;
	return sum;
}

/* Guards against a pause of the process that is taken for a stalled client. */
START_TEST(client_that_reads_in_a_pause_is_not_reset)
{
	int fd = connect_client();
	size_t sum;

	send_text(fd, REQUEST);
	run_loop(10);
	http1_server_drain(server);
	answer_large(LARGE_BYTES);
	ck_assert_uint_eq(http1_server_connections(server), 1);
	sum = read_available(fd);
	g_usleep(STALL_MS * 1000);
	for (int i = 0; i < SLOW_READS_MAX && sum < LARGE_BYTES; i++) {
		run_loop(2);
		sum += read_available(fd);
	}
	ck_assert_uint_ge(sum, LARGE_BYTES);
	close(fd);
}
END_TEST

/*
 * Guards against a clean end behind a response for a request that was read
 * after the head had announced the close.
 */
START_TEST(request_behind_an_announced_close_is_reset)
{
	int fd = connect_client();
	exchange_t *exchange;
	char *text;

	send_text(fd, REQUEST);
	run_loop(10);
	http1_server_drain(server);
	exchange = exchanges->pdata[0];
	exchange_start(
	    exchange, &(http1_head_t){.status = 200}, EXCHANGE_CHUNKED);
	send_text(fd, REQUEST);
	run_loop(10);
	exchange_end(exchange);
	exchange_unref(exchange);
	run_loop(LINGER_MS + 100);
	text = receive(fd);
	ck_assert(g_str_has_suffix(text, "0\r\n\r\n"));
	ck_assert(is_reset(fd));
	g_free(text);
	close(fd);
}
END_TEST

/* Counts responses in what the client has got. */
static unsigned
count_responses(const char *text)
{
	unsigned count = 0;

	while ((text = strstr(text, "done")) != NULL) {
		text++;
		count++;
	}
	return count;
}

/*
 * Guards against requests that have been read behind another, and are dropped
 * as a planned stop closes their connection after that one.
 */
START_TEST(requests_behind_another_are_answered_in_a_planned_stop)
{
	int fd = connect_client();
	char *text;

	send_text(fd, REQUEST REQUEST REQUEST);
	run_loop(10);
	http1_server_drain(server);
	for (guint i = 0; i < 3; i++) {
		ck_assert_uint_eq(exchanges->len, i + 1);
		answer(i);
		run_loop(10);
	}
	text = receive(fd);
	ck_assert_uint_eq(count_responses(text), 3);
	ck_assert(strstr(text, "Connection: close") >
		  strstr(strstr(text, "done") + 1, "done"));
	g_free(text);
	close(fd);
}
END_TEST

/* Guards against a 408 for a request that came whole, but during a pause. */
START_TEST(request_that_became_whole_in_a_pause_is_passed_on)
{
	int fd = connect_client();

	limits.head_timeout_ms = SHORT_MS;
	send_text(fd, "POST / HTTP/1.1\r\n");
	run_loop(10);
	send_text(fd, "Host: h\r\nContent-Length: 0\r\n\r\n");
	g_usleep(2 * SHORT_MS * 1000);
	run_loop(10);
	ck_assert_uint_eq(exchanges->len, 1);
	answer(0);
	send_text(fd, "POST / HTTP/1.1\r\n");
	run_loop(10);
	send_text(fd, "Host: h\r\n");
	g_usleep(2 * SHORT_MS * 1000);
	run_loop(200);
	ck_assert_uint_eq(
	    http1_server_refusals(server, HTTP1_REFUSED_TIMEOUT), 1);
	close(fd);
}
END_TEST

/* Guards against 413 for a body that was allowed when it began. */
START_TEST(body_in_progress_keeps_its_limit)
{
	int fd = connect_client();

	send_text(fd, "POST / HTTP/1.1\r\nHost: h\r\n"
		      "Content-Length: 4\r\n\r\nbo");
	run_loop(10);
	limits.body_bytes = 1;
	send_text(fd, "dy");
	run_loop(10);
	ck_assert_uint_eq(exchanges->len, 1);
	answer(0);
	send_text(fd, REQUEST);
	run_loop(10);
	ck_assert_uint_eq(exchanges->len, 1);
	close(fd);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("http1_server");
	TCase *cases = tcase_create("http1_server");

	signal(SIGPIPE, SIG_IGN);
	tcase_set_timeout(cases, 30);
	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_loop_test(cases, request_that_crosses_an_idle_close_is_reset,
	    0, G_N_ELEMENTS(idle_closes));
	tcase_add_loop_test(cases,
	    request_that_came_before_an_idle_close_is_passed_on, 0,
	    G_N_ELEMENTS(idle_closes));
	tcase_add_test(cases, request_after_a_closing_response_is_reset);
	tcase_add_test(cases, late_request_does_not_cut_a_response);
	tcase_add_test(
	    cases, request_after_an_idle_close_does_not_cut_a_response);
	tcase_add_test(cases, client_that_reads_in_a_pause_is_not_reset);
	tcase_add_test(cases, request_behind_an_announced_close_is_reset);
	tcase_add_test(
	    cases, requests_behind_another_are_answered_in_a_planned_stop);
	tcase_add_test(
	    cases, request_that_became_whole_in_a_pause_is_passed_on);
	tcase_add_test(cases, body_in_progress_keeps_its_limit);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
