#include "entry_state.h"

#include <string.h>

const http1_head_t *
exchange_head(const exchange_t *exchange)
{
	return http1_reader_head(exchange->reader);
}

const GByteArray *
exchange_body(const exchange_t *exchange)
{
	return exchange->body;
}

int64_t
exchange_received_ms(const exchange_t *exchange)
{
	return exchange->received_ms;
}

bool
exchange_gone(const exchange_t *exchange)
{
	return exchange->client == NULL;
}

void
exchange_unref(exchange_t *exchange)
{
	if (exchange == NULL || --exchange->refs > 0)
		return;
	http1_reader_free(exchange->reader);
	g_byte_array_unref(exchange->body);
	g_free(exchange);
}

void
exchange_watch(exchange_t *exchange, void (*on_gone)(void *data),
    void (*on_drain)(void *data), void *data)
{
	exchange->on_gone = on_gone;
	exchange->on_drain = on_drain;
	exchange->data = data;
}

/* True where the connection ends with this response. */
static bool
closes(const exchange_t *exchange)
{
	return !exchange->keep_alive || exchange->client->server->draining ||
	       exchange->unframed;
}

static void
add_framing(exchange_t *exchange, GString *out, int64_t length)
{
	bool http_1_0 = exchange_head(exchange)->http_1_0;

	exchange->chunked = length == EXCHANGE_CHUNKED && !http_1_0;
	exchange->unframed = length < 0 && !exchange->chunked;
	if (length >= 0)
		g_string_append_printf(
		    out, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
	else if (exchange->chunked)
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	if (closes(exchange))
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
}

static void
send_text(exchange_t *exchange, GString *out)
{
	conn_write(exchange->client->conn, out->str, out->len);
	g_string_free(out, TRUE);
}

void
exchange_reply(exchange_t *exchange, unsigned status, const char *extra,
    const char *body, size_t length)
{
	GString *out;

	if (exchange->client == NULL)
		return;
	out = g_string_new(NULL);
	entry_add_status_line(out, status);
	if (extra != NULL)
		g_string_append(out, extra);
	add_framing(exchange, out, (int64_t)length);
	if (!exchange->is_head)
		g_string_append_len(out, body, (gssize)length);
	send_text(exchange, out);
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
	entry_add_status_line(out, source->status);
	for (size_t i = 0; i < source->header_count; i++)
		if (!http1_head_is_hop(source, source->headers[i].name))
			http1_add_header(out, source->headers[i].name,
			    source->headers[i].value);
	add_framing(exchange, out, length);
	send_text(exchange, out);
}

void
exchange_write(exchange_t *exchange, const char *bytes, size_t length)
{
	GString *out;

	if (exchange->client == NULL || exchange->is_head || length == 0)
		return;
	if (!exchange->chunked) {
		conn_write(exchange->client->conn, bytes, length);
		return;
	}
	out = g_string_sized_new(length + 16);
	g_string_append_printf(out, "%zx\r\n", length);
	g_string_append_len(out, bytes, (gssize)length);
	g_string_append(out, "\r\n");
	send_text(exchange, out);
}

void
exchange_end(exchange_t *exchange)
{
	static const char last_chunk[] = "0\r\n\r\n";
	client_t *client = exchange->client;
	bool close;

	if (client == NULL)
		return;
	if (exchange->chunked && !exchange->is_head)
		conn_write(client->conn, last_chunk, strlen(last_chunk));
	close = closes(exchange);
	client->exchange = NULL;
	exchange->client = NULL;
	client->server->active--;
	exchange_unref(exchange);
	if (close)
		entry_client_finish(client);
	else
		entry_client_next(client);
}

void
exchange_abort(exchange_t *exchange)
{
	client_t *client = exchange->client;

	if (client == NULL)
		return;
	exchange->on_gone = NULL;
	entry_client_close(client);
}

size_t
exchange_queued(const exchange_t *exchange)
{
	return exchange->client == NULL ? 0
					: conn_queued(exchange->client->conn);
}
