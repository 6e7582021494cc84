#include "active_set.h"

#include <string.h>
#include <xxhash.h>

enum {
	DIGEST_INTERVAL_MIN_MS = 200,
	/* For each node: keeps the datagrams that a node receives bounded. */
	DIGEST_INTERVAL_PER_NODE_MS = 15,
};

static int
compare_candidates(const void *left, const void *right)
{
	const active_candidate_t *a = left, *b = right;
	uint64_t a_hash, b_hash;

	if (a->processors != b->processors)
		return a->processors > b->processors ? -1 : 1;
	/* Names of one zone differ in few letters; so must not their hashes. */
	a_hash = XXH3_64bits(a->name, strlen(a->name));
	b_hash = XXH3_64bits(b->name, strlen(b->name));
	if (a_hash != b_hash)
		return a_hash < b_hash ? -1 : 1;
	return strcmp(a->name, b->name);
}

void
active_set_sort(GArray *candidates)
{
	g_array_sort(candidates, compare_candidates);
}

int64_t
active_set_digest_interval_ms(unsigned active_nodes)
{
	return MAX(DIGEST_INTERVAL_MIN_MS,
	    DIGEST_INTERVAL_PER_NODE_MS * (int64_t)active_nodes);
}
