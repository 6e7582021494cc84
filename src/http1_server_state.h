#ifndef PAPAYA_HTTP1_SERVER_STATE_H
#define PAPAYA_HTTP1_SERVER_STATE_H

#include "conn.h"
#include "http1_server.h"

#include <sys/queue.h>

/*
 * What the two parts of the server share: entry.c reads requests, exchange.c
 * writes responses.
 */

typedef TAILQ_HEAD(client_list, client) client_list_t;

struct http1_server {
	uv_tcp_t listener;
	http1_server_options_t options;
	client_list_t clients;
	unsigned connections;
	unsigned active_requests;
	bool draining;
};

typedef enum client_phase {
	CLIENT_IDLE,	/* waits for a request */
	CLIENT_READING, /* a request is partly read */
	CLIENT_BUSY,	/* a response is due */
} client_phase_t;

/* One connection of a client. Freed once it is closed and unreferenced. */
typedef struct client {
	TAILQ_ENTRY(client) entries; /* least recently used first */
	http1_server_t *server;
	conn_t *conn; /* NULL once closed */
	uv_timer_t timer;
	http1_reader_t *reader;
	client_phase_t phase;
	exchange_t *exchange;
	GByteArray *body;
	GByteArray *pipelined;
	int64_t received_ms;
	int64_t idle_since_ms;
	bool body_too_large;
} client_t;

struct exchange {
	unsigned refs;
	client_t *client; /* NULL once the client left or the response ended */
	http1_reader_t *request_reader; /* keeps the head */
	GByteArray *request_body;
	int64_t received_ms;
	bool keep_alive;
	bool is_head_request;
	bool chunked;
	bool close_delimited;
	void (*on_disconnect)(void *data);
	void (*on_write_queue_empty)(void *data);
	void *data;
};

/* Close a connection at once, or after what is queued has been sent. */
void http1_server_close_client(client_t *client);
void http1_server_shutdown_client(client_t *client);

/* Waits for the next request, part of which may have been read. */
void http1_server_await_request(client_t *client);

void http1_server_add_status_line(GString *out, unsigned status);

#endif
