#ifndef PAPAYA_GATEWAY_STATE_H
#define PAPAYA_GATEWAY_STATE_H

#include "cluster.h"
#include "drain.h"
#include "era_record.h"
#include "gateway.h"
#include "http1_server.h"
#include "http_client.h"
#include "lease.h"
#include "platform_store.h"
#include "proxy.h"
#include "rollouts.h"
#include "scaler.h"
#include "store_watch.h"
#include "usage_report.h"

/*
 * State shared by gateway.c, which starts, serves requests and drains,
 * gateway_store.c, which applies changes of the store's keys,
 * gateway_directory.c, which names hosts to callers, gateway_listeners.c, which
 * opens the sockets for all of them, and gateway_metrics.c.
 */

struct gateway {
	uv_loop_t *loop;
	gateway_config_t *config;
	http_client_t *http;
	platform_store_t *store;
	store_watch_t *store_watch;
	lease_t *lease;
	era_record_t *era_record;
	cluster_t *cluster;
	usage_report_t *usage_report;
	scaler_t *scale_orders;
	proxy_context_t proxy;
	http1_memory_t memory; /* of the connections of all listeners */
	size_t memory_peak;    /* held by them since memory was returned */
	uint64_t refusals[HTTP1_REFUSAL_COUNT]; /* at the last report */
	uint64_t losses[HTTP1_LOSS_COUNT];	/* the same */
	http1_server_t *client_listener;
	http1_server_t *directory_listener; /* address lists, readiness */
	http1_server_t *readiness_listener;
	http1_server_t *metrics_listener;
	uv_timer_t timer;
	int64_t started_ms;
	int64_t last_sweep_ms;
	/* exchange_t *: see is_awaiting_configuration() */
	GPtrArray *waiting_exchanges;
	/* When a peer first reported a newer configuration; 0: none has. */
	int64_t newer_configuration_ms;
	bool initial_list_complete; /* of the store's keys */
	bool unproven;	/* was ready, and lacks the store's proof only */
	bool ready;	/* as reported to readiness checks */
	bool was_ready; /* at least once */
	/* See is_configuration_in_doubt(); 0: not yet. */
	int64_t configuration_wait_since_ms;
	int64_t waiting_since_ms; /* receipt of the first of the exchanges that
				     wait */
	drain_t drain;
	void (*on_drained)(void *data);
	void *drain_data;
};

/*
 * Opens the listeners of the settings, and writes back the ports that the
 * kernel has assigned. False with *error set where one cannot be opened.
 */
bool gateway_start_listeners(gateway_t *gateway, GError **error);

/* Serves a client's request, or lets it wait for the first configuration. */
void gateway_on_client_request(exchange_t *exchange, void *data);

/* Answer address lists and readiness checks, and requests for the metrics. */
void gateway_on_directory_request(exchange_t *exchange, void *data);
void gateway_on_metrics(exchange_t *exchange, void *data);

/* Updates the gauges, and reports what clients were refused since. */
void gateway_update_metrics(gateway_t *gateway, int64_t now_ms);

/* Callbacks of the store's watch; data is the gateway_t. */
void gateway_on_store_put(const platform_item_t *item, void *data);
void gateway_on_store_remove(const char *key, int64_t revision, void *data);

#endif
