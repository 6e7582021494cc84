#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Clients that try to exhaust the memory or the descriptors of a gateway. Each
 * test starts its own process and checks that it lives, that its peak memory
 * and its descriptors stay under the limits of its settings, and that an
 * ordinary booking is answered beside the crowd and after it.
 */

enum {
	US_PER_MS = 1000,
	KIB = 1024,
	MIB = 1024 * 1024,
	/* Limits of the settings; they are the bounds that are checked. */
	MEMORY_MB = 64,
	FDS_MAX = 2000,
	FDS_MAX_FEW = 460,
	BODY_MAX_BYTES = 1 * MIB,
	CROWD = 100,
	/* Fewer would not reach the memory limit, as each queue is bounded. */
	READERS = 250,
	/* More than the process may have open. */
	CROWD_OF_CONNECTIONS = 500,
	CROWD_MAX = 500,
	DISTINCT_KEYS = 20000,
	/* A crowd is done when no client has sent anything for so long. */
	QUIET_MS = 300,
	CROWD_TIMEOUT_MS = 10000,
	PIECE_BYTES = 64 * KIB,
	RECEIVE_BUFFER_BYTES = 4 * KIB,
	MIX_ROUNDS = 4,
};

#define HEAD "POST /nowhere/ HTTP/1.1\r\nHost: t.example\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define REQUEST                                          \
	"POST /nowhere/ HTTP/1.1\r\nHost: t.example\r\n" \
	"Content-Length: 0\r\n\r\n"
#define BUSY_REQUEST                                    \
	"POST /write/ HTTP/1.1\r\nHost: t.example\r\n"  \
	"X-Attempt-Id: id-1\r\nX-Deadline-Ms: 3000\r\n" \
	"Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n"

/* What one client sends; it never reads, and stays connected. */
typedef struct shape {
	const char *what;
	const char *start;   /* sent once */
	size_t chunk_bytes;  /* repeat chunks of this size; 0: see repeat */
	const char *repeat;  /* NULL: nothing is repeated */
	size_t repeat_bytes; /* sent of the repeated text */
} shape_t;

static const shape_t shapes[] = {
    {"large chunks, one byte short", CHUNKED, PIECE_BYTES, NULL,
	(size_t)16 * (PIECE_BYTES + 9) - 3},
    {"one-byte chunks, one byte short", CHUNKED, 1, NULL,
	(size_t)256 * KIB * 6 - 3},
    {"Content-Length, one byte short", HEAD "Content-Length: 1048576\r\n\r\n",
	0, "abcdefgh", MIB - 1},
    {"announced far over the limit", HEAD "Content-Length: 67108864\r\n\r\n", 0,
	"abcdefgh", (size_t)4 * MIB},
    {"chunks without end", CHUNKED, PIECE_BYTES, NULL, (size_t)4 * MIB},
    {"header without end", HEAD "X-Filler: ", 0, "abcdefgh", MIB},
    {"headers without end", HEAD, 0, "X-F: a\r\n", MIB},
    {"head one byte short", HEAD "X-Filler: ", 0, "abcdefgh", 3800},
    {"trailers without end", CHUNKED "0\r\n", 0, "X-T: abcdefgh\r\n", MIB},
    {"chunk extension without end", CHUNKED "8;", 0, "abcdefgh", MIB},
    {"pipelined requests, one in progress", BUSY_REQUEST, 0, REQUEST, MIB},
    {"pipelined requests, responses not read", REQUEST, 0, REQUEST,
	(size_t)2 * MIB},
};

typedef struct sender {
	int fd; /* -1: closed */
	const shape_t *shape;
	GString *text; /* borrowed; start, then one piece to repeat */
	size_t sent;
} sender_t;

typedef struct crowd {
	sender_t senders[CROWD_MAX];
	size_t count;
} crowd_t;

static crowd_t crowd;
static GString *texts[G_N_ELEMENTS(shapes)];

