#include "clock.h"
#include "error.h"
#include "json.h"
#include "node_call.h"

#include <string.h>

enum {
	/* Multiples of the objective between tokens that count as a stall. */
	STALL_OBJECTIVES = 16,
	STALL_DEFAULT_MS = 5000, /* without an objective */
	STALL_CHECK_MS = 250,
};

static void model_attempt(call_t *call, backend_t *target);

static void
write_event(listener_t *listener, json_t *event)
{
	char *text = json_text(event);
	char *line = g_strdup_printf("data: %s\n\n", text);

	http_stream_write(listener->request, line, strlen(line));
	g_free(line);
	g_free(text);
	json_decref(event);
}

static json_t *
usage_json(const call_t *call)
{
	return json_pack("{s:i,s:I}", "completion_tokens",
	    (int)stream_token_count(call->stream), "recomputed_tokens",
	    (json_int_t)stream_recomputed_tokens(call->stream));
}

static void
write_token(const call_t *call, listener_t *listener)
{
	unsigned index = listener->written++;
	bool last = stream_is_complete(call->stream) &&
		    listener->written == stream_token_count(call->stream);
	json_t *event = json_pack("{s:o,s:s,s:i,s:[{s:s,s:s?}]}", "id",
	    json_from_bytes(listener->id), "model", call->version, "index",
	    (int)index, "choices", "text", stream_token(call->stream, index),
	    "finish_reason", last ? stream_finish_reason(call->stream) : NULL);

	if (last)
		json_object_set_new(event, "usage", usage_json(call));
	write_event(listener, event);
}

static void
reply_whole(const call_t *call, const listener_t *listener)
{
	const http_header_t headers[] = {
	    {"content-type", "application/json"},
	    {"papaya-attempt", listener->id},
	    {"papaya-version", call->version},
	};
	GString *text = g_string_new(NULL);
	json_t *body;
	char *reply;

	for (unsigned i = 0; i < stream_token_count(call->stream); i++)
		g_string_append(text, stream_token(call->stream, i));
	body = json_pack("{s:o,s:s,s:[{s:i,s:s,s:s}],s:o}", "id",
	    json_from_bytes(listener->id), "model", call->version, "choices",
	    "index", 0, "text", text->str, "finish_reason",
	    stream_finish_reason(call->stream), "usage", usage_json(call));
	reply = json_text(body);
	http_reply(listener->request, 200, headers, G_N_ELEMENTS(headers),
	    reply, strlen(reply));
	g_free(reply);
	json_decref(body);
	g_string_free(text, TRUE);
}

static void
on_drained(void *data)
{
	listener_t *listener = data;

	if (listener->call != NULL)
		model_catch_up(listener->call, listener);
}

static void
begin_listener(const call_t *call, listener_t *listener)
{
	const http_header_t headers[] = {
	    {"content-type", "text/event-stream"},
	    {"cache-control", "no-store"},
	    {"papaya-attempt", listener->id},
	    {"papaya-version", call->version},
	};

	listener->begun = true;
	http_stream_on_drained(listener->request, on_drained, listener);
	http_stream_begin(
	    listener->request, 200, headers, G_N_ELEMENTS(headers));
}

/* Writes what is new and fits. The client may be gone afterwards. */
static void
write_new(call_t *call, listener_t *listener)
{
	if (!listener->stream || stream_token_count(call->stream) == 0)
		return;
	if (!listener->begun)
		begin_listener(call, listener);
	while (listener->call != NULL &&
	       listener->written < stream_token_count(call->stream) &&
	       http_stream_pending(listener->request) < CLIENT_PENDING_MAX)
		write_token(call, listener);
}

/* Replies the end of a whole response to a listener that has the rest. */
static void
end_listener(call_t *call, listener_t *listener)
{
	static const char done[] = "data: [DONE]\n\n";

	if (listener->call == NULL || !stream_is_complete(call->stream))
		return;
	if (!listener->stream) {
		call_detach_listener(listener);
		reply_whole(call, listener);
	} else if (listener->written == stream_token_count(call->stream)) {
		call_detach_listener(listener);
		http_stream_write(listener->request, done, strlen(done));
		http_stream_end(listener->request);
	}
}

void
model_catch_up(call_t *call, listener_t *listener)
{
	call_ref(call);
	listener->refs++;
	write_new(call, listener);
	end_listener(call, listener);
	listener_unref(listener);
	if (stream_is_complete(call->stream) && TAILQ_EMPTY(&call->listeners) &&
	    call->abandoned_ms == 0)
		call_finish(call);
	call_unref(call);
}

