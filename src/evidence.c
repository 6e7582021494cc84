#include "evidence.h"

#include "json.h"

#include <math.h>
#include <string.h>

enum {
	BUCKETS_PER_OCTAVE = 3,
	/* Attempts at the new version per window of recent evidence. */
	WINDOW_ATTEMPTS = 200,
	/* A single failure is noise at any share. */
	ERRORS_LEAST = 3,
	LATENCY_LEAST = 16,
	/* A route with this part of all attempts needs so many of its own. */
	ROUTE_PART = 50,
	ROUTE_ATTEMPTS = 10,
	CELLS = EVIDENCE_ROUTES_MAX + 1,
	ROUTE_LENGTH_MAX = 128,
	COUNT_MAX = 1 << 28,
};

static const double LATENCY_FIRST_MS = 0.5;

/*
 * Logarithms of the Bayes factor from which a version is bad. Under equal
 * versions the factor is a martingale, so the chance that it ever passes
 * exp(x) is at most exp(-x), however often it is looked at.
 */
static const double ERRORS_BAD = 8.5;
static const double LATENCY_BAD = 11.5;
static const double SUSPECT_PART = 0.45; /* of the above */

/* A difference below these is not worth a rollback. */
static const double ERRORS_RATE_LEAST = 0.01;
static const double LATENCY_RATIO_LEAST = 1.3;

typedef struct counts {
	uint32_t attempts;
	uint32_t errors;
	uint32_t latency[EVIDENCE_BUCKETS];
} counts_t;

typedef enum span { SPAN_ALL, SPAN_CURRENT, SPAN_PREVIOUS, SPANS } span_t;

typedef struct cell {
	char *route; /* NULL: the total */
	counts_t counts[SPANS][EVIDENCE_SIDES];
} cell_t;

struct evidence {
	cell_t *cells[CELLS]; /* the first is the total */
	unsigned cell_count;
};

static cell_t *
cell_new(const char *route)
{
	cell_t *cell = g_new0(cell_t, 1);

	cell->route = g_strdup(route);
	return cell;
}

evidence_t *
evidence_new(void)
{
	evidence_t *evidence = g_new0(evidence_t, 1);

	evidence->cells[0] = cell_new(NULL);
	evidence->cell_count = 1;
	return evidence;
}

static void
cells_free(evidence_t *evidence)
{
	for (unsigned i = 0; i < evidence->cell_count; i++) {
		g_free(evidence->cells[i]->route);
		g_free(evidence->cells[i]);
	}
}

void
evidence_free(evidence_t *evidence)
{
	if (evidence == NULL)
		return;
	cells_free(evidence);
	g_free(evidence);
}

void
evidence_reset(evidence_t *evidence)
{
	cells_free(evidence);
	evidence->cells[0] = cell_new(NULL);
	evidence->cell_count = 1;
}

static cell_t *
cell_find(const evidence_t *evidence, const char *route)
{
	for (unsigned i = 1; i < evidence->cell_count; i++)
		if (strcmp(evidence->cells[i]->route, route) == 0)
			return evidence->cells[i];
	return NULL;
}

static cell_t *
cell_obtain(evidence_t *evidence, const char *route)
{
	cell_t *cell = cell_find(evidence, route);

	if (cell != NULL || evidence->cell_count == CELLS ||
	    strlen(route) > ROUTE_LENGTH_MAX || *route == '\0')
		return cell;
	cell = cell_new(route);
	evidence->cells[evidence->cell_count++] = cell;
	return cell;
}

static unsigned
latency_bucket(double ms)
{
	double place;

	if (!(ms > LATENCY_FIRST_MS))
		return 0;
	place = 1 + floor(log2(ms / LATENCY_FIRST_MS) * BUCKETS_PER_OCTAVE);
	return place >= EVIDENCE_BUCKETS ? EVIDENCE_BUCKETS - 1
					 : (unsigned)place;
}

static void
counts_add(counts_t *counts, bool ok, double ms)
{
	counts->attempts++;
	if (ok)
		counts->latency[latency_bucket(ms)]++;
	else
		counts->errors++;
}

static void
counts_merge(counts_t *into, const counts_t *from)
{
	into->attempts += from->attempts;
	into->errors += from->errors;
	for (unsigned i = 0; i < EVIDENCE_BUCKETS; i++)
		into->latency[i] += from->latency[i];
}

