#ifndef PAPAYA_PICK_H
#define PAPAYA_PICK_H

#include "catalog.h"
#include "cold_limit.h"
#include "evacuation.h"
#include "pool.h"
#include "prefix.h"
#include "region.h"
#include "ttft_model.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Selects the backend server for a request, without I/O. */

typedef struct pick_query {
	const request_facts_t *facts;
	const catalog_service_t *service; /* NULL: not configured */
	const GPtrArray *servers;	  /* to select from; or NULL */
	const GPtrArray *tried;		  /* by this request before; or NULL */
	const prefix_cache_t *prefixes;
	const ttft_model_t *ttft_model; /* NULL: not an engine */
	bool urgent;		     /* engines read its prompt before others */
	const char *zone;	     /* of this node */
	region_rule_t region_rule;   /* of the request */
	const region_map_t *regions; /* of the zones; NULL: unknown */
	const evacuation_t *evacuation; /* NULL: no zone is evacuated */
	const cold_limit_t *cold_limit; /* NULL: cold servers have no limit */
	/* No cold servers: a turn may have passed when the request is sent. */
	bool warm_only;
	int64_t now_ms;	 /* clock_boot_ms() */
	uint64_t random; /* spreads requests over equal servers */
} pick_query_t;

/* Why a server that may get requests is not used for this one. */
typedef enum pick_exclusion {
	PICK_NOT_EXCLUDED,
	PICK_EXCLUDED_REGION,	 /* the request may not go to its region */
	PICK_EXCLUDED_EVACUATED, /* its availability zone is evacuated */
	PICK_EXCLUDED_COLD,	 /* this node may send it nothing now */
	PICK_EXCLUSIONS,
} pick_exclusion_t;

typedef struct pick_choice {
	server_t *server; /* borrowed; NULL: none is usable */
	/* Servers that were excluded, by reason. */
	unsigned excluded[PICK_EXCLUSIONS];
	/* All servers that might have been used are cold. */
	bool only_cold;
	/* Time until a server that is excluded as cold may be used. */
	int64_t cold_wait_ms;
	/* Estimated time to an engine's first token or a plain response. */
	double expected_ms;
	double unloaded_ms;	/* at an idle engine; 0 for plain services */
	double uncached_tokens; /* of the prompt, not in the server's cache */
	double prefill_tokens;	/* read up to its first token: queued and own */
} pick_choice_t;

pick_choice_t pick_server(const pick_query_t *query);

/*
 * Whether a rule keeps the request from a server that may get requests. For a
 * server that was picked some time ago.
 */
pick_exclusion_t pick_find_exclusion(
    const pick_query_t *query, const server_t *server);

/* Name of a reason, as a label of metrics. */
const char *pick_exclusion_name(pick_exclusion_t exclusion);

/*
 * True where a request should be refused: it would miss its deadline in
 * remaining_ms, or the queue delays it so much that its server's time is
 * better spent on requests that can still meet their objective. objective_ms
 * is that of its route; 0: none. A prompt that exceeds its objective at an
 * idle server too may wait for a share of the objective, so that long prompts
 * are not refused at every load.
 */
bool pick_should_shed(
    const pick_choice_t *choice, int64_t objective_ms, int64_t remaining_ms);

/*
 * Time until a refused request may meet its objective if it is sent again, in
 * milliseconds; may be negative.
 */
int64_t pick_retry_after_ms(const pick_choice_t *choice, int64_t objective_ms);

/* Tokens of a request's prompt and output; 0 where they are not given. */
double pick_request_tokens(const request_facts_t *facts);

#endif
