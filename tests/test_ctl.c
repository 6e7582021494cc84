#include "support.h"

#include "http_server.h"
#include "suite.h"

#include <check.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

enum { NODES = 3, ARGUMENTS_MAX = 24 };

static program_t *store, *nodes[NODES];
static char *dir;

static void
make_dir(void)
{
	dir = g_dir_make_tmp("papayactl-XXXXXX", NULL);
	ck_assert_ptr_nonnull(dir);
}

static void
remove_tree(const char *path)
{
	GDir *list = g_dir_open(path, 0, NULL);
	const char *name;

	while (list != NULL && (name = g_dir_read_name(list)) != NULL) {
		char *inner = g_build_filename(path, name, NULL);

		remove_tree(inner);
		g_free(inner);
	}
	if (list != NULL)
		g_dir_close(list);
	g_remove(path);
}

static void
clean(void)
{
	programs_end();
	remove_tree(dir);
	g_free(dir);
}

static void
write_file(const char *name, const char *text)
{
	char *path = g_build_filename(dir, name, NULL);
	char *folder = g_path_get_dirname(path);

	ck_assert_int_eq(g_mkdir_with_parents(folder, 0700), 0);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	g_free(folder);
	g_free(path);
}

static void
write_team(int weight)
{
	char *text = g_strdup_printf("{\"weight\": %d}", weight);

	write_file("services/chat.json",
	    "{\"kind\": \"model\", \"current\": \"v1\", "
	    "\"versions\": [\"v1\"]}");
	write_file("backends/engine-1.json",
	    "{\"address\": \"127.0.0.1:9001\", \"host\": \"h\", "
	    "\"zone\": \"zone-a\", \"class\": \"a\", \"service\": \"chat\", "
	    "\"version\": \"v1\"}");
	write_file("workspaces/depot.json", text);
	g_free(text);
}

/* What one run of papayactl gave. */
typedef struct outcome {
	int code;
	char *out;
	char *err;
} outcome_t;

/* Runs papayactl with the words of a line; "DIR" stands for the directory. */
static outcome_t
ctl(const char *format, ...)
{
	const char *folder = g_getenv("PAPAYA_BIN");
	outcome_t outcome = {0};
	char *arguments[ARGUMENTS_MAX] = {0};
	char *line, **words;
	va_list list;
	int status;

	va_start(list, format);
	line = g_strdup_vprintf(format, list);
	va_end(list);
	words = g_strsplit(line, " ", ARGUMENTS_MAX - 2);
	arguments[0] = g_build_filename(
	    folder != NULL ? folder : "build", "papayactl", NULL);
	for (int i = 0; words[i] != NULL; i++)
		arguments[i + 1] =
		    strcmp(words[i], "DIR") == 0 ? dir : words[i];
	ck_assert(g_spawn_sync(NULL, arguments, NULL, G_SPAWN_DEFAULT, NULL,
	    NULL, &outcome.out, &outcome.err, &status, NULL));
	ck_assert(WIFEXITED(status));
	outcome.code = WEXITSTATUS(status);
	g_strfreev(words);
	g_free(arguments[0]);
	g_free(line);
	return outcome;
}

static void
outcome_clear(outcome_t *outcome)
{
	g_free(outcome->out);
	g_free(outcome->err);
}

/* Checks the exit code and what stdout and stderr contain (NULL: any). */
static void
expect(outcome_t outcome, int code, const char *out, const char *err)
{
	ck_assert_msg(outcome.code == code, "exit code %d, not %d: %s%s",
	    outcome.code, code, outcome.out, outcome.err);
	ck_assert_msg(out == NULL || strstr(outcome.out, out) != NULL,
	    "\"%s\" is not in: %s", out, outcome.out);
	ck_assert_msg(err == NULL || strstr(outcome.err, err) != NULL,
	    "\"%s\" is not in: %s", err, outcome.err);
	outcome_clear(&outcome);
}

