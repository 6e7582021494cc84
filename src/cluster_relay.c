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
	/* 100 followers a second: a list of all keys takes several calls. */
	STORE_SPREAD_PER_NODE_MS = 10,
	/* From when a node is ready until it knows which others are. */
	READY_SETTLED_MS = 2000,
	/*
	 * In an outage of the store the proofs of relays and followers, and so
	 * their readiness, end within two watches and a digest's interval.
	 */
	RELAYS_KEPT_MS = 1000,
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
 * A relay that has lost the store, or no longer has the changes, counts as one
 * that does not respond: the next request goes to another one. One that has
 * regained the store is kept: where relays have listed the keys, another one
 * cannot tell what is missing between its list and that of the first.
 */
static void
handle_relay_response(cluster_t *cluster, relay_response_t *response)
{
	cluster->relay_responded =
	    !response->store_lost && !response->changes_missing;
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

static void
remember_relays(cluster_t *cluster)
{
	g_ptr_array_set_size(cluster->relays, 0);
	for (guint i = 0; i < relay_count(cluster); i++) {
		const cluster_peer_t *peer = cluster->active_peers->pdata[i];

		g_ptr_array_add(cluster->relays, g_strdup(peer->name));
	}
}

/*
 * A follower that is not ready, or has just become so, keeps the relays that it
 * had. While the store is out, the nodes are not ready, so none knows four
 * relays, and those that are ready for longer than the relays would become
 * relays for a moment; if each called the store itself then, all would do so at
 * once.
 */
static bool
keeps_relays(const cluster_t *cluster, int64_t now_ms)
{
	return cluster->relays->len > 0 &&
	       (!cluster->local.ready ||
		   now_ms - cluster->followed_ms < RELAYS_KEPT_MS ||
		   now_ms - cluster->ready_since_ms < READY_SETTLED_MS);
}

bool
cluster_is_follower(cluster_t *cluster)
{
	int64_t now_ms = clock_boot_ms();

	cluster_update_active(cluster, now_ms);
	if (cluster_node_count(cluster) < FOLLOWER_NODES_MIN)
		return false;
	if (relay_count(cluster) == RELAYS_MAX &&
	    cluster->own_position >= RELAYS_MAX) {
		remember_relays(cluster);
		cluster->followed_ms = now_ms;
		return true;
	}
	if (keeps_relays(cluster, now_ms))
		return true;
	g_ptr_array_set_size(cluster->relays, 0);
	return false;
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

int64_t
cluster_store_spread_ms(const cluster_t *cluster)
{
	return (int64_t)cluster_node_count(cluster) * STORE_SPREAD_PER_NODE_MS;
}

/* The relay to ask; NULL: it is no longer registered, or there is none. */
static const cluster_peer_t *
choose_relay(const cluster_t *cluster)
{
	guint choice = g_str_hash(cluster->options.config->name);
	const cluster_peer_t *peer;

	if (cluster->relays->len == 0)
		return NULL;
	choice += cluster->relay_choice;
	peer = g_hash_table_lookup(cluster->peers,
	    cluster->relays->pdata[choice % cluster->relays->len]);
	return peer != NULL && peer->registered ? peer : NULL;
}

void
cluster_send_relay_request(cluster_t *cluster, const relay_request_t *request)
{
	const cluster_peer_t *relay;
	GByteArray *datagram;

	if (!cluster->relay_responded)
		cluster->relay_choice++;
	cluster->relay_responded = false;
	relay = choose_relay(cluster);
	if (relay == NULL)
		return;
	datagram = g_byte_array_new();
	relay_encode_request(request, datagram);
	cluster_send_datagram(cluster, relay, datagram);
	g_byte_array_unref(datagram);
}
