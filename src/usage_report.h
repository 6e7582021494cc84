#ifndef PAPAYA_USAGE_REPORT_H
#define PAPAYA_USAGE_REPORT_H

#include "gateway_config.h"
#include "http_client.h"
#include "lease.h"
#include "platform_store.h"
#include "usage.h"

#include <stddef.h>
#include <stdint.h>

/*
 * Reports the usage of each window to the platform. The counts are recorded in
 * the store before they are sent, so that a retry, also by the next holder of
 * the lease, sends the same counts and is not counted twice.
 */
typedef struct usage_report usage_report_t;

/* Key of the record in the store. */
extern const char usage_report_key[];

typedef struct usage_report_options {
	const gateway_config_t *config; /* all borrowed */
	platform_store_t *store;
	http_client_t *http;
	counters_t *counters;
	lease_t *lease;
	usage_t *usage;
} usage_report_options_t;

usage_report_t *usage_report_new(const usage_report_options_t *options);

/*
 * Sets the record from the store; value NULL: it was deleted. A window that was
 * recorded stays recorded, even where the store has been restored from a copy
 * without its record: its counts may have been sent.
 */
void usage_report_set_record(
    usage_report_t *report, const char *value, size_t length, int64_t revision);

/*
 * The newest window that is known to be recorded; 0: none, or the store was
 * restored before the start and later windows may have been recorded.
 */
int64_t usage_report_recorded_window(const usage_report_t *report);

/*
 * A peer knows this window as recorded; its counts are unknown here. wall_ms:
 * best estimate of Unix time; a window that has not begun is ignored.
 */
void usage_report_learn_record(
    usage_report_t *report, int64_t window, int64_t wall_ms);

/*
 * The store's keys have been read, at the start or after a restoration. Where
 * the store may have been restored shortly before the start, later windows than
 * the one that it shows may have been recorded.
 */
void usage_report_list_complete(usage_report_t *report, bool may_be_restored);

/*
 * Records or sends the usage of the next window if one is due and this node
 * holds the lease. wall_ms: best estimate of Unix time.
 */
void usage_report_tick(usage_report_t *report, int64_t wall_ms);

#endif
