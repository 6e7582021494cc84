#ifndef PAPAYA_NODE_CALL_H
#define PAPAYA_NODE_CALL_H

#include "admit.h"
#include "error.h"
#include "node.h"
#include "route.h"
#include "stream.h"

#include <stddef.h>
#include <sys/queue.h>

/* Shared by the files of the request path: node_call, _model, _plain, ... */

typedef enum call_kind {
	CALL_MODEL,
	CALL_PLAIN, /* to a plain service, repeatable */
	CALL_BOOK,  /* to a plain service, not repeatable */
} call_kind_t;

typedef enum call_state {
	CALL_WAITING, /* for admission */
	CALL_RUNNING,
	CALL_PACED, /* refused; the reply is held back */
	CALL_DONE,
} call_state_t;

/*
 * One client that waits for a call's response. Referenced by the call's list
 * and by the hook that tells that the client is gone.
 */
typedef struct listener {
	TAILQ_ENTRY(listener) entries;
	unsigned refs;
	struct call *call; /* borrowed; NULL once replied or gone */
	http_request_t *request;
	char *id; /* in its events: the client's own or the call's */
	bool stream;
	bool begun;
	unsigned written; /* tokens */
} listener_t;

/* One request to a backend server on behalf of a call. */
typedef struct attempt {
	TAILQ_ENTRY(attempt) entries;
	node_t *node;
	struct call *call;  /* NULL once the call has what it needs */
	backend_t *backend; /* reference */
	http_call_t *http;
	char *id;
	int64_t begun_ms, first_ms, last_ms; /* 0: not yet */
	unsigned tokens;
	bool reported;
	bool moving; /* its KV cache is being moved */
	GString *body;
} attempt_t;

typedef enum attempt_result {
	ATTEMPT_OK,
	ATTEMPT_FAILED,
	ATTEMPT_GIVEN_UP, /* says nothing about the backend server */
} attempt_result_t;

/*
 * A request admitted or waiting. Duplicates with the same Idempotency-Key
 * share one call. References: the list of calls, its timer, each attempt.
 */
typedef struct call {
	TAILQ_ENTRY(call) entries;
	unsigned refs;
	node_t *node;
	call_kind_t kind;
	call_state_t state;
	TAILQ_HEAD(, listener) listeners;
	settings_tree_t *tree; /* reference; owns service */
	const service_t *service;
	admit_t *admit;
	admit_request_t admission;
	char *workspace;
	int priority;
	char *id;
	char *key; /* under which duplicates join; NULL: none */
	char *route;
	char *method;
	char *path;	    /* at the plain service, with its query */
	GPtrArray *headers; /* "Name: value" for the plain service */
	GBytes *body;
	int64_t started_ms, deadline_ms; /* monotonic */
	int64_t abandoned_ms; /* when the last listener left; 0: not */
	uv_timer_t timer;
	GError *refusal; /* PACED */
	bool sent;	 /* a byte may have left to a backend server */
	bool ok;	 /* result for admission */
	double first_ms; /* to the first token or the answer */
	char *version;
	attempt_t *attempt;
	unsigned attempts;
	GPtrArray *excluded;	    /* backend_t, references */
	int64_t without_backend_ms; /* since when; 0: has one */
	/* CALL_MODEL */
	stream_t *stream;
	char *prompt;
	unsigned max_tokens;
	uint64_t prefix;
} call_t;

TAILQ_HEAD(call_list, call);
TAILQ_HEAD(attempt_list, attempt);

struct node_calls {
	node_t *node;
	struct call_list calls;
	struct attempt_list attempts;
	GHashTable *admits; /* TEAM/NAME: admit_t */
	GHashTable *by_key; /* borrowed key: call_t */
	route_prefix_index_t *cache;
	uv_timer_t pump;    /* starts waiting calls */
	uv_timer_t reclaim; /* looks after streams on leaving hosts */
	uint64_t next_id;
};

enum {
	/* Attempts of one call, so that a poisonous request ends. */
	ATTEMPTS_MAX = 8,
	/* Bytes in transit to one client; the rest waits in the stream. */
	CLIENT_PENDING_MAX = 64 * 1024,
	/* Pause before a backend server that failed this call is used again. */
	RETRY_PAUSE_MS = 50,
	/* How long a call waits for a usable backend server. */
	NO_BACKEND_WAIT_MS = 2000,
	/*
	 * A call with an Idempotency-Key goes on for this time after its client
	 * left, as clients retry at once and then join it.
	 */
	ABANDONED_LINGER_MS = 250,
	/* Least time without progress that counts as a stall. */
	STALL_MIN_MS = 1000,
};

