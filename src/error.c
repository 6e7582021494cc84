#include "error.h"

#include <stdarg.h>

typedef struct error_info {
	const char *name;
	int status;
	const char *remedy;
} error_info_t;

static const error_info_t error_kinds[PAPAYA_ERROR_COUNT] = {
    [PAPAYA_ERROR_INTERNAL] = {"internal", 500,
	"report this with the node's log"},
    [PAPAYA_ERROR_BAD_REQUEST] = {"bad_request", 400,
	"correct the request as the message says"},
    [PAPAYA_ERROR_BAD_SETTING] = {"bad_setting", 400,
	"correct the named setting and apply again"},
    [PAPAYA_ERROR_BAD_FRAME] = {"bad_frame", 400,
	"run the same release on every node"},
    [PAPAYA_ERROR_TOO_LARGE] = {"too_large", 413, "send a smaller body"},
    [PAPAYA_ERROR_NOT_FOUND] = {"not_found", 404,
	"check the path against docs/OPERATIONS.md"},
    [PAPAYA_ERROR_UNKNOWN_SERVICE] = {"unknown_service", 404,
	"use TEAM/NAME of a service in the applied settings"},
    [PAPAYA_ERROR_UNKNOWN_WORKSPACE] = {"unknown_workspace", 403,
	"send Papaya-Workspace with a workspace of the service's team"},
    [PAPAYA_ERROR_KEY_MISSING] = {"key_missing", 400,
	"send an Idempotency-Key header, the same one at each retry"},
    [PAPAYA_ERROR_KEY_MALFORMED] = {"key_malformed", 400,
	"use 1 to 128 visible ASCII characters, or a UUIDv7 where required"},
    [PAPAYA_ERROR_KEY_REUSED] = {"key_reused", 422,
	"use a new Idempotency-Key for a different body"},
    [PAPAYA_ERROR_KEY_EXPIRED] = {"key_expired", 410,
	"check whether the action ran, then use a new key"},
    [PAPAYA_ERROR_LEDGER_FULL] = {"ledger_full", 503,
	"retry later, or raise the number of ledger partitions"},
    [PAPAYA_ERROR_OUTCOME_UNKNOWN] = {"outcome_unknown", 409,
	"ask the service whether the action ran; it is not run again"},
    [PAPAYA_ERROR_STORE_UNAVAILABLE] = {"store_unavailable", 503,
	"retry with the same key once the store answers"},
    [PAPAYA_ERROR_SETTINGS_CONFLICT] = {"settings_conflict", 409,
	"get the newer revision, merge, and apply again"},
    [PAPAYA_ERROR_CONFLICT] = {"conflict", 409,
	"read the present state and try again"},
    [PAPAYA_ERROR_OVERLOADED] = {"overloaded", 429,
	"retry after the time in Retry-After"},
    [PAPAYA_ERROR_NO_BACKEND] = {"no_backend", 503,
	"retry later, or add backend servers for the service"},
    [PAPAYA_ERROR_BACKEND_FAILED] = {"backend_failed", 502,
	"retry if the call may be repeated"},
    [PAPAYA_ERROR_DEADLINE_EXCEEDED] = {"deadline_exceeded", 504,
	"raise Papaya-Timeout-Ms or the service's timeout_ms"},
    [PAPAYA_ERROR_DRAINING] = {"draining", 503,
	"ask /v1/entry for another address"},
};

GQuark
papaya_error_quark(void)
{
	return g_quark_from_static_string("papaya-error");
}

void
papaya_error_set(GError **error, papaya_error_t kind, const char *format, ...)
{
	va_list args;

	if (error == NULL)
		return;
	g_clear_error(error);
	va_start(args, format);
	*error = g_error_new_valist(PAPAYA_ERROR, (gint)kind, format, args);
	va_end(args);
}

const char *
papaya_error_name(papaya_error_t kind)
{
	return error_kinds[kind].name;
}

int
papaya_error_status(papaya_error_t kind)
{
	return error_kinds[kind].status;
}

const char *
papaya_error_remedy(papaya_error_t kind)
{
	return error_kinds[kind].remedy;
}

papaya_error_t
papaya_error_kind(const GError *error)
{
	if (error == NULL || error->domain != PAPAYA_ERROR || error->code < 0 ||
	    error->code >= PAPAYA_ERROR_COUNT)
		return PAPAYA_ERROR_INTERNAL;
	return (papaya_error_t)error->code;
}
