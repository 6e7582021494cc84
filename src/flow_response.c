#include "flow_state.h"

#include "clock.h"
#include "flow_log.h"

enum {
	/* Responses up to this size are passed on once they are complete. */
	HOLD_MAX_BYTES = 64 * 1024,
	/* Bytes to a slow client beyond which its server is read no more. */
	QUEUED_MAX_BYTES = 256 * 1024,
	CONNECTS_MAX = 3,
	/* A silent server is given up after so many objectives. */
	SILENCE_OBJECTIVES = 2,
	SILENCE_MIN_MS = 400,
	/* Gaps between events vary more than the time to the first one. */
	GAP_OBJECTIVES = 2,
	PERCENT = 100,
};

static void
count_usage(flow_t *flow)
{
	if (flow->workspace != NULL)
		usage_count(flow->context->usage, flow->workspace->name,
		    cluster_wall_ms(flow->context->cluster));
}

ttft_model_t *
flow_pace(const flow_t *flow)
{
	GHashTable *paces = flow->context->paces;
	ttft_model_t *pace = g_hash_table_lookup(paces, flow->service_name);

	if (pace == NULL) {
		pace = g_new0(ttft_model_t, 1);
		g_hash_table_insert(paces, g_strdup(flow->service_name), pace);
	}
	return pace;
}

/*
 * How slow an attempt was: of engines the percentage of the time that its
 * tokens take, since a new server's cache is empty; of others the time in ms.
 */
static double
slowness(const flow_t *flow, double took_ms)
{
	double expected_ms;

	if (flow->service == NULL || !flow->service->is_engine)
		return took_ms;
	expected_ms =
	    ttft_model_predict_ms(flow_pace(flow), flow->ahead_tokens);
	return PERCENT * took_ms / MAX(expected_ms, 1);
}

void
flow_observe_version(flow_t *flow, bool ok, double took_ms)
{
	evidence_attempt_t attempt = {
	    .side = flow->trial.to_new ? EVIDENCE_NEW : EVIDENCE_OLD,
	    .share = flow->trial.share,
	    .route = flow->route->name,
	    .ok = ok,
	    .first_ms = ok ? slowness(flow, took_ms) : 0,
	};

	if (flow->trial.revision != 0 &&
	    !(ok && server_is_cold(flow->server, clock_boot_ms())))
		rollouts_observe(flow->context->rollouts, flow->service_name,
		    flow->trial.revision, &attempt);
}

/* The server's first byte of work has been seen. */
static void
note_begun(flow_t *flow)
{
	int64_t now_ms = clock_boot_ms();
	double took_ms;

	flow->ran = true;
	if (!flow->waiting)
		return;
	flow_stop_waiting(flow);
	count_usage(flow);
	took_ms = (double)(now_ms - flow->attempt_ms);
	flow_observe_version(flow, true, took_ms);
	flow->first_ms = now_ms - flow->received_ms;
	if (flow->service != NULL && flow->service->is_engine)
		ttft_model_add(flow_pace(flow), flow->ahead_tokens, took_ms);
	server_observe(flow->server, SERVER_SERVED, took_ms, now_ms);
}

/*
 * Length of the response to the client. One that ends with the server's
 * connection may be cut, so that it is not framed as complete either.
 */
static int64_t
framing(const flow_t *flow, int64_t length)
{
	return flow->head->has_length ? length : EXCHANGE_CLOSE_DELIMITED;
}

/* Passes on the whole response that is held. */
static void
pass_held(flow_t *flow)
{
	flow_log_end(flow, flow->head->status, "served");
	exchange_set_callbacks(flow->exchange, NULL, NULL, NULL);
	exchange_start(flow->exchange, flow->head,
	    framing(flow, (int64_t)flow->held->len));
	exchange_write(
	    flow->exchange, (const char *)flow->held->data, flow->held->len);
	exchange_end(flow->exchange);
	flow_finish(flow);
}

/* Events that are complete go to the client. */
static void
pass_events(flow_t *flow)
{
	GString *out = event_stream_take_complete(flow->events);

	if (out == NULL)
		return;
	note_begun(flow);
	if (!flow->started) {
		exchange_start(flow->exchange, flow->head,
		    framing(flow, EXCHANGE_CHUNKED));
		flow->started = true;
		flow->framed = flow->head->has_length;
	}
	exchange_write(flow->exchange, out->str, out->len);
	g_string_free(out, TRUE);
	if (exchange_queued_bytes(flow->exchange) > QUEUED_MAX_BYTES)
		upstream_call_set_reading(flow->call, false);
}

