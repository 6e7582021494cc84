/* mutants of src/ledger_part.c: LEDGER_MUTANT=1 LEDGER_MUTANT=2
 * LEDGER_MUTANT=3 */
/*
 * Stateful fuzzing of the ledger: three nodes, one store, and an oracle that
 * counts the runs of each key. Every input byte pair is one event.
 */
#include "ledger.h"
#include "oracle.h"

#include <stdlib.h>
#include <string.h>

enum {
	NODES = 3,
	KEYS = 4, /* the first two are UUIDv7 */
	PARTITIONS = 2,
	HISTORY = 4096,
	RETENTION_MS = 20000,
	REQUEST_MS = 5000,
	DRAIN_ROUNDS = 400,
	DRAIN_STEP_MS = 50,
};

typedef struct stored {
	int64_t revision;
	GBytes *value;
} stored_t;

/* A store call or message that has left a node and not arrived. */
typedef struct flight {
	unsigned node; /* that waits for it; ignored once late */
	unsigned life; /* of the node, at the time */
	ledger_action_t action;
	bool late;	   /* a swap whose writer has given up */
	int64_t former_ms; /* a run: run_ms of the key before it */
} flight_t;

typedef struct request {
	unsigned node, key, variant;
	bool open;
} request_t;

/* What the oracle knows of a key. */
typedef struct key_state {
	unsigned runs;
	unsigned variant;	 /* of the newest run */
	int64_t run_ms;		 /* start record of the newest run */
	uint64_t refused[NODES]; /* newest request refused as not run */
} key_state_t;

typedef struct world {
	int64_t now_ms;
	int64_t skew_ms[NODES];
	bool skewed;
	bool crashed;
	ledger_t *nodes[NODES];
	unsigned lives[NODES];
	counters_t *counters;
	GArray *history[PARTITIONS]; /* stored_t; the newest is last */
	int64_t revision;
	GArray *flights;  /* flight_t */
	GArray *running;  /* flight_t of LEDGER_RUN */
	GArray *requests; /* request_t; index + 1 is the id */
	key_state_t keys[KEYS];
	uint64_t random;
} world_t;

static char key_names[KEYS][40];

static uint64_t
next_random(world_t *world)
{
	world->random =
	    world->random * 6364136223846793005u + 1442695040888963407u;
	return world->random >> 16;
}

static int64_t
node_ms(const world_t *world, unsigned node)
{
	return world->now_ms + world->skew_ms[node];
}

static void
node_boot(world_t *world, unsigned node)
{
	static const char *const names[NODES] = {"a", "b", "c"};
	ledger_options_t options = {
	    .node = names[node],
	    .partition_count = PARTITIONS,
	    .value_size_max = 2048,
	    .start_value_size_max = 1024,
	    .start_timeout_ms = 1000,
	    .reply_delay_max_ms = 100,
	    .entries_max = 8,
	    .counters = world->counters,
	};

	ledger_free(world->nodes[node]);
	world->nodes[node] = ledger_new(&options);
	world->lives[node]++;
}

static const stored_t *
newest(const world_t *world, unsigned partition)
{
	GArray *history = world->history[partition];

	return &g_array_index(history, stored_t, history->len - 1);
}

/* Counts the store's start records without outcome, or those of a nonce. */
static unsigned
count_started(const world_t *world, const ledger_id_t *nonce)
{
	unsigned count = 0;

	for (unsigned i = 0; i < PARTITIONS; i++) {
		const stored_t *stored = newest(world, i);
		ledger_value_t *value;
		GHashTableIter iter;
		gpointer data;
		gsize length;
		const void *bytes;

		if (stored->revision == 0)
			continue;
		bytes = g_bytes_get_data(stored->value, &length);
		value = ledger_value_decode(bytes, length, 1, NULL);
		CHECK(value != NULL);
		g_hash_table_iter_init(&iter, value->records);
		while (g_hash_table_iter_next(&iter, NULL, &data)) {
			const ledger_record_t *record = data;

			if (record->state == LEDGER_STARTED &&
			    (nonce == NULL ||
				ledger_id_equal(record->nonce, *nonce)))
				count++;
		}
		ledger_value_free(value);
	}
	return count;
}

/*
 * The oracle: a run needs an open request and a committed start record,
 * and is the only one of its key.
 */
