#include "counter.h"

#include <stdarg.h>

struct counters {
	GTree *values;
	GTree *histograms;
};

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
	return g_strcmp0(a, b);
}

counters_t *
counters_new(void)
{
	counters_t *counters = g_new0(counters_t, 1);

	counters->values = g_tree_new_full(compare_names, NULL, g_free, g_free);
	counters->histograms =
	    g_tree_new_full(compare_names, NULL, g_free, g_free);
	return counters;
}

void
counters_free(counters_t *counters)
{
	if (counters == NULL)
		return;
	g_tree_destroy(counters->values);
	g_tree_destroy(counters->histograms);
	g_free(counters);
}

uint64_t *
counter_get(counters_t *counters, const char *name)
{
	uint64_t *value = g_tree_lookup(counters->values, name);

	if (value == NULL) {
		value = g_new0(uint64_t, 1);
		g_tree_insert(counters->values, g_strdup(name), value);
	}
	return value;
}

void
counter_add(counters_t *counters, uint64_t n, const char *format, ...)
{
	char name[256];
	va_list args;

	va_start(args, format);
	g_vsnprintf(name, sizeof(name), format, args);
	va_end(args);
	*counter_get(counters, name) += n;
}

histogram_t *
histogram_get(counters_t *counters, const char *name)
{
	histogram_t *histogram = g_tree_lookup(counters->histograms, name);

	if (histogram == NULL) {
		histogram = g_new0(histogram_t, 1);
		g_tree_insert(counters->histograms, g_strdup(name), histogram);
	}
	return histogram;
}

static gboolean
write_value(gpointer key, gpointer value, gpointer data)
{
	g_string_append_printf(data, "%s %" G_GUINT64_FORMAT "\n",
	    (const char *)key, *(uint64_t *)value);
	return FALSE;
}

static gboolean
write_histogram(gpointer key, gpointer value, gpointer data)
{
	static const struct {
		const char *suffix;
		double quantile;
	} quantiles[] = {{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}};
	const histogram_t *histogram = value;

	g_string_append_printf(data, "%s_count %" G_GUINT64_FORMAT "\n",
	    (const char *)key, histogram->count);
	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		g_string_append_printf(data, "%s_%s %" G_GUINT64_FORMAT "\n",
		    (const char *)key, quantiles[i].suffix,
		    histogram_quantile(histogram, quantiles[i].quantile));
	return FALSE;
}

void
counters_write(const counters_t *counters, GString *out)
{
	g_tree_foreach(counters->values, write_value, out);
	g_tree_foreach(counters->histograms, write_histogram, out);
}

/*
 * Each value below 8 has its own bucket; larger values share 8 buckets per
 * power of two. The last bucket also takes all values beyond the range.
 */
static unsigned
bucket_index(uint64_t value)
{
	unsigned log2, index;

	if (value < 8)
		return (unsigned)value;
	log2 = 63u - (unsigned)__builtin_clzll(value);
	index = (log2 - 2) * 8 + (unsigned)((value >> (log2 - 3)) & 7);
	return MIN(index, HISTOGRAM_BUCKETS - 1);
}

static uint64_t
bucket_lower_bound(unsigned index)
{
	if (index < 8)
		return index;
	return (uint64_t)(8 + index % 8) << (index / 8 - 1);
}

void
histogram_add(histogram_t *histogram, int64_t value_us)
{
	uint64_t value = value_us < 0 ? 0 : (uint64_t)value_us;

	histogram->count++;
	histogram->sum_us += value;
	histogram->max_us = MAX(histogram->max_us, value);
	histogram->buckets[bucket_index(value)]++;
}

uint64_t
histogram_quantile(const histogram_t *histogram, double quantile)
{
	uint64_t rank, cumulative_count = 0;

	if (histogram->count == 0)
		return 0;
	rank = (uint64_t)(quantile * (double)(histogram->count - 1));
	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative_count += histogram->buckets[i];
		if (cumulative_count > rank)
			return bucket_lower_bound(i);
	}
	return histogram->max_us;
}

void
histogram_merge(histogram_t *into, const histogram_t *from)
{
	into->count += from->count;
	into->sum_us += from->sum_us;
	into->max_us = MAX(into->max_us, from->max_us);
	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
		into->buckets[i] += from->buckets[i];
}
