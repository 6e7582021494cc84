#ifndef PAPAYA_PROXY_LOG_H
#define PAPAYA_PROXY_LOG_H

#include "counter.h"

#include <stdbool.h>
#include <stdint.h>

/* How a request ended, for logs and metrics. Strings are borrowed. */
typedef struct proxy_outcome {
	const char *attempt_id; /* may be NULL */
	const char *route;
	const char *workspace;
	const char *service;
	const char *server; /* the last one; "" */
	unsigned status;    /* to the client; 0: it left */
	const char *cause;
	int64_t retry_after_ms; /* told to the client; -1: none */
	double units;		/* that count against the quota */
	double quota_available; /* before it; 0 where nothing limits it */
	unsigned attempts;	/* servers that got the request */
	bool may_have_run;	/* a server may have begun */
	int64_t elapsed_ms;
	int64_t ttft_ms; /* to the first event or the response; -1: none */
	double expected_ttft_ms; /* the same, as estimated when it was sent */
	double prefill_tokens;	 /* to be read before its first token */
	int64_t catalog_version; /* version */
	int64_t
	    catalog_valid_ms; /* time for which the configuration is usable */
} proxy_outcome_t;

/* Counts the outcome and writes its line. */
void proxy_log_outcome(counters_t *counters, const proxy_outcome_t *outcome);

/* An attempt failed, and what was expected of it. Strings are borrowed. */
typedef struct proxy_attempt_failure {
	const char *attempt_id;
	const char *server;
	const char *reason;
	unsigned attempt_number; /* of the attempt */
	bool sent;
	int64_t elapsed_ms;
	double failure_rate; /* of the server lately */
	unsigned in_flight;  /* at the server */
} proxy_attempt_failure_t;

void proxy_log_attempt_failure(
    counters_t *counters, const proxy_attempt_failure_t *failure);

#endif
