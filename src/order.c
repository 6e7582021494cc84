#include "order.h"

#include "error.h"
#include "json.h"

#include <string.h>

json_t *
order_record_json(const order_record_t *record)
{
	return json_pack("{s:s,s:I,s:I}", "holder", record->holder, "fence",
	    (json_int_t)record->fence, "until_ms",
	    (json_int_t)record->until_ms);
}

bool
order_record_parse(
    const char *text, size_t length, order_record_t *record, GError **error)
{
	json_t *json = json_parse(text, length, "order record", error);
	const char *holder = json_get_string(json, "holder", NULL);

	if (json == NULL)
		return false;
	*record = (order_record_t){
	    .holder = g_strdup(holder),
	    .fence = json_get_int(json, "fence", -1),
	    .until_ms = json_get_int(json, "until_ms", -1),
	};
	json_decref(json);
	if (record->holder != NULL && record->fence > 0 && record->until_ms > 0)
		return true;
	order_record_clear(record);
	papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
	    "order record without holder, fence or until_ms; delete its key");
	return false;
}

void
order_record_clear(order_record_t *record)
{
	g_clear_pointer(&record->holder, g_free);
}

int64_t
order_free_ms(const order_record_t *record, fencing_t fencing)
{
	switch (fencing) {
	case FENCING_CHECKED:
		return record->until_ms + ORDER_SKEW_MS;
	case FENCING_IGNORED:
		return record->until_ms + ORDER_HOLD_MS + ORDER_SEND_MAX_MS +
		       ORDER_SKEW_MS;
	}
	return G_MAXINT64;
}

static bool
is_holder(const order_record_t *record, const char *node)
{
	return strcmp(record->holder, node) == 0;
}

order_verdict_t
order_check(const order_record_t *record, const char *node, fencing_t fencing,
    int64_t now_ms)
{
	int64_t left_ms;

	if (record == NULL)
		return ORDER_ACQUIRE;
	if (!is_holder(record, node))
		return now_ms > order_free_ms(record, fencing) ? ORDER_ACQUIRE
							       : ORDER_WAIT;
	left_ms = record->until_ms - now_ms;
	if (left_ms < ORDER_HOLD_MS / 2)
		return ORDER_ACQUIRE;
	return ORDER_SEND;
}

order_record_t
order_acquire(const order_record_t *record, const char *node, int64_t now_ms)
{
	return (order_record_t){
	    .holder = g_strdup(node),
	    .fence = record == NULL ? 1 : record->fence + 1,
	    .until_ms = now_ms + ORDER_HOLD_MS,
	};
}
