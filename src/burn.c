#include "burn.h"

#include "json.h"

#include <string.h>

enum { MS_PER_MINUTE = 60000, NAME_MAX_LENGTH = 512 };

static const double SLOW_BURN_RATE = 1;
/* At this rate a budget of 30 days lasts 5 days. */
static const double FAST_BURN_RATE = 6;

/*
 * Counts per time slot. Slots are numbered since the epoch; slot_numbers tells
 * which slot each entry of counts belongs to.
 */
typedef struct ring {
	int64_t slot_ms;
	unsigned slots;
	int64_t *slot_numbers;
	burn_counts_t *counts;
} ring_t;

typedef struct series {
	char *service;
	char *version;
	char *zone;
	double target;
	ring_t short_window;
	ring_t long_window;
} series_t;

struct burn {
	GHashTable *series; /* joined key: series_t */
	uint64_t dropped;
};

static void
ring_init(ring_t *ring, int64_t window_ms, unsigned slots)
{
	ring->slot_ms = window_ms / slots;
	ring->slots = slots;
	ring->slot_numbers = g_new0(int64_t, slots);
	ring->counts = g_new0(burn_counts_t, slots);
}

static void
ring_clear(ring_t *ring)
{
	g_free(ring->slot_numbers);
	g_free(ring->counts);
}

static void
ring_add(ring_t *ring, burn_counts_t counts, int64_t now_ms)
{
	int64_t slot_number = now_ms / ring->slot_ms;
	unsigned index = (unsigned)(slot_number % ring->slots);

	/* The wall clock was set back: the entry belongs to a later slot. */
	if (slot_number < ring->slot_numbers[index])
		return;
	if (slot_number > ring->slot_numbers[index]) {
		ring->slot_numbers[index] = slot_number;
		ring->counts[index] = (burn_counts_t){0};
	}
	ring->counts[index].good += counts.good;
	ring->counts[index].bad += counts.bad;
}

static burn_counts_t
ring_slot(const ring_t *ring, int64_t slot_number)
{
	unsigned index = (unsigned)(slot_number % ring->slots);

	return ring->slot_numbers[index] == slot_number ? ring->counts[index]
							: (burn_counts_t){0};
}

static burn_counts_t
ring_sum(const ring_t *ring, int64_t now_ms)
{
	int64_t last = now_ms / ring->slot_ms;
	burn_counts_t sum = {0};

	for (int64_t slot = last - ring->slots + 1; slot <= last; slot++) {
		burn_counts_t counts = ring_slot(ring, slot);

		sum.good += counts.good;
		sum.bad += counts.bad;
	}
	return sum;
}

static void
series_free(void *data)
{
	series_t *series = data;

	g_free(series->service);
	g_free(series->version);
	g_free(series->zone);
	ring_clear(&series->short_window);
	ring_clear(&series->long_window);
	g_free(series);
}

burn_t *
burn_new(void)
{
	burn_t *burn = g_new0(burn_t, 1);

	burn->series =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, series_free);
	return burn;
}

void
burn_free(burn_t *burn)
{
	if (burn == NULL)
		return;
	g_hash_table_destroy(burn->series);
	g_free(burn);
}

static char *
join_key(const char *service, const char *version, const char *zone)
{
	return g_strjoin("\n", service, version, zone, NULL);
}

static bool
is_idle(const series_t *series, int64_t now_ms)
{
	burn_counts_t sum = ring_sum(&series->long_window, now_ms);

	return sum.good + sum.bad == 0;
}

/* Removes the series without a request in the long window. */
static void
evict_idle(burn_t *burn, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, burn->series);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_idle(value, now_ms))
			g_hash_table_iter_remove(&iter);
	}
}

static series_t *
series_create(burn_t *burn, const burn_key_t *key, int64_t now_ms)
{
	series_t *series;

	if (g_hash_table_size(burn->series) >= BURN_SERIES_MAX)
		evict_idle(burn, now_ms);
	if (g_hash_table_size(burn->series) >= BURN_SERIES_MAX)
		return NULL;
	series = g_new0(series_t, 1);
	series->service = g_strdup(key->service);
	series->version = g_strdup(key->version);
	series->zone = g_strdup(key->zone);
	ring_init(&series->short_window, BURN_SHORT_MS, BURN_SHORT_SLOTS);
	ring_init(&series->long_window, BURN_LONG_MS, BURN_LONG_SLOTS);
	g_hash_table_insert(burn->series,
	    join_key(key->service, key->version, key->zone), series);
	return series;
}

