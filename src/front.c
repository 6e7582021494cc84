#include "front_state.h"

#include "clock.h"
#include "log.h"
#include "platform_request.h"

#include <string.h>

enum {
	TICK_MS = 100,
	SWEEP_MS = 1000,
	/* Time for which clients that still know the address are served. */
	LEAVE_MS = 2500,
	/* The process ends this long before it would be killed. */
	END_MARGIN_MS = 400,
	ADDRESS_TTL_MS = 2000,
	/* Requests wait so long after the start for the first configuration. */
	EARLY_MS = 500,
	/* Descriptors kept for backend servers and the platform. */
	OTHER_DESCRIPTORS = 1500,
	CONNECTIONS_MIN = 64,
	ADDRESSES_MAX = 64,
};

/* Share of the longest use of a withdrawn key after which a node refuses. */
static const double use_share = 0.8;
/* The same, after which it is not offered to clients. */
static const double ready_share = 0.6;

static const catalog_limits_t *
limits(void *data)
{
	const front_t *front = data;

	return front->flow.catalog == NULL ? &catalog_limits_default
					   : &front->flow.catalog->limits;
}

static void
on_listed(void *data)
{
	front_t *front = data;

	if (!front->listed)
		log_event(LOG_LEVEL_INFO, "front.listed", "servers=%u nodes=%u",
		    pool_count(front->flow.pool),
		    cluster_node_count(front->cluster));
	front->listed = true;
	cluster_apply_registrations(front->cluster);
	lease_campaign(front->lease);
}

static void
on_newer_configuration(void *data)
{
	sync_refresh(((front_t *)data)->sync);
}

static void
on_follower_question(
    const relay_question_t *question, GByteArray *answer, void *data)
{
	const front_t *front = data;

	if (front->sync != NULL)
		sync_answer(front->sync, question, answer);
}

static void
on_relay_answer(const relay_answer_t *answer, void *data)
{
	front_t *front = data;

	if (front->sync != NULL)
		sync_take_answer(front->sync, answer);
}

/* In a large fleet most nodes ask others for the store's changes. */
static void
follow(front_t *front)
{
	relay_question_t question;

	sync_follow(front->sync, cluster_is_follower(front->cluster));
	if (sync_question(front->sync, &question))
		cluster_send_relay_request(front->cluster, &question);
}

static void
serve(front_t *front, exchange_t *exchange)
{
	if (exchange_is_closed(exchange))
		exchange_unref(exchange);
	else
		proxy_start(&front->flow, exchange);
}

/* Serves, or refuses, the requests that came before the configuration. */
static void
serve_early(front_t *front)
{
	GPtrArray *early = front->early;

	front->early = g_ptr_array_new();
	for (guint i = 0; i < early->len; i++)
		serve(front, early->pdata[i]);
	g_ptr_array_unref(early);
}

static bool
is_starting(const front_t *front)
{
	return front->flow.catalog == NULL && front->drain_from_ms == 0 &&
	       clock_boot_ms() - front->started_ms < EARLY_MS;
}

static void
on_request(exchange_t *exchange, void *data)
{
	front_t *front = data;

	if (is_starting(front))
		g_ptr_array_add(front->early, exchange);
	else
		serve(front, exchange);
}

static void
answer_addresses(front_t *front, exchange_t *exchange)
{
	static const char type[] = "Content-Type: application/json\r\n";
	GPtrArray *addresses = cluster_client_addresses(front->cluster);
	int64_t ttl_ms =
	    MIN(ADDRESS_TTL_MS, front->config->bounds.address_ttl_max_ms);

	if (addresses->len > ADDRESSES_MAX)
		g_ptr_array_set_size(addresses, ADDRESSES_MAX);
	if (addresses->len == 0) {
		exchange_reply(exchange, 503, NULL, "", 0);
	} else {
		char *text = platform_write_addresses(addresses, ttl_ms);

		exchange_reply(exchange, 200, type, text, strlen(text));
		g_free(text);
	}
	g_ptr_array_unref(addresses);
}

