#ifndef PAPAYA_PROXY_STATE_H
#define PAPAYA_PROXY_STATE_H

#include "event_stream.h"
#include "pick.h"
#include "proxy.h"
#include "upstream.h"

/*
 * The state of one request and what its parts need of each other: flow.c
 * accepts and ends it, proxy_attempt.c sends it to a backend server,
 * flow_response.c passes on what comes back, proxy_migration.c takes a running
 * stream to another server.
 */

enum {
	/* Least time that a further attempt needs. */
	PROXY_ATTEMPT_MIN_MS = 50,
	PROXY_RETRY_AFTER_MS = 250,
};

typedef enum proxy_migration_state {
	PROXY_MIGRATION_NONE,
	PROXY_MIGRATION_COPYING, /* the source copies the run's memory */
	PROXY_MIGRATION_COPIED,	 /* copied; the rest of the stream is awaited */
	PROXY_MIGRATION_ENDED,	 /* was tried once */
} proxy_migration_state_t;

/* A stream that is taken from one engine to another with its memory. */
typedef struct proxy_migration {
	proxy_migration_state_t state;
	upstream_call_t *call; /* to the source; NULL: none */
	server_t *target;      /* NULL: none */
	char *kv_location;     /* IP:PORT/HANDLE of the copy */
	unsigned status;
	GString *response;
	bool source_closed; /* the source has closed the stream */
} proxy_migration_t;

typedef struct proxy_request {
	TAILQ_ENTRY(proxy_request) entries; /* of the context */
	unsigned refs;
	proxy_context_t *context;
	exchange_t *exchange;
	catalog_t *catalog;
	const catalog_route_t *route;
	const catalog_workspace_t *workspace; /* NULL: none */
	const catalog_service_t *service;     /* NULL: not configured */
	const char *service_name;
	request_facts_t facts;
	double quota_units;	/* taken from the quota */
	double quota_available; /* before it was asked for */
	int64_t received_ms;
	int64_t deadline_ms;
	uv_timer_t deadline_timer;
	uv_timer_t idle_timer;
	/* The attempt in progress. */
	server_t *server; /* NULL: none */
	upstream_call_t *call;
	int64_t attempt_start_ms;
	rollouts_trial_t trial;
	double uncached_tokens;
	double prefill_tokens;
	double expected_ttft_ms;
	int64_t retry_after_ms; /* told to the client; -1: none */
	int64_t ttft_ms;	/* -1: nothing yet */
	bool urgent;		/* its prompt is read before others */
	bool awaiting_response; /* for the first event: counts among waiting
				   prompts */
	response_facts_t response;
	unsigned status;
	const http1_head_t *response_head; /* of the response in progress */
	GByteArray *buffered;		   /* bytes not passed on yet */
	proxy_migration_t migration;
	/* Over all attempts. */
	GPtrArray *tried; /* servers that got the request */
	unsigned connect_failures;
	bool may_have_run;     /* a server may have begun */
	bool response_started; /* the response to the client */
	bool self_delimited;   /* its end is told apart from a cut */
	bool finished;
	event_stream_t *events; /* NULL: not a stream */
} proxy_request_t;

/* flow.c: ends of a request. */
void proxy_finish(proxy_request_t *flow);
/* Ends the request with a response of this system's own. */
void proxy_respond(proxy_request_t *flow, unsigned status,
    int64_t retry_after_ms, const char *cause);
/* Refuses a request that no server has run or will run. */
void proxy_reject(
    proxy_request_t *flow, int64_t retry_after_ms, const char *cause);
void proxy_log_end(proxy_request_t *flow, unsigned status, const char *cause);

/* flow.c: limits and load. */
int64_t proxy_remaining_ms(const proxy_request_t *flow);
/* True where the request may go to a further server; uses up the budget. */
bool proxy_take_retry(proxy_request_t *flow);
void proxy_remove_waiting_prompt(proxy_request_t *flow);
void proxy_release_server(proxy_request_t *flow);

/* proxy_attempt.c */
/* Sends the request to a server, or refuses it. */
void proxy_attempt(proxy_request_t *flow);
/* A server of the same version, to which the running stream may move. */
pick_choice_t proxy_pick_migration_target(proxy_request_t *flow);
void proxy_send(proxy_request_t *flow, const pick_choice_t *choice);

/* flow_response.c */
ttft_model_t *proxy_ttft_model(const proxy_request_t *flow);
/* Tells the version move of the service how an attempt went. */
void proxy_record_rollout_attempt(
    proxy_request_t *flow, bool ok, double ttft_ms);
/* Gives up a server that sends nothing for long beside an objective. */
void proxy_start_idle_timer(proxy_request_t *flow, int64_t objective_ms);
void proxy_handle_not_sent(
    proxy_request_t *flow, server_outcome_t outcome, const char *reason);
void proxy_on_head(
    const http1_head_t *head, const response_facts_t *facts, void *data);
void proxy_on_body(const char *bytes, size_t length, void *data);
void proxy_on_end(upstream_result_t end, const char *reason, void *data);

/* proxy_migration.c */
/* The stream has been closed; true where a move takes it on. */
bool proxy_migration_handle_close(proxy_request_t *flow);
void proxy_migration_clear(proxy_request_t *flow);

#endif
