#include "proxy_state.h"

#include "clock.h"
#include "platform_request.h"
#include "proxy_log.h"

enum {
	DEADLINE_DEFAULT_MS = 30000,
	RETRY_AFTER_MAX_MS = 5000,
	MS_PER_S = 1000,
};

static void
proxy_unref(proxy_request_t *flow)
{
	if (--flow->refs > 0)
		return;
	exchange_unref(flow->exchange);
	catalog_unref(flow->catalog);
	g_byte_array_unref(flow->buffered);
	g_ptr_array_unref(flow->tried);
	event_stream_free(flow->events);
	g_free(flow);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	proxy_unref(handle->data);
}

/* The prompt is no longer among those that its server has to read. */
void
proxy_remove_waiting_prompt(proxy_request_t *flow)
{
	server_load_t *load = &flow->server->own;

	if (!flow->awaiting_response)
		return;
	flow->awaiting_response = false;
	load->waiting_tokens -= flow->uncached_tokens;
	if (flow->urgent)
		load->urgent_tokens -= flow->uncached_tokens;
}

/* Takes the attempt in progress off its server's load. */
void
proxy_release_server(proxy_request_t *flow)
{
	server_load_t *load;

	if (flow->server == NULL)
		return;
	load = &flow->server->own;
	load->in_flight--;
	load->held_tokens -= pick_request_tokens(&flow->facts);
	proxy_remove_waiting_prompt(flow);
	server_unref(flow->server);
	flow->server = NULL;
}

/* The request has its final outcome; nothing more happens. */
void
proxy_finish(proxy_request_t *flow)
{
	if (flow->finished)
		return;
	flow->finished = true;
	if (flow->call != NULL)
		upstream_call_cancel(flow->call);
	flow->call = NULL;
	proxy_migration_clear(flow);
	proxy_release_server(flow);
	TAILQ_REMOVE(&flow->context->requests, flow, entries);
	exchange_set_callbacks(flow->exchange, NULL, NULL, NULL);
	uv_close((uv_handle_t *)&flow->deadline_timer, on_timer_closed);
	uv_close((uv_handle_t *)&flow->idle_timer, on_timer_closed);
	proxy_unref(flow);
}

static double
request_units(const proxy_request_t *flow)
{
	if (!flow->workspace->counts_tokens)
		return 1;
	return flow->facts.has_tokens ? pick_request_tokens(&flow->facts)
				      : flow->workspace->plain_tokens;
}

void
proxy_log_end(proxy_request_t *flow, unsigned status, const char *cause)
{
	proxy_outcome_t outcome = {
	    .attempt_id = flow->facts.attempt_id,
	    .route = flow->route == NULL ? "" : flow->route->name,
	    .workspace = flow->workspace == NULL ? "" : flow->workspace->name,
	    .service = flow->service_name == NULL ? "" : flow->service_name,
	    .server = flow->server == NULL ? "" : flow->server->info->id,
	    .status = status,
	    .cause = cause,
	    .retry_after_ms = flow->retry_after_ms,
	    .units = flow->workspace == NULL ? 0 : request_units(flow),
	    .quota_available = flow->quota_available,
	    .attempts = flow->tried->len,
	    .may_have_run = flow->may_have_run,
	    .elapsed_ms = clock_boot_ms() - flow->received_ms,
	    .ttft_ms = flow->ttft_ms,
	    .expected_ttft_ms = flow->expected_ttft_ms,
	    .prefill_tokens = flow->prefill_tokens,
	    .catalog_version =
		flow->catalog == NULL ? 0 : flow->catalog->version,
	    .catalog_valid_ms =
		flow->context->catalog_valid_until_ms - clock_boot_ms(),
	};

	proxy_log_outcome(flow->context->counters, &outcome);
}

/* Ends the request with a response of this system's own. */
void
proxy_respond(proxy_request_t *flow, unsigned status, int64_t retry_after_ms,
    const char *cause)
{
	char extra[64] = "";

	flow->retry_after_ms = retry_after_ms;
	proxy_log_end(flow, status, cause);
	if (flow->response_started) {
		exchange_abort(flow->exchange);
		proxy_finish(flow);
		return;
	}
	/* What was not run costs the workspace nothing. */
	if (!flow->may_have_run && flow->quota_units > 0)
		quota_refund(flow->context->quota, flow->workspace->name,
		    flow->quota_units, clock_boot_ms());
	if (retry_after_ms >= 0)
		g_snprintf(extra, sizeof(extra), "Retry-After: %.3f\r\n",
		    (double)MIN(retry_after_ms, RETRY_AFTER_MAX_MS) / MS_PER_S);
	if (flow->call != NULL)
		upstream_call_cancel(flow->call);
	flow->call = NULL;
	exchange_set_callbacks(flow->exchange, NULL, NULL, NULL);
	exchange_reply(flow->exchange, status, extra, "", 0);
	proxy_finish(flow);
}

/* Refuses a request that no server has run or will run. */
void
proxy_reject(proxy_request_t *flow, int64_t retry_after_ms, const char *cause)
{
	if (flow->may_have_run)
		proxy_respond(flow, 502, -1, cause);
	else
		proxy_respond(flow, 503, retry_after_ms, cause);
}

int64_t
proxy_remaining_ms(const proxy_request_t *flow)
{
	return flow->deadline_ms - clock_boot_ms();
}

/* True where the request may go to a further server. */
bool
proxy_take_retry(proxy_request_t *flow)
{
	bool allowed;

	if (flow->tried->len >= flow->route->max_attempts ||
	    proxy_remaining_ms(flow) <= PROXY_ATTEMPT_MIN_MS)
		return false;
	allowed = retry_budget_take(flow->context->budget, flow->service_name,
	    cluster_nodes(flow->context->cluster), clock_boot_ms());
	counter_add(flow->context->counters, 1,
	    "retries_total{service=\"%s\",allowed=\"%d\"}", flow->service_name,
	    allowed);
	return allowed;
}

