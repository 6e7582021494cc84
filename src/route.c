#include "route.h"

#include <string.h>
#include <xxhash.h>

enum {
	/* The load bound leaves no use for more holders per prefix. */
	HOLDERS_PER_PREFIX_MAX = 4,
	PREFIXES_MAX = 65536,
	/* A holder not reported for this long may have evicted the prefix. */
	HOLDER_AGE_MAX_MS = 120000,
	/* An older load report no longer reflects the present load. */
	LOAD_REPORT_AGE_MAX_MS = 5000,
	RENDEZVOUS_RANKS = 2,
};

/*
 * A prefix holder is preferred while its cost is at most this multiple of the
 * higher of the lowest cost and the mean load, plus one.
 */
static const double LOAD_BOUND = 1.25;
/* Bounds the factor by which relative latency scales a backend's cost. */
static const double SLOWNESS_MAX = 8.0;
/* Added load, in requests, of a backend server in another zone. */
static const double OTHER_ZONE_COST = 0.5;

typedef struct holder {
	uint64_t backend_hash; /* of the backend server's name */
	int64_t reported_ms;
} holder_t;

typedef struct prefix_holders {
	uint64_t prefix_hash;
	holder_t list[HOLDERS_PER_PREFIX_MAX];
} prefix_holders_t;

struct route_prefix_index {
	GHashTable *prefixes; /* prefix hash: prefix_holders_t */
};

route_prefix_index_t *
route_prefix_index_new(void)
{
	route_prefix_index_t *index = g_new0(route_prefix_index_t, 1);

	index->prefixes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return index;
}

void
route_prefix_index_free(route_prefix_index_t *index)
{
	if (index == NULL)
		return;
	g_hash_table_destroy(index->prefixes);
	g_free(index);
}

static uint64_t
name_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static holder_t *
find_holder(prefix_holders_t *holders, uint64_t backend_hash)
{
	for (unsigned i = 0; i < HOLDERS_PER_PREFIX_MAX; i++)
		if (holders->list[i].backend_hash == backend_hash)
			return &holders->list[i];
	return NULL;
}

static holder_t *
least_recent_holder(prefix_holders_t *holders)
{
	holder_t *least_recent = &holders->list[0];

	for (unsigned i = 1; i < HOLDERS_PER_PREFIX_MAX; i++)
		if (holders->list[i].reported_ms < least_recent->reported_ms)
			least_recent = &holders->list[i];
	return least_recent;
}

void
route_prefix_index_add(route_prefix_index_t *index, const char *backend,
    uint64_t prefix_hash, int64_t now_ms)
{
	prefix_holders_t *holders =
	    g_hash_table_lookup(index->prefixes, &prefix_hash);
	uint64_t backend_hash = name_hash(backend);
	holder_t *holder;

	if (holders == NULL) {
		/* The index is a hint: clearing it costs a few cache misses. */
		if (g_hash_table_size(index->prefixes) >= PREFIXES_MAX)
			g_hash_table_remove_all(index->prefixes);
		holders = g_new0(prefix_holders_t, 1);
		holders->prefix_hash = prefix_hash;
		g_hash_table_insert(
		    index->prefixes, &holders->prefix_hash, holders);
	}
	holder = find_holder(holders, backend_hash);
	if (holder == NULL)
		holder = least_recent_holder(holders);
	holder->backend_hash = backend_hash;
	holder->reported_ms = now_ms;
}

void
route_prefix_index_remove(
    route_prefix_index_t *index, const char *backend, uint64_t prefix_hash)
{
	prefix_holders_t *holders =
	    g_hash_table_lookup(index->prefixes, &prefix_hash);
	holder_t *holder;

	if (holders == NULL)
		return;
	holder = find_holder(holders, name_hash(backend));
	if (holder != NULL)
		*holder = (holder_t){0};
}

uint64_t
route_prefix_hash(const char *prompt)
{
	return XXH3_64bits(prompt, strnlen(prompt, ROUTE_PREFIX_BYTES));
}

static bool
is_eligible(const route_query_t *query, const backend_t *backend)
{
	if (!backend_usable(backend, query->now_ms))
		return false;
	if (strcmp(backend->version, query->version) != 0)
		return false;
	return query->excluded == NULL ||
	       !g_ptr_array_find(query->excluded, (gpointer)backend, NULL);
}

/*
 * Requests expected at a backend server: this node's, which are known exactly,
 * plus those of other nodes according to the last load report.
 */
static double
expected_load(const backend_t *backend, int64_t now_ms)
{
	unsigned reported =
	    backend->reported_running + backend->reported_waiting;
	double others = 0;

	if (backend->reported_at_ms > 0 &&
	    now_ms - backend->reported_at_ms <= LOAD_REPORT_AGE_MAX_MS &&
	    reported > backend->in_flight_at_report)
		others = reported - backend->in_flight_at_report;
	return backend->in_flight + others;
}

typedef struct cost_model {
	const route_query_t *query;
	double mean_load;
	double mean_latency_ms; /* 0: unknown */
} cost_model_t;

