#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Whole requests get an answer or a refusal also where a decision of the node
 * crosses them: a timer beside a pause of the process, a change of the
 * configuration, a close.
 */

enum {
	US_PER_MS = 1000,
	/* A server that sends nothing for so long is taken for silent. */
	SILENT_MS = 2000,
	DEADLINE_MS = 3000, /* of gateway_format_request() */
	MARGIN_MS = 300,
	/* A pause does not always end before the loop looks at its timers. */
	PAUSES = 6,
	/* The soak: clients on two nodes beside changes of the configuration */
	CLIENTS = 24,
	NODES = 2,
	SOAK_MS = 8000,
	CHANGE_MAX_MS = 250,
	IDLE_MIN_MS = 150,
	IDLE_MAX_MS = 900,
	EVENTS = 4,
	EVENT_MS = 40,
	RESET_MS = 1500,  /* for the reset after a close */
	REQUESTS_MAX = 3, /* in a row */
};

#define ANSWER                                         \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"    \
	"X-Response-Stamp: s\r\nContent-Length: 5\r\n" \
	"\r\nfirst"

static void
sleep_ms(int ms)
{
	g_usleep((gulong)ms * US_PER_MS);
}

static void
assert_answered(int client)
{
	char *response = wire_read_message(client);

	ck_assert_msg(
	    g_str_has_suffix(response, "first"), "answer: %s", response);
	g_free(response);
}

/*
 * Guards against a request that is ended as its server is slow, though there is
 * no other one to send it to.
 */
START_TEST(the_only_server_may_be_silent_until_the_deadline)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/read/a", backend_listener_1);

	sleep_ms(SILENT_MS + MARGIN_MS);
	wire_send(exchange.server_fd, ANSWER);
	assert_answered(exchange.client_fd);
	gateway_exchange_close(&exchange);
}
END_TEST

/* Guards against a server's own answer that is dropped for no other one. */
START_TEST(error_of_the_only_server_is_passed_on)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/read/a", backend_listener_1);

	wire_send(exchange.server_fd,
	    "HTTP/1.1 500 Broken\r\nX-Attempt-Id: id-1\r\n"
	    "X-Response-Stamp: s\r\nContent-Length: 5\r\n\r\nfirst");
	assert_answered(exchange.client_fd);
	gateway_exchange_close(&exchange);
}
END_TEST

/* Pauses of the process, past the time of a timer. */
static const int pauses_ms[] = {SILENT_MS + MARGIN_MS, DEADLINE_MS + MARGIN_MS};

/*
 * Guards against an answer that has come and is thrown away after a pause of
 * the process, since a timer for it has expired.
 */
START_TEST(answer_that_came_during_a_pause_is_passed_on)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/read/a", backend_listener_1);

	gateway_register_server("i-2", "plain", backend_port_2, "ready");
	sleep_ms(MARGIN_MS);
	kill(gateway_node->pid, SIGSTOP);
	wire_send(exchange.server_fd, ANSWER);
	sleep_ms(pauses_ms[_i % (int)G_N_ELEMENTS(pauses_ms)]);
	kill(gateway_node->pid, SIGCONT);
	assert_answered(exchange.client_fd);
	ck_assert(!wire_wait_connection(backend_listener_2, 0));
	gateway_exchange_close(&exchange);
}
END_TEST

static GMutex soak_mutex;
static GHashTable *passed_on; /* attempt ids that a server has got */
static GString *faults;
static gint soak_ends, soak_answers, soak_resets;

/* Answers the requests of one connection. */
static gpointer
serve_connection(gpointer data)
{
	int fd = GPOINTER_TO_INT(data);
	char bytes[4096];
	ssize_t length;

	while ((length = recv(fd, bytes, sizeof(bytes) - 1, 0)) > 0) {
		char *id, *text;

		bytes[length] = '\0';
		id = wire_header(bytes, "X-Attempt-Id");
		g_mutex_lock(&soak_mutex);
		g_hash_table_add(passed_on, g_strdup(id == NULL ? "" : id));
		g_mutex_unlock(&soak_mutex);
		text = g_strdup_printf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s"
				       "\r\nX-Response-Stamp: s\r\n"
				       "Content-Length: %d\r\n\r\n",
		    id, EVENTS * (int)strlen("id: 1\ndata: a\n\n"));
		send(fd, text, strlen(text), MSG_NOSIGNAL);
		for (int i = 1; i <= EVENTS; i++) {
			sleep_ms(EVENT_MS);
			g_snprintf(
			    bytes, sizeof(bytes), "id: %d\ndata: a\n\n", i);
			send(fd, bytes, strlen(bytes), MSG_NOSIGNAL);
		}
		g_free(text);
		g_free(id);
	}
	close(fd);
	return NULL;
}

