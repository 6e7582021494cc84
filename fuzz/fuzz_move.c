/* mutants of src/move.c: MOVE_MUTANT=1 MOVE_MUTANT=2 MOVE_MUTANT=3
 * MOVE_MUTANT=4 MOVE_MUTANT=5 */
/*
 * Stateful fuzzing of version moves: three nodes with skewed clocks, one store
 * with leases, and an oracle. Every input byte pair is one event; store calls
 * and messages arrive in any order, late, or not at all.
 */
#include "move_start.h"
#include "oracle.h"

#include <stdlib.h>
#include <string.h>

enum {
	NODES = 3,
	STATES_MAX = 64, /* moves per run */
	INPUT_MAX = 2048,
	DRAIN_STEP_MS = 500,
	DRAIN_MS = 60000,
	LIST_STEPS = 20,
	/* Two clocks differ by up to MOVE_CLOCK_SKEW_MS. */
	SKEW_MS = MOVE_CLOCK_SKEW_MS / 2,
};

/* One key of the store. */
typedef struct item {
	int64_t revision; /* 0: absent */
	move_record_t *record;
	int64_t until_ms; /* end of its lease; 0: none */
} item_t;

/* The oracle's view of one move. */
typedef struct truth {
	char *id;
	int64_t deadline_ms;
	item_t state;
	bool final;
	move_state_t outcome;
	bool told[NODES]; /* the node knows that it is not to send */
} truth_t;

typedef enum flight_type {
	FLIGHT_READ_DECLARATION,
	FLIGHT_READ_STATE,
	FLIGHT_SWAP_DECLARATION,
	FLIGHT_SWAP_STATE,
	FLIGHT_LEASE,
	FLIGHT_RECORD, /* message */
	FLIGHT_STOP,   /* message */
} flight_type_t;

typedef struct flight {
	flight_type_t type;
	unsigned node;
	unsigned life;
	bool of_start;
	bool abandoned; /* its writer was told that there is no answer */
	char *id;
	move_record_t *record;
	int64_t expected;
	int64_t lease_until_ms; /* SWAP_STATE: 0 detaches */
	int64_t ttl_ms;
} flight_t;

typedef struct node {
	move_t *move;
	move_start_t *start;
	unsigned life;
	int64_t skew_ms;
	int64_t lease_until_ms; /* of the start */
} node_t;

typedef struct world {
	int64_t now_ms;
	bool down;
	node_t nodes[NODES];
	item_t declaration;
	truth_t truths[STATES_MAX];
	unsigned truth_count;
	int64_t revision;
	GArray *flights;
	GHashTable *leases; /* id: end */
	uint64_t random;
} world_t;

static uint64_t
next_random(world_t *world)
{
	world->random = world->random * UINT64_C(6364136223846793005) +
			UINT64_C(1442695040888963407);
	return world->random ^ world->random >> 29;
}

static int64_t
node_ms(const world_t *world, unsigned node)
{
	return world->now_ms + world->nodes[node].skew_ms;
}

static truth_t *
find_truth(world_t *world, const char *id)
{
	for (unsigned i = 0; i < world->truth_count; i++)
		if (strcmp(world->truths[i].id, id) == 0)
			return &world->truths[i];
	return NULL;
}

static void
expire(world_t *world, item_t *item)
{
	if (item->until_ms == 0 || world->now_ms < item->until_ms)
		return;
	item->revision = 0;
	item->until_ms = 0;
	g_clear_pointer(&item->record, move_record_free);
}

static bool
store_write(world_t *world, item_t *item, const flight_t *flight)
{
	if (item->revision != flight->expected)
		return false;
	move_record_free(item->record);
	item->record = move_record_copy(flight->record);
	item->revision = ++world->revision;
	item->until_ms = flight->lease_until_ms;
	return true;
}

/* What must hold for every state that the store takes. */
static void
check_write(world_t *world, truth_t *truth)
{
	const move_record_t *record = truth->state.record;

	if (record->state == MOVE_RUNNING) {
		CHECK(!truth->final);
		for (unsigned i = 0; i < world->truth_count; i++)
			CHECK(&world->truths[i] >= truth ||
			      world->truths[i].final);
		return;
	}
	CHECK(!truth->final || truth->outcome == record->state);
	if (!truth->final && record->state == MOVE_FINISHED)
		CHECK(world->now_ms <= truth->deadline_ms);
	truth->final = true;
	truth->outcome = record->state;
}

