#ifndef PAPAYA_SCALER_H
#define PAPAYA_SCALER_H

#include "catalog.h"
#include "evacuation.h"
#include "gateway_config.h"
#include "http_client.h"
#include "lease.h"
#include "platform_store.h"
#include "pool.h"
#include "rollouts.h"

#include <stddef.h>
#include <stdint.h>

/*
 * Requests the desired number of servers from the cloud API while this node is
 * the leader, which holds the lease on the singleton duties. Before the first
 * such request, the leader records the number of servers that the operators
 * deployed in each zone (the baseline) in the store, since the platform does
 * not report it later.
 */
typedef struct scaler scaler_t;

/* Prefix of the keys of the baselines, one per service. */
extern const char scaler_baseline_prefix[];

typedef struct scaler_options {
	const gateway_config_t *config; /* all borrowed */
	platform_store_t *store;
	http_client_t *http;
	counters_t *counters;
	lease_t *lease;
	pool_t *pool;
	rollouts_t *rollouts;
	const evacuation_t *evacuation;
} scaler_options_t;

scaler_t *scaler_new(const scaler_options_t *options);

/*
 * Applies a service's baseline read from the store; value NULL: the key was
 * removed. A known baseline is kept then, and the leader writes it again.
 */
void scaler_set_baseline(
    scaler_t *scaler, const char *service, const char *value, size_t length);

/* Writes the baselines that are due and sends the requests that are due.
 * catalog: NULL if there is none yet. */
void scaler_tick(scaler_t *scaler, const catalog_t *catalog);

#endif
