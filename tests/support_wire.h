#ifndef PAPAYA_TEST_SUPPORT_WIRE_H
#define PAPAYA_TEST_SUPPORT_WIRE_H

#include <glib.h>
#include <stdbool.h>

/*
 * Plain TCP sockets with which a test plays, byte by byte, a client of papayad
 * or a backend server behind it. A read or accept that gets nothing for
 * WIRE_TIMEOUT_MS fails the test.
 */

enum { WIRE_TIMEOUT_MS = 5000 };

/* Listens on 127.0.0.1; the kernel assigns the port. Returns the socket. */
int wire_listen(int *port);

/* Waits for a connection and accepts it. Returns the socket. */
int wire_accept(int listener);

/* True if a connection can be accepted before the timeout. */
bool wire_wait_connection(int listener, int timeout_ms);

/* Connects to IP:PORT. Returns the socket. */
int wire_connect(const char *address);

/* The same with a receive buffer of about so many bytes; 0: the default. */
int wire_connect_slow(const char *address, int receive_bytes);

void wire_send(int fd, const char *text);

/* Appends a body as chunks of so many bytes, without the last chunk. */
void wire_append_chunks(GString *out, const GString *body, size_t chunk_bytes);

/*
 * Reads one HTTP message and its body of Content-Length bytes. Free with
 * g_free().
 */
char *wire_read_message(int fd);

/* The status of that message, a response. */
unsigned wire_read_status(int fd);

/*
 * Reads until the peer closes the connection; *reset is true if it was reset.
 * Free with g_free().
 */
char *wire_read_until_closed(int fd, bool *reset);

/*
 * Reads the response to a request other than HEAD, until it is complete or the
 * connection ends, and returns its body. *is_whole is false where a client of
 * HTTP/1.1 sees that the response is cut. Free with g_free().
 */
char *wire_read_body(int fd, bool *is_whole);

/* Reads until the data contains the wanted text. Free with g_free(). */
char *wire_read_until(int fd, const char *wanted);

/*
 * True if the peer closes the connection, or has closed it, before the timeout.
 * False if data arrives first; one byte of it is consumed.
 */
bool wire_wait_closed(int fd, int timeout_ms);

/* Value of a header of a message; NULL if absent. Free with g_free(). */
char *wire_header(const char *message, const char *name);

/* Fails the test if a header has another value; NULL: if it is present. */
void wire_assert_header(
    const char *message, const char *name, const char *expected);

#endif
