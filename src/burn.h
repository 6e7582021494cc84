#ifndef PAPAYA_BURN_H
#define PAPAYA_BURN_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Error-budget burn rate by service, version and zone: the share of requests
 * that missed their objective, divided by the share that the objective allows.
 * A rate of 1 spends exactly the budget. It is kept over a short and a long
 * window, so that a report tells a current problem from a lasting one. Memory
 * is bounded by BURN_SERIES_MAX.
 */
typedef struct burn burn_t;

enum {
	BURN_SHORT_MS = 5 * 60 * 1000,
	BURN_LONG_MS = 60 * 60 * 1000,
	BURN_SHORT_SLOTS = 30,
	BURN_LONG_SLOTS = 60,
	BURN_SERIES_MAX = 512, /* requests of further ones count as dropped */
};

typedef struct burn_key {
	const char *service; /* TEAM/NAME */
	const char *version;
	const char *zone;
} burn_key_t;

typedef struct burn_counts {
	uint64_t good;
	uint64_t bad;
} burn_counts_t;

burn_t *burn_new(void);
void burn_free(burn_t *burn);

/*
 * Counts finished requests. target is the objective's share of good requests,
 * 0..1; the latest one applies to the whole series. now_ms is wall-clock time,
 * so that the minutes of several nodes match.
 */
void burn_record(burn_t *burn, const burn_key_t *key, double target,
    burn_counts_t counts, int64_t now_ms);

/*
 * Returns a new report: {"at_ms", "dropped", "series": [{"service", "version",
 * "zone", "target", "short": {"good", "bad"}, "long": {...}, "minutes": [[good,
 * bad],
 * ...]}]}, the last minute being that of at_ms.
 */
json_t *burn_report(const burn_t *burn, int64_t now_ms);

/*
 * Adds another node's report to a report. Returns false, and changes nothing,
 * if the other one is malformed.
 */
bool burn_report_merge(json_t *report, const json_t *other);

/* Burn rate of the counts for a target; 0 without requests. */
double burn_rate(double good, double bad, double target);

typedef enum burn_series_level {
	BURN_OK,
	BURN_SLOW, /* rate of 1 or more in both windows */
	BURN_FAST, /* rate of 6 or more in both windows */
} burn_level_t;

/* Level of one series of a report, by the lower rate of its two windows. */
burn_level_t burn_series_level(const json_t *series);

/*
 * Appends a report as text or as an HTML page; series with the highest level,
 * then the highest rate in the long window, come first.
 */
void burn_render_text(const json_t *report, GString *out);
void burn_render_html(const json_t *report, GString *out);

#endif
