#include "conn.h"
#include "suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * How the end of a connection is reported. The peer's bytes and its end are in
 * the kernel before the loop runs, as after a pause of the process.
 */

enum {
	PART_BYTES = 1000,
	/* Most that is read from one connection in a round of the loop. */
	ROUND_MAX_BYTES = 64 * 1024,
	ROUNDS_MAX = 1000,
	SOCKET_BUFFER_BYTES = 1024 * 1024,
};

typedef struct fixture {
	uv_loop_t loop;
	conn_t *conn;
	int peer;
	size_t received_bytes;
	bool ended;
	int error;
} fixture_t;

static fixture_t fixture;

static void
on_connect(conn_t *conn, int error, void *data)
{
	ck_assert_int_eq(error, 0);
	uv_stop(&fixture.loop);
}

static void
on_data(conn_t *conn, const char *bytes, size_t length, void *data)
{
	fixture.received_bytes += length;
}

static void
on_end(conn_t *conn, int error, void *data)
{
	fixture.ended = true;
	fixture.error = error;
	uv_stop(&fixture.loop);
}

/* Opens a connection to a socket of the test. */
static void
setup(void)
{
	static const conn_callbacks_t callbacks = {
	    .on_connect = on_connect, .on_data = on_data, .on_end = on_end};
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);

	memset(&fixture, 0, sizeof(fixture));
	uv_loop_init(&fixture.loop);
	ck_assert_int_eq(
	    bind(listener, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(listener, 1), 0);
	getsockname(listener, (struct sockaddr *)&address, &length);
	fixture.conn =
	    conn_connect(&fixture.loop, &address, 0, &callbacks, NULL);
	ck_assert_ptr_nonnull(fixture.conn);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	fixture.peer = accept(listener, NULL, NULL);
	ck_assert_int_ge(fixture.peer, 0);
	close(listener);
}

static void
teardown(void)
{
	conn_close(fixture.conn);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&fixture.loop), 0);
}

/* The peer sends a part of its data. */
static void
send_part(void)
{
	char bytes[PART_BYTES] = {0};

	ck_assert_int_eq(send(fixture.peer, bytes, sizeof(bytes), 0),
	    (ssize_t)sizeof(bytes));
}

static void
reset_peer(void)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(
	    fixture.peer, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fixture.peer);
}

/* Runs the loop until the end of the connection is reported. */
static void
wait_end(void)
{
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	ck_assert(fixture.ended);
	ck_assert_uint_eq(fixture.received_bytes, PART_BYTES);
}

/* Guards against a response that ends with its connection and is lost. */
START_TEST(an_orderly_end_is_no_error)
{
	send_part();
	close(fixture.peer);
	wait_end();
	ck_assert_int_eq(fixture.error, 0);
}
END_TEST

/* Guards against a reset that is taken for the end of the data. */
START_TEST(a_reset_that_is_seen_with_the_last_bytes_is_an_error)
{
	send_part();
	reset_peer();
	wait_end();
	ck_assert_int_eq(fixture.error, UV_ECONNRESET);
}
END_TEST

/* The same where a write was told of the reset first. */
START_TEST(a_reset_that_a_write_was_told_of_is_an_error)
{
	send_part();
	reset_peer();
	conn_write(fixture.conn, "x", 1);
	wait_end();
	ck_assert_int_ne(fixture.error, 0);
}
END_TEST

/*
 * Guards against a reset that is taken for the end of the data since a look for
 * unread bytes has taken the error off the socket.
 */
START_TEST(a_reset_that_was_looked_at_is_an_error)
{
	send_part();
	while (fixture.received_bytes < PART_BYTES)
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
	ck_assert_int_eq(conn_unread(fixture.conn), CONN_UNREAD_NONE);
	reset_peer();
	ck_assert_int_eq(conn_unread(fixture.conn), CONN_UNREAD_END);
	ck_assert_int_eq(conn_unread(fixture.conn), CONN_UNREAD_END);
	wait_end();
	ck_assert_int_eq(fixture.error, UV_ECONNRESET);
}
END_TEST

