#include "route.h"

#include <string.h>
#include <xxhash.h>

enum {
	/* Holders remembered per prefix; more would not fit the load bound. */
	HOLDERS_MAX = 4,
	PREFIXES_MAX = 65536,
	/* A holder not confirmed for this long may have evicted the prefix. */
	HOLDER_AGE_MAX_MS = 120000,
	/* A report older than this says nothing about the load now. */
	REPORT_AGE_MAX_MS = 5000,
	RANKED_MAX = 2,
};

/* A prefix holder takes up to this multiple of the mean load, plus one. */
static const double LOAD_BOUND = 1.25;
/* A slow backend server counts at most this many times its load. */
static const double SLOWNESS_MAX = 8.0;
/* Load that one more availability zone of distance is worth. */
static const double OTHER_ZONE_LOAD = 0.5;

typedef struct holder {
	uint64_t backend; /* hash of its name */
	int64_t seen_ms;
} holder_t;

typedef struct holders {
	uint64_t prefix;
	holder_t list[HOLDERS_MAX];
} holders_t;

struct route_cache {
	GHashTable *prefixes; /* prefix: holders_t */
};

route_cache_t *
route_cache_new(void)
{
	route_cache_t *cache = g_new0(route_cache_t, 1);

	cache->prefixes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return cache;
}

void
route_cache_free(route_cache_t *cache)
{
	if (cache == NULL)
		return;
	g_hash_table_destroy(cache->prefixes);
	g_free(cache);
}

static uint64_t
name_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static holder_t *
find_holder(holders_t *holders, uint64_t backend)
{
	for (unsigned i = 0; i < HOLDERS_MAX; i++)
		if (holders->list[i].backend == backend)
			return &holders->list[i];
	return NULL;
}

static holder_t *
oldest_holder(holders_t *holders)
{
	holder_t *oldest = &holders->list[0];

	for (unsigned i = 1; i < HOLDERS_MAX; i++)
		if (holders->list[i].seen_ms < oldest->seen_ms)
			oldest = &holders->list[i];
	return oldest;
}

void
route_cache_stored(
    route_cache_t *cache, const char *backend, uint64_t prefix, int64_t now_ms)
{
	holders_t *holders = g_hash_table_lookup(cache->prefixes, &prefix);
	uint64_t hash = name_hash(backend);
	holder_t *holder;

	if (holders == NULL) {
		/* Knowledge is a hint: starting anew costs a few misses. */
		if (g_hash_table_size(cache->prefixes) >= PREFIXES_MAX)
			g_hash_table_remove_all(cache->prefixes);
		holders = g_new0(holders_t, 1);
		holders->prefix = prefix;
		g_hash_table_insert(cache->prefixes, &holders->prefix, holders);
	}
	holder = find_holder(holders, hash);
	if (holder == NULL)
		holder = oldest_holder(holders);
	holder->backend = hash;
	holder->seen_ms = now_ms;
}

void
route_cache_evicted(route_cache_t *cache, const char *backend, uint64_t prefix)
{
	holders_t *holders = g_hash_table_lookup(cache->prefixes, &prefix);
	holder_t *holder;

	if (holders == NULL)
		return;
	holder = find_holder(holders, name_hash(backend));
	if (holder != NULL)
		*holder = (holder_t){0};
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
	       !g_ptr_array_find(query->excluded, (gpointer)backend, NULL);
}

/*
 * Requests expected at a backend server: this node's own, known exactly, and
 * the others' as the last report showed them.
 */
static double
expected_load(const backend_t *backend, int64_t now_ms)
{
	unsigned reported =
	    backend->reported_running + backend->reported_waiting;
	double others = 0;

	if (backend->reported_at_ms > 0 &&
	    now_ms - backend->reported_at_ms <= REPORT_AGE_MAX_MS &&
	    reported > backend->in_flight_at_report)
		others = reported - backend->in_flight_at_report;
	return backend->in_flight + others;
}

typedef struct ranking {
	const route_query_t *query;
	double mean_load;
	double mean_latency_ms; /* 0: unknown */
} ranking_t;

static ranking_t
rank(const route_query_t *query, const GPtrArray *usable)
{
	ranking_t ranking = {.query = query};
	double latency_sum = 0;
	unsigned latencies = 0;

	for (guint i = 0; i < usable->len; i++) {
		const backend_t *backend = usable->pdata[i];

		ranking.mean_load += expected_load(backend, query->now_ms);
		if (backend->latency_ms > 0) {
			latency_sum += backend->latency_ms;
			latencies++;
		}
	}
	ranking.mean_load /= usable->len;
	if (latencies > 0)
		ranking.mean_latency_ms = latency_sum / latencies;
	return ranking;
}

