#include "upstream.h"

#include "clock.h"
#include "conn.h"
#include "platform_request.h"

#include <string.h>
#include <sys/queue.h>

enum {
	CONNECT_TIMEOUT_MS = 400,
	/* For the loop to see a connection that was made in time. */
	CONNECT_SEEN_MS = 1,
	/* A connection whose data is not acknowledged for this long fails. */
	ACK_TIMEOUT_MS = 1500,
	/* Idle connections are closed this long before the server's idle
	 * timeout, so that no request is sent into a closing connection. */
	IDLE_MARGIN_MS = 700,
	/* Idle limit until the server states its timeout in Keep-Alive. */
	IDLE_DEFAULT_MS = 8000,
	HEAD_MAX_BYTES = 64 * 1024,
	/* Bodies up to this size are copied and sent along with the head;
	 * larger ones are not, as many may be in progress. */
	COPIED_BODY_MAX_BYTES = 16 * 1024,
	/* A connection that has carried more refusals is closed. */
	REFUSED_IDS_MAX = 16,
};

typedef TAILQ_HEAD(conn_list, upstream_conn) conn_list_t;

/* One connection. Freed once it is closed and no callback is running on it. */
typedef struct upstream_conn {
	TAILQ_ENTRY(upstream_conn) entries; /* in upstream_t.idle */
	upstream_t *upstream;
	conn_t *tcp; /* NULL once closed */
	uv_timer_t timer;
	http1_reader_t *reader;
	upstream_call_t *call; /* NULL if idle or cancelled */
	int64_t idle_since_ms;
	int64_t idle_limit_ms;
	/* Hashes of the attempt ids that the server refused here. */
	guint refused_ids[REFUSED_IDS_MAX];
	unsigned refused_count;
	unsigned refs; /* held by the timer and by running callbacks */
	bool connected;
	bool connect_overdue; /* see on_connect_timeout() */
	bool idle;
	bool reused;	 /* has carried an earlier request */
	bool discarding; /* reading a response to another request */
	bool no_reuse;	 /* close after the current response */
} upstream_conn_t;

struct upstream_call {
	upstream_conn_t *conn;
	upstream_request_t request;
	char *attempt_id;
	GString *unsent;	/* head and a small body, until connected */
	GByteArray *large_body; /* sent after it; NULL: none */
};

struct upstream {
	uv_loop_t *loop;
	struct sockaddr_in address;
	conn_list_t idle; /* longest idle first */
	unsigned conn_count;
	bool freed; /* upstream_free() was called; waits for connections */
};

static void
upstream_free_if_unused(upstream_t *upstream)
{
	if (upstream->freed && upstream->conn_count == 0)
		g_free(upstream);
}

static void
upstream_conn_unref(upstream_conn_t *conn)
{
	if (--conn->refs > 0)
		return;
	http1_reader_free(conn->reader);
	g_free(conn);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	upstream_conn_unref(handle->data);
}

static void
upstream_conn_close(upstream_conn_t *conn)
{
	upstream_t *upstream = conn->upstream;

	if (conn->tcp == NULL)
		return;
	conn_close(conn->tcp);
	conn->tcp = NULL;
	if (conn->idle)
		TAILQ_REMOVE(&upstream->idle, conn, entries);
	conn->idle = false;
	upstream->conn_count--;
	uv_close((uv_handle_t *)&conn->timer, on_timer_closed);
	upstream_free_if_unused(upstream);
}

static void
call_free(upstream_call_t *call)
{
	g_string_free(call->unsent, TRUE);
	if (call->large_body != NULL)
		g_byte_array_unref(call->large_body);
	g_free(call->attempt_id);
	g_free(call);
}

/* Ends and frees the connection's call. The response's head must still be
 * valid, for on_end. */
static void
call_end(upstream_conn_t *conn, upstream_result_t result, const char *reason)
{
	upstream_call_t *call = conn->call;

	if (call == NULL)
		return;
	conn->call = NULL;
	call->request.on_end(result, reason, call->request.data);
	call_free(call);
}

/*
 * True for a response to an earlier request on the connection, by its id. A
 * call without an id gets no id back.
 */
