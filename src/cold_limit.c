#include "cold_limit.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Largest number of requests that is counted in a slot. */
enum { SLOT_COUNT_MAX = UINT16_MAX };

struct cold_limit {
	uint64_t own_hash;
	GArray *node_hashes; /* of uint64_t: the active nodes */
	bool is_active;	     /* this node is one of them */
	GHashTable *urgent;  /* service (char *) to cold_turns_t *, owns */
};

static int64_t
slot_at(int64_t now_ms)
{
	return now_ms / COLD_SLOT_MS;
}

void
cold_turns_count(cold_turns_t *turns, int64_t now_ms)
{
	int64_t slot = slot_at(now_ms);
	uint16_t *count;

	if (slot - turns->newest_slot >= COLD_SLOTS) {
		memset(turns->counts, 0, sizeof(turns->counts));
		turns->newest_slot = slot;
	}
	while (turns->newest_slot < slot) {
		turns->newest_slot++;
		turns->counts[turns->newest_slot % COLD_SLOTS] = 0;
	}
	count = &turns->counts[turns->newest_slot % COLD_SLOTS];
	if (*count < SLOT_COUNT_MAX)
		++*count;
}

/* Requests that are still counted in the given slot. */
static unsigned
sum_at_slot(const cold_turns_t *turns, int64_t slot)
{
	int64_t oldest = MAX(slot - COLD_SLOTS + 1, 0);
	unsigned sum = 0;

	oldest = MAX(oldest, turns->newest_slot - COLD_SLOTS + 1);
	for (int64_t i = oldest; i <= turns->newest_slot; i++)
		sum += turns->counts[i % COLD_SLOTS];
	return sum;
}

unsigned
cold_turns_sum(const cold_turns_t *turns, int64_t now_ms)
{
	return sum_at_slot(turns, slot_at(now_ms));
}

static uint64_t
hash_node(const char *node)
{
	return XXH3_64bits(node, strlen(node));
}

cold_limit_t *
cold_limit_new(const char *node)
{
	cold_limit_t *limit = g_new0(cold_limit_t, 1);

	limit->own_hash = hash_node(node);
	limit->node_hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	limit->urgent =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return limit;
}

void
cold_limit_free(cold_limit_t *limit)
{
	if (limit == NULL)
		return;
	g_array_unref(limit->node_hashes);
	g_hash_table_unref(limit->urgent);
	g_free(limit);
}

void
cold_limit_set_nodes(cold_limit_t *limit, const GPtrArray *nodes)
{
	g_array_set_size(limit->node_hashes, 0);
	limit->is_active = false;
	for (guint i = 0; i < nodes->len; i++) {
		uint64_t hash = hash_node(nodes->pdata[i]);

		g_array_append_val(limit->node_hashes, hash);
		if (hash == limit->own_hash)
			limit->is_active = true;
	}
}

static uint64_t
owner_weight(uint64_t node_hash, uint32_t server_tag)
{
	return XXH3_64bits_withSeed(&node_hash, sizeof(node_hash), server_tag);
}

/* True where this node is one of so many owners of the server. */
static bool
is_owner(const cold_limit_t *limit, uint32_t server_tag, unsigned owners)
{
	uint64_t own_weight = owner_weight(limit->own_hash, server_tag);
	unsigned rank = 0;

	for (guint i = 0; i < limit->node_hashes->len; i++)
		if (owner_weight(g_array_index(limit->node_hashes, uint64_t, i),
			server_tag) > own_weight)
			rank++;
	return rank < owners;
}

/* Requests that this node may send to the server in any second. */
static unsigned
node_share(const cold_limit_t *limit, uint32_t server_tag, double per_s)
{
	unsigned nodes = limit->node_hashes->len;
	unsigned total = (unsigned)CLAMP(floor(per_s), 1, SLOT_COUNT_MAX);

	if (!limit->is_active)
		return 0;
	if (nodes <= total)
		return total / nodes;
	return is_owner(limit, server_tag, total) ? 1 : 0;
}

unsigned
cold_limit_turns_left(const cold_limit_t *limit, uint32_t server_tag,
    const cold_turns_t *sent, double per_s, int64_t now_ms)
{
	unsigned share = node_share(limit, server_tag, per_s);
	unsigned used = cold_turns_sum(sent, now_ms);

	return share > used ? share - used : 0;
}

int64_t
cold_limit_next_turn_ms(const cold_limit_t *limit, uint32_t server_tag,
    const cold_turns_t *sent, double per_s, int64_t now_ms)
{
	unsigned share = node_share(limit, server_tag, per_s);
	int64_t slot = slot_at(now_ms);

	if (share == 0)
		return INT64_MAX;
	if (sum_at_slot(sent, slot) < share)
		return now_ms;
	while (sum_at_slot(sent, slot) >= share)
		slot++;
	return slot * COLD_SLOT_MS;
}

void
cold_limit_count_urgent(
    cold_limit_t *limit, const char *service, int64_t now_ms)
{
	cold_turns_t *turns = g_hash_table_lookup(limit->urgent, service);

	if (turns == NULL) {
		turns = g_new0(cold_turns_t, 1);
		g_hash_table_insert(limit->urgent, g_strdup(service), turns);
	}
	cold_turns_count(turns, now_ms);
}

bool
cold_limit_yields(const cold_limit_t *limit, const char *service,
    unsigned turns, int64_t now_ms)
{
	const cold_turns_t *urgent =
	    g_hash_table_lookup(limit->urgent, service);

	return urgent != NULL && turns <= cold_turns_sum(urgent, now_ms);
}
