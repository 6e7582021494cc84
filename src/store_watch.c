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
	/*
	 * After the store has discarded its history a follower waits for its
	 * relays: they notice it at their next retry and list the keys, and
	 * two requests bring what the list has shown.
	 */
	RELAY_LIST_MS = RETRY_MAX_MS + RETRY_MIN_MS,
	RELAY_LIST_REQUESTS = 2,
	/* A relay that does not respond to this many requests is not waited
	 * for. */
	UNANSWERED_REQUESTS_MAX = 4,
	/* Entries removed in an outage may reappear this long after its end. */
	RECOVERY_MS = 2500,
};

static const char all_keys[] = "";

/* A watch confirms the copy after this share of max_staleness_ms at most. */
static const double watch_staleness_share = 0.3;
/* The same in a fleet with relays, whose confirmations are passed on. */
static const double relay_watch_staleness_share = 0.11;
/*
 * Limit of the random delay of followers, as a share of max_staleness_ms. With
 * the time after which relays count as lost (0.44) it ends before a node
 * reports that it is not ready (0.75).
 */
static const double spread_staleness_share = 0.2;

struct store_watch {
	store_watch_options_t options;
	uv_timer_t timer;
	GHashTable *revisions;	 /* key to its last revision (int64_t *) */
	GHashTable *listed_keys; /* keys of the list in progress; NULL: none */
	/* platform_item_t, owned: what that list has shown to be new */
	GArray *list_changes;
	/* Last key of the previous page of the list; NULL: first page. */
	char *last_page_key;
	int64_t list_revision; /* lowest store revision of the pages */
	int64_t list_started_ms;
	bool list_is_refresh;	 /* as a change may have been missed */
	int64_t revision;	 /* all changes up to it are applied */
	int64_t newest_revision; /* of a key in the copy; may be later */
	int64_t revision_changed_ms;
	int64_t call_sent_ms;  /* start of the call in progress */
	int64_t call_revision; /* after which the call watches */
	bool call_in_progress;
	int64_t confirmed_ms;
	int64_t last_response_ms; /* of the store, or a relay's confirmation */
	int64_t recovered_ms;	  /* last end of an outage here or at a relay */
	int64_t last_refresh_ms;
	unsigned failures; /* consecutive */
	bool list_complete;
	bool unavailable;
	bool refresh_pending;
	relay_log_t *change_log;      /* for followers of this node */
	int64_t relay_interval_ms;    /* 0: this node does not follow relays */
	int64_t last_request_ms;      /* to a relay */
	unsigned unanswered_requests; /* to relays, consecutive */
	int64_t spread_ms; /* of the followers' own calls to the store */
	/* When a follower calls the store itself; 0: not planned. */
	int64_t own_call_due_ms;
	int64_t min_interval_ms; /* between watches */
	bool has_followers;	 /* one has sent a request */
	bool listed_once;	 /* a list has been completed since the start */
	/* In a relay's response; cleared by a watch or a complete response. */
	bool changes_missing;
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
	watch->newest_revision = MAX(watch->newest_revision, revision);
	return true;
}

static void
raise_revision(store_watch_t *watch, int64_t revision)
{
	if (revision <= watch->revision)
		return;
	watch->revision = revision;
	watch->revision_changed_ms = clock_boot_ms();
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
apply_put(store_watch_t *watch, const platform_item_t *item)
{
	if (record_revision(watch, item->key, item->revision))
		watch->options.on_put(item, watch->options.data);
}

/* Applies changes of a watch or a relay, which may repeat some. */
static void
apply_changes(store_watch_t *watch, const platform_item_t *items, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const platform_item_t *item = &items[i];

		if (item->revision <= watch->revision)
			continue;
		if (item->removed)
			remove_key(watch, item->key, item->revision);
		else
			apply_put(watch, item);
	}
}

/* Adds changes to the log for followers, before they are applied. */
static void
log_changes(store_watch_t *watch, const platform_item_t *items, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (items[i].revision > watch->revision)
			relay_log_add(watch->change_log, &items[i]);
}

static void
clear_item(void *data)
{
	platform_item_t *item = data;

	g_free((char *)item->key);
	g_free((char *)item->value);
}

