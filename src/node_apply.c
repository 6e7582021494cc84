#include "node_settings.h"

#include "clock.h"
#include "error.h"
#include "json.h"

#include <stdlib.h>
#include <string.h>

enum {
	NONCE_MAX_LENGTH = 64,
	HISTORY_DEFAULT = 20,
	HISTORY_MAX = 100,
	/* How long to wait for the store where nothing was written. */
	GIVE_UP_MS = 5000,
	/* How long to find out what became of a write. */
	RESOLVE_MS = 15000,
	/* How long to take a revision below the operator's for a stale read. */
	STALE_MS = 1000,
};

static void read_present(operation_t *operation);

/* tree is NULL where a newer one has replaced it already. */
static void
apply_accepted(operation_t *operation, settings_tree_t *tree)
{
	node_t *node = operation->node;

	counter_add(node->counters, 1, "settings_applies_total");
	if (tree != NULL)
		node_settings_take(node, tree, true);
	http_reply_json(operation->request, 200,
	    json_pack("{s:s,s:I}", "team", operation->team, "revision",
		(json_int_t)operation->base + 1));
	operation_end(operation);
}

/* Names the revision and the author that the operator did not know of. */
static void
apply_conflict(operation_t *operation, int64_t revision, const char *author,
    const char *message)
{
	GError *error = NULL;

	counter_add(operation->node->counters, 1, "settings_conflicts_total");
	papaya_error_set(&error, PAPAYA_ERROR_SETTINGS_CONFLICT,
	    "settings of team %s are at revision %" G_GINT64_FORMAT
	    " by \"%s\" (\"%s\"), not at %" G_GINT64_FORMAT,
	    operation->team, revision, author, message, operation->base);
	operation_fail(operation, error, true);
}

static void
apply_conflict_other(operation_t *operation)
{
	apply_conflict(operation, json_get_int(operation->other, "revision", 0),
	    json_get_string(operation->other, "author", ""),
	    json_get_string(operation->other, "message", ""));
}

static void
apply_unavailable(operation_t *operation)
{
	GError *error = NULL;

	counter_add(operation->node->counters, 1, "settings_unresolved_total");
	if (operation->maybe_written)
		papaya_error_set(&error, PAPAYA_ERROR_STORE_UNAVAILABLE,
		    "the store did not answer: revision %" G_GINT64_FORMAT
		    " of team %s may or may not be applied; apply the same "
		    "again, or look with papayactl get",
		    operation->base + 1, operation->team);
	else
		papaya_error_set(&error, PAPAYA_ERROR_STORE_UNAVAILABLE,
		    "the store does not answer: nothing was applied for team "
		    "%s",
		    operation->team);
	operation_fail(operation, error, !operation->maybe_written);
}

static bool
waited(const operation_t *operation, int64_t limit_ms)
{
	return clock_mono_ms() - operation->started_ms >= limit_ms;
}

/* Starts over from reading, or gives up at the time limit. */
static void
retry_apply(operation_t *operation)
{
	if (waited(
		operation, operation->maybe_written ? RESOLVE_MS : GIVE_UP_MS))
		apply_unavailable(operation);
	else
		operation_retry(operation, read_present);
}

static void
apply_too_large(operation_t *operation)
{
	GError *error = NULL;

	papaya_error_set(&error, PAPAYA_ERROR_TOO_LARGE,
	    "settings of team %s take %zu bytes, more than the store's %d; "
	    "split the team",
	    operation->team, strlen(operation->value), STORE_VALUE_MAX_BYTES);
	operation_fail(operation, error, true);
}

static void
on_swapped(const store_result_t *result, void *data)
{
	operation_t *operation = data;

	switch (result->status) {
	case STORE_OK:
		apply_accepted(operation, operation->tree);
		return;
	case STORE_TOO_LARGE:
		apply_too_large(operation);
		return;
	case STORE_CONFLICT:
		operation->refused_key_revision = operation->key_revision;
		break;
	case STORE_RATE_LIMITED:
	case STORE_NOT_SENT:
		break;
	case STORE_NOT_FOUND:
	case STORE_UNCHANGED:
	case STORE_OUTCOME_UNKNOWN:
		operation->maybe_written = true;
		break;
	}
	retry_apply(operation);
}

static void
swap_value(operation_t *operation)
{
	char *key = settings_key(operation->team);

	counter_add(operation->node->counters, 1, "settings_apply_swaps_total");
	store_compare_and_swap(operation->node->store, key,
	    operation->key_revision, operation->value, strlen(operation->value),
	    NULL, on_swapped, operation);
	g_free(key);
}

static void
on_archived(const store_result_t *result, void *data)
{
	operation_t *operation = data;

	/* A conflict means that it is there: a revision has one value only. */
	if (result->status == STORE_OK || result->status == STORE_CONFLICT)
		swap_value(operation);
	else
		retry_apply(operation);
}

