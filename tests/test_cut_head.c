#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Backend servers that end their connection after each byte of a response in
 * turn. No client may get a success that looks whole and is not the whole
 * response to its own request.
 */

enum {
	KEY_LENGTH = 8, /* of a request: form, bytes sent, whether reset */
	CLIENTS = 16,
	STATUS_LENGTH = 12, /* "HTTP/1.1 200" */
	ENDINGS = 2,	    /* close, reset */
	SETTLE_MS = 20,
};

#define OK "HTTP/1.1 200 OK"
#define EVENTS "id: 1\ndata: a\n\nid: 2\ndata: @\n\n"
#define LENGTH "Content-Length: 8\r\n\r\n"
#define OWN_REQUEST                                           \
	"GET /v1/services/t1/pages/x HTTP/1.1\r\nHost: h\r\n" \
	"Papaya-Workspace: depot\r\nConnection: close\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

/* '@' stands for the request's key. */
static const struct form {
	const char *path;
	const char *method;
	const char *version; /* of the client */
	const char *status;  /* with the interim responses before it */
	const char *rest;    /* of the response, after its first headers */
	const char *body;
	bool ends_by_close; /* the response */
	unsigned runs_max;  /* each but the first gets the whole response */
} forms[] = {
    {"/book/", "POST", "1.1", OK, LENGTH "@", "@", false, 1},
    {"/book/", "POST", "1.0", OK, CHUNKED "8\r\n@\r\n0\r\n\r\n", "@", false, 1},
    {"/book/", "POST", "1.1", OK, "\r\n@", "@", true, 1},
    {"/book/", "POST", "1.1", "HTTP/1.0 200 OK", LENGTH "@", "@", false, 1},
    {"/book/", "POST", "1.0", "HTTP/1.0 200 OK", "\r\n@", "@", true, 1},
    {"/book/", "POST", "1.1", "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" OK,
	LENGTH "@", "@", false, 1},
    {"/book/", "HEAD", "1.1", OK, LENGTH, "", false, 1},
    {"/book/", "POST", "1.1", "HTTP/1.1 204 None", "\r\n", "", false, 1},
    {"/book/", "POST", "1.1", "HTTP/1.1 304 Same", LENGTH, "", false, 1},
    {"/read/", "POST", "1.1", OK, LENGTH "@", "@", false, 2},
    {"/write/", "POST", "1.1", OK, CHUNKED "25\r\n" EVENTS "\r\n0\r\n\r\n",
	EVENTS, false, 1},
    {"/write/", "POST", "1.0", OK, CHUNKED "25\r\n" EVENTS "\r\n0\r\n\r\n",
	EVENTS, false, 1},
    {"/write/", "POST", "1.1", OK, "Content-Length: 37\r\n\r\n" EVENTS, EVENTS,
	false, 1},
    {"/write/", "POST", "1.1", OK, "\r\n" EVENTS, EVENTS, true, 1},
    {"/talk/", "POST", "1.1", OK, CHUNKED "25\r\n" EVENTS "\r\n0\r\n\r\n",
	EVENTS, false, 2},
};

static GMutex runs_lock;
static GHashTable *runs; /* key to the number of times it was received */

static char *
fill_in(const char *text, const char *key)
{
	char **parts = g_strsplit(text, "@", 0);
	char *filled = g_strjoinv(key, parts);

	g_strfreev(parts);
	return filled;
}

static char *
format_response(const struct form *form, const char *key)
{
	char *rest = fill_in(form->rest, key);
	char *response = g_strdup_printf(
	    "%s\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\n%s", form->status,
	    key, rest);

	g_free(rest);
	return response;
}

static unsigned
runs_of(const char *key)
{
	unsigned count;

	g_mutex_lock(&runs_lock);
	count = GPOINTER_TO_UINT(g_hash_table_lookup(runs, key));
	g_mutex_unlock(&runs_lock);
	return count;
}

static unsigned
count_run(const char *key)
{
	unsigned count = runs_of(key) + 1;

	g_mutex_lock(&runs_lock);
	g_hash_table_insert(runs, g_strdup(key), GUINT_TO_POINTER(count));
	g_mutex_unlock(&runs_lock);
	return count;
}

