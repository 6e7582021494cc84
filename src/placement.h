#ifndef PAPAYA_PLACEMENT_H
#define PAPAYA_PLACEMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Placement: how many hosts of which availability zone, machine class and
 * market a service needs. Pure functions of their arguments.
 */
typedef enum placement_policy {
	PLACEMENT_COVER, /* survives the loss of any one availability zone */
	PLACEMENT_ON_DEMAND, /* baseline: covers with on-demand hosts only */
	PLACEMENT_CHEAPEST,  /* baseline: cheapest hosts first, no headroom */
} placement_policy_t;

/* One kind of host that can be had. */
typedef struct placement_offer {
	const char *zone;
	const char *class;
	bool reclaimable;
	double price_per_hour;
	double capacity;	 /* requests in flight at the latency target */
	double reclaims_per_day; /* per host; 0 for on-demand */
	unsigned available;	 /* hosts at most; after refusals less */
} placement_offer_t;

typedef struct placement_demand {
	double load; /* requests in flight to carry after any zone is lost */
	/*
	 * What one reclaim costs, in the price's currency: recomputed tokens,
	 * loading of weights.
	 */
	double reclaim_cost;
} placement_demand_t;

typedef struct placement_plan {
	unsigned *host_counts; /* one count per offer */
	double price_per_hour; /* with the expected cost of reclaims */
	double capacity;
	double capacity_after_loss; /* of the worst availability zone */
	bool meets_demand;
} placement_plan_t;

placement_plan_t *placement_plan(placement_policy_t policy,
    const placement_demand_t *demand, const placement_offer_t *offers,
    unsigned offer_count);
void placement_plan_free(placement_plan_t *plan);

/* Capacity left after an availability zone is lost. */
double placement_capacity_without_zone(const placement_plan_t *plan,
    const placement_offer_t *offers, unsigned offer_count, const char *zone);

/*
 * The next changes that lead from the present hosts to the plan: creations
 * first, at most as many as the weight store can load at once, and removals
 * only of hosts beyond the plan once every creation serves. changes has one
 * signed count per offer. Returns the number of orders.
 */
unsigned placement_next_changes(const placement_plan_t *plan,
    const unsigned *current_hosts, unsigned offer_count, unsigned loading_count,
    unsigned loading_max, int *changes);

/*
 * Seconds until a new host serves: the weight store's rate is shared by all
 * hosts that load at once.
 */
double placement_load_seconds(
    double weights_gb, double store_gb_per_s, unsigned loading_count);

#endif
