#include "cluster_state.h"

#include "clock.h"
#include "log.h"

/* The relays, and the requests that followers send to them. */

enum {
	/* In smaller fleets every node watches the store. */
	FOLLOWER_NODES_MIN = 12,
	RELAYS_MAX = 4,
	RELAY_WATCH_INTERVAL_MS = 30,
	WATCH_INTERVAL_PER_NODE_MS = 4,
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
send_response(
    cluster_t *cluster, const cluster_peer_t *peer, const GByteArray *response)
{
	GPtrArray *fragments;

	if (response->len <= RELAY_FRAGMENT_MAX_BYTES) {
		if (response->len > 0)
			cluster_send_datagram(cluster, peer, response);
		return;
	}
	fragments = relay_split(response, ++cluster->response_id);
	for (guint i = 0; i < fragments->len; i++)
		cluster_send_datagram(cluster, peer, fragments->pdata[i]);
	g_ptr_array_unref(fragments);
}

static void
handle_relay_request(cluster_t *cluster, const relay_request_t *request,
    const struct sockaddr *from)
{
	const cluster_peer_t *peer = find_peer_by_address(cluster, from);
	GByteArray *response;
	GPtrArray *addresses;

	if (peer == NULL)
		return;
	response = g_byte_array_new();
	addresses = cluster->active ? cluster_client_addresses(cluster) : NULL;
	cluster->options.on_relay_request(
	    request, addresses, response, cluster->options.data);
	send_response(cluster, peer, response);
	g_byte_array_unref(response);
	if (addresses != NULL)
		g_ptr_array_unref(addresses);
}

/*
 * A relay that has lost the store, or does not know of its restoration, counts
 * as one that does not respond: the next request goes to another one.
 */
static void
handle_relay_response(cluster_t *cluster, relay_response_t *response)
{
	cluster->relay_responded =
	    !response->store_unstable && response->era == cluster->relay_era;
	if (response->client_addresses->len > 0) {
		g_ptr_array_unref(cluster->relayed_addresses);
		cluster->relayed_addresses =
		    g_ptr_array_ref(response->client_addresses);
		cluster->relayed_ms = clock_boot_ms();
	}
	cluster->options.on_relay_response(response, cluster->options.data);
}

static bool
handle_relay_message(cluster_t *cluster, const char *datagram, size_t length,
    const struct sockaddr *from)
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
			handle_relay_response(cluster, &message.response);
		break;
	case RELAY_MALFORMED:
		log_event(
		    LOG_LEVEL_WARN, "relay.malformed", "bytes=%zu", length);
		break;
	}
	relay_message_clear(&message);
	return true;
}

bool
cluster_handle_relay_datagram(cluster_t *cluster, const char *datagram,
    size_t length, const struct sockaddr *from)
{
	GByteArray *response;

	switch (
	    relay_assemble(cluster->assembler, datagram, length, &response)) {
	case RELAY_NOT_A_FRAGMENT:
		return handle_relay_message(cluster, datagram, length, from);
	case RELAY_INCOMPLETE:
		return true;
	case RELAY_COMPLETE:
		break;
	}
	handle_relay_message(
	    cluster, (const char *)response->data, response->len, from);
	g_byte_array_unref(response);
	return true;
}

/* The first active nodes are the relays: the number of them to choose from. */
static unsigned
relay_count(const cluster_t *cluster)
{
	return MIN(cluster->active_peers->len, RELAYS_MAX);
}

bool
cluster_is_follower(cluster_t *cluster)
{
	cluster_update_active(cluster, clock_boot_ms());
	return cluster_node_count(cluster) >= FOLLOWER_NODES_MIN &&
	       relay_count(cluster) == RELAYS_MAX &&
	       cluster->own_position >= RELAYS_MAX;
}

int64_t
cluster_min_watch_interval_ms(const cluster_t *cluster)
{
	unsigned nodes = cluster_node_count(cluster);

	if (nodes < FOLLOWER_NODES_MIN)
		return 0;
	if (relay_count(cluster) == RELAYS_MAX)
		return RELAY_WATCH_INTERVAL_MS;
	return (int64_t)nodes * WATCH_INTERVAL_PER_NODE_MS;
}

void
cluster_send_relay_request(cluster_t *cluster, const relay_request_t *request)
{
	unsigned count = relay_count(cluster);
	guint choice = g_str_hash(cluster->options.config->name);
	GByteArray *datagram;

	if (count == 0)
		return;
	if (!cluster->relay_responded)
		cluster->relay_choice++;
	cluster->relay_responded = false;
	cluster->relay_era = request->era;
	choice += cluster->relay_choice;
	datagram = g_byte_array_new();
	relay_encode_request(request, datagram);
	cluster_send_datagram(
	    cluster, cluster->active_peers->pdata[choice % count], datagram);
	g_byte_array_unref(datagram);
}
