#ifndef PAPAYA_EVIDENCE_STATE_H
#define PAPAYA_EVIDENCE_STATE_H

#include "evidence.h"

/*
 * Definitions shared by evidence.c, which counts and compares, and
 * evidence_json.c, which encodes evidence for other nodes.
 */

enum {
	EVIDENCE_STATS_MAX = EVIDENCE_ROUTES_MAX + 1,
	EVIDENCE_HYPOTHESES = 5,
	EVIDENCE_ROUTE_LENGTH_MAX = 128,
};

typedef struct evidence_counts {
	uint32_t attempts;
	uint32_t errors;
	uint32_t latency[EVIDENCE_LATENCY_BUCKETS];
} evidence_counts_t;

typedef enum evidence_window {
	EVIDENCE_WINDOW_ALL,	  /* since the start */
	EVIDENCE_WINDOW_CURRENT,  /* still being filled */
	EVIDENCE_WINDOW_PREVIOUS, /* the last full one */
	EVIDENCE_WINDOWS
} evidence_window_t;

/*
 * Statistics of one route or of all routes. The events of a hypothesis are
 * failed or slow attempts at either version.
 */
typedef struct evidence_stats {
	char *route; /* NULL: all routes */
	evidence_counts_t counts[EVIDENCE_WINDOWS][EVIDENCE_VERSIONS];
	/* Log likelihood ratio since the start. */
	double score_sum[EVIDENCE_HYPOTHESES];
	/* The same since its lowest point. */
	double cusum[EVIDENCE_HYPOTHESES];
	double events[EVIDENCE_HYPOTHESES];
	double successes_since_failure; /* of the new version */
} evidence_stats_t;

struct evidence {
	evidence_stats_t *stats[EVIDENCE_STATS_MAX]; /* [0]: all routes */
	unsigned stats_count;
};

evidence_stats_t *evidence_stats_find(
    const evidence_t *evidence, const char *route);
/* NULL if the route is unknown and there is no room, or its name is empty or
 * too long. */
evidence_stats_t *evidence_stats_find_or_add(
    evidence_t *evidence, const char *route);
void evidence_stats_add_counts(evidence_stats_t *stats,
    evidence_version_t version, const evidence_counts_t *counts);
void evidence_stats_add_score(
    evidence_stats_t *stats, unsigned hypothesis, double score, double events);

#endif
