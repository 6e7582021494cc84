#include "suite.h"
#include "support.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum {
	NODES = 2,
	SHORT_MS = 5000, /* the shortest move */
	LONG_MS = 9000,
};

static program_t *store, *old_server, *new_server, *nodes[NODES];
static unsigned served_old, served_new;

static json_t *
backend(const program_t *program, const char *version)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "address",
	    program->address, "host", version, "zone", "zone-a", "class", "a",
	    "service", "pages", "version", version);
}

static json_t *
tree(const char *current)
{
	return json_pack("{s:{s:{s:s,s:b,s:s,s:[s,s],s:i,s:{s:i,s:f}}},"
			 "s:{s:o,s:o},s:{s:{s:i,s:i,s:b}}}",
	    "services", "pages", "kind", "plain", "repeatable", 1, "current",
	    current, "versions", "v1", "v2", "timeout_ms", 2000, "slo",
	    "answer_ms", 200, "target", 0.95, "backends", "one",
	    backend(old_server, "v1"), "two", backend(new_server, "v2"),
	    "workspaces", "depot", "weight", 1, "priority", 1, "large", 0);
}

static void
node_run(int i)
{
	char name[8];

	g_snprintf(name, sizeof(name), "n%d", i);
	nodes[i] = papayad_start(name, "zone-a", store, "t1", NULL);
}

/* The version that answered one request at a node; "" if none did. */
static const char *
ask_version(const program_t *node)
{
	static const char *const headers[] = {"Papaya-Workspace: depot", NULL};
	test_request_t ask = {.target = node,
	    .path = "/v1/services/t1/pages/x",
	    .headers = headers,
	    .timeout_ms = 3000};
	test_response_t *answer = test_request_send(&ask);
	const char *version =
	    json_string_value(json_object_get(answer->json, "version"));

	version = g_intern_string(version != NULL ? version : "");
	served_old += strcmp(version, "v1") == 0;
	served_new += strcmp(version, "v2") == 0;
	test_response_free(answer);
	return version;
}

static bool
all_serve(void *data)
{
	for (int i = 0; i < NODES; i++)
		if (ask_version(nodes[i])[0] == '\0')
			return false;
	return true;
}

static void
start_all(void)
{
	served_old = served_new = 0;
	store = program_start("standin-store", NULL);
	old_server =
	    program_start("standin-service", "--model-version", "v1", NULL);
	new_server =
	    program_start("standin-service", "--model-version", "v2", NULL);
	for (int i = 0; i < NODES; i++)
		node_run(i);
	settings_put(nodes[0], "t1", tree("v1"));
	wait_until(all_serve, NULL);
}

static json_t *
start_body(int within_ms)
{
	return json_pack("{s:s,s:s,s:s,s:i}", "team", "t1", "service", "pages",
	    "to", "v2", "within_ms", within_ms);
}

static void
start_move(const program_t *node, int within_ms)
{
	test_response_free(test_request_json(
	    node, "POST", "/v1/admin/moves", start_body(within_ms), 201));
}

typedef struct expected {
	program_t *node;
	const char *state;
	bool recorded;
	unsigned traffic; /* requests per look */
} expected_t;

static bool
is_state(void *data)
{
	const expected_t *expected = data;
	test_request_t ask = {
	    .target = expected->node, .path = "/v1/admin/moves/t1/pages"};
	test_response_t *answer;
	const char *state;
	bool match;

	for (unsigned i = 0; i < expected->traffic; i++)
		ask_version(nodes[i % NODES]);
	answer = test_request_send(&ask);
	state = json_string_value(json_object_get(answer->json, "state"));
	match = g_strcmp0(state, expected->state) == 0 &&
		json_is_true(json_object_get(answer->json, "recorded")) ==
		    expected->recorded;
	test_response_free(answer);
	return match;
}

static void
wait_state(program_t *node, const char *state, bool recorded, unsigned traffic)
{
	expected_t expected = {node, state, recorded, traffic};

	wait_until(is_state, &expected);
}

/* What the store holds in the end is what every node reports. */
static void
check_outcome(const char *state)
{
	for (int i = 0; i < NODES; i++)
		wait_state(nodes[i], state, true, 0);
}

static bool
serves_version(void *data)
{
	for (int i = 0; i < NODES; i++)
		if (strcmp(ask_version(nodes[i]), data) != 0)
			return false;
	return true;
}

static void
check_served(const char *version, int requests)
{
	wait_until(serves_version, (void *)version);
	for (int i = 0; i < requests; i++)
		ck_assert_str_eq(ask_version(nodes[i % NODES]), version);
}

