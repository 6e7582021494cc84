#include "cluster_state.h"

#include "clock.h"

/* Which peers get this node's digests, and how often. */

enum {
	/* Interval of digests from and to nodes on standby. */
	STANDBY_INTERVAL_MS = 3000,
	/* The same to the leader, which reports the usage. */
	USAGE_INTERVAL_MS = 1000,
	/*
	 * A large fleet's node sends its digests to a part of the peers at a
	 * time: datagrams that leave at once would fill its link, and those to
	 * the last peers would be lost each time.
	 */
	ACTIVE_GROUPS = 8,
	STANDBY_GROUPS = STANDBY_INTERVAL_MS / USAGE_INTERVAL_MS,
	/* A peer is unreachable after this many intervals without a digest, as
	 * some datagrams may be lost. */
	PEER_TIMEOUT_INTERVALS = 5,
	STANDBY_TIMEOUT_MS = 7500,
	/* Upper bound of the time from building a digest to applying it. */
	DIGEST_DELIVERY_MAX_MS = 50,
};

static int64_t
active_interval_ms(const cluster_t *cluster)
{
	unsigned nodes = cluster_is_small(cluster)
			     ? cluster_node_count(cluster)
			     : cluster->active_peers->len + 1;

	return active_set_digest_interval_ms(nodes);
}

int64_t
cluster_digest_tick_ms(const cluster_t *cluster)
{
	if (cluster_is_small(cluster))
		return active_interval_ms(cluster);
	return cluster->active ? active_interval_ms(cluster) / ACTIVE_GROUPS
			       : USAGE_INTERVAL_MS;
}

int64_t
cluster_report_age_ms(const cluster_t *cluster)
{
	int64_t interval_ms =
	    cluster->active ? active_interval_ms(cluster) : STANDBY_INTERVAL_MS;

	return interval_ms / 2 + DIGEST_DELIVERY_MAX_MS;
}

bool
cluster_is_peer_alive(
    const cluster_t *cluster, const cluster_peer_t *peer, int64_t now_ms)
{
	int64_t timeout_ms =
	    PEER_TIMEOUT_INTERVALS * active_interval_ms(cluster);

	if (peer->last_digest_ms == 0)
		return false;
	if (cluster_is_small(cluster))
		return now_ms - peer->last_digest_ms < timeout_ms;
	if (now_ms - peer->last_digest_ms >= STANDBY_TIMEOUT_MS)
		return false;
	/* Digests between active nodes are sent often, since both are. */
	return !cluster->active || !peer->digest->active ||
	       now_ms - MAX(peer->last_digest_ms, cluster->active_since_ms) <
		   timeout_ms;
}

static void
add_spending(const quota_state_t *state, void *data)
{
	digest_t *digest = data;
	digest_spending_t item = {.workspace = g_strdup(state->workspace),
	    .spent_units = state->spent,
	    .bucket_level = state->level,
	    .demand_per_s = state->demand_per_s};

	g_array_append_val(digest->spending, item);
}

static void
add_load(server_t *server, void *data)
{
	digest_t *digest = data;
	digest_load_t item = {
	    .server_tag = server->tag, .load = server->local_load};

	if (server->local_load.in_flight > 0)
		g_array_append_val(digest->loads, item);
}

static void
add_usage(int64_t window, const char *workspace, double count, void *data)
{
	digest_t *digest = data;
	digest_usage_t item = {
	    .window = window, .workspace = g_strdup(workspace), .count = count};

	g_array_append_val(digest->usage, item);
}

/*
 * Nodes on standby need neither loads nor usage; those of their own requests
 * matter to the leader only.
 */
static digest_t *
build_digest(cluster_t *cluster, bool brief, int64_t now_ms)
{
	const gateway_config_t *config = cluster->options.config;
	digest_t *digest = digest_new();

	digest->node = g_strdup(config->name);
	digest->incarnation = cluster->incarnation;
	digest->sequence = ++cluster->sequence;
	digest->client_address = g_strdup(config->client_address);
	if (region_map_has_many(config->regions))
		digest->zone = g_strdup(config->zone);
	digest->ready = cluster->local.ready;
	digest->unproven = cluster->local.unproven;
	digest->active = cluster->active;
	digest->leader = cluster->local.leader;
	digest->processors = config->processors;
	digest->wall_ms = slewed_clock_now(&cluster->wall_clock, now_ms);
	digest->configuration_version = cluster->local.configuration_version;
	digest->store_era = cluster->local.store_era;
	digest->recorded_window = cluster->local.recorded_window;
	quota_each(cluster->options.quota, now_ms, add_spending, digest);
	rollouts_add_to_digest(cluster->options.rollouts, digest);
	crash_guard_add_to_digest(
	    cluster->options.crash_guard, digest, cluster_wall_ms(cluster));
	if (brief)
		return digest;
	pool_each(cluster->options.pool, add_load, digest);
	usage_each(cluster->options.usage, cluster_wall_ms(cluster), add_usage,
	    digest);
	return digest;
}

