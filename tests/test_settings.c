#include "settings.h"

#include "error.h"
#include "json.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const char valid_tree[] =
    "{\"services\": {"
    "  \"chat\": {\"kind\": \"model\", \"current\": \"v1\","
    "    \"versions\": [\"v1\", \"v2\"], \"timeout_ms\": 30000,"
    "    \"slo\": {\"first_token_ms\": 690, \"between_tokens_ms\": 61,"
    "      \"target\": 0.95},"
    "    \"limit\": {\"in_flight\": 64, \"waiting\": 256},"
    "    \"retry_budget\": 0.1, \"route_policy\": \"random\"},"
    "  \"pickup\": {\"kind\": \"plain\", \"repeatable\": false,"
    "    \"current\": \"v1\", \"versions\": [\"v1\"],"
    "    \"slo\": {\"answer_ms\": 2000},"
    "    \"ledger\": {\"retention_s\": 3600, \"key\": \"uuidv7\"}}},"
    " \"backends\": {"
    "  \"engine-1\": {\"address\": \"127.0.0.1:9001\", \"host\": \"host-1\","
    "    \"zone\": \"zone-a\", \"class\": \"a\", \"service\": \"chat\","
    "    \"version\": \"v1\", \"price_per_hour\": 1.2,"
    "    \"reclaimable\": true, \"fencing\": \"checked\"},"
    "  \"engine-2\": {\"address\": \"[::1]:9002\", \"host\": \"host-2\","
    "    \"zone\": \"zone-b\", \"class\": \"a\", \"service\": \"chat\","
    "    \"version\": \"v2\"}},"
    " \"workspaces\": {\"depot\": {\"weight\": 3, \"priority\": 2,"
    "    \"large\": true}}}";

static json_t *
valid_json(void)
{
	return json_parse(valid_tree, strlen(valid_tree), "good_tree", NULL);
}

/* Sets the field at a dotted path to a JSON text; NULL removes the field. */
static void
edit_json(json_t *tree, const char *path, const char *text)
{
	char **components = g_strsplit(path, ".", -1);
	json_t *object = tree;
	guint last = g_strv_length(components) - 1;

	for (guint i = 0; i < last; i++)
		object = json_object_get(object, components[i]);
	if (text == NULL)
		ck_assert_int_eq(json_object_del(object, components[last]), 0);
	else
		json_object_set_new(object, components[last],
		    json_loads(text, JSON_DECODE_ANY, NULL));
	g_strfreev(components);
}

/*
 * One validation rule: an edit of valid_tree that violates it, and the parts of
 * the expected error message.
 */
typedef struct rule {
	const char *path; /* field to edit */
	const char *text; /* its new value in JSON; NULL removes the field */
	const char *reported_path;  /* NULL: same as path */
	const char *reported_value; /* NULL: same as text */
	const char *remedy;
} rule_t;

