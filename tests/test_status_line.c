#include "status_line.h"
#include "suite.h"

#include <check.h>
#include <glib.h>
#include <string.h>

static const char *const valid[] = {
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.0 404 \r\n",
    "HTTP/1.1 200\r\n",
    "HTTP/1.1 200\n",
    "HTTP/1.1 100 Continue\r\n",
    "HTTP/1.1 103 Early Hints\r\n",
    "HTTP/1.1 599 Odd\r\n",
    "HTTP/1.9 200 OK\r\n",
    "HTTP/1.1 200 \xe9t\xe9\r\n",
    "\r\nHTTP/1.1 200 OK\r\n",
};

static const char *const invalid[] = {
    "HTTP/1.1 000 Odd\r\n",
    "HTTP/1.1 099 Odd\r\n",
    "HTTP/1.1 101 Switching\r\n",
    "HTTP/1.1 20 Odd\r\n",
    "HTTP/1.1 2\r\n",
    "HTTP/1.1 600 Odd\r\n",
    "HTTP/1.1 999 Odd\r\n",
    "HTTP/1.1 0200 Odd\r\n",
    "HTTP/1.1 2000 Odd\r\n",
    "HTTP/1.1 -200 Odd\r\n",
    "HTTP/1.1 +20 Odd\r\n",
    "HTTP/1.1 200OK\r\n",
    "HTTP/1.1 2\2620 Odd\r\n",
    "HTTP/1.1  200 OK\r\n",
    "HTTP/1.1\t200 OK\r\n",
    "HTTP/1.1 200\tOK\r\n",
    "HTTP/2.0 200 OK\r\n",
    "HTTP/11.1 200 OK\r\n",
    "HTTP/1.10 200 OK\r\n",
    "HTTP/1. 200 OK\r\n",
    "http/1.1 200 OK\r\n",
    " HTTP/1.1 200 OK\r\n",
    "ICY 200 OK\r\n",
    "HTTP/1.1 \r\n",
    "\r\n",
};

/* True if the line is accepted byte by byte. */
static bool
is_accepted_in_pieces(const char *text)
{
	status_line_t line = {0};

	for (; *text != '\0'; text++)
		if (!status_line_feed(&line, text, 1))
			return false;
	return true;
}

/* Guards against the loss of a response that is sound. */
START_TEST(valid_lines_are_accepted)
{
	const char *text = valid[_i];

	ck_assert(status_line_is_valid(text, strlen(text)));
	ck_assert(is_accepted_in_pieces(text));
}
END_TEST

/* Guards against bytes that are no response and reach a client as one. */
START_TEST(invalid_lines_are_refused)
{
	const char *text = invalid[_i];

	ck_assert_msg(!status_line_is_valid(text, strlen(text)), "%s", text);
	/* An empty line alone may precede a response. */
	ck_assert(strcmp(text, "\r\n") == 0 || !is_accepted_in_pieces(text));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("status_line");
	TCase *cases = tcase_create("status_line");

	tcase_add_loop_test(
	    cases, valid_lines_are_accepted, 0, G_N_ELEMENTS(valid));
	tcase_add_loop_test(
	    cases, invalid_lines_are_refused, 0, G_N_ELEMENTS(invalid));
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
