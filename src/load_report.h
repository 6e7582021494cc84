#ifndef PAPAYA_LOAD_REPORT_H
#define PAPAYA_LOAD_REPORT_H

#include "counter.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* One booking as its client saw it, and the run count from the service. */
typedef struct load_booking {
	char *key;
	bool answered;
	bool outcome_unknown;
	bool maybe_run; /* a failed attempt lacked papaya-not-run: true */
	unsigned run_count;
} load_booking_t;

/* Counters of one load run. Owned by the load generator. */
typedef struct load_report {
	uint64_t attempts;
	uint64_t retries;
	uint64_t entry_list_failures;
	uint64_t streams_started;
	uint64_t streams_complete;
	uint64_t streams_truncated; /* recognizably incomplete */
	/* ended as if complete; must be 0 */
	uint64_t streams_truncated_unmarked;
	uint64_t streams_wrong; /* must be 0 */
	uint64_t streams_refused;
	uint64_t streams_given_up;
	uint64_t tokens;
	uint64_t tokens_recomputed;
	uint64_t bookings_given_up;
	uint64_t bookings_unknown;
	uint64_t bookings_wrong; /* response has another key; must be 0 */
	uint64_t refusals_not_run;
	uint64_t refusals_final;
	uint64_t run_count_failures;
	histogram_t ttft_us;
	histogram_t inter_token_us;
	histogram_t booking_latency_us;
	counters_t *streams_by_version;
	GHashTable *bookings; /* key -> load_booking_t */
	bool run_counts_read;
} load_report_t;

load_report_t *load_report_new(void);
void load_report_free(load_report_t *report);

/* The returned booking is owned by the report. */
load_booking_t *load_report_add_booking(load_report_t *report, const char *key);

/* Marks the booking as answered; counts it as wrong if body has another key. */
void load_report_check_booking(load_report_t *report, load_booking_t *booking,
    const char *body, size_t length);

/* Adds the run counts of one service, {"KEY": N, ...}. */
void load_report_add_run_counts(load_report_t *report, const json_t *runs);

json_t *load_report_json(load_report_t *report, double seconds);

#endif
