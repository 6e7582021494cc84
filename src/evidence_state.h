#ifndef PAPAYA_EVIDENCE_STATE_H
#define PAPAYA_EVIDENCE_STATE_H

#include "evidence.h"

/*
 * What the two parts of the evidence share: evidence.c counts and judges,
 * evidence_json.c tells other nodes.
 */

enum {
	EVIDENCE_CELLS = EVIDENCE_ROUTES_MAX + 1,
	EVIDENCE_BETS = 5,
	EVIDENCE_ROUTE_LENGTH_MAX = 128,
};

typedef struct evidence_counts {
	uint32_t attempts;
	uint32_t errors;
	uint32_t latency[EVIDENCE_BUCKETS];
} evidence_counts_t;

typedef enum span { SPAN_ALL, SPAN_CURRENT, SPAN_PREVIOUS, SPANS } span_t;

typedef struct evidence_cell {
	char *route; /* NULL: the total */
	evidence_counts_t counts[SPANS][EVIDENCE_SIDES];
	double sum[EVIDENCE_BETS];  /* logarithm of the gain since the start */
	double gain[EVIDENCE_BETS]; /* the same since its lowest point */
	double events[EVIDENCE_BETS];
	double streak; /* answers of the new version since its last failure */
} evidence_cell_t;

struct evidence {
	evidence_cell_t *cells[EVIDENCE_CELLS]; /* the first is the total */
	unsigned evidence_cell_count;
};

evidence_cell_t *evidence_cell_find(
    const evidence_t *evidence, const char *route);
/* Finds or adds a route's cell; NULL where no more fit. */
evidence_cell_t *evidence_cell_obtain(evidence_t *evidence, const char *route);
void evidence_cell_count(evidence_cell_t *cell, evidence_side_t side,
    const evidence_counts_t *counts);
void evidence_cell_gain(
    evidence_cell_t *cell, unsigned bet, double gain, double events);

#endif