static void
forget_flight(world_t *world, guint index)
{
	flight_t *flight = &g_array_index(world->flights, flight_t, index);

	g_free(flight->id);
	move_record_free(flight->record);
	g_array_remove_index_fast(world->flights, index);
}

static void
send_message(world_t *world, unsigned from, flight_type_t type,
    const move_record_t *record)
{
	for (unsigned node = 0; node < NODES; node++) {
		flight_t flight = {
		    .type = type,
		    .node = node,
		    .life = world->nodes[node].life,
		    .id = g_strdup(record->id),
		    .record = move_record_copy(record),
		};

		if (node == from)
			g_free(flight.id), move_record_free(flight.record);
		else
			g_array_append_val(world->flights, flight);
	}
}

/* As the daemon: the newest move of the service is kept. */
static void
node_take(world_t *world, unsigned index, const move_record_t *record,
    int64_t revision)
{
	node_t *node = &world->nodes[index];
	truth_t *truth = find_truth(world, record->id);
	bool same = node->move != NULL &&
		    strcmp(move_record(node->move)->id, record->id) == 0;

	if (record->state == MOVE_ROLLED_BACK && truth != NULL)
		truth->told[index] = true;
	if (same) {
		if (move_merge_record(node->move, record, revision))
			send_message(world, index, FLIGHT_RECORD, record);
		return;
	}
	if (node->move != NULL &&
	    move_record_compare(record, move_record(node->move)) < 0)
		return;
	move_free(node->move);
	node->move = move_new(record);
	move_merge_record(node->move, record, revision);
}

/* Reads every key, as a daemon does at its start and now and then. */
static void
node_list(world_t *world, unsigned index)
{
	if (world->down)
		return;
	if (world->declaration.record != NULL)
		node_take(world, index, world->declaration.record, 0);
	for (unsigned i = 0; i < world->truth_count; i++) {
		item_t *item = &world->truths[i].state;

		expire(world, item);
		if (item->record != NULL)
			node_take(world, index, item->record, item->revision);
	}
}

static void
node_boot(world_t *world, unsigned index)
{
	node_t *node = &world->nodes[index];

	move_free(node->move);
	move_start_free(node->start);
	node->move = NULL;
	node->start = NULL;
	node->life++;
	for (unsigned i = 0; i < world->truth_count; i++)
		world->truths[i].told[index] = false;
	node_list(world, index);
}

static void
add_truth(world_t *world, const move_record_t *record)
{
	truth_t *truth;

	if (find_truth(world, record->id) != NULL)
		return;
	truth = &world->truths[world->truth_count++];
	truth->id = g_strdup(record->id);
	truth->deadline_ms = record->deadline_ms + SKEW_MS;
}

static void
add_flight(world_t *world, unsigned node, flight_t flight)
{
	flight.node = node;
	flight.life = world->nodes[node].life;
	g_array_append_val(world->flights, flight);
}

/* Sends what the node's move wants; calls leave at its time. */
static void
step_move(world_t *world, unsigned index)
{
	node_t *node = &world->nodes[index];
	int64_t now_ms = node_ms(world, index);

	while (node->move != NULL) {
		move_action_t action = move_step(
		    node->move, index != 2, now_ms, next_random(world));
		const move_record_t *record = move_record(node->move);
		gpointer until =
		    g_hash_table_lookup(world->leases, record->lease);

		if (action.type == MOVE_ACTION_NONE)
			return;
		if (action.type == MOVE_ACTION_BROADCAST_STOP) {
			find_truth(world, record->id)->told[index] = true;
			send_message(world, index, FLIGHT_STOP, record);
		} else if (action.type == MOVE_ACTION_READ) {
			add_flight(world, index,
			    (flight_t){.type = FLIGHT_READ_STATE,
				.id = g_strdup(record->id)});
		} else {
			add_flight(world, index,
			    (flight_t){.type = FLIGHT_SWAP_STATE,
				.id = g_strdup(record->id),
				.record = move_record_copy(action.record),
				.expected = action.expected_revision,
				.lease_until_ms =
				    action.lease == NULL ? 0 : (int64_t)until});
		}
	}
}

