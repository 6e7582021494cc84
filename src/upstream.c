#include "upstream.h"

#include "clock.h"
#include "conn.h"
#include "platform_request.h"

#include <string.h>
#include <sys/queue.h>

enum {
	CONNECT_TIMEOUT_MS = 400,
	/* A server that acknowledges nothing for so long is gone. */
	ACK_TIMEOUT_MS = 1500,
	/* A kept connection is given up this long before the server closes it.
	 */
	IDLE_MARGIN_MS = 700,
	IDLE_DEFAULT_MS = 8000,
	HEAD_MAX_BYTES = 64 * 1024,
};

typedef TAILQ_HEAD(conn_list, upstream_conn) conn_list_t;

/* One connection. Freed once it is closed and no reader callback runs. */
typedef struct upstream_conn {
	TAILQ_ENTRY(upstream_conn) entries; /* of the idle ones, oldest first */
	upstream_t *upstream;
	conn_t *tcp; /* NULL once closed */
	uv_timer_t timer;
	http1_reader_t *reader;
	upstream_call_t *call; /* NULL: idle or cancelled */
	int64_t idle_since_ms;
	int64_t idle_limit_ms;
	unsigned refs;
	bool connected;
	bool idle;
	bool discarding; /* a response to another request */
	bool no_reuse;	 /* not used again */
} upstream_conn_t;

struct upstream_call {
	upstream_conn_t *conn;
	upstream_request_t request;
	char *attempt_id;
	GString *unsent; /* head and body until the connection is open */
};

struct upstream {
	uv_loop_t *loop;
	struct sockaddr_in address;
	conn_list_t idle;
	unsigned conn_count;
	bool freed; /* by its owner; the last connection releases it */
};

static void
upstream_free_if_unused(upstream_t *upstream)
{
	if (upstream->freed && upstream->conn_count == 0)
		g_free(upstream);
}

static void
upstream_conn_unref(upstream_conn_t *link)
{
	if (--link->refs > 0)
		return;
	http1_reader_free(link->reader);
	g_free(link);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	upstream_conn_unref(handle->data);
}

static void
upstream_conn_close(upstream_conn_t *link)
{
	upstream_t *upstream = link->upstream;

	if (link->tcp == NULL)
		return;
	conn_close(link->tcp);
	link->tcp = NULL;
	if (link->idle)
		TAILQ_REMOVE(&upstream->idle, link, entries);
	link->idle = false;
	upstream->conn_count--;
	uv_close((uv_handle_t *)&link->timer, on_timer_closed);
	upstream_free_if_unused(upstream);
}

static void
call_free(upstream_call_t *call)
{
	g_string_free(call->unsent, TRUE);
	g_free(call->attempt_id);
	g_free(call);
}

/* Ends the link's call; the response's head stays valid meanwhile. */
static void
call_end(upstream_conn_t *link, upstream_result_t result, const char *reason)
{
	upstream_call_t *call = link->call;

	if (call == NULL)
		return;
	link->call = NULL;
	call->request.on_end(result, reason, call->request.data);
	call_free(call);
}

static bool
on_head(const http1_head_t *head, void *data)
{
	upstream_conn_t *link = data;
	upstream_call_t *call = link->call;
	response_facts_t facts;

	if (call == NULL)
		return false;
	platform_read_response(head, &facts);
	if (call->attempt_id != NULL && facts.attempt_id != NULL &&
	    strcmp(facts.attempt_id, call->attempt_id) != 0) {
		link->discarding = true;
		link->no_reuse = true;
		return true;
	}
	if (call->attempt_id != NULL && facts.attempt_id == NULL &&
	    head->status < 300)
		return false;
	if (call->request.is_head_request)
		http1_reader_expect_no_body(link->reader);
	if (!head->keep_alive)
		link->no_reuse = true;
	if (facts.idle_timeout_ms >= 0)
		link->idle_limit_ms = facts.idle_timeout_ms - IDLE_MARGIN_MS;
	call->request.on_head(head, &facts, call->request.data);
	return true;
}

