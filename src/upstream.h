#ifndef PAPAYA_UPSTREAM_H
#define PAPAYA_UPSTREAM_H

#include "http1.h"
#include "request_facts.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * Connections to one address of a backend server. A request is sent once:
 * nothing here repeats it. Owned by the backend server's record.
 */
typedef struct upstream upstream_t;

/* One request; ends with on_end or upstream_call_cancel(). */
typedef struct upstream_call upstream_call_t;

typedef enum upstream_result {
	UPSTREAM_COMPLETE,   /* a whole response */
	UPSTREAM_NOT_SENT,   /* no connection: the server got nothing */
	UPSTREAM_INCOMPLETE, /* sent, and no whole response: it may have run */
} upstream_result_t;

typedef struct upstream_request {
	const char *attempt_id; /* that the response has to echo; or NULL */
	const char *head;	/* copied */
	size_t head_length;
	const char *body; /* copied */
	size_t body_length;
	bool is_head_request;
	/* Kept connections that have been idle for longer are not used. */
	int64_t reuse_idle_max_ms;
	void (*on_head)(const http1_head_t *head, const response_facts_t *facts,
	    void *data);
	void (*on_body)(const char *bytes, size_t length, void *data);
	/* The response's head is valid until this returns. */
	void (*on_end)(upstream_result_t end, const char *why, void *data);
	void *data;
} upstream_request_t;

/* NULL where the address is not IP:PORT. */
upstream_t *upstream_new(uv_loop_t *loop, const char *address);
/* Calls in progress go on; kept connections are closed. */
void upstream_free(upstream_t *upstream);

/*
 * Sends a request; NULL where no further connection is allowed or can be
 * opened, and nothing was sent. connections_max 0: no limit.
 */
upstream_call_t *upstream_call_start(upstream_t *upstream,
    unsigned connections_max, const upstream_request_t *request);

/* Ends a call without on_end; its connection is closed. */
void upstream_call_cancel(upstream_call_t *call);

/* Stops or resumes reading the response. */
void upstream_call_set_reading(upstream_call_t *call, bool reading);

/* Closes connections that the server is about to close. */
void upstream_close_expired(upstream_t *upstream, int64_t now_ms);

#endif
