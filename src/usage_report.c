#include "usage_report.h"

#include "clock.h"
#include "json.h"
#include "log.h"
#include "platform_duty.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Delay after a window's end for all nodes' counts to arrive. */
	COLLECT_MS = 1500,
	RETRY_MS = 500,
	/* Complete windows before the newest one that may still be recorded. */
	BACKLOG_WINDOWS = 2,
	ERA_NONE = -1, /* a record of an earlier version names none */
};

const char usage_report_key[] = "papaya/usage";

struct usage_report {
	usage_report_options_t options;
	int64_t recorded_window;   /* newest known record; 0: none */
	int64_t recorded_revision; /* of the present key; 0: there is none */
	int64_t recorded_era;	   /* of the store, at that revision */
	int64_t peers_window; /* newest record that a peer knows; 0: none */
	int64_t
	    first_window; /* the present one at the first list; 0: not yet */
	bool listed;	  /* the store's keys, at least once */
	bool may_be_restored;	     /* the store, shortly before that list */
	bool record_is_of_era;	     /* one of the era that it names was read */
	GHashTable *recorded_counts; /* workspace to double * */
	int64_t sent_window;	     /* newest one that this node has sent */
	bool recording;
	bool sending;
	int64_t
	    sending_window; /* newest one whose counts may be sent; 0: none */
	int64_t sending_token;
	int64_t retry_at_ms; /* clock_boot_ms(); no call before it */
};

usage_report_t *
usage_report_new(const usage_report_options_t *options)
{
	usage_report_t *report = g_new0(usage_report_t, 1);

	report->options = *options;
	return report;
}

void
usage_report_list_complete(usage_report_t *report, bool may_be_restored)
{
	if (report->listed)
		return;
	report->listed = true;
	report->may_be_restored = may_be_restored;
}

void
usage_report_set_record(
    usage_report_t *report, const char *value, size_t length, int64_t revision)
{
	GError *error = NULL;
	const char *workspace;
	json_t *json, *count;
	int64_t window;

	report->recorded_revision = value == NULL ? 0 : revision;
	report->recorded_era = platform_store_era(report->options.store);
	if (value == NULL)
		return;
	json = json_parse(value, length, usage_report_key, &error);
	if (json == NULL) {
		log_event(LOG_LEVEL_ERROR, "usage.malformed_record",
		    "error=\"%s\"", error->message);
		g_error_free(error);
		return;
	}
	window = json_get_int(json, "window", 0);
	report->record_is_of_era |=
	    json_get_int(json, "era", ERA_NONE) == report->recorded_era;
	/* The store has been restored from a copy, or these were sent. */
	if (window < report->recorded_window ||
	    window == report->sending_window) {
		json_decref(json);
		return;
	}
	report->recorded_window = window;
	if (report->recorded_counts != NULL)
		g_hash_table_unref(report->recorded_counts);
	report->recorded_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	json_object_foreach (
	    json_object_get(json, "counts"), workspace, count) {
		double *number = g_new(double, 1);

		*number = json_number_value(count);
		g_hash_table_insert(
		    report->recorded_counts, g_strdup(workspace), number);
	}
	json_decref(json);
}

static void
on_sent(platform_duty_status_t status, void *data)
{
	usage_report_t *report = data;

	report->sending = false;
	switch (status) {
	case PLATFORM_DUTY_DONE:
		report->sent_window = report->sending_window;
		return;
	case PLATFORM_DUTY_FENCED:
		lease_invalidate_token(
		    report->options.lease, report->sending_token);
		return;
	case PLATFORM_DUTY_UNAVAILABLE:
	case PLATFORM_DUTY_REFUSED:
	case PLATFORM_DUTY_UNKNOWN:
		/* Safe to retry: the platform ignores an exact repeat. */
		report->retry_at_ms = clock_boot_ms() + RETRY_MS;
		return;
	}
}

static void
send_record(usage_report_t *report, int64_t token)
{
	platform_duty_context_t context = {
	    .cloud_url = report->options.config->cloud_url,
	    .holder = report->options.config->name,
	    .fencing_token = token,
	    .counters = report->options.counters};

	report->sending = true;
	report->sending_window = report->recorded_window;
	report->sending_token = token;
	platform_report_usage(report->options.http, &context,
	    report->recorded_window, report->recorded_counts, on_sent, report);
}