static bool
is_foreign(const upstream_call_t *call, const response_facts_t *facts)
{
	return facts->attempt_id != NULL &&
	       (call->attempt_id == NULL ||
		   strcmp(facts->attempt_id, call->attempt_id) != 0);
}

static void
note_refusal(upstream_conn_t *conn)
{
	if (conn->call->attempt_id == NULL)
		return;
	conn->refused_ids[conn->refused_count++] =
	    g_str_hash(conn->call->attempt_id);
	if (conn->refused_count == REFUSED_IDS_MAX)
		conn->no_reuse = true;
}

/*
 * True where the server has refused the attempt id on the connection. If the
 * client repeats the id, a second copy of that refusal could not be told from
 * the response.
 */
static bool
has_refused(const upstream_conn_t *conn, const char *attempt_id)
{
	if (attempt_id == NULL)
		return false;
	for (unsigned i = 0; i < conn->refused_count; i++)
		if (conn->refused_ids[i] == g_str_hash(attempt_id))
			return true;
	return false;
}

static bool
on_head(const http1_head_t *head, void *data)
{
	upstream_conn_t *conn = data;
	upstream_call_t *call = conn->call;
	response_facts_t facts;

	if (call == NULL)
		return false;
	platform_read_response(head, &facts);
	if (is_foreign(call, &facts)) {
		conn->discarding = true;
		conn->no_reuse = true;
		return true;
	}
	/*
	 * A success without an attempt id may belong to another request, and so
	 * may any response on a connection that has carried one.
	 */
	if (call->attempt_id != NULL && facts.attempt_id == NULL &&
	    (conn->reused || head->status < 300))
		return false;
	if (facts.not_run)
		note_refusal(conn);
	if (call->request.is_head_request)
		http1_reader_expect_no_body(conn->reader);
	if (!head->keep_alive)
		conn->no_reuse = true;
	if (facts.idle_timeout_ms >= 0)
		conn->idle_limit_ms = facts.idle_timeout_ms - IDLE_MARGIN_MS;
	call->request.on_head(head, &facts, call->request.data);
	return true;
}

static bool
on_body(const char *bytes, size_t length, void *data)
{
	upstream_conn_t *conn = data;

	if (conn->discarding)
		return true;
	if (conn->call == NULL)
		return false;
	conn->call->request.on_body(bytes, length, conn->call->request.data);
	return true;
}

static void
upstream_conn_keep(upstream_conn_t *conn)
{
	upstream_t *upstream = conn->upstream;

	if (conn->tcp == NULL)
		return;
	if (conn->no_reuse || upstream->freed || conn->idle_limit_ms <= 0 ||
	    conn_queued_bytes(conn->tcp) > 0) {
		upstream_conn_close(conn);
		return;
	}
	http1_reader_reset(conn->reader);
	conn_set_read_max(conn->tcp, 0);
	conn_set_reading(conn->tcp, true);
	conn->idle = true;
	conn->idle_since_ms = clock_boot_ms();
	TAILQ_INSERT_TAIL(&upstream->idle, conn, entries);
}

/* has_extra_bytes: unexpected bytes follow the response. */
static void
on_response_complete(upstream_conn_t *conn, bool has_extra_bytes)
{
	if (has_extra_bytes)
		conn->no_reuse = true;
	call_end(conn, UPSTREAM_COMPLETE, "");
	upstream_conn_keep(conn);
}

static void
upstream_conn_read(upstream_conn_t *conn, const char *bytes, size_t length)
{
	while (conn->tcp != NULL && conn->call != NULL) {
		size_t consumed =
		    http1_reader_feed(conn->reader, bytes, length);

		bytes += consumed;
		length -= consumed;
		switch (http1_reader_state(conn->reader)) {
		case HTTP1_READING:
			return;
		case HTTP1_FAILED:
			if (conn->call == NULL)
				return; /* cancelled by its callback */
			call_end(
			    conn, UPSTREAM_INCOMPLETE, "malformed response");
			upstream_conn_close(conn);
			return;
		case HTTP1_COMPLETE:
			if (!conn->discarding) {
				on_response_complete(conn, length > 0);
				return;
			}
			conn->discarding = false;
			http1_reader_reset(conn->reader);
			break;
		}
		if (length == 0)
			return;
	}
}

