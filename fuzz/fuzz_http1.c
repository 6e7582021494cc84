/*
 * A message gives the same result however it is cut into pieces: the same end,
 * and the same body.
 */
#include "http1.h"
#include "oracle.h"

#include <string.h>

enum { HEAD_MAX_BYTES = 512 };

typedef struct result {
	http1_state_t state;
	size_t consumed;
	GByteArray *body;
	unsigned heads;
} result_t;

static bool
on_head(const http1_head_t *head, void *data)
{
	((result_t *)data)->heads++;
	CHECK(head->header_count <= HTTP1_HEADERS_MAX);
	return true;
}

static bool
on_body(const char *bytes, size_t length, void *data)
{
	g_byte_array_append(
	    ((result_t *)data)->body, (const guint8 *)bytes, (guint)length);
	return true;
}

static result_t
read_message(http1_kind_t kind, const char *bytes, size_t length, size_t piece)
{
	static const http1_callbacks_t callbacks = {
	    .on_head = on_head, .on_body = on_body};
	result_t result = {.body = g_byte_array_new()};
	http1_reader_t *reader =
	    http1_reader_new(kind, HEAD_MAX_BYTES, &callbacks, &result);

	while (result.consumed < length &&
	       http1_reader_state(reader) == HTTP1_READING)
		result.consumed +=
		    http1_reader_feed(reader, bytes + result.consumed,
			MIN(piece, length - result.consumed));
	result.state = http1_reader_state(reader);
	http1_reader_free(reader);
	return result;
}

static void
check_kind(http1_kind_t kind, const char *bytes, size_t length)
{
	result_t whole = read_message(kind, bytes, length, length);
	result_t pieces = read_message(kind, bytes, length, 1);

	CHECK(whole.state == pieces.state);
	if (whole.state != HTTP1_FAILED) {
		CHECK(whole.heads == pieces.heads);
		CHECK(whole.consumed == pieces.consumed);
		CHECK(whole.body->len == pieces.body->len);
		CHECK(whole.body->len == 0 ||
		      memcmp(whole.body->data, pieces.body->data,
			  whole.body->len) == 0);
	}
	g_byte_array_unref(whole.body);
	g_byte_array_unref(pieces.body);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	check_kind(HTTP1_RESPONSE, (const char *)bytes, length);
	check_kind(HTTP1_REQUEST, (const char *)bytes, length);
	return 0;
}
