#ifndef PAPAYA_SCALER_H
#define PAPAYA_SCALER_H

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
typedef struct scaler scaler_t;

extern const char scaler_baseline_prefix[];

typedef struct scaler_options {
	const front_config_t *config; /* all borrowed */
	platform_store_t *store;
	http_client_t *http;
	counters_t *counters;
	lease_t *lease;
	pool_t *pool;
	rollouts_t *rollouts;
} scaler_options_t;

scaler_t *scaler_new(const scaler_options_t *options);

/* The record of a service has been read; value NULL: removed. */
void scaler_set_baseline(
    scaler_t *scaler, const char *service, const char *value, size_t length);

/* Does what is due. catalog may be NULL. */
void scaler_tick(scaler_t *scaler, const catalog_t *catalog);

#endif
