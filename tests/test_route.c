#include "route.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>

enum { BACKENDS = 6 };

static backend_t backends[BACKENDS];
static GPtrArray *candidates;
static route_prefix_index_t *prefix_index;

static void
setup(void)
{
	static const char *const names[BACKENDS] = {
	    "t/0", "t/1", "t/2", "t/3", "t/4", "t/5"};

	candidates = g_ptr_array_new();
	prefix_index = route_prefix_index_new();
	for (int i = 0; i < BACKENDS; i++) {
		backends[i] = (backend_t){
		    .refs = 1,
		    .name = (char *)names[i],
		    .zone = "zone-a",
		    .version = "v1",
		};
		g_ptr_array_add(candidates, &backends[i]);
	}
}

static void
teardown(void)
{
	g_ptr_array_free(candidates, TRUE);
	route_prefix_index_free(prefix_index);
}

static route_query_t
make_query(route_policy_t policy, uint64_t prefix_hash, uint64_t random)
{
	return (route_query_t){
	    .policy = policy,
	    .zone = "zone-a",
	    .version = "v1",
	    .prefix_hash = prefix_hash,
	    .now_ms = 1000,
	    .random = random,
	};
}

static backend_t *
choose(route_policy_t policy, uint64_t prefix_hash, uint64_t random)
{
	route_query_t query = make_query(policy, prefix_hash, random);

	return route_choose(&query, candidates, prefix_index);
}

/* Guards against new requests to a backend server that leaves. */
START_TEST(draining_backends_get_nothing)
{
	for (int i = 1; i < BACKENDS; i++)
		backends[i].state = BACKEND_DRAINING;
	for (int policy = ROUTE_AFFINITY; policy <= ROUTE_RANDOM; policy++)
		for (uint64_t random = 0; random < 100; random++)
			ck_assert_ptr_eq(
			    choose(policy, random, random), &backends[0]);
	backends[0].state = BACKEND_DRAINING;
	ck_assert_ptr_null(choose(ROUTE_AFFINITY, 1, 1));
}
END_TEST

/* Guards against a version's requests on another version's servers. */
START_TEST(only_the_asked_version_serves)
{
	backends[2].version = "v2";
	for (uint64_t random = 0; random < 100; random++)
		ck_assert_ptr_ne(choose(ROUTE_RANDOM, 0, random), &backends[2]);
}
END_TEST

/* Guards against prefixes that wander between idle backend servers. */
START_TEST(prefix_stays_where_it_is)
{
	backend_t *first = choose(ROUTE_AFFINITY, 77, 0);

	for (uint64_t random = 1; random < 100; random++)
		ck_assert_ptr_eq(choose(ROUTE_AFFINITY, 77, random), first);
	route_prefix_index_add(prefix_index, "t/4", 77, 1000);
	ck_assert_ptr_eq(choose(ROUTE_AFFINITY, 77, 5), &backends[4]);
	route_prefix_index_remove(prefix_index, "t/4", 77);
	ck_assert_ptr_eq(choose(ROUTE_AFFINITY, 77, 5), first);
}
END_TEST

/* Guards against a popular prefix that overloads its holder. */
START_TEST(loaded_holder_loses_its_prefix)
{
	backend_t *first = choose(ROUTE_AFFINITY, 77, 0);

	first->in_flight = 10;
	ck_assert_ptr_ne(choose(ROUTE_AFFINITY, 77, 0), first);
}
END_TEST

/* Guards against load that only the report shows, and against old reports. */
START_TEST(reports_count_until_they_are_old)
{
	for (int i = 1; i < BACKENDS; i++)
		backend_report(&backends[i], 5, 0, 900);
	ck_assert_ptr_eq(choose(ROUTE_AFFINITY, 0, 3), &backends[0]);
	for (int i = 1; i < BACKENDS; i++)
		backends[i].reported_at_ms = -100000;
	backends[0].in_flight = 1;
	ck_assert_ptr_ne(choose(ROUTE_AFFINITY, 0, 3), &backends[0]);
}
END_TEST

/* Guards against a slow backend server that keeps its share. */
START_TEST(slow_backend_gets_less)
{
	unsigned slow = 0;

	for (int i = 0; i < BACKENDS; i++)
		backends[i].latency_ms = i == 0 ? 400 : 50;
	for (uint64_t random = 0; random < 600; random++) {
		backend_t *chosen = choose(ROUTE_AFFINITY, 0, random);

		chosen->in_flight++;
		slow += chosen == &backends[0];
	}
	/* An even share would be 100. */
	ck_assert_uint_lt(slow, 30);
	ck_assert_uint_gt(slow, 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("route");
	TCase *tests = tcase_create("route");

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, draining_backends_get_nothing);
	tcase_add_test(tests, only_the_asked_version_serves);
	tcase_add_test(tests, prefix_stays_where_it_is);
	tcase_add_test(tests, loaded_holder_loses_its_prefix);
	tcase_add_test(tests, reports_count_until_they_are_old);
	tcase_add_test(tests, slow_backend_gets_less);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
