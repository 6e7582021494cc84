#include "store.h"

#include "json.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

typedef enum store_op_kind {
	STORE_OP_GET,
	STORE_OP_WATCH,
	STORE_OP_LIST,
	STORE_OP_WRITE,
	STORE_OP_LEASE,
} store_op_kind_t;

/* One call in progress. Owned by its store. */
typedef struct store_op {
	LIST_ENTRY(store_op) entries;
	store_t *store;
	store_op_kind_t kind;
	http_call_t *call;
	store_callback_t on_complete;
	void *data;
} store_op_t;

struct store {
	http_client_t *http;
	char *url;
	int64_t timeout_ms;
	LIST_HEAD(, store_op) ops;
};

store_t *
store_new(
    uv_loop_t *loop, http_client_t *http, const char *url, int64_t timeout_ms)
{
	store_t *store = g_new0(store_t, 1);
	size_t length = strlen(url);

	while (length > 0 && url[length - 1] == '/')
		length--;
	store->http = http;
	store->url = g_strndup(url, length);
	store->timeout_ms = timeout_ms;
	LIST_INIT(&store->ops);
	return store;
}

static void
op_free(store_op_t *op)
{
	LIST_REMOVE(op, entries);
	g_free(op);
}

void
store_free(store_t *store)
{
	store_op_t *op;

	if (store == NULL)
		return;
	while ((op = LIST_FIRST(&store->ops)) != NULL) {
		http_call_cancel(op->call);
		op_free(op);
	}
	g_free(store->url);
	g_free(store);
}

/* Revision in an ETag header such as "12"; 0 if absent or malformed. */
static int64_t
parse_etag_revision(const http_call_t *call)
{
	const char *etag = http_call_header(call, "ETag");

	if (etag == NULL || etag[0] != '"')
		return STORE_REVISION_NONE;
	return strtoll(etag + 1, NULL, 10);
}

static store_status_t
status_of_response(store_op_kind_t kind, long status)
{
	switch (status) {
	case 200:
	case 201:
	case 204:
		return STORE_OK;
	case 304:
		return kind == STORE_OP_WATCH ? STORE_UNCHANGED
					      : STORE_OUTCOME_UNKNOWN;
	case 404:
		return STORE_NOT_FOUND;
	case 412:
		return STORE_CONFLICT;
	case 413:
		return STORE_TOO_LARGE;
	case 429:
		return STORE_RATE_LIMITED;
	default:
		return STORE_OUTCOME_UNKNOWN;
	}
}

static store_status_t
status_of(const store_op_t *op, const http_result_t *result)
{
	switch (result->outcome) {
	case HTTP_OUTCOME_COMPLETE:
		return status_of_response(op->kind, result->status);
	case HTTP_OUTCOME_NOT_SENT:
		return STORE_NOT_SENT;
	case HTTP_OUTCOME_FAILED:
	case HTTP_OUTCOME_TIMEOUT:
		break;
	}
	return STORE_OUTCOME_UNKNOWN;
}

/*
 * Parses the response to a list or lease call; its status becomes
 * STORE_OUTCOME_UNKNOWN if it is malformed. Returns a new reference to the JSON
 * that result points into; NULL for other calls or if it cannot be parsed.
 */
static json_t *
parse_response(
    const store_op_t *op, const http_result_t *response, store_result_t *result)
{
	json_t *json;

	if (op->kind != STORE_OP_LIST && op->kind != STORE_OP_LEASE)
		return NULL;
	json = json_parse(response->body, response->body_length, "store", NULL);
	result->entries = json_object_get(json, "entries");
	result->lease_id = json_get_string(json, "id", NULL);
	if (op->kind == STORE_OP_LIST && !json_is_array(result->entries))
		result->status = STORE_OUTCOME_UNKNOWN;
	if (op->kind == STORE_OP_LEASE && result->lease_id == NULL)
		result->status = STORE_OUTCOME_UNKNOWN;
	return json;
}

static void
on_response(http_call_t *call, const http_result_t *response, void *data)
{
	store_op_t *op = data;
	store_result_t result = {.status = status_of(op, response)};
	store_callback_t on_complete = op->on_complete;
	void *callback_data = op->data;
	json_t *json = NULL;

	if (response->outcome == HTTP_OUTCOME_COMPLETE)
		result.revision = parse_etag_revision(call);
	if (result.status == STORE_OK) {
		json = parse_response(op, response, &result);
		result.value = response->body;
		result.value_length = response->body_length;
	}
	op_free(op);
	if (on_complete != NULL)
		on_complete(&result, callback_data);
	json_decref(json);
}

/* Parameters that differ between kinds of calls. */
typedef struct store_request {
	store_op_kind_t kind;
	const char *method;
	const char *const *headers;
	const void *body;
	size_t body_length;
	int64_t server_wait_ms; /* added to the timeout of the call */
} store_request_t;

