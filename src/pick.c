#include "pick.h"

#include <float.h>
#include <string.h>

enum {
	/* Time that each request beyond the batch adds to the first token. */
	QUEUED_COST_MS = 40,
	/* Requests in progress slow down each other's steps. */
	IN_FLIGHT_COST_MS = 1,
	/* Cost of a server all of whose recent requests failed. */
	FAILURE_PENALTY_MS = 600,
	/* Cost of a memory that is full. */
	MEMORY_PENALTY_MS = 400,
	PLAIN_LATENCY_DEFAULT_MS = 50,
	OTHER_ZONE_PENALTY_MS = 1,
	/* A preferred server for a prompt, so that nodes agree on one. */
	PREFERRED_BONUS_MS = 4,
};

/* Share of its memory beyond which an engine is avoided. */
static const double memory_soft_limit = 0.8;

/* Cost in ms of each shared token that is read where others have it not. */
static const double duplicate_token_ms = 0.03;

/*
 * Part of the other prompts that counts against a server for an urgent one: an
 * engine reads the most urgent first, but a long prompt that it has begun goes
 * on in between.
 */
static const double started_prefill_share = 0.6;

/* Part of its objective that any request may wait. */
static const double min_wait_share = 0.3;

bool
pick_should_shed(
    const pick_choice_t *choice, int64_t objective_ms, int64_t left_ms)
{
	double wait_ms = choice->expected_ms - choice->unloaded_ms;
	double objective = (double)objective_ms;

	if (choice->expected_ms > (double)left_ms)
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

/* Rendezvous hash of a prompt's longest shared part and a server. */
static uint64_t
rendezvous_weight(uint64_t part, uint32_t tag)
{
	uint64_t x = part ^ ((uint64_t)tag * UINT64_C(0x9E3779B97F4A7C15));

	x ^= x >> 33;
	x *= UINT64_C(0xFF51AFD7ED558CCD);
	x ^= x >> 33;
	x *= UINT64_C(0xC4CEB9FE1A85EC53);
	return x ^ x >> 33;
}

/* The server where nodes look first for a prompt's shared parts. */
static const server_t *
preferred_server(const pick_query_t *query)
{
	const request_facts_t *facts = query->facts;
	const server_t *home = NULL;
	uint64_t best = 0;
	uint64_t part;

	if (facts->segment_count < 2)
		return NULL;
	part = facts->segments[facts->segment_count - 2].id;
	for (guint i = 0; i < query->servers->len; i++) {
		const server_t *server = query->servers->pdata[i];
		uint64_t weight = rendezvous_weight(part, server->tag);

		if (server_usable(server, query->now_ms) &&
		    (home == NULL || weight > best)) {
			home = server;
			best = weight;
		}
	}
	return home;
}

static double
uncached_tokens(const pick_query_t *query, const server_t *server, bool is_home)
{
	const request_facts_t *facts = query->facts;
	double tokens = (double)facts->tokens_in;
	unsigned held = prefix_cache_matched_tokens(
	    query->prefixes, server->tag, facts, query->now_ms);

	if (is_home && held == 0)
		held = prefix_shared_tokens(facts);
	return MAX(tokens - held, 0);
}

static double
queue_ms(const server_t *server, unsigned batch)
{
	unsigned running = server_in_flight(server);

	return running * IN_FLIGHT_COST_MS +
	       (running >= batch ? (running - batch + 1) * QUEUED_COST_MS : 0);
}

static double
memory_penalty_ms(const pick_query_t *query, const server_t *server)
{
	double capacity = query->service->cache_tokens;
	double held = server->own.held_tokens + server->peers.held_tokens +
		      pick_request_tokens(query->facts);

	if (capacity <= 0 || held <= memory_soft_limit * capacity)
		return 0;
	return MEMORY_PENALTY_MS *
	       (held / (memory_soft_limit * capacity) - 1 + 0.2);
}

static double
waiting_tokens(const server_t *server)
{
	return server->own.waiting_tokens + server->peers.waiting_tokens;
}

/* Prompt tokens that a server reads before those of this request. */
static double
queued_tokens(const pick_query_t *query, const server_t *server)
{
	if (query->urgent)
		return server->own.urgent_tokens + server->peers.urgent_tokens;
	return waiting_tokens(server);
}

static double
engine_ms(const pick_query_t *query, const server_t *server, double tokens)
{
	return ttft_model_predict_ms(query->ttft_model, tokens) +
	       queue_ms(server, query->service->batch) +
	       memory_penalty_ms(query, server);
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

/* Shared parts of the prompt that a server would have to read. */
static double
duplicate_prefill_ms(
    const pick_query_t *query, const server_t *server, bool is_home)
{
	double shared = prefix_shared_tokens(query->facts);
	unsigned held = prefix_cache_matched_tokens(
	    query->prefixes, server->tag, query->facts, query->now_ms);

	return is_home ? 0 : duplicate_token_ms * (shared - held);
}

/* Time at a server that has nothing else to do. */
static double
unloaded_ms(const pick_query_t *query, double tokens)
{
	return query->service != NULL && query->service->is_engine
		   ? ttft_model_predict_ms(query->ttft_model, tokens)
		   : 0;
}

/* Time that an urgent request may lose to long prompts that have begun. */
static double
started_prefill_ms(
    const pick_query_t *query, const server_t *server, double ahead)
{
	double begun = started_prefill_share *
		       (waiting_tokens(server) - queued_tokens(query, server));

	return ttft_model_predict_ms(query->ttft_model, ahead + MAX(begun, 0)) -
	       ttft_model_predict_ms(query->ttft_model, ahead);
}

/* What is not time but counts against a server. */
static double
penalty_ms(const pick_query_t *query, const server_t *server, bool is_home)
{
	double penalty = server->failure_rate * FAILURE_PENALTY_MS +
			 duplicate_prefill_ms(query, server, is_home);

	if (strcmp(server->info->zone, query->zone) != 0)
		penalty += OTHER_ZONE_PENALTY_MS;
	if (server->info->cold_ms > 0)
		penalty += server->latency_ms;
	return is_home ? penalty - PREFERRED_BONUS_MS : penalty;
}

pick_choice_t
pick_server(const pick_query_t *query)
{
	pick_choice_t choice = {0};
	bool is_engine = query->service != NULL && query->service->is_engine;
	double best = DBL_MAX;
	const server_t *home;
	guint first;

	if (query->servers == NULL || query->servers->len == 0)
		return choice;
	home = is_engine ? preferred_server(query) : NULL;
	first = (guint)(query->random % query->servers->len);
	for (guint i = 0; i < query->servers->len; i++) {
		server_t *server =
		    query->servers->pdata[(first + i) % query->servers->len];
		bool is_home = home != NULL && server == home;
		double tokens, ahead, expected, cost;

		if (!server_usable(server, query->now_ms) ||
		    was_tried(query, server))
			continue;
		tokens =
		    is_engine ? uncached_tokens(query, server, is_home) : 0;
		ahead = tokens + queued_tokens(query, server);
		expected = is_engine ? engine_ms(query, server, ahead)
				     : plain_ms(server);
		cost = expected + penalty_ms(query, server, is_home);
		if (is_engine)
			cost += started_prefill_ms(query, server, ahead);
		if (cost >= best)
			continue;
		best = cost;
		choice.server = server;
		choice.expected_ms = expected;
		choice.unloaded_ms = unloaded_ms(query, tokens);
		choice.uncached_tokens = tokens;
		choice.prefill_tokens = ahead;
	}
	return choice;
}