static void
end_start(world_t *world, unsigned index, const move_record_t *record)
{
	node_t *node = &world->nodes[index];

	if (record != NULL)
		node_take(world, index, record,
		    move_start_state_revision(node->start));
	if (record != NULL)
		send_message(world, index, FLIGHT_RECORD, record);
	g_clear_pointer(&node->start, move_start_free);
}

static void
step_start(world_t *world, unsigned index)
{
	node_t *node = &world->nodes[index];
	move_start_action_t action =
	    move_start_step(node->start, node_ms(world, index));
	flight_t flight = {.of_start = true};

	switch (action.type) {
	case MOVE_START_READ_DECLARATION:
		flight.type = FLIGHT_READ_DECLARATION;
		break;
	case MOVE_START_READ_STATE:
		flight.type = FLIGHT_READ_STATE;
		flight.id = g_strdup(action.move_id);
		break;
	case MOVE_START_SWAP_DECLARATION:
		flight.type = FLIGHT_SWAP_DECLARATION;
		flight.record = move_record_copy(action.record);
		flight.expected = action.expected_revision;
		break;
	case MOVE_START_GRANT_LEASE:
		flight.type = FLIGHT_LEASE;
		flight.ttl_ms = action.ttl_ms;
		break;
	case MOVE_START_SWAP_STATE:
		flight.type = FLIGHT_SWAP_STATE;
		flight.id = g_strdup(action.record->id);
		flight.record = move_record_copy(action.record);
		flight.lease_until_ms = (int64_t)g_hash_table_lookup(
		    world->leases, action.record->lease);
		break;
	case MOVE_START_DONE:
		end_start(world, index, action.record);
		return;
	case MOVE_START_FAILED:
		end_start(world, index, NULL);
		return;
	}
	add_flight(world, index, flight);
}

/* The store's side of a call; true where a swap took effect. */
static bool
store_swap(world_t *world, const flight_t *flight)
{
	truth_t *truth;

	if (flight->type == FLIGHT_SWAP_DECLARATION) {
		if (!store_write(world, &world->declaration, flight))
			return false;
		add_truth(world, flight->record);
		return true;
	}
	truth = find_truth(world, flight->id);
	expire(world, &truth->state);
	/* An ended lease takes no key. */
	if (flight->lease_until_ms != 0 &&
	    world->now_ms >= flight->lease_until_ms)
		return false;
	if (!store_write(world, &truth->state, flight))
		return false;
	check_write(world, truth);
	return true;
}

static void
answer_swap(world_t *world, const flight_t *flight, move_write_result_t result)
{
	node_t *node = &world->nodes[flight->node];
	int64_t now_ms = node_ms(world, flight->node);

	if (flight->of_start) {
		move_start_swap_done(
		    node->start, result, world->revision, now_ms);
		step_start(world, flight->node);
	} else if (node->move != NULL &&
		   strcmp(move_record(node->move)->id, flight->id) == 0) {
		move_swap_done(node->move, result, world->revision, now_ms,
		    next_random(world));
		if (result == MOVE_WRITE_DONE)
			node_take(world, flight->node, flight->record,
			    world->revision);
	}
}

static void
answer_read(world_t *world, const flight_t *flight, bool failed)
{
	node_t *node = &world->nodes[flight->node];
	int64_t now_ms = node_ms(world, flight->node);
	item_t *item = &world->declaration;
	move_record_t *record;
	int64_t revision;

	if (flight->type == FLIGHT_READ_STATE)
		item = &find_truth(world, flight->id)->state;
	expire(world, item);
	revision = item->revision;
	record = item->record == NULL ? NULL : move_record_copy(item->record);
	if (flight->of_start) {
		move_start_read_done(node->start, failed ? NULL : record,
		    revision, failed, now_ms);
		step_start(world, flight->node);
	} else if (node->move != NULL &&
		   strcmp(move_record(node->move)->id, flight->id) == 0) {
		if (!failed && record != NULL)
			node_take(world, flight->node, record, revision);
		move_read_done(node->move, failed ? NULL : record, revision,
		    failed, now_ms, next_random(world));
	}
	move_record_free(record);
}

static void
answer_lease(world_t *world, const flight_t *flight, bool failed)
{
	node_t *node = &world->nodes[flight->node];
	char *id = g_strdup_printf("%d", g_hash_table_size(world->leases) + 1);

	g_hash_table_insert(world->leases, g_strdup(id),
	    (gpointer)(world->now_ms + flight->ttl_ms));
	move_start_lease_done(
	    node->start, failed ? NULL : id, node_ms(world, flight->node));
	g_free(id);
	step_start(world, flight->node);
}

