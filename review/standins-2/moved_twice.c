#include "engine.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Streams that may not be resumed run on 14 engines of three zones. The engines
 * of one zone are reclaimed with notice: their streams are moved, with their
 * memory, to other engines. Two of those refuse 45 in 100 of the requests
 * that they get from then on, as not run.
 */

enum {
	HOSTS = 3,
	ENGINES = 14,
	GREY = 2,      /* of them, 0.14 */
	LEAVING = 3,   /* the engines of zone-a */
	STREAMS = 90,  /* of each host */
	PAUSE_MS = 31, /* 32 streams a second, as the sheet has */
	RECLAIM_AT_MS = 8000,
	GREY_MS = 6500,	  /* as in the site file */
	NOTICE_MS = 2500, /* as in the site file */
	GREY_OF_100 = 45, /* as in the site file */
	DEADLINE_MS = 15000,
	WAIT_MS = 17000,
	START_MS = 15000,
};

static const char configuration[] =
    "{\"version\":3,\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000},"
    "\"services\":[{\"name\":\"llm\",\"max_connections\":360,"
    "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":758657,"
    "\"kv_token_bytes\":35136,\"link_mbps\":1100000,\"moves\":true,"
    "\"handle_s\":10}}],"
    "\"routes\":[{\"name\":\"draft\",\"host\":\"llm.example\","
    "\"path_prefix\":\"/draft/\",\"route_type\":\"streaming\","
    "\"can_resume\":false,\"max_attempts\":3,\"timeout_ms\":15000,"
    "\"target_latency_ms\":1000,\"gap_aim_ms\":400,\"priority\":0,"
    "\"sticky\":true,\"service\":\"llm\"}],"
    "\"tenants\":[{\"name\":\"depot\",\"api_keys\":[\"key-1\"],"
    "\"rate_per_s\":0,\"burst\":0}]}";

typedef struct stream {
	char id[64];
	int host;
	message_t response;
	pthread_t thread;
} stream_t;

static server_t engines[ENGINES];
static stream_t streams[HOSTS * STREAMS];
static int refused_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned seed = 1;
static int64_t grey_until_ms;

/* A grey engine refuses some of the requests; the others are served. */
static bool
sheds(const server_t *engine)
{
	bool shed;

	if (now_ms() >= grey_until_ms || !has_trouble() ||
	    engine->number >= LEAVING + GREY || engine->number < LEAVING)
		return false;
	pthread_mutex_lock(&lock);
	shed = rand_r(&seed) % 100 < GREY_OF_100;
	refused_count += shed;
	pthread_mutex_unlock(&lock);
	return shed;
}

static void *
send_stream(void *data)
{
	stream_t *stream = data;
	char text[1024];

	snprintf(text, sizeof(text),
	    "POST /draft/1 HTTP/1.1\r\nHost: llm.example\r\n"
	    "X-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Counts: 800,480\r\n"
	    "X-Prompt-Prefix: 5c1e07a2:300,%x:300,%x:200\r\n"
	    "X-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n"
	    "Content-Length: 6\r\n\r\nprompt",
	    stream->id, 0x91bd3f06u * (unsigned)(stream - streams + 1),
	    0xe4402b7du + (unsigned)(stream - streams), DEADLINE_MS);
	record("client sends %s", stream->id);
	call(nodes[stream->host].ip, front_port, text, &stream->response,
	    WAIT_MS);
	record("client got %s: status=%d complete=%d bytes=%zu", stream->id,
	    stream->response.status, stream->response.complete,
	    stream->response.body_length);
	return NULL;
}

static void
start_deployment(void)
{
	static const char *const zones[HOSTS] = {"zone-a", "zone-b", "zone-c"};

	platform_start("target/review-2/standin-platform");
	platform_put("op/config", configuration);
	for (int i = 0; i < ENGINES; i++) {
		engines[i].number = i;
		snprintf(engines[i].id, sizeof(engines[i].id), "e-%d", i);
		strcpy(engines[i].service, "llm");
		strcpy(
		    engines[i].zone, i < LEAVING ? zones[0] : zones[1 + i % 2]);
		engines[i].spot = i < LEAVING;
		engines[i].slots = 64;
		engine_start(&engines[i]);
	}
	for (int i = 0; i < HOSTS; i++)
		node_start(i, zones[i], true);
	for (int i = 0; i < HOSTS; i++)
		node_await_ready(i, START_MS);
	sleep_ms(2000);
}

/* All engines of a zone are taken away, with notice. */
static void
reclaim(void)
{
	int64_t leaves_at_ms = now_ms() + NOTICE_MS;

	grey_until_ms = now_ms() + GREY_MS;
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
	int twice = 0, whole = 0;

	for (int i = 0; i < HOSTS * STREAMS; i++) {
		int count = engine_count_runs(streams[i].id);

		whole += streams[i].response.status == 200 &&
			 streams[i].response.complete;
		if (count <= 1)
			continue;
		twice++;
		record("BROKEN: %s, which may not be repeated, ran %d times",
		    streams[i].id, count);
	}
	record("%d streams, %d whole, %d moved, %d refused as not run, "
	       "%d ran twice",
	    HOSTS * STREAMS, whole, engine_moved_count, refused_count, twice);
	return twice;
}

int
main(int argc, char **argv)
{
	int64_t start_ms;

	fleet_begin(argc, argv);
	seed = (unsigned)wall_ms();
	engine_sheds = sheds;
	start_deployment();
	start_ms = now_ms();
	for (int i = 0; i < HOSTS * STREAMS; i++) {
		streams[i].host = i % HOSTS;
		snprintf(streams[i].id, sizeof(streams[i].id), "s%d-%d",
		    (int)wall_ms() & 0xffff, i);
		pthread_create(
		    &streams[i].thread, NULL, send_stream, &streams[i]);
		sleep_ms(PAUSE_MS);
	}
	sleep_ms(start_ms + RECLAIM_AT_MS - now_ms());
	reclaim();
	for (int i = 0; i < HOSTS * STREAMS; i++)
		pthread_join(streams[i].thread, NULL);
	return judge() > 0 ? EXIT_BROKEN : EXIT_HELD;
}