static bool
on_body(const char *bytes, size_t length, void *data)
{
	upstream_conn_t *link = data;

	if (link->discarding)
		return true;
	if (link->call == NULL)
		return false;
	link->call->request.on_body(bytes, length, link->call->request.data);
	return true;
}

static void
upstream_conn_keep(upstream_conn_t *link)
{
	upstream_t *upstream = link->upstream;

	if (link->tcp == NULL)
		return;
	if (link->no_reuse || upstream->freed || link->idle_limit_ms <= 0 ||
	    conn_queued_bytes(link->tcp) > 0) {
		upstream_conn_close(link);
		return;
	}
	http1_reader_reset(link->reader);
	conn_set_reading(link->tcp, true);
	link->idle = true;
	link->idle_since_ms = clock_boot_ms();
	TAILQ_INSERT_TAIL(&upstream->idle, link, entries);
}

/* A whole response has been read; rest: bytes follow it. */
static void
on_response_complete(upstream_conn_t *link, bool has_extra_bytes)
{
	if (has_extra_bytes)
		link->no_reuse = true;
	call_end(link, UPSTREAM_COMPLETE, "");
	upstream_conn_keep(link);
}

static void
upstream_conn_read(upstream_conn_t *link, const char *bytes, size_t length)
{
	while (link->tcp != NULL && link->call != NULL) {
		size_t consumed =
		    http1_reader_feed(link->reader, bytes, length);

		bytes += consumed;
		length -= consumed;
		switch (http1_reader_state(link->reader)) {
		case HTTP1_READING:
			return;
		case HTTP1_FAILED:
			if (link->call == NULL)
				return; /* cancelled by its callback */
			call_end(
			    link, UPSTREAM_INCOMPLETE, "malformed response");
			upstream_conn_close(link);
			return;
		case HTTP1_COMPLETE:
			if (!link->discarding) {
				on_response_complete(link, length > 0);
				return;
			}
			link->discarding = false;
			http1_reader_reset(link->reader);
			break;
		}
		if (length == 0)
			return;
	}
}

static void
on_data(conn_t *conn, const char *bytes, size_t length, void *data)
{
	upstream_conn_t *link = data;

	if (link->call == NULL) {
		upstream_conn_close(link); /* nothing was asked */
		return;
	}
	link->refs++;
	upstream_conn_read(link, bytes, length);
	upstream_conn_unref(link);
}

static void
on_tcp_end(conn_t *conn, int error, void *data)
{
	upstream_conn_t *link = data;

	link->refs++;
	if (link->call != NULL && error == 0 && !link->discarding &&
	    http1_reader_started(link->reader))
		http1_reader_feed_eof(link->reader);
	if (http1_reader_state(link->reader) == HTTP1_COMPLETE)
		call_end(link, UPSTREAM_COMPLETE, "");
	else
		call_end(link, UPSTREAM_INCOMPLETE,
		    error == 0 ? "connection closed" : uv_strerror(error));
	upstream_conn_close(link);
	upstream_conn_unref(link);
}

static void
send_request(upstream_conn_t *link)
{
	upstream_call_t *call = link->call;

	conn_write(link->tcp, call->unsent->str, call->unsent->len);
	g_string_truncate(call->unsent, 0);
}

static void
on_connect_failure(upstream_conn_t *link, const char *reason)
{
	link->refs++;
	call_end(link, UPSTREAM_NOT_SENT, reason);
	upstream_conn_close(link);
	upstream_conn_unref(link);
}

static void
on_connect(conn_t *conn, int error, void *data)
{
	upstream_conn_t *link = data;

	uv_timer_stop(&link->timer);
	if (error != 0) {
		on_connect_failure(link, uv_strerror(error));
		return;
	}
	link->connected = true;
	send_request(link);
}

static void
on_connect_timeout(uv_timer_t *timer)
{
	on_connect_failure(timer->data, "connection timed out");
}

