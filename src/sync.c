#include "sync.h"

#include "clock.h"
#include "log.h"

enum {
	/* Each watch ends after so long at most, which bounds a proof's age. */
	WATCH_MAX_MS = 1200,
	RETRY_MIN_MS = 60,
	RETRY_MAX_MS = 400,
	/* The store counts as away after failing for so long. */
	AWAY_MS = 300,
	REFRESH_PAUSE_MS = 300,
	/* Between two questions of a follower. */
	ASK_MS = 200,
	CHECK_MS = 100,
	/* After the store was away, its entries may still come back. */
	SETTLE_MS = 2500,
};

static const char all_keys[] = "";

/* A watch ends, and gives a new proof, after this share of a proof's use. */
static const double watch_share = 0.3;

struct sync {
	sync_options_t options;
	uv_timer_t timer;
	GHashTable *known;  /* key to revision (int64_t *) */
	GHashTable *listed; /* keys of the list in progress; NULL: none */
	char *page;	    /* last key of the page before; NULL: first page */
	int64_t list_revision; /* of the first page */
	int64_t list_sent_ms;
	int64_t revision; /* up to which changes are known */
	int64_t sent_ms;  /* of the call in progress */
	int64_t confirmed_ms;
	int64_t answered_ms; /* last answer of the store */
	int64_t regained_ms;
	int64_t refreshed_ms;
	unsigned failures;
	bool has_list;
	bool away;
	bool refresh;
	relay_log_t *log; /* for nodes that follow this one */
	bool follow;
	int64_t asked_ms; /* last question */
	bool gap;	  /* the last answer lacked changes */
};

static void step(sync_t *sync);

/* True where the revision is newer than what is known of the key. */
static bool
remember(sync_t *sync, const char *key, int64_t revision)
{
	int64_t *known = g_hash_table_lookup(sync->known, key);

	if (known != NULL && *known >= revision)
		return false;
	if (known == NULL) {
		known = g_new(int64_t, 1);
		g_hash_table_insert(sync->known, g_strdup(key), known);
	}
	*known = revision;
	return true;
}

static void
forget(sync_t *sync, const char *key, int64_t revision)
{
	int64_t *known = g_hash_table_lookup(sync->known, key);

	if (known == NULL || *known >= revision)
		return;
	sync->options.on_removed(key, sync->options.data);
	g_hash_table_remove(sync->known, key);
}

static void
take_items(sync_t *sync, const platform_item_t *items, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const platform_item_t *item = &items[i];

		/* A watch and an answer may overlap. */
		if (sync->listed == NULL && item->revision <= sync->revision)
			continue;
		if (sync->listed == NULL)
			relay_log_add(sync->log, item);
		if (item->removed)
			forget(sync, item->key, item->revision);
		else if (remember(sync, item->key, item->revision))
			sync->options.on_put(item, sync->options.data);
		if (sync->listed != NULL)
			g_hash_table_add(sync->listed, g_strdup(item->key));
	}
}

static void
note_answer(sync_t *sync)
{
	int64_t now_ms = clock_boot_ms();

	sync->failures = 0;
	sync->answered_ms = now_ms;
	if (!sync->away)
		return;
	sync->away = false;
	sync->regained_ms = now_ms;
	log_event(LOG_LEVEL_INFO, "store.regained",
	    "revision=%" G_GINT64_FORMAT, sync->revision);
}

static void
on_retry(uv_timer_t *timer)
{
	step(timer->data);
}

static void
fail(sync_t *sync, platform_status_t status)
{
	int64_t wait_ms =
	    MIN(RETRY_MIN_MS << MIN(sync->failures, 4u), RETRY_MAX_MS);

	sync->failures++;
	if (!sync->away && clock_boot_ms() - sync->answered_ms > AWAY_MS) {
		sync->away = true;
		log_event(LOG_LEVEL_WARN, "store.lost", "status=%d failures=%u",
		    (int)status, sync->failures);
	}
	uv_timer_start(&sync->timer, on_retry,
	    (uint64_t)(wait_ms + g_random_int_range(0, RETRY_MIN_MS)), 0);
}

static void
end_list(sync_t *sync)
{
	GHashTable *listed = sync->listed;
	GHashTableIter iter;
	gpointer key;

	sync->listed = NULL;
	g_hash_table_iter_init(&iter, sync->known);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (g_hash_table_contains(listed, key))
			continue;
		sync->options.on_removed(key, sync->options.data);
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_unref(listed);
	g_clear_pointer(&sync->page, g_free);
	sync->revision = MAX(sync->revision, sync->list_revision);
	sync->confirmed_ms = sync->list_sent_ms;
	relay_log_reset(sync->log, sync->revision);
	sync->has_list = true;
	sync->options.on_listed(sync->options.data);
	sync->options.on_confirmed(sync->options.data);
}

static void
drop_list(sync_t *sync)
{
	g_clear_pointer(&sync->listed, g_hash_table_unref);
	g_clear_pointer(&sync->page, g_free);
}

static void
on_page(const platform_result_t *result, void *data)
{
	sync_t *sync = data;

	if (result->status != PLATFORM_OK) {
		drop_list(sync);
		fail(sync, result->status);
		return;
	}
	note_answer(sync);
	if (sync->page == NULL)
		sync->list_revision = result->revision;
	take_items(sync, result->items, result->count);
	g_free(sync->page);
	sync->page = NULL;
	if (result->more && result->count > 0)
		sync->page = g_strdup(result->items[result->count - 1].key);
	else
		end_list(sync);
	step(sync);
}