static cost_model_t
cost_model_of(const route_query_t *query, const GPtrArray *eligible)
{
	cost_model_t model = {.query = query};
	double latency_sum = 0;
	unsigned latencies = 0;

	for (guint i = 0; i < eligible->len; i++) {
		const backend_t *backend = eligible->pdata[i];

		model.mean_load += expected_load(backend, query->now_ms);
		if (backend->average_latency_ms > 0) {
			latency_sum += backend->average_latency_ms;
			latencies++;
		}
	}
	model.mean_load /= eligible->len;
	if (latencies > 0)
		model.mean_latency_ms = latency_sum / latencies;
	return model;
}

/*
 * Expected wait for a new request, in units of one request at a backend server
 * of mean latency.
 */
static double
cost(const cost_model_t *model, const backend_t *backend)
{
	double slowness = 1;
	double load = expected_load(backend, model->query->now_ms) + 1;

	if (model->mean_latency_ms > 0 && backend->average_latency_ms > 0)
		slowness =
		    CLAMP(backend->average_latency_ms / model->mean_latency_ms,
			1.0 / SLOWNESS_MAX, SLOWNESS_MAX);
	if (model->query->zone != NULL &&
	    strcmp(backend->zone, model->query->zone) != 0)
		load += OTHER_ZONE_COST;
	return load * slowness;
}

static backend_t *
cheapest(const cost_model_t *model, const GPtrArray *eligible)
{
	uint64_t random = model->query->random;
	backend_t *best = NULL;
	double best_cost = 0;
	unsigned ties = 0;

	for (guint i = 0; i < eligible->len; i++) {
		backend_t *backend = eligible->pdata[i];
		double backend_cost = cost(model, backend);

		if (best == NULL || backend_cost < best_cost) {
			best = backend;
			best_cost = backend_cost;
			ties = 1;
		} else if (backend_cost == best_cost && random % ++ties == 0) {
			best = backend;
		}
	}
	return best;
}

/*
 * Lowest-cost backend server that reported the prefix. As cache events arrive
 * late and may be lost, falls back on rendezvous hashing if there is none: the
 * first-ranked one, or the second if the first is overloaded.
 */
static backend_t *
best_holder(const cost_model_t *model, const GPtrArray *eligible,
    const route_prefix_index_t *index)
{
	const route_query_t *query = model->query;
	prefix_holders_t *holders = NULL;
	backend_t *best = NULL;
	backend_t *ranked[RENDEZVOUS_RANKS] = {NULL};
	uint64_t rank_weights[RENDEZVOUS_RANKS] = {0};

	if (index != NULL)
		holders =
		    g_hash_table_lookup(index->prefixes, &query->prefix_hash);
	for (guint i = 0; i < eligible->len; i++) {
		backend_t *backend = eligible->pdata[i];
		uint64_t backend_hash = name_hash(backend->name);
		uint64_t weight = XXH3_64bits_withSeed(
		    &backend_hash, sizeof(backend_hash), query->prefix_hash);
		holder_t *holder =
		    holders != NULL ? find_holder(holders, backend_hash) : NULL;

		if (holder != NULL &&
		    query->now_ms - holder->reported_ms <= HOLDER_AGE_MAX_MS &&
		    (best == NULL || cost(model, backend) < cost(model, best)))
			best = backend;
		if (weight > rank_weights[0]) {
			rank_weights[1] = rank_weights[0];
			ranked[1] = ranked[0];
			rank_weights[0] = weight;
			ranked[0] = backend;
		} else if (weight > rank_weights[1]) {
			rank_weights[1] = weight;
			ranked[1] = backend;
		}
	}
	if (best != NULL)
		return best;
	if (ranked[1] == NULL ||
	    cost(model, ranked[0]) <= LOAD_BOUND * cost(model, ranked[1]) + 1)
		return ranked[0];
	return ranked[1];
}

static backend_t *
choose_affinity(const route_query_t *query, const GPtrArray *eligible,
    const route_prefix_index_t *index)
{
	cost_model_t model = cost_model_of(query, eligible);
	backend_t *lowest_cost = cheapest(&model, eligible);
	backend_t *holder;

	if (query->prefix_hash == 0)
		return lowest_cost;
	holder = best_holder(&model, eligible, index);
	if (cost(&model, holder) <=
	    LOAD_BOUND * MAX(cost(&model, lowest_cost), model.mean_load + 1) +
		1)
		return holder;
	return lowest_cost;
}

static backend_t *
choose_least_loaded(const route_query_t *query, const GPtrArray *eligible)
{
	backend_t *best = NULL;
	unsigned ties = 0;

	for (guint i = 0; i < eligible->len; i++) {
		backend_t *backend = eligible->pdata[i];

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
    const route_prefix_index_t *index)
{
	GPtrArray *eligible = g_ptr_array_new();
	backend_t *chosen = NULL;

	for (guint i = 0; i < candidates->len; i++)
		if (is_eligible(query, candidates->pdata[i]))
			g_ptr_array_add(eligible, candidates->pdata[i]);
	if (eligible->len > 0) {
		switch (query->policy) {
		case ROUTE_AFFINITY:
			chosen = choose_affinity(query, eligible, index);
			break;
		case ROUTE_LEAST_REQUESTS:
			chosen = choose_least_loaded(query, eligible);
			break;
		case ROUTE_RANDOM:
			chosen = eligible->pdata[query->random % eligible->len];
			break;
		}
	}
	g_ptr_array_free(eligible, TRUE);
	return chosen;
}
