#include "gateway_state.h"

#include "log.h"

/* The gateway's metrics, and its reports of what clients were refused. */

static void
add_quota_gauge(const quota_state_t *state, void *data)
{
	char *name =
	    g_strdup_printf("quota_left{workspace=\"%s\"}", state->workspace);

	*counter_get(data, name) = (uint64_t)MAX(state->level, 0);
	g_free(name);
}

/* Number of cold servers, as counted by pool_each(). */
typedef struct cold_count {
	unsigned servers;
	int64_t now_ms;
} cold_count_t;

static void
count_cold(server_t *server, void *data)
{
	cold_count_t *count = data;

	if (server_is_cold(server, count->now_ms))
		count->servers++;
}

enum { LISTENER_COUNT = 4 };

static void
get_listeners(const gateway_t *gateway, http1_server_t **servers)
{
	servers[0] = gateway->client_listener;
	servers[1] = gateway->directory_listener;
	servers[2] = gateway->readiness_listener;
	servers[3] = gateway->metrics_listener;
}

static uint64_t
count_losses(const gateway_t *gateway, http1_loss_t loss)
{
	http1_server_t *servers[LISTENER_COUNT];
	uint64_t count = 0;

	get_listeners(gateway, servers);
	for (size_t i = 0; i < LISTENER_COUNT; i++)
		if (servers[i] != NULL)
			count += http1_server_losses(servers[i], loss);
	return count;
}

/* Logs the requests that got no whole response since the last report. */
static void
report_losses(gateway_t *gateway)
{
	GString *fields = g_string_new(NULL);

	for (int i = 0; i < HTTP1_LOSS_COUNT; i++) {
		const char *name = http1_loss_name((http1_loss_t)i);
		uint64_t count = count_losses(gateway, (http1_loss_t)i);
		uint64_t added = count - gateway->losses[i];

		if (added == 0)
			continue;
		g_string_append_printf(
		    fields, " %s=%" G_GUINT64_FORMAT, name, added);
		counter_add(gateway->proxy.counters, added,
		    "client_requests_lost_total{how=\"%s\"}", name);
		gateway->losses[i] = count;
	}
	if (fields->len > 0)
		log_event(LOG_LEVEL_WARN, "clients.lost",
		    "connections_open=%u%s", gateway->memory.connections,
		    fields->str);
	g_string_free(fields, TRUE);
}

static uint64_t
count_refusals(const gateway_t *gateway, http1_refusal_t reason)
{
	http1_server_t *servers[LISTENER_COUNT];
	uint64_t count = 0;

	get_listeners(gateway, servers);
	for (size_t i = 0; i < LISTENER_COUNT; i++)
		if (servers[i] != NULL)
			count += http1_server_refusals(servers[i], reason);
	return count;
}

/* Logs what clients were refused since the last report. */
static void
report_refusals(gateway_t *gateway)
{
	GString *fields = g_string_new(NULL);

	for (int i = 0; i < HTTP1_REFUSAL_COUNT; i++) {
		const char *reason = http1_refusal_name((http1_refusal_t)i);
		uint64_t count = count_refusals(gateway, (http1_refusal_t)i);

		if (count == gateway->refusals[i])
			continue;
		g_string_append_printf(fields, " %s=%" G_GUINT64_FORMAT, reason,
		    count - gateway->refusals[i]);
		counter_add(gateway->proxy.counters,
		    count - gateway->refusals[i],
		    "client_refusals_total{reason=\"%s\"}", reason);
		gateway->refusals[i] = count;
	}
	if (fields->len > 0)
		log_event(LOG_LEVEL_WARN, "clients.refused",
		    "connections_open=%u received_bytes=%zu queued_bytes=%zu%s",
		    gateway->memory.connections,
		    memory_budget_held(gateway->memory.received),
		    memory_budget_held(gateway->memory.queued), fields->str);
	g_string_free(fields, TRUE);
}

static void
update_gauges(gateway_t *gateway, int64_t now_ms)
{
	cold_count_t cold = {.now_ms = now_ms};
	counters_t *counters = gateway->proxy.counters;

	*counter_get(counters, "client_bytes_received") =
	    memory_budget_held(gateway->memory.received);
	*counter_get(counters, "client_bytes_queued") =
	    memory_budget_held(gateway->memory.queued);

	*counter_get(counters, "client_connections") =
	    http1_server_connections(gateway->client_listener);
	*counter_get(counters, "requests_in_progress") =
	    http1_server_active_requests(gateway->client_listener);
	*counter_get(counters, "nodes") = cluster_node_count(gateway->cluster);
	*counter_get(counters, "backend_servers") =
	    pool_count(gateway->proxy.pool);
	*counter_get(counters, "configuration_proof_age_ms") =
	    (uint64_t)(now_ms - store_watch_confirmed_ms(gateway->store_watch));
	*counter_get(counters, "log_lines_dropped_total{level=\"info\"}") =
	    log_dropped_count(LOG_LEVEL_INFO);
	*counter_get(counters, "log_lines_dropped_total{level=\"warn\"}") =
	    log_dropped_count(LOG_LEVEL_WARN);
	*counter_get(counters, "log_lines_dropped_total{level=\"error\"}") =
	    log_dropped_count(LOG_LEVEL_ERROR);
	*counter_get(counters, "platform_calls_overdue_total") =
	    http_client_overdue_calls(gateway->http);
	*counter_get(counters, "blocked_prompt_segments") =
	    crash_guard_blocked_count(
		gateway->proxy.crash_guard, cluster_wall_ms(gateway->cluster));
	*counter_get(counters, "evacuated_zones") =
	    evacuation_count(gateway->proxy.evacuation);
	pool_each(gateway->proxy.pool, count_cold, &cold);
	*counter_get(counters, "cold_servers") = cold.servers;
	quota_each(gateway->proxy.quota, now_ms, add_quota_gauge, counters);
}

void
gateway_update_metrics(gateway_t *gateway, int64_t now_ms)
{
	update_gauges(gateway, now_ms);
	report_refusals(gateway);
	report_losses(gateway);
}

void
gateway_on_metrics(exchange_t *exchange, void *data)
{
	static const char type[] = "Content-Type: text/plain\r\n";
	gateway_t *gateway = data;
	GString *body = g_string_new(NULL);

	counters_write(gateway->proxy.counters, body);
	exchange_reply(exchange, 200, type, body->str, body->len);
	g_string_free(body, TRUE);
	exchange_unref(exchange);
}
