#include "support_wire.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

int
wire_listen(int *port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(fd, 16), 0);
	getsockname(fd, (struct sockaddr *)&address, &length);
	*port = ntohs(address.sin_port);
	return fd;
}

static bool
readable(int fd, int timeout_ms)
{
	struct pollfd ready = {.fd = fd, .events = POLLIN};

	return poll(&ready, 1, timeout_ms) == 1;
}

bool
wire_waits(int listener, int timeout_ms)
{
	return readable(listener, timeout_ms);
}

int
wire_accept(int listener)
{
	int fd;

	ck_assert_msg(
	    readable(listener, WIRE_TIMEOUT_MS), "nothing connected in time");
	fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
	ck_assert_int_ge(fd, 0);
	return fd;
}

int
wire_connect(const char *address)
{
	char **parts = g_strsplit(address, ":", 2);
	struct sockaddr_in to = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	to.sin_port = htons((uint16_t)atoi(parts[1]));
	ck_assert_int_eq(inet_pton(AF_INET, parts[0], &to.sin_addr), 1);
	ck_assert_msg(connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0,
	    "cannot connect to %s: %s", address, strerror(errno));
	g_strfreev(parts);
	return fd;
}

void
wire_send(int fd, const char *text)
{
	size_t length = strlen(text);

	ck_assert_int_eq(send(fd, text, length, MSG_NOSIGNAL), (ssize_t)length);
}

/* Adds what comes next; false at the end of the stream. */
static bool
read_some(int fd, GString *text, bool *reset)
{
	char bytes[4096];
	ssize_t got;

	ck_assert_msg(readable(fd, WIRE_TIMEOUT_MS),
	    "nothing was read in time after \"%s\"", text->str);
	got = read(fd, bytes, sizeof(bytes)); /* sockets and pipes */
	if (got <= 0) {
		if (reset != NULL)
			*reset = got < 0;
		return false;
	}
	g_string_append_len(text, bytes, got);
	return true;
}

char *
wire_header(const char *message, const char *name)
{
	const char *end = strstr(message, "\r\n\r\n");
	const char *line = strstr(message, "\r\n");
	size_t length = strlen(name);

	while (line != NULL && line < end) {
		line += 2;
		if (strncasecmp(line, name, length) == 0 &&
		    line[length] == ':') {
			const char *value = line + length + 1;

			return g_strstrip(
			    g_strndup(value, strcspn(value, "\r")));
		}
		line = strstr(line, "\r\n");
	}
	return NULL;
}

static bool
is_whole(const char *message)
{
	const char *body = strstr(message, "\r\n\r\n");
	char *length;
	size_t want;

	if (body == NULL)
		return false;
	length = wire_header(message, "Content-Length");
	want = length == NULL ? 0 : strtoul(length, NULL, 10);
	g_free(length);
	return strlen(body + 4) >= want;
}

char *
wire_read_message(int fd)
{
	GString *text = g_string_new(NULL);

	while (!is_whole(text->str))
		ck_assert_msg(read_some(fd, text, NULL),
		    "the connection ended after \"%s\"", text->str);
	return g_string_free(text, FALSE);
}

char *
wire_read_to_end(int fd, bool *reset)
{
	GString *text = g_string_new(NULL);

	*reset = false;
	while (read_some(fd, text, reset))
		;
	return g_string_free(text, FALSE);
}

char *
wire_read_until(int fd, const char *wanted)
{
	GString *text = g_string_new(NULL);

	while (strstr(text->str, wanted) == NULL)
		ck_assert_msg(read_some(fd, text, NULL),
		    "the connection ended after \"%s\"", text->str);
	return g_string_free(text, FALSE);
}

bool
wire_closes(int fd, int timeout_ms)
{
	char byte;

	return readable(fd, timeout_ms) && recv(fd, &byte, 1, 0) <= 0;
}

void
wire_assert_header(const char *message, const char *name, const char *value)
{
	char *found = wire_header(message, name);

	if (value == NULL)
		ck_assert_ptr_null(found);
	else
		ck_assert_pstr_eq(found, value);
	g_free(found);
}
