/*
 * Drives the routing policies on one seeded load: engines with slots and a
 * prefix cache each, load reports that lag, cache events that are late and
 * have gaps. Prints one JSON object a policy.
 */
#include "counter.h"
#include "route.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	ENGINES = 18,
	SLOTS = 8,
	CACHE_PREFIXES = 12,
	PREFIXES = 120,
	PREFIX_TOKENS = 1500,
	OWN_TOKENS = 100,
	NODES = 3,
	RUN_MS = 120000,
	REPORT_EVERY_MS = 250,
	REPORT_LAG_MS = 500,
	EVENT_LAG_MS = 1000,
	RUNNING_MAX = 4096,
	SLOW_ENGINE = 3,
	SLOW_FROM_MS = 40000,
	SLOW_UNTIL_MS = 80000,
};

static const double PREFILL_TOKENS_PER_MS = 8;
static const double DECODE_MS = 1200;
static const double EVENT_GAP = 0.2;
static const double SLOWNESS = 4;

typedef struct engine {
	char name[16];
	unsigned running;
	uint64_t cache[CACHE_PREFIXES]; /* newest first */
} engine_t;

typedef struct running {
	int engine;
	int node;
	int64_t first_ms;
	int64_t done_ms;
	int64_t arrived_ms;
	bool answered;
} running_t;

typedef struct report {
	int64_t due_ms;
	unsigned running[ENGINES];
} report_t;

typedef struct view {
	backend_t backends[ENGINES];
	GPtrArray *candidates;
	route_prefix_index_t *cache;
} view_t;

typedef struct event {
	int64_t due_ms;
	int engine;
	uint64_t stored;
	uint64_t evicted;
} event_t;

typedef struct bench {
	engine_t engines[ENGINES];
	view_t views[NODES];
	running_t *running;
	unsigned running_count;
	GArray *reports;
	GArray *events;
	GRand *rand;
	histogram_t first_us;
	uint64_t requests;
	uint64_t recomputed;
	uint64_t rejected;
	uint64_t slow_share;
	uint64_t slow_window;
} bench_t;

static void
bench_init(bench_t *bench, uint32_t seed)
{
	bench->rand = g_rand_new_with_seed(seed);
	bench->running = g_new0(running_t, RUNNING_MAX);
	bench->reports = g_array_new(FALSE, TRUE, sizeof(report_t));
	bench->events = g_array_new(FALSE, TRUE, sizeof(event_t));
	for (int e = 0; e < ENGINES; e++)
		g_snprintf(bench->engines[e].name, 16, "t/engine-%d", e);
	for (int n = 0; n < NODES; n++) {
		view_t *view = &bench->views[n];

		view->candidates = g_ptr_array_new();
		view->cache = route_prefix_index_new();
		for (int e = 0; e < ENGINES; e++) {
			view->backends[e] = (backend_t){
			    .refs = 1,
			    .name = bench->engines[e].name,
			    .zone = "zone-a",
			    .version = "v1",
			};
			g_ptr_array_add(view->candidates, &view->backends[e]);
		}
	}
}

/* Moves a prefix to the front; true where it was cached. */
static bool
cache_use(engine_t *engine, uint64_t prefix, uint64_t *evicted)
{
	int at = 0;
	bool hit;

	while (at < CACHE_PREFIXES - 1 && engine->cache[at] != prefix)
		at++;
	hit = engine->cache[at] == prefix;
	*evicted = hit ? 0 : engine->cache[CACHE_PREFIXES - 1];
	memmove(&engine->cache[1], &engine->cache[0],
	    (size_t)at * sizeof(engine->cache[0]));
	engine->cache[0] = prefix;
	return hit;
}

/* Prefixes follow a Zipf law with exponent 1. */
static uint64_t
pick_prefix(bench_t *bench)
{
	double sum = 0, point;
	int i;

	for (i = 1; i <= PREFIXES; i++)
		sum += 1.0 / i;
	point = g_rand_double(bench->rand) * sum;
	for (i = 1; i < PREFIXES && point > 1.0 / i; i++)
		point -= 1.0 / i;
	return (uint64_t)i * 0x9e3779b97f4a7c15u;
}

static void
arrive(bench_t *bench, route_policy_t policy, int64_t now_ms)
{
	int node = (int)(g_rand_int(bench->rand) % NODES);
	view_t *view = &bench->views[node];
	uint64_t prefix = pick_prefix(bench), evicted;
	route_query_t query = {
	    .policy = policy,
	    .zone = "zone-a",
	    .version = "v1",
	    .prefix_hash = prefix,
	    .now_ms = now_ms + 1,
	    .random = g_rand_int(bench->rand),
	};
	backend_t *chosen = route_choose(&query, view->candidates, view->cache);
	int index = (int)(chosen - view->backends);
	engine_t *engine = &bench->engines[index];
	double crowding = fmax(1, (double)(engine->running + 1) / SLOTS);
	bool slow = now_ms >= SLOW_FROM_MS && now_ms < SLOW_UNTIL_MS;
	double tokens = OWN_TOKENS, speed = 1;

	bench->requests++;
	if (bench->running_count == RUNNING_MAX) {
		bench->rejected++;
		return;
	}
	if (!cache_use(engine, prefix, &evicted)) {
		event_t event = {now_ms + EVENT_LAG_MS, index, prefix, evicted};

		tokens += PREFIX_TOKENS;
		bench->recomputed += PREFIX_TOKENS;
		if (g_rand_double(bench->rand) >= EVENT_GAP)
			g_array_append_val(bench->events, event);
	}
	if (slow) {
		bench->slow_window++;
		bench->slow_share += index == SLOW_ENGINE;
		if (index == SLOW_ENGINE)
			speed = SLOWNESS;
	}
	backend_request_started(chosen, now_ms);
	engine->running++;
	bench->running[bench->running_count++] = (running_t){
	    .engine = index,
	    .node = node,
	    .arrived_ms = now_ms,
	    .first_ms = now_ms + (int64_t)(tokens / PREFILL_TOKENS_PER_MS *
					   crowding * speed),
	    .done_ms = now_ms +
		       (int64_t)((tokens / PREFILL_TOKENS_PER_MS + DECODE_MS) *
				 crowding * speed),
	};
}

