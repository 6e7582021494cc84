#include "proxy_state.h"

#include "clock.h"
#include "log.h"

enum {
	/* Responses up to this size are buffered until they are complete. */
	BUFFERED_MAX_BYTES = 64 * 1024,
	CONNECT_FAILURES_MAX = 3,
	/* A server that sends nothing for this many objectives is abandoned. */
	IDLE_OBJECTIVES = 2,
	IDLE_MIN_MS = 400,
	/* The same looks again so long after it has found unread bytes. */
	IDLE_RECHECK_MS = 100,
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
	const proxy_attempt_t *attempt = req->attempt;
	const GByteArray *body = attempt->buffered;

	proxy_log_end(req, attempt->response_head->status, "served");
	exchange_set_callbacks(req->exchange, NULL, NULL, NULL);
	exchange_start(
	    req->exchange, attempt->response_head, (int64_t)body->len);
	exchange_write(req->exchange, (const char *)body->data, body->len);
	exchange_end(req->exchange);
	proxy_finish(req);
}

/* True where the response to the attempt is a stream of events. */
static bool
is_event_stream(const proxy_attempt_t *attempt)
{
	return attempt->events != NULL && attempt->status == 200 &&
	       !attempt->response.no_events && !attempt->response.not_run;
}

/*
 * Removes the events that are complete and are to be forwarded; NULL: none.
 * Comments, which are no answer, are dropped while another attempt may give it.
 */
static GString *
take_events(proxy_attempt_t *attempt)
{
	uint64_t count = event_stream_event_count(attempt->events);
	GString *out = event_stream_take_complete(attempt->events);
	bool has_events = event_stream_event_count(attempt->events) > count;

	if (out == NULL || !hedge_race_is_open(&attempt->request->race) ||
	    (has_events && proxy_win_race(attempt)))
		return out;
	g_string_free(out, TRUE);
	return NULL;
}

/* Stops or slows the reading of a response that its client does not read. */
static void
limit_queue(proxy_request_t *req)
{
	upstream_call_t *call = req->attempt->call;

	upstream_call_set_read_max(call, exchange_queue_max(req->exchange));
	if (exchange_is_queue_full(req->exchange))
		upstream_call_set_reading(call, false);
}

/* Bytes that an attempt has gathered of its response. */
static size_t
buffered_bytes(const proxy_attempt_t *attempt)
{
	return attempt->buffered == NULL ? 0 : attempt->buffered->len;
}

void
proxy_charge_buffered(proxy_request_t *req)
{
	exchange_charge_response(req->exchange,
	    buffered_bytes(req->attempt) + buffered_bytes(req->other_attempt));
}

/* Empties the buffer, and frees the memory of what it held. */
static void
clear_buffered(proxy_attempt_t *attempt)
{
	if (buffered_bytes(attempt) == 0)
		return;
	g_byte_array_unref(attempt->buffered);
	attempt->buffered = g_byte_array_new();
	proxy_charge_buffered(attempt->request);
}

/* Most bytes of a response that are gathered before it is forwarded. */
static size_t
buffered_max(const proxy_request_t *req)
{
	return MIN(BUFFERED_MAX_BYTES, exchange_queue_max(req->exchange));
}

/* Forwards the events that are complete. */
static void
forward_events(proxy_attempt_t *attempt)
{
	proxy_request_t *req = attempt->request;
	GString *out = take_events(attempt);

	if (out == NULL)
		return;
	proxy_record_first_byte(attempt);
	if (!req->response_started) {
		exchange_start(
		    req->exchange, attempt->response_head, EXCHANGE_CHUNKED);
		req->response_started = true;
		req->stream_started = true;
	}
	exchange_write(req->exchange, out->str, out->len);
	g_string_free(out, TRUE);
	limit_queue(req);
}

static void on_idle(uv_timer_t *timer);

