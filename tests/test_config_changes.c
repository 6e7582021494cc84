#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <signal.h>
#include <string.h>
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

int
main(void)
{
	Suite *suite = suite_create("config_changes");
	TCase *cases = tcase_create("config_changes");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(cases, the_only_server_may_be_silent_until_the_deadline);
	tcase_add_loop_test(
	    cases, answer_that_came_during_a_pause_is_passed_on, 0, PAUSES);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
