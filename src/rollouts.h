#ifndef PAPAYA_ROLLOUTS_H
#define PAPAYA_ROLLOUTS_H

#include "digest.h"
#include "front_config.h"
#include "lease.h"
#include "platform_store.h"
#include "pool.h"
#include "rollout.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The version moves that the operators have ordered, one a service. Every node
 * sends requests by the stage in the store and stops by itself where the new
 * version is bad; the holder of the duties writes the stages and the outcome.
 */
typedef struct rollouts rollouts_t;

/* Prefix of the keys that hold the stage of each service's move. */
extern const char rollouts_record_prefix[];

typedef struct rollouts_options {
	const front_config_t *config; /* all borrowed */
	pool_t *pool;
} rollouts_options_t;

rollouts_t *rollouts_new(const rollouts_options_t *options);

/* An order has been written; value NULL: removed. */
void rollouts_set_spec(rollouts_t *rollouts, const char *service,
    const char *value, size_t length, int64_t revision);
/* The record of a stage has been written; value NULL: removed. */
void rollouts_set_record(rollouts_t *rollouts, const char *service,
    const char *value, size_t length);

/* The time, and the nodes that share the requests. */
void rollouts_set_time(
    rollouts_t *rollouts, int64_t wall_ms, unsigned node_count);

/* Judges the moves, and writes what is due while this node has the duties. */
void rollouts_tick(
    rollouts_t *rollouts, platform_store_t *store, const lease_t *lease);

/* The part of an attempt in the version move of its service. */
typedef struct rollouts_assignment {
	int64_t revision; /* of the move; 0: none runs, or no evidence */
	bool to_new_version;
	double new_version_share; /* probability with which to_new was chosen;
				     0: none */
} rollouts_assignment_t;

/* The servers that one request may go to. */
typedef struct rollouts_candidates {
	const GPtrArray *servers; /* server_t *; or NULL */
	/* Where those are of the new version and none of them can take the
	 * request: the others. NULL: none. */
	const GPtrArray *fallback_servers;
	GPtrArray *owned[2]; /* to be released; may be NULL */
	rollouts_assignment_t assignment;
} rollouts_candidates_t;

/*
 * Chooses the version for a request. first: its first attempt, which counts as
 * evidence; others go to the old version while a move is judged.
 */
rollouts_candidates_t rollouts_select(const rollouts_t *rollouts,
    const char *service, bool is_first_attempt, double random);
void rollouts_candidates_clear(rollouts_candidates_t *candidates);

/* A first attempt was sent to, or ended at, one of the versions. */
void rollouts_count_request(rollouts_t *rollouts, const char *service,
    int64_t revision, bool to_new_version);
void rollouts_add_attempt(rollouts_t *rollouts, const char *service,
    int64_t revision, const evidence_attempt_t *attempt);

/* True where a server is of the version that the service stays with. */
bool rollouts_is_current_version(
    const rollouts_t *rollouts, const server_info_t *info);

/* What this node tells the others, and what they say. */
void rollouts_add_to_digest(const rollouts_t *rollouts, digest_t *digest);
void rollouts_merge_digest(rollouts_t *rollouts, const digest_t *digest);

#endif
