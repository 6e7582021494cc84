#include "cold_limit.h"
#include "suite.h"

#include <check.h>
#include <string.h>

/*
 * Cold servers of a fleet whose nodes all have more requests than the servers
 * may get, and whose nodes may disagree on who is active.
 */

enum {
	NODES = 32,
	MORE_NODES = 48, /* with nodes on standby that replace active ones */
	RATE = 16,
	BOUND = RATE * 3 / 2 + 5, /* cold_over and cold_slack */
	SERVERS = 40,
	START_MS = 1000000,
	SECOND_MS = 1000,
	DURATION_MS = 5 * SECOND_MS,
};

typedef struct fleet {
	char *names[MORE_NODES];
	cold_limit_t *limits[MORE_NODES];
	cold_turns_t sent[MORE_NODES]; /* to the server */
} fleet_t;

static fleet_t fleet;

static void
setup(void)
{
	for (int i = 0; i < MORE_NODES; i++) {
		fleet.names[i] = g_strdup_printf("entry-%d", i);
		fleet.limits[i] = cold_limit_new(fleet.names[i]);
	}
	memset(fleet.sent, 0, sizeof(fleet.sent));
}

static void
teardown(void)
{
	for (int i = 0; i < MORE_NODES; i++) {
		cold_limit_free(fleet.limits[i]);
		g_free(fleet.names[i]);
	}
}

/* Tells the node that the nodes from first to last are active. */
static void
set_view(int node, int first, int last)
{
	GPtrArray *names = g_ptr_array_new();

	for (int i = first; i <= last; i++)
		g_ptr_array_add(names, fleet.names[i]);
	cold_limit_set_nodes(fleet.limits[node], names);
	g_ptr_array_unref(names);
}

static void
set_views(int nodes)
{
	for (int i = 0; i < nodes; i++)
		set_view(i, 0, nodes - 1);
}

/* Sends what the node's limit allows. */
static unsigned
send_turns(int node, uint32_t server_tag, int64_t now_ms)
{
	unsigned turns = cold_limit_turns_left(
	    fleet.limits[node], server_tag, &fleet.sent[node], RATE, now_ms);

	for (unsigned i = 0; i < turns; i++)
		cold_turns_count(&fleet.sent[node], now_ms);
	return turns;
}

typedef struct flood {
	unsigned most_in_a_second;
	unsigned total;
} flood_t;

/* All nodes have a request for the server in every millisecond. */
static flood_t
flood(int nodes, uint32_t server_tag)
{
	unsigned *arrivals = g_new0(unsigned, DURATION_MS);
	unsigned in_second = 0;
	flood_t result = {0};

	memset(fleet.sent, 0, sizeof(fleet.sent));
	for (int ms = 0; ms < DURATION_MS; ms++) {
		for (int node = 0; node < nodes; node++)
			arrivals[ms] +=
			    send_turns(node, server_tag, START_MS + ms);
		result.total += arrivals[ms];
		in_second += arrivals[ms];
		if (ms >= SECOND_MS)
			in_second -= arrivals[ms - SECOND_MS];
		result.most_in_a_second =
		    MAX(result.most_in_a_second, in_second);
	}
	g_free(arrivals);
	return result;
}

/*
 * Guards against many nodes that each see an idle server, and against a limit
 * that leaves much of the server's rate unused.
 */
START_TEST(a_large_fleet_keeps_the_limit)
{
	set_views(NODES);
	for (uint32_t tag = 0; tag < SERVERS; tag++) {
		flood_t result = flood(NODES, tag * 7919);

		ck_assert_uint_le(result.most_in_a_second, RATE);
		ck_assert_uint_ge(result.total,
		    (unsigned)(0.9 * RATE * DURATION_MS / SECOND_MS));
	}
}
END_TEST

/* The check above finds a limit that each node applies alone. */
START_TEST(a_limit_of_each_node_alone_is_found)
{
	for (int i = 0; i < NODES; i++)
		set_view(i, i, i);
	ck_assert_uint_gt(flood(NODES, 7).most_in_a_second, BOUND);
}
END_TEST

/* Guards against a small fleet that leaves the rate unused or exceeds it. */
START_TEST(a_small_fleet_shares_the_limit)
{
	for (int nodes = 1; nodes < RATE; nodes++) {
		unsigned share = (unsigned)(RATE / nodes);

		set_views(nodes);
		ck_assert_uint_eq(
		    flood(nodes, 7).most_in_a_second, share * (unsigned)nodes);
	}
}
END_TEST

/* Guards against owners of all servers that are the same few nodes. */
START_TEST(owners_differ_by_server)
{
	unsigned owned[NODES] = {0};

	set_views(NODES);
	for (uint32_t tag = 0; tag < SERVERS; tag++)
		for (int node = 0; node < NODES; node++)
			owned[node] += cold_limit_turns_left(fleet.limits[node],
			    tag * 7919, &fleet.sent[node], RATE, START_MS);
	for (int node = 0; node < NODES; node++) {
		ck_assert_uint_ge(owned[node], SERVERS / 5);
		ck_assert_uint_le(owned[node], SERVERS * 4 / 5);
	}
}
END_TEST

