#ifndef PAPAYA_ROLLOUTS_H
#define PAPAYA_ROLLOUTS_H

#include "digest.h"
#include "gateway_config.h"
#include "lease.h"
#include "platform_store.h"
#include "pool.h"
#include "rollout.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The rollouts that the operators have requested, at most one per service. A
 * rollout is requested by a spec in the store; its stage is kept in a record
 * under another key. Every node routes requests according to the stage, and
 * stops sending them to a bad version without waiting for the other nodes. The
 * leader, which holds the lease on the singleton duties, writes the stages and
 * the outcome.
 */
typedef struct rollouts rollouts_t;

/* Prefix of the keys of the records, one per service. */
extern const char rollouts_record_prefix[];

typedef struct rollouts_options {
	const gateway_config_t *config; /* all borrowed */
	pool_t *pool;
} rollouts_options_t;

rollouts_t *rollouts_new(const rollouts_options_t *options);

/*
 * Applies a spec read from the store; era and revision: of its key. value NULL:
 * the key was removed, which ends the rollout. One that was last read in an
 * earlier era stays in force for some seconds, as the restored store lacks it.
 */
void rollouts_set_spec(rollouts_t *rollouts, const char *service,
    const char *value, size_t length, int64_t era, int64_t revision);
/*
 * Applies a record read from the store; value NULL: the key was removed. One
 * that is older than the stage that this node knows, from a copy of the store,
 * is not applied, and the leader writes it again.
 */
void rollouts_set_record(rollouts_t *rollouts, const char *service,
    const char *value, size_t length);

/*
 * While the store is being restored from a copy, an order with the content of
 * the present one is the same order, written again, and one with another
 * content may be older: it takes effect when the restoration is over.
 */
void rollouts_set_restoring(rollouts_t *rollouts, bool restoring);

/* Sets the time that the nodes agree on (Unix milliseconds) and the number of
 * nodes that receive requests. */
void rollouts_set_time(
    rollouts_t *rollouts, int64_t wall_ms, unsigned node_count);

/* Evaluates the rollouts and writes their stages if this node is the leader. */
void rollouts_tick(
    rollouts_t *rollouts, platform_store_t *store, const lease_t *lease);

/* The version selected for an attempt. */
typedef struct rollouts_assignment {
	/* Of the rollout, at this node; 0: no rollout runs, or the attempt is
	 * not the first one and not used as evidence. */
	unsigned rollout_id;
	bool to_new_version;
	/* Probability of the new version in the random choice. */
	double new_version_share;
} rollouts_assignment_t;

/* The servers to which an attempt may be sent. */
typedef struct rollouts_candidates {
	const GPtrArray *servers; /* server_t *; NULL: unknown service */
	/* Servers of the old version, for use if servers are of the new version
	 * and none of them can accept the request; otherwise NULL. */
	const GPtrArray *fallback_servers;
	GPtrArray *owned[2]; /* for rollouts_candidates_clear(); may be NULL */
	rollouts_assignment_t assignment;
} rollouts_candidates_t;

/*
 * Selects the version for an attempt; random is uniform in [0, 1). Only a
 * request's first attempt is assigned at random and used as evidence; its other
 * attempts go to the old version unless the new version's share is 1.
 */
rollouts_candidates_t rollouts_select(const rollouts_t *rollouts,
    const char *service, bool is_first_attempt, double random);
void rollouts_candidates_clear(rollouts_candidates_t *candidates);

/* Counts a request when its first attempt is sent. */
void rollouts_count_request(rollouts_t *rollouts, const char *service,
    unsigned rollout_id, bool to_new_version);
/*
 * Counts a hedge, which is no evidence: another request that the new version
 * gets while a rollout runs.
 */
void rollouts_count_hedge(
    rollouts_t *rollouts, const char *service, bool to_new_version);
/* Adds the outcome of a request's first attempt to the evidence. */
void rollouts_add_attempt(rollouts_t *rollouts, const char *service,
    unsigned rollout_id, const evidence_attempt_t *attempt);

/* True if the server is of the version in effect: the new one once a rollout
 * has completed, before that the old one. */
bool rollouts_is_current_version(
    const rollouts_t *rollouts, const server_info_t *info);

/* Adds this node's evidence to the digest that it sends to its peers. */
void rollouts_add_to_digest(const rollouts_t *rollouts, digest_t *digest);
/* Merges the evidence from a peer's digest. */
void rollouts_merge_digest(rollouts_t *rollouts, const digest_t *digest);

#endif
