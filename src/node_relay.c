#include "node_peer.h"

#include "clock.h"

#include <string.h>
#include <xxhash.h>

enum {
	/* Messages remembered, so that none is passed on twice. */
	SEEN_MAX = 4096,
};

/*
 * Exchange between zones once the nodes are too many for direct heartbeats:
 * delegates send their zone's summary to the delegates of other zones, and
 * pass on what arrives from there to their own zone. Below that size only the
 * greeting is used.
 */
struct node_relay {
	uint64_t last_sum; /* hash of the summary sent last */
	int64_t started_ms;
	int64_t sent_ms;
	int64_t sent_full_ms;
	GHashTable *seen; /* hash of a message: itself */
	GQueue *seen_order;
};

void
node_relay_start(node_peers_t *peers)
{
	node_relay_t *relay = g_new0(node_relay_t, 1);

	peers->relay = relay;
	relay->seen = g_hash_table_new(g_int64_hash, g_int64_equal);
	relay->seen_order = g_queue_new();
	relay->started_ms = clock_mono_ms();
}

void
node_relay_free(node_peers_t *peers)
{
	node_relay_t *relay = peers->relay;

	g_hash_table_destroy(relay->seen);
	g_queue_free_full(relay->seen_order, g_free);
	g_free(relay);
}

/* True for a message not seen lately, which is then remembered. */
static bool
remember(node_relay_t *relay, GBytes *frame)
{
	gsize length;
	const void *bytes = g_bytes_get_data(frame, &length);
	uint64_t *hash = g_new(uint64_t, 1);

	*hash = XXH3_64bits(bytes, length);
	if (g_hash_table_contains(relay->seen, hash)) {
		g_free(hash);
		return false;
	}
	g_hash_table_add(relay->seen, hash);
	g_queue_push_tail(relay->seen_order, hash);
	if (g_queue_get_length(relay->seen_order) > SEEN_MAX) {
		hash = g_queue_pop_head(relay->seen_order);
		g_hash_table_remove(relay->seen, hash);
		g_free(hash);
	}
	return true;
}

typedef struct to_zones {
	const char *own_zone;
	const char *not_to; /* node */
	bool own;	    /* to the own zone; else to the others */
	GBytes *frame;
} to_zones_t;

static void
send_where(contact_t *contact, const member_t *member, void *data)
{
	const to_zones_t *to = data;

	if (member == NULL || g_strcmp0(member->node, to->not_to) == 0)
		return;
	if ((strcmp(member->zone, to->own_zone) == 0) == to->own)
		peer_link_send(contact->link, to->frame);
}

static void
send_to_zones(node_peers_t *peers, GBytes *frame, bool own, const char *not_to)
{
	to_zones_t to = {
	    .own_zone = members_self(peers->members)->zone,
	    .not_to = not_to,
	    .own = own,
	    .frame = frame,
	};

	node_peers_each_up(peers, send_where, &to);
}

static void
clear_members(GArray *members)
{
	for (guint i = 0; i < members->len; i++)
		message_member_clear(
		    &g_array_index(members, message_member_t, i));
	g_array_set_size(members, 0);
}

static void
count_backend(backend_t *backend, void *data)
{
	message_t *message = data;

	if (strcmp(backend->zone, message->zone_summary.zone) == 0)
		message->zone_summary.backends++;
}

/* Hash of what receivers act on, without time and load. */
static uint64_t
sum_hash(node_peers_t *peers, const message_t *message)
{
	message_t stripped = *message;
	GBytes *frame;
	gsize length;
	const void *bytes;
	uint64_t hash;

	stripped.zone_summary.sent_at_ms = 0;
	stripped.zone_summary.in_flight = 0;
	frame = node_peers_frame(peers, &stripped);
	bytes = g_bytes_get_data(frame, &length);
	hash = XXH3_64bits(bytes, length);
	g_bytes_unref(frame);
	return hash;
}

void
node_relay_tick(node_peers_t *peers)
{
	node_relay_t *relay = peers->relay;
	const member_t *self = members_self(peers->members);
	int64_t now_ms = clock_mono_ms();
	message_t message;
	uint64_t hash;
	GBytes *frame;
	bool due, full;

	if (members_is_full_mesh(peers->members) ||
	    !members_is_delegate(peers->members, self))
		return;
	/* Not all nodes of the zone have been heard yet. */
	if (now_ms - relay->started_ms < MEMBER_SUSPECT_MS)
		return;
	members_build_summary(
	    peers->members, self->zone, clock_wall_ms(), &message);
	backends_each(peers->node->backends, count_backend, &message);
	hash = sum_hash(peers, &message);
	due = now_ms - relay->sent_ms >= MEMBER_SUMMARY_INTERVAL_MS;
	full = hash != relay->last_sum ||
	       now_ms - relay->sent_full_ms >= MEMBER_FULL_SUMMARY_INTERVAL_MS;
	if (full || due) {
		if (full)
			relay->sent_full_ms = now_ms;
		else
			clear_members(message.zone_summary.members);
		relay->last_sum = hash;
		relay->sent_ms = now_ms;
		frame = node_peers_frame(peers, &message);
		send_to_zones(peers, frame, false, NULL);
		g_bytes_unref(frame);
	}
	message_clear(&message);
}

static void
add_zone(member_t *member, void *data)
{
	g_hash_table_add(data, member->zone);
}

void
node_relay_greet(node_peers_t *peers, contact_t *contact)
{
	GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer zone;

	members_foreach(peers->members, add_zone, zones);
	g_hash_table_iter_init(&iter, zones);
	while (g_hash_table_iter_next(&iter, &zone, NULL)) {
		message_t message;
		GBytes *frame;

		members_build_summary(peers->members, zone, 0, &message);
		if (message.zone_summary.members->len > 0) {
			frame = node_peers_frame(peers, &message);
			peer_link_send(contact->link, frame);
			g_bytes_unref(frame);
		}
		message_clear(&message);
	}
	g_hash_table_destroy(zones);
}

/* A summary is passed on only as it comes from its zone. */
static bool
is_passed_on(const message_t *message, const member_t *from)
{
	return message->type != MESSAGE_ZONE_SUMMARY ||
	       strcmp(message->zone_summary.zone, from->zone) == 0;
}

void
node_relay_message(
    node_peers_t *peers, const char *from, const message_t *message)
{
	const member_t *self = members_self(peers->members);
	const member_t *sender = members_find(peers->members, from);
	bool from_own;
	GBytes *frame;

	if (sender == NULL || members_is_full_mesh(peers->members) ||
	    !members_is_delegate(peers->members, self) ||
	    !is_passed_on(message, sender))
		return;
	from_own = strcmp(sender->zone, self->zone) == 0;
	if (from_own && message->type == MESSAGE_ZONE_SUMMARY)
		return;
	frame = node_peers_frame(peers, message);
	if (remember(peers->relay, frame)) {
		counter_add(
		    peers->node->counters, 1, "peer_relayed_messages_total");
		send_to_zones(peers, frame, !from_own, from);
	}
	g_bytes_unref(frame);
}
