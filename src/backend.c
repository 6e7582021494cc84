#include "backend.h"

#include <string.h>

enum {
	/* Consecutive failures that make a backend server suspect. */
	FAILURES_TO_SUSPECT = 3,
	SUSPECT_INITIAL_MS = 500,
	SUSPECT_MAX_MS = 8000,
};

/* Weight of the newest sample in the moving average of the latency. */
static const double LATENCY_WEIGHT = 0.2;

struct backends {
	LIST_HEAD(, backend) list;
	GHashTable *by_name;	/* TEAM/NAME: backend_t; both borrowed */
	GHashTable *by_service; /* service: GPtrArray of borrowed backend_t */
};

static void
free_array(gpointer array)
{
	g_ptr_array_free(array, TRUE);
}

backends_t *
backends_new(void)
{
	backends_t *backends = g_new0(backends_t, 1);

	LIST_INIT(&backends->list);
	backends->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	backends->by_service =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_array);
	return backends;
}

backend_t *
backend_ref(backend_t *backend)
{
	backend->refs++;
	return backend;
}

void
backend_unref(backend_t *backend)
{
	if (--backend->refs > 0)
		return;
	g_free(backend->name);
	g_free(backend->address);
	g_free(backend->host);
	g_free(backend->zone);
	g_free(backend->class);
	g_free(backend->service);
	g_free(backend->version);
	g_free(backend);
}

static void
index_add(backends_t *backends, backend_t *backend)
{
	GPtrArray *array =
	    g_hash_table_lookup(backends->by_service, backend->service);

	if (array == NULL) {
		array = g_ptr_array_new();
		g_hash_table_insert(
		    backends->by_service, g_strdup(backend->service), array);
	}
	g_ptr_array_add(array, backend);
}

static void
index_remove(backends_t *backends, backend_t *backend)
{
	GPtrArray *array =
	    g_hash_table_lookup(backends->by_service, backend->service);

	g_ptr_array_remove_fast(array, backend);
	if (array->len == 0)
		g_hash_table_remove(backends->by_service, backend->service);
}

static void
backend_remove(backends_t *backends, backend_t *backend)
{
	backend->state = BACKEND_REMOVED;
	index_remove(backends, backend);
	g_hash_table_remove(backends->by_name, backend->name);
	LIST_REMOVE(backend, entries);
	backend_unref(backend);
}

void
backends_free(backends_t *backends)
{
	backend_t *backend;

	while ((backend = LIST_FIRST(&backends->list)) != NULL)
		backend_remove(backends, backend);
	g_hash_table_destroy(backends->by_name);
	g_hash_table_destroy(backends->by_service);
	g_free(backends);
}

static backend_t *
backend_new(const backend_conf_t *conf)
{
	backend_t *backend = g_new0(backend_t, 1);

	backend->refs = 1;
	backend->name = g_strdup(conf->name);
	backend->address = g_strdup(conf->address);
	backend->host = g_strdup(conf->host);
	backend->zone = g_strdup(conf->zone);
	backend->class = g_strdup(conf->class);
	backend->service = g_strdup(conf->service);
	backend->version = g_strdup(conf->version);
	backend->state = BACKEND_LIVE;
	return backend;
}

static bool
same_identity(const backend_t *backend, const backend_conf_t *conf)
{
	return strcmp(backend->address, conf->address) == 0 &&
	       strcmp(backend->host, conf->host) == 0 &&
	       strcmp(backend->service, conf->service) == 0 &&
	       strcmp(backend->version, conf->version) == 0 &&
	       strcmp(backend->zone, conf->zone) == 0;
}

static bool
belongs_to_team(const backend_t *backend, const char *team)
{
	size_t length = strlen(team);

	return strncmp(backend->name, team, length) == 0 &&
	       backend->name[length] == '/';
}

