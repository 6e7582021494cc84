#include "http1.h"

#include "status_line.h"

#include <http_parser.h>
#include <string.h>
#include <strings.h>

/* Most 1xx responses that may precede a response. */
enum { INTERIM_MAX = 16 };

enum { STATUS_NO_CONTENT = 204, STATUS_NOT_MODIFIED = 304 };

/* What http_parser takes from on_headers_complete(). */
enum { HEAD_FAILED = -1, HEAD_ONLY = 1 };

/* Offsets into the reader's text, whose buffer moves as it grows. */
typedef struct header_offsets {
	size_t name;
	size_t value;
} header_offsets_t;

struct http1_reader {
	http_parser parser;
	http1_kind_t kind;
	size_t head_max;
	http1_callbacks_t callbacks;
	void *data;
	http1_state_t state;
	status_line_t status_line; /* responses */
	http1_head_t head;
	GString *text; /* target, names and values, each NUL-terminated */
	header_offsets_t offsets[HTTP1_HEADERS_MAX];
	bool in_value;
	bool head_complete; /* later fields are trailers, which are dropped */
	bool started;
	bool interim;		/* reading a 1xx response, which is skipped */
	unsigned interim_count; /* before the response */
	bool head_too_large;
	bool no_body;
	/*
	 * Body bytes of the current feed. While there is only one piece of
	 * them, they stay in the input; more are joined.
	 */
	const char *piece;
	size_t piece_length;
	GString *joined; /* NULL: at most one piece */
};

static int
append_text(http1_reader_t *reader, const char *bytes, size_t length)
{
	if (reader->text->len + length > reader->head_max) {
		reader->head_too_large = true;
		return 1;
	}
	g_string_append_len(reader->text, bytes, (gssize)length);
	return 0;
}

static int
on_message_begin(http_parser *parser)
{
	http1_reader_t *reader = parser->data;

	reader->started = true;
	return 0;
}

static int
on_url(http_parser *parser, const char *bytes, size_t length)
{
	return append_text(parser->data, bytes, length);
}

static int
on_header_name(http_parser *parser, const char *bytes, size_t length)
{
	http1_reader_t *reader = parser->data;
	size_t count = reader->head.header_count;

	if (reader->head_complete)
		return 0;
	if (reader->in_value || count == 0) {
		if (count == HTTP1_HEADERS_MAX) {
			reader->head_too_large = true;
			return 1;
		}
		g_string_append_c(reader->text, '\0');
		reader->offsets[count].name = reader->text->len;
		reader->head.header_count++;
		reader->in_value = false;
	}
	return append_text(reader, bytes, length);
}

static int
on_header_value(http_parser *parser, const char *bytes, size_t length)
{
	http1_reader_t *reader = parser->data;
	header_offsets_t *offsets;

	if (reader->head_complete)
		return 0;
	offsets = &reader->offsets[reader->head.header_count - 1];
	if (!reader->in_value) {
		g_string_append_c(reader->text, '\0');
		offsets->value = reader->text->len;
		reader->in_value = true;
	}
	return append_text(reader, bytes, length);
}

/* Rejects header names that other HTTP implementations may parse differently.
 */
static bool
are_names_valid(const http1_head_t *head)
{
	static const char separators[] = "()<>@,;:\\\"/[]?={} \t";

	for (size_t i = 0; i < head->header_count; i++) {
		const char *name = head->headers[i].name;

		if (*name == '\0' || strpbrk(name, separators) != NULL)
			return false;
	}
	return true;
}

static void
fill_head(http1_reader_t *reader)
{
	http_parser *parser = &reader->parser;
	http1_head_t *head = &reader->head;

	g_string_append_c(reader->text, '\0');
	for (size_t i = 0; i < head->header_count; i++) {
		head->headers[i].name =
		    reader->text->str + reader->offsets[i].name;
		head->headers[i].value =
		    reader->text->str + reader->offsets[i].value;
	}
	head->target = reader->text->str;
	head->method = http_method_str((enum http_method)parser->method);
	head->status = parser->status_code;
	head->http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
	head->keep_alive = http_should_keep_alive(parser) != 0;
	head->has_length = (parser->flags & F_CHUNKED) != 0 ||
			   parser->content_length != ULLONG_MAX;
	head->body_length =
	    (parser->flags & F_CHUNKED) != 0 ||
		    parser->content_length == ULLONG_MAX
		? -1
		: (int64_t)MIN(parser->content_length, (uint64_t)INT64_MAX);
	head->bytes = reader->text->len;
}

