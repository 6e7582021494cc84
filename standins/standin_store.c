#include "clock.h"
#include "counter.h"
#include "error.h"
#include "json.h"
#include "standin.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

enum {
	VALUE_MAX_BYTES = 1024 * 1024,
	/*
	 * Lets leases and watches expire between requests; a request expires
	 * leases itself.
	 */
	EXPIRY_POLL_MS = 10,
	WATCH_MAX_MS = 600000,
	RATE_WINDOW_MS = 1000,
};

/*
 * A key's value. A deleted key is kept with revision 0, so that a stale read
 * can return the value before the last write.
 */
typedef struct item {
	int64_t revision; /* 0: absent */
	GBytes *value;
	int64_t previous_revision;
	GBytes *previous_value;
	char *lease_id; /* NULL: none */
} item_t;

typedef struct lease {
	int64_t ttl_ms;
	int64_t expires_ms;
} lease_t;

/* A copy of a request, executed after the fault "delay_ms". */
typedef struct call {
	http_request_t *request;
	char *method;
	char *path;
	char *if_match;	     /* If-Match */
	char *if_none_match; /* If-None-Match */
	char *lease_id;
	GBytes *body;
	char *prefix;
	char *wait_revision;
	int64_t timeout_ms;
} call_t;

typedef struct watch {
	TAILQ_ENTRY(watch) entries;
	http_request_t *request;
	char *key;
	int64_t revision;
	int64_t deadline_ms;
} watch_t;

/* Rate limit over fixed windows of RATE_WINDOW_MS, set by a fault. */
typedef struct rate_limit {
	const char *fault; /* name of the limit, in requests per second */
	int64_t window_index;
	double window_calls;
} rate_limit_t;

static standin_t standin;
static counters_t *counters;
static GHashTable *items;  /* key to item_t */
static GHashTable *leases; /* id to lease_t */
static TAILQ_HEAD(, watch) watches = TAILQ_HEAD_INITIALIZER(watches);
static int64_t last_revision;
static int64_t last_lease;
static rate_limit_t write_limit = {.fault = "writes_per_s"};
static rate_limit_t read_limit = {.fault = "reads_per_s"};

static void
item_free(void *data)
{
	item_t *item = data;

	g_bytes_unref(item->value);
	g_bytes_unref(item->previous_value);
	g_free(item->lease_id);
	g_free(item);
}

static item_t *
get_item(const char *key)
{
	item_t *item = g_hash_table_lookup(items, key);

	if (item == NULL) {
		item = g_new0(item_t, 1);
		g_hash_table_insert(items, g_strdup(key), item);
	}
	return item;
}

static void
reply_status(http_request_t *request, int status, int64_t revision,
    const void *body, size_t length)
{
	char etag[32];
	http_header_t headers[] = {
	    {"etag", etag}, {"content-type", "application/octet-stream"}};

	g_snprintf(etag, sizeof(etag), "\"%" G_GINT64_FORMAT "\"", revision);
	http_reply(request, status, headers, 2, body, length);
}

static void
reply_value(http_request_t *request, int64_t revision, GBytes *value)
{
	gsize length = 0;
	const void *bytes = NULL;

	if (revision == 0) {
		reply_status(request, 404, 0, "", 0);
		return;
	}
	if (value != NULL)
		bytes = g_bytes_get_data(value, &length);
	reply_status(
	    request, 200, revision, bytes != NULL ? bytes : "", length);
}

static void
watch_free(watch_t *watch)
{
	TAILQ_REMOVE(&watches, watch, entries);
	http_request_unref(watch->request);
	g_free(watch->key);
	g_free(watch);
}

static void
reply_watches(const char *key, const item_t *item)
{
	watch_t *watch, *next;

	for (watch = TAILQ_FIRST(&watches); watch != NULL; watch = next) {
		next = TAILQ_NEXT(watch, entries);
		if (strcmp(watch->key, key) != 0 ||
		    watch->revision == item->revision)
			continue;
		reply_value(watch->request, item->revision, item->value);
		watch_free(watch);
	}
}

/*
 * Writes a value, of which it takes ownership, or deletes the key if value is
 * NULL. lease_id is copied; NULL: no lease.
 */
