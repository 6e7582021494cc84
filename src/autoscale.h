#ifndef PAPAYA_AUTOSCALE_H
#define PAPAYA_AUTOSCALE_H

#include "catalog.h"

#include <stdbool.h>
#include <stddef.h>

/*
 * How many servers of a service to order in each availability zone, and of
 * which kind. Decides only; deterministic.
 *
 * Reclaimable servers carry the load where they are cheaper; a base of
 * on-demand servers stays in every zone, since a zone's reclaimable ones may
 * all leave at once. Where too few are left, on-demand servers fill the gap.
 */

typedef struct autoscale_zone {
	const char *name;
	double on_demand_price; /* of an on-demand server */
	unsigned baseline;	/* servers that the operators deployed there */
	unsigned on_demand;	/* listed and not draining */
	unsigned spot;		/* the same, reclaimable */
	/* What is wanted, set by autoscale_decide(). */
	unsigned desired_on_demand;
	unsigned desired_spot;
} autoscale_zone_t;

void autoscale_decide(
    const catalog_scaling_t *scaling, autoscale_zone_t *zones, size_t count);

#endif
