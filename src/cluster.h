#ifndef PAPAYA_CLUSTER_H
#define PAPAYA_CLUSTER_H

#include "crash_guard.h"
#include "gateway_config.h"
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
 * The other nodes, called peers: registered by their keys in the store, with
 * the state that they report in their digests. Merges that state into this
 * node's pool (server loads), quota, usage counts, rollouts and crash guard.
 */
typedef struct cluster cluster_t;

typedef struct cluster_options {
	const gateway_config_t *config; /* borrowed */
	pool_t *pool;			/* borrowed, as the next four */
	quota_t *quota;
	usage_t *usage;
	rollouts_t *rollouts;
	crash_guard_t *crash_guard;
	/* A peer reports a newer configuration than this node has. */
	void (*on_newer_configuration)(void *data);
	/* A peer knows a later era of the store than this node. */
	void (*on_peer_era)(int64_t era, void *data);
	/* A peer knows that the usage of this window is recorded. */
	void (*on_peer_record)(int64_t window, void *data);
	/*
	 * A follower requests the store's changes: appends the response. An
	 * empty one is not sent. client_addresses (char *, borrowed): of the
	 * active nodes, for the response.
	 */
	void (*on_relay_request)(const relay_request_t *request,
	    const GPtrArray *client_addresses, GByteArray *response,
	    void *data);
	/* A relay has responded to this node; the response is borrowed. */
	void (*on_relay_response)(const relay_response_t *response, void *data);
	void *data;
} cluster_options_t;

/*
 * Binds the UDP port of the configuration; NULL with error where that fails.
 * options is copied. A cluster runs until the process ends.
 */
cluster_t *cluster_start(
    uv_loop_t *loop, const cluster_options_t *options, GError **error);

/* UDP port on which the node receives datagrams of its peers. */
int cluster_port(const cluster_t *cluster);

/*
 * A node has registered. address is the IP:PORT that receives its datagrams; a
 * malformed one is logged and ignored.
 */
void cluster_put_node(
    cluster_t *cluster, const char *name, const char *address);
void cluster_remove_node(cluster_t *cluster, const char *name);

/*
 * Divides the quotas among the registered nodes at once, instead of with the
 * next periodic digest: until then a node that has just started spends the
 * quotas as if it were the only node.
 */
void cluster_apply_registrations(cluster_t *cluster);

/* State of this node that its digests report. */
typedef struct cluster_local_state {
	bool ready;
	/*
	 * Was ready, and is not for lack of proof of its configuration only:
	 * it neither drains nor lacks a configuration.
	 */
	bool unproven;
	bool leader;
	int64_t configuration_version;
	int64_t store_era;	 /* 0: unknown */
	int64_t recorded_window; /* newest recorded usage; 0: none */
} cluster_local_state_t;

/*
 * Sends a digest to every peer at once when the node becomes ready. A peer that
 * receives the first digest of a process responds with its own.
 */
void cluster_set_local_state(
    cluster_t *cluster, const cluster_local_state_t *state);

/* Sends a digest to every registered peer now. */
void cluster_broadcast_digest(cluster_t *cluster);

/*
 * True where this node exchanges digests often: it belongs to the active set
 * (see active_set.h), or is the leader.
 */
bool cluster_is_active(const cluster_t *cluster);
/*
 * Names (borrowed char *) of the nodes that count as active, this one included.
 * A registered node that is unreachable still counts where it was active, so
 * that both sides of a fleet that is split agree on who sends what. Empty where
 * this node is on standby, has just become ready, or reaches fewer than half of
 * the registered nodes: it cannot tell then. The caller releases the array.
 */
GPtrArray *cluster_active_names(const cluster_t *cluster);
/*
 * How long this node should wait until it campaigns as leader: the first of the
 * active set least.
 */
int64_t cluster_campaign_delay_ms(const cluster_t *cluster);
/* Nodes that are meant to carry client traffic. */
unsigned cluster_active_count(const cluster_t *cluster);

/*
 * True where this node should get the store's changes from relays. In a large
 * fleet only a few nodes, the relays, watch the store; all others are their
 * followers.
 */
bool cluster_is_follower(cluster_t *cluster);
/*
 * Shortest time from one watch of the store to the next that this node should
 * make: longer in a large fleet until its relays are known.
 */
int64_t cluster_min_watch_interval_ms(const cluster_t *cluster);
/* Sends a request to one of the relays; does nothing where none is alive. */
void cluster_send_relay_request(
    cluster_t *cluster, const relay_request_t *request);

/*
 * Number of nodes among which this one should divide what it may use of a limit
 * of the whole fleet, such as connections to a server. In a large fleet, active
 * nodes share half of the limit; the rest is for the others, which have few
 * requests.
 */
unsigned cluster_share_count(const cluster_t *cluster);

/*
 * Newest version of the configuration that a peer reports which is alive; 0:
 * none does. ready_only: only of peers that are ready to serve with theirs.
 */
int64_t cluster_newest_configuration(
    const cluster_t *cluster, bool ready_only, int64_t now_ms);

/* Registered nodes, including this one. */
unsigned cluster_node_count(const cluster_t *cluster);

/*
 * Client addresses (borrowed char *) of the active nodes that are ready and
 * alive, of this one where it is active. While no node is ready, of those that
 * would be active if they had proof of their configuration: they still serve
 * many requests. A node that reaches no majority of the others leaves these
 * out, as it may be cut off from nodes that are ready. The caller releases the
 * array.
 */
GPtrArray *cluster_client_addresses(cluster_t *cluster);

/*
 * The hosts (region_host_t) that the directory may name in a deployment with
 * more than one region: the active nodes, as cluster_client_addresses() returns
 * them, and other nodes that this one has lately heard from. The strings belong
 * to the cluster and stay valid until control returns to the loop. The caller
 * releases the array.
 */
GArray *cluster_find_hosts(cluster_t *cluster);

/*
 * Wall-clock time in milliseconds since 1970: the slewed clock of this host,
 * corrected by the median offset of the peers' clocks.
 */
int64_t cluster_wall_ms(const cluster_t *cluster);

#endif
