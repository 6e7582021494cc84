/*
 * Compares the placement policies on seeded offers: three availability zones,
 * two machine classes, two markets, random prices, risks and stocks. Prints one
 * JSON object a policy: mean price against the policy `cover`, and how often
 * the loss of the worst zone leaves enough capacity.
 */
#include "placement.h"

#include <stdio.h>
#include <stdlib.h>

enum {
	SEEDS = 200,
	ZONES = 3,
	CLASSES = 2,
	MARKETS = 2,
	OFFERS = ZONES * CLASSES * MARKETS,
};

typedef struct total {
	double price_ratio;
	unsigned compared;
	unsigned survives;
	unsigned hosts;
} total_t;

static const char *const zones[ZONES] = {"zone-a", "zone-b", "zone-c"};
static const char *const classes[CLASSES] = {"small", "large"};

/* Reclaimable hosts cost 25 to 60% of on-demand ones, and may be scarce. */
static void
make_offers(GRand *rand, placement_offer_t *offers)
{
	for (unsigned i = 0; i < OFFERS; i++) {
		unsigned zone = i % ZONES;
		unsigned class = i / ZONES % CLASSES;
		bool reclaimable = i / ZONES / CLASSES == 0;
		double base = (class + 1) * g_rand_double_range(rand, 2.5, 3.5);
		double share =
		    reclaimable ? g_rand_double_range(rand, 0.25, 0.6) : 1;
		bool scarce = reclaimable && g_rand_double(rand) < 0.3;

		offers[i] = (placement_offer_t){
		    .zone = zones[zone],
		    .class = classes[class],
		    .reclaimable = reclaimable,
		    .price_per_hour = base * share,
		    .capacity = 8 * (class + 1),
		    .reclaims_per_day =
			reclaimable ? g_rand_double_range(rand, 0.1, 2) : 0,
		    .available =
			scarce ? (unsigned)g_rand_int_range(rand, 0, 5) : 60,
		};
	}
}

static void
add_plan(total_t *total, const placement_plan_t *plan,
    const placement_plan_t *cover, const placement_demand_t *demand)
{
	total->price_ratio += plan->price_per_hour / cover->price_per_hour;
	total->compared++;
	total->survives += plan->capacity_after_loss >= demand->load;
	for (unsigned i = 0; i < OFFERS; i++)
		total->hosts += plan->host_counts[i];
}

int
main(void)
{
	static const char *const names[] = {"cover", "on_demand", "cheapest"};
	static const placement_demand_t demand = {
	    .load = 200, .reclaim_cost = 0.5};
	total_t totals[3] = {0};

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		placement_offer_t offers[OFFERS];
		placement_plan_t *plans[3];

		make_offers(rand, offers);
		for (int p = 0; p < 3; p++)
			plans[p] = placement_plan(
			    (placement_policy_t)p, &demand, offers, OFFERS);
		for (int p = 0; p < 3; p++)
			add_plan(&totals[p], plans[p], plans[0], &demand);
		for (int p = 0; p < 3; p++)
			placement_plan_free(plans[p]);
		g_rand_free(rand);
	}
	for (int p = 0; p < 3; p++)
		printf("{\"policy\": \"%s\", \"seeds\": %d, "
		       "\"price_against_cover\": %.3f, "
		       "\"survives_worst_zone\": %u, \"mean_hosts\": %.1f}\n",
		    names[p], SEEDS, totals[p].price_ratio / totals[p].compared,
		    totals[p].survives, (double)totals[p].hosts / SEEDS);
	return EXIT_SUCCESS;
}
