#include "peer_hub.h"

#include "error.h"
#include "frame.h"
#include "log.h"

#include <string.h>

enum {
	LISTEN_BACKLOG = 128,
	/* Limit before the hello is received: room for its four names. */
	HELLO_FRAME_MAX_BYTES = 8192,
	SWEEP_MS = 1000,
};

typedef struct accepted {
	LIST_ENTRY(accepted) entries;
	uv_tcp_t tcp;
	peer_hub_t *hub;
	frame_decoder_t decoder;
	char *node; /* NULL before the hello */
	int64_t incarnation;
	/*
	 * Sweeps since the last frame. Counted instead of timed, so that a
	 * pause of this process does not make the peer look idle.
	 */
	unsigned idle_sweeps;
} accepted_t;

static void
on_accepted_closed(uv_handle_t *handle)
{
	accepted_t *accepted = handle->data;

	frame_clear(&accepted->decoder);
	g_free(accepted->node);
	g_free(accepted);
}

static bool
node_has_connection(const peer_hub_t *hub, const char *node)
{
	const accepted_t *accepted;

	LIST_FOREACH (accepted, &hub->accepted, entries)
		if (g_strcmp0(accepted->node, node) == 0)
			return true;
	return false;
}

static void
accepted_close(accepted_t *accepted)
{
	peer_hub_t *hub = accepted->hub;

	if (uv_is_closing((uv_handle_t *)&accepted->tcp))
		return;
	LIST_REMOVE(accepted, entries);
	hub->accepted_count--;
	uv_close((uv_handle_t *)&accepted->tcp, on_accepted_closed);
	if (accepted->node != NULL && !node_has_connection(hub, accepted->node))
		hub->options.on_node_disconnected(
		    accepted->node, hub->options.data);
}

/* Closes connections of earlier incarnations: their messages are stale. */
static void
close_older_incarnations(const accepted_t *accepted)
{
	accepted_t *other, *next;

	for (other = LIST_FIRST(&accepted->hub->accepted); other != NULL;
	     other = next) {
		next = LIST_NEXT(other, entries);
		if (g_strcmp0(other->node, accepted->node) == 0 &&
		    other->incarnation < accepted->incarnation)
			accepted_close(other);
	}
}

static bool
handle_hello(accepted_t *accepted, const message_t *message)
{
	peer_hub_t *hub = accepted->hub;
	const char *node = message->hello.node;

	if (accepted->node != NULL && strcmp(accepted->node, node) != 0)
		return false;
	if (!hub->options.on_hello(message, hub->options.data))
		return false;
	if (accepted->node == NULL)
		accepted->node = g_strdup(node);
	accepted->incarnation = message->hello.incarnation;
	accepted->decoder.max_payload = MESSAGE_FRAME_MAX_BYTES;
	close_older_incarnations(accepted);
	return true;
}

/* False if the message is not allowed on this connection. */
static bool
handle_message(accepted_t *accepted, const message_t *message)
{
	peer_hub_t *hub = accepted->hub;

	if (message->type == MESSAGE_HELLO)
		return handle_hello(accepted, message);
	if (accepted->node == NULL)
		return false;
	if (message->type == MESSAGE_HEARTBEAT &&
	    strcmp(message->heartbeat.node, accepted->node) != 0)
		return false;
	hub->options.on_message(accepted->node, message, hub->options.data);
	return true;
}

static bool
handle_frame(accepted_t *accepted, const uint8_t *payload, size_t length)
{
	GError *error = NULL;
	message_t message;
	bool ok;

	accepted->idle_sweeps = 0;
	if (!message_decode(payload, length, &message, &error)) {
		peer_counter_increment(accepted->hub, "peer_bad_frames_total");
		/* A fault of a known node; other senders may send anything. */
		if (accepted->node != NULL)
			log_event(LOG_LEVEL_ERROR, "peer.bad_frame",
			    "from=%s error=%s", accepted->node, error->message);
		g_error_free(error);
		return false;
	}
	ok = handle_message(accepted, &message);
	message_clear(&message);
	if (!ok)
		peer_counter_increment(
		    accepted->hub, "peer_unexpected_messages_total");
	return ok;
}

static void
handle_bytes(accepted_t *accepted, const char *bytes, size_t length)
{
	const uint8_t *payload;
	size_t payload_length;
	frame_status_t status;

	counter_add(
	    accepted->hub->options.counters, length, "peer_bytes_in_total");
	frame_feed(&accepted->decoder, bytes, length);
	while ((status = frame_next(&accepted->decoder, &payload,
		    &payload_length, NULL)) == FRAME_READY) {
		peer_counter_increment(accepted->hub, "peer_frames_in_total");
		if (!handle_frame(accepted, payload, payload_length)) {
			accepted_close(accepted);
			return;
		}
	}
	if (status == FRAME_INVALID) {
		peer_counter_increment(accepted->hub, "peer_bad_frames_total");
		accepted_close(accepted);
	}
}