/* Keeps the value that is about to be replaced. */
static void
archive_present(operation_t *operation)
{
	char *text, *key;

	if (operation->other == NULL) {
		swap_value(operation);
		return;
	}
	counter_add(
	    operation->node->counters, 1, "settings_apply_archives_total");
	text = json_text(operation->other);
	key = settings_history_key(
	    operation->team, json_get_int(operation->other, "revision", 0));
	store_compare_and_swap(operation->node->store, key, STORE_REVISION_NONE,
	    text, strlen(text), NULL, on_archived, operation);
	g_free(key);
	g_free(text);
}

static bool
same_nonce(const operation_t *operation, const json_t *value)
{
	return g_strcmp0(json_get_string(value, "nonce", NULL),
		   operation->nonce) == 0;
}

/* The operator's revision was replaced since; was it this apply's? */
static void
on_replaced_read(const store_result_t *result, void *data)
{
	operation_t *operation = data;
	json_t *value;
	bool ours;

	/* A replaced revision is in the history: absent is a stale read. */
	if (result->status != STORE_OK) {
		retry_apply(operation);
		return;
	}
	value =
	    json_parse(result->value, result->value_length, "history", NULL);
	ours = same_nonce(operation, value);
	json_decref(value);
	if (ours)
		apply_accepted(operation, NULL);
	else
		apply_conflict_other(operation);
}

static void
read_replaced(operation_t *operation)
{
	char *key;

	if (!operation->maybe_written && !operation->nonce_given) {
		apply_conflict_other(operation);
		return;
	}
	key = settings_history_key(operation->team, operation->base + 1);
	store_get(operation->node->store, key, on_replaced_read, operation);
	g_free(key);
}

/* The store has the revision that this apply was to write. */
static void
decide_from_next(operation_t *operation)
{
	settings_tree_t *tree;

	if (!same_nonce(operation, operation->other)) {
		apply_conflict_other(operation);
		return;
	}
	tree = settings_tree_from_value(
	    operation->team, operation->other, "store", NULL);
	apply_accepted(operation, tree);
	settings_tree_unref(tree);
}

/* The node holds a newer revision than the store's value, a stale read. */
static void
decide_from_held(operation_t *operation)
{
	const settings_tree_t *held =
	    settings_find_tree(operation->node->settings, operation->team);

	/* The newer revision may be this apply's own; the store will tell. */
	if (operation->maybe_written || operation->nonce_given)
		retry_apply(operation);
	else
		apply_conflict(
		    operation, held->revision, held->author, held->message);
}

/*
 * Goes on from the store's value. It may be a stale one, or an old one put
 * back by the store's operators: the node's own revision counts as well, and
 * the swap fails where the value is not the present one.
 */
static void
decide(operation_t *operation)
{
	int64_t held =
	    settings_revision(operation->node->settings, operation->team);
	int64_t present = json_get_int(operation->other, "revision", 0);

	if (present == operation->base + 1) {
		decide_from_next(operation);
	} else if (present > operation->base) {
		read_replaced(operation);
	} else if (held > operation->base) {
		decide_from_held(operation);
	} else if (MAX(present, held) < operation->base) {
		if (waited(operation, STALE_MS) && !operation->maybe_written)
			apply_conflict_other(operation);
		else
			retry_apply(operation);
	} else if (operation->key_revision == operation->refused_key_revision) {
		retry_apply(operation);
	} else {
		archive_present(operation);
	}
}

static void
on_present_read(const store_result_t *result, void *data)
{
	operation_t *operation = data;

	json_decref(operation->other);
	operation->other = NULL;
	operation->key_revision = STORE_REVISION_NONE;
	if (result->status == STORE_OK) {
		operation->key_revision = result->revision;
		operation->other = json_parse(
		    result->value, result->value_length, "store", NULL);
	}
	if (result->status == STORE_OK || result->status == STORE_NOT_FOUND)
		decide(operation);
	else
		retry_apply(operation);
}

static void
read_present(operation_t *operation)
{
	char *key = settings_key(operation->team);

	counter_add(operation->node->counters, 1, "settings_apply_reads_total");
	store_get(operation->node->store, key, on_present_read, operation);
	g_free(key);
}

static bool
read_if_match(http_request_t *request, int64_t *base, GError **error)
{
	const char *match = http_request_header(request, "if-match");
	char *end = NULL;

	if (match != NULL && match[0] == '"' && g_ascii_isdigit(match[1])) {
		*base = g_ascii_strtoll(match + 1, &end, 10);
		if (strcmp(end, "\"") == 0 && *base < G_MAXINT64)
			return true;
	}
	papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
	    "header If-Match is %s; send the revision that the change is made "
	    "from in quotes, \"0\" for a new team",
	    match == NULL ? "missing" : "not a quoted revision");
	return false;
}

