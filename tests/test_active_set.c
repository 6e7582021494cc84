#include "active_set.h"
#include "suite.h"

#include <check.h>
#include <stdbool.h>
#include <string.h>

/* A fleet of 295 hosts in five zones, three large ones in each. */

enum {
	ZONES = 5,
	HOSTS = 59,
	LARGE_HOSTS = 3,
	NODES = ZONES * HOSTS,
	KILLED_ONE_IN = 3,
};

static const double large = 0.5, small = 0.12; /* processors */

static const char *const zones[ZONES] = {
    "east", "west", "north", "south", "centre"};

/* The caller frees the names with g_strfreev() of *names. */
static GArray *
fleet(char ***names)
{
	GArray *candidates =
	    g_array_new(FALSE, FALSE, sizeof(active_candidate_t));

	*names = g_new0(char *, NODES + 1);
	for (int i = 0; i < NODES; i++) {
		int host = i / ZONES + 1;
		active_candidate_t candidate = {
		    .processors = host <= LARGE_HOSTS ? large : small};

		(*names)[i] =
		    g_strdup_printf("entry-%s-%d", zones[i % ZONES], host);
		candidate.name = (*names)[i];
		g_array_append_val(candidates, candidate);
	}
	return candidates;
}

static const active_candidate_t *
candidate_at(const GArray *candidates, guint i)
{
	return &g_array_index(candidates, active_candidate_t, i);
}

static void
shuffle(GArray *candidates, guint32 seed)
{
	GRand *random = g_rand_new_with_seed(seed);

	for (guint i = candidates->len - 1; i > 0; i--) {
		guint j = (guint)g_rand_int_range(random, 0, (gint32)i + 1);
		active_candidate_t held = *candidate_at(candidates, i);

		g_array_index(candidates, active_candidate_t, i) =
		    *candidate_at(candidates, j);
		g_array_index(candidates, active_candidate_t, j) = held;
	}
	g_rand_free(random);
}

/* Guards against nodes that offer clients different active sets. */
START_TEST(every_node_selects_the_same_set)
{
	char **names;
	GArray *first = fleet(&names), *second;

	shuffle(first, 1);
	active_set_sort(first);
	second = g_array_copy(first);
	shuffle(second, 2);
	active_set_sort(second);
	for (guint i = 0; i < ACTIVE_SET_MAX; i++)
		ck_assert_str_eq(candidate_at(first, i)->name,
		    candidate_at(second, i)->name);
	g_array_unref(first);
	g_array_unref(second);
	g_strfreev(names);
}
END_TEST

/* Guards against small hosts that carry traffic while large ones do not. */
START_TEST(large_hosts_come_first)
{
	char **names;
	GArray *candidates = fleet(&names);

	active_set_sort(candidates);
	for (guint i = 0; i < ZONES * LARGE_HOSTS; i++)
		ck_assert_double_eq(
		    candidate_at(candidates, i)->processors, large);
	g_array_unref(candidates);
	g_strfreev(names);
}
END_TEST

static unsigned
count_in_zone(const GArray *candidates, const char *zone)
{
	unsigned count = 0;

	for (guint i = 0; i < MIN(candidates->len, ACTIVE_SET_MAX); i++)
		if (strstr(candidate_at(candidates, i)->name, zone) != NULL)
			count++;
	return count;
}

/* Guards against an active set that is lost with one zone. */
START_TEST(no_zone_has_half_of_the_set)
{
	char **names;
	GArray *candidates = fleet(&names);

	active_set_sort(candidates);
	for (int i = 0; i < ZONES; i++)
		ck_assert_uint_lt(
		    count_in_zone(candidates, zones[i]), ACTIVE_SET_MAX / 2);
	g_array_unref(candidates);
	g_strfreev(names);
}
END_TEST

