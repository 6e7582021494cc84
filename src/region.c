#include "region.h"

#include <string.h>

struct region_map {
	GHashTable *regions; /* zone to region */
};

region_map_t *
region_map_new(void)
{
	region_map_t *map = g_new0(region_map_t, 1);

	map->regions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return map;
}

void
region_map_free(region_map_t *map)
{
	if (map == NULL)
		return;
	g_hash_table_unref(map->regions);
	g_free(map);
}

void
region_map_add(region_map_t *map, const char *zone, const char *region)
{
	g_hash_table_replace(map->regions, g_strdup(zone), g_strdup(region));
}

const char *
region_map_find(const region_map_t *map, const char *zone)
{
	return map == NULL || zone == NULL
		   ? NULL
		   : g_hash_table_lookup(map->regions, zone);
}

bool
region_map_has_many(const region_map_t *map)
{
	const char *first = NULL;
	GHashTableIter iter;
	gpointer region;

	if (map == NULL)
		return false;
	g_hash_table_iter_init(&iter, map->regions);
	while (g_hash_table_iter_next(&iter, NULL, &region)) {
		if (first != NULL && strcmp(first, region) != 0)
			return true;
		first = region;
	}
	return false;
}

static bool
is_allowed(const char *const *allowed, const char *region)
{
	return allowed == NULL ||
	       (region != NULL && g_strv_contains(allowed, region));
}

bool
region_rule_is_limited(const region_rule_t *rule)
{
	return rule->by_route != NULL || rule->by_workspace != NULL;
}

bool
region_rule_allows_zone(
    const region_rule_t *rule, const region_map_t *map, const char *zone)
{
	const char *region;

	if (!region_rule_is_limited(rule))
		return true;
	region = region_map_find(map, zone);
	return is_allowed(rule->by_route, region) &&
	       is_allowed(rule->by_workspace, region);
}

char **
region_intersect(const char *const *left, const char *const *right)
{
	GStrvBuilder *builder;
	char **both;

	if (left == NULL || right == NULL)
		return g_strdupv((char **)(left == NULL ? right : left));
	builder = g_strv_builder_new();
	for (size_t i = 0; left[i] != NULL; i++)
		if (g_strv_contains(right, left[i]))
			g_strv_builder_add(builder, left[i]);
	both = g_strv_builder_end(builder);
	g_strv_builder_unref(builder);
	return both;
}

/* How much a host is preferred to others that may be named. */
typedef enum host_rank {
	RANK_KNOWN,
	RANK_READY,
	RANK_ACTIVE,
} host_rank_t;

static host_rank_t
rank_of(const region_host_t *host)
{
	if (host->active)
		return RANK_ACTIVE;
	return host->ready ? RANK_READY : RANK_KNOWN;
}

static bool
may_name(const region_host_t *host, const region_caller_t *caller)
{
	return is_allowed(caller->allowed, host->region) ||
	       (caller->region != NULL && host->region != NULL &&
		   strcmp(caller->region, host->region) == 0);
}

GPtrArray *
region_select_hosts(const GArray *hosts, const region_caller_t *caller)
{
	GPtrArray *addresses = g_ptr_array_new();
	host_rank_t best = RANK_KNOWN;

	for (guint i = 0; i < hosts->len; i++) {
		const region_host_t *host =
		    &g_array_index(hosts, region_host_t, i);
		host_rank_t rank = rank_of(host);

		if (!may_name(host, caller) || rank < best)
			continue;
		if (rank > best)
			g_ptr_array_set_size(addresses, 0);
		best = rank;
		g_ptr_array_add(addresses, (gpointer)host->address);
	}
	return addresses;
}