static void on_silence(uv_timer_t *timer);

/* Watches for a server that says nothing; only where another may go on. */
void
flow_watch_silence(flow_t *flow, int64_t objective_ms)
{
	if (catalog_may_repeat(flow->route) && objective_ms > 0)
		uv_timer_start(&flow->silence_timer, on_silence,
		    (uint64_t)MAX(
			SILENCE_OBJECTIVES * objective_ms, SILENCE_MIN_MS),
		    0);
}

void
flow_on_head(
    const http1_head_t *head, const response_facts_t *facts, void *data)
{
	flow_t *flow = data;

	flow->response = *facts;
	flow->status = head->status;
	flow->head = head;
}

static void
on_stream_bytes(flow_t *flow, const char *bytes, size_t length)
{
	event_stream_feed(flow->events, bytes, length);
	pass_events(flow);
	flow_watch_silence(
	    flow, GAP_OBJECTIVES * flow->route->gap_objective_ms);
}

/* Starts to pass on a response that is too large to be held. */
static void
pass_large(flow_t *flow)
{
	note_begun(flow);
	exchange_start(
	    flow->exchange, flow->head, framing(flow, EXCHANGE_CHUNKED));
	flow->started = true;
	exchange_write(
	    flow->exchange, (const char *)flow->held->data, flow->held->len);
	g_byte_array_set_size(flow->held, 0);
}

void
flow_on_body(const char *bytes, size_t length, void *data)
{
	flow_t *flow = data;

	if (flow->events != NULL && flow->status == 200) {
		on_stream_bytes(flow, bytes, length);
		return;
	}
	if (flow->started && flow->events != NULL)
		return; /* no part of the stream */
	if (flow->started) {
		exchange_write(flow->exchange, bytes, length);
		if (exchange_queued_bytes(flow->exchange) > QUEUED_MAX_BYTES)
			upstream_call_set_reading(flow->call, false);
		return;
	}
	g_byte_array_append(flow->held, (const guint8 *)bytes, (guint)length);
	if (flow->held->len > HOLD_MAX_BYTES && !flow->response.not_run)
		pass_large(flow);
}

static void
log_failure(flow_t *flow, const char *why, bool sent)
{
	const server_t *server = flow->server;
	flow_log_attempt_t line = {
	    .attempt_id = flow->facts.attempt_id,
	    .server = server->info->id,
	    .why = why,
	    .number = flow->tried->len,
	    .sent = sent,
	    .took_ms = clock_boot_ms() - flow->attempt_ms,
	    .failure_rate = server->failure_rate,
	    .in_flight = server_in_flight(server),
	};

	flow_log_failure(flow->context->counters, &line);
}

/* Sends the request to another server; what this one sent is dropped. */
static void
try_elsewhere(flow_t *flow)
{
	if (flow->call != NULL)
		upstream_call_cancel(flow->call);
	flow->call = NULL;
	flow_leave_server(flow);
	g_byte_array_set_size(flow->held, 0);
	if (flow->events != NULL)
		event_stream_resume(flow->events);
	flow_attempt(flow);
}

/* The server said that it did not run the request. */
static void
not_run(flow_t *flow)
{
	log_failure(flow, "refused as not run", true);
	server_observe(flow->server,
	    flow->response.wrong_server ? SERVER_UNREACHABLE : SERVER_FULL, 0,
	    clock_boot_ms());
	if (flow_may_go_on(flow))
		try_elsewhere(flow);
	else
		flow_refuse(flow, FLOW_RETRY_AFTER_MS, "server_refused");
}

static void
stream_complete(flow_t *flow)
{
	GString *rest = event_stream_take_remainder(flow->events);

	flow_log_end(flow, 200, "served");
	exchange_set_callbacks(flow->exchange, NULL, NULL, NULL);
	if (!flow->started)
		exchange_start(flow->exchange, flow->head,
		    framing(flow, EXCHANGE_CHUNKED));
	exchange_write(flow->exchange, rest->str, rest->len);
	g_string_free(rest, TRUE);
	exchange_end(flow->exchange);
	flow_finish(flow);
}

