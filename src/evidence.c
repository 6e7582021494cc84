#include "evidence_state.h"

#include <math.h>
#include <string.h>

enum {
	BUCKETS_PER_OCTAVE = 3,
	/* Attempts at the new version per window of recent evidence. */
	WINDOW_ATTEMPTS = 200,
	/* Two failures are noise at any share. */
	ERRORS_LEAST = 3,
	DOUBT_ERRORS_LEAST = 2,
	LATENCY_LEAST = 20,
	/* A route with this part of all attempts needs so many of its own. */
	ROUTE_PART = 50,
	ROUTE_ATTEMPTS = 10,
};

static const double LATENCY_FIRST_MS = 0.5;

/* How the new version may differ: its odds of an event are so many times. */
typedef struct bet {
	const char *what;
	double odds;
	double slow_quantile; /* 0: a failed attempt is the event */
} bet_t;

/*
 * Small odds find small differences in much traffic, large ones find large
 * differences after few events. A bet gains only where the true odds exceed
 * (odds - 1) / ln(odds), so smaller differences never add up.
 */
static const bet_t bets[EVIDENCE_BETS] = {
    {"errors", 3, 0},
    {"errors", 10, 0},
    {"errors", 50, 0},
    {"latency", 3, 0.75},
    {"latency", 6, 0.95},
};

/* An attempt is slow from this multiple of the old version's quantile on. */
static const double SLOW_RATIO = 1.25;

/* Users do not notice a smaller difference in latency. */
static const double SLOW_LEAST_MS = 10;

/*
 * Logarithms of the gain from which a version is bad or suspect. Between equal
 * versions a gain of exp(x) is at most as likely as exp(-x) per event. Latency
 * needs more, because slow attempts come in bursts.
 */
static const double ERRORS_BAD = 7.5;
static const double LATENCY_BAD = 11.5;
static const double ERRORS_SUSPECT = 2;
static const double LATENCY_SUSPECT = 5;
/*
 * Many events, as in a fault of both versions, are as many chances of a false
 * alarm; a bar that grows with twice their logarithm bounds the sum.
 */
static const double EVENTS_FREE = 20;
/* So many times the mean distance of failures without one ends a suspicion. */
static const double STREAK_RATIO = 3;
/* Of the Bayes factor against earlier counts. */
static const double DOUBT = 2.0;
static const double DOUBT_LATENCY = 4.0;

/* A difference in failures below these is not worth a rollback. */
static const double ERRORS_RATE_LEAST = 0.01;
static const double ERRORS_RATIO_LEAST = 1.5;
static const double LATENCY_RATIO_LEAST = 1.3;

static evidence_cell_t *
cell_new(const char *route)
{
	evidence_cell_t *cell = g_new0(evidence_cell_t, 1);

	cell->route = g_strdup(route);
	return cell;
}

evidence_t *
evidence_new(void)
{
	evidence_t *evidence = g_new0(evidence_t, 1);

	evidence->cells[0] = cell_new(NULL);
	evidence->evidence_cell_count = 1;
	return evidence;
}

evidence_t *
evidence_copy(const evidence_t *evidence)
{
	evidence_t *copy = g_new0(evidence_t, 1);

	copy->evidence_cell_count = evidence->evidence_cell_count;
	for (unsigned i = 0; i < copy->evidence_cell_count; i++) {
		copy->cells[i] = g_new(evidence_cell_t, 1);
		*copy->cells[i] = *evidence->cells[i];
		copy->cells[i]->route = g_strdup(evidence->cells[i]->route);
	}
	return copy;
}

void
evidence_free(evidence_t *evidence)
{
	if (evidence == NULL)
		return;
	for (unsigned i = 0; i < evidence->evidence_cell_count; i++) {
		g_free(evidence->cells[i]->route);
		g_free(evidence->cells[i]);
	}
	g_free(evidence);
}

