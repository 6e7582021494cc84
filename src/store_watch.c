#include "store_watch.h"

#include "clock.h"
#include "log.h"

enum {
	/* Each watch ends after so long at most, which bounds a proof's age. */
	WATCH_MAX_MS = 1200,
	RETRY_MIN_MS = 60,
	RETRY_MAX_MS = 400,
	/* The store counts as away after failing for so long. */
	UNAVAILABLE_AFTER_MS = 300,
	REFRESH_INTERVAL_MS = 300,
	/* Between two questions of a follower. */
	REQUEST_INTERVAL_MS = 200,
	RELAY_CHECK_MS = 100,
	/* After the store was away, its entries may still come back. */
	RECOVERY_MS = 2500,
};

static const char all_keys[] = "";

/* A watch ends, and gives a new proof, after this share of a proof's use. */
static const double watch_staleness_share = 0.3;

struct sync {
	store_watch_options_t options;
	uv_timer_t timer;
	GHashTable *revisions;	 /* key to revision (int64_t *) */
	GHashTable *listed_keys; /* keys of the list in progress; NULL: none */
	char *last_page_key; /* last key of the page before; NULL: first page */
	int64_t list_revision; /* of the first page */
	int64_t list_started_ms;
	int64_t revision;     /* up to which changes are known */
	int64_t call_sent_ms; /* of the call in progress */
	int64_t confirmed_ms;
	int64_t last_response_ms; /* last answer of the store */
	int64_t recovered_ms;
	int64_t last_refresh_ms;
	unsigned failures;
	bool list_complete;
	bool unavailable;
	bool refresh_pending;
	relay_log_t *change_log; /* for nodes that follow this one */
	bool follower;
	int64_t last_request_ms; /* last question */
	bool changes_missing;	 /* the last answer lacked changes */
};

static void start_next_call(store_watch_t *sync);

/* True where the revision is newer than what is known of the key. */
static bool
record_revision(store_watch_t *sync, const char *key, int64_t revision)
{
	int64_t *known = g_hash_table_lookup(sync->revisions, key);

	if (known != NULL && *known >= revision)
		return false;
	if (known == NULL) {
		known = g_new(int64_t, 1);
		g_hash_table_insert(sync->revisions, g_strdup(key), known);
	}
	*known = revision;
	return true;
}

static void
remove_key(store_watch_t *sync, const char *key, int64_t revision)
{
	int64_t *known = g_hash_table_lookup(sync->revisions, key);

	if (known == NULL || *known >= revision)
		return;
	sync->options.on_removed(key, sync->options.data);
	g_hash_table_remove(sync->revisions, key);
}

static void
apply_items(store_watch_t *sync, const platform_item_t *items, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const platform_item_t *item = &items[i];

		/* A watch and an answer may overlap. */
		if (sync->listed_keys == NULL &&
		    item->revision <= sync->revision)
			continue;
		if (sync->listed_keys == NULL)
			relay_log_add(sync->change_log, item);
		if (item->removed)
			remove_key(sync, item->key, item->revision);
		else if (record_revision(sync, item->key, item->revision))
			sync->options.on_put(item, sync->options.data);
		if (sync->listed_keys != NULL)
			g_hash_table_add(
			    sync->listed_keys, g_strdup(item->key));
	}
}

static void
mark_available(store_watch_t *sync)
{
	int64_t now_ms = clock_boot_ms();

	sync->failures = 0;
	sync->last_response_ms = now_ms;
	if (!sync->unavailable)
		return;
	sync->unavailable = false;
	sync->recovered_ms = now_ms;
	log_event(LOG_LEVEL_INFO, "store.regained",
	    "revision=%" G_GINT64_FORMAT, sync->revision);
}

static void
on_retry(uv_timer_t *timer)
{
	start_next_call(timer->data);
}

