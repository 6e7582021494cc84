#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * A restart of one node while the store is up but serves stale lists, or is
 * down: what was withdrawn before must not be in use again.
 */

enum {
	/* Within which operators write again after a restoration. */
	OPERATOR_US = 1800 * 1000,
};

/* Withdraws key-2 and the only server of the service. */
static void
withdraw(void)
{
	gateway_configure(2, "[\"key-1\"]");
	gateway_store_remove("servers/i-1");
	g_usleep(300000);
}

/*
 * Guards against a node that serves by the list that it reads at its start,
 * which may be seconds old, before the store has confirmed it.
 */
START_TEST(stale_list_after_a_restart_is_not_used)
{
	program_t *second_gateway;

	faults_set(platform_standin, "{\"stale\": 1}");
	second_gateway = gateway_start("n2"); /* its list is kept */
	program_end(second_gateway, SIGKILL);
	withdraw();
	program_end(gateway_node, SIGKILL);
	gateway_node = gateway_launch("n1");
	for (int i = 0; i < 20; i++) {
		unsigned status = gateway_booking_status(gateway_node, "key-2");

		/* 503: no confirmed configuration yet. */
		ck_assert_msg(status == 401 || status == 503,
		    "a withdrawn key gets %u", status);
		ck_assert_uint_eq(
		    gateway_booking_status(gateway_node, "key-1"), 503);
	}
	ck_assert_uint_eq(gateway_booking_status(gateway_node, "key-2"), 401);
	ck_assert(!wire_wait_connection(backend_listener_1, 100));
}
END_TEST

/* Guards against a node that serves without the store. */
START_TEST(restart_without_the_store_serves_nothing)
{
	withdraw();
	faults_set(platform_standin, "{\"down\": true}");
	program_end(gateway_node, SIGKILL);
	gateway_node = gateway_launch("n1");
	ck_assert_uint_eq(gateway_booking_status(gateway_node, "key-2"), 503);
	ck_assert_uint_eq(gateway_booking_status(gateway_node, "key-1"), 503);
	ck_assert(!wire_wait_connection(backend_listener_1, 100));
}
END_TEST

static void
call_store(const char *path)
{
	test_response_free(test_request_json(
	    platform_standin, "POST", path, json_object(), 200));
}

/*
 * Guards against a node that starts while the store shows an older
 * configuration than its peers have, and serves with keys withdrawn since.
 */
START_TEST(start_after_a_restoration_waits_for_the_configuration_of_peers)
{
	program_t *second_gateway;
	int64_t until;

	call_store("/snapshot");
	withdraw();
	call_store("/restore");
	second_gateway = gateway_launch("n2");
	until = g_get_monotonic_time() + G_USEC_PER_SEC;
	while (g_get_monotonic_time() < until) {
		ck_assert_uint_eq(
		    gateway_booking_status(second_gateway, "key-2"), 503);
		g_usleep(50000);
	}
	gateway_configure(2, "[\"key-1\"]");
	g_usleep(500000);
	ck_assert_uint_eq(gateway_booking_status(second_gateway, "key-2"), 401);
}
END_TEST

/*
 * Guards against withdrawn keys that are in use again where no node has run
 * since before the restoration: they know no more than the copy.
 */
START_TEST(start_of_all_nodes_after_a_restoration_waits_for_the_operators)
{
	int64_t until;

	call_store("/snapshot");
	withdraw();
	program_end(gateway_node, SIGKILL);
	call_store("/restore");
	gateway_node = gateway_launch("n1");
	until = g_get_monotonic_time() + OPERATOR_US;
	while (g_get_monotonic_time() < until) {
		ck_assert_uint_eq(
		    gateway_booking_status(gateway_node, "key-2"), 503);
		g_usleep(50000);
	}
	gateway_configure(2, "[\"key-1\"]");
	until = g_get_monotonic_time() + OPERATOR_US;
	while (g_get_monotonic_time() < until &&
	       gateway_booking_status(gateway_node, "key-2") == 503)
		g_usleep(50000);
	ck_assert_uint_eq(gateway_booking_status(gateway_node, "key-2"), 401);
}
END_TEST

/* Guards against refusals while a node waits for the digests of its peers. */
START_TEST(requests_wait_at_a_start_after_a_restoration)
{
	call_store("/snapshot");
	call_store("/restore");
	g_usleep(300000);
	ck_assert_uint_eq(
	    gateway_booking_status(gateway_launch("n2"), "key-9"), 401);
}
END_TEST

/* Window and fencing token of the last usage report; 0: none. */
static json_int_t
last_reported_window(json_int_t *token)
{
	test_response_t *response =
	    test_request_json(platform_standin, "GET", "/calls", NULL, 200);
	size_t count = json_array_size(response->json);
	const json_t *call = json_array_get(response->json, count - 1);
	json_int_t window = json_integer_value(
	    json_object_get(json_object_get(call, "body"), "window_id"));

	*token = json_integer_value(json_object_get(call, "token"));
	test_response_free(response);
	return window;
}

static bool
is_later_window_reported(void *data)
{
	json_int_t token;

	return last_reported_window(&token) > *(json_int_t *)data;
}

/* Guards against duties that end when the store comes back from a copy. */
START_TEST(duties_go_on_after_a_restoration)
{
	json_int_t window = 0, token, later_token;

	wait_until(is_later_window_reported, &window);
	call_store("/snapshot");
	window = last_reported_window(&token) + 1;
	wait_until(is_later_window_reported, &window);
	call_store("/restore");
	window = last_reported_window(&token) + 2;
	wait_until(is_later_window_reported, &window);
	last_reported_window(&later_token);
	ck_assert_int_gt(later_token, token);
}
END_TEST

/*
 * Guards against a process that ends by a signal to reload its settings, sent
 * while it reads them at its start: here from a pipe without data.
 */
START_TEST(reload_signal_during_the_start_does_not_end_the_process)
{
	char *program = program_path("papayad");
	char *arguments[] = {program, "--platform", NULL};
	char *path = g_strdup_printf("/tmp/papayad-settings-%d", getpid());
	int fd, status;
	GPid pid;

	ck_assert_int_eq(mkfifo(path, S_IRUSR | S_IWUSR), 0);
	g_setenv("PAPAYAWHARF_NODE_FILE", path, TRUE);
	ck_assert(g_spawn_async(NULL, arguments, NULL,
	    G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL,
	    &pid, NULL));
	fd = open(path, O_WRONLY); /* waits for the reader */
	kill(pid, SIGHUP);
	ck_assert_int_eq(write(fd, "{}", 2), 2);
	close(fd);
	ck_assert_int_eq(waitpid(pid, &status, 0), pid);
	/* The settings are incomplete, which ends it in order. */
	ck_assert(WIFEXITED(status));
	unlink(path);
	g_free(path);
	g_free(program);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("restart");
	TCase *cases = tcase_create("restart");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(cases, stale_list_after_a_restart_is_not_used);
	tcase_add_test(cases, restart_without_the_store_serves_nothing);
	tcase_add_test(cases,
	    start_after_a_restoration_waits_for_the_configuration_of_peers);
	tcase_add_test(cases,
	    start_of_all_nodes_after_a_restoration_waits_for_the_operators);
	tcase_add_test(cases, requests_wait_at_a_start_after_a_restoration);
	tcase_add_test(cases, duties_go_on_after_a_restoration);
	tcase_add_test(
	    cases, reload_signal_during_the_start_does_not_end_the_process);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
