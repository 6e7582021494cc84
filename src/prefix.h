#ifndef PAPAYA_PREFIX_H
#define PAPAYA_PREFIX_H

#include "request_facts.h"

#include <stddef.h>
#include <stdint.h>

/*
 * Which prompt parts a backend server holds in its cache, from the requests
 * that this node has sent there. Bounded; the oldest knowledge goes first.
 */
typedef struct prefix_cache prefix_cache_t;

prefix_cache_t *prefix_cache_new(void);
void prefix_cache_free(prefix_cache_t *cache);

/* A server has read a prompt; its last part is shared with no one else. */
void prefix_cache_record(prefix_cache_t *cache, uint32_t server,
    const request_facts_t *facts, int64_t now_ms);

/* Tokens at the start of a prompt that the server is expected to hold. */
unsigned prefix_cache_matched_tokens(const prefix_cache_t *cache,
    uint32_t server, const request_facts_t *facts, int64_t now_ms);

/* Drops what is too old to count. */
void prefix_cache_sweep(prefix_cache_t *cache, int64_t now_ms);

/* Tokens of the parts that requests share: all but the last. */
unsigned prefix_shared_tokens(const request_facts_t *facts);

#endif
