#include "autoscale.h"

#include <math.h>

/* Spot servers per deployed server: spare capacity for the loss of a zone. */
static const double spot_ratio = 1.0;
/* On-demand servers that are always kept, per deployed server. */
static const double on_demand_base_ratio = 0.34;
/* On-demand servers are added up to this total of servers per deployed one. */
static const double capacity_min_ratio = 0.9;
/* Spot servers are used below this price, as a share of the on-demand price. */
static const double spot_price_max = 0.7;

typedef struct zone_totals {
	unsigned baseline;
	unsigned spot; /* except in evacuated zones, as the next member */
	unsigned zones_with_servers;
	unsigned evacuated; /* zones */
} zone_totals_t;

/* True for a zone whose orders are decided here. */
static bool
takes_orders(const autoscale_zone_t *zone)
{
	return zone->baseline > 0 && !zone->evacuated;
}

static zone_totals_t
sum_zones(const autoscale_zone_t *zones, size_t count)
{
	zone_totals_t totals = {0};

	for (size_t i = 0; i < count; i++) {
		totals.baseline += zones[i].baseline;
		totals.zones_with_servers += takes_orders(&zones[i]);
		totals.evacuated += zones[i].evacuated;
		if (!zones[i].evacuated)
			totals.spot += zones[i].spot;
	}
	return totals;
}

static unsigned
scale_count(unsigned count, double ratio)
{
	return (unsigned)ceil(count * ratio);
}

static bool
uses_spot(const catalog_scaling_t *scaling)
{
	return scaling->spot_price > 0 && scaling->spot_price < spot_price_max;
}

/* Desired on-demand servers of all zones. */
static unsigned
total_on_demand(const zone_totals_t *totals)
{
	unsigned min_total = scale_count(totals->baseline, capacity_min_ratio);
	unsigned base = scale_count(totals->baseline, on_demand_base_ratio);

	return min_total > totals->spot ? MAX(base, min_total - totals->spot)
					: base;
}

/* Splits a total evenly over the zones; the remainder goes to the cheapest. */
static unsigned
zone_share(unsigned total, const autoscale_zone_t *zone,
    const autoscale_zone_t *zones, size_t count, unsigned zones_with_servers)
{
	unsigned rank = 0;

	for (size_t i = 0; i < count; i++) {
		if (!takes_orders(&zones[i]) || &zones[i] == zone)
			continue;
		if (zones[i].on_demand_price < zone->on_demand_price ||
		    (zones[i].on_demand_price == zone->on_demand_price &&
			&zones[i] < zone))
			rank++;
	}
	return total / zones_with_servers +
	       (rank < total % zones_with_servers ? 1 : 0);
}

static void
set_desired_counts(const catalog_scaling_t *scaling, autoscale_zone_t *zone,
    unsigned on_demand)
{
	unsigned max_servers = MAX(scaling->max_size, 1);

	zone->desired_on_demand =
	    CLAMP(on_demand, MAX(scaling->min_size, 1), max_servers);
	zone->desired_spot = MIN(scale_count(zone->baseline, spot_ratio),
	    max_servers - MIN(max_servers, zone->desired_on_demand));
}

/* Servers of a zone where no spot servers are used. */
static unsigned
fixed_count(const catalog_scaling_t *scaling, const autoscale_zone_t *zone,
    const zone_totals_t *totals, unsigned on_demand)
{
	unsigned max_servers = MAX(scaling->max_size, zone->baseline);

	if (totals->evacuated == 0)
		return zone->baseline;
	return CLAMP(on_demand, zone->baseline, max_servers);
}

void
autoscale_decide(
    const catalog_scaling_t *scaling, autoscale_zone_t *zones, size_t count)
{
	zone_totals_t totals = sum_zones(zones, count);
	bool spot = uses_spot(scaling);

	if (totals.zones_with_servers == 0)
		return;
	for (size_t i = 0; i < count; i++) {
		autoscale_zone_t *zone = &zones[i];
		unsigned on_demand;

		if (!takes_orders(zone))
			continue;
		on_demand = zone_share(total_on_demand(&totals), zone, zones,
		    count, totals.zones_with_servers);
		if (spot)
			set_desired_counts(scaling, zone, on_demand);
		else
			zone->desired_on_demand =
			    fixed_count(scaling, zone, &totals, on_demand);
	}
}
