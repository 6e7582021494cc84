/* mutants of src/ledger_partition.c: LEDGER_MUTANT=1 LEDGER_MUTANT=2
 * LEDGER_MUTANT=3 */
/*
 * Stateful fuzzing of the ledger with three nodes, one store, and an oracle
 * that counts the runs of each key. Each pair of input bytes is one event.
 */
#include "ledger.h"
#include "oracle.h"

#include <stdlib.h>
#include <string.h>

enum {
	NODES = 3,
	KEYS = 4, /* the first two are UUIDv7 */
	PARTITIONS = 2,
	INPUT_MAX = 4096, /* bytes; the remainder is ignored */
	RETENTION_MS = 20000,
	REQUEST_MS = 5000,
	DRAIN_ROUNDS = 400,
	DRAIN_STEP_MS = 50,
};

/* A value that a partition has, or had, in the store. */
typedef struct stored_value {
	int64_t revision;
	GBytes *value;
} stored_value_t;

/* A store call, message or run of a node that has not completed. */
typedef struct operation {
	unsigned node;	      /* that sent it */
	unsigned incarnation; /* of the node when it sent it */
	ledger_action_t action;
	bool abandoned; /* a swap with a lost response; may still apply */
	int64_t previous_run_ms; /* of a run: the key's run_ms before it */
} operation_t;

typedef struct request {
	unsigned node, key, variant;
	bool open;
} request_t;

/* State of a key for the oracle. */
typedef struct key_state {
	unsigned runs;
	unsigned variant;	 /* of the last run */
	int64_t run_ms;		 /* start_ms of the last run */
	uint64_t refused[NODES]; /* last request refused as not run */
} key_state_t;

typedef struct world {
	int64_t now_ms;
	int64_t skew_ms[NODES];
	bool skewed;  /* the clocks of the nodes differ */
	bool crashed; /* a node was restarted */
	ledger_t *nodes[NODES];
	unsigned incarnations[NODES];
	counters_t *counters;
	GArray *history[PARTITIONS]; /* stored_value_t, oldest first */
	int64_t revision;
	GArray *in_flight; /* operation_t */
	GArray *running;   /* operation_t of LEDGER_RUN */
	GArray *requests;  /* request_t; index + 1 is the id */
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
restart_node(world_t *world, unsigned node)
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
	world->incarnations[node]++;
}

static const stored_value_t *
latest_value(const world_t *world, unsigned partition)
{
	GArray *history = world->history[partition];

	return &g_array_index(history, stored_value_t, history->len - 1);
}

