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
	store_done_t done;
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

/* Revision of an ETag header such as "12"; 0 where absent or malformed. */
static int64_t
etag_revision(const http_call_t *call)
{
	const char *etag = http_call_header(call, "ETag");

	if (etag == NULL || etag[0] != '"')
		return STORE_ABSENT_REVISION;
	return strtoll(etag + 1, NULL, 10);
}

static store_status_t
status_of_answer(store_op_kind_t kind, long status)
{
	switch (status) {
	case 200:
	case 201:
	case 204:
		return STORE_OK;
	case 304:
		return kind == STORE_OP_WATCH ? STORE_UNCHANGED : STORE_UNKNOWN;
	case 404:
		return STORE_ABSENT;
	case 412:
		return STORE_CONFLICT;
	case 413:
		return STORE_TOO_LARGE;
	case 429:
		return STORE_BUSY;
	default:
		return STORE_UNKNOWN;
	}
}

static store_status_t
status_of(const store_op_t *op, const http_result_t *result)
{
	switch (result->outcome) {
	case HTTP_OUTCOME_COMPLETE:
		return status_of_answer(op->kind, result->status);
	case HTTP_OUTCOME_NOT_SENT:
		return STORE_NOT_SENT;
	case HTTP_OUTCOME_FAILED:
	case HTTP_OUTCOME_TIMEOUT:
		break;
	}
	return STORE_UNKNOWN;
}

/* Reads the JSON of a list or a lease; an unreadable one is no answer. */
static json_t *
read_json(const store_op_t *op, const http_result_t *http, store_result_t *out)
{
	json_t *json;

	if (op->kind != STORE_OP_LIST && op->kind != STORE_OP_LEASE)
		return NULL;
	json = json_parse(http->body, http->body_length, "store", NULL);
	out->entries = json_object_get(json, "entries");
	out->lease = json_get_string(json, "id", NULL);
	if (op->kind == STORE_OP_LIST && !json_is_array(out->entries))
		out->status = STORE_UNKNOWN;
	if (op->kind == STORE_OP_LEASE && out->lease == NULL)
		out->status = STORE_UNKNOWN;
	return json;
}

static void
on_answer(http_call_t *call, const http_result_t *http, void *data)
{
	store_op_t *op = data;
	store_result_t result = {.status = status_of(op, http)};
	store_done_t done = op->done;
	void *done_data = op->data;
	json_t *json = NULL;

	if (http->outcome == HTTP_OUTCOME_COMPLETE)
		result.revision = etag_revision(call);
	if (result.status == STORE_OK) {
		json = read_json(op, http, &result);
		result.value = http->body;
		result.length = http->body_length;
	}
	op_free(op);
	if (done != NULL)
		done(&result, done_data);
	json_decref(json);
}

/* What differs between calls. */
typedef struct store_call {
	store_op_kind_t kind;
	const char *method;
	const char *const *headers;
	const void *body;
	size_t length;
	int64_t extra_ms; /* that the store may take on purpose */
} store_call_t;

static void
start(store_t *store, const store_call_t *how, char *url, store_done_t done,
    void *data)
{
	store_op_t *op = g_new0(store_op_t, 1);
	http_call_options_t options = {
	    .method = how->method,
	    .url = url,
	    .headers = how->headers,
	    .body = how->body,
	    .body_length = how->length,
	    .timeout_ms = store->timeout_ms + how->extra_ms,
	    .connect_timeout_ms = store->timeout_ms,
	    /*
	     * libcurl sends a write again when a reused connection is dead.
	     * If the first one took effect, the second reports a conflict.
	     */
	    .fresh_connection = how->kind == STORE_OP_WRITE,
	    .on_complete = on_answer,
	    .data = op,
	};

	op->store = store;
	op->kind = how->kind;
	op->done = done;
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
store_get(store_t *store, const char *key, store_done_t done, void *data)
{
	store_call_t how = {.kind = STORE_OP_GET};

	start(store, &how, key_url(store, key), done, data);
}

void
store_watch(store_t *store, const char *key, int64_t revision,
    int64_t timeout_ms, store_done_t done, void *data)
{
	store_call_t how = {.kind = STORE_OP_WATCH, .extra_ms = timeout_ms};
	char *plain = key_url(store, key);
	char *url = g_strdup_printf("%s?wait=%" G_GINT64_FORMAT
				    "&timeout_ms=%" G_GINT64_FORMAT,
	    plain, revision, timeout_ms);

	g_free(plain);
	start(store, &how, url, done, data);
}

void
store_list(store_t *store, const char *prefix, store_done_t done, void *data)
{
	store_call_t how = {.kind = STORE_OP_LIST};
	char *escaped = g_uri_escape_string(prefix, "/", FALSE);
	char *url = g_strconcat(store->url, "/v1/kv?prefix=", escaped, NULL);

	g_free(escaped);
	start(store, &how, url, done, data);
}

static void
start_write(store_t *store, const char *method, const char *key,
    int64_t expected, store_call_t how, const char *lease, store_done_t done,
    void *data)
{
	char *match = expected == STORE_ABSENT_REVISION
			  ? g_strdup("If-None-Match: *")
			  : g_strdup_printf(
				"If-Match: \"%" G_GINT64_FORMAT "\"", expected);
	char *attach =
	    lease != NULL ? g_strconcat("Papaya-Lease: ", lease, NULL) : NULL;
	const char *headers[] = {
	    match, "Content-Type: application/octet-stream", attach, NULL};

	how.kind = STORE_OP_WRITE;
	how.method = method;
	how.headers = headers;
	start(store, &how, key_url(store, key), done, data);
	g_free(match);
	g_free(attach);
}

void
store_swap(store_t *store, const char *key, int64_t expected, const void *value,
    size_t length, const char *lease, store_done_t done, void *data)
{
	store_call_t how = {.body = value, .length = length};

	start_write(store, "PUT", key, expected, how, lease, done, data);
}

void
store_delete(store_t *store, const char *key, int64_t expected,
    store_done_t done, void *data)
{
	store_call_t how = {0};

	start_write(store, "DELETE", key, expected, how, NULL, done, data);
}

static const char *const json_headers[] = {
    "Content-Type: application/json", NULL};

void
store_lease(store_t *store, int64_t ttl_ms, store_done_t done, void *data)
{
	char *body =
	    g_strdup_printf("{\"ttl_ms\":%" G_GINT64_FORMAT "}", ttl_ms);
	store_call_t how = {
	    .kind = STORE_OP_LEASE,
	    .method = "POST",
	    .headers = json_headers,
	    .body = body,
	    .length = strlen(body),
	};

	start(store, &how, g_strconcat(store->url, "/v1/leases", NULL), done,
	    data);
	g_free(body);
}

void
store_renew(store_t *store, const char *lease, store_done_t done, void *data)
{
	store_call_t how = {
	    .kind = STORE_OP_LEASE,
	    .method = "POST",
	    .headers = json_headers,
	    .body = "{}",
	    .length = 2,
	};
	char *escaped = g_uri_escape_string(lease, NULL, FALSE);

	start(store, &how,
	    g_strconcat(store->url, "/v1/leases/", escaped, "/renew", NULL),
	    done, data);
	g_free(escaped);
}
