/*
 * Measures the slopes that docs/CAPACITY.md works from: memory and processor
 * time of the decision state per backend server, node, record and message, at
 * three sizes each, up to 12,000 backend servers and 330 nodes in one process.
 * Prints one JSON object a measurement.
 */
#include "backend.h"
#include "clock.h"
#include "json.h"
#include "ledger_record.h"
#include "member.h"
#include "message.h"
#include "route.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	TEAMS = 20,
	ZONES = 23,
	SERVICES = 120, /* model services over all teams */
	ROUNDS = 2000,
};

static size_t
heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static long
resident_kb(void)
{
	long pages = 0, resident = 0;
	FILE *file = fopen("/proc/self/statm", "r");

	if (file == NULL || fscanf(file, "%ld %ld", &pages, &resident) != 2)
		resident = 0;
	if (file != NULL)
		fclose(file);
	return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

static void
report(const char *what, unsigned size, double bytes_each, double us_each)
{
	printf("{\"what\": \"%s\", \"size\": %u, \"bytes_each\": %.1f, "
	       "\"us_each\": %.4f, \"resident_kb\": %ld}\n",
	    what, size, bytes_each, us_each, resident_kb());
}

static json_t *
team_json(unsigned team, unsigned backend_count)
{
	json_t *services = json_object(), *backends = json_object();
	unsigned per_team = SERVICES / TEAMS;

	for (unsigned s = 0; s < per_team; s++) {
		char name[32];

		g_snprintf(name, sizeof(name), "model-%u", s);
		json_object_set_new(services, name,
		    json_pack("{s:s,s:s,s:[s,s],s:i,s:{s:i,s:i,s:f},"
			      "s:{s:i,s:i},s:f}",
			"kind", "model", "current", "v1", "versions", "v1",
			"v2", "timeout_ms", 30000, "slo", "first_token_ms", 690,
			"between_tokens_ms", 61, "target", 0.95, "limit",
			"in_flight", 64, "waiting", 256, "retry_budget", 0.1));
	}
	for (unsigned b = 0; b < backend_count; b++) {
		char name[32], address[32], host[32], zone[16], service[32];

		g_snprintf(name, sizeof(name), "engine-%u", b);
		g_snprintf(address, sizeof(address), "127.%u.%u.%u:9000",
		    team + 1, b / 250, b % 250 + 1);
		g_snprintf(host, sizeof(host), "host-%u-%u", team, b);
		g_snprintf(zone, sizeof(zone), "zone-%u", b % ZONES);
		g_snprintf(service, sizeof(service), "model-%u", b % per_team);
		json_object_set_new(backends, name,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:f,s:b,s:s}",
			"address", address, "host", host, "zone", zone, "class",
			"a", "service", service, "version", "v1",
			"price_per_hour", 1.2, "reclaimable", 1, "fencing",
			"checked"));
	}
	return json_pack("{s:o,s:o,s:{s:{s:i,s:i,s:b}}}", "services", services,
	    "backends", backends, "workspaces", "depot", "weight", 1,
	    "priority", 1, "large", 1);
}

static settings_tree_t *
parse_team(unsigned team, json_t *json)
{
	char name[16];
	GError *error = NULL;
	settings_tree_t *tree;

	g_snprintf(name, sizeof(name), "team-%u", team);
	tree = settings_tree_parse(name, 1, "bench", "", json, "bench", &error);
	if (tree == NULL) {
		fprintf(stderr, "%s\n", error->message);
		exit(EXIT_FAILURE);
	}
	return tree;
}

static void
measure_route(const backends_t *backends, unsigned backend_count)
{
	static const char *const names[] = {"affinity", "least", "random"};
	GPtrArray *candidates = g_ptr_array_new();
	route_prefix_index_t *cache = route_prefix_index_new();
	GRand *rand = g_rand_new_with_seed(1);
	char what[64];

	int64_t listed_us = clock_mono_us();

	for (int i = 0; i < ROUNDS; i++) {
		g_ptr_array_set_size(candidates, 0);
		backends_of_service(backends, "team-0/model-0", candidates);
	}
	report("backends_of_service", backend_count, 0,
	    (double)(clock_mono_us() - listed_us) / ROUNDS);
	for (int policy = 0; policy < 3; policy++) {
		int64_t started_us = clock_mono_us();

		for (int i = 0; i < ROUNDS; i++) {
			route_query_t query = {
			    .policy = (route_policy_t)policy,
			    .zone = "zone-1",
			    .version = "v1",
			    .prefix_hash = g_rand_int(rand),
			    .now_ms = i,
			    .random = g_rand_int(rand),
			};

			route_choose(&query, candidates, cache);
		}
		g_snprintf(what, sizeof(what), "route_choose %s, %u candidates",
		    names[policy], candidates->len);
		report(what, backend_count, 0,
		    (double)(clock_mono_us() - started_us) / ROUNDS);
	}
	g_rand_free(rand);
	route_prefix_index_free(cache);
	g_ptr_array_free(candidates, TRUE);
}

