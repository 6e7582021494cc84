#include "proxy_state.h"

#include "clock.h"
#include "platform_request.h"
#include "proxy_log.h"

enum {
	DEADLINE_DEFAULT_MS = 30000,
	RETRY_AFTER_MAX_MS = 5000,
	/* The loop reads what has come by the deadline within this time. */
	DEADLINE_READ_MS = 1,
	MS_PER_S = 1000,
};

static void
proxy_unref(proxy_request_t *req)
{
	if (--req->refs > 0)
		return;
	exchange_unref(req->exchange);
	catalog_unref(req->catalog);
	proxy_attempt_clear(req->attempt);
	proxy_attempt_clear(req->other_attempt);
	g_ptr_array_unref(req->tried);
	g_free(req);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	proxy_unref(handle->data);
}

void
proxy_remove_waiting_prompt(proxy_attempt_t *attempt)
{
	server_load_t *load = &attempt->server->local_load;

	if (!attempt->awaiting_response)
		return;
	attempt->awaiting_response = false;
	load->prefill_tokens -= attempt->uncached_tokens;
	if (attempt->request->urgent)
		load->urgent_prefill_tokens -= attempt->uncached_tokens;
	if (attempt->late_since_ms != 0)
		attempt->server->late_attempts--;
}

void
proxy_release_server(proxy_attempt_t *attempt)
{
	server_load_t *load;

	if (attempt->server == NULL)
		return;
	load = &attempt->server->local_load;
	load->in_flight--;
	load->kv_tokens -= pick_request_tokens(&attempt->request->facts);
	proxy_remove_waiting_prompt(attempt);
	server_unref(attempt->server);
	attempt->server = NULL;
}

void
proxy_cancel_call(proxy_attempt_t *attempt)
{
	if (attempt->call != NULL)
		upstream_call_cancel(attempt->call);
	attempt->call = NULL;
}

void
proxy_attempt_clear(proxy_attempt_t *attempt)
{
	proxy_cancel_call(attempt);
	proxy_release_server(attempt);
	g_clear_pointer(&attempt->buffered, g_byte_array_unref);
	g_clear_pointer(&attempt->events, event_stream_free);
}

void
proxy_finish(proxy_request_t *req)
{
	if (req->finished)
		return;
	req->finished = true;
	proxy_end_race(req);
	proxy_cancel_call(req->attempt);
	proxy_cancel_call(req->other_attempt);
	proxy_migration_clear(req);
	proxy_release_server(req->attempt);
	proxy_release_server(req->other_attempt);
	TAILQ_REMOVE(&req->context->requests, req, entries);
	exchange_set_callbacks(req->exchange, NULL, NULL, NULL);
	uv_close((uv_handle_t *)&req->deadline_timer, on_timer_closed);
	uv_close((uv_handle_t *)&req->idle_timer, on_timer_closed);
	uv_close((uv_handle_t *)&req->hedge_timer, on_timer_closed);
	proxy_unref(req);
}

static double
request_units(const proxy_request_t *req)
{
	if (!req->workspace->counts_tokens)
		return 1;
	return req->facts.has_tokens ? pick_request_tokens(&req->facts)
				     : req->workspace->default_tokens;
}

void
proxy_log_end(proxy_request_t *req, unsigned status, const char *cause)
{
	const proxy_attempt_t *attempt = req->attempt;
	proxy_outcome_t outcome = {
	    .attempt_id = req->facts.attempt_id,
	    .route = req->route == NULL ? "" : req->route->name,
	    .workspace = req->workspace == NULL ? "" : req->workspace->name,
	    .service = req->service_name == NULL ? "" : req->service_name,
	    .server = attempt->server == NULL ? "" : attempt->server->info->id,
	    .status = status,
	    .cause = cause,
	    .cut = req->cut,
	    .retry_after_ms = req->retry_after_ms,
	    .units = req->workspace == NULL ? 0 : request_units(req),
	    .quota_available = req->quota_available,
	    .attempts = req->tried->len,
	    .may_have_run = req->may_have_run,
	    .elapsed_ms = clock_boot_ms() - req->received_ms,
	    .ttft_ms = req->ttft_ms,
	    .expected_ttft_ms = attempt->expected_ttft_ms,
	    .prefill_tokens = attempt->prefill_tokens,
	    .catalog_version = req->catalog == NULL ? 0 : req->catalog->version,
	    .catalog_valid_ms =
		req->context->catalog_valid_until_ms - clock_boot_ms(),
	};

	proxy_log_outcome(req->context->counters, &outcome);
}

void
proxy_respond(proxy_request_t *req, unsigned status, int64_t retry_after_ms,
    const char *cause)
{
	char extra[64] = "";

	req->retry_after_ms = retry_after_ms;
	req->cut = req->response_started;
	proxy_log_end(req, status, cause);
	if (req->response_started) {
		exchange_abort(req->exchange);
		proxy_finish(req);
		return;
	}
	/* A request that no server ran is not charged to the workspace. */
	if (!req->may_have_run && req->quota_units > 0)
		quota_refund(req->context->quota, req->workspace->name,
		    req->quota_units, clock_boot_ms());
	if (retry_after_ms >= 0)
		g_snprintf(extra, sizeof(extra), "Retry-After: %.3f\r\n",
		    (double)MIN(retry_after_ms, RETRY_AFTER_MAX_MS) / MS_PER_S);
	proxy_cancel_call(req->attempt);
	exchange_set_callbacks(req->exchange, NULL, NULL, NULL);
	exchange_reply(req->exchange, status, extra, "", 0);
	proxy_finish(req);
}

