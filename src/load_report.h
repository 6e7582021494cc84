#ifndef PAPAYA_LOAD_REPORT_H
#define PAPAYA_LOAD_REPORT_H

#include "counter.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* What clients know of one booking; the counts come from the service. */
typedef struct load_booking {
	char *key;
	bool answered;
	bool unknown;
	bool maybe_sent; /* some attempt did not end as "not run" */
	unsigned runs;
} load_booking_t;

/* Counts of one load run. Owned by the load generator. */
typedef struct load_report {
	uint64_t attempts;
	uint64_t retries;
	uint64_t entry_failures;
	uint64_t streams_tried;
	uint64_t streams_whole;
	uint64_t streams_cut;		  /* shown as incomplete */
	uint64_t streams_cut_shown_whole; /* must be 0 */
	uint64_t streams_wrong;		  /* must be 0 */
	uint64_t streams_refused;
	uint64_t streams_given_up;
	uint64_t tokens;
	uint64_t tokens_recomputed;
	uint64_t bookings_given_up;
	uint64_t bookings_unknown;
	uint64_t bookings_wrong; /* another request's answer; must be 0 */
	uint64_t refusals_not_run;
	uint64_t refusals_final;
	uint64_t runs_unread;
	histogram_t first_us;
	histogram_t between_us;
	histogram_t booking_us;
	counters_t *versions;
	GHashTable *bookings; /* key: load_booking_t */
	bool runs_read;
} load_report_t;

load_report_t *load_report_new(void);
void load_report_free(load_report_t *report);

load_booking_t *load_report_booking(load_report_t *report, const char *key);

/* Checks that an answer names the booking's own key. */
void load_report_booking_answer(load_report_t *report, load_booking_t *booking,
    const char *body, size_t length);

/* Adds one service's {"KEY": N}. */
void load_report_runs(load_report_t *report, const json_t *runs);

json_t *load_report_json(load_report_t *report, double seconds);

#endif
