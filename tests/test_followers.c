#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A fleet so large that most nodes learn the store's changes from a few. */

enum {
	NODES = 14,
	RELAYS = 4,
	METRICS_PORT_OFFSET = 4,
	SETTLE_MS = 4000,
	LOOK_MS = 4000,
	/* Changes arrive within the bound for configurations. */
	CHANGE_MS = 2000,
	STEP_MS = 50,
	US_PER_MS = 1000,
};

static program_t *nodes[NODES];

/* Watches of the store that a node has made. */
static double
watches(const program_t *node)
{
	const char *colon = strrchr(node->address, ':');
	char *address = g_strdup_printf(
	    "127.0.0.1:%d", atoi(colon + 1) + METRICS_PORT_OFFSET);
	program_t metrics = {.address = address};
	double count = counter_read(
	    &metrics, "store_calls_total{call=\"watch\",result=\"ok\"}");

	g_free(address);
	return count;
}

static void
start_fleet(void)
{
	/* Bookings are refused at once, so that no one has to answer them. */
	gateway_store_remove("servers/i-1");
	for (int i = 0; i < NODES; i++) {
		char *name = g_strdup_printf("f%d", i);

		nodes[i] = i == 0 ? gateway_node : gateway_start(name);
		g_free(name);
	}
	g_usleep(SETTLE_MS * US_PER_MS);
}

/* Status of a request with a key that the node may not know any more. */
static unsigned
status_with(const program_t *node, const char *key)
{
	char *booking = gateway_format_request("/book/", "id-1", key);
	int fd = wire_connect(node->address);
	char *message;
	unsigned status;

	wire_send(fd, booking);
	message = wire_read_message(fd);
	status = (unsigned)strtoul(message + strlen("HTTP/1.1 "), NULL, 10);
	g_free(message);
	g_free(booking);
	close(fd);
	return status;
}

/* Expects all nodes that run to refuse a withdrawn key in time. */
static void
expect_withdrawn(const char *key)
{
	gint64 end = g_get_monotonic_time() + CHANGE_MS * US_PER_MS;

	for (int i = 0; i < NODES; i++) {
		if (nodes[i] == NULL)
			continue;
		while (status_with(nodes[i], key) != 401) {
			ck_assert_msg(g_get_monotonic_time() < end,
			    "node %d still takes %s", i, key);
			g_usleep(STEP_MS * US_PER_MS);
		}
	}
}

/* What each node watches in LOOK_MS. */
static void
look(double *counts)
{
	for (int i = 0; i < NODES; i++)
		counts[i] = watches(nodes[i]);
	g_usleep(LOOK_MS * US_PER_MS);
	for (int i = 0; i < NODES; i++)
		counts[i] = watches(nodes[i]) - counts[i];
}

static int
compare_counts(const void *left, const void *right)
{
	double a = *(const double *)left, b = *(const double *)right;

	return (a > b) - (a < b);
}

/* Guards against calls that grow with the nodes, and changes that get lost. */
START_TEST(most_nodes_follow_and_hear_of_changes)
{
	double counts[NODES], followers = 0;

	start_fleet();
	look(counts);
	qsort(counts, NODES, sizeof(counts[0]), compare_counts);
	for (int i = 0; i < NODES - RELAYS; i++)
		followers += counts[i];
	/* Each would make a dozen by itself; a late answer costs one. */
	ck_assert_double_le(followers, NODES - RELAYS);
	gateway_configure(2, "[\"key-1\"]");
	expect_withdrawn("key-2");
}
END_TEST

/* Guards against followers that hear nothing once their relays are gone. */
START_TEST(followers_watch_when_their_relays_are_gone)
{
	double counts[NODES], most;
	int relay;

	start_fleet();
	look(counts);
	for (int killed = 0; killed < RELAYS; killed++) {
		most = -1;
		relay = 0;
		for (int i = 0; i < NODES; i++) {
			if (nodes[i] == NULL || counts[i] <= most)
				continue;
			most = counts[i];
			relay = i;
		}
		program_end(nodes[relay], SIGKILL);
		nodes[relay] = NULL;
	}
	gateway_configure(2, "[\"key-1\"]");
	expect_withdrawn("key-2");
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
	tcase_add_test(cases, most_nodes_follow_and_hear_of_changes);
	tcase_add_test(cases, followers_watch_when_their_relays_are_gone);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
