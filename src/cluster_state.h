#ifndef PAPAYA_CLUSTER_STATE_H
#define PAPAYA_CLUSTER_STATE_H

#include "cluster.h"
#include "digest.h"
#include "true_time.h"

/*
 * What the two parts of the cluster share: cluster.c keeps the other nodes and
 * their digests, cluster_relay.c passes on the store's changes.
 */

enum { CLUSTER_DATAGRAM_MAX_BYTES = 16 * 1024 };

typedef struct cluster_peer {
	char *name;
	struct sockaddr_in address;
	bool registered;
	int64_t heard_ms;  /* 0: never */
	int64_t silent_ms; /* for which its part was reserved since heard */
	int64_t wall_offset_ms; /* its clock less this one's */
	digest_t *digest;	/* newest; NULL: none */
	GHashTable *spent;	/* workspace to double *: applied so far */
} cluster_peer_t;

struct cluster {
	cluster_options_t options;
	uv_udp_t socket;
	uv_timer_t timer;
	GHashTable *peers;   /* name to cluster_peer_t */
	unsigned registered; /* peers that are */
	int64_t offset_ms;   /* median of the other clocks, less this one's */
	int64_t started_ms;
	int64_t incarnation;
	int64_t sequence;
	int64_t silent_checked_ms;
	true_time_t time;
	bool ready;
	int64_t configuration_version;
	char buffer[CLUSTER_DATAGRAM_MAX_BYTES];
};

/* True where a node has sent digests lately. */
bool cluster_is_heard(
    const cluster_t *cluster, const cluster_peer_t *peer, int64_t now_ms);
/* Sends a datagram, which may be lost. */
void cluster_send_to(
    cluster_t *cluster, const cluster_peer_t *peer, const GByteArray *bytes);
/* True where the datagram was a question or an answer of a follower. */
bool cluster_take_relayed(cluster_t *cluster, const char *bytes, size_t length,
    const struct sockaddr *from);

#endif
