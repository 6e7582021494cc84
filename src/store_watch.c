#include "store_watch_state.h"

#include "clock.h"
#include "log.h"

enum {
	/* Longest watch without changes; bounds the age of a confirmation. */
	WATCH_MAX_MS = 1200,
	CONFIRM_WATCH_MS = 1,
	RETRY_MIN_MS = 60,
	RETRY_MAX_MS = 400,
	/* The same where relays bring the changes. */
	FOLLOWER_RETRY_MAX_MS = 1600,
	/* The same while the first requests of a node that has just started may
	 * wait for its configuration. */
	STARTUP_MS = 1000,
	STARTUP_RETRY_MAX_MS = 60,
	REFRESH_INTERVAL_MS = 300,
	RELAY_CHECK_MS = 100,
	/* The store counts as unavailable after failing for this long. */
	UNAVAILABLE_AFTER_MS = 300,
	/* Entries removed in an outage may reappear this long after its end. */
	RECOVERY_MS = 2500,
	/* Between two calls that a peer's statement of an era causes. */
	ERA_CHECK_INTERVAL_MS = 1000,
};

static const char all_keys[] = "";

/* A watch confirms the copy after this share of max_staleness_ms at most. */
static const double watch_staleness_share = 0.3;

static void start_next_call(store_watch_t *watch);

void
store_watch_apply_items(
    store_watch_t *watch, const platform_item_t *items, size_t count)
{
	const store_watch_options_t *options = &watch->options;

	for (size_t i = 0; i < count; i++) {
		const platform_item_t *item = &items[i];

		/* Watches and relay responses may repeat a change. */
		if (!watch->listing && item->revision <= watch->revision)
			continue;
		if (!watch->listing)
			relay_log_add(watch->change_log, item);
		if (!item->removed) {
			if (key_revisions_put(
				watch->keys, item->key, item->revision))
				options->on_put(item, options->data);
		} else if (key_revisions_remove(
			       watch->keys, item->key, item->revision)) {
			options->on_removed(
			    item->key, item->revision, options->data);
		}
	}
}

/* Takes over the keys (char *), which the store lacks at watch->revision. */
static void
report_removed(store_watch_t *watch, GPtrArray *keys)
{
	for (guint i = 0; i < keys->len; i++)
		watch->options.on_removed(
		    keys->pdata[i], watch->revision, watch->options.data);
	g_ptr_array_unref(keys);
}

void
store_watch_report_confirmed(store_watch_t *watch)
{
	watch->options.on_confirmed(watch->options.data);
	if (watch->hold_until_ms == 0 ||
	    watch->confirmed_ms < watch->hold_until_ms)
		return;
	/* The writers of these keys have had their time. */
	watch->hold_until_ms = 0;
	report_removed(watch, key_revisions_end_hold(watch->keys));
	watch->options.on_restoration_over(watch->options.data);
}

void
store_watch_mark_available(store_watch_t *watch)
{
	int64_t now_ms = clock_boot_ms();

	watch->failures = 0;
	watch->last_response_ms = now_ms;
	if (!watch->unavailable)
		return;
	watch->unavailable = false;
	watch->recovered_ms = now_ms;
	log_event(LOG_LEVEL_INFO, "store.regained",
	    "revision=%" G_GINT64_FORMAT, watch->revision);
}

static void
on_retry(uv_timer_t *timer)
{
	start_next_call(timer->data);
}

static int64_t
retry_max_ms(const store_watch_t *watch)
{
	if (!watch->listed_once &&
	    clock_boot_ms() - watch->started_ms < STARTUP_MS)
		return STARTUP_RETRY_MAX_MS;
	return watch->relay_interval_ms > 0 ? FOLLOWER_RETRY_MAX_MS
					    : RETRY_MAX_MS;
}

static void
retry_later(store_watch_t *watch, const platform_result_t *result)
{
	int64_t delay_ms =
	    MIN(RETRY_MIN_MS << MIN(watch->failures, 5u), retry_max_ms(watch));

	watch->failures++;
	/* The store is up, and acknowledges the changes of others. */
	if (result->rate_limited)
		watch->last_response_ms = clock_boot_ms();
	if (!watch->unavailable &&
	    clock_boot_ms() - watch->last_response_ms > UNAVAILABLE_AFTER_MS) {
		watch->unavailable = true;
		log_event(LOG_LEVEL_WARN, "store.lost", "status=%d failures=%u",
		    (int)result->status, watch->failures);
	}
	uv_timer_start(&watch->timer, on_retry,
	    (uint64_t)(delay_ms + g_random_int_range(0, RETRY_MIN_MS)), 0);
}