static int64_t
watch_ms(const sync_t *sync)
{
	return MIN(WATCH_MAX_MS,
	    (int64_t)(watch_share * (double)sync->options.use_ms));
}

/* True where another node keeps the copy current. */
static bool
is_heard(const sync_t *sync)
{
	return sync->follow && sync->has_list && !sync->refresh && !sync->gap &&
	       relay_is_current(
		   clock_boot_ms() - sync->confirmed_ms, watch_ms(sync));
}

static void
on_check(uv_timer_t *timer)
{
	sync_t *sync = timer->data;

	if (is_heard(sync))
		return;
	uv_timer_stop(timer);
	step(sync);
}

static void
wait_for_answers(sync_t *sync)
{
	uv_timer_start(&sync->timer, on_check, CHECK_MS, CHECK_MS);
}

static void
on_watch(const platform_result_t *result, void *data)
{
	sync_t *sync = data;

	if (result->status == PLATFORM_COMPACTED) {
		note_answer(sync);
		sync->has_list = false;
		step(sync);
		return;
	}
	if (result->status != PLATFORM_OK) {
		fail(sync, result->status);
		return;
	}
	note_answer(sync);
	take_items(sync, result->items, result->count);
	sync->revision = MAX(sync->revision, result->revision);
	sync->confirmed_ms = MAX(sync->confirmed_ms, sync->sent_ms);
	sync->gap = false;
	sync->options.on_confirmed(sync->options.data);
	if (is_heard(sync))
		wait_for_answers(sync);
	else
		step(sync);
}

/* Makes the next call. */
static void
step(sync_t *sync)
{
	int64_t now_ms = clock_boot_ms();

	sync->sent_ms = now_ms;
	if (sync->refresh && now_ms - sync->refreshed_ms > REFRESH_PAUSE_MS) {
		sync->refresh = false;
		sync->refreshed_ms = now_ms;
		sync->has_list = false;
	}
	if (sync->has_list) {
		/* After a failure, prove quickly that the copy is current. */
		int64_t wait_ms = sync->failures > 0 ? 1 : watch_ms(sync);

		platform_store_watch(sync->options.store, all_keys,
		    sync->revision, wait_ms, on_watch, sync);
		return;
	}
	if (sync->listed == NULL) {
		sync->listed = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		sync->list_sent_ms = now_ms;
	}
	platform_store_list(
	    sync->options.store, all_keys, sync->page, on_page, sync);
}

sync_t *
sync_start(uv_loop_t *loop, const sync_options_t *options)
{
	sync_t *sync = g_new0(sync_t, 1);

	sync->options = *options;
	sync->known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sync->answered_ms = clock_boot_ms();
	sync->log = relay_log_new();
	uv_timer_init(loop, &sync->timer);
	sync->timer.data = sync;
	step(sync);
	return sync;
}

int64_t
sync_confirmed_ms(const sync_t *sync)
{
	return sync->confirmed_ms;
}

bool
sync_is_unsettled(const sync_t *sync)
{
	return sync->away ||
	       (sync->regained_ms != 0 &&
		   clock_boot_ms() - sync->regained_ms < SETTLE_MS);
}

void
sync_refresh(sync_t *sync)
{
	sync->refresh = true;
}

void
sync_follow(sync_t *sync, bool follow)
{
	sync->follow = follow;
}

bool
sync_question(sync_t *sync, relay_question_t *question)
{
	int64_t now_ms = clock_boot_ms();

	if (!sync->follow || !sync->has_list ||
	    now_ms - sync->asked_ms < ASK_MS)
		return false;
	sync->asked_ms = now_ms;
	question->since = sync->revision;
	question->sent_ms = now_ms;
	return true;
}

void
sync_take_answer(sync_t *sync, const relay_answer_t *answer)
{
	int64_t now_ms = clock_boot_ms();
	int64_t proved_ms;

	if (!sync->follow || !sync->has_list || sync->listed != NULL)
		return;
	if (answer->gap) {
		/* One watch of its own brings all at once. */
		sync->gap = true;
		return;
	}
	if (answer->unsettled)
		sync->regained_ms = now_ms;
	take_items(sync, answer->items, answer->count);
	sync->revision = MAX(sync->revision, answer->revision);
	proved_ms = answer->sent_ms - answer->age_ms;
	if (answer->age_ms < 0 ||
	    !relay_is_current(now_ms - proved_ms, watch_ms(sync)))
		return;
	sync->confirmed_ms = MAX(sync->confirmed_ms, proved_ms);
	note_answer(sync);
	sync->options.on_confirmed(sync->options.data);
}

void
sync_answer(
    const sync_t *sync, const relay_question_t *question, GByteArray *out)
{
	int64_t now_ms = clock_boot_ms();
	relay_state_t state = {
	    .revision = sync->revision,
	    .age_ms =
		sync->confirmed_ms == 0 ? -1 : now_ms - sync->confirmed_ms,
	    .unsettled = sync_is_unsettled(sync),
	};

	relay_encode_answer(sync->log, question, &state, out);
}