static bool
check_body(const json_t *body, GError **error)
{
	static const char *const names[] = {
	    "author", "message", "nonce", "tree", NULL};
	const char *nonce = json_get_string(body, "nonce", "");
	const char *name;
	json_t *value;

	if (!json_is_object(body)) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
		    "request: not an object; send {\"author\", \"message\", "
		    "\"tree\"}");
		return false;
	}
	json_object_foreach ((json_t *)body, name, value) {
		if (!g_strv_contains(names, name)) {
			papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
			    "request: %s: unknown field; remove it", name);
			return false;
		}
		if (strcmp(name, "tree") != 0 && !json_is_string(value)) {
			papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
			    "request: %s: not a string; send one", name);
			return false;
		}
	}
	if (json_get_string(body, "author", "")[0] == '\0') {
		papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
		    "request: author: missing or empty; name who applies");
		return false;
	}
	if (strlen(nonce) > NONCE_MAX_LENGTH) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
		    "request: nonce: longer than %d bytes; shorten it",
		    NONCE_MAX_LENGTH);
		return false;
	}
	return true;
}

static char *
nonce_of(node_t *node, const json_t *body)
{
	const char *given = json_get_string(body, "nonce", "");

	if (given[0] != '\0')
		return g_strdup(given);
	return g_strdup_printf("%016" G_GINT64_MODIFIER
			       "x%016" G_GINT64_MODIFIER "x",
	    node_unique(node), node_unique(node));
}

static char *
value_of(const settings_tree_t *tree, const char *nonce)
{
	json_t *value = settings_tree_to_value(tree);
	char *text;

	json_object_set_new(value, "nonce", json_string(nonce));
	text = json_text(value);
	json_decref(value);
	return text;
}

/* Checks the whole request before the store is asked for anything. */
static settings_tree_t *
parse_apply(
    http_request_t *request, const char *team, json_t **body, GError **error)
{
	const char *text;
	size_t length;
	int64_t base;

	text = http_request_body(request, &length);
	if (!read_if_match(request, &base, error))
		return NULL;
	*body = json_parse(text, length, "request", error);
	if (*body == NULL || !check_body(*body, error))
		return NULL;
	return settings_tree_parse(team, base + 1,
	    json_get_string(*body, "author", ""),
	    json_get_string(*body, "message", ""),
	    json_object_get(*body, "tree"), "request", error);
}

void
node_apply(node_t *node, http_request_t *request, const char *team)
{
	operation_t *operation;
	GError *error = NULL;
	json_t *body = NULL;
	settings_tree_t *tree = parse_apply(request, team, &body, &error);

	if (tree == NULL) {
		counter_add(node->counters, 1, "settings_refused_total");
		http_reply_error(request, error, true);
		g_error_free(error);
		json_decref(body);
		return;
	}
	operation = operation_new(node, request, team);
	operation->base = tree->revision - 1;
	operation->tree = tree;
	operation->nonce = nonce_of(node, body);
	operation->nonce_given = json_object_get(body, "nonce") != NULL;
	operation->value = value_of(tree, operation->nonce);
	json_decref(body);
	if (strlen(operation->value) > STORE_VALUE_MAX_BYTES)
		apply_too_large(operation);
	else
		read_present(operation);
}

static void read_history(operation_t *operation);

static void
reply_history(operation_t *operation)
{
	http_reply_json(operation->request, 200,
	    json_pack("{s:s,s:O}", "team", operation->team, "history",
		operation->list));
	operation_end(operation);
}

static void
add_history(operation_t *operation, const store_result_t *result)
{
	json_t *value =
	    json_parse(result->value, result->value_length, "history", NULL);
	int64_t revision = json_get_int(value, "revision", 0);

	json_array_append_new(operation->list,
	    json_pack("{s:I,s:s,s:s}", "revision", (json_int_t)revision,
		"author", json_get_string(value, "author", ""), "message",
		json_get_string(value, "message", "")));
	operation->next = revision - 1;
	json_decref(value);
}

static void
on_history_read(const store_result_t *result, void *data)
{
	operation_t *operation = data;
	GError *error = NULL;

	if (result->status == STORE_OK) {
		add_history(operation, result);
		operation->base--;
		if (operation->base > 0 && operation->next > 0)
			read_history(operation);
		else
			reply_history(operation);
	} else if (result->status == STORE_NOT_FOUND) {
		reply_history(operation);
	} else if (!waited(operation, GIVE_UP_MS)) {
		operation_retry(operation, read_history);
	} else {
		papaya_error_set(&error, PAPAYA_ERROR_STORE_UNAVAILABLE,
		    "the store does not answer; its history is kept nowhere "
		    "else");
		operation_fail(operation, error, true);
	}
}

/* The present value first, then what it replaced, one read each. */
static void
read_history(operation_t *operation)
{
	char *key =
	    json_array_size(operation->list) == 0
		? settings_key(operation->team)
		: settings_history_key(operation->team, operation->next);

	store_get(operation->node->store, key, on_history_read, operation);
	g_free(key);
}

void
node_history(node_t *node, http_request_t *request, const char *team)
{
	operation_t *operation = operation_new(node, request, team);
	char *limit = http_request_query_param(request, "limit");

	operation->list = json_array();
	operation->base = HISTORY_DEFAULT;
	if (limit != NULL)
		operation->base =
		    CLAMP(g_ascii_strtoll(limit, NULL, 10), 1, HISTORY_MAX);
	g_free(limit);
	read_history(operation);
}
