#include "http1.h"
#include "suite.h"

#include <check.h>
#include <string.h>

typedef struct parsed_message {
	http1_head_t head;
	bool has_head;
	GString *body;
	unsigned body_calls;
} parsed_message_t;

static bool
on_head(const http1_head_t *head, void *data)
{
	parsed_message_t *parsed = data;

	parsed->head = *head;
	parsed->has_head = true;
	return true;
}

static bool
on_body(const char *bytes, size_t length, void *data)
{
	parsed_message_t *parsed = data;

	g_string_append_len(parsed->body, bytes, (gssize)length);
	parsed->body_calls++;
	return true;
}

static const http1_callbacks_t callbacks = {
    .on_head = on_head, .on_body = on_body};

/* Feeds the text in chunks; returns the number of bytes consumed. */
static size_t
feed(http1_reader_t *reader, const char *text, size_t chunk_size)
{
	size_t length = strlen(text), consumed_total = 0;

	while (consumed_total < length &&
	       http1_reader_state(reader) == HTTP1_READING) {
		size_t consumed =
		    http1_reader_feed(reader, text + consumed_total,
			MIN(chunk_size, length - consumed_total));

		if (consumed == 0)
			break;
		consumed_total += consumed;
	}
	return consumed_total;
}

/* Guards against results that depend on how a message is split into reads. */
START_TEST(input_split_at_any_size_parses_the_same)
{
	static const char text[] = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\n"
				   "Empty:\r\nTransfer-Encoding: chunked\r\n"
				   "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n"
				   "Trailer: x\r\n\r\n";
	static const char next_request[] = "GET / HTTP/1.1\r\n\r\n";

	for (size_t chunk_size = 1; chunk_size < 40; chunk_size++) {
		parsed_message_t parsed = {.body = g_string_new(NULL)};
		http1_reader_t *reader =
		    http1_reader_new(HTTP1_REQUEST, 1000, &callbacks, &parsed);
		char *input = g_strconcat(text, next_request, NULL);

		ck_assert_uint_eq(
		    feed(reader, input, chunk_size), strlen(text));
		ck_assert_int_eq(http1_reader_state(reader), HTTP1_COMPLETE);
		ck_assert_str_eq(parsed.head.method, "POST");
		ck_assert_str_eq(parsed.head.target, "/a/b?c=d");
		ck_assert_str_eq(http1_head_get(&parsed.head, "host"), "h");
		ck_assert_str_eq(http1_head_get(&parsed.head, "empty"), "");
		ck_assert_ptr_null(http1_head_get(&parsed.head, "trailer"));
		ck_assert_str_eq(parsed.body->str, "abcde");
		http1_reader_free(reader);
		g_string_free(parsed.body, TRUE);
		g_free(input);
	}
}
END_TEST

/*
 * Guards against request smuggling: requests whose end two HTTP parsers would
 * find at different places.
 */
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
		parsed_message_t parsed = {.body = g_string_new(NULL)};
		http1_reader_t *reader =
		    http1_reader_new(HTTP1_REQUEST, 1000, &callbacks, &parsed);

		http1_reader_feed(reader, bad[i], strlen(bad[i]));
		ck_assert_msg(http1_reader_state(reader) == HTTP1_FAILED,
		    "request %zu was accepted", i);
		http1_reader_free(reader);
		g_string_free(parsed.body, TRUE);
	}
}
END_TEST

START_TEST(a_long_head_fails_as_too_large)
{
	parsed_message_t parsed = {.body = g_string_new(NULL)};
	http1_reader_t *reader =
	    http1_reader_new(HTTP1_REQUEST, 50, &callbacks, &parsed);
	static const char text[] =
	    "GET / HTTP/1.1\r\nName: 0123456789012345678901234567890123456789"
	    "0123456789\r\n\r\n";

	http1_reader_feed(reader, text, strlen(text));
	ck_assert_int_eq(http1_reader_state(reader), HTTP1_FAILED);
	ck_assert(http1_reader_head_too_large(reader));
	http1_reader_free(reader);
	g_string_free(parsed.body, TRUE);
}
END_TEST

static http1_state_t
read_response(const char *text, bool at_eof, parsed_message_t *parsed)
{
	http1_reader_t *reader =
	    http1_reader_new(HTTP1_RESPONSE, 1000, &callbacks, parsed);
	http1_state_t state;

	http1_reader_feed(reader, text, strlen(text));
	if (at_eof)
		http1_reader_feed_eof(reader);
	state = http1_reader_state(reader);
	http1_reader_free(reader);
	return state;
}

