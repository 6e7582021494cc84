#include "cluster_state.h"

#include "clock.h"
#include "log.h"

#include <string.h>

enum {
	UPDATE_INTERVAL_MS = 100,
	/* A node counts on its own view of the fleet this long after it became
	 * ready: by then its peers have responded to its first digest. */
	VIEW_SETTLED_MS = 1000,
	CAMPAIGN_DELAY_PER_POSITION_MS = 100,
	/* Age at which a relay's list of active nodes is no longer used. */
	RELAYED_MAX_AGE_MS = 3000,
};

unsigned
cluster_node_count(const cluster_t *cluster)
{
	return cluster->registered_peers + 1;
}

bool
cluster_is_small(const cluster_t *cluster)
{
	return cluster_node_count(cluster) <= ACTIVE_SET_MAX;
}

unsigned
cluster_active_count(const cluster_t *cluster)
{
	return MIN(cluster_node_count(cluster), ACTIVE_SET_MAX);
}

unsigned
cluster_share_count(const cluster_t *cluster)
{
	unsigned nodes = cluster_node_count(cluster);

	return cluster->active ? MIN(nodes, 2 * ACTIVE_SET_MAX) : 2 * nodes;
}

bool
cluster_is_active(const cluster_t *cluster)
{
	return cluster->active;
}

/* True where the peers have had time to respond to this node's digest. */
static bool
has_settled_view(const cluster_t *cluster, int64_t now_ms)
{
	return cluster->local.ready &&
	       now_ms - cluster->ready_since_ms >= VIEW_SETTLED_MS;
}

int64_t
cluster_campaign_delay_ms(const cluster_t *cluster)
{
	unsigned position = has_settled_view(cluster, clock_boot_ms())
				? cluster->own_position
				: ACTIVE_SET_MAX;

	if (cluster_is_small(cluster))
		return 0;
	return (int64_t)position * CAMPAIGN_DELAY_PER_POSITION_MS;
}

static bool
is_ready(const digest_t *digest)
{
	return digest->ready;
}

static bool
is_unproven(const digest_t *digest)
{
	return digest->unproven;
}

static void
add_self(const cluster_t *cluster, GArray *candidates)
{
	active_candidate_t self = {.name = cluster->options.config->name,
	    .processors = cluster->options.config->processors};

	if (region_map_has_many(cluster->options.config->regions))
		self.region = cluster->options.config->region;
	g_array_append_val(candidates, self);
}

/* Adds the peers that are alive and whose digest is as wanted. */
static void
add_peers(const cluster_t *cluster, int64_t now_ms,
    bool (*is_wanted)(const digest_t *digest), GArray *candidates)
{
	const region_map_t *regions = cluster->options.config->regions;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cluster_peer_t *peer = value;
		active_candidate_t candidate = {
		    .name = peer->name, .data = peer};

		if (!peer->registered ||
		    !cluster_is_peer_alive(cluster, peer, now_ms) ||
		    !is_wanted(peer->digest))
			continue;
		candidate.processors = peer->digest->processors;
		candidate.region = region_map_find(regions, peer->digest->zone);
		g_array_append_val(candidates, candidate);
	}
}

static bool
has_relayed_list(const cluster_t *cluster, int64_t now_ms)
{
	return cluster->relayed_ms != 0 &&
	       now_ms - cluster->relayed_ms < RELAYED_MAX_AGE_MS;
}

/*
 * A node on standby learns late that active nodes are lost, so the list of a
 * relay, which is active, decides where there is one.
 */
static bool
should_be_active(const cluster_t *cluster, int64_t now_ms)
{
	if (cluster_is_small(cluster) || cluster->local.leader)
		return true;
	if (has_relayed_list(cluster, now_ms))
		return g_ptr_array_find_with_equal_func(
		    cluster->relayed_addresses,
		    cluster->options.config->client_address, g_str_equal, NULL);
	return has_settled_view(cluster, now_ms) &&
	       cluster->own_position < ACTIVE_SET_MAX;
}

static void
select_active(cluster_t *cluster, int64_t now_ms)
{
	GArray *candidates =
	    g_array_new(FALSE, FALSE, sizeof(active_candidate_t));

	add_self(cluster, candidates);
	add_peers(cluster, now_ms, is_ready, candidates);
	active_set_select(candidates);
	g_ptr_array_set_size(cluster->active_peers, 0);
	cluster->own_position = ACTIVE_SET_MAX;
	for (guint i = 0; i < candidates->len; i++) {
		const active_candidate_t *candidate =
		    &g_array_index(candidates, active_candidate_t, i);

		if (candidate->data == NULL)
			cluster->own_position = i;
		else
			g_ptr_array_add(cluster->active_peers, candidate->data);
	}
	g_array_unref(candidates);
}

void
cluster_update_active(cluster_t *cluster, int64_t now_ms)
{
	bool active;

	if (now_ms - cluster->active_updated_ms < UPDATE_INTERVAL_MS)
		return;
	cluster->active_updated_ms = now_ms;
	select_active(cluster, now_ms);
	active = should_be_active(cluster, now_ms);
	if (active != cluster->active)
		log_event(LOG_LEVEL_INFO,
		    active ? "cluster.active" : "cluster.standby",
		    "position=%u known_active=%u relayed=%d leader=%d",
		    cluster->own_position, cluster->active_peers->len,
		    has_relayed_list(cluster, now_ms), cluster->local.leader);
	if (active && !cluster->active)
		cluster->active_since_ms = now_ms;
	cluster->active = active;
}

