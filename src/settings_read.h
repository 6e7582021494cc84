#ifndef PAPAYA_SETTINGS_READ_H
#define PAPAYA_SETTINGS_READ_H

#include "settings.h"

/*
 * Reads and validates the fields of one JSON object in a team's settings tree,
 * for settings_check.c. A function that returns false has set the error
 * "FILE: PATH: VALUE PROBLEM; REMEDY". Where an optional field is absent,
 * object_read_*() leaves *out unchanged and returns true.
 */

/* Bytes of a name or label. */
enum { NAME_MAX_LENGTH = 63 };

/* Parse of one tree. source is the file or request named in errors. */
typedef struct parse_context {
	const char *team;
	const char *source;
	settings_tree_t *tree; /* filled while parsing */
	GError **error;
} parse_context_t;

/*
 * One JSON object at the path section.entry.nested_name. Components that do not
 * apply are NULL, all three for the tree itself.
 */
typedef struct object_reader {
	const parse_context_t *context;
	const json_t *json;
	const char *section;
	const char *entry;
	const char *nested_name;
} object_reader_t;

/*
 * Sets the error for the value of a field (NULL: the object itself). A NULL
 * value is shown as missing. Always returns false.
 */
bool object_error(const object_reader_t *reader, const char *field,
    const json_t *value, const char *format, ...) G_GNUC_PRINTF(4, 5);

/* Fails unless the JSON value is an object with no fields but these. */
bool object_check_fields(
    const object_reader_t *reader, const char *const *fields);

/* Fails where one of these fields is absent. */
bool object_check_required(
    const object_reader_t *reader, const char *const *fields);

/* Reads an optional number from min to max, both inclusive. */
bool object_read_int(const object_reader_t *reader, const char *field,
    int64_t min, int64_t max, int64_t *out);
bool object_read_number(const object_reader_t *reader, const char *field,
    double min, double max, double *out);

bool object_read_bool(
    const object_reader_t *reader, const char *field, bool *out);

/* Reads an optional string; *out is its index in the NULL-terminated values. */
bool object_read_enum(const object_reader_t *reader, const char *field,
    const char *const *values, unsigned *out);

/* Reads a required label, such as a version or a zone; free with g_free(). */
bool object_read_label(
    const object_reader_t *reader, const char *field, char **out);

/* Fails unless the value is a label; field is for the error only. */
bool object_check_label(
    const object_reader_t *reader, const char *field, const json_t *value);

/* Reads a required IP:PORT; free with g_free(). */
bool object_read_address(
    const object_reader_t *reader, const char *field, char **out);

/* Returns a reader for an object in an entry; *present tells if it exists. */
object_reader_t object_open_nested(
    const object_reader_t *reader, const char *field, bool *present);

/*
 * True for a valid name of a team or entry. Unlike a label, it has no dots,
 * which separate the components of paths in errors and diffs.
 */
bool name_valid(const char *name);

#endif
