#include "flow_state.h"

#include "clock.h"
#include "log.h"
#include "platform_move.h"

enum {
	/* Streams still running so long before their server ends are moved. */
	BEFORE_MS = 1000,
	/* Wait for the last events after the copy is complete. */
	LAST_EVENTS_MS = 200,
	STATUS_OK = 200,
	STATUS_UNAVAILABLE = 503,
};

static void
take_over(flow_t *flow)
{
	pick_choice_t choice = {.server = flow->move.target};

	flow->move.state = FLOW_MOVE_OVER;
	event_stream_resume(flow->events);
	flow_send(flow, &choice);
	if (flow->call == NULL)
		return; /* not sent, and ended or tried elsewhere */
	/* The prompt has been read, and its usage counted, at the source. */
	flow_stop_waiting(flow);
	/* The copy is used up: a further resume starts from the events. */
	if (catalog_may_repeat(flow->route))
		g_clear_pointer(&flow->move.from, g_free);
}

/* The source has stopped, and what it made has arrived or is given up. */
static void
leave_source(flow_t *flow)
{
	uv_timer_stop(&flow->silence_timer);
	if (flow->call != NULL)
		upstream_call_cancel(flow->call);
	flow->call = NULL;
	flow_leave_server(flow);
	take_over(flow);
}

static void
on_late_events(uv_timer_t *timer)
{
	flow_t *flow = timer->data;

	if (flow->move.state == FLOW_MOVE_READY)
		leave_source(flow);
}

/* The copy did not come about; the stream goes on, or has been cut. */
static void
give_up(flow_t *flow)
{
	flow->move.state = FLOW_MOVE_OVER;
	log_event(LOG_LEVEL_WARN, "stream.not_moved", "id=%s status=%u",
	    flow->facts.attempt_id, flow->move.status);
	if (flow->move.stopped)
		flow_answer(flow, 502, -1, "move_failed");
}

static void
on_move_head(
    const http1_head_t *head, const response_facts_t *facts, void *data)
{
	((flow_t *)data)->move.status = head->status;
}

static void
on_move_body(const char *bytes, size_t length, void *data)
{
	g_string_append_len(
	    ((flow_t *)data)->move.answer, bytes, (gssize)length);
}

static void
on_move_end(upstream_result_t end, const char *why, void *data)
{
	flow_t *flow = data;
	flow_move_t *move = &flow->move;
	const char *source = flow->server->info->address;

	move->call = NULL;
	if (end == UPSTREAM_COMPLETE &&
	    (move->status == STATUS_OK || move->status == STATUS_UNAVAILABLE))
		move->from = platform_read_move(
		    move->answer->str, move->answer->len, source);
	if (move->from == NULL) {
		give_up(flow);
		return;
	}
	if (move->status == STATUS_UNAVAILABLE) {
		/* The source has stopped and keeps the memory. */
		server_unref(move->target);
		move->target = server_ref(flow->server);
	}
	log_event(LOG_LEVEL_INFO, "stream.moved", "id=%s from=%s to=%s",
	    flow->facts.attempt_id, move->from, move->target->info->id);
	move->state = FLOW_MOVE_READY;
	if (move->stopped)
		leave_source(flow);
	else
		uv_timer_start(
		    &flow->silence_timer, on_late_events, LAST_EVENTS_MS, 0);
}

static void
ask_source(flow_t *flow, server_t *target)
{
	GString *text = g_string_new(NULL);
	upstream_request_t request = {
	    .reuse_idle_max_ms = INT32_MAX,
	    .on_head = on_move_head,
	    .on_body = on_move_body,
	    .on_end = on_move_end,
	    .data = flow,
	};

	platform_write_move(text, flow->server->info->address,
	    flow->facts.attempt_id, target->info->address);
	request.head = text->str;
	request.head_length = text->len;
	flow->move.answer = g_string_new(NULL);
	flow->move.target = server_ref(target);
	flow->move.state = FLOW_MOVE_ASKED;
	uv_timer_stop(&flow->silence_timer);
	flow->move.call =
	    upstream_call_start(flow->server->upstream, 0, &request);
	g_string_free(text, TRUE);
	if (flow->move.call == NULL)
		give_up(flow);
}

/* A stream that runs at a server which is about to end. */
static bool
should_move(const flow_t *flow, int64_t now_ms)
{
	return flow->move.state == FLOW_MOVE_NONE && flow->server != NULL &&
	       flow->call != NULL && flow->started && flow->framed &&
	       flow->events != NULL && flow->service != NULL &&
	       flow->service->can_move && flow->server->leave_at_ms != 0 &&
	       now_ms >= flow->server->leave_at_ms - BEFORE_MS;
}

static void
move(flow_t *flow)
{
	pick_choice_t choice = flow_pick_target(flow);

	flow->move.state = FLOW_MOVE_OVER;
	if (choice.server == NULL || choice.server == flow->server ||
	    !retry_budget_take(flow->context->budget, flow->service_name,
		cluster_nodes(flow->context->cluster), clock_boot_ms()))
		return;
	ask_source(flow, choice.server);
}

void
flow_move_streams(flow_context_t *context, int64_t now_ms)
{
	flow_t *flow, *next;

	for (flow = TAILQ_FIRST(&context->flows); flow != NULL; flow = next) {
		next = TAILQ_NEXT(flow, entries);
		if (should_move(flow, now_ms))
			move(flow);
	}
}

bool
flow_move_takes_on(flow_t *flow)
{
	switch (flow->move.state) {
	case FLOW_MOVE_ASKED:
		flow->move.stopped = true;
		return true;
	case FLOW_MOVE_READY:
		leave_source(flow);
		return true;
	case FLOW_MOVE_NONE:
	case FLOW_MOVE_OVER:
		return false;
	}
	return false;
}

void
flow_move_clear(flow_t *flow)
{
	flow_move_t *move = &flow->move;

	if (move->call != NULL)
		upstream_call_cancel(move->call);
	move->call = NULL;
	server_unref(move->target);
	move->target = NULL;
	g_clear_pointer(&move->from, g_free);
	if (move->answer != NULL)
		g_string_free(move->answer, TRUE);
	move->answer = NULL;
}
