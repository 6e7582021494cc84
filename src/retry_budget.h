#ifndef PAPAYA_RETRY_BUDGET_H
#define PAPAYA_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * How often requests may be sent to a second backend server. The bound holds
 * for each service over all nodes and any window; each node uses its part.
 */
typedef struct retry_budget retry_budget_t;

typedef struct retry_limits {
	double retries_per_request; /* repeats for each request */
	double extra_retries;	    /* repeats beyond the ratio, of all nodes */
	int64_t window_ms;
} retry_limits_t;

retry_budget_t *retry_budget_new(const retry_limits_t *limits);
void retry_budget_free(retry_budget_t *budget);

/* A client's request to a service. */
void retry_budget_count_request(
    retry_budget_t *budget, const char *service, int64_t now_ms);

/* Takes one repeat out of this node's part; false where none is left. */
bool retry_budget_take(retry_budget_t *budget, const char *service,
    unsigned nodes, int64_t now_ms);

#endif