static void
arrive_message(world_t *world, const flight_t *flight)
{
	node_t *node = &world->nodes[flight->node];

	if (flight->type == FLIGHT_RECORD) {
		node_take(world, flight->node, flight->record, 0);
		return;
	}
	if (node->move == NULL ||
	    strcmp(move_record(node->move)->id, flight->id) != 0)
		return;
	move_stop(node->move, "a peer stopped");
	if (move_outcome(node->move, 0) == MOVE_RUNNING)
		find_truth(world, flight->id)->told[flight->node] = true;
}

typedef enum fate {
	FATE_ANSWERED,
	FATE_ANSWER_LOST, /* carried out */
	FATE_NOT_SENT,
	FATE_LATE, /* no answer now; carried out later */
} fate_t;

static void
arrive_swap(world_t *world, guint index, flight_t *flight, fate_t fate)
{
	bool written = false, there;

	there = flight->life == world->nodes[flight->node].life &&
		!flight->abandoned;
	if (world->down && fate != FATE_LATE)
		fate = FATE_NOT_SENT;
	if (fate == FATE_LATE && there) {
		g_array_index(world->flights, flight_t, index).abandoned = true;
		answer_swap(world, flight, MOVE_WRITE_UNKNOWN);
		return;
	}
	if (fate != FATE_NOT_SENT)
		written = store_swap(world, flight);
	if (there && fate == FATE_NOT_SENT)
		answer_swap(world, flight, MOVE_WRITE_NOT_WRITTEN);
	else if (there && fate == FATE_ANSWER_LOST)
		answer_swap(world, flight, MOVE_WRITE_UNKNOWN);
	else if (there)
		answer_swap(world, flight,
		    written ? MOVE_WRITE_DONE : MOVE_WRITE_CONFLICT);
	forget_flight(world, index);
}

/* One store call or message arrives, or fails. */
static void
deliver(world_t *world, guint index, fate_t fate)
{
	flight_t flight = g_array_index(world->flights, flight_t, index);
	bool there = flight.life == world->nodes[flight.node].life;
	bool failed = world->down || fate != FATE_ANSWERED;

	/* The array may grow while the node reacts: works on a copy. */
	flight.id = g_strdup(flight.id);
	if (flight.record != NULL)
		flight.record = move_record_copy(flight.record);
	switch (flight.type) {
	case FLIGHT_SWAP_DECLARATION:
	case FLIGHT_SWAP_STATE:
		arrive_swap(world, index, &flight, fate);
		break;
	case FLIGHT_READ_DECLARATION:
	case FLIGHT_READ_STATE:
		forget_flight(world, index);
		if (there)
			answer_read(world, &flight, failed);
		break;
	case FLIGHT_LEASE:
		forget_flight(world, index);
		if (there)
			answer_lease(world, &flight, failed);
		break;
	case FLIGHT_RECORD:
	case FLIGHT_STOP:
		forget_flight(world, index);
		if (there && fate != FATE_NOT_SENT)
			arrive_message(world, &flight);
		break;
	}
	g_free(flight.id);
	move_record_free(flight.record);
}

static void
start_move(world_t *world, unsigned index, unsigned detail)
{
	node_t *node = &world->nodes[index];

	if (node->start != NULL || world->truth_count + NODES >= STATES_MAX)
		return;
	node->start = move_start_new(&(move_request_t){
	    .service = "team/chat",
	    .to = "v2",
	    .current_version = "v1",
	    .policy = detail % 4 == 0 ? MOVE_FIXED_STEPS : MOVE_EVIDENCE,
	    .within_ms = MOVE_DURATION_MIN_MS + detail % 8 * 2000,
	    .random_id = next_random(world),
	});
	step_start(world, index);
}

