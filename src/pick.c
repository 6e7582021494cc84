#include "pick.h"

#include <float.h>
#include <string.h>

enum {
	/* Delay by each request in progress: they share the engine's steps. */
	IN_FLIGHT_COST_MS = 1,
	/* Penalty of a server whose recent requests all failed. */
	FAILURE_PENALTY_MS = 600,
	/* Scale of the penalty for memory use beyond memory_soft_limit. */
	MEMORY_PENALTY_MS = 400,
	/* Latency assumed for a plain server before its first response. */
	PLAIN_LATENCY_DEFAULT_MS = 50,
	OTHER_ZONE_PENALTY_MS = 1,
	/* Makes all nodes choose the same server for a new prompt. */
	PREFERRED_BONUS_MS = 4,
};

/* Share of its token capacity beyond which an engine is avoided. */
static const double memory_soft_limit = 0.8;

/*
 * Penalty in ms of each token of shared segments that a server would read
 * although it may be cached elsewhere.
 */
static const double duplicate_token_ms = 0.03;

/*
 * Share of the less urgent prompts' tokens that counts against a server for an
 * urgent request: an engine reads urgent prompts first, but in between
 * continues a long prompt that it has started.
 */
static const double started_prefill_share = 0.6;

/* Share of its objective that any request may wait in the queue. */
static const double min_wait_share = 0.3;

bool
pick_should_shed(
    const pick_choice_t *choice, int64_t objective_ms, int64_t remaining_ms)
{
	double wait_ms = choice->expected_ms - choice->unloaded_ms;
	double objective = (double)objective_ms;

	if (choice->expected_ms > (double)remaining_ms)
		return true;
	return objective_ms > 0 &&
	       wait_ms > MAX(objective - choice->unloaded_ms,
			     objective * min_wait_share);
}

int64_t
pick_retry_after_ms(const pick_choice_t *choice, int64_t objective_ms)
{
	return (int64_t)choice->expected_ms - objective_ms / 2;
}

double
pick_request_tokens(const request_facts_t *facts)
{
	return facts->has_tokens
		   ? (double)facts->tokens_in + (double)facts->tokens_out
		   : 0;
}

static bool
was_tried(const pick_query_t *query, const server_t *server)
{
	for (guint i = 0; query->tried != NULL && i < query->tried->len; i++)
		if (query->tried->pdata[i] == server)
			return true;
	return false;
}

/* Hash of a shared prompt segment and a server, for rendezvous hashing. */
static uint64_t
rendezvous_weight(uint64_t segment, uint32_t tag)
{
	uint64_t x = segment ^ ((uint64_t)tag * UINT64_C(0x9E3779B97F4A7C15));

	x ^= x >> 33;
	x *= UINT64_C(0xFF51AFD7ED558CCD);
	x ^= x >> 33;
	x *= UINT64_C(0xC4CEB9FE1A85EC53);
	return x ^ x >> 33;
}

/*
 * The usable server to which all nodes prefer to send prompts with the same
 * shared segments; NULL where a prompt has none.
 */
static const server_t *
preferred_server(const pick_query_t *query)
{
	const request_facts_t *facts = query->facts;
	const server_t *preferred = NULL;
	uint64_t best_weight = 0;
	uint64_t last_shared;

	if (facts->segment_count < 2)
		return NULL;
	last_shared = facts->segments[facts->segment_count - 2].id;
	for (guint i = 0; i < query->servers->len; i++) {
		const server_t *server = query->servers->pdata[i];
		uint64_t weight = rendezvous_weight(last_shared, server->tag);

		if (server_usable(server, query->now_ms) &&
		    (preferred == NULL || weight > best_weight)) {
			preferred = server;
			best_weight = weight;
		}
	}
	return preferred;
}

/*
 * Prompt tokens that a server has to read. The shared segments count as cached
 * at the preferred server.
 */
static double
uncached_tokens(
    const pick_query_t *query, const server_t *server, bool is_preferred)
{
	const request_facts_t *facts = query->facts;
	double tokens = (double)facts->tokens_in;
	unsigned cached = prefix_cache_matched_tokens(
	    query->prefixes, server->tag, facts, query->now_ms);

	if (is_preferred && cached == 0)
		cached = prefix_shared_tokens(facts);
	return MAX(tokens - cached, 0);
}

/* Requests at a server that it starts before this one, or has started. */
static unsigned
requests_ahead(const pick_query_t *query, const server_t *server)
{
	if (query->urgent)
		return server->local_load.urgent_in_flight +
		       server->peer_load.urgent_in_flight;
	return server_in_flight(server);
}

/* Delay of the first token by the requests that run or wait. */
static double
queue_ms(const pick_query_t *query, const server_t *server)
{
	unsigned batch = query->service->batch_size;
	unsigned ahead = requests_ahead(query, server);
	double delay_ms = server_in_flight(server) * IN_FLIGHT_COST_MS;

	if (ahead >= batch)
		delay_ms += ttft_model_queue_ms(
		    query->ttft_model, ahead - batch + 1, batch);
	return delay_ms;
}

static double
memory_penalty_ms(const pick_query_t *query, const server_t *server)
{
	double capacity = query->service->kv_capacity_tokens;
	double used = server->local_load.kv_tokens +
		      server->peer_load.kv_tokens +
		      pick_request_tokens(query->facts);

	if (capacity <= 0 || used <= memory_soft_limit * capacity)
		return 0;
	return MEMORY_PENALTY_MS *
	       (used / (memory_soft_limit * capacity) - 1 + 0.2);
}

static double
waiting_tokens(const server_t *server)
{
	return server->local_load.prefill_tokens +
	       server->peer_load.prefill_tokens;
}