static void
advance(bench_t *bench, int64_t now_ms)
{
	for (unsigned i = 0; i < bench->running_count; i++) {
		running_t *running = &bench->running[i];
		backend_t *backend =
		    &bench->views[running->node].backends[running->engine];

		if (!running->answered && running->first_ms <= now_ms) {
			running->answered = true;
			histogram_add(&bench->first_us,
			    (now_ms - running->arrived_ms) * 1000);
		}
		if (running->done_ms > now_ms)
			continue;
		bench->engines[running->engine].running--;
		backend_request_finished(backend, true,
		    (double)(running->first_ms - running->arrived_ms), now_ms);
		*running = bench->running[--bench->running_count];
		i--;
	}
}

static void
publish(bench_t *bench, int64_t now_ms)
{
	if (now_ms % REPORT_EVERY_MS == 0) {
		report_t report = {.due_ms = now_ms + REPORT_LAG_MS};

		for (int e = 0; e < ENGINES; e++)
			report.running[e] = bench->engines[e].running;
		g_array_append_val(bench->reports, report);
	}
	while (bench->reports->len > 0) {
		report_t *report = &g_array_index(bench->reports, report_t, 0);

		if (report->due_ms > now_ms)
			break;
		for (int n = 0; n < NODES; n++)
			for (int e = 0; e < ENGINES; e++)
				backend_update_load(
				    &bench->views[n].backends[e],
				    report->running[e], 0, now_ms);
		g_array_remove_index(bench->reports, 0);
	}
	while (bench->events->len > 0) {
		event_t event = g_array_index(bench->events, event_t, 0);
		const char *name = bench->engines[event.engine].name;

		if (event.due_ms > now_ms)
			break;
		for (int n = 0; n < NODES; n++) {
			route_prefix_index_t *cache = bench->views[n].cache;

			route_prefix_index_add(
			    cache, name, event.stored, now_ms);
			if (event.evicted != 0)
				route_prefix_index_remove(
				    cache, name, event.evicted);
		}
		g_array_remove_index(bench->events, 0);
	}
}

static void
run(route_policy_t policy, const char *name, double rate, uint32_t seed)
{
	bench_t *bench = g_new0(bench_t, 1);
	double next_ms = 0;

	bench_init(bench, seed);
	for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms++) {
		advance(bench, now_ms);
		publish(bench, now_ms);
		while (next_ms <= (double)now_ms) {
			arrive(bench, policy, now_ms);
			next_ms +=
			    -log(1 - g_rand_double(bench->rand)) * 1000 / rate;
		}
	}
	printf("{\"policy\": \"%s\", \"seed\": %u, \"rate\": %.0f, "
	       "\"requests\": %lu, \"recomputed_tokens_per_request\": %.1f, "
	       "\"first_token_p50_ms\": %lu, \"first_token_p95_ms\": %lu, "
	       "\"slow_engine_share\": %.4f, \"rejected\": %lu}\n",
	    name, seed, rate, bench->requests,
	    (double)bench->recomputed / (double)bench->requests,
	    histogram_quantile(&bench->first_us, 0.5) / 1000,
	    histogram_quantile(&bench->first_us, 0.95) / 1000,
	    (double)bench->slow_share / (double)bench->slow_window,
	    bench->rejected);
	for (int n = 0; n < NODES; n++) {
		g_ptr_array_free(bench->views[n].candidates, TRUE);
		route_prefix_index_free(bench->views[n].cache);
	}
	g_array_free(bench->reports, TRUE);
	g_array_free(bench->events, TRUE);
	g_rand_free(bench->rand);
	g_free(bench->running);
	g_free(bench);
}

int
main(int argc, char **argv)
{
	static const double rates[] = {40, 70, 90};
	uint32_t first = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;

	for (size_t r = 0; r < G_N_ELEMENTS(rates); r++) {
		for (uint32_t seed = first; seed < first + 3; seed++) {
			run(ROUTE_AFFINITY, "affinity", rates[r], seed);
			run(ROUTE_LEAST_REQUESTS, "least", rates[r], seed);
			run(ROUTE_RANDOM, "random", rates[r], seed);
		}
	}
	return 0;
}
