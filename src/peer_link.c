#include "peer_hub.h"

#include "clock.h"
#include "conn.h"

#include <string.h>

enum {
	CONNECT_TIMEOUT_MS = 3000,
	BACKOFF_INITIAL_MS = 100,
	BACKOFF_MAX_MS = 5000,
	/* A connection that lasted this long resets the backoff. */
	BACKOFF_RESET_MS = 5000,
};

typedef enum link_state {
	LINK_BACKOFF, /* waits for the next attempt */
	LINK_CONNECTING,
	LINK_CONNECTED,
} link_state_t;

struct peer_link {
	LIST_ENTRY(peer_link) entries;
	peer_hub_t *hub;
	char *address;
	struct sockaddr_in socket_address;
	link_state_t state;
	uv_timer_t timer; /* next attempt, or timeout of the current one */
	uv_tcp_t *tcp;	  /* NULL in LINK_BACKOFF */
	GPtrArray *pending_frames; /* GBytes sent in LINK_CONNECTING */
	size_t pending_bytes;
	int64_t backoff_ms;
	int64_t connected_at_ms;
	int64_t last_progress_ms; /* queue last seen empty, or last write */
	char read_byte;
};

static GPtrArray *
frame_array_new(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
}

static void
free_handle(uv_handle_t *handle)
{
	g_free(handle);
}

static void link_connect(peer_link_t *link);

static void
on_reconnect_due(uv_timer_t *timer)
{
	link_connect(timer->data);
}

/* Half of the backoff is jitter, so that nodes do not reconnect together. */
static void
link_schedule_reconnect(peer_link_t *link)
{
	int64_t half_ms = link->backoff_ms / 2;
	int64_t delay_ms = half_ms + g_rand_int_range(link->hub->options.rand,
					 0, (gint32)half_ms + 1);

	link->state = LINK_BACKOFF;
	link->backoff_ms = MIN(link->backoff_ms * 2, BACKOFF_MAX_MS);
	uv_timer_start(&link->timer, on_reconnect_due, (uint64_t)delay_ms, 0);
}

static void
link_close_tcp(peer_link_t *link)
{
	link->tcp->data = NULL;
	uv_close((uv_handle_t *)link->tcp, free_handle);
	link->tcp = NULL;
	g_ptr_array_set_size(link->pending_frames, 0);
	link->pending_bytes = 0;
}

/* Closes the connection and schedules the next attempt. */
static void
link_disconnect(peer_link_t *link)
{
	if (link->state == LINK_BACKOFF)
		return;
	if (link->state == LINK_CONNECTED &&
	    clock_mono_ms() - link->connected_at_ms >= BACKOFF_RESET_MS)
		link->backoff_ms = BACKOFF_INITIAL_MS;
	link_close_tcp(link);
	link_schedule_reconnect(link);
}

static void
on_link_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	peer_link_t *link = handle->data;

	*buffer = uv_buf_init(&link->read_byte, 1);
}

/* The peer sends nothing on a link: a read only detects the end of it. */
static void
on_link_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	if (length != 0 && stream->data != NULL)
		link_disconnect(stream->data);
}

static void
on_connect_timeout(uv_timer_t *timer)
{
	link_disconnect(timer->data);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	peer_link_t *link = connect->handle->data;
	GPtrArray *pending_frames;

	g_free(connect);
	if (link == NULL || status == UV_ECANCELED)
		return;
	if (status < 0) {
		peer_counter_increment(
		    link->hub, "peer_connect_failures_total");
		link_disconnect(link);
		return;
	}
	uv_timer_stop(&link->timer);
	link->state = LINK_CONNECTED;
	link->connected_at_ms = clock_mono_ms();
	link->last_progress_ms = link->connected_at_ms;
	uv_tcp_nodelay(link->tcp, 1);
	uv_read_start((uv_stream_t *)link->tcp, on_link_alloc, on_link_read);
	pending_frames = link->pending_frames;
	link->pending_frames = frame_array_new();
	link->pending_bytes = 0;
	link->hub->options.on_link_connected(link, link->hub->options.data);
	for (guint i = 0; i < pending_frames->len; i++)
		peer_link_send(link, pending_frames->pdata[i]);
	g_ptr_array_free(pending_frames, TRUE);
}

