#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <string.h>
#include <unistd.h>

/*
 * Checks that the log lines with a request's id give the cause of its failure,
 * as docs/OPERATIONS.md describes.
 */

/* Reads the log until the request has ended; returns its lines with the id. */
static char *
read_request_log(const char *attempt_id)
{
	char *last_line_start =
	    g_strdup_printf("request.ended id=%s ", attempt_id);
	char *text = wire_read_until(gateway_node->stdout_fd, last_line_start);
	/* The first read may have included the end of the last line. */
	char *line_remainder =
	    strchr(strstr(text, last_line_start), '\n') != NULL
		? g_strdup("")
		: wire_read_until(gateway_node->stdout_fd, "\n");
	char *log = g_strconcat(text, line_remainder, NULL);
	char **lines = g_strsplit(log, "\n", -1);
	char *id_field = g_strdup_printf("id=%s ", attempt_id);
	GString *matching = g_string_new(NULL);

	for (char **line = lines; *line != NULL; line++)
		if (strstr(*line, id_field) != NULL)
			g_string_append_printf(matching, "%s\n", *line);
	g_free(id_field);
	g_strfreev(lines);
	g_free(log);
	g_free(line_remainder);
	g_free(text);
	g_free(last_line_start);
	return g_string_free(matching, FALSE);
}

static void
assert_contains(const char *text, const char *expected)
{
	ck_assert_msg(strstr(text, expected) != NULL, "\"%s\" is not in:\n%s",
	    expected, text);
}

START_TEST(log_explains_booking_with_unknown_outcome)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/a", backend_listener_1);
	char *lines;

	close(exchange.server_fd);
	exchange.server_fd = -1;
	lines = read_request_log("id-1");
	assert_contains(lines, "attempt.failed id=id-1 attempt=1 server=i-1 "
			       "why=\"connection closed\" sent=1");
	assert_contains(lines, "status=502 cause=\"connection closed\"");
	assert_contains(lines, "attempts=1 ran=1");
	g_free(lines);
	gateway_exchange_close(&exchange);
}
END_TEST

START_TEST(log_explains_refusal_over_quota)
{
	int client;
	char *lines;

	gateway_configure_rate(2, 1);
	g_usleep(300000);
	client = gateway_send_request("/read/a", "id-1");
	close(wire_accept(backend_listener_1));
	close(client);
	client = gateway_send_request("/read/a", "id-2");
	lines = read_request_log("id-2");
	assert_contains(lines, "status=429 cause=\"over_quota\"");
	assert_contains(lines, "workspace=depot");
	assert_contains(lines, "ran=0");
	assert_contains(lines, "configuration=2 ");
	g_free(lines);
	close(client);
}
END_TEST

START_TEST(log_explains_interrupted_stream)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/write/a", backend_listener_2);
	char *lines;

	wire_send(exchange.server_fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n"
	    "f\r\nid: 1\ndata: a\n\n\r\n");
	g_usleep(50000);
	close(exchange.server_fd);
	exchange.server_fd = -1;
	lines = read_request_log("id-1");
	assert_contains(lines, "attempt.failed id=id-1 attempt=1 server=e-1 "
			       "why=\"connection closed\" sent=1");
	assert_contains(lines, "status=502 cause=\"connection closed\" cut=1");
	ck_assert_ptr_null(strstr(lines, "first_ms=-1"));
	g_free(lines);
	gateway_exchange_close(&exchange);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("operations");
	TCase *cases = tcase_create("operations");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(cases, log_explains_booking_with_unknown_outcome);
	tcase_add_test(cases, log_explains_refusal_over_quota);
	tcase_add_test(cases, log_explains_interrupted_stream);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
