#include "clock.h"
#include "error.h"
#include "json.h"
#include "node_call.h"

#include <string.h>
#include <xxhash.h>

enum {
	MAX_TOKENS_DEFAULT = 16,
	MAX_TOKENS_MAX = 65536,
	/* Prompts from this length are a route of their own for the moves. */
	LONG_PROMPT_BYTES = 4096,
	KEY_LENGTH_MAX = 128,
	ROUTE_LENGTH_MAX = 32,
};

/* Request headers that reach a plain service. */
static const char *const passed_headers[] = {"content-type", "accept",
    "accept-language", "authorization", "if-match", "if-none-match",
    "idempotency-key", "papaya-workspace"};

static void
reject(node_t *node, http_request_t *request, GError *error)
{
	counter_add(node->counters, 1, "requests_rejected_total{kind=\"%s\"}",
	    papaya_error_name(papaya_error_kind(error)));
	http_reply_error(request, error, true);
	g_error_free(error);
}

/* What every request for a service needs. Borrowed. */
typedef struct target {
	settings_tree_t *tree;
	const service_t *service;
	const workspace_t *workspace;
	int64_t timeout_ms;
	const char *key; /* Idempotency-Key, or NULL */
} target_t;

static bool
parse_timeout(const http_request_t *request, target_t *target, GError **error)
{
	const char *text = http_request_header(request, "papaya-timeout-ms");
	gint64 timeout_ms;

	target->timeout_ms = target->service->timeout_ms;
	if (text == NULL)
		return true;
	if (!g_ascii_string_to_signed(
		text, 10, 1, G_MAXINT32, &timeout_ms, NULL)) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
		    "Papaya-Timeout-Ms \"%.32s\" is not a positive number",
		    text);
		return false;
	}
	target->timeout_ms = MIN(target->timeout_ms, timeout_ms);
	return true;
}

static bool
parse_target(node_t *node, const http_request_t *request, const char *name,
    target_t *target, GError **error)
{
	const char *workspace =
	    http_request_header(request, "papaya-workspace");

	if (node->draining) {
		papaya_error_set(error, PAPAYA_ERROR_DRAINING,
		    "node %s is shutting down", node->config->name);
		return false;
	}
	target->service = settings_service(node->settings, name, &target->tree);
	if (target->service == NULL) {
		papaya_error_set(error, PAPAYA_ERROR_UNKNOWN_SERVICE,
		    "service \"%.128s\" is not in the settings", name);
		return false;
	}
	if (workspace != NULL)
		target->workspace =
		    settings_tree_workspace(target->tree, workspace);
	if (target->workspace == NULL) {
		papaya_error_set(error, PAPAYA_ERROR_UNKNOWN_WORKSPACE,
		    "workspace \"%.128s\" is not one of service %s",
		    workspace != NULL ? workspace : "", name);
		return false;
	}
	target->key = http_request_header(request, "idempotency-key");
	return parse_timeout(request, target, error);
}

static void
set_common(call_t *call, const target_t *target)
{
	call->workspace = g_strdup(target->workspace->name);
	call->priority = target->workspace->priority;
	call->deadline_ms = call->started_ms + target->timeout_ms;
}

/* Key under which duplicates of a repeatable request join; NULL without one. */
static char *
join_key(const http_request_t *request, const target_t *target)
{
	const char *query = http_request_query(request);
	XXH128_hash_t hash;
	size_t length;
	const char *body = http_request_body(request, &length);

	if (target->key == NULL || target->key[0] == '\0' ||
	    strlen(target->key) > KEY_LENGTH_MAX)
		return NULL;
	hash = XXH3_128bits(body, length);
	return g_strdup_printf("%s\n%s\n%s\n%s %s?%s\n%016" G_GINT64_MODIFIER
			       "x%016" G_GINT64_MODIFIER "x",
	    target->service->name, target->workspace->name, target->key,
	    http_request_method(request), http_request_path(request),
	    query != NULL ? query : "", (guint64)hash.high64,
	    (guint64)hash.low64);
}

/* Joins a call in progress under the key, or files a new one under it. */
static bool
join(node_t *node, http_request_t *request, const char *key, bool stream,
    int64_t timeout_ms)
{
	call_t *call;

	if (key == NULL)
		return false;
	call = g_hash_table_lookup(node->calls->by_key, key);
	if (call == NULL)
		return false;
	counter_add(node->counters, 1, "requests_joined_total");
	call->deadline_ms =
	    MAX(call->deadline_ms, clock_mono_ms() + timeout_ms);
	call_listen(call, request, stream);
	return true;
}

static void
file_under(call_t *call, char *key)
{
	call->key = key;
	if (key != NULL)
		g_hash_table_insert(call->node->calls->by_key, key, call);
}

typedef struct completion {
	const char *model;
	const char *prompt;
	int64_t max_tokens;
	bool stream;
} completion_t;

static bool
parse_completion(const json_t *body, completion_t *completion, GError **error)
{
	completion->model = json_get_string(body, "model", NULL);
	completion->prompt = json_get_string(body, "prompt", NULL);
	completion->max_tokens =
	    json_get_int(body, "max_tokens", MAX_TOKENS_DEFAULT);
	completion->stream = json_get_bool(body, "stream", false);
	if (completion->model == NULL)
		papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
		    "\"model\" is missing or not a string: give TEAM/NAME");
	else if (completion->prompt == NULL)
		papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
		    "\"prompt\" is missing or not a string");
	else if (completion->max_tokens < 1 ||
		 completion->max_tokens > MAX_TOKENS_MAX)
		papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
		    "\"max_tokens\" is not from 1 to %d", MAX_TOKENS_MAX);
	else
		return true;
	return false;
}