void
burn_record(burn_t *burn, const burn_key_t *key, double target,
    burn_counts_t counts, int64_t now_ms)
{
	char *joined = join_key(key->service, key->version, key->zone);
	series_t *series = g_hash_table_lookup(burn->series, joined);

	g_free(joined);
	if (series == NULL)
		series = series_create(burn, key, now_ms);
	if (series == NULL) {
		burn->dropped += counts.good + counts.bad;
		return;
	}
	series->target = target;
	ring_add(&series->short_window, counts, now_ms);
	ring_add(&series->long_window, counts, now_ms);
}

static json_t *
counts_json(burn_counts_t counts)
{
	return json_pack("{s:I, s:I}", "good", (json_int_t)counts.good, "bad",
	    (json_int_t)counts.bad);
}

static json_t *
minutes_json(const ring_t *ring, int64_t now_ms)
{
	json_t *minutes = json_array();
	int64_t last = now_ms / ring->slot_ms;

	for (int64_t slot = last - ring->slots + 1; slot <= last; slot++) {
		burn_counts_t counts = ring_slot(ring, slot);

		json_array_append_new(
		    minutes, json_pack("[I, I]", (json_int_t)counts.good,
				 (json_int_t)counts.bad));
	}
	return minutes;
}

json_t *
burn_report(const burn_t *burn, int64_t now_ms)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, burn->series);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const series_t *series = value;

		if (is_idle(series, now_ms))
			continue;
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:f, s:o, s:o, s:o}", "service",
			series->service, "version", series->version, "zone",
			series->zone, "target", series->target, "short",
			counts_json(ring_sum(&series->short_window, now_ms)),
			"long",
			counts_json(ring_sum(&series->long_window, now_ms)),
			"minutes", minutes_json(&series->long_window, now_ms)));
	}
	return json_pack("{s:I, s:I, s:o}", "at_ms", (json_int_t)now_ms,
	    "dropped", (json_int_t)burn->dropped, "series", list);
}

static bool
counts_valid(const json_t *counts)
{
	return json_get_int(counts, "good", -1) >= 0 &&
	       json_get_int(counts, "bad", -1) >= 0;
}

static bool
name_valid(const json_t *series, const char *name)
{
	const char *value = json_get_string(series, name, NULL);

	return value != NULL && strlen(value) <= NAME_MAX_LENGTH;
}

static bool
minutes_valid(const json_t *minutes)
{
	const json_t *minute;
	size_t i;

	json_array_foreach (minutes, i, minute) {
		const json_t *good = json_array_get(minute, 0);
		const json_t *bad = json_array_get(minute, 1);

		if (!json_is_integer(good) || !json_is_integer(bad) ||
		    json_integer_value(good) < 0 || json_integer_value(bad) < 0)
			return false;
	}
	return json_array_size(minutes) == BURN_LONG_SLOTS;
}

static bool
report_valid(const json_t *report)
{
	const json_t *list = json_object_get(report, "series");
	const json_t *series;
	size_t i;

	if (!json_is_array(list) || json_get_int(report, "at_ms", -1) < 0 ||
	    json_array_size(list) > BURN_SERIES_MAX)
		return false;
	json_array_foreach (list, i, series) {
		double target = json_get_double(series, "target", -1);

		if (!name_valid(series, "service") ||
		    !name_valid(series, "version") ||
		    !name_valid(series, "zone") || target < 0 || target > 1 ||
		    !counts_valid(json_object_get(series, "short")) ||
		    !counts_valid(json_object_get(series, "long")) ||
		    !minutes_valid(json_object_get(series, "minutes")))
			return false;
	}
	return true;
}

