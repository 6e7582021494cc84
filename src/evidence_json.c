#include "evidence_state.h"

#include <string.h>

/* Evidence as nodes send it to each other. */

enum { COUNT_MAX = 1 << 28 };

/* Plain members of a cell's JSON before its sums. */
enum { JSON_ROUTE, JSON_COUNTS, JSON_SUMS = 1 + 2 * EVIDENCE_SIDES };

/* [route, old attempts, old errors, new attempts, new errors, sums...,
 * events...] */
json_t *
evidence_json(const evidence_t *evidence)
{
	json_t *cells = json_array();

	for (unsigned i = 0; i < evidence->evidence_cell_count; i++) {
		const evidence_cell_t *cell = evidence->cells[i];
		json_t *item = json_array();

		json_array_append_new(
		    item, json_string(cell->route == NULL ? "" : cell->route));
		for (int side = 0; side < EVIDENCE_SIDES; side++) {
			const evidence_counts_t *counts =
			    &cell->counts[SPAN_ALL][side];

			json_array_append_new(
			    item, json_integer(counts->attempts));
			json_array_append_new(
			    item, json_integer(counts->errors));
		}
		for (unsigned bet = 0; bet < EVIDENCE_BETS; bet++)
			json_array_append_new(item, json_real(cell->sum[bet]));
		for (unsigned bet = 0; bet < EVIDENCE_BETS; bet++)
			json_array_append_new(
			    item, json_integer((json_int_t)cell->events[bet]));
		json_array_append_new(cells, item);
	}
	return cells;
}

static double
number_at(const json_t *item, size_t index)
{
	return json_number_value(json_array_get(item, index));
}

static bool
cell_json_good(const json_t *item, bool first)
{
	const char *route = json_string_value(json_array_get(item, JSON_ROUTE));
	json_int_t before = COUNT_MAX;

	if (route == NULL || (*route == '\0') != first ||
	    strlen(route) > EVIDENCE_ROUTE_LENGTH_MAX ||
	    json_array_size(item) != JSON_SUMS + 2 * EVIDENCE_BETS)
		return false;
	for (size_t i = JSON_COUNTS; i < JSON_SUMS; i++) {
		const json_t *value = json_array_get(item, i);
		json_int_t most = i % 2 == 1 ? COUNT_MAX : before;

		before = json_integer_value(value);
		if (!json_is_integer(value) || before < 0 || before > most)
			return false;
	}
	for (size_t i = JSON_SUMS; i < JSON_SUMS + EVIDENCE_BETS; i++)
		if (!json_is_number(json_array_get(item, i)) ||
		    number_at(item, i + EVIDENCE_BETS) < 0)
			return false;
	return true;
}

static const json_t *
cell_json_find(const json_t *json, const char *route)
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

/* Counts that went down are those of a node that has started again. */
static bool
continues(const json_t *item, const json_t *last)
{
	for (size_t i = JSON_COUNTS; i < JSON_SUMS; i++)
		if (number_at(item, i) < number_at(last, i))
			return false;
	return last != NULL;
}

static void
absorb_cell(evidence_cell_t *cell, const json_t *item, const json_t *last)
{
	const json_t *from = continues(item, last) ? last : NULL;

	for (int side = 0; side < EVIDENCE_SIDES; side++) {
		size_t at = JSON_COUNTS + 2 * (size_t)side;
		evidence_counts_t more = {0};

		more.attempts =
		    (uint32_t)(number_at(item, at) - number_at(from, at));
		more.errors = (uint32_t)(number_at(item, at + 1) -
					 number_at(from, at + 1));
		evidence_cell_count(cell, side, &more);
	}
	for (unsigned bet = 0; bet < EVIDENCE_BETS; bet++)
		evidence_cell_gain(cell, bet,
		    number_at(item, JSON_SUMS + bet) -
			number_at(from, JSON_SUMS + bet),
		    number_at(item, JSON_SUMS + EVIDENCE_BETS + bet) -
			number_at(from, JSON_SUMS + EVIDENCE_BETS + bet));
}

bool
evidence_absorb(evidence_t *evidence, const json_t *json, const json_t *last)
{
	const json_t *item;
	size_t i;

	if (!json_is_array(json) || json_array_size(json) == 0 ||
	    json_array_size(json) > EVIDENCE_CELLS)
		return false;
	json_array_foreach (json, i, item)
		if (!cell_json_good(item, i == 0))
			return false;
	json_array_foreach (json, i, item) {
		const char *route =
		    json_string_value(json_array_get(item, JSON_ROUTE));
		evidence_cell_t *cell =
		    i == 0 ? evidence->cells[0]
			   : evidence_cell_obtain(evidence, route);

		if (cell != NULL)
			absorb_cell(cell, item, cell_json_find(last, route));
	}
	return true;
}