static void
on_question(exchange_t *exchange, void *data)
{
	front_t *front = data;

	switch (
	    platform_find_endpoint(exchange_request_head(exchange)->target)) {
	case PLATFORM_ENDPOINT_READINESS:
		exchange_reply(exchange, front->ready ? 200 : 503, NULL, "", 0);
		break;
	case PLATFORM_ENDPOINT_ADDRESSES:
		answer_addresses(front, exchange);
		break;
	case PLATFORM_ENDPOINT_OTHER:
		exchange_reply(exchange, 404, NULL, "", 0);
		break;
	}
	exchange_unref(exchange);
}

static void
on_metrics(exchange_t *exchange, void *data)
{
	static const char type[] = "Content-Type: text/plain\r\n";
	front_t *front = data;
	GString *text = g_string_new(NULL);

	counters_write(front->flow.counters, text);
	exchange_reply(exchange, 200, type, text->str, text->len);
	g_string_free(text, TRUE);
	exchange_unref(exchange);
}

static void
update_ready(front_t *front, int64_t now_ms)
{
	int64_t confirmed_ms = sync_confirmed_ms(front->sync);
	double revoke_ms = (double)front->config->bounds.revoke_ms;
	bool ready = front->flow.catalog != NULL && front->listed &&
		     front->drain_from_ms == 0 &&
		     now_ms < confirmed_ms + (int64_t)(ready_share * revoke_ms);

	front->flow.catalog_valid_until_ms =
	    confirmed_ms + (int64_t)(use_share * revoke_ms);
	if (ready != front->ready)
		log_event(LOG_LEVEL_INFO,
		    ready ? "front.ready" : "front.unready",
		    "proof_age_ms=%" G_GINT64_FORMAT " draining=%d",
		    now_ms - confirmed_ms, front->drain_from_ms != 0);
	front->ready = ready;
	cluster_set_local_state(front->cluster, ready,
	    front->flow.catalog == NULL ? 0 : front->flow.catalog->version);
}

static void
on_confirmed(void *data)
{
	front_t *front = data;

	update_ready(front, clock_boot_ms());
	if (front->flow.catalog != NULL)
		serve_early(front);
}

static void
add_quota_gauge(const quota_state_t *state, void *data)
{
	char *name =
	    g_strdup_printf("quota_left{workspace=\"%s\"}", state->workspace);

	*counter_get(data, name) = (uint64_t)MAX(state->level, 0);
	g_free(name);
}

static void
update_gauges(front_t *front, int64_t now_ms)
{
	counters_t *counters = front->flow.counters;

	*counter_get(counters, "client_connections") =
	    http1_server_connections(front->clients);
	*counter_get(counters, "requests_in_progress") =
	    http1_server_active_requests(front->clients);
	*counter_get(counters, "nodes") = cluster_node_count(front->cluster);
	*counter_get(counters, "backend_servers") =
	    pool_count(front->flow.pool);
	*counter_get(counters, "configuration_proof_age_ms") =
	    (uint64_t)(now_ms - sync_confirmed_ms(front->sync));
	*counter_get(counters, "log_lines_dropped_total{level=\"info\"}") =
	    log_dropped(LOG_LEVEL_INFO);
	*counter_get(counters, "log_lines_dropped_total{level=\"warn\"}") =
	    log_dropped(LOG_LEVEL_WARN);
	*counter_get(counters, "log_lines_dropped_total{level=\"error\"}") =
	    log_dropped(LOG_LEVEL_ERROR);
	quota_each(front->flow.quota, now_ms, add_quota_gauge, counters);
}