static void
cell_add(cell_t *cell, evidence_side_t side, bool ok, double ms)
{
	counts_add(&cell->counts[SPAN_ALL][side], ok, ms);
	counts_add(&cell->counts[SPAN_CURRENT][side], ok, ms);
	if (cell->counts[SPAN_CURRENT][EVIDENCE_NEW].attempts < WINDOW_ATTEMPTS)
		return;
	memcpy(cell->counts[SPAN_PREVIOUS], cell->counts[SPAN_CURRENT],
	    sizeof(cell->counts[SPAN_CURRENT]));
	memset(cell->counts[SPAN_CURRENT], 0, sizeof(cell->counts[0]));
}

void
evidence_add(evidence_t *evidence, evidence_side_t side, const char *route,
    bool ok, double first_ms)
{
	cell_t *cell = cell_obtain(evidence, route);

	cell_add(evidence->cells[0], side, ok, first_ms);
	if (cell != NULL)
		cell_add(cell, side, ok, first_ms);
}

static double
log_beta(double a, double b)
{
	int sign;

	return lgamma_r(a, &sign) + lgamma_r(b, &sign) - lgamma_r(a + b, &sign);
}

/* Log marginal likelihood of hits out of n under a Jeffreys prior. */
static double
log_marginal(double hits, double n)
{
	const double prior = 0.5;

	return log_beta(hits + prior, n - hits + prior) -
	       log_beta(prior, prior);
}

/* Log Bayes factor of "two rates" against "one rate". */
static double
log_factor(double hits_new, double n_new, double hits_old, double n_old)
{
	return log_marginal(hits_new, n_new) + log_marginal(hits_old, n_old) -
	       log_marginal(hits_new + hits_old, n_new + n_old);
}

static double
judge_errors(const counts_t *old, const counts_t *new)
{
	double rate_old, rate_new;

	if (new->errors < ERRORS_LEAST || old->attempts == 0)
		return 0;
	rate_old = (double)old->errors / old->attempts;
	rate_new = (double)new->errors / new->attempts;
	if (rate_new < rate_old + ERRORS_RATE_LEAST)
		return 0;
	return log_factor(
	    new->errors, new->attempts, old->errors, old->attempts);
}

static uint32_t
answers(const counts_t *counts)
{
	return counts->attempts - counts->errors;
}

/* Latency at a quantile, interpolated within its bucket. */
static double
quantile_ms(const counts_t *counts, double quantile)
{
	double rank = quantile * answers(counts), seen = 0;

	for (unsigned i = 0; i < EVIDENCE_BUCKETS; i++) {
		double in = counts->latency[i];

		if (in > 0 && seen + in >= rank) {
			double part = (rank - seen) / in;

			return LATENCY_FIRST_MS *
			       exp2((i - 1 + part) / BUCKETS_PER_OCTAVE);
		}
		seen += in;
	}
	return 0;
}

static uint32_t
count_above(const counts_t *counts, unsigned bucket)
{
	uint32_t above = 0;

	for (unsigned i = bucket + 1; i < EVIDENCE_BUCKETS; i++)
		above += counts->latency[i];
	return above;
}

/* Compares the shares above the pooled quantile, and the quantiles. */
static double
judge_latency(const counts_t *old, const counts_t *new, double quantile)
{
	counts_t pooled = *old;
	double old_ms, new_ms, above_old, above_new;
	unsigned bucket;

	if (answers(old) < LATENCY_LEAST || answers(new) < LATENCY_LEAST)
		return 0;
	old_ms = quantile_ms(old, quantile);
	new_ms = quantile_ms(new, quantile);
	if (new_ms < old_ms * LATENCY_RATIO_LEAST)
		return 0;
	counts_merge(&pooled, new);
	bucket = latency_bucket(quantile_ms(&pooled, quantile));
	above_old = count_above(old, bucket);
	above_new = count_above(new, bucket);
	if (above_new * answers(old) <= above_old * answers(new))
		return 0;
	return log_factor(above_new, answers(new), above_old, answers(old));
}

typedef struct finding {
	double strength; /* 1 and more: bad */
	const char *what;
	const char *route;
	counts_t old, new;
} finding_t;

static void
keep_stronger(finding_t *best, double strength, const char *what,
    const cell_t *cell, const counts_t *old, const counts_t *new)
{
	if (strength <= best->strength)
		return;
	best->strength = strength;
	best->what = what;
	best->route = cell->route;
	best->old = *old;
	best->new = *new;
}

