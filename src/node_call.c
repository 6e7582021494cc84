#include "node_call.h"

#include "clock.h"
#include "error.h"
#include "json.h"

#include <string.h>

enum { RECLAIM_POLL_MS = 50 };

static void pump_later(node_calls_t *calls);
static void call_run(call_t *call);

call_t *
call_ref(call_t *call)
{
	call->refs++;
	return call;
}

void
call_unref(call_t *call)
{
	if (--call->refs > 0)
		return;
	stream_free(call->stream);
	g_ptr_array_free(call->excluded, TRUE);
	g_ptr_array_free(call->headers, TRUE);
	g_clear_pointer(&call->body, g_bytes_unref);
	g_clear_error(&call->refusal);
	settings_tree_unref(call->tree);
	g_free(call->workspace);
	g_free(call->id);
	g_free(call->key);
	g_free(call->route);
	g_free(call->method);
	g_free(call->path);
	g_free(call->version);
	g_free(call->prompt);
	g_free(call);
}

static void
free_backend_ref(gpointer data)
{
	backend_unref(data);
}

static admit_t *
admit_of(node_calls_t *calls, const service_t *service)
{
	admit_t *admit = g_hash_table_lookup(calls->admits, service->name);

	if (admit == NULL) {
		admit = admit_new(service);
		g_hash_table_insert(
		    calls->admits, g_strdup(service->name), admit);
	} else {
		admit_configure(admit, service);
	}
	return admit;
}

call_t *
call_new(node_t *node, call_kind_t kind, settings_tree_t *tree,
    const service_t *service)
{
	node_calls_t *calls = node->calls;
	call_t *call = g_new0(call_t, 1);

	call->refs = 2; /* the list and the timer */
	call->node = node;
	call->kind = kind;
	call->tree = settings_tree_ref(tree);
	call->service = service;
	call->admit = admit_of(calls, service);
	call->id =
	    g_strdup_printf("%s-%" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
		node->config->name, node->incarnation, ++calls->next_id);
	call->excluded = g_ptr_array_new_with_free_func(free_backend_ref);
	call->headers = g_ptr_array_new_with_free_func(g_free);
	call->started_ms = clock_mono_ms();
	TAILQ_INIT(&call->listeners);
	TAILQ_INSERT_TAIL(&calls->calls, call, entries);
	uv_timer_init(node->loop, &call->timer);
	call->timer.data = call;
	return call;
}

void
listener_unref(listener_t *listener)
{
	if (--listener->refs > 0)
		return;
	http_request_unref(listener->request);
	g_free(listener->id);
	g_free(listener);
}

static void
abandon(call_t *call)
{
	counter_add(call->node->counters, 1, "requests_abandoned_total");
	if (call->key == NULL || call->state != CALL_RUNNING) {
		call_finish(call);
		return;
	}
	call->abandoned_ms = clock_mono_ms();
	call_wake_after(call, ABANDONED_LINGER_MS);
}

void
call_detach_listener(listener_t *listener)
{
	TAILQ_REMOVE(&listener->call->listeners, listener, entries);
	listener->call = NULL;
	listener_unref(listener);
}

static void
listener_leave(listener_t *listener)
{
	call_t *call = listener->call;

	if (call == NULL)
		return;
	call_detach_listener(listener);
	if (!TAILQ_EMPTY(&call->listeners) || call->state == CALL_DONE)
		return;
	if (call->kind == CALL_BOOK && call->state == CALL_RUNNING) {
		call->ok = true;
		call_finish(call);
	} else {
		abandon(call);
	}
}

/* The client left or the reply is complete. */
static void
on_gone(void *data)
{
	listener_t *listener = data;

	listener_leave(listener);
	listener_unref(listener);
}

void
call_listen(call_t *call, http_request_t *request, bool stream)
{
	const char *id = http_request_header(request, "papaya-attempt");
	listener_t *listener = g_new0(listener_t, 1);

	listener->refs = 2; /* the call's list and the hook */
	listener->call = call;
	listener->request = http_request_ref(request);
	listener->id = g_strdup(id != NULL ? id : call->id);
	listener->stream = stream;
	call->abandoned_ms = 0;
	TAILQ_INSERT_TAIL(&call->listeners, listener, entries);
	http_request_on_close(request, on_gone, listener);
	if (call->stream != NULL)
		model_catch_up(call, listener);
}

listener_t *
call_take_listener(call_t *call)
{
	listener_t *listener = TAILQ_FIRST(&call->listeners);

	if (listener == NULL)
		return NULL;
	TAILQ_REMOVE(&call->listeners, listener, entries);
	listener->call = NULL;
	return listener;
}

int64_t
call_left_ms(const call_t *call)
{
	return call->deadline_ms - clock_mono_ms();
}

static void
on_timer_closed(uv_handle_t *handle)
{
	call_unref(handle->data);
}

void
call_release(call_t *call)
{
	if (!call->admission.running)
		return;
	admit_finish(call->admit, &call->admission, call->ok, call->first_ms,
	    clock_mono_ms());
	pump_later(call->node->calls);
}