static void
check_drain(front_t *front, int64_t now_ms)
{
	int64_t passed_ms = now_ms - front->drain_from_ms;
	int64_t most_ms = front->config->bounds.grace_ms - END_MARGIN_MS;
	unsigned active = http1_server_active_requests(front->clients);

	if (passed_ms < MIN(LEAVE_MS, most_ms))
		return;
	front->flow.stopping = true;
	http1_server_close_idle(front->clients);
	if (active > 0 && passed_ms < most_ms)
		return;
	log_event(active > 0 ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, "front.drained",
	    "interrupted=%u passed_ms=%" G_GINT64_FORMAT, active, passed_ms);
	cluster_send_digest(front->cluster);
	uv_timer_stop(&front->timer);
	front->on_drained(front->drain_data);
}

static void
set_move_time(front_t *front)
{
	rollouts_set_time(front->flow.rollouts, cluster_wall_ms(front->cluster),
	    cluster_node_count(front->cluster));
}

static void
on_tick(uv_timer_t *timer)
{
	front_t *front = timer->data;
	int64_t now_ms = clock_boot_ms();

	follow(front);
	update_ready(front, now_ms);
	if (!is_starting(front))
		serve_early(front);
	usage_report_tick(front->usage_report, cluster_wall_ms(front->cluster));
	set_move_time(front);
	rollouts_tick(front->flow.rollouts, front->store, front->lease);
	scaler_tick(front->scale_orders, front->flow.catalog);
	if (now_ms - front->swept_ms >= SWEEP_MS) {
		front->swept_ms = now_ms;
		prefix_cache_sweep(front->flow.prefixes, now_ms);
		update_gauges(front, now_ms);
	}
	pool_sweep(front->flow.pool, now_ms);
	proxy_migrate_streams(&front->flow, now_ms);
	if (front->drain_from_ms != 0)
		check_drain(front, now_ms);
}

static http1_server_t *
listen_on(front_t *front, const char *address, unsigned connections_max,
    void (*handler)(exchange_t *exchange, void *data), GError **error)
{
	http1_server_options_t options = {
	    .address = address,
	    .connections_max = connections_max,
	    .on_request = handler,
	    .limits = limits,
	    .data = front,
	};

	return http1_server_start(front->loop, &options, error);
}

static bool
start_listeners(front_t *front, GError **error)
{
	const front_config_t *config = front->config;
	unsigned most =
	    config->descriptors > OTHER_DESCRIPTORS + CONNECTIONS_MIN
		? config->descriptors - OTHER_DESCRIPTORS
		: CONNECTIONS_MIN;
	char *metrics =
	    g_strdup_printf("%s:%d", config->ip, config->metrics_port);
	bool ok;

	front->clients =
	    listen_on(front, config->client_address, most, on_request, error);
	ok = front->clients != NULL;
	if (ok && config->ready_address != NULL) {
		front->readiness = listen_on(front, config->ready_address,
		    CONNECTIONS_MIN, on_question, error);
		ok = front->readiness != NULL;
	}
	if (ok && config->directory_address != NULL) {
		front->questions = listen_on(front, config->directory_address,
		    most / 4 + CONNECTIONS_MIN, on_question, error);
		ok = front->questions != NULL;
	}
	if (ok && config->metrics_port != 0) {
		front->metrics = listen_on(
		    front, metrics, CONNECTIONS_MIN, on_metrics, error);
		ok = front->metrics != NULL;
	}
	g_free(metrics);
	return ok;
}

static void
start_flow(front_t *front)
{
	const front_bounds_t *bounds = &front->config->bounds;
	retry_limits_t retry = {.retries_per_request = bounds->retry_ratio,
	    .extra_retries = bounds->retry_extra,
	    .window_ms = bounds->retry_window_ms};
	quota_options_t quota = {.window_ms = bounds->quota_window_ms,
	    .tolerance_ratio = bounds->quota_over,
	    .tolerance_units = bounds->quota_slack};

	front->flow = (proxy_context_t){
	    .loop = front->loop,
	    .zone = front->config->zone,
	    .pool = pool_new(front->loop, bounds->drain_ms),
	    .quota = quota_new(&quota),
	    .budget = retry_budget_new(&retry),
	    .usage = usage_new(bounds->usage_window_ms),
	    .prefixes = prefix_cache_new(),
	    .ttft_models =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
	    .counters = counters_new(),
	};
	front->flow.rollouts = rollouts_new(&(rollouts_options_t){
	    .config = front->config, .pool = front->flow.pool});
	TAILQ_INIT(&front->flow.requests);
}

