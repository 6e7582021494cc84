#include "http1_server_state.h"

#include "clock.h"
#include "error.h"

#include <string.h>

enum {
	LISTEN_BACKLOG = 1024,
	/* Reading stops when more pipelined bytes than this are buffered. */
	PIPELINED_MAX_BYTES = 64 * 1024,
	/* Most that is read at once while a request is in progress. */
	PIPELINED_READ_BYTES = 4 * 1024,
	/* Pipelined requests wait while more than this is queued. */
	UNREAD_MAX_BYTES = 64 * 1024,
	/*
	 * Most that all connections together should take of a round of the
	 * loop, so that many clients that send much delay no other request.
	 */
	ROUND_BYTES = 4 * 1024 * 1024,
	ROUND_REQUESTS = 1024,
	/* Of it, the parts of one connection. */
	READ_MIN_BYTES = 4 * 1024,
	READ_MAX_BYTES = 64 * 1024,
	REQUESTS_MAX = 16,
	/* A timer that starts itself with 0 ms would not let the loop go on. */
	RESUME_MS = 1,
	/* For the loop to read what has come by the time limit of a request. */
	OVERDUE_READ_MS = 100,
	/* Idle connections that a new one looks at for one to close. */
	LOOKS_MAX = 16,
	/* Allowance for the request target and terminators: the limit in the
	 * settings counts header names and values only. */
	HEAD_OVERHEAD_BYTES = 4096,
	/* A client that takes none of the queued bytes for so long is reset. */
	STALL_MS = 5000,
	STATUS_BAD_REQUEST = 400,
	STATUS_TIMEOUT = 408,
	STATUS_TOO_LARGE = 413,
	STATUS_HEAD_TOO_LARGE = 431,
	STATUS_UNAVAILABLE = 503,
};

static const struct refusal_kind {
	const char *name;
	unsigned status; /* 0: none can be sent */
} refusal_kinds[HTTP1_REFUSAL_COUNT] = {
    [HTTP1_REFUSED_ANNOUNCED] = {"announced", STATUS_TOO_LARGE},
    [HTTP1_REFUSED_BODY] = {"body", STATUS_TOO_LARGE},
    [HTTP1_REFUSED_HEAD] = {"head", STATUS_HEAD_TOO_LARGE},
    [HTTP1_REFUSED_MALFORMED] = {"malformed", STATUS_BAD_REQUEST},
    [HTTP1_REFUSED_TIMEOUT] = {"timeout", STATUS_TIMEOUT},
    [HTTP1_REFUSED_MEMORY] = {"memory", STATUS_UNAVAILABLE},
    [HTTP1_REFUSED_UNREAD] = {"unread", 0},
    [HTTP1_REFUSED_CONNECTIONS] = {"connections", STATUS_UNAVAILABLE},
};

static const char *const loss_names[HTTP1_LOSS_COUNT] = {
    [HTTP1_LOST_ABORTED] = "aborted",
    [HTTP1_LOST_BEHIND] = "behind",
    [HTTP1_LOST_LATE] = "late",
};

static const catalog_limits_t *
limits(const http1_server_t *server)
{
	return server->options.limits(server->options.data);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	client_t *client = handle->data;

	g_free(client);
}

static void
set_phase(client_t *client, client_phase_t phase)
{
	client->phase = phase;
	/* A request in progress may run, and cannot be refused. */
	memory_charge_set_evictable(&client->received, phase != CLIENT_BUSY);
}

/* Frees what was received and has not been passed on. */
static void
drop_received(client_t *client)
{
	http1_reader_free(client->reader);
	client->reader = NULL;
	g_byte_array_unref(client->body);
	g_byte_array_unref(client->pipelined);
	client->body = g_byte_array_new();
	client->pipelined = g_byte_array_new();
	memory_charge_set(&client->received, 0);
	if (client->resumable)
		TAILQ_REMOVE(
		    &client->server->resumable, client, resumable_entries);
	client->resumable = false;
}

