#ifndef PAPAYA_DEMAND_H
#define PAPAYA_DEMAND_H

#include <stdint.h>

/*
 * This node's share of the demand for something that all nodes share, such as
 * the quota of a workspace. Load: the clients of a workspace use one node, some
 * nodes, or all nodes alike. No I/O; times are clock_boot_ms(). Zeroed memory
 * is a demand of which nothing is known.
 */

enum { DEMAND_SLOT_MS = 100, DEMAND_SLOTS = 20 };

typedef struct demand {
	int64_t newest_slot;
	double own_units[DEMAND_SLOTS]; /* asked of this node */
	double remote_units_per_s;	/* asked of the nodes that report */
	int64_t remote_updated_ms;	/* 0: never */
} demand_t;

/* Counts units that were asked of this node, also where it refuses them. */
void demand_add(demand_t *demand, double units, int64_t now_ms);

/* Units asked of this node in the last second. */
double demand_own_units_per_s(demand_t *demand, int64_t now_ms);

/* Sets the sum of what the other nodes report to be asked of them. */
void demand_set_remote(demand_t *demand, double units_per_s, int64_t now_ms);

/*
 * Share of the demand that this node has, above 0 and up to 1: what it had when
 * the other nodes' reports, which are report_age_ms old on average, were
 * written. A node without demand keeps a small share, so that new demand is
 * served before the next reports. An equal share of the nodes where there are
 * no recent reports, or no demand.
 */
double demand_share(
    demand_t *demand, unsigned nodes, int64_t report_age_ms, int64_t now_ms);

#endif
