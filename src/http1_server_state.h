#ifndef PAPAYA_HTTP1_SERVER_STATE_H
#define PAPAYA_HTTP1_SERVER_STATE_H

#include "conn.h"
#include "http1_server.h"

#include <sys/queue.h>

/*
 * Declarations shared by http1_server.c, which reads requests, and exchange.c,
 * which writes responses.
 */

typedef TAILQ_HEAD(client_list, client) client_list_t;

struct http1_server {
	uv_tcp_t listener;
	http1_server_options_t options;
	client_list_t clients;	   /* least recently used first */
	client_list_t resumable;   /* with pipelined bytes to be parsed */
	uv_timer_t resume_timer;   /* parses them */
	uv_timer_t eviction_timer; /* resets clients that do not read */
	uint64_t refusals[HTTP1_REFUSAL_COUNT];
	uint64_t losses[HTTP1_LOSS_COUNT];
	unsigned connections;
	uint64_t accepted; /* connections since the start */
	unsigned active_requests;
	bool draining;
};

typedef enum client_phase {
	CLIENT_IDLE,	/* no request in progress */
	CLIENT_READING, /* a request has been read in part */
	CLIENT_BUSY,	/* the response is not complete */
	CLIENT_CLOSING, /* to be closed once the queued bytes are sent */
} client_phase_t;

/* One connection of a client. Freed when its timer handle has been closed. */
typedef struct client {
	TAILQ_ENTRY(client) entries; /* in http1_server_t.clients */
	TAILQ_ENTRY(client) resumable_entries;
	bool resumable; /* is in http1_server_t.resumable */
	bool parsing;	/* client_read() is running */
	http1_server_t *server;
	conn_t *conn; /* NULL once closed */
	uv_timer_t timer;
	http1_reader_t *reader; /* NULL: between requests */
	client_phase_t phase;
	memory_charge_t received; /* reader, body and pipelined */
	memory_charge_t queued;	  /* bytes of responses */
	exchange_t *exchange;
	GByteArray *body;      /* of the request being read */
	size_t body_max;       /* that held when its head was read */
	GByteArray *pipelined; /* bytes read after the current request */
	/* The same that client_read() has not yet parsed or kept. */
	size_t unparsed_bytes;
	int64_t received_ms; /* as exchange_received_ms() */
	int64_t idle_since_ms;
	/* The time limit has passed, and the loop has one more round. */
	bool overdue;
	/* The client expects a close after the last response. */
	bool reads_to_end;
	bool reset_after;    /* requests behind the last response are lost */
	bool refused;	     /* the rest of the request is of no interest */
	size_t queued_bytes; /* while closing, at the last look for a stall */
	/* Why the reader failed; HTTP1_REFUSED_MALFORMED: no limit. */
	http1_refusal_t refusal;
} client_t;

struct exchange {
	unsigned refs;
	client_t *client; /* NULL once disconnected or the response ended */
	http1_reader_t *request_reader; /* owns the request's head */
	GByteArray *request_body;
	http1_memory_t *memory;	  /* borrowed */
	memory_charge_t request;  /* head and body */
	memory_charge_t response; /* what the handler gathers of it */
	int64_t received_ms;
	bool keep_alive;
	bool is_head_request;
	bool chunked;
	bool close_delimited;
	bool close_announced; /* the head says that the connection closes */
	void (*on_disconnect)(void *data);
	void (*on_write_queue_empty)(void *data);
	void *data;
};

/* Closes the connection at once and frees the client. */
void http1_server_close_client(client_t *client);
/* The same with a reset, which no client takes for the end of a response. */
void http1_server_reset_client(client_t *client);
/*
 * Closes and frees it after sending the queued bytes, for as long as the client
 * reads them: see conn_shutdown(). Reads no further request.
 */
void http1_server_shutdown_client(client_t *client);

/* Sends the bytes, or queues and charges what cannot be sent at once. */
void http1_server_write(client_t *client, const char *bytes, size_t length);

/* True where bytes that follow the last request have been read. */
bool http1_server_has_bytes_behind(const client_t *client);

/* Waits for the next request; parses the pipelined bytes first. */
void http1_server_await_request(client_t *client);

void http1_server_add_status_line(GString *out, unsigned status);

#endif
