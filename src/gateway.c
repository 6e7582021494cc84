#include "gateway_state.h"

#include "clock.h"
#include "conn.h"
#include "log.h"
#include "turn.h"

#include <malloc.h>
#include <string.h>

enum {
	TICK_INTERVAL_MS = 100,
	SWEEP_INTERVAL_MS = 1000,
	/* The request of a new connection may be on its way for this long. */
	DRAIN_IDLE_MS = 300,
	/* Requests at the start wait at most this long for a configuration. */
	STARTUP_WAIT_MS = 500,
	/* Between the requests of a follower to its relay. */
	RELAY_INTERVAL_MS = 200,
	STANDBY_RELAY_INTERVAL_MS = 400,
	/* Shares of the process's memory that data of clients and data for them
	 * may take; the rest is for the process itself and its connections. */
	RECEIVED_MEMORY_PARTS = 3,
	QUEUED_MEMORY_PARTS = 8,
	/* Blocks of this size are mapped, so that they go back to the system
	 * when they are freed; the C library would raise its threshold. */
	MAPPED_BLOCK_BYTES = 128 * 1024,
	/* Free memory goes back once so much less is held than before. */
	RETURN_BYTES = 8 * 1024 * 1024,
	/* From the first node that applies a change to the last one. */
	CHANGE_DELIVERY_MAX_MS = 800,
	/* A node that starts waits for a configuration that its peers have. */
	PEER_CONFIGURATION_WAIT_MS = 5000,
};

/*
 * A configuration that the store has not confirmed for a while may hold API
 * keys that have been withdrawn. After this share of revoke_ms the gateway
 * refuses requests for which keys matter.
 */
static const double config_use_share = 0.8;
/*
 * Share of revoke_ms after which the gateway reports that it is not ready and
 * leaves the address lists; before it refuses requests.
 */
static const double config_ready_share = 0.6;

static void
on_list_complete(void *data)
{
	gateway_t *gateway = data;
	bool may_be_restored;

	if (!gateway->initial_list_complete)
		log_event(LOG_LEVEL_INFO, "front.listed", "servers=%u nodes=%u",
		    pool_count(gateway->proxy.pool),
		    cluster_node_count(gateway->cluster));
	gateway->initial_list_complete = true;
	cluster_apply_registrations(gateway->cluster);
	era_record_list_complete(gateway->era_record);
	may_be_restored = era_record_may_be_restored(gateway->era_record);
	usage_report_list_complete(gateway->usage_report, may_be_restored);
	lease_enable_campaign(gateway->lease, may_be_restored);
}

/* The store has been restored from a copy. */
static void
on_store_restored(int64_t era, void *data)
{
	gateway_t *gateway = data;

	lease_restore(gateway->lease);
	era_record_restore(gateway->era_record);
	rollouts_set_restoring(gateway->proxy.rollouts, true);
	store_watch_restore(gateway->store_watch);
}

static void
on_restoration_over(void *data)
{
	gateway_t *gateway = data;

	rollouts_set_restoring(gateway->proxy.rollouts, false);
	log_event(LOG_LEVEL_INFO, "store.restoration_over", "servers=%u",
	    pool_count(gateway->proxy.pool));
}

static void
on_newer_configuration(void *data)
{
	gateway_t *gateway = data;

	if (gateway->newer_configuration_ms == 0)
		gateway->newer_configuration_ms = clock_boot_ms();
}

/* A peer states a later era of the store. */
static void
on_peer_era(int64_t era, void *data)
{
	gateway_t *gateway = data;

	if (gateway->store_watch != NULL)
		store_watch_check_era(gateway->store_watch, era);
}

static void
on_peer_record(int64_t window, void *data)
{
	const gateway_t *gateway = data;

	if (gateway->usage_report != NULL)
		usage_report_learn_record(gateway->usage_report, window,
		    cluster_wall_ms(gateway->cluster));
}

static void
on_relay_request(const relay_request_t *request,
    const GPtrArray *client_addresses, GByteArray *response, void *data)
{
	const gateway_t *gateway = data;

	if (gateway->store_watch != NULL)
		store_watch_encode_response(
		    gateway->store_watch, request, client_addresses, response);
}

static void
on_relay_response(const relay_response_t *response, void *data)
{
	gateway_t *gateway = data;

	if (gateway->store_watch != NULL)
		store_watch_apply_response(gateway->store_watch, response);
}

