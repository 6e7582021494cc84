#include "flow.h"

#include "clock.h"
#include "event_stream.h"
#include "flow_log.h"
#include "pick.h"
#include "platform_request.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Responses up to this size are passed on once they are complete. */
	HOLD_MAX_BYTES = 64 * 1024,
	/* Bytes to a slow client beyond which its server is read no more. */
	QUEUED_MAX_BYTES = 256 * 1024,
	DEADLINE_DEFAULT_MS = 30000,
	CONNECTS_MAX = 3,
	/* A kept connection used within this time is not about to be closed. */
	FRESH_CONNECTION_MS = 1000,
	ANY_CONNECTION_MS = INT32_MAX,
	/* A silent server is given up after so many objectives. */
	SILENCE_OBJECTIVES = 2,
	SILENCE_MIN_MS = 400,
	/* Least time that a further attempt needs. */
	ATTEMPT_MIN_MS = 50,
	RETRY_AFTER_DEFAULT_MS = 250,
	RETRY_AFTER_MAX_MS = 5000,
	/* Priorities of routes that are told apart within a workspace's. */
	ROUTE_URGENCIES = 3,
	URGENCY_LEAST = 9,
	MS_PER_S = 1000,
};

typedef struct flow {
	unsigned refs;
	flow_context_t *context;
	exchange_t *exchange;
	catalog_t *catalog;
	const catalog_route_t *route;
	const catalog_workspace_t *workspace; /* NULL: none */
	const catalog_service_t *service;     /* NULL: not configured */
	const char *service_name;
	request_facts_t facts;
	double units; /* taken from the allotment */
	int64_t received_ms;
	int64_t deadline_ms;
	uv_timer_t deadline_timer;
	uv_timer_t silence_timer;
	unsigned open_timers;
	/* The attempt in progress. */
	server_t *server; /* NULL: none */
	upstream_call_t *call;
	int64_t attempt_ms;
	double new_tokens;
	double ahead_tokens;
	double expected_ms;
	int64_t first_ms; /* -1: nothing yet */
	bool urgent;	  /* its prompt is read before others */
	bool waiting; /* for the first event: counts among waiting prompts */
	response_facts_t response;
	bool not_run;
	unsigned status;
	const http1_head_t *head; /* of the response in progress */
	GByteArray *held;	  /* bytes not passed on yet */
	/* Over all attempts. */
	GPtrArray *tried; /* servers that got the request */
	unsigned connects;
	bool ran;     /* a server may have begun */
	bool started; /* the response to the client */
	bool framed;  /* its end is told apart from a cut */
	bool done;
	event_stream_t *events; /* NULL: not a stream */
} flow_t;

static void attempt(flow_t *flow);

static void
flow_unref(flow_t *flow)
{
	if (--flow->refs > 0)
		return;
	exchange_unref(flow->exchange);
	catalog_unref(flow->catalog);
	g_byte_array_unref(flow->held);
	g_ptr_array_unref(flow->tried);
	event_stream_free(flow->events);
	g_free(flow);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	flow_unref(handle->data);
}

static bool
is_stream(const flow_t *flow)
{
	return flow->route->repeat == CATALOG_STREAM;
}

/* The prompt is no longer among those that its server has to read. */
static void
stop_waiting(flow_t *flow)
{
	server_load_t *load = &flow->server->own;

	if (!flow->waiting)
		return;
	flow->waiting = false;
	load->waiting_tokens -= flow->new_tokens;
	if (flow->urgent)
		load->urgent_tokens -= flow->new_tokens;
}

/* Takes the attempt in progress off its server's load. */
static void
leave_server(flow_t *flow)
{
	server_load_t *load;

	if (flow->server == NULL)
		return;
	load = &flow->server->own;
	load->in_flight--;
	load->held_tokens -= pick_request_tokens(&flow->facts);
	stop_waiting(flow);
	server_unref(flow->server);
	flow->server = NULL;
}

/* The request has its final outcome; nothing more happens. */
static void
finish(flow_t *flow)
{
	if (flow->done)
		return;
	flow->done = true;
	if (flow->call != NULL)
		upstream_cancel(flow->call);
	flow->call = NULL;
	leave_server(flow);
	exchange_watch(flow->exchange, NULL, NULL, NULL);
	uv_close((uv_handle_t *)&flow->deadline_timer, on_timer_closed);
	uv_close((uv_handle_t *)&flow->silence_timer, on_timer_closed);
	flow_unref(flow);
}

