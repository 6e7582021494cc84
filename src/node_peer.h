#ifndef PAPAYA_NODE_PEER_H
#define PAPAYA_NODE_PEER_H

#include "member.h"
#include "node.h"
#include "peer.h"

/* Inside of the node's peer part; not for other parts. */

typedef struct node_join node_join_t;
typedef struct node_relay node_relay_t;

/* A connection to one peer address. Owned by its node_peers. */
typedef struct contact {
	peer_link_t *link;
	char *node; /* NULL: an address of the configuration, not known yet */
	bool configured;
	/* Kept until then though the node is no regular contact. */
	int64_t wanted_until_ms;
} contact_t;

struct node_peers {
	node_t *node;
	members_t *members;
	peer_hub_t *hub;
	uv_timer_t *timer;
	GHashTable *contacts; /* peer address: contact_t */
	int64_t sequence;     /* of the own heartbeats */
	node_join_t *join;
	node_relay_t *relay;
};

/* Connects to contacts and closes connections that are not needed. */
void node_peers_sync(node_peers_t *peers);

/* Introduces the own node again after its incarnation was raised. */
void node_peers_introduce(node_peers_t *peers);

GBytes *node_peers_frame(node_peers_t *peers, const message_t *message);

/* Calls visit for each connection that is up, with its member if known. */
typedef void (*contact_visit_t)(
    contact_t *contact, const member_t *member, void *data);
void node_peers_each_up(node_peers_t *peers, contact_visit_t visit, void *data);

/* Membership record in the store, kept by a lease, and the list of others. */
void node_join_start(node_peers_t *peers);
void node_join_free(node_peers_t *peers);
void node_join_leave(node_peers_t *peers);
bool node_join_left(const node_peers_t *peers);

/* Between zones, where not all nodes are connected to each other. */
void node_relay_start(node_peers_t *peers);
void node_relay_free(node_peers_t *peers);
/* Sends the own zone's summary where it is due. */
void node_relay_tick(node_peers_t *peers);
/* Sends all zones' summaries to a node that has just been connected. */
void node_relay_greet(node_peers_t *peers, contact_t *contact);
/* Passes on a message of another node where this node is a delegate. */
void node_relay_message(
    node_peers_t *peers, const char *from, const message_t *message);

/* GET /v1/entry and GET /v1/admin/nodes. */
bool node_entry_handle(node_peers_t *peers, http_request_t *request);

#endif