/*
 * In a large fleet most nodes get the store's changes from a few other nodes
 * instead of watching the store.
 */
static void
request_store_changes(gateway_t *gateway)
{
	int64_t interval_ms = 0;
	relay_request_t request;

	if (cluster_is_follower(gateway->cluster))
		interval_ms = cluster_is_active(gateway->cluster)
				  ? RELAY_INTERVAL_MS
				  : STANDBY_RELAY_INTERVAL_MS;
	store_watch_set_relay_interval(gateway->store_watch, interval_ms);
	store_watch_set_min_interval(gateway->store_watch,
	    cluster_min_watch_interval_ms(gateway->cluster));
	if (store_watch_next_request(gateway->store_watch, &request))
		cluster_send_relay_request(gateway->cluster, &request);
}

/*
 * Lists the store's keys again where a peer has a newer configuration that the
 * watch or the relay has not delivered. Listing at once would make every node
 * of a fleet list all keys on each change.
 */
static void
check_newer_configuration(gateway_t *gateway, int64_t now_ms)
{
	if (gateway->newer_configuration_ms == 0 ||
	    now_ms - gateway->newer_configuration_ms < CHANGE_DELIVERY_MAX_MS)
		return;
	gateway->newer_configuration_ms = 0;
	store_watch_refresh(gateway->store_watch);
}

static void
serve(gateway_t *gateway, exchange_t *exchange)
{
	if (exchange_is_closed(exchange))
		exchange_unref(exchange);
	else
		proxy_start(&gateway->proxy, exchange);
}

/* Without a configuration the waiting requests are refused. */
static void
serve_waiting(gateway_t *gateway)
{
	GPtrArray *waiting = gateway->waiting_exchanges;

	gateway->waiting_exchanges = g_ptr_array_new();
	for (guint i = 0; i < waiting->len; i++)
		serve(gateway, waiting->pdata[i]);
	g_ptr_array_unref(waiting);
}

/* Until the first confirmed configuration, and while
 * is_configuration_in_doubt(). */
static bool
is_awaiting_configuration(const gateway_t *gateway)
{
	int64_t since_ms = gateway->started_ms;

	if (gateway->drain.started_ms != 0 ||
	    proxy_has_configuration(&gateway->proxy))
		return false;
	if (gateway->proxy.catalog != NULL) {
		if (gateway->waiting_exchanges->len == 0)
			return true;
		since_ms = gateway->waiting_since_ms;
	}
	return clock_boot_ms() - since_ms < STARTUP_WAIT_MS;
}

void
gateway_on_client_request(exchange_t *exchange, void *data)
{
	gateway_t *gateway = data;

	if (!is_awaiting_configuration(gateway)) {
		serve(gateway, exchange);
		return;
	}
	if (gateway->waiting_exchanges->len == 0)
		gateway->waiting_since_ms = clock_boot_ms();
	g_ptr_array_add(gateway->waiting_exchanges, exchange);
}

static void
report_local_state(gateway_t *gateway)
{
	const catalog_t *catalog = gateway->proxy.catalog;
	cluster_local_state_t state = {.ready = gateway->ready,
	    .unproven = gateway->unproven,
	    .leader = lease_fencing_token(gateway->lease) != 0,
	    .configuration_version = catalog == NULL ? 0 : catalog->version,
	    .store_era = platform_store_era(gateway->store),
	    .recorded_window =
		usage_report_recorded_window(gateway->usage_report)};

	gateway->proxy.is_leader = state.leader;
	cluster_set_local_state(gateway->cluster, &state);
	lease_set_campaign_delay(
	    gateway->lease, cluster_campaign_delay_ms(gateway->cluster));
}

/*
 * For how long a node that has just started waits for another configuration
 * than its own. A peer that is ready has one that is confirmed. Where none is,
 * all nodes may have started with the copy, and only the operators know of
 * later versions.
 */
static int64_t
configuration_wait_ms(const gateway_t *gateway, int64_t now_ms)
{
	const cluster_t *cluster = gateway->cluster;
	const catalog_t *catalog = gateway->proxy.catalog;
	int64_t peers = cluster_newest_configuration(cluster, false, now_ms);

	if (catalog == NULL || catalog->version < peers)
		return PEER_CONFIGURATION_WAIT_MS;
	if (cluster_newest_configuration(cluster, true, now_ms) != 0)
		return 0;
	return STORE_RESTORE_HOLD_MS;
}