static void
on_client_closed(void *data)
{
	proxy_request_t *flow = data;

	proxy_log_end(flow, 0, "client_left");
	proxy_finish(flow);
}

static void
on_client_drained(void *data)
{
	proxy_request_t *flow = data;

	if (flow->call != NULL)
		upstream_call_set_reading(flow->call, true);
}

static void
on_deadline(uv_timer_t *timer)
{
	proxy_request_t *flow = timer->data;

	if (flow->server != NULL && flow->awaiting_response)
		proxy_record_rollout_attempt(flow, false, 0);
	if (flow->may_have_run || flow->tried->len > 0)
		proxy_respond(flow, 504, -1, "deadline");
	else
		proxy_respond(flow, 503, 0, "deadline_not_run");
}

static bool
authenticate(proxy_request_t *flow)
{
	if (flow->catalog->workspaces->len == 0 || flow->route->is_public)
		return true;
	if (flow->facts.api_key == NULL)
		return false;
	flow->workspace =
	    catalog_find_workspace(flow->catalog, flow->facts.api_key);
	return flow->workspace != NULL;
}

/* False where the workspace is over its limit; the request is answered. */
static bool
take_quota(proxy_request_t *flow)
{
	quota_decision_t verdict;
	double units;

	if (flow->workspace == NULL)
		return true;
	units = request_units(flow);
	verdict = quota_take(flow->context->quota, flow->workspace->name, units,
	    flow->workspace->counts_tokens && !flow->facts.has_tokens,
	    clock_boot_ms());
	flow->quota_available = verdict.available_units;
	if (verdict.allowed) {
		flow->quota_units = units;
		return true;
	}
	counter_add(flow->context->counters, 1,
	    "quota_refused_total{workspace=\"%s\"}", flow->workspace->name);
	proxy_respond(flow, 429, verdict.retry_after_ms, "over_quota");
	return false;
}

static void
set_deadline(proxy_request_t *flow)
{
	int64_t limit_ms = flow->facts.timeout_ms >= 0 ? flow->facts.timeout_ms
						       : DEADLINE_DEFAULT_MS;

	if (flow->route->timeout_ms > 0)
		limit_ms = MIN(limit_ms, flow->route->timeout_ms);
	flow->deadline_ms = flow->received_ms + limit_ms;
	uv_timer_start(&flow->deadline_timer, on_deadline,
	    (uint64_t)MAX(proxy_remaining_ms(flow), 0), 0);
}

static proxy_request_t *
proxy_request_new(proxy_context_t *context, exchange_t *exchange)
{
	proxy_request_t *flow = g_new0(proxy_request_t, 1);

	flow->refs = 3; /* its own and one a timer */
	flow->context = context;
	flow->exchange = exchange;
	flow->received_ms = exchange_received_ms(exchange);
	flow->ttft_ms = -1;
	flow->retry_after_ms = -1;
	flow->buffered = g_byte_array_new();
	flow->tried = g_ptr_array_new();
	if (context->catalog != NULL)
		flow->catalog = catalog_ref(context->catalog);
	platform_read_request(exchange_request_head(exchange), &flow->facts);
	uv_timer_init(context->loop, &flow->deadline_timer);
	uv_timer_init(context->loop, &flow->idle_timer);
	flow->deadline_timer.data = flow;
	flow->idle_timer.data = flow;
	TAILQ_INSERT_TAIL(&context->requests, flow, entries);
	exchange_set_callbacks(
	    exchange, on_client_closed, on_client_drained, flow);
	return flow;
}

/* False where the node must not serve now; the request is answered. */
static bool
check_node(proxy_request_t *flow)
{
	const proxy_context_t *context = flow->context;

	if (context->stopping) {
		proxy_respond(flow, 503, 0, "stopping");
		return false;
	}
	if (flow->catalog == NULL) {
		proxy_respond(
		    flow, 503, PROXY_RETRY_AFTER_MS, "no_configuration");
		return false;
	}
	if (clock_boot_ms() >= context->catalog_valid_until_ms) {
		proxy_respond(flow, 503, 0, "stale_configuration");
		return false;
	}
	return true;
}

static bool
is_stream(const proxy_request_t *flow)
{
	return flow->route->repeat == CATALOG_STREAM;
}

void
proxy_start(proxy_context_t *context, exchange_t *exchange)
{
	proxy_request_t *flow = proxy_request_new(context, exchange);
	const request_facts_t *facts = &flow->facts;

	if (!check_node(flow))
		return;
	if (facts->attempt_id == NULL || facts->host == NULL) {
		proxy_respond(flow, 400, -1, "malformed");
		return;
	}
	flow->route = catalog_find_route(flow->catalog, facts->host,
	    exchange_request_head(exchange)->target);
	if (flow->route == NULL) {
		proxy_respond(flow, 404, -1, "no_route");
		return;
	}
	if (!authenticate(flow)) {
		proxy_respond(flow, 401, -1, "unknown_key");
		return;
	}
	flow->urgent = flow->route->priority == 0;
	set_deadline(flow);
	if (!take_quota(flow))
		return;
	flow->service_name = catalog_pick_service(flow->route, g_random_int());
	if (flow->service_name == NULL) {
		proxy_reject(flow, PROXY_RETRY_AFTER_MS, "no_service");
		return;
	}
	flow->service = catalog_find_service(flow->catalog, flow->service_name);
	if (is_stream(flow))
		flow->events = event_stream_new();
	retry_budget_count_request(
	    context->budget, flow->service_name, clock_boot_ms());
	proxy_attempt(flow);
}
