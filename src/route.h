#ifndef PAPAYA_ROUTE_H
#define PAPAYA_ROUTE_H

#include "backend.h"

#include <glib.h>
#include <stdint.h>

/* What a routing decision is made from. */
typedef struct route_query {
	route_policy_t policy;
	const char *zone;     /* of the node */
	const char *version;  /* only backend servers of this version */
	uint64_t prefix_hash; /* of the prompt's prefix; 0: none */
	int priority;
	int64_t now_ms;
	uint64_t random;
	GPtrArray *excluded; /* backend_t tried already; or NULL */
} route_query_t;

/* Prefix-cache knowledge of one node; late and with gaps. */
typedef struct route_cache route_cache_t;

route_cache_t *route_cache_new(void);
void route_cache_free(route_cache_t *cache);
/* A backend server holds, or dropped, a prefix. */
void route_cache_stored(
    route_cache_t *cache, const char *backend, uint64_t prefix, int64_t now_ms);
void route_cache_evicted(
    route_cache_t *cache, const char *backend, uint64_t prefix);

/* Bytes at the start of a prompt that make up its routing prefix. */
enum { ROUTE_PREFIX_BYTES = 256 };

/* Hash of a prompt's routing prefix. */
uint64_t route_prefix(const char *prompt);

/* Chooses among candidates (backend_t *); NULL if none is usable. */
backend_t *route_choose(const route_query_t *query, const GPtrArray *candidates,
    const route_cache_t *cache);

#endif