/* A new call in state WAITING, known to the node's list. */
call_t *call_new(node_t *node, call_kind_t kind, settings_tree_t *tree,
    const service_t *service);
/* Adds a client; a response in progress is written to it from its start. */
void call_listen(call_t *call, http_request_t *request, bool stream);
/* Runs, queues or refuses a new call. */
void call_admit(call_t *call, const workspace_t *workspace);

call_t *call_ref(call_t *call);
void call_unref(call_t *call);

/* Milliseconds to the deadline; 0 or less once it has passed. */
int64_t call_left_ms(const call_t *call);
/* Calls model_wake() or plain_wake() after a delay, or expires the call. */
void call_wake_after(call_t *call, int64_t delay_ms);
/* Replies with an error to every listener and ends the call. */
void call_fail(call_t *call, papaya_error_t kind, const char *format, ...)
    G_GNUC_PRINTF(3, 4);
/* Ends the call; what listeners remain have been replied to. */
void call_finish(call_t *call);
/* Takes the first listener off the call, or NULL; to be unreferenced. */
listener_t *call_take_listener(call_t *call);
void listener_unref(listener_t *listener);
/* Takes a listener that is replied to off its call. */
void call_detach_listener(listener_t *listener);
/* Gives the call's place to the next one; it needs no backend server now. */
void call_release(call_t *call);
/* A backend server gave the first token or answer after this time. */
void call_first(call_t *call, double first_ms);

/* node_choose.c: usable backend server for the call's next attempt, borrowed;
 * or NULL. */
backend_t *call_choose(call_t *call);
/*
 * Chooses for the next attempt, or arranges for a later wake-up, or fails the
 * call; then NULL.
 */
backend_t *call_choose_or_wait(call_t *call);
/* Excludes the current attempt's; true if yet another one is usable now. */
bool call_has_other(call_t *call);
void call_exclude(call_t *call, backend_t *backend);
/* Version by the moves; the current one where that has no backend server. */
void call_pick_version(call_t *call);
/* After a failure: the current version, so that a bad new one costs a retry. */
void call_fall_back(call_t *call);

/* node_attempt.c */
typedef struct attempt_request {
	const char *method;
	const char *path;
	const char *const *headers; /* NULL at the end; or NULL */
	const void *body;
	size_t length;
	bool (*on_data)(
	    http_call_t *http, const char *bytes, size_t length, void *data);
	void (*on_done)(
	    http_call_t *http, const http_result_t *result, void *data);
} attempt_request_t;

/* Sends the call's next attempt, which becomes call->attempt. */
attempt_t *attempt_start(
    call_t *call, backend_t *backend, const attempt_request_t *request);
/* Reports the result once, to the backend's record and to the moves. */
void attempt_report(attempt_t *attempt, attempt_result_t result);
/*
 * What the end of the call's time says of its attempt: a failure only where
 * the backend server had its time, which a client's own timeout may cut short.
 */
attempt_result_t attempt_expired(const attempt_t *attempt);
/* Time for the first token or answer after which it is overdue. */
int64_t call_patience_ms(const call_t *call);
/* Lets the connection end by itself; the call has what it needs. */
void attempt_detach(attempt_t *attempt);
/* Closes the connection and frees the attempt. */
void attempt_cancel(attempt_t *attempt, attempt_result_t result);
/* Frees an attempt whose HTTP call is done. */
void attempt_free(attempt_t *attempt);
/*
 * Writes those of the names that the response has, with their values, into
 * headers, which has room for all. Returns their number. Values are valid as
 * http_call_header() is.
 */
size_t attempt_read_headers(const http_call_t *http, const char *const *names,
    size_t name_count, http_header_t *headers);

/* node_model.c */
void model_run(call_t *call);
void model_wake(call_t *call);
/* Writes to a listener what the response holds already. */
void model_catch_up(call_t *call, listener_t *listener);
/* Gives up the current attempt and resumes, at the target if not NULL. */
void model_resume_at(call_t *call, backend_t *target);

/* node_plain.c */
void plain_run(call_t *call);
void plain_wake(call_t *call);

/* node_reclaim.c */
void reclaim_streams(node_calls_t *calls);

/* node_request.c: a request for a service, of a path of this part. */
void request_completion(node_t *node, http_request_t *request);
void request_service(node_t *node, http_request_t *request);

/* node_forward.c: hands a listener of a waiting call to a peer's address. */
void forward_listener(call_t *call, listener_t *listener, const char *peer);

/*
 * Appends "Name: value" of the request's headers that reach a plain service,
 * and NULL at the end.
 */
void request_passed_headers(const http_request_t *request, GPtrArray *headers);

#endif
