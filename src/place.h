#ifndef PAPAYA_PLACE_H
#define PAPAYA_PLACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Placement: how many hosts of which availability zone, machine class and
 * market a service needs. Pure functions of their arguments.
 */
typedef enum place_policy {
	PLACE_COVER,	 /* survives the loss of any one availability zone */
	PLACE_ON_DEMAND, /* baseline: covers with on-demand hosts only */
	PLACE_CHEAPEST,	 /* baseline: cheapest hosts first, no headroom */
} place_policy_t;

/* One kind of host that can be had. */
typedef struct place_offer {
	const char *zone;
	const char *class;
	bool reclaimable;
	double price_per_hour;
	double capacity;	 /* requests in flight at the latency target */
	double reclaims_per_day; /* per host; 0 for on-demand */
	unsigned available;	 /* hosts at most; after refusals less */
} place_offer_t;

typedef struct place_demand {
	double load; /* requests in flight to carry after any zone is lost */
	/*
	 * What one reclaim costs, in the price's currency: recomputed tokens,
	 * loading of weights.
	 */
	double reclaim_cost;
} place_demand_t;

typedef struct place_plan {
	unsigned *hosts;       /* one count per offer */
	double price_per_hour; /* with the expected cost of reclaims */
	double capacity;
	double capacity_after_loss; /* of the worst availability zone */
	bool met;
} place_plan_t;

place_plan_t *place_plan(place_policy_t policy, const place_demand_t *demand,
    const place_offer_t *offers, unsigned offer_count);
void place_plan_free(place_plan_t *plan);

/* Capacity left after an availability zone is lost. */
double place_capacity_without(const place_plan_t *plan,
    const place_offer_t *offers, unsigned offer_count, const char *zone);

/*
 * The next changes that lead from the present hosts to the plan: creations
 * first, at most as many as the weight store can load at once, and removals
 * only of hosts beyond the plan once every creation serves. changes has one
 * signed count per offer. Returns the number of orders.
 */
unsigned place_step(const place_plan_t *plan, const unsigned *present,
    unsigned offer_count, unsigned loading, unsigned loads_max, int *changes);

/*
 * Seconds until a new host serves: the weight store's rate is shared by all
 * hosts that load at once.
 */
double place_load_seconds(
    double weights_gb, double store_gb_per_s, unsigned loading);

#endif