static void
item_write(const char *key, item_t *item, GBytes *value, const char *lease_id)
{
	g_bytes_unref(item->previous_value);
	item->previous_value = item->value;
	item->previous_revision = item->revision;
	item->value = value;
	item->revision = value != NULL ? ++last_revision : 0;
	g_free(item->lease_id);
	item->lease_id = g_strdup(lease_id);
	reply_watches(key, item);
}

/* Deletes the keys attached to a lease. */
static void
delete_lease_keys(const char *lease_id)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		item_t *item = value;

		if (item->lease_id != NULL &&
		    strcmp(item->lease_id, lease_id) == 0)
			item_write(key, item, NULL, NULL);
	}
}

static void
expire_leases(void)
{
	int64_t now_ms = clock_mono_ms();
	GHashTableIter iter;
	gpointer id, value;

	g_hash_table_iter_init(&iter, leases);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const lease_t *lease = value;

		if (now_ms < lease->expires_ms)
			continue;
		delete_lease_keys(id);
		g_hash_table_iter_remove(&iter);
	}
}

static void
expire_watches(void)
{
	int64_t now_ms = clock_mono_ms();
	watch_t *watch, *next;

	for (watch = TAILQ_FIRST(&watches); watch != NULL; watch = next) {
		next = TAILQ_NEXT(watch, entries);
		if (now_ms < watch->deadline_ms)
			continue;
		reply_status(watch->request, 304, watch->revision, "", 0);
		watch_free(watch);
	}
}

static void
on_expiry_poll(void *data)
{
	expire_leases();
	expire_watches();
	standin_call_after(&standin, EXPIRY_POLL_MS, on_expiry_poll, NULL);
}

/* Counts a request; replies 429 and returns false above the limit. */
static bool
rate_limit_allows(rate_limit_t *rate, http_request_t *request)
{
	double limit = standin_fault_value(&standin, rate->fault);
	int64_t window_index = clock_mono_ms() / RATE_WINDOW_MS;

	if (limit <= 0)
		return true;
	if (window_index != rate->window_index) {
		rate->window_index = window_index;
		rate->window_calls = 0;
	}
	if (rate->window_calls + 1 <= limit) {
		rate->window_calls++;
		return true;
	}
	counter_add(counters, 1, "refused_total");
	reply_status(request, 429, 0, "", 0);
	return false;
}

/*
 * Returns true if the request's precondition holds; replies 412 with the
 * current revision otherwise, also where the request has no precondition.
 */
static bool
check_precondition(const call_t *call, const item_t *item)
{
	bool holds = false;

	if (call->if_none_match != NULL)
		holds = item->revision == 0;
	else if (call->if_match != NULL && call->if_match[0] == '"')
		holds = strtoll(call->if_match + 1, NULL, 10) == item->revision;
	if (holds)
		return true;
	counter_add(counters, 1, "conflicts_total");
	reply_status(call->request, 412, item->revision, "", 0);
	return false;
}

/* With the fault "lose_answers" the write is kept, but its response lost. */
static void
reply_write(const call_t *call, int status, int64_t revision)
{
	if (standin_fault_occurs(&standin, "lose_answers"))
		http_request_disconnect(call->request);
	else
		reply_status(call->request, status, revision, "", 0);
}

static void
serve_put(const call_t *call, const char *key)
{
	item_t *item = get_item(key);

	if (!rate_limit_allows(&write_limit, call->request))
		return;
	if (g_bytes_get_size(call->body) > VALUE_MAX_BYTES) {
		reply_status(call->request, 413, 0, "", 0);
		return;
	}
	if (call->lease_id != NULL &&
	    !g_hash_table_contains(leases, call->lease_id)) {
		reply_status(call->request, 404, 0, "", 0);
		return;
	}
	if (!check_precondition(call, item))
		return;
	item_write(key, item, g_bytes_ref(call->body), call->lease_id);
	reply_write(call, 200, item->revision);
}

static void
serve_delete(const call_t *call, const char *key)
{
	item_t *item = get_item(key);

	if (!rate_limit_allows(&write_limit, call->request) ||
	    !check_precondition(call, item))
		return;
	if (item->revision != 0)
		item_write(key, item, NULL, NULL);
	reply_write(call, 204, 0);
}

