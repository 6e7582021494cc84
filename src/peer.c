#include "peer.h"

#include "clock.h"
#include "error.h"
#include "frame.h"
#include "log.h"

#include <string.h>
#include <sys/queue.h>

enum {
	LISTEN_BACKLOG = 128,
	READ_BYTES = 64 * 1024,
	/* Room for the four names of a hello. */
	HELLO_FRAME_MAX = 8192,
	SWEEP_MS = 1000,
	CONNECT_TIMEOUT_MS = 3000,
	BACKOFF_FIRST_MS = 100,
	BACKOFF_MAX_MS = 5000,
	/* A connection that lasted this long resets the backoff. */
	BACKOFF_RESET_MS = 5000,
};

typedef struct accepted {
	LIST_ENTRY(accepted) entries;
	uv_tcp_t tcp;
	peer_hub_t *hub;
	frame_decoder_t decoder;
	char *node; /* NULL before the hello */
	int64_t incarnation;
	/*
	 * Sweeps since the last frame. Counted and not timed, so that a pause
	 * of the own process does not look like silence of the peer.
	 */
	unsigned idle_sweeps;
} accepted_t;

struct peer_hub {
	peer_hub_options_t options;
	uv_tcp_t listener;
	uv_timer_t sweep;
	unsigned open_handles; /* of the two above, while closing */
	unsigned accepted_count;
	LIST_HEAD(, accepted) accepted;
	LIST_HEAD(, peer_link) links;
	char read_buffer[READ_BYTES];
};

typedef enum link_state {
	LINK_WAITING, /* for the next attempt */
	LINK_CONNECTING,
	LINK_UP,
} link_state_t;

struct peer_link {
	LIST_ENTRY(peer_link) entries;
	peer_hub_t *hub;
	char *address;
	struct sockaddr_in target;
	link_state_t state;
	uv_timer_t timer; /* next attempt, or end of this one */
	uv_tcp_t *tcp;	  /* NULL while WAITING */
	GPtrArray *early; /* GBytes sent while CONNECTING */
	size_t early_bytes;
	int64_t backoff_ms;
	int64_t up_ms;
	int64_t progress_ms; /* last time the queue was empty or moved */
	char read_byte;
};

bool
peer_address_parse(const char *text, struct sockaddr_in *address)
{
	const char *colon = strrchr(text, ':');
	guint64 port;
	char *ip;
	int rc;

	if (colon == NULL || !g_ascii_string_to_unsigned(
				 colon + 1, 10, 1, G_MAXUINT16, &port, NULL))
		return false;
	ip = g_strndup(text, (gsize)(colon - text));
	rc = uv_ip4_addr(ip, (int)port, address);
	g_free(ip);
	return rc == 0;
}

static GPtrArray *
frames_new(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
}

static void
count(peer_hub_t *hub, const char *name)
{
	counter_add(hub->options.counters, 1, "%s", name);
}

/* Accepted connections. */

static void
on_accepted_closed(uv_handle_t *handle)
{
	accepted_t *accepted = handle->data;

	frame_clear(&accepted->decoder);
	g_free(accepted->node);
	g_free(accepted);
}

static bool
has_other(const peer_hub_t *hub, const char *node)
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
	if (accepted->node != NULL && !has_other(hub, accepted->node))
		hub->options.on_lost(accepted->node, hub->options.data);
}

/* Connections of an earlier process of a node must not speak for it. */
static void
close_older(const accepted_t *accepted)
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
take_hello(accepted_t *accepted, const message_t *message)
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
	accepted->decoder.max = MESSAGE_FRAME_MAX;
	close_older(accepted);
	return true;
}

/* False where the message is not allowed on this connection. */
static bool
take_message(accepted_t *accepted, const message_t *message)
{
	peer_hub_t *hub = accepted->hub;

	if (message->type == MESSAGE_HELLO)
		return take_hello(accepted, message);
	if (accepted->node == NULL)
		return false;
	if (message->type == MESSAGE_HEARTBEAT &&
	    strcmp(message->heartbeat.node, accepted->node) != 0)
		return false;
	hub->options.on_message(accepted->node, message, hub->options.data);
	return true;
}

static bool
take_frame(accepted_t *accepted, const uint8_t *payload, size_t length)
{
	GError *error = NULL;
	message_t message;
	bool ok;

	accepted->idle_sweeps = 0;
	if (!message_decode(payload, length, &message, &error)) {
		count(accepted->hub, "peer_bad_frames_total");
		/* From a node it is a fault, from others to be expected. */
		if (accepted->node != NULL)
			log_event(LOG_LEVEL_ERROR, "peer.bad_frame",
			    "from=%s error=%s", accepted->node, error->message);
		g_error_free(error);
		return false;
	}
	ok = take_message(accepted, &message);
	message_clear(&message);
	if (!ok)
		count(accepted->hub, "peer_unexpected_messages_total");
	return ok;
}