/* Guards against a finished move that a restarted node does not know. */
START_TEST(finished_move_outlives_the_nodes)
{
	start_all();
	start_move(nodes[0], LONG_MS);
	wait_state(nodes[1], "finished", true, 20);
	check_served("v2", 40);
	program_end(nodes[1], SIGKILL);
	node_run(1);
	check_served("v2", 40);
	/* The finished version is where the next move starts. */
	test_response_free(
	    test_request_json(nodes[0], "POST", "/v1/admin/moves",
		json_pack("{s:s,s:s,s:s,s:i}", "team", "t1", "service", "pages",
		    "to", "v1", "within_ms", LONG_MS),
		201));
	wait_state(nodes[1], "finished", true, 20);
	check_served("v1", 40);
}
END_TEST

/* Guards against requests to a version known to be bad. */
START_TEST(bad_version_is_taken_back)
{
	unsigned before;

	start_all();
	faults_set(new_server, "{\"error_rate\": 1.0}");
	start_move(nodes[0], LONG_MS);
	wait_state(nodes[0], "taken_back", true, 40);
	check_outcome("taken_back");
	before = served_new;
	check_served("v1", 200);
	ck_assert_uint_eq(served_new, before);
}
END_TEST

/* Guards against a move that ends with the node that started it. */
START_TEST(killed_starter_does_not_hold_up_the_move)
{
	start_all();
	start_move(nodes[0], LONG_MS);
	program_end(nodes[0], SIGKILL);
	node_run(0);
	/* The new process finds the running move. */
	wait_state(nodes[0], "running", false, 0);
	wait_state(nodes[0], "finished", true, 20);
	check_outcome("finished");
	check_served("v2", 20);
}
END_TEST

static void
pause_nodes(int signal)
{
	for (int i = 0; i < NODES; i++)
		kill(nodes[i]->pid, signal);
}

/* Expects the state's key to be gone: its lease has ended. */
static bool
state_expired(void *data)
{
	test_request_t ask = {.target = store, .path = "/v1/kv?prefix=move/"};
	test_response_t *answer = test_request_send(&ask);
	size_t keys = json_array_size(json_object_get(answer->json, "entries"));

	test_response_free(answer);
	return keys == 1;
}

/* Guards against a finish by a writer that was paused over the deadline. */
START_TEST(paused_nodes_do_not_finish_late)
{
	start_all();
	start_move(nodes[0], SHORT_MS);
	pause_nodes(SIGSTOP);
	wait_until(state_expired, NULL);
	pause_nodes(SIGCONT);
	check_outcome("taken_back");
	check_served("v1", 40);
}
END_TEST

/* Guards against a move that stays open while the store is out. */
START_TEST(store_outage_over_the_deadline)
{
	start_all();
	start_move(nodes[0], SHORT_MS);
	faults_set(store, "{\"down\": true}");
	wait_state(nodes[0], "taken_back", false, 10);
	wait_state(nodes[1], "taken_back", false, 0);
	check_served("v1", 100);
	faults_set(store, "{\"down\": false}");
	check_outcome("taken_back");
	check_served("v1", 40);
}
END_TEST

typedef struct operator_call {
	program_t *node;
	long status;
} operator_call_t;

static gpointer
operator_run(gpointer data)
{
	operator_call_t *call = data;
	json_t *body = start_body(SHORT_MS);
	char *text = json_dumps(body, 0);
	test_request_t ask = {
	    .target = call->node, .path = "/v1/admin/moves", .body = text};
	test_response_t *answer = test_request_send(&ask);

	call->status = answer->status;
	test_response_free(answer);
	free(text);
	json_decref(body);
	return NULL;
}

/* Guards against two moves of one service that run at once. */
START_TEST(two_operators_start_at_once)
{
	operator_call_t calls[NODES];
	GThread *threads[NODES];
	int started = 0, refused = 0;

	start_all();
	faults_set(store, "{\"delay_ms\": 40}");
	for (int i = 0; i < NODES; i++) {
		calls[i].node = nodes[i];
		threads[i] = g_thread_new(NULL, operator_run, &calls[i]);
	}
	for (int i = 0; i < NODES; i++) {
		g_thread_join(threads[i]);
		started += calls[i].status == 201;
		refused += calls[i].status == 409;
	}
	ck_assert_int_eq(started, 1);
	ck_assert_int_eq(refused, NODES - 1);
}
END_TEST