/* Counts start records without outcome in the store; nonce NULL: all. */
static unsigned
count_started(const world_t *world, const ledger_id_t *nonce)
{
	unsigned count = 0;

	for (unsigned i = 0; i < PARTITIONS; i++) {
		const stored_value_t *stored = latest_value(world, i);
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
 * The oracle: a run needs an open request and a committed start record, and no
 * other run of its key. Only a key that is not a UUIDv7 may run again after its
 * record has expired.
 */
static int64_t
check_run(world_t *world, unsigned node, const ledger_action_t *action)
{
	request_t *request =
	    &g_array_index(world->requests, request_t, action->id - 1);
	key_state_t *key = &world->keys[request->key];
	bool is_uuidv7 = request->key < 2;
	int64_t previous_run_ms = key->run_ms;
	bool dropped =
	    !is_uuidv7 &&
	    (world->skewed || world->now_ms >= key->run_ms + RETENTION_MS);

	CHECK(request->open && request->node == node);
	CHECK(action->id > key->refused[node]);
	CHECK(key->runs == 0 || dropped);
	/* With clock skew another node may remove the record early. */
	CHECK(
	    world->skewed || count_started(world, &action->record->nonce) == 1);
	key->runs++;
	key->variant = request->variant;
	key->run_ms = action->record->start_ms;
	return previous_run_ms;
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
collect_actions(world_t *world, unsigned node)
{
	ledger_action_t action;

	while (ledger_next_action(world->nodes[node], &action)) {
		operation_t op = {.node = node,
		    .incarnation = world->incarnations[node],
		    .action = action};

		switch (action.kind) {
		case LEDGER_RUN:
			op.previous_run_ms = check_run(world, node, &action);
			g_array_append_val(world->running, op);
			break;
		case LEDGER_REPLY:
		case LEDGER_REFUSE:
			close_request(world, node, &action);
			ledger_action_clear(&action);
			break;
		default:
			g_array_append_val(world->in_flight, op);
		}
	}
}

/* Applies a swap if its expected revision is current. True if applied. */
static bool
apply_swap(world_t *world, const ledger_action_t *swap)
{
	stored_value_t next = {.value = swap->value};

	if (latest_value(world, swap->partition_index)->revision !=
	    swap->expected_revision)
		return false;
	g_bytes_ref(next.value);
	CHECK(g_bytes_get_size(next.value) <= 2048);
	next.revision = ++world->revision;
	g_array_append_val(world->history[swap->partition_index], next);
	return true;
}

static void
complete_swap(world_t *world, operation_t *op, unsigned choice)
{
	ledger_t *ledger = world->nodes[op->node];
	unsigned partition = op->action.partition_index;
	store_status_t status = STORE_OUTCOME_UNKNOWN;
	int64_t revision = 0;
	operation_t delayed;

	switch (choice % 6) {
	case 0:
	case 1: /* the response arrives */
		status =
		    apply_swap(world, &op->action) ? STORE_OK : STORE_CONFLICT;
		revision = latest_value(world, partition)->revision;
		break;
	case 2: /* applied; the response is lost */
		apply_swap(world, &op->action);
		break;
	case 3: /* no response; applied later or never */
		delayed = *op;
		delayed.abandoned = true;
		g_bytes_ref(delayed.action.value);
		g_array_append_val(world->in_flight, delayed);
		break;
	case 4:
		status = STORE_RATE_LIMITED;
		break;
	case 5:
		status = STORE_NOT_SENT;
		break;
	}
	ledger_on_swap(ledger, partition, status, revision,
	    node_ms(world, op->node), next_random(world));
}

static void
complete_read(world_t *world, operation_t *op, unsigned choice)
{
	unsigned partition = op->action.partition_index;
	GArray *history = world->history[partition];
	const stored_value_t *stored = latest_value(world, partition);
	store_status_t status = STORE_OK;
	gsize length = 0;
	const void *bytes = NULL;

	if (choice % 4 == 2) /* stale */
		stored = &g_array_index(
		    history, stored_value_t, next_random(world) % history->len);
	if (stored->revision == 0)
		status = STORE_NOT_FOUND;
	else
		bytes = g_bytes_get_data(stored->value, &length);
	if (choice % 4 == 3)
		status = STORE_OUTCOME_UNKNOWN;
	ledger_on_read(world->nodes[op->node], partition, status,
	    stored->revision, bytes, length, node_ms(world, op->node),
	    next_random(world));
}

static unsigned
node_index(const char *name)
{
	return (unsigned)(name[0] - 'a');
}

static void
deliver_operation(world_t *world, guint index, unsigned choice)
{
	operation_t op = g_array_index(world->in_flight, operation_t, index);
	const ledger_record_t *record = op.action.record;
	bool alive = op.incarnation == world->incarnations[op.node];
	unsigned to = op.node;

	g_array_remove_index(world->in_flight, index);
	if (op.action.kind == LEDGER_SWAP && (op.abandoned || !alive)) {
		if (choice % 2 == 0)
			apply_swap(world, &op.action);
	} else if (op.action.kind == LEDGER_SWAP) {
		complete_swap(world, &op, choice);
	} else if (op.action.kind == LEDGER_READ && alive) {
		complete_read(world, &op, choice);
	} else if (op.action.kind == LEDGER_QUERY_OUTCOME && choice % 4 != 3) {
		char from[2] = {(char)('a' + op.node), '\0'};

		to = node_index(record->node);
		ledger_on_outcome_query(world->nodes[to], from, record->service,
		    record->key, record->nonce, node_ms(world, to));
	} else if (op.action.kind == LEDGER_NOTIFY_NODE && choice % 4 != 3) {
		to = node_index(op.action.node);
		ledger_on_outcome(world->nodes[to], record->service,
		    record->key, record->nonce, op.action.outcome_known,
		    node_ms(world, to));
	}
	ledger_action_clear(&op.action);
	collect_actions(world, to);
}

static void
finish_run(world_t *world, guint index, unsigned choice)
{
	operation_t run = g_array_index(world->running, operation_t, index);
	const request_t *request =
	    &g_array_index(world->requests, request_t, run.action.id - 1);
	unsigned padding = choice / 4 * 20;
	char *body = g_strdup_printf(
	    "%u/%u%*s", request->key, request->variant, (int)padding, "");
	ledger_outcome_t outcome = {
	    .end = LEDGER_END_RESPONDED,
	    .status = 200,
	    .content_type = "text/plain",
	    .body = g_bytes_new(body, strlen(body)),
	    .body_location =
		choice % 8 == 5 ? LEDGER_BODY_OMITTED : LEDGER_BODY_INLINE,
	};

	g_array_remove_index(world->running, index);
	if (choice % 4 == 2)
		outcome.end = LEDGER_END_UNKNOWN;
	if (choice % 4 == 3 &&
	    run.incarnation == world->incarnations[run.node]) {
		outcome.end = LEDGER_END_NOT_SENT;
		world->keys[request->key].runs--;
		world->keys[request->key].run_ms = run.previous_run_ms;
	}
	if (run.incarnation == world->incarnations[run.node]) {
		ledger_finish(world->nodes[run.node], run.action.record,
		    &outcome, node_ms(world, run.node));
		collect_actions(world, run.node);
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
	collect_actions(world, node);
}

static void
crash_node(world_t *world, unsigned node)
{
	for (guint i = 0; i < world->requests->len; i++) {
		request_t *request =
		    &g_array_index(world->requests, request_t, i);

		if (request->node == node)
			request->open = false;
	}
	restart_node(world, node);
	world->crashed = true;
}

static void
tick_node(world_t *world, unsigned node)
{
	ledger_tick(world->nodes[node], node_ms(world, node));
	collect_actions(world, node);
}

static void
run_event(world_t *world, uint8_t event, uint8_t detail)
{
	unsigned node = detail % NODES;

	switch (event % 12) {
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
		if (world->in_flight->len > 0)
			deliver_operation(
			    world, event / 12 % world->in_flight->len, detail);
		break;
	case 7:
		if (world->running->len > 0)
			finish_run(
			    world, event / 12 % world->running->len, detail);
		break;
	case 8: /* only one node handles its timers */
		world->now_ms += detail;
		tick_node(world, node);
		break;
	case 9:
		world->now_ms += detail * 8;
		for (node = 0; node < NODES; node++)
			tick_node(world, node);
		break;
	case 10:
		if (detail % 4 == 0)
			crash_node(world, detail / 4 % NODES);
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

/* Checks that every request ends once the store has no more faults. */
static void
drain(world_t *world)
{
	unsigned entry_count = 1;

	for (int round = 0; round < DRAIN_ROUNDS && entry_count > 0; round++) {
		entry_count = 0;
		while (world->in_flight->len > 0)
			deliver_operation(world, 0, 0);
		while (world->running->len > 0)
			finish_run(world, 0, 0);
		world->now_ms += DRAIN_STEP_MS;
		for (unsigned node = 0; node < NODES; node++) {
			tick_node(world, node);
			entry_count += ledger_entries(world->nodes[node]);
		}
	}
	for (guint i = 0; i < world->requests->len; i++)
		CHECK(!g_array_index(world->requests, request_t, i).open);
	for (unsigned node = 0; node < NODES; node++)
		CHECK(ledger_entries(world->nodes[node]) == 0);
	/* Each start has run and has its outcome, or was withdrawn. */
	CHECK(world->crashed || count_started(world, NULL) == 0);
}

static void
operations_free(GArray *in_flight)
{
	for (guint i = 0; i < in_flight->len; i++)
		ledger_action_clear(
		    &g_array_index(in_flight, operation_t, i).action);
	g_array_free(in_flight, TRUE);
}

static void
world_free(world_t *world)
{
	for (unsigned node = 0; node < NODES; node++)
		ledger_free(world->nodes[node]);
	for (unsigned i = 0; i < PARTITIONS; i++) {
		for (guint j = 0; j < world->history[i]->len; j++)
			g_bytes_unref(
			    g_array_index(world->history[i], stored_value_t, j)
				.value);
		g_array_free(world->history[i], TRUE);
	}
	operations_free(world->in_flight);
	operations_free(world->running);
	g_array_free(world->requests, TRUE);
	counters_free(world->counters);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	world_t world = {.now_ms = 1700000000000, .random = 1};
	stored_value_t absent_value = {0};

	for (unsigned key = 0; key < KEYS; key++)
		g_snprintf(key_names[key], sizeof(key_names[key]),
		    key < 2 ? "018bcfe5-6800-7000-8000-00000000000%u"
			    : "key-%u",
		    key);
	world.counters = counters_new();
	world.in_flight = g_array_new(FALSE, FALSE, sizeof(operation_t));
	world.running = g_array_new(FALSE, FALSE, sizeof(operation_t));
	world.requests = g_array_new(FALSE, FALSE, sizeof(request_t));
	for (unsigned i = 0; i < PARTITIONS; i++) {
		world.history[i] =
		    g_array_new(FALSE, FALSE, sizeof(stored_value_t));
		g_array_append_val(world.history[i], absent_value);
	}
	for (unsigned node = 0; node < NODES; node++)
		restart_node(&world, node);
	for (size_t i = 0; i + 1 < MIN(length, INPUT_MAX); i += 2)
		run_event(&world, bytes[i], bytes[i + 1]);
	drain(&world);
	world_free(&world);
	return 0;
}
