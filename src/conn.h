#ifndef PAPAYA_CONN_H
#define PAPAYA_CONN_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

/*
 * One TCP connection on a libuv loop. Owned by the caller that opened or
 * accepted it until conn_close() or conn_shutdown(), after which it makes no
 * callbacks.
 */
typedef struct conn conn_t;

typedef struct conn_callbacks {
	/* Only after conn_connect(). error: 0 if connected, or a libuv code. */
	void (*on_connect)(conn_t *conn, int error, void *data);
	void (*on_data)(
	    conn_t *conn, const char *bytes, size_t length, void *data);
	/* The peer closed its side (error 0), or the connection failed or was
	 * reset (libuv error code). Called once. */
	void (*on_end)(conn_t *conn, int error, void *data);
	/* Optional. Some queued bytes have been handed to the kernel. */
	void (*on_write_progress)(conn_t *conn, void *data);
	/* Optional. All queued bytes have been handed to the kernel. */
	void (*on_write_queue_empty)(conn_t *conn, void *data);
} conn_callbacks_t;

/* Parses "IP:PORT" (IPv4); false if malformed. */
bool conn_parse_address(const char *text, struct sockaddr_in *address);

/* The same with port 0 too, for which the kernel assigns one. */
bool conn_parse_listen_address(const char *text, struct sockaddr_in *address);

/* Accepts a connection from a listening stream; NULL on failure. */
conn_t *conn_accept(
    uv_stream_t *listener, const conn_callbacks_t *callbacks, void *data);

/*
 * Starts to connect; on_connect is called later. NULL if the attempt cannot be
 * started. The connection fails when the peer acknowledges neither data nor
 * keepalive probes for ack_timeout_ms; 0 disables that check.
 */
conn_t *conn_connect(uv_loop_t *loop, const struct sockaddr_in *address,
    unsigned ack_timeout_ms, const conn_callbacks_t *callbacks, void *data);

/* True where the connection is made, also if on_connect is still to come. */
bool conn_is_made(const conn_t *conn);

/* Sends the bytes; copies what cannot be sent at once. */
void conn_write(conn_t *conn, const char *bytes, size_t length);

/* The same without a copy: refers to the bytes, which must not change. */
void conn_write_shared(conn_t *conn, GByteArray *bytes);

/* Number of bytes not yet handed to the kernel. */
size_t conn_queued_bytes(const conn_t *conn);

/* The same, and those that the kernel holds until the peer has taken them. */
size_t conn_unsent_bytes(const conn_t *conn);

/* Memory that is allocated for the queued ones; shared bytes do not count. */
size_t conn_queue_memory(const conn_t *conn);

/* Pauses or resumes reading; a new connection is reading. */
void conn_set_reading(conn_t *conn, bool reading);

/* Most bytes that one read takes; 0: the default of 64 KiB. */
void conn_set_read_max(conn_t *conn, size_t bytes);

/* What has come from the peer and has not been read yet. */
typedef enum conn_unread {
	CONN_UNREAD_NONE,
	CONN_UNREAD_BYTES,
	CONN_UNREAD_END, /* the peer's end, or a failure of the connection */
} conn_unread_t;

/*
 * The loop runs expired timers before it reads: after a pause of the process, a
 * timer for something that is missing finds it here. The look changes nothing:
 * what is unread, or the error of a failure, is still reported.
 */
conn_unread_t conn_unread(const conn_t *conn);

/* Closes at once; queued bytes are discarded. The kernel resets the connection
 * if bytes are unread, or come later. */
void conn_close(conn_t *conn);

/* The same, with a reset: the peer does not take it for the end of the data. */
void conn_reset(conn_t *conn);

/*
 * Sends the queued bytes and shuts down the sending side. Closes after a short
 * time, but not before the peer has acknowledged all bytes or none for 5
 * seconds: an earlier reset could make it lose the response.
 *
 * late_count: what the peer sends meanwhile stays unread, so that the close
 * resets the connection, and the counter is incremented; borrowed until the
 * process ends. NULL: what it sends is read and discarded.
 */
void conn_shutdown(conn_t *conn, uint64_t *late_count);

/*
 * Like conn_shutdown() without a counter, but keeps the sending side open and
 * ends with a reset. For a connection on which a request was read that does not
 * run: its client sees that.
 */
void conn_reset_after(conn_t *conn);

/* Connections of the process that these two have not closed yet. */
unsigned conn_lingering_count(void);
/*
 * True where the end of the process may cut a response of one of them, or takes
 * the place of its reset.
 */
bool conn_lingering_has_unsent(void);
/* Closes the one that has waited longest, rather one without unsent bytes. */
void conn_close_oldest_lingering(void);

#endif