static void
start_watch(const call_t *call, const char *key, const item_t *item)
{
	int64_t revision = strtoll(call->wait_revision, NULL, 10);
	watch_t *watch;

	if (item->revision != revision) {
		reply_value(call->request, item->revision, item->value);
		return;
	}
	watch = g_new0(watch_t, 1);
	watch->request = http_request_ref(call->request);
	watch->key = g_strdup(key);
	watch->revision = revision;
	watch->deadline_ms =
	    clock_mono_ms() + CLAMP(call->timeout_ms, 0, WATCH_MAX_MS);
	TAILQ_INSERT_TAIL(&watches, watch, entries);
}

static void
serve_get(const call_t *call, const char *key)
{
	item_t *item = get_item(key);

	counter_add(counters, 1,
	    call->wait_revision != NULL ? "watches_total" : "reads_total");
	if (!rate_limit_allows(&read_limit, call->request))
		return;
	if (call->wait_revision != NULL)
		start_watch(call, key, item);
	else if (standin_fault_occurs(&standin, "stale_reads"))
		reply_value(call->request, item->previous_revision,
		    item->previous_value);
	else
		reply_value(call->request, item->revision, item->value);
}

static void
serve_kv(const call_t *call, const char *key)
{
	if (strcmp(call->method, "GET") == 0) {
		serve_get(call, key);
		return;
	}
	counter_add(counters, 1, "writes_total");
	if (strcmp(call->method, "PUT") == 0)
		serve_put(call, key);
	else if (strcmp(call->method, "DELETE") == 0)
		serve_delete(call, key);
	else
		reply_status(call->request, 405, 0, "", 0);
}

static json_t *
list_entry(const char *key, const item_t *item)
{
	json_t *entry = json_pack(
	    "{s:s,s:I}", "key", key, "revision", (json_int_t)item->revision);
	const char *text;
	gsize length;

	text = g_bytes_get_data(item->value, &length);
	if (text == NULL)
		text = "";
	if (g_utf8_validate_len(text, length, NULL))
		json_object_set_new(entry, "value", json_stringn(text, length));
	return entry;
}

static void
serve_list(const call_t *call)
{
	json_t *entries = json_array();
	GHashTableIter iter;
	gpointer key, value;

	counter_add(counters, 1, "reads_total");
	if (!rate_limit_allows(&read_limit, call->request)) {
		json_decref(entries);
		return;
	}
	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const item_t *item = value;

		if (item->revision != 0 && g_str_has_prefix(key, call->prefix))
			json_array_append_new(entries, list_entry(key, item));
	}
	http_reply_json(
	    call->request, 200, json_pack("{s:o}", "entries", entries));
}

static void
serve_lease_grant(const call_t *call)
{
	gsize length;
	const char *body = g_bytes_get_data(call->body, &length);
	json_t *options = json_parse(body, length, "lease", NULL);
	int64_t ttl_ms = json_get_int(options, "ttl_ms", 0);
	char *id = g_strdup_printf("%" G_GINT64_FORMAT, ++last_lease);
	lease_t *lease = g_new0(lease_t, 1);

	lease->ttl_ms = ttl_ms;
	lease->expires_ms = clock_mono_ms() + ttl_ms;
	g_hash_table_insert(leases, g_strdup(id), lease);
	if (standin_fault_occurs(&standin, "lose_answers"))
		http_request_disconnect(call->request);
	else
		http_reply_json(
		    call->request, 200, json_pack("{s:s}", "id", id));
	json_decref(options);
	g_free(id);
}

static void
serve_lease(const call_t *call, const char *id_path)
{
	char *id = g_strdup(id_path);
	lease_t *lease;

	if (g_str_has_suffix(id, "/renew"))
		id[strlen(id) - strlen("/renew")] = '\0';
	lease = g_hash_table_lookup(leases, id);
	if (lease == NULL) {
		reply_status(call->request, 404, 0, "", 0);
	} else if (strcmp(call->method, "DELETE") == 0) {
		delete_lease_keys(id);
		g_hash_table_remove(leases, id);
		reply_write(call, 204, 0);
	} else {
		lease->expires_ms = clock_mono_ms() + lease->ttl_ms;
		if (standin_fault_occurs(&standin, "lose_answers"))
			http_request_disconnect(call->request);
		else
			http_reply_json(
			    call->request, 200, json_pack("{s:s}", "id", id));
	}
	g_free(id);
}

