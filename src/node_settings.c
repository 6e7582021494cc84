#include "node_settings.h"

#include "clock.h"
#include "error.h"
#include "json.h"
#include "log.h"

#include <string.h>

enum {
	WATCH_TIMEOUT_MS = 30000,
	/* Between reads of a node that does not watch; pushes come sooner. */
	POLL_MS = 60000,
	/* How soon a node notices that it is to watch. */
	CHECK_MS = 2000,
	/* After an answer that was not newer, so that stale reads do not spin.
	 */
	PAUSE_MS = 200,
	RETRY_FIRST_MS = 250,
	RETRY_MAX_MS = 8000,
	/* Between questions to peers about one team. */
	WANT_INTERVAL_MS = 500,
	OPERATION_RETRY_MS = 50,
};

static const char admin_prefix[] = "/v1/admin/settings/";

/* Follows one team's value in the store. Owned by the settings part. */
typedef struct team_follow {
	node_t *node;
	char *team;
	char *key;
	uv_timer_t timer;
	bool loaded;	      /* the store has answered once */
	int64_t key_revision; /* of the store's key, as read last */
	int64_t retry_ms;
	int64_t polled_ms;
	int64_t wanted_ms;
	int64_t rejected; /* newest revision that failed the check */
} team_follow_t;

static void follow_step(team_follow_t *follow);

char *
settings_key(const char *team)
{
	return g_strconcat("settings/", team, NULL);
}

char *
settings_history_key(const char *team, int64_t revision)
{
	return g_strdup_printf(
	    "settings-history/%s/%" G_GINT64_FORMAT, team, revision);
}

static team_follow_t *
find_team(const node_t *node, const char *team)
{
	node_settings_t *part = node->settings_part;

	for (guint i = 0; part != NULL && i < part->teams->len; i++) {
		team_follow_t *follow = part->teams->pdata[i];

		if (strcmp(follow->team, team) == 0)
			return follow;
	}
	return NULL;
}

static void
fill_settings(message_t *message, const settings_tree_t *tree)
{
	json_t *value = settings_tree_to_value(tree);

	message->type = MESSAGE_SETTINGS;
	message->settings.team = g_strdup(tree->team);
	message->settings.revision = tree->revision;
	message->settings.value = json_text(value);
	json_decref(value);
}

settings_update_result_t
node_settings_take(node_t *node, settings_tree_t *tree, bool push)
{
	settings_update_result_t accepted =
	    settings_update(node->settings, tree);
	message_t message = {0};

	switch (accepted) {
	case SETTINGS_SAME:
		return accepted;
	case SETTINGS_OLDER:
		counter_add(node->counters, 1, "settings_older_ignored_total");
		return accepted;
	case SETTINGS_NEWER:
		break;
	}
	backends_apply(node->backends, tree);
	counter_add(node->counters, 1, "settings_taken_total");
	*counter_get(node->counters, "settings_revision_changed_ms") =
	    (uint64_t)clock_wall_ms();
	log_event(LOG_LEVEL_INFO, "settings.taken",
	    "node=%s team=%s revision=%" G_GINT64_FORMAT " author=%s",
	    node->config->name, tree->team, tree->revision, tree->author);
	if (push) {
		fill_settings(&message, tree);
		node_peers_broadcast(node, &message);
		message_clear(&message);
	}
	return accepted;
}

/* A value that this release does not accept leaves the settings unchanged. */
static void
report_rejected(team_follow_t *follow, int64_t revision, const GError *error)
{
	counter_add(follow->node->counters, 1, "settings_rejected_total");
	if (revision <= follow->rejected)
		return;
	follow->rejected = revision;
	log_event(LOG_LEVEL_ERROR, "settings.rejected",
	    "node=%s team=%s revision=%" G_GINT64_FORMAT " error=%s",
	    follow->node->config->name, follow->team, revision, error->message);
}

