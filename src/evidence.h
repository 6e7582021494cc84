#ifndef PAPAYA_EVIDENCE_H
#define PAPAYA_EVIDENCE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Outcomes of attempts at two versions, in total and per route, and the
 * sequential test that compares them. Requests are assigned to versions at
 * random with a known share, so where both versions are equally good a failed
 * attempt was at the new version with just that probability, whatever faults
 * hit both. The test multiplies the likelihood ratios of that probability and
 * of a higher one (a betting martingale); it stays valid over changes of the
 * share and sums over nodes. Bounded memory.
 */
typedef struct evidence evidence_t;

typedef enum evidence_version {
	EVIDENCE_OLD_VERSION,
	EVIDENCE_NEW_VERSION,
	EVIDENCE_VERSIONS
} evidence_version_t;

enum {
	EVIDENCE_ROUTES_MAX = 16, /* further routes count in the total only */
	EVIDENCE_LATENCY_BUCKETS = 60, /* of latency, three per power of two */
};

typedef enum evidence_verdict {
	EVIDENCE_CLEAR,
	EVIDENCE_SUSPECT, /* worse, but not beyond doubt */
	EVIDENCE_BAD,
} evidence_verdict_t;

typedef struct evidence_attempt {
	evidence_version_t version;
	double
	    new_version_share; /* of the new version when it was chosen, 0..1 */
	const char *route;
	bool ok;
	double latency_ms; /* used where ok is true */
} evidence_attempt_t;

evidence_t *evidence_new(void);
evidence_t *evidence_copy(const evidence_t *evidence);
void evidence_free(evidence_t *evidence);

void evidence_add(evidence_t *evidence, const evidence_attempt_t *attempt);

/*
 * Compares the versions; route NULL: on every route. Where it returns BAD or
 * SUSPECT, and why is not NULL, *why is set to a newly allocated reason.
 */
evidence_verdict_t evidence_evaluate(
    const evidence_t *evidence, const char *route, char **reason);

/*
 * Compares the new version's recent attempts with the old version's earlier
 * ones. Its answer is only reason for a proper comparison, since a fault may
 * have hit both versions in between.
 */
bool evidence_regression_suspected(const evidence_t *evidence);

/*
 * True with at least so many attempts at the new version since an earlier
 * copy, and some on each route.
 */
bool evidence_sample_sufficient(const evidence_t *evidence,
    const evidence_t *snapshot, unsigned min_attempts);

/* Attempts since an earlier copy. */
unsigned evidence_attempts_since(const evidence_t *evidence,
    const evidence_t *snapshot, evidence_version_t version);
unsigned evidence_attempts(
    const evidence_t *evidence, evidence_version_t version);
unsigned evidence_errors(
    const evidence_t *evidence, evidence_version_t version);

/* Counts and scores as JSON for other nodes. */
json_t *evidence_to_json(const evidence_t *evidence);

/*
 * Adds what another node's JSON has beyond its last one (NULL: none). False,
 * and nothing added, where it is malformed.
 */
bool evidence_merge_json(
    evidence_t *evidence, const json_t *json, const json_t *previous);

#endif