static void
start_list(store_watch_t *watch, int64_t now_ms)
{
	watch->listed_keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	watch->list_changes =
	    g_array_new(FALSE, FALSE, sizeof(platform_item_t));
	g_array_set_clear_func(watch->list_changes, clear_item);
	watch->list_started_ms = now_ms;
}

static void
end_list(store_watch_t *watch)
{
	g_clear_pointer(&watch->listed_keys, g_hash_table_unref);
	g_clear_pointer(&watch->list_changes, g_array_unref);
	g_clear_pointer(&watch->last_page_key, g_free);
	watch->list_is_refresh = false;
	watch->list_complete = true;
}

static void
add_list_change(store_watch_t *watch, const platform_item_t *item)
{
	platform_item_t copy = *item;

	copy.key = g_strdup(item->key);
	if (item->value != NULL)
		copy.value = g_memdup2(item->value, item->length + 1);
	g_array_append_val(watch->list_changes, copy);
}

static void
apply_page(store_watch_t *watch, const platform_item_t *items, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const platform_item_t *item = &items[i];

		/*
		 * Also where the copy has it from an earlier list, which was
		 * not finished or whose log entry was older.
		 */
		if (watch->listed_once && item->revision > watch->revision)
			add_list_change(watch, item);
		apply_put(watch, item);
		g_hash_table_add(watch->listed_keys, g_strdup(item->key));
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

static bool is_following(const store_watch_t *watch);
static void wait_for_relay(store_watch_t *watch, int64_t delay_ms);

static void
retry_later(store_watch_t *watch, platform_status_t status)
{
	bool following = is_following(watch);
	int64_t delay_max_ms = following ? FOLLOWER_RETRY_MAX_MS : RETRY_MAX_MS;
	int64_t delay_ms =
	    MIN(RETRY_MIN_MS << MIN(watch->failures, 5u), delay_max_ms);

	watch->failures++;
	if (!watch->unavailable &&
	    clock_boot_ms() - watch->last_response_ms > UNAVAILABLE_AFTER_MS) {
		watch->unavailable = true;
		log_event(LOG_LEVEL_WARN, "store.lost", "status=%d failures=%u",
		    (int)status, watch->failures);
	}
	if (following)
		wait_for_relay(watch, delay_ms);
	else
		uv_timer_start(&watch->timer, on_retry,
		    (uint64_t)(delay_ms + g_random_int_range(0, RETRY_MIN_MS)),
		    0);
}

/* Removes the keys that the list does not have; returns their number. */
static unsigned
remove_unlisted_keys(store_watch_t *watch)
{
	GHashTableIter iter;
	gpointer key;
	unsigned removed = 0;

	g_hash_table_iter_init(&iter, watch->revisions);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		platform_item_t item = {.key = key,
		    .revision = watch->list_revision,
		    .removed = true};

		if (g_hash_table_contains(watch->listed_keys, key))
			continue;
		add_list_change(watch, &item);
		watch->options.on_removed(key, watch->options.data);
		g_hash_table_iter_remove(&iter);
		removed++;
	}
	return removed;
}

/* Passes what the list has shown to followers, before it moves the revision. */
static void
log_list(store_watch_t *watch, unsigned removed)
{
	const GArray *changes = watch->list_changes;

	if (!watch->listed_once)
		relay_log_reset(watch->change_log, watch->list_revision);
	else if (watch->list_revision > watch->revision)
		relay_log_add_list(watch->change_log, watch->revision,
		    watch->list_revision,
		    (const platform_item_t *)(const void *)changes->data,
		    changes->len);
	else if (removed > 0)
		/*
		 * Removed after the first page: a follower at this revision
		 * still has the keys.
		 */
		relay_log_reset(watch->change_log, watch->revision + 1);
}

static void
finish_list(store_watch_t *watch)
{
	unsigned removed = remove_unlisted_keys(watch);

	log_list(watch, removed);
	raise_revision(watch, watch->list_revision);
	end_list(watch);
	watch->options.on_list_complete(watch->options.data);
	if (watch->listed_once) {
		watch->confirmed_ms =
		    MAX(watch->confirmed_ms, watch->list_started_ms);
		watch->options.on_confirmed(watch->options.data);
	}
	watch->changes_missing = false;
	watch->listed_once = true;
}