static void
log_outcome(flow_t *flow, unsigned status, const char *cause)
{
	flow_log_t line = {
	    .attempt_id = flow->facts.attempt_id,
	    .route = flow->route == NULL ? "" : flow->route->name,
	    .workspace = flow->workspace == NULL ? "" : flow->workspace->name,
	    .service = flow->service_name == NULL ? "" : flow->service_name,
	    .server = flow->server == NULL ? "" : flow->server->info->id,
	    .status = status,
	    .cause = cause,
	    .attempts = flow->tried->len,
	    .ran = flow->ran,
	    .elapsed_ms = clock_boot_ms() - flow->received_ms,
	    .first_ms = flow->first_ms,
	    .expected_ms = flow->expected_ms,
	    .ahead_tokens = flow->ahead_tokens,
	    .configuration = flow->catalog == NULL ? 0 : flow->catalog->version,
	    .proof_age_ms = flow->context->usable_until_ms - clock_boot_ms(),
	};

	flow_log_outcome(flow->context->counters, &line);
}

/* Ends the request with a response of this system's own. */
static void
answer(flow_t *flow, unsigned status, int64_t retry_after_ms, const char *cause)
{
	char extra[64] = "";

	log_outcome(flow, status, cause);
	if (flow->started) {
		exchange_abort(flow->exchange);
		finish(flow);
		return;
	}
	/* What was not run costs the workspace nothing. */
	if (!flow->ran && flow->units > 0)
		quota_return(flow->context->quota, flow->workspace->name,
		    flow->units, clock_boot_ms());
	if (retry_after_ms >= 0)
		g_snprintf(extra, sizeof(extra), "Retry-After: %.3f\r\n",
		    (double)MIN(retry_after_ms, RETRY_AFTER_MAX_MS) / MS_PER_S);
	if (flow->call != NULL)
		upstream_cancel(flow->call);
	flow->call = NULL;
	exchange_watch(flow->exchange, NULL, NULL, NULL);
	exchange_reply(flow->exchange, status, extra, "", 0);
	finish(flow);
}

/* Refuses a request that no server has run or will run. */
static void
refuse(flow_t *flow, int64_t retry_after_ms, const char *cause)
{
	if (flow->ran)
		answer(flow, 502, -1, cause);
	else
		answer(flow, 503, retry_after_ms, cause);
}

static int64_t
left_ms(const flow_t *flow)
{
	return flow->deadline_ms - clock_boot_ms();
}

/* True where the request may go to a further server. */
static bool
may_go_on(flow_t *flow)
{
	return flow->tried->len < flow->route->max_attempts &&
	       left_ms(flow) > ATTEMPT_MIN_MS &&
	       retry_budget_take(flow->context->budget, flow->service_name,
		   cluster_nodes(flow->context->cluster), clock_boot_ms());
}

static void
count_usage(flow_t *flow)
{
	if (flow->workspace != NULL)
		usage_count(flow->context->usage, flow->workspace->name,
		    cluster_wall_ms(flow->context->cluster));
}

static pace_t *
find_pace(const flow_t *flow)
{
	GHashTable *paces = flow->context->paces;
	pace_t *pace = g_hash_table_lookup(paces, flow->service_name);

	if (pace == NULL) {
		pace = g_new0(pace_t, 1);
		g_hash_table_insert(paces, g_strdup(flow->service_name), pace);
	}
	return pace;
}

/* The server's first byte of work has been seen. */
static void
note_begun(flow_t *flow)
{
	int64_t now_ms = clock_boot_ms();
	double took_ms;

	flow->ran = true;
	if (!flow->waiting)
		return;
	stop_waiting(flow);
	count_usage(flow);
	took_ms = (double)(now_ms - flow->attempt_ms);
	flow->first_ms = now_ms - flow->received_ms;
	if (flow->service != NULL && flow->service->is_engine)
		pace_learn(find_pace(flow), flow->ahead_tokens, took_ms);
	server_observe(flow->server, SERVER_SERVED, took_ms, now_ms);
}

/*
 * Length of the response to the client. One that ends with the server's
 * connection may be cut, so that it is not framed as complete either.
 */
static int64_t
framing(const flow_t *flow, int64_t length)
{
	return flow->head->has_length ? length : EXCHANGE_UNFRAMED;
}

