#include "proxy_state.h"

#include "clock.h"
#include "log.h"
#include "platform_migrate.h"

enum {
	/* Streams are migrated this long before their server leaves. */
	BEFORE_LEAVE_MS = 1000,
	/* Wait for the source's last events after the copy is complete. */
	LAST_EVENTS_WAIT_MS = 200,
	MIGRATION_RESPONSE_MAX_BYTES = 16 * 1024,
	STATUS_OK = 200,
	STATUS_UNAVAILABLE = 503,
};

/*
 * The target may not get the stream: its zone has been evacuated since, its
 * region is no longer allowed, it leaves, or it has become cold. Only the
 * target has the copy, so that another engine reads the prompt again.
 */
static void
resume_elsewhere(proxy_request_t *req)
{
	log_event(LOG_LEVEL_WARN, "stream.target_excluded", "id=%s to=%s",
	    req->facts.attempt_id, req->migration.target->info->id);
	proxy_migration_clear(req);
	if (!proxy_may_run_anew(req) ||
	    req->tried->len >= req->route->max_attempts) {
		proxy_respond(req, 502, -1, "move_failed");
		return;
	}
	event_stream_resume(req->attempt->events);
	proxy_attempt(req);
}

static void
resume_at_target(proxy_request_t *req)
{
	pick_choice_t choice = {.server = req->migration.target};

	req->migration.state = PROXY_MIGRATION_ENDED;
	if (!proxy_may_send_to(req, choice.server)) {
		resume_elsewhere(req);
		return;
	}
	event_stream_resume(req->attempt->events);
	proxy_send(req, &choice);
	if (req->attempt->server != choice.server)
		return; /* not sent there */
	/* The source has prefilled the prompt and its usage is counted. */
	proxy_remove_waiting_prompt(req->attempt);
	/* The copy can be used once: a retry resumes by the last event id. */
	if (catalog_may_retry(req->route))
		g_clear_pointer(&req->migration.kv_location, g_free);
}

/* The source has closed the stream, or its last events are overdue. */
static void
switch_to_target(proxy_request_t *req)
{
	uv_timer_stop(&req->idle_timer);
	proxy_cancel_call(req->attempt);
	proxy_release_server(req->attempt);
	resume_at_target(req);
}

static void
on_last_events_timeout(uv_timer_t *timer)
{
	proxy_request_t *req = timer->data;

	if (req->migration.state == PROXY_MIGRATION_COPIED)
		switch_to_target(req);
}

/*
 * The copy failed: the stream continues at the source, or where that has closed
 * it, like any broken stream.
 */
static void
fail_migration(proxy_request_t *req)
{
	req->migration.state = PROXY_MIGRATION_ENDED;
	log_event(LOG_LEVEL_WARN, "stream.not_moved", "id=%s status=%u",
	    req->facts.attempt_id, req->migration.status);
	if (!req->migration.source_closed)
		return;
	if (catalog_may_retry(req->route))
		proxy_handle_broken(req->attempt, SERVER_FAILED, "move_failed");
	else
		proxy_respond(req, 502, -1, "move_failed");
}

static void
on_copy_head(
    const http1_head_t *head, const response_facts_t *facts, void *data)
{
	proxy_request_t *req = data;

	req->migration.status = head->status;
	if (facts->cold_ms > 0)
		server_report_cold(
		    req->attempt->server, facts->cold_ms, clock_boot_ms());
}

static void
on_copy_body(const char *bytes, size_t length, void *data)
{
	proxy_request_t *req = data;
	proxy_migration_t *migration = &req->migration;

	if (migration->response->len + length <= MIGRATION_RESPONSE_MAX_BYTES) {
		g_string_append_len(migration->response, bytes, (gssize)length);
		return;
	}
	upstream_call_cancel(migration->call);
	migration->call = NULL;
	fail_migration(req);
}

