#ifndef PAPAYA_ROLLOUT_H
#define PAPAYA_ROLLOUT_H

#include "evidence.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * One node's view of one version move of a service: how many requests go to the
 * new version, what has been seen of it, and what the holder of the duties is
 * to write next. Decides only; no I/O. Times are Unix milliseconds that all
 * nodes agree on.
 *
 * The canary stage stays within a part of the requests that a bad version may
 * get. The ramp and the full stage follow only on clear evidence; the old
 * servers end without draining once the move is completed, so the full stage
 * lasts until they have no request left.
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

typedef struct rollout_spec {
	const char *target; /* the new version */
	int64_t revision;   /* of the order in the store; names the move */
	int64_t duration_ms;
} rollout_spec_t;

/* How many requests a bad version may get. */
typedef struct rollout_limits {
	double share;	       /* of the service's requests during the move */
	double extra_requests; /* beyond the share; over all nodes */
} rollout_limits_t;

/* What the node sees of the servers now. */
typedef struct rollout_inputs {
	int64_t now_ms;
	unsigned node_count;
	unsigned old_servers_listed;
	unsigned old_servers_usable; /* usable */
	unsigned new_servers_usable; /* usable */
	unsigned
	    old_requests_in_flight; /* requests of all nodes at old servers */
} rollout_inputs_t;

rollout_t *rollout_new(const rollout_spec_t *spec,
    const rollout_limits_t *limits, int64_t started_ms);
void rollout_free(rollout_t *rollout);

const char *rollout_target(const rollout_t *rollout);
int64_t rollout_revision(const rollout_t *rollout);
int64_t rollout_started_ms(const rollout_t *rollout);
rollout_stage_t rollout_stage(const rollout_t *rollout);
/* Why the move was, or is to be, taken back; "" where it is not. */
const char *rollout_reason(const rollout_t *rollout);

/* What the holder has written. A final stage is never left. */
void rollout_set_stage(rollout_t *rollout, rollout_stage_t stage,
    int64_t started_ms, int64_t now_ms);

/* Probability that a new request goes to the new version now, 0..1. */
double rollout_traffic_share(
    const rollout_t *rollout, const rollout_inputs_t *inputs);

/* A first attempt of a request was sent. */
void rollout_count_request(rollout_t *rollout, bool to_new_version);
void rollout_add_attempt(rollout_t *rollout, const evidence_attempt_t *attempt);

/* This node's evidence, for its peers. A new reference. */
json_t *rollout_evidence_json(const rollout_t *rollout);
/* A peer's evidence (borrowed), and whether it has found the version bad.
 * False where it is malformed. */
bool rollout_merge_evidence(
    rollout_t *rollout, const char *node, json_t *evidence, bool stopped);

/* Judges the evidence; true from the time on at which it is bad. */
bool rollout_evaluate(rollout_t *rollout);

/* The stage that the holder is to write; the present one: nothing. */
rollout_stage_t rollout_next_stage(
    rollout_t *rollout, const rollout_inputs_t *inputs);

const char *rollout_stage_name(rollout_stage_t stage);
/* ROLLOUT_STAGES where no stage has this name. */
rollout_stage_t rollout_stage_parse(const char *name);

#endif