/* True where the first node knows as many nodes. */
static bool
are_known(void *data)
{
	const int *count = data;
	test_response_t *answer =
	    test_request_json(nodes[0], "GET", "/v1/admin/nodes", NULL, 200);
	size_t known = json_array_size(json_object_get(answer->json, "nodes"));

	test_response_free(answer);
	return known == (size_t)*count;
}

static void
start_nodes(int count)
{
	store = program_start("standin-store", NULL);
	for (int i = 0; i < count; i++) {
		char *name = g_strdup_printf("n%d", i);
		char *zone = g_strdup_printf("zone-%c", 'a' + i);

		nodes[i] = papayad_start(name, zone, store, "t1", NULL);
		g_free(name);
		g_free(zone);
	}
	wait_until(are_known, &count);
}

/* Guards against a mistaken command line that does something. */
START_TEST(wrong_usage_exits_2)
{
	static const char *const lines[] = {"", "aply DIR", "apply",
	    "apply DIR", "apply DIR --team t1", "validate", "validate DIR x",
	    "validate DIR --wait", "get --node 127.0.0.1:1",
	    "nodes --node localhost:1", "nodes --node 127.0.0.1", "nodes",
	    "move start t1/chat --to v2 --node 127.0.0.1:1",
	    "move start t1/chat --within 5 --node 127.0.0.1:1",
	    "move start chat --to v2 --within 5 --node 127.0.0.1:1",
	    "move stop chat --node 127.0.0.1:1",
	    "report --format=pdf --node 127.0.0.1:1", "nodes --unknown",
	    "apply DIR --team t1 --node 127.0.0.1:1 --revision x",
	    "apply DIR --team t1 --node 127.0.0.1:1 --revision -1",
	    "apply DIR --team t1 --node 127.0.0.1:1 --timeout 0"};

	write_team(1);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		expect(ctl("%s", lines[i]), 2, NULL, "papayactl: ");
	expect(ctl("--help"), 0, "papayactl apply DIR", NULL);
	expect(ctl("--version"), 0, "papayactl ", NULL);
}
END_TEST

/* Guards against a bad directory whose file is not named. */
START_TEST(validate_names_the_file)
{
	char *here = g_path_get_dirname(__FILE__);
	char *expected;

	expect(ctl("validate %s/../examples/team", here), 0,
	    "valid: 2 services, 9 backend servers, 3 workspaces", NULL);
	g_free(here);
	expect(ctl("validate DIR/none"), 2, NULL, "give a directory");
	expect(ctl("validate DIR"), 2, NULL, "give the directory above them");
	write_team(1);
	expect(ctl("validate DIR"), 0, "valid: 1 services", NULL);
	expect(ctl("validate DIR --json"), 0, "\"depot\"", NULL);
	write_team(0);
	expected = g_strconcat("papayactl: ", dir,
	    "/workspaces/depot.json: workspaces.depot.weight: 0 is not a "
	    "whole number from 1 to 1000; set one in that range\n",
	    NULL);
	expect(ctl("validate DIR"), 2, NULL, expected);
	g_free(expected);
	write_team(1);
	write_file("services/chat.json", "{\"kind\": \"model\",\n \"cur");
	expected =
	    g_strconcat(dir, "/services/chat.json:2:5: not valid JSON", NULL);
	expect(ctl("validate DIR"), 2, NULL, expected);
	g_free(expected);
	write_team(1);
	write_file("services/chat.yaml", "");
	expect(ctl("validate DIR"), 2, NULL, "chat.yaml: not a settings file");
}
END_TEST

/* Guards against a misspelt directory whose files are left out unnoticed. */
START_TEST(validate_refuses_what_it_would_leave_out)
{
	write_team(1);
	write_file("README.md", "kept beside the settings");
	write_file(".gitignore", "");
	expect(ctl("validate DIR"), 0, NULL, NULL);
	write_file("service/chat.json", "{}");
	expect(ctl("validate DIR"), 2, NULL,
	    "/service: not a part of settings; move it to services");
}
END_TEST

