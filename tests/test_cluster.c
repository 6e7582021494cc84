#include "clock.h"
#include "cluster.h"
#include "digest.h"
#include "relay.h"
#include "suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A node whose peers are digests sent by the test over the loopback. */

enum {
	TESTS = 9,
	NODES = 7,
	RATE = 10000,
	BURST = 10000,
	WINDOW_MS = 8000,
	WAIT_MS = 100,
	/* From ready until a node's view of the fleet counts. */
	SETTLED_MS = 1100,
	US_PER_MS = 1000,
	MINUTE_MS = 60000,
	/* More than can be active. */
	LARGE_FLEET = 40,
};

/* A cluster cannot be stopped, so each test starts another one. */
static struct node {
	uv_loop_t loop;
	gateway_config_t config;
	quota_t *quota;
	cluster_t *cluster;
} nodes_under_test[TESTS], *node = nodes_under_test;

static int peer_socket; /* sends the digests of the peers */
static int peer_port;

/* What the peers' digests say of the store, and what the node learns. */
static cluster_local_state_t told, learned;

static void
on_peer_era(int64_t era, void *data)
{
	learned.store_era = era;
}

static void
on_peer_record(int64_t window, void *data)
{
	learned.recorded_window = window;
}

static void
on_newer_configuration(void *data)
{
	learned.configuration_version++;
}

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
ignore_response(const relay_response_t *response, void *data)
{
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
		.on_relay_response = ignore_response,
		.on_peer_era = on_peer_era,
		.on_peer_record = on_peer_record,
		.on_newer_configuration = on_newer_configuration,
		.rollouts = rollouts_new(
		    &(rollouts_options_t){.config = &node->config})},
	    NULL);
	ck_assert_ptr_nonnull(node->cluster);
	uv_run(&node->loop, UV_RUN_NOWAIT);
	configure_quota();
	peer_socket = bind_udp_socket(&peer_port);
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

static void
send_datagram(const GByteArray *bytes)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)node->config.peer_port)};

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(sendto(peer_socket, bytes->data, bytes->len, 0,
			     (struct sockaddr *)&address, sizeof(address)),
	    (int)bytes->len);
}