static bool
take_text(team_follow_t *follow, const char *text, size_t length,
    const char *source, bool push)
{
	settings_update_result_t accepted;
	GError *error = NULL;
	settings_tree_t *tree = NULL;
	json_t *value = json_parse(text, length, source, &error);

	/* Skips the check of a tree that would not be kept. */
	if (value != NULL &&
	    json_get_int(value, "revision", 0) ==
		settings_revision(follow->node->settings, follow->team)) {
		json_decref(value);
		return false;
	}
	if (value != NULL)
		tree = settings_tree_from_value(
		    follow->team, value, source, &error);
	if (tree == NULL) {
		report_rejected(
		    follow, json_get_int(value, "revision", 0), error);
		json_decref(value);
		g_error_free(error);
		return false;
	}
	json_decref(value);
	accepted = node_settings_take(follow->node, tree, push);
	settings_tree_unref(tree);
	return accepted == SETTINGS_NEWER;
}

static void
on_follow_timer(uv_timer_t *timer)
{
	follow_step(timer->data);
}

static void
follow_after(team_follow_t *follow, int64_t delay_ms)
{
	uv_timer_start(&follow->timer, on_follow_timer, (uint64_t)delay_ms, 0);
}

/* Asks one peer by name, or every peer in contact where to is NULL. */
static void
ask_peers(team_follow_t *follow, const char *to)
{
	message_t message = {.type = MESSAGE_SETTINGS_REQUEST};
	int64_t now_ms = clock_mono_ms();

	if (now_ms - follow->wanted_ms < WANT_INTERVAL_MS)
		return;
	follow->wanted_ms = now_ms;
	message.settings_request.team = g_strdup(follow->team);
	if (to != NULL)
		node_peers_send(follow->node, to, &message);
	else
		node_peers_broadcast(follow->node, &message);
	message_clear(&message);
}

/*
 * Peers are asked only while the node has no settings of the team: later,
 * heartbeats tell which peer has a newer revision.
 */
static void
follow_failed(team_follow_t *follow)
{
	node_t *node = follow->node;
	int64_t jitter_ms =
	    (int64_t)(node_random(node) % (uint64_t)(follow->retry_ms / 2 + 1));

	counter_add(node->counters, 1, "settings_store_failures_total");
	if (settings_find_tree(node->settings, follow->team) == NULL)
		ask_peers(follow, NULL);
	follow_after(follow, follow->retry_ms / 2 + jitter_ms);
	follow->retry_ms = MIN(follow->retry_ms * 2, RETRY_MAX_MS);
}

static void
on_followed(const store_result_t *result, void *data)
{
	team_follow_t *follow = data;
	bool newer = false;

	switch (result->status) {
	case STORE_OK:
		follow->key_revision = result->revision;
		newer = take_text(follow, result->value, result->value_length,
		    follow->key, true);
		break;
	case STORE_NOT_FOUND:
		follow->key_revision = STORE_REVISION_NONE;
		break;
	case STORE_UNCHANGED:
		newer = true;
		break;
	case STORE_CONFLICT:
	case STORE_TOO_LARGE:
	case STORE_RATE_LIMITED:
	case STORE_NOT_SENT:
	case STORE_OUTCOME_UNKNOWN:
		follow_failed(follow);
		return;
	}
	follow->loaded = true;
	follow->retry_ms = RETRY_FIRST_MS;
	follow_after(follow, newer ? 0 : PAUSE_MS);
}

static void
follow_step(team_follow_t *follow)
{
	node_t *node = follow->node;
	int64_t now_ms = clock_mono_ms();

	if (follow->loaded && node_peers_watches_store(node, follow->team)) {
		store_watch_key(node->store, follow->key, follow->key_revision,
		    WATCH_TIMEOUT_MS, on_followed, follow);
		return;
	}
	if (follow->loaded && now_ms - follow->polled_ms < POLL_MS) {
		follow_after(follow, CHECK_MS);
		return;
	}
	follow->polled_ms = now_ms;
	store_get(node->store, follow->key, on_followed, follow);
}

