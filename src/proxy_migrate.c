#include "proxy_state.h"

#include "clock.h"
#include "log.h"
#include "platform_migrate.h"

enum {
	/* Streams still running so long before their server ends are moved. */
	BEFORE_LEAVE_MS = 1000,
	/* Wait for the last events after the copy is complete. */
	LAST_EVENTS_WAIT_MS = 200,
	STATUS_OK = 200,
	STATUS_UNAVAILABLE = 503,
};

static void
resume_at_target(proxy_request_t *flow)
{
	pick_choice_t choice = {.server = flow->migration.target};

	flow->migration.state = PROXY_MIGRATION_ENDED;
	event_stream_resume(flow->events);
	proxy_send(flow, &choice);
	if (flow->call == NULL)
		return; /* not sent, and ended or tried elsewhere */
	/* The prompt has been read, and its usage counted, at the source. */
	proxy_remove_waiting_prompt(flow);
	/* The copy is used up: a further resume starts from the events. */
	if (catalog_may_repeat(flow->route))
		g_clear_pointer(&flow->migration.kv_location, g_free);
}

/* The source has stopped, and what it made has arrived or is given up. */
static void
switch_to_target(proxy_request_t *flow)
{
	uv_timer_stop(&flow->idle_timer);
	if (flow->call != NULL)
		upstream_call_cancel(flow->call);
	flow->call = NULL;
	proxy_release_server(flow);
	resume_at_target(flow);
}

static void
on_last_events_timeout(uv_timer_t *timer)
{
	proxy_request_t *flow = timer->data;

	if (flow->migration.state == PROXY_MIGRATION_COPIED)
		switch_to_target(flow);
}

/* The copy did not come about; the stream goes on, or has been cut. */
static void
fail_migration(proxy_request_t *flow)
{
	flow->migration.state = PROXY_MIGRATION_ENDED;
	log_event(LOG_LEVEL_WARN, "stream.not_moved", "id=%s status=%u",
	    flow->facts.attempt_id, flow->migration.status);
	if (flow->migration.source_closed)
		proxy_respond(flow, 502, -1, "move_failed");
}

static void
on_copy_head(
    const http1_head_t *head, const response_facts_t *facts, void *data)
{
	((proxy_request_t *)data)->migration.status = head->status;
}

static void
on_copy_body(const char *bytes, size_t length, void *data)
{
	g_string_append_len(((proxy_request_t *)data)->migration.response,
	    bytes, (gssize)length);
}

static void
on_copy_end(upstream_result_t end, const char *reason, void *data)
{
	proxy_request_t *flow = data;
	proxy_migration_t *migration = &flow->migration;
	const char *source = flow->server->info->address;

	migration->call = NULL;
	if (end == UPSTREAM_COMPLETE &&
	    (migration->status == STATUS_OK ||
		migration->status == STATUS_UNAVAILABLE))
		migration->kv_location = platform_read_migration(
		    migration->response->str, migration->response->len, source);
	if (migration->kv_location == NULL) {
		fail_migration(flow);
		return;
	}
	if (migration->status == STATUS_UNAVAILABLE) {
		/* The source has stopped and keeps the memory. */
		server_unref(migration->target);
		migration->target = server_ref(flow->server);
	}
	log_event(LOG_LEVEL_INFO, "stream.moved", "id=%s from=%s to=%s",
	    flow->facts.attempt_id, migration->kv_location,
	    migration->target->info->id);
	migration->state = PROXY_MIGRATION_COPIED;
	if (migration->source_closed)
		switch_to_target(flow);
	else
		uv_timer_start(&flow->idle_timer, on_last_events_timeout,
		    LAST_EVENTS_WAIT_MS, 0);
}

static void
request_copy(proxy_request_t *flow, server_t *target)
{
	GString *text = g_string_new(NULL);
	upstream_request_t request = {
	    .reuse_idle_max_ms = INT32_MAX,
	    .on_head = on_copy_head,
	    .on_body = on_copy_body,
	    .on_end = on_copy_end,
	    .data = flow,
	};

	platform_write_migration(text, flow->server->info->address,
	    flow->facts.attempt_id, target->info->address);
	request.head = text->str;
	request.head_length = text->len;
	flow->migration.response = g_string_new(NULL);
	flow->migration.target = server_ref(target);
	flow->migration.state = PROXY_MIGRATION_COPYING;
	uv_timer_stop(&flow->idle_timer);
	flow->migration.call =
	    upstream_call_start(flow->server->upstream, 0, &request);
	g_string_free(text, TRUE);
	if (flow->migration.call == NULL)
		fail_migration(flow);
}

/* A stream that runs at a server which is about to end. */
static bool
should_migrate(const proxy_request_t *flow, int64_t now_ms)
{
	return flow->migration.state == PROXY_MIGRATION_NONE &&
	       flow->server != NULL && flow->call != NULL &&
	       flow->response_started && flow->self_delimited &&
	       flow->events != NULL && flow->service != NULL &&
	       flow->service->can_move && flow->server->leave_at_ms != 0 &&
	       now_ms >= flow->server->leave_at_ms - BEFORE_LEAVE_MS;
}

static void
migrate(proxy_request_t *flow)
{
	pick_choice_t choice = proxy_pick_migration_target(flow);

	flow->migration.state = PROXY_MIGRATION_ENDED;
	if (choice.server == NULL || choice.server == flow->server ||
	    !retry_budget_take(flow->context->budget, flow->service_name,
		cluster_nodes(flow->context->cluster), clock_boot_ms()))
		return;
	request_copy(flow, choice.server);
}

void
proxy_migrate_streams(proxy_context_t *context, int64_t now_ms)
{
	proxy_request_t *flow, *next;

	for (flow = TAILQ_FIRST(&context->requests); flow != NULL;
	     flow = next) {
		next = TAILQ_NEXT(flow, entries);
		if (should_migrate(flow, now_ms))
			migrate(flow);
	}
}

bool
proxy_migration_handle_close(proxy_request_t *flow)
{
	switch (flow->migration.state) {
	case PROXY_MIGRATION_COPYING:
		flow->migration.source_closed = true;
		return true;
	case PROXY_MIGRATION_COPIED:
		switch_to_target(flow);
		return true;
	case PROXY_MIGRATION_NONE:
	case PROXY_MIGRATION_ENDED:
		return false;
	}
	return false;
}

void
proxy_migration_clear(proxy_request_t *flow)
{
	proxy_migration_t *migration = &flow->migration;

	if (migration->call != NULL)
		upstream_call_cancel(migration->call);
	migration->call = NULL;
	server_unref(migration->target);
	migration->target = NULL;
	g_clear_pointer(&migration->kv_location, g_free);
	if (migration->response != NULL)
		g_string_free(migration->response, TRUE);
	migration->response = NULL;
}
