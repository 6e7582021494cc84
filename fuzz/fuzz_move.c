/* mutants of src/move.c: MOVE_MUTANT=1 MOVE_MUTANT=2 MOVE_MUTANT=3
 * MOVE_MUTANT=4 MOVE_MUTANT=5 */
/*
 * Stateful fuzzing of version moves: three nodes with skewed clocks, one
 * simulated store with leases, and an oracle. Each pair of input bytes is one
 * event. Store calls and messages are delivered in any order, with a delay, or
 * not at all.
 */
#include "move_start.h"
#include "oracle.h"

#include <stdlib.h>
#include <string.h>

enum {
	NODES = 3,
	MOVES_MAX = 64, /* per run */
	INPUT_MAX = 2048,
	DRAIN_STEP_MS = 500,
	DRAIN_MS = 60000,
	LIST_INTERVAL_STEPS = 20,
	/* So two clocks differ by at most MOVE_CLOCK_SKEW_MS. */
	NODE_SKEW_MAX_MS = MOVE_CLOCK_SKEW_MS / 2,
};

/* One key of the store. */
typedef struct store_entry {
	int64_t revision; /* 0: absent */
	move_record_t *record;
	int64_t lease_end_ms; /* 0: no lease */
} store_entry_t;

/* The oracle's view of one move (ground truth). */
typedef struct truth {
	char *id;
	int64_t deadline_ms;
	store_entry_t state;
	bool final; /* the store has held a final state */
	move_state_t outcome;
	/* Nodes that have learned of a stop or a rollback. */
	bool told[NODES];
} truth_t;

typedef enum delivery_type {
	DELIVERY_READ_DECLARATION,
	DELIVERY_READ_STATE,
	DELIVERY_SWAP_DECLARATION,
	DELIVERY_SWAP_STATE,
	DELIVERY_GRANT_LEASE,
	DELIVERY_RECORD_MESSAGE,
	DELIVERY_STOP_MESSAGE,
} delivery_type_t;

typedef struct delivery {
	delivery_type_t type;
	unsigned node;
	unsigned incarnation;
	bool for_start;	       /* call of the start, not of the move */
	bool reported_unknown; /* the writer got MOVE_WRITE_UNKNOWN */
	char *id;
	move_record_t *record;
	int64_t expected_revision;
	int64_t lease_end_ms; /* SWAP_STATE; 0: no lease */
	int64_t ttl_ms;
} delivery_t;

typedef struct node {
	move_t *move;
	move_start_t *start;
	unsigned incarnation;
	int64_t skew_ms;
	int64_t lease_end_ms; /* of the start's lease */
} node_t;

typedef struct world {
	int64_t now_ms;
	bool store_down;
	node_t nodes[NODES];
	store_entry_t declaration;
	truth_t truths[MOVES_MAX];
	unsigned truth_count;
	int64_t revision;
	GArray *deliveries;
	GHashTable *leases; /* id: end in ms */
	uint64_t random_state;
} world_t;

