#include "conn.h"

#include "turn.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/queue.h>

enum {
	READ_BUFFER_BYTES = 64 * 1024,
	/* Time for the peer to read the last response before the close. */
	LINGER_MS = 1000,
	/* Interval at which a lingering connection is checked for acknowledged
	 * bytes after that. */
	LINGER_POLL_MS = 250,
	/* It is closed after this time without one. */
	LINGER_STALL_MS = 5000,
	/* Lingering connections that are checked to find one to close. */
	LINGER_CHECKS_MAX = 16,
	/* Most that is read and discarded in a round of the loop meanwhile. */
	LINGER_READ_BYTES = 16 * 1024,
	KEEPALIVE_IDLE_S = 1,
	KEEPALIVE_INTERVAL_S = 1,
	KEEPALIVE_PROBES = 2,
};

struct conn {
	TAILQ_ENTRY(conn) lingering_entries;
	uv_tcp_t tcp;
	uv_timer_t timer; /* next read, or end of the linger time */
	uv_connect_t connect;
	uv_shutdown_t shutdown;
	conn_callbacks_t callbacks;
	void *data;
	unsigned open_handles;
	int64_t linger_look_ms;	 /* uv_now() of the next look */
	int64_t linger_stall_ms; /* uv_now() of the end without progress */
	size_t linger_unsent;	 /* conn_unsent_bytes() at the last look */
	size_t read_max;
	size_t cheap_max;    /* bytes that cost no more than a turn's share */
	uint64_t cost_ns;    /* of the last reading */
	size_t queue_memory; /* allocated for the writes in progress */
	int write_error;     /* libuv code of a failed conn_write(), or 0 */
	bool reading;
	bool accepted;
	bool yielded; /* reading goes on in another round of the loop */
	bool put_off; /* this round's time for reading is used up */
	bool taken;   /* it reads in this round all the same */
	bool ended;   /* on_end has been called */
	bool closing; /* the owner has closed it: no more callbacks */
	bool lingering;
	bool reset_after;     /* the linger ends with a reset */
	uint64_t *late_count; /* see conn_shutdown() */
};

typedef struct write {
	uv_write_t request;
	conn_t *conn;
	GByteArray *shared; /* holds the bytes instead; NULL: none */
	size_t length;	    /* of bytes */
	char bytes[];
} write_t;

/* Shared by all connections: they run on one thread, and on_data() consumes
 * the bytes before the next read. */
static char read_buffer[READ_BUFFER_BYTES];

/* Those that conn_shutdown() or conn_reset_after() keeps open, in order of the
 * calls. */
static TAILQ_HEAD(conn_list, conn) lingering = TAILQ_HEAD_INITIALIZER(
    lingering);
static unsigned lingering_count;

static bool
parse_address(const char *text, guint64 port_min, struct sockaddr_in *address)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];
	guint64 port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host) ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, port_min, G_MAXUINT16, &port, NULL))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	return uv_ip4_addr(host, (int)port, address) == 0;
}

bool
conn_parse_address(const char *text, struct sockaddr_in *address)
{
	return parse_address(text, 1, address);
}

bool
conn_parse_listen_address(const char *text, struct sockaddr_in *address)
{
	return parse_address(text, 0, address);
}

static void
on_handle_closed(uv_handle_t *handle)
{
	conn_t *conn = handle->data;

	if (--conn->open_handles == 0)
		g_free(conn);
}

static void
end_linger(conn_t *conn)
{
	if (!conn->lingering)
		return;
	conn->lingering = false;
	TAILQ_REMOVE(&lingering, conn, lingering_entries);
	lingering_count--;
}

static void
close_handles(conn_t *conn)
{
	end_linger(conn);
	if (uv_is_closing((uv_handle_t *)&conn->tcp))
		return;
	uv_close((uv_handle_t *)&conn->timer, on_handle_closed);
	uv_close((uv_handle_t *)&conn->tcp, on_handle_closed);
}

static conn_t *
conn_new(uv_loop_t *loop, const conn_callbacks_t *callbacks, void *data)
{
	conn_t *conn = g_new0(conn_t, 1);

	conn->callbacks = *callbacks;
	conn->data = data;
	conn->open_handles = 2;
	conn->read_max = sizeof(read_buffer);
	conn->cheap_max = sizeof(read_buffer);
	uv_tcp_init(loop, &conn->tcp);
	uv_timer_init(loop, &conn->timer);
	conn->tcp.data = conn;
	conn->timer.data = conn;
	return conn;
}

static void
report_end(conn_t *conn, int error)
{
	if (conn->closing) {
		close_handles(conn);
		return;
	}
	if (conn->ended)
		return;
	conn->ended = true;
	conn->callbacks.on_end(conn, error, conn->data);
}

