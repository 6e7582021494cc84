#include "suite.h"
#include "upstream.h"

#include <arpa/inet.h>
#include <check.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Calls beside a pause of the process, in which the loop does not run. */

#define RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

#define HALF "HTTP/1.1 200 OK\r\n\r\n{\"text\": \"01"

/* Longer than a connection may take. */
enum { PAUSE_US = 450000, ROUNDS = 50 };

/* More than the kernel's buffers hold. */
enum { UPLOAD_BYTES = 16 * 1024 * 1024 };

static uv_loop_t loop;
static upstream_t *upstream;
static int listener, ends;
static upstream_result_t result;

static void
on_head(const http1_head_t *head, const response_facts_t *facts, void *data)
{
}

static void
on_body(const char *bytes, size_t length, void *data)
{
}

static void
on_end(upstream_result_t end, const char *reason, void *data)
{
	ends++;
	result = end;
}

/* Starts a call with a body; NULL: none. */
static upstream_call_t *
start_upload(GByteArray *body)
{
	upstream_request_t request = {.head = "GET / HTTP/1.1\r\n\r\n",
	    .head_length = strlen("GET / HTTP/1.1\r\n\r\n"),
	    .body = body,
	    .reuse_idle_max_ms = INT32_MAX,
	    .on_head = on_head,
	    .on_body = on_body,
	    .on_end = on_end};
	upstream_call_t *call = upstream_call_start(upstream, 0, &request);

	ck_assert_ptr_nonnull(call);
	return call;
}

static void
start_call(void)
{
	start_upload(NULL);
}

static void
run_loop(void)
{
	for (int i = 0; i < ROUNDS; i++) {
		uv_run(&loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
}

static void
setup(void)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);
	char *text;

	ends = 0;
	listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	ck_assert_int_eq(
	    bind(listener, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(listener, 4), 0);
	getsockname(listener, (struct sockaddr *)&address, &length);
	text = g_strdup_printf("127.0.0.1:%d", ntohs(address.sin_port));
	uv_loop_init(&loop);
	upstream = upstream_new(&loop, text);
	g_free(text);
}

static void
teardown(void)
{
	suite_keep(g_memdup2(&loop, sizeof(loop)));
	suite_keep(upstream);
	close(listener);
}

/* Accepts a connection and answers a request on it. */
static int
answer(void)
{
	int fd = accept(listener, NULL, NULL);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_gt(send(fd, RESPONSE, strlen(RESPONSE), MSG_NOSIGNAL), 0);
	run_loop();
	return fd;
}

/* Guards against a server that is taken for unreachable after a pause. */
START_TEST(connection_that_was_made_in_a_pause_is_used)
{
	start_call();
	g_usleep(PAUSE_US);
	run_loop();
	ck_assert_int_eq(ends, 0);
	close(answer());
	ck_assert_int_eq(result, UPSTREAM_COMPLETE);
}
END_TEST

/* Guards against a request that is sent to a connection that has ended. */
START_TEST(connection_that_ended_in_a_pause_is_not_reused)
{
	int fd;

	start_call();
	run_loop();
	fd = answer();
	close(fd);
	start_call();
	run_loop();
	close(answer());
	ck_assert_int_eq(ends, 2);
	ck_assert_int_eq(result, UPSTREAM_COMPLETE);
}
END_TEST

/* Reads what has come; true once all of the upload has been read. */
static bool
read_upload(int fd, size_t *received)
{
	static char bytes[256 * 1024];
	ssize_t length;

	while ((length = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
		*received += (size_t)length;
	return *received >= UPLOAD_BYTES;
}

/* What a server does before it resets the connection. */
static const struct early_reset {
	bool reads_upload; /* all of it, before its answer */
	bool pause_before; /* the call has read the answer before the reset */
	bool is_looked_at; /* the call has been asked for unread bytes after */
} early_resets[] = {
    {false, false, false},
    {false, true, false},
    {false, true, true},
    {true, false, false},
    {true, true, false},
    {true, true, true},
};

/*
 * Guards against half of an early answer without a length that is taken for
 * complete: the server resets while the upload is written, or with its last
 * bytes.
 */
START_TEST(early_answer_that_is_reset_is_incomplete)
{
	const struct early_reset *reset = &early_resets[_i];
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	GByteArray *body = g_byte_array_new();
	size_t received = 0;
	upstream_call_t *call;
	int fd;

	g_byte_array_set_size(body, UPLOAD_BYTES);
	memset(body->data, 'x', UPLOAD_BYTES);
	call = start_upload(body);
	run_loop();
	fd = accept(listener, NULL, NULL);
	ck_assert_int_ge(fd, 0);
	while (reset->reads_upload && !read_upload(fd, &received))
		uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_int_gt(send(fd, HALF, strlen(HALF), MSG_NOSIGNAL), 0);
	if (reset->pause_before)
		run_loop();
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
	if (reset->is_looked_at)
		ck_assert(upstream_call_has_unread(call));
	run_loop();
	ck_assert_int_eq(ends, 1);
	ck_assert_int_ne(result, UPSTREAM_COMPLETE);
	g_byte_array_unref(body);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("upstream");
	TCase *cases = tcase_create("upstream");

	signal(SIGPIPE, SIG_IGN);
	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, connection_that_was_made_in_a_pause_is_used);
	tcase_add_test(cases, connection_that_ended_in_a_pause_is_not_reused);
	tcase_add_loop_test(cases, early_answer_that_is_reset_is_incomplete, 0,
	    G_N_ELEMENTS(early_resets));
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
