#include "flow_state.h"

#include "clock.h"
#include "platform_request.h"

#include <string.h>

enum {
	/* A kept connection used within this time is not about to be closed. */
	FRESH_CONNECTION_MS = 1000,
	ANY_CONNECTION_MS = INT32_MAX,
	/* Priorities of routes that are told apart within a workspace's. */
	ROUTE_URGENCIES = 3,
	URGENCY_LEAST = 9,
};

/* The workspace's priority goes before the route's. */
static int
urgency(const flow_t *flow)
{
	unsigned route = MIN(flow->route->priority, ROUTE_URGENCIES - 1);
	int workspace =
	    flow->workspace == NULL ? -1 : flow->workspace->priority;

	if (workspace < 0)
		return (int)route;
	return MIN(workspace * ROUTE_URGENCIES + (int)route, URGENCY_LEAST);
}

static GString *
request_head(flow_t *flow, const server_t *server)
{
	const GByteArray *body = exchange_request_body(flow->exchange);
	const http1_head_t *head = exchange_request_head(flow->exchange);
	forward_options_t options = {
	    .server_id = server->info->id,
	    .workspace = flow->workspace == NULL ? NULL : flow->workspace->name,
	    .drop_api_key = flow->catalog->workspaces->len > 0,
	    .remaining_ms = flow_left_ms(flow),
	    .priority = flow->service != NULL && flow->service->is_engine
			    ? urgency(flow)
			    : -1,
	    .last_event_id =
		flow->started ? event_stream_last_id(flow->events) : NULL,
	    .moved_from = flow->move.from,
	    .body_length = body->len,
	    .has_body = body->len > 0 || head->has_length,
	};
	GString *out = g_string_sized_new(1024);

	platform_write_request(head, &options, out);
	return out;
}

/* Connections that this node may have to one server. */
static unsigned
connections_max(const flow_t *flow)
{
	unsigned nodes = cluster_nodes(flow->context->cluster);

	if (flow->service == NULL || flow->service->max_connections == 0)
		return 0;
	return MAX(flow->service->max_connections / MAX(nodes, 1), 2);
}

static void
enter_server(flow_t *flow, const pick_choice_t *choice)
{
	server_load_t *load = &choice->server->own;

	flow->server = server_ref(choice->server);
	flow->new_tokens = choice->uncached_tokens;
	flow->ahead_tokens = choice->prefill_tokens;
	flow->expected_ms = choice->expected_ms;
	flow->waiting = true;
	flow->attempt_ms = clock_boot_ms();
	load->in_flight++;
	load->held_tokens += pick_request_tokens(&flow->facts);
	load->waiting_tokens += choice->uncached_tokens;
	if (flow->urgent)
		load->urgent_tokens += choice->uncached_tokens;
	g_ptr_array_add(flow->tried, choice->server);
}

void
flow_send(flow_t *flow, const pick_choice_t *choice)
{
	const GByteArray *body = exchange_request_body(flow->exchange);
	const http1_head_t *head = exchange_request_head(flow->exchange);
	GString *text;
	upstream_request_t request = {
	    .attempt_id = flow->facts.attempt_id,
	    .body = (const char *)body->data,
	    .body_length = body->len,
	    .is_head_request = strcmp(head->method, "HEAD") == 0,
	    .reuse_idle_max_ms = catalog_may_repeat(flow->route)
				     ? ANY_CONNECTION_MS
				     : FRESH_CONNECTION_MS,
	    .on_head = flow_on_head,
	    .on_body = flow_on_body,
	    .on_end = flow_on_end,
	    .data = flow,
	};

	enter_server(flow, choice);
	text = request_head(flow, choice->server);
	request.head = text->str;
	request.head_length = text->len;
	flow->response = (response_facts_t){0};
	flow->status = 0;
	flow->call = upstream_call_start(
	    choice->server->upstream, connections_max(flow), &request);
	g_string_free(text, TRUE);
	if (flow->call == NULL) {
		flow_not_sent(flow, SERVER_FULL, "no_connection");
		return;
	}
	rollouts_sent(flow->context->rollouts, flow->service_name,
	    flow->trial.revision, flow->trial.to_new);
	prefix_cache_record(flow->context->prefixes, choice->server->tag,
	    &flow->facts, flow->attempt_ms);
	flow_watch_silence(flow, flow->route->objective_ms);
}

static pick_choice_t
pick_among(flow_t *flow, const GPtrArray *servers)
{
	flow_context_t *context = flow->context;
	pick_query_t query = {
	    .facts = &flow->facts,
	    .service = flow->service,
	    .servers = servers,
	    .tried = flow->tried,
	    .prefixes = context->prefixes,
	    .ttft_model = flow_pace(flow),
	    .urgent = flow->urgent,
	    .zone = context->zone,
	    .now_ms = clock_boot_ms(),
	    .random = g_random_int(),
	};

	return pick_server(&query);
}

/* Chooses the version and one of its servers. */
static pick_choice_t
pick_version(flow_t *flow)
{
	bool first = flow->tried->len == 0 && !flow->ran;
	rollouts_route_t route = rollouts_choose(flow->context->rollouts,
	    flow->service_name, first, g_random_double());
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
flow_pick_target(flow_t *flow)
{
	GPtrArray *same = pool_of_version(
	    pool_service(flow->context->pool, flow->service_name),
	    flow->server->info->version, true);
	pick_choice_t choice = pick_among(flow, same);

	g_ptr_array_unref(same);
	return choice;
}

/* Of engines only: the time of a plain service is not estimated as well. */
static int64_t
objective_ms(const flow_t *flow)
{
	return flow->service != NULL && flow->service->is_engine
		   ? flow->route->objective_ms
		   : 0;
}

void
flow_attempt(flow_t *flow)
{
	pick_choice_t choice = pick_version(flow);

	if (choice.server == NULL)
		flow_refuse(flow, FLOW_RETRY_AFTER_MS, "no_server");
	else if (!flow->ran && pick_should_shed(&choice, objective_ms(flow),
				   flow_left_ms(flow)))
		flow_refuse(flow,
		    MAX(pick_retry_after_ms(&choice, objective_ms(flow)),
			FLOW_RETRY_AFTER_MS),
		    "overloaded");
	else
		flow_send(flow, &choice);
}
