#include "http1.h"
#include "suite.h"

#include <check.h>
#include <string.h>

typedef struct seen {
	http1_head_t head;
	bool has_head;
	GString *body;
} seen_t;

static bool
on_head(const http1_head_t *head, void *data)
{
	seen_t *seen = data;

	seen->head = *head;
	seen->has_head = true;
	return true;
}

static bool
on_body(const char *bytes, size_t length, void *data)
{
	g_string_append_len(((seen_t *)data)->body, bytes, (gssize)length);
	return true;
}

static const http1_callbacks_t callbacks = {
    .on_head = on_head, .on_body = on_body};

/* Feeds a message in pieces of a size; returns the bytes used. */
static size_t
feed(http1_reader_t *reader, const char *text, size_t piece)
{
	size_t length = strlen(text), used = 0;

	while (used < length && http1_reader_state(reader) == HTTP1_READING) {
		size_t got = http1_reader_feed(
		    reader, text + used, MIN(piece, length - used));

		if (got == 0)
			break;
		used += got;
	}
	return used;
}

/* Guards against a message that reads differently when it is cut anywhere. */
START_TEST(pieces_of_any_size_read_the_same)
{
	static const char text[] = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\n"
				   "Empty:\r\nTransfer-Encoding: chunked\r\n"
				   "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n"
				   "Trailer: x\r\n\r\n";
	static const char next[] = "GET / HTTP/1.1\r\n\r\n";

	for (size_t piece = 1; piece < 40; piece++) {
		seen_t seen = {.body = g_string_new(NULL)};
		http1_reader_t *reader =
		    http1_reader_new(HTTP1_REQUEST, 1000, &callbacks, &seen);
		char *both = g_strconcat(text, next, NULL);

		ck_assert_uint_eq(feed(reader, both, piece), strlen(text));
		ck_assert_int_eq(http1_reader_state(reader), HTTP1_COMPLETE);
		ck_assert_str_eq(seen.head.method, "POST");
		ck_assert_str_eq(seen.head.target, "/a/b?c=d");
		ck_assert_str_eq(http1_head_get(&seen.head, "host"), "h");
		ck_assert_str_eq(http1_head_get(&seen.head, "empty"), "");
		ck_assert_ptr_null(http1_head_get(&seen.head, "trailer"));
		ck_assert_str_eq(seen.body->str, "abcde");
		http1_reader_free(reader);
		g_string_free(seen.body, TRUE);
		g_free(both);
	}
}
END_TEST

/* Guards against requests that two readers would end at different places. */
START_TEST(ambiguous_requests_fail)
{
	static const char two_lengths[] = "POST / HTTP/1.1\r\n"
					  "Content-Length: 3\r\n"
					  "Content-Length: 4\r\n\r\n";
	static const char length_and_chunks[] =
	    "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
	static const char *const bad[] = {
	    two_lengths,
	    length_and_chunks,
	    "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
	    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, other\r\n\r\n",
	    "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
	    "GET / HTTP/2.0\r\n\r\n",
	    "no request\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		seen_t seen = {.body = g_string_new(NULL)};
		http1_reader_t *reader =
		    http1_reader_new(HTTP1_REQUEST, 1000, &callbacks, &seen);

		http1_reader_feed(reader, bad[i], strlen(bad[i]));
		ck_assert_msg(http1_reader_state(reader) == HTTP1_FAILED,
		    "request %zu was accepted", i);
		http1_reader_free(reader);
		g_string_free(seen.body, TRUE);
	}
}
END_TEST

START_TEST(a_long_head_fails_as_too_large)
{
	seen_t seen = {.body = g_string_new(NULL)};
	http1_reader_t *reader =
	    http1_reader_new(HTTP1_REQUEST, 50, &callbacks, &seen);
	static const char text[] =
	    "GET / HTTP/1.1\r\nName: 0123456789012345678901234567890123456789"
	    "0123456789\r\n\r\n";

	http1_reader_feed(reader, text, strlen(text));
	ck_assert_int_eq(http1_reader_state(reader), HTTP1_FAILED);
	ck_assert(http1_reader_head_too_large(reader));
	http1_reader_free(reader);
	g_string_free(seen.body, TRUE);
}
END_TEST

static http1_state_t
read_response(const char *text, bool ends, seen_t *seen)
{
	http1_reader_t *reader =
	    http1_reader_new(HTTP1_RESPONSE, 1000, &callbacks, seen);
	http1_state_t state;

	http1_reader_feed(reader, text, strlen(text));
	if (ends)
		http1_reader_feed_eof(reader);
	state = http1_reader_state(reader);
	http1_reader_free(reader);
	return state;
}

/* Guards against a cut response that counts as complete. */
START_TEST(only_a_response_without_a_length_ends_with_its_connection)
{
	static const char unframed[] = "HTTP/1.1 200 OK\r\n\r\nabc";
	static const char sized[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
	static const char chunked[] = "HTTP/1.1 200 OK\r\n"
				      "Transfer-Encoding: chunked\r\n\r\n"
				      "3\r\nabc\r\n";
	seen_t seen = {.body = g_string_new(NULL)};

	ck_assert_int_eq(read_response(unframed, false, &seen), HTTP1_READING);
	ck_assert_int_eq(read_response(unframed, true, &seen), HTTP1_COMPLETE);
	ck_assert(!seen.head.has_length);
	ck_assert_int_eq(read_response(sized, true, &seen), HTTP1_FAILED);
	ck_assert(seen.head.has_length);
	ck_assert_int_eq(read_response(chunked, true, &seen), HTTP1_FAILED);
	g_string_free(seen.body, TRUE);
}
END_TEST

START_TEST(interim_responses_are_skipped)
{
	seen_t seen = {.body = g_string_new(NULL)};

	ck_assert_int_eq(
	    read_response("HTTP/1.1 100 Continue\r\n\r\n"
			  "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
		false, &seen),
	    HTTP1_COMPLETE);
	ck_assert_uint_eq(seen.head.status, 204);
	g_string_free(seen.body, TRUE);
}
END_TEST

START_TEST(headers_of_one_connection_are_told_apart)
{
	http1_head_t head = {.header_count = 2,
	    .headers = {{"Connection", "close, X-Mine"}, {"X-Mine", "1"}}};

	ck_assert(http1_head_is_hop_by_hop(&head, "x-mine"));
	ck_assert(http1_head_is_hop_by_hop(&head, "Transfer-Encoding"));
	ck_assert(!http1_head_is_hop_by_hop(&head, "X-Other"));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("http1");
	TCase *cases = tcase_create("http1");

	tcase_add_test(cases, pieces_of_any_size_read_the_same);
	tcase_add_test(cases, ambiguous_requests_fail);
	tcase_add_test(cases, a_long_head_fails_as_too_large);
	tcase_add_test(
	    cases, only_a_response_without_a_length_ends_with_its_connection);
	tcase_add_test(cases, interim_responses_are_skipped);
	tcase_add_test(cases, headers_of_one_connection_are_told_apart);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
