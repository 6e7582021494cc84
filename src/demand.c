#include "demand.h"

#include <glib.h>

enum {
	/* Span over which demand is averaged. */
	SMOOTHING_MS = 1000,
	/* Reports that were applied longer ago are not used. */
	REPORTS_MAX_AGE_MS = 2000,
};

/* Part of the whole that is shared equally, whoever has the demand. */
static const double equal_part = 0.25;

/* Clears the slots that begin, up to now. */
static void
advance(demand_t *demand, int64_t now_ms)
{
	int64_t slot = now_ms / DEMAND_SLOT_MS;

	demand->newest_slot = MAX(demand->newest_slot, slot - DEMAND_SLOTS);
	while (demand->newest_slot < slot)
		demand->own_units[++demand->newest_slot % DEMAND_SLOTS] = 0;
}

/* Units asked of this node in the second that ended age_ms ago. */
static double
own_units(const demand_t *demand, int64_t age_ms)
{
	int64_t count = SMOOTHING_MS / DEMAND_SLOT_MS;
	int64_t newest = demand->newest_slot - CLAMP(age_ms / DEMAND_SLOT_MS, 0,
						   DEMAND_SLOTS - count);
	double sum = 0;

	for (int64_t slot = newest; slot > newest - count; slot--)
		if (slot >= 0)
			sum += demand->own_units[slot % DEMAND_SLOTS];
	return sum;
}

void
demand_add(demand_t *demand, double units, int64_t now_ms)
{
	advance(demand, now_ms);
	demand->own_units[demand->newest_slot % DEMAND_SLOTS] += units;
}

double
demand_own_units_per_s(demand_t *demand, int64_t now_ms)
{
	advance(demand, now_ms);
	return own_units(demand, 0);
}

void
demand_set_remote(demand_t *demand, double units_per_s, int64_t now_ms)
{
	demand->remote_units_per_s = MAX(units_per_s, 0);
	demand->remote_updated_ms = now_ms;
}

double
demand_share(
    demand_t *demand, unsigned nodes, int64_t report_age_ms, int64_t now_ms)
{
	double equal_share = 1.0 / MAX(nodes, 1);
	double own, total;

	advance(demand, now_ms);
	if (demand->remote_updated_ms == 0 ||
	    now_ms - demand->remote_updated_ms > REPORTS_MAX_AGE_MS)
		return equal_share;
	own = own_units(demand, report_age_ms);
	total = own + demand->remote_units_per_s;
	if (total <= 0)
		return equal_share;
	return (1 - equal_part) * own / total + equal_part * equal_share;
}
