#ifndef PAPAYA_PROXY_STATE_H
#define PAPAYA_PROXY_STATE_H

#include "event_stream.h"
#include "hedge.h"
#include "pick.h"
#include "proxy.h"
#include "upstream.h"

/*
 * State of a request being proxied, shared by the files that implement it:
 * proxy.c accepts and ends requests, proxy_attempt.c sends them to backend
 * servers, proxy_response.c forwards the responses, proxy_record.c records what
 * they show, proxy_hedge.c sends late requests to a second server,
 * proxy_migrate.c migrates running streams to other engines.
 */

enum {
	/* No attempt is made with less time than this to the deadline. */
	PROXY_ATTEMPT_MIN_MS = 50,
	/* Default Retry-After, and its minimum under overload. */
	PROXY_RETRY_AFTER_MS = 250,
	/* The same where the only servers are in evacuated zones. */
	PROXY_EVACUATED_RETRY_MS = 1000,
};

typedef enum proxy_migration_state {
	PROXY_MIGRATION_NONE,
	PROXY_MIGRATION_COPYING, /* the source copies the KV cache */
	PROXY_MIGRATION_COPIED,	 /* waiting for the source to close */
	PROXY_MIGRATION_ENDED,	 /* succeeded or failed; not repeated */
} proxy_migration_state_t;

/*
 * Migration of a running stream to another engine, along with its KV cache.
 * Owned by the request; cleared by proxy_migration_clear().
 */
typedef struct proxy_migration {
	proxy_migration_state_t state;
	upstream_call_t *call; /* the copy request to the source; NULL: none */
	server_t *target;      /* NULL: none */
	char *kv_location;     /* IP:PORT/HANDLE of the KV cache; or NULL */
	unsigned status;       /* of the source's response */
	GString *response;     /* body of the source's response */
	bool source_closed;    /* the source has closed the client's stream */
} proxy_migration_t;

struct proxy_request;

/*
 * One sending of a request to a backend server. Its response is kept here until
 * it is known that it is the request's answer.
 */
typedef struct proxy_attempt {
	struct proxy_request *request;
	hedge_side_t side;	     /* in the request's race */
	server_t *server;	     /* NULL: none */
	upstream_call_t *call;	     /* NULL: none */
	int64_t start_ms;	     /* clock_boot_ms() */
	int64_t late_since_ms;	     /* see hedge_delay_ms(); 0: not late */
	bool hedge_time_recorded;    /* by proxy_record_hedge_time() */
	rollouts_assignment_t trial; /* assignment to a rollout's version */
	double uncached_tokens;	 /* of the prompt, not in the server's cache */
	double prefill_tokens;	 /* to prefill before the first token */
	double expected_ttft_ms; /* estimate when the request was sent */
	/* clock_boot_ms() of the first event or response; 0: none. */
	int64_t first_byte_ms;
	bool survival_recorded; /* see crash_guard.h */
	/* No event or response yet: counts in the server's waiting_tokens. */
	bool awaiting_response;
	/* The workspace's usage has this attempt, or the one that it raced. */
	bool usage_counted;
	response_facts_t response;
	unsigned status;		   /* of the response; 0: none yet */
	const http1_head_t *response_head; /* borrowed from the call */
	bool has_framing;	/* the response has a length or is chunked */
	GByteArray *buffered;	/* body not yet forwarded; NULL: not used yet */
	event_stream_t *events; /* NULL: not a stream route, or not used yet */
} proxy_attempt_t;

