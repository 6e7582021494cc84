/*
 * Measures requests beside one faulty backend server of another service, which
 * answers each request with bytes without end. For each shape of bytes and
 * number of streams prints one JSON object: the requests, how many got a 200,
 * their latency, and the longest turn of the host's loop.
 *
 * Usage: bench-turns [STREAMS [SHAPE]]; without arguments all, at 1, 8 and 64
 * streams. PAPAYA_SHARED_CORE=1 pins the host to one core beside three busy
 * processes. PAPAYA_BIN names the folder of the programs.
 */
#include "suite.h"
#include "support.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <poll.h>
#include <sched.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	BODY_BYTES = 64 * 1024,
	RUN_US = 6 * 1000 * 1000,
	WARM_UP_US = 500 * 1000,
	PAUSE_US = 20 * 1000,
	TIMEOUT_S = 4,
	CONNECTIONS_MAX = 512,
	POLL_MS = 100,
	BUSY_PROCESSES = 3,
	REQUESTS_MAX = 1024,
	CHILDREN_MAX = 16,
	SHARED_CORE = 1,
	US_PER_MS = 1000,
	/* A sound server works for so long on each request. */
	WORK_US = 60 * 1000,
};

typedef enum framing { CHUNKS, UNTIL_CLOSE, RAW } framing_t;

static const struct shape {
	const char *name;
	bool is_events; /* on the route of event streams */
	framing_t framing;
	const char *repeat;
	size_t length; /* of repeat */
	size_t chunk_bytes;
} shapes[] = {
    {"empty-lines", true, CHUNKS, "\n", 1, BODY_BYTES},
    {"empty-lines-unframed", true, UNTIL_CLOSE, "\n", 1, 0},
    {"empty-lines-crlf", true, CHUNKS, "\r\n", 2, BODY_BYTES},
    {"empty-lines-chunks-1", true, CHUNKS, "\n", 1, 1},
    {"empty-lines-chunks-2", true, CHUNKS, "\n", 1, 2},
    {"empty-lines-chunks-3", true, CHUNKS, "\n", 1, 3},
    {"comments", true, CHUNKS, ":\n\n", 3, BODY_BYTES},
    {"comments-chunks-3", true, CHUNKS, ":\n\n", 3, 3},
    {"events-data", true, CHUNKS, "data:\n\n", 7, BODY_BYTES},
    {"events-id", true, CHUNKS, "id: 1\n\n", 7, BODY_BYTES},
    {"events-id-chunks-7", true, CHUNKS, "id: 1\n\n", 7, 7},
    {"events-crlf", true, CHUNKS, "a\r\n\r\n", 5, BODY_BYTES},
    {"events-large", true, CHUNKS, "data: 0123456789012345678901234567\n\n", 36,
	36},
    {"lines-cr", true, CHUNKS, "\r", 1, BODY_BYTES},
    {"nul-bytes", true, CHUNKS, "\0", 1, BODY_BYTES},
    {"lines-without-end", true, CHUNKS, "data: x\n", 8, BODY_BYTES},
    {"binary", true, CHUNKS, "\x1f\x8b\x08\xff\n\n", 6, BODY_BYTES},
    {"body", false, CHUNKS, "a", 1, BODY_BYTES},
    {"body-chunks-1", false, CHUNKS, "a", 1, 1},
    {"body-chunks-3", false, CHUNKS, "a", 1, 3},
    {"body-unframed", false, UNTIL_CLOSE, "a", 1, 0},
    {"chunk-extension", false, RAW, "1;aaaaaaaa\r\na\r\n", 15, 0},
    {"header-fields", false, RAW, "X-Filler: a\r\n", 13, 0},
    {"interim-responses", false, RAW, "HTTP/1.1 103 E\r\n\r\n", 18, 0},
    {"empty-lines-before", false, RAW, "\r\n", 2, 0},
};

static pid_t children[CHILDREN_MAX];
static size_t child_count;

/* Starts a process of the bench, which never returns from run(). */
static void
start_child(void (*run)(const struct shape *shape, unsigned streams),
    const struct shape *shape, unsigned streams)
{
	pid_t pid = fork();

	if (pid == 0) {
		signal(SIGPIPE, SIG_IGN);
		run(shape, streams);
		_exit(0);
	}
	children[child_count++] = pid;
}

static void
end_children(void)
{
	while (child_count > 0) {
		kill(children[--child_count], SIGKILL);
		waitpid(children[child_count], NULL, 0);
	}
}

