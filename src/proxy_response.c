#include "proxy_state.h"

#include "clock.h"
#include "log.h"

enum {
	/* Responses up to this size are buffered until they are complete. */
	BUFFERED_MAX_BYTES = 64 * 1024,
	/* Bytes queued to a slow client at which reading its server pauses. */
	CLIENT_QUEUE_MAX_BYTES = 256 * 1024,
	CONNECT_FAILURES_MAX = 3,
	/* A server that sends nothing for this many objectives is abandoned. */
	IDLE_OBJECTIVES = 2,
	IDLE_MIN_MS = 400,
	/*
	 * Further factor for the objective between events, since gaps vary
	 * more than the time to the first event.
	 */
	GAP_OBJECTIVES = 2,
	/* A server that has written for this long survives the prompt. */
	SURVIVAL_MS = 500,
};

/* Sends the complete, buffered response and ends the request. */
static void
send_buffered(proxy_request_t *req)
{
	proxy_log_end(req, req->response_head->status, "served");
	exchange_set_callbacks(req->exchange, NULL, NULL, NULL);
	exchange_start(
	    req->exchange, req->response_head, (int64_t)req->buffered->len);
	exchange_write(req->exchange, (const char *)req->buffered->data,
	    req->buffered->len);
	exchange_end(req->exchange);
	proxy_finish(req);
}

/* True where the response to the current attempt is a stream of events. */
static bool
is_event_stream(const proxy_request_t *req)
{
	return req->events != NULL && req->status == 200 &&
	       !req->response.no_events && !req->response.not_run;
}

/* Forwards the events that are complete. */
static void
forward_events(proxy_request_t *req)
{
	GString *out = event_stream_take_complete(req->events);

	if (out == NULL)
		return;
	proxy_record_first_byte(req);
	if (!req->response_started) {
		exchange_start(
		    req->exchange, req->response_head, EXCHANGE_CHUNKED);
		req->response_started = true;
		req->stream_started = true;
	}
	exchange_write(req->exchange, out->str, out->len);
	g_string_free(out, TRUE);
	if (exchange_queued_bytes(req->exchange) > CLIENT_QUEUE_MAX_BYTES)
		upstream_call_set_reading(req->call, false);
}

static void on_idle(uv_timer_t *timer);

void
proxy_start_idle_timer(proxy_request_t *req, int64_t objective_ms)
{
	if (catalog_may_retry(req->route) && objective_ms > 0)
		uv_timer_start(&req->idle_timer, on_idle,
		    (uint64_t)MAX(IDLE_OBJECTIVES * objective_ms, IDLE_MIN_MS),
		    0);
}

static void
note_leaving(proxy_request_t *req)
{
	server_t *server = req->server;

	if (server->leaving_since_ms != 0)
		return;
	pool_set_leaving(req->context->pool, server, clock_boot_ms());
	log_event(LOG_LEVEL_INFO, "server.leaving",
	    "id=%s draining=%d removed=%d", server->info->id,
	    server->info->draining, server->removed);
}

void
proxy_on_head(
    const http1_head_t *head, const response_facts_t *facts, void *data)
{
	proxy_request_t *req = data;

	req->response = *facts;
	req->status = head->status;
	req->response_head = head;
	req->has_framing = head->has_length;
	if (facts->retry_after_ms > 0)
		server_pause(
		    req->server, facts->retry_after_ms, clock_boot_ms());
	if (facts->leaving)
		note_leaving(req);
}

/* Starts to forward a response that is too large to buffer. */
static void
start_forwarding(proxy_request_t *req)
{
	exchange_start(req->exchange, req->response_head, EXCHANGE_CHUNKED);
	req->response_started = true;
	exchange_write(req->exchange, (const char *)req->buffered->data,
	    req->buffered->len);
	g_byte_array_set_size(req->buffered, 0);
}

/* Retries at another server; drops what this one sent, and its migration. */
static void
retry_request(proxy_request_t *req)
{
	proxy_cancel_call(req);
	proxy_migration_clear(req);
	uv_timer_stop(&req->idle_timer);
	proxy_release_server(req);
	g_byte_array_set_size(req->buffered, 0);
	if (req->events != NULL)
		event_stream_resume(req->events);
	proxy_attempt(req);
}

