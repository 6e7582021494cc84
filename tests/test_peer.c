#include "suite.h"
#include "support.h"

#include <arpa/inet.h>
#include <check.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	ZONES = 3,
	NODES_MAX = 10,
	WORKSPACES = 20,
	LEASE_MS = 10000,
};

static program_t *store, *cloud, *engines[ZONES], *nodes[NODES_MAX];
static int node_count;

static char *
zone_name(int index)
{
	return g_strdup_printf("zone-%c", 'a' + index % ZONES);
}

static void
start_node(json_t *extra)
{
	char *name = g_strdup_printf("n%d", node_count);
	char *zone = zone_name(node_count);
	char *url = g_strdup_printf("http://%s", cloud->address);

	json_object_set_new(extra, "cloud", json_string(url));
	nodes[node_count] = papayad_start(name, zone, store, "t1", extra);
	node_count++;
	g_free(name);
	g_free(zone);
	g_free(url);
}

static void
stop_all(void)
{
	programs_end();
	memset(nodes, 0, sizeof(nodes));
	node_count = 0;
}

/* State of a node as another sees it; "" where it is not known. */
static char *
state_seen(int by, int of)
{
	test_response_t *answer =
	    test_request_json(nodes[by], "GET", "/v1/admin/nodes", NULL, 200);
	char *name = g_strdup_printf("n%d", of);
	char *state = NULL;
	const json_t *entry;
	size_t i;

	json_array_foreach (json_object_get(answer->json, "nodes"), i, entry)
		if (strcmp(json_string_value(json_object_get(entry, "node")),
			name) == 0)
			state = g_strdup(
			    json_string_value(json_object_get(entry, "state")));
	g_free(name);
	test_response_free(answer);
	return state != NULL ? state : g_strdup("");
}

/* Number of entry lists, of WORKSPACES, in which a node gives an address. */
static int
listings(const program_t *by, const char *address)
{
	int found = 0;

	for (int w = 0; w < WORKSPACES; w++) {
		char *path = g_strdup_printf("/v1/entry?workspace=w%d", w);
		test_response_t *answer =
		    test_request_json(by, "GET", path, NULL, 200);
		const json_t *entry;
		size_t i;

		json_array_foreach (
		    json_object_get(answer->json, "entries"), i, entry)
			found += strcmp(json_string_value(
					    json_object_get(entry, "address")),
				     address) == 0;
		test_response_free(answer);
		g_free(path);
	}
	return found;
}

static bool
all_see(int of, const char *state, unsigned except)
{
	bool all = true;

	for (int by = 0; all && by < node_count; by++) {
		char *seen;

		if (except & 1u << by)
			continue;
		seen = state_seen(by, of);
		all = strcmp(seen, state) == 0;
		g_free(seen);
	}
	return all;
}

static bool
are_all_live(void *data)
{
	for (int of = 0; of < node_count; of++)
		if (!all_see(of, "live", 0))
			return false;
	return true;
}

static void
start_nodes(int count, int mesh_max)
{
	store = program_start("standin-store", NULL);
	cloud = program_start("standin-cloud", NULL);
	for (int i = 0; i < count; i++)
		start_node(json_pack("{s:i}", "mesh_max", mesh_max));
	wait_until(are_all_live, NULL);
}

/* Guards against nodes that refuse each other's messages unnoticed. */
static void
check_no_refusal(void)
{
	static const char *const counters[] = {"peer_bad_frames_total",
	    "peer_unexpected_messages_total", "peer_hellos_refused_total",
	    "peer_unsendable_messages_total", "peer_slow_disconnected_total"};

	for (int by = 0; by < node_count; by++)
		for (size_t i = 0; i < G_N_ELEMENTS(counters); i++)
			ck_assert_msg(
			    nodes[by] == NULL ||
				metric_read(nodes[by], counters[i]) == 0,
			    "n%d: %s is not 0", by, counters[i]);
}

typedef struct unlisted {
	const char *address;
	int of;
} unlisted_t;

static bool
is_unlisted(void *data)
{
	const unlisted_t *unlisted = data;

	for (int by = 0; by < node_count; by++)
		if (by != unlisted->of &&
		    listings(nodes[by], unlisted->address) > 0)
			return false;
	return true;
}

static bool
is_gone(void *data)
{
	int of = *(int *)data;

	return all_see(of, "gone", 1u << of);
}

