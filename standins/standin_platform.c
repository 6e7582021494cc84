#include "clock.h"
#include "json.h"
#include "standin.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

/*
 * Simulates the users' platform by its published API: the key-value store with
 * preconditions, leases and watches, and the endpoints that singleton duties
 * call. GET /calls lists the calls accepted there. With the fault "down" the
 * store replies 503, with "watch_down" to watches only, and with
 * "watch_limited" 429 to these; with "stale", lists that may be stale stay as
 * they were at the first one since the fault was set. POST /snapshot keeps a
 * copy of the store, and POST /restore, in which the era rises, brings the last
 * copy back.
 */

enum {
	EXPIRY_POLL_MS = 20,
	WATCH_MAX_MS = 30000,
	STATUS_OK = 200,
	STATUS_NOT_FOUND = 404,
	STATUS_CONFLICT = 409,
	STATUS_GONE = 410,
	STATUS_PRECONDITION_FAILED = 412,
	STATUS_LIMITED = 429,
	STATUS_UNAVAILABLE = 503,
};

typedef struct item {
	int64_t revision;
	bool removed;
	char *value_base64;
	int64_t lease_id; /* 0: none */
} item_t;

typedef struct lease {
	int64_t ttl_ms;
	int64_t expires_ms;
} lease_t;

typedef struct watch {
	TAILQ_ENTRY(watch) entries;
	http_request_t *request;
	char *prefix;
	int64_t after_revision;
	int64_t deadline_ms;
} watch_t;

/* A copy of the store. */
typedef struct snapshot {
	GTree *items;
	GHashTable *leases;
	int64_t last_revision;
	int64_t last_lease;
	int64_t taken_ms;
} snapshot_t;

static standin_t standin;
static GTree *items;	   /* key to item_t, sorted by key */
static GHashTable *leases; /* id to lease_t */
static TAILQ_HEAD(, watch) watches = TAILQ_HEAD_INITIALIZER(watches);
static int64_t last_revision = 1;
static int64_t last_lease = 100;
static int64_t era = 1; /* how often the store has been restored, plus 1 */
static snapshot_t snapshot;
static int64_t highest_fence_token;
static json_t *duty_calls;
static json_t *stale_list; /* response to stale lists; NULL: none kept */
static uv_timer_t expiry_timer;

static void
reply_text(http_request_t *request, int status, const char *text, size_t length)
{
	char *era_text = g_strdup_printf("%" G_GINT64_FORMAT, era);
	const http_header_t headers[] = {
	    {"content-type", "application/json"}, {"store-era", era_text}};

	http_reply(
	    request, status, headers, G_N_ELEMENTS(headers), text, length);
	g_free(era_text);
}

/* A response of the store. Releases the caller's reference to value. */
static void
reply(http_request_t *request, int status, json_t *value)
{
	char *text = json_text(value);

	reply_text(request, status, text, strlen(text));
	json_decref(value);
	g_free(text);
}

static void
item_free(gpointer data)
{
	item_t *item = data;

	g_free(item->value_base64);
	g_free(item);
}

static int
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

static json_t *
item_json(const char *key, const item_t *item)
{
	if (item->removed)
		return json_pack("{s:s,s:I,s:b}", "key", key, "revision",
		    (json_int_t)item->revision, "removed", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", key, "value",
	    item->value_base64, "revision", (json_int_t)item->revision,
	    "created", (json_int_t)item->revision, "lease",
	    (json_int_t)item->lease_id);
}

typedef struct listing {
	const char *prefix;
	int64_t after_revision;
	bool include_removed; /* list removed keys too */
	json_t *items;
} listing_t;

static gboolean
add_item(gpointer key, gpointer value, gpointer data)
{
	const item_t *item = value;
	listing_t *listing = data;

	if (g_str_has_prefix(key, listing->prefix) &&
	    item->revision > listing->after_revision &&
	    (listing->include_removed || !item->removed))
		json_array_append_new(listing->items, item_json(key, item));
	return FALSE;
}