static void
finish_list(store_watch_t *watch)
{
	watch->listing = false;
	watch->revision = watch->list_revision;
	report_removed(watch, key_revisions_end_list(watch->keys));
	g_clear_pointer(&watch->last_page_key, g_free);
	relay_log_reset(watch->change_log, watch->revision);
	watch->list_complete = true;
	if (watch->hold_until_ms == INT64_MAX)
		watch->hold_until_ms = clock_boot_ms() + STORE_RESTORE_HOLD_MS;
	watch->options.on_list_complete(watch->options.data);
	watch->listed_once = true;
	if (watch->list_may_be_stale)
		return;
	watch->confirmed_ms = watch->list_started_ms;
	store_watch_report_confirmed(watch);
}

static void
abort_list(store_watch_t *watch)
{
	watch->listing = false;
	g_clear_pointer(&watch->last_page_key, g_free);
}

/* Returns the owner of a call that is done; NULL: its result is ignored. */
static store_watch_t *
end_call(watch_call_t *call)
{
	store_watch_t *watch = call->watch;
	bool replaced = watch->call != call;

	g_free(call);
	if (replaced)
		return NULL;
	watch->call = NULL;
	return watch;
}

static void
on_list_page(const platform_result_t *result, void *data)
{
	store_watch_t *watch = end_call(data);

	if (watch == NULL)
		return;
	if (result->status != PLATFORM_OK) {
		watch->stale_refused |= result->status == PLATFORM_RESTORED;
		abort_list(watch);
		retry_later(watch, result);
		return;
	}
	store_watch_mark_available(watch);
	if (watch->last_page_key == NULL)
		watch->list_revision = result->revision;
	watch->list_revision = MIN(watch->list_revision, result->revision);
	store_watch_apply_items(watch, result->items, result->count);
	g_free(watch->last_page_key);
	watch->last_page_key = NULL;
	if (result->has_more && result->count > 0)
		watch->last_page_key =
		    g_strdup(result->items[result->count - 1].key);
	else
		finish_list(watch);
	start_next_call(watch);
}

/* Longest watch without changes. */
static int64_t
longest_watch_ms(const store_watch_t *watch)
{
	if (watch->relay_interval_ms > 0 || watch->has_followers)
		return store_watch_relay_ms(watch);
	return MIN(
	    WATCH_MAX_MS, (int64_t)(watch_staleness_share *
				    (double)watch->options.max_staleness_ms));
}

/* Duration of a watch that starts now. */
static int64_t
watch_ms(const store_watch_t *watch, int64_t now_ms)
{
	int64_t hold_ms = watch->hold_until_ms - now_ms;

	/* A short watch confirms the copy at once. */
	if (watch->failures > 0 || watch->confirmed_ms == 0 ||
	    watch->era_check_due)
		return CONFIRM_WATCH_MS;
	if (watch->hold_until_ms == 0)
		return longest_watch_ms(watch);
	/* The next watch, at the end of the hold, confirms the copy. */
	return MIN(longest_watch_ms(watch), MAX(hold_ms, CONFIRM_WATCH_MS));
}

static void
on_relay_check(uv_timer_t *timer)
{
	store_watch_t *watch = timer->data;

	if (store_watch_is_kept_current(watch))
		return;
	uv_timer_stop(timer);
	start_next_call(watch);
}

static void
start_relay_check(store_watch_t *watch)
{
	uv_timer_start(
	    &watch->timer, on_relay_check, RELAY_CHECK_MS, RELAY_CHECK_MS);
}

static void
start_call_after_interval(store_watch_t *watch)
{
	int64_t delay_ms =
	    watch->call_sent_ms + watch->min_interval_ms - clock_boot_ms();

	if (delay_ms <= 0)
		start_next_call(watch);
	else
		uv_timer_start(&watch->timer, on_retry, (uint64_t)delay_ms, 0);
}

static void
on_watch_result(const platform_result_t *result, void *data)
{
	store_watch_t *watch = end_call(data);

	if (watch == NULL)
		return;
	if (result->status == PLATFORM_COMPACTED) {
		store_watch_mark_available(watch);
		watch->list_complete = false;
		start_next_call(watch);
		return;
	}
	if (result->status != PLATFORM_OK) {
		/* The same changes would come again: the keys are listed. */
		if (result->malformed)
			watch->list_complete = false;
		retry_later(watch, result);
		return;
	}
	store_watch_mark_available(watch);
	store_watch_apply_items(watch, result->items, result->count);
	watch->revision = MAX(watch->revision, result->revision);
	watch->confirmed_ms = MAX(watch->confirmed_ms, watch->call_sent_ms);
	watch->changes_missing = false;
	store_watch_report_confirmed(watch);
	if (store_watch_is_kept_current(watch))
		start_relay_check(watch);
	else
		start_call_after_interval(watch);
}