/* Frees url. */
static void
start_op(store_t *store, const store_request_t *request, char *url,
    store_callback_t on_complete, void *data)
{
	store_op_t *op = g_new0(store_op_t, 1);
	http_call_options_t options = {
	    .method = request->method,
	    .url = url,
	    .headers = request->headers,
	    .body = request->body,
	    .body_length = request->body_length,
	    .timeout_ms = store->timeout_ms + request->server_wait_ms,
	    .connect_timeout_ms = store->timeout_ms,
	    /*
	     * libcurl sends a write again if a reused connection turns out
	     * to be closed. If the first one took effect, the second one
	     * would report a conflict.
	     */
	    .fresh_connection = request->kind == STORE_OP_WRITE,
	    .on_complete = on_response,
	    .data = op,
	};

	op->store = store;
	op->kind = request->kind;
	op->on_complete = on_complete;
	op->data = data;
	LIST_INSERT_HEAD(&store->ops, op, entries);
	op->call = http_call_start(store->http, &options);
	g_free(url);
}

static char *
key_url(const store_t *store, const char *key)
{
	char *escaped = g_uri_escape_string(key, "/", FALSE);
	char *url = g_strconcat(store->url, "/v1/kv/", escaped, NULL);

	g_free(escaped);
	return url;
}

void
store_get(
    store_t *store, const char *key, store_callback_t on_complete, void *data)
{
	store_request_t request = {.kind = STORE_OP_GET};

	start_op(store, &request, key_url(store, key), on_complete, data);
}

void
store_watch_key(store_t *store, const char *key, int64_t known_revision,
    int64_t wait_ms, store_callback_t on_complete, void *data)
{
	store_request_t request = {
	    .kind = STORE_OP_WATCH, .server_wait_ms = wait_ms};
	char *base_url = key_url(store, key);
	char *url = g_strdup_printf("%s?wait=%" G_GINT64_FORMAT
				    "&timeout_ms=%" G_GINT64_FORMAT,
	    base_url, known_revision, wait_ms);

	g_free(base_url);
	start_op(store, &request, url, on_complete, data);
}

void
store_list_keys(store_t *store, const char *prefix,
    store_callback_t on_complete, void *data)
{
	store_request_t request = {.kind = STORE_OP_LIST};
	char *escaped = g_uri_escape_string(prefix, "/", FALSE);
	char *url = g_strconcat(store->url, "/v1/kv?prefix=", escaped, NULL);

	g_free(escaped);
	start_op(store, &request, url, on_complete, data);
}

static void
start_write(store_t *store, const char *method, const char *key,
    int64_t expected_revision, store_request_t request, const char *lease_id,
    store_callback_t on_complete, void *data)
{
	char *precondition =
	    expected_revision == STORE_REVISION_NONE
		? g_strdup("If-None-Match: *")
		: g_strdup_printf(
		      "If-Match: \"%" G_GINT64_FORMAT "\"", expected_revision);
	char *lease_header = lease_id != NULL
				 ? g_strconcat("Papaya-Lease: ", lease_id, NULL)
				 : NULL;
	const char *headers[] = {precondition,
	    "Content-Type: application/octet-stream", lease_header, NULL};

	request.kind = STORE_OP_WRITE;
	request.method = method;
	request.headers = headers;
	start_op(store, &request, key_url(store, key), on_complete, data);
	g_free(precondition);
	g_free(lease_header);
}

void
store_compare_and_swap(store_t *store, const char *key,
    int64_t expected_revision, const void *value, size_t length,
    const char *lease_id, store_callback_t on_complete, void *data)
{
	store_request_t request = {.body = value, .body_length = length};

	start_write(store, "PUT", key, expected_revision, request, lease_id,
	    on_complete, data);
}

void
store_delete(store_t *store, const char *key, int64_t expected_revision,
    store_callback_t on_complete, void *data)
{
	store_request_t request = {0};

	start_write(store, "DELETE", key, expected_revision, request, NULL,
	    on_complete, data);
}

static const char *const json_headers[] = {
    "Content-Type: application/json", NULL};

void
store_grant_lease(
    store_t *store, int64_t ttl_ms, store_callback_t on_complete, void *data)
{
	char *body =
	    g_strdup_printf("{\"ttl_ms\":%" G_GINT64_FORMAT "}", ttl_ms);
	store_request_t request = {
	    .kind = STORE_OP_LEASE,
	    .method = "POST",
	    .headers = json_headers,
	    .body = body,
	    .body_length = strlen(body),
	};

	start_op(store, &request, g_strconcat(store->url, "/v1/leases", NULL),
	    on_complete, data);
	g_free(body);
}

void
store_renew_lease(store_t *store, const char *lease_id,
    store_callback_t on_complete, void *data)
{
	store_request_t request = {
	    .kind = STORE_OP_LEASE,
	    .method = "POST",
	    .headers = json_headers,
	    .body = "{}",
	    .body_length = 2,
	};
	char *escaped = g_uri_escape_string(lease_id, NULL, FALSE);

	start_op(store, &request,
	    g_strconcat(store->url, "/v1/leases/", escaped, "/renew", NULL),
	    on_complete, data);
	g_free(escaped);
}