static void
on_data(conn_t *tcp, const char *bytes, size_t length, void *data)
{
	upstream_conn_t *conn = data;

	if (conn->call == NULL) {
		upstream_conn_close(conn); /* no request is in flight */
		return;
	}
	conn->refs++;
	upstream_conn_read(conn, bytes, length);
	upstream_conn_unref(conn);
}

static void
on_tcp_end(conn_t *tcp, int error, void *data)
{
	upstream_conn_t *conn = data;

	conn->refs++;
	if (conn->call != NULL && error == 0 && !conn->discarding &&
	    http1_reader_started(conn->reader))
		http1_reader_feed_eof(conn->reader);
	if (http1_reader_state(conn->reader) == HTTP1_COMPLETE)
		call_end(conn, UPSTREAM_COMPLETE, "");
	else if (error == 0)
		call_end(conn, UPSTREAM_CLOSED, "connection closed");
	else
		call_end(conn,
		    error == UV_ECONNRESET ? UPSTREAM_CLOSED
					   : UPSTREAM_INCOMPLETE,
		    uv_strerror(error));
	upstream_conn_close(conn);
	upstream_conn_unref(conn);
}

static void
send_request(upstream_conn_t *conn)
{
	upstream_call_t *call = conn->call;

	conn_write(conn->tcp, call->unsent->str, call->unsent->len);
	g_string_truncate(call->unsent, 0);
	if (call->large_body == NULL)
		return;
	conn_write_shared(conn->tcp, call->large_body);
	g_clear_pointer(&call->large_body, g_byte_array_unref);
}

static void
on_connect_failure(upstream_conn_t *conn, const char *reason)
{
	conn->refs++;
	call_end(conn, UPSTREAM_NOT_SENT, reason);
	upstream_conn_close(conn);
	upstream_conn_unref(conn);
}

static void
on_connect(conn_t *tcp, int error, void *data)
{
	upstream_conn_t *conn = data;

	uv_timer_stop(&conn->timer);
	if (error != 0) {
		on_connect_failure(conn, uv_strerror(error));
		return;
	}
	conn->connected = true;
	send_request(conn);
}

/* After a pause the loop runs the timer before it sees that a connection is
 * made. */
static void
on_connect_timeout(uv_timer_t *timer)
{
	upstream_conn_t *conn = timer->data;

	if (conn->connect_overdue || !conn_is_made(conn->tcp)) {
		on_connect_failure(conn, "connection timed out");
		return;
	}
	conn->connect_overdue = true;
	uv_timer_start(timer, on_connect_timeout, CONNECT_SEEN_MS, 0);
}

static upstream_conn_t *
upstream_conn_open(upstream_t *upstream)
{
	static const conn_callbacks_t conn_callbacks = {
	    .on_connect = on_connect, .on_data = on_data, .on_end = on_tcp_end};
	static const http1_callbacks_t reader_callbacks = {
	    .on_head = on_head, .on_body = on_body};
	upstream_conn_t *conn = g_new0(upstream_conn_t, 1);

	conn->tcp = conn_connect(upstream->loop, &upstream->address,
	    ACK_TIMEOUT_MS, &conn_callbacks, conn);
	if (conn->tcp == NULL) {
		g_free(conn);
		return NULL;
	}
	conn->upstream = upstream;
	conn->refs = 1;
	conn->idle_limit_ms = IDLE_DEFAULT_MS;
	conn->reader = http1_reader_new(
	    HTTP1_RESPONSE, HEAD_MAX_BYTES, &reader_callbacks, conn);
	uv_timer_init(upstream->loop, &conn->timer);
	conn->timer.data = conn;
	uv_timer_start(&conn->timer, on_connect_timeout, CONNECT_TIMEOUT_MS, 0);
	upstream->conn_count++;
	return conn;
}

/*
 * The most recently used idle connection; NULL: none. Those that have ended, or
 * have bytes that belong to no request, are closed: the loop has not read yet.
 */
