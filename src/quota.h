#ifndef PAPAYA_QUOTA_H
#define PAPAYA_QUOTA_H

#include "catalog.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Quotas of workspaces over all nodes. In any window a workspace may spend
 * its rate times the window, and its burst, and part of the tolerance. Each
 * node keeps a token bucket that it empties by its own spending and by what
 * other nodes say they spent; it takes the others to have spent as much as
 * itself since it last heard from them, and a node that is silent to spend its
 * part. Times are clock_boot_ms().
 */
typedef struct quota quota_t;

typedef struct quota_options {
	int64_t window_ms; /* of the bound */
	/* By how much the bound may be passed in a window: a share of it, and
	 * units beyond that. */
	double tolerance_ratio;
	double tolerance_units;
} quota_options_t;

/*
 * Buckets are empty at the start: with a full one, what was spent just before
 * all nodes were restarted would pass the bound.
 */
quota_t *quota_new(const quota_options_t *options);
void quota_free(quota_t *quota);

/* Takes over limits. */
void quota_configure(quota_t *quota, const catalog_t *catalog, int64_t now_ms);

/*
 * How many nodes there are, with this one, how many are silent, and the mean
 * age of what the others say.
 */
void quota_set_nodes(quota_t *quota, unsigned nodes, unsigned silent,
    int64_t unheard_ms, int64_t now_ms);

/* What decided on a request. */
typedef struct quota_decision {
	bool allowed;
	int64_t retry_after_ms; /* where not allowed: until part of it is free
				   again */
	double available_units; /* units that could still be spent before it */
} quota_decision_t;

/*
 * Spends units of a workspace, or refuses them. is_small: the request costs
 * next to nothing beside others, so that it may go into debt for them.
 */
quota_decision_t quota_take(quota_t *quota, const char *workspace, double units,
    bool is_small, int64_t now_ms);

/* Gives back the units of a request that was not run. */
void quota_refund(
    quota_t *quota, const char *workspace, double units, int64_t now_ms);

/*
 * Another node spent units. silent_ms: time for which its part has been
 * reserved meanwhile, which is taken off.
 */
void quota_apply_remote(quota_t *quota, const char *workspace, double units,
    int64_t silent_ms, int64_t now_ms);

/* A node that has just started takes over the level that another knows. */
void quota_adopt_level(
    quota_t *quota, const char *workspace, double level, int64_t now_ms);

typedef struct quota_state {
	const char *workspace;
	double spent; /* by this node since its start */
	double level; /* of the bucket */
} quota_state_t;

/* Calls visit for each workspace with a limit. */
void quota_each(quota_t *quota, int64_t now_ms,
    void (*visit)(const quota_state_t *state, void *data), void *data);

#endif
