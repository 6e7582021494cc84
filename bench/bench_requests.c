/*
 * Measures one host on the users' platform under sound load: clients with a
 * connection each send the next request once they have the response. Prints one
 * JSON object: requests per second, and processor time of the host a request.
 *
 * Usage: bench-requests [CLIENTS [SECONDS]]. PAPAYA_BIN names the folder of the
 * programs, so that two versions can be measured in turn.
 */
#include "suite.h"
#include "support.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	CLIENTS = 32,
	SECONDS = 4,
	CONNECTIONS_MAX = 256,
	BODY_BYTES = 800,
	BUFFER_BYTES = 8192,
	POLL_MS = 100,
	US_PER_S = 1000 * 1000,
	WARM_UP_US = 500 * 1000,
	/* Fields of /proc/PID/stat before the two processor times. */
	STAT_FIELDS_BEFORE = 13,
};

static unsigned client_count = CLIENTS;
static unsigned duration_s = SECONDS;

/* A connection whose peer sends one message at a time. */
typedef struct peer {
	int fd;
	GString *received;
} peer_t;

/* Reads; false once the connection has ended. */
static bool
peer_read(peer_t *peer)
{
	char buffer[BUFFER_BYTES];
	ssize_t count = recv(peer->fd, buffer, sizeof(buffer), 0);

	if (count > 0)
		g_string_append_len(peer->received, buffer, count);
	return count > 0;
}

static void
respond(peer_t *peer)
{
	static char body[BODY_BYTES + 1];
	char *id = wire_header(peer->received->str, "X-Attempt-Id");
	char *text;

	memset(body, 'a', BODY_BYTES);
	text = g_strdup_printf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
			       "X-Response-Stamp: s\r\n"
			       "Content-Length: %d\r\n\r\n%s",
	    id, BODY_BYTES, body);
	wire_send(peer->fd, text);
	g_string_truncate(peer->received, 0);
	g_free(text);
	g_free(id);
}

/* The process of a server that responds at once. */
static void
run_server(void)
{
	peer_t peers[CONNECTIONS_MAX] = {0};
	struct pollfd fds[CONNECTIONS_MAX + 1];
	unsigned count = 0;

	for (;;) {
		fds[0] =
		    (struct pollfd){.fd = backend_listener_1, .events = POLLIN};
		for (unsigned i = 0; i < count; i++)
			fds[i + 1] = (struct pollfd){
			    .fd = peers[i].fd, .events = POLLIN};
		poll(fds, count + 1, POLL_MS);
		for (unsigned i = count; i-- > 0;) {
			if (fds[i + 1].revents == 0)
				continue;
			if (!peer_read(&peers[i])) {
				close(peers[i].fd);
				g_string_free(peers[i].received, TRUE);
				peers[i] = peers[--count];
			} else if (strstr(peers[i].received->str, "\r\n\r\n") !=
				   NULL) {
				respond(&peers[i]);
			}
		}
		if (fds[0].revents != 0 && count < CONNECTIONS_MAX)
			peers[count++] = (peer_t){
			    .fd = accept(backend_listener_1, NULL, NULL),
			    .received = g_string_new(NULL)};
	}
}

static void
send_next(peer_t *client, unsigned number)
{
	char *id = g_strdup_printf("r%u", number);
	char *text = gateway_format_request("/read/a", id, "key-1");

	g_string_truncate(client->received, 0);
	wire_send(client->fd, text);
	g_free(text);
	g_free(id);
}

static bool
is_whole(const GString *received)
{
	const char *body = strstr(received->str, "\r\n\r\n");

	return body != NULL && strlen(body) >= strlen("\r\n\r\n") + BODY_BYTES;
}

/* Returns the number of responses that arrive within the time. */
static unsigned
run_clients(gint64 duration_us)
{
	gint64 end_us = g_get_monotonic_time() + duration_us;
	peer_t clients[CONNECTIONS_MAX] = {0};
	struct pollfd fds[CONNECTIONS_MAX];
	const unsigned count = client_count;
	unsigned responses = 0, number = 0;

	for (unsigned i = 0; i < count; i++) {
		clients[i] = (peer_t){.fd = wire_connect(gateway_node->address),
		    .received = g_string_new(NULL)};
		fds[i] = (struct pollfd){.fd = clients[i].fd, .events = POLLIN};
		send_next(&clients[i], number++);
	}
	while (g_get_monotonic_time() < end_us) {
		poll(fds, count, POLL_MS);
		for (unsigned i = 0; i < count; i++) {
			if (fds[i].revents == 0)
				continue;
			ck_assert(peer_read(&clients[i]));
			if (!is_whole(clients[i].received))
				continue;
			ck_assert(g_str_has_prefix(
			    clients[i].received->str, "HTTP/1.1 200"));
			responses++;
			send_next(&clients[i], number++);
		}
	}
	for (unsigned i = 0; i < count; i++) {
		close(clients[i].fd);
		g_string_free(clients[i].received, TRUE);
	}
	return responses;
}

/* Processor time of the host's process, in microseconds. */
static double
processor_us(void)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)gateway_node->pid);
	char *text, **fields;
	double ticks;

	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	fields = g_strsplit(text, " ", -1);
	ticks = atof(fields[STAT_FIELDS_BEFORE]) +
		atof(fields[STAT_FIELDS_BEFORE + 1]);
	g_strfreev(fields);
	g_free(text);
	g_free(path);
	return ticks * US_PER_S / (double)sysconf(_SC_CLK_TCK);
}

START_TEST(measure)
{
	pid_t server;
	double before_us;
	unsigned responses;

	gateway_fixture_setup();
	server = fork();
	if (server == 0)
		run_server();
	run_clients(WARM_UP_US);
	before_us = processor_us();
	responses = run_clients((gint64)duration_s * US_PER_S);
	printf("{\"requests_per_s\": %.0f, \"cpu_us_per_request\": %.1f}\n",
	    (double)responses / duration_s,
	    (processor_us() - before_us) / responses);
	kill(server, SIGKILL);
	waitpid(server, NULL, 0);
	gateway_fixture_teardown();
}
END_TEST

int
main(int argc, char **argv)
{
	Suite *suite = suite_create("bench_requests");
	TCase *cases = tcase_create("bench_requests");

	if (argc > 1)
		client_count =
		    MIN((unsigned)atoi(argv[1]), (unsigned)CONNECTIONS_MAX);
	if (argc > 2)
		duration_s = (unsigned)atoi(argv[2]);
	tcase_set_timeout(cases, 0);
	tcase_add_test(cases, measure);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