/* Statuses that promise clients that the request has not run. */
static bool
is_promise(unsigned status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* The server ran the request and failed. */
static void
server_failed(flow_t *flow)
{
	if (flow->waiting)
		count_usage(flow);
	log_failure(flow, "server error", true);
	flow_observe_version(flow, false, 0);
	server_observe(flow->server, SERVER_FAILED, 0, clock_boot_ms());
	if (catalog_may_repeat(flow->route) && flow_may_go_on(flow))
		try_elsewhere(flow);
	else if (is_promise(flow->status) && !catalog_may_repeat(flow->route))
		flow_answer(flow, 502, -1, "server_failed");
	else
		pass_held(flow);
}

/* A whole response that has been passed on already, but for its end. */
static void
complete_started(flow_t *flow)
{
	if (flow->events != NULL) {
		flow_answer(flow, 502, -1, "resume_failed");
		return;
	}
	flow_log_end(flow, flow->status, "served");
	exchange_set_callbacks(flow->exchange, NULL, NULL, NULL);
	exchange_end(flow->exchange);
	flow_finish(flow);
}

static void
complete_stream(flow_t *flow)
{
	note_begun(flow);
	/* Whether an unframed rest is whole cannot be told any more. */
	if (flow->started && flow->framed && !flow->head->has_length)
		flow_answer(flow, 502, -1, "unframed_resume");
	else
		stream_complete(flow);
}

static void
complete(flow_t *flow)
{
	if (flow->response.not_run && !flow->started) {
		not_run(flow);
		return;
	}
	if (flow->events != NULL && flow->status == 200) {
		complete_stream(flow);
		return;
	}
	if (flow->started) {
		complete_started(flow);
		return;
	}
	flow->ran = true;
	if (flow->status >= 500 || is_promise(flow->status)) {
		server_failed(flow);
		return;
	}
	note_begun(flow);
	pass_held(flow);
}

/* Sent, and no whole response came back. */
static void
broken(flow_t *flow, server_outcome_t outcome, const char *why)
{
	bool cut =
	    flow->started && (flow->events == NULL || flow->status != 200);

	if (flow->waiting)
		count_usage(flow);
	flow->ran = true;
	log_failure(flow, why, true);
	flow_observe_version(flow, false, 0);
	server_observe(flow->server, outcome, 0, clock_boot_ms());
	if (!cut && catalog_may_repeat(flow->route) && flow_may_go_on(flow))
		try_elsewhere(flow);
	else
		flow_answer(flow, 502, -1, why);
}

/* The server got nothing. */
void
flow_not_sent(flow_t *flow, server_outcome_t outcome, const char *why)
{
	log_failure(flow, why, false);
	server_observe(flow->server, outcome, 0, clock_boot_ms());
	flow_leave_server(flow);
	g_ptr_array_set_size(flow->tried, (gint)flow->tried->len - 1);
	if (++flow->connects < CONNECTS_MAX &&
	    flow_left_ms(flow) > FLOW_ATTEMPT_MIN_MS)
		flow_attempt(flow);
	else
		flow_refuse(flow, FLOW_RETRY_AFTER_MS, why);
}

void
flow_on_end(upstream_result_t end, const char *why, void *data)
{
	flow_t *flow = data;

	flow->call = NULL;
	uv_timer_stop(&flow->silence_timer);
	switch (end) {
	case UPSTREAM_COMPLETE:
		complete(flow);
		return;
	case UPSTREAM_NOT_SENT:
		flow_not_sent(flow, SERVER_UNREACHABLE, why);
		return;
	case UPSTREAM_INCOMPLETE:
		if (flow_move_takes_on(flow))
			return;
		broken(flow, SERVER_FAILED, why);
		return;
	}
}

static void
on_silence(uv_timer_t *timer)
{
	flow_t *flow = timer->data;

	if (flow->call == NULL || flow->move.state == FLOW_MOVE_ASKED ||
	    (flow->started && flow->events == NULL) || !flow_may_go_on(flow))
		return;
	if (flow->waiting)
		count_usage(flow);
	flow->ran = true;
	log_failure(flow, "silent", true);
	flow_observe_version(flow, false, 0);
	server_observe(flow->server, SERVER_UNREACHABLE, 0, clock_boot_ms());
	try_elsewhere(flow);
}