void
proxy_start_idle_timer(proxy_request_t *req, int64_t objective_ms)
{
	uint64_t limit_ms =
	    (uint64_t)MAX(IDLE_OBJECTIVES * objective_ms, IDLE_MIN_MS);

	/* The timer runs for the source's last events. */
	if (req->migration.state == PROXY_MIGRATION_COPIED)
		return;
	if (catalog_may_retry(req->route) && objective_ms > 0)
		uv_timer_start(&req->idle_timer, on_idle, limit_ms, limit_ms);
}

void
proxy_on_head(
    const http1_head_t *head, const response_facts_t *facts, void *data)
{
	proxy_attempt_t *attempt = data;

	attempt->response = *facts;
	attempt->status = head->status;
	attempt->response_head = head;
	attempt->has_framing = head->has_length;
	proxy_record_server_facts(attempt, facts);
}

/* Starts to forward a response that is too large to buffer. */
static void
start_forwarding(proxy_request_t *req)
{
	const proxy_attempt_t *attempt = req->attempt;
	GByteArray *body = attempt->buffered;

	exchange_start(req->exchange, attempt->response_head, EXCHANGE_CHUNKED);
	req->response_started = true;
	exchange_write(req->exchange, (const char *)body->data, body->len);
	clear_buffered(req->attempt);
}

/* Ends the attempt, and drops what its server sent, and its migration. */
static void
drop_attempt(proxy_attempt_t *attempt)
{
	proxy_request_t *req = attempt->request;

	proxy_cancel_call(attempt);
	proxy_migration_clear(req);
	uv_timer_stop(&req->idle_timer);
	uv_timer_stop(&req->hedge_timer);
	proxy_release_server(attempt);
	clear_buffered(attempt);
	if (attempt->events != NULL)
		event_stream_resume(attempt->events);
}

static void
retry_at(proxy_request_t *req, const proxy_retry_t *retry)
{
	drop_attempt(req->attempt);
	proxy_send_retry(req, retry);
}

/* Retries at another server. */
static void
retry_request(proxy_request_t *req)
{
	drop_attempt(req->attempt);
	proxy_attempt(req);
}

/* The server rejected the request without running it. */
static void
handle_not_run(proxy_attempt_t *attempt)
{
	proxy_request_t *req = attempt->request;

	proxy_record_failure(attempt, "refused as not run", true);
	server_record_outcome(attempt->server,
	    attempt->response.wrong_server ? SERVER_UNREACHABLE : SERVER_FULL,
	    0, clock_boot_ms());
	if (proxy_leave_race(attempt))
		return;
	if (proxy_may_run_anew(req) && proxy_take_retry(req))
		retry_request(req);
	else
		proxy_reject(
		    req, proxy_no_server_retry_ms(req), "server_refused");
}

