#include "stream.h"

#include "json.h"
#include "sse.h"

#include <string.h>

/*
 * STREAM_MUTANT compiles in a fault that the fuzz target has to detect:
 * 1: the header's id is not checked;
 * 2: the events' ids and versions are not checked;
 * 3: the events' indexes are not checked;
 * 4: a connection that ends after the last token completes the response;
 * 5: data of earlier attempts is accepted;
 * 6: [DONE] is accepted after any token.
 */
#ifndef STREAM_MUTANT
#define STREAM_MUTANT 0
#endif

enum { EVENT_MAX_BYTES = 1024 * 1024 };

struct stream {
	unsigned max_tokens;
	char *version;
	GPtrArray *tokens;
	size_t text_length;
	char *attempt_id; /* of the current attempt; NULL between attempts */
	sse_t sse;	  /* of the current attempt */
	/*
	 * The last token, which counts only once [DONE] confirms that the
	 * response is complete; if the attempt ends in between, the next one
	 * generates the token again.
	 */
	char *unconfirmed_token;
	char *finish_reason;
	int64_t recomputed_tokens;
	bool complete;
};

stream_t *
stream_new(unsigned max_tokens, const char *version)
{
	stream_t *stream = g_new0(stream_t, 1);

	stream->max_tokens = max_tokens;
	stream->version = g_strdup(version);
	stream->tokens = g_ptr_array_new_with_free_func(g_free);
	return stream;
}

void
stream_free(stream_t *stream)
{
	if (stream == NULL)
		return;
	stream_cancel_attempt(stream);
	g_ptr_array_free(stream->tokens, TRUE);
	g_free(stream->version);
	g_free(stream->finish_reason);
	g_free(stream);
}

void
stream_set_version(stream_t *stream, const char *version)
{
	g_return_if_fail(stream->tokens->len == 0);
	g_free(stream->version);
	stream->version = g_strdup(version);
}

void
stream_start_attempt(stream_t *stream, const char *attempt_id)
{
	g_return_if_fail(!stream->complete);
	stream_cancel_attempt(stream);
	stream->attempt_id = g_strdup(attempt_id);
	sse_init(&stream->sse, EVENT_MAX_BYTES);
}

void
stream_cancel_attempt(stream_t *stream)
{
	if (stream->attempt_id == NULL)
		return;
	g_clear_pointer(&stream->attempt_id, g_free);
	sse_clear(&stream->sse);
	g_clear_pointer(&stream->unconfirmed_token, g_free);
	if (!stream->complete)
		g_clear_pointer(&stream->finish_reason, g_free);
}

static bool
is_current_attempt(const stream_t *stream, const char *attempt_id)
{
	return stream->attempt_id != NULL &&
	       (STREAM_MUTANT == 5 ||
		   strcmp(stream->attempt_id, attempt_id) == 0);
}

static stream_status_t
end_attempt(stream_t *stream, stream_status_t status)
{
	stream_cancel_attempt(stream);
	return status;
}

/* Any other 4xx is the fault of the request, not of the backend server. */
static bool
is_backend_failure(long http_status)
{
	return http_status >= 500 || http_status == 408 || http_status == 409 ||
	       http_status == 425 || http_status == 429;
}

stream_status_t
stream_receive_header(stream_t *stream, const char *attempt_id,
    long http_status, const char *echoed_id)
{
	if (!is_current_attempt(stream, attempt_id))
		return STREAM_STALE;
	if (http_status >= 400 && !is_backend_failure(http_status))
		return end_attempt(stream, STREAM_REJECTED);
	if (http_status != 200)
		return end_attempt(stream, STREAM_FAILED);
	if (STREAM_MUTANT != 1 &&
	    (echoed_id == NULL || strcmp(echoed_id, attempt_id) != 0))
		return end_attempt(stream, STREAM_MISDELIVERED);
	return STREAM_OPEN;
}

static bool
exceeds_text_max(const stream_t *stream, const char *text)
{
	return stream->text_length + strlen(text) > STREAM_TEXT_MAX;
}

static bool
is_next_index(const stream_t *stream, int64_t index)
{
	return STREAM_MUTANT == 3 || index == (int64_t)stream->tokens->len;
}