static upstream_conn_t *
upstream_conn_open(upstream_t *upstream)
{
	static const conn_callbacks_t conn_callbacks = {
	    .on_connect = on_connect, .on_data = on_data, .on_end = on_tcp_end};
	static const http1_callbacks_t reader_callbacks = {
	    .on_head = on_head, .on_body = on_body};
	upstream_conn_t *link = g_new0(upstream_conn_t, 1);

	link->tcp = conn_connect(upstream->loop, &upstream->address,
	    ACK_TIMEOUT_MS, &conn_callbacks, link);
	if (link->tcp == NULL) {
		g_free(link);
		return NULL;
	}
	link->upstream = upstream;
	link->refs = 1;
	link->idle_limit_ms = IDLE_DEFAULT_MS;
	link->reader = http1_reader_new(
	    HTTP1_RESPONSE, HEAD_MAX_BYTES, &reader_callbacks, link);
	uv_timer_init(upstream->loop, &link->timer);
	link->timer.data = link;
	uv_timer_start(&link->timer, on_connect_timeout, CONNECT_TIMEOUT_MS, 0);
	upstream->conn_count++;
	return link;
}

/* The connection used last, where it may still be used. */
static upstream_conn_t *
take_idle(upstream_t *upstream, int64_t reuse_idle_max_ms)
{
	upstream_conn_t *link = TAILQ_LAST(&upstream->idle, conn_list);
	int64_t idle_ms;

	if (link == NULL)
		return NULL;
	idle_ms = clock_boot_ms() - link->idle_since_ms;
	if (idle_ms > reuse_idle_max_ms || idle_ms >= link->idle_limit_ms)
		return NULL;
	TAILQ_REMOVE(&upstream->idle, link, entries);
	link->idle = false;
	return link;
}

upstream_t *
upstream_new(uv_loop_t *loop, const char *address)
{
	upstream_t *upstream = g_new0(upstream_t, 1);

	if (!conn_parse_address(address, &upstream->address)) {
		g_free(upstream);
		return NULL;
	}
	upstream->loop = loop;
	TAILQ_INIT(&upstream->idle);
	return upstream;
}

void
upstream_free(upstream_t *upstream)
{
	upstream_conn_t *link;

	if (upstream == NULL)
		return;
	while ((link = TAILQ_FIRST(&upstream->idle)) != NULL)
		upstream_conn_close(link);
	upstream->freed = true;
	upstream_free_if_unused(upstream);
}

upstream_call_t *
upstream_call_start(upstream_t *upstream, unsigned connections_max,
    const upstream_request_t *request)
{
	upstream_conn_t *link = take_idle(upstream, request->reuse_idle_max_ms);
	upstream_call_t *call;

	if (link == NULL && connections_max > 0 &&
	    upstream->conn_count >= connections_max) {
		/* An idle connection makes room where it is too old to use. */
		if (TAILQ_EMPTY(&upstream->idle))
			return NULL;
		upstream_conn_close(TAILQ_FIRST(&upstream->idle));
	}
	if (link == NULL)
		link = upstream_conn_open(upstream);
	if (link == NULL)
		return NULL;
	call = g_new0(upstream_call_t, 1);
	call->conn = link;
	call->request = *request;
	call->attempt_id = g_strdup(request->attempt_id);
	call->unsent =
	    g_string_sized_new(request->head_length + request->body_length + 1);
	g_string_append_len(
	    call->unsent, request->head, (gssize)request->head_length);
	g_string_append_len(
	    call->unsent, request->body, (gssize)request->body_length);
	link->call = call;
	if (link->connected)
		send_request(link);
	return call;
}

void
upstream_call_cancel(upstream_call_t *call)
{
	upstream_conn_t *link = call->conn;

	link->call = NULL;
	call_free(call);
	upstream_conn_close(link);
}

void
upstream_call_set_reading(upstream_call_t *call, bool reading)
{
	if (call->conn->tcp != NULL && call->conn->connected)
		conn_set_reading(call->conn->tcp, reading);
}

void
upstream_close_expired(upstream_t *upstream, int64_t now_ms)
{
	upstream_conn_t *link, *next;

	for (link = TAILQ_FIRST(&upstream->idle); link != NULL; link = next) {
		next = TAILQ_NEXT(link, entries);
		if (now_ms - link->idle_since_ms >= link->idle_limit_ms)
			upstream_conn_close(link);
	}
}