void
proxy_reject(proxy_request_t *req, int64_t retry_after_ms, const char *cause)
{
	if (req->may_have_run)
		proxy_respond(req, 502, -1, cause);
	else
		proxy_respond(req, 503, retry_after_ms, cause);
}

int64_t
proxy_remaining_ms(const proxy_request_t *req)
{
	return req->deadline_ms - clock_boot_ms();
}

bool
proxy_take_retry(proxy_request_t *req)
{
	bool allowed;

	if (req->tried->len >= req->route->max_attempts ||
	    proxy_remaining_ms(req) <= PROXY_ATTEMPT_MIN_MS)
		return false;
	allowed = retry_budget_take(req->context->budget, req->service_name,
	    cluster_share_count(req->context->cluster), clock_boot_ms());
	counter_add(req->context->counters, 1,
	    "retries_total{service=\"%s\",allowed=\"%d\"}", req->service_name,
	    allowed);
	return allowed;
}

bool
proxy_may_run_anew(const proxy_request_t *req)
{
	return !req->stream_started || catalog_may_retry(req->route);
}

static void
on_client_closed(void *data)
{
	proxy_request_t *req = data;

	req->cut = req->response_started;
	proxy_log_end(req, 0, "client_left");
	proxy_finish(req);
}

static void
on_client_drained(void *data)
{
	proxy_request_t *req = data;

	if (req->attempt->call != NULL)
		upstream_call_set_reading(req->attempt->call, true);
}

/* Ends a request that no longer waits for its server. */
static void
give_up(proxy_request_t *req, const char *cause, const char *cause_not_run)
{
	/* A server may be at work on it, so that it stays charged. */
	if (req->attempt->call != NULL || req->other_attempt->call != NULL)
		req->may_have_run = true;
	if (req->may_have_run || req->tried->len > 0)
		proxy_respond(req, 504, -1, cause);
	else
		proxy_respond(req, 503, 0, cause_not_run);
}

bool
proxy_has_unread(const proxy_attempt_t *attempt)
{
	return attempt->call != NULL && upstream_call_has_unread(attempt->call);
}

/*
 * True where the loop may read an answer that has come by the end of the time
 * for it, after a pause: once for each request.
 */
static bool
may_be_answered(proxy_request_t *req)
{
	if (req->deadline_passed || (!proxy_has_unread(req->attempt) &&
					!proxy_has_unread(req->other_attempt)))
		return false;
	req->deadline_passed = true;
	return true;
}

static void
on_deadline(uv_timer_t *timer)
{
	proxy_request_t *req = timer->data;

	if (may_be_answered(req)) {
		uv_timer_start(timer, on_deadline, DEADLINE_READ_MS, 0);
		return;
	}
	if (req->attempt->server != NULL && req->attempt->awaiting_response)
		proxy_record_rollout_attempt(req->attempt, false, 0);
	give_up(req, "deadline", "deadline_not_run");
}

static void
stop_request(proxy_request_t *req)
{
	req->context->interrupted++;
	give_up(req, "stopped", "stopping");
}

static void
on_stop(uv_timer_t *timer)
{
	stop_request(timer->data);
}

void
proxy_end_all(proxy_context_t *context)
{
	proxy_request_t *req;
	unsigned count = 0;

	TAILQ_FOREACH (req, &context->requests, entries)
		count++;
	while (count-- > 0 && (req = TAILQ_FIRST(&context->requests)) != NULL) {
		if (!may_be_answered(req)) {
			stop_request(req);
			continue;
		}
		TAILQ_REMOVE(&context->requests, req, entries);
		TAILQ_INSERT_TAIL(&context->requests, req, entries);
		uv_timer_start(
		    &req->deadline_timer, on_stop, DEADLINE_READ_MS, 0);
	}
}

/*
 * True for a request whose answer may depend on API keys: not that of a public
 * route, but of one that this node does not know.
 */
static bool
depends_on_keys(const proxy_request_t *req)
{
	return req->catalog->workspaces->len > 0 &&
	       (req->route == NULL || !req->route->is_public);
}

static bool
authenticate(proxy_request_t *req)
{
	if (!depends_on_keys(req))
		return true;
	if (req->facts.api_key == NULL)
		return false;
	req->workspace =
	    catalog_find_workspace(req->catalog, req->facts.api_key);
	return req->workspace != NULL;
}

static quota_class_t
quota_class(const proxy_request_t *req)
{
	if (req->workspace->counts_tokens && !req->facts.has_tokens)
		return QUOTA_OVERDRAFT;
	return req->urgent ? QUOTA_URGENT : QUOTA_DEFERRABLE;
}

