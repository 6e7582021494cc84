#ifndef PAPAYA_CATALOG_H
#define PAPAYA_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * One version of the operators' configuration: routes, services, workspaces
 * and limits. Immutable after catalog_finalize(), and reference counted: a
 * request keeps the version under which it was accepted.
 */

/* Whether a request may be sent again after it may have run. */
typedef enum catalog_route_type {
	CATALOG_IDEMPOTENT,
	CATALOG_NON_IDEMPOTENT,
	CATALOG_STREAM, /* non-idempotent unless can_resume is set */
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
	bool can_resume; /* another server can continue a stream */
	bool is_public;	 /* no API key needed */
	unsigned max_attempts;
	unsigned priority; /* 0 is the most urgent */
	int64_t timeout_ms;
	int64_t objective_ms;	  /* until the response or its first event */
	int64_t gap_objective_ms; /* between events; 0: no objective */
	GArray *splits;		  /* of catalog_split_t */
	char **allowed_regions;	  /* see region.h; NULL: all */
} catalog_route_t;

/* Limits and prices for ordering servers of a service. */
typedef struct catalog_scaling {
	unsigned min_size; /* in each availability zone */
	unsigned max_size; /* in each availability zone */
	int64_t boot_ms;   /* from the order until a server is ready */
	double spot_price; /* as a share of the on-demand price; 0: none */
	GHashTable *zone_prices; /* zone to on-demand price (double *) */
} catalog_scaling_t;

typedef struct catalog_service {
	char *name;
	unsigned max_connections; /* to one server, of all nodes; 0: no limit */
	bool is_engine;
	unsigned batch_size;	   /* engines: concurrent requests */
	double kv_capacity_tokens; /* engines: size of the KV cache */
	bool can_migrate;	   /* engines: running streams can be moved */
	int64_t cold_start_ms;	   /* for which a new server is cold */
	/* Requests to a cold server in any second, of all nodes; 0: no limit */
	double cold_per_s;
	catalog_scaling_t *scaling; /* NULL: fixed size */
} catalog_service_t;

typedef struct catalog_workspace {
	char *name;
	int priority;		/* ranks before the route's; -1: none */
	bool counts_tokens;	/* units of the rate: tokens, not requests */
	double default_tokens;	/* for a request without a token count */
	double rate_per_s;	/* in units; 0: no limit */
	double burst;		/* in units */
	char **allowed_regions; /* see region.h; NULL: all */
} catalog_workspace_t;

typedef struct catalog_limits {
	size_t head_bytes; /* start line and headers of a request */
	size_t body_bytes;
	int64_t head_timeout_ms; /* to receive a request's head */
	int64_t idle_timeout_ms; /* of a client connection */
} catalog_limits_t;

/* Apply before the first configuration and for limits it does not set. */
extern const catalog_limits_t catalog_limits_default;

typedef struct catalog {
	unsigned refs;
	int64_t version;
	catalog_limits_t limits;
	GHashTable *routes_by_host; /* host to GPtrArray of catalog_route_t */
	GHashTable *services;	    /* name to catalog_service_t */
	GHashTable *workspaces_by_key; /* API key to borrowed workspace */
	GPtrArray *workspaces;	       /* of catalog_workspace_t, owned */
	unsigned route_count;
} catalog_t;

/* An empty catalog with one reference; the caller adds the contents. */
catalog_t *catalog_new(void);
catalog_t *catalog_ref(catalog_t *catalog);
void catalog_unref(catalog_t *catalog);

/* The catalog takes ownership of the added object. */
void catalog_add_route(catalog_t *catalog, catalog_route_t *route);
void catalog_add_service(catalog_t *catalog, catalog_service_t *service);
void catalog_add_workspace(catalog_t *catalog, catalog_workspace_t *workspace);
/* The key is copied; the workspace must have been added. */
void catalog_add_key(
    catalog_t *catalog, const char *key, catalog_workspace_t *workspace);

/* Sorts the routes for lookup: call once, after everything was added. */
void catalog_finalize(catalog_t *catalog);

catalog_route_t *catalog_route_new(void);
void catalog_route_free(catalog_route_t *route);
catalog_service_t *catalog_service_new(void);
void catalog_service_free(catalog_service_t *service);
void catalog_workspace_free(catalog_workspace_t *workspace);
void catalog_route_add_split(
    catalog_route_t *route, const char *service, unsigned weight);

/*
 * Route of the host with the longest matching path prefix; NULL if none. The
 * host may include a port; target is a path with or without a query.
 */
const catalog_route_t *catalog_find_route(
    const catalog_t *catalog, const char *host, const char *target);

/* Routes of the host (catalog_route_t); NULL if none. */
const GPtrArray *catalog_find_host_routes(
    const catalog_t *catalog, const char *host);

/*
 * The same route, or workspace, as that of another version: the route with its
 * name, host and path prefix, otherwise one with its name. NULL if this version
 * no longer has it.
 */
const catalog_route_t *catalog_find_same_route(
    const catalog_t *catalog, const catalog_route_t *route);
const catalog_workspace_t *catalog_find_same_workspace(
    const catalog_t *catalog, const catalog_workspace_t *workspace);

const catalog_service_t *catalog_find_service(
    const catalog_t *catalog, const char *name);
const catalog_workspace_t *catalog_find_workspace(
    const catalog_t *catalog, const char *key);

/*
 * Service of the route, selected by weight with a uniformly distributed random
 * number; borrowed. NULL if the route has none.
 */
const char *catalog_pick_service(const catalog_route_t *route, uint64_t random);

/* True if a request may be sent again after it may have run. */
bool catalog_may_retry(const catalog_route_t *route);

#endif
