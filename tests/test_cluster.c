#include "clock.h"
#include "cluster.h"
#include "digest.h"
#include "suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A node whose peers are digests sent by the test over the loopback. */

enum {
	TESTS = 3,
	NODES = 7,
	RATE = 10000,
	BURST = 10000,
	WINDOW_MS = 8000,
	WAIT_MS = 100,
	US_PER_MS = 1000,
	MINUTE_MS = 60000,
};

/* A cluster cannot be stopped, so each test starts another one. */
static struct node {
	uv_loop_t loop;
	gateway_config_t config;
	quota_t *quota;
	cluster_t *cluster;
} nodes_under_test[TESTS], *node = nodes_under_test;

static int peer_socket; /* sends the digests of peer n1 */

static int
bind_udp_socket(int *port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(
	    getsockname(fd, (struct sockaddr *)&address, &length), 0);
	*port = ntohs(address.sin_port);
	return fd;
}

static void
configure_quota(void)
{
	catalog_t *catalog = catalog_new();
	catalog_workspace_t *workspace = g_new0(catalog_workspace_t, 1);

	workspace->name = g_strdup("depot");
	workspace->rate_per_s = RATE;
	workspace->burst = BURST;
	catalog_add_workspace(catalog, workspace);
	quota_configure(node->quota, catalog, clock_boot_ms());
	catalog_unref(catalog);
}

static void
setup(void)
{
	int port, fd = bind_udp_socket(&port);

	close(fd);
	uv_loop_init(&node->loop);
	node->config = (gateway_config_t){.name = "n0",
	    .ip = "127.0.0.1",
	    .client_address = "127.0.0.1:1",
	    .peer_port = port};
	node->quota = quota_new(&(quota_options_t){.window_ms = WINDOW_MS});
	node->cluster = cluster_start(&node->loop,
	    &(cluster_options_t){.config = &node->config,
		.pool = pool_new(&node->loop, WINDOW_MS),
		.quota = node->quota,
		.usage = usage_new(WINDOW_MS),
		.crash_guard = crash_guard_new(),
		.overload = overload_new(),
		.rollouts = rollouts_new(
		    &(rollouts_options_t){.config = &node->config})},
	    NULL);
	ck_assert_ptr_nonnull(node->cluster);
	uv_run(&node->loop, UV_RUN_NOWAIT);
	configure_quota();
	peer_socket = bind_udp_socket(&port);
}

static void
teardown(void)
{
	close(peer_socket);
	node++;
}

static double
spend_until_refused(void)
{
	double spent = 0;

	while (
	    quota_take(node->quota, "depot", 1, QUOTA_URGENT, clock_boot_ms())
		.allowed)
		spent++;
	return spent;
}

/*
 * Guards against nodes that start together and each spend the whole quota until
 * they receive each other's digests.
 */
START_TEST(registered_nodes_reduce_the_quota_share_at_startup)
{
	for (int i = 1; i < NODES; i++) {
		char *name = g_strdup_printf("n%d", i);

		cluster_put_node(node->cluster, name, "127.0.0.1:9");
		g_free(name);
	}
	cluster_apply_registrations(node->cluster);
	spend_until_refused();
	g_usleep(WAIT_MS * US_PER_MS);
	/* Twice the node's share leaves room for a slow machine. */
	ck_assert_double_le(
	    spend_until_refused(), 2.0 * RATE * WAIT_MS / 1000 / NODES * 1.2);
}
END_TEST

/* Sends a digest of a peer that started uptime_ms ago. */
static void
send_digest(double spent_units, double peer_level, int64_t uptime_ms)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)node->config.peer_port)};
	digest_spending_t spending = {.workspace = g_strdup("depot"),
	    .spent_units = spent_units,
	    .bucket_level = peer_level};
	digest_t *digest = digest_new();
	GByteArray *bytes = g_byte_array_new();

	digest->node = g_strdup("n1");
	digest->client_address = g_strdup("127.0.0.1:2");
	digest->incarnation = clock_wall_ms() - uptime_ms;
	digest->sequence = 1;
	g_array_append_val(digest->spending, spending);
	digest_encode(digest, bytes);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(sendto(peer_socket, bytes->data, bytes->len, 0,
			     (struct sockaddr *)&address, sizeof(address)),
	    (int)bytes->len);
	g_usleep(WAIT_MS * US_PER_MS);
	uv_run(&node->loop, UV_RUN_NOWAIT);
	g_byte_array_unref(bytes);
	digest_free(digest);
}

static void
store_level(const quota_state_t *state, void *data)
{
	*(double *)data = state->level;
}

static double
bucket_level(void)
{
	double found = 0;

	quota_each(node->quota, clock_boot_ms(), store_level, &found);
	return found;
}

/* Guards against ignoring the spending of nodes that start together. */
START_TEST(spending_of_a_peer_started_together_is_applied)
{
	send_digest(5000, 0, 0);
	ck_assert_double_lt(bucket_level(), 0);
}
END_TEST

/*
 * Guards against charging all units that an older peer has spent since its
 * start to the present window.
 */
START_TEST(bucket_level_of_an_older_peer_is_adopted)
{
	send_digest(1e9, 4000, MINUTE_MS);
	ck_assert_double_ge(bucket_level(), 4000);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("cluster");
	TCase *cases = tcase_create("cluster");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(
	    cases, registered_nodes_reduce_the_quota_share_at_startup);
	tcase_add_test(cases, spending_of_a_peer_started_together_is_applied);
	tcase_add_test(cases, bucket_level_of_an_older_peer_is_adopted);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
