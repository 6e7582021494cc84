/* mutants of src/stream.c: STREAM_MUTANT=1 STREAM_MUTANT=2 STREAM_MUTANT=3
 * STREAM_MUTANT=4 STREAM_MUTANT=5 STREAM_MUTANT=6 */
/*
 * Stateful fuzzing of a response assembled from attempts. Every input byte
 * pair is one event. Attempts of all kinds of faulty backend servers stay
 * connected, and deliver in any order and in any pieces. Oracle: token I of
 * the response is always the right one, and the response is whole only with
 * all of them.
 */
#include "oracle.h"
#include "stream.h"

#include <stdlib.h>
#include <string.h>

enum {
	TOKENS = 6,
	ATTEMPTS_MAX = 24,
	INPUT_MAX = 1024,
};

typedef enum fault {
	FAULT_NONE,
	FAULT_OTHER_HEADER,  /* another request's response, but own ids */
	FAULT_OTHER_EVENT,   /* one event of another request */
	FAULT_OTHER_VERSION, /* tokens of another version */
	FAULT_SKIP,	     /* one event is lost */
	FAULT_REPEAT,	     /* one event comes twice */
	FAULT_EARLY_DONE,    /* the end mark comes after some token */
	FAULT_NO_DONE,	     /* no end mark */
	FAULT_GARBAGE,
	FAULT_FROM_START, /* does not resume */
	FAULT_COUNT,
} fault_t;

typedef struct attempt {
	char id[16];
	fault_t fault;
	GString *wire;
	size_t sent;
} attempt_t;

typedef struct world {
	stream_t *stream;
	attempt_t attempts[ATTEMPTS_MAX];
	unsigned count;
	unsigned tokens; /* seen so far */
	bool complete;
} world_t;

static void
add_event(GString *wire, const char *id, const char *version, unsigned index,
    const char *kind)
{
	g_string_append_printf(wire,
	    "data: {\"id\":\"%s\",\"model\":\"%s\",\"index\":%u,\"choices\":"
	    "[{\"text\":\"%s%u\",\"finish_reason\":%s}]}\n\n",
	    id, version, index, kind, index,
	    index == TOKENS - 1 ? "\"stop\"" : "null");
}

/* Writes one token of an attempt as its fault has it. */
static void
add_token(attempt_t *attempt, unsigned index, bool faulty)
{
	GString *wire = attempt->wire;
	const char *id = attempt->id;

	if (attempt->fault == FAULT_OTHER_HEADER)
		add_event(wire, id, "v1", index, "other");
	else if (attempt->fault == FAULT_OTHER_VERSION)
		add_event(wire, id, "v2", index, "version");
	else if (!faulty || attempt->fault == FAULT_FROM_START)
		add_event(wire, id, "v1", index, "right");
	else if (attempt->fault == FAULT_OTHER_EVENT)
		add_event(wire, "z", "v1", index, "other");
	else if (attempt->fault == FAULT_GARBAGE)
		g_string_append(wire, "data: {\"id\": [\n\n");
	else if (attempt->fault != FAULT_SKIP)
		add_event(wire, id, "v1", index, "right");
	if (faulty && attempt->fault == FAULT_REPEAT)
		add_event(wire, id, "v1", index, "right");
	if (faulty && attempt->fault == FAULT_EARLY_DONE)
		g_string_append(wire, "data: [DONE]\n\n");
}

static void
begin(world_t *world, fault_t fault, unsigned where)
{
	attempt_t *attempt = &world->attempts[world->count];
	unsigned first = stream_token_count(world->stream);

	if (world->count == ATTEMPTS_MAX || world->complete)
		return;
	world->count++;
	snprintf(attempt->id, sizeof(attempt->id), "a%u", world->count);
	attempt->fault = fault;
	attempt->wire = g_string_new(NULL);
	attempt->sent = 0;
	if (fault == FAULT_FROM_START)
		first = 0;
	where = first + where % (TOKENS - first);
	for (unsigned i = first; i < TOKENS; i++)
		add_token(attempt, i, i == where);
	if (fault != FAULT_NO_DONE)
		g_string_append(attempt->wire, "data: [DONE]\n\n");
	stream_start_attempt(world->stream, attempt->id);
	stream_receive_header(world->stream, attempt->id, 200,
	    fault == FAULT_OTHER_HEADER ? "z" : attempt->id);
}

static void
deliver(world_t *world, attempt_t *attempt, size_t length)
{
	size_t left = attempt->wire->len - attempt->sent;

	length = MIN(length, left);
	stream_receive_data(world->stream, attempt->id,
	    attempt->wire->str + attempt->sent, length);
	attempt->sent += length;
}

static void
check(world_t *world)
{
	stream_t *stream = world->stream;

	CHECK(stream_token_count(stream) <= TOKENS);
	CHECK(stream_token_count(stream) >= world->tokens);
	CHECK(stream_is_complete(stream) || !world->complete);
	CHECK(!stream_is_complete(stream) ||
	      stream_token_count(stream) == TOKENS);
	/* The last token counts only once the end mark confirms it. */
	CHECK(
	    stream_is_complete(stream) || stream_token_count(stream) < TOKENS);
	for (unsigned i = 0; i < stream_token_count(stream); i++) {
		char right[16];

		snprintf(right, sizeof(right), "right%u", i);
		CHECK(strcmp(stream_token(stream, i), right) == 0);
	}
	world->tokens = stream_token_count(stream);
	world->complete = stream_is_complete(stream);
}

static void
event(world_t *world, uint8_t operation, uint8_t argument)
{
	attempt_t *attempt = NULL;

	if (world->count > 0)
		attempt = &world->attempts[operation / 8 % world->count];
	switch (operation % 8) {
	case 0:
	case 1:
		begin(world, argument % FAULT_COUNT, argument / FAULT_COUNT);
		break;
	case 2:
		stream_cancel_attempt(world->stream);
		break;
	case 3:
		if (attempt != NULL)
			stream_receive_end(world->stream, attempt->id);
		/* Only the end mark makes a response whole. */
		CHECK(stream_is_complete(world->stream) == world->complete);
		break;
	default:
		if (attempt != NULL)
			deliver(world, attempt, (size_t)argument * 4);
		break;
	}
	check(world);
}

/* Once one backend server is in order, the response becomes whole. */
static void
finish(world_t *world)
{
	world->count = MIN(world->count, ATTEMPTS_MAX - 1);
	if (world->complete)
		return;
	if (world->attempts[world->count].wire != NULL)
		g_string_free(world->attempts[world->count].wire, TRUE);
	begin(world, FAULT_NONE, 0);
	deliver(world, &world->attempts[world->count - 1], SIZE_MAX);
	check(world);
	CHECK(world->complete);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	world_t world = {.stream = stream_new(TOKENS, "v1")};

	for (size_t i = 0; i + 1 < MIN(length, INPUT_MAX); i += 2)
		event(&world, bytes[i], bytes[i + 1]);
	finish(&world);
	for (unsigned i = 0; i < ATTEMPTS_MAX; i++)
		if (world.attempts[i].wire != NULL)
			g_string_free(world.attempts[i].wire, TRUE);
	stream_free(world.stream);
	return 0;
}
