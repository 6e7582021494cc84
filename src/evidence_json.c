#include "evidence_state.h"

#include <string.h>

/* JSON encoding of evidence, in which nodes exchange it. */

enum { COUNT_MAX = 1 << 28 };

/* Indexes into an item, the JSON of one route's statistics. */
enum {
	JSON_ROUTE,
	JSON_COUNTS,
	JSON_SCORES = 1 + 2 * EVIDENCE_VERSIONS,
	JSON_LATENCIES = JSON_SCORES + 2 * EVIDENCE_HYPOTHESES,
	JSON_FIELDS = JSON_LATENCIES + EVIDENCE_VERSIONS,
};

/* Further routes are sent without latencies, to bound the size. */
enum { LATENCY_ROUTES_MAX = 8 };

/* The latency histogram from its first count on: [bucket, counts...]. */
static json_t *
latencies_to_json(const evidence_counts_t *counts)
{
	unsigned first = 0, end = EVIDENCE_LATENCY_BUCKETS;
	json_t *array = json_array();

	while (end > 0 && counts->latency[end - 1] == 0)
		end--;
	while (first < end && counts->latency[first] == 0)
		first++;
	if (first == end)
		return array;
	json_array_append_new(array, json_integer(first));
	for (unsigned i = first; i < end; i++)
		json_array_append_new(array, json_integer(counts->latency[i]));
	return array;
}

/*
 * An array of items, the first of which is the total, with an empty route:
 * [route, old attempts, old errors, new attempts, new errors, score sums...,
 * events..., old latencies, new latencies].
 */
json_t *
evidence_to_json(const evidence_t *evidence)
{
	json_t *array = json_array();

	for (unsigned i = 0; i < evidence->stats_count; i++) {
		const evidence_stats_t *stats = evidence->stats[i];
		json_t *item = json_array();

		json_array_append_new(item,
		    json_string(stats->route == NULL ? "" : stats->route));
		for (int version = 0; version < EVIDENCE_VERSIONS; version++) {
			const evidence_counts_t *counts =
			    &stats->counts[EVIDENCE_WINDOW_ALL][version];

			json_array_append_new(
			    item, json_integer(counts->attempts));
			json_array_append_new(
			    item, json_integer(counts->errors));
		}
		for (unsigned hypothesis = 0; hypothesis < EVIDENCE_HYPOTHESES;
		     hypothesis++)
			json_array_append_new(
			    item, json_real(stats->score_sum[hypothesis]));
		for (unsigned hypothesis = 0; hypothesis < EVIDENCE_HYPOTHESES;
		     hypothesis++)
			json_array_append_new(
			    item, json_integer(
				      (json_int_t)stats->events[hypothesis]));
		for (int version = 0; version < EVIDENCE_VERSIONS; version++)
			json_array_append_new(
			    item, i > LATENCY_ROUTES_MAX
				      ? json_array()
				      : latencies_to_json(
					    &stats->counts[EVIDENCE_WINDOW_ALL]
							  [version]));
		json_array_append_new(array, item);
	}
	return array;
}

static double
number_at(const json_t *item, size_t index)
{
	return json_number_value(json_array_get(item, index));
}

static bool
are_valid_latencies(const json_t *latencies)
{
	size_t size = json_array_size(latencies);
	json_int_t bucket = json_integer_value(json_array_get(latencies, 0));
	const json_t *value;
	size_t i;

	if (!json_is_array(latencies) || bucket < 0 ||
	    (size_t)bucket + size > EVIDENCE_LATENCY_BUCKETS + 1)
		return false;
	json_array_foreach (latencies, i, value)
		if (!json_is_integer(value) || json_integer_value(value) < 0 ||
		    json_integer_value(value) > COUNT_MAX)
			return false;
	return true;
}

static bool
is_valid_item(const json_t *item, bool is_total)
{
	const char *route = json_string_value(json_array_get(item, JSON_ROUTE));
	json_int_t attempts = COUNT_MAX;

	if (route == NULL || (*route == '\0') != is_total ||
	    strlen(route) > EVIDENCE_ROUTE_LENGTH_MAX ||
	    json_array_size(item) != JSON_FIELDS)
		return false;
	for (size_t i = JSON_LATENCIES; i < JSON_FIELDS; i++)
		if (!are_valid_latencies(json_array_get(item, i)))
			return false;
	for (size_t i = JSON_COUNTS; i < JSON_SCORES; i++) {
		const json_t *value = json_array_get(item, i);
		json_int_t max = i % 2 == 1 ? COUNT_MAX : attempts;

		attempts = json_integer_value(value);
		if (!json_is_integer(value) || attempts < 0 || attempts > max)
			return false;
	}
	for (size_t i = JSON_SCORES; i < JSON_SCORES + EVIDENCE_HYPOTHESES; i++)
		if (!json_is_number(json_array_get(item, i)) ||
		    number_at(item, i + EVIDENCE_HYPOTHESES) < 0)
			return false;
	return true;
}

