#ifndef PAPAYA_QUOTA_H
#define PAPAYA_QUOTA_H

#include "catalog.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Quotas of workspaces, enforced over all nodes. In any window a workspace may
 * spend its rate times the window, its burst and a share of the tolerance.
 * Each node keeps a token bucket for each workspace and takes from it what it
 * spends itself and what other nodes report as spent. Spending that is not
 * reported yet is estimated from the reported and the own spending; an
 * unreachable node is assumed to spend its equal share of the rate. Load: a
 * workspace over its quota at all nodes at once, or with all of its clients at
 * one node; what the nodes report of their demand tells which. Units are
 * requests or tokens, as the caller counts them. Times are clock_boot_ms().
 */
typedef struct quota quota_t;

typedef struct quota_options {
	int64_t window_ms; /* sliding window of the limit */
	/*
	 * By how much the limit may be exceeded in a window: a share of it
	 * plus a number of units.
	 */
	double tolerance_ratio;
	double tolerance_units;
} quota_options_t;

/*
 * Buckets are empty at the start: full ones would allow more than the limit
 * after a restart of all nodes, on top of what was spent just before it.
 */
quota_t *quota_new(const quota_options_t *options);
void quota_free(quota_t *quota);

/* Applies the limits of a catalog's workspaces. */
void quota_configure(quota_t *quota, const catalog_t *catalog, int64_t now_ms);

/*
 * Sets the number of nodes including this one, how many of them are
 * unreachable, and the mean age of the other nodes' spending reports.
 */
void quota_set_nodes(quota_t *quota, unsigned nodes, unsigned unreachable,
    int64_t report_age_ms, int64_t now_ms);

typedef struct quota_decision {
	bool allowed;
	/* If refused: until the units are available to this node; above 0. */
	int64_t retry_after_ms;
	double available_units; /* before the request; may be negative */
} quota_decision_t;

/* How far a request may use up what others of its workspace need. */
typedef enum quota_class {
	QUOTA_URGENT,
	/* Leaves a reserve to urgent requests while they use up the quota. */
	QUOTA_DEFERRABLE,
	/* Of negligible cost: may overdraw the quota where others used it up.
	 */
	QUOTA_OVERDRAFT,
} quota_class_t;

/* Spends units of a workspace, or refuses them. */
quota_decision_t quota_take(quota_t *quota, const char *workspace, double units,
    quota_class_t class, int64_t now_ms);

/* True where this node would refuse the workspace's next units. */
bool quota_is_spent(quota_t *quota, const char *workspace, int64_t now_ms);

/* Refunds the units of a request that was not run. */
void quota_refund(
    quota_t *quota, const char *workspace, double units, int64_t now_ms);

/*
 * Applies units that another node reports as spent; negative ones are refunds.
 * unreachable_ms: time since its last report for which it was unreachable. Its
 * share of the rate was reserved for that time and is deducted from the units.
 */
void quota_apply_remote(quota_t *quota, const char *workspace, double units,
    int64_t unreachable_ms, int64_t now_ms);

/*
 * Sets what the other nodes report to be asked of them for a workspace. Where
 * there are no recent reports, each node is taken to have an equal share.
 */
void quota_set_remote_demand(
    quota_t *quota, const char *workspace, double units_per_s, int64_t now_ms);

/*
 * Sets the bucket of a node on standby, which spends little and gets reports of
 * several seconds at a time, to the level of a node that gets them often.
 * Charging such a report at once would ignore what the full bucket did not
 * take meanwhile.
 */
void quota_follow_level(
    quota_t *quota, const char *workspace, double level, int64_t now_ms);

/* Raises the bucket of a node that has just started to another node's level. */
void quota_adopt_level(
    quota_t *quota, const char *workspace, double level, int64_t now_ms);

typedef struct quota_state {
	const char *workspace;
	double spent;	     /* units spent by this node since its start */
	double level;	     /* units in the bucket */
	double demand_per_s; /* units lately asked of this node */
} quota_state_t;

/* Calls the callback for each workspace with a limit. */
void quota_each(quota_t *quota, int64_t now_ms,
    void (*callback)(const quota_state_t *state, void *data), void *data);

#endif
