#include "autoscale.h"

#include <math.h>

/* Reclaimable servers for each that was deployed: room for a zone's loss. */
static const double spot_share = 1.0;
/* On-demand servers that always stay, as a share of those deployed. */
static const double base_share = 0.34;
/* On-demand servers fill the gap up to this share of those deployed. */
static const double least_share = 0.9;
/* Above this price of a reclaimable server on-demand ones are kept. */
static const double spot_price_most = 0.7;

typedef struct sums {
	unsigned baseline;
	unsigned spot;
	unsigned zones; /* with servers */
} sums_t;

static sums_t
sum_zones(const autoscale_zone_t *zones, size_t count)
{
	sums_t sums = {0};

	for (size_t i = 0; i < count; i++) {
		sums.baseline += zones[i].baseline;
		sums.spot += zones[i].spot;
		sums.zones += zones[i].baseline > 0;
	}
	return sums;
}

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

/* On-demand servers of all zones. */
static unsigned
total_on_demand(const sums_t *sums)
{
	unsigned least = share_of(sums->baseline, least_share);
	unsigned base = share_of(sums->baseline, base_share);

	return least > sums->spot ? MAX(base, least - sums->spot) : base;
}

/* One zone's servers of a total: an even part, the rest to the cheapest. */
static unsigned
zone_part(unsigned total, const autoscale_zone_t *zone,
    const autoscale_zone_t *zones, size_t count, unsigned used_zones)
{
	unsigned rank = 0;

	for (size_t i = 0; i < count; i++) {
		if (zones[i].baseline == 0 || &zones[i] == zone)
			continue;
		if (zones[i].price < zone->price ||
		    (zones[i].price == zone->price && &zones[i] < zone))
			rank++;
	}
	return total / used_zones + (rank < total % used_zones ? 1 : 0);
}

static void
decide_zone(const catalog_scaling_t *scaling, autoscale_zone_t *zone,
    unsigned on_demand)
{
	unsigned most = MAX(scaling->max_size, 1);

	zone->want_on_demand =
	    CLAMP(on_demand, MAX(scaling->min_size, 1), most);
	zone->want_spot = MIN(share_of(zone->baseline, spot_share),
	    most - MIN(most, zone->want_on_demand));
}

void
autoscale_decide(
    const catalog_scaling_t *scaling, autoscale_zone_t *zones, size_t count)
{
	sums_t sums = sum_zones(zones, count);
	bool spot = prefers_spot(scaling);

	for (size_t i = 0; i < count; i++) {
		autoscale_zone_t *zone = &zones[i];

		if (zone->baseline == 0)
			continue;
		if (!spot) {
			zone->want_on_demand = zone->baseline;
			continue;
		}
		decide_zone(scaling, zone,
		    zone_part(total_on_demand(&sums), zone, zones, count,
			sums.zones));
	}
}
