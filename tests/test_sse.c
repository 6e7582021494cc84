#include "sse.h"
#include "suite.h"

#include <check.h>
#include <string.h>

enum { EVENT_MAX_BYTES = 64 };

/* Reads a text in pieces; returns a line "id|data|f" for each event. */
static char *
read_events(const char *text, size_t piece)
{
	GString *lines = g_string_new(NULL);
	size_t length = strlen(text);
	sse_event_t event;
	sse_t sse;

	sse_init(&sse, EVENT_MAX_BYTES);
	for (size_t from = 0; from < length; from += piece) {
		ck_assert(
		    sse_feed(&sse, text + from, MIN(piece, length - from)));
		while (sse_next(&sse, &event))
			if (event.has_fields)
				g_string_append_printf(lines, "%.*s|%.*s\n",
				    (int)event.id.length, event.id.bytes,
				    (int)event.data.length, event.data.bytes);
	}
	sse_clear(&sse);
	return g_string_free(lines, FALSE);
}

static const struct {
	const char *text;
	const char *events;
} streams[] = {
    {"id: 1\ndata: a\n\n", "1|a\n"},
    {"id: 1\r\ndata: a\r\n\r\n", "1|a\n"},
    {"id: 1\r\ndata: a\n\r\nid: 2\n\n", "1|a\n2|\n"},
    {"\n\n: ping\n\n\r\n\r\ndata:a\n\n", "|a\n"},
    {"id:\nid: 3 \nid: 4\ndata:\ndata: b\n\n", "3|\n"},
    {"data: a\n\n\n\ndata: b\n", "|a\n"},
};

/* Guards against events that depend on how a stream is cut into packets. */
START_TEST(events_do_not_depend_on_the_cuts)
{
	for (size_t piece = 1; piece <= 32; piece++) {
		char *events = read_events(streams[_i].text, piece);

		ck_assert_str_eq(events, streams[_i].events);
		g_free(events);
	}
}
END_TEST

/* Guards against a stream that looks whole although it ends in an event. */
START_TEST(an_event_without_its_end_is_partial)
{
	static const struct {
		const char *text;
		bool partial;
	} ends[] = {{"", false}, {": a", false}, {"\r", false}, {"\r\n", false},
	    {"d", true}, {"data: a\n", true}, {"data: a\n\r", true},
	    {"data: a\n\n", false}, {"data: a\n\n:", false}};
	sse_event_t event;
	sse_t sse;

	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
		sse_init(&sse, EVENT_MAX_BYTES);
		ck_assert(sse_feed(&sse, ends[i].text, strlen(ends[i].text)));
		while (sse_next(&sse, &event))
			;
		ck_assert_msg(
		    sse_has_partial_event(&sse) == ends[i].partial, "%zu", i);
		sse_clear(&sse);
	}
}
END_TEST

/* Guards against memory that grows with an event without an end. */
START_TEST(an_event_has_a_largest_size)
{
	char line[EVENT_MAX_BYTES + 1];
	sse_event_t event;
	sse_t sse;

	memset(line, 'a', sizeof(line));
	sse_init(&sse, EVENT_MAX_BYTES);
	ck_assert(sse_feed(&sse, line, sizeof(line)));
	ck_assert(!sse_next(&sse, &event));
	ck_assert(!sse_feed(&sse, line, 1));
	sse_clear(&sse);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("sse");
	TCase *cases = tcase_create("sse");

	tcase_add_loop_test(
	    cases, events_do_not_depend_on_the_cuts, 0, G_N_ELEMENTS(streams));
	tcase_add_test(cases, an_event_without_its_end_is_partial);
	tcase_add_test(cases, an_event_has_a_largest_size);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
