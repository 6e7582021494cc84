#ifndef PAPAYA_ROLLOUT_H
#define PAPAYA_ROLLOUT_H

#include "evidence.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * One node's view of the rollout of a new version of a service: the share of
 * requests sent to the new version, the outcomes of its attempts, and the stage
 * that the leader (the node that holds the lease on the singleton duties) has
 * to write next. Decisions only, no I/O. Times are Unix milliseconds of a clock
 * that all nodes share.
 *
 * The canary stage uses only a part of the requests that a bad version may
 * receive. The ramp and full stages require evidence without suspicion. The old
 * servers are stopped without draining once the rollout has completed, so the
 * full stage lasts until no request is in flight at them.
 */
typedef struct rollout rollout_t;

typedef enum rollout_stage {
	ROLLOUT_CANARY,
	ROLLOUT_RAMP,
	ROLLOUT_FULL,
	ROLLOUT_COMPLETED,
	ROLLOUT_REVERTED,
	ROLLOUT_STAGES
} rollout_stage_t;

/* The operator's request to replace the version of a service. */
typedef struct rollout_spec {
	const char *target; /* the new version */
	/* Of the spec in the store; they identify the rollout to other nodes.
	 */
	int64_t era;
	int64_t revision;
	int64_t duration_ms; /* from the start to the deadline */
} rollout_spec_t;

/* The number of requests that a bad version may receive. */
typedef struct rollout_limits {
	double share; /* of the service's requests during the rollout */
	double extra_requests; /* beyond the share; total of all nodes */
} rollout_limits_t;

/* The current state of the nodes and the service's servers. */
typedef struct rollout_inputs {
	int64_t now_ms;
	unsigned node_count;
	unsigned old_servers_listed;
	unsigned old_servers_usable;
	unsigned new_servers_usable;
	unsigned old_requests_in_flight; /* of all nodes, at old servers */
} rollout_inputs_t;

rollout_t *rollout_new(const rollout_spec_t *spec,
    const rollout_limits_t *limits, int64_t started_ms);
void rollout_free(rollout_t *rollout);

const char *rollout_target(const rollout_t *rollout);
int64_t rollout_era(const rollout_t *rollout);
int64_t rollout_revision(const rollout_t *rollout);
int64_t rollout_started_ms(const rollout_t *rollout);
rollout_stage_t rollout_stage(const rollout_t *rollout);
/* Why the rollout has been or has to be reverted; "" if it need not be. */
const char *rollout_reason(const rollout_t *rollout);

/* True where the spec requests the same as that of this rollout. */
bool rollout_has_content(const rollout_t *rollout, const rollout_spec_t *spec);
/* The same spec has been written to the store again. */
void rollout_renew(rollout_t *rollout, const rollout_spec_t *spec);

/* Applies the stage written by the leader. A final stage is never left. */
void rollout_set_stage(rollout_t *rollout, rollout_stage_t stage,
    int64_t started_ms, int64_t now_ms);

/* Probability with which a new request is sent to the new version, 0..1. */
double rollout_traffic_share(
    const rollout_t *rollout, const rollout_inputs_t *inputs);

/* Counts a request when its first attempt is sent. */
void rollout_count_request(rollout_t *rollout, bool to_new_version);
/* Counts an attempt at the new version that is no request's first one. */
void rollout_count_extra(rollout_t *rollout);
/* Adds the outcome of a request's first attempt to the evidence. */
void rollout_add_attempt(rollout_t *rollout, const evidence_attempt_t *attempt);

/* This node's own evidence, to be sent to its peers; a new reference. */
json_t *rollout_evidence_json(const rollout_t *rollout);
/* Adds a peer's evidence. stopped: the peer has found the new version bad.
 * False if the evidence is malformed. */
bool rollout_merge_evidence(
    rollout_t *rollout, const char *node, json_t *evidence, bool stopped);

/* Evaluates the evidence. True if this call or an earlier one, or a peer, found
 * the new version bad. */
bool rollout_evaluate(rollout_t *rollout);

/* The stage that the leader has to write; unchanged if there is none. */
rollout_stage_t rollout_next_stage(
    rollout_t *rollout, const rollout_inputs_t *inputs);

const char *rollout_stage_name(rollout_stage_t stage);
/* ROLLOUT_STAGES if no stage has this name. */
rollout_stage_t rollout_stage_parse(const char *name);

#endif
