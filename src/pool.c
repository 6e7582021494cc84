#include "pool.h"

#include <string.h>

enum {
	/* Pause of an unreachable server; doubles with each further failure. */
	SERVER_BACKOFF_MIN_MS = 500,
	SERVER_BACKOFF_MAX_MS = 4000,
	/* How long a server at capacity gets no requests. */
	SERVER_FULL_BACKOFF_MS = 100,
	/* Longest pause that a server may ask for. */
	SERVER_PAUSE_MAX_MS = 60 * 60 * 1000,
	/* How long a removed server is remembered in case its entry returns. */
	REMOVED_MEMORY_MS = 60000,
	/*
	 * How long an outdated entry must stay before its server counts as
	 * alive: the platform removes it after three heartbeats without a
	 * write, of 1.2 s each.
	 */
	OUTDATED_HOLD_MS = 6000,
	/* Longest time for which a server may say that it is cold. */
	COLD_MAX_MS = 60 * 60 * 1000,
};

/* Weights of the newest attempt in the moving averages. */
static const double failure_weight = 0.08;
static const double latency_weight = 0.1;

struct pool {
	uv_loop_t *loop;
	int64_t drain_ms;
	GHashTable *by_id;	/* id to server_t, holds a reference */
	GHashTable *by_tag;	/* tag to server_t, borrowed */
	GHashTable *by_service; /* service to GPtrArray of server_t, borrowed */
	GHashTable *removed;	/* id to server_t, holds a reference */
	GHashTable *outdated;	/* id to outdated_entry_t */
};

/* An entry of a removed server, from a store restored from a copy. */
typedef struct outdated_entry {
	server_info_t *info;
	int64_t due_ms; /* the server returns */
} outdated_entry_t;

uint32_t
server_tag(const char *id)
{
	return g_str_hash(id);
}

uint32_t
server_process_hash(const server_info_t *info)
{
	return server_tag(info->id) ^ g_int64_hash(&info->started_ms);
}

server_t *
server_ref(server_t *server)
{
	server->refs++;
	return server;
}

void
server_unref(server_t *server)
{
	if (server == NULL || --server->refs > 0)
		return;
	upstream_free(server->upstream);
	server_info_free(server->info);
	g_free(server);
}

static void
unref_value(gpointer server)
{
	server_unref(server);
}

static void
unref_array(gpointer array)
{
	g_ptr_array_unref(array);
}

static void
outdated_entry_free(gpointer data)
{
	outdated_entry_t *entry = data;

	server_info_free(entry->info);
	g_free(entry);
}

pool_t *
pool_new(uv_loop_t *loop, int64_t drain_ms)
{
	pool_t *pool = g_new0(pool_t, 1);

	pool->loop = loop;
	pool->drain_ms = drain_ms;
	pool->by_id =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_value);
	pool->by_tag = g_hash_table_new(NULL, NULL);
	pool->by_service =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_array);
	pool->removed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_value);
	pool->outdated = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, outdated_entry_free);
	return pool;
}

void
pool_free(pool_t *pool)
{
	if (pool == NULL)
		return;
	g_hash_table_unref(pool->by_service);
	g_hash_table_unref(pool->by_tag);
	g_hash_table_unref(pool->by_id);
	g_hash_table_unref(pool->removed);
	g_hash_table_unref(pool->outdated);
	g_free(pool);
}

/* Sets the expected shutdown time, unless it is set already. */
static void
set_shutdown_time(const pool_t *pool, server_t *server, int64_t now_ms)
{
	int64_t remaining_ms = server->info->shutdown_in_ms;

	if (server->shutdown_at_ms == 0)
		server->shutdown_at_ms =
		    now_ms +
		    (remaining_ms >= 0 ? remaining_ms : pool->drain_ms);
}