static json_t *
list_items(const char *prefix, int64_t after_revision, bool include_removed)
{
	listing_t listing = {.prefix = prefix,
	    .after_revision = after_revision,
	    .include_removed = include_removed,
	    .items = json_array()};

	g_tree_foreach(items, add_item, &listing);
	return listing.items;
}

static void
watch_free(watch_t *watch)
{
	TAILQ_REMOVE(&watches, watch, entries);
	http_request_unref(watch->request);
	g_free(watch->prefix);
	g_free(watch);
}

/*
 * With the fault "raw_item", a text that need not be JSON, each list and each
 * watch that has changes begins with it.
 */
static void
reply_items(http_request_t *request, const char *name, json_t *value)
{
	const char *raw = json_get_string(standin.faults, "raw_item", "");
	GString *text = g_string_new(NULL);
	char *body = json_text(value);
	char *start = g_strdup_printf("\"%s\":[", name);
	char *items = strstr(body, start);

	g_string_append(text, body);
	if (raw[0] != '\0' && items != NULL && items[strlen(start)] != ']') {
		gssize offset = (gssize)(items - body + strlen(start));

		g_string_insert(text, offset, ",");
		g_string_insert(text, offset, raw);
	}
	reply_text(request, STATUS_OK, text->str, text->len);
	json_decref(value);
	g_string_free(text, TRUE);
	g_free(start);
	g_free(body);
}

static void
reply_watch(watch_t *watch, json_t *events)
{
	reply_items(watch->request, "events",
	    json_pack("{s:o,s:I}", "events", events, "as_of",
		(json_int_t)last_revision));
	watch_free(watch);
}

static void
reply_ready_watches(void)
{
	int64_t now_ms = clock_mono_ms();
	watch_t *watch, *next;

	for (watch = TAILQ_FIRST(&watches); watch != NULL; watch = next) {
		json_t *events =
		    list_items(watch->prefix, watch->after_revision, true);

		next = TAILQ_NEXT(watch, entries);
		if (json_array_size(events) > 0 || now_ms >= watch->deadline_ms)
			reply_watch(watch, events);
		else
			json_decref(events);
	}
}

static void
put_key(const char *key, const char *value_base64, int64_t lease_id)
{
	item_t *item = g_new0(item_t, 1);

	item->revision = last_revision;
	item->value_base64 = g_strdup(value_base64);
	item->lease_id = lease_id;
	g_tree_replace(items, g_strdup(key), item);
}

static void
remove_key(const char *key)
{
	item_t *item = g_tree_lookup(items, key);

	if (item == NULL || item->removed)
		return;
	item->revision = last_revision;
	item->removed = true;
}

static gboolean
collect_orphaned_key(gpointer key, gpointer value, gpointer data)
{
	const item_t *item = value;
	GPtrArray *keys = data;

	if (!item->removed && item->lease_id != 0 &&
	    !g_hash_table_contains(leases, GINT_TO_POINTER(item->lease_id)))
		g_ptr_array_add(keys, key);
	return FALSE;
}

/* Removes the keys whose lease no longer exists, in one revision. */
static void
remove_orphaned_keys(void)
{
	GPtrArray *keys = g_ptr_array_new();

	g_tree_foreach(items, collect_orphaned_key, keys);
	if (keys->len > 0)
		last_revision++;
	for (guint i = 0; i < keys->len; i++)
		remove_key(keys->pdata[i]);
	g_ptr_array_unref(keys);
}

static gboolean
is_expired(gpointer id, gpointer value, gpointer now_ms)
{
	return ((lease_t *)value)->expires_ms <= *(int64_t *)now_ms;
}

static void
on_expiry(uv_timer_t *timer)
{
	int64_t now_ms = clock_mono_ms();

	if (g_hash_table_foreach_remove(leases, is_expired, &now_ms) > 0)
		remove_orphaned_keys();
	reply_ready_watches();
}

