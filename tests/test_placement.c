#include "control_lock.h"
#include "placement.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>

static const placement_offer_t offers[] = {
    {"zone-a", "a", true, 1.0, 10, 1, 100},
    {"zone-b", "a", true, 1.2, 10, 1, 100},
    {"zone-c", "a", true, 1.5, 10, 1, 100},
    {"zone-a", "a", false, 3.0, 10, 0, 100},
    {"zone-b", "a", false, 3.0, 10, 0, 100},
    {"zone-c", "a", false, 3.0, 10, 0, 100},
};
enum { OFFERS = G_N_ELEMENTS(offers) };
static const placement_demand_t demand = {.load = 200, .reclaim_cost = 1};

/* Guards against a plan that cannot carry the load without any one zone. */
START_TEST(cover_survives_loss_of_any_zone)
{
	static const char *const zones[] = {"zone-a", "zone-b", "zone-c"};
	placement_plan_t *plan =
	    placement_plan(PLACEMENT_COVER, &demand, offers, OFFERS);

	ck_assert(plan->meets_demand);
	for (int i = 0; i < 3; i++)
		ck_assert(placement_capacity_without_zone(
			      plan, offers, OFFERS, zones[i]) >= demand.load);
	placement_plan_free(plan);
}
END_TEST

/*
 * Guards against a cover plan that costs half as much as on-demand hosts alone
 * or more, and checks that the cheapest plan does not survive the loss of a
 * zone.
 */
START_TEST(cover_is_cheaper_than_on_demand)
{
	placement_plan_t *cover =
	    placement_plan(PLACEMENT_COVER, &demand, offers, OFFERS);
	placement_plan_t *on_demand =
	    placement_plan(PLACEMENT_ON_DEMAND, &demand, offers, OFFERS);
	placement_plan_t *cheapest =
	    placement_plan(PLACEMENT_CHEAPEST, &demand, offers, OFFERS);

	ck_assert(on_demand->meets_demand);
	ck_assert(cover->price_per_hour < on_demand->price_per_hour / 2);
	ck_assert(cheapest->capacity_after_loss < demand.load);
	placement_plan_free(cover);
	placement_plan_free(on_demand);
	placement_plan_free(cheapest);
}
END_TEST

/* Guards against a plan with more hosts than the platform has available. */
START_TEST(unavailable_hosts_are_replaced)
{
	placement_offer_t scarce[OFFERS];
	placement_plan_t *plan;

	for (int i = 0; i < OFFERS; i++)
		scarce[i] = offers[i];
	scarce[0].available = 2;
	plan = placement_plan(PLACEMENT_COVER, &demand, scarce, OFFERS);
	ck_assert(plan->meets_demand);
	ck_assert_uint_le(plan->host_counts[0], 2);
	placement_plan_free(plan);
}
END_TEST

/*
 * Guards against more hosts loading weights at once than allowed, and against
 * removals before all new hosts exist.
 */
START_TEST(concurrent_loads_are_limited)
{
	unsigned hosts[] = {5, 1}, present[] = {0, 4};
	placement_plan_t plan = {.host_counts = hosts};
	int changes[2];

	ck_assert_uint_eq(
	    placement_next_changes(&plan, present, 2, 1, 3, changes), 2);
	ck_assert_int_eq(changes[0], 2);
	ck_assert_int_eq(changes[1], 0);
	present[0] = 5;
	ck_assert_uint_eq(
	    placement_next_changes(&plan, present, 2, 0, 3, changes), 3);
	ck_assert_int_eq(changes[1], -3);
	ck_assert(placement_load_seconds(140, 2, 3) == 210);
}
END_TEST

/* Guards against two nodes that send commands to one backend server at once. */
START_TEST(control_lock_has_one_holder)
{
	control_lock_record_t first =
	    control_lock_next_record(NULL, "node-1", 1000);
	int64_t lease_end_ms = first.until_ms;

	ck_assert_int_eq(
	    control_lock_check(NULL, "node-1", FENCING_CHECKED, 1000),
	    CONTROL_LOCK_ACQUIRE);
	ck_assert_int_eq(
	    control_lock_check(&first, "node-1", FENCING_IGNORED, 1000),
	    CONTROL_LOCK_SEND);
	ck_assert_int_eq(
	    control_lock_check(&first, "node-2", FENCING_CHECKED, lease_end_ms),
	    CONTROL_LOCK_WAIT);
	ck_assert_int_eq(control_lock_check(&first, "node-2", FENCING_CHECKED,
			     lease_end_ms + CONTROL_LOCK_CLOCK_SKEW_MS + 1),
	    CONTROL_LOCK_ACQUIRE);
	/* A holder that was paused past its lease must not send commands. */
	ck_assert_int_eq(
	    control_lock_check(&first, "node-1", FENCING_IGNORED, lease_end_ms),
	    CONTROL_LOCK_ACQUIRE);
	/* An engine that ignores fencing tokens requires the longer wait. */
	ck_assert_int_eq(control_lock_check(&first, "node-2", FENCING_IGNORED,
			     lease_end_ms + CONTROL_LOCK_LEASE_MS +
				 CONTROL_LOCK_COMMAND_MAX_MS),
	    CONTROL_LOCK_WAIT);
	control_lock_record_clear(&first);
}
END_TEST

/*
 * Guards against a fencing token that does not grow with each acquisition, or
 * changes when the record is written and read back.
 */
START_TEST(control_lock_record_round_trip)
{
	control_lock_record_t first = control_lock_next_record(
				  NULL, "node-1", 1000),
			      parsed;
	control_lock_record_t second =
	    control_lock_next_record(&first, "node-2", 99000);
	json_t *json = control_lock_record_json(&second);
	char *text = json_dumps(json, 0);
	GError *error = NULL;

	ck_assert(
	    control_lock_record_parse(text, strlen(text), &parsed, &error));
	ck_assert_int_gt(parsed.fence, first.fence);
	ck_assert_str_eq(parsed.holder, "node-2");
	control_lock_record_clear(&parsed);
	ck_assert(!control_lock_record_parse("{}", 2, &parsed, &error));
	ck_assert_ptr_nonnull(strstr(error->message, "delete its key"));
	g_error_free(error);
	free(text);
	json_decref(json);
	control_lock_record_clear(&first);
	control_lock_record_clear(&second);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("placement");
	TCase *tests = tcase_create("placement");

	tcase_add_test(tests, cover_survives_loss_of_any_zone);
	tcase_add_test(tests, cover_is_cheaper_than_on_demand);
	tcase_add_test(tests, unavailable_hosts_are_replaced);
	tcase_add_test(tests, concurrent_loads_are_limited);
	tcase_add_test(tests, control_lock_has_one_holder);
	tcase_add_test(tests, control_lock_record_round_trip);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
