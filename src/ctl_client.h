#ifndef PAPAYA_CTL_CLIENT_H
#define PAPAYA_CTL_CLIENT_H

#include "http_client.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Client of the operator API for a command-line program: one call at a time,
 * each function returns when its call has ended.
 */
typedef struct ctl_client ctl_client_t;

typedef struct ctl_request {
	const char *method; /* NULL: GET */
	const char *path;   /* with the query */
	const char *header; /* "Name: value"; NULL: none */
	json_t *body;	    /* borrowed; NULL: none */
	bool idempotent;    /* may be sent to another node after a failure */
} ctl_request_t;

/* What came back. Owned by the caller, for ctl_reply_free(). */
typedef struct ctl_reply {
	http_outcome_t outcome;
	long status;
	char *node; /* IP:PORT that was asked last */
	char *body;
	json_t *json;	     /* NULL if the body is none */
	char *error_message; /* of a call without an answer */
} ctl_reply_t;

/* Nodes are IP:PORT, tried in this order. */
ctl_client_t *ctl_client_new(const char *const *nodes, unsigned count);
void ctl_client_free(ctl_client_t *client);

/*
 * Asks the node that answered last, then the others once each. Another node
 * is asked where nothing was sent, or, for a repeatable request, where no
 * whole answer came or the node was draining.
 */
ctl_reply_t *ctl_client_call(
    ctl_client_t *client, const ctl_request_t *request);

/* Asks one node by address. */
ctl_reply_t *ctl_client_call_node(
    ctl_client_t *client, const char *node, const ctl_request_t *request);

void ctl_client_sleep(ctl_client_t *client, int64_t pause_ms);

/* True where the whole answer has status 2xx. */
bool ctl_reply_ok(const ctl_reply_t *reply);
/* True where the node said that nothing was run, or nothing was sent. */
bool ctl_reply_not_run(const ctl_reply_t *reply);
void ctl_reply_free(ctl_reply_t *reply);

#endif