static void
link_connect(peer_link_t *link)
{
	uv_connect_t *connect = g_new0(uv_connect_t, 1);

	link->state = LINK_CONNECTING;
	link->tcp = g_new0(uv_tcp_t, 1);
	uv_tcp_init(link->hub->options.loop, link->tcp);
	link->tcp->data = link;
	uv_timer_start(&link->timer, on_connect_timeout, CONNECT_TIMEOUT_MS, 0);
	if (uv_tcp_connect(connect, link->tcp,
		(const struct sockaddr *)&link->socket_address,
		on_connected) != 0) {
		g_free(connect);
		link_disconnect(link);
	}
}

peer_link_t *
peer_link_open(peer_hub_t *hub, const char *address)
{
	peer_link_t *link = g_new0(peer_link_t, 1);

	link->hub = hub;
	link->address = g_strdup(address);
	link->backoff_ms = BACKOFF_INITIAL_MS;
	link->pending_frames = frame_array_new();
	uv_timer_init(hub->options.loop, &link->timer);
	link->timer.data = link;
	LIST_INSERT_HEAD(&hub->links, link, entries);
	if (conn_parse_address(address, &link->socket_address))
		link_connect(link);
	return link;
}

static void
on_link_timer_closed(uv_handle_t *handle)
{
	peer_link_t *link = handle->data;

	g_ptr_array_free(link->pending_frames, TRUE);
	g_free(link->address);
	g_free(link);
}

void
peer_link_close(peer_link_t *link)
{
	LIST_REMOVE(link, entries);
	if (link->tcp != NULL)
		link_close_tcp(link);
	link->state = LINK_BACKOFF;
	uv_close((uv_handle_t *)&link->timer, on_link_timer_closed);
}

const char *
peer_link_address(const peer_link_t *link)
{
	return link->address;
}

bool
peer_link_connected(const peer_link_t *link)
{
	return link->state == LINK_CONNECTED;
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
		link_disconnect(link);
	else
		link->last_progress_ms = clock_mono_ms();
}

static bool
peer_too_slow(peer_link_t *link, size_t length)
{
	size_t queued_bytes =
	    uv_stream_get_write_queue_size((uv_stream_t *)link->tcp);
	int64_t now_ms = clock_mono_ms();

	if (queued_bytes == 0)
		link->last_progress_ms = now_ms;
	return queued_bytes + length > PEER_QUEUE_MAX_BYTES ||
	       now_ms - link->last_progress_ms > PEER_STALL_TIMEOUT_MS;
}

static bool
queue_frame(peer_link_t *link, GBytes *frame)
{
	size_t length = g_bytes_get_size(frame);

	if (link->pending_bytes + length > PEER_QUEUE_MAX_BYTES)
		return false;
	g_ptr_array_add(link->pending_frames, g_bytes_ref(frame));
	link->pending_bytes += length;
	return true;
}

static bool
write_frame(peer_link_t *link, GBytes *frame)
{
	gsize length;
	const void *bytes = g_bytes_get_data(frame, &length);
	uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)length);
	outgoing_t *outgoing;

	if (peer_too_slow(link, length)) {
		peer_counter_increment(
		    link->hub, "peer_slow_disconnected_total");
		link_disconnect(link);
		return false;
	}
	outgoing = g_new0(outgoing_t, 1);
	outgoing->frame = g_bytes_ref(frame);
	outgoing->write.data = outgoing;
	if (uv_write(&outgoing->write, (uv_stream_t *)link->tcp, &buffer, 1,
		on_written) != 0) {
		g_bytes_unref(frame);
		g_free(outgoing);
		link_disconnect(link);
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
	case LINK_CONNECTED:
		sent = write_frame(link, frame);
		break;
	case LINK_CONNECTING:
		sent = queue_frame(link, frame);
		break;
	case LINK_BACKOFF:
		break;
	}
	peer_counter_increment(link->hub,
	    sent ? "peer_frames_out_total" : "peer_frames_dropped_total");
	return sent;
}