void
backends_apply(backends_t *backends, const settings_tree_t *tree)
{
	backend_t *backend, *next;
	const backend_conf_t *conf;
	GHashTableIter iter;
	gpointer value;

	for (backend = LIST_FIRST(&backends->list); backend != NULL;
	     backend = next) {
		next = LIST_NEXT(backend, entries);
		conf = g_hash_table_lookup(tree->backends, backend->name);
		if (belongs_to_team(backend, tree->team) &&
		    (conf == NULL || !same_identity(backend, conf)))
			backend_remove(backends, backend);
	}
	g_hash_table_iter_init(&iter, tree->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		conf = value;
		backend = backends_find(backends, conf->name);
		if (backend == NULL) {
			backend = backend_new(conf);
			LIST_INSERT_HEAD(&backends->list, backend, entries);
			g_hash_table_insert(
			    backends->by_name, backend->name, backend);
			index_add(backends, backend);
		}
		backend->price_per_hour = conf->price_per_hour;
		backend->reclaimable = conf->reclaimable;
		backend->fencing = conf->fencing;
	}
}

backend_t *
backends_find(const backends_t *backends, const char *name)
{
	return g_hash_table_lookup(backends->by_name, name);
}

void
backends_of_service(
    const backends_t *backends, const char *service, GPtrArray *out)
{
	GPtrArray *array = g_hash_table_lookup(backends->by_service, service);

	if (array != NULL)
		g_ptr_array_extend(out, array, NULL, NULL);
}

void
backends_each(const backends_t *backends,
    void (*callback)(backend_t *backend, void *data), void *data)
{
	backend_t *backend;

	LIST_FOREACH (backend, &backends->list, entries)
		callback(backend, data);
}

bool
backends_drain_host(backends_t *backends, const char *host, int64_t leave_at_ms)
{
	backend_t *backend;
	bool changed = false;

	LIST_FOREACH (backend, &backends->list, entries) {
		if (strcmp(backend->host, host) != 0 ||
		    backend->state == BACKEND_DRAINING)
			continue;
		backend->state = BACKEND_DRAINING;
		backend->leave_at_ms = leave_at_ms;
		changed = true;
	}
	return changed;
}

bool
backend_usable(const backend_t *backend, int64_t now_ms)
{
	switch (backend->state) {
	case BACKEND_LIVE:
		return true;
	case BACKEND_SUSPECT:
		return now_ms >= backend->suspect_until_ms;
	case BACKEND_DRAINING:
	case BACKEND_REMOVED:
		return false;
	}
	return false;
}

void
backend_request_started(backend_t *backend, int64_t now_ms)
{
	backend->in_flight++;
	backend->requests_total++;
	backend->last_new_request_ms = now_ms;
	/* While suspect, one trial request per SUSPECT_INITIAL_MS. */
	if (backend->state == BACKEND_SUSPECT)
		backend->suspect_until_ms = now_ms + SUSPECT_INITIAL_MS;
}

static void
count_failure(backend_t *backend, int64_t now_ms)
{
	unsigned doublings;
	int64_t pause_ms;

	backend->consecutive_failures++;
	if (backend->consecutive_failures < FAILURES_TO_SUSPECT)
		return;
	if (backend->state != BACKEND_LIVE && backend->state != BACKEND_SUSPECT)
		return;
	doublings = MIN(backend->consecutive_failures - FAILURES_TO_SUSPECT, 4);
	pause_ms = (int64_t)SUSPECT_INITIAL_MS << doublings;
	backend->state = BACKEND_SUSPECT;
	backend->suspect_until_ms = now_ms + MIN(pause_ms, SUSPECT_MAX_MS);
}

void
backend_request_finished(
    backend_t *backend, bool ok, double latency_ms, int64_t now_ms)
{
	backend->in_flight--;
	if (!ok) {
		count_failure(backend, now_ms);
		return;
	}
	backend->consecutive_failures = 0;
	if (backend->state == BACKEND_SUSPECT)
		backend->state = BACKEND_LIVE;
	if (backend->average_latency_ms == 0)
		backend->average_latency_ms = latency_ms;
	else
		backend->average_latency_ms +=
		    LATENCY_WEIGHT * (latency_ms - backend->average_latency_ms);
}

void
backend_update_load(
    backend_t *backend, unsigned running, unsigned waiting, int64_t now_ms)
{
	backend->reported_running = running;
	backend->reported_waiting = waiting;
	backend->reported_at_ms = now_ms;
	backend->in_flight_at_report = backend->in_flight;
}
