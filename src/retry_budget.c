#include "retry_budget.h"

#include <string.h>

enum { SLOTS = 20 }; /* of the window */

/* Share of the limit that is used; nodes join, leave and restart. */
static const double safety_factor = 0.75;
/*
 * Part of that up to which hedges may use the budget. A failed request needs
 * its retry; one that is only late may still be answered.
 */
static const double hedge_part = 0.5;

/* Counts of one service, by slots of the window. */
typedef struct counts {
	int64_t newest_slot; /* number of the slot since time 0 */
	unsigned requests[SLOTS];
	unsigned retries[SLOTS]; /* and hedges */
} counts_t;

struct retry_budget {
	retry_limits_t limits;
	GHashTable *services; /* name to counts_t */
};

retry_budget_t *
retry_budget_new(const retry_limits_t *limits)
{
	retry_budget_t *budget = g_new0(retry_budget_t, 1);

	budget->limits = *limits;
	budget->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return budget;
}

void
retry_budget_free(retry_budget_t *budget)
{
	if (budget == NULL)
		return;
	g_hash_table_unref(budget->services);
	g_free(budget);
}

/* Clears the slots that have left the window. */
static void
advance(const retry_budget_t *budget, counts_t *counts, int64_t now_ms)
{
	int64_t slot = now_ms / MAX(budget->limits.window_ms / SLOTS, 1);

	if (slot - counts->newest_slot >= SLOTS) {
		memset(counts->requests, 0, sizeof(counts->requests));
		memset(counts->retries, 0, sizeof(counts->retries));
		counts->newest_slot = slot;
	}
	while (counts->newest_slot < slot) {
		counts->newest_slot++;
		counts->requests[counts->newest_slot % SLOTS] = 0;
		counts->retries[counts->newest_slot % SLOTS] = 0;
	}
}

static counts_t *
service_counts(retry_budget_t *budget, const char *service, int64_t now_ms)
{
	counts_t *counts = g_hash_table_lookup(budget->services, service);

	if (counts == NULL) {
		counts = g_new0(counts_t, 1);
		g_hash_table_insert(
		    budget->services, g_strdup(service), counts);
	}
	advance(budget, counts, now_ms);
	return counts;
}

static unsigned
sum(const unsigned *slots)
{
	unsigned total = 0;

	for (unsigned i = 0; i < SLOTS; i++)
		total += slots[i];
	return total;
}

void
retry_budget_count_request(
    retry_budget_t *budget, const char *service, int64_t now_ms)
{
	counts_t *counts = service_counts(budget, service, now_ms);

	counts->requests[counts->newest_slot % SLOTS]++;
}

/* part: of this node's share, that may be used. */
static bool
take(retry_budget_t *budget, const char *service, unsigned nodes, double part,
    int64_t now_ms)
{
	counts_t *counts = service_counts(budget, service, now_ms);
	double max_retries =
	    part * safety_factor *
	    (budget->limits.retries_per_request * sum(counts->requests) +
		budget->limits.extra_retries / MAX(nodes, 1));

	if (sum(counts->retries) + 1 > max_retries)
		return false;
	counts->retries[counts->newest_slot % SLOTS]++;
	return true;
}

bool
retry_budget_take(
    retry_budget_t *budget, const char *service, unsigned nodes, int64_t now_ms)
{
	return take(budget, service, nodes, 1, now_ms);
}

bool
retry_budget_take_hedge(
    retry_budget_t *budget, const char *service, unsigned nodes, int64_t now_ms)
{
	return take(budget, service, nodes, hedge_part, now_ms);
}
