#ifndef PAPAYA_RETRY_BUDGET_H
#define PAPAYA_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Limits how often requests are retried at another backend server. The limit
 * holds for each service over all nodes and any window; each node uses its
 * share. Hedges (hedge.h) count within the same limit, of which they leave a
 * part to retries.
 */
typedef struct retry_budget retry_budget_t;

typedef struct retry_limits {
	double retries_per_request;
	double extra_retries; /* on top of that, of all nodes together */
	int64_t window_ms;
} retry_limits_t;

retry_budget_t *retry_budget_new(const retry_limits_t *limits);
void retry_budget_free(retry_budget_t *budget);

/* Counts a client's request to a service. */
void retry_budget_count_request(
    retry_budget_t *budget, const char *service, int64_t now_ms);

/* Takes one retry from this node's share; false where it is used up. */
bool retry_budget_take(retry_budget_t *budget, const char *service,
    unsigned nodes, int64_t now_ms);

/*
 * The same for a hedge; false also where what is left is reserved for retries.
 */
bool retry_budget_take_hedge(retry_budget_t *budget, const char *service,
    unsigned nodes, int64_t now_ms);

#endif