/* Guards against a lost store response that leaves a move open. */
START_TEST(lost_responses_are_resolved)
{
	start_all();
	faults_set(store, "{\"lose_answers\": 0.3, \"seed\": 3}");
	start_move(nodes[0], LONG_MS);
	wait_state(nodes[1], "finished", true, 20);
	check_outcome("finished");
	check_served("v2", 20);
}
END_TEST

static double
writes(void)
{
	return metric_read(store, "writes_total");
}

static bool
written(void *data)
{
	return writes() >= *(double *)data;
}

/*
 * Kills the starter after its given number of store writes: declaration,
 * lease, state, stages. The other node brings the move to its end.
 */
static void
cut_after(int count)
{
	operator_call_t call = {.node = nodes[0]};
	GThread *thread;
	double at = writes() + count;

	thread = g_thread_new(NULL, operator_run, &call);
	wait_until(written, &at);
	program_end(nodes[0], SIGKILL);
	g_thread_join(thread);
	node_run(0);
}

/* Guards against a crash between two steps that leaves a move open. */
START_TEST(starter_killed_at_each_step)
{
	start_all();
	faults_set(store, "{\"delay_ms\": 40}");
	cut_after(_i + 1);
	wait_state(nodes[1], "taken_back", true, 0);
	check_outcome("taken_back");
	check_served("v1", 20);
}
END_TEST

/* Guards against settings that an ended move overrides for ever. */
START_TEST(settings_supersede_an_ended_move)
{
	static const char *const headers[] = {"If-Match: \"1\"", NULL};
	json_t *body;
	char *text;
	test_request_t ask;
	test_response_t *answer;

	start_all();
	start_move(nodes[0], LONG_MS);
	wait_state(nodes[1], "finished", true, 20);
	body = json_pack("{s:s,s:s,s:o}", "author", "test", "message", "v2",
	    "tree", tree("v2"));
	text = json_dumps(body, 0);
	ask = (test_request_t){.target = nodes[0],
	    .method = "PUT",
	    .path = "/v1/admin/settings/t1",
	    .headers = headers,
	    .body = text};
	answer = test_request_send(&ask);
	ck_assert_int_eq(answer->status / 100, 2);
	test_response_free(answer);
	json_decref(body);
	free(text);
	check_served("v2", 20);
}
END_TEST

static int64_t
reported(const test_response_t *answer)
{
	const json_t *series =
	    json_array_get(json_object_get(answer->json, "series"), 0);
	const json_t *counts = json_object_get(series, "long");

	return json_integer_value(json_object_get(counts, "good")) +
	       json_integer_value(json_object_get(counts, "bad"));
}

/* Guards against a report that misses a node, or a format that fails. */
START_TEST(report_sums_the_nodes)
{
	static const char path[] = "/v1/admin/report?format=json";
	static const char all[] = "/v1/admin/report?format=json&scope=all";
	test_response_t *one, *two, *sum;

	start_all();
	for (int i = 0; i < 20; i++)
		ask_version(nodes[i % NODES]);
	one = test_request_json(nodes[0], "GET", path, NULL, 200);
	two = test_request_json(nodes[1], "GET", path, NULL, 200);
	sum = test_request_json(nodes[1], "GET", all, NULL, 200);
	ck_assert_int_ge(reported(one), 10);
	ck_assert_int_eq(reported(sum), reported(one) + reported(two));
	ck_assert_int_eq(
	    json_integer_value(json_object_get(sum->json, "nodes")), NODES);
	test_response_free(one);
	test_response_free(two);
	test_response_free(sum);
	one = test_request_json(
	    nodes[0], "GET", "/v1/admin/report?format=html", NULL, 200);
	ck_assert_ptr_nonnull(strstr(one->body->str, "t1/pages"));
	test_response_free(one);
	test_response_free(test_request_json(
	    nodes[0], "GET", "/v1/admin/report?format=pdf", NULL, 400));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("move_process");
	TCase *tests = tcase_create("move_process");

	tcase_set_timeout(tests, 60);
	tcase_add_checked_fixture(tests, NULL, programs_end);
	tcase_add_test(tests, finished_move_outlives_the_nodes);
	tcase_add_test(tests, bad_version_is_taken_back);
	tcase_add_test(tests, killed_starter_does_not_hold_up_the_move);
	tcase_add_test(tests, paused_nodes_do_not_finish_late);
	tcase_add_test(tests, store_outage_over_the_deadline);
	tcase_add_test(tests, two_operators_start_at_once);
	tcase_add_test(tests, lost_responses_are_resolved);
	tcase_add_loop_test(tests, starter_killed_at_each_step, 0, 3);
	tcase_add_test(tests, settings_supersede_an_ended_move);
	tcase_add_test(tests, report_sums_the_nodes);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