/* Number after a name in a file of /proc. */
static long
proc_value(const char *file, const char *name)
{
	char *path =
	    g_strdup_printf("/proc/%d/%s", (int)gateway_node->pid, file);
	char *text = NULL;
	const char *found;
	long value;

	ck_assert_msg(g_file_get_contents(path, &text, NULL, NULL),
	    "the process has ended");
	found = strstr(text, name);
	ck_assert_ptr_nonnull(found);
	value = strtol(found + strlen(name), NULL, 10);
	g_free(text);
	g_free(path);
	return value;
}

static unsigned
open_descriptors(void)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)gateway_node->pid);
	GDir *directory = g_dir_open(path, 0, NULL);
	unsigned count = 0;

	ck_assert_ptr_nonnull(directory);
	while (g_dir_read_name(directory) != NULL)
		count++;
	g_dir_close(directory);
	g_free(path);
	return count;
}

/* The start of a shape and enough of its repetition to send in one call. */
static GString *
shape_text(const shape_t *shape)
{
	GString *text = g_string_new(shape->start);
	char *filler = g_strnfill(shape->chunk_bytes, 'a');
	size_t start = text->len;

	if (shape->chunk_bytes == 0 && shape->repeat == NULL)
		goto done;
	while (text->len - start < PIECE_BYTES) {
		if (shape->chunk_bytes == 0)
			g_string_append(text, shape->repeat);
		else
			g_string_append_printf(
			    text, "%zx\r\n%s\r\n", shape->chunk_bytes, filler);
	}
done:
	g_free(filler);
	return text;
}

static void
crowd_add(size_t index)
{
	ck_assert_uint_lt(crowd.count, CROWD_MAX);
	if (texts[index] == NULL)
		texts[index] = shape_text(&shapes[index]);
	crowd.senders[crowd.count++] = (sender_t){
	    .fd =
		wire_connect_slow(gateway_node->address, RECEIVE_BUFFER_BYTES),
	    .shape = &shapes[index],
	    .text = texts[index],
	};
}

static size_t
bytes_to_send(const sender_t *sender)
{
	return strlen(sender->shape->start) + sender->shape->repeat_bytes;
}

/* Sends what the socket takes, at most one piece; false: nothing. */
static bool
sender_step(sender_t *sender)
{
	size_t start = strlen(sender->shape->start), offset = sender->sent;
	size_t length;
	ssize_t count;

	if (offset >= sender->text->len)
		offset = start + (offset - start) % (sender->text->len - start);
	length = MIN(
	    sender->text->len - offset, bytes_to_send(sender) - sender->sent);
	count = send(sender->fd, sender->text->str + offset, length,
	    MSG_NOSIGNAL | MSG_DONTWAIT);
	if (count >= 0) {
		sender->sent += (size_t)count;
		return count > 0;
	}
	if (errno != EAGAIN) {
		close(sender->fd);
		sender->fd = -1;
	}
	return errno != EAGAIN;
}

/* Lets every client send until none can or wants to send more. */
static void
crowd_run(void)
{
	gint64 now_us = g_get_monotonic_time(), progress_us = now_us;
	gint64 end_us = now_us + CROWD_TIMEOUT_MS * US_PER_MS;

	while (now_us < end_us && now_us - progress_us < QUIET_MS * US_PER_MS) {
		bool progress = false;

		for (size_t i = 0; i < crowd.count; i++) {
			sender_t *sender = &crowd.senders[i];

			if (sender->fd >= 0 &&
			    sender->sent < bytes_to_send(sender))
				progress |= sender_step(sender);
		}
		if (!progress)
			g_usleep(US_PER_MS);
		now_us = g_get_monotonic_time();
		if (progress)
			progress_us = now_us;
	}
}

static void
crowd_close(void)
{
	for (size_t i = 0; i < crowd.count; i++)
		if (crowd.senders[i].fd >= 0)
			close(crowd.senders[i].fd);
	crowd.count = 0;
}

