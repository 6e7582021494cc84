#ifndef PAPAYA_KEY_REVISIONS_H
#define PAPAYA_KEY_REVISIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The keys of the store that a node knows, each with the revision of its last
 * write. When the store is restored from a copy, all revisions of before count
 * as earlier than each later one. A key that has not been written or listed
 * since then is held: the copy may lack it, and its writer may write it again.
 * No I/O.
 */
typedef struct key_revisions key_revisions_t;

key_revisions_t *key_revisions_new(void);
void key_revisions_free(key_revisions_t *keys);

/* A key was written, or is listed; returns whether it is newer than what is
 * known. */
bool key_revisions_put(
    key_revisions_t *keys, const char *key, int64_t revision);

/*
 * A key was removed. Returns whether it was known, with an earlier revision; it
 * is then forgotten.
 */
bool key_revisions_remove(
    key_revisions_t *keys, const char *key, int64_t revision);

/* The store has been restored from a copy: holds all keys. */
void key_revisions_restore(key_revisions_t *keys);

/* A list of all keys begins; each of them is passed to key_revisions_put(). */
void key_revisions_begin_list(key_revisions_t *keys);

/*
 * The list is complete: forgets the keys that were not in it, except the held
 * ones. Returns them (char *); the caller owns the array and its members.
 */
GPtrArray *key_revisions_end_list(key_revisions_t *keys);

/* Forgets the held keys; returns them like key_revisions_end_list(). */
GPtrArray *key_revisions_end_hold(key_revisions_t *keys);

#endif
