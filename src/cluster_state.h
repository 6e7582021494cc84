#ifndef PAPAYA_CLUSTER_STATE_H
#define PAPAYA_CLUSTER_STATE_H

#include "cluster.h"
#include "digest.h"
#include "slewed_clock.h"

/*
 * What the two parts of the cluster share: cluster.c keeps the other nodes and
 * their digests, cluster_relay.c passes on the store's changes.
 */

enum { CLUSTER_DATAGRAM_MAX_BYTES = 16 * 1024 };

typedef struct cluster_peer {
	char *name;
	struct sockaddr_in address;
	bool registered;
	int64_t last_digest_ms; /* 0: never */
	int64_t
	    share_reserved_ms; /* for which its part was reserved since heard */
	int64_t clock_offset_ms;   /* its clock less this one's */
	digest_t *digest;	   /* newest; NULL: none */
	GHashTable *applied_units; /* workspace to double *: applied so far */
} cluster_peer_t;

struct cluster {
	cluster_options_t options;
	uv_udp_t socket;
	uv_timer_t digest_timer;
	GHashTable *peers;	   /* name to cluster_peer_t */
	unsigned registered_peers; /* peers that are */
	int64_t
	    clock_offset_ms; /* median of the other clocks, less this one's */
	int64_t started_ms;
	int64_t incarnation;
	int64_t sequence;
	int64_t liveness_checked_ms;
	slewed_clock_t wall_clock;
	bool ready;
	int64_t configuration_version;
	char receive_buffer[CLUSTER_DATAGRAM_MAX_BYTES];
};

/* True where a node has sent digests lately. */
bool cluster_is_peer_alive(
    const cluster_t *cluster, const cluster_peer_t *peer, int64_t now_ms);
/* Sends a datagram, which may be lost. */
void cluster_send_datagram(
    cluster_t *cluster, const cluster_peer_t *peer, const GByteArray *datagram);
/* True where the datagram was a question or an answer of a follower. */
bool cluster_handle_relay_datagram(cluster_t *cluster, const char *datagram,
    size_t length, const struct sockaddr *from);

#endif
