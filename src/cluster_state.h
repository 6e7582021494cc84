#ifndef PAPAYA_CLUSTER_STATE_H
#define PAPAYA_CLUSTER_STATE_H

#include "active_set.h"
#include "cluster.h"
#include "digest.h"
#include "relay_fragment.h"
#include "slewed_clock.h"

/*
 * Internals shared by cluster.c, which keeps the peers and applies their
 * digests, cluster_digest.c, which sends this node's, cluster_active.c, which
 * selects the active nodes, cluster_hosts.c, which lists them for the
 * directory, and cluster_relay.c, which sends and handles requests for the
 * store's changes.
 */

enum { CLUSTER_DATAGRAM_MAX_BYTES = 16 * 1024 };

typedef struct cluster_peer {
	char *name;
	struct sockaddr_in address;
	bool registered;
	int64_t last_digest_ms; /* clock_boot_ms() of receipt; 0: none */
	/* For how long its quota share has been reserved since then. */
	int64_t share_reserved_ms;
	int64_t clock_offset_ms; /* the peer's clock minus this node's */
	digest_t *digest;	 /* newest; NULL: none yet */
	/* Workspace to double *: spent_units that are charged to the quota. */
	GHashTable *applied_units;
} cluster_peer_t;

struct cluster {
	cluster_options_t options;
	uv_udp_t socket;
	uv_timer_t digest_timer;
	GHashTable *peers;	   /* node name to cluster_peer_t */
	unsigned registered_peers; /* number of them */
	/* Ready and alive peers in the active set, in its order; borrowed. */
	GPtrArray *active_peers;
	/* Of this node in the active set; ACTIVE_SET_MAX: not in it. */
	unsigned own_position;
	int64_t active_updated_ms;
	bool active; /* this node is one that receives digests often */
	int64_t active_since_ms;
	int64_t ready_since_ms;
	int64_t broadcast_ms; /* of the last digest to all peers */
	/* This node was active when it last reached most active peers. */
	bool active_in_majority;
	unsigned quota_nodes; /* that share the quotas */
	unsigned quota_unreachable;
	/* Client addresses of the active set (char *), by a relay. */
	GPtrArray *relayed_addresses;
	int64_t relayed_ms;	      /* time of receipt; 0: none */
	unsigned relay_choice;	      /* counts changes to another relay */
	bool relay_responded;	      /* to the last request */
	int64_t relay_era;	      /* of the last request */
	relay_assembler_t *assembler; /* of responses to this node */
	int64_t response_id;	      /* of the last response in fragments */
	int64_t clock_offset_ms; /* median of the nodes' clocks minus own */
	int64_t started_ms;
	int64_t incarnation; /* wall clock at the start */
	int64_t sequence;    /* of the last digest sent */
	int64_t digest_ticks;
	int64_t maintained_ms; /* last update of loads, shares and clock */
	int64_t liveness_checked_ms;
	slewed_clock_t wall_clock;
	cluster_local_state_t local;
	char receive_buffer[CLUSTER_DATAGRAM_MAX_BYTES];
};

/*
 * True where the peer has sent a digest within the timeout. A registered peer
 * that has not is unreachable.
 */
bool cluster_is_peer_alive(
    const cluster_t *cluster, const cluster_peer_t *peer, int64_t now_ms);
/* Sends a datagram; errors are ignored. */
void cluster_send_datagram(
    cluster_t *cluster, const cluster_peer_t *peer, const GByteArray *datagram);

/* Sends a digest to one registered peer. */
void cluster_send_digest_to(cluster_t *cluster, const cluster_peer_t *peer);
/* Sends a digest to the peers whose turn it is. */
void cluster_send_due_digests(cluster_t *cluster);
/* Time from one call of cluster_send_due_digests() to the next. */
int64_t cluster_digest_tick_ms(const cluster_t *cluster);
/*
 * True where this node knows no active peer and has not told all peers of
 * itself for a while.
 */
bool cluster_is_isolated(const cluster_t *cluster);
/* Mean age of what this node knows from the digests of active peers. */
int64_t cluster_report_age_ms(const cluster_t *cluster);

/* True where every node is active. */
bool cluster_is_small(const cluster_t *cluster);
/* Selects the active nodes again where that is due. */
void cluster_update_active(cluster_t *cluster, int64_t now_ms);
/* Sets the nodes that share the quotas, and how many are unreachable. */
void cluster_update_quota_nodes(cluster_t *cluster, int64_t now_ms);
/* Handles a relay request or response; false: another kind of datagram. */
bool cluster_handle_relay_datagram(cluster_t *cluster, const char *datagram,
    size_t length, const struct sockaddr *from);

#endif
