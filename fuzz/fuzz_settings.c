/* mutants of src/settings_check.c: SETTINGS_MUTANT=1 SETTINGS_MUTANT=2
 * SETTINGS_MUTANT=3 */
#include "error.h"
#include "json.h"
#include "oracle.h"
#include "settings.h"

#include <stdlib.h>
#include <string.h>

/*
 * Oracle: in an accepted tree all references resolve, and its store value
 * parses to an equal tree; a rejected tree sets PAPAYA_ERROR_BAD_SETTING with a
 * message that names the source and a remedy; a diff is empty if and only if
 * the trees are equal.
 */

static const char valid_text[] =
    "{\"services\":{\"chat\":{\"kind\":\"model\",\"current\":\"v1\","
    "\"versions\":[\"v1\",\"v2\"],\"slo\":{},\"limit\":{}},"
    "\"pickup\":{\"kind\":\"plain\",\"repeatable\":false,"
    "\"current\":\"v1\",\"versions\":[\"v1\"],\"ledger\":{}}},"
    "\"backends\":{\"e1\":{\"address\":\"127.0.0.1:1\",\"host\":\"h1\","
    "\"zone\":\"z1\",\"class\":\"a\",\"service\":\"chat\","
    "\"version\":\"v1\"},\"e2\":{\"address\":\"127.0.0.1:2\","
    "\"host\":\"h2\",\"zone\":\"z2\",\"class\":\"a\","
    "\"service\":\"pickup\",\"version\":\"v1\"}},"
    "\"workspaces\":{\"w\":{}}}";

static const char *const objects[] = {"", "services", "backends", "workspaces",
    "services.chat", "services.pickup", "services.chat.slo",
    "services.pickup.slo", "services.chat.limit", "services.pickup.ledger",
    "backends.e1", "backends.e2", "workspaces.w"};

static const char *const names[] = {"services", "backends", "workspaces",
    "chat", "pickup", "e1", "e2", "w", "kind", "current", "versions",
    "repeatable", "timeout_ms", "slo", "limit", "ledger", "retry_budget",
    "route_policy", "limit_policy", "move_policy", "first_token_ms",
    "between_tokens_ms", "answer_ms", "target", "in_flight", "waiting",
    "retention_s", "key", "address", "host", "zone", "class", "service",
    "version", "price_per_hour", "reclaimable", "fencing", "weight", "priority",
    "large", "a b", "-", ""};

static const char *const values[] = {"null", "true", "false", "0", "1", "-1",
    "0.5", "100", "1e300", "9223372036854775807", "\"\"", "\"v1\"", "\"v2\"",
    "\"model\"", "\"plain\"", "\"chat\"", "\"pickup\"", "\"any\"", "\"uuidv7\"",
    "\"checked\"", "\"ignored\"", "\"affinity\"", "\"least\"", "\"fixed\"",
    "\"evidence\"", "\"h1\"", "\"z1\"", "\"127.0.0.1:1\"",
    "\"127.0.0.1:65536\"", "\"[::1]:5\"", "\"[::1:5\"", "{}", "[]", "[\"v1\"]",
    "[\"v1\",\"v2\"]", "[\"v1\",\"v1\"]", "[1]"};

static bool
has(char **list, const char *text)
{
	return g_strv_contains((const char *const *)list, text);
}

static void
check_accepted(const settings_tree_t *tree)
{
	json_t *value = settings_tree_to_value(tree);
	settings_tree_t *back =
	    settings_tree_from_value("team", value, "f", NULL);
	GHashTableIter iter;
	gpointer item;

	CHECK(back != NULL && strcmp(back->text, tree->text) == 0);
	settings_tree_unref(back);
	json_decref(value);
	g_hash_table_iter_init(&iter, tree->services);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const service_t *service = item;

		CHECK(has(service->versions, service->current));
		CHECK(service->timeout_ms > 0 && service->slo.target < 1);
	}
	g_hash_table_iter_init(&iter, tree->backends);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const backend_conf_t *backend = item;
		const service_t *service =
		    settings_tree_service(tree, backend->service);

		CHECK(service != NULL);
		CHECK(has(service->versions, backend->version));
		CHECK(address_valid(backend->address));
	}
}

static void
check_error(const GError *error)
{
	CHECK(papaya_error_kind(error) == PAPAYA_ERROR_BAD_SETTING);
	CHECK(g_str_has_prefix(error->message, "f: "));
	CHECK(strstr(error->message, "; ") != NULL);
	CHECK(g_utf8_validate(error->message, -1, NULL));
}

static void
try_tree(const json_t *json)
{
	GError *error = NULL;
	settings_tree_t *tree =
	    settings_tree_parse("team", 1, "a", "m", json, "f", &error);

	CHECK((tree == NULL) == (error != NULL));
	if (tree != NULL)
		check_accepted(tree);
	else
		check_error(error);
	settings_tree_unref(tree);
	g_clear_error(&error);
}

static void
try_value(const json_t *json)
{
	GError *error = NULL;
	settings_tree_t *tree =
	    settings_tree_from_value("team", json, "f", &error);

	CHECK((tree == NULL) == (error != NULL));
	if (tree != NULL)
		check_accepted(tree);
	else
		check_error(error);
	settings_tree_unref(tree);
	g_clear_error(&error);
}

static void
try_diff(const json_t *old_tree, const json_t *new_tree)
{
	GString *lines = g_string_new(NULL);

	settings_tree_diff(old_tree, new_tree, lines);
	CHECK((lines->len == 0) == json_equal(old_tree, new_tree));
	g_string_truncate(lines, 0);
	settings_tree_diff(new_tree, new_tree, lines);
	CHECK(lines->len == 0);
	g_string_free(lines, TRUE);
}

static json_t *
object_at(json_t *tree, const char *path)
{
	char **components = g_strsplit(path, ".", -1);
	json_t *object = tree;

	for (guint i = 0; components[i] != NULL; i++)
		object = json_object_get(object, components[i]);
	g_strfreev(components);
	return object;
}

/*
 * Applies an edit of three bytes, the indexes of object, field name and value.
 * The index past the last value removes the field.
 */
static void
apply_edit(json_t *tree, const uint8_t *data)
{
	const char *path = objects[data[0] % G_N_ELEMENTS(objects)];
	const char *name = names[data[1] % G_N_ELEMENTS(names)];
	size_t value = data[2] % (G_N_ELEMENTS(values) + 1);
	json_t *object = path[0] == '\0' ? tree : object_at(tree, path);

	if (value == G_N_ELEMENTS(values))
		json_object_del(object, name);
	else
		json_object_set_new(object, name,
		    json_loads(values[value], JSON_DECODE_ANY, NULL));
}

static void
try_edits(const uint8_t *data, size_t size)
{
	json_t *original = json_loads(valid_text, 0, NULL);
	json_t *tree = json_deep_copy(original);

	for (size_t i = 0; i + 3 <= size && i < 24; i += 3) {
		apply_edit(tree, data + i);
		try_tree(tree);
	}
	try_diff(original, tree);
	json_decref(tree);
	json_decref(original);
}

static void
try_text(const uint8_t *data, size_t size)
{
	json_t *json = json_parse((const char *)data, size, "f", NULL);
	json_t *original;

	if (json == NULL)
		return;
	original = json_loads(valid_text, 0, NULL);
	try_tree(json);
	try_value(json);
	try_diff(original, json);
	json_decref(original);
	json_decref(json);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size == 0)
		return 0;
	if (data[0] % 2 == 0)
		try_text(data + 1, size - 1);
	else
		try_edits(data + 1, size - 1);
	return 0;
}