/* Answers one request as its key says, and ends the connection. */
static void
serve(int fd)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	char *request = wire_read_message(fd);
	char *key = wire_header(request, "X-Attempt-Id");
	char *response = format_response(&forms[atoi(key)], key);
	size_t bytes = strtoul(key + strlen("00-"), NULL, 10);

	if (count_run(key) > 1)
		bytes = strlen(response);
	(void)send(fd, response, MIN(bytes, strlen(response)), MSG_NOSIGNAL);
	if (g_str_has_suffix(key, "1")) {
		/* Let the gateway read the bytes before the reset. */
		(void)poll(NULL, 0, 1);
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	}
	close(fd);
	g_free(response);
	g_free(key);
	g_free(request);
}

static gpointer
serve_all(gpointer data)
{
	struct pollfd listeners[] = {
	    {backend_listener_1, POLLIN, 0}, {backend_listener_2, POLLIN, 0}};

	while (g_atomic_int_get((int *)data) == 0)
		if (poll(listeners, G_N_ELEMENTS(listeners), SETTLE_MS) > 0)
			for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++)
				if (listeners[i].revents != 0)
					serve(wire_accept(listeners[i].fd));
	return NULL;
}

static int
send_request(const struct form *form, const char *key)
{
	int fd = wire_connect(gateway_node->address);
	char *text = g_strdup_printf(
	    "%s %sa HTTP/%s\r\nHost: t.example\r\nX-Attempt-Id: %s\r\n"
	    "X-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n"
	    "Connection: close\r\n\r\n",
	    form->method, form->path, form->version, key);

	wire_send(fd, text);
	g_free(text);
	return fd;
}

/* Reads a response; *is_whole: by its framing. Free with g_free(). */
static char *
read_response(int fd, const struct form *form, unsigned *status, bool *is_whole)
{
	char start[STATUS_LENGTH + 1] = "";
	bool reset;

	ck_assert_int_eq(recv(fd, start, STATUS_LENGTH, MSG_PEEK | MSG_WAITALL),
	    STATUS_LENGTH);
	*status = (unsigned)strtoul(start + strlen("HTTP/1.1 "), NULL, 10);
	if (strcmp(form->method, "HEAD") != 0)
		return wire_read_body(fd, is_whole);
	g_free(wire_read_until_closed(fd, &reset));
	*is_whole = !reset;
	return g_strdup("");
}

/* True for a response cut in its body that no one can tell from a whole one. */
static bool
is_indistinguishable(const struct form *form, const char *key,
    size_t missing_bytes, const char *expected, const char *body)
{
	return form->ends_by_close && !g_str_has_suffix(key, "1") &&
	       missing_bytes <= strlen(expected) &&
	       g_str_has_prefix(expected, body);
}

static void
check_response(
    int fd, const struct form *form, const char *key, size_t missing_bytes)
{
	char *expected = fill_in(form->body, key), *body;
	bool was_sent = missing_bytes == 0 || form->runs_max > 1;
	bool is_whole, is_own;
	unsigned status;

	body = read_response(fd, form, &status, &is_whole);
	is_own = strcmp(body, expected) == 0 && was_sent;
	ck_assert_uint_le(runs_of(key), form->runs_max);
	if (status == 429 || status == 503)
		ck_assert_uint_eq(runs_of(key), 0);
	if (status < 400 && is_whole)
		ck_assert_msg(is_own || is_indistinguishable(form, key,
					    missing_bytes, expected, body),
		    "%s: %u \"%s\"", key, status, body);
	else if (missing_bytes == 0)
		ck_assert_msg(
		    g_str_has_suffix(key, "1"), "%s: %u", key, status);
	g_free(body);
	g_free(expected);
	close(fd);
}

