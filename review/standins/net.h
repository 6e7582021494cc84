#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <stdbool.h>
#include <stddef.h>

/* Sockets and HTTP/1.1 messages of the stand-ins, on loopback addresses. */

enum { NET_HEAD_MAX = 16 * 1024 };

/* How a read ended. */
typedef enum net_end {
	NET_OK,
	NET_CLOSED,  /* the peer closed the connection in good order */
	NET_RESET,   /* the connection was reset, or failed otherwise */
	NET_TIMEOUT, /* nothing arrived in time */
} net_end_t;

/* The head of a message, and the bytes that were read behind it. */
typedef struct net_message {
	char head[NET_HEAD_MAX]; /* up to the empty line, NUL-terminated */
	size_t head_length;	 /* with the empty line */
	size_t length;		 /* of all bytes in head */
} net_message_t;

/* A listening socket on a free port; exits where there is none. */
int net_listen(const char *ip, int *port);

/* A connection to IP:PORT, or -1. Reads on it end after timeout_ms. */
int net_connect(const char *address, int timeout_ms);

/* False where the connection failed. */
bool net_send(int fd, const void *bytes, size_t length);

/* Reads some bytes; *length is 0 unless NET_OK is returned. */
net_end_t net_read(int fd, char *bytes, size_t size, size_t *length);

/* Reads a message up to the end of its head. */
net_end_t net_read_head(int fd, net_message_t *message);

/* Copies a header's value; false where the message has none. */
bool net_header(
    const net_message_t *message, const char *name, char *value, size_t size);

/* The status of a response; 0: malformed. */
int net_status(const net_message_t *message);

/* The Content-Length of a message; -1: none. */
long net_content_length(const net_message_t *message);

/* Closes the connection with a reset. */
void net_reset(int fd);

#endif
