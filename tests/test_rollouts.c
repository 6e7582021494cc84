#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

/* Rollouts requested in the store, with real node processes. */

enum {
	ROLLOUT_S = 8,
	ROLLOUT_MS = ROLLOUT_S * 1000,
	PAUSE_MS = 10, /* between two requests of the client */
	POLL_TIMEOUT_MS = 3000,
};

static unsigned requests_to_new_version;

static void
respond(int listener, const char *status)
{
	int fd = wire_accept(listener);
	char *request = wire_read_message(fd);
	char *id = wire_header(request, "X-Attempt-Id");
	char *text =
	    g_strdup_printf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n"
			    "X-Response-Stamp: s\r\nConnection: close\r\n"
			    "Content-Length: 2\r\n\r\nok",
		status, id);

	wire_send(fd, text);
	g_free(text);
	g_free(id);
	g_free(request);
	close(fd);
}

/* Serves the attempts that the node sends until the client has its response. */
static void
serve_attempts(int client, const char *new_status)
{
	struct pollfd fds[] = {{.fd = backend_listener_1, .events = POLLIN},
	    {.fd = backend_listener_2, .events = POLLIN},
	    {.fd = client, .events = POLLIN}};

	for (;;) {
		ck_assert_int_gt(poll(fds, 3, POLL_TIMEOUT_MS), 0);
		if (fds[0].revents != 0) {
			respond(backend_listener_1, "200 OK");
		} else if (fds[1].revents != 0) {
			requests_to_new_version++;
			respond(backend_listener_2, new_status);
		} else {
			g_free(wire_read_message(client));
			return;
		}
	}
}

static void
send_requests(int64_t for_ms, const char *new_status)
{
	int64_t until = g_get_monotonic_time() + for_ms * 1000;

	while (g_get_monotonic_time() < until) {
		char *id = g_strdup_printf("id-%u", g_random_int());
		int client = gateway_send_request("/read/a", id);

		serve_attempts(client, new_status);
		close(client);
		g_free(id);
		g_usleep(PAUSE_MS * 1000);
	}
}

static void
start_rollout(void)
{
	char *text = g_strdup_printf(
	    "{\"service\": \"plain\", \"target\": \"v2\", \"duration_s\": %d}",
	    ROLLOUT_S);

	gateway_register_server_version(
	    "i-2", "plain", backend_port_2, "ready", "v2");
	gateway_store_put("op/rollout/plain", text);
	g_free(text);
}

static void
assert_status(const char *state)
{
	char *text = gateway_store_get("status/rollout/plain");
	json_t *json = text == NULL ? NULL : json_loads(text, 0, NULL);

	ck_assert_pstr_eq(
	    json_string_value(json_object_get(json, "state")), state);
	ck_assert_pstr_eq(
	    json_string_value(json_object_get(json, "target")), "v2");
	json_decref(json);
	g_free(text);
}

/* Guards against a good version that is never reported as completed. */
START_TEST(good_version_receives_all_requests)
{
	start_rollout();
	send_requests(ROLLOUT_MS, "200 OK");
	assert_status("completed");
	requests_to_new_version = 0;
	send_requests(500, "200 OK");
	ck_assert_uint_gt(requests_to_new_version, 0);
	ck_assert(!wire_wait_connection(backend_listener_1, 0));
}
END_TEST

/* Guards against requests to a version that has been found bad and reverted. */
START_TEST(reverted_version_receives_no_requests)
{
	start_rollout();
	send_requests(ROLLOUT_MS, "500 Broken");
	assert_status("reverted");
	requests_to_new_version = 0;
	send_requests(500, "500 Broken");
	ck_assert_uint_eq(requests_to_new_version, 0);
}
END_TEST

/* Guards against a restarted process that ignores the outcome of a rollout. */
START_TEST(outcome_survives_node_restart)
{
	start_rollout();
	send_requests(ROLLOUT_MS, "500 Broken");
	assert_status("reverted");
	program_end(gateway_node, SIGKILL);
	gateway_node = gateway_start("n1");
	requests_to_new_version = 0;
	send_requests(500, "500 Broken");
	ck_assert_uint_eq(requests_to_new_version, 0);
}
END_TEST

/* Guards against a malformed spec that stops the service. */
START_TEST(malformed_spec_is_ignored)
{
	gateway_store_put("op/rollout/plain", "{\"target\": 7}");
	send_requests(300, "200 OK");
	ck_assert_ptr_null(gateway_store_get("status/rollout/plain"));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("rollouts");
	TCase *cases = tcase_create("rollouts");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(cases, good_version_receives_all_requests);
	tcase_add_test(cases, reverted_version_receives_no_requests);
	tcase_add_test(cases, outcome_survives_node_restart);
	tcase_add_test(cases, malformed_spec_is_ignored);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
