#ifndef PAPAYA_TEST_SUPPORT_WIRE_H
#define PAPAYA_TEST_SUPPORT_WIRE_H

#include <glib.h>
#include <stdbool.h>

/*
 * Plain TCP ends that a test scripts byte by byte: clients of papayad and the
 * backend servers behind it. Every call fails the test after its timeout.
 */

enum { WIRE_TIMEOUT_MS = 5000 };

/* Listens on a port of 127.0.0.1 chosen by the kernel. */
int wire_listen(int *port);

/* Accepts one connection. */
int wire_accept(int listener);

/* True where a connection waits to be accepted within the time. */
bool wire_wait_connection(int listener, int timeout_ms);

int wire_connect(const char *address);
void wire_send(int fd, const char *text);

/* Reads one message with its body by Content-Length. Free with g_free(). */
char *wire_read_message(int fd);

/*
 * Reads until the peer closes; *reset tells how. Free with g_free().
 */
char *wire_read_until_closed(int fd, bool *reset);

/* Reads until the text has been seen. Free with g_free(). */
char *wire_read_until(int fd, const char *wanted);

/* True where the peer closes, or has closed, within the time. */
bool wire_wait_closed(int fd, int timeout_ms);

/* Value of a header of a message, newly allocated; NULL where absent. */
char *wire_header(const char *message, const char *name);
/* Fails where a header has another value; NULL: is to be absent. */
void wire_assert_header(
    const char *message, const char *name, const char *expected);

#endif