static void
begin_list(store_watch_t *watch, int64_t now_ms)
{
	watch->listing = true;
	watch->list_started_ms = now_ms;
	/* The first list may be stale: the watch after it confirms the copy. */
	watch->list_may_be_stale = !watch->listed_once &&
				   watch->hold_until_ms == 0 &&
				   !watch->stale_refused;
	key_revisions_begin_list(watch->keys);
}

/* Starts the next watch, or the next page of a list. */
static void
start_next_call(store_watch_t *watch)
{
	int64_t now_ms = clock_boot_ms();

	watch->call_sent_ms = now_ms;
	if (watch->refresh_pending &&
	    now_ms - watch->last_refresh_ms > REFRESH_INTERVAL_MS) {
		watch->refresh_pending = false;
		watch->last_refresh_ms = now_ms;
		watch->list_complete = false;
	}
	watch->call = g_new0(watch_call_t, 1);
	watch->call->watch = watch;
	if (watch->list_complete) {
		platform_store_watch(watch->options.store, all_keys,
		    watch->revision, watch_ms(watch, now_ms), on_watch_result,
		    watch->call);
		watch->era_check_due = false;
		return;
	}
	if (!watch->listing)
		begin_list(watch, now_ms);
	platform_store_list(watch->options.store, all_keys,
	    watch->last_page_key, watch->list_may_be_stale, on_list_page,
	    watch->call);
}

store_watch_t *
store_watch_start(uv_loop_t *loop, const store_watch_options_t *options)
{
	store_watch_t *watch = g_new0(store_watch_t, 1);

	watch->options = *options;
	watch->keys = key_revisions_new();
	watch->started_ms = clock_boot_ms();
	watch->last_response_ms = watch->started_ms;
	watch->change_log = relay_log_new();
	uv_timer_init(loop, &watch->timer);
	watch->timer.data = watch;
	start_next_call(watch);
	return watch;
}

int64_t
store_watch_confirmed_ms(const store_watch_t *watch)
{
	return watch->confirmed_ms;
}

int64_t
store_watch_available_ms(const store_watch_t *watch)
{
	return watch->recovered_ms;
}

bool
store_watch_is_unstable(const store_watch_t *watch)
{
	return watch->unavailable || store_watch_is_restoring(watch) ||
	       (watch->recovered_ms != 0 &&
		   clock_boot_ms() - watch->recovered_ms < RECOVERY_MS);
}

void
store_watch_restore(store_watch_t *watch)
{
	abort_list(watch);
	watch->list_complete = false;
	watch->changes_missing = false;
	watch->revision = 0;
	watch->hold_until_ms = INT64_MAX;
	key_revisions_restore(watch->keys);
	relay_log_reset(watch->change_log, INT64_MAX);
	/* A watch in progress waits for revisions of the earlier era. */
	uv_timer_stop(&watch->timer);
	start_next_call(watch);
}

void
store_watch_check_era(store_watch_t *watch, int64_t era)
{
	int64_t now_ms = clock_boot_ms();

	if (era <= platform_store_era(watch->options.store) ||
	    era > PLATFORM_ERA_MAX ||
	    now_ms - watch->era_checked_ms < ERA_CHECK_INTERVAL_MS)
		return;
	watch->era_checked_ms = now_ms;
	/* The response to a list, or to a retry, shows the era. */
	if (!watch->list_complete || watch->failures > 0)
		return;
	watch->era_check_due = true;
	uv_timer_stop(&watch->timer);
	start_next_call(watch);
}

bool
store_watch_is_restoring(const store_watch_t *watch)
{
	return watch->hold_until_ms != 0;
}

void
store_watch_refresh(store_watch_t *watch)
{
	watch->refresh_pending = true;
}

void
store_watch_set_relay_interval(store_watch_t *watch, int64_t interval_ms)
{
	watch->relay_interval_ms = interval_ms;
}

void
store_watch_set_min_interval(store_watch_t *watch, int64_t interval_ms)
{
	watch->min_interval_ms = interval_ms;
}
