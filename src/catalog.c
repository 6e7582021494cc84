#include "catalog.h"

#include <string.h>

enum { HOST_MAX = 256 };

const catalog_limits_t catalog_limits_default = {
    .head_bytes = 16384,
    .body_bytes = 4 * 1024 * 1024,
    .head_timeout_ms = 3000,
    .idle_timeout_ms = 15000,
};

static void
routes_free(gpointer routes)
{
	g_ptr_array_unref(routes);
}

static void
service_free(gpointer service)
{
	catalog_service_free(service);
}

static void
workspace_free(gpointer workspace)
{
	catalog_workspace_free(workspace);
}

static void
route_free(gpointer route)
{
	catalog_route_free(route);
}

catalog_t *
catalog_new(void)
{
	catalog_t *catalog = g_new0(catalog_t, 1);

	catalog->refs = 1;
	catalog->routes_by_host =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, routes_free);
	catalog->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	catalog->workspaces_by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	catalog->workspaces = g_ptr_array_new_with_free_func(workspace_free);
	return catalog;
}

catalog_t *
catalog_ref(catalog_t *catalog)
{
	catalog->refs++;
	return catalog;
}

void
catalog_unref(catalog_t *catalog)
{
	if (catalog == NULL || --catalog->refs > 0)
		return;
	g_hash_table_unref(catalog->routes_by_host);
	g_hash_table_unref(catalog->services);
	g_hash_table_unref(catalog->workspaces_by_key);
	g_ptr_array_unref(catalog->workspaces);
	g_free(catalog);
}

static void
split_clear(gpointer item)
{
	catalog_split_t *split = item;

	g_free(split->service);
}

catalog_route_t *
catalog_route_new(void)
{
	catalog_route_t *route = g_new0(catalog_route_t, 1);

	route->splits = g_array_new(FALSE, FALSE, sizeof(catalog_split_t));
	g_array_set_clear_func(route->splits, split_clear);
	route->max_attempts = 1;
	return route;
}

void
catalog_route_free(catalog_route_t *route)
{
	if (route == NULL)
		return;
	g_free(route->name);
	g_free(route->host);
	g_free(route->path_prefix);
	g_strfreev(route->allowed_regions);
	g_array_unref(route->splits);
	g_free(route);
}

catalog_service_t *
catalog_service_new(void)
{
	return g_new0(catalog_service_t, 1);
}

void
catalog_service_free(catalog_service_t *service)
{
	if (service == NULL)
		return;
	if (service->scaling != NULL)
		g_hash_table_unref(service->scaling->zone_prices);
	g_free(service->scaling);
	g_free(service->name);
	g_free(service);
}

void
catalog_workspace_free(catalog_workspace_t *workspace)
{
	if (workspace == NULL)
		return;
	g_free(workspace->name);
	g_strfreev(workspace->allowed_regions);
	g_free(workspace);
}

void
catalog_route_add_split(
    catalog_route_t *route, const char *service, unsigned weight)
{
	catalog_split_t split = {
	    .service = g_strdup(service), .weight = weight};

	g_array_append_val(route->splits, split);
}

static gint
longest_prefix_first(gconstpointer left, gconstpointer right)
{
	const catalog_route_t *a = *(catalog_route_t *const *)left;
	const catalog_route_t *b = *(catalog_route_t *const *)right;

	return (a->prefix_length < b->prefix_length) -
	       (a->prefix_length > b->prefix_length);
}

void
catalog_add_route(catalog_t *catalog, catalog_route_t *route)
{
	char *host = g_ascii_strdown(route->host, -1);
	GPtrArray *routes = g_hash_table_lookup(catalog->routes_by_host, host);

	if (routes == NULL) {
		routes = g_ptr_array_new_with_free_func(route_free);
		g_hash_table_insert(catalog->routes_by_host, host, routes);
	} else {
		g_free(host);
	}
	route->prefix_length = strlen(route->path_prefix);
	g_ptr_array_add(routes, route);
	catalog->route_count++;
}

void
catalog_finalize(catalog_t *catalog)
{
	GHashTableIter iter;
	gpointer routes;

	g_hash_table_iter_init(&iter, catalog->routes_by_host);
	while (g_hash_table_iter_next(&iter, NULL, &routes))
		g_ptr_array_sort(routes, longest_prefix_first);
}