static const rule_t rules[] = {
    /* Sections and entry names. */
    {"services", "[]", NULL, NULL, "write {"},
    {"servcies", "{}", NULL, NULL,
	"remove it or use one of: services, backends, workspaces"},
    {"services.chat", "7", NULL, NULL, "write {...}"},
    {"services.a b", "{}", NULL, NULL, "use 1 to 63 of letters"},
    {"services.-a", "{}", NULL, NULL, "beginning with a letter or digit"},
    {"backends.e/1", "{}", NULL, NULL, "use 1 to 63 of letters"},
    {"workspaces.depot", "[1]", NULL, NULL, "write {...}"},
    /* Services. */
    {"services.chat.timeout", "5", NULL, NULL, "remove it or use one of"},
    {"services.chat.kind", NULL, NULL, "missing value", "set \"kind\""},
    {"services.chat.current", NULL, NULL, "missing value", "set \"current\""},
    {"services.chat.versions", NULL, NULL, "missing value", "set \"versions\""},
    {"services.chat.kind", "\"engine\"", NULL, NULL,
	"use one of: model, plain"},
    {"services.chat.kind", "1", NULL, NULL, "use one of: model, plain"},
    {"services.chat.current", "\"v3\"", NULL, NULL,
	"add it there or use one of them"},
    {"services.chat.current", "\"\"", NULL, NULL, "use 1 to 63 of letters"},
    {"services.chat.versions", "[]", NULL, NULL, "write at least one"},
    {"services.chat.versions", "\"v1\"", NULL, NULL, "write at least one"},
    {"services.chat.versions", "[\"v1\", 2]", NULL, "2",
	"use 1 to 63 of letters"},
    {"services.chat.versions", "[\"v1\", \"v1\"]", NULL, "\"v1\"",
	"list each version once"},
    {"services.chat.timeout_ms", "0", NULL, NULL, "set one in that range"},
    {"services.chat.timeout_ms", "3600001", NULL, NULL, "1 to 3600000"},
    {"services.chat.timeout_ms", "1.5", NULL, NULL, "set one in that range"},
    {"services.chat.timeout_ms", "\"5\"", NULL, NULL, "set one in that range"},
    {"services.chat.retry_budget", "-0.1", NULL, NULL, "from 0 to 1"},
    {"services.chat.retry_budget", "null", NULL, NULL, "from 0 to 1"},
    {"services.chat.route_policy", "\"nearest\"", NULL, NULL,
	"use one of: affinity, least, random"},
    {"services.chat.limit_policy", "\"none\"", NULL, NULL,
	"use one of: adaptive, fixed"},
    {"services.chat.move_policy", "\"none\"", NULL, NULL,
	"use one of: evidence, fixed_steps"},
    {"services.chat.slo", "[]", NULL, NULL, "write {...}"},
    {"services.chat.slo.answer_ms", "5", NULL, NULL,
	"remove it or use one of: first_token_ms"},
    {"services.chat.slo.first_token_ms", "0", NULL, NULL,
	"set one in that range"},
    {"services.chat.slo.between_tokens_ms", "true", NULL, NULL,
	"set one in that range"},
    {"services.chat.slo.target", "1", NULL, NULL, "set a share such as 0.95"},
    {"services.chat.slo.target", "0", NULL, NULL, "set a share such as 0.95"},
    {"services.chat.slo.target", "95", NULL, NULL, "from 0 to 1"},
    {"services.pickup.slo.first_token_ms", "5", NULL, NULL,
	"remove it or use one of: answer_ms"},
    {"services.pickup.slo.answer_ms", "-1", NULL, NULL,
	"set one in that range"},
    {"services.chat.limit.in_flight", "0", NULL, NULL, "1 to 100000"},
    {"services.chat.limit.waiting", "-1", NULL, NULL, "0 to 100000"},
    {"services.chat.limit.queue", "1", NULL, NULL,
	"remove it or use one of: in_flight, waiting"},
    {"services.chat.repeatable", "false", NULL, NULL, "remove it"},
    {"services.pickup.repeatable", NULL, NULL, "missing value", "set false"},
    {"services.pickup.repeatable", "\"no\"", NULL, NULL, "set true or false"},
    {"services.pickup.repeatable", "true", "services.pickup.ledger",
	"{\"key\":\"uuidv7\",\"retention_s\":3600}",
	"set \"repeatable\": false"},
    {"services.pickup.ledger.retention_s", "0", NULL, NULL,
	"set one in that range"},
    {"services.pickup.ledger.key", "\"uuid\"", NULL, NULL,
	"use one of: any, uuidv7"},
    {"services.pickup.ledger.partitions", "4", NULL, NULL,
	"remove it or use one of: retention_s, key"},
    /* Backend servers. */
    {"backends.engine-1.port", "1", NULL, NULL, "remove it or use one of"},
    {"backends.engine-1.address", NULL, NULL, "missing value",
	"set \"address\""},
    {"backends.engine-1.host", NULL, NULL, "missing value", "set \"host\""},
    {"backends.engine-1.zone", NULL, NULL, "missing value", "set \"zone\""},
    {"backends.engine-1.class", NULL, NULL, "missing value", "set \"class\""},
    {"backends.engine-1.service", NULL, NULL, "missing value",
	"set \"service\""},
    {"backends.engine-1.version", NULL, NULL, "missing value",
	"set \"version\""},
    {"backends.engine-1.address", "\"engine:9001\"", NULL, NULL,
	"write IP:PORT"},
    {"backends.engine-1.address", "\"127.0.0.1\"", NULL, NULL, "write IP:PORT"},
    {"backends.engine-1.address", "\"127.0.0.1:0\"", NULL, NULL,
	"write IP:PORT"},
    {"backends.engine-1.address", "\"127.0.0.1:65536\"", NULL, NULL,
	"write IP:PORT"},
    {"backends.engine-1.address", "\"127.0.0.1:+80\"", NULL, NULL,
	"write IP:PORT"},
    {"backends.engine-1.address", "\"127.0.0.1:80 \"", NULL, NULL,
	"write IP:PORT"},
    {"backends.engine-1.address", "\"::1:9001\"", NULL, NULL, "write IP:PORT"},
    {"backends.engine-1.address", "9001", NULL, NULL, "write IP:PORT"},
    {"backends.engine-1.host", "\"a host\"", NULL, NULL,
	"use 1 to 63 of letters"},
    {"backends.engine-1.zone", "7", NULL, NULL, "use 1 to 63 of letters"},
    {"backends.engine-1.class", "null", NULL, NULL, "use 1 to 63 of letters"},
    {"backends.engine-1.service", "\"chatt\"", NULL, NULL,
	"add it to services or correct the name"},
    {"backends.engine-1.service", "\"acme/chat\"", NULL, NULL,
	"use 1 to 63 of letters"},
    {"backends.engine-1.version", "\"v9\"", NULL, NULL,
	"add it there or use one of them"},
    {"backends.engine-1.price_per_hour", "-1", NULL, NULL,
	"set one in that range"},
    {"backends.engine-1.reclaimable", "1", NULL, NULL, "set true or false"},
    {"backends.engine-1.fencing", "true", NULL, NULL,
	"use one of: checked, ignored"},
    {"backends.engine-2.address", "\"127.0.0.1:9001\"", NULL, NULL,
	"declare each backend server once"},
    {"backends.engine-2.host", "\"host-1\"", "backends.engine-2.zone",
	"\"zone-b\"", "give a host one availability zone"},
    {"services.chat", NULL, "backends.engine-1.service", "\"chat\"",
	"add it to services or correct the name"},
    /* Workspaces. */
    {"workspaces.depot.size", "1", NULL, NULL,
	"remove it or use one of: weight, priority, large"},
    {"workspaces.depot.weight", "0", NULL, NULL, "1 to 1000"},
    {"workspaces.depot.priority", "101", NULL, NULL, "0 to 100"},
    {"workspaces.depot.large", "\"yes\"", NULL, NULL, "set true or false"},
};