static void
judge_counts(finding_t *best, const cell_t *cell, const counts_t *old,
    const counts_t *new, unsigned routes)
{
	/* Each route is one more chance of a false alarm. */
	double extra = cell->route == NULL ? 0 : log(routes);

	keep_stronger(best, judge_errors(old, new) / (ERRORS_BAD + extra),
	    "errors", cell, old, new);
	keep_stronger(best,
	    judge_latency(old, new, 0.5) / (LATENCY_BAD + extra),
	    "latency at the median", cell, old, new);
	keep_stronger(best,
	    judge_latency(old, new, 0.9) / (LATENCY_BAD + extra),
	    "latency at the 90th percentile", cell, old, new);
}

static void
judge_cell(finding_t *best, const cell_t *cell, unsigned routes)
{
	counts_t recent[EVIDENCE_SIDES];

	judge_counts(best, cell, &cell->counts[SPAN_ALL][EVIDENCE_OLD],
	    &cell->counts[SPAN_ALL][EVIDENCE_NEW], routes);
	if (cell->counts[SPAN_PREVIOUS][EVIDENCE_NEW].attempts == 0)
		return;
	for (int side = 0; side < EVIDENCE_SIDES; side++) {
		recent[side] = cell->counts[SPAN_PREVIOUS][side];
		counts_merge(&recent[side], &cell->counts[SPAN_CURRENT][side]);
	}
	judge_counts(
	    best, cell, &recent[EVIDENCE_OLD], &recent[EVIDENCE_NEW], routes);
}

static char *
describe(const finding_t *finding)
{
	const counts_t *old = &finding->old, *new = &finding->new;

	if (strcmp(finding->what, "errors") == 0)
		return g_strdup_printf(
		    "errors on %s: %u of %u, old version %u of %u",
		    finding->route != NULL ? finding->route : "all routes",
		    new->errors, new->attempts, old->errors, old->attempts);
	return g_strdup_printf("%s on %s: median %.1f ms, p90 %.1f ms, old "
			       "version %.1f ms, %.1f ms",
	    finding->what,
	    finding->route != NULL ? finding->route : "all routes",
	    quantile_ms(new, 0.5), quantile_ms(new, 0.9), quantile_ms(old, 0.5),
	    quantile_ms(old, 0.9));
}

static evidence_verdict_t
verdict_of(const finding_t *finding, char **why)
{
	if (finding->strength < SUSPECT_PART)
		return EVIDENCE_CLEAR;
	if (why != NULL)
		*why = describe(finding);
	return finding->strength >= 1 ? EVIDENCE_BAD : EVIDENCE_SUSPECT;
}

evidence_verdict_t
evidence_judge(const evidence_t *evidence, char **why)
{
	finding_t best = {.what = ""};

	for (unsigned i = 0; i < evidence->cell_count; i++)
		judge_cell(&best, evidence->cells[i], evidence->cell_count);
	return verdict_of(&best, why);
}

evidence_verdict_t
evidence_judge_route(const evidence_t *evidence, const char *route, char **why)
{
	const cell_t *cell = cell_find(evidence, route);
	finding_t best = {.what = ""};

	judge_cell(&best, evidence->cells[0], evidence->cell_count);
	if (cell != NULL)
		judge_cell(&best, cell, evidence->cell_count);
	return verdict_of(&best, why);
}

bool
evidence_doubt(const evidence_t *evidence, const evidence_t *earlier)
{
	finding_t best = {.what = ""};

	for (unsigned i = 0; i < evidence->cell_count; i++) {
		const cell_t *cell = evidence->cells[i];
		const cell_t *before = i == 0 ? earlier->cells[0]
					      : cell_find(earlier, cell->route);
		counts_t recent;

		if (before == NULL)
			continue;
		recent = cell->counts[SPAN_PREVIOUS][EVIDENCE_NEW];
		counts_merge(
		    &recent, &cell->counts[SPAN_CURRENT][EVIDENCE_NEW]);
		judge_counts(&best, cell,
		    &before->counts[SPAN_ALL][EVIDENCE_OLD], &recent,
		    evidence->cell_count);
	}
	return best.strength >= SUSPECT_PART;
}

bool
evidence_enough(const evidence_t *evidence, unsigned attempts)
{
	unsigned total = evidence_count(evidence, EVIDENCE_OLD) +
			 evidence_count(evidence, EVIDENCE_NEW);

	if (evidence_count(evidence, EVIDENCE_NEW) < attempts)
		return false;
	for (unsigned i = 1; i < evidence->cell_count; i++) {
		const counts_t *all = evidence->cells[i]->counts[SPAN_ALL];
		unsigned on_route =
		    all[EVIDENCE_OLD].attempts + all[EVIDENCE_NEW].attempts;

		if (on_route * ROUTE_PART >= total &&
		    all[EVIDENCE_NEW].attempts < ROUTE_ATTEMPTS)
			return false;
	}
	return true;
}