/* Guards against a cut response that looks whole to its client. */
START_TEST(a_cut_response_never_looks_whole)
{
	const struct form *form = &forms[_i];
	char *longest = format_response(form, "00-000-0");
	int length = (int)strlen(longest), total = (length + 1) * ENDINGS;
	char keys[CLIENTS][KEY_LENGTH + 1];
	int clients[CLIENTS], stop = 0;
	GThread *server = g_thread_new("server", serve_all, &stop);

	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int first = 0; first < total; first += CLIENTS) {
		int count = MIN(CLIENTS, total - first);

		for (int i = 0; i < count; i++) {
			g_snprintf(keys[i], sizeof(keys[i]), "%02d-%03d-%d", _i,
			    (first + i) / ENDINGS, (first + i) % ENDINGS);
			clients[i] = send_request(form, keys[i]);
		}
		for (int i = 0; i < count; i++)
			check_response(clients[i], form, keys[i],
			    (size_t)(length - (first + i) / ENDINGS));
	}
	g_atomic_int_set(&stop, 1);
	g_thread_join(server);
	g_clear_pointer(&runs, g_hash_table_unref);
	g_free(longest);
}
END_TEST

static bool
is_applied(void *data)
{
	const program_t *node = data;
	int fd = wire_connect(node->address);
	bool reset, known;
	char *response;

	wire_send(fd, OWN_REQUEST "Papaya-Timeout-Ms: none\r\n\r\n");
	response = wire_read_until_closed(fd, &reset);
	known = g_str_has_prefix(response, "HTTP/1.1 400");
	g_free(response);
	close(fd);
	return known;
}

/* A node of the project's own interface with one server of service "pages". */
static program_t *
start_own_node(int port)
{
	program_t *store = program_start("standin-store", NULL);
	program_t *node = papayad_start("n1", "zone-a", store, "t1", NULL);

	settings_put(node, "t1",
	    json_pack("{s:{s:{s:s,s:b,s:s,s:[s],s:i,s:{s:i,s:f}}},"
		      "s:{s:{s:o,s:s,s:s,s:s,s:s,s:s}},s:{s:{s:i,s:i,s:b}}}",
		"services", "pages", "kind", "plain", "repeatable", 1,
		"current", "v1", "versions", "v1", "timeout_ms", 2000, "slo",
		"answer_ms", 200, "target", 0.95, "backends", "one", "address",
		json_sprintf("127.0.0.1:%d", port), "host", "host-1", "zone",
		"zone-a", "class", "a", "service", "pages", "version", "v1",
		"workspaces", "depot", "weight", 1, "priority", 1, "large", 0));
	wait_until(is_applied, node);
	return node;
}

/* Answers one request with its attempt's id and the rest, and closes. */
static void
answer_attempt(int listener, const char *rest)
{
	int server = wire_accept(listener);
	char *request = wire_read_message(server);
	char *id = wire_header(request, "Papaya-Attempt");
	char *text =
	    g_strdup_printf(OK "\r\nPapaya-Attempt: %s\r\n%s", id, rest);

	wire_send(server, text);
	close(server);
	g_free(text);
	g_free(id);
	g_free(request);
}

/* Guards against the same on the project's own interface, whose retry helps. */
START_TEST(a_cut_head_is_no_answer_on_the_own_interface)
{
	static const char *const rests[] = {"", "Content-Le"};
	int port, listener = wire_listen(&port);
	program_t *node = start_own_node(port);

	for (size_t i = 0; i < G_N_ELEMENTS(rests); i++) {
		int client = wire_connect(node->address);
		char *body;
		bool is_whole;

		wire_send(
		    client, OWN_REQUEST "Papaya-Timeout-Ms: 3000\r\n\r\n");
		answer_attempt(listener, rests[i]);
		answer_attempt(listener, LENGTH "the page");
		body = wire_read_body(client, &is_whole);
		ck_assert_str_eq(body, "the page");
		g_free(body);
		close(client);
	}
	close(listener);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("cut_head");
	TCase *cases = tcase_create("cut_head");

	tcase_set_timeout(cases, 60);
	tcase_add_unchecked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_loop_test(
	    cases, a_cut_response_never_looks_whole, 0, G_N_ELEMENTS(forms));
	suite_add_tcase(suite, cases);
	cases = tcase_create("own_interface");
	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(cases, NULL, programs_end);
	tcase_add_test(cases, a_cut_head_is_no_answer_on_the_own_interface);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