/* Guards against nodes that all change when some of them are killed. */
START_TEST(survivors_of_a_kill_stay_selected)
{
	char **names;
	GArray *candidates = fleet(&names), *survivors;

	active_set_sort(candidates);
	survivors = g_array_copy(candidates);
	for (guint i = ACTIVE_SET_MAX; i-- > 0;)
		if (i % KILLED_ONE_IN == 0)
			g_array_remove_index(survivors, i);
	shuffle(survivors, 3);
	active_set_sort(survivors);
	for (guint i = 0, kept = 0; i < ACTIVE_SET_MAX; i++) {
		if (i % KILLED_ONE_IN == 0)
			continue;
		ck_assert_str_eq(candidate_at(survivors, kept)->name,
		    candidate_at(candidates, i)->name);
		kept++;
	}
	g_array_unref(candidates);
	g_array_unref(survivors);
	g_strfreev(names);
}
END_TEST

/*
 * Guards against a region without an active node, whose callers then have no
 * host: its hosts are the smallest ones.
 */
START_TEST(each_region_has_active_nodes)
{
	char **names;
	GArray *candidates = fleet(&names), *again;
	unsigned in_south = 0;

	for (guint i = 0; i < candidates->len; i++) {
		active_candidate_t *candidate =
		    &g_array_index(candidates, active_candidate_t, i);
		bool in_region = strstr(candidate->name, "south") != NULL;

		candidate->region = in_region ? "south" : "rest";
		if (in_region)
			candidate->processors = small / 2;
	}
	again = g_array_copy(candidates);
	shuffle(again, 4);
	active_set_select(candidates);
	active_set_select(again);
	ck_assert_uint_eq(candidates->len, ACTIVE_SET_MAX);
	for (guint i = 0; i < ACTIVE_SET_MAX; i++) {
		const active_candidate_t *candidate =
		    candidate_at(candidates, i);

		ck_assert_str_eq(candidate->name, candidate_at(again, i)->name);
		in_south += strcmp(candidate->region, "south") == 0;
	}
	/* Half of the set, in equal shares. */
	ck_assert_uint_eq(in_south, ACTIVE_SET_MAX / 2 / 2);
	ck_assert_double_eq(candidate_at(candidates, 0)->processors, large);
	g_array_unref(candidates);
	g_array_unref(again);
	g_strfreev(names);
}
END_TEST

/* Guards against another set than before in deployments with one region. */
START_TEST(without_regions_the_first_are_selected)
{
	char **names;
	GArray *sorted = fleet(&names), *selected = g_array_copy(sorted);

	active_set_sort(sorted);
	for (guint i = 0; i < selected->len; i++)
		g_array_index(selected, active_candidate_t, i).region =
		    i % 2 == 0 ? "one" : NULL;
	active_set_select(selected);
	ck_assert_uint_eq(selected->len, ACTIVE_SET_MAX);
	for (guint i = 0; i < ACTIVE_SET_MAX; i++)
		ck_assert_str_eq(candidate_at(selected, i)->name,
		    candidate_at(sorted, i)->name);
	g_array_unref(sorted);
	g_array_unref(selected);
	g_strfreev(names);
}
END_TEST

/* Guards against digests whose number grows with the square of the nodes. */
START_TEST(received_digests_are_bounded)
{
	enum { DIGESTS_PER_S_MAX = 100, MS_PER_S = 1000 };

	for (unsigned nodes = 1; nodes <= ACTIVE_SET_MAX; nodes++)
		ck_assert_int_le(
		    nodes * MS_PER_S / active_set_digest_interval_ms(nodes),
		    DIGESTS_PER_S_MAX);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("active_set");
	TCase *cases = tcase_create("active_set");

	tcase_add_test(cases, every_node_selects_the_same_set);
	tcase_add_test(cases, large_hosts_come_first);
	tcase_add_test(cases, no_zone_has_half_of_the_set);
	tcase_add_test(cases, survivors_of_a_kill_stay_selected);
	tcase_add_test(cases, each_region_has_active_nodes);
	tcase_add_test(cases, without_regions_the_first_are_selected);
	tcase_add_test(cases, received_digests_are_bounded);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
