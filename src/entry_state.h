#ifndef PAPAYA_ENTRY_STATE_H
#define PAPAYA_ENTRY_STATE_H

#include "conn.h"
#include "entry.h"

#include <sys/queue.h>

/*
 * What the two parts of the server share: entry.c reads requests, exchange.c
 * writes responses.
 */

typedef TAILQ_HEAD(client_list, client) client_list_t;

struct entry_server {
	uv_tcp_t listener;
	entry_options_t options;
	client_list_t clients;
	unsigned connections;
	unsigned active;
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
	entry_server_t *server;
	conn_t *conn; /* NULL once closed */
	uv_timer_t timer;
	http1_reader_t *reader;
	client_phase_t phase;
	exchange_t *exchange;
	GByteArray *body;
	GByteArray *ahead;
	int64_t received_ms;
	int64_t idle_since_ms;
	bool too_large;
} client_t;

struct exchange {
	unsigned refs;
	client_t *client; /* NULL once the client left or the response ended */
	http1_reader_t *reader; /* keeps the head */
	GByteArray *body;
	int64_t received_ms;
	bool keep_alive;
	bool is_head;
	bool chunked;
	bool unframed;
	void (*on_gone)(void *data);
	void (*on_drain)(void *data);
	void *data;
};

/* Close a connection at once, or after what is queued has been sent. */
void entry_client_close(client_t *client);
void entry_client_finish(client_t *client);

/* Waits for the next request, part of which may have been read. */
void entry_client_next(client_t *client);

void entry_add_status_line(GString *out, unsigned status);

#endif
