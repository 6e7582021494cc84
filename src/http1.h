#ifndef PAPAYA_HTTP1_H
#define PAPAYA_HTTP1_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Incremental parser of HTTP/1.1 messages, based on http_parser. */

typedef enum http1_kind { HTTP1_REQUEST, HTTP1_RESPONSE } http1_kind_t;

enum { HTTP1_HEADERS_MAX = 96 };

typedef struct http1_header {
	const char *name;
	const char *value;
} http1_header_t;

/* The head of a message; valid until its reader is reset or freed. */
typedef struct http1_head {
	const char *method; /* requests */
	const char *target; /* requests: path and query, as received */
	unsigned status;    /* responses */
	bool http_1_0;
	bool keep_alive;
	bool has_length;     /* has Content-Length or is chunked */
	int64_t body_length; /* by Content-Length; -1: not announced */
	http1_header_t headers[HTTP1_HEADERS_MAX];
	size_t header_count;
	size_t bytes; /* of target, names and values, with terminators */
} http1_head_t;

typedef struct http1_reader http1_reader_t;

typedef struct http1_callbacks {
	/* Return false to make the reader fail. */
	bool (*on_head)(const http1_head_t *head, void *data);
	/*
	 * All body bytes of one http1_reader_feed(), however many chunks they
	 * came in. Return false to make the reader fail.
	 */
	bool (*on_body)(const char *bytes, size_t length, void *data);
} http1_callbacks_t;

typedef enum http1_state {
	HTTP1_READING,
	HTTP1_COMPLETE, /* must be reset before the next message */
	HTTP1_FAILED,
} http1_state_t;

/* Owned by the caller. Fails on a head of more than head_max bytes. */
http1_reader_t *http1_reader_new(http1_kind_t kind, size_t head_max,
    const http1_callbacks_t *callbacks, void *data);
void http1_reader_free(http1_reader_t *reader);

/* Parses up to the end of one message; returns the bytes consumed. */
size_t http1_reader_feed(
    http1_reader_t *reader, const char *bytes, size_t length);

/*
 * Reports the end of the connection. Completes a response that has no length;
 * any other unfinished message fails.
 */
void http1_reader_feed_eof(http1_reader_t *reader);

/* The response being read is to HEAD and has no body; call in on_head. */
void http1_reader_expect_no_body(http1_reader_t *reader);

/* Prepares for the next message on the connection. */
void http1_reader_reset(http1_reader_t *reader);

/* The head of the current message; empty until it is complete. */
const http1_head_t *http1_reader_head(const http1_reader_t *reader);

http1_state_t http1_reader_state(const http1_reader_t *reader);

/* True once a byte of the message has been read, until the reader is reset. */
bool http1_reader_started(const http1_reader_t *reader);

/* Memory that the reader and the text of its head take. */
size_t http1_reader_memory(const http1_reader_t *reader);

/* True if the reader failed because the head was too long. */
bool http1_reader_head_too_large(const http1_reader_t *reader);

/* Value of the first header of this name, in any case; NULL if absent. */
const char *http1_head_get(const http1_head_t *head, const char *name);

/* Number of headers with this name. */
size_t http1_head_count(const http1_head_t *head, const char *name);

/*
 * True for headers that are not forwarded: hop-by-hop headers, including those
 * listed in Connection, and Content-Length and Expect, which are set anew for
 * each connection.
 */
bool http1_head_is_hop_by_hop(const http1_head_t *head, const char *name);

/* Appends "Name: value" and CRLF. */
void http1_add_header(GString *out, const char *name, const char *value);

const char *http1_reason_phrase(unsigned status);

#endif