/* Guards against clients being sent to a killed node. */
static void
check_killed(int killed)
{
	unlisted_t unlisted = {g_strdup(nodes[killed]->address), killed};

	ck_assert_int_gt(listings(nodes[0], unlisted.address), 0);
	program_end(nodes[killed], SIGKILL);
	nodes[killed] = NULL;
	wait_until(is_unlisted, &unlisted);
	wait_until(is_gone, &killed);
	g_free((char *)unlisted.address);
}

START_TEST(a_killed_node_leaves_the_entry_list)
{
	start_nodes(6, 0);
	check_killed(4);
	check_no_refusal();
}
END_TEST

static long
record_status(const char *name)
{
	char *path = g_strdup_printf("/v1/kv/node/%s", name);
	test_request_t ask = {.target = store, .path = path};
	test_response_t *answer = test_request_send(&ask);
	long status = answer->status;

	test_response_free(answer);
	g_free(path);
	return status;
}

/*
 * Guards against a planned stop that breaks requests: the node leaves every
 * entry list before it stops, and ends without error.
 */
START_TEST(a_drained_node_leaves_the_entry_list_first)
{
	program_t *drained;
	char *address;
	unlisted_t unlisted;
	int code;

	start_nodes(4, 0);
	drained = nodes[2];
	address = g_strdup(drained->address);
	unlisted = (unlisted_t){address, 2};
	kill(drained->pid, SIGTERM);
	code = program_wait(drained);
	nodes[2] = NULL;
	ck_assert_int_eq(code, 0);
	/* Told by the node itself, so there is nothing to wait for. */
	ck_assert(is_unlisted(&unlisted));
	ck_assert_int_eq(record_status("n2"), 404);
	check_no_refusal();
	g_free(address);
}
END_TEST

static bool
is_live_to_others(void *data)
{
	return all_see(*(int *)data, "live", 0);
}

/*
 * Guards against clients being sent to a paused node, and against a resumed
 * node that takes all others for dead or is never listed again.
 */
START_TEST(a_stopped_node_leaves_and_returns)
{
	int stopped = 1;
	unlisted_t unlisted = {NULL, stopped};

	start_nodes(6, 0);
	unlisted.address = nodes[stopped]->address;
	kill(nodes[stopped]->pid, SIGSTOP);
	wait_until(is_unlisted, &unlisted);
	kill(nodes[stopped]->pid, SIGCONT);
	for (int other = 0; other < node_count; other++) {
		char *seen = state_seen(stopped, other);

		ck_assert_str_eq(seen, "live");
		g_free(seen);
	}
	wait_until(is_live_to_others, &stopped);
	check_no_refusal();
}
END_TEST

static bool
is_registered(void *data)
{
	return record_status(data) == 200;
}

static bool
is_over(void *data)
{
	/* Nothing may change while the store is down. */
	ck_assert(are_all_live(NULL));
	return g_get_monotonic_time() > *(gint64 *)data;
}

static void
put_chat(int in_zone)
{
	json_t *backends = json_object();

	for (int i = 0; i < in_zone; i++) {
		char *zone = zone_name(i);
		char *host = g_strdup_printf("host-%d", i);
		char *name = g_strdup_printf("e%d", i);

		json_object_set_new(backends, name,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "address",
			engines[i]->address, "host", host, "zone", zone,
			"class", "a", "service", "chat", "version", "v1"));
		g_free(zone);
		g_free(host);
		g_free(name);
	}
	settings_put(nodes[0], "t1",
	    json_pack("{s:{s:{s:s,s:s,s:[s],s:i,s:{s:i,s:i,s:f},s:{s:i,s:i}}},"
		      "s:o,s:{s:{s:i,s:i,s:b}}}",
		"services", "chat", "kind", "model", "current", "v1",
		"versions", "v1", "timeout_ms", 20000, "slo", "first_token_ms",
		690, "between_tokens_ms", 61, "target", 0.95, "limit",
		"in_flight", 64, "waiting", 64, "backends", backends,
		"workspaces", "depot", "weight", 1, "priority", 1, "large", 1));
}

