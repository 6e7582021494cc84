#include "suite.h"
#include "support.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum { NODES = 3 };

static program_t *store;
static program_t *engine;
static program_t *nodes[NODES];

static void
setup(void)
{
	store = program_start("standin-store", NULL);
	engine = program_start("standin-engine", "--model-version", "v1", NULL);
	for (int i = 0; i < NODES; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "n%d", i);
		nodes[i] = papayad_start(name, "zone-a", store, "t1", NULL);
	}
}

static void
teardown(void)
{
	programs_end();
}

/* Settings that declare the engine at a version, whichever it has loaded. */
static json_t *
settings_with_version(const char *version)
{
	return json_pack("{s:{s:{s:s,s:s,s:[s,s],s:i,s:{s:i,s:i,s:f}}},"
			 "s:{s:{s:s,s:s,s:s,s:s,s:s,s:s,s:s}},s:{s:{s:i}}}",
	    "services", "chat", "kind", "model", "current", version, "versions",
	    "v1", "v2", "timeout_ms", 20000, "slo", "first_token_ms", 690,
	    "between_tokens_ms", 61, "target", 0.95, "backends", "e0",
	    "address", engine->address, "host", "host-0", "zone", "zone-a",
	    "class", "a", "service", "chat", "version", version, "fencing",
	    "checked", "workspaces", "depot", "weight", 1);
}

static bool
has_loaded(void *data)
{
	test_response_t *answer =
	    test_request_json(engine, "GET", "/v1/load", NULL, 200);
	const char *version =
	    json_string_value(json_object_get(answer->json, "version"));
	bool loaded = version != NULL && strcmp(version, data) == 0;

	test_response_free(answer);
	return loaded;
}

static double
sum_counter(const char *name)
{
	double sum = 0;

	for (int i = 0; i < NODES; i++)
		sum += metric_read(nodes[i], name);
	return sum;
}

static bool
is_command_accepted(void *data)
{
	return sum_counter("orders_taken_total") >= 1;
}

static bool
is_command_refused(void *data)
{
	return sum_counter("orders_stale_total") >= 1;
}

/*
 * Guards against an engine that keeps another version than the declared one, or
 * receives the command to load from more than one node.
 */
START_TEST(one_node_loads_the_declared_version)
{
	settings_put(nodes[0], "t1", settings_with_version("v2"));
	wait_until(has_loaded, "v2");
	wait_until(is_command_accepted, NULL);
	ck_assert(sum_counter("orders_taken_total") == 1);
	ck_assert(sum_counter("orders_stale_total") == 0);
}
END_TEST

/* Guards against an engine that accepts an outdated fencing token. */
START_TEST(outdated_fencing_token_is_refused)
{
	json_t *command = json_pack(
	    "{s:i,s:s,s:s}", "fence", 9, "op", "load", "version", "v1");

	test_response_free(
	    test_request_json(engine, "POST", "/v1/orders", command, 200));
	settings_put(nodes[0], "t1", settings_with_version("v2"));
	wait_until(is_command_refused, NULL);
	ck_assert(has_loaded("v1"));
	ck_assert(sum_counter("orders_taken_total") == 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("control_lock");
	TCase *tests = tcase_create("control_lock");

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, one_node_loads_the_declared_version);
	tcase_add_test(tests, outdated_fencing_token_is_refused);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
