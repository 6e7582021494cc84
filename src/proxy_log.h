#ifndef PAPAYA_PROXY_LOG_H
#define PAPAYA_PROXY_LOG_H

#include "counter.h"
#include "hedge.h"
#include "pool.h"
#include "request_facts.h"

#include <stdbool.h>
#include <stdint.h>

/* Outcome of a request, for logs and metrics. Strings are borrowed. */
typedef struct proxy_outcome {
	const char *attempt_id; /* may be NULL */
	const char *route;
	const char *workspace;
	const char *service;
	const char *server; /* id of the last one; "": none */
	unsigned status;    /* sent to the client; 0: it disconnected */
	const char *cause;
	bool cut; /* the response had begun, and was not completed */
	int64_t retry_after_ms; /* sent to the client; -1: none */
	double units;		/* of the workspace's quota that it needs */
	double quota_available; /* units before the request; 0: no quota */
	unsigned attempts;	/* servers that were sent the request */
	bool may_have_run;	/* a server may have run the request */
	int64_t elapsed_ms;	/* since the request was received */
	int64_t ttft_ms; /* to the first event or the response; -1: none */
	double expected_ttft_ms;  /* estimate of the last attempt */
	double prefill_tokens;	  /* to prefill before its first token */
	int64_t catalog_version;  /* 0: none */
	int64_t catalog_valid_ms; /* until the configuration must not be used */
} proxy_outcome_t;

/* Counts the outcome and writes its log line. */
void proxy_log_outcome(counters_t *counters, const proxy_outcome_t *outcome);

/* A failed attempt at a server. Strings are borrowed. */
typedef struct proxy_attempt_failure {
	const char *attempt_id;
	const char *server; /* id */
	const char *reason;
	unsigned attempt_number; /* from 1 */
	bool sent;		 /* the server may have received the request */
	int64_t elapsed_ms;	 /* since the attempt was started */
	double failure_rate;	 /* of the server's recent requests, 0 to 1 */
	unsigned in_flight;	 /* at the server */
	const request_facts_t *facts;
} proxy_attempt_failure_t;

/* Counts the failure and writes its log line. */
void proxy_log_attempt_failure(
    counters_t *counters, const proxy_attempt_failure_t *failure);

/* Logs and counts an attempt at a server that has said that it is leaving. */
void proxy_log_leaving_attempt(counters_t *counters, const char *attempt_id,
    const server_t *server, int64_t now_ms);

/* A hedge that was sent. Strings are borrowed. */
typedef struct proxy_hedge {
	const char *attempt_id;
	const char *service;
	const char *route;
	const char *first_server;  /* id */
	const char *second_server; /* id */
	int64_t elapsed_ms;	   /* since the first attempt was sent */
	int64_t delay_ms;	   /* after which that was late */
	double target_ms;	   /* estimate for the second attempt */
} proxy_hedge_t;

/* Logs and counts a hedge when it is sent. */
void proxy_log_hedge_sent(counters_t *counters, const proxy_hedge_t *sent);

/* How the race of a hedged request ended. */
typedef enum proxy_race_end {
	PROXY_RACE_WON,		 /* the hedge gave the answer */
	PROXY_RACE_LOST,	 /* the first attempt did */
	PROXY_RACE_HEDGE_FAILED, /* the first attempt goes on */
	PROXY_RACE_FIRST_FAILED, /* the hedge goes on */
	PROXY_RACE_ABANDONED,	 /* the request ended without an answer */
} proxy_race_end_t;

/* Logs and counts that; elapsed_ms: since the hedge was sent. */
void proxy_log_race_end(counters_t *counters, const char *attempt_id,
    const char *service, proxy_race_end_t end, int64_t elapsed_ms);

/*
 * Counts a late attempt that is not hedged, and logs it where the reason is the
 * limit.
 */
void proxy_log_hedge_refused(counters_t *counters, const char *attempt_id,
    const char *service, hedge_verdict_t verdict);

#endif
