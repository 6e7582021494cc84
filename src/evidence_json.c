#include "evidence_state.h"

#include <string.h>

/* JSON encoding of evidence, in which nodes exchange it. */

enum { COUNT_MAX = 1 << 28 };

/* Indexes into an item, the JSON of one route's statistics. */
enum { JSON_ROUTE, JSON_COUNTS, JSON_SCORES = 1 + 2 * EVIDENCE_VERSIONS };

/*
 * An array of items, the first of which is the total, with an empty route:
 * [route, old attempts, old errors, new attempts, new errors, score sums...,
 * events...]. Latencies are not sent, only the scores derived from them.
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
is_valid_item(const json_t *item, bool is_total)
{
	const char *route = json_string_value(json_array_get(item, JSON_ROUTE));
	json_int_t attempts = COUNT_MAX;

	if (route == NULL || (*route == '\0') != is_total ||
	    strlen(route) > EVIDENCE_ROUTE_LENGTH_MAX ||
	    json_array_size(item) != JSON_SCORES + 2 * EVIDENCE_HYPOTHESES)
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

/* False without a previous item, and if a count decreased, since the node has
 * then restarted and counts from zero. */
static bool
is_continuation(const json_t *item, const json_t *previous)
{
	for (size_t i = JSON_COUNTS; i < JSON_SCORES; i++)
		if (number_at(item, i) < number_at(previous, i))
			return false;
	return previous != NULL;
}

static void
merge_item(evidence_stats_t *stats, const json_t *item, const json_t *previous)
{
	const json_t *base = is_continuation(item, previous) ? previous : NULL;

	for (int version = 0; version < EVIDENCE_VERSIONS; version++) {
		size_t index = JSON_COUNTS + 2 * (size_t)version;
		evidence_counts_t delta = {0};

		delta.attempts =
		    (uint32_t)(number_at(item, index) - number_at(base, index));
		delta.errors = (uint32_t)(number_at(item, index + 1) -
					  number_at(base, index + 1));
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