/* Memory held for a client, when the body grows by so many bytes. */
static size_t
received_memory(const client_t *client, size_t added)
{
	return (client->reader == NULL ? 0
				       : http1_reader_memory(client->reader)) +
	       memory_array_capacity(client->body->len + added) +
	       memory_array_capacity(client->pipelined->len);
}

static void
update_received(client_t *client)
{
	memory_charge_set(&client->received, received_memory(client, 0));
}

static void
on_eviction(uv_timer_t *timer)
{
	http1_server_t *server = timer->data;
	memory_budget_t *queued = server->options.memory->queued;
	memory_charge_t *charge;

	while (
	    (charge = memory_budget_excess(queued, clock_mono_ms())) != NULL) {
		client_t *client = charge->holder;

		client->server->refusals[HTTP1_REFUSED_UNREAD]++;
		http1_server_reset_client(client);
	}
}

/*
 * Charges what is queued to the client. Clients that must be reset for it are
 * reset in the next round of the loop, since this one may be forwarding a
 * response to one of them.
 */
static void
update_queued(client_t *client)
{
	http1_server_t *server = client->server;
	size_t bytes = conn_queue_memory(client->conn);
	int64_t now_ms;

	if (bytes == client->queued.bytes)
		return;
	now_ms = clock_mono_ms();
	if (bytes < client->queued.bytes)
		memory_charge_add_progress(
		    &client->queued, client->queued.bytes - bytes, now_ms);
	memory_charge_set(&client->queued, bytes);
	if (memory_budget_excess(server->options.memory->queued, now_ms) !=
	    NULL)
		uv_timer_start(&server->eviction_timer, on_eviction, 0, 0);
}

void
http1_server_write(client_t *client, const char *bytes, size_t length)
{
	conn_write(client->conn, bytes, length);
	update_queued(client);
}

/* Removes the client from the server; its connection must be closed already. */
static void
client_remove(client_t *client)
{
	http1_server_t *server = client->server;
	exchange_t *exchange = client->exchange;

	client->conn = NULL;
	drop_received(client);
	g_byte_array_unref(client->body);
	g_byte_array_unref(client->pipelined);
	memory_charge_release(&client->received);
	memory_charge_release(&client->queued);
	TAILQ_REMOVE(&server->clients, client, entries);
	server->connections--;
	server->options.memory->connections--;
	if (exchange != NULL) {
		client->exchange = NULL;
		exchange->client = NULL;
		server->active_requests--;
	}
	uv_close((uv_handle_t *)&client->timer, on_timer_closed);
	if (exchange == NULL)
		return;
	if (exchange->on_disconnect != NULL)
		exchange->on_disconnect(exchange->data);
	exchange_unref(exchange);
}

static void
count_aborted(const client_t *client)
{
	if (client->exchange != NULL)
		client->server->losses[HTTP1_LOST_ABORTED]++;
}

void
http1_server_close_client(client_t *client)
{
	count_aborted(client);
	conn_close(client->conn);
	client_remove(client);
}

void
http1_server_reset_client(client_t *client)
{
	count_aborted(client);
	conn_reset(client->conn);
	client_remove(client);
}

void
http1_server_add_status_line(GString *out, unsigned status)
{
	g_string_append_printf(
	    out, "HTTP/1.1 %u %s\r\n", status, http1_reason_phrase(status));
}

static void on_timeout(uv_timer_t *timer);

static void
start_timer(client_t *client, int64_t timeout_ms)
{
	uv_timer_start(&client->timer, on_timeout, (uint64_t)timeout_ms, 0);
}

bool
http1_server_has_bytes_behind(const client_t *client)
{
	return client->pipelined->len > 0 || client->unparsed_bytes > 0;
}

