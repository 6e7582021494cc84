#ifndef PAPAYA_HTTP_SERVER_H
#define PAPAYA_HTTP_SERVER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <uv.h>

/* HTTP/1.1 server over h2o on one libuv loop. */
typedef struct http_server http_server_t;

/*
 * One request and its reply. Reference counted: the server holds one
 * reference until the reply is complete or the client is gone; a holder that
 * replies later takes its own. Replies to a client that is gone are dropped.
 */
typedef struct http_request http_request_t;

typedef struct http_header {
	const char *name; /* lower case */
	const char *value;
} http_header_t;

typedef void (*http_handler_t)(http_request_t *request, void *data);

typedef struct http_server_options {
	const char *address;   /* IP number */
	int port;	       /* 0: chosen by the kernel */
	size_t body_max_bytes; /* bytes; 0: 2 MiB */
	http_handler_t handler;
	void *data;
} http_server_options_t;

/* Starts to listen; NULL and *error where it cannot. */
http_server_t *http_server_start(
    uv_loop_t *loop, const http_server_options_t *options, GError **error);

int http_server_port(const http_server_t *server);

/* Requests whose reply is not complete yet. */
unsigned http_server_active_requests(const http_server_t *server);

/*
 * Stops accepting. Requests in progress go on; their connections close after
 * the reply.
 */
void http_server_stop(http_server_t *server);

http_request_t *http_request_ref(http_request_t *request);
void http_request_unref(http_request_t *request);

const char *http_request_method(const http_request_t *request);
/* Path without the query, as sent. */
const char *http_request_path(const http_request_t *request);
/* Query as sent, without '?'; NULL if none. */
const char *http_request_query(const http_request_t *request);
/* Unescaped query parameter, newly allocated for g_free(); NULL if none. */
char *http_request_query_param(const http_request_t *request, const char *name);
/* Header value by lower-case name; NULL if none. */
const char *http_request_header(
    const http_request_t *request, const char *name);
const char *http_request_body(const http_request_t *request, size_t *length);

/* True once the client is gone or the reply is complete. */
bool http_request_is_closed(const http_request_t *request);

/*
 * Calls gone(data) once, when the client has left or the reply is complete.
 * A client that leaves before the reply starts is noticed at the first write.
 */
void http_request_on_close(
    http_request_t *request, void (*on_close)(void *data), void *data);

void http_reply(http_request_t *request, int status,
    const http_header_t *headers, size_t header_count, const void *body,
    size_t length);

/* Replies with JSON and takes over the reference to value. */
void http_reply_json(http_request_t *request, int status, json_t *value);

/* Replies with the typed error as JSON, saying whether the call was run. */
void http_reply_error(
    http_request_t *request, const GError *error, bool not_run);

/* Starts a reply of unknown length. */
void http_stream_begin(http_request_t *request, int status,
    const http_header_t *headers, size_t header_count);
void http_stream_write(
    http_request_t *request, const void *bytes, size_t length);
/* Bytes written and not yet taken by the connection. */
size_t http_stream_pending(const http_request_t *request);
/* Calls drained(data) each time that nothing is left pending. */
void http_stream_on_drained(
    http_request_t *request, void (*on_drained)(void *data), void *data);
/* Ends a complete reply. */
void http_stream_end(http_request_t *request);
/* Closes the connection without the last chunk: the reply is incomplete. */
void http_stream_abort(http_request_t *request);

/*
 * Closes the connection at once, whatever the client has not read yet: without
 * any byte of a reply, or with an incomplete one.
 */
void http_request_disconnect(http_request_t *request);

#endif