static void
on_list_page(const platform_result_t *result, void *data)
{
	store_watch_t *watch = data;

	watch->call_in_progress = false;
	if (result->status != PLATFORM_OK) {
		/* The next call requests the same page. */
		retry_later(watch, result->status);
		return;
	}
	mark_available(watch);
	if (watch->listed_keys == NULL) {
		/* A relay has brought the changes meanwhile. */
		wait_for_relay(watch, 0);
		return;
	}
	if (watch->last_page_key == NULL)
		watch->list_revision = result->revision;
	watch->list_revision = MIN(watch->list_revision, result->revision);
	apply_page(watch, result->items, result->count);
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

/* True where relays can keep the copy current. */
static bool
is_following(const store_watch_t *watch)
{
	return watch->relay_interval_ms > 0 && watch->listed_once;
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

/* A different delay for each follower of the fleet. */
static int64_t
random_delay_ms(const store_watch_t *watch)
{
	int64_t max_ms = MIN(watch->spread_ms,
	    (int64_t)(spread_staleness_share *
		      (double)watch->options.max_staleness_ms));

	return g_random_int_range(0, (gint32)MAX(max_ms, 1));
}

static void
on_relay_check(uv_timer_t *timer)
{
	store_watch_t *watch = timer->data;
	int64_t now_ms = clock_boot_ms();

	if (is_kept_current_by_relay(watch)) {
		watch->own_call_due_ms = 0;
		return;
	}
	if (watch->own_call_due_ms == 0)
		watch->own_call_due_ms = now_ms + random_delay_ms(watch);
	if (is_following(watch) && now_ms < watch->own_call_due_ms)
		return;
	uv_timer_stop(timer);
	start_next_call(watch);
}

static void
start_relay_check(store_watch_t *watch)
{
	watch->own_call_due_ms = 0;
	uv_timer_start(
	    &watch->timer, on_relay_check, RELAY_CHECK_MS, RELAY_CHECK_MS);
}

/*
 * Leaves it to the relays to bring the copy up to date; calls the store after
 * the delay and a random one if they have not.
 */
static void
wait_for_relay(store_watch_t *watch, int64_t delay_ms)
{
	start_relay_check(watch);
	watch->own_call_due_ms =
	    clock_boot_ms() + delay_ms + random_delay_ms(watch);
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

/* Time for which relays may still bring what they have listed. */
static int64_t
relay_list_delay_ms(const store_watch_t *watch)
{
	if (watch->changes_missing ||
	    watch->unanswered_requests >= UNANSWERED_REQUESTS_MAX)
		return 0;
	return RELAY_LIST_MS + RELAY_LIST_REQUESTS * watch->relay_interval_ms;
}

/* The store has discarded the changes after the revision of the watch. */
static void
handle_compaction(store_watch_t *watch)
{
	mark_available(watch);
	if (watch->revision > watch->call_revision) {
		/* A relay has brought later ones meanwhile. */
		wait_for_relay(watch, 0);
		return;
	}
	watch->list_complete = false;
	if (is_following(watch))
		wait_for_relay(watch, relay_list_delay_ms(watch));
	else
		start_next_call(watch);
}

static void
on_watch_result(const platform_result_t *result, void *data)
{
	store_watch_t *watch = data;

	watch->call_in_progress = false;
	if (result->status == PLATFORM_COMPACTED) {
		handle_compaction(watch);
		return;
	}
	if (result->status != PLATFORM_OK) {
		retry_later(watch, result->status);
		return;
	}
	mark_available(watch);
	log_changes(watch, result->items, result->count);
	apply_changes(watch, result->items, result->count);
	raise_revision(watch, result->revision);
	watch->confirmed_ms = MAX(watch->confirmed_ms, watch->call_sent_ms);
	watch->changes_missing = false;
	watch->options.on_confirmed(watch->options.data);
	if (is_kept_current_by_relay(watch))
		start_relay_check(watch);
	else
		start_call_after_interval(watch);
}

/* A short watch confirms the copy at once where its proof is missing or old. */
static bool
needs_confirmation(const store_watch_t *watch, int64_t now_ms)
{
	return watch->failures > 0 || watch->confirmed_ms == 0 ||
	       now_ms - watch->confirmed_ms > 2 * watch_ms(watch);
}

/* Starts the next watch, or the next page of a list. */
static void
start_next_call(store_watch_t *watch)
{
	int64_t now_ms = clock_boot_ms();

	watch->call_sent_ms = now_ms;
	watch->call_in_progress = true;
	if (watch->refresh_pending &&
	    now_ms - watch->last_refresh_ms > REFRESH_INTERVAL_MS) {
		watch->refresh_pending = false;
		watch->last_refresh_ms = now_ms;
		watch->list_complete = false;
		watch->list_is_refresh = true;
	}
	if (watch->list_complete) {
		int64_t wait_ms = needs_confirmation(watch, now_ms)
				      ? CONFIRM_WATCH_MS
				      : watch_ms(watch);

		watch->call_revision = watch->revision;
		platform_store_watch(watch->options.store, all_keys,
		    watch->revision, wait_ms, on_watch_result, watch);
		return;
	}
	if (watch->listed_keys == NULL)
		start_list(watch, now_ms);
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
store_watch_set_spread(store_watch_t *watch, int64_t spread_ms)
{
	watch->spread_ms = spread_ms;
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

	if (!is_following(watch) ||
	    now_ms - watch->last_request_ms < watch->relay_interval_ms)
		return false;
	watch->last_request_ms = now_ms;
	watch->unanswered_requests++;
	request->after_revision = watch->revision;
	request->sent_ms = now_ms;
	return true;
}

/* Time at which the relay's copy was current, by this node's clock; 0: none. */
static int64_t
relayed_confirmation_ms(
    const store_watch_t *watch, const relay_response_t *response)
{
	int64_t confirmed_ms =
	    response->request_sent_ms - response->confirmation_age_ms;
	int64_t age_ms = clock_boot_ms() - confirmed_ms;

	return response->confirmation_age_ms >= 0 &&
		       relay_is_current(age_ms, relay_watch_ms(watch))
		   ? confirmed_ms
		   : 0;
}

/*
 * Changes that a list has shown lack the removal of keys that only this copy
 * has, so they apply to the copy as it was at the request only.
 */
static bool
is_late_list(const store_watch_t *watch, const relay_response_t *response)
{
	return response->listed &&
	       response->request_sent_ms <= watch->revision_changed_ms;
}

/* Whether a watch of the store, which returns all changes, is needed. */
static bool
is_incomplete(const store_watch_t *watch, const relay_response_t *response)
{
	return response->changes_missing ||
	       (response->listed && watch->newest_revision > watch->revision);
}

/*
 * Whether a response may be applied while this node lists the keys itself: only
 * where it makes the list unnecessary, as an earlier page could undo it. A
 * refresh is given up where its list fails, and started anew later.
 */
static bool
can_replace_list(const store_watch_t *watch, int64_t confirmed_ms)
{
	if (watch->list_is_refresh && watch->call_in_progress)
		return false;
	return confirmed_ms != 0;
}

static void
apply_response_changes(store_watch_t *watch, const relay_response_t *response)
{
	if (response->listed)
		relay_log_add_list(watch->change_log, watch->revision,
		    response->revision, response->items, response->count);
	else
		log_changes(watch, response->items, response->count);
	apply_changes(watch, response->items, response->count);
	if (response->revision <= watch->revision)
		return;
	raise_revision(watch, response->revision);
	/* The store may have the changes after this revision. */
	watch->list_complete = true;
}

void
store_watch_apply_response(
    store_watch_t *watch, const relay_response_t *response)
{
	int64_t confirmed_ms = relayed_confirmation_ms(watch, response);

	watch->unanswered_requests = 0;
	if (!is_following(watch) || is_late_list(watch, response))
		return;
	if (is_incomplete(watch, response)) {
		watch->changes_missing = true;
		return;
	}
	if (watch->listed_keys != NULL) {
		if (!can_replace_list(watch, confirmed_ms))
			return;
		watch->refresh_pending |= watch->list_is_refresh;
		end_list(watch);
	}
	if (response->store_unstable)
		watch->recovered_ms = clock_boot_ms();
	apply_response_changes(watch, response);
	if (confirmed_ms == 0)
		return;
	watch->list_complete = true;
	watch->changes_missing = false;
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
	    .store_lost = watch->unavailable,
	};

	watch->has_followers = true;
	relay_encode_response(watch->change_log, request, &state, out);
}