static void
retry_later(store_watch_t *sync, platform_status_t status)
{
	int64_t wait_ms =
	    MIN(RETRY_MIN_MS << MIN(sync->failures, 4u), RETRY_MAX_MS);

	sync->failures++;
	if (!sync->unavailable &&
	    clock_boot_ms() - sync->last_response_ms > UNAVAILABLE_AFTER_MS) {
		sync->unavailable = true;
		log_event(LOG_LEVEL_WARN, "store.lost", "status=%d failures=%u",
		    (int)status, sync->failures);
	}
	uv_timer_start(&sync->timer, on_retry,
	    (uint64_t)(wait_ms + g_random_int_range(0, RETRY_MIN_MS)), 0);
}

static void
finish_list(store_watch_t *sync)
{
	GHashTable *listed = sync->listed_keys;
	GHashTableIter iter;
	gpointer key;

	sync->listed_keys = NULL;
	g_hash_table_iter_init(&iter, sync->revisions);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (g_hash_table_contains(listed, key))
			continue;
		sync->options.on_removed(key, sync->options.data);
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_unref(listed);
	g_clear_pointer(&sync->last_page_key, g_free);
	sync->revision = MAX(sync->revision, sync->list_revision);
	sync->confirmed_ms = sync->list_started_ms;
	relay_log_reset(sync->change_log, sync->revision);
	sync->list_complete = true;
	sync->options.on_list_complete(sync->options.data);
	sync->options.on_confirmed(sync->options.data);
}

static void
abort_list(store_watch_t *sync)
{
	g_clear_pointer(&sync->listed_keys, g_hash_table_unref);
	g_clear_pointer(&sync->last_page_key, g_free);
}

static void
on_list_page(const platform_result_t *result, void *data)
{
	store_watch_t *sync = data;

	if (result->status != PLATFORM_OK) {
		abort_list(sync);
		retry_later(sync, result->status);
		return;
	}
	mark_available(sync);
	if (sync->last_page_key == NULL)
		sync->list_revision = result->revision;
	apply_items(sync, result->items, result->count);
	g_free(sync->last_page_key);
	sync->last_page_key = NULL;
	if (result->has_more && result->count > 0)
		sync->last_page_key =
		    g_strdup(result->items[result->count - 1].key);
	else
		finish_list(sync);
	start_next_call(sync);
}

static int64_t
watch_ms(const store_watch_t *sync)
{
	return MIN(
	    WATCH_MAX_MS, (int64_t)(watch_staleness_share *
				    (double)sync->options.max_staleness_ms));
}

/* True where another node keeps the copy current. */
static bool
is_kept_current_by_relay(const store_watch_t *sync)
{
	return sync->follower && sync->list_complete &&
	       !sync->refresh_pending && !sync->changes_missing &&
	       relay_is_current(
		   clock_boot_ms() - sync->confirmed_ms, watch_ms(sync));
}

static void
on_relay_check(uv_timer_t *timer)
{
	store_watch_t *sync = timer->data;

	if (is_kept_current_by_relay(sync))
		return;
	uv_timer_stop(timer);
	start_next_call(sync);
}

static void
start_relay_check(store_watch_t *sync)
{
	uv_timer_start(
	    &sync->timer, on_relay_check, RELAY_CHECK_MS, RELAY_CHECK_MS);
}

static void
on_watch_result(const platform_result_t *result, void *data)
{
	store_watch_t *sync = data;

	if (result->status == PLATFORM_COMPACTED) {
		mark_available(sync);
		sync->list_complete = false;
		start_next_call(sync);
		return;
	}
	if (result->status != PLATFORM_OK) {
		retry_later(sync, result->status);
		return;
	}
	mark_available(sync);
	apply_items(sync, result->items, result->count);
	sync->revision = MAX(sync->revision, result->revision);
	sync->confirmed_ms = MAX(sync->confirmed_ms, sync->call_sent_ms);
	sync->changes_missing = false;
	sync->options.on_confirmed(sync->options.data);
	if (is_kept_current_by_relay(sync))
		start_relay_check(sync);
	else
		start_next_call(sync);
}