void
call_finish(call_t *call)
{
	node_calls_t *calls = call->node->calls;
	bool paced = call->state == CALL_PACED;
	listener_t *listener;

	if (call->state == CALL_DONE)
		return;
	call->state = CALL_DONE;
	if (call->attempt != NULL)
		attempt_cancel(call->attempt, ATTEMPT_GIVEN_UP);
	while ((listener = call_take_listener(call)) != NULL)
		listener_unref(listener);
	if (call->key != NULL &&
	    g_hash_table_lookup(calls->by_key, call->key) == call)
		g_hash_table_remove(calls->by_key, call->key);
	if (paced)
		admit_refusal_sent(call->admit);
	call_release(call);
	admit_cancel(call->admit, &call->admission);
	TAILQ_REMOVE(&calls->calls, call, entries);
	uv_timer_stop(&call->timer);
	uv_close((uv_handle_t *)&call->timer, on_timer_closed);
	call_unref(call);
}

static void
reply_error(listener_t *listener, const GError *error, bool not_run)
{
	papaya_error_t kind = papaya_error_kind(error);
	json_t *event;
	char *text, *line;

	if (!listener->begun) {
		http_reply_error(listener->request, error, not_run);
		return;
	}
	if (http_stream_pending(listener->request) >= CLIENT_PENDING_MAX) {
		/* It does not read: it would not read the error either. */
		http_request_disconnect(listener->request);
		return;
	}
	event = json_pack("{s:o,s:{s:s,s:o,s:s,s:b}}", "id",
	    json_from_bytes(listener->id), "error", "kind",
	    papaya_error_name(kind), "message", json_from_bytes(error->message),
	    "remedy", papaya_error_remedy(kind), "not_run", 0);
	text = json_text(event);
	line = g_strdup_printf("data: %s\n\n", text);
	http_stream_write(listener->request, line, strlen(line));
	http_stream_abort(listener->request);
	g_free(line);
	g_free(text);
	json_decref(event);
}

static void
fail_with(call_t *call, const GError *error)
{
	bool not_run = !call->sent && call->attempt == NULL;
	listener_t *listener;

	counter_add(call->node->counters, 1,
	    "requests_failed_total{kind=\"%s\"}",
	    papaya_error_name(papaya_error_kind(error)));
	while ((listener = call_take_listener(call)) != NULL) {
		reply_error(listener, error, not_run);
		listener_unref(listener);
	}
	call_finish(call);
}

void
call_fail(call_t *call, papaya_error_t kind, const char *format, ...)
{
	GError *error = NULL;
	char *message;
	va_list args;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	papaya_error_set(&error, kind, "%s", message);
	fail_with(call, error);
	g_error_free(error);
	g_free(message);
}

void
call_first(call_t *call, double first_ms)
{
	call->ok = true;
	if (call->first_ms == 0)
		call->first_ms = first_ms;
}

static void
expire(call_t *call)
{
	attempt_t *attempt = call->attempt;

	if (call->kind == CALL_BOOK && call->state == CALL_RUNNING)
		return; /* node_book knows what may be said */
	if (attempt != NULL)
		attempt_report(attempt, attempt_expired(attempt));
	call_fail(call, PAPAYA_ERROR_DEADLINE_EXCEEDED,
	    "service %s: no whole response within %" G_GINT64_FORMAT " ms",
	    call->service->name, call->deadline_ms - call->started_ms);
}

static void
on_timer(uv_timer_t *timer)
{
	call_t *call = timer->data;
	int64_t now_ms = clock_mono_ms();

	if (call->state == CALL_PACED) {
		fail_with(call, call->refusal);
	} else if (call->abandoned_ms != 0 &&
		   now_ms >= call->abandoned_ms + ABANDONED_LINGER_MS) {
		call_finish(call);
	} else if (now_ms >= call->deadline_ms) {
		expire(call);
	} else if (call->state == CALL_WAITING) {
		/* A duplicate that joined has extended the deadline. */
		call_wake_after(call, call_left_ms(call));
	} else if (call->state == CALL_RUNNING) {
		switch (call->kind) {
		case CALL_MODEL:
			model_wake(call);
			break;
		case CALL_PLAIN:
			plain_wake(call);
			break;
		case CALL_BOOK:
			break;
		}
	}
}

void
call_wake_after(call_t *call, int64_t delay_ms)
{
	int64_t now_ms = clock_mono_ms();
	int64_t at_ms = MIN(now_ms + delay_ms, call->deadline_ms);

	if (call->state == CALL_DONE)
		return;
	if (call->abandoned_ms != 0)
		at_ms = MIN(at_ms, call->abandoned_ms + ABANDONED_LINGER_MS);
	uv_timer_start(
	    &call->timer, on_timer, (uint64_t)MAX(at_ms - now_ms, 0), 0);
}