static void
measure_settings(unsigned backend_count)
{
	settings_t *settings = settings_new();
	backends_t *backends = backends_new();
	json_t *json[TEAMS];
	size_t text_bytes = 0, before;
	int64_t started_us;
	settings_tree_t *tree;

	for (unsigned t = 0; t < TEAMS; t++) {
		char *text;

		json[t] = team_json(t, backend_count / TEAMS);
		text = json_text(json[t]);
		text_bytes += strlen(text);
		g_free(text);
	}
	report("settings as text, per backend server", backend_count,
	    (double)text_bytes / backend_count, 0);
	before = heap_bytes();
	started_us = clock_mono_us();
	for (unsigned t = 0; t < TEAMS; t++) {
		tree = parse_team(t, json[t]);
		settings_update(settings, tree);
		settings_tree_unref(tree);
	}
	report("tree_parse, per backend server", backend_count,
	    (double)(heap_bytes() - before) / backend_count,
	    (double)(clock_mono_us() - started_us) / backend_count);
	before = heap_bytes();
	started_us = clock_mono_us();
	for (unsigned t = 0; t < TEAMS; t++) {
		char name[16];

		g_snprintf(name, sizeof(name), "team-%u", t);
		backends_apply(backends, settings_find_tree(settings, name));
	}
	report("backends_apply, per backend server", backend_count,
	    (double)(heap_bytes() - before) / backend_count,
	    (double)(clock_mono_us() - started_us) / backend_count);
	measure_route(backends, backend_count);
	started_us = clock_mono_us();
	for (int i = 0; i < 20; i++)
		backends_apply(
		    backends, settings_find_tree(settings, "team-0"));
	report("backends_apply of one team again", backend_count, 0,
	    (double)(clock_mono_us() - started_us) / 20);
	backends_free(backends);
	settings_free(settings);
	for (unsigned t = 0; t < TEAMS; t++)
		json_decref(json[t]);
}

static void
heartbeat_of(message_t *message, unsigned node, int64_t sequence)
{
	*message = (message_t){.type = MESSAGE_HEARTBEAT};
	message->heartbeat.node = g_strdup_printf("node-%u", node);
	message->heartbeat.sequence = sequence;
	message->heartbeat.in_flight = 30;
	message->heartbeat.revisions =
	    g_array_new(FALSE, FALSE, sizeof(message_revision_t));
	for (unsigned t = 0; t < TEAMS; t++) {
		message_revision_t revision = {
		    .team = g_strdup_printf("team-%u", t),
		    .revision = 1000 + t,
		};

		g_array_append_val(message->heartbeat.revisions, revision);
	}
}

static void
on_changed(const member_t *member, void *data)
{
}

static void
measure_members(unsigned node_count)
{
	member_info_t self = {
	    "node-0", "zone-0", "127.0.0.1:1", "127.0.0.1:2", 1};
	size_t before = heap_bytes();
	members_t *members = members_new(&self, 0, 0);
	GPtrArray *entry = g_ptr_array_new();
	int64_t started_us;
	message_t message;

	for (unsigned n = 1; n < node_count; n++) {
		char name[32], zone[32], http[32], peer[32];
		member_info_t hello = {name, zone, http, peer, 1};

		g_snprintf(name, sizeof(name), "node-%u", n);
		g_snprintf(zone, sizeof(zone), "zone-%u", n % ZONES);
		g_snprintf(
		    http, sizeof(http), "127.0.%u.%u:80", n / 250, n % 250 + 1);
		g_snprintf(
		    peer, sizeof(peer), "127.0.%u.%u:81", n / 250, n % 250 + 1);
		members_upsert(members, &hello, 0);
		heartbeat_of(&message, n, 1);
		members_handle_heartbeat(members, &message, 1);
		message_clear(&message);
	}
	report("members, per node", node_count,
	    (double)(heap_bytes() - before) / node_count, 0);
	heartbeat_of(&message, 1, 2);
	started_us = clock_mono_us();
	for (int i = 0; i < ROUNDS; i++) {
		message.heartbeat.sequence = i + 2;
		members_handle_heartbeat(members, &message, 2);
	}
	report("members_heartbeat", node_count, 0,
	    (double)(clock_mono_us() - started_us) / ROUNDS);
	message_clear(&message);
	started_us = clock_mono_us();
	for (int i = 0; i < ROUNDS; i++)
		members_tick(members, 3, on_changed, NULL);
	report("members_tick", node_count, 0,
	    (double)(clock_mono_us() - started_us) / ROUNDS);
	started_us = clock_mono_us();
	for (int i = 0; i < ROUNDS; i++) {
		char workspace[16];

		g_snprintf(workspace, sizeof(workspace), "w%d", i);
		g_ptr_array_set_size(entry, 0);
		members_entry_hosts(members, workspace, i % 4 == 0, entry);
	}
	report("members_entry", node_count, 0,
	    (double)(clock_mono_us() - started_us) / ROUNDS);
	started_us = clock_mono_us();
	members_build_summary(members, "zone-1", 3, &message);
	for (int i = 1; i < ROUNDS; i++) {
		message_clear(&message);
		members_build_summary(members, "zone-1", 3, &message);
	}
	report("members_sum", node_count, 0,
	    (double)(clock_mono_us() - started_us) / ROUNDS);
	message_clear(&message);
	g_ptr_array_free(entry, TRUE);
	members_free(members);
}