/* Guards against an apply that is not shown, or shown before it is done. */
START_TEST(apply_get_diff_and_history)
{
	const char *node;

	start_nodes(1);
	node = nodes[0]->address;
	write_team(1);
	expect(
	    ctl("diff DIR --team t1 --node %s", node), 0, "+ workspaces", NULL);
	expect(ctl("apply DIR --team t1 --node %s --author ann --message one",
		   node),
	    0, "applied: team t1 at revision 1\n", NULL);
	expect(ctl("apply DIR --team t1 --node %s", node), 0,
	    "unchanged: team t1 at revision 1\n", NULL);
	write_team(2);
	expect(ctl("diff DIR --team t1 --node %s", node), 0,
	    "~ workspaces.depot.weight: 1 -> 2\n", NULL);
	expect(ctl("apply DIR --team t1 --node %s --author bob --message two "
		   "--revision 1 --json",
		   node),
	    0, "\"revision\": 2", NULL);
	write_team(3);
	expect(ctl("apply DIR --team t1 --node %s --revision 1", node), 1, NULL,
	    "settings_conflict: settings of team t1 are at revision 2 by "
	    "\"bob\" (\"two\"), not at 1; get the newer revision");
	expect(ctl("history --team t1 --node %s", node), 0,
	    "2\tbob\ttwo\n1\tann\tone\n", NULL);
	expect(ctl("get --team t1 --node %s", node), 0, "\"weight\": 2", NULL);
	expect(ctl("get --team t2 --node %s", node), 1, NULL, "not_found");
}
END_TEST

/* Guards against a wait that ends before the revision is everywhere. */
START_TEST(apply_waits_until_in_effect_everywhere)
{
	test_response_t *answer;

	start_nodes(NODES);
	write_team(1);
	expect(ctl("apply DIR --team t1 --wait --node %s", nodes[0]->address),
	    0, "in effect at every node", NULL);
	for (int i = 0; i < NODES; i++) {
		answer = test_request_json(
		    nodes[i], "GET", "/v1/admin/settings/t1", NULL, 200);
		ck_assert_int_eq(json_integer_value(
				     json_object_get(answer->json, "revision")),
		    1);
		test_response_free(answer);
	}
	kill(nodes[2]->pid, SIGSTOP);
	write_team(2);
	expect(ctl("apply DIR --team t1 --wait --timeout 1 --node %s",
		   nodes[0]->address),
	    1, NULL, "not known to be in effect at 1 nodes, such as \"n2\"");
	kill(nodes[2]->pid, SIGCONT);
	expect(ctl("apply DIR --team t1 --wait --node %s", nodes[0]->address),
	    0, "unchanged: team t1 at revision 2, in effect", NULL);
}
END_TEST

static gpointer
run_apply(gpointer data)
{
	outcome_t *outcome = data;

	*outcome = ctl("apply DIR --team t1 --node 127.0.0.1:1 --node %s "
		       "--node %s",
	    nodes[0]->address, nodes[1]->address);
	return NULL;
}

static bool
is_swapping(void *data)
{
	return metric_read(nodes[0], "settings_apply_swaps_total") >= 1;
}

/* Guards against an apply that is lost, or done twice, with its node. */
START_TEST(apply_goes_on_at_another_node)
{
	outcome_t outcome;
	GThread *thread;

	start_nodes(2);
	write_team(1);
	faults_set(store, "{\"delay_ms\": 200}");
	thread = g_thread_new(NULL, run_apply, &outcome);
	wait_until(is_swapping, NULL);
	program_end(nodes[0], SIGKILL);
	g_thread_join(thread);
	expect(outcome, 0, "applied: team t1 at revision 1\n", NULL);
}
END_TEST

