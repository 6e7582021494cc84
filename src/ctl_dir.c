#include "ctl_dir.h"

#include "error.h"
#include "json.h"

#include <string.h>

static const char *const sections[] = {
    "services", "backends", "workspaces", NULL};

static const char suffix[] = ".json";

static gint
compare_names(gconstpointer left, gconstpointer right)
{
	return strcmp(*(const char *const *)left, *(const char *const *)right);
}

/* Sorted names in a directory, without hidden files and README.md. */
static GPtrArray *
list_dir(const char *path, GError **error)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GError *failure = NULL;
	const char *name;
	GDir *dir = g_dir_open(path, 0, &failure);

	if (dir == NULL) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: %s; give a directory with services, backends and "
		    "workspaces",
		    path, failure->message);
		g_error_free(failure);
		g_ptr_array_free(names, TRUE);
		return NULL;
	}
	while ((name = g_dir_read_name(dir)) != NULL)
		if (name[0] != '.' && strcmp(name, "README.md") != 0)
			g_ptr_array_add(names, g_strdup(name));
	g_dir_close(dir);
	g_ptr_array_sort(names, compare_names);
	return names;
}

static json_t *
load_file(const char *path, GError **error)
{
	GError *failure = NULL;
	json_t *json;
	char *text;
	gsize length;

	if (!g_file_get_contents(path, &text, &length, &failure)) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "%s; make it a readable file or remove it",
		    failure->message);
		g_error_free(failure);
		return NULL;
	}
	json = json_parse(text, length, path, error);
	g_free(text);
	return json;
}

static bool
load_entry(const char *dir, const char *file, json_t *section, GError **error)
{
	char *path = g_build_filename(dir, file, NULL);
	json_t *json = NULL;
	char *name;

	if (g_str_has_suffix(file, suffix))
		json = load_file(path, error);
	else
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: not a settings file; name it NAME.json or remove it",
		    path);
	g_free(path);
	if (json == NULL)
		return false;
	name = g_strndup(file, strlen(file) - strlen(suffix));
	json_object_set_new(section, name, json);
	g_free(name);
	return true;
}

static json_t *
load_section(const char *path, GError **error)
{
	GPtrArray *files = list_dir(path, error);
	json_t *section = json_object();

	for (guint i = 0; files != NULL && section != NULL && i < files->len;
	     i++) {
		if (load_entry(path, files->pdata[i], section, error))
			continue;
		json_decref(section);
		section = NULL;
	}
	if (files != NULL) {
		g_ptr_array_free(files, TRUE);
		return section;
	}
	json_decref(section);
	return NULL;
}

static bool
add_section(const char *dir, const char *name, json_t *tree, GError **error)
{
	char *path = g_build_filename(dir, name, NULL);
	json_t *section = NULL;

	if (g_strv_contains(sections, name))
		section = load_section(path, error);
	else
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: not a part of settings; move it to services, backends "
		    "or workspaces, or remove it",
		    path);
	g_free(path);
	if (section == NULL)
		return false;
	json_object_set_new(tree, name, section);
	return true;
}

static json_t *
load_tree(const char *dir, GError **error)
{
	GPtrArray *names = list_dir(dir, error);
	json_t *tree = json_object();
	bool ok = names != NULL;

	for (guint i = 0; ok && i < names->len; i++)
		ok = add_section(dir, names->pdata[i], tree, error);
	/* An apply of a wrong, empty directory would delete all settings. */
	if (ok && json_object_size(tree) == 0) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: no services, backends or workspaces in it; give the "
		    "directory above them",
		    dir);
		ok = false;
	}
	if (names != NULL)
		g_ptr_array_free(names, TRUE);
	if (ok)
		return tree;
	json_decref(tree);
	return NULL;
}

settings_tree_t *
ctl_dir_load(const char *dir, const char *team, GError **error)
{
	json_t *json = load_tree(dir, error);
	char *source;
	settings_tree_t *tree;

	if (json == NULL)
		return NULL;
	source = g_str_has_suffix(dir, "/") ? g_strdup(dir)
					    : g_strconcat(dir, "/", NULL);
	tree = settings_tree_parse(team, 0, NULL, NULL, json, source, error);
	g_free(source);
	json_decref(json);
	return tree;
}
