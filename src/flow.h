#ifndef PAPAYA_FLOW_H
#define PAPAYA_FLOW_H

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
typedef struct flow_context {
	uv_loop_t *loop;
	const char *zone;
	pool_t *pool;
	quota_t *quota;
	retry_budget_t *budget;
	usage_t *usage;
	prefix_cache_t *prefixes;
	GHashTable *paces; /* service to ttft_model_t *, owned by their user */
	cluster_t *cluster;
	rollouts_t *rollouts;
	counters_t *counters;
	catalog_t *catalog; /* in force; NULL: none yet */
	/* clock_boot_ms() after which the catalog may not be used. */
	int64_t usable_until_ms;
	bool refusing;			   /* the node is about to stop */
	TAILQ_HEAD(flow_list, flow) flows; /* requests in progress */
} flow_context_t;

/* Serves a request; takes over the reference. */
void flow_start(flow_context_t *context, exchange_t *exchange);

/* Takes streams away from engines that are about to end. */
void flow_move_streams(flow_context_t *context, int64_t now_ms);

#endif
