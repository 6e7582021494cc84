#include "event_stream.h"
#include "suite.h"

#include <check.h>
#include <string.h>

static char *
take(event_stream_t *stream, const char *text)
{
	GString *out;

	ck_assert(event_stream_feed(stream, text, strlen(text)));
	out = event_stream_take_complete(stream);
	return out == NULL ? g_strdup("") : g_string_free(out, FALSE);
}

/* Guards against forwarding a partial event when a response is truncated. */
START_TEST(only_complete_events_are_returned)
{
	event_stream_t *stream = event_stream_new();
	char *text;

	text = take(stream, "id: 1\ndata: a\n\nid: 2\nda");
	ck_assert_str_eq(text, "id: 1\ndata: a\n\n");
	g_free(text);
	ck_assert_str_eq(event_stream_last_id(stream), "1");
	text = take(stream, "ta: b\n");
	ck_assert_str_eq(text, "");
	g_free(text);
	text = take(stream, "\n");
	ck_assert_str_eq(text, "id: 2\ndata: b\n\n");
	g_free(text);
	event_stream_free(stream);
}
END_TEST

/* Guards against duplicate events, or a partial event joined to a new one,
 * after a resume. */
START_TEST(resume_drops_partial_and_duplicate_events)
{
	event_stream_t *stream = event_stream_new();
	char *text;

	text = take(stream, "id: 1\ndata: a\n\nid: 2\ndata: ha");
	g_free(text);
	event_stream_resume(stream);
	text = take(stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	ck_assert_str_eq(text, "id: 2\ndata: b\n\n");
	g_free(text);
	ck_assert_str_eq(event_stream_last_id(stream), "2");
	event_stream_free(stream);
}
END_TEST

START_TEST(crlf_ends_events)
{
	event_stream_t *stream = event_stream_new();
	char *text = take(stream, "id: 7\r\ndata: a\r\n\r\nid: 8\r\n");

	ck_assert_str_eq(text, "id: 7\r\ndata: a\r\n\r\n");
	ck_assert_str_eq(event_stream_last_id(stream), "7");
	g_free(text);
	event_stream_free(stream);
}
END_TEST

/* Guards against losing the bytes after the last event at the end. */
START_TEST(bytes_after_the_last_event_are_returned)
{
	event_stream_t *stream = event_stream_new();
	char *text = take(stream, "id: 1\n\n: end");
	GString *remainder = event_stream_take_remainder(stream);

	ck_assert_str_eq(remainder->str, ": end");
	g_string_free(remainder, TRUE);
	g_free(text);
	event_stream_free(stream);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("event_stream");
	TCase *cases = tcase_create("event_stream");

	tcase_add_test(cases, only_complete_events_are_returned);
	tcase_add_test(cases, resume_drops_partial_and_duplicate_events);
	tcase_add_test(cases, crlf_ends_events);
	tcase_add_test(cases, bytes_after_the_last_event_are_returned);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