static void
start_completion(node_t *node, http_request_t *request, const target_t *target,
    const completion_t *completion)
{
	char *key = join_key(request, target);
	call_t *call;

	if (join(node, request, key, completion->stream, target->timeout_ms)) {
		g_free(key);
		return;
	}
	call = call_new(node, CALL_MODEL, target->tree, target->service);
	set_common(call, target);
	file_under(call, key);
	call->prompt = g_strdup(completion->prompt);
	call->prefix = route_prefix_hash(completion->prompt);
	call->max_tokens = (unsigned)completion->max_tokens;
	call->route = g_strdup(
	    strlen(completion->prompt) < LONG_PROMPT_BYTES ? "short" : "long");
	call_listen(call, request, completion->stream);
	call_admit(call, target->workspace);
}

static bool
check_kind(const target_t *target, service_kind_t kind, GError **error)
{
	if (target->service->kind == kind)
		return true;
	papaya_error_set(error, PAPAYA_ERROR_UNKNOWN_SERVICE,
	    "service %s is not a %s service", target->service->name,
	    kind == SERVICE_MODEL ? "model" : "plain");
	return false;
}

void
request_completion(node_t *node, http_request_t *request)
{
	size_t length;
	const char *text = http_request_body(request, &length);
	completion_t completion = {0};
	target_t target = {0};
	GError *error = NULL;
	json_t *body;

	if (strcmp(http_request_method(request), "POST") != 0) {
		papaya_error_set(&error, PAPAYA_ERROR_BAD_REQUEST,
		    "/v1/completions takes POST");
		reject(node, request, error);
		return;
	}
	body = json_parse(text, length, "request", &error);
	if (body != NULL && parse_completion(body, &completion, &error) &&
	    parse_target(node, request, completion.model, &target, &error) &&
	    check_kind(&target, SERVICE_MODEL, &error))
		start_completion(node, request, &target, &completion);
	else
		reject(node, request, error);
	json_decref(body);
}

/* Splits /v1/services/TEAM/NAME/PATH; the path is "/" if it is absent. */
static bool
split_path(const char *path, char **name, const char **rest)
{
	const char *team = path + strlen("/v1/services/");
	const char *slash = strchr(team, '/');
	const char *end;

	if (slash == NULL || slash == team || slash[1] == '\0')
		return false;
	end = strchr(slash + 1, '/');
	*rest = end != NULL ? end : "/";
	*name =
	    end != NULL ? g_strndup(team, (gsize)(end - team)) : g_strdup(team);
	return true;
}

/* First part of the path, so that the moves can tell routes apart. */
static char *
route_of(const char *path)
{
	size_t length = strcspn(path + 1, "/");

	return g_strndup(path, MIN(length + 1, ROUTE_LENGTH_MAX));
}

void
request_passed_headers(const http_request_t *request, GPtrArray *headers)
{
	bool has_type = false;

	for (size_t i = 0; i < G_N_ELEMENTS(passed_headers); i++) {
		const char *value =
		    http_request_header(request, passed_headers[i]);

		if (value == NULL)
			continue;
		has_type |= i == 0;
		g_ptr_array_add(headers,
		    g_strdup_printf("%s: %s", passed_headers[i], value));
	}
	/* libcurl adds a type of its own to a body otherwise. */
	if (!has_type)
		g_ptr_array_add(headers, g_strdup("content-type:"));
	g_ptr_array_add(headers, NULL);
}

static void
start_service(node_t *node, http_request_t *request, const target_t *target,
    const char *path)
{
	bool repeatable = target->service->repeatable;
	char *key = repeatable ? join_key(request, target) : NULL;
	const char *query = http_request_query(request);
	size_t length;
	const char *body = http_request_body(request, &length);
	call_t *call;

	if (join(node, request, key, false, target->timeout_ms)) {
		g_free(key);
		return;
	}
	call = call_new(node, repeatable ? CALL_PLAIN : CALL_BOOK, target->tree,
	    target->service);
	set_common(call, target);
	file_under(call, key);
	call->method = g_strdup(http_request_method(request));
	call->path = query != NULL ? g_strdup_printf("%s?%s", path, query)
				   : g_strdup(path);
	call->route = route_of(path);
	call->body = g_bytes_new(body, repeatable ? length : 0);
	request_passed_headers(request, call->headers);
	call_listen(call, request, false);
	call_admit(call, target->workspace);
}

void
request_service(node_t *node, http_request_t *request)
{
	target_t target = {0};
	GError *error = NULL;
	const char *path = "/";
	char *name = NULL;

	if (!split_path(http_request_path(request), &name, &path))
		papaya_error_set(&error, PAPAYA_ERROR_NOT_FOUND,
		    "no such path: give /v1/services/TEAM/NAME/PATH");
	if (error == NULL &&
	    parse_target(node, request, name, &target, &error) &&
	    check_kind(&target, SERVICE_PLAIN, &error))
		start_service(node, request, &target, path);
	else
		reject(node, request, error);
	g_free(name);
}
