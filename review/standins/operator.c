#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/*
 * What an operator and the platform do besides the traffic:
 *
 *	operator put ADDRESS KEY	writes standard input to the store
 *	operator ready ADDRESS		waits until an entry host is ready
 *	operator ports IP [IP...]	prints ports that are free on each IP
 */

enum {
	VALUE_MAX = 64 * 1024,
	CALL_TIMEOUT_MS = 2000,
	READY_POLLS = 200,
	READY_POLL_MS = 50,
	/* Below the ephemeral ports of the kernel. */
	PORTS_FIRST = 20000,
	PORTS_LAST = 30000,
	PORTS_COUNT = 5,
	STATUS_OK = 200,
};

static void
encode_base64(const unsigned char *bytes, size_t length, char *out)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";

	for (size_t i = 0; i < length; i += 3) {
		unsigned group = (unsigned)bytes[i] << 16;

		if (i + 1 < length)
			group |= (unsigned)bytes[i + 1] << 8;
		if (i + 2 < length)
			group |= bytes[i + 2];
		*out++ = digits[group >> 18];
		*out++ = digits[group >> 12 & 63];
		*out++ = i + 1 < length ? digits[group >> 6 & 63] : '=';
		*out++ = i + 2 < length ? digits[group & 63] : '=';
	}
	*out = '\0';
}

/* Sends a request without a response body of interest; its status, or 0. */
static int
call(
    const char *address, const char *method, const char *path, const char *body)
{
	static char text[4 * VALUE_MAX];
	static net_message_t response;
	int fd = net_connect(address, CALL_TIMEOUT_MS);
	int status = 0;

	if (fd < 0)
		return 0;
	snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    method, path, address, strlen(body), body);
	if (net_send(fd, text, strlen(text)) &&
	    net_read_head(fd, &response) == NET_OK)
		status = net_status(&response);
	close(fd);
	return status;
}

static int
put(const char *address, const char *key)
{
	static unsigned char value[VALUE_MAX];
	static char encoded[2 * VALUE_MAX];
	static char body[3 * VALUE_MAX];
	size_t length = fread(value, 1, sizeof(value), stdin);

	encode_base64(value, length, encoded);
	snprintf(body, sizeof(body),
	    "{\"expected_rev\":[],\"writes\":[{\"key\":\"%s\",\"value\":\"%s\","
	    "\"lease\":0}],\"remove\":[]}",
	    key, encoded);
	return call(address, "POST", "/v1/kv-txn", body) == STATUS_OK ? 0 : 2;
}

static int
wait_ready(const char *address)
{
	const struct timespec pause = {.tv_nsec = READY_POLL_MS * 1000000L};

	for (int i = 0; i < READY_POLLS; i++) {
		if (call(address, "GET", "/v1/readiness", "") == STATUS_OK)
			return 0;
		nanosleep(&pause, NULL);
	}
	return 2;
}

static bool
is_free(const char *ip, int port, int type)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	bool ok = inet_pton(AF_INET, ip, &address.sin_addr) == 1 &&
		  bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;

	close(fd);
	return ok;
}

static bool
are_free(char *const *ips, int first)
{
	for (; *ips != NULL; ips++)
		for (int i = 0; i < PORTS_COUNT; i++)
			if (!is_free(*ips, first + i, SOCK_STREAM) ||
			    !is_free(*ips, first + i, SOCK_DGRAM))
				return false;
	return true;
}

/* Prints the first of PORTS_COUNT consecutive ports. */
static int
print_ports(char *const *ips)
{
	int steps = (PORTS_LAST - PORTS_FIRST) / PORTS_COUNT;
	int start = (int)getpid() % steps;

	for (int i = 0; i < steps; i++) {
		int first = PORTS_FIRST + (start + i) % steps * PORTS_COUNT;

		if (are_free(ips, first)) {
			printf("%d\n", first);
			return 0;
		}
	}
	return 2;
}

int
main(int argc, char **argv)
{
	if (argc == 4 && strcmp(argv[1], "put") == 0)
		return put(argv[2], argv[3]);
	if (argc == 3 && strcmp(argv[1], "ready") == 0)
		return wait_ready(argv[2]);
	if (argc >= 3 && strcmp(argv[1], "ports") == 0)
		return print_ports(argv + 2);
	fprintf(stderr, "usage: operator put|ready|ports ...\n");
	return 2;
}
