#include "engine_cache.h"

#include "clock.h"
#include "route.h"

#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

enum {
	DEFAULT_CACHE_PREFIXES = 64,
	EVENTS_MAX = 1024, /* the oldest are dropped above this */
};

typedef struct prefix {
	TAILQ_ENTRY(prefix) entries; /* most recently used first */
	uint64_t hash;
} prefix_t;

typedef struct cache_event {
	TAILQ_ENTRY(cache_event) entries;
	uint64_t seq;
	uint64_t prefix_hash;
	bool stored;
	int64_t created_ms;
} cache_event_t;

struct engine_cache {
	standin_t *standin;
	TAILQ_HEAD(tailq_prefix, prefix) prefixes;
	unsigned prefix_count;
	TAILQ_HEAD(, cache_event) events;
	unsigned event_count;
	uint64_t last_seq;
	GHashTable *imported_tokens; /* prompt hash to number of tokens */
};

engine_cache_t *
engine_cache_new(standin_t *standin)
{
	engine_cache_t *cache = g_new0(engine_cache_t, 1);

	cache->standin = standin;
	TAILQ_INIT(&cache->prefixes);
	TAILQ_INIT(&cache->events);
	cache->imported_tokens =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	return cache;
}

unsigned
engine_count_words(const char *text)
{
	unsigned words = 0;

	for (const char *p = text; *p != '\0'; p++)
		if (*p != ' ' && (p[1] == ' ' || p[1] == '\0'))
			words++;
	return words;
}

static void
add_event(engine_cache_t *cache, uint64_t prefix_hash, bool stored)
{
	cache_event_t *event;

	cache->last_seq++;
	if (standin_fault_occurs(cache->standin, "event_loss"))
		return;
	event = g_new0(cache_event_t, 1);
	event->seq = cache->last_seq;
	event->prefix_hash = prefix_hash;
	event->stored = stored;
	event->created_ms = clock_mono_ms();
	TAILQ_INSERT_TAIL(&cache->events, event, entries);
	if (++cache->event_count <= EVENTS_MAX)
		return;
	event = TAILQ_FIRST(&cache->events);
	TAILQ_REMOVE(&cache->events, event, entries);
	cache->event_count--;
	g_free(event);
}

static unsigned
max_prefixes(const engine_cache_t *cache)
{
	double limit = standin_fault_value(cache->standin, "cache_prefixes");

	return limit > 0 ? (unsigned)limit : DEFAULT_CACHE_PREFIXES;
}

/*
 * Looks up a prefix, adds it if it is absent, and makes it the most recently
 * used. Evicts the least recently used above the capacity.
 */
static bool
use_prefix(engine_cache_t *cache, uint64_t hash)
{
	prefix_t *prefix;
	bool found;

	TAILQ_FOREACH (prefix, &cache->prefixes, entries)
		if (prefix->hash == hash)
			break;
	found = prefix != NULL;
	if (found) {
		TAILQ_REMOVE(&cache->prefixes, prefix, entries);
	} else {
		prefix = g_new0(prefix_t, 1);
		prefix->hash = hash;
		cache->prefix_count++;
		add_event(cache, hash, true);
	}
	TAILQ_INSERT_HEAD(&cache->prefixes, prefix, entries);
	while (cache->prefix_count > max_prefixes(cache)) {
		prefix = TAILQ_LAST(&cache->prefixes, tailq_prefix);
		TAILQ_REMOVE(&cache->prefixes, prefix, entries);
		cache->prefix_count--;
		add_event(cache, prefix->hash, false);
		g_free(prefix);
	}
	return found;
}

static uint64_t
hash_prompt(const char *prompt)
{
	return XXH3_64bits(prompt, strlen(prompt));
}

unsigned
engine_cache_prefill(
    engine_cache_t *cache, const char *prompt, unsigned resumed_tokens)
{
	size_t prefix_bytes = MIN(strlen(prompt), ROUTE_PREFIX_BYTES);
	unsigned uncached_tokens = engine_count_words(prompt) + resumed_tokens;
	uint64_t hash = hash_prompt(prompt);
	gpointer imported_tokens =
	    g_hash_table_lookup(cache->imported_tokens, &hash);

	if (use_prefix(cache, route_prefix_hash(prompt)))
		uncached_tokens -= MIN(uncached_tokens,
		    engine_count_words(prompt) -
			engine_count_words(prompt + prefix_bytes));
	if (imported_tokens != NULL) {
		uncached_tokens -=
		    MIN(uncached_tokens, GPOINTER_TO_UINT(imported_tokens));
		g_hash_table_remove(cache->imported_tokens, &hash);
	}
	return uncached_tokens;
}

double
engine_cache_free_fraction(const engine_cache_t *cache)
{
	return 1 - (double)cache->prefix_count / max_prefixes(cache);
}

json_t *
engine_cache_events(engine_cache_t *cache, uint64_t after_seq)
{
	double lag_ms = standin_fault_value(cache->standin, "event_lag_ms");
	int64_t max_created_ms = clock_mono_ms() - (int64_t)lag_ms;
	json_t *events = json_array();
	cache_event_t *event;
	char hex[20];

	TAILQ_FOREACH (event, &cache->events, entries) {
		if (event->seq <= after_seq ||
		    event->created_ms > max_created_ms)
			continue;
		g_snprintf(hex, sizeof(hex), "%016" G_GINT64_MODIFIER "x",
		    event->prefix_hash);
		json_array_append_new(events,
		    json_pack("{s:I,s:s,s:s}", "seq", (json_int_t)event->seq,
			"type", event->stored ? "stored" : "evicted", "prefix",
			hex));
		after_seq = event->seq;
	}
	return json_pack(
	    "{s:o,s:I}", "events", events, "next", (json_int_t)after_seq);
}

/* The format of a handle is PROMPT-HASH/TOKENS. */
char *
engine_cache_export(const char *prompt, unsigned tokens)
{
	return g_strdup_printf(
	    "%016" G_GINT64_MODIFIER "x/%u", hash_prompt(prompt), tokens);
}

bool
engine_cache_import(engine_cache_t *cache, const char *handle, unsigned *tokens)
{
	uint64_t hash;
	char *end;

	hash = g_ascii_strtoull(handle, &end, 16);
	if (*end != '/')
		return false;
	*tokens = (unsigned)g_ascii_strtoull(end + 1, NULL, 10);
	g_hash_table_replace(cache->imported_tokens,
	    g_memdup2(&hash, sizeof(hash)), GUINT_TO_POINTER(*tokens));
	return true;
}