/* The server rejected the request without running it. */
static void
handle_not_run(proxy_request_t *req)
{
	proxy_record_failure(req, "refused as not run", true);
	server_record_outcome(req->server,
	    req->response.wrong_server ? SERVER_UNREACHABLE : SERVER_FULL, 0,
	    clock_boot_ms());
	if (proxy_take_retry(req))
		retry_request(req);
	else
		proxy_reject(
		    req, proxy_no_server_retry_ms(req), "server_refused");
}

static void
end_stream(proxy_request_t *req)
{
	GString *remainder = event_stream_take_remainder(req->events);

	proxy_log_end(req, 200, "served");
	exchange_set_callbacks(req->exchange, NULL, NULL, NULL);
	if (!req->response_started)
		exchange_start(
		    req->exchange, req->response_head, EXCHANGE_CHUNKED);
	exchange_write(req->exchange, remainder->str, remainder->len);
	g_string_free(remainder, TRUE);
	exchange_end(req->exchange);
	proxy_finish(req);
}

/* Statuses from which clients conclude that the request was not run. */
static bool
implies_not_run(unsigned status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* True for a response of a server that ran the request and failed. */
static bool
is_server_error(const proxy_request_t *req)
{
	return req->status >= 500 || implies_not_run(req->status);
}

/* is_complete: all of the response is buffered. */
static void
handle_server_error(proxy_request_t *req, bool is_complete)
{
	proxy_record_failed_attempt(req, SERVER_FAILED, "server error");
	if (catalog_may_retry(req->route) && proxy_take_retry(req))
		retry_request(req);
	else if (implies_not_run(req->status) && !catalog_may_retry(req->route))
		proxy_respond(req, 502, -1, "server_failed");
	else if (is_complete)
		send_buffered(req);
	else
		start_forwarding(req);
}

/* Ends a complete response whose body has already been forwarded. */
static void
handle_started_complete(proxy_request_t *req)
{
	proxy_log_end(req, req->status, "served");
	exchange_set_callbacks(req->exchange, NULL, NULL, NULL);
	exchange_end(req->exchange);
	proxy_finish(req);
}

/* The request was sent, but no complete response was received. */
static void
handle_broken(
    proxy_request_t *req, server_outcome_t outcome, const char *reason)
{
	bool is_truncated = req->response_started && !req->stream_started;

	proxy_record_failed_attempt(req, outcome, reason);
	if (!is_truncated && catalog_may_retry(req->route) &&
	    proxy_take_retry(req))
		retry_request(req);
	else
		proxy_respond(req, 502, -1, reason);
}

/*
 * True for a stream that has ended inside an event or, where it ends with its
 * server's connection, before the first one.
 */
static bool
is_cut_off(const proxy_request_t *req)
{
	return event_stream_has_partial_event(req->events) ||
	       (!req->response_head->has_length && req->first_byte_ms == 0);
}

/* The server has ended a stream. */
static void
handle_stream_end(proxy_request_t *req)
{
	if (is_cut_off(req)) {
		if (!req->response_head->has_length)
			proxy_record_crash(req);
		handle_broken(req, SERVER_FAILED, "stream ended early");
		return;
	}
	proxy_record_first_byte(req);
	proxy_record_survival(req);
	proxy_record_run(req);
	end_stream(req);
}

/*
 * The server that is to resume a stream sends another body. It is not waited
 * for, as it may have no end.
 */
static void
handle_failed_resume(proxy_request_t *req)
{
	if (req->response.not_run)
		handle_not_run(req);
	else
		handle_broken(req, SERVER_FAILED, "resume failed");
}

static void
handle_complete(proxy_request_t *req)
{
	if (is_event_stream(req)) {
		handle_stream_end(req);
		return;
	}
	if (req->stream_started) {
		handle_failed_resume(req);
		return;
	}
	if (req->response_started) {
		handle_started_complete(req);
		return;
	}
	if (req->response.not_run) {
		handle_not_run(req);
		return;
	}
	req->may_have_run = true;
	if (is_server_error(req)) {
		handle_server_error(req, true);
		return;
	}
	proxy_record_first_byte(req);
	send_buffered(req);
}

/*
 * Bytes that complete no event, and comments, are no progress: a server that
 * sends some now and then may be stalled.
 */
static void
forward_stream(proxy_request_t *req, const char *bytes, size_t length)
{
	uint64_t count = event_stream_event_count(req->events);

	if (!event_stream_feed(req->events, bytes, length)) {
		handle_broken(req, SERVER_FAILED, "oversized event");
		return;
	}
	forward_events(req);
	if (req->first_byte_ms != 0 &&
	    clock_boot_ms() - req->first_byte_ms >= SURVIVAL_MS)
		proxy_record_survival(req);
	if (event_stream_event_count(req->events) > count)
		proxy_start_idle_timer(
		    req, GAP_OBJECTIVES * req->route->gap_objective_ms);
}

void
proxy_on_body(const char *bytes, size_t length, void *data)
{
	proxy_request_t *req = data;

	if (is_event_stream(req)) {
		forward_stream(req, bytes, length);
		return;
	}
	if (req->stream_started) {
		handle_failed_resume(req);
		return;
	}
	if (req->response_started) {
		exchange_write(req->exchange, bytes, length);
		if (exchange_queued_bytes(req->exchange) >
		    CLIENT_QUEUE_MAX_BYTES)
			upstream_call_set_reading(req->call, false);
		return;
	}
	g_byte_array_append(
	    req->buffered, (const guint8 *)bytes, (guint)length);
	if (req->buffered->len <= BUFFERED_MAX_BYTES)
		return;
	if (req->response.not_run) {
		handle_not_run(req);
	} else if (is_server_error(req)) {
		handle_server_error(req, false);
	} else {
		proxy_record_first_byte(req);
		start_forwarding(req);
	}
}

void
proxy_handle_not_sent(
    proxy_request_t *req, server_outcome_t outcome, const char *reason)
{
	proxy_record_failure(req, reason, false);
	server_record_outcome(req->server, outcome, 0, clock_boot_ms());
	proxy_release_server(req);
	g_ptr_array_set_size(req->tried, (gint)req->tried->len - 1);
	if (++req->connect_failures < CONNECT_FAILURES_MAX &&
	    proxy_remaining_ms(req) > PROXY_ATTEMPT_MIN_MS)
		proxy_attempt(req);
	else
		proxy_reject(req, PROXY_RETRY_AFTER_MS, reason);
}

void
proxy_on_end(upstream_result_t end, const char *reason, void *data)
{
	proxy_request_t *req = data;

	req->call = NULL;
	uv_timer_stop(&req->idle_timer);
	switch (end) {
	case UPSTREAM_COMPLETE:
		handle_complete(req);
		return;
	case UPSTREAM_NOT_SENT:
		proxy_handle_not_sent(req, SERVER_UNREACHABLE, reason);
		return;
	case UPSTREAM_CLOSED:
	case UPSTREAM_INCOMPLETE:
		if (proxy_migration_handle_close(req))
			return;
		if (end == UPSTREAM_CLOSED)
			proxy_record_crash(req);
		handle_broken(req, SERVER_FAILED, reason);
		return;
	}
}

/*
 * True for an engine that has probably not begun with the prompt yet, as the
 * prompts of all engines wait. Another engine would read it from the start, and
 * the time that this one has spent on it would be lost: in an overload that
 * takes room from all others.
 */
static bool
waits_in_overload(const proxy_request_t *req)
{
	return req->awaiting_response && req->service != NULL &&
	       req->service->is_engine &&
	       overload_is_present(
		   req->context->overload, req->service_name, clock_boot_ms());
}

static void
on_idle(uv_timer_t *timer)
{
	proxy_request_t *req = timer->data;

	if (req->call != NULL && waits_in_overload(req)) {
		proxy_start_idle_timer(req, req->route->objective_ms);
		return;
	}
	if (req->call == NULL ||
	    req->migration.state == PROXY_MIGRATION_COPYING ||
	    (req->response_started && !req->stream_started) ||
	    !proxy_take_retry(req))
		return;
	proxy_record_failed_attempt(req, SERVER_UNREACHABLE, "silent");
	retry_request(req);
}
