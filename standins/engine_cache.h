#ifndef PAPAYA_ENGINE_CACHE_H
#define PAPAYA_ENGINE_CACHE_H

#include "standin.h"

/*
 * Prefix cache of the engine stand-in, with the events it publishes. Faults:
 * "cache_prefixes" (its size), "event_loss" (0..1), "event_lag_ms".
 */
typedef struct engine_cache engine_cache_t;

engine_cache_t *engine_cache_new(standin_t *standin);

/* Words of a text; each counts as one token. */
unsigned engine_count_words(const char *text);

/*
 * Tokens of a prompt and of the response resumed after it that the cache does
 * not hold; it holds the prompt's prefix afterwards.
 */
unsigned engine_cache_prefill(
    engine_cache_t *cache, const char *prompt, unsigned resumed);

/* Share of the cache that is free. */
double engine_cache_free_fraction(const engine_cache_t *cache);

/* {"events", "next"}: visible events after a sequence number. */
json_t *engine_cache_events(engine_cache_t *cache, uint64_t after);

/* Handle of a prompt's tokens, newly allocated, and its import elsewhere. */
char *engine_cache_export(const char *prompt, unsigned tokens);
bool engine_cache_import(
    engine_cache_t *cache, const char *handle, unsigned *tokens);

#endif