/* Number of registered nodes that are alive, this one included. */
static unsigned
count_reached(const cluster_t *cluster, int64_t now_ms)
{
	unsigned reached = 1;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (peer->registered &&
		    cluster_is_peer_alive(cluster, peer, now_ms))
			reached++;
	}
	return reached;
}

/* Adds the nodes that would be active if they had proof. */
static void
add_unproven(const cluster_t *cluster, int64_t now_ms, GPtrArray *addresses)
{
	GArray *candidates =
	    g_array_new(FALSE, FALSE, sizeof(active_candidate_t));

	if (cluster->local.unproven)
		add_self(cluster, candidates);
	add_peers(cluster, now_ms, is_unproven, candidates);
	active_set_select(candidates);
	for (guint i = 0; i < candidates->len; i++) {
		const cluster_peer_t *peer =
		    g_array_index(candidates, active_candidate_t, i).data;

		g_ptr_array_add(addresses,
		    peer == NULL ? cluster->options.config->client_address
				 : peer->digest->client_address);
	}
	g_array_unref(candidates);
}

GPtrArray *
cluster_client_addresses(cluster_t *cluster)
{
	GPtrArray *addresses = g_ptr_array_new();
	int64_t now_ms = clock_boot_ms();

	cluster_update_active(cluster, now_ms);
	if (!cluster->active && has_relayed_list(cluster, now_ms)) {
		g_ptr_array_extend(
		    addresses, cluster->relayed_addresses, NULL, NULL);
		return addresses;
	}
	if (cluster->local.ready && cluster->own_position < ACTIVE_SET_MAX)
		g_ptr_array_add(
		    addresses, cluster->options.config->client_address);
	for (guint i = 0; i < cluster->active_peers->len; i++) {
		const cluster_peer_t *peer = cluster->active_peers->pdata[i];

		g_ptr_array_add(addresses, peer->digest->client_address);
	}
	if (addresses->len == 0 &&
	    2 * count_reached(cluster, now_ms) > cluster_node_count(cluster))
		add_unproven(cluster, now_ms, addresses);
	return addresses;
}

/* True for a registered peer that carries traffic, or did when last heard. */
static bool
counts_as_active(const cluster_t *cluster, const cluster_peer_t *peer)
{
	return cluster_is_small(cluster) ||
	       (peer->digest != NULL && peer->digest->active) ||
	       g_ptr_array_find(cluster->active_peers, peer, NULL);
}

GPtrArray *
cluster_active_names(const cluster_t *cluster)
{
	GPtrArray *names = g_ptr_array_new();
	int64_t now_ms = clock_boot_ms();
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_add(names, cluster->options.config->name);
	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (peer->registered && counts_as_active(cluster, peer))
			g_ptr_array_add(names, peer->name);
	}
	if (!cluster->active || !has_settled_view(cluster, now_ms) ||
	    2 * count_reached(cluster, now_ms) < cluster_node_count(cluster))
		g_ptr_array_set_size(names, 0);
	return names;
}

/* Peers that share the quotas with this node. */
typedef struct sharing_peers {
	unsigned count; /* may carry traffic */
	unsigned alive; /* of them */
} sharing_peers_t;

static sharing_peers_t
count_sharing_peers(const cluster_t *cluster, int64_t now_ms)
{
	bool small = cluster_is_small(cluster);
	sharing_peers_t sharing = {0};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;
		bool on_standby =
		    !small && peer->digest != NULL && !peer->digest->active;

		if (!peer->registered || on_standby)
			continue;
		sharing.count++;
		if (cluster_is_peer_alive(cluster, peer, now_ms))
			sharing.alive++;
	}
	return sharing;
}

/*
 * The active nodes share the quotas. Where most of them are unreachable, a node
 * that was active keeps its share. One that became active since may be one of
 * many that were cut off, so it takes the share of one node of the whole fleet.
 */
void
cluster_update_quota_nodes(cluster_t *cluster, int64_t now_ms)
{
	sharing_peers_t sharing = count_sharing_peers(cluster, now_ms);
	bool reaches_majority = 2 * sharing.alive >= sharing.count;
	/* Nodes that have just started are not active yet, but will be. */
	unsigned nodes = MAX(sharing.count + 1, cluster_active_count(cluster));
	unsigned unreachable = sharing.count - sharing.alive;

	if (reaches_majority) {
		cluster->active_in_majority = cluster->active;
	} else if (!cluster->active_in_majority) {
		nodes = cluster_node_count(cluster);
		unreachable = nodes - 1;
	}
	if (nodes != cluster->quota_nodes ||
	    unreachable != cluster->quota_unreachable)
		log_event(LOG_LEVEL_INFO, "cluster.quota_share",
		    "nodes=%u unreachable=%u active=%d "
		    "report_age_ms=%" G_GINT64_FORMAT,
		    nodes, unreachable, cluster->active,
		    cluster_report_age_ms(cluster));
	cluster->quota_nodes = nodes;
	cluster->quota_unreachable = unreachable;
	quota_set_nodes(cluster->options.quota, nodes, unreachable,
	    cluster_report_age_ms(cluster), now_ms);
}
