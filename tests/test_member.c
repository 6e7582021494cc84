#include "member.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const int64_t START_MS = 1000000;

static member_info_t
make_info(const char *node, const char *zone, int64_t incarnation)
{
	return (member_info_t){
	    .node = node,
	    .zone = zone,
	    .http_address = "127.0.0.1:8000",
	    .peer_address = "127.0.0.1:9000",
	    .incarnation = incarnation,
	};
}

static bool
receive_heartbeat(members_t *members, const char *node, int64_t sequence,
    bool draining, int64_t now_ms)
{
	message_t message = {
	    .type = MESSAGE_HEARTBEAT,
	    .heartbeat = {.node = (char *)node,
		.sequence = sequence,
		.draining = draining},
	};

	return members_handle_heartbeat(members, &message, now_ms);
}

/* Nodes in zones a, b, c in turn, all live; n0 in zone a is the local one. */
static members_t *
new_members(unsigned count, unsigned full_mesh_max)
{
	member_info_t self = make_info("n0", "a", 1);
	members_t *members = members_new(&self, full_mesh_max, START_MS);

	for (unsigned i = 1; i < count; i++) {
		char node[16] = "", zone[2] = {(char)('a' + i % 3), '\0'};
		member_info_t info = make_info(node, zone, 1);

		g_snprintf(node, sizeof(node), "n%u", i);
		members_upsert(members, &info, START_MS);
		receive_heartbeat(members, node, 1, false, START_MS);
	}
	members_tick(members, START_MS, NULL, NULL);
	return members;
}

static member_state_t
state_of(members_t *members, const char *node)
{
	return members_find(members, node)->state;
}

/* Ticks each second, as the daemon does, with heartbeats of one node. */
static void
run_ticks(members_t *members, const char *heartbeat_node, int64_t from_ms,
    int64_t to_ms)
{
	for (int64_t now_ms = from_ms; now_ms <= to_ms; now_ms += 1000) {
		if (heartbeat_node != NULL)
			receive_heartbeat(
			    members, heartbeat_node, now_ms, false, now_ms);
		members_tick(members, now_ms, NULL, NULL);
	}
}

/* Guards against a dead node staying in use, or a live one being dropped. */
START_TEST(member_without_heartbeats_becomes_suspect_then_gone)
{
	members_t *members = new_members(3, 0);

	run_ticks(members, "n2", START_MS + 1000, START_MS + 2000);
	ck_assert_int_eq(state_of(members, "n1"), MEMBER_LIVE);
	run_ticks(members, "n2", START_MS + 3000, START_MS + 9000);
	ck_assert_int_eq(state_of(members, "n1"), MEMBER_SUSPECT);
	run_ticks(members, "n2", START_MS + 10000, START_MS + 10000);
	ck_assert_int_eq(state_of(members, "n1"), MEMBER_GONE);
	ck_assert_int_eq(state_of(members, "n2"), MEMBER_LIVE);
	ck_assert(receive_heartbeat(members, "n1", 2, false, START_MS + 10000));
	members_tick(members, START_MS + 10000, NULL, NULL);
	ck_assert_int_eq(state_of(members, "n1"), MEMBER_LIVE);
	members_free(members);
}
END_TEST

/*
 * Guards against a node that resumes after a pause marking all others as gone,
 * because no heartbeat was processed meanwhile.
 */
START_TEST(local_pause_does_not_expire_members)
{
	members_t *members = new_members(3, 0);
	int64_t resumed_ms = START_MS + 600000;

	/* n2's heartbeat is read before the first tick after the pause. */
	receive_heartbeat(members, "n2", 2, false, resumed_ms);
	members_tick(members, resumed_ms, NULL, NULL);
	ck_assert_int_eq(state_of(members, "n1"), MEMBER_LIVE);
	run_ticks(members, NULL, resumed_ms + 1000, resumed_ms + 3000);
	ck_assert_int_eq(state_of(members, "n1"), MEMBER_SUSPECT);
	ck_assert_int_eq(state_of(members, "n2"), MEMBER_SUSPECT);
	members_free(members);
}
END_TEST