/*
 * True while a node that has just started should wait for a configuration: a
 * store that has been restored from a copy may show an older one, where API
 * keys that were withdrawn are valid.
 */
static bool
is_configuration_in_doubt(gateway_t *gateway, int64_t now_ms)
{
	if (gateway->was_ready || !gateway->initial_list_complete ||
	    !era_record_may_be_restored(gateway->era_record))
		return false;
	if (gateway->configuration_wait_since_ms == 0)
		gateway->configuration_wait_since_ms = now_ms;
	return now_ms - gateway->configuration_wait_since_ms <
	       configuration_wait_ms(gateway, now_ms);
}

static void
update_ready(gateway_t *gateway, int64_t now_ms)
{
	int64_t confirmed_ms = store_watch_confirmed_ms(gateway->store_watch);
	double revoke_ms = (double)gateway->config->bounds.revoke_ms;
	bool can_serve = gateway->proxy.catalog != NULL &&
			 gateway->initial_list_complete &&
			 gateway->drain.started_ms == 0;
	bool ready =
	    can_serve &&
	    now_ms < confirmed_ms + (int64_t)(config_ready_share * revoke_ms);
	bool in_doubt = is_configuration_in_doubt(gateway, now_ms);

	gateway->proxy.store_confirmed_ms = confirmed_ms;
	if (confirmed_ms != 0)
		gateway->proxy.catalog_valid_until_ms =
		    in_doubt ? 0
			     : confirmed_ms +
				   (int64_t)(config_use_share * revoke_ms);
	ready = ready && !in_doubt;
	if (ready != gateway->ready)
		log_event(LOG_LEVEL_INFO,
		    ready ? "front.ready" : "front.unready",
		    "proof_age_ms=%" G_GINT64_FORMAT " draining=%d",
		    now_ms - confirmed_ms, gateway->drain.started_ms != 0);
	gateway->unproven =
	    can_serve && !ready && (gateway->ready || gateway->unproven);
	gateway->ready = ready;
	gateway->was_ready |= ready;
	report_local_state(gateway);
}

static void
on_configuration_confirmed(void *data)
{
	gateway_t *gateway = data;

	update_ready(gateway, clock_boot_ms());
	if (!is_awaiting_configuration(gateway))
		serve_waiting(gateway);
}

/* Returns free memory to the system once clients hold much less than before. */
static void
return_memory(gateway_t *gateway)
{
	size_t held = memory_budget_held(gateway->memory.received) +
		      memory_budget_held(gateway->memory.queued);

	gateway->memory_peak = MAX(gateway->memory_peak, held);
	if (gateway->config->memory_max == 0 ||
	    gateway->memory_peak - held < RETURN_BYTES)
		return;
	gateway->memory_peak = held;
	malloc_trim(0);
}

static void
check_drain(gateway_t *gateway, int64_t now_ms)
{
	unsigned connections =
	    http1_server_connections(gateway->client_listener);

	if (conn_lingering_has_unsent())
		connections++;
	switch (drain_step(&gateway->drain, connections,
	    http1_server_accepted(gateway->client_listener), now_ms)) {
	case DRAIN_SERVING:
		return;
	case DRAIN_REFUSING:
		gateway->proxy.stopping = true;
		http1_server_close_idle(
		    gateway->client_listener, DRAIN_IDLE_MS);
		return;
	case DRAIN_DONE:
		break;
	}
	if (http1_server_active_requests(gateway->client_listener) > 0) {
		/* The process ends at the next tick, after their responses. */
		proxy_end_all(&gateway->proxy);
		return;
	}
	log_event(
	    gateway->proxy.interrupted > 0 ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
	    "front.drained", "interrupted=%u passed_ms=%" G_GINT64_FORMAT,
	    gateway->proxy.interrupted, now_ms - gateway->drain.started_ms);
	cluster_broadcast_digest(gateway->cluster);
	uv_timer_stop(&gateway->timer);
	gateway->on_drained(gateway->drain_data);
}

static void
update_rollout_time(gateway_t *gateway)
{
	rollouts_set_time(gateway->proxy.rollouts,
	    cluster_wall_ms(gateway->cluster),
	    cluster_active_count(gateway->cluster));
}