/* True for a response that has no body, whatever its headers say. */
static bool
is_without_body(const http1_reader_t *reader)
{
	unsigned status = reader->head.status;

	return reader->no_body || reader->interim ||
	       (reader->kind == HTTP1_RESPONSE &&
		   (status == STATUS_NO_CONTENT ||
		       status == STATUS_NOT_MODIFIED));
}

static int
on_headers_complete(http_parser *parser)
{
	http1_reader_t *reader = parser->data;

	/* Upgrades are not supported: otherwise http_parser would take what
	 * follows the head for another protocol. */
	parser->upgrade = 0;
	if (parser->http_major != 1)
		return HEAD_FAILED;
	fill_head(reader);
	reader->head_complete = true;
	if (!are_names_valid(&reader->head))
		return HEAD_FAILED;
	reader->interim =
	    reader->kind == HTTP1_RESPONSE && reader->head.status < 200;
	if (reader->interim && ++reader->interim_count > INTERIM_MAX)
		return HEAD_FAILED;
	if (!reader->interim &&
	    !reader->callbacks.on_head(&reader->head, reader->data))
		return HEAD_FAILED;
	return is_without_body(reader) ? HEAD_ONLY : 0;
}

static int
on_body(http_parser *parser, const char *bytes, size_t length)
{
	http1_reader_t *reader = parser->data;

	if (reader->piece == NULL) {
		reader->piece = bytes;
		reader->piece_length = length;
		return 0;
	}
	if (reader->joined == NULL)
		reader->joined = g_string_new_len(
		    reader->piece, (gssize)reader->piece_length);
	g_string_append_len(reader->joined, bytes, (gssize)length);
	return 0;
}

/* Passes on the body bytes of the current feed; false if they are refused. */
static bool
flush_body(http1_reader_t *reader)
{
	GString *joined = reader->joined;
	const char *bytes = joined == NULL ? reader->piece : joined->str;
	size_t length = joined == NULL ? reader->piece_length : joined->len;
	bool accepted = true;

	reader->piece = NULL;
	reader->joined = NULL;
	if (bytes != NULL)
		accepted =
		    reader->callbacks.on_body(bytes, length, reader->data);
	if (joined != NULL)
		g_string_free(joined, TRUE);
	return accepted;
}

static void
clear_head(http1_reader_t *reader)
{
	g_string_truncate(reader->text, 0);
	reader->status_line = (status_line_t){0};
	memset(&reader->head, 0, sizeof(reader->head));
	reader->in_value = false;
	reader->head_complete = false;
}

static int
on_message_complete(http_parser *parser)
{
	http1_reader_t *reader = parser->data;

	if (reader->interim) {
		reader->interim = false;
		clear_head(reader);
	} else {
		reader->state = HTTP1_COMPLETE;
	}
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_header_name,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

http1_reader_t *
http1_reader_new(http1_kind_t kind, size_t head_max,
    const http1_callbacks_t *callbacks, void *data)
{
	http1_reader_t *reader = g_new0(http1_reader_t, 1);

	reader->kind = kind;
	reader->head_max = head_max;
	reader->callbacks = *callbacks;
	reader->data = data;
	reader->text = g_string_sized_new(1024);
	http1_reader_reset(reader);
	return reader;
}

void
http1_reader_free(http1_reader_t *reader)
{
	if (reader == NULL)
		return;
	g_string_free(reader->text, TRUE);
	g_free(reader);
}

void
http1_reader_reset(http1_reader_t *reader)
{
	http_parser_init(&reader->parser,
	    reader->kind == HTTP1_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
	reader->parser.data = reader;
	reader->state = HTTP1_READING;
	reader->started = false;
	reader->interim = false;
	reader->interim_count = 0;
	reader->head_too_large = false;
	reader->no_body = false;
	clear_head(reader);
}

/* Parses up to the end of one message, interim responses included. */
static size_t
parse_message(http1_reader_t *reader, const char *bytes, size_t length)
{
	size_t consumed;

	if (reader->kind == HTTP1_RESPONSE &&
	    !status_line_feed(&reader->status_line, bytes, length)) {
		reader->state = HTTP1_FAILED;
		return 0;
	}
	consumed = http_parser_execute(
	    &reader->parser, &parser_settings, bytes, length);
	if (reader->state != HTTP1_READING)
		return consumed;
	if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_PAUSED)
		http_parser_pause(&reader->parser, 0);
	else if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK)
		reader->state = HTTP1_FAILED;
	return consumed;
}

