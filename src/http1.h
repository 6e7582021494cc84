#ifndef PAPAYA_HTTP1_H
#define PAPAYA_HTTP1_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* HTTP/1.1 messages read piece by piece, over http_parser. */

typedef enum http1_kind { HTTP1_REQUEST, HTTP1_RESPONSE } http1_kind_t;

enum { HTTP1_HEADERS_MAX = 96 };

typedef struct http1_header {
	const char *name;
	const char *value;
} http1_header_t;

/* The head of a message; valid until its reader is reset or freed. */
typedef struct http1_head {
	const char *method; /* requests */
	const char *target; /* requests: path and query as received */
	unsigned status;    /* responses */
	bool http_1_0;
	bool keep_alive;
	bool has_length; /* Content-Length or chunked */
	http1_header_t headers[HTTP1_HEADERS_MAX];
	size_t header_count;
	size_t bytes; /* of all names and values */
} http1_head_t;

typedef struct http1_reader http1_reader_t;

typedef struct http1_callbacks {
	/* False stops the reader with an error. */
	bool (*on_head)(const http1_head_t *head, void *data);
	/* False stops the reader with an error. */
	bool (*on_body)(const char *bytes, size_t length, void *data);
} http1_callbacks_t;

typedef enum http1_state {
	HTTP1_READING,
	HTTP1_COMPLETE, /* reset before the next message */
	HTTP1_FAILED,
} http1_state_t;

/* Owned by the caller. Heads with more than head_max bytes fail. */
http1_reader_t *http1_reader_new(http1_kind_t kind, size_t head_max,
    const http1_callbacks_t *callbacks, void *data);
void http1_reader_free(http1_reader_t *reader);

/* Reads up to the end of one message; returns the bytes used. */
size_t http1_reader_feed(
    http1_reader_t *reader, const char *bytes, size_t length);

/* The connection ended: completes a response without a length. */
void http1_reader_feed_eof(http1_reader_t *reader);

/* The message being read has a head only: the response to HEAD. */
void http1_reader_expect_no_body(http1_reader_t *reader);

/* Prepares for the next message on the connection. */
void http1_reader_reset(http1_reader_t *reader);

/* The head that was read last; empty before it is complete. */
const http1_head_t *http1_reader_head(const http1_reader_t *reader);

http1_state_t http1_reader_state(const http1_reader_t *reader);

/* True from the first byte of a message to its end. */
bool http1_reader_started(const http1_reader_t *reader);

/* True where the head was longer than allowed. */
bool http1_reader_head_too_large(const http1_reader_t *reader);

/* Value of a header; NULL where it is absent. */
const char *http1_head_get(const http1_head_t *head, const char *name);

/* How often a header occurs. */
size_t http1_head_count(const http1_head_t *head, const char *name);

/*
 * True where a header concerns one connection only, so that it is not passed
 * on; this includes the names that Connection lists.
 */
bool http1_head_is_hop_by_hop(const http1_head_t *head, const char *name);

/* Appends "Name: value" and the end of the line. */
void http1_add_header(GString *out, const char *name, const char *value);

/* Reason phrase of a status. */
const char *http1_reason_phrase(unsigned status);

#endif