unsigned
evidence_count(const evidence_t *evidence, evidence_side_t side)
{
	return evidence->cells[0]->counts[SPAN_ALL][side].attempts;
}

unsigned
evidence_errors(const evidence_t *evidence, evidence_side_t side)
{
	return evidence->cells[0]->counts[SPAN_ALL][side].errors;
}

void
evidence_merge(evidence_t *into, const evidence_t *from)
{
	for (unsigned i = 0; i < from->cell_count; i++) {
		const cell_t *cell = from->cells[i];
		cell_t *target =
		    i == 0 ? into->cells[0] : cell_obtain(into, cell->route);

		for (int span = 0; target != NULL && span < SPANS; span++)
			for (int side = 0; side < EVIDENCE_SIDES; side++)
				counts_merge(&target->counts[span][side],
				    &cell->counts[span][side]);
	}
}

/* [attempts, errors, bucket, count, ...] */
static json_t *
counts_json(const counts_t *counts)
{
	json_t *array = json_array();

	json_array_append_new(array, json_integer(counts->attempts));
	json_array_append_new(array, json_integer(counts->errors));
	for (unsigned i = 0; i < EVIDENCE_BUCKETS; i++) {
		if (counts->latency[i] == 0)
			continue;
		json_array_append_new(array, json_integer(i));
		json_array_append_new(array, json_integer(counts->latency[i]));
	}
	return array;
}

json_t *
evidence_json(const evidence_t *evidence)
{
	json_t *cells = json_array();

	for (unsigned i = 0; i < evidence->cell_count; i++) {
		const cell_t *cell = evidence->cells[i];
		json_t *item = json_array();

		json_array_append_new(
		    item, json_string(cell->route == NULL ? "" : cell->route));
		for (int span = 0; span < SPANS; span++)
			for (int side = 0; side < EVIDENCE_SIDES; side++)
				json_array_append_new(item,
				    counts_json(&cell->counts[span][side]));
		json_array_append_new(cells, item);
	}
	return cells;
}

static bool
read_count(const json_t *array, size_t index, int64_t most, uint32_t *out)
{
	const json_t *value = json_array_get(array, index);

	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > most)
		return false;
	*out = (uint32_t)json_integer_value(value);
	return true;
}

static bool
counts_from_json(counts_t *counts, const json_t *array)
{
	uint64_t answered = 0;
	uint32_t bucket;

	memset(counts, 0, sizeof(*counts));
	if (!read_count(array, 0, COUNT_MAX, &counts->attempts) ||
	    !read_count(array, 1, counts->attempts, &counts->errors))
		return false;
	for (size_t i = 2; i < json_array_size(array); i += 2) {
		if (!read_count(array, i, EVIDENCE_BUCKETS - 1, &bucket) ||
		    !read_count(array, i + 1, counts->attempts,
			&counts->latency[bucket]))
			return false;
	}
	for (unsigned i = 0; i < EVIDENCE_BUCKETS; i++)
		answered += counts->latency[i];
	return answered == answers(counts);
}

static bool
merge_cell(cell_t *cell, const json_t *item)
{
	for (int span = 0; span < SPANS; span++) {
		for (int side = 0; side < EVIDENCE_SIDES; side++) {
			counts_t counts;
			size_t at = 1 + (size_t)span * EVIDENCE_SIDES + side;

			if (!counts_from_json(
				&counts, json_array_get(item, at)))
				return false;
			counts_merge(&cell->counts[span][side], &counts);
		}
	}
	return true;
}

bool
evidence_merge_json(evidence_t *into, const json_t *json)
{
	evidence_t *parsed = evidence_new();
	bool good = json_is_array(json) && json_array_size(json) <= CELLS;
	const json_t *item;
	size_t i;

	json_array_foreach (json, i, item) {
		const char *route = json_string_value(json_array_get(item, 0));
		cell_t *cell;

		if (!good || route == NULL || (i == 0) != (*route == '\0') ||
		    strlen(route) > ROUTE_LENGTH_MAX) {
			good = false;
			break;
		}
		cell = i == 0 ? parsed->cells[0] : cell_obtain(parsed, route);
		good = cell != NULL && merge_cell(cell, item);
	}
	if (good)
		evidence_merge(into, parsed);
	evidence_free(parsed);
	return good;
}
