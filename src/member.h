#ifndef PAPAYA_MEMBER_H
#define PAPAYA_MEMBER_H

#include "message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

enum {
	MEMBER_HEARTBEAT_INTERVAL_MS = 1000,
	/* A node becomes suspect after three missed heartbeats. */
	MEMBER_SUSPECT_MS = 3000,
	MEMBER_GONE_MS = 10000,
	/*
	 * Zone summaries while nothing in the zone changes, and the full
	 * summaries among them, which list the zone's nodes.
	 */
	MEMBER_SUMMARY_INTERVAL_MS = 5000,
	MEMBER_FULL_SUMMARY_INTERVAL_MS = 30000,
	/*
	 * For nodes known through summaries only: suspect after three missed
	 * summaries, gone after six.
	 */
	MEMBER_INDIRECT_SUSPECT_MS = 3 * MEMBER_SUMMARY_INTERVAL_MS,
	MEMBER_INDIRECT_GONE_MS = 6 * MEMBER_SUMMARY_INTERVAL_MS,
	/*
	 * A silent node stays in reports, and connections to it are tried, for
	 * this long.
	 */
	MEMBER_FORGET_MS = 30 * 60 * 1000,
	/*
	 * Up to this many nodes form a full mesh and exchange heartbeats
	 * directly, so that no delegate's failure delays detection. With 24
	 * nodes and no team, each node sends 25 frames and 316 bytes of payload
	 * per second; a budget of 8 KB/s leaves room for headers and some
	 * teams.
	 */
	MEMBER_FULL_MESH_MAX = 24,
	/* Bounds the memory that messages with invented node names can use. */
	MEMBER_NODES_MAX = 4096,
	MEMBER_DELEGATES_PER_ZONE = 2,
	MEMBER_OBSERVERS_PER_KEY = 2,
	/* Entry hosts listed for a small and for a large workspace. */
	MEMBER_ENTRY_HOSTS_SMALL = 3,
	MEMBER_ENTRY_HOSTS_LARGE = 8,
	/* Clients may cache a list of entry hosts for this long. */
	MEMBER_ENTRY_LIFETIME_MS = 5000,
};

typedef enum member_state {
	MEMBER_LIVE,
	MEMBER_SUSPECT, /* no recent sign of life, or none since it was added */
	MEMBER_GONE,
} member_state_t;

/* One node. Owned by its members_t. */
typedef struct member {
	LIST_ENTRY(member) entries;
	char *node;
	char *zone;
	char *http_address; /* IP:PORT */
	char *peer_address; /* IP:PORT */
	int64_t incarnation;
	int64_t sequence;	   /* of the last heartbeat; 0: none yet */
	int64_t last_alive_ms;	   /* last sign of life, or when added */
	int64_t last_heartbeat_ms; /* received from the node itself; 0: none */
	member_state_t state;
	bool confirmed_alive;	 /* a sign of life since it was added */
	bool listed_in_summary;	 /* the last full one of its zone */
	bool suspect_in_summary; /* reported so by that summary */
	bool draining;
	unsigned in_flight;
	GHashTable *revisions; /* team: settings revision, int64_t */
} member_t;

/*
 * Membership: the nodes of the system as the local node knows them. Does no
 * I/O; times are monotonic milliseconds. The local node is a member and always
 * live.
 */
typedef struct members members_t;

/* What identifies a node and how to reach it. Strings are borrowed. */
typedef struct member_info {
	const char *node;
	const char *zone;
	const char *http_address;
	const char *peer_address;
	int64_t incarnation;
} member_info_t;

/* full_mesh_max: nodes up to which all connect; 0: MEMBER_FULL_MESH_MAX. */
members_t *members_new(
    const member_info_t *self, unsigned full_mesh_max, int64_t now_ms);
void members_free(members_t *members);

const member_t *members_self(const members_t *members);
member_t *members_find(const members_t *members, const char *node);
void members_foreach(const members_t *members,
    void (*callback)(member_t *member, void *data), void *data);

/*
 * Adds a node known from its hello, the store or a summary, or resets the
 * member when the incarnation is higher. Returns the member, or NULL and
 * changes nothing for the local node, a lower incarnation, an invalid address
 * or a node beyond MEMBER_NODES_MAX. Does not count as a sign of life.
 */
member_t *members_upsert(
    members_t *members, const member_info_t *info, int64_t now_ms);

/*
 * Applies a heartbeat. False, and nothing changed, if the node is unknown or
 * local or the sequence number is not above the last one.
 */
bool members_handle_heartbeat(
    members_t *members, const message_t *message, int64_t now_ms);

/*
 * Applies a zone summary: the sender's own zone, or one that it relays. Ignored
 * if the sender is unknown.
 */
void members_handle_summary(members_t *members, const char *sender_node,
    const message_t *message, int64_t now_ms);

/*
 * The connection from a node ended: counts it as silent for MEMBER_SUSPECT_MS,
 * so that the next tick makes a node known by heartbeats suspect.
 */
void members_handle_disconnect(
    members_t *members, const char *node, int64_t now_ms);

/* Marks a node as draining. False if it is unknown or draining already. */
bool members_set_draining(members_t *members, const char *node);

/* Sets the local incarnation unless the current one is higher. */
void members_set_incarnation(members_t *members, int64_t incarnation);

/*
 * Records the settings revision of a team in effect on the local node; a lower
 * one than before is ignored.
 */
void members_set_revision(
    members_t *members, const char *team, int64_t revision);

/*
 * Updates the states, calls on_state_change(member, data), which may be NULL,
 * for each change, and removes members after MEMBER_FORGET_MS. Must be called
 * every second: a gap of more than 2 s between calls counts as a pause of the
 * local process and not as missing heartbeats.
 */
void members_tick(members_t *members, int64_t now_ms,
    void (*on_state_change)(const member_t *member, void *data), void *data);

/* Number of nodes that are not gone, the local one included. */
unsigned members_count(const members_t *members);

/* True while all nodes exchange heartbeats directly. */
bool members_is_full_mesh(const members_t *members);

/* True if the local node keeps a connection to the member. */
bool members_should_connect(const members_t *members, const member_t *member);

/*
 * True if the member is a delegate of its zone: one of the nodes that exchange
 * summaries with other zones.
 */
bool members_is_delegate(const members_t *members, const member_t *member);

/*
 * True if the local node is one of the MEMBER_OBSERVERS_PER_KEY that observe a
 * key (a team, a backend server) for a zone. A zone without a usable node is
 * observed from the zone with the highest rendezvous rank that has one.
 */
bool members_is_observer(
    const members_t *members, const char *zone, const char *key);

/*
 * Fills a full summary of a zone; message_clear() releases it. at_ms is
 * wall-clock time; 0 makes an initial summary, sent on a new connection, whose
 * receiver does not suspect the nodes that it lacks.
 */
void members_build_summary(const members_t *members, const char *zone,
    int64_t at_ms, message_t *message);

/*
 * Appends the entry hosts of a workspace (member_t, borrowed): live nodes that
 * do not drain, in at least two zones if two have one. Without a live one,
 * suspect nodes are listed.
 */
void members_entry_hosts(const members_t *members, const char *workspace,
    bool large, GPtrArray *out);

/*
 * Picks a live node of another zone that does not drain, by a random number;
 * NULL if there is none.
 */
const member_t *members_pick_other_zone(
    const members_t *members, uint64_t random);

const char *member_state_name(member_state_t state);

#endif
