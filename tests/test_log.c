#include "log.h"
#include "suite.h"

#include <check.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Logging while the reader of the log does not read. */

enum { INFO_LINES = 20000, PIPE_READ_BYTES = 4096 };

static int pipe_read_fd;

/* Once in the program: log4c cannot be started again. */
static void
setup(void)
{
	int pipe_fds[2];

	ck_assert_int_eq(pipe2(pipe_fds, O_CLOEXEC), 0);
	pipe_read_fd = pipe_fds[0];
	ck_assert_int_eq(log_start("test", pipe_fds[1]), 0);
}

static void
teardown(void)
{
	log_stop();
	close(pipe_read_fd);
}

/* Reads the pipe and flushes the log until both are empty. */
static char *
read_all(void)
{
	GString *text = g_string_new(NULL);
	char bytes[PIPE_READ_BYTES];
	ssize_t length;

	ck_assert_int_eq(fcntl(pipe_read_fd, F_SETFL, O_NONBLOCK), 0);
	for (;;) {
		length = read(pipe_read_fd, bytes, sizeof(bytes));
		if (length > 0) {
			g_string_append_len(text, bytes, length);
			continue;
		}
		log_flush();
		length = read(pipe_read_fd, bytes, sizeof(bytes));
		if (length <= 0)
			return g_string_free(text, FALSE);
		g_string_append_len(text, bytes, length);
	}
}

/*
 * Guards against losing the line of a failed request because the lines of
 * successful requests have filled the buffer.
 */
START_TEST(info_lines_are_dropped_before_warnings)
{
	char *text;

	for (int i = 0; i < INFO_LINES; i++)
		log_event(LOG_LEVEL_INFO, "request.ended", "id=%d", i);
	log_event(LOG_LEVEL_WARN, "request.ended", "id=failed status=502");
	ck_assert_uint_gt(log_dropped_count(LOG_LEVEL_INFO), 0);
	ck_assert_uint_eq(log_dropped_count(LOG_LEVEL_WARN), 0);
	text = read_all();
	ck_assert_ptr_nonnull(strstr(text, "id=failed status=502"));
	/* Dropped lines are reported by level once the reader reads again. */
	ck_assert_ptr_nonnull(strstr(text, "log.dropped info="));
	g_free(text);
}
END_TEST

/* Guards against a client whose id forges lines, or makes them unreadable. */
START_TEST(text_of_others_stays_on_one_line)
{
	char *text;

	log_event(LOG_LEVEL_WARN, "request.ended", "id=%s",
	    "a\nb\r\x1b\x7f caf\xc3\xa9 caf\xe9");
	text = read_all();
	ck_assert_ptr_nonnull(
	    strstr(text, "id=a?b??? caf\xc3\xa9 caf\xef\xbf\xbd\n"));
	ck_assert_ptr_eq(strchr(text, '\n'), text + strlen(text) - 1);
	g_free(text);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("log");
	TCase *cases = tcase_create("log");

	tcase_add_unchecked_fixture(cases, setup, teardown);
	tcase_add_test(cases, info_lines_are_dropped_before_warnings);
	tcase_add_test(cases, text_of_others_stays_on_one_line);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