static upstream_conn_t *
last_idle(upstream_t *upstream)
{
	upstream_conn_t *conn;

	while ((conn = TAILQ_LAST(&upstream->idle, conn_list)) != NULL &&
	       conn_unread(conn->tcp) != CONN_UNREAD_NONE)
		upstream_conn_close(conn);
	return conn;
}

/*
 * Takes that connection; NULL if it is too old, or the response on it might be
 * mistaken.
 */
static upstream_conn_t *
take_idle(upstream_t *upstream, const upstream_request_t *request)
{
	upstream_conn_t *conn = last_idle(upstream);
	int64_t idle_ms;

	if (conn == NULL)
		return NULL;
	idle_ms = clock_boot_ms() - conn->idle_since_ms;
	if (idle_ms > request->reuse_idle_max_ms ||
	    idle_ms >= conn->idle_limit_ms ||
	    has_refused(conn, request->attempt_id))
		return NULL;
	TAILQ_REMOVE(&upstream->idle, conn, entries);
	conn->idle = false;
	conn->reused = true;
	return conn;
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
	upstream_conn_t *conn;

	if (upstream == NULL)
		return;
	while ((conn = TAILQ_FIRST(&upstream->idle)) != NULL)
		upstream_conn_close(conn);
	upstream->freed = true;
	upstream_free_if_unused(upstream);
}

static void
set_unsent(upstream_call_t *call, const upstream_request_t *request)
{
	call->unsent =
	    g_string_new_len(request->head, (gssize)request->head_length);
	if (request->body == NULL)
		return;
	if (request->body->len > COPIED_BODY_MAX_BYTES)
		call->large_body = g_byte_array_ref(request->body);
	else
		g_string_append_len(call->unsent,
		    (const char *)request->body->data,
		    (gssize)request->body->len);
}

upstream_call_t *
upstream_call_start(upstream_t *upstream, unsigned connections_max,
    const upstream_request_t *request)
{
	upstream_conn_t *conn =
	    request->own_connection ? NULL : take_idle(upstream, request);
	upstream_call_t *call;

	if (conn == NULL && connections_max > 0 &&
	    upstream->conn_count >= connections_max) {
		/* No idle connection was reusable; close one to make room. */
		if (TAILQ_EMPTY(&upstream->idle))
			return NULL;
		upstream_conn_close(TAILQ_FIRST(&upstream->idle));
	}
	if (conn == NULL)
		conn = upstream_conn_open(upstream);
	if (conn == NULL)
		return NULL;
	conn->no_reuse |= request->own_connection;
	call = g_new0(upstream_call_t, 1);
	call->conn = conn;
	call->request = *request;
	call->attempt_id = g_strdup(request->attempt_id);
	set_unsent(call, request);
	conn->call = call;
	if (conn->connected)
		send_request(conn);
	return call;
}

void
upstream_call_cancel(upstream_call_t *call)
{
	upstream_conn_t *conn = call->conn;

	conn->call = NULL;
	call_free(call);
	upstream_conn_close(conn);
}

bool
upstream_call_has_unread(const upstream_call_t *call)
{
	const upstream_conn_t *conn = call->conn;

	return conn->tcp != NULL && conn->connected &&
	       conn_unread(conn->tcp) != CONN_UNREAD_NONE;
}

void
upstream_call_set_reading(upstream_call_t *call, bool reading)
{
	if (call->conn->tcp != NULL && call->conn->connected)
		conn_set_reading(call->conn->tcp, reading);
}

void
upstream_call_set_read_max(upstream_call_t *call, size_t bytes)
{
	if (call->conn->tcp != NULL)
		conn_set_read_max(call->conn->tcp, bytes);
}

void
upstream_close_expired(upstream_t *upstream, int64_t now_ms)
{
	upstream_conn_t *conn, *next;

	for (conn = TAILQ_FIRST(&upstream->idle); conn != NULL; conn = next) {
		next = TAILQ_NEXT(conn, entries);
		if (now_ms - conn->idle_since_ms >= conn->idle_limit_ms)
			upstream_conn_close(conn);
	}
}
