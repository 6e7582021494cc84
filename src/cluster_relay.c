#include "cluster_state.h"

#include "clock.h"
#include "log.h"

#include <string.h>

/* Selection of the relays, and the requests that followers send to them. */

enum {
	/* In smaller fleets every node watches the store. */
	FOLLOWER_NODES_MIN = 12,
	RELAYS_MAX = 4,
	/* Interval after which a follower switches to the next relay. */
	RELAY_ROTATION_MS = 5000,
};

static cluster_peer_t *
find_peer_by_address(const cluster_t *cluster, const struct sockaddr *from)
{
	const struct sockaddr_in *address = (const struct sockaddr_in *)from;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cluster_peer_t *peer = value;

		if (peer->registered &&
		    peer->address.sin_port == address->sin_port &&
		    peer->address.sin_addr.s_addr == address->sin_addr.s_addr)
			return peer;
	}
	return NULL;
}

static void
handle_relay_request(cluster_t *cluster, const relay_request_t *request,
    const struct sockaddr *from)
{
	const cluster_peer_t *peer = find_peer_by_address(cluster, from);
	GByteArray *response = g_byte_array_new();

	if (peer != NULL) {
		cluster->options.on_relay_request(
		    request, response, cluster->options.data);
		if (response->len > 0)
			cluster_send_datagram(cluster, peer, response);
	}
	g_byte_array_unref(response);
}

bool
cluster_handle_relay_datagram(cluster_t *cluster, const char *datagram,
    size_t length, const struct sockaddr *from)
{
	relay_message_t message;

	relay_decode(datagram, length, &message);
	switch (message.kind) {
	case RELAY_OTHER:
		return false;
	case RELAY_REQUEST:
		handle_relay_request(cluster, &message.request, from);
		break;
	case RELAY_RESPONSE:
		if (find_peer_by_address(cluster, from) != NULL)
			cluster->options.on_relay_response(
			    &message.response, cluster->options.data);
		break;
	case RELAY_MALFORMED:
		log_event(
		    LOG_LEVEL_WARN, "relay.malformed", "bytes=%zu", length);
		break;
	}
	relay_message_clear(&message);
	return true;
}

/*
 * Depends on the name alone, so that all nodes select the same relays without
 * coordination: those of the lowest rank.
 */
static uint64_t
node_rank(const char *name)
{
	return (uint64_t)g_str_hash(name) << 32 | strlen(name);
}

/*
 * Writes the ready and alive peers of the lowest rank in ascending order, at
 * most RELAYS_MAX. Returns their number.
 */
static unsigned
find_relays(const cluster_t *cluster, const cluster_peer_t **relays)
{
	int64_t now_ms = clock_boot_ms();
	unsigned count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;
		unsigned position = count;

		if (!peer->registered ||
		    !cluster_is_peer_alive(cluster, peer, now_ms) ||
		    !peer->digest->ready)
			continue;
		while (
		    position > 0 && node_rank(peer->name) <
					node_rank(relays[position - 1]->name)) {
			if (position < RELAYS_MAX)
				relays[position] = relays[position - 1];
			position--;
		}
		if (position < RELAYS_MAX)
			relays[position] = peer;
		count = MIN(count + 1, RELAYS_MAX);
	}
	return count;
}

bool
cluster_is_follower(const cluster_t *cluster)
{
	const cluster_peer_t *relays[RELAYS_MAX];
	unsigned count;

	if (cluster_node_count(cluster) < FOLLOWER_NODES_MIN)
		return false;
	count = find_relays(cluster, relays);
	return count == RELAYS_MAX &&
	       node_rank(cluster->options.config->name) >
		   node_rank(relays[RELAYS_MAX - 1]->name);
}

void
cluster_send_relay_request(cluster_t *cluster, const relay_request_t *request)
{
	const cluster_peer_t *relays[RELAYS_MAX];
	unsigned count = find_relays(cluster, relays);
	uint64_t rotation = node_rank(cluster->options.config->name) >> 32;
	GByteArray *datagram;

	if (count == 0)
		return;
	rotation += (uint64_t)(clock_boot_ms() / RELAY_ROTATION_MS);
	datagram = g_byte_array_new();
	relay_encode_request(request, datagram);
	cluster_send_datagram(cluster, relays[rotation % count], datagram);
	g_byte_array_unref(datagram);
}
