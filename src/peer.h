#ifndef PAPAYA_PEER_H
#define PAPAYA_PEER_H

#include "counter.h"
#include "message.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

/*
 * The connections between this node and other nodes. Accepted connections are
 * only read and opened ones only written, so that each direction reconnects
 * independently. Owned by the node.
 */
typedef struct peer_hub peer_hub_t;

/* A connection that this node opens, and reopens after a failure. */
typedef struct peer_link peer_link_t;

enum {
	/*
	 * One frame of the largest size and some small ones. A peer with more
	 * bytes in its queue is disconnected.
	 */
	PEER_QUEUE_MAX_BYTES = MESSAGE_FRAME_MAX_BYTES + 256 * 1024,
	/* A peer with queued bytes is disconnected if no write ends in time. */
	PEER_STALL_TIMEOUT_MS = 10000,
	/* An accepted connection without a hello in this time is closed. */
	PEER_HELLO_TIMEOUT_MS = 5000,
	/* An accepted connection without a frame for this long is closed. */
	PEER_IDLE_TIMEOUT_MS = 30000,
	PEER_ACCEPTED_CONNECTIONS_MAX = 1024,
};

typedef struct peer_hub_options {
	uv_loop_t *loop;
	const char *address; /* IPv4 address to listen on */
	int port;	     /* 0: chosen by the kernel */
	counters_t *counters;
	GRand *rand; /* for the jitter of the backoff; borrowed */
	/*
	 * A link is connected. Frames sent by the callback precede those that
	 * were sent while it was connecting.
	 */
	void (*on_link_connected)(peer_link_t *link, void *data);
	/*
	 * A hello, which must be the first message of an accepted connection;
	 * false closes the connection.
	 */
	bool (*on_hello)(const message_t *message, void *data);
	/* Any other message, from the node that the hello names. */
	void (*on_message)(
	    const char *from_node, const message_t *message, void *data);
	/* The last accepted connection of a node has been closed. */
	void (*on_node_disconnected)(const char *node, void *data);
	void *data;
} peer_hub_options_t;

peer_hub_t *peer_hub_new(const peer_hub_options_t *options, GError **error);

/*
 * Closes all connections and links; no callback is called afterwards. The
 * memory is released by the loop once the handles are closed.
 */
void peer_hub_free(peer_hub_t *hub);

int peer_hub_port(const peer_hub_t *hub);

/*
 * Connects to IP:PORT, which must be valid, and reconnects after failures. The
 * link is freed by peer_link_close() or with the hub.
 */
peer_link_t *peer_link_open(peer_hub_t *hub, const char *address);

/* Closes and frees the link; frames that are not written yet are lost. */
void peer_link_close(peer_link_t *link);

const char *peer_link_address(const peer_link_t *link);
bool peer_link_connected(const peer_link_t *link);

/*
 * Sends one encoded frame and holds a reference to its bytes until then. While
 * the link is connecting, frames are queued. Returns false if the frame is
 * dropped: the link waits for its next attempt, or the queue is full.
 */
bool peer_link_send(peer_link_t *link, GBytes *frame);

#endif
