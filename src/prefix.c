#include "prefix.h"

#include <glib.h>

enum {
	HOLDERS_MAX = 6, /* servers recorded for each segment */
	/* Engines evict a segment about this long after its last use. */
	CACHED_MS = 15000,
	SEGMENTS_MAX = 20000,
};

/* A server that has a segment cached. */
typedef struct holder {
	uint32_t server;
	int64_t used_ms;
} holder_t;

typedef struct segment_entry {
	uint64_t id;
	unsigned holder_count;
	holder_t holders[HOLDERS_MAX];
} segment_entry_t;

struct prefix_cache {
	GHashTable *entries; /* &entry->id to segment_entry_t */
};

prefix_cache_t *
prefix_cache_new(void)
{
	prefix_cache_t *cache = g_new0(prefix_cache_t, 1);

	cache->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return cache;
}

void
prefix_cache_free(prefix_cache_t *cache)
{
	if (cache == NULL)
		return;
	g_hash_table_unref(cache->entries);
	g_free(cache);
}

/* The slot of a server: its own, a free one or that of the oldest use. */
static holder_t *
find_or_replace_holder(segment_entry_t *entry, uint32_t server)
{
	holder_t *oldest = &entry->holders[0];

	for (unsigned i = 0; i < entry->holder_count; i++) {
		if (entry->holders[i].server == server)
			return &entry->holders[i];
		if (entry->holders[i].used_ms < oldest->used_ms)
			oldest = &entry->holders[i];
	}
	if (entry->holder_count < HOLDERS_MAX)
		return &entry->holders[entry->holder_count++];
	return oldest;
}

void
prefix_cache_record(prefix_cache_t *cache, uint32_t server,
    const request_facts_t *facts, int64_t now_ms)
{
	for (size_t i = 0; i + 1 < facts->segment_count; i++) {
		uint64_t id = facts->segments[i].id;
		segment_entry_t *entry =
		    g_hash_table_lookup(cache->entries, &id);
		holder_t *holder;

		if (entry == NULL) {
			if (g_hash_table_size(cache->entries) >= SEGMENTS_MAX)
				return;
			entry = g_new0(segment_entry_t, 1);
			entry->id = id;
			g_hash_table_insert(cache->entries, &entry->id, entry);
		}
		holder = find_or_replace_holder(entry, server);
		holder->server = server;
		holder->used_ms = now_ms;
	}
}

static bool
is_cached(const segment_entry_t *entry, uint32_t server, int64_t now_ms)
{
	for (unsigned i = 0; entry != NULL && i < entry->holder_count; i++)
		if (entry->holders[i].server == server)
			return now_ms - entry->holders[i].used_ms < CACHED_MS;
	return false;
}

unsigned
prefix_cache_matched_tokens(const prefix_cache_t *cache, uint32_t server,
    const request_facts_t *facts, int64_t now_ms)
{
	unsigned tokens = 0;

	for (size_t i = 0; i + 1 < facts->segment_count; i++) {
		uint64_t id = facts->segments[i].id;

		if (!is_cached(g_hash_table_lookup(cache->entries, &id), server,
			now_ms))
			break;
		tokens += facts->segments[i].tokens;
	}
	return tokens;
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer now)
{
	const segment_entry_t *entry = value;

	for (unsigned i = 0; i < entry->holder_count; i++)
		if (*(int64_t *)now - entry->holders[i].used_ms < CACHED_MS)
			return FALSE;
	return TRUE;
}

void
prefix_cache_sweep(prefix_cache_t *cache, int64_t now_ms)
{
	g_hash_table_foreach_remove(cache->entries, is_expired, &now_ms);
}

unsigned
prefix_shared_tokens(const request_facts_t *facts)
{
	unsigned tokens = 0;

	for (size_t i = 0; i + 1 < facts->segment_count; i++)
		tokens += facts->segments[i].tokens;
	return tokens;
}