/* Guards against a drain that ends another node, or interrupts this one. */
START_TEST(drain_ends_the_named_node)
{
	start_nodes(2);
	write_team(1);
	expect(ctl("apply DIR --team t1 --wait --node %s", nodes[0]->address),
	    0, NULL, NULL);
	expect(
	    ctl("nodes --node %s", nodes[0]->address), 0, "n1\tzone-b\t", NULL);
	expect(ctl("nodes --json --node %s", nodes[0]->address), 0,
	    "\"revisions\"", NULL);
	expect(ctl("drain n9 --node %s", nodes[0]->address), 1, NULL,
	    "no node \"n9\" is known");
	expect(ctl("drain n1 --node %s", nodes[0]->address), 0,
	    "draining: n1\n", NULL);
	ck_assert_int_eq(program_wait(nodes[1]), 0);
	expect(
	    ctl("get --team t1 --node %s", nodes[0]->address), 0, NULL, NULL);
}
END_TEST

/* How often the move that finishes later was looked at. */
static unsigned later_looks;

/* A node that replies to move requests with fixed states. */
static void
fake_reply(http_request_t *request, void *data)
{
	const char *path = http_request_path(request);
	const char *state = "running";

	if (g_str_has_suffix(path, "/good") ||
	    (g_str_has_suffix(path, "/later") && ++later_looks > 3))
		state = "finished";
	else if (g_str_has_suffix(path, "/bad"))
		state = "taken_back";
	http_reply_json(request, 200,
	    json_pack("{s:s,s:s,s:s,s:s,s:f,s:I,s:s}", "id", "m1", "from", "v1",
		"to", "v2", "state", state, "share", 0.05, "deadline_ms",
		(json_int_t)0, "reason", "why"));
}

/* Serves from a child process, as h2o keeps memory of the thread it ran in. */
static pid_t
fake_start(int *port)
{
	http_server_options_t options = {
	    .address = "127.0.0.1", .handler = fake_reply};
	uv_loop_t *loop = uv_default_loop();
	http_server_t *server = http_server_start(loop, &options, NULL);
	pid_t pid;

	ck_assert_ptr_nonnull(server);
	*port = http_server_port(server);
	pid = fork();
	ck_assert_int_ge(pid, 0);
	if (pid > 0)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	uv_loop_fork(loop);
	uv_run(loop, UV_RUN_DEFAULT);
	_exit(EXIT_SUCCESS);
}

/* Guards against exit codes that tell a script the wrong outcome. */
START_TEST(move_exit_codes)
{
	int port;
	pid_t pid = fake_start(&port);

	expect(ctl("move start t1/chat --to v2 --within 9 --node "
		   "127.0.0.1:%d",
		   port),
	    0, "m1\tv1 -> v2\trunning\tshare=0.05", NULL);
	expect(ctl("move status t1/good --node 127.0.0.1:%d", port), 0,
	    "finished", NULL);
	expect(
	    ctl("move status bad --team t1 --wait --node 127.0.0.1:%d", port),
	    3, "taken_back", NULL);
	expect(ctl("move status t1/chat --node 127.0.0.1:%d", port), 4,
	    "running", NULL);
	expect(ctl("move status t1/later --wait --node 127.0.0.1:%d", port), 0,
	    "finished", NULL);
	expect(ctl("move status t1/chat --wait --timeout 1 --node "
		   "127.0.0.1:%d",
		   port),
	    4, "running", NULL);
	expect(ctl("move status t1/chat --wait --timeout 1 --node "
		   "127.0.0.1:1"),
	    4, NULL, "no answer from 127.0.0.1:1");
	kill(pid, SIGKILL);
	ck_assert_int_eq(waitpid(pid, NULL, 0), pid);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("ctl");
	TCase *tests = tcase_create("ctl");

	tcase_set_timeout(tests, 0);
	tcase_add_checked_fixture(tests, make_dir, clean);
	tcase_add_test(tests, wrong_usage_exits_2);
	tcase_add_test(tests, validate_names_the_file);
	tcase_add_test(tests, validate_refuses_what_it_would_leave_out);
	tcase_add_test(tests, apply_get_diff_and_history);
	tcase_add_test(tests, apply_waits_until_in_effect_everywhere);
	tcase_add_test(tests, apply_goes_on_at_another_node);
	tcase_add_test(tests, drain_ends_the_named_node);
	tcase_add_test(tests, move_exit_codes);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
