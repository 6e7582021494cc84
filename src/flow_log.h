#ifndef PAPAYA_FLOW_LOG_H
#define PAPAYA_FLOW_LOG_H

#include "counter.h"

#include <stdbool.h>
#include <stdint.h>

/* How a request ended, for logs and metrics. Strings are borrowed. */
typedef struct flow_log {
	const char *attempt_id; /* may be NULL */
	const char *route;
	const char *workspace;
	const char *service;
	const char *server; /* the last one; "" */
	unsigned status;    /* to the client; 0: it left */
	const char *cause;
	int64_t retry_after_ms; /* told to the client; -1: none */
	double units;		/* that count against the quota */
	double quota_left;	/* before it; 0 where nothing limits it */
	unsigned attempts;	/* servers that got the request */
	bool ran;		/* a server may have begun */
	int64_t elapsed_ms;
	int64_t first_ms;    /* to the first event or the response; -1: none */
	double expected_ms;  /* the same, as estimated when it was sent */
	double ahead_tokens; /* to be read before its first token */
	int64_t configuration; /* version */
	int64_t proof_age_ms;  /* time for which the configuration is usable */
} flow_log_t;

/* Counts the outcome and writes its line. */
void flow_log_outcome(counters_t *counters, const flow_log_t *line);

/* An attempt failed, and what was expected of it. Strings are borrowed. */
typedef struct flow_log_attempt {
	const char *attempt_id;
	const char *server;
	const char *why;
	unsigned number; /* of the attempt */
	bool sent;
	int64_t took_ms;
	double failure_rate; /* of the server lately */
	unsigned in_flight;  /* at the server */
} flow_log_attempt_t;

void flow_log_failure(counters_t *counters, const flow_log_attempt_t *line);

#endif
