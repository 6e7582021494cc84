#include "proxy_state.h"

#include "clock.h"
#include "platform_request.h"
#include "proxy_log.h"

#include <string.h>

enum {
	/*
	 * Requests that must not be sent twice reuse only connections that
	 * were idle for less: their server is not about to close them.
	 */
	FRESH_CONNECTION_MS = 1000,
	ANY_CONNECTION_MS = INT32_MAX,
	/* Route priorities distinguished within one workspace priority. */
	ROUTE_PRIORITIES = 3,
	PRIORITY_LOWEST = 9,
	/*
	 * Where no server in an allowed region is listed: one that registers is
	 * listed about a heartbeat later, 1.2 s.
	 */
	NO_SERVER_IN_REGION_RETRY_MS = 1000,
};

/* Combines both priorities; the workspace's ranks first. 0: most urgent. */
static int
engine_priority(const proxy_request_t *req)
{
	unsigned route_priority =
	    MIN(req->route->priority, ROUTE_PRIORITIES - 1);
	int workspace_priority =
	    req->workspace == NULL ? -1 : req->workspace->priority;

	if (workspace_priority < 0)
		return (int)route_priority;
	return MIN(workspace_priority * ROUTE_PRIORITIES + (int)route_priority,
	    PRIORITY_LOWEST);
}

static GString *
build_request_head(const proxy_attempt_t *attempt)
{
	const proxy_request_t *req = attempt->request;
	const GByteArray *body = exchange_request_body(req->exchange);
	const http1_head_t *head = exchange_request_head(req->exchange);
	forward_options_t options = {
	    .server_id = attempt->server->info->id,
	    .workspace = req->workspace == NULL ? NULL : req->workspace->name,
	    .drop_api_key = req->catalog->workspaces->len > 0,
	    .remaining_ms = proxy_remaining_ms(req),
	    .priority = req->service != NULL && req->service->is_engine
			    ? engine_priority(req)
			    : -1,
	    .last_event_id = req->stream_started
				 ? event_stream_last_id(attempt->events)
				 : NULL,
	    .moved_from = req->migration.kv_location,
	    .body_length = body->len,
	    .has_body = body->len > 0 || head->has_length,
	};
	GString *out = g_string_sized_new(1024);

	platform_write_request(head, &options, out);
	return out;
}

/* This node's share of the connections to one server; 0: no limit. */
static unsigned
node_connections_max(const proxy_request_t *req)
{
	unsigned nodes = cluster_share_count(req->context->cluster);

	if (req->service == NULL || req->service->max_connections == 0)
		return 0;
	return MAX(req->service->max_connections / MAX(nodes, 1), 2);
}

static void
assign_server(proxy_attempt_t *attempt, const pick_choice_t *choice)
{
	proxy_request_t *req = attempt->request;
	server_load_t *load = &choice->server->local_load;

	attempt->server = server_ref(choice->server);
	attempt->uncached_tokens = choice->uncached_tokens;
	attempt->prefill_tokens = choice->prefill_tokens;
	attempt->expected_ttft_ms = choice->expected_ms;
	attempt->awaiting_response = true;
	attempt->start_ms = clock_boot_ms();
	attempt->late_since_ms = 0;
	attempt->hedge_time_recorded = false;
	attempt->first_byte_ms = 0;
	attempt->survival_recorded = false;
	attempt->usage_counted = false;
	attempt->response = (response_facts_t){0};
	attempt->status = 0;
	attempt->has_framing = false;
	if (attempt->buffered == NULL)
		attempt->buffered = g_byte_array_new();
	if (attempt->events == NULL && req->route->type == CATALOG_STREAM)
		attempt->events = event_stream_new();
	load->in_flight++;
	load->kv_tokens += pick_request_tokens(&req->facts);
	load->prefill_tokens += choice->uncached_tokens;
	if (req->urgent)
		load->urgent_prefill_tokens += choice->uncached_tokens;
	g_ptr_array_add(req->tried, choice->server);
}

