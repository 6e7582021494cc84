#include "route.h"

#include <string.h>
#include <xxhash.h>

struct route_cache {
	GHashTable *holders;
};

route_cache_t *
route_cache_new(void)
{
	route_cache_t *cache = g_new0(route_cache_t, 1);

	cache->holders = g_hash_table_new(g_int64_hash, g_int64_equal);
	return cache;
}

void
route_cache_free(route_cache_t *cache)
{
	g_hash_table_destroy(cache->holders);
	g_free(cache);
}

void
route_cache_stored(
    route_cache_t *cache, const char *backend, uint64_t prefix, int64_t now_ms)
{
}

void
route_cache_evicted(route_cache_t *cache, const char *backend, uint64_t prefix)
{
}

uint64_t
route_prefix(const char *prompt)
{
	return XXH3_64bits(prompt, strnlen(prompt, ROUTE_PREFIX_BYTES));
}

static bool
is_candidate(const route_query_t *query, const backend_t *backend)
{
	if (!backend_usable(backend, query->now_ms))
		return false;
	if (strcmp(backend->version, query->version) != 0)
		return false;
	return query->excluded == NULL ||
	       !g_ptr_array_find(query->excluded, backend, NULL);
}

backend_t *
route_choose(const route_query_t *query, const GPtrArray *candidates,
    const route_cache_t *cache)
{
	backend_t *best = NULL;
	uint64_t seen = 0;

	for (guint i = 0; i < candidates->len; i++) {
		backend_t *backend = candidates->pdata[i];

		if (!is_candidate(query, backend))
			continue;
		if (best == NULL || backend->in_flight < best->in_flight) {
			best = backend;
			seen = 1;
		} else if (backend->in_flight == best->in_flight) {
			/* Reservoir choice among equals. */
			seen++;
			if ((query->random >> 8) % seen == 0)
				best = backend;
		}
	}
	return best;
}
