#include "proxy_state.h"

#include "clock.h"
#include "proxy_log.h"

enum {
	/* Responses up to this size are passed on once they are complete. */
	BUFFERED_MAX_BYTES = 64 * 1024,
	/* Bytes to a slow client beyond which its server is read no more. */
	CLIENT_QUEUE_MAX_BYTES = 256 * 1024,
	CONNECT_FAILURES_MAX = 3,
	/* A silent server is given up after so many objectives. */
	IDLE_OBJECTIVES = 2,
	IDLE_MIN_MS = 400,
	/* Gaps between events vary more than the time to the first one. */
	GAP_OBJECTIVES = 2,
	PERCENT = 100,
};

static void
count_usage(proxy_request_t *flow)
{
	if (flow->workspace != NULL)
		usage_count(flow->context->usage, flow->workspace->name,
		    cluster_wall_ms(flow->context->cluster));
}

ttft_model_t *
proxy_ttft_model(const proxy_request_t *flow)
{
	GHashTable *models = flow->context->ttft_models;
	ttft_model_t *model = g_hash_table_lookup(models, flow->service_name);

	if (model == NULL) {
		model = g_new0(ttft_model_t, 1);
		g_hash_table_insert(
		    models, g_strdup(flow->service_name), model);
	}
	return model;
}

/*
 * How slow an attempt was: of engines the percentage of the time that its
 * tokens take, since a new server's cache is empty; of others the time in ms.
 */
static double
rollout_latency(const proxy_request_t *flow, double ttft_ms)
{
	double expected_ms;

	if (flow->service == NULL || !flow->service->is_engine)
		return ttft_ms;
	expected_ms =
	    ttft_model_predict_ms(proxy_ttft_model(flow), flow->prefill_tokens);
	return PERCENT * ttft_ms / MAX(expected_ms, 1);
}

void
proxy_record_rollout_attempt(proxy_request_t *flow, bool ok, double ttft_ms)
{
	evidence_attempt_t attempt = {
	    .side = flow->trial.to_new ? EVIDENCE_NEW : EVIDENCE_OLD,
	    .share = flow->trial.share,
	    .route = flow->route->name,
	    .ok = ok,
	    .first_ms = ok ? rollout_latency(flow, ttft_ms) : 0,
	};

	if (flow->trial.revision != 0 &&
	    !(ok && server_is_cold(flow->server, clock_boot_ms())))
		rollouts_observe(flow->context->rollouts, flow->service_name,
		    flow->trial.revision, &attempt);
}

/* The server's first byte of work has been seen. */
static void
record_first_byte(proxy_request_t *flow)
{
	int64_t now_ms = clock_boot_ms();
	double ttft_ms;

	flow->may_have_run = true;
	if (!flow->awaiting_response)
		return;
	proxy_remove_waiting_prompt(flow);
	count_usage(flow);
	ttft_ms = (double)(now_ms - flow->attempt_start_ms);
	proxy_record_rollout_attempt(flow, true, ttft_ms);
	flow->ttft_ms = now_ms - flow->received_ms;
	if (flow->service != NULL && flow->service->is_engine)
		ttft_model_add(
		    proxy_ttft_model(flow), flow->prefill_tokens, ttft_ms);
	server_observe(flow->server, SERVER_SERVED, ttft_ms, now_ms);
}

/*
 * Length of the response to the client. One that ends with the server's
 * connection may be cut, so that it is not framed as complete either.
 */
static int64_t
client_length(const proxy_request_t *flow, int64_t length)
{
	return flow->response_head->has_length ? length
					       : EXCHANGE_CLOSE_DELIMITED;
}

/* Passes on the whole response that is held. */
static void
send_buffered(proxy_request_t *flow)
{
	proxy_log_end(flow, flow->response_head->status, "served");
	exchange_set_callbacks(flow->exchange, NULL, NULL, NULL);
	exchange_start(flow->exchange, flow->response_head,
	    client_length(flow, (int64_t)flow->buffered->len));
	exchange_write(flow->exchange, (const char *)flow->buffered->data,
	    flow->buffered->len);
	exchange_end(flow->exchange);
	proxy_finish(flow);
}

/* Events that are complete go to the client. */
static void
forward_events(proxy_request_t *flow)
{
	GString *out = event_stream_take_complete(flow->events);

	if (out == NULL)
		return;
	record_first_byte(flow);
	if (!flow->response_started) {
		exchange_start(flow->exchange, flow->response_head,
		    client_length(flow, EXCHANGE_CHUNKED));
		flow->response_started = true;
		flow->self_delimited = flow->response_head->has_length;
	}
	exchange_write(flow->exchange, out->str, out->len);
	g_string_free(out, TRUE);
	if (exchange_queued_bytes(flow->exchange) > CLIENT_QUEUE_MAX_BYTES)
		upstream_call_set_reading(flow->call, false);
}

