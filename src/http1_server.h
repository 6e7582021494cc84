#ifndef PAPAYA_HTTP1_SERVER_H
#define PAPAYA_HTTP1_SERVER_H

#include "catalog.h"
#include "http1.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * HTTP/1.1 server for clients. Handles one request per connection at a time,
 * but keeps reading while a request is in progress, so that a disconnect is
 * detected immediately; bytes of pipelined requests are buffered meanwhile.
 */
typedef struct http1_server http1_server_t;

/* One request/response pair. Reference counted; the handler releases its
 * reference with exchange_unref(). */
typedef struct exchange exchange_t;

typedef struct http1_server_options {
	const char *address; /* IP:PORT */
	/* At this limit, a new connection closes the one idle longest; it is
	 * accepted even if none is idle. */
	unsigned connections_max;
	/* A complete request has been read; the handler owns a reference. */
	void (*on_request)(exchange_t *exchange, void *data);
	/* Returns the limits currently in effect; borrowed. */
	const catalog_limits_t *(*limits)(void *data);
	void *data;
} http1_server_options_t;

http1_server_t *http1_server_start(
    uv_loop_t *loop, const http1_server_options_t *options, GError **error);

/* Makes every response from now on close its connection. */
void http1_server_drain(http1_server_t *server);
/* Closes the connections that have had no request for min_idle_ms. */
void http1_server_close_idle(http1_server_t *server, int64_t min_idle_ms);

/* Connections accepted since the start. */
uint64_t http1_server_accepted(const http1_server_t *server);
unsigned http1_server_connections(const http1_server_t *server);
/* Number of requests whose response is not complete. */
unsigned http1_server_active_requests(const http1_server_t *server);

const http1_head_t *exchange_request_head(const exchange_t *exchange);
const GByteArray *exchange_request_body(const exchange_t *exchange);
/*
 * clock_boot_ms() when reading of the request began; for a pipelined request,
 * when its buffered bytes were parsed.
 */
int64_t exchange_received_ms(const exchange_t *exchange);

/* True if the client has disconnected or the response has ended. */
bool exchange_is_closed(const exchange_t *exchange);

void exchange_unref(exchange_t *exchange);

/*
 * on_disconnect: the client disconnected before the response was complete; not
 * called by exchange_abort(). on_write_queue_empty: all queued bytes have been
 * handed to the kernel. Either may be NULL.
 */
void exchange_set_callbacks(exchange_t *exchange,
    void (*on_disconnect)(void *data), void (*on_write_queue_empty)(void *data),
    void *data);

/*
 * Sends a complete response. extra_headers: further header lines, each with its
 * CRLF, or NULL.
 */
void exchange_reply(exchange_t *exchange, unsigned status,
    const char *extra_headers, const char *body, size_t length);

/*
 * Length of a body that is not known in advance: it is sent in chunks, so that
 * the client can tell a truncated body from a complete one, also where this
 * process is killed. Clients of HTTP/1.0 cannot: closing their connection ends
 * the body.
 */
enum { EXCHANGE_CHUNKED = -1 };

/*
 * Starts a response with the status and end-to-end headers of a backend
 * server's response. length is the body's in bytes, or EXCHANGE_CHUNKED.
 */
void exchange_start(
    exchange_t *exchange, const http1_head_t *source, int64_t length);
void exchange_write(exchange_t *exchange, const char *bytes, size_t length);
void exchange_end(exchange_t *exchange);

/* Closes the connection at once, so that the client does not take the response
 * for complete. */
void exchange_abort(exchange_t *exchange);

/* Bytes of the response that have not been handed to the kernel. */
size_t exchange_queued_bytes(const exchange_t *exchange);

#endif