/* Passes on the whole response that is held. */
static void
pass_held(flow_t *flow)
{
	log_outcome(flow, flow->head->status, "served");
	exchange_watch(flow->exchange, NULL, NULL, NULL);
	exchange_start(flow->exchange, flow->head,
	    framing(flow, (int64_t)flow->held->len));
	exchange_write(
	    flow->exchange, (const char *)flow->held->data, flow->held->len);
	exchange_end(flow->exchange);
	finish(flow);
}

/* Events that are complete go to the client. */
static void
pass_events(flow_t *flow)
{
	GString *out = event_stream_take(flow->events);

	if (out == NULL)
		return;
	note_begun(flow);
	if (!flow->started) {
		exchange_start(flow->exchange, flow->head,
		    framing(flow, EXCHANGE_CHUNKED));
		flow->started = true;
		flow->framed = flow->head->has_length;
	}
	exchange_write(flow->exchange, out->str, out->len);
	g_string_free(out, TRUE);
	if (exchange_queued(flow->exchange) > QUEUED_MAX_BYTES)
		upstream_set_reading(flow->call, false);
}

static void on_silence(uv_timer_t *timer);

/* Watches for a server that says nothing; only where another may go on. */
static void
watch_silence(flow_t *flow, int64_t limit_ms)
{
	if (catalog_may_repeat(flow->route) && limit_ms > 0)
		uv_timer_start(&flow->silence_timer, on_silence,
		    (uint64_t)MAX(limit_ms, SILENCE_MIN_MS), 0);
}

static void
on_head(const http1_head_t *head, const response_facts_t *facts, void *data)
{
	flow_t *flow = data;

	flow->response = *facts;
	flow->not_run = facts->not_run;
	flow->status = head->status;
	flow->head = head;
}

static void
on_stream_bytes(flow_t *flow, const char *bytes, size_t length)
{
	event_stream_feed(flow->events, bytes, length);
	pass_events(flow);
	watch_silence(
	    flow, SILENCE_OBJECTIVES * 2 * flow->route->gap_objective_ms);
}

/* Starts to pass on a response that is too large to be held. */
static void
pass_large(flow_t *flow)
{
	note_begun(flow);
	exchange_start(
	    flow->exchange, flow->head, framing(flow, EXCHANGE_CHUNKED));
	flow->started = true;
	exchange_write(
	    flow->exchange, (const char *)flow->held->data, flow->held->len);
	g_byte_array_set_size(flow->held, 0);
}

static void
on_body(const char *bytes, size_t length, void *data)
{
	flow_t *flow = data;

	if (flow->events != NULL && flow->status == 200) {
		on_stream_bytes(flow, bytes, length);
		return;
	}
	if (flow->started && flow->events != NULL)
		return; /* no part of the stream */
	if (flow->started) {
		exchange_write(flow->exchange, bytes, length);
		if (exchange_queued(flow->exchange) > QUEUED_MAX_BYTES)
			upstream_set_reading(flow->call, false);
		return;
	}
	g_byte_array_append(flow->held, (const guint8 *)bytes, (guint)length);
	if (flow->held->len > HOLD_MAX_BYTES && !flow->not_run)
		pass_large(flow);
}

/* The server said that it did not run the request. */
static void
not_run(flow_t *flow)
{
	server_observe(flow->server,
	    flow->response.wrong_server ? SERVER_UNREACHABLE : SERVER_FULL, 0,
	    clock_boot_ms());
	leave_server(flow);
	g_byte_array_set_size(flow->held, 0);
	if (may_go_on(flow))
		attempt(flow);
	else
		refuse(flow, RETRY_AFTER_DEFAULT_MS, "server_refused");
}

static void
stream_complete(flow_t *flow)
{
	GString *rest = event_stream_rest(flow->events);

	log_outcome(flow, 200, "served");
	exchange_watch(flow->exchange, NULL, NULL, NULL);
	if (!flow->started)
		exchange_start(flow->exchange, flow->head,
		    framing(flow, EXCHANGE_CHUNKED));
	exchange_write(flow->exchange, rest->str, rest->len);
	g_string_free(rest, TRUE);
	exchange_end(flow->exchange);
	finish(flow);
}

