#ifndef PAPAYA_HTTP_CLIENT_H
#define PAPAYA_HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* HTTP/1.1 client that runs libcurl's multi interface on a libuv loop. */
typedef struct http_client http_client_t;

/* One call; the client frees it after on_complete or http_call_cancel(). */
typedef struct http_call http_call_t;

typedef enum http_outcome {
	HTTP_OUTCOME_COMPLETE, /* complete response, of any status */
	HTTP_OUTCOME_NOT_SENT, /* failed before any request byte was sent */
	/* Failed or cut off; request bytes may have been sent. */
	HTTP_OUTCOME_FAILED,
	/* No complete response in time; request bytes may have been sent. */
	HTTP_OUTCOME_TIMEOUT,
} http_outcome_t;

typedef struct http_result {
	http_outcome_t outcome;
	long status;	  /* 0 if no response header arrived */
	const char *body; /* response body; empty if on_data is set */
	size_t body_length;
	const char *error_message; /* reason of failure; "" if COMPLETE */
} http_result_t;

typedef struct http_call_options {
	const char *method; /* NULL: GET */
	const char *url;
	const char *const
	    *headers;	  /* "Name: value", NULL-terminated; or NULL */
	const void *body; /* copied */
	size_t body_length;
	int64_t timeout_ms;	    /* of the whole call; 0: no timeout */
	int64_t connect_timeout_ms; /* 0: 2000 */
	/* A longer response body ends the call as failed; 0: 32 MiB. */
	size_t body_max_bytes;
	/*
	 * Uses a new connection, closed afterwards. For a call that must not
	 * run twice: libcurl sends a request again if a reused connection
	 * turns out to be closed.
	 */
	bool fresh_connection;
	/*
	 * Optional; called for each piece of the response body. If it returns
	 * false, the call ends with HTTP_OUTCOME_FAILED.
	 */
	bool (*on_data)(
	    http_call_t *call, const char *bytes, size_t length, void *data);
	/* Optional; called once, whatever the outcome. */
	void (*on_complete)(
	    http_call_t *call, const http_result_t *result, void *data);
	void *data;
} http_call_options_t;

http_client_t *http_client_new(uv_loop_t *loop);

/* Cancels all calls; their on_complete is not called. */
void http_client_free(http_client_t *client);

/* Calls that libcurl had not ended some time after their timeout, so far. */
uint64_t http_client_overdue_calls(const http_client_t *client);

/*
 * Queues a call, which the event loop starts; on_complete is never called from
 * within this function. The URL, headers and body of the options are copied.
 */
http_call_t *http_call_start(
    http_client_t *client, const http_call_options_t *options);

/*
 * Ends a call without calling on_complete; its connection is closed, not
 * reused. May be called from on_data of the same call.
 */
void http_call_cancel(http_call_t *call);

/*
 * Value of a response header, valid within on_data and on_complete; NULL if
 * absent.
 */
const char *http_call_header(const http_call_t *call, const char *name);

/* Response status; 0 before the response headers have arrived. */
long http_call_status(const http_call_t *call);

#endif