/* Guards against bytes, or an end, that a look does not find or takes away. */
START_TEST(a_look_finds_bytes_and_an_orderly_end)
{
	send_part();
	ck_assert_int_eq(conn_unread(fixture.conn), CONN_UNREAD_BYTES);
	close(fixture.peer);
	ck_assert_int_eq(conn_unread(fixture.conn), CONN_UNREAD_BYTES);
	while (fixture.received_bytes < PART_BYTES)
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
	ck_assert_int_eq(conn_unread(fixture.conn), CONN_UNREAD_END);
	if (!fixture.ended)
		wait_end();
	ck_assert_int_eq(fixture.error, 0);
}
END_TEST

/* Guards against complete data that is lost as the peer resets afterwards. */
START_TEST(a_reset_after_an_orderly_end_is_no_error)
{
	conn_write(fixture.conn, "unread", strlen("unread"));
	send_part();
	shutdown(fixture.peer, SHUT_WR);
	close(fixture.peer); /* resets, as bytes are unread */
	wait_end();
	ck_assert_int_eq(fixture.error, 0);
}
END_TEST

/* Sends for as long as the kernel takes it; returns the number of bytes. */
static size_t
send_all_possible(void)
{
	static char bytes[ROUND_MAX_BYTES];
	size_t sent = 0;
	ssize_t count;

	while ((count = send(
		    fixture.peer, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
		sent += (size_t)count;
	return sent;
}

/* Guards against a peer that sends without end and holds up the others. */
START_TEST(a_connection_reads_a_part_in_each_round)
{
	int size = SOCKET_BUFFER_BYTES;
	size_t sent;

	setsockopt(fixture.peer, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	sent = send_all_possible();
	ck_assert_uint_gt(sent, 2 * ROUND_MAX_BYTES);
	for (int i = 0; i < ROUNDS_MAX && fixture.received_bytes < sent; i++) {
		size_t before = fixture.received_bytes;

		uv_run(&fixture.loop, UV_RUN_NOWAIT);
		ck_assert_uint_le(
		    fixture.received_bytes - before, ROUND_MAX_BYTES);
	}
	ck_assert_uint_eq(fixture.received_bytes, sent);
	close(fixture.peer);
}
END_TEST

/* Guards against a pause of reading that the next round of the loop ends. */
START_TEST(a_paused_connection_stays_paused)
{
	size_t sent;

	sent = send_all_possible();
	ck_assert_uint_gt(sent, ROUND_MAX_BYTES);
	while (fixture.received_bytes == 0)
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
	conn_set_reading(fixture.conn, false);
	for (int i = 0; i < 10; i++)
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
	ck_assert_uint_le(fixture.received_bytes, ROUND_MAX_BYTES);
	conn_set_reading(fixture.conn, true);
	for (int i = 0; i < ROUNDS_MAX && fixture.received_bytes < sent; i++)
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
	ck_assert_uint_eq(fixture.received_bytes, sent);
	close(fixture.peer);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("conn");
	TCase *cases = tcase_create("conn");

	signal(SIGPIPE, SIG_IGN);
	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, an_orderly_end_is_no_error);
	tcase_add_test(
	    cases, a_reset_that_is_seen_with_the_last_bytes_is_an_error);
	tcase_add_test(cases, a_reset_that_a_write_was_told_of_is_an_error);
	tcase_add_test(cases, a_reset_that_was_looked_at_is_an_error);
	tcase_add_test(cases, a_look_finds_bytes_and_an_orderly_end);
	tcase_add_test(cases, a_reset_after_an_orderly_end_is_no_error);
	tcase_add_test(cases, a_connection_reads_a_part_in_each_round);
	tcase_add_test(cases, a_paused_connection_stays_paused);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