size_t
http1_reader_feed(http1_reader_t *reader, const char *bytes, size_t length)
{
	size_t consumed = 0;

	while (consumed < length && reader->state == HTTP1_READING)
		consumed +=
		    parse_message(reader, bytes + consumed, length - consumed);
	if (!flush_body(reader))
		reader->state = HTTP1_FAILED;
	return consumed;
}

void
http1_reader_feed_eof(http1_reader_t *reader)
{
	if (reader->state != HTTP1_READING)
		return;
	http_parser_execute(&reader->parser, &parser_settings, NULL, 0);
	if (reader->state == HTTP1_READING)
		reader->state = HTTP1_FAILED;
}

void
http1_reader_expect_no_body(http1_reader_t *reader)
{
	reader->no_body = true;
}

const http1_head_t *
http1_reader_head(const http1_reader_t *reader)
{
	return &reader->head;
}

http1_state_t
http1_reader_state(const http1_reader_t *reader)
{
	return reader->state;
}

bool
http1_reader_started(const http1_reader_t *reader)
{
	return reader->started;
}

size_t
http1_reader_memory(const http1_reader_t *reader)
{
	return sizeof(*reader) + reader->text->allocated_len;
}

bool
http1_reader_head_too_large(const http1_reader_t *reader)
{
	return reader->head_too_large ||
	       HTTP_PARSER_ERRNO(&reader->parser) == HPE_HEADER_OVERFLOW;
}

const char *
http1_head_get(const http1_head_t *head, const char *name)
{
	for (size_t i = 0; i < head->header_count; i++)
		if (strcasecmp(head->headers[i].name, name) == 0)
			return head->headers[i].value;
	return NULL;
}

size_t
http1_head_count(const http1_head_t *head, const char *name)
{
	size_t count = 0;

	for (size_t i = 0; i < head->header_count; i++)
		if (strcasecmp(head->headers[i].name, name) == 0)
			count++;
	return count;
}

/* True if a comma-separated list contains the name, in any case. */
static bool
list_contains(const char *list, const char *name)
{
	size_t length = strlen(name);

	while (*list != '\0') {
		size_t item_length;

		list += strspn(list, " \t,");
		item_length = strcspn(list, " \t,");
		if (item_length == length &&
		    strncasecmp(list, name, length) == 0)
			return true;
		list += item_length;
	}
	return false;
}

bool
http1_head_is_hop_by_hop(const http1_head_t *head, const char *name)
{
	static const char *const hop_by_hop[] = {"connection", "keep-alive",
	    "proxy-connection", "proxy-authenticate", "proxy-authorization",
	    "te", "trailer", "transfer-encoding", "upgrade", "content-length",
	    "expect"};

	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (strcasecmp(hop_by_hop[i], name) == 0)
			return true;
	for (size_t i = 0; i < head->header_count; i++)
		if (strcasecmp(head->headers[i].name, "connection") == 0 &&
		    list_contains(head->headers[i].value, name))
			return true;
	return false;
}

void
http1_add_header(GString *out, const char *name, const char *value)
{
	g_string_append(out, name);
	g_string_append(out, ": ");
	g_string_append(out, value);
	g_string_append(out, "\r\n");
}

const char *
http1_reason_phrase(unsigned status)
{
	return http_status_str((enum http_status)status);
}