static void
take_bytes(accepted_t *accepted, const char *bytes, size_t length)
{
	const uint8_t *payload;
	size_t payload_length;
	frame_status_t status;

	counter_add(
	    accepted->hub->options.counters, length, "peer_bytes_in_total");
	frame_feed(&accepted->decoder, bytes, length);
	while ((status = frame_next(&accepted->decoder, &payload,
		    &payload_length, NULL)) == FRAME_READY) {
		count(accepted->hub, "peer_frames_in_total");
		if (!take_frame(accepted, payload, payload_length)) {
			accepted_close(accepted);
			return;
		}
	}
	if (status == FRAME_BAD) {
		count(accepted->hub, "peer_bad_frames_total");
		accepted_close(accepted);
	}
}

static void
on_accepted_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	accepted_t *accepted = handle->data;

	/* Shared: a read is finished before the next one is started. */
	*buffer = uv_buf_init(accepted->hub->read_buffer, READ_BYTES);
}

static void
on_accepted_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	accepted_t *accepted = stream->data;

	if (length > 0)
		take_bytes(accepted, buffer->base, (size_t)length);
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
	frame_init(&accepted->decoder, HELLO_FRAME_MAX);
	LIST_INSERT_HEAD(&hub->accepted, accepted, entries);
	hub->accepted_count++;
	if (uv_accept(listener, (uv_stream_t *)&accepted->tcp) != 0) {
		accepted_close(accepted);
		return;
	}
	if (hub->accepted_count > PEER_ACCEPTED_MAX) {
		count(hub, "peer_refused_connections_total");
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
		unsigned limit_ms =
		    accepted->node == NULL ? PEER_HELLO_MS : PEER_IDLE_MS;

		next = LIST_NEXT(accepted, entries);
		if (++accepted->idle_sweeps <= limit_ms / SWEEP_MS)
			continue;
		count(hub, "peer_idle_closed_total");
		accepted_close(accepted);
	}
}

/* Links. */

static void
free_handle(uv_handle_t *handle)
{
	g_free(handle);
}

static void link_connect(peer_link_t *link);

static void
on_attempt_due(uv_timer_t *timer)
{
	link_connect(timer->data);
}

/* Half of the backoff is random, so that nodes do not return in step. */
static void
link_wait(peer_link_t *link)
{
	int64_t half_ms = link->backoff_ms / 2;
	int64_t delay_ms = half_ms + g_rand_int_range(link->hub->options.rand,
					 0, (gint32)half_ms + 1);

	link->state = LINK_WAITING;
	link->backoff_ms = MIN(link->backoff_ms * 2, BACKOFF_MAX_MS);
	uv_timer_start(&link->timer, on_attempt_due, (uint64_t)delay_ms, 0);
}

static void
link_drop_tcp(peer_link_t *link)
{
	link->tcp->data = NULL;
	uv_close((uv_handle_t *)link->tcp, free_handle);
	link->tcp = NULL;
	g_ptr_array_set_size(link->early, 0);
	link->early_bytes = 0;
}

static void
link_down(peer_link_t *link)
{
	if (link->state == LINK_WAITING)
		return;
	if (link->state == LINK_UP &&
	    clock_mono_ms() - link->up_ms >= BACKOFF_RESET_MS)
		link->backoff_ms = BACKOFF_FIRST_MS;
	link_drop_tcp(link);
	link_wait(link);
}

static void
on_link_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	peer_link_t *link = handle->data;

	*buffer = uv_buf_init(&link->read_byte, 1);
}

/* Nothing is sent back on a link: a read only tells that it ended. */
static void
on_link_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	if (length != 0 && stream->data != NULL)
		link_down(stream->data);
}

static void
on_attempt_late(uv_timer_t *timer)
{
	link_down(timer->data);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	peer_link_t *link = connect->handle->data;
	GPtrArray *early;

	g_free(connect);
	if (link == NULL || status == UV_ECANCELED)
		return;
	if (status < 0) {
		count(link->hub, "peer_connect_failures_total");
		link_down(link);
		return;
	}
	uv_timer_stop(&link->timer);
	link->state = LINK_UP;
	link->up_ms = clock_mono_ms();
	link->progress_ms = link->up_ms;
	uv_tcp_nodelay(link->tcp, 1);
	uv_read_start((uv_stream_t *)link->tcp, on_link_alloc, on_link_read);
	early = link->early;
	link->early = frames_new();
	link->early_bytes = 0;
	link->hub->options.on_up(link, link->hub->options.data);
	for (guint i = 0; i < early->len; i++)
		peer_link_send(link, early->pdata[i]);
	g_ptr_array_free(early, TRUE);
}

