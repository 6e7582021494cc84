#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <string.h>
#include <unistd.h>

/*
 * A backend server sends bytes of an earlier answer, late, on a connection that
 * may be in use again. The next client must get its own answer or a failure.
 */

#define ANSWER_TO(id, body)                                                  \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " id "\r\nX-Response-Stamp: s\r\n" \
	"Content-Length: 5\r\n\r\n" body

static const struct late_answer {
	const char *what;
	bool after_reuse; /* false: while the connection is idle */
	const char *bytes;
} late_answers[] = {
    {"second copy", false, ANSWER_TO("id-1", "first")},
    {"half of a second copy", false, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1"},
    {"interim response", false, "HTTP/1.1 100 Continue\r\n\r\n"},
    {"second copy", true, ANSWER_TO("id-1", "first")},
    {"interim response", true, "HTTP/1.1 100 Continue\r\n\r\n"},
    {"interim response and second copy", true,
	"HTTP/1.1 100 Continue\r\n\r\n" ANSWER_TO("id-1", "first")},
    {"success without an id", true,
	"HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\nContent-Length: 5\r\n\r\n"
	"first"},
    {"failure without an id", true,
	"HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nfirst"},
    {"half of a second copy", true,
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"},
};

/* Serves the request of a client that leaves the connection open. */
static int
serve_first_client(void)
{
	int client = gateway_send_request("/read/a", "id-1");
	int server = wire_accept(backend_listener_1);
	char *text = wire_read_message(server);

	g_free(text);
	wire_send(server, ANSWER_TO("id-1", "first"));
	text = wire_read_message(client);
	ck_assert(g_str_has_suffix(text, "first"));
	g_free(text);
	close(client);
	return server;
}

/* Serves the second client on the same connection if it is reused. */
static char *
serve_second_client(int server, const struct late_answer *late)
{
	int client;
	char *response;

	if (!late->after_reuse)
		wire_send(server, late->bytes);
	g_usleep(50000);
	client = gateway_send_request("/book/a", "id-2");
	if (late->after_reuse) {
		g_free(wire_read_message(server));
		wire_send(server, late->bytes);
	} else {
		close(server);
		server = wire_accept(backend_listener_1);
		g_free(wire_read_message(server));
	}
	wire_send(server, ANSWER_TO("id-2", "other"));
	response = wire_read_message(client);
	close(client);
	close(server);
	return response;
}

/* Guards against a client that gets the answer to another one's request. */
START_TEST(late_answer_reaches_no_other_client)
{
	const struct late_answer *late = &late_answers[_i];
	char *response = serve_second_client(serve_first_client(), late);
	bool is_own = g_str_has_suffix(response, "other");
	bool is_failure = g_str_has_prefix(response, "HTTP/1.1 502");

	ck_assert_msg(is_own || is_failure, "%s: %s", late->what, response);
	ck_assert_ptr_null(strstr(response, "first"));
	g_free(response);
}
END_TEST

#define REFUSAL(status, id)                                          \
	"HTTP/1.1 " status "\r\n" id                                 \
	"X-Not-Executed: 1\r\nX-Response-Stamp: s\r\nRetry-After: 0" \
	"\r\nContent-Length: 0\r\n\r\n"
#define ID(id) "X-Attempt-Id: " id "\r\n"

/* A refusal that the server writes once more, after the second request. */
static const struct repeated_refusal {
	const char *what;
	const char *refusal;
	const char *second_id; /* of the second request */
} repeated_refusals[] = {
    {"other id", REFUSAL("503 Service Unavailable", ID("id-1")), "id-2"},
    {"other id, 429", REFUSAL("429 Too Many Requests", ID("id-1")), "id-2"},
    {"without an id", REFUSAL("503 Service Unavailable", ""), "id-2"},
    {"same id", REFUSAL("503 Service Unavailable", ID("id-1")), "id-1"},
    {"same id, 421", REFUSAL("421 Misdirected Request", ID("id-1")), "id-1"},
};

/* For the pause after a refusal to end. */
enum { PAUSE_US = 700000, NEW_CONNECTION_MS = 300 };

/*
 * Guards against a refusal, written once more on a kept connection, that is
 * taken for the response to the next request: its client is told that the
 * request has not run, though the server runs it.
 */
START_TEST(repeated_refusal_is_no_answer_to_the_next_request)
{
	const struct repeated_refusal *refusal = &repeated_refusals[_i];
	int client = gateway_send_request("/book/a", "id-1");
	int server = wire_accept(backend_listener_1);
	char *response;

	g_free(wire_read_message(server));
	wire_send(server, refusal->refusal);
	response = wire_read_message(client);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 503"));
	g_free(response);
	close(client);
	g_usleep(PAUSE_US);
	client = gateway_send_request("/book/a", refusal->second_id);
	if (wire_wait_connection(backend_listener_1, NEW_CONNECTION_MS)) {
		close(server);
		server = wire_accept(backend_listener_1);
		g_free(wire_read_message(server));
	} else {
		g_free(wire_read_message(server));
		wire_send(server, refusal->refusal);
	}
	wire_send(server, strcmp(refusal->second_id, "id-1") == 0
			      ? ANSWER_TO("id-1", "other")
			      : ANSWER_TO("id-2", "other"));
	response = wire_read_message(client);
	ck_assert_msg(g_str_has_suffix(response, "other") ||
			  g_str_has_prefix(response, "HTTP/1.1 502"),
	    "%s: %s", refusal->what, response);
	g_free(response);
	close(client);
	close(server);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("late_answer");
	TCase *cases = tcase_create("late_answer");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_loop_test(cases, late_answer_reaches_no_other_client, 0,
	    G_N_ELEMENTS(late_answers));
	tcase_add_loop_test(cases,
	    repeated_refusal_is_no_answer_to_the_next_request, 0,
	    G_N_ELEMENTS(repeated_refusals));
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
