#ifndef PAPAYA_UPSTREAM_H
#define PAPAYA_UPSTREAM_H

#include "http1.h"
#include "request_facts.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * Connection pool for one address of a backend server. Never retries a request:
 * each is sent at most once. Owned by the backend server's record.
 */
typedef struct upstream upstream_t;

/* One request in flight; freed after on_end or by upstream_call_cancel(). */
typedef struct upstream_call upstream_call_t;

typedef enum upstream_result {
	UPSTREAM_COMPLETE, /* a complete response was read */
	UPSTREAM_NOT_SENT, /* connecting failed: nothing was sent */
	/* Sent, but there is no complete response: it may have run. */
	UPSTREAM_INCOMPLETE,
	/* The same, as the server closed or reset the connection. */
	UPSTREAM_CLOSED,
} upstream_result_t;

typedef struct upstream_request {
	const char *attempt_id; /* copied; echoed by the response, or NULL */
	const char *head;	/* copied */
	size_t head_length;
	/* Referred to until it is sent; must not change. NULL: none. */
	GByteArray *body;
	bool is_head_request;
	/* Connections idle for longer than this are not reused. */
	int64_t reuse_idle_max_ms;
	/*
	 * Uses a new connection, closed afterwards: for a response that names
	 * no request, which a late one to another request would be taken for.
	 */
	bool own_connection;
	void (*on_head)(const http1_head_t *head, const response_facts_t *facts,
	    void *data);
	void (*on_body)(const char *bytes, size_t length, void *data);
	/* The response's head stays valid until this returns. reason: cause of
	 * a failure, empty if complete. */
	void (*on_end)(
	    upstream_result_t result, const char *reason, void *data);
	void *data;
} upstream_request_t;

/* NULL if the address is not IP:PORT. */
upstream_t *upstream_new(uv_loop_t *loop, const char *address);
/* Closes idle connections. Calls in progress continue; memory is released after
 * the last of them. */
void upstream_free(upstream_t *upstream);

/*
 * Sends a request. NULL, with nothing sent, if there is no connection to reuse
 * and none can be opened or connections_max is reached (0: no limit).
 */
upstream_call_t *upstream_call_start(upstream_t *upstream,
    unsigned connections_max, const upstream_request_t *request);

/* Ends a call without calling on_end and closes its connection. */
void upstream_call_cancel(upstream_call_t *call);

/* True where bytes of the response, or its end, have come and are not read. */
bool upstream_call_has_unread(const upstream_call_t *call);

/* Pauses or resumes reading the response. */
void upstream_call_set_reading(upstream_call_t *call, bool reading);

/* Most bytes of the response that one read takes. */
void upstream_call_set_read_max(upstream_call_t *call, size_t bytes);

/* Closes idle connections shortly before the server would. now_ms is
 * clock_boot_ms(). */
void upstream_close_expired(upstream_t *upstream, int64_t now_ms);

#endif
