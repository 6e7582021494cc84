#ifndef PAPAYA_PEER_H
#define PAPAYA_PEER_H

#include "counter.h"
#include "message.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

/*
 * Connections between nodes: accepted ones are only read, opened ones only
 * written, so that each direction reconnects by itself. Owned by the node.
 */
typedef struct peer_hub peer_hub_t;

/* A connection that the own node opens, and opens again after a failure. */
typedef struct peer_link peer_link_t;

enum {
	/* One largest frame and some small ones; beyond it the peer is cut. */
	PEER_QUEUE_MAX_BYTES = MESSAGE_FRAME_MAX_BYTES + 256 * 1024,
	/* A peer that takes no byte of a waiting queue for this long is cut. */
	PEER_STALL_TIMEOUT_MS = 10000,
	/* An accepted connection must introduce itself in this time. */
	PEER_HELLO_TIMEOUT_MS = 5000,
	/* An accepted connection without a frame for this long is closed. */
	PEER_IDLE_TIMEOUT_MS = 30000,
	PEER_ACCEPTED_CONNECTIONS_MAX = 1024,
};

typedef struct peer_hub_options {
	uv_loop_t *loop;
	const char *address; /* IP number */
	int port;	     /* 0: chosen by the kernel */
	counters_t *counters;
	GRand *rand; /* of the backoff; borrowed */
	/* A link is connected: the first messages are to be sent now. */
	void (*on_link_connected)(peer_link_t *link, void *data);
	/* First message of an accepted connection; false closes it. */
	bool (*on_hello)(const message_t *message, void *data);
	/* Any later message; from is the node named in the hello. */
	void (*on_message)(
	    const char *from, const message_t *message, void *data);
	/* The last accepted connection of a node ended. */
	void (*on_node_disconnected)(const char *from, void *data);
	void *data;
} peer_hub_options_t;

peer_hub_t *peer_hub_new(const peer_hub_options_t *options, GError **error);

/* Closes all connections and links; no callback is called any more. */
void peer_hub_free(peer_hub_t *hub);

int peer_hub_port(const peer_hub_t *hub);

/* Connects to IP:PORT, which must be valid, and stays connected. */
peer_link_t *peer_link_open(peer_hub_t *hub, const char *address);

/* Closes the link; frames that still wait in its queue are lost. */
void peer_link_close(peer_link_t *link);

const char *peer_link_address(const peer_link_t *link);
bool peer_link_connected(const peer_link_t *link);

/*
 * Sends one encoded frame; shares the bytes. Frames wait while the link
 * connects and are dropped (false) while it waits for its next attempt.
 */
bool peer_link_send(peer_link_t *link, GBytes *frame);

/* Parses IP:PORT. */
bool peer_address_parse(const char *text, struct sockaddr_in *address);

#endif
