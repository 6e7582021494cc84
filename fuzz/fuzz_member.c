/* mutants of src/member.c: MEMBER_MUTANT=1 MEMBER_MUTANT=2 MEMBER_MUTANT=3 */
/*
 * Stateful fuzzing of the membership in a full mesh, against a model that keeps
 * the time of each node's last sign of life on a clock that stops while the
 * local node is paused. Each pair of input bytes is one event.
 */
#include "member.h"
#include "oracle.h"

#include <stdlib.h>
#include <string.h>

enum {
	NODES = 8, /* node 0 is the local one */
	ZONES = 3,
	START_MS = 1000000,
	PAUSE_MIN_MS = 2101,
	TICK_MS = 1000,
	EVENTS_MAX = 48,
};

typedef struct expected {
	bool known;
	bool confirmed_alive;
	bool draining;
	int64_t incarnation;
	int64_t sequence;
	int64_t last_alive_awake_ms; /* on the clock of awake_ms */
} expected_t;

typedef struct model {
	members_t *members;
	int64_t now_ms;
	int64_t awake_ms; /* now_ms less the local pauses */
	expected_t nodes[NODES];
} model_t;

static const char *const names[NODES] = {
    "n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7"};
static const char *const zones[ZONES] = {"a", "b", "c"};

static member_info_t
make_info(unsigned node, int64_t incarnation)
{
	return (member_info_t){
	    .node = names[node],
	    .zone = zones[node % ZONES],
	    .http_address = "127.0.0.1:1",
	    .peer_address = "127.0.0.1:2",
	    .incarnation = incarnation,
	};
}

static void
expect_upserted(model_t *model, unsigned node, int64_t incarnation)
{
	expected_t *expected = &model->nodes[node];

	if (node == 0 ||
	    (expected->known && incarnation <= expected->incarnation))
		return;
	*expected = (expected_t){.known = true,
	    .incarnation = incarnation,
	    .last_alive_awake_ms = model->awake_ms};
}

static void
upsert(model_t *model, unsigned node, int64_t incarnation)
{
	member_info_t info = make_info(node, incarnation);

	members_upsert(model->members, &info, model->now_ms);
	expect_upserted(model, node, incarnation);
}

static void
receive_heartbeat(
    model_t *model, unsigned node, int64_t sequence, bool draining)
{
	expected_t *expected = &model->nodes[node];
	message_t message = {
	    .type = MESSAGE_HEARTBEAT,
	    .heartbeat = {.node = (char *)names[node],
		.sequence = sequence,
		.draining = draining},
	};
	bool accepted =
	    members_handle_heartbeat(model->members, &message, model->now_ms);

	CHECK(accepted ==
	      (node != 0 && expected->known && sequence > expected->sequence));
	if (!accepted)
		return;
	expected->confirmed_alive = true;
	expected->draining |= draining;
	expected->sequence = sequence;
	expected->last_alive_awake_ms = model->awake_ms;
}

/* In a full mesh a summary adds a node and is no sign of life. */
static void
receive_summary(
    model_t *model, unsigned sender, unsigned node, int64_t incarnation)
{
	message_member_t listed = {
	    .node = (char *)names[node],
	    .http_address = "127.0.0.1:1",
	    .peer_address = "127.0.0.1:2",
	    .incarnation = incarnation,
	};
	GArray *members = g_array_new(FALSE, FALSE, sizeof(listed));
	message_t message = {
	    .type = MESSAGE_ZONE_SUMMARY,
	    .zone_summary = {.zone = (char *)zones[node % ZONES],
		.members = members},
	};

	g_array_append_val(members, listed);
	members_handle_summary(
	    model->members, names[sender], &message, model->now_ms);
	if (sender == 0 || model->nodes[sender].known)
		expect_upserted(model, node, incarnation);
	g_array_free(members, TRUE);
}

static void
disconnect(model_t *model, unsigned node)
{
	expected_t *expected = &model->nodes[node];

	members_handle_disconnect(model->members, names[node], model->now_ms);
	expected->last_alive_awake_ms = MIN(
	    expected->last_alive_awake_ms, model->awake_ms - MEMBER_SUSPECT_MS);
}

static member_state_t
expected_state(const model_t *model, unsigned node)
{
	const expected_t *expected = &model->nodes[node];
	int64_t silence_ms = model->awake_ms - expected->last_alive_awake_ms;

	if (node == 0)
		return MEMBER_LIVE;
	if (silence_ms >= MEMBER_GONE_MS)
		return MEMBER_GONE;
	if (!expected->confirmed_alive || silence_ms >= MEMBER_SUSPECT_MS)
		return MEMBER_SUSPECT;
	return MEMBER_LIVE;
}