static void on_idle(uv_timer_t *timer);

/* Watches for a server that says nothing; only where another may go on. */
void
proxy_start_idle_timer(proxy_request_t *flow, int64_t objective_ms)
{
	if (catalog_may_repeat(flow->route) && objective_ms > 0)
		uv_timer_start(&flow->idle_timer, on_idle,
		    (uint64_t)MAX(IDLE_OBJECTIVES * objective_ms, IDLE_MIN_MS),
		    0);
}

void
proxy_on_head(
    const http1_head_t *head, const response_facts_t *facts, void *data)
{
	proxy_request_t *flow = data;

	flow->response = *facts;
	flow->status = head->status;
	flow->response_head = head;
}

static void
forward_stream(proxy_request_t *flow, const char *bytes, size_t length)
{
	event_stream_feed(flow->events, bytes, length);
	forward_events(flow);
	proxy_start_idle_timer(
	    flow, GAP_OBJECTIVES * flow->route->gap_objective_ms);
}

/* Starts to pass on a response that is too large to be held. */
static void
start_forwarding(proxy_request_t *flow)
{
	record_first_byte(flow);
	exchange_start(flow->exchange, flow->response_head,
	    client_length(flow, EXCHANGE_CHUNKED));
	flow->response_started = true;
	exchange_write(flow->exchange, (const char *)flow->buffered->data,
	    flow->buffered->len);
	g_byte_array_set_size(flow->buffered, 0);
}

void
proxy_on_body(const char *bytes, size_t length, void *data)
{
	proxy_request_t *flow = data;

	if (flow->events != NULL && flow->status == 200) {
		forward_stream(flow, bytes, length);
		return;
	}
	if (flow->response_started && flow->events != NULL)
		return; /* no part of the stream */
	if (flow->response_started) {
		exchange_write(flow->exchange, bytes, length);
		if (exchange_queued_bytes(flow->exchange) >
		    CLIENT_QUEUE_MAX_BYTES)
			upstream_call_set_reading(flow->call, false);
		return;
	}
	g_byte_array_append(
	    flow->buffered, (const guint8 *)bytes, (guint)length);
	if (flow->buffered->len > BUFFERED_MAX_BYTES && !flow->response.not_run)
		start_forwarding(flow);
}

static void
log_attempt_failure(proxy_request_t *flow, const char *reason, bool sent)
{
	const server_t *server = flow->server;
	proxy_attempt_failure_t failure = {
	    .attempt_id = flow->facts.attempt_id,
	    .server = server->info->id,
	    .reason = reason,
	    .attempt_number = flow->tried->len,
	    .sent = sent,
	    .elapsed_ms = clock_boot_ms() - flow->attempt_start_ms,
	    .failure_rate = server->failure_rate,
	    .in_flight = server_in_flight(server),
	};

	proxy_log_attempt_failure(flow->context->counters, &failure);
}

/* Sends the request to another server; what this one sent is dropped. */
static void
retry_request(proxy_request_t *flow)
{
	if (flow->call != NULL)
		upstream_call_cancel(flow->call);
	flow->call = NULL;
	proxy_release_server(flow);
	g_byte_array_set_size(flow->buffered, 0);
	if (flow->events != NULL)
		event_stream_resume(flow->events);
	proxy_attempt(flow);
}

/* The server said that it did not run the request. */
static void
handle_not_run(proxy_request_t *flow)
{
	log_attempt_failure(flow, "refused as not run", true);
	server_observe(flow->server,
	    flow->response.wrong_server ? SERVER_UNREACHABLE : SERVER_FULL, 0,
	    clock_boot_ms());
	if (proxy_take_retry(flow))
		retry_request(flow);
	else
		proxy_reject(flow, PROXY_RETRY_AFTER_MS, "server_refused");
}

static void
end_stream(proxy_request_t *flow)
{
	GString *remainder = event_stream_take_remainder(flow->events);

	proxy_log_end(flow, 200, "served");
	exchange_set_callbacks(flow->exchange, NULL, NULL, NULL);
	if (!flow->response_started)
		exchange_start(flow->exchange, flow->response_head,
		    client_length(flow, EXCHANGE_CHUNKED));
	exchange_write(flow->exchange, remainder->str, remainder->len);
	g_string_free(remainder, TRUE);
	exchange_end(flow->exchange);
	proxy_finish(flow);
}

