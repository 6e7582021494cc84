#include "store_watch.h"

#include "clock.h"
#include "log.h"

enum {
	/* Longest watch without changes; bounds the age of a confirmation. */
	WATCH_MAX_MS = 1200,
	/* The same in a fleet with relays. */
	RELAY_WATCH_MAX_MS = 450,
	CONFIRM_WATCH_MS = 1,
	RETRY_MIN_MS = 60,
	RETRY_MAX_MS = 400,
	/* The same where relays bring the changes. */
	FOLLOWER_RETRY_MAX_MS = 1600,
	/* The store counts as unavailable after failing for this long. */
	UNAVAILABLE_AFTER_MS = 300,
	REFRESH_INTERVAL_MS = 300,
	RELAY_CHECK_MS = 100,
	/* Entries removed in an outage may reappear this long after its end. */
	RECOVERY_MS = 2500,
};

static const char all_keys[] = "";

/* A watch confirms the copy after this share of max_staleness_ms at most. */
static const double watch_staleness_share = 0.3;
/* The same in a fleet with relays, whose confirmations are passed on. */
static const double relay_watch_staleness_share = 0.11;

struct store_watch {
	store_watch_options_t options;
	uv_timer_t timer;
	GHashTable *revisions;	 /* key to its last revision (int64_t *) */
	GHashTable *listed_keys; /* keys of the list in progress; NULL: none */
	/* Last key of the previous page of the list; NULL: first page. */
	char *last_page_key;
	int64_t list_revision; /* lowest store revision of the pages */
	int64_t list_started_ms;
	int64_t revision;     /* all changes up to it are applied */
	int64_t call_sent_ms; /* start of the call in progress */
	int64_t confirmed_ms;
	int64_t last_response_ms; /* of the store, or a relay's confirmation */
	int64_t recovered_ms;	  /* last end of an outage here or at a relay */
	int64_t last_refresh_ms;
	unsigned failures; /* consecutive */
	bool list_complete;
	bool unavailable;
	bool refresh_pending;
	relay_log_t *change_log;   /* for followers of this node */
	int64_t relay_interval_ms; /* 0: this node does not follow relays */
	int64_t last_request_ms;   /* to a relay */
	int64_t min_interval_ms;   /* between watches */
	bool has_followers;	   /* one has sent a request */
	bool listed_once;     /* a list has been completed since the start */
	bool changes_missing; /* in a relay's response; cleared by a watch */
};

static void start_next_call(store_watch_t *watch);

/* Returns whether the revision is newer than the key's last one. */
static bool
record_revision(store_watch_t *watch, const char *key, int64_t revision)
{
	int64_t *last_revision = g_hash_table_lookup(watch->revisions, key);

	if (last_revision != NULL && *last_revision >= revision)
		return false;
	if (last_revision == NULL) {
		last_revision = g_new(int64_t, 1);
		g_hash_table_insert(
		    watch->revisions, g_strdup(key), last_revision);
	}
	*last_revision = revision;
	return true;
}

static void
remove_key(store_watch_t *watch, const char *key, int64_t revision)
{
	int64_t *last_revision = g_hash_table_lookup(watch->revisions, key);

	if (last_revision == NULL || *last_revision >= revision)
		return;
	watch->options.on_removed(key, watch->options.data);
	g_hash_table_remove(watch->revisions, key);
}

static void
apply_items(store_watch_t *watch, const platform_item_t *items, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const platform_item_t *item = &items[i];

		/* Watches and relay responses may repeat a change. */
		if (watch->listed_keys == NULL &&
		    item->revision <= watch->revision)
			continue;
		if (watch->listed_keys == NULL)
			relay_log_add(watch->change_log, item);
		if (item->removed)
			remove_key(watch, item->key, item->revision);
		else if (record_revision(watch, item->key, item->revision))
			watch->options.on_put(item, watch->options.data);
		if (watch->listed_keys != NULL)
			g_hash_table_add(
			    watch->listed_keys, g_strdup(item->key));
	}
}

