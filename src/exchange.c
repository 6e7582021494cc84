#include "http1_server_state.h"

#include <string.h>

enum {
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	/* Most bytes queued to a client before its response's source pauses. */
	QUEUE_MAX_BYTES = 256 * 1024,
};

const http1_head_t *
exchange_request_head(const exchange_t *exchange)
{
	return http1_reader_head(exchange->request_reader);
}

GByteArray *
exchange_request_body(const exchange_t *exchange)
{
	return exchange->request_body;
}

int64_t
exchange_received_ms(const exchange_t *exchange)
{
	return exchange->received_ms;
}

bool
exchange_is_closed(const exchange_t *exchange)
{
	return exchange->client == NULL;
}

void
exchange_unref(exchange_t *exchange)
{
	if (exchange == NULL || --exchange->refs > 0)
		return;
	memory_charge_release(&exchange->request);
	memory_charge_release(&exchange->response);
	http1_reader_free(exchange->request_reader);
	g_byte_array_unref(exchange->request_body);
	g_free(exchange);
}

void
exchange_set_callbacks(exchange_t *exchange, void (*on_disconnect)(void *data),
    void (*on_write_queue_empty)(void *data), void *data)
{
	exchange->on_disconnect = on_disconnect;
	exchange->on_write_queue_empty = on_write_queue_empty;
	exchange->data = data;
}

/*
 * True if the connection is closed after this response. In a planned stop,
 * requests that have been sent behind this one are answered first.
 */
static bool
closes_connection(const exchange_t *exchange)
{
	const client_t *client = exchange->client;

	return !exchange->keep_alive || exchange->close_delimited ||
	       exchange->close_announced ||
	       (client->server->draining &&
		   !http1_server_has_bytes_behind(client) &&
		   conn_unread(client->conn) != CONN_UNREAD_BYTES);
}

/* True for a response that has no body, whatever its headers say. */
static bool
is_without_body(const exchange_t *exchange, unsigned status)
{
	return exchange->is_head_request || status == STATUS_NO_CONTENT ||
	       status == STATUS_NOT_MODIFIED;
}

static void
add_framing(exchange_t *exchange, GString *out, unsigned status, int64_t length)
{
	bool has_body = !is_without_body(exchange, status);
	bool http_1_0 = exchange_request_head(exchange)->http_1_0;
	bool unknown_length = has_body && length == EXCHANGE_CHUNKED;

	exchange->chunked = unknown_length && !http_1_0;
	exchange->close_delimited = unknown_length && http_1_0;
	if (has_body && length >= 0)
		g_string_append_printf(
		    out, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
	else if (exchange->chunked)
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	exchange->close_announced = closes_connection(exchange);
	if (exchange->close_announced)
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
}

static void
write_and_free(exchange_t *exchange, GString *out)
{
	http1_server_write(exchange->client, out->str, out->len);
	g_string_free(out, TRUE);
}

void
exchange_reply(exchange_t *exchange, unsigned status, const char *extra_headers,
    const char *body, size_t length)
{
	GString *out;

	if (exchange->client == NULL)
		return;
	out = g_string_new(NULL);
	http1_server_add_status_line(out, status);
	if (extra_headers != NULL)
		g_string_append(out, extra_headers);
	add_framing(exchange, out, status, (int64_t)length);
	if (!exchange->is_head_request)
		g_string_append_len(out, body, (gssize)length);
	write_and_free(exchange, out);
	exchange->chunked = false;
	exchange_end(exchange);
}

void
exchange_start(exchange_t *exchange, const http1_head_t *source, int64_t length)
{
	GString *out;

	if (exchange->client == NULL)
		return;
	out = g_string_new(NULL);
	http1_server_add_status_line(out, source->status);
	for (size_t i = 0; i < source->header_count; i++)
		if (!http1_head_is_hop_by_hop(source, source->headers[i].name))
			http1_add_header(out, source->headers[i].name,
			    source->headers[i].value);
	add_framing(exchange, out, source->status, length);
	write_and_free(exchange, out);
}

void
exchange_write(exchange_t *exchange, const char *bytes, size_t length)
{
	GString *out;

	if (exchange->client == NULL || exchange->is_head_request ||
	    length == 0)
		return;
	if (!exchange->chunked) {
		http1_server_write(exchange->client, bytes, length);
		return;
	}
	out = g_string_sized_new(length + 16);
	g_string_append_printf(out, "%zx\r\n", length);
	g_string_append_len(out, bytes, (gssize)length);
	g_string_append(out, "\r\n");
	write_and_free(exchange, out);
}

void
exchange_end(exchange_t *exchange)
{
	static const char last_chunk[] = "0\r\n\r\n";
	client_t *client = exchange->client;
	bool close;

	if (client == NULL)
		return;
	if (exchange->chunked)
		http1_server_write(client, last_chunk, strlen(last_chunk));
	close = closes_connection(exchange);
	client->reads_to_end =
	    !exchange->keep_alive || exchange->close_delimited;
	client->exchange = NULL;
	exchange->client = NULL;
	client->server->active_requests--;
	exchange_unref(exchange);
	if (close)
		http1_server_shutdown_client(client);
	else
		http1_server_await_request(client);
}

void
exchange_abort(exchange_t *exchange)
{
	client_t *client = exchange->client;

	if (client == NULL)
		return;
	exchange->on_disconnect = NULL;
	if (exchange->close_delimited)
		http1_server_reset_client(client);
	else
		http1_server_close_client(client);
}

size_t
exchange_queue_max(const exchange_t *exchange)
{
	return memory_budget_queue_max(
	    exchange->memory->queued, QUEUE_MAX_BYTES);
}

bool
exchange_is_queue_full(const exchange_t *exchange)
{
	return exchange->client != NULL &&
	       conn_queued_bytes(exchange->client->conn) >
		   exchange_queue_max(exchange);
}

void
exchange_charge_response(exchange_t *exchange, size_t length)
{
	memory_charge_set(&exchange->response, memory_array_capacity(length));
}
