#ifndef PAPAYA_PREFIX_H
#define PAPAYA_PREFIX_H

#include "request_facts.h"

#include <stddef.h>
#include <stdint.h>

/*
 * Predicts which prompt segments each backend server has in its prefix cache,
 * from the requests that this node has sent there. Servers are given by
 * server_t.tag. The size is bounded: a segment keeps the servers that used it
 * last, and a full table records no new segments until the next sweep.
 */
typedef struct prefix_cache prefix_cache_t;

prefix_cache_t *prefix_cache_new(void);
void prefix_cache_free(prefix_cache_t *cache);

/*
 * Records that a server reads a prompt: all segments but the last, which no
 * other request has.
 */
void prefix_cache_record(prefix_cache_t *cache, uint32_t server,
    const request_facts_t *facts, int64_t now_ms);

/* Leading tokens of a prompt that the server is expected to have cached. */
unsigned prefix_cache_matched_tokens(const prefix_cache_t *cache,
    uint32_t server, const request_facts_t *facts, int64_t now_ms);

/* Drops the segments that no server is expected to have cached any more. */
void prefix_cache_sweep(prefix_cache_t *cache, int64_t now_ms);

/* Tokens of the segments that requests may share: all but the last. */
unsigned prefix_shared_tokens(const request_facts_t *facts);

#endif
