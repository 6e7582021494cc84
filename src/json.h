#ifndef PAPAYA_JSON_H
#define PAPAYA_JSON_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Parses one JSON value; duplicate names are refused. The message names the
 * file (or "request"), line and column. Returns a new reference or NULL.
 */
json_t *json_parse(
    const char *text, size_t length, const char *source, GError **error);

/*
 * Reads and parses a file. hint ends the message where it cannot be read, such
 * as "give a readable file with --config".
 */
json_t *json_load_settings(const char *file, const char *hint, GError **error);

/* A member of an object, or the fallback where it is absent or mistyped. */
const char *json_get_string(
    const json_t *object, const char *name, const char *fallback);
int64_t json_get_int(const json_t *object, const char *name, int64_t fallback);
double json_get_double(const json_t *object, const char *name, double fallback);
bool json_get_bool(const json_t *object, const char *name, bool fallback);

/* An object of whole numbers from a table of name to double *. */
json_t *json_from_counts(GHashTable *counts);

/* Compact text with sorted names, newly allocated for g_free(). */
char *json_text(const json_t *value);

#endif
