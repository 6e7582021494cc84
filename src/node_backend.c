#include "node_backend.h"

#include "clock.h"
#include "log.h"

#include <string.h>

enum {
	TICK_MS = 500,
	CLOUD_TIMEOUT_MS = 2000,
	NOTICE_WAIT_MS = 20000,
	CLOUD_RETRY_MS = 500,
	LIST_MS = 2000,
	/*
	 * A mark is kept this long after the host has left, so that settings
	 * which arrive late and still name the host do not bring it back.
	 */
	FORGET_MS = 60 * 60 * 1000,
	LEAVING_MAX = 65536,
};

/* Key by which two nodes of each zone are chosen to poll the cloud. */
static const char cloud_key[] = "cloud";

static void
fill_leaving(message_t *message, const char *host, const leaving_t *leaving,
    const char *source)
{
	*message = (message_t){
	    .type = MESSAGE_HOST_LEAVING,
	    .host_leaving = {.host = g_strdup(host),
		.leave_at_ms = leaving->leave_at_ms,
		.source = g_strdup(source)},
	};
}

static void
broadcast_leaving(node_t *node, const char *host, const leaving_t *leaving,
    const char *source)
{
	message_t message;

	fill_leaving(&message, host, leaving, source);
	node_peers_broadcast(node, &message);
	message_clear(&message);
}

/* Marks a host as leaving; false where it is marked or left long ago. */
static bool
mark_host(node_backends_t *part, const char *host, int64_t leave_at_ms,
    const char *source)
{
	int64_t wall_ms = clock_wall_ms();
	leaving_t *leaving;

	/* The cloud may since have given the name to a new host. */
	if (leave_at_ms > 0 && wall_ms - leave_at_ms >= FORGET_MS)
		return false;
	if (g_hash_table_contains(part->leaving, host))
		return false;
	if (g_hash_table_size(part->leaving) >= LEAVING_MAX) {
		counter_add(
		    part->node->counters, 1, "leaving_hosts_ignored_total");
		return false;
	}
	leaving = g_new0(leaving_t, 1);
	leaving->leave_at_ms = leave_at_ms;
	leaving->forget_at_ms =
	    (leave_at_ms > 0 ? leave_at_ms : wall_ms) + FORGET_MS;
	g_hash_table_insert(part->leaving, g_strdup(host), leaving);
	counter_add(part->node->counters, 1,
	    "leaving_hosts_total{source=\"%s\"}", source);
	log_event(LOG_LEVEL_WARN, "host.leaving",
	    "node=%s host=%s leave_at_ms=%" G_GINT64_FORMAT " source=%s",
	    part->node->config->name, host, leave_at_ms, source);
	backends_drain_host(part->node->backends, host, leave_at_ms);
	node_peers_leave(part->node, host);
	return true;
}

static void
take_host(node_backends_t *part, const cloud_host_t *host, const char *source)
{
	if (host->state != CLOUD_HOST_LIVE &&
	    mark_host(part, host->host, host->leave_at_ms, source))
		broadcast_leaving(part->node, host->host,
		    g_hash_table_lookup(part->leaving, host->host), source);
}

static void poll_cloud(node_backends_t *part);

static void
on_notices(const cloud_result_t *result, void *data)
{
	node_backends_t *part = data;

	part->noticing = false;
	if (result->status != CLOUD_OK || result->next_after < 0) {
		counter_add(part->node->counters, 1, "cloud_failures_total");
		part->notices_retry_ms = clock_mono_ms() + CLOUD_RETRY_MS;
		return;
	}
	for (size_t i = 0; i < result->host_count; i++)
		take_host(part, &result->hosts[i], "notice");
	/* A cloud that counts from the start again has its own notices. */
	part->notices_after = result->next_after;
	poll_cloud(part);
}

