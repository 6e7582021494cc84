#ifndef PAPAYA_NODE_BACKEND_H
#define PAPAYA_NODE_BACKEND_H

#include "cloud.h"
#include "node.h"

/* Inside of the node's part for backend servers; not for other parts. */

typedef struct node_poll node_poll_t;

/* A host that leaves or has left. */
typedef struct leaving {
	int64_t leave_at_ms;  /* wall clock; 0: unknown */
	int64_t forget_at_ms; /* wall clock */
} leaving_t;

struct node_backends {
	node_t *node;
	cloud_t *cloud; /* NULL: none configured */
	uv_timer_t *timer;
	GHashTable *leaving; /* host: leaving_t */
	int64_t notices_after;
	int64_t notices_retry_ms; /* monotonic; earliest next long poll */
	int64_t list_due_ms;	  /* monotonic */
	bool noticing;
	bool listing;
	node_poll_t *poll;
};

/* Load reports and cache events of engines. */
void node_poll_start(node_backends_t *part);
void node_poll_free(node_backends_t *part);
void node_poll_tick(node_backends_t *part);
void node_poll_message(node_backends_t *part, const message_t *message);

#endif