static void
mark_available(store_watch_t *watch)
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

static void
retry_later(store_watch_t *watch, platform_status_t status)
{
	int64_t delay_max_ms =
	    watch->relay_interval_ms > 0 ? FOLLOWER_RETRY_MAX_MS : RETRY_MAX_MS;
	int64_t delay_ms =
	    MIN(RETRY_MIN_MS << MIN(watch->failures, 5u), delay_max_ms);

	watch->failures++;
	if (!watch->unavailable &&
	    clock_boot_ms() - watch->last_response_ms > UNAVAILABLE_AFTER_MS) {
		watch->unavailable = true;
		log_event(LOG_LEVEL_WARN, "store.lost", "status=%d failures=%u",
		    (int)status, watch->failures);
	}
	uv_timer_start(&watch->timer, on_retry,
	    (uint64_t)(delay_ms + g_random_int_range(0, RETRY_MIN_MS)), 0);
}

static void
finish_list(store_watch_t *watch)
{
	GHashTable *listed_keys = watch->listed_keys;
	GHashTableIter iter;
	gpointer key;

	watch->listed_keys = NULL;
	g_hash_table_iter_init(&iter, watch->revisions);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (g_hash_table_contains(listed_keys, key))
			continue;
		watch->options.on_removed(key, watch->options.data);
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_unref(listed_keys);
	g_clear_pointer(&watch->last_page_key, g_free);
	watch->revision = MAX(watch->revision, watch->list_revision);
	relay_log_reset(watch->change_log, watch->revision);
	watch->list_complete = true;
	watch->options.on_list_complete(watch->options.data);
	if (watch->listed_once) {
		watch->confirmed_ms = watch->list_started_ms;
		watch->options.on_confirmed(watch->options.data);
	}
	watch->listed_once = true;
}

static void
abort_list(store_watch_t *watch)
{
	g_clear_pointer(&watch->listed_keys, g_hash_table_unref);
	g_clear_pointer(&watch->last_page_key, g_free);
}

static void
on_list_page(const platform_result_t *result, void *data)
{
	store_watch_t *watch = data;

	if (result->status != PLATFORM_OK) {
		abort_list(watch);
		retry_later(watch, result->status);
		return;
	}
	mark_available(watch);
	if (watch->last_page_key == NULL)
		watch->list_revision = result->revision;
	watch->list_revision = MIN(watch->list_revision, result->revision);
	apply_items(watch, result->items, result->count);
	g_free(watch->last_page_key);
	watch->last_page_key = NULL;
	if (result->has_more && result->count > 0)
		watch->last_page_key =
		    g_strdup(result->items[result->count - 1].key);
	else
		finish_list(watch);
	start_next_call(watch);
}

/* Longest watch without changes of a relay. */
static int64_t
relay_watch_ms(const store_watch_t *watch)
{
	return MIN(RELAY_WATCH_MAX_MS,
	    (int64_t)(relay_watch_staleness_share *
		      (double)watch->options.max_staleness_ms));
}

static int64_t
watch_ms(const store_watch_t *watch)
{
	if (watch->relay_interval_ms > 0 || watch->has_followers)
		return relay_watch_ms(watch);
	return MIN(
	    WATCH_MAX_MS, (int64_t)(watch_staleness_share *
				    (double)watch->options.max_staleness_ms));
}

/* True while relay responses confirm the copy often enough. */
static bool
is_kept_current_by_relay(const store_watch_t *watch)
{
	return watch->relay_interval_ms > 0 && watch->list_complete &&
	       !watch->refresh_pending && !watch->changes_missing &&
	       relay_is_current(clock_boot_ms() - watch->confirmed_ms,
		   relay_watch_ms(watch));
}

