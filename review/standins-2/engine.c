#include "engine.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	ENGINES_MAX = 32,
	EVENT_MS = 100,
	HANDLES_MAX = 1024,
	RUNS_MAX = 1024,
	COPY_MS = 30,
};

bool (*engine_sheds)(const server_t *engine);
int engine_moved_count;

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

static server_t *engines[ENGINES_MAX];
static run_t runs[RUNS_MAX];
static run_t copies[HANDLES_MAX];
static int engine_count, run_count, copy_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

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

	while (run->events < ENGINE_EVENTS) {
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

/* Uses the copy that the header names; false: none is here, or it was used. */
static bool
use_copy(server_t *engine, const char *location, const char *id)
{
	const char *handle = strchr(location, '/');
	long number = handle == NULL ? -1 : strtol(handle + 2, NULL, 10);
	bool usable;

	pthread_mutex_lock(&lock);
	usable = number >= 0 && number < copy_count &&
		 copies[number].engine == engine && !copies[number].used &&
		 strcmp(copies[number].id, id) == 0;
	if (usable)
		copies[number].used = true;
	pthread_mutex_unlock(&lock);
	return usable;
}

static bool
serve_stream(server_t *engine, int fd, const message_t *request)
{
	char id[64] = "", location[128] = "", last[32] = "0", text[512];
	bool is_moved =
	    header_value(request, "Kv-From", location, sizeof(location));
	run_t *run;
	bool whole;

	header_value(request, "X-Attempt-Id", id, sizeof(id));
	header_value(request, "Last-Event-Id", last, sizeof(last));
	if (engine_sheds != NULL && engine_sheds(engine)) {
		record("engine %s refuses %s kv-from=%s last-event-id=%s",
		    engine->id, id, location, last);
		refuse(fd, id);
		return true;
	}
	if (is_moved && !use_copy(engine, location, id)) {
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

	for (int i = 0; port != NULL && i < engine_count; i++)
		if (engines[i]->port == strtol(port + 1, NULL, 10))
			return engines[i];
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
	engine_moved_count++;
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

bool
engine_serve(server_t *engine, int fd, const message_t *request)
{
	if (strncmp(request->head, "POST /v1/kv-move ", 17) == 0)
		return serve_move(engine, fd, request);
	return serve_stream(engine, fd, request);
}

int
engine_count_runs(const char *id)
{
	int count = 0;

	for (int i = 0; i < run_count && i < RUNS_MAX; i++)
		count += strcmp(runs[i].id, id) == 0;
	for (int i = 0; i < copy_count && i < HANDLES_MAX; i++)
		count -= copies[i].used && strcmp(copies[i].id, id) == 0;
	return count;
}

void
engine_start(server_t *engine)
{
	if (engine_count == ENGINES_MAX)
		cannot_run("too many engines");
	engines[engine_count++] = engine;
	engine->handler = engine_serve;
	server_start(engine);
}
