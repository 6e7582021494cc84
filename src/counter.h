#ifndef PAPAYA_COUNTER_H
#define PAPAYA_COUNTER_H

#include <glib.h>
#include <stdint.h>

/* A named set of counters and histograms. Owned by one process part. */
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
 * Address of a counter, created at zero; valid as long as the set. The name
 * may carry labels: calls_total{service="team/chat"}.
 */
uint64_t *counter_get(counters_t *counters, const char *name);

/* Adds n to a counter looked up by a printf-like name. */
void counter_add(counters_t *counters, uint64_t n, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* Histogram of a name, created empty; valid as long as the set. */
histogram_t *histogram_get(counters_t *counters, const char *name);

/* Writes every counter and histogram as text, one line each, by name. */
void counters_write(const counters_t *counters, GString *out);

void histogram_add(histogram_t *histogram, int64_t value_us);

/* Value in microseconds at quantile 0..1; 0 when empty. Error below 13%. */
uint64_t histogram_quantile(const histogram_t *histogram, double quantile);

void histogram_merge(histogram_t *into, const histogram_t *from);

#endif