static void
unlink_server(pool_t *pool, server_t *server, int64_t now_ms)
{
	GPtrArray *list =
	    g_hash_table_lookup(pool->by_service, server->info->service);

	server->removed = true;
	server->removed_at_ms = now_ms;
	set_shutdown_time(pool, server, now_ms);
	if (list != NULL)
		g_ptr_array_remove(list, server);
	g_hash_table_remove(pool->by_tag, GUINT_TO_POINTER(server->tag));
	g_hash_table_replace(
	    pool->removed, server->info->id, server_ref(server));
	g_hash_table_remove(pool->by_id, server->info->id);
}

static void
link_server(pool_t *pool, server_t *server)
{
	const char *service = server->info->service;
	GPtrArray *list = g_hash_table_lookup(pool->by_service, service);

	if (list == NULL) {
		list = g_ptr_array_new();
		g_hash_table_insert(pool->by_service, g_strdup(service), list);
	}
	g_ptr_array_add(list, server);
	g_hash_table_insert(
	    pool->by_tag, GUINT_TO_POINTER(server->tag), server);
	g_hash_table_insert(pool->by_id, server->info->id, server);
}

/* True if both entries describe the same process of the same server. */
static bool
same_server(const server_info_t *a, const server_info_t *b)
{
	return a->started_ms == b->started_ms &&
	       strcmp(a->address, b->address) == 0 &&
	       strcmp(a->service, b->service) == 0;
}

/* Replaces the entry of a server; the hash tables keep the old id string. */
static void
replace_info(server_t *server, server_info_t *info)
{
	server_info_t *old = server->info;
	char *id = info->id;

	info->id = old->id;
	old->id = id;
	server->info = info;
	server_info_free(old);
}

/* An entry counts from the time at which it was read. */
static void
set_cold_until(server_t *server, int64_t now_ms)
{
	int64_t cold_ms = server->info->warmup_ms;

	/* A warm server keeps the time at which it became warm. */
	server->cold_until_ms = cold_ms > 0
				    ? now_ms + MIN(cold_ms, COLD_MAX_MS)
				    : MIN(server->cold_until_ms, now_ms);
}

static server_t *
server_new(const pool_t *pool, server_info_t *info, int64_t now_ms)
{
	server_t *server = g_new0(server_t, 1);

	server->refs = 1;
	server->info = info;
	server->tag = server_tag(info->id);
	server->listed_at_ms = now_ms;
	server->upstream = upstream_new(pool->loop, info->address);
	return server;
}

/*
 * Takes the removed server whose entry this is; NULL if there is none. The
 * caller owns the reference, the server owns info.
 */
static server_t *
take_removed(pool_t *pool, server_info_t *info)
{
	server_t *server = g_hash_table_lookup(pool->removed, info->id);

	if (server == NULL || !same_server(server->info, info))
		return NULL;
	g_hash_table_steal(pool->removed, info->id);
	replace_info(server, info);
	server->removed = false;
	server->remove_at_ms = 0;
	if (server->leaving_since_ms == 0)
		server->shutdown_at_ms = 0;
	return server;
}

void
pool_put(pool_t *pool, server_info_t *info, int64_t now_ms)
{
	server_t *server = g_hash_table_lookup(pool->by_id, info->id);

	g_hash_table_remove(pool->outdated, info->id);
	if (server != NULL && same_server(server->info, info)) {
		replace_info(server, info);
		set_cold_until(server, now_ms);
		server->remove_at_ms = 0;
		if (info->draining)
			set_shutdown_time(pool, server, now_ms);
		return;
	}
	if (server != NULL)
		unlink_server(pool, server, now_ms);
	server = take_removed(pool, info);
	if (server == NULL)
		server = server_new(pool, info, now_ms);
	set_cold_until(server, now_ms);
	if (info->draining)
		set_shutdown_time(pool, server, now_ms);
	link_server(pool, server);
}

void
pool_remove(pool_t *pool, const char *id, int64_t grace_ms, int64_t now_ms)
{
	server_t *server = g_hash_table_lookup(pool->by_id, id);

	g_hash_table_remove(pool->outdated, id);
	if (server == NULL || server->remove_at_ms != 0)
		return;
	if (grace_ms > 0 && !server->info->draining)
		server->remove_at_ms = now_ms + grace_ms;
	else
		unlink_server(pool, server, now_ms);
}