static GByteArray *
encode_digest(cluster_t *cluster, bool brief)
{
	GByteArray *datagram = g_byte_array_new();
	digest_t *digest = build_digest(cluster, brief, clock_boot_ms());

	digest_encode(digest, datagram);
	digest_free(digest);
	return datagram;
}

void
cluster_send_digest_to(cluster_t *cluster, const cluster_peer_t *peer)
{
	GByteArray *datagram = encode_digest(cluster, false);

	cluster_send_datagram(cluster, peer, datagram);
	g_byte_array_unref(datagram);
}

/* True where it is the turn of the peer's group among so many groups. */
static bool
is_turn_of(const cluster_t *cluster, const cluster_peer_t *peer, int64_t groups)
{
	return (int64_t)g_str_hash(peer->name) % groups ==
	       cluster->digest_ticks % groups;
}

typedef enum digest_kind {
	DIGEST_NONE,
	DIGEST_BRIEF,
	DIGEST_FULL,
} digest_kind_t;

static digest_kind_t
due_digest(const cluster_t *cluster, const cluster_peer_t *peer)
{
	bool to_leader = peer->digest != NULL && peer->digest->leader;
	bool to_active;

	if (!peer->registered)
		return DIGEST_NONE;
	if (cluster_is_small(cluster))
		return DIGEST_FULL;
	to_active = g_ptr_array_find(cluster->active_peers, peer, NULL);
	if (!cluster->active && to_leader)
		return DIGEST_FULL;
	if (!cluster->active)
		return to_active && is_turn_of(cluster, peer, STANDBY_GROUPS)
			   ? DIGEST_BRIEF
			   : DIGEST_NONE;
	if (to_active || to_leader)
		return is_turn_of(cluster, peer, ACTIVE_GROUPS) ? DIGEST_FULL
								: DIGEST_NONE;
	return is_turn_of(cluster, peer,
		   STANDBY_INTERVAL_MS / cluster_digest_tick_ms(cluster))
		   ? DIGEST_BRIEF
		   : DIGEST_NONE;
}

/* Encodes the digest when the first peer is due to get it. */
static void
send_encoded(cluster_t *cluster, const cluster_peer_t *peer, bool brief,
    GByteArray **datagram)
{
	if (*datagram == NULL)
		*datagram = encode_digest(cluster, brief);
	cluster_send_datagram(cluster, peer, *datagram);
}

void
cluster_send_due_digests(cluster_t *cluster)
{
	GByteArray *full = NULL, *brief = NULL;
	GHashTableIter iter;
	gpointer value;

	cluster->digest_ticks++;
	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		switch (due_digest(cluster, value)) {
		case DIGEST_NONE:
			break;
		case DIGEST_BRIEF:
			send_encoded(cluster, value, true, &brief);
			break;
		case DIGEST_FULL:
			send_encoded(cluster, value, false, &full);
			break;
		}
	}
	g_clear_pointer(&full, g_byte_array_unref);
	g_clear_pointer(&brief, g_byte_array_unref);
}

void
cluster_broadcast_digest(cluster_t *cluster)
{
	GByteArray *datagram = encode_digest(cluster, false);
	GHashTableIter iter;
	gpointer value;

	cluster->broadcast_ms = clock_boot_ms();
	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (peer->registered)
			cluster_send_datagram(cluster, peer, datagram);
	}
	g_byte_array_unref(datagram);
}

bool
cluster_is_isolated(const cluster_t *cluster)
{
	return cluster->registered_peers > 0 &&
	       cluster->active_peers->len == 0 &&
	       clock_boot_ms() - cluster->broadcast_ms >= STANDBY_INTERVAL_MS;
}
