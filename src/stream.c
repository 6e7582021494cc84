#include "stream.h"

#include "json.h"
#include "sse.h"

#include <string.h>

/*
 * STREAM_MUTANT compiles a fault in, for the checks of the checks:
 * 1: the header's id is not checked;
 * 2: the events' ids and versions are not checked;
 * 3: the events' indexes are not checked;
 * 4: a connection that ends after the last token makes the response whole;
 * 5: data of earlier attempts counts;
 * 6: an end mark is taken at any token.
 */
#ifndef STREAM_MUTANT
#define STREAM_MUTANT 0
#endif

struct stream {
	unsigned max_tokens;
	char *version;
	GPtrArray *tokens;
	size_t text_length;
	char *current; /* id of the current attempt; NULL between attempts */
	sse_t sse;     /* of the current attempt */
	/*
	 * The last token is held back until [DONE] confirms that the response
	 * is whole; an attempt cut in between is resumed before that token.
	 */
	char *held;
	char *finish_reason;
	int64_t recomputed;
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
	stream_drop(stream);
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
stream_begin(stream_t *stream, const char *id)
{
	g_return_if_fail(!stream->complete);
	stream_drop(stream);
	stream->current = g_strdup(id);
	sse_init(&stream->sse);
}

void
stream_drop(stream_t *stream)
{
	if (stream->current == NULL)
		return;
	g_clear_pointer(&stream->current, g_free);
	sse_clear(&stream->sse);
	g_clear_pointer(&stream->held, g_free);
	if (!stream->complete)
		g_clear_pointer(&stream->finish_reason, g_free);
}

static bool
is_current(const stream_t *stream, const char *id)
{
	return stream->current != NULL &&
	       (STREAM_MUTANT == 5 || strcmp(stream->current, id) == 0);
}

static stream_status_t
end_attempt(stream_t *stream, stream_status_t status)
{
	stream_drop(stream);
	return status;
}

/* A 4xx other than these blames the request, not the backend server. */
static bool
is_backend_status(long status)
{
	return status >= 500 || status == 408 || status == 409 ||
	       status == 425 || status == 429;
}

stream_status_t
stream_header(stream_t *stream, const char *id, long status, const char *echoed)
{
	if (!is_current(stream, id))
		return STREAM_STALE;
	if (status >= 400 && !is_backend_status(status))
		return end_attempt(stream, STREAM_REJECTED);
	if (status != 200)
		return end_attempt(stream, STREAM_FAILED);
	if (STREAM_MUTANT != 1 && (echoed == NULL || strcmp(echoed, id) != 0))
		return end_attempt(stream, STREAM_MISDELIVERED);
	return STREAM_OPEN;
}

static bool
reached_text_max(const stream_t *stream, const char *text)
{
	return stream->text_length + strlen(text) > STREAM_TEXT_MAX;
}

static bool
is_next(const stream_t *stream, int64_t index)
{
	return STREAM_MUTANT == 3 || index == (int64_t)stream->tokens->len;
}

static stream_status_t
take_token(stream_t *stream, const json_t *event)
{
	const json_t *choice =
	    json_array_get(json_object_get(event, "choices"), 0);
	const char *text = json_get_string(choice, "text", NULL);
	const char *finish = json_get_string(choice, "finish_reason", NULL);

	if (stream->held != NULL || text == NULL ||
	    !is_next(stream, json_get_int(event, "index", -1)) ||
	    stream->tokens->len >= stream->max_tokens ||
	    reached_text_max(stream, text))
		return STREAM_MALFORMED;
	if (finish == NULL) {
		stream->text_length += strlen(text);
		g_ptr_array_add(stream->tokens, g_strdup(text));
		return STREAM_OPEN;
	}
	if (strcmp(finish, "stop") != 0 && strcmp(finish, "length") != 0)
		return STREAM_FAILED;
	stream->held = g_strdup(text);
	stream->finish_reason = g_strdup(finish);
	stream->recomputed = json_get_int(
	    json_object_get(event, "usage"), "recomputed_tokens", 0);
	return STREAM_OPEN;
}

static bool
is_own(const stream_t *stream, const char *id, const char *version)
{
	return STREAM_MUTANT == 2 || STREAM_MUTANT == 5 ||
	       (strcmp(id, stream->current) == 0 &&
		   strcmp(version, stream->version) == 0);
}

static stream_status_t
take_event(stream_t *stream, const char *text, size_t length)
{
	json_t *event = json_parse(text, length, "event", NULL);
	const char *id = json_get_string(event, "id", "");
	const char *version = json_get_string(event, "model", stream->version);
	stream_status_t status;

	if (!json_is_object(event))
		status = STREAM_MALFORMED;
	else if (json_object_get(event, "error") != NULL)
		status = STREAM_FAILED;
	else if (!is_own(stream, id, version))
		status = STREAM_MISDELIVERED;
	else
		status = take_token(stream, event);
	json_decref(event);
	return status;
}

static stream_status_t
take_done(stream_t *stream)
{
	if (stream->held == NULL && STREAM_MUTANT != 6)
		return STREAM_TRUNCATED;
	if (stream->held != NULL)
		g_ptr_array_add(stream->tokens, g_steal_pointer(&stream->held));
	stream->complete = true;
	return STREAM_COMPLETE;
}

stream_status_t
stream_data(stream_t *stream, const char *id, const char *bytes, size_t length)
{
	stream_status_t status = STREAM_OPEN;
	const char *event;
	size_t size;

	if (!is_current(stream, id))
		return STREAM_STALE;
	if (!sse_feed(&stream->sse, bytes, length))
		return end_attempt(stream, STREAM_MALFORMED);
	while (status == STREAM_OPEN &&
	       (event = sse_next(&stream->sse, &size)) != NULL)
		status = strcmp(event, "[DONE]") == 0
			     ? take_done(stream)
			     : take_event(stream, event, size);
	return status == STREAM_OPEN ? status : end_attempt(stream, status);
}

stream_status_t
stream_end(stream_t *stream, const char *id)
{
	if (!is_current(stream, id))
		return STREAM_STALE;
	if (STREAM_MUTANT == 4 && stream->tokens->len + 1 >= stream->max_tokens)
		return end_attempt(stream, take_done(stream));
	return end_attempt(stream, STREAM_TRUNCATED);
}

bool
stream_complete(const stream_t *stream)
{
	return stream->complete;
}

unsigned
stream_count(const stream_t *stream)
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
	return stream->recomputed;
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
