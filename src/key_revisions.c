#include "key_revisions.h"

enum { REVISION_HELD = 0 }; /* the store's revisions are above 0 */

typedef struct known_key {
	int64_t revision;   /* REVISION_HELD: of before a restoration */
	uint64_t last_list; /* number of the last list that it was in */
} known_key_t;

struct key_revisions {
	GHashTable *known; /* key to known_key_t */
	uint64_t list;	   /* number of the last list that began */
};

key_revisions_t *
key_revisions_new(void)
{
	key_revisions_t *keys = g_new0(key_revisions_t, 1);

	keys->known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return keys;
}

void
key_revisions_free(key_revisions_t *keys)
{
	if (keys == NULL)
		return;
	g_hash_table_unref(keys->known);
	g_free(keys);
}

bool
key_revisions_put(key_revisions_t *keys, const char *key, int64_t revision)
{
	known_key_t *known = g_hash_table_lookup(keys->known, key);

	if (known == NULL) {
		known = g_new0(known_key_t, 1);
		g_hash_table_insert(keys->known, g_strdup(key), known);
	}
	known->last_list = keys->list;
	if (known->revision >= revision)
		return false;
	known->revision = revision;
	return true;
}

bool
key_revisions_remove(key_revisions_t *keys, const char *key, int64_t revision)
{
	const known_key_t *known = g_hash_table_lookup(keys->known, key);

	if (known == NULL || known->revision >= revision)
		return false;
	g_hash_table_remove(keys->known, key);
	return true;
}

void
key_revisions_restore(key_revisions_t *keys)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, keys->known);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((known_key_t *)value)->revision = REVISION_HELD;
}

void
key_revisions_begin_list(key_revisions_t *keys)
{
	keys->list++;
}

/* Forgets the held keys, or those of the others that were not in the list. */
static GPtrArray *
take_keys(key_revisions_t *keys, bool held)
{
	GPtrArray *taken = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, keys->known);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const known_key_t *known = value;

		if (held != (known->revision == REVISION_HELD) ||
		    (!held && known->last_list == keys->list))
			continue;
		g_ptr_array_add(taken, g_strdup(key));
		g_hash_table_iter_remove(&iter);
	}
	return taken;
}

GPtrArray *
key_revisions_end_list(key_revisions_t *keys)
{
	return take_keys(keys, false);
}

GPtrArray *
key_revisions_end_hold(key_revisions_t *keys)
{
	return take_keys(keys, true);
}
