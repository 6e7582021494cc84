#ifndef PAPAYA_GATEWAY_STATE_H
#define PAPAYA_GATEWAY_STATE_H

#include "cluster.h"
#include "gateway.h"
#include "http1_server.h"
#include "http_client.h"
#include "lease.h"
#include "platform_store.h"
#include "proxy.h"
#include "rollouts.h"
#include "scaler.h"
#include "sync.h"
#include "usage_report.h"

/*
 * What the two parts of the daemon share: front.c starts, serves and stops,
 * front_keys.c takes over what the store says.
 */

struct gateway {
	uv_loop_t *loop;
	gateway_config_t *config;
	http_client_t *http;
	platform_store_t *store;
	sync_t *store_watch;
	lease_t *lease;
	cluster_t *cluster;
	usage_report_t *usage_report;
	scaler_t *scale_orders;
	proxy_context_t proxy;
	http1_server_t *client_listener;
	http1_server_t *directory_listener; /* which addresses to use */
	http1_server_t *readiness_listener;
	http1_server_t *metrics_listener;
	uv_timer_t timer;
	int64_t started_ms;
	int64_t last_sweep_ms;
	GPtrArray
	    *waiting_exchanges; /* exchange_t: requests before the first list */
	bool initial_list_complete;
	bool ready;
	int64_t drain_started_ms; /* 0: not draining */
	void (*on_drained)(void *data);
	void *drain_data;
};

void gateway_on_store_put(const platform_item_t *item, void *data);
void gateway_on_store_remove(const char *key, void *data);

#endif