static void
on_copy_end(upstream_result_t end, const char *reason, void *data)
{
	proxy_request_t *req = data;
	proxy_migration_t *migration = &req->migration;
	const char *source = req->attempt->server->info->address;

	migration->call = NULL;
	if (end == UPSTREAM_COMPLETE &&
	    (migration->status == STATUS_OK ||
		migration->status == STATUS_UNAVAILABLE))
		migration->kv_location = platform_read_migration(
		    migration->response->str, migration->response->len, source);
	if (migration->kv_location == NULL) {
		fail_migration(req);
		return;
	}
	if (migration->status == STATUS_UNAVAILABLE) {
		/* The source stopped the run but keeps its KV cache. */
		server_unref(migration->target);
		migration->target = server_ref(req->attempt->server);
	}
	log_event(LOG_LEVEL_INFO, "stream.moved", "id=%s from=%s to=%s",
	    req->facts.attempt_id, migration->kv_location,
	    migration->target->info->id);
	migration->state = PROXY_MIGRATION_COPIED;
	if (migration->source_closed)
		switch_to_target(req);
	else
		uv_timer_start(&req->idle_timer, on_last_events_timeout,
		    LAST_EVENTS_WAIT_MS, 0);
}

static void
request_copy(proxy_request_t *req, server_t *target)
{
	GString *text = g_string_new(NULL);
	upstream_request_t request = {
	    .own_connection = true,
	    .on_head = on_copy_head,
	    .on_body = on_copy_body,
	    .on_end = on_copy_end,
	    .data = req,
	};

	req->migration.response = g_string_new(NULL);
	req->migration.target = server_ref(target);
	req->migration.state = PROXY_MIGRATION_COPYING;
	if (platform_write_migration(text, req->attempt->server->info->address,
		req->facts.attempt_id, target->info->address)) {
		uv_timer_stop(&req->idle_timer);
		request.head = text->str;
		request.head_length = text->len;
		req->migration.call = upstream_call_start(
		    req->attempt->server->upstream, 0, &request);
	}
	g_string_free(text, TRUE);
	if (req->migration.call == NULL)
		fail_migration(req);
}

/*
 * True for a stream that can migrate and whose server is about to leave. The
 * source closes a stream that it has handed over, which without framing would
 * look like the stream's end.
 */
static bool
should_migrate(const proxy_request_t *req, int64_t now_ms)
{
	return req->migration.state == PROXY_MIGRATION_NONE &&
	       req->attempt->server != NULL && req->attempt->call != NULL &&
	       req->stream_started && req->attempt->has_framing &&
	       req->service != NULL && req->service->can_migrate &&
	       req->attempt->server->shutdown_at_ms != 0 &&
	       now_ms >= req->attempt->server->shutdown_at_ms - BEFORE_LEAVE_MS;
}

static void
migrate(proxy_request_t *req)
{
	pick_choice_t choice = proxy_pick_migration_target(req);

	req->migration.state = PROXY_MIGRATION_ENDED;
	if (choice.server == NULL || choice.server == req->attempt->server ||
	    !retry_budget_take(req->context->budget, req->service_name,
		cluster_node_count(req->context->cluster), clock_boot_ms()))
		return;
	request_copy(req, choice.server);
}

void
proxy_migrate_streams(proxy_context_t *context, int64_t now_ms)
{
	proxy_request_t *req, *next;

	for (req = TAILQ_FIRST(&context->requests); req != NULL; req = next) {
		next = TAILQ_NEXT(req, entries);
		if (should_migrate(req, now_ms))
			migrate(req);
	}
}

bool
proxy_migration_handle_close(proxy_request_t *req)
{
	switch (req->migration.state) {
	case PROXY_MIGRATION_COPYING:
		req->migration.source_closed = true;
		return true;
	case PROXY_MIGRATION_COPIED:
		switch_to_target(req);
		return true;
	case PROXY_MIGRATION_NONE:
	case PROXY_MIGRATION_ENDED:
		return false;
	}
	return false;
}

void
proxy_migration_clear(proxy_request_t *req)
{
	proxy_migration_t *migration = &req->migration;

	if (migration->call != NULL)
		upstream_call_cancel(migration->call);
	migration->call = NULL;
	server_unref(migration->target);
	migration->target = NULL;
	g_clear_pointer(&migration->kv_location, g_free);
	if (migration->response != NULL)
		g_string_free(migration->response, TRUE);
	migration->response = NULL;
	if (migration->state != PROXY_MIGRATION_NONE)
		migration->state = PROXY_MIGRATION_ENDED;
}
