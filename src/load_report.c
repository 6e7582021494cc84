#include "load_report.h"

#include "json.h"
#include "load.h"

#include <string.h>

static void
booking_free(gpointer data)
{
	load_booking_t *booking = data;

	g_free(booking->key);
	g_free(booking);
}

load_report_t *
load_report_new(void)
{
	load_report_t *report = g_new0(load_report_t, 1);

	report->streams_by_version = counters_new();
	report->bookings =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, booking_free);
	return report;
}

void
load_report_free(load_report_t *report)
{
	counters_free(report->streams_by_version);
	g_hash_table_destroy(report->bookings);
	g_free(report);
}

load_booking_t *
load_report_add_booking(load_report_t *report, const char *key)
{
	load_booking_t *booking = g_new0(load_booking_t, 1);

	booking->key = g_strdup(key);
	g_hash_table_insert(report->bookings, booking->key, booking);
	return booking;
}

void
load_report_check_booking(load_report_t *report, load_booking_t *booking,
    const char *body, size_t length)
{
	json_t *json = json_parse(body, length, "answer", NULL);

	booking->answered = true;
	if (strcmp(json_get_string(json, "key", ""), booking->key) != 0)
		report->bookings_wrong++;
	json_decref(json);
}

void
load_report_add_run_counts(load_report_t *report, const json_t *runs)
{
	load_booking_t *booking;
	const char *key;
	json_t *count;

	report->run_counts_read = true;
	json_object_foreach ((json_t *)runs, key, count) {
		booking = g_hash_table_lookup(report->bookings, key);
		if (booking != NULL)
			booking->run_count +=
			    (unsigned)json_integer_value(count);
	}
}

static json_t *
histogram_json(const histogram_t *histogram)
{
	return json_pack("{s:I,s:f,s:f,s:f,s:f}", "count",
	    (json_int_t)histogram->count, "p50_ms",
	    (double)histogram_quantile(histogram, 0.5) / 1000, "p95_ms",
	    (double)histogram_quantile(histogram, 0.95) / 1000, "p99_ms",
	    (double)histogram_quantile(histogram, 0.99) / 1000, "max_ms",
	    (double)histogram->max_us / 1000);
}

static json_t *
bookings_json(load_report_t *report)
{
	uint64_t answered = 0, run = 0, run_twice = 0, accepted_not_run = 0,
		 refused_but_run = 0;
	GHashTableIter iter;
	gpointer value;
	json_t *json;

	g_hash_table_iter_init(&iter, report->bookings);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const load_booking_t *booking = value;

		answered += booking->answered;
		run += booking->run_count > 0;
		run_twice += booking->run_count > 1;
		accepted_not_run +=
		    booking->answered && booking->run_count == 0;
		refused_but_run += !booking->answered && !booking->maybe_run &&
				   booking->run_count > 0;
	}
	json = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "tried",
	    (json_int_t)g_hash_table_size(report->bookings), "accepted",
	    (json_int_t)answered, "unknown",
	    (json_int_t)report->bookings_unknown, "given_up",
	    (json_int_t)report->bookings_given_up, "wrong_answer",
	    (json_int_t)report->bookings_wrong, "refused_not_run_answers",
	    (json_int_t)report->refusals_not_run);
	if (report->run_counts_read) {
		json_object_set_new(json, "run", json_integer((json_int_t)run));
		json_object_set_new(
		    json, "run_twice", json_integer((json_int_t)run_twice));
		json_object_set_new(json, "accepted_not_run",
		    json_integer((json_int_t)accepted_not_run));
		json_object_set_new(json, "refused_but_run",
		    json_integer((json_int_t)refused_but_run));
	}
	return json;
}

json_t *
load_report_json(load_report_t *report, double seconds)
{
	GString *versions = g_string_new(NULL);
	json_t *json;

	counters_write(report->streams_by_version, versions);
	g_strdelimit(versions->str, "\n", ';');
	json = json_pack("{s:f,s:I,s:I,s:I,s:I,s:o,s:o}", "seconds", seconds,
	    "attempts", (json_int_t)report->attempts, "retries",
	    (json_int_t)report->retries, "entry_failures",
	    (json_int_t)report->entry_list_failures, "refusals_final",
	    (json_int_t)report->refusals_final, "bookings",
	    bookings_json(report), "streams",
	    json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:s}", "tried",
		(json_int_t)report->streams_started, "whole",
		(json_int_t)report->streams_complete, "cut",
		(json_int_t)report->streams_truncated, "cut_shown_whole",
		(json_int_t)report->streams_truncated_unmarked, "wrong",
		(json_int_t)report->streams_wrong, "refused_attempts",
		(json_int_t)report->streams_refused, "given_up",
		(json_int_t)report->streams_given_up, "tokens",
		(json_int_t)report->tokens, "tokens_recomputed",
		(json_int_t)report->tokens_recomputed, "by_version",
		versions->str));
	json_object_set_new(
	    json, "first_token", histogram_json(&report->ttft_us));
	json_object_set_new(
	    json, "between_tokens", histogram_json(&report->inter_token_us));
	json_object_set_new(json, "booking_latency",
	    histogram_json(&report->booking_latency_us));
	g_string_free(versions, TRUE);
	return json;
}

bool
load_report_ok(const json_t *report)
{
	const json_t *bookings = json_object_get(report, "bookings");
	const json_t *streams = json_object_get(report, "streams");

	return json_get_int(streams, "whole", 0) ==
		   json_get_int(streams, "tried", -1) &&
	       json_get_int(streams, "wrong", 1) == 0 &&
	       json_get_int(streams, "cut_shown_whole", 1) == 0 &&
	       json_get_int(bookings, "accepted", 0) ==
		   json_get_int(bookings, "tried", -1) &&
	       json_get_int(bookings, "wrong_answer", 1) == 0 &&
	       json_get_int(bookings, "run_twice", 0) == 0 &&
	       json_get_int(bookings, "accepted_not_run", 0) == 0 &&
	       json_get_int(bookings, "refused_but_run", 0) == 0;
}
