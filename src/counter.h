#ifndef PAPAYA_COUNTER_H
#define PAPAYA_COUNTER_H

#include <glib.h>
#include <stdint.h>

/*
 * A set of counters and histograms, each looked up by name. Not
 * thread-safe.
 */
typedef struct counters counters_t;

/* Log-linear histogram of microseconds: 8 buckets per power of two. */
enum { HISTOGRAM_BUCKETS = 320 };

typedef struct histogram {
	uint64_t count;
	uint64_t sum_us;
	uint64_t max_us;
	uint32_t buckets[HISTOGRAM_BUCKETS];
} histogram_t;

counters_t *counters_new(void);
void counters_free(counters_t *counters);

/*
 * Returns a pointer to the counter of this name, created with value 0 if it
 * does not exist. The set owns it; it is valid until counters_free(). The name
 * may include labels: calls_total{service="team/chat"}.
 */
uint64_t *counter_get(counters_t *counters, const char *name);

/*
 * Adds n to the counter whose name is given in printf() style, cut after 255
 * bytes.
 */
void counter_add(counters_t *counters, uint64_t n, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/*
 * Returns the histogram of this name, created empty if it does not exist. The
 * set owns it; it is valid until counters_free().
 */
histogram_t *histogram_get(counters_t *counters, const char *name);

/*
 * Appends all counters, then all histograms, in order of name: one "NAME VALUE"
 * line per counter; _count, _p50, _p95 and _p99 lines, the last three in
 * microseconds, per histogram.
 */
void counters_write(const counters_t *counters, GString *out);

/* Adds one duration; a negative one counts as 0. */
void histogram_add(histogram_t *histogram, int64_t value_us);

/*
 * Value in microseconds at a quantile of 0 to 1: the lower bound of its bucket,
 * less than 13% below the exact value. 0 if the histogram is empty.
 */
uint64_t histogram_quantile(const histogram_t *histogram, double quantile);

/* Adds the counts of one histogram to another. */
void histogram_merge(histogram_t *into, const histogram_t *from);

#endif