static void
on_hosts(const cloud_result_t *result, void *data)
{
	node_backends_t *part = data;

	part->listing = false;
	if (result->status != CLOUD_OK)
		counter_add(part->node->counters, 1, "cloud_failures_total");
	for (size_t i = 0; i < result->host_count; i++)
		take_host(part, &result->hosts[i], "list");
}

static void
poll_cloud(node_backends_t *part)
{
	node_t *node = part->node;
	int64_t now_ms = clock_mono_ms();

	if (part->cloud == NULL ||
	    !node_peers_observes(node, node->config->zone, cloud_key))
		return;
	if (!part->noticing && now_ms >= part->notices_retry_ms) {
		part->noticing = true;
		cloud_poll_notices(part->cloud, part->notices_after,
		    NOTICE_WAIT_MS, on_notices, part);
	}
	if (!part->listing && now_ms >= part->list_due_ms) {
		part->listing = true;
		part->list_due_ms = now_ms + LIST_MS;
		cloud_list_hosts(part->cloud, on_hosts, part);
	}
}

/* Settings that arrived after a mark may have declared its host again. */
static void
restore_mark(backend_t *backend, void *data)
{
	node_backends_t *part = data;
	const leaving_t *leaving;

	if (backend->state == BACKEND_DRAINING ||
	    backend->state == BACKEND_REMOVED)
		return;
	leaving = g_hash_table_lookup(part->leaving, backend->host);
	if (leaving != NULL)
		backends_drain_host(
		    part->node->backends, backend->host, leaving->leave_at_ms);
}

static gboolean
is_over(gpointer host, gpointer value, gpointer data)
{
	const leaving_t *leaving = value;

	return *(const int64_t *)data >= leaving->forget_at_ms;
}

static void
on_tick(uv_timer_t *timer)
{
	node_backends_t *part = timer->data;
	int64_t wall_ms = clock_wall_ms();

	poll_cloud(part);
	g_hash_table_foreach_remove(part->leaving, is_over, &wall_ms);
	if (g_hash_table_size(part->leaving) > 0)
		backends_each(part->node->backends, restore_mark, part);
	node_poll_tick(part);
}

void
node_backends_start(node_t *node)
{
	node_backends_t *part = g_new0(node_backends_t, 1);

	node->backends_part = part;
	part->node = node;
	part->leaving =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (node->config->cloud_url != NULL)
		part->cloud = cloud_new(
		    node->http, node->config->cloud_url, CLOUD_TIMEOUT_MS);
	node_poll_start(part);
	part->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(node->loop, part->timer);
	part->timer->data = part;
	uv_timer_start(part->timer, on_tick, 0, TICK_MS);
}

static void
free_timer(uv_handle_t *handle)
{
	g_free(handle);
}

void
node_backends_free(node_t *node)
{
	node_backends_t *part = node->backends_part;

	if (part == NULL)
		return;
	node_poll_free(part);
	cloud_free(part->cloud);
	uv_close((uv_handle_t *)part->timer, free_timer);
	g_hash_table_destroy(part->leaving);
	g_free(part);
	node->backends_part = NULL;
}

void
node_backends_message(node_t *node, const message_t *message, const char *from)
{
	node_backends_t *part = node->backends_part;

	if (part == NULL)
		return;
	if (message->type == MESSAGE_HOST_LEAVING)
		mark_host(part, message->host_leaving.host,
		    message->host_leaving.leave_at_ms, "peer");
	else if (message->type == MESSAGE_ENGINE_REPORTS)
		node_poll_message(part, message);
}

void
node_backends_greet(node_t *node, const char *to)
{
	node_backends_t *part = node->backends_part;
	GHashTableIter iter;
	gpointer host, value;

	if (part == NULL)
		return;
	g_hash_table_iter_init(&iter, part->leaving);
	while (g_hash_table_iter_next(&iter, &host, &value)) {
		message_t message;

		fill_leaving(&message, host, value, "greeting");
		node_peers_send(node, to, &message);
		message_clear(&message);
	}
}