/* Guards against applying a message of an old process or a repeated frame. */
START_TEST(old_incarnations_and_sequences_are_ignored)
{
	members_t *members = new_members(2, 0);
	member_info_t restarted = make_info("n1", "b", 5);
	member_info_t outdated = make_info("n1", "b", 4);

	ck_assert(!receive_heartbeat(members, "n1", 1, false, START_MS));
	ck_assert(!receive_heartbeat(members, "unknown", 1, false, START_MS));
	ck_assert(receive_heartbeat(members, "n1", 9, true, START_MS));
	ck_assert_ptr_nonnull(members_upsert(members, &restarted, START_MS));
	ck_assert(!members_find(members, "n1")->draining);
	ck_assert_int_eq(state_of(members, "n1"), MEMBER_SUSPECT);
	ck_assert(receive_heartbeat(members, "n1", 1, false, START_MS));
	ck_assert_ptr_null(members_upsert(members, &outdated, START_MS));
	ck_assert_int_eq(members_find(members, "n1")->incarnation, 5);
	members_free(members);
}
END_TEST

/* Guards against connecting to an invalid address. */
START_TEST(invalid_addresses_are_rejected)
{
	static const char *const bad[] = {"", "127.0.0.1", "127.0.0.1:0",
	    "127.0.0.1:65536", "host:80", "127.0.0.1:80x", ":80"};
	members_t *members = new_members(1, 0);

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		member_info_t info = make_info("n1", "b", 1);

		info.peer_address = bad[i];
		ck_assert_ptr_null(members_upsert(members, &info, START_MS));
	}
	members_free(members);
}
END_TEST

/*
 * Guards against a killed node staying in entry lists until its heartbeats are
 * missed, although its connection has ended.
 */
START_TEST(lost_connection_makes_member_suspect_immediately)
{
	members_t *members = new_members(3, 0);

	members_handle_disconnect(members, "n1", START_MS);
	members_tick(members, START_MS, NULL, NULL);
	ck_assert_int_eq(state_of(members, "n1"), MEMBER_SUSPECT);
	ck_assert(receive_heartbeat(members, "n1", 2, false, START_MS));
	members_tick(members, START_MS, NULL, NULL);
	ck_assert_int_eq(state_of(members, "n1"), MEMBER_LIVE);
	members_free(members);
}
END_TEST

static unsigned
count_zones(const GPtrArray *list)
{
	unsigned zones = 0;

	for (guint i = 0; i < list->len; i++) {
		const member_t *member = list->pdata[i];

		zones |= 1u << (member->zone[0] - 'a');
	}
	return (unsigned)__builtin_popcount(zones);
}

/*
 * Guards against entry lists that cover one zone only, contain a draining or
 * suspect node, repeat a node or are too short.
 */
START_TEST(entry_hosts_span_zones_and_exclude_draining)
{
	members_t *members = new_members(7, 0);

	receive_heartbeat(members, "n2", 2, true, START_MS);
	members_handle_disconnect(members, "n4", START_MS);
	members_tick(members, START_MS, NULL, NULL);
	for (int i = 0; i < 1000; i++) {
		GPtrArray *list = g_ptr_array_new();
		char workspace[16];

		g_snprintf(workspace, sizeof(workspace), "w%d", i);
		members_entry_hosts(members, workspace, i % 2 == 0, list);
		ck_assert_uint_eq(list->len, i % 2 == 0 ? 5 : 3);
		ck_assert_uint_ge(count_zones(list), 2);
		for (guint at = 0; at < list->len; at++) {
			const member_t *member = list->pdata[at];

			ck_assert_str_ne(member->node, "n2");
			ck_assert_str_ne(member->node, "n4");
			for (guint other = 0; other < at; other++)
				ck_assert_ptr_ne(list->pdata[other], member);
		}
		g_ptr_array_free(list, TRUE);
	}
	members_free(members);
}
END_TEST