static gpointer
serve(gpointer data)
{
	int listener = GPOINTER_TO_INT(data), fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0)
		g_thread_unref(g_thread_new(
		    "server", serve_connection, GINT_TO_POINTER(fd)));
	return NULL;
}

/* A client with one connection at a time. */
typedef struct soak_client {
	GRand *random;
	const char *address;
	unsigned number;
	unsigned requests;
	GString *received;
	int fd;
} soak_client_t;

static void
report(const char *what, const char *id, const GString *received)
{
	g_mutex_lock(&soak_mutex);
	g_string_append_printf(
	    faults, "%s: %s after \"%s\"\n", id, what, received->str);
	g_mutex_unlock(&soak_mutex);
}

/* Removes the first response from what was received, if it is whole. */
static bool
take_response(soak_client_t *client, const char *id)
{
	char *text = client->received->str;
	char *body = strstr(text, "\r\n\r\n");
	char *length, *answer_id, *end = NULL;

	if (body == NULL)
		return false;
	length = wire_header(text, "Content-Length");
	if (length == NULL)
		end = strstr(body, "\r\n0\r\n\r\n");
	else if (strlen(body) >= 4 + strtoul(length, NULL, 10))
		end = body + 4 + strtoul(length, NULL, 10);
	g_free(length);
	if (end == NULL)
		return false;
	answer_id = wire_header(text, "X-Attempt-Id");
	if (g_str_has_prefix(text, "HTTP/1.1 200") &&
	    g_strcmp0(answer_id, id) != 0)
		report("got another answer", id, client->received);
	g_free(answer_id);
	if (g_str_has_prefix(end, "\r\n0\r\n\r\n"))
		end += strlen("\r\n0\r\n\r\n");
	g_string_erase(client->received, 0, end - text);
	return true;
}

/* True if the kernel of the node says that it has not read all. */
static bool
is_reset(const soak_client_t *client, ssize_t received)
{
	struct pollfd ended = {.fd = client->fd};

	return received < 0 || (poll(&ended, 1, RESET_MS) == 1 &&
				   (ended.revents & (POLLERR | POLLHUP)) != 0);
}

/* Waits for the response; false where the connection has ended without it. */
static bool
await_response(soak_client_t *client, const char *id)
{
	char bytes[4096];
	ssize_t length;

	while (!take_response(client, id)) {
		length = recv(client->fd, bytes, sizeof(bytes), 0);
		if (length > 0) {
			g_string_append_len(client->received, bytes, length);
			continue;
		}
		g_mutex_lock(&soak_mutex);
		if (client->received->len > 0 ||
		    g_hash_table_contains(passed_on, id))
			length = 1;
		g_mutex_unlock(&soak_mutex);
		if (length == 1)
			report("cut", id, client->received);
		else if (!is_reset(client, length))
			report("read and dropped", id, client->received);
		g_atomic_int_inc(&soak_resets);
		return false;
	}
	g_atomic_int_inc(&soak_answers);
	return true;
}

/* Sends some requests in a row, in two parts, and awaits their responses. */
static bool
send_requests(soak_client_t *client)
{
	static const char *const paths[] = {"/read/", "/book/", "/talk/"};
	char ids[REQUESTS_MAX][32];
	int count = g_rand_int_range(client->random, 1, REQUESTS_MAX + 1);
	GString *text = g_string_new(NULL);
	gsize first;
	bool ok = true;

	for (int i = 0; i < count; i++) {
		char *request;

		g_snprintf(ids[i], sizeof(ids[i]), "id-%u-%u", client->number,
		    client->requests++);
		request = gateway_format_request(
		    paths[g_rand_int_range(client->random, 0, 3)], ids[i],
		    "key-1");
		g_string_append(text, request);
		g_free(request);
	}
	first = (gsize)g_rand_int_range(client->random, 1, (gint32)text->len);
	send(client->fd, text->str, first, MSG_NOSIGNAL);
	if (g_rand_boolean(client->random))
		sleep_ms(g_rand_int_range(client->random, 0, EVENT_MS));
	send(client->fd, text->str + first, text->len - first, MSG_NOSIGNAL);
	for (int i = 0; ok && i < count; i++)
		ok = await_response(client, ids[i]);
	g_string_free(text, TRUE);
	return ok;
}