/* Every node reports that every node has the first revision in effect. */
static bool
is_everywhere(void *data)
{
	for (int by = 0; by < node_count; by++) {
		test_response_t *answer = test_request_json(
		    nodes[by], "GET", "/v1/admin/nodes", NULL, 200);
		const json_t *entry;
		int have = 0;
		size_t i;

		json_array_foreach (
		    json_object_get(answer->json, "nodes"), i, entry)
			have += json_integer_value(json_object_get(
				    json_object_get(entry, "revisions"),
				    "t1")) == 1;
		test_response_free(answer);
		if (have < node_count)
			return false;
	}
	return true;
}

/*
 * Guards against a store outage emptying the list, against a node that cannot
 * join by its peers meanwhile, and against records missing afterwards.
 */
START_TEST(a_store_outage_changes_no_membership)
{
	char *first, *second;
	gint64 end;

	start_nodes(4, 0);
	put_chat(0);
	wait_until(is_everywhere, NULL);
	first = node_peer_address(store, "n0");
	second = node_peer_address(store, "n1");
	faults_set(store, "{\"down\": true}");
	start_node(json_pack("{s:[s,s]}", "peers", first, second));
	wait_until(are_all_live, NULL);
	wait_until(is_everywhere, NULL);
	end = g_get_monotonic_time() + (LEASE_MS + 2000) * 1000LL;
	wait_until(is_over, &end);
	faults_set(store, "{\"down\": false}");
	wait_until(is_registered, "n0");
	wait_until(is_registered, "n4");
	ck_assert(are_all_live(NULL));
	check_no_refusal();
	g_free(first);
	g_free(second);
}
END_TEST

static long
complete(const program_t *node)
{
	static const char *const headers[] = {
	    "Papaya-Workspace: depot", "Content-Type: application/json", NULL};
	test_request_t ask = {.target = node,
	    .path = "/v1/completions",
	    .headers = headers,
	    .body = "{\"model\": \"t1/chat\", \"prompt\": \"p\", "
		    "\"max_tokens\": 2, \"stream\": false}"};
	test_response_t *answer = test_request_send(&ask);
	long status = answer->status;

	test_response_free(answer);
	return status;
}

static json_int_t
prompts(const program_t *engine)
{
	test_response_t *answer =
	    test_request_json(engine, "GET", "/stats", NULL, 200);
	json_int_t count =
	    json_integer_value(json_object_get(answer->json, "prompt_tokens"));

	test_response_free(answer);
	return count;
}

static bool
have_all_marked(void *data)
{
	static const char *const sources[] = {"notice", "list", "peer"};

	for (int by = 0; by < node_count; by++) {
		double marks = 0;

		for (size_t i = 0; i < G_N_ELEMENTS(sources); i++) {
			char *name = g_strdup_printf(
			    "leaving_hosts_total{source=\"%s\"}", sources[i]);

			marks += metric_read(nodes[by], name);
			g_free(name);
		}
		if (marks < 1)
			return false;
	}
	return true;
}

static void
start_engines(void)
{
	for (int i = 0; i < ZONES; i++) {
		char *host = g_strdup_printf("host-%d", i);
		char *zone = zone_name(i);

		engines[i] = program_start("standin-engine", NULL);
		test_response_free(test_request_json(cloud, "POST", "/v1/hosts",
		    json_pack("{s:s,s:s,s:s,s:b}", "host", host, "zone", zone,
			"class", "a", "reclaimable", 1),
		    201));
		g_free(host);
		g_free(zone);
	}
}

static void
check_zone_leaves(const char *faults, bool before_leave)
{
	gint64 start;
	json_int_t served;

	start_engines();
	put_chat(ZONES);
	wait_until(is_everywhere, NULL);
	for (int i = 0; i < 30; i++)
		ck_assert_int_eq(complete(nodes[i % node_count]), 200);
	start = g_get_monotonic_time();
	faults_set(cloud, faults);
	wait_until(have_all_marked, NULL);
	if (before_leave)
		ck_assert_int_lt(g_get_monotonic_time() - start, 2000000);
	served = prompts(engines[0]);
	for (int i = 0; i < 60; i++)
		ck_assert_int_eq(complete(nodes[i % node_count]), 200);
	ck_assert_int_eq(prompts(engines[0]), served);
	check_no_refusal();
}

/* Guards against new requests to a zone whose hosts have been given notice. */
START_TEST(a_reclaimed_zone_gets_no_new_request)
{
	start_nodes(6, 0);
	check_zone_leaves("{\"lag_ms\": 600000, \"notice_ms\": 2000, "
			  "\"reclaim_zone\": \"zone-a\"}",
	    true);
}
END_TEST

