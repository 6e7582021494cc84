#include "fleet.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Answers that end with their connection, in two halves. An entry host freezes
 * while they are in progress, and one of seven backend servers crashes
 * meanwhile, which resets its connections.
 */

enum {
	HOSTS = 3,
	SERVERS = 7,
	REQUESTS = 28,
	PAUSE_MS = 25,	  /* 40 requests a second, as the sheet has */
	HALF_BYTES = 400, /* of a body of 800 bytes */
	WORK_MS = 2500,	  /* before the second half */
	DEADLINE_MS = 12000,
	FREEZE_AT_MS = 1000,
	CRASH_AT_MS = 1500,
	THAW_AT_MS = 5000, /* frozen for 4 s, as in the site file */
	WAIT_MS = 15000,
	START_MS = 15000,
};

static const char configuration[] =
    "{\"version\":3,\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000},"
    "\"services\":[{\"name\":\"app\",\"max_connections\":96}],"
    "\"routes\":[{\"name\":\"read\",\"host\":\"app.example\","
    "\"path_prefix\":\"/read/\",\"route_type\":\"idempotent\","
    "\"max_attempts\":2,\"timeout_ms\":12000,\"target_latency_ms\":1500,"
    "\"priority\":1,\"service\":\"app\"}],"
    "\"tenants\":[{\"name\":\"depot\",\"api_keys\":[\"key-1\"],"
    "\"rate_per_s\":0,\"burst\":0}]}";

static server_t servers[SERVERS];

/* One request of a caller and what it got. */
typedef struct request {
	char id[32];
	message_t response;
	pthread_t thread;
} request_t;

static bool
serve(server_t *server, int fd, const message_t *request)
{
	char id[64] = "", target[64] = "", text[2048], half[HALF_BYTES + 1];

	header_value(request, "X-Attempt-Id", id, sizeof(id));
	header_value(request, "X-Target-Instance", target, sizeof(target));
	memset(half, 'a', HALF_BYTES);
	half[HALF_BYTES] = '\0';
	record("server %s runs %s", server->id, id);
	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
	    "X-Response-Stamp: %s.%s\r\nContent-Type: text/plain\r\n"
	    "Connection: close\r\n\r\n%s",
	    id, server->id, id, half);
	send_text(fd, text);
	for (int i = 0; i < WORK_MS / 10 && !server->down; i++)
		sleep_ms(10);
	if (server->down) {
		record("server %s crashed at %s", server->id, id);
		return false; /* the connection is reset */
	}
	memset(half, 'b', HALF_BYTES);
	send_text(fd, half);
	record("server %s answered %s in full", server->id, id);
	return false; /* the answer ends with the connection */
}

static void *
send_request(void *data)
{
	request_t *request = data;
	char text[1024];

	snprintf(text, sizeof(text),
	    "GET /read/1 HTTP/1.1\r\nHost: app.example\r\n"
	    "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
	    "Authorization: Bearer key-1\r\n\r\n",
	    request->id, DEADLINE_MS);
	record("client sends %s", request->id);
	call(nodes[0].ip, front_port, text, &request->response, WAIT_MS);
	record("client got %s: status=%d complete=%d bytes=%zu", request->id,
	    request->response.status, request->response.complete,
	    request->response.body_length);
	return NULL;
}

/* True for a success that is not the server's whole body. */
static bool
is_mixed(const request_t *request)
{
	const message_t *response = &request->response;
	char stamp[64];

	if (response->status != 200 || !response->complete)
		return false;
	return !header_value(
		   response, "X-Response-Stamp", stamp, sizeof(stamp)) ||
	       response->body_length != 2 * (size_t)HALF_BYTES;
}

static void
start_deployment(void)
{
	static const char *const zones[HOSTS] = {"zone-a", "zone-b", "zone-c"};

	platform_start("target/review-2/standin-platform");
	platform_put("op/config", configuration);
	for (int i = 0; i < SERVERS; i++) {
		snprintf(servers[i].id, sizeof(servers[i].id), "i-%d", i);
		strcpy(servers[i].service, "app");
		strcpy(servers[i].zone, zones[i % HOSTS]);
		servers[i].slots = 6;
		servers[i].handler = serve;
		server_start(&servers[i]);
	}
	for (int i = 0; i < HOSTS; i++)
		node_start(i, zones[i], true);
	for (int i = 0; i < HOSTS; i++)
		node_await_ready(i, START_MS);
	sleep_ms(2000);
}

static void
freeze_and_crash(int64_t start_ms)
{
	sleep_ms(start_ms + FREEZE_AT_MS - now_ms());
	record("node %s freezes", nodes[0].name);
	node_signal(0, SIGSTOP);
	sleep_ms(start_ms + CRASH_AT_MS - now_ms());
	record("server %s crashes", servers[0].id);
	servers[0].down = true;
	sleep_ms(start_ms + THAW_AT_MS - now_ms());
	record("node %s wakes", nodes[0].name);
	node_signal(0, SIGCONT);
}

int
main(int argc, char **argv)
{
	static request_t requests[REQUESTS];
	int broken = 0;
	int64_t start_ms;

	fleet_begin(argc, argv);
	start_deployment();
	start_ms = now_ms();
	for (int i = 0; i < REQUESTS; i++) {
		snprintf(requests[i].id, sizeof(requests[i].id), "r%d-%d",
		    (int)wall_ms() & 0xffff, i);
		pthread_create(
		    &requests[i].thread, NULL, send_request, &requests[i]);
		sleep_ms(PAUSE_MS);
	}
	if (has_trouble())
		freeze_and_crash(start_ms);
	for (int i = 0; i < REQUESTS; i++) {
		pthread_join(requests[i].thread, NULL);
		if (is_mixed(&requests[i])) {
			broken++;
			record("BROKEN: %s is half of a body with the "
			       "server's receipt and looks complete",
			    requests[i].id);
		}
	}
	record("%d of %d requests broke the rule", broken, REQUESTS);
	return broken > 0 ? EXIT_BROKEN : EXIT_HELD;
}
