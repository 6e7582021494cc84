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
typedef struct check {
	const char *team;
	const char *source;
	tree_t *tree;
	GError **error;
} check_t;

/* One object under check. inner is NULL or the object within the entry. */
typedef struct scope {
	const check_t *check;
	const json_t *object;
	const char *section;
	const char *entry;
	const char *inner;
} scope_t;

/* Reports a problem with a field's value (NULL: missing); always false. */
bool scope_bad(const scope_t *scope, const char *name, const json_t *value,
    const char *format, ...) G_GNUC_PRINTF(4, 5);

/* True where the scope is an object with no field but these. */
bool scope_fields(const scope_t *scope, const char *const *names);
bool scope_required(const scope_t *scope, const char *const *names);
bool scope_int(const scope_t *scope, const char *name, int64_t least,
    int64_t most, int64_t *out);
bool scope_number(const scope_t *scope, const char *name, double least,
    double most, double *out);
bool scope_bool(const scope_t *scope, const char *name, bool *out);

/* Reads one of the words into its index. */
bool scope_word(const scope_t *scope, const char *name,
    const char *const *words, unsigned *out);

/* Reads a required label, such as a version or a zone, for g_free(). */
bool scope_label(const scope_t *scope, const char *name, char **out);
bool scope_label_good(
    const scope_t *scope, const char *name, const json_t *value);

/* Reads a required IP:PORT, for g_free(). */
bool scope_address(const scope_t *scope, const char *name, char **out);

/* Object within an entry; *present is false where the entry has none. */
scope_t scope_inner(const scope_t *scope, const char *name, bool *present);

/* Names of teams and entries; without dots, which separate paths. */
bool name_valid(const char *name);

#endif
