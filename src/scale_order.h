#ifndef PAPAYA_SCALE_ORDER_H
#define PAPAYA_SCALE_ORDER_H

#include "catalog.h"
#include "front_config.h"
#include "http_client.h"
#include "lease.h"
#include "platform_store.h"
#include "pool.h"
#include "rollouts.h"

#include <stddef.h>
#include <stdint.h>

/*
 * Orders servers while this node holds the duties. The sizes that the
 * operators deployed are recorded in the store before the first order, since
 * the platform does not tell them later.
 */
typedef struct scale_orders scale_orders_t;

extern const char scale_order_prefix[];

typedef struct scale_order_options {
	const front_config_t *config; /* all borrowed */
	platform_store_t *store;
	http_client_t *http;
	counters_t *counters;
	lease_t *lease;
	pool_t *pool;
	rollouts_t *rollouts;
} scale_order_options_t;

scale_orders_t *scale_orders_new(const scale_order_options_t *options);

/* The record of a service has been read; value NULL: removed. */
void scale_orders_see(scale_orders_t *orders, const char *service,
    const char *value, size_t length);

/* Does what is due. catalog may be NULL. */
void scale_orders_tick(scale_orders_t *orders, const catalog_t *catalog);

#endif
