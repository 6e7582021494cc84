#include "clock.h"
#include "json.h"
#include "node_call.h"
#include "reclaim.h"

#include <string.h>

enum {
	/* Estimates for an engine that reports no size of its own. */
	KV_BYTES_PER_TOKEN = 1024,
	PROMPT_BYTES_PER_TOKEN = 4,
	TRANSFER_TIMEOUT_MS = 2000,
};

/* Assumed speed of a KV cache export between hosts: 1 GB/s. */
static const double KV_BYTES_PER_MS = 1e6;

/* The KV cache of one stream on its way to another backend server. */
typedef struct transfer {
	call_t *call;	   /* reference */
	char *attempt;	   /* id */
	backend_t *target; /* reference */
} transfer_t;

static void
transfer_free(transfer_t *transfer)
{
	call_unref(transfer->call);
	backend_unref(transfer->target);
	g_free(transfer->attempt);
	g_free(transfer);
}

/* The stream has not ended or been resumed in the meantime. */
static bool
still_current(const transfer_t *transfer)
{
	const call_t *call = transfer->call;

	return call->state == CALL_RUNNING && call->attempt != NULL &&
	       strcmp(call->attempt->id, transfer->attempt) == 0;
}

static void
post(transfer_t *transfer, const backend_t *backend, const char *path,
    json_t *body,
    void (*on_done)(http_call_t *http, const http_result_t *result, void *data))
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	char *url = g_strdup_printf("http://%s%s", backend->address, path);
	char *text = json_text(body);
	http_call_options_t options = {
	    .method = "POST",
	    .url = url,
	    .headers = headers,
	    .body = text,
	    .body_length = strlen(text),
	    .timeout_ms = TRANSFER_TIMEOUT_MS,
	    .on_complete = on_done,
	    .data = transfer,
	};

	http_call_start(transfer->call->node->http, &options);
	json_decref(body);
	g_free(text);
	g_free(url);
}

static bool
succeeded(const http_result_t *result)
{
	return result->outcome == HTTP_OUTCOME_COMPLETE &&
	       result->status == 200;
}

/* Whether or not the cache arrived, the stream goes on at the target. */
static void
on_imported(http_call_t *http, const http_result_t *result, void *data)
{
	transfer_t *transfer = data;

	if (!succeeded(result))
		counter_add(transfer->call->node->counters, 1,
		    "kv_transfers_failed_total");
	if (still_current(transfer))
		model_resume_at(transfer->call, transfer->target);
	transfer_free(transfer);
}

static void
on_exported(http_call_t *http, const http_result_t *result, void *data)
{
	transfer_t *transfer = data;
	json_t *body = NULL;
	const char *handle;

	if (!still_current(transfer)) {
		transfer_free(transfer);
		return;
	}
	if (succeeded(result))
		body = json_parse(
		    result->body, result->body_length, "export", NULL);
	handle = json_get_string(body, "handle", NULL);
	if (handle != NULL) {
		post(transfer, transfer->target, "/v1/kv/import",
		    json_pack("{s:s}", "handle", handle), on_imported);
	} else {
		counter_add(transfer->call->node->counters, 1,
		    "kv_transfers_failed_total");
		model_resume_at(transfer->call, transfer->target);
		transfer_free(transfer);
	}
	json_decref(body);
}

static void
move_cache(call_t *call, backend_t *target)
{
	transfer_t *transfer = g_new0(transfer_t, 1);

	call->attempt->moving = true;
	transfer->call = call_ref(call);
	transfer->target = backend_ref(target);
	transfer->attempt = g_strdup(call->attempt->id);
	counter_add(call->node->counters, 1, "kv_transfers_total");
	post(transfer, call->attempt->backend, "/v1/kv/export",
	    json_pack("{s:s}", "attempt", transfer->attempt), on_exported);
}

static reclaim_action_t
choose(const call_t *call)
{
	const attempt_t *attempt = call->attempt;
	unsigned tokens = stream_token_count(call->stream);
	reclaim_stream_t stream = {
	    .time_to_reclaim_ms =
		attempt->backend->leave_at_ms - clock_wall_ms(),
	    .remaining_tokens_max = call->max_tokens - tokens,
	    .kv_cache_bytes =
		(strlen(call->prompt) / PROMPT_BYTES_PER_TOKEN + tokens) *
		KV_BYTES_PER_TOKEN,
	    .transfer_bytes_per_ms = KV_BYTES_PER_MS,
	};

	if (attempt->tokens > 1)
		stream.token_interval_ms =
		    (double)(attempt->last_ms - attempt->first_ms) /
		    (attempt->tokens - 1);
	return reclaim_choose_action(&stream);
}

static void
reclaim_stream(call_t *call)
{
	backend_t *target;

	switch (choose(call)) {
	case RECLAIM_FINISH:
		return;
	case RECLAIM_EXPORT:
		call_exclude(call, call->attempt->backend);
		target = call_choose(call);
		/* Without a target the stream stays while it can. */
		if (target != NULL)
			move_cache(call, target);
		return;
	case RECLAIM_RECOMPUTE:
		if (call_has_other(call))
			model_resume_at(call, NULL);
		return;
	}
}

void
reclaim_streams(node_calls_t *calls)
{
	call_t *call, *next;

	for (call = TAILQ_FIRST(&calls->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, entries);
		if (call->kind == CALL_MODEL && call->state == CALL_RUNNING &&
		    call->attempt != NULL && !call->attempt->moving &&
		    call->attempt->backend->state == BACKEND_DRAINING &&
		    call->attempt->backend->leave_at_ms != 0)
			reclaim_stream(call);
	}
}