/* Guards against moving most workspaces when one node drains. */
START_TEST(draining_node_moves_only_its_workspaces)
{
	members_t *members = new_members(7, 0);
	GPtrArray *before = g_ptr_array_new(), *after = g_ptr_array_new();

	for (int i = 0; i < 200; i++) {
		char workspace[16];

		g_snprintf(workspace, sizeof(workspace), "w%d", i);
		members_entry_hosts(members, workspace, false, before);
	}
	members_set_draining(members, "n3");
	for (int i = 0; i < 200; i++) {
		char workspace[16];
		const member_t *first_host = before->pdata[3 * i];

		g_snprintf(workspace, sizeof(workspace), "w%d", i);
		g_ptr_array_set_size(after, 0);
		members_entry_hosts(members, workspace, false, after);
		if (strcmp(first_host->node, "n3") != 0)
			ck_assert_ptr_eq(after->pdata[0], first_host);
	}
	g_ptr_array_free(before, TRUE);
	g_ptr_array_free(after, TRUE);
	members_free(members);
}
END_TEST

/* Guards against an empty entry list while a suspect node is known. */
START_TEST(suspects_are_listed_without_live_members)
{
	members_t *members = new_members(2, 0);
	GPtrArray *list = g_ptr_array_new();

	members_set_draining(members, "n0");
	members_handle_disconnect(members, "n1", START_MS);
	members_tick(members, START_MS, NULL, NULL);
	members_entry_hosts(members, "w", false, list);
	ck_assert_uint_eq(list->len, 1);
	g_ptr_array_free(list, TRUE);
	members_free(members);
}
END_TEST

/*
 * The members of the same system as known by node n<self_index>; all are live
 * but those of dead_zone.
 */
static members_t *
members_seen_by(unsigned self_index, unsigned count, const char *dead_zone)
{
	char self_node[16] = "",
	     self_zone[2] = {(char)('a' + self_index % 3), '\0'};
	member_info_t self = make_info(self_node, self_zone, 1);
	members_t *members;

	g_snprintf(self_node, sizeof(self_node), "n%u", self_index);
	members = members_new(&self, 0, START_MS);
	for (unsigned i = 0; i < count; i++) {
		char node[16] = "", zone[2] = {(char)('a' + i % 3), '\0'};
		member_info_t info = make_info(node, zone, 1);

		g_snprintf(node, sizeof(node), "n%u", i);
		members_upsert(members, &info, START_MS);
		if (dead_zone == NULL || strcmp(zone, dead_zone) != 0)
			receive_heartbeat(members, node, 1, false, START_MS);
	}
	members_tick(members, START_MS, NULL, NULL);
	return members;
}

/* Guards against a key without observers, or with one more per node. */
START_TEST(each_key_has_two_observers_in_one_zone)
{
	static const char *const dead[] = {NULL, "b"};

	for (size_t round = 0; round < G_N_ELEMENTS(dead); round++)
		for (int key = 0; key < 20; key++) {
			unsigned observers = 0;
			char name[16];

			g_snprintf(name, sizeof(name), "key%d", key);
			for (unsigned self_index = 0; self_index < 12;
			     self_index++) {
				members_t *members;

				if (dead[round] != NULL && self_index % 3 == 1)
					continue;
				members = members_seen_by(
				    self_index, 12, dead[round]);
				observers +=
				    members_is_observer(members, "b", name);
				members_free(members);
			}
			ck_assert_uint_eq(observers, MEMBER_OBSERVERS_PER_KEY);
		}
}
END_TEST

/*
 * Guards against every node connecting to every other: in a large system, nodes
 * connect within their zone, and delegates also to delegates of other zones.
 */
START_TEST(delegates_bound_the_connections)
{
	for (unsigned self_index = 0; self_index < 30; self_index++) {
		members_t *members = members_seen_by(self_index, 30, NULL);
		bool delegate =
		    members_is_delegate(members, members_self(members));
		unsigned connections = 0;

		ck_assert(!members_is_full_mesh(members));
		for (unsigned i = 0; i < 30; i++) {
			char node[16];

			g_snprintf(node, sizeof(node), "n%u", i);
			connections += members_should_connect(
			    members, members_find(members, node));
		}
		ck_assert_uint_eq(connections, delegate ? 9 + 4 : 9);
		members_free(members);
	}
}
END_TEST