evidence_cell_t *
evidence_cell_find(const evidence_t *evidence, const char *route)
{
	for (unsigned i = 1; i < evidence->evidence_cell_count; i++)
		if (strcmp(evidence->cells[i]->route, route) == 0)
			return evidence->cells[i];
	return NULL;
}

evidence_cell_t *
evidence_cell_obtain(evidence_t *evidence, const char *route)
{
	evidence_cell_t *cell = evidence_cell_find(evidence, route);

	if (cell != NULL || evidence->evidence_cell_count == EVIDENCE_CELLS ||
	    strlen(route) > EVIDENCE_ROUTE_LENGTH_MAX || *route == '\0')
		return cell;
	cell = cell_new(route);
	evidence->cells[evidence->evidence_cell_count++] = cell;
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
counts_merge(evidence_counts_t *into, const evidence_counts_t *from)
{
	into->attempts += from->attempts;
	into->errors += from->errors;
	for (unsigned i = 0; i < EVIDENCE_BUCKETS; i++)
		into->latency[i] += from->latency[i];
}

void
evidence_cell_count(evidence_cell_t *cell, evidence_side_t side,
    const evidence_counts_t *counts)
{
	if (side == EVIDENCE_NEW && counts->errors > 0)
		cell->streak = 0;
	else if (side == EVIDENCE_NEW)
		cell->streak += counts->attempts;
	counts_merge(&cell->counts[SPAN_ALL][side], counts);
	counts_merge(&cell->counts[SPAN_CURRENT][side], counts);
	if (cell->counts[SPAN_CURRENT][EVIDENCE_NEW].attempts < WINDOW_ATTEMPTS)
		return;
	memcpy(cell->counts[SPAN_PREVIOUS], cell->counts[SPAN_CURRENT],
	    sizeof(cell->counts[SPAN_CURRENT]));
	memset(cell->counts[SPAN_CURRENT], 0, sizeof(cell->counts[0]));
}

static evidence_counts_t
recent_counts(const evidence_cell_t *cell, evidence_side_t side)
{
	evidence_counts_t recent = cell->counts[SPAN_PREVIOUS][side];

	counts_merge(&recent, &cell->counts[SPAN_CURRENT][side]);
	return recent;
}

static uint32_t
answers(const evidence_counts_t *counts)
{
	return counts->attempts - counts->errors;
}

/* Latency at a quantile, interpolated within its bucket. */
static double
quantile_ms(const evidence_counts_t *counts, double quantile)
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
count_above(const evidence_counts_t *counts, unsigned bucket)
{
	uint32_t above = 0;

	for (unsigned i = bucket + 1; i < EVIDENCE_BUCKETS; i++)
		above += counts->latency[i];
	return above;
}

/* Latency from which on an attempt is slow beside the old version's. */
static double
slow_ms(double old_ms)
{
	return MAX(SLOW_RATIO * old_ms, old_ms + SLOW_LEAST_MS);
}

/* True where the attempt is the event that the bet is about. */
static bool
bet_event(const bet_t *bet, const evidence_counts_t *old,
    const evidence_attempt_t *what)
{
	if (bet->slow_quantile <= 0)
		return !what->ok;
	return what->ok && answers(old) >= LATENCY_LEAST &&
	       what->first_ms > slow_ms(quantile_ms(old, bet->slow_quantile));
}

void
evidence_cell_gain(
    evidence_cell_t *cell, unsigned bet, double gain, double events)
{
	cell->events[bet] += events;
	cell->sum[bet] += gain;
	cell->gain[bet] = MAX(0, cell->gain[bet] + gain);
}

/* The old version's quantiles are those before this attempt. */
static void
cell_bet(evidence_cell_t *cell, const evidence_attempt_t *attempt)
{
	const evidence_counts_t *old = &cell->counts[SPAN_ALL][EVIDENCE_OLD];

	if (attempt->share <= 0 || attempt->share >= 1)
		return;
	for (unsigned i = 0; i < EVIDENCE_BETS; i++) {
		double odds = bets[i].odds;
		double won = attempt->side == EVIDENCE_NEW ? log(odds) : 0;

		if (bet_event(&bets[i], old, attempt))
			evidence_cell_gain(cell, i,
			    won - log(1 + (odds - 1) * attempt->share), 1);
	}
}

static void
cell_add(evidence_cell_t *cell, const evidence_attempt_t *attempt)
{
	evidence_counts_t one = {.attempts = 1};

	if (attempt->ok)
		one.latency[latency_bucket(attempt->first_ms)] = 1;
	else
		one.errors = 1;
	cell_bet(cell, attempt);
	evidence_cell_count(cell, attempt->side, &one);
}

void
evidence_add(evidence_t *evidence, const evidence_attempt_t *attempt)
{
	evidence_cell_t *cell = evidence_cell_obtain(evidence, attempt->route);

	cell_add(evidence->cells[0], attempt);
	if (cell != NULL)
		cell_add(cell, attempt);
}

static double
error_rate(const evidence_counts_t *counts)
{
	return counts->attempts == 0
		   ? 0
		   : (double)counts->errors / counts->attempts;
}

/* True where the new version's failures differ enough to act on. */
static bool
errors_matter(
    const evidence_counts_t *old, const evidence_counts_t *new, unsigned least)
{
	double before = error_rate(old), now = error_rate(new);

	return new->errors >= least &&now >= before + ERRORS_RATE_LEAST &&now >=
	       before *ERRORS_RATIO_LEAST;
}

typedef struct finding {
	double strength; /* 1 and more: bad */
	bool suspect;
	const bet_t *bet;
	const evidence_cell_t *cell;
} finding_t;

/* A route's finding says more than the total's. */
static bool
more_telling(
    const finding_t *best, const evidence_cell_t *cell, double strength)
{
	if (best->cell != NULL && best->cell->route == NULL && strength >= 1)
		return true;
	return strength > best->strength;
}

static void
judge_cell(finding_t *best, const evidence_cell_t *cell, unsigned routes)
{
	evidence_counts_t old = recent_counts(cell, EVIDENCE_OLD);
	evidence_counts_t new = recent_counts(cell, EVIDENCE_NEW);
	bool errors = errors_matter(&old, &new, ERRORS_LEAST);
	bool doubt = errors_matter(&old, &new, DOUBT_ERRORS_LEAST) &&
		     cell->streak * error_rate(&new) < STREAK_RATIO;
	/* Each route is one more chance of a false alarm. */
	double extra = cell->route == NULL ? 0 : log(routes);

	for (unsigned i = 0; i < EVIDENCE_BETS; i++) {
		bool slow = bets[i].slow_quantile > 0;
		double bar = (slow ? LATENCY_BAD : ERRORS_BAD) + extra +
			     2 * log(1 + cell->events[i] / EVENTS_FREE);
		double low = slow ? LATENCY_SUSPECT : ERRORS_SUSPECT;
		double strength = cell->gain[i] / bar;

		if (!slow && !errors)
			strength = MIN(strength, 0.99);
		if ((slow || doubt) && cell->gain[i] > low + extra)
			best->suspect = true;
		if (!more_telling(best, cell, strength))
			continue;
		best->strength = strength;
		best->bet = &bets[i];
		best->cell = cell;
	}
}

static char *
describe(const finding_t *finding)
{
	const evidence_cell_t *cell = finding->cell;
	const char *route = cell->route != NULL ? cell->route : "all routes";
	evidence_counts_t old = recent_counts(cell, EVIDENCE_OLD);
	evidence_counts_t new = recent_counts(cell, EVIDENCE_NEW);

	if (finding->bet->slow_quantile <= 0)
		return g_strdup_printf(
		    "errors on %s: %u of %u, old version %u of %u", route,
		    new.errors, new.attempts, old.errors, old.attempts);
	return g_strdup_printf("latency on %s: median %.0f ms, p90 %.0f ms, "
			       "old version %.0f ms, %.0f ms",
	    route, quantile_ms(&new, 0.5), quantile_ms(&new, 0.9),
	    quantile_ms(&old, 0.5), quantile_ms(&old, 0.9));
}

evidence_verdict_t
evidence_judge(const evidence_t *evidence, const char *route, char **why)
{
	finding_t best = {0};

	for (unsigned i = 0; i < evidence->evidence_cell_count; i++)
		if (i == 0 || route == NULL ||
		    strcmp(evidence->cells[i]->route, route) == 0)
			judge_cell(&best, evidence->cells[i],
			    evidence->evidence_cell_count);
	if (best.cell == NULL || (best.strength < 1 && !best.suspect))
		return EVIDENCE_CLEAR;
	if (why != NULL)
		*why = describe(&best);
	return best.strength >= 1 ? EVIDENCE_BAD : EVIDENCE_SUSPECT;
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

/* Whether the shares above the pooled median differ, and the medians. */
static bool
doubt_latency(const evidence_counts_t *old, const evidence_counts_t *new)
{
	evidence_counts_t pooled = *old;
	double above_old, above_new;
	unsigned bucket;

	if (answers(old) < LATENCY_LEAST || answers(new) < LATENCY_LEAST ||
	    quantile_ms(new, 0.5) <
		quantile_ms(old, 0.5) * LATENCY_RATIO_LEAST ||
	    quantile_ms(new, 0.5) < slow_ms(quantile_ms(old, 0.5)))
		return false;
	counts_merge(&pooled, new);
	bucket = latency_bucket(quantile_ms(&pooled, 0.5));
	above_old = count_above(old, bucket);
	above_new = count_above(new, bucket);
	return above_new * answers(old) > above_old * answers(new) &&
	       log_factor(above_new, answers(new), above_old, answers(old)) >
		   DOUBT_LATENCY;
}

bool
evidence_doubt(const evidence_t *evidence)
{
	for (unsigned i = 0; i < evidence->evidence_cell_count; i++) {
		const evidence_cell_t *cell = evidence->cells[i];
		const evidence_counts_t *old =
		    &cell->counts[SPAN_ALL][EVIDENCE_OLD];
		evidence_counts_t new = recent_counts(cell, EVIDENCE_NEW);

		if (errors_matter(old, &new, DOUBT_ERRORS_LEAST) &&
		    log_factor(new.errors, new.attempts, old->errors,
			old->attempts) > DOUBT)
			return true;
		if (doubt_latency(old, &new))
			return true;
	}
	return false;
}

static unsigned
attempts_of(const evidence_cell_t *cell, evidence_side_t side)
{
	return cell == NULL ? 0 : cell->counts[SPAN_ALL][side].attempts;
}

static unsigned
attempts_since(const evidence_cell_t *cell, const evidence_cell_t *since,
    evidence_side_t side)
{
	return attempts_of(cell, side) - attempts_of(since, side);
}

unsigned
evidence_since(
    const evidence_t *evidence, const evidence_t *since, evidence_side_t side)
{
	return attempts_since(evidence->cells[0], since->cells[0], side);
}

bool
evidence_enough(
    const evidence_t *evidence, const evidence_t *since, unsigned attempts)
{
	const evidence_cell_t *total = evidence->cells[0],
			      *before = since->cells[0];
	unsigned new = attempts_since(total, before, EVIDENCE_NEW);
	unsigned all = new + attempts_since(total, before, EVIDENCE_OLD);

	if (new < attempts)
		return false;
	for (unsigned i = 1; i < evidence->evidence_cell_count; i++) {
		const evidence_cell_t *cell = evidence->cells[i];

		before = evidence_cell_find(since, cell->route);
		new = attempts_since(cell, before, EVIDENCE_NEW);
		if ((new + attempts_since(cell, before, EVIDENCE_OLD)) *
			    ROUTE_PART >=
			all &&
		    new < ROUTE_ATTEMPTS)
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
