#include "peer.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	FRAME_BYTES = 64 * 1024,
	/* Far more than the socket buffers and the queue hold together. */
	FRAMES_MAX = 4096,
	LOOP_TIMEOUT_MS = 20000,
};

static uv_loop_t *loop;
static counters_t *counters;
static GRand *rand_source;
static unsigned connected_count, message_count;

static void
on_link_connected(peer_link_t *link, void *data)
{
	connected_count++;
}

static bool
on_hello(const message_t *message, void *data)
{
	return true;
}

static void
on_message(const char *from_node, const message_t *message, void *data)
{
	message_count++;
}

static void
on_node_disconnected(const char *node, void *data)
{
}

static peer_hub_t *
hub_new(void)
{
	peer_hub_options_t options = {
	    .loop = loop,
	    .address = "127.0.0.1",
	    .counters = counters,
	    .rand = rand_source,
	    .on_link_connected = on_link_connected,
	    .on_hello = on_hello,
	    .on_message = on_message,
	    .on_node_disconnected = on_node_disconnected,
	};
	peer_hub_t *hub = peer_hub_new(&options, NULL);

	ck_assert_ptr_nonnull(hub);
	return hub;
}

static void
set_up(void)
{
	loop = uv_default_loop();
	counters = counters_new();
	rand_source = g_rand_new_with_seed(1);
	connected_count = 0;
	message_count = 0;
}

static void
tear_down(void)
{
	uv_run(loop, UV_RUN_DEFAULT);
	counters_free(counters);
	g_rand_free(rand_source);
}

/* Runs the loop until a count reaches a value. */
static void
run_until(const unsigned *count, unsigned value)
{
	gint64 deadline_us = g_get_monotonic_time() + LOOP_TIMEOUT_MS * 1000LL;

	while (*count < value) {
		ck_assert(g_get_monotonic_time() < deadline_us);
		uv_run(loop, UV_RUN_ONCE);
	}
}

/* A socket that listens and never reads. */
static int
listen_without_reading(char *address, size_t size)
{
	struct sockaddr_in bound = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(bound);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&bound, sizeof(bound)), 0);
	ck_assert_int_eq(listen(fd, 8), 0);
	getsockname(fd, (struct sockaddr *)&bound, &length);
	g_snprintf(address, size, "127.0.0.1:%d", ntohs(bound.sin_port));
	return fd;
}

/* Guards against unbounded buffering for a peer that does not read. */
START_TEST(a_peer_that_does_not_read_is_disconnected)
{
	void *zeros = g_malloc0(FRAME_BYTES);
	GBytes *frame = g_bytes_new_take(zeros, FRAME_BYTES);
	peer_hub_t *hub = hub_new();
	char address[32];
	int fd = listen_without_reading(address, sizeof(address));
	peer_link_t *link = peer_link_open(hub, address);
	unsigned sent = 0;

	run_until(&connected_count, 1);
	while (sent < FRAMES_MAX && peer_link_send(link, frame)) {
		sent++;
		uv_run(loop, UV_RUN_NOWAIT);
	}
	ck_assert_uint_lt(sent, FRAMES_MAX);
	ck_assert(!peer_link_connected(link));
	ck_assert_uint_eq(
	    *counter_get(counters, "peer_slow_disconnected_total"), 1);
	ck_assert(!peer_link_send(link, frame));
	/* The link reconnects, as the peer may have recovered. */
	run_until(&connected_count, 2);
	ck_assert(peer_link_connected(link));
	peer_hub_free(hub);
	g_bytes_unref(frame);
	close(fd);
}
END_TEST

static GBytes *
encode_frame(const message_t *message)
{
	GByteArray *frame = g_byte_array_new();

	message_encode(message, frame);
	return g_byte_array_free_to_bytes(frame);
}

/*
 * Guards against losing messages that are sent while the link is connecting,
 * and against accepting messages from a connection that has sent no hello.
 */
START_TEST(queued_messages_are_accepted_after_hello)
{
	message_t hello = {.type = MESSAGE_HELLO,
	    .hello = {.node = "n1",
		.zone = "a",
		.http_address = "127.0.0.1:1",
		.peer_address = "127.0.0.1:2"}};
	message_t settings_request = {.type = MESSAGE_SETTINGS_REQUEST,
	    .settings_request = {.team = "t"}};
	GBytes *hello_frame = encode_frame(&hello),
	       *settings_request_frame = encode_frame(&settings_request);
	peer_hub_t *hub = hub_new();
	peer_link_t *link_with_hello, *link_without_hello;
	char address[32];

	g_snprintf(
	    address, sizeof(address), "127.0.0.1:%d", peer_hub_port(hub));
	link_with_hello = peer_link_open(hub, address);
	link_without_hello = peer_link_open(hub, address);
	ck_assert(peer_link_send(link_with_hello, hello_frame));
	ck_assert(peer_link_send(link_with_hello, settings_request_frame));
	ck_assert(peer_link_send(link_without_hello, settings_request_frame));
	run_until(&message_count, 1);
	/* The hub closes link_without_hello, which then reconnects. */
	run_until(&connected_count, 3);
	ck_assert_uint_eq(message_count, 1);
	ck_assert_uint_eq(
	    *counter_get(counters, "peer_unexpected_messages_total"), 1);
	ck_assert(peer_link_connected(link_with_hello));
	peer_hub_free(hub);
	g_bytes_unref(hello_frame);
	g_bytes_unref(settings_request_frame);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("link");
	TCase *tests = tcase_create("link");

	tcase_add_checked_fixture(tests, set_up, tear_down);
	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, a_peer_that_does_not_read_is_disconnected);
	tcase_add_test(tests, queued_messages_are_accepted_after_hello);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