static void
receive_summary(members_t *members, const char *sender, members_t *source,
    const char *zone, bool full, int64_t now_ms)
{
	message_t message;

	members_build_summary(source, zone, now_ms, &message);
	if (!full) {
		GArray *listed = message.zone_summary.members;

		for (guint i = 0; i < listed->len; i++) {
			message_member_t *entry =
			    &g_array_index(listed, message_member_t, i);

			g_free(entry->node);
			g_free(entry->http_address);
			g_free(entry->peer_address);
		}
		g_array_set_size(listed, 0);
	}
	members_handle_summary(members, sender, &message, now_ms);
	message_clear(&message);
}

/* Guards against nodes of other zones expiring while summaries arrive. */
START_TEST(summaries_keep_indirect_members_live)
{
	members_t *members = new_members(7, 1);
	members_t *peer_view = members_seen_by(1, 7, NULL);
	int64_t now_ms = START_MS;

	for (; now_ms <= START_MS + 60000; now_ms += 1000) {
		if ((now_ms - START_MS) % MEMBER_SUMMARY_INTERVAL_MS == 0)
			receive_summary(members, "n1", peer_view, "b",
			    now_ms == START_MS, now_ms);
		members_tick(members, now_ms, NULL, NULL);
		ck_assert_int_eq(state_of(members, "n1"), MEMBER_LIVE);
		ck_assert_int_eq(state_of(members, "n4"), MEMBER_LIVE);
	}
	ck_assert_int_eq(state_of(members, "n2"), MEMBER_GONE);
	/* n4 is reported suspect, then no more summary of zone b arrives. */
	members_handle_disconnect(peer_view, "n4", START_MS);
	members_tick(peer_view, START_MS, NULL, NULL);
	receive_summary(members, "n1", peer_view, "b", true, now_ms);
	members_tick(members, now_ms, NULL, NULL);
	ck_assert_int_eq(state_of(members, "n1"), MEMBER_LIVE);
	ck_assert_int_eq(state_of(members, "n4"), MEMBER_SUSPECT);
	run_ticks(
	    members, NULL, now_ms + 1000, now_ms + MEMBER_INDIRECT_GONE_MS);
	ck_assert_int_eq(state_of(members, "n1"), MEMBER_GONE);
	members_free(members);
	members_free(peer_view);
}
END_TEST

/* Guards against two nodes keeping a dead third one live by their summaries. */
START_TEST(full_mesh_summaries_do_not_refresh_members)
{
	members_t *members = new_members(7, 0);
	members_t *peer_view = members_seen_by(1, 7, NULL);

	for (int64_t now_ms = START_MS; now_ms <= START_MS + 10000;
	     now_ms += 1000) {
		receive_summary(members, "n1", peer_view, "b", true, now_ms);
		members_tick(members, now_ms, NULL, NULL);
	}
	ck_assert_int_eq(state_of(members, "n4"), MEMBER_GONE);
	members_free(members);
	members_free(peer_view);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("member");
	TCase *tests = tcase_create("member");

	tcase_add_test(
	    tests, member_without_heartbeats_becomes_suspect_then_gone);
	tcase_add_test(tests, local_pause_does_not_expire_members);
	tcase_add_test(tests, old_incarnations_and_sequences_are_ignored);
	tcase_add_test(tests, invalid_addresses_are_rejected);
	tcase_add_test(tests, lost_connection_makes_member_suspect_immediately);
	tcase_add_test(tests, entry_hosts_span_zones_and_exclude_draining);
	tcase_add_test(tests, draining_node_moves_only_its_workspaces);
	tcase_add_test(tests, suspects_are_listed_without_live_members);
	tcase_add_test(tests, each_key_has_two_observers_in_one_zone);
	tcase_add_test(tests, delegates_bound_the_connections);
	tcase_add_test(tests, summaries_keep_indirect_members_live);
	tcase_add_test(tests, full_mesh_summaries_do_not_refresh_members);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
