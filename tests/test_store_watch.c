#include "clock.h"
#include "store_watch.h"
#include "suite.h"

#include <check.h>
#include <string.h>

/*
 * Relays and followers after the store has discarded its history, without a
 * network: the store's client is replaced by the functions below, which keep
 * the call until the test serves it.
 */

enum {
	RELAY_INTERVAL_MS = 20,
	/* Relays count as lost 1.76 s after their confirmation. */
	MAX_STALENESS_MS = 4000,
	RELAYS_LOST_MS = 1760,
	SPREAD_MS = 800,
	/* Above the delays of a follower that recovers by itself. */
	RECOVERY_MAX_MS = 2 * RELAY_INTERVAL_MS + SPREAD_MS + 1000,
	SLOT_MS = 100,
	FOLLOWERS = 20,
	KEYS_MAX = 32,
};

typedef enum call_kind { CALL_NONE, CALL_LIST, CALL_WATCH } call_kind_t;

/* The store as one node sees it. */
struct platform_store {
	call_kind_t pending;
	char *after_key;
	int64_t after_revision;
	unsigned lists;
	platform_callback_t callback;
	void *data;
};

typedef struct node {
	platform_store_t store;
	store_watch_t *watch;
	GHashTable *copy; /* key to value */
} node_t;

/* Keys of the store, in order. */
static platform_item_t keys[KEYS_MAX];
static size_t key_count;
static int64_t store_revision;
static int64_t compacted_revision;
static size_t page_size;

void
platform_store_list(platform_store_t *store, const char *prefix,
    const char *after_key, bool may_be_stale, platform_callback_t callback,
    void *data)
{
	ck_assert_int_eq(store->pending, CALL_NONE);
	store->pending = CALL_LIST;
	g_free(store->after_key);
	store->after_key = g_strdup(after_key);
	store->lists++;
	store->callback = callback;
	store->data = data;
}

void
platform_store_watch(platform_store_t *store, const char *prefix,
    int64_t revision, int64_t wait_ms, platform_callback_t callback, void *data)
{
	ck_assert_int_eq(store->pending, CALL_NONE);
	store->pending = CALL_WATCH;
	store->after_revision = revision;
	store->callback = callback;
	store->data = data;
}

/* Writes a key; NULL: removes it. */
static void
store_put(const char *key, const char *value)
{
	size_t i = 0;

	while (i < key_count && strcmp(keys[i].key, key) < 0)
		i++;
	if (i == key_count || strcmp(keys[i].key, key) != 0) {
		ck_assert_uint_lt(key_count, KEYS_MAX);
		memmove(
		    &keys[i + 1], &keys[i], (key_count - i) * sizeof(keys[0]));
		key_count++;
	}
	keys[i] = (platform_item_t){.key = key,
	    .value = value,
	    .length = value == NULL ? 0 : strlen(value),
	    .revision = ++store_revision,
	    .removed = value == NULL};
}

static void
complete(node_t *node, const platform_result_t *result)
{
	node->store.pending = CALL_NONE;
	node->store.callback(result, node->store.data);
}

static void
fail_call(node_t *node, platform_status_t status)
{
	ck_assert_int_ne(node->store.pending, CALL_NONE);
	complete(node, &(platform_result_t){.status = status});
}

static void
serve_list(node_t *node)
{
	platform_item_t page[KEYS_MAX];
	const char *after = node->store.after_key;
	platform_result_t result = {.items = page, .revision = store_revision};

	for (size_t i = 0; i < key_count; i++) {
		if (keys[i].removed ||
		    (after != NULL && strcmp(keys[i].key, after) <= 0))
			continue;
		result.has_more = result.count == page_size;
		if (result.has_more)
			break;
		page[result.count++] = keys[i];
	}
	complete(node, &result);
}

static void
serve_watch(node_t *node)
{
	platform_item_t events[KEYS_MAX];
	platform_result_t result = {
	    .items = events, .revision = store_revision};

	if (node->store.after_revision < compacted_revision) {
		fail_call(node, PLATFORM_COMPACTED);
		return;
	}
	for (size_t i = 0; i < key_count; i++)
		if (keys[i].revision > node->store.after_revision)
			events[result.count++] = keys[i];
	complete(node, &result);
}

static void
serve(node_t *node)
{
	ck_assert_int_ne(node->store.pending, CALL_NONE);
	if (node->store.pending == CALL_LIST)
		serve_list(node);
	else
		serve_watch(node);
}

static void
on_put(const platform_item_t *item, void *data)
{
	node_t *node = data;

	g_hash_table_insert(node->copy, g_strdup(item->key),
	    g_strndup(item->value, item->length));
}

static void
on_removed(const char *key, void *data)
{
	node_t *node = data;

	g_hash_table_remove(node->copy, key);
}

static void
on_event(void *data)
{
}

