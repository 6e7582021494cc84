#ifndef PAPAYA_EVIDENCE_H
#define PAPAYA_EVIDENCE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Outcomes of attempts at two versions, in total and per route, and a
 * sequential test that compares the versions.
 *
 * Requests are assigned to versions at random with a known probability. If both
 * versions are equally good, a failed attempt belongs to the new version with
 * exactly that probability, even while a fault hits both versions. The test
 * accumulates the log likelihood ratio of a higher probability against this
 * one (a test martingale). It remains valid when the probability changes, and
 * the sums of several nodes can be added. Memory is bounded.
 */
typedef struct evidence evidence_t;

typedef enum evidence_version {
	EVIDENCE_OLD_VERSION,
	EVIDENCE_NEW_VERSION,
	EVIDENCE_VERSIONS
} evidence_version_t;

enum {
	EVIDENCE_ROUTES_MAX = 16, /* further routes count only in the total */
	EVIDENCE_LATENCY_BUCKETS = 60, /* three per power of two */
};

typedef enum evidence_verdict {
	EVIDENCE_CLEAR,	  /* no sign that the new version is worse */
	EVIDENCE_SUSPECT, /* it may be worse; below the threshold of BAD */
	EVIDENCE_BAD,	  /* it is worse */
} evidence_verdict_t;

typedef struct evidence_attempt {
	evidence_version_t version;
	/* Probability that the new version is selected, 0..1, as it was when
	 * this attempt's version was selected. At 0 and 1 the attempt is
	 * counted but not scored, since there was no random choice. */
	double new_version_share;
	const char *route;
	bool ok;
	/* To the first byte or token, or another figure that grows with the
	 * latency. Ignored for a failed attempt. */
	double latency_ms;
} evidence_attempt_t;

evidence_t *evidence_new(void);
evidence_t *evidence_copy(const evidence_t *evidence);
void evidence_free(evidence_t *evidence);

void evidence_add(evidence_t *evidence, const evidence_attempt_t *attempt);

/*
 * Compares the versions in total and on one route, or on every route where
 * route is NULL. For BAD and SUSPECT, *reason is set to a newly allocated text
 * unless reason is NULL.
 */
evidence_verdict_t evidence_evaluate(
    const evidence_t *evidence, const char *route, char **reason);

/*
 * Compares the new version's attempts since the snapshot new_since (an earlier
 * copy; NULL: its recent ones) with the failures of all attempts at the old
 * version and with its latencies since old_since (NULL: the start), which are
 * those under the same load. If true, *reason is set as by evidence_evaluate().
 * True is only a reason to send requests to both versions again and compare
 * them: a fault may have hit both since the old version's attempts.
 */
bool evidence_regression_suspected(const evidence_t *evidence,
    const evidence_t *old_since, const evidence_t *new_since, char **reason);

/*
 * True if the new version has had at least min_attempts attempts since the
 * snapshot (an earlier copy), and a few on each route with a relevant share of
 * the attempts.
 */
bool evidence_sample_sufficient(const evidence_t *evidence,
    const evidence_t *snapshot, unsigned min_attempts);

/* Attempts since the snapshot, an earlier copy. */
unsigned evidence_attempts_since(const evidence_t *evidence,
    const evidence_t *snapshot, evidence_version_t version);
unsigned evidence_attempts(
    const evidence_t *evidence, evidence_version_t version);
unsigned evidence_errors(
    const evidence_t *evidence, evidence_version_t version);

/* Counts and scores as JSON for other nodes; a new reference. */
json_t *evidence_to_json(const evidence_t *evidence);

/*
 * Adds the difference between another node's JSON and the previous JSON of the
 * same node (NULL: none). False if json is malformed; nothing is added then.
 */
bool evidence_merge_json(
    evidence_t *evidence, const json_t *json, const json_t *previous);

#endif
