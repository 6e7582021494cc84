#ifndef PAPAYA_PROXY_H
#define PAPAYA_PROXY_H

#include "catalog.h"
#include "cluster.h"
#include "cold_limit.h"
#include "counter.h"
#include "evacuation.h"
#include "hedge.h"
#include "http1_server.h"
#include "pool.h"
#include "prefix.h"
#include "quota.h"
#include "region.h"
#include "retry_budget.h"
#include "rollouts.h"
#include "usage.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uv.h>

/*
 * Proxies requests of callers to backend servers: finds the route,
 * authenticates the workspace, charges its quota, chooses a server, sends the
 * request, retries it where allowed, and forwards the response.
 */

/* Members are borrowed and outlive every request. */
typedef struct proxy_context {
	uv_loop_t *loop;
	const char *zone;
	const region_map_t *regions; /* of the zones; NULL: unknown */
	pool_t *pool;
	quota_t *quota;
	retry_budget_t *budget;
	hedge_t *hedge;
	usage_t *usage;
	prefix_cache_t *prefixes;
	GHashTable *ttft_models; /* name (char *) to ttft_model_t *, owns */
	cluster_t *cluster;
	rollouts_t *rollouts;
	crash_guard_t *crash_guard;
	evacuation_t *evacuation;
	cold_limit_t *cold_limit;
	counters_t *counters;
	catalog_t *catalog; /* current configuration; NULL: none yet */
	/*
	 * clock_boot_ms() from which the keys in the catalog must not be used;
	 * 0: the catalog is not confirmed yet and must not be used at all.
	 */
	int64_t catalog_valid_until_ms;
	/* clock_boot_ms() of the state of the store that the node has; 0: none
	 * yet. */
	int64_t store_confirmed_ms;
	bool is_leader;	      /* this node has the singleton duties */
	bool stopping;	      /* the node shuts down: new requests get 503 */
	unsigned interrupted; /* requests that proxy_end_all() has ended */
	/* Requests in flight. */
	TAILQ_HEAD(proxy_request_list, proxy_request) requests;
} proxy_context_t;

/* True once there is a configuration that was confirmed. */
bool proxy_has_configuration(const proxy_context_t *context);

/* Starts to proxy a request; owns the caller's reference to exchange. */
void proxy_start(proxy_context_t *context, exchange_t *exchange);

/*
 * Ends all requests in flight, as the process is about to end: those whose
 * response has not started get one, the others are cut. Those whose answer lies
 * unread go on for one round of the loop.
 */
void proxy_end_all(proxy_context_t *context);

/* Migrates streams from engines that are about to leave. */
void proxy_migrate_streams(proxy_context_t *context, int64_t now_ms);

#endif
