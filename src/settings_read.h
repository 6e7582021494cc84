#ifndef PAPAYA_SETTINGS_READ_H
#define PAPAYA_SETTINGS_READ_H

#include "settings.h"

/*
 * Checked reading of one object of a team's tree, for settings_check.c. Each
 * function that returns false has set the error "FILE: PATH: VALUE PROBLEM;
 * REMEDY". A reader leaves *out unchanged where the field is absent.
 */

enum { NAME_MAX_LENGTH = 63 };

/* What is checked, and where errors go. */
typedef struct parse_context {
	const char *team;
	const char *source;
	settings_tree_t *tree;
	GError **error;
} parse_context_t;

/* One object under check. inner is NULL or the object within the entry. */
typedef struct object_reader {
	const parse_context_t *context;
	const json_t *json;
	const char *section;
	const char *entry;
	const char *nested_name;
} object_reader_t;

/* Reports a problem with a field's value (NULL: missing); always false. */
bool object_error(const object_reader_t *reader, const char *field,
    const json_t *value, const char *format, ...) G_GNUC_PRINTF(4, 5);

/* True where the scope is an object with no field but these. */
bool object_check_fields(
    const object_reader_t *reader, const char *const *fields);
bool object_check_required(
    const object_reader_t *reader, const char *const *fields);
bool object_read_int(const object_reader_t *reader, const char *field,
    int64_t min, int64_t max, int64_t *out);
bool object_read_number(const object_reader_t *reader, const char *field,
    double min, double max, double *out);
bool object_read_bool(
    const object_reader_t *reader, const char *field, bool *out);

/* Reads one of the words into its index. */
bool object_read_enum(const object_reader_t *reader, const char *field,
    const char *const *values, unsigned *out);

/* Reads a required label, such as a version or a zone, for g_free(). */
bool object_read_label(
    const object_reader_t *reader, const char *field, char **out);
bool object_check_label(
    const object_reader_t *reader, const char *field, const json_t *value);

/* Reads a required IP:PORT, for g_free(). */
bool object_read_address(
    const object_reader_t *reader, const char *field, char **out);

/* Object within an entry; *present is false where the entry has none. */
object_reader_t object_open_nested(
    const object_reader_t *reader, const char *field, bool *present);

/* Names of teams and entries; without dots, which separate paths. */
bool name_valid(const char *name);

#endif
