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
build_request_head(proxy_request_t *req, const server_t *server)
{
	const GByteArray *body = exchange_request_body(req->exchange);
	const http1_head_t *head = exchange_request_head(req->exchange);
	forward_options_t options = {
	    .server_id = server->info->id,
	    .workspace = req->workspace == NULL ? NULL : req->workspace->name,
	    .drop_api_key = req->catalog->workspaces->len > 0,
	    .remaining_ms = proxy_remaining_ms(req),
	    .priority = req->service != NULL && req->service->is_engine
			    ? engine_priority(req)
			    : -1,
	    .last_event_id =
		req->stream_started ? event_stream_last_id(req->events) : NULL,
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
assign_server(proxy_request_t *req, const pick_choice_t *choice)
{
	server_load_t *load = &choice->server->local_load;

	req->server = server_ref(choice->server);
	req->uncached_tokens = choice->uncached_tokens;
	req->prefill_tokens = choice->prefill_tokens;
	req->expected_ttft_ms = choice->expected_ms;
	req->unloaded_ttft_ms = choice->unloaded_ms;
	req->awaiting_response = true;
	req->attempt_start_ms = clock_boot_ms();
	req->first_byte_ms = 0;
	req->survival_recorded = false;
	load->in_flight++;
	load->urgent_in_flight += req->urgent;
	load->kv_tokens += pick_request_tokens(&req->facts);
	load->prefill_tokens += choice->uncached_tokens;
	if (req->urgent)
		load->urgent_prefill_tokens += choice->uncached_tokens;
	g_ptr_array_add(req->tried, choice->server);
}

void
proxy_send(proxy_request_t *req, const pick_choice_t *choice)
{
	const GByteArray *body = exchange_request_body(req->exchange);
	const http1_head_t *head = exchange_request_head(req->exchange);
	GString *head_text;
	upstream_request_t request = {
	    .attempt_id = req->facts.attempt_id,
	    .body = (const char *)body->data,
	    .body_length = body->len,
	    .is_head_request = strcmp(head->method, "HEAD") == 0,
	    .reuse_idle_max_ms = catalog_may_retry(req->route)
				     ? ANY_CONNECTION_MS
				     : FRESH_CONNECTION_MS,
	    .on_head = proxy_on_head,
	    .on_body = proxy_on_body,
	    .on_end = proxy_on_end,
	    .data = req,
	};

	assign_server(req, choice);
	if (choice->server->leaving_since_ms != 0)
		proxy_log_leaving_attempt(req->context->counters,
		    req->facts.attempt_id, choice->server,
		    req->attempt_start_ms);
	head_text = build_request_head(req, choice->server);
	request.head = head_text->str;
	request.head_length = head_text->len;
	req->response = (response_facts_t){0};
	req->status = 0;
	req->has_framing = false;
	req->call = upstream_call_start(
	    choice->server->upstream, node_connections_max(req), &request);
	g_string_free(head_text, TRUE);
	if (req->call == NULL) {
		proxy_handle_not_sent(req, SERVER_FULL, "no_connection");
		return;
	}
	rollouts_count_request(req->context->rollouts, req->service_name,
	    req->trial.revision, req->trial.to_new_version);
	prefix_cache_record(req->context->prefixes, choice->server->tag,
	    &req->facts, req->attempt_start_ms);
	proxy_start_idle_timer(req, req->route->objective_ms);
}

static pick_choice_t
pick_among(proxy_request_t *req, const GPtrArray *servers)
{
	proxy_context_t *context = req->context;
	pick_query_t query = {
	    .facts = &req->facts,
	    .service = req->service,
	    .servers = servers,
	    .tried = req->tried,
	    .prefixes = context->prefixes,
	    .ttft_model = proxy_ttft_model(req),
	    .urgent = req->urgent,
	    .zone = context->zone,
	    .now_ms = clock_boot_ms(),
	    .report_age_ms = cluster_mean_report_age_ms(context->cluster),
	    .random = g_random_int(),
	};

	return pick_server(&query);
}

/* Chooses a version by the service's rollout, and one of its servers. */
static pick_choice_t
pick_version(proxy_request_t *req)
{
	bool is_first_attempt = req->tried->len == 0 && !req->may_have_run;
	rollouts_candidates_t route = rollouts_select(req->context->rollouts,
	    req->service_name, is_first_attempt, g_random_double());
	pick_choice_t choice = pick_among(req, route.servers);

	req->trial = route.assignment;
	if (choice.server == NULL && route.fallback_servers != NULL) {
		choice = pick_among(req, route.fallback_servers);
		/*
		 * The version was not assigned at random: the attempt is
		 * counted, but with share 0 it is no evidence.
		 */
		req->trial.to_new_version = false;
		req->trial.new_version_share = 0;
	}
	rollouts_candidates_clear(&route);
	return choice;
}

pick_choice_t
proxy_pick_migration_target(proxy_request_t *req)
{
	GPtrArray *same_version = pool_filter_version(
	    pool_servers(req->context->pool, req->service_name),
	    req->server->info->version, true);
	pick_choice_t choice = pick_among(req, same_version);

	g_ptr_array_unref(same_version);
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

int64_t
proxy_no_server_retry_ms(const proxy_request_t *req)
{
	const GPtrArray *servers =
	    pool_servers(req->context->pool, req->service_name);

	return MAX(
	    pool_pause_ms(servers, clock_boot_ms()), PROXY_RETRY_AFTER_MS);
}

/* False where the request gives way to urgent ones, see overload.h. */
static bool
is_admitted(const proxy_request_t *req)
{
	const catalog_workspace_t *workspace = req->workspace;
	double weight = workspace != NULL && workspace->rate_per_s > 0
			    ? workspace->rate_per_s
			    : 1;

	return req->urgent || req->may_have_run || req->tried->len > 0 ||
	       overload_admit(req->context->overload, req->service_name,
		   workspace == NULL ? "" : workspace->name, weight,
		   g_random_double(), clock_boot_ms());
}

void
proxy_attempt(proxy_request_t *req)
{
	int64_t blocked_ms = crash_guard_blocked_ms(req->context->crash_guard,
	    &req->facts, cluster_wall_ms(req->context->cluster));
	pick_choice_t choice;

	if (blocked_ms > 0) {
		proxy_reject(req, blocked_ms, "blocked_segment");
		return;
	}
	if (!is_admitted(req)) {
		proxy_reject(req, overload_retry_after_ms(g_random_double()),
		    "less_urgent");
		return;
	}
	choice = pick_version(req);
	if (choice.server == NULL)
		proxy_reject(req, proxy_no_server_retry_ms(req), "no_server");
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
