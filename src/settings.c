#include "settings.h"

#include "error.h"
#include "json.h"

#include <string.h>

struct settings {
	GHashTable *trees; /* team name: settings_tree_t */
};

settings_tree_t *
settings_tree_ref(settings_tree_t *tree)
{
	tree->refs++;
	return tree;
}

void
settings_tree_unref(settings_tree_t *tree)
{
	if (tree == NULL || --tree->refs > 0)
		return;
	g_free(tree->team);
	g_free(tree->author);
	g_free(tree->message);
	g_free(tree->text);
	g_hash_table_destroy(tree->services);
	g_hash_table_destroy(tree->backends);
	g_hash_table_destroy(tree->workspaces);
	g_free(tree);
}

const service_t *
settings_tree_service(const settings_tree_t *tree, const char *name)
{
	return g_hash_table_lookup(tree->services, name);
}

const workspace_t *
settings_tree_workspace(const settings_tree_t *tree, const char *name)
{
	return g_hash_table_lookup(tree->workspaces, name);
}

json_t *
settings_tree_to_json(const settings_tree_t *tree)
{
	return json_parse(tree->text, strlen(tree->text), "tree", NULL);
}

json_t *
settings_tree_to_value(const settings_tree_t *tree)
{
	return json_pack("{s:I, s:s, s:s, s:o}", "revision",
	    (json_int_t)tree->revision, "author", tree->author, "message",
	    tree->message, "tree", settings_tree_to_json(tree));
}

static bool
check_store_value(const json_t *value, const char *source, GError **error)
{
	static const char *const known_fields[] = {
	    "revision", "author", "message", "nonce", "tree", NULL};
	const char *name;
	json_t *member;

	if (!json_is_object(value)) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: not a JSON object; apply the team's settings again",
		    source);
		return false;
	}
	json_object_foreach ((json_t *)value, name, member) {
		if (g_strv_contains(known_fields, name))
			continue;
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: %s: unknown field; run a release that supports it, or "
		    "apply the team's settings again",
		    source, name);
		return false;
	}
	if (json_get_int(value, "revision", 0) < 1 ||
	    json_get_string(value, "author", NULL) == NULL ||
	    json_get_string(value, "message", NULL) == NULL) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: revision must be a positive whole number, author and "
		    "message must be strings; apply the team's "
		    "settings again",
		    source);
		return false;
	}
	return true;
}

settings_tree_t *
settings_tree_from_value(
    const char *team, const json_t *value, const char *source, GError **error)
{
	if (!check_store_value(value, source, error))
		return NULL;
	return settings_tree_parse(team, json_get_int(value, "revision", 0),
	    json_get_string(value, "author", ""),
	    json_get_string(value, "message", ""),
	    json_object_get(value, "tree"), source, error);
}

static gint
compare_names(gconstpointer left, gconstpointer right)
{
	return strcmp(*(const char *const *)left, *(const char *const *)right);
}

static GPtrArray *
member_names(const json_t *old_value, const json_t *new_value)
{
	GPtrArray *names = g_ptr_array_new();
	const char *name;
	json_t *member;

	json_object_foreach ((json_t *)old_value, name, member)
		g_ptr_array_add(names, (gpointer)name);
	json_object_foreach ((json_t *)new_value, name, member)
		if (json_object_get(old_value, name) == NULL)
			g_ptr_array_add(names, (gpointer)name);
	g_ptr_array_sort(names, compare_names);
	return names;
}

static void
append_changed(const char *path, const json_t *old_value,
    const json_t *new_value, GString *out)
{
	char *old_text = json_text(old_value);
	char *new_text = json_text(new_value);

	g_string_append_printf(
	    out, "~ %s: %s -> %s\n", path, old_text, new_text);
	g_free(old_text);
	g_free(new_text);
}

/* jansson's nesting limit for parsed text bounds the recursion depth. */
static void
append_differences(const char *path, const json_t *old_value,
    const json_t *new_value, GString *out)
{
	GPtrArray *names;

	if (old_value == NULL || new_value == NULL) {
		if (old_value != new_value)
			g_string_append_printf(out, "%c %s\n",
			    old_value == NULL ? '+' : '-', path);
		return;
	}
	if (!json_is_object(old_value) || !json_is_object(new_value)) {
		if (!json_equal(old_value, new_value))
			append_changed(path, old_value, new_value, out);
		return;
	}
	names = member_names(old_value, new_value);
	for (guint i = 0; i < names->len; i++) {
		const char *name = names->pdata[i];
		char *member_path = path[0] == '\0'
					? g_strdup(name)
					: g_strconcat(path, ".", name, NULL);

		append_differences(member_path,
		    json_object_get(old_value, name),
		    json_object_get(new_value, name), out);
		g_free(member_path);
	}
	g_ptr_array_free(names, TRUE);
}

void
settings_tree_diff(const json_t *old_tree, const json_t *new_tree, GString *out)
{
	json_t *empty = json_object();

	append_differences("", old_tree != NULL ? old_tree : empty,
	    new_tree != NULL ? new_tree : empty, out);
	json_decref(empty);
}

settings_t *
settings_new(void)
{
	settings_t *settings = g_new0(settings_t, 1);

	settings->trees = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)settings_tree_unref);
	return settings;
}

void
settings_free(settings_t *settings)
{
	if (settings == NULL)
		return;
	g_hash_table_destroy(settings->trees);
	g_free(settings);
}

settings_update_result_t
settings_update(settings_t *settings, settings_tree_t *tree)
{
	int64_t known_revision = settings_revision(settings, tree->team);

	if (tree->revision < known_revision)
		return SETTINGS_OLDER;
	if (tree->revision == known_revision)
		return SETTINGS_SAME;
	g_hash_table_replace(
	    settings->trees, tree->team, settings_tree_ref(tree));
	return SETTINGS_NEWER;
}

settings_tree_t *
settings_find_tree(const settings_t *settings, const char *team)
{
	return g_hash_table_lookup(settings->trees, team);
}

int64_t
settings_revision(const settings_t *settings, const char *team)
{
	const settings_tree_t *tree = settings_find_tree(settings, team);

	return tree == NULL ? 0 : tree->revision;
}

const service_t *
settings_service(
    const settings_t *settings, const char *name, settings_tree_t **tree)
{
	const char *slash = strchr(name, '/');
	settings_tree_t *found;
	char *team;

	if (slash == NULL)
		return NULL;
	team = g_strndup(name, (gsize)(slash - name));
	found = settings_find_tree(settings, team);
	g_free(team);
	if (found == NULL)
		return NULL;
	if (tree != NULL)
		*tree = found;
	return settings_tree_service(found, name);
}

void
settings_foreach(const settings_t *settings,
    void (*func)(settings_tree_t *tree, void *data), void *user_data)
{
	GHashTableIter iter;
	gpointer tree;

	g_hash_table_iter_init(&iter, settings->trees);
	while (g_hash_table_iter_next(&iter, NULL, &tree))
		func(tree, user_data);
}
