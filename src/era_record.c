#include "era_record.h"

#include "clock.h"
#include "log.h"

#include <string.h>

enum {
	ERA_NONE = -1,
	/*
	 * After a restoration operators and backend servers write their keys
	 * again within about two seconds; until then nodes that start should
	 * know of it.
	 */
	RECORD_DELAY_MS = 5000,
	RETRY_MS = 1000,
};

const char era_record_key[] = "papaya/era";

struct era_record {
	era_record_options_t options;
	int64_t recorded_era; /* ERA_NONE: there is no valid record */
	bool has_record;
	bool has_leader_keys;  /* others, which some leader has written */
	bool has_starts;       /* of registered nodes, in any era */
	bool has_other_starts; /* in another era than the present one */
	bool listed;	       /* the store's keys, at least once */
	bool may_be_restored;
	bool writing;
	int64_t due_ms; /* clock_boot_ms(); no write before it */
};

era_record_t *
era_record_new(const era_record_options_t *options)
{
	era_record_t *record = g_new0(era_record_t, 1);

	record->options = *options;
	record->recorded_era = ERA_NONE;
	record->may_be_restored = true;
	return record;
}

/* ERA_NONE where the value is malformed. */
static int64_t
read_era(const char *value, size_t length)
{
	char *text = g_strndup(value, length);
	guint64 era;
	bool ok = g_ascii_string_to_unsigned(
	    text, 10, 0, PLATFORM_ERA_MAX, &era, NULL);

	g_free(text);
	return ok ? (int64_t)era : ERA_NONE;
}

void
era_record_set(era_record_t *record, const char *value, size_t length)
{
	record->recorded_era =
	    value == NULL ? ERA_NONE : read_era(value, length);
	record->has_record = value != NULL;
}

void
era_record_note_start(era_record_t *record, const char *value, size_t length)
{
	record->has_starts = true;
	record->has_other_starts |= read_era(value, length) !=
				    platform_store_era(record->options.store);
}

void
era_record_note_leader_key(era_record_t *record)
{
	record->has_leader_keys = true;
}

static bool
is_current(const era_record_t *record)
{
	return record->recorded_era ==
	       platform_store_era(record->options.store);
}

static void
delay_write(era_record_t *record)
{
	record->due_ms = clock_boot_ms() +
			 MAX(RECORD_DELAY_MS, 2 * record->options.lease_ms);
}

/*
 * A store without the record is new, or a copy of before the first one: then
 * nodes have started in an earlier era, or what leaders wrote has outlived all
 * nodes.
 */
static bool
shows_restoration(const era_record_t *record)
{
	if (record->has_record)
		return !is_current(record);
	return record->has_other_starts ||
	       (record->has_leader_keys && !record->has_starts);
}

void
era_record_list_complete(era_record_t *record)
{
	if (record->listed)
		return;
	record->listed = true;
	record->may_be_restored = shows_restoration(record);
	if (record->may_be_restored)
		delay_write(record);
	log_event(LOG_LEVEL_INFO, "store.era",
	    "era=%" G_GINT64_FORMAT " recorded=%" G_GINT64_FORMAT
	    " may_be_restored=%d",
	    platform_store_era(record->options.store), record->recorded_era,
	    record->may_be_restored);
}

void
era_record_restore(era_record_t *record)
{
	record->may_be_restored = true;
	delay_write(record);
}

bool
era_record_may_be_restored(const era_record_t *record)
{
	return record->may_be_restored;
}

static void
on_written(const platform_result_t *result, void *data)
{
	era_record_t *record = data;

	/* The store watch delivers the record once it is written. */
	record->writing = false;
	record->due_ms = MAX(record->due_ms, clock_boot_ms() + RETRY_MS);
}

void
era_record_tick(era_record_t *record)
{
	int64_t leader_revision = lease_leader_revision(record->options.lease);
	char *text;

	if (!record->listed || record->writing || leader_revision == 0 ||
	    is_current(record) || clock_boot_ms() < record->due_ms)
		return;
	text = g_strdup_printf(
	    "%" G_GINT64_FORMAT, platform_store_era(record->options.store));
	record->writing = true;
	platform_store_commit(record->options.store,
	    &(platform_condition_t){
		.key = lease_leader_key, .revision = leader_revision},
	    1,
	    &(platform_write_t){
		.key = era_record_key, .value = text, .length = strlen(text)},
	    1, on_written, record);
	g_free(text);
}