/*
 * Guards against an invalid value that is accepted, or rejected without naming
 * its path, the value and how to correct it.
 */
START_TEST(error_names_path_value_and_remedy)
{
	const rule_t *rule = &rules[_i];
	const char *path =
	    rule->reported_path != NULL ? rule->reported_path : rule->path;
	json_t *json = valid_json();
	char *value_string, *expected_prefix;
	GError *error = NULL;

	edit_json(json, rule->path, rule->text);
	if (rule->reported_value != NULL) {
		value_string = g_strdup(rule->reported_value);
	} else {
		json_t *value = json_loads(rule->text, JSON_DECODE_ANY, NULL);

		value_string = json_text(value);
		json_decref(value);
	}
	expected_prefix =
	    g_strdup_printf("team.json: %s: %s ", path, value_string);
	ck_assert_ptr_null(
	    settings_tree_parse("acme", 1, "", "", json, "team.json", &error));
	ck_assert_int_eq(papaya_error_kind(error), PAPAYA_ERROR_BAD_SETTING);
	ck_assert_msg(g_str_has_prefix(error->message, expected_prefix),
	    "\"%s\" does not begin with \"%s\"", error->message,
	    expected_prefix);
	ck_assert_msg(strstr(error->message, rule->remedy) != NULL,
	    "\"%s\" does not contain \"%s\"", error->message, rule->remedy);
	g_error_free(error);
	g_free(expected_prefix);
	g_free(value_string);
	json_decref(json);
}
END_TEST

/* Guards against an error that names the directory but not the file in it. */
START_TEST(error_names_the_file_in_a_directory)
{
	json_t *json = valid_json();
	GError *error = NULL;

	edit_json(json, "backends.engine-1.version", "\"v9\"");
	ck_assert_ptr_null(
	    settings_tree_parse("acme", 1, "", "", json, "d/", &error));
	ck_assert(g_str_has_prefix(error->message,
	    "d/backends/engine-1.json: backends.engine-1.version: \"v9\" "));
	g_error_free(error);
	json_decref(json);
}
END_TEST

/*
 * Guards against a long value that floods the log, and against a truncation
 * within a multi-byte UTF-8 character.
 */
