#include "flow_state.h"

#include "clock.h"
#include "flow_log.h"
#include "platform_request.h"

enum {
	DEADLINE_DEFAULT_MS = 30000,
	RETRY_AFTER_MAX_MS = 5000,
	MS_PER_S = 1000,
};

static void
flow_unref(flow_t *flow)
{
	if (--flow->refs > 0)
		return;
	exchange_unref(flow->exchange);
	catalog_unref(flow->catalog);
	g_byte_array_unref(flow->held);
	g_ptr_array_unref(flow->tried);
	event_stream_free(flow->events);
	g_free(flow);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	flow_unref(handle->data);
}

/* The prompt is no longer among those that its server has to read. */
void
flow_stop_waiting(flow_t *flow)
{
	server_load_t *load = &flow->server->own;

	if (!flow->waiting)
		return;
	flow->waiting = false;
	load->waiting_tokens -= flow->new_tokens;
	if (flow->urgent)
		load->urgent_tokens -= flow->new_tokens;
}

/* Takes the attempt in progress off its server's load. */
void
flow_leave_server(flow_t *flow)
{
	server_load_t *load;

	if (flow->server == NULL)
		return;
	load = &flow->server->own;
	load->in_flight--;
	load->held_tokens -= pick_request_tokens(&flow->facts);
	flow_stop_waiting(flow);
	server_unref(flow->server);
	flow->server = NULL;
}

/* The request has its final outcome; nothing more happens. */
void
flow_finish(flow_t *flow)
{
	if (flow->done)
		return;
	flow->done = true;
	if (flow->call != NULL)
		upstream_call_cancel(flow->call);
	flow->call = NULL;
	flow_move_clear(flow);
	flow_leave_server(flow);
	TAILQ_REMOVE(&flow->context->flows, flow, entries);
	exchange_set_callbacks(flow->exchange, NULL, NULL, NULL);
	uv_close((uv_handle_t *)&flow->deadline_timer, on_timer_closed);
	uv_close((uv_handle_t *)&flow->silence_timer, on_timer_closed);
	flow_unref(flow);
}

static double
request_units(const flow_t *flow)
{
	if (!flow->workspace->counts_tokens)
		return 1;
	return flow->facts.has_tokens ? pick_request_tokens(&flow->facts)
				      : flow->workspace->plain_tokens;
}

void
flow_log_end(flow_t *flow, unsigned status, const char *cause)
{
	flow_log_t line = {
	    .attempt_id = flow->facts.attempt_id,
	    .route = flow->route == NULL ? "" : flow->route->name,
	    .workspace = flow->workspace == NULL ? "" : flow->workspace->name,
	    .service = flow->service_name == NULL ? "" : flow->service_name,
	    .server = flow->server == NULL ? "" : flow->server->info->id,
	    .status = status,
	    .cause = cause,
	    .retry_after_ms = flow->retry_after_ms,
	    .units = flow->workspace == NULL ? 0 : request_units(flow),
	    .quota_left = flow->quota_left,
	    .attempts = flow->tried->len,
	    .ran = flow->ran,
	    .elapsed_ms = clock_boot_ms() - flow->received_ms,
	    .first_ms = flow->first_ms,
	    .expected_ms = flow->expected_ms,
	    .ahead_tokens = flow->ahead_tokens,
	    .configuration = flow->catalog == NULL ? 0 : flow->catalog->version,
	    .proof_age_ms = flow->context->usable_until_ms - clock_boot_ms(),
	};

	flow_log_outcome(flow->context->counters, &line);
}

/* Ends the request with a response of this system's own. */
void
flow_answer(
    flow_t *flow, unsigned status, int64_t retry_after_ms, const char *cause)
{
	char extra[64] = "";

	flow->retry_after_ms = retry_after_ms;
	flow_log_end(flow, status, cause);
	if (flow->started) {
		exchange_abort(flow->exchange);
		flow_finish(flow);
		return;
	}
	/* What was not run costs the workspace nothing. */
	if (!flow->ran && flow->units > 0)
		quota_refund(flow->context->quota, flow->workspace->name,
		    flow->units, clock_boot_ms());
	if (retry_after_ms >= 0)
		g_snprintf(extra, sizeof(extra), "Retry-After: %.3f\r\n",
		    (double)MIN(retry_after_ms, RETRY_AFTER_MAX_MS) / MS_PER_S);
	if (flow->call != NULL)
		upstream_call_cancel(flow->call);
	flow->call = NULL;
	exchange_set_callbacks(flow->exchange, NULL, NULL, NULL);
	exchange_reply(flow->exchange, status, extra, "", 0);
	flow_finish(flow);
}

/* Refuses a request that no server has run or will run. */
void
flow_refuse(flow_t *flow, int64_t retry_after_ms, const char *cause)
{
	if (flow->ran)
		flow_answer(flow, 502, -1, cause);
	else
		flow_answer(flow, 503, retry_after_ms, cause);
}

int64_t
flow_left_ms(const flow_t *flow)
{
	return flow->deadline_ms - clock_boot_ms();
}

