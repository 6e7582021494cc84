#ifndef PAPAYA_ERROR_H
#define PAPAYA_ERROR_H

#include <glib.h>
#include <stdbool.h>

/*
 * Error kinds: the codes of the PAPAYA_ERROR domain of GError. Each has a name
 * used in responses, an HTTP status and a remedy. The message of an error names
 * the invalid value; the remedy tells the caller or operator what to do about
 * it.
 */
typedef enum papaya_error {
	PAPAYA_ERROR_INTERNAL,
	PAPAYA_ERROR_BAD_REQUEST,
	PAPAYA_ERROR_BAD_SETTING,
	PAPAYA_ERROR_BAD_FRAME,
	PAPAYA_ERROR_TOO_LARGE,
	PAPAYA_ERROR_NOT_FOUND,
	PAPAYA_ERROR_UNKNOWN_SERVICE,
	PAPAYA_ERROR_UNKNOWN_WORKSPACE,
	PAPAYA_ERROR_KEY_MISSING,
	PAPAYA_ERROR_KEY_MALFORMED,
	PAPAYA_ERROR_KEY_REUSED,
	PAPAYA_ERROR_KEY_EXPIRED,
	PAPAYA_ERROR_LEDGER_FULL,
	PAPAYA_ERROR_OUTCOME_UNKNOWN,
	PAPAYA_ERROR_STORE_UNAVAILABLE,
	PAPAYA_ERROR_SETTINGS_CONFLICT,
	PAPAYA_ERROR_CONFLICT,
	PAPAYA_ERROR_OVERLOADED,
	PAPAYA_ERROR_NO_BACKEND,
	PAPAYA_ERROR_BACKEND_FAILED,
	PAPAYA_ERROR_DEADLINE_EXCEEDED,
	PAPAYA_ERROR_DRAINING,
	PAPAYA_ERROR_COUNT
} papaya_error_t;

#define PAPAYA_ERROR papaya_error_quark()

GQuark papaya_error_quark(void);

/*
 * Replaces *error with a new error, with a message in printf() style. Does
 * nothing if error is NULL.
 */
void papaya_error_set(GError **error, papaya_error_t kind, const char *format,
    ...) G_GNUC_PRINTF(3, 4);

/* Name used in responses, such as "key_reused". */
const char *papaya_error_name(papaya_error_t kind);

/* HTTP status, 400 or above. */
int papaya_error_status(papaya_error_t kind);

/* What the caller or operator should do about the error. */
const char *papaya_error_remedy(papaya_error_t kind);

/* Kind of an error; INTERNAL if it is NULL or of another domain. */
papaya_error_t papaya_error_kind(const GError *error);

#endif
