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
typedef struct route_prefix_index route_prefix_index_t;

route_prefix_index_t *route_prefix_index_new(void);
void route_prefix_index_free(route_prefix_index_t *index);
/* A backend server holds, or dropped, a prefix. */
void route_prefix_index_add(route_prefix_index_t *index, const char *backend,
    uint64_t prefix_hash, int64_t now_ms);
void route_prefix_index_remove(
    route_prefix_index_t *index, const char *backend, uint64_t prefix_hash);

/* Bytes at the start of a prompt that make up its routing prefix. */
enum { ROUTE_PREFIX_BYTES = 256 };

/* Hash of a prompt's routing prefix. */
uint64_t route_prefix_hash(const char *prompt);

/* Chooses among candidates (backend_t *); NULL if none is usable. */
backend_t *route_choose(const route_query_t *query, const GPtrArray *candidates,
    const route_prefix_index_t *index);

#endif
