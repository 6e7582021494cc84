#include "http_server.h"

#include "error.h"
#include "json.h"

#include <h2o.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

enum {
	DEFAULT_BODY_MAX_BYTES = 2 * 1024 * 1024,
	LISTEN_BACKLOG = 1024,
};

struct http_server {
	uv_tcp_t listener;
	uv_loop_t *loop;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	http_handler_t handler;
	void *data;
	unsigned active_requests;
	int port;
	bool stopping;
};

typedef enum reply_state {
	REPLY_NOT_STARTED,
	REPLY_STREAMING,
	REPLY_ENDING,
	REPLY_CLOSED,
} reply_state_t;

typedef struct close_hook {
	SLIST_ENTRY(close_hook) entries;
	void (*on_close)(void *);
	void *data;
} close_hook_t;

struct http_request {
	h2o_generator_t generator; /* first: callbacks cast it back */
	unsigned refs;
	http_server_t *server;
	h2o_req_t *req; /* NULL once h2o has disposed of it */
	char *method;
	char *path;
	char *query;
	GString *sending; /* in use by h2o until on_proceed() */
	GString *pending; /* written, not yet passed to h2o */
	reply_state_t state;
	bool write_in_flight;
	bool aborting;
	void (*on_drained)(void *data);
	void *on_drained_data;
	SLIST_HEAD(, close_hook) close_hooks;
};

typedef struct server_handler {
	h2o_handler_t super;
	http_server_t *server;
} server_handler_t;

http_request_t *
http_request_ref(http_request_t *request)
{
	request->refs++;
	return request;
}

void
http_request_unref(http_request_t *request)
{
	if (--request->refs > 0)
		return;
	g_string_free(request->sending, TRUE);
	g_string_free(request->pending, TRUE);
	g_free(request->method);
	g_free(request->path);
	g_free(request->query);
	g_free(request);
}

/* Called by h2o when the reply is complete or the client disconnected. */
static void
on_dispose(void *memory)
{
	http_request_t *request = *(http_request_t **)memory;
	close_hook_t *hook;

	request->req = NULL;
	request->state = REPLY_CLOSED;
	request->server->active_requests--;
	while ((hook = SLIST_FIRST(&request->close_hooks)) != NULL) {
		SLIST_REMOVE_HEAD(&request->close_hooks, entries);
		hook->on_close(hook->data);
		g_free(hook);
	}
	http_request_unref(request);
}

static void
send_pending(http_request_t *request)
{
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	GString *sent_buffer = request->sending;
	h2o_iovec_t buffer;

	if (request->req == NULL || request->write_in_flight)
		return;
	if (request->pending->len == 0 && request->state != REPLY_ENDING)
		return;
	request->sending = request->pending;
	request->pending = sent_buffer;
	g_string_truncate(request->pending, 0);
	if (request->state == REPLY_ENDING)
		state = request->aborting ? H2O_SEND_STATE_ERROR
					  : H2O_SEND_STATE_FINAL;
	buffer = h2o_iovec_init(request->sending->str, request->sending->len);
	request->write_in_flight = true;
	h2o_send(request->req, &buffer, buffer.len > 0 ? 1 : 0, state);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	http_request_t *request = (http_request_t *)generator;

	request->write_in_flight = false;
	send_pending(request);
	if (!request->write_in_flight && request->state == REPLY_STREAMING &&
	    request->on_drained != NULL)
		request->on_drained(request->on_drained_data);
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	http_request_t *request = (http_request_t *)generator;

	request->state = REPLY_CLOSED;
}

static int
on_request(h2o_handler_t *self, h2o_req_t *req)
{
	http_server_t *server = ((server_handler_t *)self)->server;
	size_t path_length = req->path.len;
	http_request_t *request;
	http_request_t **request_pointer;

	if (req->query_at != SIZE_MAX)
		path_length = req->query_at;
	request = g_new0(http_request_t, 1);
	request->generator.proceed = on_proceed;
	request->generator.stop = on_stop;
	request->refs = 1;
	request->server = server;
	request->req = req;
	request->method = g_strndup(req->method.base, req->method.len);
	request->path = g_strndup(req->path.base, path_length);
	if (path_length < req->path.len)
		request->query = g_strndup(req->path.base + path_length + 1,
		    req->path.len - path_length - 1);
	request->sending = g_string_new(NULL);
	request->pending = g_string_new(NULL);
	SLIST_INIT(&request->close_hooks);
	request_pointer = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*request_pointer), on_dispose);
	*request_pointer = request;
	server->active_requests++;
	if (server->stopping)
		req->http1_is_persistent = 0;
	http_request_ref(request);
	server->handler(request, server->data);
	http_request_unref(request);
	return 0;
}

