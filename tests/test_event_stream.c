#include "event_stream.h"
#include "suite.h"

#include <check.h>
#include <string.h>

static char *
take(event_stream_t *stream, const char *text)
{
	GString *out;

	event_stream_feed(stream, text, strlen(text));
	out = event_stream_take_complete(stream);
	return out == NULL ? g_strdup("") : g_string_free(out, FALSE);
}

/* Guards against a part of an event that reaches the client before a cut. */
START_TEST(only_whole_events_are_passed_on)
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

/* Guards against events that come twice, or are joined, after a resume. */
START_TEST(a_resume_drops_the_part_and_repeats)
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

START_TEST(carriage_returns_end_events_too)
{
	event_stream_t *stream = event_stream_new();
	char *text = take(stream, "id: 7\r\ndata: a\r\n\r\nid: 8\r\n");

	ck_assert_str_eq(text, "id: 7\r\ndata: a\r\n\r\n");
	ck_assert_str_eq(event_stream_last_id(stream), "7");
	g_free(text);
	event_stream_free(stream);
}
END_TEST

/* Guards against bytes after the last event that are lost at the end. */
START_TEST(the_rest_is_kept)
{
	event_stream_t *stream = event_stream_new();
	char *text = take(stream, "id: 1\n\n: end");
	GString *rest = event_stream_take_remainder(stream);

	ck_assert_str_eq(rest->str, ": end");
	g_string_free(rest, TRUE);
	g_free(text);
	event_stream_free(stream);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("event_stream");
	TCase *cases = tcase_create("event_stream");

	tcase_add_test(cases, only_whole_events_are_passed_on);
	tcase_add_test(cases, a_resume_drops_the_part_and_repeats);
	tcase_add_test(cases, carriage_returns_end_events_too);
	tcase_add_test(cases, the_rest_is_kept);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