START_TEST(error_truncates_a_long_value)
{
	json_t *json = valid_json();
	GError *error = NULL;
	GString *text = g_string_new("\"");

	for (int i = 0; i < 10000; i++)
		g_string_append(text, "\xc3\xa9");
	g_string_append_c(text, '"');
	edit_json(json, "backends.engine-1.zone", text->str);
	ck_assert_ptr_null(
	    settings_tree_parse("acme", 1, "", "", json, "f", &error));
	ck_assert_uint_lt(strlen(error->message), 512);
	ck_assert(g_utf8_validate(error->message, -1, NULL));
	g_error_free(error);
	g_string_free(text, TRUE);
	json_decref(json);
}
END_TEST

/*
 * Guards against team names that break store keys and paths, authors longer
 * than 128 bytes, and a missing tree.
 */
START_TEST(team_author_and_missing_tree_are_checked)
{
	json_t *json = valid_json();
	char *author = g_strnfill(129, 'a');
	GError *error = NULL;

	ck_assert_ptr_null(
	    settings_tree_parse("a/b", 1, "", "", json, "f", &error));
	ck_assert_ptr_nonnull(strstr(error->message, "f: team: \"a/b\""));
	g_clear_error(&error);
	ck_assert_ptr_null(
	    settings_tree_parse("", 1, "", "", json, "f", &error));
	g_clear_error(&error);
	ck_assert_ptr_null(
	    settings_tree_parse("a", 1, author, "", json, "f", &error));
	ck_assert_ptr_nonnull(strstr(error->message, "f: author: "));
	g_clear_error(&error);
	ck_assert_ptr_null(
	    settings_tree_parse("a", 1, "", "", NULL, "f", &error));
	ck_assert_ptr_nonnull(strstr(error->message, "f: tree: missing"));
	g_clear_error(&error);
	g_free(author);
	json_decref(json);
}
END_TEST

/* Guards against a field that is validated but not stored in the tree. */
START_TEST(valid_tree_sets_every_field)
{
	json_t *json = valid_json();
	GError *error = NULL;
	settings_tree_t *tree = settings_tree_parse(
	    "acme", 7, "ann", "why", json, "team.json", &error);
	const service_t *chat, *pickup;
	const backend_conf_t *engine;
	const workspace_t *depot;

	ck_assert_msg(tree != NULL, "%s", error != NULL ? error->message : "");
	chat = settings_tree_service(tree, "acme/chat");
	ck_assert_int_eq(chat->kind, SERVICE_MODEL);
	ck_assert(chat->repeatable);
	ck_assert_str_eq(chat->current, "v1");
	ck_assert_str_eq(chat->versions[1], "v2");
	ck_assert_ptr_null(chat->versions[2]);
	ck_assert_int_eq(chat->slo.first_token_ms, 690);
	ck_assert_uint_eq(chat->waiting_max, 256);
	ck_assert_int_eq(chat->route_policy, ROUTE_RANDOM);
	pickup = settings_tree_service(tree, "acme/pickup");
	ck_assert_int_eq(pickup->kind, SERVICE_PLAIN);
	ck_assert(!pickup->repeatable);
	ck_assert(pickup->require_uuidv7_keys);
	ck_assert_int_eq(pickup->retention_s, 3600);
	ck_assert_int_eq(pickup->timeout_ms, 30000);
	ck_assert_int_eq(pickup->route_policy, ROUTE_LEAST_REQUESTS);
	engine = g_hash_table_lookup(tree->backends, "acme/engine-1");
	ck_assert_str_eq(engine->service, "acme/chat");
	ck_assert_int_eq(engine->fencing, FENCING_CHECKED);
	engine = g_hash_table_lookup(tree->backends, "acme/engine-2");
	ck_assert_int_eq(engine->fencing, FENCING_IGNORED);
	depot = settings_tree_workspace(tree, "depot");
	ck_assert_uint_eq(depot->weight, 3);
	ck_assert(depot->large);
	ck_assert_ptr_null(settings_tree_service(tree, "chat"));
	settings_tree_unref(tree);
	json_decref(json);
}
END_TEST

/*
 * Guards against a store value that reads back differently, and against one
 * with unknown fields or an invalid revision that is accepted.
 */