server_t *
pool_find_known(const pool_t *pool, const char *id)
{
	server_t *server = g_hash_table_lookup(pool->by_id, id);

	return server != NULL ? server : g_hash_table_lookup(pool->removed, id);
}

bool
pool_is_outdated(const pool_t *pool, const server_info_t *info)
{
	const server_t *known = pool_find_known(pool, info->id);

	if (known == NULL || info->started_ms > known->info->started_ms)
		return false;
	if (info->started_ms < known->info->started_ms)
		return true;
	/* A draining server does not become ready again. */
	if (info->draining && !known->info->draining)
		return false;
	return info->sequence <= known->info->sequence;
}

void
pool_put_outdated(pool_t *pool, server_info_t *info, int64_t now_ms)
{
	server_t *known = pool_find_known(pool, info->id);
	outdated_entry_t *entry;

	/* A removal is not final in its grace period. */
	known->remove_at_ms = 0;
	if (!known->removed || known->info->draining) {
		server_info_free(info);
		return;
	}
	entry = g_new0(outdated_entry_t, 1);
	entry->info = info;
	entry->due_ms = now_ms + OUTDATED_HOLD_MS;
	g_hash_table_replace(pool->outdated, info->id, entry);
}

/* Adds the removed servers whose outdated entry has stayed. */
static void
put_due_entries(pool_t *pool, int64_t now_ms)
{
	GList *entries = g_hash_table_get_values(pool->outdated);

	for (GList *item = entries; item != NULL; item = item->next) {
		outdated_entry_t *entry = item->data;

		if (now_ms < entry->due_ms)
			continue;
		g_hash_table_steal(pool->outdated, entry->info->id);
		pool_put(pool, g_steal_pointer(&entry->info), now_ms);
		g_free(entry);
	}
	g_list_free(entries);
}

void
pool_set_leaving(const pool_t *pool, server_t *server, int64_t now_ms)
{
	if (server->leaving_since_ms != 0)
		return;
	server->leaving_since_ms = now_ms;
	set_shutdown_time(pool, server, now_ms);
}

static gboolean
is_forgotten(gpointer id, gpointer data, gpointer now_ms)
{
	const server_t *server = data;

	if (server->upstream != NULL)
		upstream_close_expired(server->upstream, *(int64_t *)now_ms);
	return *(int64_t *)now_ms - server->removed_at_ms > REMOVED_MEMORY_MS;
}

void
pool_sweep(pool_t *pool, int64_t now_ms)
{
	GList *servers = g_hash_table_get_values(pool->by_id);

	for (GList *item = servers; item != NULL; item = item->next) {
		server_t *server = item->data;

		if (server->remove_at_ms != 0 && now_ms >= server->remove_at_ms)
			unlink_server(pool, server, now_ms);
		else if (server->upstream != NULL)
			upstream_close_expired(server->upstream, now_ms);
	}
	g_list_free(servers);
	g_hash_table_foreach_remove(pool->removed, is_forgotten, &now_ms);
	put_due_entries(pool, now_ms);
}

void
pool_each(
    pool_t *pool, void (*callback)(server_t *server, void *data), void *data)
{
	GHashTableIter iter;
	gpointer server;

	g_hash_table_iter_init(&iter, pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &server))
		callback(server, data);
}

const GPtrArray *
pool_servers(const pool_t *pool, const char *service)
{
	return g_hash_table_lookup(pool->by_service, service);
}

GPtrArray *
pool_filter_version(const GPtrArray *servers, const char *version, bool matches)
{
	GPtrArray *selected = g_ptr_array_new();

	for (guint i = 0; servers != NULL && i < servers->len; i++) {
		server_t *server = servers->pdata[i];

		if ((strcmp(server->info->version, version) == 0) == matches)
			g_ptr_array_add(selected, server);
	}
	return selected;
}

