#ifndef PAPAYA_CLUSTER_STATE_H
#define PAPAYA_CLUSTER_STATE_H

#include "cluster.h"
#include "digest.h"
#include "slewed_clock.h"

/*
 * Internals shared by cluster.c, which keeps the peers and their digests, and
 * cluster_relay.c, which sends and handles requests for the store's changes.
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
	int64_t clock_offset_ms;   /* median of the nodes' clocks minus own */
	int64_t started_ms;
	int64_t incarnation; /* wall clock at the start */
	int64_t sequence;    /* of the last digest sent */
	int64_t liveness_checked_ms;
	slewed_clock_t wall_clock;
	bool ready;
	int64_t configuration_version;
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
/* Handles a relay request or response; false: another kind of datagram. */
bool cluster_handle_relay_datagram(cluster_t *cluster, const char *datagram,
    size_t length, const struct sockaddr *from);

#endif
