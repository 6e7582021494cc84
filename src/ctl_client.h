#ifndef PAPAYA_CTL_CLIENT_H
#define PAPAYA_CTL_CLIENT_H

#include "http_client.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Synchronous client of the operator API: one call at a time, and each
 * function blocks until its call has ended.
 */
typedef struct ctl_client ctl_client_t;

typedef struct ctl_request {
	const char *method; /* NULL: GET */
	const char *path;   /* including the query */
	const char *header; /* "Name: value"; NULL: none */
	json_t *body;	    /* borrowed; NULL: none */
	bool idempotent;    /* may be retried on another node */
} ctl_request_t;

/* Result of a call. Owned by the caller; free with ctl_reply_free(). */
typedef struct ctl_reply {
	http_outcome_t outcome;
	long status;
	char *node; /* IP:PORT of the last node tried */
	char *body;
	json_t *json;	     /* NULL if the body is not JSON */
	char *error_message; /* why there is no response */
} ctl_reply_t;

/* Nodes are IP:PORT, tried in this order. Copies the strings. */
ctl_client_t *ctl_client_new(const char *const *nodes, unsigned count);
void ctl_client_free(ctl_client_t *client);

/*
 * Sends a request to the current node, and on failure to each other node
 * once. Moves on to the next node if nothing was sent, if the node is
 * draining, or, for an idempotent request, if no complete response arrived.
 * The node that responded is used first in the next call.
 */
ctl_reply_t *ctl_client_call(
    ctl_client_t *client, const ctl_request_t *request);

/* Sends a request to one node, given as IP:PORT, without a retry. */
ctl_reply_t *ctl_client_call_node(
    ctl_client_t *client, const char *node, const ctl_request_t *request);

void ctl_client_sleep(ctl_client_t *client, int64_t pause_ms);

/* True if a complete response with a 2xx status arrived. */
bool ctl_reply_ok(const ctl_reply_t *reply);
/* True if nothing was sent, or the error response has not_run set. */
bool ctl_reply_not_run(const ctl_reply_t *reply);
void ctl_reply_free(ctl_reply_t *reply);

#endif