/* What is sent again and again after the head. */
static GString *
flood_bytes(const struct shape *shape)
{
	GString *body = g_string_new(NULL);
	GString *out;

	while (body->len < BODY_BYTES)
		g_string_append_len(body, shape->repeat, (gssize)shape->length);
	if (shape->framing != CHUNKS)
		return body;
	out = g_string_new(NULL);
	wire_append_chunks(out, body, shape->chunk_bytes);
	g_string_free(body, TRUE);
	return out;
}

static char *
response_head(const struct shape *shape, const char *request)
{
	char *id = wire_header(request, "X-Attempt-Id");
	char *head;

	/* These come before, or in, the head. */
	if (strcmp(shape->name, "interim-responses") == 0 ||
	    strcmp(shape->name, "empty-lines-before") == 0)
		head = g_strdup("");
	else if (strcmp(shape->name, "header-fields") == 0)
		head = g_strdup("HTTP/1.1 200 OK\r\n");
	else
		head = g_strdup_printf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
				       "X-Response-Stamp: s\r\n%s\r\n",
		    id,
		    shape->framing == UNTIL_CLOSE
			? ""
			: "Transfer-Encoding: chunked\r\n");
	g_free(id);
	return head;
}

/* A connection of the faulty server. */
typedef struct flood {
	int fd;
	GString *request; /* until it is answered; then NULL */
	size_t offset;
} flood_t;

static void
serve_flood(flood_t *flood, const struct shape *shape, const GString *bytes)
{
	char buffer[4096];
	ssize_t count;

	if (flood->request == NULL) {
		count = send(flood->fd, bytes->str + flood->offset,
		    bytes->len - flood->offset, MSG_DONTWAIT);
		if (count > 0)
			flood->offset =
			    (flood->offset + (size_t)count) % bytes->len;
		return;
	}
	count = recv(flood->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	if (count > 0)
		g_string_append_len(flood->request, buffer, count);
	if (strstr(flood->request->str, "\r\n\r\n") != NULL) {
		char *head = response_head(shape, flood->request->str);

		wire_send(flood->fd, head);
		g_free(head);
		g_string_free(flood->request, TRUE);
		flood->request = NULL;
	}
}

static void
run_faulty_server(const struct shape *shape, unsigned streams)
{
	GString *bytes = flood_bytes(shape);
	int listener =
	    shape->is_events ? backend_listener_2 : backend_listener_1;
	flood_t floods[CONNECTIONS_MAX] = {0};
	struct pollfd fds[CONNECTIONS_MAX + 1];
	unsigned count = 0;

	for (;;) {
		fds[0] = (struct pollfd){.fd = listener, .events = POLLIN};
		for (unsigned i = 0; i < count; i++)
			fds[i + 1] = (struct pollfd){.fd = floods[i].fd,
			    .events =
				floods[i].request == NULL ? POLLOUT : POLLIN};
		poll(fds, count + 1, POLL_MS);
		for (unsigned i = count; i-- > 0;) {
			if ((fds[i + 1].revents & (POLLERR | POLLHUP)) != 0) {
				close(floods[i].fd);
				floods[i] = floods[--count];
			} else if (fds[i + 1].revents != 0) {
				serve_flood(&floods[i], shape, bytes);
			}
		}
		if (fds[0].revents != 0 && count < CONNECTIONS_MAX)
			floods[count++] =
			    (flood_t){.fd = accept(listener, NULL, NULL),
				.request = g_string_new(NULL)};
	}
}

/* Callers of the faulty server, who read whatever comes and ask again. */
static void
run_callers(const struct shape *shape, unsigned streams)
{
	static char buffer[BODY_BYTES];
	const char *path = shape->is_events ? "/write/a" : "/read/a";
	struct pollfd fds[CONNECTIONS_MAX];

	for (unsigned i = 0; i < streams; i++)
		fds[i] = (struct pollfd){
		    .fd = gateway_send_request(path, "f"), .events = POLLIN};
	for (;;) {
		poll(fds, streams, POLL_MS);
		for (unsigned i = 0; i < streams; i++) {
			if (fds[i].revents == 0 ||
			    recv(fds[i].fd, buffer, sizeof(buffer),
				MSG_DONTWAIT) > 0)
				continue;
			close(fds[i].fd);
			g_usleep(POLL_MS * US_PER_MS / 10);
			fds[i].fd = gateway_send_request(path, "f");
		}
	}
}

/* The sound server of the other service: one process a connection. */
static void
run_sound_server(const struct shape *shape, unsigned streams)
{
	int listener =
	    shape->is_events ? backend_listener_1 : backend_listener_2;

	signal(SIGCHLD, SIG_IGN);
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		char *request, *id, *text;

		if (fork() != 0) {
			close(fd);
			continue;
		}
		request = wire_read_message(fd);
		id = wire_header(request, "X-Attempt-Id");
		text = g_strdup_printf(
		    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
		    "X-Response-Stamp: s\r\nContent-Length: 15\r\n"
		    "Connection: close\r\n\r\nid: 1\ndata: a\n\n",
		    id);
		g_usleep(WORK_US);
		wire_send(fd, text);
		_exit(0);
	}
}

