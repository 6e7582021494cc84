#include "place.h"

#include <math.h>
#include <string.h>

static const double HOURS_PER_DAY = 24.0;
/* Steps of the total capacity that are tried, from bare need to twice that. */
static const unsigned TOTAL_STEPS = 64;

/* Hourly price with the expected cost of its reclaims, per unit of capacity. */
static double
unit_price(const place_offer_t *offer, const place_demand_t *demand)
{
	double reclaims =
	    offer->reclaims_per_day / HOURS_PER_DAY * demand->reclaim_cost;

	return (offer->price_per_hour + reclaims) / offer->capacity;
}

static bool
allowed(place_policy_t policy, const place_offer_t *offer)
{
	switch (policy) {
	case PLACE_ON_DEMAND:
		return !offer->reclaimable;
	case PLACE_COVER:
	case PLACE_CHEAPEST:
		return true;
	}
	return false;
}

static double
zone_capacity(const place_plan_t *plan, const place_offer_t *offers,
    unsigned offer_count, const char *zone)
{
	double sum = 0;

	for (unsigned i = 0; i < offer_count; i++)
		if (strcmp(offers[i].zone, zone) == 0)
			sum += plan->hosts[i] * offers[i].capacity;
	return sum;
}

double
place_capacity_without(const place_plan_t *plan, const place_offer_t *offers,
    unsigned offer_count, const char *zone)
{
	return plan->capacity - zone_capacity(plan, offers, offer_count, zone);
}

static void
measure(place_plan_t *plan, const place_demand_t *demand,
    const place_offer_t *offers, unsigned offer_count)
{
	plan->capacity = 0;
	plan->price_per_hour = 0;
	for (unsigned i = 0; i < offer_count; i++) {
		double capacity = plan->hosts[i] * offers[i].capacity;

		plan->capacity += capacity;
		plan->price_per_hour +=
		    capacity * unit_price(&offers[i], demand);
	}
	plan->capacity_after_loss = plan->capacity;
	for (unsigned i = 0; i < offer_count; i++) {
		double left = place_capacity_without(
		    plan, offers, offer_count, offers[i].zone);

		plan->capacity_after_loss =
		    MIN(plan->capacity_after_loss, left);
	}
}

/* Cheapest offer that is allowed, available, and in a zone below its share. */
static int
next_offer(const place_plan_t *plan, place_policy_t policy,
    const place_demand_t *demand, const place_offer_t *offers,
    unsigned offer_count, double zone_max)
{
	int best = -1;

	for (unsigned i = 0; i < offer_count; i++) {
		const place_offer_t *offer = &offers[i];

		if (!allowed(policy, offer) || offer->capacity <= 0 ||
		    plan->hosts[i] >= offer->available)
			continue;
		if (zone_capacity(plan, offers, offer_count, offer->zone) >=
		    zone_max)
			continue;
		if (best < 0 || unit_price(offer, demand) <
				    unit_price(&offers[best], demand))
			best = (int)i;
	}
	return best;
}

static place_plan_t *
plan_new(unsigned offer_count)
{
	place_plan_t *plan = g_new0(place_plan_t, 1);

	plan->hosts = g_new0(unsigned, MAX(offer_count, 1));
	return plan;
}

/*
 * Fills a total of capacity with the cheapest offers, no zone above zone_max:
 * what is left without any one zone is then at least total - zone_max.
 */
static place_plan_t *
fill(place_policy_t policy, const place_demand_t *demand,
    const place_offer_t *offers, unsigned offer_count, double zone_max,
    double needed_after_loss)
{
	place_plan_t *plan = plan_new(offer_count);
	int next;

	measure(plan, demand, offers, offer_count);
	while (plan->capacity_after_loss < needed_after_loss ||
	       plan->capacity < demand->load) {
		next = next_offer(
		    plan, policy, demand, offers, offer_count, zone_max);
		if (next < 0)
			break;
		plan->hosts[next]++;
		measure(plan, demand, offers, offer_count);
	}
	plan->met = plan->capacity_after_loss >= needed_after_loss &&
		    plan->capacity >= demand->load;
	return plan;
}

static bool
better(const place_plan_t *plan, const place_plan_t *best)
{
	if (best == NULL)
		return true;
	if (plan->met != best->met)
		return plan->met;
	if (!plan->met &&
	    plan->capacity_after_loss != best->capacity_after_loss)
		return plan->capacity_after_loss > best->capacity_after_loss;
	return plan->price_per_hour < best->price_per_hour;
}

place_plan_t *
place_plan(place_policy_t policy, const place_demand_t *demand,
    const place_offer_t *offers, unsigned offer_count)
{
	place_plan_t *best = NULL, *plan;

	if (policy == PLACE_CHEAPEST)
		return fill(policy, demand, offers, offer_count, INFINITY, 0);
	/* A zone's share trades even spread against cheap zones. */
	for (unsigned step = 1; step <= TOTAL_STEPS; step++) {
		double zone_max = demand->load * step / TOTAL_STEPS;

		plan = fill(policy, demand, offers, offer_count, zone_max,
		    demand->load);
		if (better(plan, best)) {
			place_plan_free(best);
			best = plan;
		} else {
			place_plan_free(plan);
		}
	}
	return best;
}

void
place_plan_free(place_plan_t *plan)
{
	if (plan == NULL)
		return;
	g_free(plan->hosts);
	g_free(plan);
}

unsigned
place_step(const place_plan_t *plan, const unsigned *present,
    unsigned offer_count, unsigned loading, unsigned loads_max, int *changes)
{
	unsigned orders = 0, missing = 0;

	for (unsigned i = 0; i < offer_count; i++) {
		changes[i] = 0;
		while (present[i] + (unsigned)changes[i] < plan->hosts[i]) {
			missing++;
			if (loading >= loads_max)
				break;
			changes[i]++;
			loading++;
			orders++;
		}
	}
	if (missing > 0 || loading > 0)
		return orders;
	for (unsigned i = 0; i < offer_count; i++) {
		if (present[i] <= plan->hosts[i])
			continue;
		changes[i] = -(int)(present[i] - plan->hosts[i]);
		orders += present[i] - plan->hosts[i];
	}
	return orders;
}

double
place_load_seconds(double weights_gb, double store_gb_per_s, unsigned loading)
{
	return weights_gb * MAX(loading, 1) / store_gb_per_s;
}