static uint64_t
next_random(world_t *world)
{
	world->random_state =
	    world->random_state * UINT64_C(6364136223846793005) +
	    UINT64_C(1442695040888963407);
	return world->random_state ^ world->random_state >> 29;
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
expire_lease(world_t *world, store_entry_t *store_entry)
{
	if (store_entry->lease_end_ms == 0 ||
	    world->now_ms < store_entry->lease_end_ms)
		return;
	store_entry->revision = 0;
	store_entry->lease_end_ms = 0;
	g_clear_pointer(&store_entry->record, move_record_free);
}

static bool
store_write(
    world_t *world, store_entry_t *store_entry, const delivery_t *delivery)
{
	if (store_entry->revision != delivery->expected_revision)
		return false;
	move_record_free(store_entry->record);
	store_entry->record = move_record_copy(delivery->record);
	store_entry->revision = ++world->revision;
	store_entry->lease_end_ms = delivery->lease_end_ms;
	return true;
}

/* Checks the invariants of every state that is written to the store. */
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
remove_delivery(world_t *world, guint index)
{
	delivery_t *delivery =
	    &g_array_index(world->deliveries, delivery_t, index);

	g_free(delivery->id);
	move_record_free(delivery->record);
	g_array_remove_index_fast(world->deliveries, index);
}

static void
send_message(world_t *world, unsigned from, delivery_type_t type,
    const move_record_t *record)
{
	for (unsigned node = 0; node < NODES; node++) {
		delivery_t delivery = {
		    .type = type,
		    .node = node,
		    .incarnation = world->nodes[node].incarnation,
		    .id = g_strdup(record->id),
		    .record = move_record_copy(record),
		};

		if (node == from)
			g_free(delivery.id), move_record_free(delivery.record);
		else
			g_array_append_val(world->deliveries, delivery);
	}
}

/* Keeps the newest move of the service, as the daemon does. */
static void
node_apply_record(world_t *world, unsigned index, const move_record_t *record,
    int64_t revision)
{
	node_t *node = &world->nodes[index];
	truth_t *truth = find_truth(world, record->id);
	bool same_move = node->move != NULL &&
			 strcmp(move_record(node->move)->id, record->id) == 0;

	if (record->state == MOVE_ROLLED_BACK && truth != NULL)
		truth->told[index] = true;
	if (same_move) {
		if (move_merge_record(node->move, record, revision))
			send_message(
			    world, index, DELIVERY_RECORD_MESSAGE, record);
		return;
	}
	if (node->move != NULL &&
	    move_record_compare(record, move_record(node->move)) < 0)
		return;
	move_free(node->move);
	node->move = move_new(record);
	move_merge_record(node->move, record, revision);
}

/* Reads every key, as the daemon does at its start and at intervals. */
static void
node_list_store(world_t *world, unsigned index)
{
	if (world->store_down)
		return;
	if (world->declaration.record != NULL)
		node_apply_record(world, index, world->declaration.record, 0);
	for (unsigned i = 0; i < world->truth_count; i++) {
		store_entry_t *store_entry = &world->truths[i].state;

		expire_lease(world, store_entry);
		if (store_entry->record != NULL)
			node_apply_record(world, index, store_entry->record,
			    store_entry->revision);
	}
}

static void
node_restart(world_t *world, unsigned index)
{
	node_t *node = &world->nodes[index];

	move_free(node->move);
	move_start_free(node->start);
	node->move = NULL;
	node->start = NULL;
	node->incarnation++;
	for (unsigned i = 0; i < world->truth_count; i++)
		world->truths[i].told[index] = false;
	node_list_store(world, index);
}

static void
add_truth(world_t *world, const move_record_t *record)
{
	truth_t *truth;

	if (find_truth(world, record->id) != NULL)
		return;
	truth = &world->truths[world->truth_count++];
	truth->id = g_strdup(record->id);
	truth->deadline_ms = record->deadline_ms + NODE_SKEW_MAX_MS;
}

static void
add_delivery(world_t *world, unsigned node, delivery_t delivery)
{
	delivery.node = node;
	delivery.incarnation = world->nodes[node].incarnation;
	g_array_append_val(world->deliveries, delivery);
}

/* Executes the actions of the node's move; its calls become deliveries. */
static void
step_move(world_t *world, unsigned index)
{
	node_t *node = &world->nodes[index];
	int64_t now_ms = node_ms(world, index);

	while (node->move != NULL) {
		move_action_t action = move_step(
		    node->move, index != 2, now_ms, next_random(world));
		const move_record_t *record = move_record(node->move);
		gpointer lease_end =
		    g_hash_table_lookup(world->leases, record->lease);

		if (action.type == MOVE_ACTION_NONE)
			return;
		if (action.type == MOVE_ACTION_BROADCAST_STOP) {
			find_truth(world, record->id)->told[index] = true;
			send_message(
			    world, index, DELIVERY_STOP_MESSAGE, record);
		} else if (action.type == MOVE_ACTION_READ) {
			add_delivery(world, index,
			    (delivery_t){.type = DELIVERY_READ_STATE,
				.id = g_strdup(record->id)});
		} else {
			add_delivery(world, index,
			    (delivery_t){.type = DELIVERY_SWAP_STATE,
				.id = g_strdup(record->id),
				.record = move_record_copy(action.record),
				.expected_revision = action.expected_revision,
				.lease_end_ms = action.lease == NULL
						    ? 0
						    : (int64_t)lease_end});
		}
	}
}

static void
finish_start(world_t *world, unsigned index, const move_record_t *record)
{
	node_t *node = &world->nodes[index];

	if (record != NULL)
		node_apply_record(world, index, record,
		    move_start_state_revision(node->start));
	if (record != NULL)
		send_message(world, index, DELIVERY_RECORD_MESSAGE, record);
	g_clear_pointer(&node->start, move_start_free);
}

static void
step_start(world_t *world, unsigned index)
{
	node_t *node = &world->nodes[index];
	move_start_action_t action =
	    move_start_step(node->start, node_ms(world, index));
	delivery_t delivery = {.for_start = true};

	switch (action.type) {
	case MOVE_START_READ_DECLARATION:
		delivery.type = DELIVERY_READ_DECLARATION;
		break;
	case MOVE_START_READ_STATE:
		delivery.type = DELIVERY_READ_STATE;
		delivery.id = g_strdup(action.move_id);
		break;
	case MOVE_START_SWAP_DECLARATION:
		delivery.type = DELIVERY_SWAP_DECLARATION;
		delivery.record = move_record_copy(action.record);
		delivery.expected_revision = action.expected_revision;
		break;
	case MOVE_START_GRANT_LEASE:
		delivery.type = DELIVERY_GRANT_LEASE;
		delivery.ttl_ms = action.ttl_ms;
		break;
	case MOVE_START_SWAP_STATE:
		delivery.type = DELIVERY_SWAP_STATE;
		delivery.id = g_strdup(action.record->id);
		delivery.record = move_record_copy(action.record);
		delivery.lease_end_ms = (int64_t)g_hash_table_lookup(
		    world->leases, action.record->lease);
		break;
	case MOVE_START_DONE:
		finish_start(world, index, action.record);
		return;
	case MOVE_START_FAILED:
		finish_start(world, index, NULL);
		return;
	}
	add_delivery(world, index, delivery);
}

/* Applies a swap to the store; true if it took effect. */
static bool
store_swap(world_t *world, const delivery_t *delivery)
{
	truth_t *truth;

	if (delivery->type == DELIVERY_SWAP_DECLARATION) {
		if (!store_write(world, &world->declaration, delivery))
			return false;
		add_truth(world, delivery->record);
		return true;
	}
	truth = find_truth(world, delivery->id);
	expire_lease(world, &truth->state);
	/* No key can be attached to an expired lease. */
	if (delivery->lease_end_ms != 0 &&
	    world->now_ms >= delivery->lease_end_ms)
		return false;
	if (!store_write(world, &truth->state, delivery))
		return false;
	check_write(world, truth);
	return true;
}

static void
complete_swap(
    world_t *world, const delivery_t *delivery, move_write_result_t result)
{
	node_t *node = &world->nodes[delivery->node];
	int64_t now_ms = node_ms(world, delivery->node);

	if (delivery->for_start) {
		move_start_swap_done(
		    node->start, result, world->revision, now_ms);
		step_start(world, delivery->node);
	} else if (node->move != NULL &&
		   strcmp(move_record(node->move)->id, delivery->id) == 0) {
		move_swap_done(node->move, result, world->revision, now_ms,
		    next_random(world));
		if (result == MOVE_WRITE_DONE)
			node_apply_record(world, delivery->node,
			    delivery->record, world->revision);
	}
}

static void
complete_read(world_t *world, const delivery_t *delivery, bool failed)
{
	node_t *node = &world->nodes[delivery->node];
	int64_t now_ms = node_ms(world, delivery->node);
	store_entry_t *store_entry = &world->declaration;
	move_record_t *record;
	int64_t revision;

	if (delivery->type == DELIVERY_READ_STATE)
		store_entry = &find_truth(world, delivery->id)->state;
	expire_lease(world, store_entry);
	revision = store_entry->revision;
	record = store_entry->record == NULL
		     ? NULL
		     : move_record_copy(store_entry->record);
	if (delivery->for_start) {
		move_start_read_done(node->start, failed ? NULL : record,
		    revision, failed, now_ms);
		step_start(world, delivery->node);
	} else if (node->move != NULL &&
		   strcmp(move_record(node->move)->id, delivery->id) == 0) {
		if (!failed && record != NULL)
			node_apply_record(
			    world, delivery->node, record, revision);
		move_read_done(node->move, failed ? NULL : record, revision,
		    failed, now_ms, next_random(world));
	}
	move_record_free(record);
}

static void
complete_lease(world_t *world, const delivery_t *delivery, bool failed)
{
	node_t *node = &world->nodes[delivery->node];
	char *id = g_strdup_printf("%d", g_hash_table_size(world->leases) + 1);

	g_hash_table_insert(world->leases, g_strdup(id),
	    (gpointer)(world->now_ms + delivery->ttl_ms));
	move_start_lease_done(
	    node->start, failed ? NULL : id, node_ms(world, delivery->node));
	g_free(id);
	step_start(world, delivery->node);
}

static void
deliver_message(world_t *world, const delivery_t *delivery)
{
	node_t *node = &world->nodes[delivery->node];

	if (delivery->type == DELIVERY_RECORD_MESSAGE) {
		node_apply_record(world, delivery->node, delivery->record, 0);
		return;
	}
	if (node->move == NULL ||
	    strcmp(move_record(node->move)->id, delivery->id) != 0)
		return;
	move_stop(node->move, "a peer stopped");
	if (move_outcome(node->move, 0) == MOVE_RUNNING)
		find_truth(world, delivery->id)->told[delivery->node] = true;
}

typedef enum fault {
	FAULT_NONE,
	FAULT_RESPONSE_LOST, /* executed, without a response */
	FAULT_NOT_SENT,
	FAULT_DELAYED, /* no response; executed later */
} fault_t;

static void
deliver_swap(world_t *world, guint index, delivery_t *delivery, fault_t fault)
{
	bool succeeded = false, waiting;

	waiting =
	    delivery->incarnation == world->nodes[delivery->node].incarnation &&
	    !delivery->reported_unknown;
	if (world->store_down && fault != FAULT_DELAYED)
		fault = FAULT_NOT_SENT;
	if (fault == FAULT_DELAYED && waiting) {
		g_array_index(world->deliveries, delivery_t, index)
		    .reported_unknown = true;
		complete_swap(world, delivery, MOVE_WRITE_UNKNOWN);
		return;
	}
	if (fault != FAULT_NOT_SENT)
		succeeded = store_swap(world, delivery);
	if (waiting && fault == FAULT_NOT_SENT)
		complete_swap(world, delivery, MOVE_WRITE_NOT_WRITTEN);
	else if (waiting && fault == FAULT_RESPONSE_LOST)
		complete_swap(world, delivery, MOVE_WRITE_UNKNOWN);
	else if (waiting)
		complete_swap(world, delivery,
		    succeeded ? MOVE_WRITE_DONE : MOVE_WRITE_CONFLICT);
	remove_delivery(world, index);
}

/* Delivers one store call or message, or lets it fail. */
static void
deliver(world_t *world, guint index, fault_t fault)
{
	delivery_t delivery =
	    g_array_index(world->deliveries, delivery_t, index);
	bool waiting =
	    delivery.incarnation == world->nodes[delivery.node].incarnation;
	bool failed = world->store_down || fault != FAULT_NONE;

	/* A copy, as the array may grow while the node handles it. */
	delivery.id = g_strdup(delivery.id);
	if (delivery.record != NULL)
		delivery.record = move_record_copy(delivery.record);
	switch (delivery.type) {
	case DELIVERY_SWAP_DECLARATION:
	case DELIVERY_SWAP_STATE:
		deliver_swap(world, index, &delivery, fault);
		break;
	case DELIVERY_READ_DECLARATION:
	case DELIVERY_READ_STATE:
		remove_delivery(world, index);
		if (waiting)
			complete_read(world, &delivery, failed);
		break;
	case DELIVERY_GRANT_LEASE:
		remove_delivery(world, index);
		if (waiting)
			complete_lease(world, &delivery, failed);
		break;
	case DELIVERY_RECORD_MESSAGE:
	case DELIVERY_STOP_MESSAGE:
		remove_delivery(world, index);
		if (waiting && fault != FAULT_NOT_SENT)
			deliver_message(world, &delivery);
		break;
	}
	g_free(delivery.id);
	move_record_free(delivery.record);
}

static void
start_move(world_t *world, unsigned index, unsigned detail)
{
	node_t *node = &world->nodes[index];

	if (node->start != NULL || world->truth_count + NODES >= MOVES_MAX)
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

/* Sends requests through one node and checks the versions it selects. */
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
		bool is_new = strcmp(version, record->to) == 0;
		bool ok = !is_new || detail % 4 != 1;

		if (is_new && strcmp(record->to, record->from) != 0) {
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
apply_event(world_t *world, uint8_t kind, uint8_t detail)
{
	static const fault_t faults[] = {FAULT_NONE, FAULT_NONE, FAULT_NONE,
	    FAULT_NONE, FAULT_NONE, FAULT_RESPONSE_LOST, FAULT_NOT_SENT,
	    FAULT_DELAYED};
	unsigned node = detail % NODES;

	switch (kind % 12) {
	case 0:
		start_move(world, node, detail / NODES);
		break;
	case 1:
	case 2:
	case 3:
	case 4:
	case 5:
		if (world->deliveries->len > 0)
			deliver(world, kind / 12 % world->deliveries->len,
			    faults[detail % G_N_ELEMENTS(faults)]);
		break;
	case 6:
	case 7: /* only one node runs; the others are paused */
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
			node_restart(world, detail / 4 % NODES);
		else if (detail % 4 == 1)
			world->nodes[node].skew_ms =
			    (int64_t)detail * 2 * NODE_SKEW_MAX_MS / 255 -
			    NODE_SKEW_MAX_MS;
		break;
	case 11:
		if (detail % 4 == 3)
			node_list_store(world, detail / 4 % NODES);
		else if (detail % 4 == 0)
			world->store_down = !world->store_down;
		else if (world->nodes[node].move != NULL && detail % 4 == 1)
			move_supersede(world->nodes[node].move);
		break;
	}
}

/* Checks that with a healthy store every move reaches a recorded outcome. */
static void
drain(world_t *world)
{
	int64_t end_ms = world->now_ms + DRAIN_MS;

	world->store_down = false;
	for (; world->now_ms < end_ms; world->now_ms += DRAIN_STEP_MS) {
		for (unsigned node = 0; node < NODES; node++) {
			if (world->now_ms / DRAIN_STEP_MS %
				LIST_INTERVAL_STEPS ==
			    0)
				node_list_store(world, node);
			send_requests(world, node, 16);
			step_move(world, node);
		}
		while (world->deliveries->len > 0)
			deliver(world, 0, FAULT_NONE);
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
	while (world->deliveries->len > 0)
		remove_delivery(world, 0);
	g_array_free(world->deliveries, TRUE);
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
	world->random_state = 1;
	world->deliveries = g_array_new(FALSE, FALSE, sizeof(delivery_t));
	world->leases =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (size_t i = 0; i + 1 < MIN(length, INPUT_MAX); i += 2)
		apply_event(world, bytes[i], bytes[i + 1]);
	drain(world);
	world_free(world);
	g_free(world);
	return 0;
}
