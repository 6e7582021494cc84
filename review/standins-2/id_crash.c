#include "engine.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Callers book without pause on connections that they keep. Another caller, who
 * names its attempts with a word of its language in ISO-8859-1, has streams at
 * model servers of which one zone's are reclaimed with notice.
 */

enum {
	HOSTS = 3,
	ENGINES = 14,
	LEAVING = 3, /* the engines of zone-a */
	APPS = 3,
	CALLERS = 5,  /* that book, of each host */
	STREAMS = 14, /* of each host */
	BOOKINGS_MAX = 100000,
	WORK_MS = 450, /* the most that the site file has */
	PAUSE_MS = 60, /* with the work: 29 bookings a second */
	STREAM_PAUSE_MS = 31,
	BOOKING_MS = 3000,
	STREAM_MS = 15000,
	WAIT_MS = 17000,
	RECLAIM_AT_MS = 3000,
	NOTICE_MS = 2500, /* as in the site file */
	END_AT_MS = 8000,
	START_MS = 15000,
	LOST_ALLOWED = 3, /* of each host */
};

static const char configuration[] =
    "{\"version\":3,\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000},"
    "\"services\":[{\"name\":\"app\",\"max_connections\":96},"
    "{\"name\":\"llm\",\"max_connections\":360,"
    "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":758657,"
    "\"kv_token_bytes\":35136,\"link_mbps\":1100000,\"moves\":true,"
    "\"handle_s\":10}}],"
    "\"routes\":[{\"name\":\"draft\",\"host\":\"llm.example\","
    "\"path_prefix\":\"/draft/\",\"route_type\":\"streaming\","
    "\"can_resume\":false,\"max_attempts\":1,\"timeout_ms\":15000,"
    "\"target_latency_ms\":1000,\"gap_aim_ms\":400,\"priority\":0,"
    "\"sticky\":true,\"service\":\"llm\"},"
    "{\"name\":\"book\",\"host\":\"app.example\","
    "\"path_prefix\":\"/book/\",\"route_type\":\"non_idempotent\","
    "\"max_attempts\":1,\"timeout_ms\":3000,\"target_latency_ms\":300,"
    "\"priority\":1,\"service\":\"app\"}],"
    "\"tenants\":[{\"name\":\"depot\",\"api_keys\":[\"key-1\"],"
    "\"rate_per_s\":0,\"burst\":0}]}";

/* What became of a booking. */
typedef struct booking {
	bool ran;
	bool done; /* the server has answered */
} booking_t;

static server_t engines[ENGINES], apps[APPS];
static booking_t bookings[BOOKINGS_MAX];
static int booking_count, lost[HOSTS], answered[HOSTS];
static bool stopping;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static bool
serve_booking(server_t *server, int fd, const message_t *request)
{
	char id[64] = "", text[512];
	int number;

	header_value(request, "X-Attempt-Id", id, sizeof(id));
	number = (int)strtol(id + 1, NULL, 10) % BOOKINGS_MAX;
	record("server %s runs %s", server->id, id);
	bookings[number].ran = true;
	sleep_ms(WORK_MS);
	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
	    "X-Response-Stamp: %s.%s\r\nContent-Length: 6\r\n\r\nbooked",
	    id, server->id, id);
	bookings[number].done = true;
	return send_text(fd, text);
}

static int
next_booking(void)
{
	int number;

	pthread_mutex_lock(&lock);
	number = booking_count++ % BOOKINGS_MAX;
	pthread_mutex_unlock(&lock);
	return number;
}

/* Judges one booking on a connection that has carried earlier ones. */
static void
judge_booking(int host, int number, const message_t *response)
{
	bool is_lost = !response->has_head && bookings[number].ran;

	pthread_mutex_lock(&lock);
	lost[host] += is_lost;
	answered[host] += response->has_head;
	pthread_mutex_unlock(&lock);
	if (is_lost)
		record("client got no answer to b%d, which a server %s; the "
		       "connection of node %s ended",
		    number, bookings[number].done ? "ran" : "runs",
		    nodes[host].name);
}

/* Books on one connection until it ends. */
static void
book_on(int fd, int host, message_t *response)
{
	char text[512];

	for (int count = 0; !stopping; count++) {
		int number = next_booking();

		snprintf(text, sizeof(text),
		    "POST /book/1 HTTP/1.1\r\nHost: app.example\r\n"
		    "X-Attempt-Id: b%d\r\nX-Deadline-Ms: %d\r\n"
		    "Authorization: Bearer key-1\r\nContent-Length: 4\r\n"
		    "\r\nbook",
		    number, BOOKING_MS);
		record("client sends b%d", number);
		memset(response, 0, sizeof(*response));
		if (send_text(fd, text))
			read_response(fd, response, BOOKING_MS + 1000);
		record("client got b%d: status=%d complete=%d", number,
		    response->status, response->complete);
		if (count > 0)
			judge_booking(host, number, response);
		if (!response->complete)
			return;
		sleep_ms(PAUSE_MS);
	}
}