static void
execute_call(const call_t *call)
{
	expire_leases();
	if (standin_fault_value(&standin, "down") != 0) {
		http_request_disconnect(call->request);
		return;
	}
	if (strcmp(call->path, "/v1/kv") == 0 && call->prefix != NULL) {
		serve_list(call);
	} else if (g_str_has_prefix(call->path, "/v1/kv/")) {
		serve_kv(call, call->path + strlen("/v1/kv/"));
	} else if (g_str_has_prefix(call->path, "/v1/leases")) {
		counter_add(counters, 1, "writes_total");
		if (!rate_limit_allows(&write_limit, call->request))
			return;
		if (strcmp(call->path, "/v1/leases") == 0)
			serve_lease_grant(call);
		else
			serve_lease(call, call->path + strlen("/v1/leases/"));
	} else {
		reply_status(call->request, 404, 0, "", 0);
	}
}

static void
call_run(void *data)
{
	call_t *call = data;

	execute_call(call);
	http_request_unref(call->request);
	g_bytes_unref(call->body);
	g_free(call->method);
	g_free(call->path);
	g_free(call->if_match);
	g_free(call->if_none_match);
	g_free(call->lease_id);
	g_free(call->prefix);
	g_free(call->wait_revision);
	g_free(call);
}

static call_t *
call_new(http_request_t *request)
{
	call_t *call = g_new0(call_t, 1);
	char *timeout = http_request_query_param(request, "timeout_ms");
	const char *body;
	size_t length;

	body = http_request_body(request, &length);
	call->request = http_request_ref(request);
	call->method = g_strdup(http_request_method(request));
	call->path = g_uri_unescape_string(http_request_path(request), NULL);
	if (call->path == NULL)
		call->path = g_strdup("");
	call->if_match = g_strdup(http_request_header(request, "if-match"));
	call->if_none_match =
	    g_strdup(http_request_header(request, "if-none-match"));
	call->lease_id = g_strdup(http_request_header(request, "papaya-lease"));
	call->body = g_bytes_new(body, length);
	call->prefix = http_request_query_param(request, "prefix");
	call->wait_revision = http_request_query_param(request, "wait");
	call->timeout_ms = timeout != NULL ? strtoll(timeout, NULL, 10) : 0;
	g_free(timeout);
	return call;
}

static void
serve_metrics(http_request_t *request)
{
	static const http_header_t headers[] = {{"content-type", "text/plain"}};
	GString *text = g_string_new(NULL);

	counters_write(counters, text);
	http_reply(request, 200, headers, 1, text->str, text->len);
	g_string_free(text, TRUE);
}

/*
 * The request is executed after the delay even if its client has disconnected
 * by then, so a write can take effect after the client's timeout.
 */
static void
on_request(http_request_t *request, void *data)
{
	double delay_ms = standin_fault_value(&standin, "delay_ms");

	if (strcmp(http_request_path(request), "/metrics") == 0)
		serve_metrics(request);
	else if (delay_ms > 0)
		standin_call_after(
		    &standin, (int64_t)delay_ms, call_run, call_new(request));
	else
		call_run(call_new(request));
}

static void
on_faults_changed(standin_t *changed_standin)
{
	watch_t *watch;

	/* The first call precedes the server; it starts the expiry timer. */
	if (changed_standin->server == NULL) {
		on_expiry_poll(NULL);
		return;
	}
	if (standin_fault_value(changed_standin, "down") == 0)
		return;
	while ((watch = TAILQ_FIRST(&watches)) != NULL) {
		http_request_disconnect(watch->request);
		watch_free(watch);
	}
}

int
main(int argc, char **argv)
{
	static const char *const counter_names[] = {"reads_total",
	    "writes_total", "watches_total", "conflicts_total",
	    "refused_total"};

	counters = counters_new();
	for (size_t i = 0; i < G_N_ELEMENTS(counter_names); i++)
		counter_get(counters, counter_names[i]);
	items =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, item_free);
	leases = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	standin.program = "standin-store";
	standin.handler = on_request;
	standin.faults_changed = on_faults_changed;
	return standin_run(&standin, argc, argv);
}