static bool
start_cluster(front_t *front, GError **error)
{
	cluster_options_t options = {
	    .config = front->config,
	    .pool = front->flow.pool,
	    .quota = front->flow.quota,
	    .usage = front->flow.usage,
	    .rollouts = front->flow.rollouts,
	    .on_newer_configuration = on_newer_configuration,
	    .on_relay_request = on_follower_question,
	    .on_relay_response = on_relay_answer,
	    .data = front,
	};

	front->cluster = cluster_start(front->loop, &options, error);
	front->flow.cluster = front->cluster;
	return front->cluster != NULL;
}

static void
start_store(front_t *front)
{
	usage_report_options_t report = {.config = front->config};
	sync_options_t sync = {
	    .use_ms =
		(int64_t)(use_share * (double)front->config->bounds.revoke_ms),
	    .on_put = front_on_put,
	    .on_removed = front_on_removed,
	    .on_listed = on_listed,
	    .on_confirmed = on_confirmed,
	    .data = front,
	};

	front->http = http_client_new(front->loop);
	front->store = platform_store_new(
	    front->http, front->config->store_url, front->flow.counters);
	front->lease = lease_start(front->loop, front->config, front->store);
	report.store = front->store;
	report.http = front->http;
	report.counters = front->flow.counters;
	report.lease = front->lease;
	report.usage = front->flow.usage;
	front->usage_report = usage_report_new(&report);
	front->scale_orders = scaler_new(&(scaler_options_t){
	    .config = front->config,
	    .store = front->store,
	    .http = front->http,
	    .counters = front->flow.counters,
	    .lease = front->lease,
	    .pool = front->flow.pool,
	    .rollouts = front->flow.rollouts,
	});
	sync.store = front->store;
	front->sync = sync_start(front->loop, &sync);
}

front_t *
front_start(uv_loop_t *loop, front_config_t *config, GError **error)
{
	front_t *front = g_new0(front_t, 1);

	front->loop = loop;
	front->config = config;
	front->started_ms = clock_boot_ms();
	front->early = g_ptr_array_new();
	start_flow(front);
	if (!start_cluster(front, error) || !start_listeners(front, error))
		return NULL; /* the process ends */
	set_move_time(front);
	start_store(front);
	uv_timer_init(loop, &front->timer);
	front->timer.data = front;
	uv_timer_start(&front->timer, on_tick, TICK_MS, TICK_MS);
	log_event(LOG_LEVEL_INFO, "front.started", "node=%s zone=%s address=%s",
	    config->name, config->zone, config->client_address);
	return front;
}

void
front_reload(front_t *front, front_config_t *config)
{
	front->config->bounds = config->bounds;
	log_event(
	    LOG_LEVEL_INFO, "front.reloaded", "node=%s", front->config->name);
	front_config_free(config);
}

void
front_drain(front_t *front, void (*done)(void *data), void *data)
{
	if (front->drain_from_ms != 0)
		return;
	front->drain_from_ms = clock_boot_ms();
	front->on_drained = done;
	front->drain_data = data;
	log_event(LOG_LEVEL_INFO, "front.draining", "active=%u",
	    http1_server_active_requests(front->clients));
	update_ready(front, front->drain_from_ms);
	cluster_send_digest(front->cluster);
	http1_server_drain(front->clients);
	lease_end(front->lease);
}