static void *
book(void *data)
{
	int host = (int)(intptr_t)data;
	message_t *response = malloc(sizeof(*response));

	while (!stopping) {
		int fd = connect_to(nodes[host].ip, front_port, 1000);

		if (fd < 0) {
			sleep_ms(100);
			continue;
		}
		book_on(fd, host, response);
		close(fd);
	}
	free(response);
	return NULL;
}

static void *
draft(void *data)
{
	int number = (int)(intptr_t)data;
	message_t *response = malloc(sizeof(*response));
	char text[1024];

	snprintf(text, sizeof(text),
	    "POST /draft/1 HTTP/1.1\r\nHost: llm.example\r\n"
	    "X-Attempt-Id: recolecci\xf3n-%d\r\nX-Model: m\r\n"
	    "X-Token-Counts: 800,480\r\n"
	    "X-Prompt-Prefix: 5c1e07a2:300,%x:300,%x:200\r\n"
	    "X-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n"
	    "Content-Length: 6\r\n\r\nprompt",
	    number, 0x91bd3f06u * (unsigned)(number + 1),
	    0xe4402b7du + (unsigned)number, STREAM_MS);
	record("client sends the stream %d", number);
	call(nodes[number % HOSTS].ip, front_port, text, response, WAIT_MS);
	record("client got the stream %d: status=%d complete=%d", number,
	    response->status, response->complete);
	free(response);
	return NULL;
}

static void
start_servers(void)
{
	static const char *const zones[HOSTS] = {"zone-a", "zone-b", "zone-c"};

	for (int i = 0; i < ENGINES; i++) {
		snprintf(engines[i].id, sizeof(engines[i].id), "e-%d", i);
		strcpy(engines[i].service, "llm");
		strcpy(
		    engines[i].zone, i < LEAVING ? zones[0] : zones[1 + i % 2]);
		engines[i].spot = i < LEAVING;
		engines[i].slots = 64;
		engine_start(&engines[i]);
	}
	for (int i = 0; i < APPS; i++) {
		snprintf(apps[i].id, sizeof(apps[i].id), "i-%d", i);
		strcpy(apps[i].service, "app");
		strcpy(apps[i].zone, zones[i]);
		apps[i].slots = 24;
		apps[i].handler = serve_booking;
		server_start(&apps[i]);
	}
	for (int i = 0; i < HOSTS; i++)
		node_start(i, zones[i], true);
	for (int i = 0; i < HOSTS; i++)
		node_await_ready(i, START_MS);
	sleep_ms(2000);
}

static void
start_callers(void)
{
	pthread_t thread;

	/* Evenly over the time of a booking: callers don't act in step. */
	for (int i = 0; i < HOSTS * CALLERS; i++) {
		pthread_create(
		    &thread, NULL, book, (void *)(intptr_t)(i % HOSTS));
		sleep_ms((WORK_MS + PAUSE_MS) / (HOSTS * CALLERS));
	}
	for (int i = 0; i < HOSTS * STREAMS; i++) {
		pthread_create(&thread, NULL, draft, (void *)(intptr_t)i);
		sleep_ms(STREAM_PAUSE_MS);
	}
}

/* All model servers of a zone are taken away, with notice. */
static void
reclaim(void)
{
	int64_t leaves_at_ms = now_ms() + NOTICE_MS;

	record("engines e-0 to e-%d leave in %d ms", LEAVING - 1, NOTICE_MS);
	for (int i = 0; i < LEAVING; i++) {
		engines[i].leaves_at_ms = leaves_at_ms;
		engines[i].draining = true;
		server_register(&engines[i]);
	}
	sleep_ms(leaves_at_ms - now_ms());
	for (int i = 0; i < LEAVING; i++)
		engines[i].down = true;
	record("they are gone");
}

static int
judge(void)
{
	int broken = 0;

	for (int i = 0; i < HOSTS; i++) {
		bool runs = node_runs(i);

		record("node %s: %s, %d bookings answered, %d passed on and "
		       "not answered",
		    nodes[i].name, runs ? "runs" : "has ended by itself",
		    answered[i], lost[i]);
		if (lost[i] <= LOST_ALLOWED)
			continue;
		broken++;
		record("BROKEN: node %s closed the connections of %d bookings "
		       "that a sound server had",
		    nodes[i].name, lost[i]);
	}
	return broken;
}

int
main(int argc, char **argv)
{
	int64_t start_ms;

	fleet_begin(argc, argv);
	platform_start("target/review-2/standin-platform");
	platform_put("op/config", configuration);
	start_servers();
	start_ms = now_ms();
	start_callers();
	sleep_ms(start_ms + RECLAIM_AT_MS - now_ms());
	if (has_trouble())
		reclaim();
	sleep_ms(start_ms + END_AT_MS - now_ms());
	stopping = true;
	sleep_ms(BOOKING_MS / 3);
	return judge() > 0 ? EXIT_BROKEN : EXIT_HELD;
}