/* Requests at one node; what it picks must be allowed. */
static void
send_requests(world_t *world, unsigned index, unsigned detail)
{
	move_t *move = world->nodes[index].move;
	int64_t now_ms = node_ms(world, index);

	for (unsigned i = 0; i < 1 + detail / 16 && move != NULL; i++) {
		const move_record_t *record = move_record(move);
		truth_t *truth = find_truth(world, record->id);
		const char *version =
		    move_select_version(move, now_ms, next_random(world));
		bool new = strcmp(version, record->to) == 0;
		bool ok = !new || detail % 4 != 1;

		if (new &&strcmp(record->to, record->from) != 0) {
			bool finished =
			    truth->final && truth->outcome == MOVE_FINISHED;

			CHECK(!truth->told[index] || finished);
			CHECK(finished || !truth->final ||
			      world->now_ms <= truth->deadline_ms);
			CHECK(finished || world->now_ms <= truth->deadline_ms);
		}
		move_observe(move, version, "/", ok, 10, now_ms);
	}
}

static void
event(world_t *world, uint8_t what, uint8_t detail)
{
	static const fate_t fates[] = {FATE_ANSWERED, FATE_ANSWERED,
	    FATE_ANSWERED, FATE_ANSWERED, FATE_ANSWERED, FATE_ANSWER_LOST,
	    FATE_NOT_SENT, FATE_LATE};
	unsigned node = detail % NODES;

	switch (what % 12) {
	case 0:
		start_move(world, node, detail / NODES);
		break;
	case 1:
	case 2:
	case 3:
	case 4:
	case 5:
		if (world->flights->len > 0)
			deliver(world, what / 12 % world->flights->len,
			    fates[detail % G_N_ELEMENTS(fates)]);
		break;
	case 6:
	case 7: /* one node's time: the others are paused */
		world->now_ms += detail * 4;
		step_move(world, node);
		break;
	case 8:
		world->now_ms += detail * 16;
		for (node = 0; node < NODES; node++)
			step_move(world, node);
		break;
	case 9:
		send_requests(world, node, detail / NODES);
		break;
	case 10:
		if (detail % 4 == 0)
			node_boot(world, detail / 4 % NODES);
		else if (detail % 4 == 1)
			world->nodes[node].skew_ms =
			    (int64_t)detail * 2 * SKEW_MS / 255 - SKEW_MS;
		break;
	case 11:
		if (detail % 4 == 3)
			node_list(world, detail / 4 % NODES);
		else if (detail % 4 == 0)
			world->down = !world->down;
		else if (world->nodes[node].move != NULL && detail % 4 == 1)
			move_supersede(world->nodes[node].move);
		break;
	}
}

/* With a healthy store every declared move reaches one recorded outcome. */
static void
drain(world_t *world)
{
	int64_t end_ms = world->now_ms + DRAIN_MS;

	world->down = false;
	for (; world->now_ms < end_ms; world->now_ms += DRAIN_STEP_MS) {
		for (unsigned node = 0; node < NODES; node++) {
			if (world->now_ms / DRAIN_STEP_MS % LIST_STEPS == 0)
				node_list(world, node);
			send_requests(world, node, 16);
			step_move(world, node);
		}
		while (world->flights->len > 0)
			deliver(world, 0, FATE_ANSWERED);
	}
	for (unsigned i = 0; i < world->truth_count; i++)
		CHECK(world->truths[i].final);
	for (unsigned node = 0; node < NODES; node++) {
		const move_t *move = world->nodes[node].move;

		CHECK(move == NULL || move_recorded(move));
		CHECK(move == NULL ||
		      move_record(move)->state ==
			  find_truth(world, move_record(move)->id)->outcome);
	}
}

static void
world_free(world_t *world)
{
	while (world->flights->len > 0)
		forget_flight(world, 0);
	g_array_free(world->flights, TRUE);
	for (unsigned node = 0; node < NODES; node++) {
		move_free(world->nodes[node].move);
		move_start_free(world->nodes[node].start);
	}
	for (unsigned i = 0; i < world->truth_count; i++) {
		g_free(world->truths[i].id);
		move_record_free(world->truths[i].state.record);
	}
	move_record_free(world->declaration.record);
	g_hash_table_destroy(world->leases);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	world_t *world = g_new0(world_t, 1);

	world->now_ms = 1700000000000;
	world->random = 1;
	world->flights = g_array_new(FALSE, FALSE, sizeof(flight_t));
	world->leases =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (size_t i = 0; i + 1 < MIN(length, INPUT_MAX); i += 2)
		event(world, bytes[i], bytes[i + 1]);
	drain(world);
	world_free(world);
	g_free(world);
	return 0;
}