/* Expected wait in units of one request at a backend of mean latency. */
static double
cost(const ranking_t *ranking, const backend_t *backend)
{
	double slowness = 1;
	double load = expected_load(backend, ranking->query->now_ms) + 1;

	if (ranking->mean_latency_ms > 0 && backend->latency_ms > 0)
		slowness = CLAMP(backend->latency_ms / ranking->mean_latency_ms,
		    1.0 / SLOWNESS_MAX, SLOWNESS_MAX);
	if (ranking->query->zone != NULL &&
	    strcmp(backend->zone, ranking->query->zone) != 0)
		load += OTHER_ZONE_LOAD;
	return load * slowness;
}

static backend_t *
cheapest(const ranking_t *ranking, const GPtrArray *usable)
{
	uint64_t random = ranking->query->random;
	backend_t *best = NULL;
	double best_cost = 0;
	unsigned ties = 0;

	for (guint i = 0; i < usable->len; i++) {
		backend_t *backend = usable->pdata[i];
		double own = cost(ranking, backend);

		if (best == NULL || own < best_cost) {
			best = backend;
			best_cost = own;
			ties = 1;
		} else if (own == best_cost && random % ++ties == 0) {
			best = backend;
		}
	}
	return best;
}

/*
 * Cheapest of the prefix's holders: those that reported it and, as events are
 * late and have gaps, the first by rendezvous hashing.
 */
static backend_t *
best_holder(const ranking_t *ranking, const GPtrArray *usable,
    const route_cache_t *cache)
{
	const route_query_t *query = ranking->query;
	holders_t *holders = NULL;
	backend_t *best = NULL;
	backend_t *ranked[RANKED_MAX] = {NULL};
	uint64_t weights[RANKED_MAX] = {0};

	if (cache != NULL)
		holders =
		    g_hash_table_lookup(cache->prefixes, &query->prefix_hash);
	for (guint i = 0; i < usable->len; i++) {
		backend_t *backend = usable->pdata[i];
		uint64_t hash = name_hash(backend->name);
		uint64_t weight = XXH3_64bits_withSeed(
		    &hash, sizeof(hash), query->prefix_hash);
		holder_t *holder =
		    holders != NULL ? find_holder(holders, hash) : NULL;

		if (holder != NULL &&
		    query->now_ms - holder->seen_ms <= HOLDER_AGE_MAX_MS &&
		    (best == NULL ||
			cost(ranking, backend) < cost(ranking, best)))
			best = backend;
		if (weight > weights[0]) {
			weights[1] = weights[0];
			ranked[1] = ranked[0];
			weights[0] = weight;
			ranked[0] = backend;
		} else if (weight > weights[1]) {
			weights[1] = weight;
			ranked[1] = backend;
		}
	}
	if (best != NULL)
		return best;
	if (ranked[1] == NULL || cost(ranking, ranked[0]) <=
				     LOAD_BOUND * cost(ranking, ranked[1]) + 1)
		return ranked[0];
	return ranked[1];
}

static backend_t *
choose_affinity(const route_query_t *query, const GPtrArray *usable,
    const route_cache_t *cache)
{
	ranking_t ranking = rank(query, usable);
	backend_t *least = cheapest(&ranking, usable);
	backend_t *holder;

	if (query->prefix_hash == 0)
		return least;
	holder = best_holder(&ranking, usable, cache);
	if (cost(&ranking, holder) <=
	    LOAD_BOUND * MAX(cost(&ranking, least), ranking.mean_load + 1) + 1)
		return holder;
	return least;
}

static backend_t *
choose_least(const route_query_t *query, const GPtrArray *usable)
{
	backend_t *best = NULL;
	unsigned ties = 0;

	for (guint i = 0; i < usable->len; i++) {
		backend_t *backend = usable->pdata[i];

		if (best == NULL || backend->in_flight < best->in_flight) {
			best = backend;
			ties = 1;
		} else if (backend->in_flight == best->in_flight &&
			   query->random % ++ties == 0) {
			best = backend;
		}
	}
	return best;
}

backend_t *
route_choose(const route_query_t *query, const GPtrArray *candidates,
    const route_cache_t *cache)
{
	GPtrArray *usable = g_ptr_array_new();
	backend_t *chosen = NULL;

	for (guint i = 0; i < candidates->len; i++)
		if (is_candidate(query, candidates->pdata[i]))
			g_ptr_array_add(usable, candidates->pdata[i]);
	if (usable->len > 0) {
		switch (query->policy) {
		case ROUTE_AFFINITY:
			chosen = choose_affinity(query, usable, cache);
			break;
		case ROUTE_LEAST:
			chosen = choose_least(query, usable);
			break;
		case ROUTE_RANDOM:
			chosen = usable->pdata[query->random % usable->len];
			break;
		}
	}
	g_ptr_array_free(usable, TRUE);
	return chosen;
}
