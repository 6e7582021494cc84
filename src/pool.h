#ifndef PAPAYA_POOL_H
#define PAPAYA_POOL_H

#include "server.h"
#include "upstream.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The backend servers that service discovery lists, as one node sees them:
 * state, load, recent failures. Times are clock_boot_ms().
 */

/* Requests in progress at a server. */
typedef struct server_load {
	unsigned in_flight;
	double prefill_tokens;	      /* of prompts without a first token yet */
	double urgent_prefill_tokens; /* those of them that are most urgent */
	double kv_tokens;	      /* prompts and outputs in its memory */
} server_load_t;

/* Reference counted: a request keeps the server that it was sent to. */
typedef struct server {
	unsigned refs;
	server_info_t *info;
	uint32_t tag; /* hash of the id, in digests and in the prefix cache */
	bool removed; /* no longer listed */
	int64_t remove_at_ms; /* removed while the store was away; 0: no */
	int64_t listed_at_ms;
	int64_t shutdown_at_ms; /* when it ends, as far as is known; 0: stays */
	server_load_t local_load;
	server_load_t peer_load;       /* sum of what other nodes say */
	double failure_rate;	       /* of recent requests, 0 to 1 */
	unsigned consecutive_failures; /* in a row, of connections or silence */
	int64_t backoff_until_ms;
	double latency_ms;    /* moving average; 0 before the first */
	upstream_t *upstream; /* NULL where the address is malformed */
} server_t;

typedef struct pool pool_t;

/* drain_ms: how long a server goes on that leaves without saying when. */
pool_t *pool_new(uv_loop_t *loop, int64_t drain_ms);
void pool_free(pool_t *pool);

/* Takes over an entry; owns info. */
void pool_put(pool_t *pool, server_info_t *info, int64_t now_ms);

/*
 * An entry is gone. With lapse_ms > 0 the server stays in use for that long,
 * since its entry may only have lapsed and come back.
 */
void pool_remove(
    pool_t *pool, const char *id, int64_t lapse_ms, int64_t now_ms);

/* Drops entries whose lapse is over; closes old connections. */
void pool_sweep(pool_t *pool, int64_t now_ms);

/* Calls visit with every id that is listed. */
void pool_each(
    pool_t *pool, void (*visit)(server_t *server, void *data), void *data);

/* Servers of a service (server_t *), borrowed; empty array or NULL. */
const GPtrArray *pool_servers(const pool_t *pool, const char *service);

/*
 * Those of the servers (server_t *) that have a version, or that do not:
 * borrowed, in an array of the caller's.
 */
GPtrArray *pool_filter_version(
    const GPtrArray *servers, const char *version, bool has);

/* A server by the tag of its id; NULL if unknown. */
server_t *pool_find(const pool_t *pool, uint32_t tag);

unsigned pool_count(const pool_t *pool);

server_t *server_ref(server_t *server);
void server_unref(server_t *server);

/* True where a new request may go there. */
bool server_usable(const server_t *server, int64_t now_ms);

/* True while a server is still slow after its start. */
bool server_is_warming_up(const server_t *server, int64_t now_ms);

/* Requests of all nodes in progress there. */
unsigned server_in_flight(const server_t *server);

typedef enum server_outcome {
	SERVER_SERVED,
	SERVER_FAILED,	    /* its own failure, or a broken response */
	SERVER_FULL,	    /* refused as not run */
	SERVER_UNREACHABLE, /* no connection, or silence */
} server_outcome_t;

/* Takes over how one attempt ended; latency_ms counts where it was served. */
void server_record_outcome(server_t *server, server_outcome_t outcome,
    double latency_ms, int64_t now_ms);

uint32_t server_tag(const char *id);

#endif