static void
complete(flow_t *flow)
{
	if (flow->not_run && !flow->started) {
		not_run(flow);
		return;
	}
	if (flow->events != NULL && flow->status == 200) {
		note_begun(flow);
		if (flow->started && flow->framed && !flow->head->has_length)
			answer(flow, 502, -1, "unframed_resume");
		else
			stream_complete(flow);
		return;
	}
	if (flow->started) {
		if (flow->events != NULL) {
			answer(flow, 502, -1, "resume_failed");
			return;
		}
		log_outcome(flow, flow->status, "served");
		exchange_watch(flow->exchange, NULL, NULL, NULL);
		exchange_end(flow->exchange);
		finish(flow);
		return;
	}
	flow->ran = true;
	if (flow->status >= 500) {
		if (flow->waiting)
			count_usage(flow);
		server_observe(flow->server, SERVER_FAILED, 0, clock_boot_ms());
		if (catalog_may_repeat(flow->route) && may_go_on(flow)) {
			leave_server(flow);
			g_byte_array_set_size(flow->held, 0);
			attempt(flow);
			return;
		}
		/* A promise of 503 would be false for what has run. */
		if (flow->status == 503 && !catalog_may_repeat(flow->route)) {
			answer(flow, 502, -1, "server_failed");
			return;
		}
	} else {
		note_begun(flow);
	}
	pass_held(flow);
}

/* Sent, and no whole response came back. */
static void
broken(flow_t *flow, server_outcome_t outcome, const char *why)
{
	if (flow->waiting)
		count_usage(flow);
	flow->ran = true;
	server_observe(flow->server, outcome, 0, clock_boot_ms());
	leave_server(flow);
	g_byte_array_set_size(flow->held, 0);
	if (flow->started && (flow->events == NULL || flow->status != 200)) {
		answer(flow, 502, -1, why);
		return;
	}
	if (catalog_may_repeat(flow->route) && may_go_on(flow)) {
		if (flow->events != NULL)
			event_stream_resume(flow->events);
		attempt(flow);
		return;
	}
	answer(flow, 502, -1, why);
}

/* The server got nothing. */
static void
not_sent(flow_t *flow, server_outcome_t outcome, const char *why)
{
	server_observe(flow->server, outcome, 0, clock_boot_ms());
	leave_server(flow);
	g_ptr_array_set_size(flow->tried, (gint)flow->tried->len - 1);
	if (++flow->connects < CONNECTS_MAX && left_ms(flow) > ATTEMPT_MIN_MS)
		attempt(flow);
	else
		refuse(flow, RETRY_AFTER_DEFAULT_MS, why);
}

static void
on_end(upstream_end_t end, const char *why, void *data)
{
	flow_t *flow = data;

	flow->call = NULL;
	uv_timer_stop(&flow->silence_timer);
	switch (end) {
	case UPSTREAM_COMPLETE:
		complete(flow);
		return;
	case UPSTREAM_NOT_SENT:
		not_sent(flow, SERVER_UNREACHABLE, why);
		return;
	case UPSTREAM_BROKEN:
		broken(flow, SERVER_FAILED, why);
		return;
	}
}

static void
on_silence(uv_timer_t *timer)
{
	flow_t *flow = timer->data;

	if (flow->call == NULL || flow->tried->len >= flow->route->max_attempts)
		return;
	if (flow->started && flow->events == NULL)
		return;
	if (!may_go_on(flow))
		return;
	upstream_cancel(flow->call);
	flow->call = NULL;
	if (flow->waiting)
		count_usage(flow);
	flow->ran = true;
	server_observe(flow->server, SERVER_UNREACHABLE, 0, clock_boot_ms());
	leave_server(flow);
	g_byte_array_set_size(flow->held, 0);
	if (flow->events != NULL)
		event_stream_resume(flow->events);
	attempt(flow);
}

static void
on_gone(void *data)
{
	flow_t *flow = data;

	log_outcome(flow, 0, "client_left");
	finish(flow);
}

static void
on_drain(void *data)
{
	flow_t *flow = data;

	if (flow->call != NULL)
		upstream_set_reading(flow->call, true);
}

static void
on_deadline(uv_timer_t *timer)
{
	flow_t *flow = timer->data;

	if (flow->ran || flow->tried->len > 0)
		answer(flow, 504, -1, "deadline");
	else
		answer(flow, 503, 0, "deadline_not_run");
}

