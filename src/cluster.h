#ifndef PAPAYA_CLUSTER_H
#define PAPAYA_CLUSTER_H

#include "front_config.h"
#include "pool.h"
#include "quota.h"
#include "relay.h"
#include "rollouts.h"
#include "usage.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * The other nodes: who they are, by their keys in the store, and what they
 * say in their digests. Feeds the load of backend servers, the spending of
 * workspaces and the usage counts of this node.
 */
typedef struct cluster cluster_t;

typedef struct cluster_options {
	const front_config_t *config; /* borrowed */
	pool_t *pool;		      /* borrowed, as the next three */
	quota_t *quota;
	usage_t *usage;
	rollouts_t *rollouts;
	/* A node has a newer configuration than this one. */
	void (*on_newer_configuration)(void *data);
	/* A follower asks for changes: writes the answer. */
	void (*on_relay_request)(
	    const relay_question_t *question, GByteArray *answer, void *data);
	void (*on_relay_response)(const relay_answer_t *answer, void *data);
	void *data;
} cluster_options_t;

cluster_t *cluster_start(
    uv_loop_t *loop, const cluster_options_t *options, GError **error);

/* A node is registered; address is the IP:PORT of its digests. */
void cluster_put_node(
    cluster_t *cluster, const char *name, const char *address);
void cluster_remove_node(cluster_t *cluster, const char *name);

/*
 * Takes account of the nodes that were registered, and tells them of this one.
 * Until then a node that has just started takes itself to be alone.
 */
void cluster_apply_registrations(cluster_t *cluster);

/* What this node says of itself in its next digests. */
void cluster_set_local_state(
    cluster_t *cluster, bool ready, int64_t configuration_version);

/* Sends a digest to every node now. */
void cluster_send_digest(cluster_t *cluster);

/*
 * True where this node is to learn the store's changes from others: in a large
 * fleet all but a few do, and the others watch it.
 */
bool cluster_is_follower(const cluster_t *cluster);
/* Asks one of those few. */
void cluster_send_relay_request(
    cluster_t *cluster, const relay_question_t *request);

/* Registered nodes, with this one. */
unsigned cluster_node_count(const cluster_t *cluster);

/* Addresses for clients (borrowed char *): ready nodes heard from lately. */
GPtrArray *cluster_client_addresses(const cluster_t *cluster);

/* Time of day, without steps of this clock, corrected by other nodes' clocks.
 */
int64_t cluster_wall_ms(const cluster_t *cluster);

#endif