static gpointer
run_client(gpointer data)
{
	soak_client_t *client = data;

	while (!g_atomic_int_get(&soak_ends)) {
		client->fd = wire_connect(client->address);
		g_string_truncate(client->received, 0);
		while (!g_atomic_int_get(&soak_ends) && send_requests(client))
			sleep_ms(g_rand_int_range(
			    client->random, 0, IDLE_MAX_MS * 4 / 5));
		close(client->fd);
	}
	return NULL;
}

static void
change_configuration(GRand *random, int version)
{
	gateway_limits.idle_ms =
	    g_rand_int_range(random, IDLE_MIN_MS, IDLE_MAX_MS);
	gateway_limits.timeout_ms = g_rand_int_range(random, 1500, 4000);
	gateway_limits.body_bytes = g_rand_int_range(random, 4, 2000);
	gateway_limits.read_service =
	    g_rand_boolean(random) ? "plain" : "engine";
	gateway_configure(version,
	    g_rand_boolean(random) ? "[\"key-1\"]" : "[\"key-1\", \"key-2\"]");
}

/*
 * Guards against requests that changes of the configuration leave without an
 * answer: each gets one, or a reset and has reached no server.
 */
START_TEST(no_request_is_lost_beside_changes)
{
	const char *given = g_getenv("PAPAYA_SEED");
	guint32 seed =
	    given == NULL ? g_random_int() : (guint32)strtoul(given, NULL, 10);
	GRand *random = g_rand_new_with_seed(seed);
	const program_t *nodes[NODES] = {gateway_node, gateway_start("n2")};
	GThread *threads[CLIENTS];
	gint64 end_us = g_get_monotonic_time() + (gint64)SOAK_MS * US_PER_MS;

	g_printerr("PAPAYA_SEED=%u\n", seed);
	faults = g_string_new(NULL);
	passed_on = g_hash_table_new(g_str_hash, g_str_equal);
	g_thread_new("plain", serve, GINT_TO_POINTER(backend_listener_1));
	g_thread_new("engine", serve, GINT_TO_POINTER(backend_listener_2));
	for (unsigned i = 0; i < CLIENTS; i++) {
		soak_client_t *client = g_new0(soak_client_t, 1);

		*client = (soak_client_t){.number = i,
		    .address = nodes[i % NODES]->address,
		    .received = g_string_new(NULL),
		    .random = g_rand_new_with_seed(seed + i + 1)};
		threads[i] = g_thread_new("client", run_client, client);
	}
	for (int version = 2; g_get_monotonic_time() < end_us; version++) {
		change_configuration(random, version);
		sleep_ms(g_rand_int_range(random, 0, CHANGE_MAX_MS));
	}
	g_atomic_int_set(&soak_ends, 1);
	for (unsigned i = 0; i < CLIENTS; i++)
		g_thread_join(threads[i]);
	g_printerr("%d answers, %d resets\n", soak_answers, soak_resets);
	ck_assert_msg(faults->len == 0, "seed %u:\n%s", seed, faults->str);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("config_changes");
	TCase *cases = tcase_create("config_changes");
	TCase *soak = tcase_create("soak");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(cases, error_of_the_only_server_is_passed_on);
	tcase_add_test(cases, the_only_server_may_be_silent_until_the_deadline);
	tcase_add_loop_test(
	    cases, answer_that_came_during_a_pause_is_passed_on, 0, PAUSES);
	suite_add_tcase(suite, cases);
	tcase_set_timeout(soak, 60);
	tcase_add_checked_fixture(
	    soak, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(soak, no_request_is_lost_beside_changes);
	suite_add_tcase(suite, soak);
	return suite_run(suite);
}