/* The workspace's priority goes before the route's. */
static int
urgency(const flow_t *flow)
{
	unsigned route = MIN(flow->route->priority, ROUTE_URGENCIES - 1);
	int workspace =
	    flow->workspace == NULL ? -1 : flow->workspace->priority;

	if (workspace < 0)
		return (int)route;
	return MIN(workspace * ROUTE_URGENCIES + (int)route, URGENCY_LEAST);
}

static GString *
request_head(flow_t *flow, const server_t *server)
{
	const GByteArray *body = exchange_body(flow->exchange);
	const http1_head_t *head = exchange_head(flow->exchange);
	forward_options_t options = {
	    .server_id = server->info->id,
	    .workspace = flow->workspace == NULL ? NULL : flow->workspace->name,
	    .drop_key = flow->catalog->workspaces->len > 0,
	    .deadline_ms = left_ms(flow),
	    .priority = flow->service != NULL && flow->service->is_engine
			    ? urgency(flow)
			    : -1,
	    .last_event_id =
		flow->started ? event_stream_last_id(flow->events) : NULL,
	    .body_length = body->len,
	    .has_body = body->len > 0 || head->has_length,
	};
	GString *out = g_string_sized_new(1024);

	platform_write_request(head, &options, out);
	return out;
}

/* Connections that this node may have to one server. */
static unsigned
connections_max(const flow_t *flow)
{
	unsigned nodes = cluster_nodes(flow->context->cluster);

	if (flow->service == NULL || flow->service->max_connections == 0)
		return 0;
	return MAX(flow->service->max_connections / MAX(nodes, 1), 2);
}

static void
enter_server(flow_t *flow, const pick_choice_t *choice)
{
	server_load_t *load = &choice->server->own;

	flow->server = server_ref(choice->server);
	flow->new_tokens = choice->new_tokens;
	flow->ahead_tokens = choice->ahead_tokens;
	flow->expected_ms = choice->expected_ms;
	flow->waiting = true;
	flow->attempt_ms = clock_boot_ms();
	load->in_flight++;
	load->held_tokens += pick_request_tokens(&flow->facts);
	load->waiting_tokens += choice->new_tokens;
	if (flow->urgent)
		load->urgent_tokens += choice->new_tokens;
	g_ptr_array_add(flow->tried, choice->server);
}

static void
send_request(flow_t *flow, const pick_choice_t *choice)
{
	const GByteArray *body = exchange_body(flow->exchange);
	const http1_head_t *head = exchange_head(flow->exchange);
	GString *text;
	upstream_request_t request = {
	    .attempt_id = flow->facts.attempt_id,
	    .body = (const char *)body->data,
	    .body_length = body->len,
	    .is_head = strcmp(head->method, "HEAD") == 0,
	    .idle_max_ms = catalog_may_repeat(flow->route)
			       ? ANY_CONNECTION_MS
			       : FRESH_CONNECTION_MS,
	    .on_head = on_head,
	    .on_body = on_body,
	    .on_end = on_end,
	    .data = flow,
	};

	enter_server(flow, choice);
	text = request_head(flow, choice->server);
	request.head = text->str;
	request.head_length = text->len;
	flow->not_run = false;
	flow->status = 0;
	flow->call = upstream_start(
	    choice->server->upstream, connections_max(flow), &request);
	g_string_free(text, TRUE);
	if (flow->call == NULL) {
		not_sent(flow, SERVER_FULL, "no_connection");
		return;
	}
	prefix_cache_learn(flow->context->prefixes, choice->server->tag,
	    &flow->facts, flow->attempt_ms);
	watch_silence(flow, SILENCE_OBJECTIVES * flow->route->objective_ms);
}

/* Sends the request to a server, or refuses it. */
static void
attempt(flow_t *flow)
{
	flow_context_t *context = flow->context;
	pick_query_t query = {
	    .facts = &flow->facts,
	    .service = flow->service,
	    .servers = pool_service(context->pool, flow->service_name),
	    .tried = flow->tried,
	    .prefixes = context->prefixes,
	    .pace = find_pace(flow),
	    .urgent = flow->urgent,
	    .zone = context->zone,
	    .now_ms = clock_boot_ms(),
	    .random = g_random_int(),
	};
	pick_choice_t choice = pick_server(&query);

	if (choice.server == NULL) {
		refuse(flow, RETRY_AFTER_DEFAULT_MS, "no_server");
		return;
	}
	if (!flow->ran && choice.expected_ms > (double)left_ms(flow)) {
		refuse(flow, (int64_t)choice.expected_ms, "overloaded");
		return;
	}
	send_request(flow, &choice);
}

