#include "node.h"

#include "error.h"
#include "json.h"

#include <string.h>

void
node_admin_start(node_t *node)
{
}

void
node_admin_free(node_t *node)
{
}

static void
on_drained(node_t *node)
{
	uv_stop(node->loop);
}

static void
refuse_drain(http_request_t *request, const char *problem)
{
	GError *error = NULL;

	papaya_error_set(&error, PAPAYA_ERROR_BAD_REQUEST, "%s", problem);
	http_reply_error(request, error, true);
	g_error_free(error);
}

/*
 * Drains this node, which then ends as after SIGTERM. The body names the node,
 * so that a stale address does not drain another one.
 */
static void
serve_drain(node_t *node, http_request_t *request)
{
	size_t length;
	const char *text = http_request_body(request, &length);
	json_t *body = json_parse(text, length, "request", NULL);
	const char *name = json_get_string(body, "node", "");

	if (strcmp(http_request_method(request), "POST") != 0) {
		refuse_drain(request, "drain takes POST only; send POST");
	} else if (strcmp(name, node->config->name) != 0) {
		refuse_drain(request,
		    "request: node: not the name of this node; send {\"node\": "
		    "NAME} to the node of that name");
	} else {
		http_reply_json(request, 202,
		    json_pack("{s:s,s:b}", "node", name, "draining", 1));
		node_drain(node, on_drained);
	}
	json_decref(body);
}

bool
node_admin_handle(node_t *node, http_request_t *request)
{
	const char *path = http_request_path(request);

	if (strcmp(path, "/v1/admin/drain") == 0) {
		serve_drain(node, request);
		return true;
	}
	return false;
}