/* Starts a node that has listed the keys and confirmed its copy. */
static node_t *
node_start(bool follower)
{
	node_t *node = g_new0(node_t, 1);
	store_watch_options_t options = {.store = &node->store,
	    .max_staleness_ms = MAX_STALENESS_MS,
	    .on_put = on_put,
	    .on_removed = on_removed,
	    .on_list_complete = on_event,
	    .on_confirmed = on_event,
	    .data = node};

	node->copy =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->watch = store_watch_start(uv_default_loop(), &options);
	store_watch_set_spread(node->watch, SPREAD_MS);
	if (follower)
		store_watch_set_relay_interval(node->watch, RELAY_INTERVAL_MS);
	while (node->store.pending == CALL_LIST)
		serve(node);
	serve(node); /* the watch that confirms the copy */
	return node;
}

static void
on_timeout(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

static void
run_ms(uint64_t duration_ms)
{
	uv_timer_t timer;

	uv_timer_init(uv_default_loop(), &timer);
	uv_timer_start(&timer, on_timeout, duration_ms, 0);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(uv_default_loop(), UV_RUN_NOWAIT);
}

/* Runs until the node calls the store; returns whether it did in time. */
static bool
wait_for_call(const node_t *node, int64_t timeout_ms)
{
	int64_t deadline_ms = clock_boot_ms() + timeout_ms;

	while (
	    node->store.pending == CALL_NONE && clock_boot_ms() < deadline_ms)
		run_ms(10);
	return node->store.pending != CALL_NONE;
}

/* Sends the follower's request to the relay, and the response back. */
static void
follow(node_t *relay, node_t *follower)
{
	GByteArray *bytes = g_byte_array_new();
	relay_message_t message;
	relay_request_t request;

	run_ms(2 * RELAY_INTERVAL_MS);
	ck_assert(store_watch_next_request(follower->watch, &request));
	store_watch_encode_response(relay->watch, &request, NULL, bytes);
	relay_decode((const char *)bytes->data, bytes->len, &message);
	ck_assert_int_eq(message.kind, RELAY_RESPONSE);
	store_watch_apply_response(follower->watch, &message.response);
	relay_message_clear(&message);
	g_byte_array_unref(bytes);
}

/* Checks that a node's copy has the store's keys and values, and no others. */
static void
expect_current(const node_t *node)
{
	guint present = 0;

	for (size_t i = 0; i < key_count; i++) {
		const char *value =
		    g_hash_table_lookup(node->copy, keys[i].key);

		ck_assert_msg(g_strcmp0(value, keys[i].value) == 0,
		    "key %s is %s", keys[i].key, value);
		present += keys[i].removed ? 0 : 1;
	}
	ck_assert_uint_eq(g_hash_table_size(node->copy), present);
}

static void
setup(void)
{
	key_count = 0;
	store_revision = 0;
	compacted_revision = 0;
	page_size = KEYS_MAX;
	store_put("a", "1");
	store_put("b", "1");
	store_put("c", "1");
}

/* Changes while the store is quiet, after which it discards its history. */
static void
change_and_compact(void)
{
	store_put("b", NULL);
	store_put("d", "1");
	store_put("short-lived", "1");
	store_put("short-lived", NULL);
	store_put("a", "2");
	compacted_revision = store_revision;
}

/* Guards against a fleet whose followers all list the keys themselves. */
START_TEST(list_of_a_relay_reaches_its_followers)
{
	node_t *relay = node_start(false), *follower = node_start(true);

	change_and_compact();
	serve(relay); /* 410 */
	ck_assert_int_eq(relay->store.pending, CALL_LIST);
	serve(relay);
	follow(relay, follower);
	expect_current(follower);
	/* What the relay watches afterwards arrives too. */
	store_put("e", "1");
	serve(relay);
	follow(relay, follower);
	expect_current(follower);
	ck_assert_uint_eq(follower->store.lists, 1);
}
END_TEST

/*
 * Guards against a key that only the follower knows and that no list of the
 * relay can show as removed.
 */
START_TEST(follower_ahead_of_the_relay_is_not_confirmed_by_its_list)
{
	node_t *relay = node_start(false), *follower;
	int64_t confirmed_ms;

	store_put("short-lived", "1");
	follower = node_start(true);
	confirmed_ms = store_watch_confirmed_ms(follower->watch);
	store_put("short-lived", NULL);
	compacted_revision = store_revision - 1;
	serve(relay); /* 410 */
	serve(relay);
	follow(relay, follower);
	ck_assert_int_eq(
	    store_watch_confirmed_ms(follower->watch), confirmed_ms);
	ck_assert(wait_for_call(follower, RECOVERY_MAX_MS));
	serve(follower);
	expect_current(follower);
}
END_TEST

/*
 * Guards against a confirmation that is newer than what the follower got: a key
 * was written before the list and again between its pages.
 */
START_TEST(key_that_changes_between_pages_reaches_followers)
{
	node_t *relay, *follower;

	store_put("z", "1");
	relay = node_start(false);
	follower = node_start(true);
	store_put("z", "2");
	compacted_revision = store_revision;
	page_size = 2;
	serve(relay); /* 410 */
	serve(relay);
	store_put("z", "3");
	while (relay->store.pending == CALL_LIST)
		serve(relay);
	follow(relay, follower);
	expect_current(follower);
}
END_TEST

/* Guards against a follower that stops to ask its relay, or lists at once. */
START_TEST(follower_without_history_waits_for_its_relay)
{
	node_t *relay = node_start(false), *follower = node_start(true);

	change_and_compact();
	run_ms(RELAYS_LOST_MS);
	ck_assert(wait_for_call(follower, RECOVERY_MAX_MS));
	serve(follower); /* 410 */
	ck_assert_int_eq(follower->store.pending, CALL_NONE);
	serve(relay); /* 410 */
	serve(relay);
	follow(relay, follower);
	expect_current(follower);
	ck_assert(!wait_for_call(follower, RECOVERY_MAX_MS));
	ck_assert_uint_eq(follower->store.lists, 1);
}
END_TEST

/* Guards against a follower that waits for ever for relays that are lost. */
START_TEST(follower_recovers_without_relays)
{
	node_t *follower = node_start(true);

	change_and_compact();
	ck_assert(wait_for_call(follower, RELAYS_LOST_MS + RECOVERY_MAX_MS));
	serve(follower); /* 410 */
	ck_assert(wait_for_call(follower, RECOVERY_MAX_MS));
	ck_assert_int_eq(follower->store.pending, CALL_LIST);
	serve(follower);
	expect_current(follower);
}
END_TEST

/*
 * Guards against a page that undoes a later change: the relay's response
 * arrives while the follower lists the keys.
 */
START_TEST(page_of_an_abandoned_list_is_ignored)
{
	node_t *relay = node_start(false), *follower = node_start(true);

	change_and_compact();
	ck_assert(wait_for_call(follower, RELAYS_LOST_MS + RECOVERY_MAX_MS));
	serve(follower); /* 410 */
	ck_assert(wait_for_call(follower, RECOVERY_MAX_MS));
	serve(relay); /* 410 */
	serve(relay);
	follow(relay, follower);
	expect_current(follower);
	keys[key_count - 1].removed = false; /* a page from before */
	keys[key_count - 1].value = "1";
	serve(follower);
	keys[key_count - 1].removed = true;
	keys[key_count - 1].value = NULL;
	expect_current(follower);
}
END_TEST

/* Guards against a list that never ends where each call may fail. */
START_TEST(list_goes_on_at_the_page_that_failed)
{
	node_t *node = node_start(false);

	change_and_compact();
	page_size = 1;
	serve(node); /* 410 */
	serve(node);
	for (int failures = 0; failures < 3; failures++) {
		ck_assert_str_eq(node->store.after_key, "a");
		fail_call(node, PLATFORM_NOT_SENT);
		ck_assert(wait_for_call(node, 1000));
	}
	while (node->store.pending == CALL_LIST)
		serve(node);
	expect_current(node);
}
END_TEST

/* Guards against all followers of a fleet that call the store at once. */
START_TEST(followers_turn_to_the_store_one_after_the_other)
{
	node_t *followers[FOLLOWERS];
	unsigned called = 0;

	for (int i = 0; i < FOLLOWERS; i++)
		followers[i] = node_start(true);
	for (int64_t at = 0; at < RELAYS_LOST_MS + RECOVERY_MAX_MS;
	     at += SLOT_MS) {
		unsigned before = called;

		run_ms(SLOT_MS);
		called = 0;
		for (int i = 0; i < FOLLOWERS; i++)
			if (followers[i]->store.pending != CALL_NONE)
				called++;
		ck_assert_uint_lt(called - before, FOLLOWERS / 2 + 2);
	}
	ck_assert_uint_eq(called, FOLLOWERS);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("store_watch");
	TCase *cases = tcase_create("store_watch");

	tcase_set_timeout(cases, 30);
	tcase_add_checked_fixture(cases, setup, NULL);
	tcase_add_test(cases, list_of_a_relay_reaches_its_followers);
	tcase_add_test(
	    cases, follower_ahead_of_the_relay_is_not_confirmed_by_its_list);
	tcase_add_test(cases, key_that_changes_between_pages_reaches_followers);
	tcase_add_test(cases, follower_without_history_waits_for_its_relay);
	tcase_add_test(cases, follower_recovers_without_relays);
	tcase_add_test(cases, page_of_an_abandoned_list_is_ignored);
	tcase_add_test(cases, list_goes_on_at_the_page_that_failed);
	tcase_add_test(cases, followers_turn_to_the_store_one_after_the_other);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
