#include "memory_budget.h"

#include <glib.h>
#include <math.h>

enum {
	/* Above it, a charge may use the share of large ones only. */
	LARGE_BYTES = 64 * 1024,
	/* Time constant of the moving average of a holder's speed. */
	SPEED_MS = 1000,
	/* A holder that does not move is rated as if it had this speed. */
	SPEED_MIN_BYTES_PER_S = 64 * 1024,
	/* A queue may take this part of what is free, and always the minimum,
	 * so that single events are passed on. */
	QUEUE_FREE_PARTS = 16,
	QUEUE_MIN_BYTES = 4 * 1024,
	ARRAY_MIN_BYTES = 16,
	MS_PER_S = 1000,
};

/* Large charges may take this share of the budget. */
static const double large_share = 0.75;

typedef TAILQ_HEAD(charge_list, memory_charge) charge_list_t;

struct memory_budget {
	charge_list_t charges;
	size_t bytes_max; /* 0: no limit */
	size_t held;
	size_t large_held; /* of charges above LARGE_BYTES */
};

memory_budget_t *
memory_budget_new(size_t bytes_max)
{
	memory_budget_t *budget = g_new0(memory_budget_t, 1);

	TAILQ_INIT(&budget->charges);
	budget->bytes_max = bytes_max;
	return budget;
}

void
memory_budget_free(memory_budget_t *budget)
{
	g_free(budget);
}

size_t
memory_budget_held(const memory_budget_t *budget)
{
	return budget->held;
}

size_t
memory_budget_largest(const memory_budget_t *budget)
{
	return budget->bytes_max == 0
		   ? SIZE_MAX
		   : (size_t)(large_share * (double)budget->bytes_max);
}

size_t
memory_budget_queue_max(const memory_budget_t *budget, size_t wanted)
{
	size_t free_bytes;

	if (budget->bytes_max == 0)
		return wanted;
	free_bytes = budget->bytes_max > budget->held
			 ? budget->bytes_max - budget->held
			 : 0;
	return MIN(wanted, MAX(free_bytes / QUEUE_FREE_PARTS, QUEUE_MIN_BYTES));
}

static bool
is_large(const memory_charge_t *charge)
{
	return charge->bytes > LARGE_BYTES;
}

static double
speed_at(const memory_charge_t *charge, int64_t now_ms)
{
	double passed_ms = (double)MAX(now_ms - charge->updated_ms, 0);

	return charge->bytes_per_s * exp(-passed_ms / SPEED_MS);
}

/* Seconds that the charge's bytes take to pass at its present speed. */
static double
holding_time_s(const memory_charge_t *charge, int64_t now_ms)
{
	return (double)charge->bytes /
	       (speed_at(charge, now_ms) + SPEED_MIN_BYTES_PER_S);
}

memory_charge_t *
memory_budget_excess(memory_budget_t *budget, int64_t now_ms)
{
	bool over = budget->held > budget->bytes_max;
	bool large_over = budget->large_held > memory_budget_largest(budget);
	memory_charge_t *charge, *longest = NULL;
	double longest_s = 0;

	if (budget->bytes_max == 0 || (!over && !large_over))
		return NULL;
	TAILQ_FOREACH (charge, &budget->charges, entries) {
		double time_s;

		if (!charge->evictable || charge->bytes == 0 ||
		    (!over && !is_large(charge)))
			continue;
		time_s = holding_time_s(charge, now_ms);
		if (longest == NULL || time_s > longest_s) {
			longest = charge;
			longest_s = time_s;
		}
	}
	return longest;
}

void
memory_charge_init(
    memory_charge_t *charge, memory_budget_t *budget, void *holder)
{
	*charge = (memory_charge_t){.budget = budget, .holder = holder};
	TAILQ_INSERT_TAIL(&budget->charges, charge, entries);
}

void
memory_charge_release(memory_charge_t *charge)
{
	if (charge->budget == NULL)
		return;
	memory_charge_set(charge, 0);
	TAILQ_REMOVE(&charge->budget->charges, charge, entries);
	charge->budget = NULL;
}

void
memory_charge_set(memory_charge_t *charge, size_t bytes)
{
	memory_budget_t *budget = charge->budget;

	if (is_large(charge))
		budget->large_held -= charge->bytes;
	budget->held -= charge->bytes;
	charge->bytes = bytes;
	budget->held += bytes;
	if (is_large(charge))
		budget->large_held += bytes;
}

void
memory_charge_set_evictable(memory_charge_t *charge, bool evictable)
{
	charge->evictable = evictable;
}

void
memory_charge_add_progress(
    memory_charge_t *charge, size_t bytes, int64_t now_ms)
{
	charge->bytes_per_s =
	    speed_at(charge, now_ms) + (double)bytes * MS_PER_S / SPEED_MS;
	charge->updated_ms = now_ms;
}

size_t
memory_array_capacity(size_t length)
{
	size_t capacity = ARRAY_MIN_BYTES;

	if (length == 0)
		return 0;
	while (capacity < length)
		capacity *= 2;
	return capacity;
}