server_t *
pool_find(const pool_t *pool, uint32_t tag)
{
	return g_hash_table_lookup(pool->by_tag, GUINT_TO_POINTER(tag));
}

unsigned
pool_count(const pool_t *pool)
{
	return g_hash_table_size(pool->by_id);
}

/* False where the server gets no more requests for good. */
static bool
server_stays(const server_t *server)
{
	return !server->removed && !server->info->draining &&
	       server->leaving_since_ms == 0 && server->upstream != NULL;
}

bool
server_usable(const server_t *server, int64_t now_ms)
{
	return server_stays(server) && now_ms >= server->backoff_until_ms &&
	       now_ms >= server->paused_until_ms;
}

bool
server_wants_requests(const server_t *server, int64_t now_ms)
{
	return server_stays(server) && now_ms >= server->paused_until_ms;
}

void
server_pause(server_t *server, int64_t duration_ms, int64_t now_ms)
{
	server->paused_until_ms = MAX(server->paused_until_ms,
	    now_ms + MIN(duration_ms, SERVER_PAUSE_MAX_MS));
}

int64_t
pool_pause_ms(const GPtrArray *servers, int64_t now_ms)
{
	int64_t shortest_ms = SERVER_PAUSE_MAX_MS;
	bool found = false;

	for (guint i = 0; servers != NULL && i < servers->len; i++) {
		const server_t *server = servers->pdata[i];

		if (!server_stays(server))
			continue;
		found = true;
		shortest_ms =
		    MIN(shortest_ms, server->paused_until_ms - now_ms);
	}
	return found ? MAX(shortest_ms, 0) : 0;
}

int64_t
server_cold_until_ms(const server_t *server)
{
	return MAX(server->cold_until_ms, server->reported_cold_until_ms);
}

bool
server_is_cold(const server_t *server, int64_t now_ms)
{
	return now_ms < server_cold_until_ms(server);
}

void
server_report_cold(server_t *server, int64_t cold_ms, int64_t now_ms)
{
	server->reported_cold_until_ms = MAX(
	    server->reported_cold_until_ms, now_ms + MIN(cold_ms, COLD_MAX_MS));
}

void
server_assume_cold(server_t *server, int64_t cold_ms, int64_t now_ms)
{
	server->cold_until_ms = MAX(server->cold_until_ms, now_ms + cold_ms);
}

unsigned
server_in_flight(const server_t *server)
{
	return server->local_load.in_flight + server->peer_load.in_flight;
}

static void
set_backoff(server_t *server, int64_t now_ms)
{
	int64_t pause_ms = SERVER_BACKOFF_MIN_MS;

	for (unsigned i = 1; i < server->consecutive_failures &&
			     pause_ms < SERVER_BACKOFF_MAX_MS;
	     i++)
		pause_ms *= 2;
	server->backoff_until_ms =
	    now_ms + MIN(pause_ms, SERVER_BACKOFF_MAX_MS);
}

static void
add_latency(server_t *server, double latency_ms)
{
	server->latency_ms += (server->latency_ms == 0 ? 1 : latency_weight) *
			      (latency_ms - server->latency_ms);
}

void
server_record_no_answer(server_t *server, double latency_ms)
{
	if (latency_ms > server->latency_ms)
		add_latency(server, latency_ms);
}

void
server_record_outcome(server_t *server, server_outcome_t outcome,
    double latency_ms, int64_t now_ms)
{
	double failure =
	    outcome == SERVER_SERVED || outcome == SERVER_FULL ? 0 : 1;

	if (outcome == SERVER_FULL) {
		server->backoff_until_ms = MAX(
		    server->backoff_until_ms, now_ms + SERVER_FULL_BACKOFF_MS);
		return;
	}
	server->failure_rate +=
	    failure_weight * (failure - server->failure_rate);
	if (outcome == SERVER_UNREACHABLE) {
		server->consecutive_failures++;
		set_backoff(server, now_ms);
		return;
	}
	server->consecutive_failures = 0;
	if (outcome == SERVER_SERVED)
		add_latency(server, latency_ms);
}
