#include "active_set.h"

#include <stdbool.h>
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

/* Number of regions that the candidates are in. */
static unsigned
count_regions(const GArray *candidates)
{
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned count;

	for (guint i = 0; i < candidates->len; i++) {
		const char *region =
		    g_array_index(candidates, active_candidate_t, i).region;

		if (region != NULL)
			g_hash_table_add(regions, (gpointer)region);
	}
	count = g_hash_table_size(regions);
	g_hash_table_unref(regions);
	return count;
}

/*
 * Marks the first candidates of each region as selected, minimum of each.
 * Returns how many that are; no more than ACTIVE_SET_MAX.
 */
static unsigned
select_minimum(const GArray *candidates, unsigned minimum, bool *selected)
{
	/* Region to the number of its selected candidates. */
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned total = 0;

	for (guint i = 0; i < candidates->len && total < ACTIVE_SET_MAX; i++) {
		const char *region =
		    g_array_index(candidates, active_candidate_t, i).region;
		guint count;

		if (region == NULL)
			continue;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, region));
		if (count >= minimum)
			continue;
		g_hash_table_insert(
		    counts, (gpointer)region, GUINT_TO_POINTER(count + 1));
		selected[i] = true;
		total++;
	}
	g_hash_table_unref(counts);
	return total;
}

/* Removes the candidates that are not selected. */
static void
keep_selected(GArray *candidates, const bool *selected)
{
	guint kept = 0;

	for (guint i = 0; i < candidates->len; i++)
		if (selected[i])
			g_array_index(candidates, active_candidate_t, kept++) =
			    g_array_index(candidates, active_candidate_t, i);
	g_array_set_size(candidates, kept);
}

void
active_set_select(GArray *candidates)
{
	unsigned regions = count_regions(candidates);
	unsigned total = 0;
	bool *selected;

	active_set_sort(candidates);
	if (candidates->len <= ACTIVE_SET_MAX)
		return;
	if (regions <= 1) {
		g_array_set_size(candidates, ACTIVE_SET_MAX);
		return;
	}
	selected = g_new0(bool, candidates->len);
	total = select_minimum(
	    candidates, MAX(ACTIVE_SET_MAX / 2 / regions, 1), selected);
	for (guint i = 0; i < candidates->len && total < ACTIVE_SET_MAX; i++) {
		if (selected[i])
			continue;
		selected[i] = true;
		total++;
	}
	keep_selected(candidates, selected);
	g_free(selected);
}

int64_t
active_set_digest_interval_ms(unsigned active_nodes)
{
	return MAX(DIGEST_INTERVAL_MIN_MS,
	    DIGEST_INTERVAL_PER_NODE_MS * (int64_t)active_nodes);
}