static void
link_connect(peer_link_t *link)
{
	uv_connect_t *connect = g_new0(uv_connect_t, 1);

	link->state = LINK_CONNECTING;
	link->tcp = g_new0(uv_tcp_t, 1);
	uv_tcp_init(link->hub->options.loop, link->tcp);
	link->tcp->data = link;
	uv_timer_start(&link->timer, on_attempt_late, CONNECT_TIMEOUT_MS, 0);
	if (uv_tcp_connect(connect, link->tcp,
		(const struct sockaddr *)&link->target, on_connected) != 0) {
		g_free(connect);
		link_down(link);
	}
}

peer_link_t *
peer_link_open(peer_hub_t *hub, const char *address)
{
	peer_link_t *link = g_new0(peer_link_t, 1);

	link->hub = hub;
	link->address = g_strdup(address);
	link->backoff_ms = BACKOFF_FIRST_MS;
	link->early = frames_new();
	uv_timer_init(hub->options.loop, &link->timer);
	link->timer.data = link;
	LIST_INSERT_HEAD(&hub->links, link, entries);
	if (peer_address_parse(address, &link->target))
		link_connect(link);
	return link;
}

static void
on_link_timer_closed(uv_handle_t *handle)
{
	peer_link_t *link = handle->data;

	g_ptr_array_free(link->early, TRUE);
	g_free(link->address);
	g_free(link);
}

void
peer_link_close(peer_link_t *link)
{
	LIST_REMOVE(link, entries);
	if (link->tcp != NULL)
		link_drop_tcp(link);
	link->state = LINK_WAITING;
	uv_close((uv_handle_t *)&link->timer, on_link_timer_closed);
}

const char *
peer_link_address(const peer_link_t *link)
{
	return link->address;
}

bool
peer_link_up(const peer_link_t *link)
{
	return link->state == LINK_UP;
}

typedef struct outgoing {
	uv_write_t write;
	GBytes *frame;
} outgoing_t;

static void
on_written(uv_write_t *write, int status)
{
	outgoing_t *outgoing = write->data;
	peer_link_t *link = write->handle->data;

	g_bytes_unref(outgoing->frame);
	g_free(outgoing);
	if (link == NULL)
		return;
	if (status < 0)
		link_down(link);
	else
		link->progress_ms = clock_mono_ms();
}

static bool
queue_full(peer_link_t *link, size_t length)
{
	size_t queued =
	    uv_stream_get_write_queue_size((uv_stream_t *)link->tcp);
	int64_t now_ms = clock_mono_ms();

	if (queued == 0)
		link->progress_ms = now_ms;
	return queued + length > PEER_QUEUE_MAX ||
	       now_ms - link->progress_ms > PEER_STALL_MS;
}

static bool
send_early(peer_link_t *link, GBytes *frame)
{
	size_t length = g_bytes_get_size(frame);

	if (link->early_bytes + length > PEER_QUEUE_MAX)
		return false;
	g_ptr_array_add(link->early, g_bytes_ref(frame));
	link->early_bytes += length;
	return true;
}

static bool
send_now(peer_link_t *link, GBytes *frame)
{
	gsize length;
	const void *bytes = g_bytes_get_data(frame, &length);
	uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)length);
	outgoing_t *outgoing;

	if (queue_full(link, length)) {
		count(link->hub, "peer_slow_disconnected_total");
		link_down(link);
		return false;
	}
	outgoing = g_new0(outgoing_t, 1);
	outgoing->frame = g_bytes_ref(frame);
	outgoing->write.data = outgoing;
	if (uv_write(&outgoing->write, (uv_stream_t *)link->tcp, &buffer, 1,
		on_written) != 0) {
		g_bytes_unref(frame);
		g_free(outgoing);
		link_down(link);
		return false;
	}
	counter_add(
	    link->hub->options.counters, length, "peer_bytes_out_total");
	return true;
}

bool
peer_link_send(peer_link_t *link, GBytes *frame)
{
	bool sent = false;

	switch (link->state) {
	case LINK_UP:
		sent = send_now(link, frame);
		break;
	case LINK_CONNECTING:
		sent = send_early(link, frame);
		break;
	case LINK_WAITING:
		break;
	}
	count(link->hub,
	    sent ? "peer_frames_out_total" : "peer_frames_dropped_total");
	return sent;
}

/* Hub. */

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
	uv_timer_init(options->loop, &hub->sweep);
	hub->sweep.data = hub;
	hub->open_handles = 2;
	if (!hub_listen(hub, error)) {
		peer_hub_free(hub);
		return NULL;
	}
	uv_timer_start(&hub->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	return hub;
}

static void
ignore_lost(const char *from, void *data)
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
	hub->options.on_lost = ignore_lost;
	while ((accepted = LIST_FIRST(&hub->accepted)) != NULL)
		accepted_close(accepted);
	while ((link = LIST_FIRST(&hub->links)) != NULL)
		peer_link_close(link);
	uv_close((uv_handle_t *)&hub->listener, on_hub_handle_closed);
	uv_close((uv_handle_t *)&hub->sweep, on_hub_handle_closed);
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
