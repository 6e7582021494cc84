#ifndef PAPAYA_AUTOSCALE_H
#define PAPAYA_AUTOSCALE_H

#include "catalog.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * How many servers of a service to order in each availability zone, and of
 * which kind, from the work that arrives. Decides only; deterministic.
 *
 * Reclaimable servers are cheap and may all leave a zone, or every zone, at
 * once. Enough on-demand servers stay to carry the load alone for a while, and
 * more are ordered as soon as reclaimable ones are missing.
 */
typedef struct autoscale {
	unsigned on_demand; /* wanted now, over all zones; 0: not decided */
	unsigned spot;
	int64_t lower_since_ms; /* fewer on-demand servers suffice; 0: no */
	double work_ms;		/* total at the last measurement */
	int64_t measured_ms;	/* 0: never */
	double load;		/* servers kept busy, smoothed */
	double peak;		/* of it lately */
} autoscale_t;

typedef struct autoscale_zone {
	const char *name;
	double price;	    /* of an on-demand server */
	unsigned baseline;  /* servers that the operators deployed there */
	unsigned on_demand; /* listed and not draining */
	unsigned spot;	    /* the same, reclaimable */
	/* What is wanted, set by autoscale_decide(). */
	unsigned want_on_demand;
	unsigned want_spot;
} autoscale_zone_t;

/* Takes over the work that has arrived since the start, in server-ms. */
void autoscale_measure(autoscale_t *scale, double work_ms, int64_t now_ms);

void autoscale_decide(autoscale_t *scale, const catalog_scaling_t *scaling,
    autoscale_zone_t *zones, size_t count, int64_t now_ms);

#endif