static void
write_all(call_t *call)
{
	listener_t *listener, *next;

	for (listener = TAILQ_FIRST(&call->listeners); listener != NULL;
	     listener = next) {
		next = TAILQ_NEXT(listener, entries);
		model_catch_up(call, listener);
	}
}

/* Clients that read slowly get the rest while they hold no backend server. */
static void
complete(call_t *call)
{
	counter_add(call->node->counters, 1, "streams_completed_total");
	call_release(call);
	write_all(call);
	call_wake_after(call, call_left_ms(call));
}

static int64_t
stall_ms(const call_t *call, const attempt_t *attempt)
{
	int64_t between_ms = call->service->slo.between_tokens_ms;

	if (attempt->first_ms == 0)
		return call_patience_ms(call);
	if (between_ms == 0)
		return STALL_DEFAULT_MS;
	return MAX(between_ms * STALL_OBJECTIVES, STALL_MIN_MS);
}

static bool
may_retry(call_t *call, bool sent)
{
	bool resume = stream_token_count(call->stream) > 0;

	if (call->attempts >= ATTEMPTS_MAX || call_left_ms(call) <= 0)
		return false;
	return !sent || admit_take_retry(call->admit, call->workspace, resume);
}

static void
fail_attempts(call_t *call, const char *reason)
{
	if (call_left_ms(call) <= 0)
		call_fail(call, PAPAYA_ERROR_DEADLINE_EXCEEDED,
		    "service %s: the response was not complete in time",
		    call->service->name);
	else
		call_fail(call, PAPAYA_ERROR_BACKEND_FAILED,
		    "service %s: %s after %u attempts", call->service->name,
		    reason, call->attempts);
}

/* The current attempt is over without a whole response. */
static void
next_attempt(call_t *call, backend_t *failed, bool sent, const char *reason)
{
	counter_add(call->node->counters, 1,
	    "attempts_failed_total{reason=\"%s\"}", reason);
	call->sent |= sent;
	call_exclude(call, failed);
	if (!may_retry(call, sent)) {
		fail_attempts(call, reason);
		return;
	}
	counter_add(call->node->counters, 1,
	    stream_token_count(call->stream) > 0 ? "stream_resumes_total"
						 : "retries_total");
	call_fall_back(call);
	model_attempt(call, NULL);
}

/* The engine blames the request: no other engine would take it. */
static void
reject(call_t *call, long status)
{
	call->sent = true;
	call_fail(call, PAPAYA_ERROR_BAD_REQUEST,
	    "the engine rejected the request with status %ld", status);
}

/* Handles a status that ends the attempt; the HTTP call goes on by itself. */
static void
on_status(attempt_t *attempt, stream_status_t status, long http_status)
{
	call_t *call = call_ref(attempt->call);

	if (status == STREAM_COMPLETE) {
		attempt_report(attempt, ATTEMPT_OK);
		attempt_detach(attempt);
		complete(call);
	} else if (status == STREAM_REJECTED) {
		attempt_detach(attempt);
		reject(call, http_status);
	} else {
		attempt_report(attempt, ATTEMPT_FAILED);
		attempt_detach(attempt);
		next_attempt(
		    call, attempt->backend, true, stream_status_name(status));
	}
	call_unref(call);
}

static void
note_progress(attempt_t *attempt, unsigned tokens)
{
	attempt->last_ms = clock_mono_ms();
	attempt->tokens += tokens;
	if (attempt->first_ms != 0 || tokens == 0)
		return;
	attempt->first_ms = attempt->last_ms;
	call_first(
	    attempt->call, (double)(attempt->first_ms - attempt->begun_ms));
}

/* Checks the header before the first byte of the body counts. */
static stream_status_t
check_header(attempt_t *attempt, http_call_t *http)
{
	if (attempt->last_ms != 0)
		return STREAM_OPEN;
	return stream_receive_header(attempt->call->stream, attempt->id,
	    http_call_status(http), http_call_header(http, "papaya-attempt"));
}

static bool
on_data(http_call_t *http, const char *bytes, size_t length, void *data)
{
	attempt_t *attempt = data;
	call_t *call = attempt->call;
	stream_status_t status;
	unsigned before;

	if (call == NULL) /* nothing of a detached attempt counts */
		return false;
	before = stream_token_count(call->stream);
	status = check_header(attempt, http);
	if (status == STREAM_OPEN)
		status = stream_receive_data(
		    call->stream, attempt->id, bytes, length);
	note_progress(attempt, stream_token_count(call->stream) - before);
	if (status != STREAM_OPEN) {
		on_status(attempt, status, http_call_status(http));
		return status == STREAM_COMPLETE;
	}
	if (stream_token_count(call->stream) > before)
		write_all(call);
	return true;
}