static void
on_relay_check(uv_timer_t *timer)
{
	store_watch_t *watch = timer->data;

	if (is_kept_current_by_relay(watch))
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
	store_watch_t *watch = data;

	if (result->status == PLATFORM_COMPACTED) {
		mark_available(watch);
		watch->list_complete = false;
		start_next_call(watch);
		return;
	}
	if (result->status != PLATFORM_OK) {
		retry_later(watch, result->status);
		return;
	}
	mark_available(watch);
	apply_items(watch, result->items, result->count);
	watch->revision = MAX(watch->revision, result->revision);
	watch->confirmed_ms = MAX(watch->confirmed_ms, watch->call_sent_ms);
	watch->changes_missing = false;
	watch->options.on_confirmed(watch->options.data);
	if (is_kept_current_by_relay(watch))
		start_relay_check(watch);
	else
		start_call_after_interval(watch);
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
	if (watch->list_complete) {
		/* A short watch confirms the copy at once. */
		bool confirm = watch->failures > 0 || watch->confirmed_ms == 0;
		int64_t wait_ms = confirm ? CONFIRM_WATCH_MS : watch_ms(watch);

		platform_store_watch(watch->options.store, all_keys,
		    watch->revision, wait_ms, on_watch_result, watch);
		return;
	}
	if (watch->listed_keys == NULL) {
		watch->listed_keys = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		watch->list_started_ms = now_ms;
	}
	/* The first list may be stale: the watch after it confirms the copy. */
	platform_store_list(watch->options.store, all_keys,
	    watch->last_page_key, !watch->listed_once, on_list_page, watch);
}

store_watch_t *
store_watch_start(uv_loop_t *loop, const store_watch_options_t *options)
{
	store_watch_t *watch = g_new0(store_watch_t, 1);

	watch->options = *options;
	watch->revisions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	watch->last_response_ms = clock_boot_ms();
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

bool
store_watch_is_unstable(const store_watch_t *watch)
{
	return watch->unavailable ||
	       (watch->recovered_ms != 0 &&
		   clock_boot_ms() - watch->recovered_ms < RECOVERY_MS);
}

void
store_watch_restore(store_watch_t *watch)
{
	watch->list_complete = false;
}

bool
store_watch_is_restoring(const store_watch_t *watch)
{
	return false;
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

bool
store_watch_next_request(store_watch_t *watch, relay_request_t *request)
{
	int64_t now_ms = clock_boot_ms();

	if (watch->relay_interval_ms == 0 || !watch->list_complete ||
	    now_ms - watch->last_request_ms < watch->relay_interval_ms)
		return false;
	watch->last_request_ms = now_ms;
	request->after_revision = watch->revision;
	request->sent_ms = now_ms;
	return true;
}

void
store_watch_apply_response(
    store_watch_t *watch, const relay_response_t *response)
{
	int64_t now_ms = clock_boot_ms();
	int64_t confirmed_ms;

	if (watch->relay_interval_ms == 0 || !watch->list_complete ||
	    watch->listed_keys != NULL)
		return;
	if (response->changes_missing) {
		/* A watch of the store returns all missing changes. */
		watch->changes_missing = true;
		return;
	}
	if (response->store_unstable)
		watch->recovered_ms = now_ms;
	apply_items(watch, response->items, response->count);
	watch->revision = MAX(watch->revision, response->revision);
	confirmed_ms =
	    response->request_sent_ms - response->confirmation_age_ms;
	if (response->confirmation_age_ms < 0 ||
	    !relay_is_current(now_ms - confirmed_ms, relay_watch_ms(watch)))
		return;
	watch->confirmed_ms = MAX(watch->confirmed_ms, confirmed_ms);
	mark_available(watch);
	watch->options.on_confirmed(watch->options.data);
}

void
store_watch_encode_response(store_watch_t *watch,
    const relay_request_t *request, const GPtrArray *client_addresses,
    GByteArray *out)
{
	int64_t now_ms = clock_boot_ms();
	relay_state_t state = {
	    .client_addresses = client_addresses,
	    .revision = watch->revision,
	    .confirmation_age_ms =
		watch->confirmed_ms == 0 ? -1 : now_ms - watch->confirmed_ms,
	    .store_unstable = store_watch_is_unstable(watch),
	};

	watch->has_followers = true;
	relay_encode_response(watch->change_log, request, &state, out);
}