conn_unread_t
conn_unread(const conn_t *conn)
{
	struct pollfd look = {.events = POLLIN | POLLRDHUP};
	int unread_bytes = 0;

	if (uv_fileno((const uv_handle_t *)&conn->tcp, &look.fd) != 0)
		return CONN_UNREAD_NONE;
	if (ioctl(look.fd, FIONREAD, &unread_bytes) == 0 && unread_bytes > 0)
		return CONN_UNREAD_BYTES;
	/* recv() would take a pending error off the socket, after which the
	 * loop reads an end of file. */
	return poll(&look, 1, 0) > 0 ? CONN_UNREAD_END : CONN_UNREAD_NONE;
}

/* Without a buffer libuv reads nothing and reports UV_ENOBUFS. */
static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	conn_t *conn = handle->data;
	size_t length = MIN(conn->read_max, conn->cheap_max);

	conn->put_off = !conn->taken && turn_is_spent();
	if (conn->put_off || (conn->late_count != NULL &&
				 conn_unread(conn) == CONN_UNREAD_BYTES))
		length = 0;
	*buffer =
	    uv_buf_init(length == 0 ? NULL : read_buffer, (unsigned)length);
}

/*
 * The error behind an end of file from libuv, 0 if the peer closed its side.
 * libuv reports an end of file for a connection that it finds failed after it
 * has read the last bytes, and does not ask for the error.
 */
static int
end_error(const conn_t *conn)
{
	int error = 0;
	socklen_t length = sizeof(error);
	uv_os_fd_t fd;
	int rc = uv_fileno((const uv_handle_t *)&conn->tcp, &fd);

	if (conn->write_error != 0)
		return conn->write_error;
	if (rc != 0)
		return rc;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
		error = errno;
	/* EPIPE: a reset that came after the end of the peer's data. */
	return error == EPIPE ? 0 : uv_translate_sys_error(error);
}

static void on_read(
    uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer);

static void
start_reading(conn_t *conn)
{
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void on_linger_timeout(uv_timer_t *timer);

static void
start_linger_timer(conn_t *conn)
{
	int64_t remaining_ms =
	    conn->linger_look_ms - (int64_t)uv_now(conn->timer.loop);

	uv_timer_start(
	    &conn->timer, on_linger_timeout, (uint64_t)MAX(remaining_ms, 0), 0);
}

static void
finish_linger(conn_t *conn)
{
	if (conn->reset_after)
		conn_reset(conn);
	else
		close_handles(conn);
}

/*
 * A close with unread bytes discards what the kernel has not sent: it waits
 * for a peer that reads slowly.
 */
static void
on_linger_timeout(uv_timer_t *timer)
{
	conn_t *conn = timer->data;
	size_t unsent = conn_unsent_bytes(conn);
	int64_t now_ms = (int64_t)uv_now(timer->loop);

	if (unsent < conn->linger_unsent)
		conn->linger_stall_ms = now_ms + LINGER_STALL_MS;
	conn->linger_unsent = unsent;
	if (unsent == 0 || now_ms >= conn->linger_stall_ms) {
		finish_linger(conn);
		return;
	}
	conn->linger_look_ms = now_ms + LINGER_POLL_MS;
	start_linger_timer(conn);
}

static void
on_next_round(uv_timer_t *timer)
{
	conn_t *conn = timer->data;

	if (!turn_take(conn->cost_ns)) {
		uv_timer_start(timer, on_next_round, turn_wait_ms(), 0);
		return;
	}
	conn->yielded = false;
	conn->taken = true;
	if (conn->lingering) {
		start_reading(conn);
		start_linger_timer(conn);
		return;
	}
	if (conn->reading && !conn->ended)
		start_reading(conn);
}

/* Lets other connections have their turn. */
static void
yield(conn_t *conn, uint64_t wait_ms)
{
	uv_read_stop((uv_stream_t *)&conn->tcp);
	conn->yielded = true;
	uv_timer_start(&conn->timer, on_next_round, wait_ms, 0);
}

/*
 * Passes on what was read, and sees what it costs. A read that may cost more
 * than a connection's share of a round is made smaller.
 */
static void
deliver(conn_t *conn, const char *bytes, size_t length)
{
	uint64_t since_ns = turn_clock_ns();

	conn->callbacks.on_data(conn, bytes, length, conn->data);
	conn->cost_ns = turn_note_connection(
	    conn->accepted ? TURN_CLIENT : TURN_SERVER, &conn->tcp, since_ns);
	if (turn_is_costly(conn->cost_ns))
		conn->cheap_max = turn_read_max(length, conn->cost_ns);
	else
		conn->cheap_max = MIN(2 * conn->cheap_max, sizeof(read_buffer));
}

static void
on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	conn_t *conn = stream->data;

	conn->taken = false;
	if (length == UV_ENOBUFS && conn->put_off) {
		turn_put_off();
		yield(conn, 0);
		return;
	}
	if (length == UV_ENOBUFS) {
		uv_read_stop(stream);
		++*conn->late_count;
		conn->late_count = NULL;
		return;
	}
	if (length < 0) {
		uv_read_stop(stream);
		conn->reading = false;
		report_end(
		    conn, length == UV_EOF ? end_error(conn) : (int)length);
		return;
	}
	conn->cost_ns = 0;
	if (length > 0 && !conn->closing)
		deliver(conn, buffer->base, (size_t)length);
	/*
	 * libuv reads on in the same round for as long as the buffer is filled,
	 * and a peer may send without end.
	 */
	if ((length == (ssize_t)buffer->len || turn_is_costly(conn->cost_ns)) &&
	    (conn->lingering || (conn->reading && !conn->closing)))
		yield(conn, turn_wait_ms());
}