/* Sends a request, which the server at the listener answers. */
static void
expect_answer(const char *path, int listener)
{
	int client_fd = gateway_send_request(path, "id-1"), server_fd;
	char *response;

	if (!wire_wait_connection(listener, WIRE_TIMEOUT_MS)) {
		response = wire_read_message(client_fd);
		ck_abort_msg(
		    "the request did not reach its server: %s", response);
	}
	server_fd = wire_accept(listener);
	g_free(wire_read_message(server_fd));
	wire_send(server_fd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
			     "X-Response-Stamp: s\r\nConnection: close\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n"
			     "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
	response = wire_read_until(client_fd, "data: a");
	ck_assert_msg(
	    g_str_has_prefix(response, "HTTP/1.1 200"), "%s", response);
	g_free(response);
	close(client_fd);
	close(server_fd);
}

static void
expect_booking(void)
{
	expect_answer("/book/a", backend_listener_1);
}

static void
expect_bounds(const char *what)
{
	long peak_kb = proc_value("status", "VmHWM:");
	unsigned descriptors = open_descriptors();

	g_printerr(
	    "%s: peak %ld kB, %u descriptors\n", what, peak_kb, descriptors);
	ck_assert_msg(peak_kb < (long)MEMORY_MB * KIB,
	    "memory reached %ld kB (%s)", peak_kb, what);
	ck_assert_msg(descriptors < (unsigned)gateway_limits.fds_max,
	    "%u descriptors are open (%s)", descriptors, what);
}

static void
setup(void)
{
	gateway_limits.memory_mb = MEMORY_MB;
	gateway_limits.fds_max = FDS_MAX;
	gateway_limits.body_bytes = BODY_MAX_BYTES;
	gateway_fixture_setup();
}

static void
setup_few_descriptors(void)
{
	gateway_limits.memory_mb = MEMORY_MB;
	gateway_limits.fds_max = FDS_MAX_FEW;
	gateway_limits.body_bytes = BODY_MAX_BYTES;
	gateway_fixture_setup();
}

static void
teardown(void)
{
	crowd_close();
	gateway_fixture_teardown();
}

/* Guards against memory that grows with what many clients have sent. */
START_TEST(crowd_stays_within_the_limits)
{
	for (size_t i = 0; i < CROWD; i++)
		crowd_add((size_t)_i);
	crowd_run();
	expect_bounds(shapes[_i].what);
	expect_booking();
	crowd_close();
	expect_booking();
	expect_bounds(shapes[_i].what);
}
END_TEST

/*
 * Guards against combinations: a client of one kind must not get room for
 * those of another kind. The seed is printed; PAPAYA_SEED repeats a run.
 */
START_TEST(mixed_crowd_stays_within_the_limits)
{
	const char *given = g_getenv("PAPAYA_SEED");
	guint32 seed =
	    given == NULL ? g_random_int() : (guint32)strtoul(given, NULL, 10);
	GRand *random = g_rand_new_with_seed(seed);

	g_printerr("PAPAYA_SEED=%u\n", seed);
	for (int round = 0; round < MIX_ROUNDS; round++) {
		for (size_t i = 0; i < CROWD; i++)
			crowd_add((size_t)g_rand_int_range(
			    random, 0, (gint32)G_N_ELEMENTS(shapes)));
		crowd_run();
		expect_booking();
		crowd_close();
	}
	expect_booking();
	expect_bounds("mixed");
	g_rand_free(random);
}
END_TEST

/* start: what each connection sends before it falls silent. */
static void
expect_connections_are_bounded(const char *start)
{
	static int fds[CROWD_OF_CONNECTIONS];

	for (size_t i = 0; i < CROWD_OF_CONNECTIONS; i++) {
		fds[i] = wire_connect(gateway_node->address);
		send(fds[i], start, strlen(start), MSG_NOSIGNAL);
	}
	expect_booking();
	expect_bounds("connections");
	for (size_t i = 0; i < CROWD_OF_CONNECTIONS; i++)
		close(fds[i]);
	expect_booking();
}

/* Guards against clients that take all descriptors and send nothing. */
START_TEST(idle_connections_are_bounded)
{
	expect_connections_are_bounded("");
}
END_TEST

/* Guards against the same with requests that are never complete. */
START_TEST(connections_with_partial_requests_are_bounded)
{
	expect_connections_are_bounded(CHUNKED);
}
END_TEST

/* One backend connection that sends as much as the gateway takes. */
static int
accept_and_start_answer(void)
{
	int fd = wire_accept(backend_listener_1);

	g_free(wire_read_message(fd));
	wire_send(fd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
		      "Content-Length: 4194304\r\n\r\n");
	return fd;
}

/* Guards against memory that grows with responses that nobody reads. */
START_TEST(responses_that_are_not_read_are_bounded)
{
	static const char request[] =
	    "GET /read/a HTTP/1.1\r\nHost: t.example\r\n"
	    "X-Attempt-Id: id-1\r\nX-Deadline-Ms: 60000\r\n"
	    "Authorization: Bearer key-1\r\n\r\n";
	static char piece[PIECE_BYTES];
	static int clients[READERS], servers[READERS];
	unsigned count = 0;
	bool progress = true;

	for (size_t i = 0; i < READERS; i++) {
		clients[i] = wire_connect_slow(
		    gateway_node->address, RECEIVE_BUFFER_BYTES);
		wire_send(clients[i], request);
		if (!wire_wait_connection(backend_listener_1, 500))
			break;
		servers[count++] = accept_and_start_answer();
	}
	for (int quiet = 0; quiet < QUIET_MS; quiet += progress ? 0 : 1) {
		progress = false;
		for (unsigned i = 0; i < count; i++)
			progress |= send(servers[i], piece, sizeof(piece),
					MSG_NOSIGNAL | MSG_DONTWAIT) > 0;
		if (!progress)
			g_usleep(US_PER_MS);
	}
	/* The plain service is full: bookings would be refused for that. */
	expect_answer("/write/a", backend_listener_2);
	expect_bounds("responses that are not read");
	for (unsigned i = 0; i < count; i++) {
		close(clients[i]);
		close(servers[i]);
	}
	expect_answer("/write/a", backend_listener_2);
}
END_TEST

/* Guards against tables with an entry for each key that a client makes up. */
START_TEST(distinct_keys_are_bounded)
{
	int fd = wire_connect(gateway_node->address);

	for (int i = 0; i < DISTINCT_KEYS; i++) {
		char *request = g_strdup_printf(
		    "POST /book/%d HTTP/1.1\r\nHost: h%d.example\r\n"
		    "X-Attempt-Id: id-%d\r\nAuthorization: Bearer key-%d\r\n"
		    "Content-Length: 0\r\n\r\n",
		    i, i % 2 == 0 ? i : 0, i, i + 3);

		wire_send(fd, request);
		g_free(wire_read_message(fd));
		g_free(request);
	}
	close(fd);
	expect_booking();
	expect_bounds("distinct keys");
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("hostile_clients");
	TCase *cases = tcase_create("memory");
	TCase *descriptors = tcase_create("descriptors");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_loop_test(
	    cases, crowd_stays_within_the_limits, 0, G_N_ELEMENTS(shapes));
	tcase_add_test(cases, mixed_crowd_stays_within_the_limits);
	tcase_add_test(cases, responses_that_are_not_read_are_bounded);
	tcase_add_test(cases, distinct_keys_are_bounded);
	suite_add_tcase(suite, cases);
	tcase_set_timeout(descriptors, 60);
	tcase_add_checked_fixture(descriptors, setup_few_descriptors, teardown);
	tcase_add_test(descriptors, idle_connections_are_bounded);
	tcase_add_test(
	    descriptors, connections_with_partial_requests_are_bounded);
	suite_add_tcase(suite, descriptors);
	return suite_run(suite);
}
