#ifndef PAPAYA_PICK_H
#define PAPAYA_PICK_H

#include "catalog.h"
#include "pool.h"
#include "prefix.h"
#include "ttft_model.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Chooses the backend server of a request. Decides only; no I/O. */

typedef struct pick_query {
	const request_facts_t *facts;
	const catalog_service_t *service; /* NULL: a service not configured */
	const GPtrArray *servers;	  /* of the service; or NULL */
	const GPtrArray *tried; /* servers that had this request; or NULL */
	const prefix_cache_t *prefixes;
	const ttft_model_t
	    *ttft_model;  /* of the service; NULL: not an engine */
	bool urgent;	  /* read before prompts that are not */
	const char *zone; /* of this node */
	int64_t now_ms;
	uint64_t random;
} pick_query_t;

typedef struct pick_choice {
	server_t *server; /* borrowed; NULL: none is usable */
	/* Estimated time to the first token or to the response, ms. */
	double expected_ms;
	double unloaded_ms;	/* the same at an idle server */
	double uncached_tokens; /* of the prompt that its cache does not hold */
	double prefill_tokens;	/* to be read up to its first token */
} pick_choice_t;

pick_choice_t pick_server(const pick_query_t *query);

/*
 * True where the queue makes the response so late that the work is better
 * spent on requests that can still be on time. objective_ms 0: none. A prompt
 * that is late at an idle server too may wait for a part of its objective, so
 * that long ones are not always refused.
 */
bool pick_should_shed(
    const pick_choice_t *choice, int64_t objective_ms, int64_t left_ms);

/* Time after which a request refused so has a chance to be on time. */
int64_t pick_retry_after_ms(const pick_choice_t *choice, int64_t objective_ms);

/* Memory that a request takes at an engine, in tokens. */
double pick_request_tokens(const request_facts_t *facts);

#endif
