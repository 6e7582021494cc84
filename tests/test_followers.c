#include "suite.h"
#include "support_gateway.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A fleet in which most nodes get the store's changes from a few relays. */

enum {
	NODES = 14,
	RELAYS = 4,
	STARTUP_MS = 4000,
	COUNT_MS = 4000,
	/* Time within which a new configuration must apply on every node. */
	CHANGE_TIMEOUT_MS = 2000,
	POLL_MS = 50,
	/* Two requests of a node on standby to its relay. */
	ERA_DELIVERY_MS = 800,
	US_PER_MS = 1000,
};

static program_t *nodes[NODES];

/* Number of successful watches of the store that a node has made. */
static double
watch_count(const program_t *node)
{
	return gateway_metric(
	    node, "store_calls_total{call=\"watch\",result=\"ok\"}");
}

static void
start_fleet(void)
{
	/* With no server listed, bookings are rejected at once. */
	gateway_store_remove("servers/i-1");
	for (int i = 0; i < NODES; i++) {
		char *name = g_strdup_printf("f%d", i);

		nodes[i] = i == 0 ? gateway_node : gateway_start(name);
		g_free(name);
	}
	g_usleep(STARTUP_MS * US_PER_MS);
}

/* Checks that every running node rejects a withdrawn key in time. */
static void
expect_key_rejected(const char *key)
{
	gint64 deadline_us =
	    g_get_monotonic_time() + CHANGE_TIMEOUT_MS * US_PER_MS;

	for (int i = 0; i < NODES; i++) {
		if (nodes[i] == NULL)
			continue;
		while (gateway_booking_status(nodes[i], key) != 401) {
			ck_assert_msg(g_get_monotonic_time() < deadline_us,
			    "node %d still accepts key %s", i, key);
			g_usleep(POLL_MS * US_PER_MS);
		}
	}
}

/* Counts the watches of each node during COUNT_MS. */
static void
count_watches(double *counts)
{
	for (int i = 0; i < NODES; i++)
		counts[i] = watch_count(nodes[i]);
	g_usleep(COUNT_MS * US_PER_MS);
	for (int i = 0; i < NODES; i++)
		counts[i] = watch_count(nodes[i]) - counts[i];
}

static int
compare_counts(const void *left, const void *right)
{
	double a = *(const double *)left, b = *(const double *)right;

	return (a > b) - (a < b);
}

/* Guards against store calls that grow with the fleet, and lost changes. */
START_TEST(most_nodes_follow_relays_and_receive_changes)
{
	double counts[NODES], follower_watches = 0;

	start_fleet();
	count_watches(counts);
	qsort(counts, NODES, sizeof(counts[0]), compare_counts);
	for (int i = 0; i < NODES - RELAYS; i++)
		follower_watches += counts[i];
	/* Without relays each makes about 12; each late response adds one. */
	ck_assert_double_le(follower_watches, NODES - RELAYS);
	gateway_configure(2, "[\"key-1\"]");
	expect_key_rejected("key-2");
}
END_TEST

/* Guards against followers that get no changes after their relays have died. */
START_TEST(followers_watch_after_their_relays_die)
{
	double counts[NODES], most_watches;
	int relay;

	start_fleet();
	count_watches(counts);
	for (int killed = 0; killed < RELAYS; killed++) {
		most_watches = -1;
		relay = 0;
		for (int i = 0; i < NODES; i++) {
			if (nodes[i] == NULL || counts[i] <= most_watches)
				continue;
			most_watches = counts[i];
			relay = i;
		}
		program_end(nodes[relay], SIGKILL);
		nodes[relay] = NULL;
	}
	gateway_configure(2, "[\"key-1\"]");
	expect_key_rejected("key-2");
}
END_TEST

static void
call_store(const char *path)
{
	test_response_free(test_request_json(
	    platform_standin, "POST", path, json_object(), 200));
}

/*
 * Guards against followers that learn only by a call of their own that the
 * store came back from a copy: until then they pass over changes.
 */
START_TEST(followers_learn_of_a_restoration_from_relays)
{
	start_fleet();
	call_store("/snapshot");
	call_store("/restore");
	g_usleep(ERA_DELIVERY_MS * US_PER_MS);
	for (int i = 0; i < NODES; i++)
		ck_assert_msg(
		    gateway_metric(nodes[i], "store_restored_total") > 0,
		    "node %d does not know of the restoration", i);
	gateway_configure(2, "[\"key-1\"]");
	expect_key_rejected("key-2");
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("followers");
	TCase *cases = tcase_create("followers");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(cases, most_nodes_follow_relays_and_receive_changes);
	tcase_add_test(cases, followers_watch_after_their_relays_die);
	tcase_add_test(cases, followers_learn_of_a_restoration_from_relays);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