static void
measure_heartbeat(void)
{
	GByteArray *frame = g_byte_array_new();
	message_t message, decoded;
	int64_t started_us;

	heartbeat_of(&message, 7, 1000000);
	started_us = clock_mono_us();
	for (int i = 0; i < ROUNDS; i++) {
		g_byte_array_set_size(frame, 0);
		message_encode(&message, frame);
	}
	report("heartbeat of 20 teams: encode", TEAMS, frame->len,
	    (double)(clock_mono_us() - started_us) / ROUNDS);
	started_us = clock_mono_us();
	for (int i = 0; i < ROUNDS; i++) {
		message_decode(frame->data + 4, frame->len - 4, &decoded, NULL);
		message_clear(&decoded);
	}
	report("heartbeat of 20 teams: decode", TEAMS, frame->len,
	    (double)(clock_mono_us() - started_us) / ROUNDS);
	message_clear(&message);
	g_byte_array_free(frame, TRUE);
}

static void
measure_ledger(unsigned record_count)
{
	size_t before = heap_bytes();
	ledger_value_t *value = ledger_value_new();
	GBytes *body =
	    g_bytes_new_static("{\"booking\":\"0123456789abcdef\"}", 31);
	int64_t started_us;
	GBytes *encoded;

	for (unsigned i = 0; i < record_count; i++) {
		char key[64];
		ledger_record_t record = {
		    .service = "team-1/pickup",
		    .key = key,
		    .node = "node-17",
		    .hash = {i, 1},
		    .nonce = {i, 2},
		    .start_ms = 1796365728017,
		    .expires_at_ms = 1796452128017,
		    .key_time_ms = LEDGER_NO_KEY_TIME,
		    .state = LEDGER_RESPONDED,
		    .status = 200,
		    .content_type = "application/json",
		    .body_location = LEDGER_BODY_INLINE,
		    .body = body,
		};

		g_snprintf(
		    key, sizeof(key), "01890a5d-ac96-774b-bcce-b302%08x", i);
		ledger_value_put(value, ledger_record_new(&record));
	}
	started_us = clock_mono_us();
	encoded = ledger_value_encode(value);
	report("ledger value: encode, per record", record_count,
	    (double)g_bytes_get_size(encoded) / record_count,
	    (double)(clock_mono_us() - started_us) / record_count);
	report("ledger value: memory, per record", record_count,
	    (double)(heap_bytes() - before) / record_count, 0);
	ledger_value_free(value);
	started_us = clock_mono_us();
	value = ledger_value_decode(g_bytes_get_data(encoded, NULL),
	    g_bytes_get_size(encoded), 1, NULL);
	report("ledger value: decode, per record", record_count, 0,
	    (double)(clock_mono_us() - started_us) / record_count);
	ledger_value_free(value);
	g_bytes_unref(encoded);
	g_bytes_unref(body);
}

int
main(void)
{
	static const unsigned backend_counts[] = {1200, 4000, 12000};
	static const unsigned node_counts[] = {33, 110, 330};
	static const unsigned record_counts[] = {500, 1500, 4500};

	for (size_t i = 0; i < 3; i++)
		measure_settings(backend_counts[i]);
	for (size_t i = 0; i < 3; i++)
		measure_members(node_counts[i]);
	for (size_t i = 0; i < 3; i++)
		measure_ledger(record_counts[i]);
	measure_heartbeat();
	return EXIT_SUCCESS;
}
