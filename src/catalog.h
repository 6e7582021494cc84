#ifndef PAPAYA_CATALOG_H
#define PAPAYA_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * One version of the operators' configuration: routes, services, workspaces
 * and limits. Never changed once complete; reference counted, so that a
 * request keeps the version that it was accepted under.
 */

typedef enum catalog_route_type {
	CATALOG_IDEMPOTENT,
	CATALOG_NON_IDEMPOTENT,
	CATALOG_STREAM, /* as non-idempotent, unless it can be resumed */
} catalog_route_type_t;

typedef struct catalog_split {
	char *service;
	unsigned weight;
} catalog_split_t;

typedef struct catalog_route {
	char *name;
	char *host;
	char *path_prefix;
	size_t prefix_length;
	catalog_route_type_t type;
	bool can_resume;
	bool is_public;
	unsigned max_attempts;
	unsigned priority; /* 0 is the most urgent */
	int64_t timeout_ms;
	int64_t objective_ms;	  /* to the response, or to the first event */
	int64_t gap_objective_ms; /* between events; 0: none */
	GArray *splits;		  /* of catalog_split_t */
} catalog_route_t;

/* Bounds within which servers of a service may be ordered. */
typedef struct catalog_scaling {
	unsigned min_size; /* in each availability zone */
	unsigned max_size; /* in each availability zone */
	int64_t boot_ms;
	double spot_price; /* of a reclaimable server, as a share; 0: none */
	GHashTable *zone_prices; /* zone (char *) to double * */
} catalog_scaling_t;

typedef struct catalog_service {
	char *name;
	unsigned max_connections; /* to one server, from all callers */
	bool is_engine;
	unsigned batch_size;	   /* engines: requests that run at once */
	double kv_capacity_tokens; /* engines: KV memory */
	bool can_migrate;	   /* engines: a run can go on at another one */
	catalog_scaling_t *scaling; /* NULL: fixed size */
} catalog_service_t;

typedef struct catalog_workspace {
	char *name;
	int priority; /* -1: that of the route */
	bool counts_tokens;
	double default_tokens; /* counted for a request that names no tokens */
	double rate_per_s;     /* 0: no limit */
	double burst;
} catalog_workspace_t;

typedef struct catalog_limits {
	size_t head_bytes;
	size_t body_bytes;
	int64_t head_timeout_ms;
	int64_t idle_timeout_ms;
} catalog_limits_t;

/* Limits in force until a configuration gives others. */
extern const catalog_limits_t catalog_limits_default;

typedef struct catalog {
	unsigned refs;
	int64_t version;
	catalog_limits_t limits;
	GHashTable *routes_by_host; /* host to GPtrArray of catalog_route_t */
	GHashTable *services;	    /* name to catalog_service_t */
	GHashTable *workspaces_by_key; /* API key to catalog_workspace_t */
	GPtrArray *workspaces;	       /* of catalog_workspace_t, owns */
	unsigned route_count;
} catalog_t;

/* An empty catalog with one reference, to be filled by its maker. */
catalog_t *catalog_new(void);
catalog_t *catalog_ref(catalog_t *catalog);
void catalog_unref(catalog_t *catalog);

/* Take ownership of what is added. */
void catalog_add_route(catalog_t *catalog, catalog_route_t *route);
void catalog_add_service(catalog_t *catalog, catalog_service_t *service);
void catalog_add_workspace(catalog_t *catalog, catalog_workspace_t *workspace);
void catalog_add_key(
    catalog_t *catalog, const char *key, catalog_workspace_t *workspace);

/* Completes a catalog: call it once, after everything has been added. */
void catalog_finalize(catalog_t *catalog);

catalog_route_t *catalog_route_new(void);
void catalog_route_free(catalog_route_t *route);
catalog_service_t *catalog_service_new(void);
void catalog_service_free(catalog_service_t *service);
void catalog_workspace_free(catalog_workspace_t *workspace);
void catalog_route_add_split(
    catalog_route_t *route, const char *service, unsigned weight);

/*
 * The route with the longest prefix of the path; NULL where none matches. The
 * host may carry a port; target is a path with or without a query.
 */
const catalog_route_t *catalog_find_route(
    const catalog_t *catalog, const char *host, const char *target);

const catalog_service_t *catalog_find_service(
    const catalog_t *catalog, const char *name);
const catalog_workspace_t *catalog_find_workspace(
    const catalog_t *catalog, const char *key);

/* A service of the route, by weight; random is any number. */
const char *catalog_pick_service(const catalog_route_t *route, uint64_t random);

/* True where a request may run more than once. */
bool catalog_may_retry(const catalog_route_t *route);

#endif