bool
proxy_start_attempt(proxy_attempt_t *attempt, const pick_choice_t *choice)
{
	proxy_request_t *req = attempt->request;
	const http1_head_t *head = exchange_request_head(req->exchange);
	GString *head_text;
	upstream_request_t request = {
	    .attempt_id = req->facts.attempt_id,
	    .body = exchange_request_body(req->exchange),
	    .is_head_request = strcmp(head->method, "HEAD") == 0,
	    .reuse_idle_max_ms = catalog_may_retry(req->route)
				     ? ANY_CONNECTION_MS
				     : FRESH_CONNECTION_MS,
	    .on_head = proxy_on_head,
	    .on_body = proxy_on_body,
	    .on_end = proxy_on_end,
	    .data = attempt,
	};

	assign_server(attempt, choice);
	if (choice->server->leaving_since_ms != 0)
		proxy_log_leaving_attempt(req->context->counters,
		    req->facts.attempt_id, choice->server, attempt->start_ms);
	head_text = build_request_head(attempt);
	request.head = head_text->str;
	request.head_length = head_text->len;
	attempt->call = upstream_call_start(
	    choice->server->upstream, node_connections_max(req), &request);
	g_string_free(head_text, TRUE);
	if (attempt->call == NULL)
		return false;
	cold_turns_count(&choice->server->cold_turns, attempt->start_ms);
	upstream_call_set_read_max(
	    attempt->call, exchange_queue_max(req->exchange));
	prefix_cache_record(req->context->prefixes, choice->server->tag,
	    &req->facts, attempt->start_ms);
	return true;
}

void
proxy_send(proxy_request_t *req, const pick_choice_t *choice)
{
	proxy_attempt_t *attempt = req->attempt;

	if (!proxy_start_attempt(attempt, choice)) {
		proxy_handle_not_sent(attempt, SERVER_FULL, "no_connection");
		return;
	}
	rollouts_count_request(req->context->rollouts, req->service_name,
	    attempt->trial.rollout_id, attempt->trial.to_new_version);
	proxy_start_idle_timer(req, req->route->objective_ms);
	proxy_start_hedge_timer(req);
}

/*
 * The regions that the request may use now: by the current configuration, also
 * where the request was accepted under an earlier one. What the current one no
 * longer has keeps its last rule.
 */
static region_rule_t
current_region_rule(const proxy_request_t *req)
{
	const catalog_t *current = req->context->catalog;
	const catalog_route_t *route = req->route;
	const catalog_workspace_t *workspace = req->workspace;
	const catalog_route_t *current_route = NULL;
	const catalog_workspace_t *current_workspace = NULL;

	if (current != req->catalog) {
		current_route = catalog_find_same_route(current, route);
		if (workspace != NULL)
			current_workspace =
			    catalog_find_same_workspace(current, workspace);
	}
	if (current_route != NULL)
		route = current_route;
	if (current_workspace != NULL)
		workspace = current_workspace;
	return (region_rule_t){
	    .by_route = (const char *const *)route->allowed_regions,
	    .by_workspace =
		workspace == NULL
		    ? NULL
		    : (const char *const *)workspace->allowed_regions,
	};
}

/* servers: NULL where none is to be selected. */
static pick_query_t
make_query(proxy_request_t *req, const GPtrArray *servers)
{
	const proxy_context_t *context = req->context;

	return (pick_query_t){
	    .facts = &req->facts,
	    .service = req->service,
	    .servers = servers,
	    .tried = req->tried,
	    .prefixes = context->prefixes,
	    .ttft_model = proxy_ttft_model(req),
	    .urgent = req->urgent,
	    .zone = context->zone,
	    .evacuation = context->evacuation,
	    .cold_limit = context->cold_limit,
	    .region_rule = current_region_rule(req),
	    .regions = context->regions,
	    .now_ms = clock_boot_ms(),
	    .random = g_random_int(),
	};
}

static void
count_exclusions(const proxy_request_t *req, const pick_choice_t *choice)
{
	for (int i = PICK_NOT_EXCLUDED + 1; i < PICK_EXCLUSIONS; i++)
		if (choice->excluded[i] > 0)
			counter_add(req->context->counters, choice->excluded[i],
			    "servers_excluded_total{service=\"%s\","
			    "reason=\"%s\"}",
			    req->service_name,
			    pick_exclusion_name((pick_exclusion_t)i));
}

static pick_choice_t
pick_among(proxy_request_t *req, const GPtrArray *servers)
{
	pick_query_t query = make_query(req, servers);
	pick_choice_t choice = pick_server(&query);

	count_exclusions(req, &choice);
	return choice;
}

bool
proxy_may_send_to(proxy_request_t *req, const server_t *server)
{
	pick_query_t query = make_query(req, NULL);

	return pick_find_exclusion(&query, server) == PICK_NOT_EXCLUDED &&
	       (server_wants_requests(server, query.now_ms) ||
		   !proxy_may_run_anew(req));
}