static const json_t *
find_item(const json_t *json, const char *route)
{
	const json_t *item;
	size_t i;

	json_array_foreach (json, i, item)
		if (g_strcmp0(
			json_string_value(json_array_get(item, JSON_ROUTE)),
			route) == 0)
			return item;
	return NULL;
}

/* Buckets that are not sent are 0. */
static void
read_latencies(const json_t *item, int version, evidence_counts_t *counts)
{
	const json_t *latencies =
	    json_array_get(item, JSON_LATENCIES + (size_t)version);
	size_t first = (size_t)json_integer_value(json_array_get(latencies, 0));

	for (size_t i = 1; i < json_array_size(latencies); i++)
		counts->latency[first + i - 1] =
		    (uint32_t)json_integer_value(json_array_get(latencies, i));
}

/* False if a bucket of either version has decreased. */
static bool
are_later_latencies(const json_t *item, const json_t *previous)
{
	for (int version = 0; version < EVIDENCE_VERSIONS; version++) {
		evidence_counts_t now = {0}, before = {0};

		read_latencies(item, version, &now);
		read_latencies(previous, version, &before);
		for (unsigned i = 0; i < EVIDENCE_LATENCY_BUCKETS; i++)
			if (now.latency[i] < before.latency[i])
				return false;
	}
	return true;
}

/* False without a previous item, and if a count decreased, since the node has
 * then restarted and counts from zero. */
static bool
is_continuation(const json_t *item, const json_t *previous)
{
	for (size_t i = JSON_COUNTS; i < JSON_SCORES; i++)
		if (number_at(item, i) < number_at(previous, i))
			return false;
	return previous != NULL && are_later_latencies(item, previous);
}

static void
merge_item(evidence_stats_t *stats, const json_t *item, const json_t *previous)
{
	const json_t *base = is_continuation(item, previous) ? previous : NULL;

	for (int version = 0; version < EVIDENCE_VERSIONS; version++) {
		size_t index = JSON_COUNTS + 2 * (size_t)version;
		evidence_counts_t delta = {0}, before = {0};

		delta.attempts =
		    (uint32_t)(number_at(item, index) - number_at(base, index));
		delta.errors = (uint32_t)(number_at(item, index + 1) -
					  number_at(base, index + 1));
		read_latencies(item, version, &delta);
		read_latencies(base, version, &before);
		for (unsigned i = 0; i < EVIDENCE_LATENCY_BUCKETS; i++)
			delta.latency[i] -= before.latency[i];
		evidence_stats_add_counts(stats, version, &delta);
	}
	for (unsigned hypothesis = 0; hypothesis < EVIDENCE_HYPOTHESES;
	     hypothesis++)
		evidence_stats_add_score(stats, hypothesis,
		    number_at(item, JSON_SCORES + hypothesis) -
			number_at(base, JSON_SCORES + hypothesis),
		    number_at(
			item, JSON_SCORES + EVIDENCE_HYPOTHESES + hypothesis) -
			number_at(base,
			    JSON_SCORES + EVIDENCE_HYPOTHESES + hypothesis));
}

bool
evidence_merge_json(
    evidence_t *evidence, const json_t *json, const json_t *previous)
{
	const json_t *item;
	size_t i;

	if (!json_is_array(json) || json_array_size(json) == 0 ||
	    json_array_size(json) > EVIDENCE_STATS_MAX)
		return false;
	json_array_foreach (json, i, item)
		if (!is_valid_item(item, i == 0))
			return false;
	json_array_foreach (json, i, item) {
		const char *route =
		    json_string_value(json_array_get(item, JSON_ROUTE));
		evidence_stats_t *stats =
		    i == 0 ? evidence->stats[0]
			   : evidence_stats_find_or_add(evidence, route);

		if (stats != NULL)
			merge_item(stats, item, find_item(previous, route));
	}
	return true;
}