static team_follow_t *
follow_new(node_t *node, const char *team)
{
	team_follow_t *follow = g_new0(team_follow_t, 1);

	follow->node = node;
	follow->team = g_strdup(team);
	follow->key = settings_key(team);
	follow->retry_ms = RETRY_FIRST_MS;
	follow->wanted_ms = -WANT_INTERVAL_MS;
	uv_timer_init(node->loop, &follow->timer);
	follow->timer.data = follow;
	return follow;
}

static void
on_follow_closed(uv_handle_t *handle)
{
	team_follow_t *follow = handle->data;

	g_free(follow->team);
	g_free(follow->key);
	g_free(follow);
}

void
node_settings_start(node_t *node)
{
	node_settings_t *part = g_new0(node_settings_t, 1);

	part->node = node;
	part->teams = g_ptr_array_new();
	LIST_INIT(&part->operations);
	node->settings_part = part;
	for (char **team = node->config->teams; *team != NULL; team++) {
		team_follow_t *follow;

		if (find_team(node, *team) != NULL)
			continue;
		follow = follow_new(node, *team);
		g_ptr_array_add(part->teams, follow);
		follow_step(follow);
	}
}

void
node_settings_free(node_t *node)
{
	node_settings_t *part = node->settings_part;
	operation_t *operation;

	if (part == NULL)
		return;
	while ((operation = LIST_FIRST(&part->operations)) != NULL)
		operation_end(operation);
	for (guint i = 0; i < part->teams->len; i++) {
		team_follow_t *follow = part->teams->pdata[i];

		uv_close((uv_handle_t *)&follow->timer, on_follow_closed);
	}
	g_ptr_array_free(part->teams, TRUE);
	g_free(part);
	node->settings_part = NULL;
}

operation_t *
operation_new(node_t *node, http_request_t *request, const char *team)
{
	operation_t *operation = g_new0(operation_t, 1);

	operation->node = node;
	operation->request = http_request_ref(request);
	operation->team = g_strdup(team);
	operation->started_ms = clock_mono_ms();
	operation->refused_key_revision = -1;
	uv_timer_init(node->loop, &operation->timer);
	operation->timer.data = operation;
	LIST_INSERT_HEAD(&node->settings_part->operations, operation, entries);
	return operation;
}

static void
on_operation_timer(uv_timer_t *timer)
{
	operation_t *operation = timer->data;

	operation->retry(operation);
}

void
operation_retry(operation_t *operation, void (*retry)(operation_t *operation))
{
	operation->retry = retry;
	uv_timer_start(
	    &operation->timer, on_operation_timer, OPERATION_RETRY_MS, 0);
}

static void
on_operation_closed(uv_handle_t *handle)
{
	operation_t *operation = handle->data;

	g_free(operation->team);
	g_free(operation->nonce);
	g_free(operation->value);
	settings_tree_unref(operation->tree);
	json_decref(operation->other);
	json_decref(operation->list);
	g_free(operation);
}

void
operation_end(operation_t *operation)
{
	LIST_REMOVE(operation, entries);
	http_request_unref(operation->request);
	uv_close((uv_handle_t *)&operation->timer, on_operation_closed);
}

void
operation_fail(operation_t *operation, GError *error, bool not_run)
{
	http_reply_error(operation->request, error, not_run);
	g_error_free(error);
	operation_end(operation);
}

static void
reply_settings(operation_t *operation)
{
	const settings_tree_t *tree =
	    settings_find_tree(operation->node->settings, operation->team);

	if (tree != NULL)
		http_reply_json(
		    operation->request, 200, settings_tree_to_value(tree));
	else
		http_reply_json(operation->request, 200,
		    json_pack("{s:i,s:s,s:s,s:{}}", "revision", 0, "author", "",
			"message", "", "tree"));
	operation_end(operation);
}

/*
 * The store's value is offered to the node first, so that the reply is the
 * newer of both and a stale read shows no older revision.
 */