static json_t *
find_series(const json_t *report, const json_t *wanted)
{
	static const char *const names[] = {"service", "version", "zone"};
	json_t *series;
	size_t i;

	json_array_foreach (json_object_get(report, "series"), i, series) {
		bool matches = true;

		for (size_t n = 0; n < G_N_ELEMENTS(names) && matches; n++)
			matches =
			    strcmp(json_get_string(series, names[n], ""),
				json_get_string(wanted, names[n], "")) == 0;
		if (matches)
			return series;
	}
	return NULL;
}

static void
add_counts(json_t *series, const json_t *other, const char *window)
{
	json_t *into = json_object_get(series, window);
	const json_t *from = json_object_get(other, window);
	static const char *const names[] = {"good", "bad"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		json_object_set_new(into, names[i],
		    json_integer(json_get_int(into, names[i], 0) +
				 json_get_int(from, names[i], 0)));
}

/* offset_minutes: by how much from's last minute is after into's. */
static void
add_minutes(json_t *into, const json_t *from, int64_t offset_minutes)
{
	for (int64_t i = 0; i < BURN_LONG_SLOTS; i++) {
		int64_t from_index = i - offset_minutes;
		const json_t *minute;
		json_t *sum;

		if (from_index < 0 || from_index >= BURN_LONG_SLOTS)
			continue;
		minute = json_array_get(from, (size_t)from_index);
		sum = json_array_get(into, (size_t)i);
		for (size_t n = 0; n < 2; n++)
			json_array_set_new(sum, n,
			    json_integer(
				json_integer_value(json_array_get(sum, n)) +
				json_integer_value(json_array_get(minute, n))));
	}
}

static json_t *
empty_series(const json_t *source)
{
	json_t *series = json_pack("{s:O, s:O, s:O, s:O, s:o, s:o, s:[]}",
	    "service", json_object_get(source, "service"), "version",
	    json_object_get(source, "version"), "zone",
	    json_object_get(source, "zone"), "target",
	    json_object_get(source, "target"), "short",
	    counts_json((burn_counts_t){0}), "long",
	    counts_json((burn_counts_t){0}), "minutes");
	json_t *minutes = json_object_get(series, "minutes");

	for (int i = 0; i < BURN_LONG_SLOTS; i++)
		json_array_append_new(minutes, json_pack("[i, i]", 0, 0));
	return series;
}

bool
burn_report_merge(json_t *report, const json_t *other)
{
	int64_t ahead_minutes =
	    json_get_int(report, "at_ms", 0) / MS_PER_MINUTE -
	    json_get_int(other, "at_ms", 0) / MS_PER_MINUTE;
	const json_t *from;
	size_t i;

	if (!report_valid(other))
		return false;
	json_array_foreach (json_object_get(other, "series"), i, from) {
		json_t *series = find_series(report, from);

		if (series == NULL) {
			series = empty_series(from);
			json_array_append_new(
			    json_object_get(report, "series"), series);
		}
		add_counts(series, from, "short");
		add_counts(series, from, "long");
		add_minutes(json_object_get(series, "minutes"),
		    json_object_get(from, "minutes"), -ahead_minutes);
	}
	json_object_set_new(report, "dropped",
	    json_integer(json_get_int(report, "dropped", 0) +
			 json_get_int(other, "dropped", 0)));
	return true;
}

double
burn_rate(double good, double bad, double target)
{
	/* Without a budget (a target of 1), any miss is a very high rate. */
	double budget = MAX(1 - target, 1e-6);

	return good + bad <= 0 ? 0 : bad / (good + bad) / budget;
}

static double
window_rate(const json_t *series, const char *window)
{
	const json_t *counts = json_object_get(series, window);

	return burn_rate((double)json_get_int(counts, "good", 0),
	    (double)json_get_int(counts, "bad", 0),
	    json_get_double(series, "target", 0));
}

burn_level_t
burn_series_level(const json_t *series)
{
	double lower_rate =
	    MIN(window_rate(series, "short"), window_rate(series, "long"));

	if (lower_rate >= FAST_BURN_RATE)
		return BURN_FAST;
	return lower_rate >= SLOW_BURN_RATE ? BURN_SLOW : BURN_OK;
}
