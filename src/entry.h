#ifndef PAPAYA_ENTRY_H
#define PAPAYA_ENTRY_H

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
typedef struct entry_server entry_server_t;

/* One request and its response. Reference counted; the handler's reference
 * ends with exchange_unref(). */
typedef struct exchange exchange_t;

typedef struct entry_options {
	const char *address; /* IP:PORT */
	unsigned connections_max;
	/* A whole request has been read; takes over the reference. */
	void (*on_request)(exchange_t *exchange, void *data);
	/* Limits in force. */
	const catalog_limits_t *(*limits)(void *data);
	void *data;
} entry_options_t;

entry_server_t *entry_server_start(
    uv_loop_t *loop, const entry_options_t *options, GError **error);

/* From now on each response closes its connection. */
void entry_server_drain(entry_server_t *server);
/* Closes the connections that wait for a request. */
void entry_server_close_idle(entry_server_t *server);

unsigned entry_server_connections(const entry_server_t *server);
/* Requests that have no complete response yet. */
unsigned entry_server_active(const entry_server_t *server);

const http1_head_t *exchange_head(const exchange_t *exchange);
const GByteArray *exchange_body(const exchange_t *exchange);
/* clock_boot_ms() at which the first byte of the request was read. */
int64_t exchange_received_ms(const exchange_t *exchange);

/* True where the client has left, or has its whole response. */
bool exchange_gone(const exchange_t *exchange);

void exchange_unref(exchange_t *exchange);

/*
 * on_gone: the client left before the response was complete. on_drain: queued
 * bytes have been sent. Either may be NULL.
 */
void exchange_watch(exchange_t *exchange, void (*on_gone)(void *data),
    void (*on_drain)(void *data), void *data);

/* Sends a whole response. extra: further header lines, or NULL. */
void exchange_reply(exchange_t *exchange, unsigned status, const char *extra,
    const char *body, size_t length);

enum {
	EXCHANGE_CHUNKED = -1,
	/* The body ends with the connection, which proves nothing. */
	EXCHANGE_UNFRAMED = -2,
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
size_t exchange_queued(const exchange_t *exchange);

#endif