/* Guards against a truncated response that is treated as complete. */
START_TEST(eof_completes_only_a_response_without_a_length)
{
	static const char close_delimited[] = "HTTP/1.1 200 OK\r\n\r\nabc";
	static const char sized[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
	static const char chunked[] = "HTTP/1.1 200 OK\r\n"
				      "Transfer-Encoding: chunked\r\n\r\n"
				      "3\r\nabc\r\n";
	parsed_message_t parsed = {.body = g_string_new(NULL)};

	ck_assert_int_eq(
	    read_response(close_delimited, false, &parsed), HTTP1_READING);
	ck_assert_int_eq(
	    read_response(close_delimited, true, &parsed), HTTP1_COMPLETE);
	ck_assert(!parsed.head.has_length);
	ck_assert_int_eq(read_response(sized, true, &parsed), HTTP1_FAILED);
	ck_assert(parsed.head.has_length);
	ck_assert_int_eq(read_response(chunked, true, &parsed), HTTP1_FAILED);
	g_string_free(parsed.body, TRUE);
}
END_TEST

/*
 * Guards against a server of tiny chunks that keeps the process busy with a
 * call, and a write to the client, for each of them.
 */
START_TEST(chunks_of_one_read_are_passed_on_at_once)
{
	parsed_message_t parsed = {.body = g_string_new(NULL)};
	GString *text = g_string_new(
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");

	for (int i = 0; i < 1000; i++)
		g_string_append(text, "1\r\na\r\n");
	ck_assert_int_eq(
	    read_response(text->str, false, &parsed), HTTP1_READING);
	ck_assert_uint_eq(parsed.body->len, 1000);
	ck_assert_uint_eq(parsed.body_calls, 1);
	g_string_free(text, TRUE);
	g_string_free(parsed.body, TRUE);
}
END_TEST

START_TEST(interim_responses_are_skipped)
{
	parsed_message_t parsed = {.body = g_string_new(NULL)};

	ck_assert_int_eq(
	    read_response("HTTP/1.1 100 Continue\r\n\r\n"
			  "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
		false, &parsed),
	    HTTP1_COMPLETE);
	ck_assert_uint_eq(parsed.head.status, 204);
	g_string_free(parsed.body, TRUE);
}
END_TEST

/* Guards against a server that keeps the process busy with such responses. */
START_TEST(interim_responses_without_end_fail)
{
	parsed_message_t parsed = {.body = g_string_new(NULL)};
	GString *text = g_string_new(NULL);

	for (int i = 0; i < 100; i++)
		g_string_append(text, "HTTP/1.1 103 Early Hints\r\n\r\n");
	ck_assert_int_eq(
	    read_response(text->str, false, &parsed), HTTP1_FAILED);
	ck_assert(!parsed.has_head);
	g_string_free(text, TRUE);
	g_string_free(parsed.body, TRUE);
}
END_TEST

/*
 * Guards against a response with an invalid status code that is taken for an
 * answer, by itself or after an interim response.
 */
START_TEST(responses_with_an_invalid_status_fail)
{
	static const char *const codes[] = {"000", "101", "600", "0200"};

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(codes); i++) {
		parsed_message_t parsed = {.body = g_string_new(NULL)};
		char *text = g_strdup_printf("%sHTTP/1.1 %s Odd\r\n"
					     "Content-Length: 0\r\n\r\n",
		    i % 2 == 0 ? "" : "HTTP/1.1 103 Early Hints\r\n\r\n",
		    codes[i / 2]);

		ck_assert_int_eq(
		    read_response(text, false, &parsed), HTTP1_FAILED);
		ck_assert(!parsed.has_head);
		g_free(text);
		g_string_free(parsed.body, TRUE);
	}
}
END_TEST

/*
 * Guards against waiting for a body that never comes, and against bytes after
 * a response without a body that are passed on as its body.
 */
START_TEST(responses_without_a_body_end_with_their_head)
{
	static const char *const heads[] = {
	    "HTTP/1.1 204 None\r\nContent-Length: 3\r\n\r\n",
	    "HTTP/1.1 304 Same\r\nContent-Length: 3\r\n\r\n",
	    "HTTP/1.1 304 Same\r\nTransfer-Encoding: chunked\r\n\r\n",
	    "HTTP/1.1 103 Early\r\nContent-Length: 3\r\n\r\n"
	    "HTTP/1.1 204 None\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		parsed_message_t parsed = {.body = g_string_new(NULL)};
		http1_reader_t *reader =
		    http1_reader_new(HTTP1_RESPONSE, 1000, &callbacks, &parsed);
		char *text = g_strconcat(heads[i], "3\r\nabc", NULL);

		ck_assert_uint_eq(
		    feed(reader, text, strlen(text)), strlen(heads[i]));
		ck_assert_int_eq(http1_reader_state(reader), HTTP1_COMPLETE);
		ck_assert_str_eq(parsed.body->str, "");
		http1_reader_free(reader);
		g_string_free(parsed.body, TRUE);
		g_free(text);
	}
}
END_TEST

START_TEST(hop_by_hop_headers_are_recognized)
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

	tcase_add_test(cases, input_split_at_any_size_parses_the_same);
	tcase_add_test(cases, ambiguous_requests_fail);
	tcase_add_test(cases, a_long_head_fails_as_too_large);
	tcase_add_test(cases, eof_completes_only_a_response_without_a_length);
	tcase_add_test(cases, chunks_of_one_read_are_passed_on_at_once);
	tcase_add_test(cases, interim_responses_are_skipped);
	tcase_add_test(cases, interim_responses_without_end_fail);
	tcase_add_test(cases, responses_with_an_invalid_status_fail);
	tcase_add_test(cases, responses_without_a_body_end_with_their_head);
	tcase_add_test(cases, hop_by_hop_headers_are_recognized);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