/* Tells the limit of cold servers which nodes share it. */
static void
update_cold_limit(gateway_t *gateway)
{
	GPtrArray *nodes = cluster_active_names(gateway->cluster);

	cold_limit_set_nodes(gateway->proxy.cold_limit, nodes);
	g_ptr_array_unref(nodes);
}

/* The node's periodic work. */
static void
tick(gateway_t *gateway)
{
	int64_t now_ms = clock_boot_ms();

	request_store_changes(gateway);
	check_newer_configuration(gateway, now_ms);
	update_ready(gateway, now_ms);
	update_cold_limit(gateway);
	if (!is_awaiting_configuration(gateway))
		serve_waiting(gateway);
	usage_report_tick(
	    gateway->usage_report, cluster_wall_ms(gateway->cluster));
	era_record_tick(gateway->era_record);
	update_rollout_time(gateway);
	rollouts_tick(gateway->proxy.rollouts, gateway->store, gateway->lease);
	scaler_tick(gateway->scale_orders, gateway->proxy.catalog);
	if (now_ms - gateway->last_sweep_ms >= SWEEP_INTERVAL_MS) {
		gateway->last_sweep_ms = now_ms;
		prefix_cache_sweep(gateway->proxy.prefixes, now_ms);
		hedge_sweep(gateway->proxy.hedge, now_ms);
		crash_guard_sweep(gateway->proxy.crash_guard,
		    cluster_wall_ms(gateway->cluster));
		gateway_update_metrics(gateway, now_ms);
		return_memory(gateway);
	}
	pool_sweep(gateway->proxy.pool, now_ms);
	proxy_migrate_streams(&gateway->proxy, now_ms);
	if (gateway->drain.started_ms != 0)
		check_drain(gateway, now_ms);
}

static void
on_tick(uv_timer_t *timer)
{
	uint64_t since_ns = turn_clock_ns();

	tick(timer->data);
	turn_note(TURN_TICK, since_ns);
}

static void
init_memory(gateway_t *gateway)
{
	size_t memory_max = gateway->config->memory_max;

	gateway->memory.received =
	    memory_budget_new(memory_max / RECEIVED_MEMORY_PARTS);
	gateway->memory.queued =
	    memory_budget_new(memory_max / QUEUED_MEMORY_PARTS);
	if (memory_max == 0)
		return;
	mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
	mallopt(M_TRIM_THRESHOLD, RETURN_BYTES);
}

static void
init_proxy(gateway_t *gateway)
{
	const gateway_bounds_t *bounds = &gateway->config->bounds;
	retry_limits_t retry_limits = {
	    .retries_per_request = bounds->retry_ratio,
	    .extra_retries = bounds->retry_extra,
	    .window_ms = bounds->retry_window_ms};
	quota_options_t quota_options = {.window_ms = bounds->quota_window_ms,
	    .tolerance_ratio = bounds->quota_over_share,
	    .tolerance_units = bounds->quota_over_units};

	gateway->proxy = (proxy_context_t){
	    .loop = gateway->loop,
	    .zone = gateway->config->zone,
	    .regions = gateway->config->regions,
	    .pool = pool_new(gateway->loop, bounds->drain_ms),
	    .quota = quota_new(&quota_options),
	    .budget = retry_budget_new(&retry_limits),
	    .hedge = hedge_new(gateway->config->hedge_share),
	    .usage = usage_new(bounds->usage_window_ms),
	    .prefixes = prefix_cache_new(),
	    .ttft_models =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
	    .counters = counters_new(),
	};
	gateway->proxy.crash_guard = crash_guard_new();
	gateway->proxy.evacuation = evacuation_new();
	gateway->proxy.cold_limit = cold_limit_new(gateway->config->name);
	gateway->proxy.rollouts = rollouts_new(&(rollouts_options_t){
	    .config = gateway->config, .pool = gateway->proxy.pool});
	TAILQ_INIT(&gateway->proxy.requests);
	turn_start(gateway->loop, gateway->proxy.counters);
}