/*
 * Guards against a fleet that is split into halves, each of which has replaced
 * the other one's active nodes: the nodes that were active still count.
 */
START_TEST(two_halves_of_a_fleet_keep_the_bound)
{
	/* Of the nodes 8 to 39, half is at each side. */
	for (int i = 0; i < MORE_NODES / 2; i++)
		set_view(i, 0, 39);
	for (int i = MORE_NODES / 2; i < MORE_NODES; i++)
		set_view(i, 8, MORE_NODES - 1);
	for (uint32_t tag = 0; tag < SERVERS; tag++)
		ck_assert_uint_le(
		    flood(MORE_NODES, tag * 7919).most_in_a_second, BOUND);
}
END_TEST

/*
 * Guards against requests of a node that is on standby, or does not know who is
 * active, and against a refusal that tells such a node's clients to come soon.
 */
START_TEST(a_node_that_is_not_active_sends_nothing)
{
	ck_assert_uint_eq(send_turns(0, 7, START_MS), 0);
	set_view(0, 1, 4);
	ck_assert_uint_eq(send_turns(0, 7, START_MS), 0);
	ck_assert_int_eq(cold_limit_next_turn_ms(fleet.limits[0], 7,
			     &fleet.sent[0], RATE, START_MS),
	    INT64_MAX);
	set_view(0, 0, 4);
	ck_assert_uint_eq(send_turns(0, 7, START_MS), RATE / 5);
	/* It has lost contact since. */
	set_view(0, 1, 0);
	ck_assert_uint_eq(send_turns(0, 7, START_MS + 5 * SECOND_MS), 0);
}
END_TEST

/* Guards against a Retry-After at which there is no turn, or long after it. */
START_TEST(the_next_turn_is_when_it_is_said_to_be)
{
	set_view(0, 0, 4);
	for (int64_t start_ms = START_MS; start_ms < START_MS + 200;
	     start_ms += 7) {
		cold_turns_t sent = {0};
		int64_t next_ms;

		for (int i = 0; i < RATE / 5; i++) {
			ck_assert_int_eq(
			    cold_limit_next_turn_ms(fleet.limits[0], 7, &sent,
				RATE, start_ms + i * 300),
			    start_ms + i * 300);
			cold_turns_count(&sent, start_ms + i * 300);
		}
		next_ms = cold_limit_next_turn_ms(
		    fleet.limits[0], 7, &sent, RATE, start_ms + 700);
		ck_assert_int_gt(next_ms, start_ms + SECOND_MS);
		ck_assert_int_le(next_ms, start_ms + SECOND_MS + 100);
		ck_assert_uint_eq(cold_limit_turns_left(fleet.limits[0], 7,
				      &sent, RATE, next_ms - 1),
		    0);
		ck_assert_uint_eq(cold_limit_turns_left(
				      fleet.limits[0], 7, &sent, RATE, next_ms),
		    1);
	}
}
END_TEST

/* Guards against a limit below one that no node ever uses. */
START_TEST(a_limit_below_one_allows_one)
{
	set_view(0, 0, 0);
	ck_assert_uint_eq(cold_limit_turns_left(fleet.limits[0], 7,
			      &fleet.sent[0], 0.5, START_MS),
	    1);
}
END_TEST

/* Guards against turns that less urgent requests take from urgent ones. */
START_TEST(less_urgent_requests_leave_turns_to_urgent_ones)
{
	cold_limit_t *limit = fleet.limits[0];

	ck_assert(!cold_limit_yields(limit, "s", 1, START_MS));
	cold_limit_count_urgent(limit, "s", START_MS);
	cold_limit_count_urgent(limit, "s", START_MS + 100);
	ck_assert(cold_limit_yields(limit, "s", 2, START_MS + 200));
	ck_assert(!cold_limit_yields(limit, "s", 3, START_MS + 200));
	ck_assert(!cold_limit_yields(limit, "other", 1, START_MS + 200));
	/* No urgent request has come for a while. */
	ck_assert(!cold_limit_yields(limit, "s", 1, START_MS + 1300));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("cold_limit");
	TCase *cases = tcase_create("cold_limit");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, a_large_fleet_keeps_the_limit);
	tcase_add_test(cases, a_limit_of_each_node_alone_is_found);
	tcase_add_test(cases, a_small_fleet_shares_the_limit);
	tcase_add_test(cases, owners_differ_by_server);
	tcase_add_test(cases, two_halves_of_a_fleet_keep_the_bound);
	tcase_add_test(cases, a_node_that_is_not_active_sends_nothing);
	tcase_add_test(cases, the_next_turn_is_when_it_is_said_to_be);
	tcase_add_test(cases, a_limit_below_one_allows_one);
	tcase_add_test(cases, less_urgent_requests_leave_turns_to_urgent_ones);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
