#include "suite.h"
#include "support_front.h"
#include "support_wire.h"

#include <check.h>
#include <string.h>
#include <unistd.h>

/* Follows docs/OPERATIONS.md from a request's id to the cause of its failure.
 */

/* The log up to the line that ends the request: grep 'id=ID' of the page. */
static char *
log_of(const char *attempt_id)
{
	char *wanted = g_strdup_printf("request.ended id=%s ", attempt_id);
	char *text = wire_read_until(front_node->output, wanted);
	/* What was read may hold the end of the line already. */
	char *rest = strchr(strstr(text, wanted), '\n') != NULL
			 ? g_strdup("")
			 : wire_read_until(front_node->output, "\n");
	char *whole = g_strconcat(text, rest, NULL);
	char **lines = g_strsplit(whole, "\n", -1);
	char *mark = g_strdup_printf("id=%s ", attempt_id);
	GString *found = g_string_new(NULL);

	for (char **line = lines; *line != NULL; line++)
		if (strstr(*line, mark) != NULL)
			g_string_append_printf(found, "%s\n", *line);
	g_free(mark);
	g_strfreev(lines);
	g_free(whole);
	g_free(rest);
	g_free(text);
	g_free(wanted);
	return g_string_free(found, FALSE);
}

static void
assert_has(const char *text, const char *part)
{
	ck_assert_msg(
	    strstr(text, part) != NULL, "\"%s\" is not in:\n%s", part, text);
}

START_TEST(a_booking_with_an_unknown_outcome)
{
	front_ends_t ends = front_open("/book/a", front_server_1);
	char *lines;

	close(ends.server);
	ends.server = -1;
	lines = log_of("id-1");
	assert_has(lines, "attempt.failed id=id-1 attempt=1 server=i-1 "
			  "why=\"connection closed\" sent=1");
	assert_has(lines, "status=502 cause=\"connection closed\"");
	assert_has(lines, "attempts=1 ran=1");
	g_free(lines);
	front_close(&ends);
}
END_TEST

START_TEST(a_refusal_over_the_quota)
{
	int client;
	char *lines;

	front_configure_rate(2, 1);
	g_usleep(300000);
	client = front_send("/read/a", "id-1");
	close(wire_accept(front_server_1));
	close(client);
	client = front_send("/read/a", "id-2");
	lines = log_of("id-2");
	assert_has(lines, "status=429 cause=\"over_quota\"");
	assert_has(lines, "workspace=depot");
	assert_has(lines, "ran=0");
	assert_has(lines, "configuration=2 ");
	g_free(lines);
	close(client);
}
END_TEST

START_TEST(a_stream_that_broke_off)
{
	front_ends_t ends = front_open("/write/a", front_server_2);
	char *lines;

	wire_send(ends.server, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n"
			       "f\r\nid: 1\ndata: a\n\n\r\n");
	g_usleep(50000);
	close(ends.server);
	ends.server = -1;
	lines = log_of("id-1");
	assert_has(lines, "attempt.failed id=id-1 attempt=1 server=e-1 "
			  "why=\"connection closed\" sent=1");
	assert_has(lines, "status=502");
	ck_assert_ptr_null(strstr(lines, "first_ms=-1"));
	g_free(lines);
	front_close(&ends);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("operations");
	TCase *cases = tcase_create("operations");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, front_fixture_start, front_fixture_end);
	tcase_add_test(cases, a_booking_with_an_unknown_outcome);
	tcase_add_test(cases, a_refusal_over_the_quota);
	tcase_add_test(cases, a_stream_that_broke_off);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
