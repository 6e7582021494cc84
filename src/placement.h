#ifndef PAPAYA_PLACEMENT_H
#define PAPAYA_PLACEMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Placement: computes how many hosts a service needs in each availability zone,
 * machine class and market (reclaimable or on-demand). Pure functions of their
 * arguments.
 */
typedef enum placement_policy {
	PLACEMENT_COVER,     /* carries the load if any one zone is lost */
	PLACEMENT_ON_DEMAND, /* baseline: the same, with on-demand hosts only */
	PLACEMENT_CHEAPEST,  /* baseline: cheapest hosts first, no headroom */
} placement_policy_t;

/* One kind of host that the cloud platform offers. */
typedef struct placement_offer {
	const char *zone;
	const char *class;
	bool reclaimable;
	double price_per_hour;
	double capacity;	 /* requests in flight at the latency target */
	double reclaims_per_day; /* per host; 0 for on-demand */
	unsigned available;	 /* hosts at most; fewer after refusals */
} placement_offer_t;

typedef struct placement_demand {
	double
	    load; /* requests in flight to carry, also without any one zone */
	/*
	 * Cost of one reclaim in the currency of the prices: recomputed tokens
	 * and loading of weights.
	 */
	double reclaim_cost;
} placement_demand_t;

typedef struct placement_plan {
	unsigned *host_counts; /* one count per offer */
	double price_per_hour; /* includes the expected cost of reclaims */
	double capacity;
	double capacity_after_loss; /* after losing the largest zone */
	bool meets_demand;
} placement_plan_t;

/* The caller frees the plan with placement_plan_free(). */
placement_plan_t *placement_plan(placement_policy_t policy,
    const placement_demand_t *demand, const placement_offer_t *offers,
    unsigned offer_count);
void placement_plan_free(placement_plan_t *plan);

/* Capacity that remains after the loss of an availability zone. */
double placement_capacity_without_zone(const placement_plan_t *plan,
    const placement_offer_t *offers, unsigned offer_count, const char *zone);

/*
 * Computes the next step from the current hosts towards the plan: creates hosts
 * first, with at most loading_max of them loading weights at once, the most
 * that the weight store can serve, and removes surplus hosts only once all
 * hosts of the plan exist and none is loading. changes receives one signed
 * count per offer. Returns the number of hosts to create or remove.
 */
unsigned placement_next_changes(const placement_plan_t *plan,
    const unsigned *current_hosts, unsigned offer_count, unsigned loading_count,
    unsigned loading_max, int *changes);

/*
 * Seconds that a new host needs to load its weights: hosts that load at once
 * share the weight store's throughput.
 */
double placement_load_seconds(
    double weights_gb, double store_gb_per_s, unsigned loading_count);

#endif
