#include "http1_server_state.h"

#include "clock.h"
#include "error.h"

#include <string.h>

enum {
	LISTEN_BACKLOG = 1024,
	/* Reading stops when more pipelined bytes than this are buffered. */
	PIPELINED_MAX_BYTES = 64 * 1024,
	/* Allowance for the request target and terminators: the limit in the
	 * settings counts header names and values only. */
	HEAD_OVERHEAD_BYTES = 4096,
	/* A client that reads none of the queued bytes for so long is reset. */
	STALL_MS = 5000,
	STATUS_BAD_REQUEST = 400,
	STATUS_TIMEOUT = 408,
	STATUS_TOO_LARGE = 413,
	STATUS_HEAD_TOO_LARGE = 431,
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

	http1_reader_free(client->reader);
	g_byte_array_unref(client->body);
	g_byte_array_unref(client->pipelined);
	g_free(client);
}

/* Removes the client from the server; its connection must be closed already. */
static void
client_remove(client_t *client)
{
	http1_server_t *server = client->server;
	exchange_t *exchange = client->exchange;

	client->conn = NULL;
	TAILQ_REMOVE(&server->clients, client, entries);
	server->connections--;
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

void
http1_server_close_client(client_t *client)
{
	conn_close(client->conn);
	client_remove(client);
}

void
http1_server_reset_client(client_t *client)
{
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

void
http1_server_shutdown_client(client_t *client)
{
	client->queued_bytes = conn_queued_bytes(client->conn);
	if (client->queued_bytes > 0) {
		client->phase = CLIENT_CLOSING;
		start_timer(client, STALL_MS);
		return;
	}
	conn_shutdown(client->conn);
	client_remove(client);
}

/* Sends an error response to an unreadable request, then closes. */
static void
client_reject(client_t *client, unsigned status)
{
	GString *out = g_string_new(NULL);

	http1_server_add_status_line(out, status);
	g_string_append(out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
	conn_write(client->conn, out->str, out->len);
	g_string_free(out, TRUE);
	http1_server_shutdown_client(client);
}

/*
 * Resets a client that does not read, so that it cannot take what it has for a
 * complete response.
 */
static void
on_closing_timeout(client_t *client)
{
	size_t queued_bytes = conn_queued_bytes(client->conn);

	if (queued_bytes == client->queued_bytes) {
		http1_server_reset_client(client);
		return;
	}
	client->queued_bytes = queued_bytes;
	start_timer(client, STALL_MS);
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
	else
		http1_server_shutdown_client(client);
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
		client_reject(client, STATUS_TIMEOUT);
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
	client->phase = CLIENT_IDLE;
	client->idle_since_ms = clock_mono_ms();
	start_timer(client, limits(client->server)->idle_timeout_ms);
}

static bool
on_head(const http1_head_t *head, void *data)
{
	static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
	client_t *client = data;

	start_timer(client, limits(client->server)->idle_timeout_ms);
	if (http1_head_get(head, "expect") != NULL)
		conn_write(
		    client->conn, continue_response, strlen(continue_response));
	return true;
}

static bool
on_body(const char *bytes, size_t length, void *data)
{
	client_t *client = data;
	size_t body_max = limits(client->server)->body_bytes;

	if (client->body->len + length > body_max) {
		client->body_too_large = true;
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
	exchange->request_reader = client->reader;
	exchange->request_body = client->body;
	exchange->received_ms = client->received_ms;
	client->reader = reader_new(client);
	client->body = g_byte_array_new();
	head = exchange_request_head(exchange);
	exchange->keep_alive = head->keep_alive;
	exchange->is_head_request = strcmp(head->method, "HEAD") == 0;
	client->exchange = exchange;
	client->phase = CLIENT_BUSY;
	uv_timer_stop(&client->timer);
	server->active_requests++;
	server->options.on_request(exchange, server->options.data);
}

static void
client_read(client_t *client, const char *bytes, size_t length)
{
	size_t consumed;

	if (client->phase == CLIENT_IDLE) {
		client->phase = CLIENT_READING;
		client->received_ms = clock_boot_ms();
		start_timer(client, limits(client->server)->head_timeout_ms);
	}
	consumed = http1_reader_feed(client->reader, bytes, length);
	switch (http1_reader_state(client->reader)) {
	case HTTP1_READING:
		return;
	case HTTP1_COMPLETE:
		g_byte_array_append(client->pipelined,
		    (const guint8 *)bytes + consumed,
		    (guint)(length - consumed));
		client_dispatch(client);
		return;
	case HTTP1_FAILED:
		break;
	}
	if (client->body_too_large)
		client_reject(client, STATUS_TOO_LARGE);
	else if (http1_reader_head_too_large(client->reader))
		client_reject(client, STATUS_HEAD_TOO_LARGE);
	else
		client_reject(client, STATUS_BAD_REQUEST);
}

static void
on_data(conn_t *conn, const char *bytes, size_t length, void *data)
{
	client_t *client = data;

	if (client->phase == CLIENT_CLOSING)
		return;
	if (client->phase != CLIENT_BUSY) {
		client_read(client, bytes, length);
		return;
	}
	g_byte_array_append(
	    client->pipelined, (const guint8 *)bytes, (guint)length);
	if (client->pipelined->len > PIPELINED_MAX_BYTES)
		conn_set_reading(conn, false);
}

static void
on_end(conn_t *conn, int error, void *data)
{
	http1_server_close_client(data);
}

static void
on_write_queue_empty(conn_t *conn, void *data)
{
	client_t *client = data;

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

	TAILQ_FOREACH (client, &server->clients, entries) {
		if (client->phase != CLIENT_IDLE)
			continue;
		http1_server_shutdown_client(client);
		return;
	}
}

static void
on_connection(uv_stream_t *listener, int status)
{
	static const conn_callbacks_t callbacks = {.on_data = on_data,
	    .on_end = on_end,
	    .on_write_queue_empty = on_write_queue_empty};
	http1_server_t *server = listener->data;
	client_t *client;

	if (status != 0)
		return;
	if (server->connections >= server->options.connections_max)
		close_oldest_idle(server);
	client = g_new0(client_t, 1);
	client->conn = conn_accept(listener, &callbacks, client);
	if (client->conn == NULL) {
		g_free(client);
		return;
	}
	client->server = server;
	client->body = g_byte_array_new();
	client->pipelined = g_byte_array_new();
	client->reader = reader_new(client);
	uv_timer_init(listener->loop, &client->timer);
	client->timer.data = client;
	TAILQ_INSERT_TAIL(&server->clients, client, entries);
	server->connections++;
	server->accepted++;
	enter_idle(client);
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
	server->listener.data = server;
	if (!conn_parse_address(options->address, &address)) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "\"%s\" is not IP:PORT; correct it", options->address);
		g_free(server);
		return NULL;
	}
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
		if (client->phase == CLIENT_IDLE &&
		    client->idle_since_ms <= idle_since_max_ms)
			http1_server_shutdown_client(client);
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

void
http1_server_await_request(client_t *client)
{
	GByteArray *pipelined = client->pipelined;

	TAILQ_REMOVE(&client->server->clients, client, entries);
	TAILQ_INSERT_TAIL(&client->server->clients, client, entries);
	conn_set_reading(client->conn, true);
	enter_idle(client);
	if (pipelined->len == 0)
		return;
	client->pipelined = g_byte_array_new();
	client_read(client, (const char *)pipelined->data, pipelined->len);
	g_byte_array_unref(pipelined);
}