/* Adds the exclusions of an earlier choice to one that found no server. */
static void
add_exclusions(pick_choice_t *choice, const pick_choice_t *earlier)
{
	bool had_cold = choice->excluded[PICK_EXCLUDED_COLD] > 0;

	if (earlier->excluded[PICK_EXCLUDED_COLD] > 0 &&
	    (!had_cold || earlier->cold_wait_ms < choice->cold_wait_ms))
		choice->cold_wait_ms = earlier->cold_wait_ms;
	for (int i = 0; i < PICK_EXCLUSIONS; i++)
		choice->excluded[i] += earlier->excluded[i];
}

/*
 * Chooses a version by the service's rollout, which *trial says, and one of its
 * servers.
 */
static pick_choice_t
pick_version(proxy_request_t *req, rollouts_assignment_t *trial)
{
	bool is_first_attempt = req->tried->len == 0 && !req->may_have_run;
	rollouts_candidates_t route = rollouts_select(req->context->rollouts,
	    req->service_name, is_first_attempt, g_random_double());
	pick_choice_t choice = pick_among(req, route.servers);

	*trial = route.assignment;
	if (choice.server == NULL && route.fallback_servers != NULL) {
		pick_choice_t earlier = choice;

		choice = pick_among(req, route.fallback_servers);
		add_exclusions(&choice, &earlier);
		/*
		 * The version was not assigned at random: the attempt is
		 * counted, but with share 0 it is no evidence.
		 */
		trial->to_new_version = false;
		trial->new_version_share = 0;
	}
	rollouts_candidates_clear(&route);
	if (choice.only_cold && req->urgent)
		cold_limit_count_urgent(req->context->cold_limit,
		    req->service_name, clock_boot_ms());
	return choice;
}

pick_choice_t
proxy_pick_migration_target(proxy_request_t *req)
{
	GPtrArray *same_version = pool_filter_version(
	    pool_servers(req->context->pool, req->service_name),
	    req->attempt->server->info->version, true);
	pick_query_t query = make_query(req, same_version);
	pick_choice_t choice;

	query.warm_only = true;
	choice = pick_server(&query);
	query.warm_only = false;
	if (choice.server == NULL)
		choice = pick_server(&query);
	count_exclusions(req, &choice);
	g_ptr_array_unref(same_version);
	return choice;
}

/* True where all places at the server are taken. */
static bool
is_full(const proxy_request_t *req, const server_t *server)
{
	bool is_engine = req->service != NULL && req->service->is_engine;
	unsigned places =
	    is_engine ? req->service->batch_size : server->info->slots;

	return server_in_flight(server) >= places;
}

/* True where a hedge may go to the server: it has room and is not slow. */
static bool
is_clearly_free(
    const proxy_request_t *req, const server_t *server, int64_t now_ms)
{
	return !is_full(req, server) && server->late_attempts == 0 &&
	       server->consecutive_failures == 0 &&
	       !server_is_cold(server, now_ms);
}

/*
 * Servers that stay, with their numbers in *situation; the caller owns the
 * array of those that are clearly free.
 */
static GPtrArray *
find_free_servers(const proxy_request_t *req, const GPtrArray *servers,
    hedge_situation_t *situation)
{
	GPtrArray *free_servers = g_ptr_array_new();
	int64_t now_ms = clock_boot_ms();

	for (guint i = 0; servers != NULL && i < servers->len; i++) {
		server_t *server = servers->pdata[i];

		if (server->info->draining || server->leaving_since_ms != 0)
			continue;
		situation->staying++;
		if (!server_usable(server, now_ms))
			continue;
		situation->usable++;
		situation->full += is_full(req, server);
		if (is_clearly_free(req, server, now_ms))
			g_ptr_array_add(free_servers, server);
	}
	return free_servers;
}

pick_choice_t
proxy_pick_hedge(
    proxy_request_t *req, bool *to_new_version, hedge_situation_t *situation)
{
	rollouts_candidates_t route = rollouts_select(req->context->rollouts,
	    req->service_name, false, g_random_double());
	GPtrArray *servers = find_free_servers(req, route.servers, situation);
	pick_choice_t choice = pick_among(req, servers);

	*to_new_version = route.assignment.to_new_version;
	g_ptr_array_unref(servers);
	rollouts_candidates_clear(&route);
	return choice;
}

