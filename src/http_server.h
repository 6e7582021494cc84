#ifndef PAPAYA_HTTP_SERVER_H
#define PAPAYA_HTTP_SERVER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <uv.h>

/* HTTP/1.1 server over h2o on one libuv loop. */
typedef struct http_server http_server_t;

/*
 * A request and its reply, reference counted. The server holds a reference
 * until the reply is complete or the client has disconnected; a handler that
 * replies after it has returned must hold another one. Writes to a client that
 * has disconnected are discarded.
 */
typedef struct http_request http_request_t;

typedef struct http_header {
	const char *name; /* lower case */
	const char *value;
} http_header_t;

/* Called once for each request. */
typedef void (*http_handler_t)(http_request_t *request, void *data);

typedef struct http_server_options {
	const char *address;   /* numeric IPv4 address */
	int port;	       /* 0: chosen by the kernel */
	size_t body_max_bytes; /* of a request body; 0: 2 MiB */
	http_handler_t handler;
	void *data;
} http_server_options_t;

/* Listens on the address; returns NULL and sets *error on failure. */
http_server_t *http_server_start(
    uv_loop_t *loop, const http_server_options_t *options, GError **error);

int http_server_port(const http_server_t *server);

/* Number of requests whose reply is not complete yet. */
unsigned http_server_active_requests(const http_server_t *server);

/*
 * Stops accepting connections. Requests in flight are completed; a connection
 * closes after the reply to a request that arrives from now on.
 */
void http_server_stop(http_server_t *server);

http_request_t *http_request_ref(http_request_t *request);
void http_request_unref(http_request_t *request);

const char *http_request_method(const http_request_t *request);
/* Path as received, without the query. */
const char *http_request_path(const http_request_t *request);
/* Query as received, without '?'; NULL if none. */
const char *http_request_query(const http_request_t *request);
/* Unescaped query parameter, newly allocated for g_free(); NULL if none. */
char *http_request_query_param(const http_request_t *request, const char *name);
/* Header value by lower-case name; NULL if none or once closed. */
const char *http_request_header(
    const http_request_t *request, const char *name);
const char *http_request_body(const http_request_t *request, size_t *length);

/* True once the reply is complete or the client has disconnected. */
bool http_request_is_closed(const http_request_t *request);

/*
 * Calls on_close(data) once, when the reply is complete or the client has
 * disconnected; immediately if the request is already closed. A disconnect
 * before the reply starts is detected at the first write.
 */
void http_request_on_close(
    http_request_t *request, void (*on_close)(void *data), void *data);

void http_reply(http_request_t *request, int status,
    const http_header_t *headers, size_t header_count, const void *body,
    size_t length);

/* Replies with a JSON body and releases the caller's reference to value. */
void http_reply_json(http_request_t *request, int status, json_t *value);

/*
 * Replies with the HTTP status and JSON body of an error. not_run: the call
 * was not executed, which the body and a header state.
 */
void http_reply_error(
    http_request_t *request, const GError *error, bool not_run);

/* Starts a reply of unknown length. */
void http_stream_begin(http_request_t *request, int status,
    const http_header_t *headers, size_t header_count);
void http_stream_write(
    http_request_t *request, const void *bytes, size_t length);
/*
 * Bytes written and not yet passed to h2o; the write in flight does not count.
 */
size_t http_stream_pending(const http_request_t *request);
/*
 * Calls on_drained(data) each time all bytes written to an open stream have
 * been sent.
 */
void http_stream_on_drained(
    http_request_t *request, void (*on_drained)(void *data), void *data);
/* Ends the reply as complete. */
void http_stream_end(http_request_t *request);
/*
 * Closes the connection without the last chunk, so that the client detects an
 * incomplete reply.
 */
void http_stream_abort(http_request_t *request);

/*
 * Closes the connection at once, even if the client has not read all that was
 * written. The client receives no reply, or an incomplete one.
 */
void http_request_disconnect(http_request_t *request);

#endif