static void
on_socket_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	http_server_t *server = listener->data;
	h2o_socket_t *socket;
	uv_tcp_t *tcp;

	if (status != 0)
		return;
	tcp = g_new0(uv_tcp_t, 1);
	uv_tcp_init(listener->loop, tcp);
	if (uv_accept(listener, (uv_stream_t *)tcp) != 0) {
		uv_close((uv_handle_t *)tcp, on_socket_closed);
		return;
	}
	uv_tcp_nodelay(tcp, 1);
	socket = h2o_uv_socket_create((uv_stream_t *)tcp, on_socket_closed);
	h2o_accept(&server->accept, socket);
}

static int
listen_on(http_server_t *server, const http_server_options_t *options)
{
	struct sockaddr_storage bound;
	struct sockaddr_in address;
	int length = sizeof(bound);
	int rc;

	uv_tcp_init(server->loop, &server->listener);
	server->listener.data = server;
	rc = uv_ip4_addr(options->address, options->port, &address);
	if (rc == 0)
		rc = uv_tcp_bind(
		    &server->listener, (const struct sockaddr *)&address, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
		    on_connection);
	if (rc == 0)
		rc = uv_tcp_getsockname(
		    &server->listener, (struct sockaddr *)&bound, &length);
	if (rc == 0)
		server->port = ntohs(((struct sockaddr_in *)&bound)->sin_port);
	return rc;
}

http_server_t *
http_server_start(
    uv_loop_t *loop, const http_server_options_t *options, GError **error)
{
	http_server_t *server = g_new0(http_server_t, 1);
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	server_handler_t *handler;
	int rc;

	server->loop = loop;
	server->handler = options->handler;
	server->data = options->data;
	rc = listen_on(server, options);
	if (rc != 0) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "cannot listen on %s:%d: %s; choose a free local address",
		    options->address, options->port, uv_strerror(rc));
		uv_close((uv_handle_t *)&server->listener, on_socket_closed);
		return NULL;
	}
	h2o_config_init(&server->config);
	server->config.server_name = h2o_iovec_init(H2O_STRLIT("papaya"));
	server->config.http1.upgrade_to_http2 = 0;
	server->config.max_request_entity_size = options->body_max_bytes > 0
						     ? options->body_max_bytes
						     : DEFAULT_BODY_MAX_BYTES;
	host = h2o_config_register_host(
	    &server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler =
	    (server_handler_t *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->server = server;
	h2o_context_init(&server->context, loop, &server->config);
	server->accept.ctx = &server->context;
	server->accept.hosts = server->config.hosts;
	return server;
}

int
http_server_port(const http_server_t *server)
{
	return server->port;
}

unsigned
http_server_active_requests(const http_server_t *server)
{
	return server->active_requests;
}

static void
on_listener_closed(uv_handle_t *handle)
{
}

void
http_server_stop(http_server_t *server)
{
	if (server->stopping)
		return;
	server->stopping = true;
	uv_close((uv_handle_t *)&server->listener, on_listener_closed);
}

const char *
http_request_method(const http_request_t *request)
{
	return request->method;
}

const char *
http_request_path(const http_request_t *request)
{
	return request->path;
}

const char *
http_request_query(const http_request_t *request)
{
	return request->query;
}

char *
http_request_query_param(const http_request_t *request, const char *name)
{
	size_t length = strlen(name);
	char **pairs, *value = NULL;

	if (request->query == NULL)
		return NULL;
	pairs = g_strsplit(request->query, "&", -1);
	for (size_t i = 0; pairs[i] != NULL && value == NULL; i++)
		if (strncmp(pairs[i], name, length) == 0 &&
		    pairs[i][length] == '=')
			value =
			    g_uri_unescape_string(pairs[i] + length + 1, NULL);
	g_strfreev(pairs);
	return value;
}

const char *
http_request_header(const http_request_t *request, const char *name)
{
	size_t length = strlen(name);
	const h2o_token_t *token;
	ssize_t index;
	h2o_iovec_t value;
	char *copy;

	if (request->req == NULL)
		return NULL;
	token = h2o_lookup_token(name, length);
	if (token != NULL)
		index = h2o_find_header(&request->req->headers, token, -1);
	else
		index = h2o_find_header_by_str(
		    &request->req->headers, name, length, -1);
	if (index < 0)
		return NULL;
	value = request->req->headers.entries[index].value;
	copy = h2o_mem_alloc_pool(&request->req->pool, value.len + 1);
	memcpy(copy, value.base, value.len);
	copy[value.len] = '\0';
	return copy;
}

const char *
http_request_body(const http_request_t *request, size_t *length)
{
	if (request->req == NULL || request->req->entity.base == NULL) {
		*length = 0;
		return "";
	}
	*length = request->req->entity.len;
	return request->req->entity.base;
}

bool
http_request_is_closed(const http_request_t *request)
{
	return request->state == REPLY_CLOSED;
}

void
http_request_on_close(
    http_request_t *request, void (*on_close)(void *data), void *data)
{
	close_hook_t *hook;

	if (request->state == REPLY_CLOSED) {
		on_close(data);
		return;
	}
	hook = g_new0(close_hook_t, 1);
	hook->on_close = on_close;
	hook->data = data;
	SLIST_INSERT_HEAD(&request->close_hooks, hook, entries);
}

static void
start_reply(http_request_t *request, int status, const http_header_t *headers,
    size_t header_count)
{
	h2o_req_t *req = request->req;

	req->res.status = status;
	req->res.reason = "papaya";
	for (size_t i = 0; i < header_count; i++) {
		h2o_iovec_t value = h2o_strdup(
		    &req->pool, headers[i].value, strlen(headers[i].value));
		h2o_iovec_t name = h2o_strdup(
		    &req->pool, headers[i].name, strlen(headers[i].name));

		h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
		    name.len, 1, NULL, value.base, value.len);
	}
}