/* 0 for plain services: their response times are estimated less precisely. */
static int64_t
ttft_objective_ms(const proxy_request_t *req)
{
	return req->service != NULL && req->service->is_engine
		   ? req->route->objective_ms
		   : 0;
}

/* The listed servers of the service in regions that the request may use. */
static GPtrArray *
allowed_servers(const proxy_request_t *req)
{
	const GPtrArray *servers =
	    pool_servers(req->context->pool, req->service_name);
	region_rule_t rule = current_region_rule(req);
	GPtrArray *allowed = g_ptr_array_new();

	for (guint i = 0; servers != NULL && i < servers->len; i++) {
		server_t *server = servers->pdata[i];

		if (region_rule_allows_zone(
			&rule, req->context->regions, server->info->zone))
			g_ptr_array_add(allowed, server);
	}
	return allowed;
}

static int64_t
retry_ms_of(const GPtrArray *servers)
{
	return MAX(
	    pool_pause_ms(servers, clock_boot_ms()), PROXY_RETRY_AFTER_MS);
}

int64_t
proxy_no_server_retry_ms(const proxy_request_t *req)
{
	GPtrArray *servers = allowed_servers(req);
	int64_t retry_ms = retry_ms_of(servers);

	g_ptr_array_unref(servers);
	return retry_ms;
}

/* Refuses the request, with the Retry-After that the exclusions give. */
static void
reject_without_server(proxy_request_t *req, const pick_choice_t *choice)
{
	region_rule_t rule = current_region_rule(req);
	GPtrArray *servers = allowed_servers(req);
	bool none_in_region =
	    region_rule_is_limited(&rule) && servers->len == 0;
	int64_t retry_ms = retry_ms_of(servers);

	g_ptr_array_unref(servers);
	if (choice->excluded[PICK_EXCLUDED_COLD] > 0)
		proxy_reject(req,
		    MAX(choice->cold_wait_ms, PROXY_RETRY_AFTER_MS),
		    "cold_servers");
	else if (choice->excluded[PICK_EXCLUDED_EVACUATED] > 0)
		proxy_reject(
		    req, MAX(retry_ms, PROXY_EVACUATED_RETRY_MS), "evacuated");
	else if (none_in_region)
		proxy_reject(
		    req, NO_SERVER_IN_REGION_RETRY_MS, "no_server_in_region");
	else
		proxy_reject(req, retry_ms, "no_server");
}

/* Time until the prompt may be sent to a server; 0: now. */
static int64_t
prompt_blocked_ms(const proxy_request_t *req)
{
	return crash_guard_blocked_ms(req->context->crash_guard, &req->facts,
	    cluster_wall_ms(req->context->cluster));
}

/* True where the blocked request is sent to see whether it is sound. */
static bool
takes_trial(const proxy_request_t *req)
{
	const proxy_context_t *context = req->context;

	return context->is_leader && req->tried->len == 0 &&
	       crash_guard_take_trial(context->crash_guard, &req->facts,
		   cluster_wall_ms(context->cluster));
}

bool
proxy_choose_retry(proxy_request_t *req, proxy_retry_t *retry)
{
	if (prompt_blocked_ms(req) > 0)
		return false;
	retry->choice = pick_version(req, &retry->trial);
	return retry->choice.server != NULL && proxy_take_retry(req);
}

void
proxy_send_retry(proxy_request_t *req, const proxy_retry_t *retry)
{
	req->attempt->trial = retry->trial;
	proxy_send(req, &retry->choice);
}

void
proxy_attempt(proxy_request_t *req)
{
	int64_t blocked_ms = prompt_blocked_ms(req);
	pick_choice_t choice;

	if (blocked_ms > 0 && !takes_trial(req)) {
		proxy_reject(req, blocked_ms, "blocked_segment");
		return;
	}
	choice = pick_version(req, &req->attempt->trial);
	if (choice.server == NULL)
		reject_without_server(req, &choice);
	else if (!req->may_have_run &&
		 pick_should_shed(
		     &choice, ttft_objective_ms(req), proxy_remaining_ms(req)))
		proxy_reject(req,
		    MAX(pick_retry_after_ms(&choice, ttft_objective_ms(req)),
			PROXY_RETRY_AFTER_MS),
		    "overloaded");
	else
		proxy_send(req, &choice);
}