static int64_t
number_param(const http_request_t *request, const char *name)
{
	char *value_text = http_request_query_param(request, name);
	int64_t value = value_text == NULL ? 0 : strtoll(value_text, NULL, 10);

	g_free(value_text);
	return value;
}

static json_t *
list_response(const char *prefix)
{
	return json_pack("{s:o,s:b,s:I}", "items",
	    list_items(prefix == NULL ? "" : prefix, 0, false), "has_more", 0,
	    "as_of", (json_int_t)last_revision);
}

static void
serve_range(http_request_t *request)
{
	char *prefix = http_request_query_param(request, "path_prefix");
	bool stale = number_param(request, "serializable") != 0 &&
		     standin_fault_value(&standin, "stale") > 0;

	if (stale && stale_list == NULL)
		stale_list = list_response(prefix);
	if (!stale)
		g_clear_pointer(&stale_list, json_decref);
	reply_items(request, "items",
	    stale ? json_incref(stale_list) : list_response(prefix));
	g_free(prefix);
}

static void
serve_get(http_request_t *request)
{
	char *key = http_request_query_param(request, "key");
	const item_t *item = key == NULL ? NULL : g_tree_lookup(items, key);

	if (item == NULL || item->removed)
		reply(request, STATUS_NOT_FOUND, json_object());
	else
		reply(request, STATUS_OK, item_json(key, item));
	g_free(key);
}

static void
serve_watch(http_request_t *request)
{
	int64_t wait_ms = number_param(request, "wait_ms");
	watch_t *watch;

	if (number_param(request, "after") > last_revision) {
		reply(request, STATUS_GONE, json_object());
		return;
	}
	watch = g_new0(watch_t, 1);
	watch->request = http_request_ref(request);
	watch->prefix = http_request_query_param(request, "path_prefix");
	if (watch->prefix == NULL)
		watch->prefix = g_strdup("");
	watch->after_revision = number_param(request, "after");
	watch->deadline_ms = clock_mono_ms() + MIN(wait_ms, WATCH_MAX_MS);
	TAILQ_INSERT_TAIL(&watches, watch, entries);
	reply_ready_watches();
}

static bool
conditions_match(const json_t *conditions)
{
	const json_t *condition;
	size_t i;

	json_array_foreach (conditions, i, condition) {
		const item_t *item =
		    g_tree_lookup(items, json_get_string(condition, "key", ""));
		int64_t revision =
		    item == NULL || item->removed ? 0 : item->revision;

		if (revision != json_get_int(condition, "revision", 0))
			return false;
	}
	return true;
}

static bool
leases_exist(const json_t *writes)
{
	const json_t *write;
	size_t i;

	json_array_foreach (writes, i, write) {
		int64_t lease_id = json_get_int(write, "lease", 0);

		if (lease_id != 0 &&
		    !g_hash_table_contains(leases, GINT_TO_POINTER(lease_id)))
			return false;
	}
	return true;
}

static void
apply_transaction(const json_t *body)
{
	const json_t *entry;
	size_t i;

	last_revision++;
	json_array_foreach (json_object_get(body, "writes"), i, entry)
		put_key(json_get_string(entry, "key", ""),
		    json_get_string(entry, "value", ""),
		    json_get_int(entry, "lease", 0));
	json_array_foreach (json_object_get(body, "remove"), i, entry)
		remove_key(json_string_value(entry));
}

static void
serve_transaction(http_request_t *request, const json_t *body)
{
	if (!leases_exist(json_object_get(body, "writes"))) {
		reply(request, STATUS_NOT_FOUND, json_object());
		return;
	}
	if (!conditions_match(json_object_get(body, "expected_rev"))) {
		reply(request, STATUS_PRECONDITION_FAILED,
		    json_pack("{s:[]}", "items"));
		return;
	}
	apply_transaction(body);
	reply(request, STATUS_OK,
	    json_pack("{s:I}", "revision", (json_int_t)last_revision));
	reply_ready_watches();
}