static void
on_done(http_call_t *http, const http_result_t *result, void *data)
{
	attempt_t *attempt = data;
	call_t *call = attempt->call;
	stream_status_t status;

	if (call == NULL) {
		attempt_free(attempt);
		return;
	}
	call_ref(call);
	call->attempt = NULL;
	status = result->outcome == HTTP_OUTCOME_COMPLETE
		     ? check_header(attempt, http)
		     : STREAM_OPEN;
	if (status == STREAM_OPEN)
		status = stream_receive_end(call->stream, attempt->id);
	if (status == STREAM_REJECTED) {
		reject(call, result->status);
	} else {
		bool sent = result->outcome != HTTP_OUTCOME_NOT_SENT;

		attempt_report(attempt, result->outcome == HTTP_OUTCOME_TIMEOUT
					    ? attempt_expired(attempt)
					    : ATTEMPT_FAILED);
		next_attempt(call, attempt->backend, sent,
		    sent ? stream_status_name(status) : "unreachable");
	}
	attempt_free(attempt);
	call_unref(call);
}

static char *
request_body(const call_t *call)
{
	json_t *resume = json_array();
	json_t *body;
	char *text;

	for (unsigned i = 0; i < stream_token_count(call->stream); i++)
		json_array_append_new(
		    resume, json_string(stream_token(call->stream, i)));
	body = json_pack("{s:s,s:i,s:b,s:i,s:o}", "prompt", call->prompt,
	    "max_tokens", (int)call->max_tokens, "stream", 1, "priority",
	    call->priority, "resume_tokens", resume);
	text = json_text(body);
	json_decref(body);
	return text;
}

/* Starts the next attempt, at the target if it is usable. */
static void
model_attempt(call_t *call, backend_t *target)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	attempt_request_t request = {
	    .method = "POST",
	    .path = "/v1/completions",
	    .headers = headers,
	    .on_data = on_data,
	    .on_done = on_done,
	};
	backend_t *backend = target;
	attempt_t *attempt;
	char *body;

	stream_cancel_attempt(call->stream);
	if (backend == NULL || !backend_usable(backend, clock_mono_ms()))
		backend = call_choose_or_wait(call);
	if (backend == NULL)
		return;
	if (stream_token_count(call->stream) == 0)
		stream_set_version(call->stream, call->version);
	body = request_body(call);
	request.body = body;
	request.length = strlen(body);
	attempt = attempt_start(call, backend, &request);
	stream_start_attempt(call->stream, attempt->id);
	g_free(body);
	call_wake_after(call, stall_ms(call, attempt));
}

void
model_run(call_t *call)
{
	call->stream = stream_new(call->max_tokens, call->version);
	model_attempt(call, NULL);
}

void
model_resume_at(call_t *call, backend_t *target)
{
	attempt_t *attempt = call->attempt;

	call->sent = true;
	if (attempt != NULL) {
		call_exclude(call, attempt->backend);
		attempt_cancel(attempt, ATTEMPT_GIVEN_UP);
	}
	counter_add(call->node->counters, 1, "stream_resumes_total");
	model_attempt(call, target);
}

static int64_t
stalled_for_ms(const attempt_t *attempt)
{
	return clock_mono_ms() - MAX(attempt->last_ms, attempt->begun_ms);
}

/* Where nothing else is usable, a stalled attempt is the best there is. */
void
model_wake(call_t *call)
{
	attempt_t *attempt = call->attempt;
	int64_t stall;

	if (stream_is_complete(call->stream)) { /* its clients still read */
		call_wake_after(call, call_left_ms(call));
		return;
	}
	if (attempt == NULL) {
		model_attempt(call, NULL);
		return;
	}
	stall = stall_ms(call, attempt);
	if (stalled_for_ms(attempt) < stall) {
		call_wake_after(call, stall - stalled_for_ms(attempt));
		return;
	}
	if (!call_has_other(call) || !may_retry(call, true)) {
		call_wake_after(call, STALL_CHECK_MS);
		return;
	}
	counter_add(call->node->counters, 1,
	    "attempts_failed_total{reason=\"stalled\"}");
	call_exclude(call, attempt->backend);
	attempt_cancel(attempt, ATTEMPT_FAILED);
	call->sent = true;
	model_attempt(call, NULL);
}
