#ifndef PAPAYA_EVIDENCE_STATE_H
#define PAPAYA_EVIDENCE_STATE_H

#include "evidence.h"

/*
 * What the two parts of the evidence share: evidence.c counts and judges,
 * evidence_to_json.c tells other nodes.
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
	EVIDENCE_WINDOW_ALL,
	EVIDENCE_WINDOW_CURRENT,
	EVIDENCE_WINDOW_PREVIOUS,
	EVIDENCE_WINDOWS
} evidence_window_t;

typedef struct evidence_stats {
	char *route; /* NULL: the total */
	evidence_counts_t counts[EVIDENCE_WINDOWS][EVIDENCE_VERSIONS];
	double score_sum[EVIDENCE_HYPOTHESES]; /* logarithm of the gain since
						  the start */
	double cusum[EVIDENCE_HYPOTHESES]; /* the same since its lowest point */
	double events[EVIDENCE_HYPOTHESES];
	double successes_since_failure; /* answers of the new version since its
					   last failure */
} evidence_stats_t;

struct evidence {
	evidence_stats_t
	    *stats[EVIDENCE_STATS_MAX]; /* the first is the total */
	unsigned stats_count;
};

evidence_stats_t *evidence_stats_find(
    const evidence_t *evidence, const char *route);
/* Finds or adds a route's cell; NULL where no more fit. */
evidence_stats_t *evidence_stats_find_or_add(
    evidence_t *evidence, const char *route);
void evidence_stats_add_counts(evidence_stats_t *stats,
    evidence_version_t version, const evidence_counts_t *counts);
void evidence_stats_add_score(
    evidence_stats_t *stats, unsigned hypothesis, double score, double events);

#endif