/* Makes the next call. */
static void
start_next_call(store_watch_t *sync)
{
	int64_t now_ms = clock_boot_ms();

	sync->call_sent_ms = now_ms;
	if (sync->refresh_pending &&
	    now_ms - sync->last_refresh_ms > REFRESH_INTERVAL_MS) {
		sync->refresh_pending = false;
		sync->last_refresh_ms = now_ms;
		sync->list_complete = false;
	}
	if (sync->list_complete) {
		/* After a failure, prove quickly that the copy is current. */
		int64_t wait_ms = sync->failures > 0 ? 1 : watch_ms(sync);

		platform_store_watch(sync->options.store, all_keys,
		    sync->revision, wait_ms, on_watch_result, sync);
		return;
	}
	if (sync->listed_keys == NULL) {
		sync->listed_keys = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		sync->list_started_ms = now_ms;
	}
	platform_store_list(sync->options.store, all_keys, sync->last_page_key,
	    on_list_page, sync);
}

store_watch_t *
store_watch_start(uv_loop_t *loop, const store_watch_options_t *options)
{
	store_watch_t *sync = g_new0(store_watch_t, 1);

	sync->options = *options;
	sync->revisions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sync->last_response_ms = clock_boot_ms();
	sync->change_log = relay_log_new();
	uv_timer_init(loop, &sync->timer);
	sync->timer.data = sync;
	start_next_call(sync);
	return sync;
}

int64_t
store_watch_confirmed_ms(const store_watch_t *sync)
{
	return sync->confirmed_ms;
}

bool
store_watch_is_unstable(const store_watch_t *sync)
{
	return sync->unavailable ||
	       (sync->recovered_ms != 0 &&
		   clock_boot_ms() - sync->recovered_ms < RECOVERY_MS);
}

void
store_watch_refresh(store_watch_t *sync)
{
	sync->refresh_pending = true;
}

void
store_watch_set_follower(store_watch_t *sync, bool follow)
{
	sync->follower = follow;
}

bool
store_watch_next_request(store_watch_t *sync, relay_request_t *question)
{
	int64_t now_ms = clock_boot_ms();

	if (!sync->follower || !sync->list_complete ||
	    now_ms - sync->last_request_ms < REQUEST_INTERVAL_MS)
		return false;
	sync->last_request_ms = now_ms;
	question->after_revision = sync->revision;
	question->sent_ms = now_ms;
	return true;
}

void
store_watch_apply_response(store_watch_t *sync, const relay_response_t *answer)
{
	int64_t now_ms = clock_boot_ms();
	int64_t proved_ms;

	if (!sync->follower || !sync->list_complete ||
	    sync->listed_keys != NULL)
		return;
	if (answer->changes_missing) {
		/* One watch of its own brings all at once. */
		sync->changes_missing = true;
		return;
	}
	if (answer->store_unstable)
		sync->recovered_ms = now_ms;
	apply_items(sync, answer->items, answer->count);
	sync->revision = MAX(sync->revision, answer->revision);
	proved_ms = answer->request_sent_ms - answer->confirmation_age_ms;
	if (answer->confirmation_age_ms < 0 ||
	    !relay_is_current(now_ms - proved_ms, watch_ms(sync)))
		return;
	sync->confirmed_ms = MAX(sync->confirmed_ms, proved_ms);
	mark_available(sync);
	sync->options.on_confirmed(sync->options.data);
}

void
store_watch_encode_response(
    const store_watch_t *sync, const relay_request_t *question, GByteArray *out)
{
	int64_t now_ms = clock_boot_ms();
	relay_state_t state = {
	    .revision = sync->revision,
	    .confirmation_age_ms =
		sync->confirmed_ms == 0 ? -1 : now_ms - sync->confirmed_ms,
	    .store_unstable = store_watch_is_unstable(sync),
	};

	relay_encode_response(sync->change_log, question, &state, out);
}