void
conn_set_read_max(conn_t *conn, size_t bytes)
{
	conn->read_max =
	    bytes == 0 ? sizeof(read_buffer) : MIN(bytes, sizeof(read_buffer));
}

void
conn_set_reading(conn_t *conn, bool reading)
{
	if (conn->reading == reading || conn->ended)
		return;
	conn->reading = reading;
	if (conn->yielded)
		return;
	if (reading)
		start_reading(conn);
	else
		uv_read_stop((uv_stream_t *)&conn->tcp);
}

static void
set_socket_options(conn_t *conn, unsigned ack_timeout_ms)
{
	static const int idle = KEEPALIVE_IDLE_S;
	static const int interval = KEEPALIVE_INTERVAL_S;
	static const int probes = KEEPALIVE_PROBES;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&conn->tcp, 1);
	if (ack_timeout_ms == 0 ||
	    uv_fileno((uv_handle_t *)&conn->tcp, &fd) != 0)
		return;
	uv_tcp_keepalive(&conn->tcp, 1, KEEPALIVE_IDLE_S);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ack_timeout_ms,
	    sizeof(ack_timeout_ms));
}

conn_t *
conn_accept(
    uv_stream_t *listener, const conn_callbacks_t *callbacks, void *data)
{
	conn_t *conn = conn_new(listener->loop, callbacks, data);

	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) != 0) {
		conn->closing = true;
		close_handles(conn);
		return NULL;
	}
	conn->accepted = true;
	set_socket_options(conn, 0);
	conn_set_reading(conn, true);
	return conn;
}

static void
on_connected(uv_connect_t *request, int status)
{
	conn_t *conn = request->data;

	if (conn->closing)
		return;
	if (status == 0)
		conn_set_reading(conn, true);
	conn->callbacks.on_connect(conn, status, conn->data);
}

conn_t *
conn_connect(uv_loop_t *loop, const struct sockaddr_in *address,
    unsigned ack_timeout_ms, const conn_callbacks_t *callbacks, void *data)
{
	conn_t *conn = conn_new(loop, callbacks, data);

	conn->connect.data = conn;
	if (uv_tcp_connect(&conn->connect, &conn->tcp,
		(const struct sockaddr *)address, on_connected) != 0) {
		conn->closing = true;
		close_handles(conn);
		return NULL;
	}
	set_socket_options(conn, ack_timeout_ms);
	return conn;
}

bool
conn_is_made(const conn_t *conn)
{
	struct sockaddr_in peer;
	int length = sizeof(peer);

	return uv_tcp_getpeername(
		   &conn->tcp, (struct sockaddr *)&peer, &length) == 0;
}

static void
write_free(write_t *write)
{
	write->conn->queue_memory -= sizeof(*write) + write->length;
	if (write->shared != NULL)
		g_byte_array_unref(write->shared);
	g_free(write);
}

static void
on_written(uv_write_t *request, int status)
{
	write_t *write = request->data;
	conn_t *conn = write->conn;

	write_free(write);
	if (status < 0) {
		if (status != UV_ECANCELED)
			report_end(conn, status);
		return;
	}
	if (conn->closing)
		return;
	if (conn->callbacks.on_write_progress != NULL)
		conn->callbacks.on_write_progress(conn, conn->data);
	if (!conn->closing && conn_queued_bytes(conn) == 0 &&
	    conn->callbacks.on_write_queue_empty != NULL)
		conn->callbacks.on_write_queue_empty(conn, conn->data);
}

/* Sends what the kernel takes at once; returns the number of bytes. */
static size_t
write_at_once(conn_t *conn, const char *bytes, size_t length)
{
	uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)length);
	int sent = 0;

	if (conn_queued_bytes(conn) == 0)
		sent = uv_try_write((uv_stream_t *)&conn->tcp, &buffer, 1);
	if (sent >= 0)
		return (size_t)sent;
	/* The queued write reports the error, but maybe after an end of file
	 * that it causes. */
	if (sent != UV_EAGAIN && sent != UV_EPIPE)
		conn->write_error = sent;
	return 0;
}

