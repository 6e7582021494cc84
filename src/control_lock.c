#include "control_lock.h"

#include "error.h"
#include "json.h"

#include <string.h>

json_t *
control_lock_record_json(const control_lock_record_t *record)
{
	return json_pack("{s:s,s:I,s:I}", "holder", record->holder, "fence",
	    (json_int_t)record->fence, "until_ms",
	    (json_int_t)record->until_ms);
}

bool
control_lock_record_parse(const char *text, size_t length,
    control_lock_record_t *record, GError **error)
{
	json_t *json = json_parse(text, length, "control lock record", error);
	const char *holder = json_get_string(json, "holder", NULL);

	if (json == NULL)
		return false;
	*record = (control_lock_record_t){
	    .holder = g_strdup(holder),
	    .fence = json_get_int(json, "fence", -1),
	    .until_ms = json_get_int(json, "until_ms", -1),
	};
	json_decref(json);
	if (record->holder != NULL && record->fence > 0 && record->until_ms > 0)
		return true;
	control_lock_record_clear(record);
	papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
	    "control lock record lacks holder, fence or until_ms; delete its "
	    "key");
	return false;
}

void
control_lock_record_clear(control_lock_record_t *record)
{
	g_clear_pointer(&record->holder, g_free);
}

int64_t
control_lock_available_at_ms(
    const control_lock_record_t *record, fencing_t fencing)
{
	switch (fencing) {
	case FENCING_CHECKED:
		return record->until_ms + CONTROL_LOCK_CLOCK_SKEW_MS;
	case FENCING_IGNORED:
		return record->until_ms + CONTROL_LOCK_LEASE_MS +
		       CONTROL_LOCK_COMMAND_MAX_MS + CONTROL_LOCK_CLOCK_SKEW_MS;
	}
	return G_MAXINT64;
}

static bool
is_holder(const control_lock_record_t *record, const char *node)
{
	return strcmp(record->holder, node) == 0;
}

control_lock_action_t
control_lock_check(const control_lock_record_t *record, const char *node,
    fencing_t fencing, int64_t now_ms)
{
	int64_t remaining_ms;

	if (record == NULL)
		return CONTROL_LOCK_ACQUIRE;
	if (!is_holder(record, node))
		return now_ms > control_lock_available_at_ms(record, fencing)
			   ? CONTROL_LOCK_ACQUIRE
			   : CONTROL_LOCK_WAIT;
	remaining_ms = record->until_ms - now_ms;
	if (remaining_ms < CONTROL_LOCK_LEASE_MS / 2)
		return CONTROL_LOCK_ACQUIRE;
	return CONTROL_LOCK_SEND;
}

control_lock_record_t
control_lock_next_record(
    const control_lock_record_t *record, const char *node, int64_t now_ms)
{
	return (control_lock_record_t){
	    .holder = g_strdup(node),
	    .fence = record == NULL ? 1 : record->fence + 1,
	    .until_ms = now_ms + CONTROL_LOCK_LEASE_MS,
	};
}
