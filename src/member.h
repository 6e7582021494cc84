#ifndef PAPAYA_MEMBER_H
#define PAPAYA_MEMBER_H

#include "message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

enum {
	MEMBER_HEARTBEAT_INTERVAL_MS = 1000,
	/* Three heartbeats missed, by the design page. */
	MEMBER_SUSPECT_MS = 3000,
	MEMBER_GONE_MS = 10000,
	/* Zone summaries of a zone without a change, and full ones among them.
	 */
	MEMBER_SUMMARY_INTERVAL_MS = 5000,
	MEMBER_FULL_SUMMARY_INTERVAL_MS = 30000,
	/* A node known by summaries only: three summaries missed. */
	MEMBER_INDIRECT_SUSPECT_MS = 3 * MEMBER_SUMMARY_INTERVAL_MS,
	MEMBER_INDIRECT_GONE_MS = 6 * MEMBER_SUMMARY_INTERVAL_MS,
	/* A gone node stays in reports, and is dialled, for this long. */
	MEMBER_FORGET_MS = 30 * 60 * 1000,
	/*
	 * Up to this many nodes, all exchange heartbeats directly, and there
	 * is no delegate whose failure delays anything. With 24 nodes and no
	 * team, each sends 25 frames and 316 bytes of payload per second; a
	 * budget of 8 KB/s leaves room for headers and some teams.
	 */
	MEMBER_FULL_MESH_MAX = 24,
	/* Nodes known at most, so that invented names take no memory. */
	MEMBER_NODES_MAX = 4096,
	MEMBER_DELEGATES_PER_ZONE = 2,
	MEMBER_OBSERVERS_PER_KEY = 2,
	MEMBER_ENTRY_HOSTS_SMALL = 3,
	MEMBER_ENTRY_HOSTS_LARGE = 8,
	MEMBER_ENTRY_LIFETIME_MS = 5000,
};

typedef enum member_state {
	MEMBER_LIVE,
	MEMBER_SUSPECT, /* silent, or not heard since it was learned */
	MEMBER_GONE,
} member_state_t;

/* One node. Owned by its members. */
typedef struct member {
	LIST_ENTRY(member) entries;
	char *node;
	char *zone;
	char *http_address; /* IP:PORT */
	char *peer_address; /* IP:PORT */
	int64_t incarnation;
	int64_t sequence;	   /* of the last heartbeat; 0: none yet */
	int64_t last_alive_ms;	   /* last sign of life, or when learned */
	int64_t last_heartbeat_ms; /* last heartbeat of its own; 0: none */
	member_state_t state;
	bool confirmed_alive;	 /* a sign of life since it was learned */
	bool listed_in_summary;	 /* by the last full summary of its zone */
	bool suspect_in_summary; /* by that summary */
	bool draining;
	unsigned in_flight;
	GHashTable *revisions; /* team: int64_t */
} member_t;

/*
 * Nodes of the system as one node sees them. No I/O; times are monotonic
 * milliseconds. The own node is a member that is always live.
 */
typedef struct members members_t;

typedef struct member_info {
	const char *node;
	const char *zone;
	const char *http_address;
	const char *peer_address;
	int64_t incarnation;
} member_info_t;

/* mesh_max 0: MEMBER_FULL_MESH_MAX. */
members_t *members_new(
    const member_info_t *self, unsigned mesh_max, int64_t now_ms);
void members_free(members_t *members);

const member_t *members_self(const members_t *members);
member_t *members_find(const members_t *members, const char *node);
void members_foreach(const members_t *members,
    void (*visit)(member_t *member, void *data), void *data);

/*
 * Learns a node from its hello, the store or a summary. A lower incarnation
 * than the known one, a bad address, and a node beyond MEMBER_NODES_MAX are
 * ignored and NULL returned. This is no sign of life.
 */
member_t *members_upsert(
    members_t *members, const member_info_t *hello, int64_t now_ms);

/* A heartbeat of a known node; false where it is late, repeated or unknown. */
bool members_handle_heartbeat(
    members_t *members, const message_t *message, int64_t now_ms);

/* A zone summary sent by a known node: its own zone's, or a relayed one. */
void members_handle_summary(members_t *members, const char *from,
    const message_t *message, int64_t now_ms);

/* The connection from a node ended: suspect until it is heard again. */
void members_handle_disconnect(
    members_t *members, const char *node, int64_t now_ms);

/* Marks a node as leaving; true on a change. */
bool members_set_draining(members_t *members, const char *node);

/* Raises the own incarnation above that of an earlier process. */
void members_set_incarnation(members_t *members, int64_t incarnation);

/* Own settings revision in effect. */
void members_set_revision(
    members_t *members, const char *team, int64_t revision);

/*
 * Moves states on and calls changed(member, data) for each new state. Must be
 * called at least each second: a longer pause is taken as the own node's and
 * not as silence of the others.
 */
void members_tick(members_t *members, int64_t now_ms,
    void (*changed)(const member_t *member, void *data), void *data);

/* Nodes that are not gone, the own one included. */
unsigned members_count(const members_t *members);

/* True where all nodes exchange heartbeats directly. */
bool members_is_full_mesh(const members_t *members);

/* True where the own node keeps a connection to a member. */
bool members_should_connect(const members_t *members, const member_t *member);

/* True where a node is one of its zone's delegates. */
bool members_is_delegate(const members_t *members, const member_t *member);

/*
 * True where the own node is one of the two that watch a key (a team, a
 * backend server) for a zone. A zone without live node is watched from the
 * live zone of the highest rendezvous rank.
 */
bool members_is_observer(
    const members_t *members, const char *zone, const char *key);

/*
 * Fills a summary of a zone; message_clear() releases it. at_ms 0 makes it a
 * greeting, which tells only which nodes are known and live.
 */
void members_build_summary(const members_t *members, const char *zone,
    int64_t at_ms, message_t *message);

/*
 * Appends the nodes (member_t, borrowed) that clients of a workspace should
 * use: at least two zones where two have a usable node.
 */
void members_entry_hosts(const members_t *members, const char *workspace,
    bool large, GPtrArray *out);

/* A live node of another zone that does not drain; NULL if none. */
const member_t *members_pick_other_zone(
    const members_t *members, uint64_t random);

const char *member_state_name(member_state_t state);

#endif
