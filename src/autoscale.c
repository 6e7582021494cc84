#include "autoscale.h"

#include <math.h>

/* Reclaimable servers for each that was deployed: room for a zone's loss. */
static const double spot_factor = 1.0;
/* On-demand servers that stay, as a share of those that were deployed. */
static const double base_share = 0.3;
/* Part of the deployed size below which on-demand servers fill the gap. */
static const double least_share = 0.6;
/* Above this price of a reclaimable server on-demand ones are kept. */
static const double spot_price_most = 0.7;

static unsigned
share_of(unsigned count, double share)
{
	return (unsigned)ceil(count * share);
}

static bool
prefers_spot(const catalog_scaling_t *scaling)
{
	return scaling->spot_price > 0 && scaling->spot_price < spot_price_most;
}

static unsigned
sum_ready(const autoscale_zone_t *zones, size_t count)
{
	unsigned sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += zones[i].on_demand + zones[i].spot;
	return sum;
}

static unsigned
sum_baseline(const autoscale_zone_t *zones, size_t count)
{
	unsigned sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += zones[i].baseline;
	return sum;
}

static void
decide_zone(const catalog_scaling_t *scaling, autoscale_zone_t *zone,
    bool too_few)
{
	unsigned base = MAX(share_of(zone->baseline, base_share), 1);
	unsigned spot = share_of(zone->baseline, spot_factor);

	zone->want_on_demand = zone->baseline;
	zone->want_spot = 0;
	if (!prefers_spot(scaling) || zone->baseline == 0)
		return;
	zone->want_spot = MIN(spot, scaling->max_size - base);
	/* On-demand servers go once enough reclaimable ones are there. */
	if (zone->on_demand > base && zone->spot < zone->want_spot)
		zone->want_on_demand = zone->on_demand;
	else
		zone->want_on_demand = base;
	if (too_few)
		zone->want_on_demand =
		    MAX(zone->baseline, zone->want_on_demand);
	zone->want_on_demand = MIN(zone->want_on_demand, scaling->max_size);
	if (zone->want_on_demand + zone->want_spot > scaling->max_size)
		zone->want_spot = scaling->max_size - zone->want_on_demand;
}

void
autoscale_decide(const catalog_scaling_t *scaling, autoscale_zone_t *zones,
    size_t count)
{
	bool too_few = sum_ready(zones, count) <
		       least_share * sum_baseline(zones, count);

	for (size_t i = 0; i < count; i++)
		decide_zone(scaling, &zones[i], too_few);
}
