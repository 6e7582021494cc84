#ifndef PAPAYA_HTTP_CLIENT_H
#define PAPAYA_HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* HTTP/1.1 client over libcurl's multi interface on one libuv loop. */
typedef struct http_client http_client_t;

/* One call; freed by the client after on_done or http_call_cancel(). */
typedef struct http_call http_call_t;

typedef enum http_outcome {
	HTTP_OUTCOME_COMPLETE, /* a whole answer, of any status */
	HTTP_OUTCOME_NOT_SENT, /* failed before any request byte could leave */
	HTTP_OUTCOME_FAILED,   /* failed or cut after bytes may have left */
	HTTP_OUTCOME_TIMEOUT, /* no whole answer in time; bytes may have left */
} http_outcome_t;

typedef struct http_result {
	http_outcome_t outcome;
	long status;	  /* 0 if no header arrived */
	const char *body; /* gathered where on_data is NULL */
	size_t body_length;
	const char *error_message; /* what failed; "" if answered */
} http_result_t;

typedef struct http_call_options {
	const char *method; /* NULL: GET */
	const char *url;
	const char *const
	    *headers;	  /* "Name: value", NULL at the end; or NULL */
	const void *body; /* copied */
	size_t body_length;
	int64_t timeout_ms;	    /* whole call; 0: none */
	int64_t connect_timeout_ms; /* 0: 2000 */
	/*
	 * A call that must not run twice: uses its own connection, since
	 * libcurl re-sends a request when a reused connection turns out dead.
	 */
	bool fresh_connection;
	/* Optional; false stops the call, which then ends as FAILED. */
	bool (*on_data)(
	    http_call_t *call, const char *bytes, size_t length, void *data);
	void (*on_complete)(
	    http_call_t *call, const http_result_t *result, void *data);
	void *data;
} http_call_options_t;

http_client_t *http_client_new(uv_loop_t *loop);

/* Cancels every call without on_done. */
void http_client_free(http_client_t *client);

/* Starts a call; on_done comes later, never from inside this function. */
http_call_t *http_call_start(
    http_client_t *client, const http_call_options_t *options);

/*
 * Ends a call without on_done; its connection is closed and not used again.
 * Safe inside on_data of the same call.
 */
void http_call_cancel(http_call_t *call);

/* Answer header by name, in on_data or on_done; NULL if absent. */
const char *http_call_header(const http_call_t *call, const char *name);

/* Status so far; 0 before the headers. */
long http_call_status(const http_call_t *call);

#endif
