#ifndef PAPAYA_CONN_H
#define PAPAYA_CONN_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

/*
 * One TCP connection on a libuv loop. Owned by whoever opened or accepted it,
 * until conn_close() or conn_shutdown(); no callback comes after either.
 */
typedef struct conn conn_t;

typedef struct conn_callbacks {
	/* Only for conn_connect(); error is a libuv code, 0 if connected. */
	void (*on_connect)(conn_t *conn, int error, void *data);
	void (*on_data)(
	    conn_t *conn, const char *bytes, size_t length, void *data);
	/* The peer sent its end (error 0), or the connection failed. */
	void (*on_end)(conn_t *conn, int error, void *data);
	/* Optional; every queued byte has been handed to the kernel. */
	void (*on_write_queue_empty)(conn_t *conn, void *data);
} conn_callbacks_t;

/* Reads "IP:PORT"; false where it is neither. */
bool conn_parse_address(const char *text, struct sockaddr_in *address);

/* Accepts from a listening stream; NULL where that fails. */
conn_t *conn_accept(
    uv_stream_t *listener, const conn_callbacks_t *callbacks, void *data);

/*
 * Starts to connect; on_open comes later. NULL where no socket can be had.
 * A peer that acknowledges nothing for unacked_ms fails the connection.
 */
conn_t *conn_connect(uv_loop_t *loop, const struct sockaddr_in *address,
    unsigned ack_timeout_ms, const conn_callbacks_t *callbacks, void *data);

/* Sends a copy of the bytes. */
void conn_write(conn_t *conn, const char *bytes, size_t length);

/* Bytes not yet handed to the kernel. */
size_t conn_queued_bytes(const conn_t *conn);

/* Stops or resumes reading; an accepted or opened connection reads. */
void conn_set_reading(conn_t *conn, bool reading);

/* Closes at once; queued bytes are lost. */
void conn_close(conn_t *conn);

/*
 * Sends what is queued and the end of the stream, then discards what the peer
 * still sends for a short while, so that the response is not lost to a reset.
 */
void conn_shutdown(conn_t *conn);

#endif
