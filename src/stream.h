#ifndef PAPAYA_STREAM_H
#define PAPAYA_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Assembles one model response from attempts at backend servers; does no I/O.
 * Each attempt has a unique id. Data is accepted only if it is of the current
 * attempt, carries that attempt's id and continues the tokens received so far.
 * Owned by the request.
 */
typedef struct stream stream_t;

typedef enum stream_status {
	STREAM_OPEN,	     /* the attempt continues */
	STREAM_COMPLETE,     /* the whole response has been received */
	STREAM_STALE,	     /* not of the current attempt; discarded */
	STREAM_MISDELIVERED, /* of another request or version; discarded */
	STREAM_MALFORMED,    /* not the next token of a response */
	STREAM_TRUNCATED,    /* ended before the response was complete */
	STREAM_FAILED,	     /* the backend server reported a failure */
	STREAM_REJECTED,     /* the request itself is invalid (HTTP 4xx) */
} stream_status_t;

/* Bytes of text in all tokens; a longer response is malformed. */
enum { STREAM_TEXT_MAX = 4 * 1024 * 1024 };

/* max_tokens and version apply to every attempt. */
stream_t *stream_new(unsigned max_tokens, const char *version);
void stream_free(stream_t *stream);

/* Changes the model version; allowed only before the first token. */
void stream_set_version(stream_t *stream, const char *version);

/*
 * Starts a new attempt, which continues after the tokens received so far. Later
 * data of earlier attempts is discarded.
 */
void stream_start_attempt(stream_t *stream, const char *attempt_id);

/* Cancels the current attempt, for example on its timeout. */
void stream_cancel_attempt(stream_t *stream);

/*
 * Process what an attempt receives: HTTP status and echoed id (NULL if absent),
 * bytes of the body, the end of the connection. Any result other than
 * STREAM_OPEN or STREAM_STALE ends the attempt; its later data is discarded.
 */
stream_status_t stream_receive_header(stream_t *stream, const char *attempt_id,
    long http_status, const char *echoed_id);
stream_status_t stream_receive_data(
    stream_t *stream, const char *attempt_id, const char *bytes, size_t length);
stream_status_t stream_receive_end(stream_t *stream, const char *attempt_id);

bool stream_is_complete(const stream_t *stream);

/*
 * Tokens accepted so far. The text of a token is borrowed until the stream is
 * freed.
 */
unsigned stream_token_count(const stream_t *stream);
const char *stream_token(const stream_t *stream, unsigned index);

/* Valid once the response is complete. */
const char *stream_finish_reason(const stream_t *stream);
int64_t stream_recomputed_tokens(const stream_t *stream);

/* Name of a status, for metrics and errors. */
const char *stream_status_name(stream_status_t status);

#endif