typedef struct proxy_request {
	TAILQ_ENTRY(proxy_request) entries; /* in the context's list */
	unsigned refs; /* one for the request, one for each open timer */
	proxy_context_t *context;
	exchange_t *exchange;
	catalog_t *catalog;
	const catalog_route_t *route;
	const catalog_workspace_t *workspace; /* NULL: public or unknown */
	const catalog_service_t *service;     /* NULL: not configured */
	const char *service_name;
	request_facts_t facts;
	double quota_units;	/* spent by this request */
	double quota_available; /* units, before this request spent any */
	int64_t received_ms;	/* clock_boot_ms() */
	int64_t deadline_ms;	/* clock_boot_ms() */
	uv_timer_t deadline_timer;
	uv_timer_t idle_timer;
	uv_timer_t hedge_timer;
	bool urgent; /* prefilled before prompts that are not urgent */
	/*
	 * The current attempt, and the one that races it while the race is
	 * open; the winner, or the one that is left, is the current one.
	 */
	proxy_attempt_t *attempt;
	proxy_attempt_t *other_attempt;
	proxy_attempt_t attempts[HEDGE_SIDES];
	hedge_race_t race;
	bool hedged;		       /* at most once */
	hedge_verdict_t hedge_verdict; /* the latest */
	proxy_migration_t migration;
	/* State across all attempts. */
	int64_t retry_after_ms; /* Retry-After of the response; -1: none */
	/* From receipt to the first event or the response; -1: none yet. */
	int64_t ttft_ms;
	GPtrArray *tried;	   /* server_t *, each sent the request */
	unsigned connect_failures; /* attempts of which nothing was sent */
	bool may_have_run;	   /* a server may have run the request */
	bool response_started;	   /* its head was sent to the client */
	bool stream_started;	   /* and the response is a stream of events */
	bool cut;		   /* the response ends before it is complete */
	bool deadline_passed;	   /* what is unread by then may still count */
	bool finished;
} proxy_request_t;

/* A server chosen for a retry, which is borrowed until the loop goes on. */
typedef struct proxy_retry {
	pick_choice_t choice;
	rollouts_assignment_t trial;
} proxy_retry_t;

/* proxy.c: ends of a request. */
/* Cancels the call to the backend server, if there is one. */
void proxy_cancel_call(proxy_attempt_t *attempt);
/* Cancels all calls and releases the request; later calls do nothing. */
void proxy_finish(proxy_request_t *req);
/*
 * Ends the request with a response generated here, with an empty body. Where
 * the response has started, aborts the client's connection instead.
 * retry_after_ms -1: no Retry-After header.
 */
void proxy_respond(proxy_request_t *req, unsigned status,
    int64_t retry_after_ms, const char *cause);
/* Responds 503 where no server ran the request, 502 where one may have. */
void proxy_reject(
    proxy_request_t *req, int64_t retry_after_ms, const char *cause);
/* Logs and counts the outcome; status 0: the client disconnected. */
void proxy_log_end(proxy_request_t *req, unsigned status, const char *cause);

/* True where bytes for an attempt have come and have not been read. */
bool proxy_has_unread(const proxy_attempt_t *attempt);

/* proxy.c: limits and load. */
/* Time to the deadline; negative once it has passed. */
int64_t proxy_remaining_ms(const proxy_request_t *req);
/*
 * True where the request may be sent to another server: attempts and time
 * remain, and the retry budget allows it. Takes one retry from the budget.
 */
bool proxy_take_retry(proxy_request_t *req);
/*
 * False for a stream that an engine has run and that may not be repeated: an
 * engine without its KV cache would run it from its start.
 */
bool proxy_may_run_anew(const proxy_request_t *req);
/* Removes the request's prompt from the server's waiting tokens. */
void proxy_remove_waiting_prompt(proxy_attempt_t *attempt);
/* Removes the request from the server's load and drops the reference. */
void proxy_release_server(proxy_attempt_t *attempt);
/* Cancels and releases an attempt, and frees what it has received. */
void proxy_attempt_clear(proxy_attempt_t *attempt);

/* proxy_attempt.c */
/* Chooses a server and sends the request to it, or rejects the request. */
void proxy_attempt(proxy_request_t *req);
/*
 * Chooses another server for a request that might do without it, and takes one
 * retry from the budget; false where there is none, or it may not be retried.
 */
bool proxy_choose_retry(proxy_request_t *req, proxy_retry_t *retry);
/* Sends the request there; its last attempt must have been released. */
void proxy_send_retry(proxy_request_t *req, const proxy_retry_t *retry);
/*
 * Retry-After of a request that no server can take: every one of them may have
 * asked for a pause.
 */
int64_t proxy_no_server_retry_ms(const proxy_request_t *req);
/* Chooses a server of the same version to migrate the stream to. */
pick_choice_t proxy_pick_migration_target(proxy_request_t *req);
/*
 * True where the rules of the choice allow a server that was chosen before. One
 * that leaves since, or has asked for a pause, is allowed only for a stream
 * that cannot go on elsewhere.
 */
bool proxy_may_send_to(proxy_request_t *req, const server_t *server);
/*
 * Chooses a server that is clearly free for a hedge, which is no evidence for a
 * rollout. Sets the servers' numbers in *situation.
 */