/* Prompt tokens that a server reads before those of this request. */
static double
queued_tokens(const pick_query_t *query, const server_t *server)
{
	if (query->urgent)
		return server->local_load.urgent_prefill_tokens +
		       server->peer_load.urgent_prefill_tokens;
	return waiting_tokens(server);
}

static double
engine_ms(const pick_query_t *query, const server_t *server, double tokens)
{
	return ttft_model_predict_ms(query->ttft_model, tokens) +
	       queue_ms(query, server) + memory_penalty_ms(query, server);
}

static double
plain_ms(const server_t *server)
{
	double latency = server->latency_ms > 0 ? server->latency_ms
						: PLAIN_LATENCY_DEFAULT_MS;
	unsigned running = server_in_flight(server);
	unsigned slots = server->info->slots;

	if (running < slots)
		return latency + (double)running / slots;
	return latency * (1 + (double)(running - slots + 1) / slots);
}

/* Penalty of the shared segments that a server has not cached. */
static double
duplicate_prefill_ms(
    const pick_query_t *query, const server_t *server, bool is_preferred)
{
	double shared = prefix_shared_tokens(query->facts);
	unsigned cached = prefix_cache_matched_tokens(
	    query->prefixes, server->tag, query->facts, query->now_ms);

	return is_preferred ? 0 : duplicate_token_ms * (shared - cached);
}

/* Expected time to the first token at an idle engine. */
static double
unloaded_ms(const pick_query_t *query, double tokens)
{
	return query->service != NULL && query->service->is_engine
		   ? ttft_model_predict_ms(query->ttft_model, tokens)
		   : 0;
}

/* Delay of an urgent request by long prompts that were started before. */
static double
started_prefill_ms(
    const pick_query_t *query, const server_t *server, double prefill)
{
	double started =
	    started_prefill_share *
	    (waiting_tokens(server) - queued_tokens(query, server));

	return ttft_model_predict_ms(
		   query->ttft_model, prefill + MAX(started, 0)) -
	       ttft_model_predict_ms(query->ttft_model, prefill);
}

/* Costs of a server that are not part of its estimated time. */
static double
penalty_ms(const pick_query_t *query, const server_t *server, bool is_preferred)
{
	double penalty = server->failure_rate * FAILURE_PENALTY_MS +
			 duplicate_prefill_ms(query, server, is_preferred);

	if (strcmp(server->info->zone, query->zone) != 0)
		penalty += OTHER_ZONE_PENALTY_MS;
	if (server->info->warmup_ms > 0)
		penalty += server->latency_ms;
	return is_preferred ? penalty - PREFERRED_BONUS_MS : penalty;
}

/* Share of the batches of the servers in use, up to 1. */
static double
batch_usage(const pick_query_t *query)
{
	unsigned running = 0, places = 0;

	for (guint i = 0; i < query->servers->len; i++) {
		const server_t *server = query->servers->pdata[i];

		if (!server_usable(server, query->now_ms))
			continue;
		running += server_in_flight(server);
		places += query->service->batch_size;
	}
	return places == 0 ? 0 : MIN((double)running / places, 1);
}

/*
 * Range of a random cost that spreads the requests of all nodes. Nodes that
 * choose by the same reports would all prefer the same few servers until the
 * next ones, and fill their queues. Requests that are not reported yet take a
 * server for up to about the reports' age where the batches are full, and
 * little where they are not.
 */
static double
spread_range_ms(const pick_query_t *query)
{
	double usage = batch_usage(query);

	return 2 * (double)query->report_age_ms * usage * usage;
}

/* Random number in [0, 1) for the request and server. */
static double
server_random(const pick_query_t *query, const server_t *server)
{
	uint64_t bits = rendezvous_weight(query->random, server->tag) >> 11;

	return (double)bits / (double)(UINT64_C(1) << 53);
}

/* Whether a rule keeps this request from a server that may get requests. */
static pick_exclusion_t
find_exclusion(const pick_query_t *query, const server_t *server)
{
	return PICK_NOT_EXCLUDED;
}

pick_choice_t
pick_server(const pick_query_t *query)
{
	pick_choice_t choice = {0};
	bool is_engine = query->service != NULL && query->service->is_engine;
	double best_cost = DBL_MAX;
	const server_t *preferred;
	double spread_ms;
	guint start;

	if (query->servers == NULL || query->servers->len == 0)
		return choice;
	preferred = is_engine ? preferred_server(query) : NULL;
	spread_ms = is_engine ? spread_range_ms(query) : 0;
	start = (guint)(query->random % query->servers->len);
	for (guint i = 0; i < query->servers->len; i++) {
		server_t *server =
		    query->servers->pdata[(start + i) % query->servers->len];
		bool is_preferred = preferred != NULL && server == preferred;
		double uncached, prefill, expected, cost;
		pick_exclusion_t exclusion;

		if (!server_usable(server, query->now_ms) ||
		    was_tried(query, server))
			continue;
		exclusion = find_exclusion(query, server);
		if (exclusion != PICK_NOT_EXCLUDED) {
			choice.excluded[exclusion]++;
			continue;
		}
		uncached = is_engine
			       ? uncached_tokens(query, server, is_preferred)
			       : 0;
		prefill = uncached + queued_tokens(query, server);
		expected = is_engine ? engine_ms(query, server, prefill)
				     : plain_ms(server);
		cost = expected + penalty_ms(query, server, is_preferred);
		if (is_engine)
			cost += started_prefill_ms(query, server, prefill) +
				spread_ms * server_random(query, server);
		if (cost >= best_cost)
			continue;
		best_cost = cost;
		choice.server = server;
		choice.expected_ms = expected;
		choice.unloaded_ms = unloaded_ms(query, uncached);
		choice.uncached_tokens = uncached;
		choice.prefill_tokens = prefill;
	}
	return choice;
}
