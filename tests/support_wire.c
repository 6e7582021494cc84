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
wait_readable(int fd, int timeout_ms)
{
	struct pollfd ready = {.fd = fd, .events = POLLIN};

	return poll(&ready, 1, timeout_ms) == 1;
}

bool
wire_wait_connection(int listener, int timeout_ms)
{
	return wait_readable(listener, timeout_ms);
}

int
wire_accept(int listener)
{
	int fd;

	ck_assert_msg(
	    wait_readable(listener, WIRE_TIMEOUT_MS), "no connection in time");
	fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
	ck_assert_int_ge(fd, 0);
	return fd;
}

int
wire_connect(const char *address)
{
	return wire_connect_slow(address, 0);
}

int
wire_connect_slow(const char *address, int receive_bytes)
{
	char **host_and_port = g_strsplit(address, ":", 2);
	struct sockaddr_in socket_address = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (receive_bytes > 0)
		ck_assert_int_eq(setsockopt(fd, SOL_SOCKET, SO_RCVBUF,
				     &receive_bytes, sizeof(receive_bytes)),
		    0);
	socket_address.sin_port = htons((uint16_t)atoi(host_and_port[1]));
	ck_assert_int_eq(
	    inet_pton(AF_INET, host_and_port[0], &socket_address.sin_addr), 1);
	ck_assert_msg(connect(fd, (struct sockaddr *)&socket_address,
			  sizeof(socket_address)) == 0,
	    "cannot connect to %s: %s", address, strerror(errno));
	g_strfreev(host_and_port);
	return fd;
}

void
wire_send(int fd, const char *text)
{
	size_t length = strlen(text);

	ck_assert_int_eq(send(fd, text, length, MSG_NOSIGNAL), (ssize_t)length);
}

/* Appends the next data; false if the peer closed or reset the connection. */
static bool
read_more(int fd, GString *text, bool *reset)
{
	char bytes[4096];
	ssize_t length;

	ck_assert_msg(wait_readable(fd, WIRE_TIMEOUT_MS),
	    "no data received in time after \"%s\"", text->str);
	length = read(fd, bytes, sizeof(bytes)); /* fd may also be a pipe */
	if (length <= 0) {
		if (reset != NULL)
			*reset = length < 0;
		return false;
	}
	g_string_append_len(text, bytes, length);
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
is_complete(const char *message)
{
	const char *body = strstr(message, "\r\n\r\n");
	char *content_length;
	size_t body_length;

	if (body == NULL)
		return false;
	content_length = wire_header(message, "Content-Length");
	body_length =
	    content_length == NULL ? 0 : strtoul(content_length, NULL, 10);
	g_free(content_length);
	return strlen(body + 4) >= body_length;
}

char *
wire_read_message(int fd)
{
	GString *text = g_string_new(NULL);

	while (!is_complete(text->str))
		ck_assert_msg(read_more(fd, text, NULL),
		    "the connection ended after \"%s\"", text->str);
	return g_string_free(text, FALSE);
}

void
wire_append_chunks(GString *out, const GString *body, size_t chunk_bytes)
{
	for (size_t from = 0; from < body->len; from += chunk_bytes) {
		size_t length = MIN(chunk_bytes, body->len - from);

		g_string_append_printf(out, "%zx\r\n", length);
		g_string_append_len(out, body->str + from, (gssize)length);
		g_string_append(out, "\r\n");
	}
}

unsigned
wire_read_status(int fd)
{
	char *message = wire_read_message(fd);
	unsigned status =
	    (unsigned)strtoul(message + strlen("HTTP/1.1 "), NULL, 10);

	g_free(message);
	return status;
}

char *
wire_read_until_closed(int fd, bool *reset)
{
	GString *text = g_string_new(NULL);

	*reset = false;
	while (read_more(fd, text, reset))
		;
	return g_string_free(text, FALSE);
}

/* Appends the data of a chunked body; true if the last chunk is there. */
static bool
decode_chunks(const char *chunks, size_t length, GString *body)
{
	const char *end = chunks + length;

	while (chunks < end) {
		char *data;
		size_t size = strtoul(chunks, &data, 16);

		if (!g_str_has_prefix(data, "\r\n"))
			return false;
		data += strlen("\r\n");
		if (size == 0)
			return g_str_has_prefix(data, "\r\n");
		g_string_append_len(
		    body, data, (gssize)MIN(size, (size_t)(end - data)));
		if ((size_t)(end - data) < size + strlen("\r\n"))
			return false;
		chunks = data + size + strlen("\r\n");
	}
	return false;
}

/* True if the text ends with a chunked body's end. */
static bool
has_last_chunk(const GString *text)
{
	static const char last_chunk[] = "\r\n0\r\n\r\n";
	const size_t length = strlen(last_chunk);

	return text->len >= length &&
	       memcmp(text->str + text->len - length, last_chunk, length) == 0;
}

char *
wire_read_body(int fd, bool *is_whole)
{
	char *head = wire_read_until(fd, "\r\n\r\n");
	GString *text = g_string_new(strstr(head, "\r\n\r\n"));
	char *length = wire_header(head, "Content-Length");
	char *encoding = wire_header(head, "Transfer-Encoding");
	size_t body_length =
	    length == NULL ? SIZE_MAX : strtoul(length, NULL, 10);
	GString *body = g_string_new(NULL);
	bool reset = false;

	/* The end of the head stays in front: it may end a chunked body. */
	while (text->len - strlen("\r\n\r\n") < body_length &&
	       (encoding == NULL || !has_last_chunk(text)) &&
	       read_more(fd, text, &reset))
		;
	g_string_erase(text, 0, (gssize)strlen("\r\n\r\n"));
	if (encoding != NULL) {
		*is_whole = decode_chunks(text->str, text->len, body);
	} else {
		g_string_append_len(body, text->str, (gssize)text->len);
		*is_whole = length != NULL ? body->len == body_length : !reset;
	}
	g_free(head);
	g_free(length);
	g_free(encoding);
	g_string_free(text, TRUE);
	return g_string_free(body, FALSE);
}

char *
wire_read_until(int fd, const char *wanted)
{
	GString *text = g_string_new(NULL);

	while (strstr(text->str, wanted) == NULL)
		ck_assert_msg(read_more(fd, text, NULL),
		    "the connection ended after \"%s\"", text->str);
	return g_string_free(text, FALSE);
}

bool
wire_wait_closed(int fd, int timeout_ms)
{
	char byte;

	return wait_readable(fd, timeout_ms) && recv(fd, &byte, 1, 0) <= 0;
}

void
wire_assert_header(const char *message, const char *name, const char *expected)
{
	char *actual = wire_header(message, name);

	if (expected == NULL)
		ck_assert_ptr_null(actual);
	else
		ck_assert_pstr_eq(actual, expected);
	g_free(actual);
}