void
catalog_add_service(catalog_t *catalog, catalog_service_t *service)
{
	g_hash_table_replace(catalog->services, service->name, service);
}

void
catalog_add_workspace(catalog_t *catalog, catalog_workspace_t *workspace)
{
	g_ptr_array_add(catalog->workspaces, workspace);
}

void
catalog_add_key(
    catalog_t *catalog, const char *key, catalog_workspace_t *workspace)
{
	g_hash_table_replace(
	    catalog->workspaces_by_key, g_strdup(key), workspace);
}

/* Lower-cases a host and drops its port; false if it does not fit in out. */
static bool
normalize_host(const char *host, char *out, size_t size)
{
	size_t length = strcspn(host, ":");

	if (length >= size)
		return false;
	for (size_t i = 0; i < length; i++)
		out[i] = g_ascii_tolower(host[i]);
	out[length] = '\0';
	return true;
}

const GPtrArray *
catalog_find_host_routes(const catalog_t *catalog, const char *host)
{
	char name[HOST_MAX];

	if (!normalize_host(host, name, sizeof(name)))
		return NULL;
	return g_hash_table_lookup(catalog->routes_by_host, name);
}

const catalog_route_t *
catalog_find_route(
    const catalog_t *catalog, const char *host, const char *target)
{
	const GPtrArray *routes = catalog_find_host_routes(catalog, host);
	size_t path_length = strcspn(target, "?");

	for (guint i = 0; routes != NULL && i < routes->len; i++) {
		const catalog_route_t *route = routes->pdata[i];

		if (route->prefix_length <= path_length &&
		    memcmp(route->path_prefix, target, route->prefix_length) ==
			0)
			return route;
	}
	return NULL;
}

static bool
is_same_route(const catalog_route_t *left, const catalog_route_t *right)
{
	return strcmp(left->name, right->name) == 0 &&
	       strcmp(left->host, right->host) == 0 &&
	       strcmp(left->path_prefix, right->path_prefix) == 0;
}

const catalog_route_t *
catalog_find_same_route(const catalog_t *catalog, const catalog_route_t *route)
{
	const catalog_route_t *same_name = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, catalog->routes_by_host);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GPtrArray *routes = value;

		for (guint i = 0; i < routes->len; i++) {
			const catalog_route_t *other = routes->pdata[i];

			if (is_same_route(other, route))
				return other;
			if (route->name[0] != '\0' &&
			    strcmp(other->name, route->name) == 0)
				same_name = other;
		}
	}
	return same_name;
}

const catalog_workspace_t *
catalog_find_same_workspace(
    const catalog_t *catalog, const catalog_workspace_t *workspace)
{
	for (guint i = 0; i < catalog->workspaces->len; i++) {
		const catalog_workspace_t *other =
		    catalog->workspaces->pdata[i];

		if (strcmp(other->name, workspace->name) == 0)
			return other;
	}
	return NULL;
}

const catalog_service_t *
catalog_find_service(const catalog_t *catalog, const char *name)
{
	return g_hash_table_lookup(catalog->services, name);
}

const catalog_workspace_t *
catalog_find_workspace(const catalog_t *catalog, const char *key)
{
	return g_hash_table_lookup(catalog->workspaces_by_key, key);
}

const char *
catalog_pick_service(const catalog_route_t *route, uint64_t random)
{
	uint64_t total_weight = 0;

	for (guint i = 0; i < route->splits->len; i++)
		total_weight +=
		    g_array_index(route->splits, catalog_split_t, i).weight;
	if (total_weight == 0)
		return NULL;
	random %= total_weight;
	for (guint i = 0; i < route->splits->len; i++) {
		const catalog_split_t *split =
		    &g_array_index(route->splits, catalog_split_t, i);

		if (random < split->weight)
			return split->service;
		random -= split->weight;
	}
	return NULL;
}

bool
catalog_may_retry(const catalog_route_t *route)
{
	switch (route->type) {
	case CATALOG_IDEMPOTENT:
		return true;
	case CATALOG_NON_IDEMPOTENT:
		return false;
	case CATALOG_STREAM:
		return route->can_resume;
	}
	return false;
}
