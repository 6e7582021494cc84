/*
 * Calls of the HTTP client to a server in a process of its own, with 1, 100 and
 * 1,000 calls in flight. Prints one JSON object for each: calls per second and
 * the processor time that a call costs the client.
 */
#include "http_client.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

enum {
	CALLS = 60000,
	TIMEOUT_MS = 5000,
	READ_BYTES = 4096,
	US_PER_S = 1000000
};

static char url[64];

typedef struct run {
	http_client_t *client;
	unsigned started;
	unsigned ended;
	unsigned failed;
} run_t;

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[READ_BYTES];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_written(uv_write_t *request, int status)
{
	free(request);
}

static void
on_closed(uv_handle_t *handle)
{
	free(handle);
}

/* Each call is small enough to arrive in one piece. */
static void
on_request(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	static char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	uv_buf_t out = uv_buf_init(answer, sizeof(answer) - 1);

	if (length < 0)
		uv_close((uv_handle_t *)stream, on_closed);
	else if (length > 0)
		uv_write(
		    calloc(1, sizeof(uv_write_t)), stream, &out, 1, on_written);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	uv_tcp_t *tcp = calloc(1, sizeof(*tcp));

	uv_tcp_init(listener->loop, tcp);
	uv_accept(listener, (uv_stream_t *)tcp);
	uv_read_start((uv_stream_t *)tcp, on_alloc, on_request);
}

/* Starts the server; returns its process. */
static pid_t
start_server(void)
{
	struct sockaddr_in address;
	int length = sizeof(address);
	uv_loop_t loop;
	uv_tcp_t listener;
	pid_t child;

	uv_ip4_addr("127.0.0.1", 0, &address);
	uv_loop_init(&loop);
	uv_tcp_init(&loop, &listener);
	uv_tcp_bind(&listener, (const struct sockaddr *)&address, 0);
	uv_listen((uv_stream_t *)&listener, SOMAXCONN, on_connection);
	uv_tcp_getsockname(&listener, (struct sockaddr *)&address, &length);
	snprintf(
	    url, sizeof(url), "http://127.0.0.1:%d/", ntohs(address.sin_port));
	child = fork();
	if (child != 0)
		return child;
	uv_loop_fork(&loop);
	uv_run(&loop, UV_RUN_DEFAULT);
	exit(0);
}

static void start_call(run_t *run);

static void
on_complete(http_call_t *call, const http_result_t *result, void *data)
{
	run_t *run = data;

	run->ended++;
	run->failed += result->outcome != HTTP_OUTCOME_COMPLETE;
	if (run->started < CALLS)
		start_call(run);
}

static void
start_call(run_t *run)
{
	run->started++;
	http_call_start(run->client, &(http_call_options_t){.url = url,
					 .timeout_ms = TIMEOUT_MS,
					 .on_complete = on_complete,
					 .data = run});
}

static double
processor_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
		   US_PER_S +
	       (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static void
measure(unsigned in_flight)
{
	uv_loop_t loop;
	run_t run = {0};
	double processor = processor_us();
	uint64_t start_ns = uv_hrtime();
	double elapsed_s;

	uv_loop_init(&loop);
	run.client = http_client_new(&loop);
	for (unsigned i = 0; i < in_flight; i++)
		start_call(&run);
	while (run.ended < CALLS)
		uv_run(&loop, UV_RUN_ONCE);
	elapsed_s = (double)(uv_hrtime() - start_ns) / 1e9;
	processor = processor_us() - processor;
	printf("{\"in_flight\": %u, \"calls_per_s\": %.0f, "
	       "\"processor_us_per_call\": %.2f, \"failed\": %u}\n",
	    in_flight, CALLS / elapsed_s, processor / CALLS, run.failed);
	http_client_free(run.client);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

int
main(void)
{
	pid_t server = start_server();

	measure(1);
	measure(100);
	measure(1000);
	kill(server, SIGTERM);
	return 0;
}
