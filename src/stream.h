#ifndef PAPAYA_STREAM_H
#define PAPAYA_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * One model response assembled from attempts at backend servers, without I/O.
 * Each attempt has its own id; an attempt's data counts only while it is the
 * current one, carries its id and continues the tokens received so far.
 * Owned by the request.
 */
typedef struct stream stream_t;

typedef enum stream_status {
	STREAM_OPEN,	     /* the attempt goes on */
	STREAM_COMPLETE,     /* the response is whole */
	STREAM_STALE,	     /* of an attempt that is not current; discarded */
	STREAM_MISDELIVERED, /* of another request or version; discarded */
	STREAM_MALFORMED,    /* not the next token of a response */
	STREAM_TRUNCATED,    /* ended before the response was whole */
	STREAM_FAILED,	     /* the backend server reported a failure */
	STREAM_REJECTED,     /* the request itself is at fault (HTTP 4xx) */
} stream_status_t;

/* Text of all tokens together; a longer response is malformed. */
enum { STREAM_TEXT_MAX = 4 * 1024 * 1024 };

/* max_tokens and version are those of every attempt. */
stream_t *stream_new(unsigned max_tokens, const char *version);
void stream_free(stream_t *stream);

/* Another version, allowed only while there is no token. */
void stream_set_version(stream_t *stream, const char *version);

/*
 * Makes a new attempt the current one; it continues after the tokens received
 * so far. Data of earlier attempts is discarded from now on.
 */
void stream_start_attempt(stream_t *stream, const char *attempt_id);

/* Ends the current attempt, such as at its timeout. */
void stream_cancel_attempt(stream_t *stream);

/*
 * Reports what arrives at an attempt: status and echoed id (NULL if absent),
 * bytes of the body, the end of the connection. Any status other than OPEN
 * ends the attempt; no later data of it counts.
 */
stream_status_t stream_receive_header(stream_t *stream, const char *attempt_id,
    long http_status, const char *echoed_id);
stream_status_t stream_receive_data(
    stream_t *stream, const char *attempt_id, const char *bytes, size_t length);
stream_status_t stream_receive_end(stream_t *stream, const char *attempt_id);

bool stream_is_complete(const stream_t *stream);

/* Tokens received and counted; each borrowed until the stream is freed. */
unsigned stream_token_count(const stream_t *stream);
const char *stream_token(const stream_t *stream, unsigned index);

/* Of the whole response. */
const char *stream_finish_reason(const stream_t *stream);
int64_t stream_recomputed_tokens(const stream_t *stream);

/* Name of a status for counters. */
const char *stream_status_name(stream_status_t status);

#endif
