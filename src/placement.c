#include "placement.h"

#include <math.h>
#include <string.h>

static const double HOURS_PER_DAY = 24.0;
/*
 * Number of limits on a zone's capacity to try, up to the whole load. The total
 * capacity is then between the load and twice the load.
 */
static const unsigned ZONE_SHARE_STEPS = 64;

/* Hourly price with the expected cost of reclaims, per unit of capacity. */
static double
unit_price(const placement_offer_t *offer, const placement_demand_t *demand)
{
	double reclaims =
	    offer->reclaims_per_day / HOURS_PER_DAY * demand->reclaim_cost;

	return (offer->price_per_hour + reclaims) / offer->capacity;
}

static bool
policy_allows(placement_policy_t policy, const placement_offer_t *offer)
{
	switch (policy) {
	case PLACEMENT_ON_DEMAND:
		return !offer->reclaimable;
	case PLACEMENT_COVER:
	case PLACEMENT_CHEAPEST:
		return true;
	}
	return false;
}

static double
zone_capacity(const placement_plan_t *plan, const placement_offer_t *offers,
    unsigned offer_count, const char *zone)
{
	double sum = 0;

	for (unsigned i = 0; i < offer_count; i++)
		if (strcmp(offers[i].zone, zone) == 0)
			sum += plan->host_counts[i] * offers[i].capacity;
	return sum;
}

double
placement_capacity_without_zone(const placement_plan_t *plan,
    const placement_offer_t *offers, unsigned offer_count, const char *zone)
{
	return plan->capacity - zone_capacity(plan, offers, offer_count, zone);
}

static void
update_totals(placement_plan_t *plan, const placement_demand_t *demand,
    const placement_offer_t *offers, unsigned offer_count)
{
	plan->capacity = 0;
	plan->price_per_hour = 0;
	for (unsigned i = 0; i < offer_count; i++) {
		double capacity = plan->host_counts[i] * offers[i].capacity;

		plan->capacity += capacity;
		plan->price_per_hour +=
		    capacity * unit_price(&offers[i], demand);
	}
	plan->capacity_after_loss = plan->capacity;
	for (unsigned i = 0; i < offer_count; i++) {
		double remaining = placement_capacity_without_zone(
		    plan, offers, offer_count, offers[i].zone);

		plan->capacity_after_loss =
		    MIN(plan->capacity_after_loss, remaining);
	}
}

/*
 * Index of the cheapest offer that the policy allows, that is available and
 * whose zone has less capacity than zone_max; -1 if none.
 */
static int
next_offer(const placement_plan_t *plan, placement_policy_t policy,
    const placement_demand_t *demand, const placement_offer_t *offers,
    unsigned offer_count, double zone_max)
{
	int best = -1;

	for (unsigned i = 0; i < offer_count; i++) {
		const placement_offer_t *offer = &offers[i];

		if (!policy_allows(policy, offer) || offer->capacity <= 0 ||
		    plan->host_counts[i] >= offer->available)
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

static placement_plan_t *
plan_new(unsigned offer_count)
{
	placement_plan_t *plan = g_new0(placement_plan_t, 1);

	plan->host_counts = g_new0(unsigned, MAX(offer_count, 1));
	return plan;
}

/*
 * Adds the cheapest offers, none in a zone that has reached zone_max, until the
 * plan carries the load and keeps capacity_after_loss_min after the loss of any
 * one zone.
 */
static placement_plan_t *
build_plan(placement_policy_t policy, const placement_demand_t *demand,
    const placement_offer_t *offers, unsigned offer_count, double zone_max,
    double capacity_after_loss_min)
{
	placement_plan_t *plan = plan_new(offer_count);
	int offer_index;

	update_totals(plan, demand, offers, offer_count);
	while (plan->capacity_after_loss < capacity_after_loss_min ||
	       plan->capacity < demand->load) {
		offer_index = next_offer(
		    plan, policy, demand, offers, offer_count, zone_max);
		if (offer_index < 0)
			break;
		plan->host_counts[offer_index]++;
		update_totals(plan, demand, offers, offer_count);
	}
	plan->meets_demand =
	    plan->capacity_after_loss >= capacity_after_loss_min &&
	    plan->capacity >= demand->load;
	return plan;
}

static bool
is_better(const placement_plan_t *plan, const placement_plan_t *best)
{
	if (best == NULL)
		return true;
	if (plan->meets_demand != best->meets_demand)
		return plan->meets_demand;
	if (!plan->meets_demand &&
	    plan->capacity_after_loss != best->capacity_after_loss)
		return plan->capacity_after_loss > best->capacity_after_loss;
	return plan->price_per_hour < best->price_per_hour;
}

placement_plan_t *
placement_plan(placement_policy_t policy, const placement_demand_t *demand,
    const placement_offer_t *offers, unsigned offer_count)
{
	placement_plan_t *best = NULL, *plan;

	if (policy == PLACEMENT_CHEAPEST)
		return build_plan(
		    policy, demand, offers, offer_count, INFINITY, 0);
	/* A low zone_max spreads hosts evenly, a high one favours cheap zones.
	 */
	for (unsigned step = 1; step <= ZONE_SHARE_STEPS; step++) {
		double zone_max = demand->load * step / ZONE_SHARE_STEPS;

		plan = build_plan(policy, demand, offers, offer_count, zone_max,
		    demand->load);
		if (is_better(plan, best)) {
			placement_plan_free(best);
			best = plan;
		} else {
			placement_plan_free(plan);
		}
	}
	return best;
}

void
placement_plan_free(placement_plan_t *plan)
{
	if (plan == NULL)
		return;
	g_free(plan->host_counts);
	g_free(plan);
}

unsigned
placement_next_changes(const placement_plan_t *plan,
    const unsigned *current_hosts, unsigned offer_count, unsigned loading_count,
    unsigned loading_max, int *changes)
{
	unsigned change_count = 0, missing_count = 0;

	for (unsigned i = 0; i < offer_count; i++) {
		changes[i] = 0;
		while (current_hosts[i] + (unsigned)changes[i] <
		       plan->host_counts[i]) {
			missing_count++;
			if (loading_count >= loading_max)
				break;
			changes[i]++;
			loading_count++;
			change_count++;
		}
	}
	if (missing_count > 0 || loading_count > 0)
		return change_count;
	for (unsigned i = 0; i < offer_count; i++) {
		if (current_hosts[i] <= plan->host_counts[i])
			continue;
		changes[i] = -(int)(current_hosts[i] - plan->host_counts[i]);
		change_count += current_hosts[i] - plan->host_counts[i];
	}
	return change_count;
}

double
placement_load_seconds(
    double weights_gb, double store_gb_per_s, unsigned loading_count)
{
	return weights_gb * MAX(loading_count, 1) / store_gb_per_s;
}
