#ifndef PAPAYA_LOAD_H
#define PAPAYA_LOAD_H

#include "counter.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * Load generator: open-loop arrivals from clients that retry at once, without
 * pause, whenever a response is slow, missing or refused. It checks every
 * response itself.
 */
typedef struct load_options {
	char *
	    *addresses; /* IP:PORT asked for the entry list; NULL at the end */
	double rate;	/* requests per second, Poisson arrivals */
	double duration_s;
	unsigned workspaces;
	char *workspace_prefix; /* workspaces are PREFIX0, PREFIX1, ... */
	char **workspace_names; /* instead of the prefix; NULL at the end */
	double skew;   /* Zipf exponent over the workspaces; 0: uniform */
	char *model;   /* TEAM/NAME, NULL: no model requests */
	char *booking; /* TEAM/NAME/PATH of a plain service; or NULL */
	double booking_share; /* 0..1 of the requests */
	unsigned max_tokens;
	unsigned prompts; /* different prompt prefixes */
	int64_t
	    attempt_timeout_ms; /* a client gives up on an attempt after this */
	int64_t
	    request_timeout_ms; /* a client gives up on a request after this */
	bool retry;
	char **run_count_servers; /* IP:PORT of plain-service stand-ins, counted
				     at the end */
	uint64_t seed;
	bool direct; /* entries are backend servers: no entry list */
} load_options_t;

typedef struct load load_t;

/* Starts the load; done(report, data) is called once, with a new reference. */
load_t *load_start(uv_loop_t *loop, const load_options_t *options,
    void (*done)(json_t *report, void *data), void *data);

void load_free(load_t *load);

/* True where every response was whole and right, and no booking ran twice. */
bool load_report_ok(const json_t *report);

#endif
