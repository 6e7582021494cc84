#ifndef PAPAYA_EVIDENCE_H
#define PAPAYA_EVIDENCE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Outcomes of attempts at two versions over the same time, in total and per
 * route, and the sequential test that compares them. Requests are assigned to
 * versions at random, so a fault that hits both raises both counts and is no
 * evidence. Bounded memory.
 */
typedef struct evidence evidence_t;

typedef enum evidence_side {
	EVIDENCE_OLD,
	EVIDENCE_NEW,
	EVIDENCE_SIDES
} evidence_side_t;

enum {
	EVIDENCE_ROUTES_MAX = 16, /* further routes count in the total only */
	EVIDENCE_BUCKETS = 60,	  /* of latency, three per power of two */
};

typedef enum evidence_verdict {
	EVIDENCE_CLEAR,
	EVIDENCE_SUSPECT, /* worse, but not beyond doubt */
	EVIDENCE_BAD,
} evidence_verdict_t;

evidence_t *evidence_new(void);
void evidence_free(evidence_t *evidence);

/* Forgets everything; a change of share starts a new comparison. */
void evidence_reset(evidence_t *evidence);

/* Counts one finished attempt. first_ms is used only where ok is true. */
void evidence_add(evidence_t *evidence, evidence_side_t side, const char *route,
    bool ok, double first_ms);

/*
 * Compares the versions. Where it returns BAD or SUSPECT, and why is not NULL,
 * *why is set to a newly allocated reason.
 */
evidence_verdict_t evidence_judge(const evidence_t *evidence, char **why);

/* As evidence_judge(), for the total and one route only. */
evidence_verdict_t evidence_judge_route(
    const evidence_t *evidence, const char *route, char **why);

/* Compares only the new version with counts of an earlier time. */
bool evidence_doubt(const evidence_t *evidence, const evidence_t *earlier);

/* At least so many attempts at the new version, and some on each route. */
bool evidence_enough(const evidence_t *evidence, unsigned attempts);

unsigned evidence_count(const evidence_t *evidence, evidence_side_t side);
unsigned evidence_errors(const evidence_t *evidence, evidence_side_t side);

/* Adds another node's counts, or a copy's. */
void evidence_merge(evidence_t *into, const evidence_t *from);

/* Sparse JSON for other nodes; false from merge where it is malformed. */
json_t *evidence_json(const evidence_t *evidence);
bool evidence_merge_json(evidence_t *into, const json_t *json);

#endif