static bool
start_cluster(gateway_t *gateway, GError **error)
{
	cluster_options_t options = {
	    .config = gateway->config,
	    .pool = gateway->proxy.pool,
	    .quota = gateway->proxy.quota,
	    .usage = gateway->proxy.usage,
	    .rollouts = gateway->proxy.rollouts,
	    .crash_guard = gateway->proxy.crash_guard,
	    .on_newer_configuration = on_newer_configuration,
	    .on_peer_era = on_peer_era,
	    .on_peer_record = on_peer_record,
	    .on_relay_request = on_relay_request,
	    .on_relay_response = on_relay_response,
	    .data = gateway,
	};

	gateway->cluster = cluster_start(gateway->loop, &options, error);
	gateway->proxy.cluster = gateway->cluster;
	if (gateway->cluster == NULL)
		return false;
	gateway->config->peer_port = cluster_port(gateway->cluster);
	return true;
}

static void
start_store(gateway_t *gateway)
{
	usage_report_options_t report_options = {.config = gateway->config};
	store_watch_options_t watch_options = {
	    .max_staleness_ms =
		(int64_t)(config_use_share *
			  (double)gateway->config->bounds.revoke_ms),
	    .on_put = gateway_on_store_put,
	    .on_removed = gateway_on_store_remove,
	    .on_list_complete = on_list_complete,
	    .on_restoration_over = on_restoration_over,
	    .on_confirmed = on_configuration_confirmed,
	    .data = gateway,
	};

	gateway->http = http_client_new(gateway->loop);
	gateway->store = platform_store_new(
	    gateway->http, gateway->config->store_url, gateway->proxy.counters);
	gateway->lease =
	    lease_start(gateway->loop, gateway->config, gateway->store);
	report_options.store = gateway->store;
	report_options.http = gateway->http;
	report_options.counters = gateway->proxy.counters;
	report_options.lease = gateway->lease;
	report_options.usage = gateway->proxy.usage;
	gateway->usage_report = usage_report_new(&report_options);
	gateway->era_record = era_record_new(&(era_record_options_t){
	    .store = gateway->store,
	    .lease = gateway->lease,
	    .lease_ms = gateway->config->bounds.lease_ms,
	});
	gateway->scale_orders = scaler_new(&(scaler_options_t){
	    .config = gateway->config,
	    .store = gateway->store,
	    .http = gateway->http,
	    .counters = gateway->proxy.counters,
	    .lease = gateway->lease,
	    .pool = gateway->proxy.pool,
	    .rollouts = gateway->proxy.rollouts,
	    .evacuation = gateway->proxy.evacuation,
	});
	watch_options.store = gateway->store;
	gateway->store_watch = store_watch_start(gateway->loop, &watch_options);
	platform_store_on_restored(gateway->store, on_store_restored, gateway);
}

gateway_t *
gateway_start(uv_loop_t *loop, gateway_config_t *config, GError **error)
{
	gateway_t *gateway = g_new0(gateway_t, 1);

	gateway->loop = loop;
	gateway->config = config;
	gateway->started_ms = clock_boot_ms();
	gateway->waiting_exchanges = g_ptr_array_new();
	init_memory(gateway);
	init_proxy(gateway);
	if (!start_cluster(gateway, error) ||
	    !gateway_start_listeners(gateway, error))
		return NULL; /* the process ends */
	update_rollout_time(gateway);
	start_store(gateway);
	uv_timer_init(loop, &gateway->timer);
	gateway->timer.data = gateway;
	uv_timer_start(
	    &gateway->timer, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
	log_event(LOG_LEVEL_INFO, "front.started",
	    "node=%s zone=%s address=%s hedge_share=%.3f", config->name,
	    config->zone, config->client_address, config->hedge_share);
	return gateway;
}

void
gateway_reload(gateway_t *gateway, gateway_config_t *config)
{
	gateway->config->bounds = config->bounds;
	log_event(
	    LOG_LEVEL_INFO, "front.reloaded", "node=%s", gateway->config->name);
	gateway_config_free(config);
}

void
gateway_drain(
    gateway_t *gateway, void (*on_drained)(void *data), void *drain_data)
{
	if (gateway->drain.started_ms != 0)
		return;
	drain_start(
	    &gateway->drain, gateway->config->bounds.grace_ms, clock_boot_ms());
	gateway->on_drained = on_drained;
	gateway->drain_data = drain_data;
	log_event(LOG_LEVEL_INFO, "front.draining", "active=%u",
	    http1_server_active_requests(gateway->client_listener));
	update_ready(gateway, gateway->drain.started_ms);
	cluster_broadcast_digest(gateway->cluster);
	http1_server_drain(gateway->client_listener);
	lease_revoke(gateway->lease);
}
