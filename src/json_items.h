#ifndef PAPAYA_JSON_ITEMS_H
#define PAPAYA_JSON_ITEMS_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

/*
 * Parses a JSON object that has one array whose items come from many writers:
 * an item that is not valid JSON costs only itself. The cost is linear in the
 * length of the text.
 */

enum { JSON_ITEMS_EXCERPT_BYTES = 64 };

/* Items that are missing in the result. */
typedef struct json_items_skipped {
	unsigned count;
	char excerpt[JSON_ITEMS_EXCERPT_BYTES]; /* printable, of the first */
} json_items_skipped_t;

/*
 * names: of the member with the array, as alternatives; NULL-terminated. NULL
 * with error set if the text cannot be split into items, or is not valid
 * outside of them.
 */
json_t *json_items_parse(const char *text, size_t length, const char *source,
    const char *const *names, json_items_skipped_t *skipped, GError **error);

#endif