static int64_t
check_run(world_t *world, unsigned node, const ledger_action_t *action)
{
	request_t *request =
	    &g_array_index(world->requests, request_t, action->id - 1);
	key_state_t *key = &world->keys[request->key];
	bool uuid = request->key < 2;
	int64_t former_ms = key->run_ms;
	bool dropped =
	    !uuid &&
	    (world->skewed || world->now_ms >= key->run_ms + RETENTION_MS);

	CHECK(request->open && request->node == node);
	CHECK(action->id > key->refused[node]);
	CHECK(key->runs == 0 || dropped);
	/* Another node may drop the record early if the clocks differ. */
	CHECK(
	    world->skewed || count_started(world, &action->record->nonce) == 1);
	key->runs++;
	key->variant = request->variant;
	key->run_ms = action->record->start_ms;
	return former_ms;
}

static void
close_request(world_t *world, unsigned node, const ledger_action_t *action)
{
	request_t *request =
	    &g_array_index(world->requests, request_t, action->id - 1);
	key_state_t *key = &world->keys[request->key];
	char expected[32];
	gsize length;
	const char *body;

	CHECK(request->open && request->node == node);
	request->open = false;
	if (action->kind == LEDGER_REFUSE) {
		if (action->not_run && action->error != PAPAYA_ERROR_KEY_REUSED)
			key->refused[node] = action->id;
		return;
	}
	CHECK(key->runs > 0);
	g_snprintf(expected, sizeof(expected), "%u/%u", request->key,
	    request->variant);
	if (action->record->body_location != LEDGER_BODY_INLINE)
		return;
	body = g_bytes_get_data(action->record->body, &length);
	CHECK(length >= strlen(expected) &&
	      memcmp(body, expected, strlen(expected)) == 0);
}

static void
collect(world_t *world, unsigned node)
{
	ledger_action_t action;

	while (ledger_next_action(world->nodes[node], &action)) {
		flight_t flight = {
		    .node = node, .life = world->lives[node], .action = action};

		switch (action.kind) {
		case LEDGER_RUN:
			flight.former_ms = check_run(world, node, &action);
			g_array_append_val(world->running, flight);
			break;
		case LEDGER_REPLY:
		case LEDGER_REFUSE:
			close_request(world, node, &action);
			ledger_action_clear(&action);
			break;
		default:
			g_array_append_val(world->flights, flight);
		}
	}
}

/* Lets a swap take effect. True where its precondition holds. */
static bool
land(world_t *world, const ledger_action_t *swap)
{
	stored_t next = {.value = swap->value};

	if (newest(world, swap->partition_index)->revision !=
	    swap->expected_revision)
		return false;
	g_bytes_ref(next.value);
	CHECK(g_bytes_get_size(next.value) <= 2048);
	next.revision = ++world->revision;
	g_array_append_val(world->history[swap->partition_index], next);
	return true;
}

static void
answer_swap(world_t *world, flight_t *flight, unsigned how)
{
	ledger_t *ledger = world->nodes[flight->node];
	unsigned partition = flight->action.partition_index;
	store_status_t status = STORE_UNKNOWN;
	int64_t revision = 0;
	flight_t late;

	switch (how % 6) {
	case 0:
	case 1: /* answered */
		status =
		    land(world, &flight->action) ? STORE_OK : STORE_CONFLICT;
		revision = newest(world, partition)->revision;
		break;
	case 2: /* the answer is lost */
		land(world, &flight->action);
		break;
	case 3: /* no answer; takes effect later, or never */
		late = *flight;
		late.late = true;
		g_bytes_ref(late.action.value);
		g_array_append_val(world->flights, late);
		break;
	case 4:
		status = STORE_BUSY;
		break;
	case 5:
		status = STORE_NOT_SENT;
		break;
	}
	ledger_on_swap(ledger, partition, status, revision,
	    node_ms(world, flight->node), next_random(world));
}

static void
answer_read(world_t *world, flight_t *flight, unsigned how)
{
	unsigned partition = flight->action.partition_index;
	GArray *history = world->history[partition];
	const stored_t *stored = newest(world, partition);
	store_status_t status = STORE_OK;
	gsize length = 0;
	const void *bytes = NULL;

	if (how % 4 == 2) /* stale */
		stored = &g_array_index(
		    history, stored_t, next_random(world) % history->len);
	if (stored->revision == 0)
		status = STORE_ABSENT;
	else
		bytes = g_bytes_get_data(stored->value, &length);
	if (how % 4 == 3)
		status = STORE_UNKNOWN;
	ledger_on_read(world->nodes[flight->node], partition, status,
	    stored->revision, bytes, length, node_ms(world, flight->node),
	    next_random(world));
}