void
http_reply(http_request_t *request, int status, const http_header_t *headers,
    size_t header_count, const void *body, size_t length)
{
	if (request->req == NULL || request->state != REPLY_NOT_STARTED)
		return;
	start_reply(request, status, headers, header_count);
	request->req->res.content_length = length;
	request->state = REPLY_ENDING;
	g_string_append_len(request->pending, body, (gssize)length);
	h2o_start_response(request->req, &request->generator);
	send_pending(request);
}

void
http_reply_json(http_request_t *request, int status, json_t *value)
{
	static const http_header_t headers[] = {
	    {"content-type", "application/json"}};
	char *text = json_text(value);

	json_decref(value);
	http_reply(request, status, headers, 1, text, strlen(text));
	g_free(text);
}

void
http_reply_error(http_request_t *request, const GError *error, bool not_run)
{
	papaya_error_t kind = papaya_error_kind(error);
	http_header_t headers[] = {
	    {"content-type", "application/json"},
	    {"papaya-not-run", not_run ? "true" : "false"},
	    {"retry-after", "1"},
	};
	json_t *body = json_pack("{s:{s:s,s:o,s:s,s:b}}", "error", "kind",
	    papaya_error_name(kind), "message", json_from_bytes(error->message),
	    "remedy", papaya_error_remedy(kind), "not_run", (int)not_run);
	char *text = json_text(body);

	json_decref(body);
	http_reply(request, papaya_error_status(kind), headers,
	    G_N_ELEMENTS(headers), text, strlen(text));
	g_free(text);
}

void
http_stream_begin(http_request_t *request, int status,
    const http_header_t *headers, size_t header_count)
{
	if (request->req == NULL || request->state != REPLY_NOT_STARTED)
		return;
	start_reply(request, status, headers, header_count);
	request->state = REPLY_STREAMING;
	h2o_start_response(request->req, &request->generator);
}

void
http_stream_write(http_request_t *request, const void *bytes, size_t length)
{
	if (request->req == NULL || request->state != REPLY_STREAMING)
		return;
	g_string_append_len(request->pending, bytes, (gssize)length);
	send_pending(request);
}

size_t
http_stream_pending(const http_request_t *request)
{
	return request->pending->len;
}

void
http_stream_on_drained(
    http_request_t *request, void (*on_drained)(void *data), void *data)
{
	request->on_drained = on_drained;
	request->on_drained_data = data;
}

void
http_stream_end(http_request_t *request)
{
	if (request->req == NULL || request->state != REPLY_STREAMING)
		return;
	request->state = REPLY_ENDING;
	send_pending(request);
}

void
http_stream_abort(http_request_t *request)
{
	if (request->req == NULL || request->state != REPLY_STREAMING)
		return;
	request->aborting = true;
	request->state = REPLY_ENDING;
	request->req->http1_is_persistent = 0;
	send_pending(request);
}

void
http_request_disconnect(http_request_t *request)
{
	h2o_socket_t *socket;

	if (request->req == NULL)
		return;
	socket = request->req->conn->callbacks->get_socket(request->req->conn);
	/* The pending or next write then fails, which ends the request. */
	shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
	if (request->state == REPLY_NOT_STARTED)
		http_stream_begin(request, 500, NULL, 0);
	http_stream_abort(request);
}
