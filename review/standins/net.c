#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

enum { BACKLOG = 512, MS_PER_S = 1000, US_PER_MS = 1000 };

static bool
parse_address(const char *text, struct sockaddr_in *address)
{
	const char *colon = strchr(text, ':');
	char ip[INET_ADDRSTRLEN];

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

int
net_listen(const char *ip, int *port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || inet_pton(AF_INET, ip, &address.sin_addr) != 1 ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, BACKLOG) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) != 0) {
		perror("listen");
		exit(2);
	}
	*port = ntohs(address.sin_port);
	return fd;
}

int
net_connect(const char *address, int timeout_ms)
{
	struct timeval timeout = {.tv_sec = timeout_ms / MS_PER_S,
	    .tv_usec = timeout_ms % MS_PER_S * US_PER_MS};
	struct sockaddr_in to;
	int no_delay = 1;
	int fd;

	if (!parse_address(address, &to))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return fd;
	close(fd);
	return -1;
}

bool
net_send(int fd, const void *bytes, size_t length)
{
	const char *next = bytes;

	while (length > 0) {
		ssize_t sent = send(fd, next, length, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		next += sent;
		length -= (size_t)sent;
	}
	return true;
}

net_end_t
net_read(int fd, char *bytes, size_t size, size_t *length)
{
	ssize_t received = recv(fd, bytes, size, 0);

	*length = received > 0 ? (size_t)received : 0;
	if (received > 0)
		return NET_OK;
	if (received == 0)
		return NET_CLOSED;
	return errno == EAGAIN || errno == EWOULDBLOCK ? NET_TIMEOUT
						       : NET_RESET;
}

net_end_t
net_read_head(int fd, net_message_t *message)
{
	static const char empty_line[] = "\r\n\r\n";

	message->length = 0;
	for (;;) {
		const char *end;
		size_t received;
		net_end_t state = net_read(fd, message->head + message->length,
		    sizeof(message->head) - 1 - message->length, &received);

		if (state != NET_OK)
			return state;
		message->length += received;
		message->head[message->length] = '\0';
		end = strstr(message->head, empty_line);
		if (end != NULL) {
			message->head_length =
			    (size_t)(end - message->head) + strlen(empty_line);
			return NET_OK;
		}
		if (message->length == sizeof(message->head) - 1)
			return NET_RESET;
	}
}

bool
net_header(
    const net_message_t *message, const char *name, char *value, size_t size)
{
	const char *end = message->head + message->head_length;
	const char *line = strstr(message->head, "\r\n");
	size_t name_length = strlen(name);

	while (line != NULL && line + 2 < end) {
		size_t length;

		line += 2;
		if (strncasecmp(line, name, name_length) != 0 ||
		    line[name_length] != ':') {
			line = strstr(line, "\r\n");
			continue;
		}
		line += name_length + 1;
		line += strspn(line, " ");
		length = strcspn(line, "\r");
		if (length >= size)
			return false;
		memcpy(value, line, length);
		value[length] = '\0';
		return true;
	}
	return false;
}

int
net_status(const net_message_t *message)
{
	static const char version[] = "HTTP/1.1 ";

	if (strncmp(message->head, version, strlen(version)) != 0)
		return 0;
	return (int)strtol(message->head + strlen(version), NULL, 10);
}

long
net_content_length(const net_message_t *message)
{
	char value[32];

	return net_header(message, "Content-Length", value, sizeof(value))
		   ? strtol(value, NULL, 10)
		   : -1;
}

void
net_reset(int fd)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}
