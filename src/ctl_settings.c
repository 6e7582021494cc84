#include "clock.h"
#include "ctl.h"
#include "ctl_dir.h"
#include "error.h"
#include "json.h"

#include <stdio.h>
#include <string.h>

enum {
	POLL_MS = 200,
	/* Limit for retrying an apply whose outcome is unknown. */
	APPLY_RETRY_MS = 40000,
};

/* Loads and validates DIR. On failure, prints the error; returns NULL. */
static settings_tree_t *
load_settings_dir(const ctl_t *ctl, const char *team)
{
	GError *error = NULL;
	settings_tree_t *tree = ctl_dir_load(ctl->operand, team, &error);

	if (tree == NULL) {
		ctl_error("%s", error->message);
		g_error_free(error);
	}
	return tree;
}

ctl_exit_t
ctl_validate(ctl_t *ctl)
{
	settings_tree_t *tree =
	    load_settings_dir(ctl, ctl->team != NULL ? ctl->team : "team");
	json_t *json;

	if (tree == NULL)
		return CTL_USAGE;
	if (ctl->json) {
		json = settings_tree_to_json(tree);
		ctl_print_json(json);
		json_decref(json);
	} else {
		printf("valid: %u services, %u backend servers, %u "
		       "workspaces\n",
		    g_hash_table_size(tree->services),
		    g_hash_table_size(tree->backends),
		    g_hash_table_size(tree->workspaces));
	}
	settings_tree_unref(tree);
	return CTL_OK;
}

static char *
settings_path(const ctl_t *ctl, const char *suffix)
{
	char *team = g_uri_escape_string(ctl->team, NULL, FALSE);
	char *path = g_strconcat("/v1/admin/settings/", team, suffix, NULL);

	g_free(team);
	return path;
}

static ctl_reply_t *
get_settings(ctl_t *ctl, const char *suffix)
{
	char *path = settings_path(ctl, suffix);
	ctl_request_t request = {.path = path, .idempotent = true};
	ctl_reply_t *reply = ctl_client_call(ctl->client, &request);

	g_free(path);
	return reply;
}

ctl_exit_t
ctl_get(ctl_t *ctl)
{
	ctl_reply_t *reply = get_settings(ctl, "");
	ctl_exit_t code = CTL_OK;

	if (ctl_reply_ok(reply))
		ctl_print_json(reply->json);
	else
		code = ctl_print_failure(reply);
	ctl_reply_free(reply);
	return code;
}

ctl_exit_t
ctl_history(ctl_t *ctl)
{
	ctl_reply_t *reply = get_settings(ctl, "/history");
	ctl_exit_t code = CTL_OK;
	const json_t *entry;
	size_t i;

	if (!ctl_reply_ok(reply))
		code = ctl_print_failure(reply);
	else if (ctl->json)
		ctl_print_json(reply->json);
	else
		json_array_foreach (
		    json_object_get(reply->json, "history"), i, entry)
			printf("%" G_GINT64_FORMAT "\t%s\t%s\n",
			    json_get_int(entry, "revision", 0),
			    json_get_string(entry, "author", ""),
			    json_get_string(entry, "message", ""));
	ctl_reply_free(reply);
	return code;
}

ctl_exit_t
ctl_diff(ctl_t *ctl)
{
	settings_tree_t *tree = load_settings_dir(ctl, ctl->team);
	ctl_exit_t code = CTL_OK;
	ctl_reply_t *reply;
	GString *lines;
	json_t *json;

	if (tree == NULL)
		return CTL_USAGE;
	reply = get_settings(ctl, "");
	if (ctl_reply_ok(reply)) {
		lines = g_string_new(NULL);
		json = settings_tree_to_json(tree);
		settings_tree_diff(
		    json_object_get(reply->json, "tree"), json, lines);
		json_decref(json);
		fputs(lines->str, stdout);
		g_string_free(lines, TRUE);
	} else {
		code = ctl_print_failure(reply);
	}
	ctl_reply_free(reply);
	settings_tree_unref(tree);
	return code;
}

static char *
new_nonce(void)
{
	char *uuid = g_uuid_string_random();
	char *nonce = g_strconcat("ctl-", uuid, NULL);

	g_free(uuid);
	return nonce;
}

