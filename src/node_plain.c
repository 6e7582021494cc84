#include "clock.h"
#include "error.h"
#include "node_call.h"

#include <string.h>

enum {
	/* Responses of plain services are held in memory until complete. */
	BODY_MAX = 8 * 1024 * 1024,
};

/* Response headers that reach the client, besides the body. */
static const char *const passed_headers[] = {"content-type", "location",
    "cache-control", "etag", "last-modified", "content-language"};

static void plain_attempt(call_t *call);

static bool
on_data(http_call_t *http, const char *bytes, size_t length, void *data)
{
	attempt_t *attempt = data;

	if (attempt->body->len + length > BODY_MAX)
		return false;
	g_string_append_len(attempt->body, bytes, (gssize)length);
	return true;
}

static void
reply(call_t *call, attempt_t *attempt, http_call_t *http, long status)
{
	http_header_t headers[G_N_ELEMENTS(passed_headers) + 2];
	listener_t *listener;
	size_t count = attempt_read_headers(
	    http, passed_headers, G_N_ELEMENTS(passed_headers), headers);

	headers[count++] = (http_header_t){"papaya-version", call->version};
	while ((listener = call_take_listener(call)) != NULL) {
		headers[count] =
		    (http_header_t){"papaya-attempt", listener->id};
		http_reply(listener->request, (int)status, headers, count + 1,
		    attempt->body->str, attempt->body->len);
		listener_unref(listener);
	}
}

/* Why a finished attempt gives no answer; NULL if it gives one. */
static const char *
failure_of(
    const attempt_t *attempt, http_call_t *http, const http_result_t *result)
{
	const char *echoed = http_call_header(http, "papaya-attempt");

	switch (result->outcome) {
	case HTTP_OUTCOME_NOT_SENT:
		return "unreachable";
	case HTTP_OUTCOME_TIMEOUT:
		return "timeout";
	case HTTP_OUTCOME_FAILED:
		return "truncated";
	case HTTP_OUTCOME_COMPLETE:
		break;
	}
	if (result->status >= 500 || result->status == 429)
		return "failed";
	if (echoed == NULL || strcmp(echoed, attempt->id) != 0)
		return "misdelivered";
	return NULL;
}

static bool
may_retry(call_t *call, const http_result_t *result)
{
	if (call->attempts >= ATTEMPTS_MAX || call_left_ms(call) <= 0)
		return false;
	if (result->outcome == HTTP_OUTCOME_NOT_SENT)
		return true;
	return admit_take_retry(call->admit, call->workspace, false);
}

static void
on_failed(call_t *call, attempt_t *attempt, http_call_t *http,
    const http_result_t *result, const char *failure)
{
	counter_add(call->node->counters, 1,
	    "attempts_failed_total{reason=\"%s\"}", failure);
	call->sent |= result->outcome != HTTP_OUTCOME_NOT_SENT;
	call_exclude(call, attempt->backend);
	attempt_report(attempt, result->outcome == HTTP_OUTCOME_TIMEOUT
				    ? attempt_expired(attempt)
				    : ATTEMPT_FAILED);
	if (may_retry(call, result)) {
		counter_add(call->node->counters, 1, "retries_total");
		call_fall_back(call);
		plain_attempt(call);
		return;
	}
	if (call_left_ms(call) <= 0) {
		call_fail(call, PAPAYA_ERROR_DEADLINE_EXCEEDED,
		    "service %s gave no answer in time", call->service->name);
		return;
	}
	if (strcmp(failure, "failed") != 0) {
		call_fail(call, PAPAYA_ERROR_BACKEND_FAILED, "service %s: %s",
		    call->service->name, failure);
		return;
	}
	/* The service's own error is more telling than one of ours. */
	reply(call, attempt, http, result->status);
	call_finish(call);
}

static void
on_done(http_call_t *http, const http_result_t *result, void *data)
{
	attempt_t *attempt = data;
	const char *failure = failure_of(attempt, http, result);
	call_t *call = call_ref(attempt->call);

	/* From here on the call may start its next attempt. */
	call->attempt = NULL;
	if (failure == NULL) {
		attempt->first_ms = clock_mono_ms();
		attempt_report(attempt, ATTEMPT_OK);
		call_first(
		    call, (double)(attempt->first_ms - attempt->begun_ms));
		reply(call, attempt, http, result->status);
		call_finish(call);
	} else {
		on_failed(call, attempt, http, result, failure);
	}
	attempt_free(attempt);
	call_unref(call);
}

static void
plain_attempt(call_t *call)
{
	backend_t *backend = call_choose_or_wait(call);
	attempt_request_t request = {
	    .method = call->method,
	    .path = call->path,
	    .headers = (const char *const *)call->headers->pdata,
	    .on_data = on_data,
	    .on_done = on_done,
	};

	if (backend == NULL)
		return;
	request.body = g_bytes_get_data(call->body, &request.length);
	attempt_start(call, backend, &request)->body = g_string_new(NULL);
	call_wake_after(call, call_patience_ms(call));
}

void
plain_run(call_t *call)
{
	plain_attempt(call);
}

void
plain_wake(call_t *call)
{
	attempt_t *attempt = call->attempt;

	if (attempt == NULL) {
		plain_attempt(call);
		return;
	}
	if (clock_mono_ms() - attempt->begun_ms < call_patience_ms(call) ||
	    call->attempts >= ATTEMPTS_MAX || !call_has_other(call) ||
	    !admit_take_retry(call->admit, call->workspace, false)) {
		call_wake_after(call, STALL_MIN_MS);
		return;
	}
	counter_add(call->node->counters, 1,
	    "attempts_failed_total{reason=\"stalled\"}");
	call->sent = true;
	call_exclude(call, attempt->backend);
	attempt_cancel(attempt, ATTEMPT_FAILED);
	plain_attempt(call);
}