static bool
authorise(flow_t *flow)
{
	if (flow->catalog->workspaces->len == 0 || flow->route->is_public)
		return true;
	if (flow->facts.api_key == NULL)
		return false;
	flow->workspace =
	    catalog_find_workspace(flow->catalog, flow->facts.api_key);
	return flow->workspace != NULL;
}

static double
request_units(const flow_t *flow)
{
	if (!flow->workspace->counts_tokens)
		return 1;
	return flow->facts.has_tokens ? pick_request_tokens(&flow->facts)
				      : flow->workspace->plain_tokens;
}

/* False where the workspace is over its limit; the request is answered. */
static bool
take_allotment(flow_t *flow)
{
	int64_t wait_ms;
	double units;

	if (flow->workspace == NULL)
		return true;
	units = request_units(flow);
	if (quota_take(flow->context->quota, flow->workspace->name, units,
		clock_boot_ms(), &wait_ms)) {
		flow->units = units;
		return true;
	}
	answer(flow, 429, wait_ms, "over_allotment");
	return false;
}

static void
set_deadline(flow_t *flow)
{
	int64_t limit_ms = flow->facts.deadline_ms >= 0
			       ? flow->facts.deadline_ms
			       : DEADLINE_DEFAULT_MS;

	if (flow->route->timeout_ms > 0)
		limit_ms = MIN(limit_ms, flow->route->timeout_ms);
	flow->deadline_ms = flow->received_ms + limit_ms;
	uv_timer_start(&flow->deadline_timer, on_deadline,
	    (uint64_t)MAX(left_ms(flow), 0), 0);
}

static flow_t *
flow_new(flow_context_t *context, exchange_t *exchange)
{
	flow_t *flow = g_new0(flow_t, 1);

	flow->refs = 3; /* its own and one a timer */
	flow->context = context;
	flow->exchange = exchange;
	flow->received_ms = exchange_received_ms(exchange);
	flow->first_ms = -1;
	flow->held = g_byte_array_new();
	flow->tried = g_ptr_array_new();
	if (context->catalog != NULL)
		flow->catalog = catalog_ref(context->catalog);
	platform_read_request(exchange_head(exchange), &flow->facts);
	uv_timer_init(context->loop, &flow->deadline_timer);
	uv_timer_init(context->loop, &flow->silence_timer);
	flow->deadline_timer.data = flow;
	flow->silence_timer.data = flow;
	exchange_watch(exchange, on_gone, on_drain, flow);
	return flow;
}

/* False where the node must not serve now; the request is answered. */
static bool
check_node(flow_t *flow)
{
	const flow_context_t *context = flow->context;

	if (context->refusing) {
		answer(flow, 503, 0, "stopping");
		return false;
	}
	if (flow->catalog == NULL) {
		answer(flow, 503, RETRY_AFTER_DEFAULT_MS, "no_configuration");
		return false;
	}
	if (clock_boot_ms() >= context->usable_until_ms) {
		answer(flow, 503, 0, "stale_configuration");
		return false;
	}
	return true;
}

void
flow_start(flow_context_t *context, exchange_t *exchange)
{
	flow_t *flow = flow_new(context, exchange);
	const request_facts_t *facts = &flow->facts;

	if (!check_node(flow))
		return;
	if (facts->attempt_id == NULL || facts->host == NULL) {
		answer(flow, 400, -1, "malformed");
		return;
	}
	flow->route = catalog_find_route(
	    flow->catalog, facts->host, exchange_head(exchange)->target);
	if (flow->route == NULL) {
		answer(flow, 404, -1, "no_route");
		return;
	}
	if (!authorise(flow)) {
		answer(flow, 401, -1, "unknown_key");
		return;
	}
	flow->urgent = flow->route->priority == 0;
	set_deadline(flow);
	if (!take_allotment(flow))
		return;
	flow->service_name = catalog_pick_service(flow->route, g_random_int());
	if (flow->service_name == NULL) {
		refuse(flow, RETRY_AFTER_DEFAULT_MS, "no_service");
		return;
	}
	flow->service = catalog_find_service(flow->catalog, flow->service_name);
	if (is_stream(flow))
		flow->events = event_stream_new();
	retry_budget_request(
	    context->budget, flow->service_name, clock_boot_ms());
	attempt(flow);
}