/* True where the request may go to a further server. */
bool
flow_may_go_on(flow_t *flow)
{
	bool taken;

	if (flow->tried->len >= flow->route->max_attempts ||
	    flow_left_ms(flow) <= FLOW_ATTEMPT_MIN_MS)
		return false;
	taken = retry_budget_take(flow->context->budget, flow->service_name,
	    cluster_nodes(flow->context->cluster), clock_boot_ms());
	counter_add(flow->context->counters, 1,
	    "retries_total{service=\"%s\",allowed=\"%d\"}", flow->service_name,
	    taken);
	return taken;
}

static void
on_gone(void *data)
{
	flow_t *flow = data;

	flow_log_end(flow, 0, "client_left");
	flow_finish(flow);
}

static void
on_drain(void *data)
{
	flow_t *flow = data;

	if (flow->call != NULL)
		upstream_call_set_reading(flow->call, true);
}

static void
on_deadline(uv_timer_t *timer)
{
	flow_t *flow = timer->data;

	if (flow->server != NULL && flow->waiting)
		flow_observe_version(flow, false, 0);
	if (flow->ran || flow->tried->len > 0)
		flow_answer(flow, 504, -1, "deadline");
	else
		flow_answer(flow, 503, 0, "deadline_not_run");
}

static bool
authorise(flow_t *flow)
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
take_quota(flow_t *flow)
{
	quota_decision_t verdict;
	double units;

	if (flow->workspace == NULL)
		return true;
	units = request_units(flow);
	verdict = quota_take(flow->context->quota, flow->workspace->name, units,
	    flow->workspace->counts_tokens && !flow->facts.has_tokens,
	    clock_boot_ms());
	flow->quota_left = verdict.available_units;
	if (verdict.allowed) {
		flow->units = units;
		return true;
	}
	counter_add(flow->context->counters, 1,
	    "quota_refused_total{workspace=\"%s\"}", flow->workspace->name);
	flow_answer(flow, 429, verdict.retry_after_ms, "over_quota");
	return false;
}

static void
set_deadline(flow_t *flow)
{
	int64_t limit_ms = flow->facts.timeout_ms >= 0 ? flow->facts.timeout_ms
						       : DEADLINE_DEFAULT_MS;

	if (flow->route->timeout_ms > 0)
		limit_ms = MIN(limit_ms, flow->route->timeout_ms);
	flow->deadline_ms = flow->received_ms + limit_ms;
	uv_timer_start(&flow->deadline_timer, on_deadline,
	    (uint64_t)MAX(flow_left_ms(flow), 0), 0);
}

static flow_t *
flow_new(flow_context_t *context, exchange_t *exchange)
{
	flow_t *flow = g_new0(flow_t, 1);

	flow->refs = 3; /* its own and one a timer */
	flow->context = context;
	flow->exchange = exchange;
	flow->received_ms = exchange_received_ms(exchange);
	flow->first_ms = -1;
	flow->retry_after_ms = -1;
	flow->held = g_byte_array_new();
	flow->tried = g_ptr_array_new();
	if (context->catalog != NULL)
		flow->catalog = catalog_ref(context->catalog);
	platform_read_request(exchange_request_head(exchange), &flow->facts);
	uv_timer_init(context->loop, &flow->deadline_timer);
	uv_timer_init(context->loop, &flow->silence_timer);
	flow->deadline_timer.data = flow;
	flow->silence_timer.data = flow;
	TAILQ_INSERT_TAIL(&context->flows, flow, entries);
	exchange_set_callbacks(exchange, on_gone, on_drain, flow);
	return flow;
}

/* False where the node must not serve now; the request is answered. */
static bool
check_node(flow_t *flow)
{
	const flow_context_t *context = flow->context;

	if (context->refusing) {
		flow_answer(flow, 503, 0, "stopping");
		return false;
	}
	if (flow->catalog == NULL) {
		flow_answer(flow, 503, FLOW_RETRY_AFTER_MS, "no_configuration");
		return false;
	}
	if (clock_boot_ms() >= context->usable_until_ms) {
		flow_answer(flow, 503, 0, "stale_configuration");
		return false;
	}
	return true;
}

static bool
is_stream(const flow_t *flow)
{
	return flow->route->repeat == CATALOG_STREAM;
}

void
flow_start(flow_context_t *context, exchange_t *exchange)
{
	flow_t *flow = flow_new(context, exchange);
	const request_facts_t *facts = &flow->facts;

	if (!check_node(flow))
		return;
	if (facts->attempt_id == NULL || facts->host == NULL) {
		flow_answer(flow, 400, -1, "malformed");
		return;
	}
	flow->route = catalog_find_route(flow->catalog, facts->host,
	    exchange_request_head(exchange)->target);
	if (flow->route == NULL) {
		flow_answer(flow, 404, -1, "no_route");
		return;
	}
	if (!authorise(flow)) {
		flow_answer(flow, 401, -1, "unknown_key");
		return;
	}
	flow->urgent = flow->route->priority == 0;
	set_deadline(flow);
	if (!take_quota(flow))
		return;
	flow->service_name = catalog_pick_service(flow->route, g_random_int());
	if (flow->service_name == NULL) {
		flow_refuse(flow, FLOW_RETRY_AFTER_MS, "no_service");
		return;
	}
	flow->service = catalog_find_service(flow->catalog, flow->service_name);
	if (is_stream(flow))
		flow->events = event_stream_new();
	retry_budget_count_request(
	    context->budget, flow->service_name, clock_boot_ms());
	flow_attempt(flow);
}
