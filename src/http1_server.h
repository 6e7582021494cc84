#ifndef PAPAYA_HTTP1_SERVER_H
#define PAPAYA_HTTP1_SERVER_H

#include "catalog.h"
#include "http1.h"
#include "memory_budget.h"

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

/* Limits of what connections hold, shared by the servers of a process. */
typedef struct http1_memory {
	memory_budget_t *received; /* from clients, and not passed on yet */
	memory_budget_t *queued;   /* waits to be read by clients */
	unsigned connections;	   /* open at all servers */
} http1_memory_t;

/* Why a client's request was refused, or its connection closed. */
typedef enum http1_refusal {
	HTTP1_REFUSED_ANNOUNCED, /* the head announces too large a body */
	HTTP1_REFUSED_BODY,	 /* the body is too large */
	HTTP1_REFUSED_HEAD,	 /* the head is too large */
	HTTP1_REFUSED_MALFORMED,
	HTTP1_REFUSED_TIMEOUT,	   /* the request was not complete in time */
	HTTP1_REFUSED_MEMORY,	   /* the budget of received bytes is full */
	HTTP1_REFUSED_UNREAD,	   /* the budget of queued bytes is full */
	HTTP1_REFUSED_CONNECTIONS, /* too many connections are open */
	HTTP1_REFUSAL_COUNT,
} http1_refusal_t;

/* How a client's request, or bytes of one, came to have no whole response. */
typedef enum http1_loss {
	HTTP1_LOST_ABORTED, /* this process closed before the response's end */
	HTTP1_LOST_BEHIND,  /* read behind the last request of a connection */
	HTTP1_LOST_LATE, /* sent after the connection was closed for sending */
	HTTP1_LOSS_COUNT,
} http1_loss_t;

typedef struct http1_server_options {
	const char *address; /* IP:PORT */
	/* At this limit, a new connection closes the one idle longest; it is
	 * accepted even if none is idle. */
	unsigned connections_max;
	/* Connections of all servers that may be open when one is accepted,
	 * with those that are being closed. It takes the place of the oldest
	 * that has no complete request; it is closed at once if there is none.
	 */
	unsigned sockets_max;
	http1_memory_t *memory; /* borrowed */
	/* A complete request has been read; the handler owns a reference. */
	void (*on_request)(exchange_t *exchange, void *data);
	/* Returns the limits currently in effect; borrowed. */
	const catalog_limits_t *(*limits)(void *data);
	void *data;
} http1_server_options_t;

http1_server_t *http1_server_start(
    uv_loop_t *loop, const http1_server_options_t *options, GError **error);

/* Port that it listens on. */
int http1_server_port(const http1_server_t *server);

/* Makes every response from now on close its connection, unless more requests
 * have come on it. */
void http1_server_drain(http1_server_t *server);
/* Closes the connections that have had no request for min_idle_ms. */
void http1_server_close_idle(http1_server_t *server, int64_t min_idle_ms);

/* Connections accepted since the start. */
uint64_t http1_server_accepted(const http1_server_t *server);
unsigned http1_server_connections(const http1_server_t *server);
/* Number of requests whose response is not complete. */
unsigned http1_server_active_requests(const http1_server_t *server);

/* Refusals since the start. */
uint64_t http1_server_refusals(
    const http1_server_t *server, http1_refusal_t reason);
/* Label of a reason in metrics and logs. */
const char *http1_refusal_name(http1_refusal_t reason);

/* Connections with such a loss since the start. */
uint64_t http1_server_losses(const http1_server_t *server, http1_loss_t loss);
/* Label of a loss in metrics and logs. */
const char *http1_loss_name(http1_loss_t loss);

const http1_head_t *exchange_request_head(const exchange_t *exchange);
/* Borrowed; must not be changed. */
GByteArray *exchange_request_body(const exchange_t *exchange);
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

/*
 * Most bytes of the response that should wait for the client; less than usual
 * where the clients of this process leave much unread.
 */
size_t exchange_queue_max(const exchange_t *exchange);

/* Charges a response of this length that the handler gathers in an array. */
void exchange_charge_response(exchange_t *exchange, size_t length);

/* True where so much of the response is queued that its source must pause. */
bool exchange_is_queue_full(const exchange_t *exchange);

#endif
