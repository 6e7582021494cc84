#ifndef PAPAYA_HTTP1_SERVER_H
#define PAPAYA_HTTP1_SERVER_H

#include "catalog.h"
#include "http1.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * HTTP/1.1 server for clients. It keeps reading while a request is in
 * progress, so that a client that leaves is noticed at once.
 */
typedef struct http1_server http1_server_t;

/* One request and its response. Reference counted; the handler's reference
 * ends with exchange_unref(). */
typedef struct exchange exchange_t;

typedef struct http1_server_options {
	const char *address; /* IP:PORT */
	unsigned connections_max;
	/* A whole request has been read; takes over the reference. */
	void (*on_request)(exchange_t *exchange, void *data);
	/* Limits in force. */
	const catalog_limits_t *(*limits)(void *data);
	void *data;
} http1_server_options_t;

http1_server_t *http1_server_start(
    uv_loop_t *loop, const http1_server_options_t *options, GError **error);

/* From now on each response closes its connection. */
void http1_server_drain(http1_server_t *server);
/* Closes the connections that wait for a request. */
void http1_server_close_idle(http1_server_t *server);

unsigned http1_server_connections(const http1_server_t *server);
/* Requests that have no complete response yet. */
unsigned http1_server_active_requests(const http1_server_t *server);

const http1_head_t *exchange_request_head(const exchange_t *exchange);
const GByteArray *exchange_request_body(const exchange_t *exchange);
/* clock_boot_ms() at which the first byte of the request was read. */
int64_t exchange_received_ms(const exchange_t *exchange);

/* True where the client has left, or has its whole response. */
bool exchange_is_closed(const exchange_t *exchange);

void exchange_unref(exchange_t *exchange);

/*
 * on_gone: the client left before the response was complete. on_drain: queued
 * bytes have been sent. Either may be NULL.
 */
void exchange_set_callbacks(exchange_t *exchange,
    void (*on_disconnect)(void *data), void (*on_write_queue_empty)(void *data),
    void *data);

/* Sends a whole response. extra: further header lines, or NULL. */
void exchange_reply(exchange_t *exchange, unsigned status,
    const char *extra_headers, const char *body, size_t length);

enum {
	EXCHANGE_CHUNKED = -1,
	/* The body ends with the connection, which proves nothing. */
	EXCHANGE_CLOSE_DELIMITED = -2,
};

/*
 * Starts a response with the headers of a backend server's response. length
 * is that of the body, or one of the values above.
 */
void exchange_start(
    exchange_t *exchange, const http1_head_t *source, int64_t length);
void exchange_write(exchange_t *exchange, const char *bytes, size_t length);
void exchange_end(exchange_t *exchange);

/* Cuts the connection, so that the response cannot look complete. */
void exchange_abort(exchange_t *exchange);

/* Bytes of the response not yet handed to the kernel. */
size_t exchange_queued_bytes(const exchange_t *exchange);

#endif