/* copied: bytes to be copied into the write; 0 where they are shared. */
static write_t *
write_new(conn_t *conn, size_t copied)
{
	write_t *write = g_malloc(sizeof(*write) + copied);

	write->conn = conn;
	write->request.data = write;
	write->shared = NULL;
	write->length = copied;
	conn->queue_memory += sizeof(*write) + copied;
	return write;
}

static void
write_queue(write_t *write, const char *bytes, size_t length)
{
	uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)length);

	if (uv_write(&write->request, (uv_stream_t *)&write->conn->tcp, &buffer,
		1, on_written) != 0)
		write_free(write); /* the reading side reports the failure */
}

void
conn_write(conn_t *conn, const char *bytes, size_t length)
{
	write_t *write;
	size_t sent;

	if (conn->ended || length == 0)
		return;
	sent = write_at_once(conn, bytes, length);
	if (sent == length)
		return;
	write = write_new(conn, length - sent);
	memcpy(write->bytes, bytes + sent, length - sent);
	write_queue(write, write->bytes, length - sent);
}

void
conn_write_shared(conn_t *conn, GByteArray *bytes)
{
	const char *start = (const char *)bytes->data;
	write_t *write;
	size_t sent;

	if (conn->ended || bytes->len == 0)
		return;
	sent = write_at_once(conn, start, bytes->len);
	if (sent == bytes->len)
		return;
	write = write_new(conn, 0);
	write->shared = g_byte_array_ref(bytes);
	write_queue(write, start + sent, bytes->len - sent);
}

size_t
conn_queued_bytes(const conn_t *conn)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
}

size_t
conn_unsent_bytes(const conn_t *conn)
{
	uv_os_fd_t fd;
	int in_kernel = 0;

	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd) != 0 ||
	    ioctl(fd, SIOCOUTQ, &in_kernel) != 0)
		in_kernel = 0;
	return conn_queued_bytes(conn) + (size_t)in_kernel;
}

size_t
conn_queue_memory(const conn_t *conn)
{
	return conn->queue_memory;
}

void
conn_close(conn_t *conn)
{
	conn->closing = true;
	close_handles(conn);
}

void
conn_reset(conn_t *conn)
{
	conn->closing = true;
	end_linger(conn);
	if (uv_is_closing((uv_handle_t *)&conn->tcp) ||
	    uv_tcp_close_reset(&conn->tcp, on_handle_closed) != 0) {
		close_handles(conn);
		return;
	}
	uv_close((uv_handle_t *)&conn->timer, on_handle_closed);
}

static void
on_shutdown(uv_shutdown_t *request, int status)
{
	conn_t *conn = request->data;

	if (status != 0)
		close_handles(conn);
}

static void
start_linger(conn_t *conn, uint64_t *late_count)
{
	int64_t now_ms = (int64_t)uv_now(conn->timer.loop);

	conn->yielded = false;
	conn->lingering = true;
	conn->late_count = late_count;
	conn->read_max = LINGER_READ_BYTES;
	TAILQ_INSERT_TAIL(&lingering, conn, lingering_entries);
	lingering_count++;
	conn->linger_unsent = conn_unsent_bytes(conn);
	conn->linger_look_ms = now_ms + LINGER_MS;
	conn->linger_stall_ms = now_ms + LINGER_STALL_MS;
	if (!conn->ended)
		start_reading(conn);
	start_linger_timer(conn);
}

void
conn_shutdown(conn_t *conn, uint64_t *late_count)
{
	conn->closing = true;
	conn->shutdown.data = conn;
	if (uv_shutdown(
		&conn->shutdown, (uv_stream_t *)&conn->tcp, on_shutdown) != 0) {
		close_handles(conn);
		return;
	}
	start_linger(conn, late_count);
}

void
conn_reset_after(conn_t *conn)
{
	conn->closing = true;
	conn->reset_after = true;
	start_linger(conn, NULL);
}

unsigned
conn_lingering_count(void)
{
	return lingering_count;
}

bool
conn_lingering_has_unsent(void)
{
	const conn_t *conn;

	TAILQ_FOREACH (conn, &lingering, lingering_entries)
		if (conn->reset_after || conn_unsent_bytes(conn) > 0)
			return true;
	return false;
}

void
conn_close_oldest_lingering(void)
{
	conn_t *oldest = TAILQ_FIRST(&lingering);
	conn_t *conn;
	unsigned looks = 0;

	TAILQ_FOREACH (conn, &lingering, lingering_entries) {
		if (conn_unsent_bytes(conn) == 0) {
			finish_linger(conn);
			return;
		}
		if (++looks == LINGER_CHECKS_MAX)
			break;
	}
	if (oldest != NULL)
		finish_linger(oldest);
}