static void
reply_lease(http_request_t *request, int64_t lease_id, int64_t ttl_ms)
{
	reply(request, STATUS_OK,
	    json_pack("{s:I,s:I}", "lease", (json_int_t)lease_id, "ttl_ms",
		(json_int_t)ttl_ms));
}

static void
serve_lease_grant(http_request_t *request, const json_t *body)
{
	lease_t *lease = g_new0(lease_t, 1);

	lease->ttl_ms = json_get_int(body, "ttl_ms", 1000);
	lease->expires_ms = clock_mono_ms() + lease->ttl_ms;
	g_hash_table_insert(leases, GINT_TO_POINTER(++last_lease), lease);
	reply_lease(request, last_lease, lease->ttl_ms);
}

static void
serve_lease_renewal(http_request_t *request, int64_t lease_id)
{
	lease_t *lease = g_hash_table_lookup(leases, GINT_TO_POINTER(lease_id));

	if (lease == NULL) {
		reply(request, STATUS_NOT_FOUND, json_object());
		return;
	}
	lease->expires_ms = clock_mono_ms() + lease->ttl_ms;
	reply_lease(request, lease_id, lease->ttl_ms);
}

static void
serve_lease_end(http_request_t *request, int64_t lease_id)
{
	g_hash_table_remove(leases, GINT_TO_POINTER(lease_id));
	remove_orphaned_keys();
	reply(request, STATUS_OK, json_object());
	reply_ready_watches();
}

/*
 * Records a call of a singleton duty. Rejects a fence token below the highest
 * one accepted, which comes from a holder that has lost the duty.
 */
static void
serve_duty_call(http_request_t *request, json_t *body)
{
	const char *token_text = http_request_header(request, "x-fence-token");
	const char *holder = http_request_header(request, "x-duty-holder");
	int64_t token = token_text == NULL ? 0 : strtoll(token_text, NULL, 10);

	if (token < highest_fence_token) {
		http_reply_json(request, STATUS_CONFLICT,
		    json_pack("{s:s}", "error", "a higher fence was seen"));
		return;
	}
	highest_fence_token = token;
	json_array_append_new(duty_calls,
	    json_pack("{s:s,s:s,s:I,s:O}", "path", http_request_path(request),
		"holder", holder == NULL ? "" : holder, "token",
		(json_int_t)token, "body", body));
	http_reply_json(request, STATUS_OK, json_object());
}

/* The number after the prefix of the path; 0 without that prefix. */
static int64_t
path_id(const char *path, const char *prefix)
{
	return g_str_has_prefix(path, prefix)
		   ? strtoll(path + strlen(prefix), NULL, 10)
		   : 0;
}

static bool
is_down(const char *path)
{
	return standin_fault_value(&standin, "down") > 0 ||
	       (strcmp(path, "/v1/kv-watch") == 0 &&
		   standin_fault_value(&standin, "watch_down") > 0);
}

static bool
is_limited(const char *path)
{
	return strcmp(path, "/v1/kv-watch") == 0 &&
	       standin_fault_value(&standin, "watch_limited") > 0;
}

static void
serve_store(http_request_t *request, const json_t *body)
{
	const char *path = http_request_path(request);
	int64_t id;

	if (is_down(path))
		reply(request, STATUS_UNAVAILABLE, json_object());
	else if (is_limited(path))
		reply(request, STATUS_LIMITED, json_object());
	else if (strcmp(path, "/v1/kv-range") == 0)
		serve_range(request);
	else if (strcmp(path, "/v1/kv-key") == 0)
		serve_get(request);
	else if (strcmp(path, "/v1/kv-watch") == 0)
		serve_watch(request);
	else if (strcmp(path, "/v1/kv-txn") == 0)
		serve_transaction(request, body);
	else if (strcmp(path, "/v1/kv-lease") == 0)
		serve_lease_grant(request, body);
	else if ((id = path_id(path, "/v1/kv-keep/")) != 0)
		serve_lease_renewal(request, id);
	else if ((id = path_id(path, "/v1/kv-lease-end/")) != 0)
		serve_lease_end(request, id);
	else
		reply(request, STATUS_NOT_FOUND, json_object());
}

