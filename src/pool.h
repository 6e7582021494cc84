#ifndef PAPAYA_POOL_H
#define PAPAYA_POOL_H

#include "cold_limit.h"
#include "server.h"
#include "upstream.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The backend servers listed in service discovery, with the state, load and
 * recent failures that this node knows of. Times are clock_boot_ms().
 */

/* Load of the requests in flight at a server. */
typedef struct server_load {
	unsigned in_flight;
	double prefill_tokens; /* of prompts still before their first token */
	double urgent_prefill_tokens; /* part of them: most urgent requests */
	double kv_tokens; /* prompt and output tokens in its KV cache */
} server_load_t;

/*
 * One process of a backend server. Reference counted: a request holds a
 * reference to its server.
 */
typedef struct server {
	unsigned refs;
	server_info_t *info;
	uint32_t tag; /* hash of the id, in digests and in the prefix cache */
	bool removed; /* from the pool */
	/* End of the grace period of a deleted entry; 0: entry present. */
	int64_t remove_at_ms;
	int64_t removed_at_ms;	  /* where removed */
	int64_t listed_at_ms;	  /* when it was first listed */
	int64_t shutdown_at_ms;	  /* expected; 0: not shutting down */
	int64_t leaving_since_ms; /* its first response to say so; 0: none */
	server_load_t local_load; /* of this node's requests */
	server_load_t peer_load;  /* sum over the digests of other nodes */
	double failure_rate;	  /* of recent requests, 0 to 1 */
	unsigned consecutive_failures; /* SERVER_UNREACHABLE */
	int64_t backoff_until_ms;      /* gets no requests until then */
	int64_t paused_until_ms; /* the server has asked for no requests */
	/* Until when it is cold, by its newest entry or an assumption. */
	int64_t cold_until_ms;
	/* The same by its responses. */
	int64_t reported_cold_until_ms;
	cold_turns_t cold_turns; /* requests of this node, see cold_limit.h */
	double latency_ms;	 /* moving average; 0: no sample yet */
	/* This node's attempts that are late (hedge.h) and have no answer. */
	unsigned late_attempts;
	upstream_t *upstream; /* NULL where the address is malformed */
} server_t;

typedef struct pool pool_t;

/*
 * drain_ms: time until shutdown of a draining server whose entry gives no
 * time.
 */
pool_t *pool_new(uv_loop_t *loop, int64_t drain_ms);
void pool_free(pool_t *pool);

/*
 * Adds a server, or updates it from its new entry; takes ownership of info. An
 * entry with another start time, address or service is a new server. One that
 * was removed a short while ago is added again with its state.
 */
void pool_put(pool_t *pool, server_info_t *info, int64_t now_ms);

/*
 * Handles the deletion of a server's entry. With grace_ms > 0 the server stays
 * in use for that long: after a store outage the entry may have expired and be
 * written again. A draining server is removed at once.
 */
void pool_remove(
    pool_t *pool, const char *id, int64_t grace_ms, int64_t now_ms);

/*
 * What the pool knows of a server, listed or removed a short while ago;
 * borrowed; NULL: nothing.
 */
server_t *pool_find_known(const pool_t *pool, const char *id);

/*
 * True where the entry, read from a store that is being restored from a copy,
 * may have been written before what the pool knows of the server, listed or
 * removed: it is of an earlier process, or of the same one and no newer.
 */
bool pool_is_outdated(const pool_t *pool, const server_info_t *info);

/*
 * Handles an entry for which pool_is_outdated() is true; takes ownership of
 * info. A listed server stays as it is, and a pending removal of it is
 * cancelled. A removed one stays removed for as long as the platform keeps the
 * entry of a silent server, and returns if its entry is still there after that.
 */
void pool_put_outdated(pool_t *pool, server_info_t *info, int64_t now_ms);

/*
 * Removes servers whose grace period is over, adds those whose outdated entry
 * has stayed; closes idle connections.
 */
void pool_sweep(pool_t *pool, int64_t now_ms);

/*
 * A response of the server says that it is leaving: it gets no new requests,
 * whatever its entry says.
 */
void pool_set_leaving(const pool_t *pool, server_t *server, int64_t now_ms);

/* Calls callback for each server; it must not change the pool. */
void pool_each(
    pool_t *pool, void (*callback)(server_t *server, void *data), void *data);

/* Servers of a service (server_t *), borrowed; empty or NULL if none. */
const GPtrArray *pool_servers(const pool_t *pool, const char *service);

/*
 * Servers (server_t *) that run the version, or with matches false those that
 * run another one. The caller owns the array; the servers are borrowed.
 */
GPtrArray *pool_filter_version(
    const GPtrArray *servers, const char *version, bool matches);

/* Server with the tag, borrowed; NULL if unknown. */
server_t *pool_find(const pool_t *pool, uint32_t tag);

unsigned pool_count(const pool_t *pool);

server_t *server_ref(server_t *server);
void server_unref(server_t *server);

/* True if new requests may be sent to the server. */
bool server_usable(const server_t *server, int64_t now_ms);

/* The same, also for a server whose latest attempts have failed. */
bool server_wants_requests(const server_t *server, int64_t now_ms);

/* The server has asked for no new requests for so long. */
void server_pause(server_t *server, int64_t duration_ms, int64_t now_ms);

/*
 * Time until the first of the servers (server_t *, or NULL) that stay ends the
 * pause that it has asked for; 0 where one has not, or none stays.
 */
int64_t pool_pause_ms(const GPtrArray *servers, int64_t now_ms);

/*
 * Until when the server is cold: still slow after its start, or again. A time
 * in the past where it is warm.
 */
int64_t server_cold_until_ms(const server_t *server);
bool server_is_cold(const server_t *server, int64_t now_ms);

/*
 * A response of the server says for how long it will be cold. An entry does not
 * shorten that time, as it may have been written before the response.
 */
void server_report_cold(server_t *server, int64_t cold_ms, int64_t now_ms);

/* The server may be cold for so long, unless its next entry says otherwise. */
void server_assume_cold(server_t *server, int64_t cold_ms, int64_t now_ms);

/* Requests of all nodes in flight at the server. */
unsigned server_in_flight(const server_t *server);

typedef enum server_outcome {
	SERVER_SERVED,
	SERVER_FAILED,	    /* server error or truncated response */
	SERVER_FULL,	    /* not run: at capacity */
	SERVER_UNREACHABLE, /* no connection or no response in time */
} server_outcome_t;

/* Records the outcome of an attempt; latency_ms is used if it was served. */
void server_record_outcome(server_t *server, server_outcome_t outcome,
    double latency_ms, int64_t now_ms);

/*
 * Records that an attempt was cancelled after latency_ms without an answer,
 * which is a lower bound: it can only raise the server's average.
 */
void server_record_no_answer(server_t *server, double latency_ms);

/* Hash of a server's id. */
uint32_t server_tag(const char *id);

/* Hash of one process of a server: of its id and start time. */
uint32_t server_process_hash(const server_info_t *info);

#endif