static void
check_states(model_t *model)
{
	for (unsigned node = 0; node < NODES; node++) {
		expected_t *expected = &model->nodes[node];
		const member_t *member =
		    members_find(model->members, names[node]);

		if (node > 0 && expected->known &&
		    model->awake_ms - expected->last_alive_awake_ms >=
			MEMBER_FORGET_MS)
			expected->known = false;
		CHECK((member != NULL) == expected->known);
		if (member == NULL)
			continue;
		CHECK(member->state == expected_state(model, node));
		CHECK(member->draining == expected->draining);
		CHECK(
		    node == 0 || member->incarnation == expected->incarnation);
	}
}

static unsigned
count_bits(unsigned bits)
{
	return (unsigned)__builtin_popcount(bits);
}

static void
check_entry(model_t *model, const char *workspace, bool large)
{
	unsigned wanted =
	    large ? MEMBER_ENTRY_HOSTS_LARGE : MEMBER_ENTRY_HOSTS_SMALL;
	unsigned usable = 0, usable_zones = 0, listed = 0, listed_zones = 0;
	GPtrArray *list = g_ptr_array_new();

	for (unsigned node = 0; node < NODES; node++)
		if (model->nodes[node].known && !model->nodes[node].draining &&
		    expected_state(model, node) == MEMBER_LIVE) {
			usable |= 1u << node;
			usable_zones |= 1u << node % ZONES;
		}
	members_entry_hosts(model->members, workspace, large, list);
	for (guint i = 0; i < list->len; i++) {
		const member_t *member = list->pdata[i];
		unsigned node = (unsigned)(member->node[1] - '0');

		CHECK(!(listed & 1u << node));
		CHECK(!member->draining);
		listed |= 1u << node;
		listed_zones |= 1u << node % ZONES;
	}
	if (usable != 0) {
		CHECK((listed & ~usable) == 0);
		CHECK(count_bits(listed) == MIN(wanted, count_bits(usable)));
		CHECK(count_bits(listed_zones) >=
		      MIN(2, count_bits(usable_zones)));
	}
	g_ptr_array_free(list, TRUE);
}

static void
check(model_t *model)
{
	check_states(model);
	check_entry(model, "workspace", model->now_ms % 2 == 0);
}

static void
advance(model_t *model, int64_t ms)
{
	while (ms > 0) {
		int64_t step_ms = MIN(ms, TICK_MS);

		model->now_ms += step_ms;
		model->awake_ms += step_ms;
		ms -= step_ms;
		members_tick(model->members, model->now_ms, NULL, NULL);
	}
}

static void
step(model_t *model, uint8_t op, uint8_t arg)
{
	unsigned node = arg % NODES;
	int64_t number = arg / NODES;

	switch (op % 8) {
	case 0:
		advance(model, arg * 10);
		break;
	case 1:
		upsert(model, node, 1 + number % 4);
		break;
	case 2:
		receive_heartbeat(model, node,
		    model->nodes[node].sequence + number % 4, arg & 0x80);
		break;
	case 3:
		disconnect(model, node);
		break;
	case 4:
		members_set_draining(model->members, names[node]);
		model->nodes[node].draining |= model->nodes[node].known;
		break;
	case 5:
		/*
		 * A heartbeat that is read after a pause, before the first
		 * tick, counts.
		 */
		model->now_ms += PAUSE_MIN_MS + arg * 1000;
		receive_heartbeat(
		    model, node, model->nodes[node].sequence + 1, false);
		break;
	case 6:
		receive_summary(
		    model, node, (unsigned)number % NODES, 1 + arg % 4);
		break;
	default:
		advance(model, arg == 255 ? MEMBER_FORGET_MS
					  : (int64_t)(arg % 16) * TICK_MS);
		break;
	}
	members_tick(model->members, model->now_ms, NULL, NULL);
	check(model);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	member_info_t self = make_info(0, 1);
	model_t model = {.now_ms = START_MS, .awake_ms = START_MS};

	model.nodes[0] = (expected_t){.known = true, .confirmed_alive = true};
	model.members = members_new(&self, 0, model.now_ms);
	for (size_t at = 0; at + 1 < MIN(size, 2 * EVENTS_MAX); at += 2)
		step(&model, data[at], data[at + 1]);
	members_free(model.members);
	return 0;
}