static void
refuse(call_t *call)
{
	int64_t pace_ms = admit_refusal_delay_ms(call->admit, clock_mono_ms());

	papaya_error_set(&call->refusal, PAPAYA_ERROR_OVERLOADED,
	    "service %s has too many requests in progress and waiting",
	    call->service->name);
	if (pace_ms == 0) {
		fail_with(call, call->refusal);
		return;
	}
	call->state = CALL_PACED;
	uv_timer_start(&call->timer, on_timer, (uint64_t)pace_ms, 0);
}

static call_t *
call_of(admit_request_t *admission)
{
	return (call_t *)((char *)admission - offsetof(call_t, admission));
}

void
call_admit(call_t *call, const workspace_t *workspace)
{
	admit_request_t *evicted = NULL;

	switch (admit_submit(call->admit, &call->admission, call->workspace,
	    workspace->weight, call->deadline_ms, clock_mono_ms(), &evicted)) {
	case ADMIT_RUN:
		call_run(call);
		break;
	case ADMIT_QUEUE:
		counter_add(call->node->counters, 1, "requests_queued_total");
		call_wake_after(call, call_left_ms(call));
		break;
	case ADMIT_REFUSE:
		refuse(call);
		break;
	}
	if (evicted != NULL)
		refuse(call_of(evicted));
}

static void
run_book(call_t *call)
{
	listener_t *listener = TAILQ_FIRST(&call->listeners);

	node_books_serve(call->node, listener->request, call->service,
	    call->tree, call->path, call_left_ms(call));
}

static void
call_run(call_t *call)
{
	call->state = CALL_RUNNING;
	if (call->kind != CALL_BOOK)
		call_pick_version(call);
	switch (call->kind) {
	case CALL_MODEL:
		model_run(call);
		break;
	case CALL_PLAIN:
		plain_run(call);
		break;
	case CALL_BOOK:
		run_book(call);
		break;
	}
}

static void
pump_admit(gpointer name, gpointer value, gpointer data)
{
	admit_t *admit = value;
	admit_request_t *next;

	while ((next = admit_start_next(admit, clock_mono_ms())) != NULL)
		call_run(call_of(next));
}

static void
on_pump(uv_timer_t *timer)
{
	node_calls_t *calls = timer->data;

	g_hash_table_foreach(calls->admits, pump_admit, NULL);
}

/* Deferred, since a call that starts may fail and start the next one. */
static void
pump_later(node_calls_t *calls)
{
	uv_timer_start(&calls->pump, on_pump, 0, 0);
}

static void
on_reclaim(uv_timer_t *timer)
{
	reclaim_streams(timer->data);
}

static void
free_admit(gpointer data)
{
	admit_free(data);
}

void
node_calls_start(node_t *node)
{
	node_calls_t *calls = g_new0(node_calls_t, 1);

	node->calls = calls;
	calls->node = node;
	TAILQ_INIT(&calls->calls);
	TAILQ_INIT(&calls->attempts);
	calls->admits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_admit);
	calls->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	calls->cache = route_prefix_index_new();
	uv_timer_init(node->loop, &calls->pump);
	uv_timer_init(node->loop, &calls->reclaim);
	calls->pump.data = calls;
	calls->reclaim.data = calls;
	uv_timer_start(
	    &calls->reclaim, on_reclaim, RECLAIM_POLL_MS, RECLAIM_POLL_MS);
}

static void
on_calls_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void
node_calls_free(node_t *node)
{
	node_calls_t *calls = node->calls;

	if (calls == NULL)
		return;
	while (!TAILQ_EMPTY(&calls->calls))
		call_finish(TAILQ_FIRST(&calls->calls));
	while (!TAILQ_EMPTY(&calls->attempts))
		attempt_cancel(TAILQ_FIRST(&calls->attempts), ATTEMPT_GIVEN_UP);
	g_hash_table_destroy(calls->by_key);
	g_hash_table_destroy(calls->admits);
	route_prefix_index_free(calls->cache);
	uv_close((uv_handle_t *)&calls->reclaim, NULL);
	uv_close((uv_handle_t *)&calls->pump, on_calls_closed);
	node->calls = NULL;
}

route_prefix_index_t *
node_calls_cache(node_t *node)
{
	return node->calls->cache;
}

bool
node_calls_handle(node_t *node, http_request_t *request)
{
	const char *path = http_request_path(request);

	if (strcmp(path, "/v1/completions") == 0) {
		request_completion(node, request);
		return true;
	}
	if (g_str_has_prefix(path, "/v1/services/")) {
		request_service(node, request);
		return true;
	}
	return false;
}

void
node_calls_drain(node_t *node)
{
	const char *peer = node_peers_other_zone(node);
	call_t *call, *next;
	listener_t *listener;

	/* Without a peer they wait here and are served before the exit. */
	if (peer == NULL)
		return;
	for (call = TAILQ_FIRST(&node->calls->calls); call != NULL;
	     call = next) {
		next = TAILQ_NEXT(call, entries);
		if (call->state != CALL_WAITING)
			continue;
		while ((listener = call_take_listener(call)) != NULL) {
			forward_listener(call, listener, peer);
			listener_unref(listener);
		}
		call_finish(call);
	}
}
