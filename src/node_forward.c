#include "clock.h"
#include "error.h"
#include "node_call.h"

#include <string.h>

/* One request handed to a peer, whose response is passed on as it comes. */
typedef struct forward {
	unsigned refs; /* the HTTP call and the hook */
	node_t *node;
	http_request_t *request;
	http_call_t *http; /* NULL once done */
	char *id;
	bool begun;
} forward_t;

static const char *const sent_headers[] = {"content-type", "accept",
    "accept-language", "authorization", "if-match", "if-none-match",
    "idempotency-key", "papaya-workspace"};

static const char *const passed_headers[] = {"content-type", "cache-control",
    "etag", "last-modified", "location", "content-language", "papaya-version",
    "papaya-not-run", "retry-after"};

static void
forward_unref(forward_t *forward)
{
	if (--forward->refs > 0)
		return;
	http_request_unref(forward->request);
	g_free(forward->id);
	g_free(forward);
}

static void
begin(forward_t *forward, http_call_t *http)
{
	http_header_t headers[G_N_ELEMENTS(passed_headers) + 1];
	size_t count = attempt_read_headers(
	    http, passed_headers, G_N_ELEMENTS(passed_headers), headers);

	headers[count++] = (http_header_t){"papaya-attempt", forward->id};
	forward->begun = true;
	http_stream_begin(
	    forward->request, (int)http_call_status(http), headers, count);
}

static bool
on_data(http_call_t *http, const char *bytes, size_t length, void *data)
{
	forward_t *forward = data;
	const char *echoed = http_call_header(http, "papaya-attempt");

	if (echoed != NULL && strcmp(echoed, forward->id) != 0)
		return false;
	if (!forward->begun)
		begin(forward, http);
	http_stream_write(forward->request, bytes, length);
	return true;
}

static void
on_done(http_call_t *http, const http_result_t *result, void *data)
{
	forward_t *forward = data;
	GError *error = NULL;

	forward->http = NULL;
	if (result->outcome == HTTP_OUTCOME_COMPLETE) {
		if (!forward->begun)
			begin(forward, http);
		http_stream_end(forward->request);
	} else if (forward->begun) {
		http_stream_abort(forward->request);
	} else {
		papaya_error_set(&error, PAPAYA_ERROR_DRAINING,
		    "node %s is shutting down and its peer gave no answer",
		    forward->node->config->name);
		http_reply_error(forward->request, error,
		    result->outcome == HTTP_OUTCOME_NOT_SENT);
		g_error_free(error);
	}
	forward_unref(forward);
}

static void
on_gone(void *data)
{
	forward_t *forward = data;

	if (forward->http != NULL) {
		http_call_cancel(forward->http);
		forward->http = NULL;
		forward_unref(forward);
	}
	forward_unref(forward);
}

static char *
forward_url(const http_request_t *request, const char *peer)
{
	const char *query = http_request_query(request);

	return g_strdup_printf("http://%s%s%s%s", peer,
	    http_request_path(request), query != NULL ? "?" : "",
	    query != NULL ? query : "");
}

static GPtrArray *
forward_headers(const call_t *call, const listener_t *listener)
{
	GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);

	for (size_t i = 0; i < G_N_ELEMENTS(sent_headers); i++) {
		const char *value =
		    http_request_header(listener->request, sent_headers[i]);

		if (value != NULL)
			g_ptr_array_add(headers,
			    g_strdup_printf("%s: %s", sent_headers[i], value));
	}
	g_ptr_array_add(
	    headers, g_strdup_printf("Papaya-Attempt: %s", listener->id));
	g_ptr_array_add(
	    headers, g_strdup_printf("Papaya-Timeout-Ms: %" G_GINT64_FORMAT,
			 MAX(call_left_ms(call), 1)));
	g_ptr_array_add(headers, NULL);
	return headers;
}

void
forward_listener(call_t *call, listener_t *listener, const char *peer)
{
	forward_t *forward = g_new0(forward_t, 1);
	GPtrArray *headers = forward_headers(call, listener);
	char *url = forward_url(listener->request, peer);
	http_call_options_t options = {
	    .method = http_request_method(listener->request),
	    .url = url,
	    .headers = (const char *const *)headers->pdata,
	    .timeout_ms = MAX(call_left_ms(call), 1),
	    /* The peer's ledger guards the key, but only one copy may leave. */
	    .fresh_connection = call->kind == CALL_BOOK,
	    .on_data = on_data,
	    .on_complete = on_done,
	    .data = forward,
	};

	options.body =
	    http_request_body(listener->request, &options.body_length);
	if (options.body_length == 0)
		options.body = NULL;
	counter_add(call->node->counters, 1, "requests_forwarded_total");
	forward->refs = 2;
	forward->node = call->node;
	forward->request = http_request_ref(listener->request);
	forward->id = g_strdup(listener->id);
	forward->http = http_call_start(call->node->http, &options);
	http_request_on_close(listener->request, on_gone, forward);
	g_ptr_array_free(headers, TRUE);
	g_free(url);
}