static unsigned
node_named(const char *name)
{
	return (unsigned)(name[0] - 'a');
}

static void
deliver(world_t *world, guint index, unsigned how)
{
	flight_t flight = g_array_index(world->flights, flight_t, index);
	const ledger_record_t *record = flight.action.record;
	bool alive = flight.life == world->lives[flight.node];
	unsigned to = flight.node;

	g_array_remove_index(world->flights, index);
	if (flight.action.kind == LEDGER_SWAP && (flight.late || !alive)) {
		if (how % 2 == 0)
			land(world, &flight.action);
	} else if (flight.action.kind == LEDGER_SWAP) {
		answer_swap(world, &flight, how);
	} else if (flight.action.kind == LEDGER_READ && alive) {
		answer_read(world, &flight, how);
	} else if (flight.action.kind == LEDGER_QUERY_OUTCOME && how % 4 != 3) {
		char from[2] = {(char)('a' + flight.node), '\0'};

		to = node_named(record->node);
		ledger_on_outcome_query(world->nodes[to], from, record->service,
		    record->key, record->nonce, node_ms(world, to));
	} else if (flight.action.kind == LEDGER_NOTIFY_NODE && how % 4 != 3) {
		to = node_named(flight.action.node);
		ledger_on_outcome(world->nodes[to], record->service,
		    record->key, record->nonce, flight.action.outcome_known,
		    node_ms(world, to));
	}
	ledger_action_clear(&flight.action);
	collect(world, to);
}

static void
finish(world_t *world, guint index, unsigned how)
{
	flight_t run = g_array_index(world->running, flight_t, index);
	const request_t *request =
	    &g_array_index(world->requests, request_t, run.action.id - 1);
	unsigned padding = how / 4 * 20;
	char *body = g_strdup_printf(
	    "%u/%u%*s", request->key, request->variant, (int)padding, "");
	ledger_outcome_t outcome = {
	    .end = LEDGER_END_RESPONDED,
	    .status = 200,
	    .content_type = "text/plain",
	    .body = g_bytes_new(body, strlen(body)),
	    .body_location =
		how % 8 == 5 ? LEDGER_BODY_OMITTED : LEDGER_BODY_INLINE,
	};

	g_array_remove_index(world->running, index);
	if (how % 4 == 2)
		outcome.end = LEDGER_END_UNKNOWN;
	if (how % 4 == 3 && run.life == world->lives[run.node]) {
		outcome.end = LEDGER_END_NOT_SENT;
		world->keys[request->key].runs--;
		world->keys[request->key].run_ms = run.former_ms;
	}
	if (run.life == world->lives[run.node]) {
		ledger_finish(world->nodes[run.node], run.action.record,
		    &outcome, node_ms(world, run.node));
		collect(world, run.node);
	}
	g_bytes_unref(outcome.body);
	g_free(body);
	ledger_action_clear(&run.action);
}

static void
send_request(world_t *world, unsigned node, unsigned key, unsigned variant)
{
	request_t request = {
	    .node = node, .key = key, .variant = variant, .open = true};
	ledger_request_t sent = {
	    .service = "team/pickup",
	    .key = key_names[key],
	    .hash = {.high = key, .low = variant},
	    .nonce = {.high = next_random(world), .low = next_random(world)},
	    .retention_ms = RETENTION_MS,
	    .deadline_ms = node_ms(world, node) + REQUEST_MS,
	};

	if (!ledger_check_key(
		sent.key, key < 2, RETENTION_MS, node_ms(world, node), NULL))
		return;
	g_array_append_val(world->requests, request);
	sent.id = world->requests->len;
	ledger_request(world->nodes[node], &sent, node_ms(world, node));
	collect(world, node);
}

static void
crash(world_t *world, unsigned node)
{
	for (guint i = 0; i < world->requests->len; i++) {
		request_t *request =
		    &g_array_index(world->requests, request_t, i);

		if (request->node == node)
			request->open = false;
	}
	node_boot(world, node);
	world->crashed = true;
}

