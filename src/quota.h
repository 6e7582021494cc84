#ifndef PAPAYA_QUOTA_H
#define PAPAYA_QUOTA_H

#include "catalog.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Rate limits of workspaces over all nodes. Each node keeps a token bucket per
 * workspace that it fills at the whole rate and empties by its own spending
 * and by what other nodes say they spent. A node that is not heard from is
 * taken to spend its part of the rate. Times are clock_boot_ms().
 */
typedef struct quota quota_t;

quota_t *quota_new(int64_t now_ms);
void quota_free(quota_t *quota);

/* Takes over limits. */
void quota_configure(quota_t *quota, const catalog_t *catalog, int64_t now_ms);

/*
 * Spends units of a workspace; false where it is over its limit, with the time
 * until it is not in *wait_ms.
 */
bool quota_take(quota_t *quota, const char *workspace, double units,
    int64_t now_ms, int64_t *wait_ms);

/* Gives back the units of a request that was not run. */
void quota_return(quota_t *quota, const char *workspace, double units);

/* Part of all nodes that are not heard from, 0 to 1. */
void quota_set_silent(quota_t *quota, double part, int64_t now_ms);

/* Another node spent units. */
void quota_spent_elsewhere(
    quota_t *quota, const char *workspace, double units, int64_t now_ms);

/* A node that has just started takes over another's level. */
void quota_adopt_level(quota_t *quota, const char *workspace, double level);

/* Units a millisecond that a workspace may spend; 0 without a limit. */
double quota_rate(const quota_t *quota, const char *workspace);

typedef struct quota_state {
	const char *workspace;
	double spent; /* by this node since its start */
	double level; /* of the bucket */
} quota_state_t;

/* Calls visit for each workspace with a limit. */
void quota_each(quota_t *quota, int64_t now_ms,
    void (*visit)(const quota_state_t *state, void *data), void *data);

#endif
