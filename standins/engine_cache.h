#ifndef PAPAYA_ENGINE_CACHE_H
#define PAPAYA_ENGINE_CACHE_H

#include "standin.h"

/*
 * Simulated prefix cache of the engine stand-in, with its event log. Faults:
 * "cache_prefixes" is the capacity in prefixes, "event_loss" the probability
 * (0 to 1) that an event is dropped, and "event_lag_ms" the age at which an
 * event becomes visible.
 */
typedef struct engine_cache engine_cache_t;

/* The cache reads its faults from standin, which must outlive it. */
engine_cache_t *engine_cache_new(standin_t *standin);

/* Number of space-separated words; the stand-in counts each as a token. */
unsigned engine_count_words(const char *text);

/*
 * Returns how many tokens of the prompt and of the resumed_tokens already
 * generated after it are not cached. The prompt's prefix is cached afterwards,
 * and an import for this prompt is used up.
 */
unsigned engine_cache_prefill(
    engine_cache_t *cache, const char *prompt, unsigned resumed_tokens);

/*
 * Fraction of the capacity that is free. Negative from a cut of the capacity
 * until the next prefill evicts prefixes.
 */
double engine_cache_free_fraction(const engine_cache_t *cache);

/*
 * The visible events with a sequence number above after_seq, as a new JSON
 * object {"events", "next"}; "next" is the last sequence number in it,
 * or after_seq without events.
 */
json_t *engine_cache_events(engine_cache_t *cache, uint64_t after_seq);

/*
 * Returns a newly allocated handle that another engine can import to count
 * this number of the prompt's tokens as cached.
 */
char *engine_cache_export(const char *prompt, unsigned tokens);

/* Sets tokens to the number in the handle; false if it is malformed. */
bool engine_cache_import(
    engine_cache_t *cache, const char *handle, unsigned *tokens);

#endif
