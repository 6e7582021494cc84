#include "node_peer.h"

#include "error.h"

#include <string.h>

typedef struct find_workspace {
	const char *name;
	bool large;
} find_workspace_t;

static void
look_in_tree(settings_tree_t *tree, void *data)
{
	find_workspace_t *find = data;
	const workspace_t *workspace =
	    settings_tree_workspace(tree, find->name);

	if (workspace != NULL)
		find->large |= workspace->large;
}

static json_t *
entry_list(node_peers_t *peers, const char *workspace)
{
	find_workspace_t find = {.name = workspace};
	GPtrArray *list = g_ptr_array_new();
	json_t *entries = json_array();

	settings_foreach(peers->node->settings, look_in_tree, &find);
	members_entry_hosts(peers->members, workspace, find.large, list);
	for (guint i = 0; i < list->len; i++) {
		const member_t *member = list->pdata[i];

		json_array_append_new(
		    entries, json_pack("{s:s,s:s}", "address",
				 member->http_address, "zone", member->zone));
	}
	g_ptr_array_free(list, TRUE);
	return json_pack("{s:o,s:i}", "entries", entries, "lifetime_ms",
	    MEMBER_ENTRY_LIFETIME_MS);
}

static void
serve_entry(node_peers_t *peers, http_request_t *request)
{
	char *workspace = http_request_query_param(request, "workspace");
	GError *error = NULL;

	counter_add(peers->node->counters, 1, "entry_requests_total");
	if (workspace == NULL || workspace[0] == '\0') {
		papaya_error_set(&error, PAPAYA_ERROR_BAD_REQUEST,
		    "parameter \"workspace\" is missing; ask for "
		    "/v1/entry?workspace=NAME");
		http_reply_error(request, error, true);
		g_error_free(error);
	} else {
		http_reply_json(request, 200, entry_list(peers, workspace));
	}
	g_free(workspace);
}

static void
set_revision(gpointer team, gpointer value, gpointer data)
{
	json_object_set_new(data, team, json_integer(*(int64_t *)value));
}

static void
append_node(member_t *member, void *data)
{
	json_t *revisions = json_object();

	g_hash_table_foreach(member->revisions, set_revision, revisions);
	json_array_append_new(
	    data, json_pack("{s:s,s:s,s:s,s:s,s:b,s:o}", "node", member->node,
		      "zone", member->zone, "http", member->http_address,
		      "state", member_state_name(member->state), "draining",
		      member->draining, "revisions", revisions));
}

static void
take_own_revision(settings_tree_t *tree, void *data)
{
	members_set_revision(data, tree->team, tree->revision);
}

static void
serve_nodes(node_peers_t *peers, http_request_t *request)
{
	json_t *nodes = json_array();

	settings_foreach(
	    peers->node->settings, take_own_revision, peers->members);
	members_foreach(peers->members, append_node, nodes);
	http_reply_json(request, 200, json_pack("{s:o}", "nodes", nodes));
}

bool
node_entry_handle(node_peers_t *peers, http_request_t *request)
{
	const char *path = http_request_path(request);
	bool get = strcmp(http_request_method(request), "GET") == 0;

	if (get && strcmp(path, "/v1/entry") == 0)
		serve_entry(peers, request);
	else if (get && strcmp(path, "/v1/admin/nodes") == 0)
		serve_nodes(peers, request);
	else
		return false;
	return true;
}
