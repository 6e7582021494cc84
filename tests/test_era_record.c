#include "clock.h"
#include "era_record.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* The store's era in the store, with a store and a lease of the test's own. */

enum {
	LEADER_REVISION = 70,
	LEASE_MS = 3000,
	/* A store that begins far up. */
	HIGH_ERA = (1 << 20) + 5,
};

struct platform_store {
	int64_t era;
	char *written; /* last record; NULL: none */
	unsigned writes;
	platform_callback_t callback; /* of a write that is not answered */
	void *data;
};

const char lease_leader_key[] = "papaya/leader";

static platform_store_t store;
static int64_t leader_revision, now_ms;
static era_record_t *record;

int64_t
clock_boot_ms(void)
{
	return now_ms;
}

int64_t
lease_leader_revision(const lease_t *lease)
{
	return leader_revision;
}

int64_t
platform_store_era(const platform_store_t *from)
{
	return from->era;
}

void
platform_store_commit(platform_store_t *to,
    const platform_condition_t *conditions, size_t condition_count,
    const platform_write_t *writes, size_t write_count,
    platform_callback_t callback, void *data)
{
	ck_assert_uint_eq(condition_count, 1);
	ck_assert_str_eq(conditions->key, lease_leader_key);
	ck_assert_int_eq(conditions->revision, LEADER_REVISION);
	ck_assert_uint_eq(write_count, 1);
	ck_assert_str_eq(writes->key, era_record_key);
	g_free(to->written);
	to->written = g_strndup(writes->value, writes->length);
	to->writes++;
	to->callback = callback;
	to->data = data;
}

static void
setup(void)
{
	store = (platform_store_t){0};
	leader_revision = 0;
	now_ms = 100000;
	record = era_record_new(
	    &(era_record_options_t){.store = &store, .lease_ms = LEASE_MS});
}

static void
teardown(void)
{
	g_free(store.written);
	suite_keep(record);
}

static const struct start {
	int64_t era;
	const char *recorded; /* NULL: no record */
	const char *node;     /* start of a registered node; NULL: none */
	bool has_leader_keys;
	bool may_be_restored;
} starts[] = {
    {0, "0", "0", true, false},
    {1, "1", "0", true, false}, /* some time ago */
    {HIGH_ERA, "1048581", NULL, true, false},
    {1, "0", NULL, true, true},
    {2, "1", "2", true, true},
    {HIGH_ERA + 1, "1048581", NULL, false, true},
    {1, "odd", "1", true, true},
    /* A new store. */
    {0, NULL, NULL, false, false},
    {1, NULL, NULL, false, false},
    {1, NULL, "1", true, false},
    {HIGH_ERA, NULL, "1048581", false, false},
    /* A copy of before the first record. */
    {1, NULL, "0", false, true},
    {2, NULL, "1", true, true},
    {1, NULL, NULL, true, true},
};

/*
 * Guards against a node that starts after a restoration and takes the store for
 * one that has never been restored, whichever era it began with.
 */
START_TEST(a_copy_shows_that_the_store_was_restored)
{
	const struct start *start = &starts[_i];

	store.era = start->era;
	ck_assert(era_record_may_be_restored(record)); /* before the list */
	if (start->has_leader_keys)
		era_record_note_leader_key(record);
	if (start->node != NULL)
		era_record_note_start(record, start->node, strlen(start->node));
	if (start->recorded != NULL)
		era_record_set(
		    record, start->recorded, strlen(start->recorded));
	era_record_list_complete(record);
	ck_assert_int_eq(
	    era_record_may_be_restored(record), start->may_be_restored);
}
END_TEST

/* Lets time pass until the record is written; returns how long that takes. */
static int64_t
time_to_write(int64_t for_ms)
{
	unsigned writes = store.writes;
	int64_t start_ms = now_ms;

	for (; now_ms <= start_ms + for_ms; now_ms += 100) {
		era_record_tick(record);
		if (store.writes > writes)
			return now_ms - start_ms;
	}
	return -1;
}

static void
answer(platform_status_t status)
{
	platform_result_t result = {.status = status};

	store.callback(&result, store.data);
}

/* Guards against a new store without a record, and writes of many nodes. */
START_TEST(a_leader_records_the_era_of_a_new_store)
{
	leader_revision = LEADER_REVISION;
	ck_assert_int_eq(time_to_write(1000), -1); /* before the list */
	leader_revision = 0;
	era_record_list_complete(record);
	ck_assert_int_eq(time_to_write(20000), -1); /* no leader */
	leader_revision = LEADER_REVISION;
	ck_assert_int_eq(time_to_write(1000), 0); /* has long been due */
	ck_assert_str_eq(store.written, "0");
	ck_assert_int_eq(time_to_write(20000), -1); /* not answered */
	answer(PLATFORM_UNKNOWN);
	ck_assert_int_gt(time_to_write(20000), 0);
	answer(PLATFORM_OK);
	era_record_set(record, store.written, strlen(store.written));
	ck_assert_int_eq(time_to_write(20000), -1);
}
END_TEST

/*
 * Guards against a record that hides a restoration from nodes that start while
 * leaders of the time before act, or keys are still missing.
 */
START_TEST(a_restored_store_is_recorded_after_a_while)
{
	bool is_running = _i == 1;

	leader_revision = LEADER_REVISION;
	era_record_set(record, "0", 1);
	store.era = is_running ? 0 : 1;
	era_record_list_complete(record);
	if (is_running) {
		store.era++;
		era_record_restore(record);
		ck_assert(era_record_may_be_restored(record));
		era_record_list_complete(record);
	}
	ck_assert_int_ge(time_to_write(20000), 2 * LEASE_MS);
	ck_assert_str_eq(store.written, "1");
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("era_record");
	TCase *cases = tcase_create("era_record");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_loop_test(cases, a_copy_shows_that_the_store_was_restored, 0,
	    G_N_ELEMENTS(starts));
	tcase_add_test(cases, a_leader_records_the_era_of_a_new_store);
	tcase_add_loop_test(
	    cases, a_restored_store_is_recorded_after_a_while, 0, 2);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
