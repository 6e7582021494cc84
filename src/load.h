#ifndef PAPAYA_LOAD_H
#define PAPAYA_LOAD_H

#include "counter.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * Load generator with open-loop (Poisson) arrivals. Its clients retry at once,
 * without backoff, when a response is slow, missing or refused. It verifies
 * every response itself.
 */
typedef struct load_options {
	/* IP:PORT of entry hosts that serve the entry list; NULL-terminated */
	char **addresses;
	double rate; /* mean arrivals per second */
	double duration_s;
	unsigned workspaces;
	char *workspace_prefix; /* workspaces are PREFIX0, PREFIX1, ... */
	char **workspace_names; /* replace the prefix; NULL-terminated */
	double skew;		/* Zipf exponent over workspaces; 0: uniform */
	char *model;		/* TEAM/NAME; NULL: no model requests */
	char *booking;		/* TEAM/NAME/PATH of a plain service, or NULL */
	double booking_share;	/* fraction of requests, 0..1 */
	unsigned max_tokens;
	unsigned prompts; /* number of distinct prompt prefixes */
	int64_t attempt_timeout_ms;
	int64_t request_timeout_ms; /* over all attempts of a request */
	bool retry;
	/*
	 * IP:PORT of plain-service stand-ins whose run counts are read at the
	 * end; NULL-terminated
	 */
	char **run_count_servers;
	uint64_t seed;
	bool direct; /* addresses are backend servers: no entry list is read */
} load_options_t;

typedef struct load load_t;

/*
 * Starts the load. The strings in options must outlive it. on_report is called
 * once, when all requests have ended; it receives a new reference to report.
 */
load_t *load_start(uv_loop_t *loop, const load_options_t *options,
    void (*on_report)(json_t *report, void *data), void *data);

void load_free(load_t *load);

/*
 * Returns true if every stream was complete and correct, every booking was
 * accepted with the right response, and no booking ran twice, ran although it
 * was refused, or was accepted without running.
 */
bool load_report_ok(const json_t *report);

#endif