static gboolean
copy_item(gpointer key, gpointer value, gpointer data)
{
	item_t *copy = g_memdup2(value, sizeof(*copy));

	copy->value_base64 = g_strdup(copy->value_base64);
	g_tree_replace(data, g_strdup(key), copy);
	return FALSE;
}

static GTree *
copy_items(GTree *from)
{
	GTree *to = g_tree_new_full(compare_keys, NULL, g_free, item_free);

	g_tree_foreach(from, copy_item, to);
	return to;
}

/* Copies leases that expire by delay_ms later. */
static GHashTable *
copy_leases(GHashTable *from, int64_t delay_ms)
{
	GHashTable *to = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	GHashTableIter iter;
	gpointer id, value;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		lease_t *lease = g_memdup2(value, sizeof(*lease));

		lease->expires_ms += delay_ms;
		g_hash_table_insert(to, id, lease);
	}
	return to;
}

static void
take_snapshot(void)
{
	g_clear_pointer(&snapshot.items, g_tree_unref);
	g_clear_pointer(&snapshot.leases, g_hash_table_unref);
	snapshot = (snapshot_t){
	    .items = copy_items(items),
	    .leases = copy_leases(leases, 0),
	    .last_revision = last_revision,
	    .last_lease = last_lease,
	    .taken_ms = clock_mono_ms(),
	};
}

/* The leases of the copy have the time left that they had in it. */
static void
restore_snapshot(void)
{
	watch_t *watch;

	g_tree_unref(items);
	g_hash_table_unref(leases);
	items = copy_items(snapshot.items);
	leases =
	    copy_leases(snapshot.leases, clock_mono_ms() - snapshot.taken_ms);
	last_revision = snapshot.last_revision;
	last_lease = snapshot.last_lease;
	era++;
	g_clear_pointer(&stale_list, json_decref);
	while ((watch = TAILQ_FIRST(&watches)) != NULL) {
		http_request_disconnect(watch->request);
		watch_free(watch);
	}
}

/* Serves the calls of tests; false: another call. */
static bool
serve_test(http_request_t *request)
{
	const char *path = http_request_path(request);

	if (strcmp(path, "/snapshot") == 0)
		take_snapshot();
	else if (strcmp(path, "/restore") == 0 && snapshot.items != NULL)
		restore_snapshot();
	else if (strcmp(path, "/calls") != 0)
		return false;
	http_reply_json(request, STATUS_OK, json_incref(duty_calls));
	return true;
}

static void
on_request(http_request_t *request, void *data)
{
	const char *path = http_request_path(request);
	size_t length;
	const char *text = http_request_body(request, &length);
	json_t *body = length == 0 ? json_object()
				   : json_parse(text, length, "request", NULL);

	if (body == NULL)
		http_reply_json(request, 400, json_object());
	else if (strcmp(path, "/usage") == 0 || strcmp(path, "/scale") == 0)
		serve_duty_call(request, body);
	else if (!serve_test(request))
		serve_store(request, body);
	json_decref(body);
}

int
main(int argc, char **argv)
{
	items = g_tree_new_full(compare_keys, NULL, g_free, item_free);
	leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	duty_calls = json_array();
	standin.program = "standin-platform";
	standin.handler = on_request;
	uv_timer_init(uv_default_loop(), &expiry_timer);
	uv_timer_start(
	    &expiry_timer, on_expiry, EXPIRY_POLL_MS, EXPIRY_POLL_MS);
	return standin_run(&standin, argc, argv);
}
