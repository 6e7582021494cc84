#include "fleet.h"

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
	GREY = 2,     /* of them, 0.14 */
	LEAVING = 3,  /* the engines of zone-a */
	STREAMS = 80, /* of each host */
	EVENTS = 60,
	EVENT_MS = 100,
	HANDLES_MAX = 1024,
	RUNS_MAX = 1024,
	COPY_MS = 30,
	RECLAIM_AT_MS = 3500,
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

/* A run of a request, or what was kept of it for a move. */
typedef struct run {
	char id[64];
	server_t *engine; /* where it runs, or that holds the copy */
	server_t *source; /* of the copy */
	int events;	  /* made so far */
	bool running;
	bool stop; /* it is moved */
	bool used; /* the copy */
} run_t;

typedef struct stream {
	char id[64];
	int host;
	message_t response;
	pthread_t thread;
} stream_t;

static server_t engines[ENGINES];
static stream_t streams[HOSTS * STREAMS];
static run_t runs[RUNS_MAX];
static run_t copies[HANDLES_MAX];
static int run_count, copy_count, moved_count, refused_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned seed = 1;
static bool grey_begun;

/* Starts a run; counts the runs of the request that were begun anew. */
static run_t *
begin_run(server_t *engine, const char *id, int events)
{
	run_t *run;

	pthread_mutex_lock(&lock);
	run = &runs[run_count++ % RUNS_MAX];
	*run = (run_t){.engine = engine, .events = events, .running = true};
	snprintf(run->id, sizeof(run->id), "%s", id);
	pthread_mutex_unlock(&lock);
	return run;
}

static void
refuse(int fd, const char *id)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\n"
	    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	    id);
	send_text(fd, text);
}

static void
send_chunk(int fd, const char *bytes)
{
	char text[512];

	snprintf(text, sizeof(text), "%zx\r\n%s\r\n", strlen(bytes), bytes);
	send_text(fd, text);
}

/* Writes the events of the run; false where it is moved meanwhile. */
static bool
write_events(run_t *run, int fd)
{
	char event[128];

	while (run->events < EVENTS) {
		sleep_ms(EVENT_MS);
		if (run->stop || run->engine->down)
			return false;
		run->events++;
		snprintf(event, sizeof(event), "id: %d\ndata: %s-%d\n\n",
		    run->events, run->id, run->events);
		send_chunk(fd, event);
	}
	send_text(fd, "0\r\n\r\n");
	return true;
}

/* The copy that the header names; NULL: there is none here, or it was used. */
static run_t *
take_copy(server_t *engine, const char *location, const char *id)
{
	const char *handle = strchr(location, '/');
	long number = handle == NULL ? -1 : strtol(handle + 2, NULL, 10);
	run_t *copy = NULL;

	pthread_mutex_lock(&lock);
	if (number >= 0 && number < copy_count &&
	    copies[number].engine == engine && !copies[number].used &&
	    strcmp(copies[number].id, id) == 0) {
		copy = &copies[number];
		copy->used = true;
	}
	pthread_mutex_unlock(&lock);
	return copy;
}

/* A grey engine refuses some of the requests; the others are served. */
static bool
is_shed(const server_t *engine)
{
	bool shed;

	if (!grey_begun || !has_trouble() || engine->number >= LEAVING + GREY ||
	    engine->number < LEAVING)
		return false;
	pthread_mutex_lock(&lock);
	shed = rand_r(&seed) % 100 < GREY_OF_100;
	refused_count += shed;
	pthread_mutex_unlock(&lock);
	return shed;
}

static bool
serve_stream(server_t *engine, int fd, const message_t *request)
{
	char id[64] = "", location[128] = "", last[32] = "0", text[512];
	bool is_moved =
	    header_value(request, "Kv-From", location, sizeof(location));
	run_t *copy = NULL, *run;
	bool whole;

	header_value(request, "X-Attempt-Id", id, sizeof(id));
	header_value(request, "Last-Event-Id", last, sizeof(last));
	if (is_shed(engine)) {
		record("engine %s refuses %s kv-from=%s last-event-id=%s",
		    engine->id, id, location, last);
		refuse(fd, id);
		return true;
	}
	if (is_moved && (copy = take_copy(engine, location, id)) == NULL) {
		record("engine %s has no copy of %s", engine->id, id);
		refuse(fd, id);
		return true;
	}
	run = begin_run(engine, id, (int)strtol(last, NULL, 10));
	record("engine %s %s %s after event %s", engine->id,
	    is_moved ? "goes on with" : "runs", id, last);
	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
	    "X-Response-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    id, engine->id, id);
	send_text(fd, text);
	whole = write_events(run, fd);
	run->running = false;
	return whole; /* a stream that is moved is closed without its end */
}