static void
on_recorded(const platform_result_t *result, void *data)
{
	usage_report_t *report = data;

	/* The store watch delivers the record once it is written. */
	report->recording = false;
	if (result->status != PLATFORM_OK)
		report->retry_at_ms = clock_boot_ms() + RETRY_MS;
}

static char *
encode_record(int64_t window, int64_t era, GHashTable *counts)
{
	json_t *json = json_pack("{s:I,s:I,s:o}", "window", (json_int_t)window,
	    "era", (json_int_t)era, "counts", json_from_counts(counts));
	char *text = json_text(json);

	json_decref(json);
	return text;
}

/*
 * Revision of the present key. Where the store has been restored since it was
 * read, the store has no such key: a present one would have been listed.
 */
static int64_t
present_revision(const usage_report_t *report)
{
	return report->recorded_era == platform_store_era(report->options.store)
		   ? report->recorded_revision
		   : 0;
}

static void
write_record(usage_report_t *report, int64_t window)
{
	GHashTable *counts = usage_total(report->options.usage, window);
	char *text = encode_record(
	    window, platform_store_era(report->options.store), counts);
	platform_condition_t conditions[] = {
	    {.key = lease_leader_key,
		.revision = lease_leader_revision(report->options.lease)},
	    {.key = usage_report_key, .revision = present_revision(report)}};
	platform_write_t write = {
	    .key = usage_report_key, .value = text, .length = strlen(text)};

	report->recording = true;
	platform_store_commit(report->options.store, conditions,
	    G_N_ELEMENTS(conditions), &write, 1, on_recorded, report);
	g_free(text);
	g_hash_table_unref(counts);
}

/*
 * A node that knows only a restored store cannot tell which windows were
 * recorded before, until it reads a record written since. A store without a
 * record is new, or a copy of before the first one.
 */
static bool
knows_records(const usage_report_t *report)
{
	return report->record_is_of_era ||
	       (report->listed && !report->may_be_restored &&
		   report->recorded_window != 0);
}

int64_t
usage_report_recorded_window(const usage_report_t *report)
{
	return knows_records(report) ? report->recorded_window : 0;
}

void
usage_report_learn_record(
    usage_report_t *report, int64_t window, int64_t wall_ms)
{
	/* A later one is an error, and would hide the true ones. */
	if (window > usage_window(report->options.usage, wall_ms))
		return;
	report->peers_window = MAX(report->peers_window, window);
}

/* The next window to record; newest_window: the last complete one. */
static int64_t
next_window(const usage_report_t *report, int64_t newest_window)
{
	int64_t recorded_window = report->recorded_window;

	/* A window that was complete before may have been sent. */
	if (!knows_records(report) && report->peers_window == 0)
		recorded_window =
		    MAX(recorded_window, report->first_window - 1);
	recorded_window = MAX(recorded_window, report->peers_window);
	if (recorded_window == 0)
		return newest_window;
	return MAX(recorded_window + 1, newest_window - BACKLOG_WINDOWS);
}

void
usage_report_tick(usage_report_t *report, int64_t wall_ms)
{
	const gateway_bounds_t *bounds = &report->options.config->bounds;
	int64_t token = lease_fencing_token(report->options.lease);
	int64_t newest_window =
	    usage_window(report->options.usage, wall_ms - COLLECT_MS) - 1;
	int64_t window;

	if (!report->listed || report->first_window == 0)
		report->first_window =
		    usage_window(report->options.usage, wall_ms);
	window = next_window(report, newest_window);
	if (token == 0 || report->options.config->cloud_url == NULL ||
	    report->recording || report->sending ||
	    clock_boot_ms() < report->retry_at_ms)
		return;
	/* A window is reported until usage_deadline_ms after its end. */
	if (report->recorded_counts != NULL &&
	    report->recorded_window > report->sent_window &&
	    (report->recorded_window + 1) * bounds->usage_window_ms +
		    bounds->usage_deadline_ms >
		wall_ms) {
		send_record(report, token);
		return;
	}
	if (window <= newest_window)
		write_record(report, window);
}
