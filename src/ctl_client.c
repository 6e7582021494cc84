#include "ctl_client.h"

#include "json.h"

#include <string.h>

/* A node may need 15 s to learn the outcome of an apply from the store. */
enum { CALL_TIMEOUT_MS = 20000 };

struct ctl_client {
	uv_loop_t loop;
	http_client_t *http;
	char **nodes;
	unsigned node_count;
	unsigned current_node; /* index of the node to try first */
};

ctl_client_t *
ctl_client_new(const char *const *nodes, unsigned count)
{
	ctl_client_t *client = g_new0(ctl_client_t, 1);

	uv_loop_init(&client->loop);
	client->http = http_client_new(&client->loop);
	client->nodes = g_new0(char *, count + 1);
	client->node_count = count;
	for (unsigned i = 0; i < count; i++)
		client->nodes[i] = g_strdup(nodes[i]);
	return client;
}

void
ctl_client_free(ctl_client_t *client)
{
	if (client == NULL)
		return;
	http_client_free(client->http);
	uv_run(&client->loop, UV_RUN_DEFAULT);
	uv_loop_close(&client->loop);
	g_strfreev(client->nodes);
	g_free(client);
}

/* A call in flight and the reply that receives its result. */
typedef struct pending_call {
	ctl_reply_t *reply;
	bool completed;
} pending_call_t;

static void
on_call_complete(http_call_t *call, const http_result_t *result, void *data)
{
	pending_call_t *pending = data;
	ctl_reply_t *reply = pending->reply;

	reply->outcome = result->outcome;
	reply->status = result->status;
	reply->body = g_strndup(result->body, result->body_length);
	reply->json =
	    json_parse(result->body, result->body_length, "reply", NULL);
	reply->error_message = g_strdup(result->error_message);
	pending->completed = true;
}

ctl_reply_t *
ctl_client_call_node(
    ctl_client_t *client, const char *node, const ctl_request_t *request)
{
	pending_call_t pending = {.reply = g_new0(ctl_reply_t, 1)};
	char *url = g_strconcat("http://", node, request->path, NULL);
	char *body = request->body != NULL ? json_text(request->body) : NULL;
	const char *const headers[] = {
	    "Content-Type: application/json", request->header, NULL};
	http_call_options_t options = {
	    .method = request->method,
	    .url = url,
	    .headers = headers,
	    .body = body,
	    .body_length = body != NULL ? strlen(body) : 0,
	    .timeout_ms = CALL_TIMEOUT_MS,
	    .fresh_connection = !request->idempotent,
	    .on_complete = on_call_complete,
	    .data = &pending,
	};

	pending.reply->node = g_strdup(node);
	http_call_start(client->http, &options);
	while (!pending.completed)
		uv_run(&client->loop, UV_RUN_ONCE);
	g_free(body);
	g_free(url);
	return pending.reply;
}

static bool
should_try_next_node(const ctl_request_t *request, const ctl_reply_t *reply)
{
	const json_t *error = json_object_get(reply->json, "error");
	const char *kind = json_get_string(error, "kind", "");

	if (reply->outcome == HTTP_OUTCOME_NOT_SENT)
		return true;
	if (reply->outcome != HTTP_OUTCOME_COMPLETE)
		return request->idempotent;
	return strcmp(kind, "draining") == 0;
}

ctl_reply_t *
ctl_client_call(ctl_client_t *client, const ctl_request_t *request)
{
	ctl_reply_t *reply = NULL;

	for (unsigned i = 0; i < client->node_count; i++) {
		ctl_reply_free(reply);
		reply = ctl_client_call_node(
		    client, client->nodes[client->current_node], request);
		if (!should_try_next_node(request, reply))
			break;
		client->current_node =
		    (client->current_node + 1) % client->node_count;
	}
	return reply;
}

static void
on_sleep_timer(uv_timer_t *timer)
{
	bool *expired = timer->data;

	*expired = true;
}

void
ctl_client_sleep(ctl_client_t *client, int64_t duration_ms)
{
	bool expired = false;
	uv_timer_t timer;

	uv_timer_init(&client->loop, &timer);
	timer.data = &expired;
	uv_timer_start(&timer, on_sleep_timer, (uint64_t)duration_ms, 0);
	while (!expired)
		uv_run(&client->loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	/* The timer is on the stack: finish closing it before returning. */
	uv_run(&client->loop, UV_RUN_NOWAIT);
}

bool
ctl_reply_ok(const ctl_reply_t *reply)
{
	return reply->outcome == HTTP_OUTCOME_COMPLETE &&
	       reply->status >= 200 && reply->status < 300;
}

bool
ctl_reply_not_run(const ctl_reply_t *reply)
{
	const json_t *error = json_object_get(reply->json, "error");

	if (reply->outcome == HTTP_OUTCOME_NOT_SENT)
		return true;
	return reply->outcome == HTTP_OUTCOME_COMPLETE &&
	       json_get_bool(error, "not_run", false);
}

void
ctl_reply_free(ctl_reply_t *reply)
{
	if (reply == NULL)
		return;
	g_free(reply->node);
	g_free(reply->body);
	g_free(reply->error_message);
	json_decref(reply->json);
	g_free(reply);
}