void
http1_server_shutdown_client(client_t *client)
{
	uint64_t *losses = client->server->losses;

	if (http1_server_has_bytes_behind(client)) {
		losses[HTTP1_LOST_BEHIND]++;
		client->reset_after = !client->reads_to_end;
	}
	client->queued_bytes = conn_queued_bytes(client->conn);
	if (client->queued_bytes > 0) {
		set_phase(client, CLIENT_CLOSING);
		client->overdue = false;
		drop_received(client);
		if (!client->refused)
			conn_set_reading(client->conn, false);
		start_timer(client, STALL_MS);
		return;
	}
	if (client->reset_after)
		conn_reset_after(client->conn);
	else
		conn_shutdown(client->conn,
		    client->refused ? NULL : &losses[HTTP1_LOST_LATE]);
	client_remove(client);
}

/*
 * Refuses a request that has not been passed to the handler, then closes. What
 * was received of it is freed at once.
 */
static void
client_refuse(client_t *client, http1_refusal_t reason)
{
	unsigned status = refusal_kinds[reason].status;
	GString *out = g_string_new(NULL);

	client->server->refusals[reason]++;
	client->refused = true;
	client->unparsed_bytes = 0;
	drop_received(client);
	http1_server_add_status_line(out, status);
	if (status == STATUS_UNAVAILABLE)
		g_string_append(out, "Retry-After: 1\r\n");
	g_string_append(out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
	http1_server_write(client, out->str, out->len);
	g_string_free(out, TRUE);
	http1_server_shutdown_client(client);
}

/*
 * Charges what the client holds, and added bytes of body. Refuses the clients
 * that must go for it; false where this one must.
 */
static bool
charge_received(client_t *client, size_t added)
{
	memory_budget_t *budget = client->server->options.memory->received;
	memory_charge_t *charge;

	memory_charge_set(&client->received, received_memory(client, added));
	while (
	    (charge = memory_budget_excess(budget, clock_mono_ms())) != NULL) {
		if (charge == &client->received)
			return false;
		client_refuse(charge->holder, HTTP1_REFUSED_MEMORY);
	}
	return true;
}

/*
 * Resets a client that does not read, so that it cannot take what it has for a
 * complete response. After a pause of the process, the loop first sends what
 * the client made room for.
 */
static void
on_closing_timeout(client_t *client)
{
	size_t queued_bytes = conn_queued_bytes(client->conn);
	bool stalled = queued_bytes == client->queued_bytes;

	if (stalled && client->overdue) {
		http1_server_reset_client(client);
		return;
	}
	client->queued_bytes = queued_bytes;
	client->overdue = stalled;
	start_timer(client, stalled ? RESUME_MS : STALL_MS);
}

/*
 * Closes a connection without a request; false where one has come. There is no
 * lingering once the client has taken the last response: what the client sends
 * into the close must not be read, so that it can send it again elsewhere.
 */
static bool
close_if_idle(client_t *client)
{
	if (client->phase != CLIENT_IDLE || client->pipelined->len > 0 ||
	    conn_unread(client->conn) == CONN_UNREAD_BYTES)
		return false;
	if (conn_unsent_bytes(client->conn) > 0)
		http1_server_shutdown_client(client);
	else
		http1_server_close_client(client);
	return true;
}

/* Restarts the timer if the limit was raised while it ran. */
static void
on_idle_timeout(client_t *client)
{
	int64_t remaining_ms = client->idle_since_ms +
			       limits(client->server)->idle_timeout_ms -
			       clock_mono_ms();

	if (remaining_ms > 0)
		start_timer(client, remaining_ms);
	else if (client->pipelined->len > 0)
		http1_server_shutdown_client(client);
	else if (!close_if_idle(client))
		start_timer(client, limits(client->server)->idle_timeout_ms);
}

/*
 * Lets the loop read what came in time, after a pause of the process: once, as
 * a client may send a byte now and then.
 */
static void
on_request_timeout(client_t *client)
{
	if (client->overdue || conn_unread(client->conn) != CONN_UNREAD_BYTES) {
		client_refuse(client, HTTP1_REFUSED_TIMEOUT);
		return;
	}
	client->overdue = true;
	start_timer(client, OVERDUE_READ_MS);
}

static void
on_timeout(uv_timer_t *timer)
{
	client_t *client = timer->data;

	switch (client->phase) {
	case CLIENT_IDLE:
		on_idle_timeout(client);
		return;
	case CLIENT_READING:
		on_request_timeout(client);
		return;
	case CLIENT_CLOSING:
		on_closing_timeout(client);
		return;
	case CLIENT_BUSY:
		return;
	}
}

static void
enter_idle(client_t *client)
{
	set_phase(client, CLIENT_IDLE);
	client->idle_since_ms = clock_mono_ms();
	start_timer(client, limits(client->server)->idle_timeout_ms);
}

/*
 * Largest body that is accepted: by the configuration, and by the memory of
 * this host where that is less than one body of that size.
 */
static size_t
body_max(const http1_server_t *server)
{
	return MIN(limits(server)->body_bytes,
	    memory_budget_largest(server->options.memory->received) / 2);
}

static bool
on_head(const http1_head_t *head, void *data)
{
	static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
	client_t *client = data;

	client->body_max = body_max(client->server);
	if (head->body_length > (int64_t)client->body_max) {
		client->refusal = HTTP1_REFUSED_ANNOUNCED;
		return false;
	}
	start_timer(client, limits(client->server)->idle_timeout_ms);
	if (http1_head_get(head, "expect") != NULL)
		http1_server_write(
		    client, continue_response, strlen(continue_response));
	return true;
}

static bool
on_body(const char *bytes, size_t length, void *data)
{
	client_t *client = data;

	if (client->body->len + length > client->body_max) {
		client->refusal = HTTP1_REFUSED_BODY;
		return false;
	}
	memory_charge_add_progress(&client->received, length, clock_mono_ms());
	if (!charge_received(client, length)) {
		client->refusal = HTTP1_REFUSED_MEMORY;
		return false;
	}
	g_byte_array_append(client->body, (const guint8 *)bytes, (guint)length);
	return true;
}

static http1_reader_t *
reader_new(client_t *client)
{
	static const http1_callbacks_t callbacks = {
	    .on_head = on_head, .on_body = on_body};

	return http1_reader_new(HTTP1_REQUEST,
	    limits(client->server)->head_bytes + HEAD_OVERHEAD_BYTES,
	    &callbacks, client);
}

/* Passes the complete request to the handler. */
static void
client_dispatch(client_t *client)
{
	http1_server_t *server = client->server;
	exchange_t *exchange = g_new0(exchange_t, 1);
	const http1_head_t *head;

	exchange->refs = 2; /* the connection's and the handler's */
	exchange->client = client;
	exchange->memory = server->options.memory;
	memory_charge_init(
	    &exchange->request, exchange->memory->received, NULL);
	memory_charge_init(&exchange->response, exchange->memory->queued, NULL);
	memory_charge_set(&exchange->request,
	    received_memory(client, 0) -
		memory_array_capacity(client->pipelined->len));
	exchange->request_reader = client->reader;
	exchange->request_body = client->body;
	exchange->received_ms = client->received_ms;
	client->reader = NULL;
	client->body = g_byte_array_new();
	update_received(client);
	head = exchange_request_head(exchange);
	exchange->keep_alive = head->keep_alive;
	exchange->is_head_request = strcmp(head->method, "HEAD") == 0;
	client->exchange = exchange;
	set_phase(client, CLIENT_BUSY);
	uv_timer_stop(&client->timer);
	server->active_requests++;
	server->options.on_request(exchange, server->options.data);
}

/* What a connection may have of something that all share in a round. */
static unsigned
round_part(const client_t *client, unsigned all, unsigned min, unsigned max)
{
	unsigned part = all / client->server->options.memory->connections;

	return CLAMP(part, min, max);
}

/* Most bytes that are read from the client in a round of the loop. */
static size_t
read_max(const client_t *client)
{
	return client->phase == CLIENT_BUSY
		   ? PIPELINED_READ_BYTES
		   : round_part(
			 client, ROUND_BYTES, READ_MIN_BYTES, READ_MAX_BYTES);
}

static void
start_request(client_t *client)
{
	set_phase(client, CLIENT_READING);
	client->refusal = HTTP1_REFUSED_MALFORMED;
	client->overdue = false;
	client->received_ms = clock_boot_ms();
	client->reader = reader_new(client);
	start_timer(client, limits(client->server)->head_timeout_ms);
}

/* Reads at most to the end of one request; returns the bytes consumed. */
static size_t
read_request(client_t *client, const char *bytes, size_t length)
{
	size_t consumed;

	if (client->phase == CLIENT_IDLE)
		start_request(client);
	consumed = http1_reader_feed(client->reader, bytes, length);
	switch (http1_reader_state(client->reader)) {
	case HTTP1_READING:
		if (!charge_received(client, 0))
			client_refuse(client, HTTP1_REFUSED_MEMORY);
		return consumed;
	case HTTP1_COMPLETE:
		client->unparsed_bytes = length - consumed;
		client_dispatch(client);
		return consumed;
	case HTTP1_FAILED:
		break;
	}
	if (client->refusal == HTTP1_REFUSED_MALFORMED &&
	    http1_reader_head_too_large(client->reader))
		client->refusal = HTTP1_REFUSED_HEAD;
	client_refuse(client, client->refusal);
	return consumed;
}

/* True where the next request may be read. */
static bool
may_read(const client_t *client)
{
	return client->conn != NULL &&
	       (client->phase == CLIENT_IDLE ||
		   client->phase == CLIENT_READING) &&
	       conn_queued_bytes(client->conn) <= UNREAD_MAX_BYTES;
}

static void on_resume(uv_timer_t *timer);

/* Parses the client's pipelined bytes in the next round of the loop. */
static void
resume_later(client_t *client)
{
	http1_server_t *server = client->server;

	if (client->resumable)
		return;
	client->resumable = true;
	TAILQ_INSERT_TAIL(&server->resumable, client, resumable_entries);
	uv_timer_start(&server->resume_timer, on_resume, RESUME_MS, 0);
}

/*
 * Keeps bytes that are read later, and stops reading more of them where there
 * are enough.
 */
static void
keep_pipelined(client_t *client, const char *bytes, size_t length)
{
	GByteArray *pipelined = client->pipelined;
	bool busy = client->phase == CLIENT_BUSY;
	size_t pipelined_max = memory_budget_queue_max(
	    client->server->options.memory->received, PIPELINED_MAX_BYTES);

	g_byte_array_append(pipelined, (const guint8 *)bytes, (guint)length);
	conn_set_read_max(client->conn, read_max(client));
	conn_set_reading(client->conn,
	    busy ? pipelined->len <= pipelined_max : pipelined->len == 0);
	if (pipelined->len > 0 && may_read(client))
		resume_later(client);
	if (!charge_received(client, 0))
		client_refuse(client, HTTP1_REFUSED_MEMORY);
}

static void
client_read(client_t *client, const char *bytes, size_t length)
{
	unsigned requests = round_part(client, ROUND_REQUESTS, 1, REQUESTS_MAX);

	client->parsing = true;
	for (; requests > 0 && length > 0 && may_read(client); requests--) {
		size_t consumed = read_request(client, bytes, length);

		bytes += consumed;
		length -= consumed;
	}
	client->parsing = false;
	client->unparsed_bytes = 0;
	if (client->conn != NULL && client->phase != CLIENT_CLOSING)
		keep_pipelined(client, bytes, length);
}

/* Parses bytes that were kept. */
static void
read_pipelined(client_t *client)
{
	GByteArray *pipelined = client->pipelined;

	client->pipelined = g_byte_array_new();
	client_read(client, (const char *)pipelined->data, pipelined->len);
	g_byte_array_unref(pipelined);
}

static void
on_resume(uv_timer_t *timer)
{
	http1_server_t *server = timer->data;
	client_t *client;
	unsigned count = 0;

	/* Those that are added meanwhile wait for the next round. */
	TAILQ_FOREACH (client, &server->resumable, resumable_entries)
		count++;
	while (
	    count-- > 0 && (client = TAILQ_FIRST(&server->resumable)) != NULL) {
		TAILQ_REMOVE(&server->resumable, client, resumable_entries);
		client->resumable = false;
		if (may_read(client))
			read_pipelined(client);
	}
}

static void
on_data(conn_t *conn, const char *bytes, size_t length, void *data)
{
	client_t *client = data;

	if (client->phase == CLIENT_CLOSING)
		return;
	if (client->phase == CLIENT_BUSY || client->pipelined->len > 0)
		keep_pipelined(client, bytes, length);
	else
		client_read(client, bytes, length);
}

static void
on_end(conn_t *conn, int error, void *data)
{
	conn_close(conn);
	client_remove(data);
}

static void
on_write_progress(conn_t *conn, void *data)
{
	update_queued(data);
}

static void
on_write_queue_empty(conn_t *conn, void *data)
{
	client_t *client = data;

	if (client->pipelined->len > 0 && may_read(client))
		resume_later(client);
	if (client->phase == CLIENT_CLOSING)
		http1_server_shutdown_client(client);
	else if (client->exchange != NULL &&
		 client->exchange->on_write_queue_empty != NULL)
		client->exchange->on_write_queue_empty(client->exchange->data);
}

/* Makes room for a new connection. */
static void
close_oldest_idle(http1_server_t *server)
{
	client_t *client;
	unsigned looks = 0;

	TAILQ_FOREACH (client, &server->clients, entries) {
		if (client->phase != CLIENT_IDLE)
			continue;
		if (close_if_idle(client) || ++looks == LOOKS_MAX)
			return;
	}
}

static unsigned
open_sockets(const http1_server_t *server)
{
	return server->options.memory->connections + conn_lingering_count();
}

/*
 * Refuses the oldest request that is not complete, or has not been read; false
 * if there is none.
 */
static bool
refuse_oldest_unread(http1_server_t *server)
{
	client_t *client;

	TAILQ_FOREACH (client, &server->clients, entries) {
		if (client->phase != CLIENT_READING &&
		    client->phase != CLIENT_IDLE)
			continue;
		if (!close_if_idle(client))
			client_refuse(client, HTTP1_REFUSED_CONNECTIONS);
		return true;
	}
	return false;
}

/* Makes a descriptor free for a new connection; false if that is impossible. */
static bool
make_room(http1_server_t *server)
{
	if (server->connections >= server->options.connections_max)
		close_oldest_idle(server);
	if (open_sockets(server) < server->options.sockets_max)
		return true;
	if (conn_lingering_count() == 0 && !refuse_oldest_unread(server))
		return false;
	conn_close_oldest_lingering();
	return open_sockets(server) < server->options.sockets_max;
}

static void
refuse_connection(http1_server_t *server, uv_stream_t *listener)
{
	static const conn_callbacks_t callbacks = {0};
	conn_t *conn = conn_accept(listener, &callbacks, NULL);

	server->refusals[HTTP1_REFUSED_CONNECTIONS]++;
	if (conn != NULL)
		conn_close(conn);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	static const conn_callbacks_t callbacks = {.on_data = on_data,
	    .on_end = on_end,
	    .on_write_progress = on_write_progress,
	    .on_write_queue_empty = on_write_queue_empty};
	http1_server_t *server = listener->data;
	client_t *client;

	if (status != 0)
		return;
	if (!make_room(server)) {
		refuse_connection(server, listener);
		return;
	}
	client = g_new0(client_t, 1);
	client->conn = conn_accept(listener, &callbacks, client);
	if (client->conn == NULL) {
		g_free(client);
		return;
	}
	client->server = server;
	client->body = g_byte_array_new();
	client->pipelined = g_byte_array_new();
	memory_charge_init(
	    &client->received, server->options.memory->received, client);
	memory_charge_init(
	    &client->queued, server->options.memory->queued, client);
	memory_charge_set_evictable(&client->queued, true);
	uv_timer_init(listener->loop, &client->timer);
	client->timer.data = client;
	TAILQ_INSERT_TAIL(&server->clients, client, entries);
	server->connections++;
	server->options.memory->connections++;
	server->accepted++;
	enter_idle(client);
	conn_set_read_max(client->conn, read_max(client));
}

http1_server_t *
http1_server_start(
    uv_loop_t *loop, const http1_server_options_t *options, GError **error)
{
	http1_server_t *server = g_new0(http1_server_t, 1);
	struct sockaddr_in address;
	int rc;

	server->options = *options;
	TAILQ_INIT(&server->clients);
	TAILQ_INIT(&server->resumable);
	server->listener.data = server;
	if (!conn_parse_listen_address(options->address, &address)) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "\"%s\" is not IP:PORT; correct it", options->address);
		g_free(server);
		return NULL;
	}
	uv_timer_init(loop, &server->resume_timer);
	server->resume_timer.data = server;
	uv_timer_init(loop, &server->eviction_timer);
	server->eviction_timer.data = server;
	uv_tcp_init(loop, &server->listener);
	rc = uv_tcp_bind(
	    &server->listener, (const struct sockaddr *)&address, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
		    on_connection);
	if (rc == 0)
		return server;
	papaya_error_set(error, PAPAYA_ERROR_INTERNAL,
	    "cannot listen on %s: %s", options->address, uv_strerror(rc));
	return NULL;
}

