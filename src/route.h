#ifndef PAPAYA_ROUTE_H
#define PAPAYA_ROUTE_H

#include "backend.h"

#include <glib.h>
#include <stdint.h>

/* Inputs of a routing decision. */
typedef struct route_query {
	route_policy_t policy;
	const char *zone;     /* of the node; or NULL */
	const char *version;  /* the backend server must run it */
	uint64_t prefix_hash; /* of the prompt's prefix; 0: none */
	int priority;
	int64_t now_ms;
	uint64_t random;     /* breaks ties; choice of ROUTE_RANDOM */
	GPtrArray *excluded; /* backend_t already tried; or NULL */
} route_query_t;

/*
 * Index of the prompt prefixes in the backend servers' prefix caches, as one
 * node knows it. A hint only: cache events arrive late and some are lost.
 */
typedef struct route_prefix_index route_prefix_index_t;

route_prefix_index_t *route_prefix_index_new(void);
void route_prefix_index_free(route_prefix_index_t *index);
/* Record that a backend server has cached or evicted a prefix. */
void route_prefix_index_add(route_prefix_index_t *index, const char *backend,
    uint64_t prefix_hash, int64_t now_ms);
void route_prefix_index_remove(
    route_prefix_index_t *index, const char *backend, uint64_t prefix_hash);

/* Bytes at the start of a prompt that form its routing prefix. */
enum { ROUTE_PREFIX_BYTES = 256 };

uint64_t route_prefix_hash(const char *prompt);

/*
 * Chooses among candidates (backend_t *); NULL if none is eligible. index may
 * be NULL.
 */
backend_t *route_choose(const route_query_t *query, const GPtrArray *candidates,
    const route_prefix_index_t *index);

#endif
