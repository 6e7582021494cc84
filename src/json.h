#ifndef PAPAYA_JSON_H
#define PAPAYA_JSON_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Parses one JSON value of any type; duplicate member names are an error. The
 * error message starts with source (a file name, or a word such as "request"),
 * line and column. Returns a new reference, or NULL on error.
 */
json_t *json_parse(
    const char *text, size_t length, const char *source, GError **error);

/*
 * Reads and parses a file. If it cannot be read, the error message ends with
 * hint, such as "give a readable file with --config". Returns a new reference,
 * or NULL on error.
 */
json_t *json_load_settings(const char *file, const char *hint, GError **error);

/*
 * Value of a member of an object; fallback if the member is absent or of
 * another type. A string belongs to the object.
 */
const char *json_get_string(
    const json_t *object, const char *name, const char *fallback);
int64_t json_get_int(const json_t *object, const char *name, int64_t fallback);
double json_get_double(const json_t *object, const char *name, double fallback);
bool json_get_bool(const json_t *object, const char *name, bool fallback);

/*
 * Whole part of a number, limited to min..max; fallback if the member is absent
 * or of another type. For values of other writers, which may not fit.
 */
int64_t json_get_clamped(const json_t *object, const char *name,
    int64_t fallback, int64_t min, int64_t max);

/* True where the member is absent, null, or a number from min to max. */
bool json_is_in_range(
    const json_t *object, const char *name, int64_t min, int64_t max);

/*
 * New object with the entries of a table of char * to double *; fractions are
 * cut off.
 */
json_t *json_from_counts(GHashTable *counts);

/*
 * A JSON string of any text, for what a client or another process wrote: bytes
 * that are not UTF-8 are replaced by U+FFFD.
 */
json_t *json_from_bytes(const char *text);

/*
 * Compact JSON text with sorted member names; "null" for NULL, so that a value
 * that could not be built ends no process. Free with g_free().
 */
char *json_text(const json_t *value);

#endif