/*
 * Retries the apply until its outcome is known. Starts no retry once
 * APPLY_RETRY_MS have passed.
 * The nonce makes the retry idempotent: a node that finds it in the store
 * replies that this apply has taken effect.
 */
static ctl_reply_t *
put_with_retry(ctl_t *ctl, const ctl_request_t *request)
{
	int64_t deadline_ms = clock_mono_ms() + APPLY_RETRY_MS;
	ctl_reply_t *reply;

	for (;;) {
		reply = ctl_client_call(ctl->client, request);
		if (ctl_reply_ok(reply) || ctl_reply_not_run(reply) ||
		    clock_mono_ms() >= deadline_ms)
			return reply;
		ctl_reply_free(reply);
		ctl_client_sleep(ctl->client, POLL_MS);
	}
}

static ctl_reply_t *
put_tree(ctl_t *ctl, const settings_tree_t *tree, int64_t revision)
{
	char *path = settings_path(ctl, "");
	char *nonce = new_nonce();
	char *if_match =
	    g_strdup_printf("If-Match: \"%" G_GINT64_FORMAT "\"", revision);
	json_t *body = json_pack("{s:s,s:s,s:s,s:o}", "author", ctl->author,
	    "message", ctl->message, "nonce", nonce, "tree",
	    settings_tree_to_json(tree));
	ctl_request_t request = {
	    .method = "PUT",
	    .path = path,
	    .header = if_match,
	    .body = body,
	    .idempotent = true,
	};
	ctl_reply_t *reply = put_with_retry(ctl, &request);

	json_decref(body);
	g_free(if_match);
	g_free(nonce);
	g_free(path);
	return reply;
}

static ctl_exit_t
finish_apply(ctl_t *ctl, int64_t revision, bool changed)
{
	if (ctl->wait && !ctl_wait_in_effect(ctl, revision))
		return CTL_FAILED;
	if (ctl->json) {
		json_t *json = json_pack("{s:s,s:I,s:b,s:b}", "team", ctl->team,
		    "revision", (json_int_t)revision, "changed", (int)changed,
		    "in_effect", (int)ctl->wait);

		ctl_print_json(json);
		json_decref(json);
		return CTL_OK;
	}
	printf("%s: team %s at revision %" G_GINT64_FORMAT "%s\n",
	    changed ? "applied" : "unchanged", ctl->team, revision,
	    ctl->wait ? ", in effect at every node" : "");
	return CTL_OK;
}

/*
 * Reads the team's current settings. Sets the base revision (--revision, or
 * else the current one), and whether that is the current revision and its
 * settings equal the tree.
 */
static bool
read_current_settings(ctl_t *ctl, const settings_tree_t *tree,
    int64_t *base_revision, bool *unchanged, ctl_exit_t *code)
{
	ctl_reply_t *reply = get_settings(ctl, "");
	bool ok = ctl_reply_ok(reply);
	int64_t current_revision = json_get_int(reply->json, "revision", 0);
	json_t *json = settings_tree_to_json(tree);

	*unchanged = false;
	if (ok) {
		*base_revision =
		    ctl->revision >= 0 ? ctl->revision : current_revision;
		*unchanged =
		    *base_revision == current_revision &&
		    current_revision > 0 &&
		    json_equal(json_object_get(reply->json, "tree"), json);
	} else {
		*code = ctl_print_failure(reply);
	}
	json_decref(json);
	ctl_reply_free(reply);
	return ok;
}

ctl_exit_t
ctl_apply(ctl_t *ctl)
{
	settings_tree_t *tree = load_settings_dir(ctl, ctl->team);
	ctl_exit_t code = CTL_FAILED;
	ctl_reply_t *reply;
	int64_t base_revision;
	bool unchanged;

	if (tree == NULL)
		return CTL_USAGE;
	if (!read_current_settings(
		ctl, tree, &base_revision, &unchanged, &code)) {
		settings_tree_unref(tree);
		return code;
	}
	if (unchanged) {
		settings_tree_unref(tree);
		return finish_apply(ctl, base_revision, false);
	}
	reply = put_tree(ctl, tree, base_revision);
	settings_tree_unref(tree);
	if (ctl_reply_ok(reply))
		code = finish_apply(
		    ctl, json_get_int(reply->json, "revision", 0), true);
	else
		code = ctl_print_failure(reply);
	ctl_reply_free(reply);
	return code;
}
