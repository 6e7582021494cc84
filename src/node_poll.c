#include "node_backend.h"

#include "clock.h"
#include "json.h"
#include "node_order.h"

#include <string.h>

enum {
	POLL_MIN_MS = 1000,
	/*
	 * Further time between two polls of a backend server per backend
	 * server observed: bounds the polls of a node to 13 per second.
	 */
	POLL_SPACING_MS = 150,
	POLL_TIMEOUT_MS = 2000,
	/* How often the observed backend servers are chosen again. */
	ASSIGN_MS = 2000,
	/* Prefixes reported at once; more are left out, as a gap. */
	PREFIXES_MAX = 512,
	/* Both keep a message far below MESSAGE_FRAME_MAX_BYTES. */
	REPORTS_MAX = 512,
	REPORT_PREFIXES_MAX = 65536,
};

/* One engine that this node observes. Owned by its node_poll. */
typedef struct target {
	node_poll_t *poll;
	backend_t *backend;
	http_call_t *load;
	http_call_t *events;
	int64_t due_ms; /* monotonic */
	int64_t events_after;
	bool chosen;	/* in the present choice */
	bool reported;	/* has news for the peers */
	GArray *stored; /* uint64_t */
	GArray *evicted;
} target_t;

struct node_poll {
	node_t *node;
	node_orders_t *orders;
	GHashTable *targets; /* borrowed backend name: target_t */
	int64_t assign_due_ms;
};

static void
target_free(gpointer data)
{
	target_t *target = data;

	if (target->load != NULL)
		http_call_cancel(target->load);
	if (target->events != NULL)
		http_call_cancel(target->events);
	g_array_free(target->stored, TRUE);
	g_array_free(target->evicted, TRUE);
	backend_unref(target->backend);
	g_free(target);
}

static void
count_failure(const target_t *target, const http_result_t *result)
{
	if (result->outcome != HTTP_OUTCOME_COMPLETE)
		counter_add(target->poll->node->counters, 1,
		    "backend_poll_failures_total");
}

static json_t *
read_object(const http_call_t *call, const http_result_t *result)
{
	json_t *json;

	if (result->outcome != HTTP_OUTCOME_COMPLETE ||
	    http_call_status(call) != 200)
		return NULL;
	json = json_parse(result->body, result->body_length, "engine", NULL);
	if (!json_is_object(json)) {
		json_decref(json);
		return NULL;
	}
	return json;
}

static unsigned
read_count(const json_t *json, const char *name)
{
	return (unsigned)CLAMP(json_get_int(json, name, 0), 0, G_MAXINT32);
}

static void
on_load(http_call_t *call, const http_result_t *result, void *data)
{
	target_t *target = data;
	json_t *json = read_object(call, result);
	const char *loaded;

	target->load = NULL;
	count_failure(target, result);
	if (json == NULL)
		return;
	backend_update_load(target->backend, read_count(json, "running"),
	    read_count(json, "waiting"), clock_mono_ms());
	loaded = json_get_string(json, "version", NULL);
	if (loaded != NULL)
		node_orders_consider(
		    target->poll->orders, target->backend, loaded);
	target->reported = true;
	json_decref(json);
}

static void
take_event(target_t *target, const json_t *event, int64_t now_ms)
{
	const char *hex = json_get_string(event, "prefix", "");
	const char *type = json_get_string(event, "type", "");
	route_prefix_index_t *cache = node_calls_cache(target->poll->node);
	const char *name = target->backend->name;
	bool stored = strcmp(type, "stored") == 0;
	guint64 prefix;

	if (!g_ascii_string_to_unsigned(
		hex, 16, 0, G_MAXUINT64, &prefix, NULL) ||
	    (!stored && strcmp(type, "evicted") != 0)) {
		counter_add(target->poll->node->counters, 1,
		    "backend_bad_cache_events_total");
		return;
	}
	if (stored)
		route_prefix_index_add(cache, name, prefix, now_ms);
	else
		route_prefix_index_remove(cache, name, prefix);
	if (stored && target->stored->len < PREFIXES_MAX)
		g_array_append_val(target->stored, prefix);
	if (!stored && target->evicted->len < PREFIXES_MAX)
		g_array_append_val(target->evicted, prefix);
	target->reported = true;
}

static void
on_events(http_call_t *call, const http_result_t *result, void *data)
{
	target_t *target = data;
	json_t *json = read_object(call, result);
	int64_t next = json_get_int(json, "next", 0);
	const json_t *event;
	size_t i;

	target->events = NULL;
	count_failure(target, result);
	json_array_foreach (json_object_get(json, "events"), i, event)
		take_event(target, event, clock_mono_ms());
	/* A restarted engine counts from the start again. */
	if (json != NULL)
		target->events_after = next < target->events_after ? 0 : next;
	json_decref(json);
}

static http_call_t *
ask(target_t *target, char *path,
    void (*on_done)(http_call_t *, const http_result_t *, void *))
{
	char *url =
	    g_strdup_printf("http://%s%s", target->backend->address, path);
	http_call_options_t options = {
	    .url = url,
	    .timeout_ms = POLL_TIMEOUT_MS,
	    .on_complete = on_done,
	    .data = target,
	};
	http_call_t *call = http_call_start(target->poll->node->http, &options);

	g_free(url);
	g_free(path);
	return call;
}

