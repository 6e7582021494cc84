#include "cluster_state.h"

#include "clock.h"

/* The hosts that the directory may name, with their regions. */

enum {
	/*
	 * A node on standby is named for so long after its last digest: it
	 * sends one each 3 s, of which one may be lost. It must be less than
	 * the 7 s after which naming a host that is down is a fault.
	 */
	STANDBY_NAMED_MS = 6500,
};

/* Adds the active nodes; regions: client address to region, where known. */
static void
add_active(cluster_t *cluster, GHashTable *regions, GArray *hosts)
{
	GPtrArray *addresses = cluster_client_addresses(cluster);

	for (guint i = 0; i < addresses->len; i++) {
		region_host_t host = {.address = addresses->pdata[i],
		    .region = g_hash_table_lookup(regions, addresses->pdata[i]),
		    .active = true,
		    .ready = true};

		g_array_append_val(hosts, host);
	}
	g_ptr_array_unref(addresses);
}

static bool
has_address(const GArray *hosts, const char *address)
{
	for (guint i = 0; i < hosts->len; i++)
		if (g_str_equal(g_array_index(hosts, region_host_t, i).address,
			address))
			return true;
	return false;
}

static void
add_standby(GArray *hosts, const char *address, const char *region, bool ready)
{
	region_host_t host = {
	    .address = address, .region = region, .ready = ready};

	if (!has_address(hosts, address))
		g_array_append_val(hosts, host);
}

static void
add_standby_peers(const cluster_t *cluster, GArray *hosts, int64_t now_ms)
{
	const region_map_t *regions = cluster->options.config->regions;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (peer->registered && peer->digest != NULL &&
		    now_ms - peer->last_digest_ms < STANDBY_NAMED_MS)
			add_standby(hosts, peer->digest->client_address,
			    region_map_find(regions, peer->digest->zone),
			    peer->digest->ready);
	}
}

/* Regions of the nodes by client address; all strings are borrowed. */
static GHashTable *
find_regions(const cluster_t *cluster)
{
	const gateway_config_t *config = cluster->options.config;
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_insert(regions, config->client_address, config->region);
	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (peer->registered && peer->digest != NULL)
			g_hash_table_insert(regions,
			    peer->digest->client_address,
			    (gpointer)region_map_find(
				config->regions, peer->digest->zone));
	}
	return regions;
}

GArray *
cluster_find_hosts(cluster_t *cluster)
{
	const gateway_config_t *config = cluster->options.config;
	GArray *hosts = g_array_new(FALSE, FALSE, sizeof(region_host_t));
	GHashTable *regions = find_regions(cluster);

	add_active(cluster, regions, hosts);
	if (cluster->local.ready)
		add_standby(
		    hosts, config->client_address, config->region, true);
	add_standby_peers(cluster, hosts, clock_boot_ms());
	g_hash_table_unref(regions);
	return hosts;
}
