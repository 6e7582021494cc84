#ifndef PAPAYA_MEMORY_BUDGET_H
#define PAPAYA_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * A limit of the memory that connections hold together. Each holder has a
 * charge, which says how much it holds and how fast it moves. When the limit is
 * exceeded, the budget names the holder that has to go. Load: many clients that
 * send large bodies, or let large responses wait, and stop in the middle.
 *
 * Charges of more than 64 KiB may use three quarters of the budget only, so
 * that small requests find room beside any number of large ones. The holder
 * that goes is the one whose bytes would take longest to pass at its present
 * speed. One that cannot be evicted keeps its room until it is released.
 *
 * Does no I/O. Times are on any clock in milliseconds that does not go back.
 */
typedef struct memory_budget memory_budget_t;

/* What one holder has. Embedded in it; changed by the functions below only. */
typedef struct memory_charge {
	TAILQ_ENTRY(memory_charge) entries; /* in the budget */
	memory_budget_t *budget;
	void *holder; /* borrowed; for the caller of memory_budget_excess() */
	size_t bytes;
	double bytes_per_s; /* moving average of the speed, at updated_ms */
	int64_t updated_ms;
	bool evictable;
} memory_charge_t;

/* bytes_max 0: no limit; the charges are counted only. */
memory_budget_t *memory_budget_new(size_t bytes_max);
/* All charges must have been released. */
void memory_budget_free(memory_budget_t *budget);

/* Bytes held by all charges. */
size_t memory_budget_held(const memory_budget_t *budget);

/* Largest charge that fits while nothing else is held; SIZE_MAX: no limit. */
size_t memory_budget_largest(const memory_budget_t *budget);

/*
 * How many bytes one holder may queue before its source is paused: wanted, or
 * less where little of the budget is free.
 */
size_t memory_budget_queue_max(const memory_budget_t *budget, size_t wanted);

/*
 * The charge that must be released for the limit to be met; NULL if it is met,
 * or none of the charges can be evicted. Called until it returns NULL.
 */
memory_charge_t *memory_budget_excess(memory_budget_t *budget, int64_t now_ms);

/* Adds an empty charge. */
void memory_charge_init(
    memory_charge_t *charge, memory_budget_t *budget, void *holder);
/* Removes it from its budget. */
void memory_charge_release(memory_charge_t *charge);

void memory_charge_set(memory_charge_t *charge, size_t bytes);
void memory_charge_set_evictable(memory_charge_t *charge, bool evictable);

/* The holder has moved so many bytes: received them, or had them taken. */
void memory_charge_add_progress(
    memory_charge_t *charge, size_t bytes, int64_t now_ms);

/* Bytes that a GLib array or string of this length allocates. */
size_t memory_array_capacity(size_t length);

#endif