static void
on_shown(const store_result_t *result, void *data)
{
	operation_t *operation = data;
	team_follow_t *follow = find_team(operation->node, operation->team);
	GError *error = NULL;

	if (result->status == STORE_OK)
		take_text(follow, result->value, result->value_length,
		    follow->key, true);
	if (result->status == STORE_OK || result->status == STORE_NOT_FOUND ||
	    settings_find_tree(operation->node->settings, operation->team) !=
		NULL) {
		reply_settings(operation);
		return;
	}
	papaya_error_set(&error, PAPAYA_ERROR_STORE_UNAVAILABLE,
	    "the store does not answer and no settings of team %s are known "
	    "here",
	    operation->team);
	operation_fail(operation, error, true);
}

static void
show_settings(node_t *node, http_request_t *request, const char *team)
{
	operation_t *operation = operation_new(node, request, team);
	char *key = settings_key(team);

	store_get(node->store, key, on_shown, operation);
	g_free(key);
}

static void
refuse(http_request_t *request, papaya_error_t kind, const char *what,
    const char *value)
{
	GError *error = NULL;

	papaya_error_set(&error, kind, "%s: \"%s\"", what, value);
	http_reply_error(request, error, true);
	g_error_free(error);
}

bool
node_settings_handle(node_t *node, http_request_t *request)
{
	const char *path = http_request_path(request);
	const char *method = http_request_method(request);
	bool history;
	char *team;

	if (!g_str_has_prefix(path, admin_prefix))
		return false;
	team = g_strdup(path + strlen(admin_prefix));
	history = g_str_has_suffix(team, "/history");
	if (history)
		team[strlen(team) - strlen("/history")] = '\0';
	if (find_team(node, team) == NULL)
		refuse(request, PAPAYA_ERROR_NOT_FOUND,
		    "this node serves no such team; add it to \"teams\" of its "
		    "configuration or use another node",
		    team);
	else if (history && strcmp(method, "GET") == 0)
		node_history(node, request, team);
	else if (!history && strcmp(method, "GET") == 0)
		show_settings(node, request, team);
	else if (!history && strcmp(method, "PUT") == 0)
		node_apply(node, request, team);
	else
		refuse(request, PAPAYA_ERROR_BAD_REQUEST,
		    "this path has no such method; use GET, or PUT to apply",
		    method);
	g_free(team);
	return true;
}

static void
compare_revisions(node_t *node, const GArray *revisions, const char *from)
{
	for (guint i = 0; revisions != NULL && i < revisions->len; i++) {
		const message_revision_t *other =
		    &g_array_index(revisions, message_revision_t, i);
		team_follow_t *follow = find_team(node, other->team);

		if (follow != NULL &&
		    other->revision >
			settings_revision(node->settings, other->team) &&
		    other->revision > follow->rejected)
			ask_peers(follow, from);
	}
}

static void
take_pushed(node_t *node, const message_t *message, const char *from)
{
	team_follow_t *follow = find_team(node, message->settings.team);

	if (follow == NULL ||
	    message->settings.revision <=
		settings_revision(node->settings, message->settings.team)) {
		counter_add(node->counters, 1, "settings_push_ignored_total");
		return;
	}
	take_text(follow, message->settings.value,
	    strlen(message->settings.value), from, false);
}

static void
answer_want(node_t *node, const message_t *message, const char *from)
{
	const settings_tree_t *tree =
	    settings_find_tree(node->settings, message->settings_request.team);
	message_t answer = {0};

	if (tree == NULL)
		return;
	fill_settings(&answer, tree);
	node_peers_send(node, from, &answer);
	message_clear(&answer);
}

void
node_settings_message(node_t *node, const message_t *message, const char *from)
{
	if (message->type == MESSAGE_SETTINGS)
		take_pushed(node, message, from);
	else if (message->type == MESSAGE_SETTINGS_REQUEST)
		answer_want(node, message, from);
	else if (message->type == MESSAGE_HEARTBEAT)
		compare_revisions(node, message->heartbeat.revisions, from);
	else if (message->type == MESSAGE_ZONE_SUMMARY)
		compare_revisions(node, message->zone_summary.revisions, from);
}
