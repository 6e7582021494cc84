#ifndef PAPAYA_PROXY_H
#define PAPAYA_PROXY_H

#include "catalog.h"
#include "cluster.h"
#include "counter.h"
#include "http1_server.h"
#include "pool.h"
#include "prefix.h"
#include "quota.h"
#include "retry_budget.h"
#include "rollouts.h"
#include "usage.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uv.h>

/*
 * The way of one request: route, authorise, quota, choose, attempt,
 * answer. All members are borrowed and outlive every request.
 */
typedef struct proxy_context {
	uv_loop_t *loop;
	const char *zone;
	pool_t *pool;
	quota_t *quota;
	retry_budget_t *budget;
	usage_t *usage;
	prefix_cache_t *prefixes;
	GHashTable
	    *ttft_models; /* service to ttft_model_t *, owned by their user */
	cluster_t *cluster;
	rollouts_t *rollouts;
	counters_t *counters;
	catalog_t *catalog; /* in force; NULL: none yet */
	/* clock_boot_ms() after which the catalog may not be used. */
	int64_t catalog_valid_until_ms;
	bool stopping; /* the node is about to stop */
	TAILQ_HEAD(proxy_request_list, proxy_request)
	requests; /* requests in progress */
} proxy_context_t;

/* Serves a request; takes over the reference. */
void proxy_start(proxy_context_t *context, exchange_t *exchange);

/* Takes streams away from engines that are about to end. */
void proxy_migrate_streams(proxy_context_t *context, int64_t now_ms);

#endif
