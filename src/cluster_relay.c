#include "cluster_state.h"

#include "clock.h"
#include "log.h"

#include <string.h>

/* Which nodes watch the store, and the questions of the others. */

enum {
	/* Fleets from this size on have followers. */
	FOLLOWED_NODES_LEAST = 12,
	RELAYS = 4,
	/* A follower asks another relay after so long. */
	RELAY_TURN_MS = 5000,
};

static cluster_peer_t *
find_sender(const cluster_t *cluster, const struct sockaddr *from)
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
answer_question(cluster_t *cluster, const relay_question_t *question,
    const struct sockaddr *from)
{
	const cluster_peer_t *peer = find_sender(cluster, from);
	GByteArray *answer = g_byte_array_new();

	if (peer != NULL) {
		cluster->options.on_question(
		    question, answer, cluster->options.data);
		if (answer->len > 0)
			cluster_send_to(cluster, peer, answer);
	}
	g_byte_array_unref(answer);
}

/* True where the datagram was a question or an answer of a follower. */
bool
cluster_take_relayed(cluster_t *cluster, const char *bytes, size_t length,
    const struct sockaddr *from)
{
	relay_message_t message;

	relay_decode(bytes, length, &message);
	switch (message.kind) {
	case RELAY_NONE:
		return false;
	case RELAY_QUESTION:
		answer_question(cluster, &message.question, from);
		break;
	case RELAY_ANSWER:
		if (find_sender(cluster, from) != NULL)
			cluster->options.on_answer(
			    &message.answer, cluster->options.data);
		break;
	case RELAY_MALFORMED:
		log_event(
		    LOG_LEVEL_WARN, "relay.malformed", "bytes=%zu", length);
		break;
	}
	relay_message_clear(&message);
	return true;
}

/* Order of the nodes, by which all agree on those that watch the store. */
static uint64_t
node_order(const char *name)
{
	return (uint64_t)g_str_hash(name) << 32 | strlen(name);
}

/* The first nodes in that order which are heard from, at most RELAYS. */
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
		unsigned at = count;

		if (!peer->registered ||
		    !cluster_is_heard(cluster, peer, now_ms) ||
		    !peer->digest->ready)
			continue;
		while (at > 0 && node_order(peer->name) <
				     node_order(relays[at - 1]->name)) {
			if (at < RELAYS)
				relays[at] = relays[at - 1];
			at--;
		}
		if (at < RELAYS)
			relays[at] = peer;
		count = MIN(count + 1, RELAYS);
	}
	return count;
}

bool
cluster_follows(const cluster_t *cluster)
{
	const cluster_peer_t *relays[RELAYS];
	unsigned count;

	if (cluster_nodes(cluster) < FOLLOWED_NODES_LEAST)
		return false;
	count = find_relays(cluster, relays);
	return count == RELAYS && node_order(cluster->options.config->name) >
				      node_order(relays[RELAYS - 1]->name);
}

void
cluster_ask(cluster_t *cluster, const relay_question_t *question)
{
	const cluster_peer_t *relays[RELAYS];
	unsigned count = find_relays(cluster, relays);
	uint64_t turn = node_order(cluster->options.config->name) >> 32;
	GByteArray *bytes;

	if (count == 0)
		return;
	turn += (uint64_t)(clock_boot_ms() / RELAY_TURN_MS);
	bytes = g_byte_array_new();
	relay_encode_question(question, bytes);
	cluster_send_to(cluster, relays[turn % count], bytes);
	g_byte_array_unref(bytes);
}