/* Sends a digest of a peer that started uptime_ms ago. */
static void
send_digest(double spent_units, double peer_level, int64_t uptime_ms)
{
	digest_spending_t spending = {.workspace = g_strdup("depot"),
	    .spent_units = spent_units,
	    .bucket_level = peer_level};
	digest_t *digest = digest_new();
	GByteArray *bytes = g_byte_array_new();

	digest->node = g_strdup("n1");
	digest->client_address = g_strdup("127.0.0.1:2");
	digest->incarnation = clock_wall_ms() - uptime_ms;
	digest->sequence = 1;
	digest->store_era = told.store_era;
	digest->recorded_window = told.recorded_window;
	digest->configuration_version = told.configuration_version;
	g_array_append_val(digest->spending, spending);
	digest_encode(digest, bytes);
	send_datagram(bytes);
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

/*
 * Guards against a node that does not learn of a restored store, and against
 * one that believes it of a sender that is no node.
 */
START_TEST(what_a_peer_knows_of_the_store_is_passed_on)
{
	told = (cluster_local_state_t){
	    .configuration_version = 9, .store_era = 2, .recorded_window = 70};
	send_digest(0, 0, -1);
	ck_assert_int_eq(learned.store_era + learned.recorded_window, 0);
	cluster_put_node(node->cluster, "n1", "127.0.0.1:9");
	send_digest(0, 0, 0);
	ck_assert_int_eq(learned.store_era, 2);
	ck_assert_int_eq(learned.recorded_window, 70);
	ck_assert_int_eq(
	    cluster_newest_configuration(node->cluster, false, clock_boot_ms()),
	    9);
	/* It does not say that it is ready. */
	ck_assert_int_eq(
	    cluster_newest_configuration(node->cluster, true, clock_boot_ms()),
	    0);
	learned = (cluster_local_state_t){0};
	cluster_set_local_state(node->cluster, &told);
	send_digest(0, 0, -1);
	ck_assert_int_eq(learned.store_era + learned.recorded_window, 0);
	told = learned;
}
END_TEST

static unsigned
count_active_names(void)
{
	GPtrArray *names = cluster_active_names(node->cluster);
	unsigned count = names->len;

	g_ptr_array_unref(names);
	return count;
}

/* Makes the node ready and waits until its view of the fleet counts. */
static void
become_ready(void)
{
	cluster_local_state_t state = {.ready = true};

	cluster_set_local_state(node->cluster, &state);
	ck_assert_uint_eq(count_active_names(), 0);
	g_usleep(SETTLED_MS * US_PER_MS);
	cluster_set_local_state(node->cluster, &state);
}

/*
 * Guards against a node that has lost contact and takes the other nodes' turns
 * at cold servers.
 */
START_TEST(a_node_that_reaches_few_nodes_names_no_active_ones)
{
	cluster_put_node(node->cluster, "n1", "127.0.0.1:9");
	cluster_put_node(node->cluster, "n2", "127.0.0.1:9");
	become_ready();
	ck_assert_uint_eq(count_active_names(), 0);
	send_digest(0, 0, 0);
	/* The unreachable one still counts. */
	ck_assert_uint_eq(count_active_names(), 3);
	cluster_remove_node(node->cluster, "n2");
	ck_assert_uint_eq(count_active_names(), 2);
}
END_TEST

/* Guards against a single node that takes itself for cut off. */
START_TEST(a_single_node_is_active)
{
	become_ready();
	ck_assert_uint_eq(count_active_names(), 1);
}
END_TEST

/*
 * Registers a large fleet that is ready, and applies a digest of each peer:
 * p1 to p4 in region "abroad", the others at home as this node.
 */
static void
start_large_fleet(void)
{
	char *address = g_strdup_printf("127.0.0.1:%d", peer_port);

	node->config.zone = (char *)"z";
	node->config.region = (char *)"home";
	node->config.regions = region_map_new();
	region_map_add(node->config.regions, "z", "home");
	region_map_add(node->config.regions, "y", "abroad");
	for (int i = 1; i < LARGE_FLEET; i++) {
		digest_t *digest = digest_new();
		GByteArray *bytes = g_byte_array_new();

		digest->node = g_strdup_printf("p%d", i);
		digest->client_address = g_strdup_printf("127.0.0.2:%d", i);
		digest->incarnation = clock_wall_ms();
		digest->sequence = 1;
		digest->ready = true;
		/* Those abroad are the last ones by size. */
		digest->processors = i <= 4 ? 0.1 : 1;
		digest->zone = g_strdup(i <= 4 ? "y" : "z");
		cluster_put_node(node->cluster, digest->node, address);
		digest_encode(digest, bytes);
		send_datagram(bytes);
		g_byte_array_unref(bytes);
		digest_free(digest);
	}
	g_free(address);
	cluster_set_local_state(
	    node->cluster, &(cluster_local_state_t){.ready = true});
	/*
	 * The loop reads 32 datagrams at a time, and the active nodes are
	 * selected again once they are all known.
	 */
	for (int i = 0; i < 4; i++) {
		g_usleep(WAIT_MS * US_PER_MS);
		uv_run(&node->loop, UV_RUN_NOWAIT);
	}
}

static unsigned
count_hosts(const char *region, bool active)
{
	GArray *hosts = cluster_find_hosts(node->cluster);
	unsigned count = 0;

	for (guint i = 0; i < hosts->len; i++) {
		const region_host_t *host =
		    &g_array_index(hosts, region_host_t, i);

		ck_assert(host->ready);
		if (g_strcmp0(host->region, region) == 0 &&
		    host->active == active)
			count++;
	}
	g_array_unref(hosts);
	return count;
}

/*
 * Guards against a large fleet in which no host of a region is active or known,
 * as all of them are smaller than the others.
 */
START_TEST(a_large_fleet_has_active_hosts_in_each_region)
{
	start_large_fleet();
	ck_assert_uint_eq(count_hosts("abroad", true), 4);
	ck_assert_uint_eq(count_hosts("home", true), 28);
	ck_assert_uint_eq(count_hosts("home", false), LARGE_FLEET - 32);
}
END_TEST

/*
 * Guards against a node on standby that does not know the regions of the active
 * nodes, whose addresses it gets from a relay: none of them is abroad.
 */
START_TEST(a_node_on_standby_knows_the_regions_of_relayed_hosts)
{
	GPtrArray *addresses = g_ptr_array_new();
	relay_state_t state = {.client_addresses = addresses};
	relay_request_t request = {0};
	relay_log_t *log = relay_log_new();
	GByteArray *bytes = g_byte_array_new();

	start_large_fleet();
	g_ptr_array_add(addresses, (char *)"127.0.0.2:5");
	g_ptr_array_add(addresses, (char *)"127.0.0.2:6");
	relay_encode_response(log, &request, &state, bytes);
	send_datagram(bytes);
	g_usleep(WAIT_MS * US_PER_MS);
	uv_run(&node->loop, UV_RUN_NOWAIT);
	ck_assert_uint_eq(count_hosts("home", true), 2);
	ck_assert_uint_eq(count_hosts("abroad", true), 0);
	ck_assert_uint_eq(count_hosts("abroad", false), 4);
	/* With itself. */
	ck_assert_uint_eq(count_hosts("home", false), LARGE_FLEET - 2 - 4);
	relay_log_free(log);
	g_ptr_array_unref(addresses);
	g_byte_array_unref(bytes);
}
END_TEST

/* Zone in the digest that this node sends to a peer. Free with g_free(). */
static char *
sent_zone(void)
{
	char bytes[4096];
	ssize_t length;
	digest_t *digest;
	char *zone;

	cluster_broadcast_digest(node->cluster);
	length = recv(peer_socket, bytes, sizeof(bytes), 0);
	ck_assert_int_gt(length, 0);
	digest = digest_decode(bytes, (size_t)length);
	ck_assert_ptr_nonnull(digest);
	zone = g_strdup(digest->zone);
	digest_free(digest);
	return zone;
}

/* Guards against other digests than before where there is one region. */
START_TEST(digests_have_a_zone_with_several_regions_only)
{
	char *address = g_strdup_printf("127.0.0.1:%d", peer_port);
	char *zone;

	cluster_put_node(node->cluster, "n1", address);
	node->config.zone = (char *)"z1";
	node->config.regions = region_map_new();
	region_map_add(node->config.regions, "z1", "home");
	region_map_add(node->config.regions, "z2", "home");
	ck_assert_ptr_null(sent_zone());
	region_map_add(node->config.regions, "z3", "abroad");
	zone = sent_zone();
	ck_assert_str_eq(zone, "z1");
	g_free(zone);
	g_free(address);
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
	tcase_add_test(cases, what_a_peer_knows_of_the_store_is_passed_on);
	tcase_add_test(
	    cases, a_node_that_reaches_few_nodes_names_no_active_ones);
	tcase_add_test(cases, a_single_node_is_active);
	tcase_add_test(cases, digests_have_a_zone_with_several_regions_only);
	tcase_add_test(cases, a_large_fleet_has_active_hosts_in_each_region);
	tcase_add_test(
	    cases, a_node_on_standby_knows_the_regions_of_relayed_hosts);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
