#include "autoscale.h"
#include "suite.h"

#include <check.h>

enum { ZONES = 3, BASELINE = 6 };

static catalog_scaling_t scaling = {
    .min_size = 1, .max_size = 12, .spot_price = 0.2};

static void
fill_zones(autoscale_zone_t *zones, unsigned on_demand, unsigned spot)
{
	static const char *const names[ZONES] = {"a", "b", "c"};

	for (int i = 0; i < ZONES; i++)
		zones[i] = (autoscale_zone_t){.name = names[i],
		    .on_demand_price = 1 + i * 0.1,
		    .baseline = BASELINE,
		    .on_demand = on_demand,
		    .spot = spot};
}

static unsigned
sum_desired_on_demand(const autoscale_zone_t *zones)
{
	unsigned sum = 0;

	for (int i = 0; i < ZONES; i++)
		sum += zones[i].desired_on_demand;
	return sum;
}

/* Guards against paying for on-demand servers when spot servers suffice. */
START_TEST(spot_servers_replace_on_demand_servers)
{
	autoscale_zone_t zones[ZONES];

	fill_zones(zones, BASELINE, BASELINE);
	autoscale_decide(&scaling, zones, ZONES);
	ck_assert_uint_lt(sum_desired_on_demand(zones), ZONES * BASELINE / 2);
	for (int i = 0; i < ZONES; i++) {
		ck_assert_uint_eq(zones[i].desired_spot, BASELINE);
		ck_assert_uint_ge(zones[i].desired_on_demand, 1);
	}
}
END_TEST

/* Guards against too few servers after the spot servers of every zone were
 * reclaimed. */
START_TEST(on_demand_servers_replace_missing_spot_servers)
{
	autoscale_zone_t zones[ZONES];

	fill_zones(zones, 2, 0);
	autoscale_decide(&scaling, zones, ZONES);
	ck_assert_uint_ge(
	    sum_desired_on_demand(zones), ZONES * BASELINE * 3 / 4);
}
END_TEST

START_TEST(without_spot_servers_the_baseline_is_kept)
{
	catalog_scaling_t fixed = scaling;
	autoscale_zone_t zones[ZONES];

	fixed.spot_price = 0;
	fill_zones(zones, BASELINE - 2, 0);
	autoscale_decide(&fixed, zones, ZONES);
	for (int i = 0; i < ZONES; i++) {
		ck_assert_uint_eq(zones[i].desired_on_demand, BASELINE);
		ck_assert_uint_eq(zones[i].desired_spot, 0);
	}
}
END_TEST

/* Guards against counts above max_size, which the cloud API refuses. */
START_TEST(zone_maximum_is_respected)
{
	catalog_scaling_t small = scaling;
	autoscale_zone_t zones[ZONES];

	small.max_size = 7;
	fill_zones(zones, BASELINE, 0);
	autoscale_decide(&small, zones, ZONES);
	for (int i = 0; i < ZONES; i++)
		ck_assert_uint_le(
		    zones[i].desired_on_demand + zones[i].desired_spot, 7);
}
END_TEST

/* Servers that the zones which are not evacuated are to have. */
static unsigned
count_usable(const autoscale_zone_t *zones)
{
	unsigned count = 0;

	for (int i = 0; i < ZONES; i++)
		if (!zones[i].evacuated)
			count += zones[i].desired_on_demand +
				 MIN(zones[i].spot, zones[i].desired_spot);
	return count;
}

/*
 * Guards against too few servers while a zone is evacuated, whose servers are
 * listed but get no requests, and against orders for that zone.
 */
START_TEST(other_zones_replace_an_evacuated_one)
{
	autoscale_zone_t zones[ZONES];
	unsigned before;

	fill_zones(zones, 2, BASELINE - 1);
	autoscale_decide(&scaling, zones, ZONES);
	before = sum_desired_on_demand(zones);
	zones[1].evacuated = true;
	ck_assert_uint_lt(count_usable(zones), ZONES * BASELINE * 9 / 10);
	zones[1].desired_on_demand = zones[1].desired_spot = 77;
	autoscale_decide(&scaling, zones, ZONES);
	ck_assert_uint_ge(count_usable(zones), ZONES * BASELINE * 9 / 10);
	ck_assert_uint_eq(zones[1].desired_on_demand, 77);
	ck_assert_uint_eq(zones[1].desired_spot, 77);
	zones[1].evacuated = false;
	autoscale_decide(&scaling, zones, ZONES);
	ck_assert_uint_eq(sum_desired_on_demand(zones), before);
}
END_TEST

/* Guards against an evacuation without effect where there are no spot servers.
 */
START_TEST(an_evacuated_zone_is_replaced_without_spot_servers)
{
	catalog_scaling_t fixed = scaling;
	autoscale_zone_t zones[ZONES];

	fixed.spot_price = 0;
	fill_zones(zones, BASELINE, 0);
	zones[0].evacuated = true;
	autoscale_decide(&fixed, zones, ZONES);
	ck_assert_uint_ge(count_usable(zones), ZONES * BASELINE * 9 / 10);
	fixed.max_size = BASELINE + 1;
	autoscale_decide(&fixed, zones, ZONES);
	ck_assert_uint_eq(zones[1].desired_on_demand, BASELINE + 1);
}
END_TEST

/* Guards against a division by zero where every zone is evacuated. */
START_TEST(nothing_is_ordered_where_all_zones_are_evacuated)
{
	autoscale_zone_t zones[ZONES];

	fill_zones(zones, 2, BASELINE);
	for (int i = 0; i < ZONES; i++)
		zones[i].evacuated = true;
	autoscale_decide(&scaling, zones, ZONES);
	ck_assert_uint_eq(sum_desired_on_demand(zones), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("autoscale");
	TCase *cases = tcase_create("autoscale");

	tcase_add_test(cases, spot_servers_replace_on_demand_servers);
	tcase_add_test(cases, on_demand_servers_replace_missing_spot_servers);
	tcase_add_test(cases, without_spot_servers_the_baseline_is_kept);
	tcase_add_test(cases, zone_maximum_is_respected);
	tcase_add_test(cases, other_zones_replace_an_evacuated_one);
	tcase_add_test(
	    cases, an_evacuated_zone_is_replaced_without_spot_servers);
	tcase_add_test(cases, nothing_is_ordered_where_all_zones_are_evacuated);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