/* Statuses that promise clients that the request has not run. */
static bool
implies_not_run(unsigned status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* The server ran the request and failed. */
static void
handle_server_error(proxy_request_t *flow)
{
	if (flow->awaiting_response)
		count_usage(flow);
	log_attempt_failure(flow, "server error", true);
	proxy_record_rollout_attempt(flow, false, 0);
	server_observe(flow->server, SERVER_FAILED, 0, clock_boot_ms());
	if (catalog_may_repeat(flow->route) && proxy_take_retry(flow))
		retry_request(flow);
	else if (implies_not_run(flow->status) &&
		 !catalog_may_repeat(flow->route))
		proxy_respond(flow, 502, -1, "server_failed");
	else
		send_buffered(flow);
}

/* A whole response that has been passed on already, but for its end. */
static void
handle_started_complete(proxy_request_t *flow)
{
	if (flow->events != NULL) {
		proxy_respond(flow, 502, -1, "resume_failed");
		return;
	}
	proxy_log_end(flow, flow->status, "served");
	exchange_set_callbacks(flow->exchange, NULL, NULL, NULL);
	exchange_end(flow->exchange);
	proxy_finish(flow);
}

static void
handle_stream_complete(proxy_request_t *flow)
{
	record_first_byte(flow);
	/* Whether an unframed rest is whole cannot be told any more. */
	if (flow->response_started && flow->self_delimited &&
	    !flow->response_head->has_length)
		proxy_respond(flow, 502, -1, "unframed_resume");
	else
		end_stream(flow);
}

static void
handle_complete(proxy_request_t *flow)
{
	if (flow->response.not_run && !flow->response_started) {
		handle_not_run(flow);
		return;
	}
	if (flow->events != NULL && flow->status == 200) {
		handle_stream_complete(flow);
		return;
	}
	if (flow->response_started) {
		handle_started_complete(flow);
		return;
	}
	flow->may_have_run = true;
	if (flow->status >= 500 || implies_not_run(flow->status)) {
		handle_server_error(flow);
		return;
	}
	record_first_byte(flow);
	send_buffered(flow);
}

/* Sent, and no whole response came back. */
static void
handle_broken(
    proxy_request_t *flow, server_outcome_t outcome, const char *reason)
{
	bool is_truncated = flow->response_started &&
			    (flow->events == NULL || flow->status != 200);

	if (flow->awaiting_response)
		count_usage(flow);
	flow->may_have_run = true;
	log_attempt_failure(flow, reason, true);
	proxy_record_rollout_attempt(flow, false, 0);
	server_observe(flow->server, outcome, 0, clock_boot_ms());
	if (!is_truncated && catalog_may_repeat(flow->route) &&
	    proxy_take_retry(flow))
		retry_request(flow);
	else
		proxy_respond(flow, 502, -1, reason);
}

/* The server got nothing. */
void
proxy_handle_not_sent(
    proxy_request_t *flow, server_outcome_t outcome, const char *reason)
{
	log_attempt_failure(flow, reason, false);
	server_observe(flow->server, outcome, 0, clock_boot_ms());
	proxy_release_server(flow);
	g_ptr_array_set_size(flow->tried, (gint)flow->tried->len - 1);
	if (++flow->connect_failures < CONNECT_FAILURES_MAX &&
	    proxy_remaining_ms(flow) > PROXY_ATTEMPT_MIN_MS)
		proxy_attempt(flow);
	else
		proxy_reject(flow, PROXY_RETRY_AFTER_MS, reason);
}

void
proxy_on_end(upstream_result_t end, const char *reason, void *data)
{
	proxy_request_t *flow = data;

	flow->call = NULL;
	uv_timer_stop(&flow->idle_timer);
	switch (end) {
	case UPSTREAM_COMPLETE:
		handle_complete(flow);
		return;
	case UPSTREAM_NOT_SENT:
		proxy_handle_not_sent(flow, SERVER_UNREACHABLE, reason);
		return;
	case UPSTREAM_INCOMPLETE:
		if (proxy_migration_handle_close(flow))
			return;
		handle_broken(flow, SERVER_FAILED, reason);
		return;
	}
}

static void
on_idle(uv_timer_t *timer)
{
	proxy_request_t *flow = timer->data;

	if (flow->call == NULL ||
	    flow->migration.state == PROXY_MIGRATION_COPYING ||
	    (flow->response_started && flow->events == NULL) ||
	    !proxy_take_retry(flow))
		return;
	if (flow->awaiting_response)
		count_usage(flow);
	flow->may_have_run = true;
	log_attempt_failure(flow, "silent", true);
	proxy_record_rollout_attempt(flow, false, 0);
	server_observe(flow->server, SERVER_UNREACHABLE, 0, clock_boot_ms());
	retry_request(flow);
}