static void
on_accepted_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	accepted_t *accepted = handle->data;

	/* Shared: each read is processed before the next one starts. */
	*buffer =
	    uv_buf_init(accepted->hub->read_buffer, PEER_READ_BUFFER_BYTES);
}

static void
on_accepted_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	accepted_t *accepted = stream->data;

	if (length > 0)
		handle_bytes(accepted, buffer->base, (size_t)length);
	else if (length < 0)
		accepted_close(accepted);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	peer_hub_t *hub = listener->data;
	accepted_t *accepted;

	if (status < 0)
		return;
	accepted = g_new0(accepted_t, 1);
	accepted->hub = hub;
	uv_tcp_init(hub->options.loop, &accepted->tcp);
	accepted->tcp.data = accepted;
	frame_init(&accepted->decoder, HELLO_FRAME_MAX_BYTES);
	LIST_INSERT_HEAD(&hub->accepted, accepted, entries);
	hub->accepted_count++;
	if (uv_accept(listener, (uv_stream_t *)&accepted->tcp) != 0) {
		accepted_close(accepted);
		return;
	}
	if (hub->accepted_count > PEER_ACCEPTED_CONNECTIONS_MAX) {
		peer_counter_increment(hub, "peer_refused_connections_total");
		accepted_close(accepted);
		return;
	}
	uv_read_start(
	    (uv_stream_t *)&accepted->tcp, on_accepted_alloc, on_accepted_read);
}

static void
on_sweep(uv_timer_t *timer)
{
	peer_hub_t *hub = timer->data;
	accepted_t *accepted, *next;

	for (accepted = LIST_FIRST(&hub->accepted); accepted != NULL;
	     accepted = next) {
		unsigned limit_ms = accepted->node == NULL
					? PEER_HELLO_TIMEOUT_MS
					: PEER_IDLE_TIMEOUT_MS;

		next = LIST_NEXT(accepted, entries);
		if (++accepted->idle_sweeps <= limit_ms / SWEEP_MS)
			continue;
		peer_counter_increment(hub, "peer_idle_closed_total");
		accepted_close(accepted);
	}
}

static bool
hub_listen(peer_hub_t *hub, GError **error)
{
	const peer_hub_options_t *options = &hub->options;
	struct sockaddr_in address;
	int rc;

	rc = uv_ip4_addr(options->address, options->port, &address);
	if (rc == 0)
		rc = uv_tcp_bind(
		    &hub->listener, (const struct sockaddr *)&address, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&hub->listener, LISTEN_BACKLOG,
		    on_connection);
	if (rc == 0)
		return true;
	papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
	    "cannot listen for peers on %s:%d: %s; correct \"address\" or "
	    "\"peer_port\"",
	    options->address, options->port, uv_strerror(rc));
	return false;
}

peer_hub_t *
peer_hub_new(const peer_hub_options_t *options, GError **error)
{
	peer_hub_t *hub = g_new0(peer_hub_t, 1);

	hub->options = *options;
	LIST_INIT(&hub->accepted);
	LIST_INIT(&hub->links);
	uv_tcp_init(options->loop, &hub->listener);
	hub->listener.data = hub;
	uv_timer_init(options->loop, &hub->sweep_timer);
	hub->sweep_timer.data = hub;
	hub->open_handles = 2;
	if (!hub_listen(hub, error)) {
		peer_hub_free(hub);
		return NULL;
	}
	uv_timer_start(&hub->sweep_timer, on_sweep, SWEEP_MS, SWEEP_MS);
	return hub;
}

static void
ignore_disconnect(const char *node, void *data)
{
}

static void
on_hub_handle_closed(uv_handle_t *handle)
{
	peer_hub_t *hub = handle->data;

	if (--hub->open_handles == 0)
		g_free(hub);
}

void
peer_hub_free(peer_hub_t *hub)
{
	accepted_t *accepted;
	peer_link_t *link;

	if (hub == NULL)
		return;
	hub->options.on_node_disconnected = ignore_disconnect;
	while ((accepted = LIST_FIRST(&hub->accepted)) != NULL)
		accepted_close(accepted);
	while ((link = LIST_FIRST(&hub->links)) != NULL)
		peer_link_close(link);
	uv_close((uv_handle_t *)&hub->listener, on_hub_handle_closed);
	uv_close((uv_handle_t *)&hub->sweep_timer, on_hub_handle_closed);
}

int
peer_hub_port(const peer_hub_t *hub)
{
	struct sockaddr_in address = {0};
	int length = sizeof(address);

	uv_tcp_getsockname(
	    &hub->listener, (struct sockaddr *)&address, &length);
	return ntohs(address.sin_port);
}
