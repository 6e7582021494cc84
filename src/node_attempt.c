#include "clock.h"
#include "node_call.h"

enum {
	/* Multiples of the objective after which a response is overdue. */
	PATIENCE_OBJECTIVES = 4,
	/* Without an objective: this part of the service's timeout. */
	PATIENCE_TIMEOUT_PARTS = 4,
};

static void
list_remove(attempt_t *attempt)
{
	TAILQ_REMOVE(&attempt->node->calls->attempts, attempt, entries);
}

static void
leave_call(attempt_t *attempt)
{
	call_t *call = attempt->call;

	if (call == NULL)
		return;
	attempt->call = NULL;
	if (call->attempt == attempt)
		call->attempt = NULL;
	call_unref(call);
}

static char *
request_url(const backend_t *backend, const char *path)
{
	return g_strdup_printf("http://%s%s", backend->address, path);
}

static GPtrArray *
request_headers(const attempt_t *attempt, const char *const *more)
{
	GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);

	g_ptr_array_add(
	    headers, g_strdup_printf("Papaya-Attempt: %s", attempt->id));
	g_ptr_array_add(
	    headers, g_strdup_printf("Papaya-Timeout-Ms: %" G_GINT64_FORMAT,
			 call_left_ms(attempt->call)));
	for (; more != NULL && *more != NULL; more++)
		g_ptr_array_add(headers, g_strdup(*more));
	g_ptr_array_add(headers, NULL);
	return headers;
}

attempt_t *
attempt_start(
    call_t *call, backend_t *backend, const attempt_request_t *request)
{
	attempt_t *attempt = g_new0(attempt_t, 1);
	char *url = request_url(backend, request->path);
	http_call_options_t options = {
	    .method = request->method,
	    .url = url,
	    .body = request->body,
	    .body_length = request->length,
	    .timeout_ms = MAX(call_left_ms(call), 1),
	    .on_data = request->on_data,
	    .on_complete = request->on_done,
	    .data = attempt,
	};
	GPtrArray *headers;

	call->attempts++;
	call->attempt = attempt;
	attempt->node = call->node;
	attempt->call = call_ref(call);
	attempt->backend = backend_ref(backend);
	attempt->id = g_strdup_printf("%s.%u", call->id, call->attempts);
	attempt->begun_ms = clock_mono_ms();
	TAILQ_INSERT_TAIL(&call->node->calls->attempts, attempt, entries);
	backend_request_started(backend, attempt->begun_ms);
	counter_add(call->node->counters, 1, "attempts_total");
	headers = request_headers(attempt, request->headers);
	options.headers = (const char *const *)headers->pdata;
	attempt->http = http_call_start(call->node->http, &options);
	g_ptr_array_free(headers, TRUE);
	g_free(url);
	return attempt;
}

/* The failure of a host that leaves is no evidence against its version. */
static bool
is_evidence(const attempt_t *attempt, attempt_result_t result)
{
	if (result == ATTEMPT_GIVEN_UP)
		return false;
	return result == ATTEMPT_OK ||
	       attempt->backend->state == BACKEND_LIVE ||
	       attempt->backend->state == BACKEND_SUSPECT;
}

/*
 * Time to the first token or answer. A pace between tokens that is worse by
 * its objective counts as a first token worse by as much, since a version may
 * be slow in either.
 */
static double
evidence_ms(const attempt_t *attempt, double first_ms)
{
	const slo_t *slo = &attempt->call->service->slo;
	double gap_ms;

	if (attempt->tokens < 2 || slo->first_token_ms == 0 ||
	    slo->between_tokens_ms == 0)
		return first_ms;
	gap_ms = (double)(attempt->last_ms - attempt->first_ms) /
		 (attempt->tokens - 1);
	return MAX(
	    first_ms, gap_ms * slo->first_token_ms / slo->between_tokens_ms);
}

int64_t
call_patience_ms(const call_t *call)
{
	const service_t *service = call->service;
	int objective_ms = call->kind == CALL_MODEL
			       ? service->slo.first_token_ms
			       : service->slo.answer_ms;

	if (objective_ms == 0)
		return MAX(
		    STALL_MIN_MS, service->timeout_ms / PATIENCE_TIMEOUT_PARTS);
	return MAX(STALL_MIN_MS, (int64_t)objective_ms * PATIENCE_OBJECTIVES);
}

attempt_result_t
attempt_expired(const attempt_t *attempt)
{
	int64_t waited_ms = clock_mono_ms() - attempt->begun_ms;

	return attempt->first_ms == 0 &&
		       waited_ms >= call_patience_ms(attempt->call)
		   ? ATTEMPT_FAILED
		   : ATTEMPT_GIVEN_UP;
}

void
attempt_report(attempt_t *attempt, attempt_result_t result)
{
	backend_t *backend = attempt->backend;
	int64_t now_ms = clock_mono_ms();
	double latency_ms = backend->average_latency_ms;
	call_t *call = attempt->call;

	if (attempt->reported)
		return;
	attempt->reported = true;
	if (attempt->first_ms != 0)
		latency_ms = (double)(attempt->first_ms - attempt->begun_ms);
	backend_request_finished(
	    backend, result != ATTEMPT_FAILED, latency_ms, now_ms);
	if (call != NULL && is_evidence(attempt, result))
		node_moves_observe(call->node, call->service, backend->version,
		    call->route, result == ATTEMPT_OK,
		    evidence_ms(attempt, latency_ms));
}

void
attempt_detach(attempt_t *attempt)
{
	attempt_report(attempt, ATTEMPT_GIVEN_UP);
	leave_call(attempt);
}

void
attempt_free(attempt_t *attempt)
{
	attempt_report(attempt, ATTEMPT_GIVEN_UP);
	leave_call(attempt);
	list_remove(attempt);
	backend_unref(attempt->backend);
	if (attempt->body != NULL)
		g_string_free(attempt->body, TRUE);
	g_free(attempt->id);
	g_free(attempt);
}

void
attempt_cancel(attempt_t *attempt, attempt_result_t result)
{
	attempt_report(attempt, result);
	http_call_cancel(attempt->http);
	attempt_free(attempt);
}

size_t
attempt_read_headers(const http_call_t *http, const char *const *names,
    size_t name_count, http_header_t *headers)
{
	size_t count = 0;

	for (size_t i = 0; i < name_count; i++) {
		const char *value = http_call_header(http, names[i]);

		if (value != NULL)
			headers[count++] = (http_header_t){names[i], value};
	}
	return count;
}