int
http1_server_port(const http1_server_t *server)
{
	struct sockaddr_in address = {0};
	int length = sizeof(address);

	uv_tcp_getsockname(
	    &server->listener, (struct sockaddr *)&address, &length);
	return ntohs(address.sin_port);
}

void
http1_server_drain(http1_server_t *server)
{
	server->draining = true;
}

void
http1_server_close_idle(http1_server_t *server, int64_t min_idle_ms)
{
	int64_t idle_since_max_ms = clock_mono_ms() - min_idle_ms;
	client_t *client, *next;

	for (client = TAILQ_FIRST(&server->clients); client != NULL;
	     client = next) {
		next = TAILQ_NEXT(client, entries);
		if (client->idle_since_ms <= idle_since_max_ms)
			close_if_idle(client);
	}
}

uint64_t
http1_server_accepted(const http1_server_t *server)
{
	return server->accepted;
}

unsigned
http1_server_connections(const http1_server_t *server)
{
	return server->connections;
}

unsigned
http1_server_active_requests(const http1_server_t *server)
{
	return server->active_requests;
}

uint64_t
http1_server_refusals(const http1_server_t *server, http1_refusal_t reason)
{
	return server->refusals[reason];
}

const char *
http1_refusal_name(http1_refusal_t reason)
{
	return refusal_kinds[reason].name;
}

uint64_t
http1_server_losses(const http1_server_t *server, http1_loss_t loss)
{
	return server->losses[loss];
}

const char *
http1_loss_name(http1_loss_t loss)
{
	return loss_names[loss];
}

void
http1_server_await_request(client_t *client)
{
	TAILQ_REMOVE(&client->server->clients, client, entries);
	TAILQ_INSERT_TAIL(&client->server->clients, client, entries);
	enter_idle(client);
	if (client->parsing)
		return; /* client_read() goes on with the rest */
	if (client->pipelined->len > 0)
		read_pipelined(client);
	else
		keep_pipelined(client, "", 0);
}