START_TEST(stored_value_round_trips_and_is_validated)
{
	json_t *json = valid_json();
	settings_tree_t *tree =
	    settings_tree_parse("acme", 7, "ann", "why", json, "f", NULL);
	json_t *value = settings_tree_to_value(tree);
	settings_tree_t *restored =
	    settings_tree_from_value("acme", value, "settings/acme", NULL);
	json_t *restored_json = settings_tree_to_json(restored);
	GError *error = NULL;

	ck_assert_int_eq(restored->revision, 7);
	ck_assert_str_eq(restored->author, "ann");
	ck_assert_str_eq(restored->message, "why");
	ck_assert(json_equal(restored_json, json));
	json_decref(restored_json);
	settings_tree_unref(restored);
	json_object_set_new(value, "nonce", json_string("n"));
	restored =
	    settings_tree_from_value("acme", value, "settings/acme", NULL);
	ck_assert_ptr_nonnull(restored);
	settings_tree_unref(restored);
	json_object_set_new(value, "signature", json_string("n"));
	ck_assert_ptr_null(
	    settings_tree_from_value("acme", value, "store", &error));
	ck_assert_ptr_nonnull(strstr(error->message, "store: signature: "));
	g_clear_error(&error);
	json_object_del(value, "signature");
	json_object_set_new(value, "revision", json_integer(0));
	ck_assert_ptr_null(
	    settings_tree_from_value("acme", value, "store", &error));
	ck_assert_ptr_nonnull(strstr(error->message, "store: revision"));
	g_clear_error(&error);
	json_decref(value);
	json_decref(json);
	settings_tree_unref(tree);
}
END_TEST

/* Guards against a stale store read that replaces newer settings. */
START_TEST(older_revision_is_ignored)
{
	settings_t *settings = settings_new();
	json_t *json = valid_json();
	settings_tree_t *newer =
	    settings_tree_parse("acme", 7, "", "", json, "f", NULL);
	settings_tree_t *same =
	    settings_tree_parse("acme", 7, "", "", json, "f", NULL);
	settings_tree_t *older =
	    settings_tree_parse("acme", 6, "", "", json, "f", NULL);
	settings_tree_t *found = NULL;

	ck_assert_int_eq(settings_revision(settings, "acme"), 0);
	ck_assert_int_eq(settings_update(settings, newer), SETTINGS_NEWER);
	ck_assert_int_eq(settings_update(settings, older), SETTINGS_OLDER);
	ck_assert_int_eq(settings_update(settings, same), SETTINGS_SAME);
	ck_assert_ptr_eq(settings_find_tree(settings, "acme"), newer);
	ck_assert_ptr_nonnull(settings_service(settings, "acme/chat", &found));
	ck_assert_ptr_eq(found, newer);
	ck_assert_ptr_null(settings_service(settings, "chat", NULL));
	ck_assert_ptr_null(settings_service(settings, "other/chat", NULL));
	settings_free(settings);
	ck_assert_uint_eq(newer->refs, 1);
	settings_tree_unref(newer);
	settings_tree_unref(same);
	settings_tree_unref(older);
	json_decref(json);
}
END_TEST

/* Guards against a change that is missing from the diff. */
START_TEST(diff_lists_every_change)
{
	json_t *old_tree = valid_json(), *new_tree = valid_json();
	GString *lines = g_string_new(NULL);

	edit_json(new_tree, "services.chat.timeout_ms", "5");
	edit_json(new_tree, "services.chat.versions", "[\"v1\"]");
	edit_json(new_tree, "workspaces.depot", NULL);
	edit_json(new_tree, "workspaces.yard", "{}");
	settings_tree_diff(old_tree, new_tree, lines);
	ck_assert_str_eq(lines->str,
	    "~ services.chat.timeout_ms: 30000 -> 5\n"
	    "~ services.chat.versions: [\"v1\",\"v2\"] -> [\"v1\"]\n"
	    "- workspaces.depot\n"
	    "+ workspaces.yard\n");
	g_string_truncate(lines, 0);
	settings_tree_diff(old_tree, old_tree, lines);
	ck_assert_str_eq(lines->str, "");
	settings_tree_diff(NULL, old_tree, lines);
	ck_assert_str_eq(lines->str, "+ backends\n+ services\n+ workspaces\n");
	g_string_free(lines, TRUE);
	json_decref(old_tree);
	json_decref(new_tree);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("settings");
	TCase *tests = tcase_create("settings");

	tcase_add_loop_test(
	    tests, error_names_path_value_and_remedy, 0, G_N_ELEMENTS(rules));
	tcase_add_test(tests, error_names_the_file_in_a_directory);
	tcase_add_test(tests, error_truncates_a_long_value);
	tcase_add_test(tests, team_author_and_missing_tree_are_checked);
	tcase_add_test(tests, valid_tree_sets_every_field);
	tcase_add_test(tests, stored_value_round_trips_and_is_validated);
	tcase_add_test(tests, older_revision_is_ignored);
	tcase_add_test(tests, diff_lists_every_change);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