static void
end_stream(proxy_request_t *req)
{
	const proxy_attempt_t *attempt = req->attempt;
	GString *remainder = event_stream_take_remainder(attempt->events);

	proxy_log_end(req, 200, "served");
	exchange_set_callbacks(req->exchange, NULL, NULL, NULL);
	if (!req->response_started)
		exchange_start(
		    req->exchange, attempt->response_head, EXCHANGE_CHUNKED);
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
is_server_error(const proxy_attempt_t *attempt)
{
	return attempt->status >= 500 || implies_not_run(attempt->status);
}

/* is_complete: all of the response is buffered. */
static void
handle_server_error(proxy_attempt_t *attempt, bool is_complete)
{
	proxy_request_t *req = attempt->request;
	proxy_retry_t retry;

	proxy_record_failed_attempt(attempt, SERVER_FAILED, "server error");
	if (proxy_leave_race(attempt))
		return;
	if (catalog_may_retry(req->route) && proxy_choose_retry(req, &retry))
		retry_at(req, &retry);
	else if (implies_not_run(attempt->status) &&
		 !catalog_may_retry(req->route))
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
	proxy_log_end(req, req->attempt->status, "served");
	exchange_set_callbacks(req->exchange, NULL, NULL, NULL);
	exchange_end(req->exchange);
	proxy_finish(req);
}

void
proxy_handle_broken(
    proxy_attempt_t *attempt, server_outcome_t outcome, const char *reason)
{
	proxy_request_t *req = attempt->request;
	bool is_truncated = req->response_started && !req->stream_started;

	proxy_record_failed_attempt(attempt, outcome, reason);
	if (proxy_leave_race(attempt))
		return;
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
is_cut_off(const proxy_attempt_t *attempt)
{
	return event_stream_has_partial_event(attempt->events) ||
	       (!attempt->response_head->has_length &&
		   attempt->first_byte_ms == 0);
}

/* The server has ended a stream. */
static void
handle_stream_end(proxy_attempt_t *attempt)
{
	if (is_cut_off(attempt)) {
		if (!attempt->response_head->has_length)
			proxy_record_crash(attempt);
		proxy_handle_broken(
		    attempt, SERVER_FAILED, "stream ended early");
		return;
	}
	if (!proxy_win_race(attempt))
		return;
	proxy_record_first_byte(attempt);
	proxy_record_survival(attempt);
	end_stream(attempt->request);
}

/*
 * The server that is to resume a stream sends another body. It is not waited
 * for, as it may have no end.
 */
static void
handle_failed_resume(proxy_attempt_t *attempt)
{
	if (attempt->response.not_run)
		handle_not_run(attempt);
	else
		proxy_handle_broken(attempt, SERVER_FAILED, "resume failed");
}

static void
handle_complete(proxy_attempt_t *attempt)
{
	proxy_request_t *req = attempt->request;

	if (is_event_stream(attempt)) {
		handle_stream_end(attempt);
		return;
	}
	if (req->stream_started) {
		handle_failed_resume(attempt);
		return;
	}
	if (req->response_started) {
		handle_started_complete(req);
		return;
	}
	if (attempt->response.not_run) {
		handle_not_run(attempt);
		return;
	}
	req->may_have_run = true;
	if (is_server_error(attempt)) {
		handle_server_error(attempt, true);
		return;
	}
	if (!proxy_win_race(attempt))
		return;
	proxy_record_first_byte(attempt);
	send_buffered(req);
}

/*
 * Bytes that complete no event, and comments, are no progress: a server that
 * sends some now and then may be stalled.
 */
static void
forward_stream(proxy_attempt_t *attempt, const char *bytes, size_t length)
{
	uint64_t count = event_stream_event_count(attempt->events);

	if (!event_stream_feed(attempt->events, bytes, length)) {
		proxy_handle_broken(attempt, SERVER_FAILED, "oversized event");
		return;
	}
	forward_events(attempt);
	if (attempt->first_byte_ms != 0 &&
	    clock_boot_ms() - attempt->first_byte_ms >= SURVIVAL_MS)
		proxy_record_survival(attempt);
	if (event_stream_event_count(attempt->events) > count)
		proxy_start_idle_timer(attempt->request,
		    GAP_OBJECTIVES * attempt->request->route->gap_objective_ms);
}

/* Passes on a part of a response whose head was sent to the client. */
static void
forward_body(proxy_attempt_t *attempt, const char *bytes, size_t length)
{
	exchange_write(attempt->request->exchange, bytes, length);
	limit_queue(attempt->request);
}

void
proxy_on_body(const char *bytes, size_t length, void *data)
{
	proxy_attempt_t *attempt = data;
	proxy_request_t *req = attempt->request;

	if (is_event_stream(attempt)) {
		forward_stream(attempt, bytes, length);
		return;
	}
	if (req->stream_started) {
		handle_failed_resume(attempt);
		return;
	}
	if (req->response_started) {
		forward_body(attempt, bytes, length);
		return;
	}
	g_byte_array_append(
	    attempt->buffered, (const guint8 *)bytes, (guint)length);
	proxy_charge_buffered(req);
	if (attempt->buffered->len <= buffered_max(req))
		return;
	if (attempt->response.not_run) {
		handle_not_run(attempt);
	} else if (is_server_error(attempt)) {
		handle_server_error(attempt, false);
	} else if (proxy_win_race(attempt)) {
		proxy_record_first_byte(attempt);
		start_forwarding(req);
	}
}

void
proxy_handle_not_sent(
    proxy_attempt_t *attempt, server_outcome_t outcome, const char *reason)
{
	proxy_request_t *req = attempt->request;

	proxy_record_failure(attempt, reason, false);
	server_record_outcome(attempt->server, outcome, 0, clock_boot_ms());
	g_ptr_array_remove(req->tried, attempt->server);
	if (proxy_leave_race(attempt))
		return;
	proxy_release_server(attempt);
	uv_timer_stop(&req->hedge_timer);
	/* Only the server that could not be reached has the copy. */
	g_clear_pointer(&req->migration.kv_location, g_free);
	if (!proxy_may_run_anew(req))
		proxy_respond(req, 502, -1, reason);
	else if (++req->connect_failures < CONNECT_FAILURES_MAX &&
		 proxy_remaining_ms(req) > PROXY_ATTEMPT_MIN_MS)
		proxy_attempt(req);
	else
		proxy_reject(req, PROXY_RETRY_AFTER_MS, reason);
}

void
proxy_on_end(upstream_result_t end, const char *reason, void *data)
{
	proxy_attempt_t *attempt = data;
	proxy_request_t *req = attempt->request;

	attempt->call = NULL;
	if (attempt == req->attempt)
		uv_timer_stop(&req->idle_timer);
	switch (end) {
	case UPSTREAM_COMPLETE:
		handle_complete(attempt);
		return;
	case UPSTREAM_NOT_SENT:
		proxy_handle_not_sent(attempt, SERVER_UNREACHABLE, reason);
		return;
	case UPSTREAM_CLOSED:
	case UPSTREAM_INCOMPLETE:
		if (proxy_migration_handle_close(req))
			return;
		if (end == UPSTREAM_CLOSED)
			proxy_record_crash(attempt);
		proxy_handle_broken(attempt, SERVER_FAILED, reason);
		return;
	}
}

/*
 * Retries where there is another server; otherwise the silent one may answer.
 * The second attempt of a hedged request goes on.
 */
static void
retry_silent(proxy_attempt_t *attempt)
{
	proxy_request_t *req = attempt->request;
	proxy_retry_t retry;

	if (!proxy_choose_retry(req, &retry))
		return;
	proxy_record_failed_attempt(attempt, SERVER_UNREACHABLE, "silent");
	retry_at(req, &retry);
}

/*
 * Time until the second attempt of a hedged request, which may still fail, has
 * been silent for limit_ms too; not above 0: it has been, or there is none.
 */
static int64_t
second_wait_ms(const proxy_request_t *req, int64_t limit_ms)
{
	if (!hedge_race_is_open(&req->race))
		return 0;
	return req->other_attempt->start_ms + limit_ms - clock_boot_ms();
}

static void
on_idle(uv_timer_t *timer)
{
	proxy_request_t *req = timer->data;
	proxy_attempt_t *attempt = req->attempt;
	int64_t wait_ms;

	if (attempt->call == NULL ||
	    req->migration.state == PROXY_MIGRATION_COPYING ||
	    (req->response_started && !req->stream_started))
		return;
	/* Unread after a pause, or as the client does not read. */
	if (proxy_has_unread(attempt)) {
		uv_timer_start(timer, on_idle, IDLE_RECHECK_MS,
		    uv_timer_get_repeat(timer));
		return;
	}
	wait_ms = second_wait_ms(req, (int64_t)uv_timer_get_repeat(timer));
	if (wait_ms > 0)
		uv_timer_start(timer, on_idle, (uint64_t)wait_ms,
		    uv_timer_get_repeat(timer));
	else
		retry_silent(attempt);
}
