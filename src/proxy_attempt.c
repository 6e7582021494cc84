#include "proxy_state.h"

#include "clock.h"
#include "platform_request.h"

#include <string.h>

enum {
	/* A kept connection used within this time is not about to be closed. */
	FRESH_CONNECTION_MS = 1000,
	ANY_CONNECTION_MS = INT32_MAX,
	/* Priorities of routes that are told apart within a workspace's. */
	ROUTE_PRIORITIES = 3,
	PRIORITY_LOWEST = 9,
};

/* The workspace's priority goes before the route's. */
static int
engine_priority(const proxy_request_t *flow)
{
	unsigned route_priority =
	    MIN(flow->route->priority, ROUTE_PRIORITIES - 1);
	int workspace_priority =
	    flow->workspace == NULL ? -1 : flow->workspace->priority;

	if (workspace_priority < 0)
		return (int)route_priority;
	return MIN(workspace_priority * ROUTE_PRIORITIES + (int)route_priority,
	    PRIORITY_LOWEST);
}

static GString *
build_request_head(proxy_request_t *flow, const server_t *server)
{
	const GByteArray *body = exchange_request_body(flow->exchange);
	const http1_head_t *head = exchange_request_head(flow->exchange);
	forward_options_t options = {
	    .server_id = server->info->id,
	    .workspace = flow->workspace == NULL ? NULL : flow->workspace->name,
	    .drop_api_key = flow->catalog->workspaces->len > 0,
	    .remaining_ms = proxy_remaining_ms(flow),
	    .priority = flow->service != NULL && flow->service->is_engine
			    ? engine_priority(flow)
			    : -1,
	    .last_event_id = flow->response_started
				 ? event_stream_last_id(flow->events)
				 : NULL,
	    .moved_from = flow->migration.kv_location,
	    .body_length = body->len,
	    .has_body = body->len > 0 || head->has_length,
	};
	GString *out = g_string_sized_new(1024);

	platform_write_request(head, &options, out);
	return out;
}

/* Connections that this node may have to one server. */
static unsigned
node_connections_max(const proxy_request_t *flow)
{
	unsigned nodes = cluster_nodes(flow->context->cluster);

	if (flow->service == NULL || flow->service->max_connections == 0)
		return 0;
	return MAX(flow->service->max_connections / MAX(nodes, 1), 2);
}

static void
assign_server(proxy_request_t *flow, const pick_choice_t *choice)
{
	server_load_t *load = &choice->server->own;

	flow->server = server_ref(choice->server);
	flow->uncached_tokens = choice->uncached_tokens;
	flow->prefill_tokens = choice->prefill_tokens;
	flow->expected_ttft_ms = choice->expected_ms;
	flow->awaiting_response = true;
	flow->attempt_start_ms = clock_boot_ms();
	load->in_flight++;
	load->held_tokens += pick_request_tokens(&flow->facts);
	load->waiting_tokens += choice->uncached_tokens;
	if (flow->urgent)
		load->urgent_tokens += choice->uncached_tokens;
	g_ptr_array_add(flow->tried, choice->server);
}

void
proxy_send(proxy_request_t *flow, const pick_choice_t *choice)
{
	const GByteArray *body = exchange_request_body(flow->exchange);
	const http1_head_t *head = exchange_request_head(flow->exchange);
	GString *head_text;
	upstream_request_t request = {
	    .attempt_id = flow->facts.attempt_id,
	    .body = (const char *)body->data,
	    .body_length = body->len,
	    .is_head_request = strcmp(head->method, "HEAD") == 0,
	    .reuse_idle_max_ms = catalog_may_repeat(flow->route)
				     ? ANY_CONNECTION_MS
				     : FRESH_CONNECTION_MS,
	    .on_head = proxy_on_head,
	    .on_body = proxy_on_body,
	    .on_end = proxy_on_end,
	    .data = flow,
	};

	assign_server(flow, choice);
	head_text = build_request_head(flow, choice->server);
	request.head = head_text->str;
	request.head_length = head_text->len;
	flow->response = (response_facts_t){0};
	flow->status = 0;
	flow->call = upstream_call_start(
	    choice->server->upstream, node_connections_max(flow), &request);
	g_string_free(head_text, TRUE);
	if (flow->call == NULL) {
		proxy_handle_not_sent(flow, SERVER_FULL, "no_connection");
		return;
	}
	rollouts_sent(flow->context->rollouts, flow->service_name,
	    flow->trial.revision, flow->trial.to_new);
	prefix_cache_record(flow->context->prefixes, choice->server->tag,
	    &flow->facts, flow->attempt_start_ms);
	proxy_start_idle_timer(flow, flow->route->objective_ms);
}

static pick_choice_t
pick_among(proxy_request_t *flow, const GPtrArray *servers)
{
	proxy_context_t *context = flow->context;
	pick_query_t query = {
	    .facts = &flow->facts,
	    .service = flow->service,
	    .servers = servers,
	    .tried = flow->tried,
	    .prefixes = context->prefixes,
	    .ttft_model = proxy_ttft_model(flow),
	    .urgent = flow->urgent,
	    .zone = context->zone,
	    .now_ms = clock_boot_ms(),
	    .random = g_random_int(),
	};

	return pick_server(&query);
}

/* Chooses the version and one of its servers. */
static pick_choice_t
pick_version(proxy_request_t *flow)
{
	bool is_first_attempt = flow->tried->len == 0 && !flow->may_have_run;
	rollouts_route_t route = rollouts_choose(flow->context->rollouts,
	    flow->service_name, is_first_attempt, g_random_double());
	pick_choice_t choice = pick_among(flow, route.servers);

	flow->trial = route.trial;
	if (choice.server == NULL && route.others != NULL) {
		choice = pick_among(flow, route.others);
		/* Not chosen at random: it counts, and proves nothing. */
		flow->trial.to_new = false;
		flow->trial.share = 0;
	}
	rollouts_route_clear(&route);
	return choice;
}

pick_choice_t
proxy_pick_migration_target(proxy_request_t *flow)
{
	GPtrArray *same_version = pool_of_version(
	    pool_service(flow->context->pool, flow->service_name),
	    flow->server->info->version, true);
	pick_choice_t choice = pick_among(flow, same_version);

	g_ptr_array_unref(same_version);
	return choice;
}

/* Of engines only: the time of a plain service is not estimated as well. */
static int64_t
ttft_objective_ms(const proxy_request_t *flow)
{
	return flow->service != NULL && flow->service->is_engine
		   ? flow->route->objective_ms
		   : 0;
}

void
proxy_attempt(proxy_request_t *flow)
{
	pick_choice_t choice = pick_version(flow);

	if (choice.server == NULL)
		proxy_reject(flow, PROXY_RETRY_AFTER_MS, "no_server");
	else if (!flow->may_have_run &&
		 pick_should_shed(&choice, ttft_objective_ms(flow),
		     proxy_remaining_ms(flow)))
		proxy_reject(flow,
		    MAX(pick_retry_after_ms(&choice, ttft_objective_ms(flow)),
			PROXY_RETRY_AFTER_MS),
		    "overloaded");
	else
		proxy_send(flow, &choice);
}