static void
poll_target(target_t *target, int64_t now_ms)
{
	guint count = g_hash_table_size(target->poll->targets);
	char *path;

	if (now_ms < target->due_ms)
		return;
	target->due_ms =
	    now_ms + MAX(POLL_MIN_MS, (int64_t)count * POLL_SPACING_MS);
	if (target->load == NULL)
		target->load = ask(target, g_strdup("/v1/load"), on_load);
	if (target->events != NULL)
		return;
	path = g_strdup_printf(
	    "/v1/cache-events?after=%" G_GINT64_FORMAT, target->events_after);
	target->events = ask(target, path, on_events);
}

static target_t *
target_new(node_poll_t *poll, backend_t *backend)
{
	target_t *target = g_new0(target_t, 1);

	target->poll = poll;
	target->backend = backend_ref(backend);
	target->stored = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	target->evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return target;
}

static bool
is_observed(node_t *node, const backend_t *backend)
{
	const service_t *service =
	    settings_service(node->settings, backend->service, NULL);

	return service != NULL && service->kind == SERVICE_MODEL &&
	       backend->state != BACKEND_REMOVED &&
	       node_peers_observes(node, backend->zone, backend->name);
}

static void
choose(backend_t *backend, void *data)
{
	node_poll_t *poll = data;
	target_t *target = g_hash_table_lookup(poll->targets, backend->name);

	/* A backend server declared anew is another record of its name. */
	if (target != NULL && target->backend != backend) {
		g_hash_table_remove(poll->targets, backend->name);
		target = NULL;
	}
	if (!is_observed(poll->node, backend))
		return;
	if (target == NULL) {
		target = target_new(poll, backend);
		g_hash_table_insert(
		    poll->targets, target->backend->name, target);
	}
	target->chosen = true;
}

static gboolean
drop_unless_chosen(gpointer name, gpointer value, gpointer data)
{
	target_t *target = value;
	bool chosen = target->chosen;

	target->chosen = false;
	return !chosen;
}

/* Returns the number of prefixes reported. */
static unsigned
append_report(target_t *target, GArray *reports)
{
	unsigned prefixes = target->stored->len + target->evicted->len;

	message_engine_report_t report = {
	    .backend = g_strdup(target->backend->name),
	    .running_requests = target->backend->reported_running,
	    .waiting_requests = target->backend->reported_waiting,
	    .stored_prefixes = target->stored,
	    .evicted_prefixes = target->evicted,
	};

	g_array_append_val(reports, report);
	target->stored = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	target->evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	target->reported = false;
	return prefixes;
}

/* Tells the peers what this node's polls have shown since the last time. */
static void
send_reports(node_poll_t *poll)
{
	message_t message = {
	    .type = MESSAGE_ENGINE_REPORTS,
	    .engine_reports = {.list = g_array_new(FALSE, TRUE,
				   sizeof(message_engine_report_t))},
	};
	GArray *list = message.engine_reports.list;
	unsigned prefixes = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poll->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		target_t *target = value;

		/* The rest follows at the next tick. */
		if (target->reported && list->len < REPORTS_MAX &&
		    prefixes < REPORT_PREFIXES_MAX)
			prefixes += append_report(target, list);
	}
	if (list->len > 0)
		node_peers_broadcast(poll->node, &message);
	message_clear(&message);
}

void
node_poll_tick(node_backends_t *part)
{
	node_poll_t *poll = part->poll;
	int64_t now_ms = clock_mono_ms();
	GHashTableIter iter;
	gpointer value;

	if (now_ms >= poll->assign_due_ms) {
		poll->assign_due_ms = now_ms + ASSIGN_MS;
		backends_each(part->node->backends, choose, poll);
		g_hash_table_foreach_remove(
		    poll->targets, drop_unless_chosen, NULL);
	}
	send_reports(poll);
	g_hash_table_iter_init(&iter, poll->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		poll_target(value, now_ms);
}

void
node_poll_start(node_backends_t *part)
{
	node_poll_t *poll = g_new0(node_poll_t, 1);

	part->poll = poll;
	poll->node = part->node;
	poll->orders = node_orders_new(part->node);
	poll->targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
}

void
node_poll_free(node_backends_t *part)
{
	g_hash_table_destroy(part->poll->targets);
	node_orders_free(part->poll->orders);
	g_free(part->poll);
}

static void
take_prefixes(node_poll_t *poll, const message_engine_report_t *report)
{
	route_prefix_index_t *cache = node_calls_cache(poll->node);
	int64_t now_ms = clock_mono_ms();

	for (guint i = 0; i < report->stored_prefixes->len; i++)
		route_prefix_index_add(cache, report->backend,
		    g_array_index(report->stored_prefixes, uint64_t, i),
		    now_ms);
	for (guint i = 0; i < report->evicted_prefixes->len; i++)
		route_prefix_index_remove(cache, report->backend,
		    g_array_index(report->evicted_prefixes, uint64_t, i));
}

void
node_poll_message(node_backends_t *part, const message_t *message)
{
	const GArray *list = message->engine_reports.list;

	for (guint i = 0; i < list->len; i++) {
		const message_engine_report_t *report =
		    &g_array_index(list, message_engine_report_t, i);
		backend_t *backend =
		    backends_find(part->node->backends, report->backend);

		if (backend == NULL)
			continue;
		/* What this node polls itself is newer. */
		if (!g_hash_table_contains(
			part->poll->targets, report->backend))
			backend_update_load(backend, report->running_requests,
			    report->waiting_requests, clock_mono_ms());
		take_prefixes(part->poll, report);
	}
}