/* Guards against relying on notices alone: here only the list tells. */
START_TEST(a_lost_notice_is_made_up_by_the_list)
{
	start_nodes(6, 0);
	check_zone_leaves("{\"lag_ms\": 500, \"lose_notices\": 1, "
			  "\"notice_ms\": 2000, \"reclaim_zone\": \"zone-a\"}",
	    false);
}
END_TEST

static void
send_bytes(const char *address, const void *bytes, size_t length)
{
	char **parts = g_strsplit(address, ":", 2);
	struct sockaddr_in target = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)atoi(parts[1]))};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	ssize_t sent;

	inet_pton(AF_INET, parts[0], &target.sin_addr);
	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&target, sizeof(target)), 0);
	sent = send(fd, bytes, length, MSG_NOSIGNAL);
	ck_assert_int_ne(sent, 0);
	close(fd);
	g_strfreev(parts);
}

static bool
has_refused(void *data)
{
	return metric_read(nodes[0], "peer_bad_frames_total") >= 50;
}

/* Guards against a node disturbed by what is no frame of a node. */
START_TEST(garbage_on_the_peer_port_disturbs_nothing)
{
	/* A hello of node n1 with a bad address, then of n1's lower past. */
	static const char bad_hello[] =
	    "\0\0\0\x10\x96\x01\xa2n1\xa1z\xa1x\xa1y\x01\0\0\0";
	static const char old_hello[] = "\0\0\0\x28\x96\x01\xa2n1\xa6zone-b"
					"\xab"
					"127.0.0.1:1\xab"
					"127.0.0.1:2\x01\0\0\0\0\0";
	GRand *rand = g_rand_new_with_seed(7);
	char *address;

	start_nodes(4, 0);
	address = node_peer_address(store, "n0");
	for (int i = 0; i < 100; i++) {
		guint8 bytes[600];
		size_t length = 8 + (size_t)g_rand_int_range(rand, 0, 500);

		for (size_t at = 0; at < length; at++)
			bytes[at] = (guint8)g_rand_int(rand);
		/* Half of them with a length that fits. */
		if (i % 2 == 0) {
			bytes[0] = bytes[1] = 0;
			bytes[2] = (guint8)((length - 4) >> 8);
			bytes[3] = (guint8)(length - 4);
		}
		send_bytes(address, bytes, length);
	}
	send_bytes(address, bad_hello, sizeof(bad_hello) - 1);
	send_bytes(address, old_hello, sizeof(old_hello) - 1);
	wait_until(has_refused, NULL);
	ck_assert(are_all_live(NULL));
	for (int by = 0; by < node_count; by++)
		ck_assert_int_eq(metric_read(nodes[by],
				     "member_changes_total{state=\"suspect\"}"),
		    0);
	g_free(address);
	g_rand_free(rand);
}
END_TEST

/*
 * Guards against nodes, settings, deaths or reclaims not getting from one zone
 * to another where only delegates are connected.
 */
START_TEST(two_levels_connect_zones)
{
	start_nodes(9, 1);
	check_zone_leaves("{\"lag_ms\": 600000, \"notice_ms\": 2000, "
			  "\"reclaim_zone\": \"zone-a\"}",
	    true);
	check_killed(4);
	check_no_refusal();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("peer");
	TCase *tests = tcase_create("peer");
	TCase *levels = tcase_create("levels");
	int code;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_checked_fixture(tests, NULL, stop_all);
	tcase_set_timeout(tests, 100);
	tcase_add_test(tests, a_killed_node_leaves_the_entry_list);
	tcase_add_test(tests, a_drained_node_leaves_the_entry_list_first);
	tcase_add_test(tests, a_stopped_node_leaves_and_returns);
	tcase_add_test(tests, a_store_outage_changes_no_membership);
	tcase_add_test(tests, a_reclaimed_zone_gets_no_new_request);
	tcase_add_test(tests, a_lost_notice_is_made_up_by_the_list);
	tcase_add_test(tests, garbage_on_the_peer_port_disturbs_nothing);
	tcase_add_checked_fixture(levels, NULL, stop_all);
	tcase_set_timeout(levels, 100);
	tcase_add_test(levels, two_levels_connect_zones);
	suite_add_tcase(suite, tests);
	suite_add_tcase(suite, levels);
	code = suite_run(suite);
	curl_global_cleanup();
	return code;
}
