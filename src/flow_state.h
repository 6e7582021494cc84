#ifndef PAPAYA_FLOW_STATE_H
#define PAPAYA_FLOW_STATE_H

#include "event_stream.h"
#include "flow.h"
#include "pick.h"
#include "upstream.h"

/*
 * The state of one request and what its parts need of each other: flow.c
 * accepts and ends it, flow_attempt.c sends it to a backend server,
 * flow_response.c passes on what comes back, flow_move.c takes a running
 * stream to another server.
 */

enum {
	/* Least time that a further attempt needs. */
	FLOW_ATTEMPT_MIN_MS = 50,
	FLOW_RETRY_AFTER_MS = 250,
};

typedef enum flow_move_state {
	FLOW_MOVE_NONE,
	FLOW_MOVE_ASKED, /* the source copies the run's memory */
	FLOW_MOVE_READY, /* copied; the rest of the stream is awaited */
	FLOW_MOVE_OVER,	 /* was tried once */
} flow_move_state_t;

/* A stream that is taken from one engine to another with its memory. */
typedef struct flow_move {
	flow_move_state_t state;
	upstream_call_t *call; /* to the source; NULL: none */
	server_t *target;      /* NULL: none */
	char *from;	       /* IP:PORT/HANDLE of the copy */
	unsigned status;
	GString *answer;
	bool stopped; /* the source has closed the stream */
} flow_move_t;

typedef struct flow {
	TAILQ_ENTRY(flow) entries; /* of the context */
	unsigned refs;
	flow_context_t *context;
	exchange_t *exchange;
	catalog_t *catalog;
	const catalog_route_t *route;
	const catalog_workspace_t *workspace; /* NULL: none */
	const catalog_service_t *service;     /* NULL: not configured */
	const char *service_name;
	request_facts_t facts;
	double units;	   /* taken from the quota */
	double quota_left; /* before it was asked for */
	int64_t received_ms;
	int64_t deadline_ms;
	uv_timer_t deadline_timer;
	uv_timer_t silence_timer;
	/* The attempt in progress. */
	server_t *server; /* NULL: none */
	upstream_call_t *call;
	int64_t attempt_ms;
	rollouts_trial_t trial;
	double new_tokens;
	double ahead_tokens;
	double expected_ms;
	int64_t retry_after_ms; /* told to the client; -1: none */
	int64_t first_ms;	/* -1: nothing yet */
	bool urgent;		/* its prompt is read before others */
	bool waiting; /* for the first event: counts among waiting prompts */
	response_facts_t response;
	unsigned status;
	const http1_head_t *head; /* of the response in progress */
	GByteArray *held;	  /* bytes not passed on yet */
	flow_move_t move;
	/* Over all attempts. */
	GPtrArray *tried; /* servers that got the request */
	unsigned connects;
	bool ran;     /* a server may have begun */
	bool started; /* the response to the client */
	bool framed;  /* its end is told apart from a cut */
	bool done;
	event_stream_t *events; /* NULL: not a stream */
} flow_t;

/* flow.c: ends of a request. */
void flow_finish(flow_t *flow);
/* Ends the request with a response of this system's own. */
void flow_answer(
    flow_t *flow, unsigned status, int64_t retry_after_ms, const char *cause);
/* Refuses a request that no server has run or will run. */
void flow_refuse(flow_t *flow, int64_t retry_after_ms, const char *cause);
void flow_log_end(flow_t *flow, unsigned status, const char *cause);

/* flow.c: limits and load. */
int64_t flow_left_ms(const flow_t *flow);
/* True where the request may go to a further server; uses up the budget. */
bool flow_may_go_on(flow_t *flow);
void flow_stop_waiting(flow_t *flow);
void flow_leave_server(flow_t *flow);

/* flow_attempt.c */
/* Sends the request to a server, or refuses it. */
void flow_attempt(flow_t *flow);
/* A server of the same version, to which the running stream may move. */
pick_choice_t flow_pick_target(flow_t *flow);
void flow_send(flow_t *flow, const pick_choice_t *choice);

/* flow_response.c */
ttft_model_t *flow_pace(const flow_t *flow);
/* Tells the version move of the service how an attempt went. */
void flow_observe_version(flow_t *flow, bool ok, double took_ms);
/* Gives up a server that sends nothing for long beside an objective. */
void flow_watch_silence(flow_t *flow, int64_t objective_ms);
void flow_not_sent(flow_t *flow, server_outcome_t outcome, const char *why);
void flow_on_head(
    const http1_head_t *head, const response_facts_t *facts, void *data);
void flow_on_body(const char *bytes, size_t length, void *data);
void flow_on_end(upstream_result_t end, const char *why, void *data);

/* flow_move.c */
/* The stream has been closed; true where a move takes it on. */
bool flow_move_takes_on(flow_t *flow);
void flow_move_clear(flow_t *flow);

#endif