static run_t *
find_run(const server_t *engine, const char *id)
{
	for (int i = 0; i < run_count && i < RUNS_MAX; i++)
		if (runs[i].engine == engine && runs[i].running &&
		    !runs[i].stop && strcmp(runs[i].id, id) == 0)
			return &runs[i];
	return NULL;
}

static server_t *
find_engine(const char *address)
{
	const char *port = strchr(address, ':');

	for (int i = 0; port != NULL && i < ENGINES; i++)
		if (engines[i].port == strtol(port + 1, NULL, 10))
			return &engines[i];
	return NULL;
}

/* Reads a string of a JSON object that has no escapes. */
static void
read_json_string(const char *json, const char *name, char *out, size_t size)
{
	char quoted[64];
	const char *found;

	out[0] = '\0';
	snprintf(quoted, sizeof(quoted), "\"%s\"", name);
	found = strstr(json, quoted);
	if (found == NULL)
		return;
	found += strlen(quoted);
	found += strspn(found, " :");
	if (*found == '"')
		snprintf(out, size, "%.*s", (int)strcspn(found + 1, "\""),
		    found + 1);
}

static int
move_run(run_t *run, server_t *source, server_t *target)
{
	int handle;

	run->stop = true;
	while (run->running)
		sleep_ms(1);
	sleep_ms(COPY_MS);
	pthread_mutex_lock(&lock);
	handle = copy_count++ % HANDLES_MAX;
	copies[handle] = *run;
	copies[handle].engine = target;
	copies[handle].source = source;
	copies[handle].used = false;
	moved_count++;
	pthread_mutex_unlock(&lock);
	return handle;
}

static bool
serve_move(server_t *engine, int fd, const message_t *request)
{
	char id[64], address[64], text[512], body[128] = "{}";
	server_t *target;
	run_t *run;
	int status = 404;

	read_json_string(request->body, "id", id, sizeof(id));
	read_json_string(request->body, "target", address, sizeof(address));
	target = find_engine(address);
	pthread_mutex_lock(&lock);
	run = find_run(engine, id);
	pthread_mutex_unlock(&lock);
	if (run != NULL && target != NULL) {
		int handle = move_run(run, engine, target);

		status = 200;
		record("engine %s moves %s to %s after event %d", engine->id,
		    id, target->id, run->events);
		snprintf(body, sizeof(body),
		    "{\"handle\":\"h%d\",\"created\":%d}", handle, run->events);
	}
	snprintf(text, sizeof(text),
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, status == 200 ? "OK" : "Not Found", strlen(body), body);
	return send_text(fd, text);
}

static bool
serve(server_t *engine, int fd, const message_t *request)
{
	if (strncmp(request->head, "POST /v1/kv-move ", 17) == 0)
		return serve_move(engine, fd, request);
	return serve_stream(engine, fd, request);
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
		engines[i].handler = serve;
		server_start(&engines[i]);
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

	grey_begun = true;
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

/* The runs of a request, without those that go on with a copy. */
static int
count_runs(const char *id)
{
	int count = 0;

	for (int i = 0; i < run_count && i < RUNS_MAX; i++)
		count += strcmp(runs[i].id, id) == 0;
	for (int i = 0; i < copy_count && i < HANDLES_MAX; i++)
		count -= copies[i].used && strcmp(copies[i].id, id) == 0;
	return count;
}

static int
judge(void)
{
	int twice = 0, whole = 0;

	for (int i = 0; i < HOSTS * STREAMS; i++) {
		int count = count_runs(streams[i].id);

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
	    HOSTS * STREAMS, whole, moved_count, refused_count, twice);
	return twice;
}

int
main(int argc, char **argv)
{
	int64_t start_ms;

	fleet_begin(argc, argv);
	seed = (unsigned)wall_ms();
	start_deployment();
	start_ms = now_ms();
	for (int i = 0; i < HOSTS * STREAMS; i++) {
		streams[i].host = i % HOSTS;
		snprintf(streams[i].id, sizeof(streams[i].id), "s%d-%d",
		    (int)wall_ms() & 0xffff, i);
		pthread_create(
		    &streams[i].thread, NULL, send_stream, &streams[i]);
		sleep_ms(6);
	}
	sleep_ms(start_ms + RECLAIM_AT_MS - now_ms());
	reclaim();
	for (int i = 0; i < HOSTS * STREAMS; i++)
		pthread_join(streams[i].thread, NULL);
	return judge() > 0 ? EXIT_BROKEN : EXIT_HELD;
}