static stream_status_t
receive_token(stream_t *stream, const json_t *event)
{
	const json_t *choice =
	    json_array_get(json_object_get(event, "choices"), 0);
	const char *text = json_get_string(choice, "text", NULL);
	const char *finish_reason =
	    json_get_string(choice, "finish_reason", NULL);

	if (stream->unconfirmed_token != NULL || text == NULL ||
	    !is_next_index(stream, json_get_int(event, "index", -1)) ||
	    stream->tokens->len >= stream->max_tokens ||
	    exceeds_text_max(stream, text))
		return STREAM_MALFORMED;
	if (finish_reason == NULL) {
		stream->text_length += strlen(text);
		g_ptr_array_add(stream->tokens, g_strdup(text));
		return STREAM_OPEN;
	}
	if (strcmp(finish_reason, "stop") != 0 &&
	    strcmp(finish_reason, "length") != 0)
		return STREAM_FAILED;
	stream->unconfirmed_token = g_strdup(text);
	stream->finish_reason = g_strdup(finish_reason);
	stream->recomputed_tokens = json_get_int(
	    json_object_get(event, "usage"), "recomputed_tokens", 0);
	return STREAM_OPEN;
}

static bool
matches_attempt(const stream_t *stream, const char *id, const char *version)
{
	return STREAM_MUTANT == 2 || STREAM_MUTANT == 5 ||
	       (strcmp(id, stream->attempt_id) == 0 &&
		   strcmp(version, stream->version) == 0);
}

static stream_status_t
receive_event(stream_t *stream, const sse_value_t *data)
{
	json_t *event = json_parse(data->bytes, data->length, "event", NULL);
	const char *id = json_get_string(event, "id", "");
	const char *version = json_get_string(event, "model", stream->version);
	stream_status_t status;

	if (!json_is_object(event))
		status = STREAM_MALFORMED;
	else if (json_object_get(event, "error") != NULL)
		status = STREAM_FAILED;
	else if (!matches_attempt(stream, id, version))
		status = STREAM_MISDELIVERED;
	else
		status = receive_token(stream, event);
	json_decref(event);
	return status;
}

static stream_status_t
receive_done(stream_t *stream)
{
	if (stream->unconfirmed_token == NULL && STREAM_MUTANT != 6)
		return STREAM_TRUNCATED;
	if (stream->unconfirmed_token != NULL)
		g_ptr_array_add(stream->tokens,
		    g_steal_pointer(&stream->unconfirmed_token));
	stream->complete = true;
	return STREAM_COMPLETE;
}

stream_status_t
stream_receive_data(
    stream_t *stream, const char *attempt_id, const char *bytes, size_t length)
{
	stream_status_t status = STREAM_OPEN;
	sse_event_t event;

	if (!is_current_attempt(stream, attempt_id))
		return STREAM_STALE;
	if (!sse_feed(&stream->sse, bytes, length))
		return end_attempt(stream, STREAM_MALFORMED);
	while (status == STREAM_OPEN && sse_next(&stream->sse, &event)) {
		if (event.data.bytes == NULL)
			continue;
		status = sse_value_equals(&event.data, "[DONE]")
			     ? receive_done(stream)
			     : receive_event(stream, &event.data);
	}
	return status == STREAM_OPEN ? status : end_attempt(stream, status);
}

stream_status_t
stream_receive_end(stream_t *stream, const char *attempt_id)
{
	if (!is_current_attempt(stream, attempt_id))
		return STREAM_STALE;
	if (STREAM_MUTANT == 4 && stream->tokens->len + 1 >= stream->max_tokens)
		return end_attempt(stream, receive_done(stream));
	return end_attempt(stream, STREAM_TRUNCATED);
}

bool
stream_is_complete(const stream_t *stream)
{
	return stream->complete;
}

unsigned
stream_token_count(const stream_t *stream)
{
	return stream->tokens->len;
}

const char *
stream_token(const stream_t *stream, unsigned index)
{
	return g_ptr_array_index(stream->tokens, index);
}

const char *
stream_finish_reason(const stream_t *stream)
{
	return stream->finish_reason;
}

int64_t
stream_recomputed_tokens(const stream_t *stream)
{
	return stream->recomputed_tokens;
}

const char *
stream_status_name(stream_status_t status)
{
	static const char *const names[] = {
	    [STREAM_OPEN] = "open",
	    [STREAM_COMPLETE] = "complete",
	    [STREAM_STALE] = "stale",
	    [STREAM_MISDELIVERED] = "misdelivered",
	    [STREAM_MALFORMED] = "malformed",
	    [STREAM_TRUNCATED] = "truncated",
	    [STREAM_FAILED] = "failed",
	    [STREAM_REJECTED] = "rejected",
	};

	return names[status];
}