pick_choice_t proxy_pick_hedge(
    proxy_request_t *req, bool *to_new_version, hedge_situation_t *situation);
/* Sends the request to choice->server, which is borrowed. */
void proxy_send(proxy_request_t *req, const pick_choice_t *choice);
/* The same for an attempt; false where nothing was sent. */
bool proxy_start_attempt(proxy_attempt_t *attempt, const pick_choice_t *choice);

/* proxy_record.c: what an attempt shows of its server and its prompt. */
/* The service's model of the time to first token; created on first use. */
ttft_model_t *proxy_ttft_model(const proxy_request_t *req);
/*
 * Records the outcome of an attempt as evidence for the service's
 * rollout, if one runs. ttft_ms is used where ok is true.
 */
void proxy_record_rollout_attempt(
    proxy_attempt_t *attempt, bool ok, double ttft_ms);
/* Records the first event of a stream, or the start of a response. */
void proxy_record_first_byte(proxy_attempt_t *attempt);
/* Records what a response says of its server, other than its outcome. */
void proxy_record_server_facts(
    const proxy_attempt_t *attempt, const response_facts_t *facts);
/*
 * The attempt is about to be cancelled as the other one has the answer: no
 * failure, but it has had no answer for so long.
 */
void proxy_record_lost_race(proxy_attempt_t *attempt);
/* The server has written on the prompt for a while. */
void proxy_record_survival(proxy_attempt_t *attempt);
/*
 * The server closed the connection: it may have crashed as it began to write on
 * the prompt.
 */
void proxy_record_crash(proxy_attempt_t *attempt);
/* Logs and counts a failed attempt; sent: the server may have received it. */
void proxy_record_failure(
    proxy_attempt_t *attempt, const char *reason, bool sent);
/* The same for an attempt that may have run, with its outcome at the server. */
void proxy_record_failed_attempt(
    proxy_attempt_t *attempt, server_outcome_t outcome, const char *reason);

/* proxy_response.c */
/* Charges the client for what both attempts have gathered of a response. */
void proxy_charge_buffered(proxy_request_t *req);
/*
 * Starts the timer that retries the request at another server when this one
 * has sent nothing for a multiple of objective_ms. 0: no timer. Does nothing
 * where the route does not allow a repeat.
 */
void proxy_start_idle_timer(proxy_request_t *req, int64_t objective_ms);
/* Handles an attempt of which the server received nothing. */
void proxy_handle_not_sent(
    proxy_attempt_t *attempt, server_outcome_t outcome, const char *reason);
/*
 * Handles an attempt that was sent, but whose complete response was not
 * received: retries the request where the route allows it.
 */
void proxy_handle_broken(
    proxy_attempt_t *attempt, server_outcome_t outcome, const char *reason);
/* Callbacks of the upstream call; data is the proxy_attempt_t. */
void proxy_on_head(
    const http1_head_t *head, const response_facts_t *facts, void *data);
void proxy_on_body(const char *bytes, size_t length, void *data);
void proxy_on_end(upstream_result_t end, const char *reason, void *data);

/* proxy_hedge.c */
/*
 * Starts the timer that sends the request to a second server as well when the
 * current attempt is late. Does nothing where the request may not be hedged.
 */
void proxy_start_hedge_timer(proxy_request_t *req);
/*
 * Adds the time of an attempt that is answered, or about to end, to those that
 * later ones are compared with.
 */
void proxy_record_hedge_time(proxy_attempt_t *attempt, bool answered);
/*
 * The attempt has its first whole answer: it becomes the current one, and the
 * attempt that it races is cancelled. False where the answer must be dropped.
 */
bool proxy_win_race(proxy_attempt_t *attempt);
/*
 * The attempt has failed, which has been recorded. True where another attempt
 * goes on, which becomes the current one; this one is released.
 */
bool proxy_leave_race(proxy_attempt_t *attempt);
/* The request ends: counts a hedge that is still in flight. */
void proxy_end_race(proxy_request_t *req);

/* proxy_migrate.c */
/*
 * Handles a stream that its source has closed. True where a migration is in
 * progress and continues the stream.
 */
bool proxy_migration_handle_close(proxy_request_t *req);
/* Ends a migration in progress, which is not repeated, and frees its members.
 */
void proxy_migration_clear(proxy_request_t *req);

#endif
