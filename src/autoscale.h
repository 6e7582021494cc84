#ifndef PAPAYA_AUTOSCALE_H
#define PAPAYA_AUTOSCALE_H

#include "catalog.h"

#include <stdbool.h>
#include <stddef.h>

/*
 * Computes the desired number of on-demand and of reclaimable (spot) servers of
 * a service in each availability zone. Deterministic, no I/O.
 *
 * Spot servers carry the load if they are sufficiently cheaper. A base of
 * on-demand servers is kept in every zone, since all spot servers of a zone may
 * be reclaimed at once. On-demand servers replace missing spot servers.
 *
 * The servers of an evacuated zone count as missing: on-demand servers of the
 * other zones replace them up to the same total. The evacuated zone itself gets
 * no new order, so that its servers are there when the evacuation ends.
 */

typedef struct autoscale_zone {
	const char *name;
	double on_demand_price;
	unsigned baseline; /* servers deployed by the operators */
	bool evacuated;	   /* its servers get no requests */
	/* Servers that are listed and not draining. */
	unsigned on_demand;
	unsigned spot;
	/*
	 * Set by autoscale_decide(), but not in a zone that is evacuated or has
	 * a baseline of 0.
	 */
	unsigned desired_on_demand;
	unsigned desired_spot;
} autoscale_zone_t;

void autoscale_decide(
    const catalog_scaling_t *scaling, autoscale_zone_t *zones, size_t count);

#endif