static void
pin(pid_t pid)
{
	cpu_set_t cores;

	CPU_ZERO(&cores);
	CPU_SET(SHARED_CORE, &cores);
	sched_setaffinity(pid, sizeof(cores), &cores);
}

static void
run_busy(const struct shape *shape, unsigned streams)
{
	volatile unsigned turns = 0;

	pin(0);
	for (;;)
		turns++;
}

/* Status of one request to the sound server; 0: none in time. */
static unsigned
request_status(const struct shape *shape, unsigned number)
{
	struct timeval timeout = {.tv_sec = TIMEOUT_S};
	struct sockaddr_in address;
	char *id = g_strdup_printf("b%u", number);
	char *text = gateway_format_request(
	    shape->is_events ? "/book/a" : "/write/a", id, "key-1");
	char **parts = g_strsplit(gateway_node->address, ":", 2);
	char answer[16] = "";
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address = (struct sockaddr_in){
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)atoi(parts[1]))};
	inet_pton(AF_INET, parts[0], &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    send(fd, text, strlen(text), MSG_NOSIGNAL) > 0)
		recv(fd, answer, sizeof(answer) - 1, MSG_WAITALL);
	close(fd);
	g_strfreev(parts);
	g_free(text);
	g_free(id);
	return strlen(answer) < strlen("HTTP/1.1 200")
		   ? 0
		   : (unsigned)atoi(answer + strlen("HTTP/1.1 "));
}

static int
compare_times(const void *a, const void *b)
{
	return *(const int *)a - *(const int *)b;
}

static void
measure(const struct shape *shape, unsigned streams)
{
	gint64 end_us = g_get_monotonic_time() + RUN_US;
	int times_ms[REQUESTS_MAX];
	unsigned count = 0, good = 0;

	while (g_get_monotonic_time() < end_us && count < REQUESTS_MAX) {
		gint64 start_us = g_get_monotonic_time();

		good += request_status(shape, count) == 200;
		times_ms[count++] =
		    (int)((g_get_monotonic_time() - start_us) / US_PER_MS);
		g_usleep(PAUSE_US);
	}
	qsort(times_ms, count, sizeof(times_ms[0]), compare_times);
	end_children();
	printf("{\"shape\": \"%s\", \"streams\": %u, \"requests\": %u, "
	       "\"ok\": %u, \"p50_ms\": %d, \"p99_ms\": %d, \"max_ms\": %d, "
	       "\"longest_turn_us\": %.0f, \"put_off\": %.0f}\n",
	    shape->name, streams, count, good, times_ms[count / 2],
	    times_ms[count * 99 / 100], times_ms[count - 1],
	    gateway_metric(gateway_node, "loop_turn_longest_us"),
	    gateway_metric(gateway_node, "readings_put_off_total"));
	fflush(stdout);
}

static void
run_row(const struct shape *shape, unsigned streams)
{
	gateway_fixture_setup();
	if (g_getenv("PAPAYA_SHARED_CORE") != NULL) {
		pin(gateway_node->pid);
		for (int i = 0; i < BUSY_PROCESSES; i++)
			start_child(run_busy, shape, streams);
	}
	start_child(run_sound_server, shape, streams);
	start_child(run_faulty_server, shape, streams);
	start_child(run_callers, shape, streams);
	g_usleep(WARM_UP_US);
	measure(shape, streams);
	gateway_fixture_teardown();
}

static const char *wanted_shape;
static unsigned wanted_streams;

/* The support of the tests may be called by a test only. */
START_TEST(run_rows)
{
	static const unsigned stream_counts[] = {1, 8, 64};

	for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(stream_counts); j++)
			if ((wanted_streams == 0 ||
				stream_counts[j] == wanted_streams) &&
			    (wanted_shape == NULL ||
				strcmp(shapes[i].name, wanted_shape) == 0))
				run_row(&shapes[i], stream_counts[j]);
}
END_TEST

int
main(int argc, char **argv)
{
	Suite *suite = suite_create("bench_turns");
	TCase *cases = tcase_create("bench_turns");

	wanted_streams = argc < 2 ? 0 : (unsigned)atoi(argv[1]);
	wanted_shape = argc < 3 ? NULL : argv[2];
	tcase_set_timeout(cases, 0);
	tcase_add_test(cases, run_rows);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
