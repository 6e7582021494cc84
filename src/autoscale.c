#include "autoscale.h"

#include <math.h>

enum {
	MEASURE_MS = 500,
	/* Fewer servers must suffice for so long before one is given up. */
	LOWER_AFTER_MS = 10000,
	LOWER_STEP_MS = 2000,
};

/* Time constants of the load and of the memory of its peak. */
static const double smooth_ms = 3000;
static const double peak_ms = 25000;
/* How busy engines are kept: all servers, and on-demand ones alone. */
static const double share_busy = 0.33;
static const double share_busy_alone = 0.5;
/* The same while reclaimable servers are missing. */
static const double share_busy_short = 0.4;
/* Sizes before any load was measured, as shares of those deployed. */
static const double start_on_demand = 0.5;
static const double start_spot = 0.5;
/* Above this price of a reclaimable server on-demand ones are kept. */
static const double spot_price_most = 0.7;

void
autoscale_measure(autoscale_t *scale, double work_ms, int64_t now_ms)
{
	double passed_ms = (double)(now_ms - scale->measured_ms);
	double busy, weight;

	if (scale->measured_ms == 0 || work_ms < scale->work_ms) {
		scale->measured_ms = now_ms;
		scale->work_ms = work_ms;
		return;
	}
	if (passed_ms < MEASURE_MS)
		return;
	busy = (work_ms - scale->work_ms) / passed_ms;
	weight = 1 - exp(-passed_ms / smooth_ms);
	scale->load += weight * (busy - scale->load);
	scale->peak *= exp(-passed_ms / peak_ms);
	scale->peak = MAX(scale->peak, scale->load);
	scale->measured_ms = now_ms;
	scale->work_ms = work_ms;
}

static bool
prefers_spot(const catalog_scaling_t *scaling)
{
	return scaling->spot_price > 0 && scaling->spot_price < spot_price_most;
}

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
servers_for(double load, double busy)
{
	return (unsigned)ceil(load / busy);
}

/* On-demand servers that the load needs now, over all zones. */
static unsigned
needed_on_demand(const autoscale_t *scale, const sums_t *sums, bool spot)
{
	unsigned alone, together;

	if (scale->peak <= 0)
		return (unsigned)ceil(
		    sums->baseline * (spot ? start_on_demand : 1.0));
	alone = servers_for(scale->peak, share_busy_alone);
	together = servers_for(scale->peak, spot ? share_busy_short : share_busy);
	if (together > sums->spot)
		alone = MAX(alone, together - sums->spot);
	return MAX(alone, sums->zones);
}

static unsigned
needed_spot(const autoscale_t *scale, const sums_t *sums)
{
	unsigned all;

	if (scale->peak <= 0)
		return (unsigned)ceil(sums->baseline * start_spot);
	all = servers_for(scale->peak, share_busy);
	return all > scale->on_demand ? all - scale->on_demand : 0;
}

/* More servers are wanted at once, fewer only after a while, one by one. */
static void
follow(autoscale_t *scale, unsigned needed, int64_t now_ms)
{
	if (scale->on_demand == 0 || needed >= scale->on_demand) {
		scale->on_demand = needed;
		scale->lower_since_ms = 0;
		return;
	}
	if (scale->lower_since_ms == 0)
		scale->lower_since_ms = now_ms;
	if (now_ms - scale->lower_since_ms < LOWER_AFTER_MS)
		return;
	scale->on_demand--;
	scale->lower_since_ms += LOWER_STEP_MS;
}

/* Servers of one zone: an even part, the rest to the cheapest ones. */
static unsigned
zone_part(unsigned total, const autoscale_zone_t *zone,
    const autoscale_zone_t *zones, size_t count, unsigned used_zones)
{
	unsigned part = total / used_zones;
	unsigned rank = 0;

	for (size_t i = 0; i < count; i++) {
		if (zones[i].baseline == 0 || &zones[i] == zone)
			continue;
		if (zones[i].price < zone->price ||
		    (zones[i].price == zone->price && &zones[i] < zone))
			rank++;
	}
	return part + (rank < total % used_zones ? 1 : 0);
}

static void
decide_zone(const catalog_scaling_t *scaling, autoscale_zone_t *zone)
{
	unsigned least = MAX(scaling->min_size, 1);

	zone->want_on_demand =
	    CLAMP(zone->want_on_demand, least, MAX(scaling->max_size, least));
	if (zone->want_on_demand + zone->want_spot > scaling->max_size)
		zone->want_spot = scaling->max_size > zone->want_on_demand
				      ? scaling->max_size - zone->want_on_demand
				      : 0;
	/* On-demand servers stay until the reclaimable ones have started. */
	if (zone->want_on_demand < zone->on_demand &&
	    zone->spot < zone->want_spot)
		zone->want_on_demand = MAX(zone->want_on_demand,
		    zone->on_demand - MIN(zone->spot, zone->on_demand));
}

void
autoscale_decide(autoscale_t *scale, const catalog_scaling_t *scaling,
    autoscale_zone_t *zones, size_t count, int64_t now_ms)
{
	sums_t sums = sum_zones(zones, count);
	bool spot = prefers_spot(scaling);

	if (sums.zones == 0)
		return;
	follow(scale, needed_on_demand(scale, &sums, spot), now_ms);
	scale->spot = spot ? needed_spot(scale, &sums) : 0;
	for (size_t i = 0; i < count; i++) {
		autoscale_zone_t *zone = &zones[i];

		if (zone->baseline == 0)
			continue;
		zone->want_on_demand = zone_part(
		    scale->on_demand, zone, zones, count, sums.zones);
		zone->want_spot =
		    zone_part(scale->spot, zone, zones, count, sums.zones);
		decide_zone(scaling, zone);
	}
}