/* False where the workspace is over its quota; has responded 429 then. */
static bool
take_quota(proxy_request_t *req)
{
	quota_decision_t verdict;
	double units;

	if (req->workspace == NULL)
		return true;
	units = request_units(req);
	verdict = quota_take(req->context->quota, req->workspace->name, units,
	    quota_class(req), clock_boot_ms());
	req->quota_available = verdict.available_units;
	if (verdict.allowed) {
		req->quota_units = units;
		return true;
	}
	counter_add(req->context->counters, 1,
	    "quota_refused_total{workspace=\"%s\"}", req->workspace->name);
	proxy_respond(req, 429, verdict.retry_after_ms, "over_quota");
	return false;
}

static void
set_deadline(proxy_request_t *req)
{
	int64_t limit_ms = req->facts.timeout_ms >= 0 ? req->facts.timeout_ms
						      : DEADLINE_DEFAULT_MS;

	if (req->route->timeout_ms > 0)
		limit_ms = MIN(limit_ms, req->route->timeout_ms);
	req->deadline_ms = req->received_ms + limit_ms;
	uv_timer_start(&req->deadline_timer, on_deadline,
	    (uint64_t)MAX(proxy_remaining_ms(req), 0), 0);
}

static proxy_request_t *
proxy_request_new(proxy_context_t *context, exchange_t *exchange)
{
	proxy_request_t *req = g_new0(proxy_request_t, 1);

	req->refs = 4; /* the request's, and one per timer */
	req->context = context;
	req->exchange = exchange;
	req->received_ms = exchange_received_ms(exchange);
	req->ttft_ms = -1;
	req->retry_after_ms = -1;
	for (hedge_side_t side = HEDGE_FIRST; side < HEDGE_SIDES; side++) {
		req->attempts[side].request = req;
		req->attempts[side].side = side;
	}
	req->attempt = &req->attempts[HEDGE_FIRST];
	req->other_attempt = &req->attempts[HEDGE_SECOND];
	req->tried = g_ptr_array_new();
	if (context->catalog != NULL)
		req->catalog = catalog_ref(context->catalog);
	platform_read_request(exchange_request_head(exchange), &req->facts);
	uv_timer_init(context->loop, &req->deadline_timer);
	uv_timer_init(context->loop, &req->idle_timer);
	uv_timer_init(context->loop, &req->hedge_timer);
	req->deadline_timer.data = req;
	req->idle_timer.data = req;
	req->hedge_timer.data = req;
	TAILQ_INSERT_TAIL(&context->requests, req, entries);
	exchange_set_callbacks(
	    exchange, on_client_closed, on_client_drained, req);
	return req;
}

bool
proxy_has_configuration(const proxy_context_t *context)
{
	return context->catalog != NULL && context->catalog_valid_until_ms != 0;
}

/* False where the node must not serve requests; has responded 503 then. */
static bool
check_node(proxy_request_t *req)
{
	const proxy_context_t *context = req->context;

	if (context->stopping) {
		proxy_respond(req, 503, 0, "stopping");
		return false;
	}
	if (!proxy_has_configuration(context)) {
		proxy_respond(
		    req, 503, PROXY_RETRY_AFTER_MS, "no_configuration");
		return false;
	}
	return true;
}

/*
 * False where a key may have been withdrawn since the configuration was
 * confirmed; has responded 503 then. A key may count by now also where it did
 * not: a route may have ceased to be public since, or workspaces been added.
 */
static bool
check_configuration_age(proxy_request_t *req)
{
	if (clock_boot_ms() < req->context->catalog_valid_until_ms ||
	    (!depends_on_keys(req) && req->facts.api_key == NULL))
		return true;
	proxy_respond(req, 503, 0, "stale_configuration");
	return false;
}

void
proxy_start(proxy_context_t *context, exchange_t *exchange)
{
	proxy_request_t *req = proxy_request_new(context, exchange);
	const request_facts_t *facts = &req->facts;

	if (!check_node(req))
		return;
	if (facts->attempt_id == NULL || facts->host == NULL) {
		proxy_respond(req, 400, -1, "malformed");
		return;
	}
	req->route = catalog_find_route(
	    req->catalog, facts->host, exchange_request_head(exchange)->target);
	if (!check_configuration_age(req))
		return;
	if (req->route == NULL) {
		proxy_respond(req, 404, -1, "no_route");
		return;
	}
	if (!authenticate(req)) {
		proxy_respond(req, 401, -1, "unknown_key");
		return;
	}
	req->urgent = req->route->priority == 0;
	set_deadline(req);
	if (!take_quota(req))
		return;
	req->service_name = catalog_pick_service(req->route, g_random_int());
	if (req->service_name == NULL) {
		proxy_reject(req, PROXY_RETRY_AFTER_MS, "no_service");
		return;
	}
	req->service = catalog_find_service(req->catalog, req->service_name);
	retry_budget_count_request(
	    context->budget, req->service_name, clock_boot_ms());
	hedge_count_request(context->hedge, req->service_name);
	proxy_attempt(req);
}
