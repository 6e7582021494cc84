#ifndef PAPAYA_FRONT_STATE_H
#define PAPAYA_FRONT_STATE_H

#include "cluster.h"
#include "front.h"
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

struct front {
	uv_loop_t *loop;
	front_config_t *config;
	http_client_t *http;
	platform_store_t *store;
	sync_t *sync;
	lease_t *lease;
	cluster_t *cluster;
	usage_report_t *usage_report;
	scaler_t *scale_orders;
	proxy_context_t flow;
	http1_server_t *clients;
	http1_server_t *questions; /* which addresses to use */
	http1_server_t *readiness;
	http1_server_t *metrics;
	uv_timer_t timer;
	int64_t started_ms;
	int64_t swept_ms;
	GPtrArray *early; /* exchange_t: requests before the first list */
	bool listed;
	bool ready;
	int64_t drain_from_ms; /* 0: not draining */
	void (*on_drained)(void *data);
	void *drain_data;
};

void front_on_put(const platform_item_t *item, void *data);
void front_on_removed(const char *key, void *data);

#endif