static void
tick(world_t *world, unsigned node)
{
	ledger_tick(world->nodes[node], node_ms(world, node));
	collect(world, node);
}

static void
event(world_t *world, uint8_t what, uint8_t detail)
{
	unsigned node = detail % NODES;

	switch (what % 12) {
	case 0:
	case 1:
		send_request(
		    world, node, detail / 4 % KEYS, detail >= 240 ? 1 : 0);
		break;
	case 2:
	case 3:
	case 4:
	case 5:
	case 6:
		if (world->flights->len > 0)
			deliver(world, what / 12 % world->flights->len, detail);
		break;
	case 7:
		if (world->running->len > 0)
			finish(world, what / 12 % world->running->len, detail);
		break;
	case 8: /* one node's time: the others are paused */
		world->now_ms += detail;
		tick(world, node);
		break;
	case 9:
		world->now_ms += detail * 8;
		for (node = 0; node < NODES; node++)
			tick(world, node);
		break;
	case 10:
		if (detail % 4 == 0)
			crash(world, detail / 4 % NODES);
		break;
	case 11:
		if (detail < 16)
			world->now_ms += RETENTION_MS / 2;
		else if (detail < 24) {
			world->skewed = true;
			/* A node's clock never goes back. */
			world->skew_ms[node] =
			    MAX(world->skew_ms[node], (detail % 4) * 7000);
		}
		break;
	}
}

/* With a healthy store and no more faults every request ends. */
static void
drain(world_t *world)
{
	unsigned left = 1;

	for (int round = 0; round < DRAIN_ROUNDS && left > 0; round++) {
		left = 0;
		while (world->flights->len > 0)
			deliver(world, 0, 0);
		while (world->running->len > 0)
			finish(world, 0, 0);
		world->now_ms += DRAIN_STEP_MS;
		for (unsigned node = 0; node < NODES; node++) {
			tick(world, node);
			left += ledger_entries(world->nodes[node]);
		}
	}
	for (guint i = 0; i < world->requests->len; i++)
		CHECK(!g_array_index(world->requests, request_t, i).open);
	for (unsigned node = 0; node < NODES; node++)
		CHECK(ledger_entries(world->nodes[node]) == 0);
	/* Every start was run and its outcome written, or was withdrawn. */
	CHECK(world->crashed || count_started(world, NULL) == 0);
}

static void
flights_free(GArray *flights)
{
	for (guint i = 0; i < flights->len; i++)
		ledger_action_clear(
		    &g_array_index(flights, flight_t, i).action);
	g_array_free(flights, TRUE);
}

static void
world_free(world_t *world)
{
	for (unsigned node = 0; node < NODES; node++)
		ledger_free(world->nodes[node]);
	for (unsigned i = 0; i < PARTITIONS; i++) {
		for (guint j = 0; j < world->history[i]->len; j++)
			g_bytes_unref(
			    g_array_index(world->history[i], stored_t, j)
				.value);
		g_array_free(world->history[i], TRUE);
	}
	flights_free(world->flights);
	flights_free(world->running);
	g_array_free(world->requests, TRUE);
	counters_free(world->counters);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	world_t world = {.now_ms = 1700000000000, .random = 1};
	stored_t absent = {0};

	for (unsigned key = 0; key < KEYS; key++)
		g_snprintf(key_names[key], sizeof(key_names[key]),
		    key < 2 ? "018bcfe5-6800-7000-8000-00000000000%u"
			    : "key-%u",
		    key);
	world.counters = counters_new();
	world.flights = g_array_new(FALSE, FALSE, sizeof(flight_t));
	world.running = g_array_new(FALSE, FALSE, sizeof(flight_t));
	world.requests = g_array_new(FALSE, FALSE, sizeof(request_t));
	for (unsigned i = 0; i < PARTITIONS; i++) {
		world.history[i] = g_array_new(FALSE, FALSE, sizeof(stored_t));
		g_array_append_val(world.history[i], absent);
	}
	for (unsigned node = 0; node < NODES; node++)
		node_boot(&world, node);
	for (size_t i = 0; i + 1 < MIN(length, HISTORY); i += 2)
		event(&world, bytes[i], bytes[i + 1]);
	drain(&world);
	world_free(&world);
	return 0;
}
