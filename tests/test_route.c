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

/* Guards against new requests to a draining backend server. */
START_TEST(draining_backends_get_no_requests)
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

/* Guards against the choice of a backend server of another version. */
START_TEST(only_requested_version_is_chosen)
{
	backends[2].version = "v2";
	for (uint64_t random = 0; random < 100; random++)
		ck_assert_ptr_ne(choose(ROUTE_RANDOM, 0, random), &backends[2]);
}
END_TEST

/*
 * Guards against requests of one prefix that move between idle backend servers.
 * Without a reported holder, rendezvous hashing decides.
 */
START_TEST(prefix_keeps_its_backend)
{
	backend_t *initial = choose(ROUTE_AFFINITY, 77, 0);

	for (uint64_t random = 1; random < 100; random++)
		ck_assert_ptr_eq(choose(ROUTE_AFFINITY, 77, random), initial);
	route_prefix_index_add(prefix_index, "t/4", 77, 1000);
	ck_assert_ptr_eq(choose(ROUTE_AFFINITY, 77, 5), &backends[4]);
	route_prefix_index_remove(prefix_index, "t/4", 77);
	ck_assert_ptr_eq(choose(ROUTE_AFFINITY, 77, 5), initial);
}
END_TEST

/* Guards against a popular prefix that overloads its holder. */
START_TEST(overloaded_holder_is_not_chosen)
{
	backend_t *initial = choose(ROUTE_AFFINITY, 77, 0);

	initial->in_flight = 10;
	ck_assert_ptr_ne(choose(ROUTE_AFFINITY, 77, 0), initial);
}
END_TEST

/* Guards against ignoring reported load, and against using outdated reports. */
START_TEST(stale_load_reports_are_ignored)
{
	for (int i = 1; i < BACKENDS; i++)
		backend_update_load(&backends[i], 5, 0, 900);
	ck_assert_ptr_eq(choose(ROUTE_AFFINITY, 0, 3), &backends[0]);
	for (int i = 1; i < BACKENDS; i++)
		backends[i].reported_at_ms = -100000;
	backends[0].in_flight = 1;
	ck_assert_ptr_ne(choose(ROUTE_AFFINITY, 0, 3), &backends[0]);
}
END_TEST

/* Guards against a slow backend server that gets as many requests as others. */
START_TEST(slow_backend_gets_fewer_requests)
{
	unsigned slow_count = 0;

	for (int i = 0; i < BACKENDS; i++)
		backends[i].average_latency_ms = i == 0 ? 400 : 50;
	for (uint64_t random = 0; random < 600; random++) {
		backend_t *chosen = choose(ROUTE_AFFINITY, 0, random);

		chosen->in_flight++;
		slow_count += chosen == &backends[0];
	}
	/* An even share would be 100. */
	ck_assert_uint_lt(slow_count, 30);
	ck_assert_uint_gt(slow_count, 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("route");
	TCase *tests = tcase_create("route");

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, draining_backends_get_no_requests);
	tcase_add_test(tests, only_requested_version_is_chosen);
	tcase_add_test(tests, prefix_keeps_its_backend);
	tcase_add_test(tests, overloaded_holder_is_not_chosen);
	tcase_add_test(tests, stale_load_reports_are_ignored);
	tcase_add_test(tests, slow_backend_gets_fewer_requests);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
