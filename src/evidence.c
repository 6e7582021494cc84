#include "evidence_state.h"

#include <math.h>
#include <string.h>

enum {
	BUCKETS_PER_OCTAVE = 3,
	/* Attempts at the new version in one window of recent counts. */
	WINDOW_ATTEMPTS = 200,
	/* Two failures are noise at any share of the new version. */
	MIN_ERRORS_BAD = 3,
	MIN_ERRORS_SUSPECT = 2,
	MIN_LATENCY_SAMPLES = 20,
	/* A route with at least 1/50 of all attempts needs 10 attempts at the
	 * new version. */
	ROUTE_SHARE_DIVISOR = 50,
	MIN_ROUTE_ATTEMPTS = 10,
};

/* Upper bound of the first latency bucket. */
static const double FIRST_BUCKET_MAX_MS = 0.5;

/*
 * A way in which the new version may be worse: the odds that an event is an
 * attempt at the new version are odds_ratio times those of equal versions.
 */
typedef struct hypothesis {
	const char *metric;
	double odds_ratio;
	/* An event is an attempt slower than this quantile of the old version's
	 * latency; 0: a failed attempt. */
	double slow_quantile;
} hypothesis_t;

/*
 * Small odds ratios detect small differences in much traffic, large ones detect
 * large differences after few events. The expected score of an event is
 * positive only if the true odds ratio exceeds (r - 1) / ln(r) for an odds
 * ratio of r, so smaller differences never accumulate.
 */
static const hypothesis_t hypotheses[EVIDENCE_HYPOTHESES] = {
    {"errors", 3, 0},
    {"errors", 10, 0},
    {"errors", 50, 0},
    {"latency", 3, 0.75},
    {"latency", 6, 0.95},
};

/* An attempt is slow above this multiple of the old version's quantile. */
static const double SLOW_RATIO = 1.25;

/* Users do not notice a smaller difference in latency. */
static const double SLOW_MIN_INCREASE_MS = 10;

/*
 * Scores (log likelihood ratios) from which a version is bad or suspect. With
 * equal versions the probability of reaching a score of x is at most exp(-x)
 * per event. The thresholds for latency are higher because slow attempts come
 * in bursts.
 */
static const double ERROR_SCORE_BAD = 7.5;
static const double LATENCY_SCORE_BAD = 11.5;
static const double ERROR_SCORE_SUSPECT = 2;
static const double LATENCY_SCORE_SUSPECT = 5;
/*
 * Each event is one more chance of a false alarm, and a fault of both versions
 * causes many. The threshold therefore rises by 2 ln(1 + events /
 * EVENTS_SCALE), which bounds the probability of a false alarm summed over all
 * events.
 */
static const double EVENTS_SCALE = 20;
/*
 * Errors of the new version are no longer suspect once it has had this many
 * times the mean number of attempts between failures without a failure.
 */
static const double RECOVERY_RATIO = 3;
/* Log Bayes factors from which evidence_regression_suspected() is true. */
static const double ERROR_LOG_FACTOR_MIN = 2.0;
static const double LATENCY_LOG_FACTOR_MIN = 4.0;

/* Smaller differences between the versions are not worth a rollback. */
static const double ERROR_RATE_MIN_INCREASE = 0.01;
static const double ERROR_RATE_MIN_RATIO = 1.5;
/* The versions may have had different loads, unlike in a random choice. */
static const double REGRESSION_MEDIAN_MIN_RATIO = 2;

static evidence_stats_t *
stats_new(const char *route)
{
	evidence_stats_t *stats = g_new0(evidence_stats_t, 1);

	stats->route = g_strdup(route);
	return stats;
}

evidence_t *
evidence_new(void)
{
	evidence_t *evidence = g_new0(evidence_t, 1);

	evidence->stats[0] = stats_new(NULL);
	evidence->stats_count = 1;
	return evidence;
}

evidence_t *
evidence_copy(const evidence_t *evidence)
{
	evidence_t *copy = g_new0(evidence_t, 1);

	copy->stats_count = evidence->stats_count;
	for (unsigned i = 0; i < copy->stats_count; i++) {
		copy->stats[i] = g_new(evidence_stats_t, 1);
		*copy->stats[i] = *evidence->stats[i];
		copy->stats[i]->route = g_strdup(evidence->stats[i]->route);
	}
	return copy;
}

void
evidence_free(evidence_t *evidence)
{
	if (evidence == NULL)
		return;
	for (unsigned i = 0; i < evidence->stats_count; i++) {
		g_free(evidence->stats[i]->route);
		g_free(evidence->stats[i]);
	}
	g_free(evidence);
}

evidence_stats_t *
evidence_stats_find(const evidence_t *evidence, const char *route)
{
	for (unsigned i = 1; i < evidence->stats_count; i++)
		if (strcmp(evidence->stats[i]->route, route) == 0)
			return evidence->stats[i];
	return NULL;
}

evidence_stats_t *
evidence_stats_find_or_add(evidence_t *evidence, const char *route)
{
	evidence_stats_t *stats = evidence_stats_find(evidence, route);

	if (stats != NULL || evidence->stats_count == EVIDENCE_STATS_MAX ||
	    strlen(route) > EVIDENCE_ROUTE_LENGTH_MAX || *route == '\0')
		return stats;
	stats = stats_new(route);
	evidence->stats[evidence->stats_count++] = stats;
	return stats;
}

static unsigned
latency_bucket(double ms)
{
	double bucket;

	if (!(ms > FIRST_BUCKET_MAX_MS))
		return 0;
	bucket = 1 + floor(log2(ms / FIRST_BUCKET_MAX_MS) * BUCKETS_PER_OCTAVE);
	return bucket >= EVIDENCE_LATENCY_BUCKETS ? EVIDENCE_LATENCY_BUCKETS - 1
						  : (unsigned)bucket;
}

static void
counts_add(evidence_counts_t *into, const evidence_counts_t *from)
{
	into->attempts += from->attempts;
	into->errors += from->errors;
	for (unsigned i = 0; i < EVIDENCE_LATENCY_BUCKETS; i++)
		into->latency[i] += from->latency[i];
}

void
evidence_stats_add_counts(evidence_stats_t *stats, evidence_version_t version,
    const evidence_counts_t *counts)
{
	if (version == EVIDENCE_NEW_VERSION && counts->errors > 0)
		stats->successes_since_failure = 0;
	else if (version == EVIDENCE_NEW_VERSION)
		stats->successes_since_failure += counts->attempts;
	counts_add(&stats->counts[EVIDENCE_WINDOW_ALL][version], counts);
	counts_add(&stats->counts[EVIDENCE_WINDOW_CURRENT][version], counts);
	if (stats->counts[EVIDENCE_WINDOW_CURRENT][EVIDENCE_NEW_VERSION]
		.attempts < WINDOW_ATTEMPTS)
		return;
	memcpy(stats->counts[EVIDENCE_WINDOW_PREVIOUS],
	    stats->counts[EVIDENCE_WINDOW_CURRENT],
	    sizeof(stats->counts[EVIDENCE_WINDOW_CURRENT]));
	memset(stats->counts[EVIDENCE_WINDOW_CURRENT], 0,
	    sizeof(stats->counts[0]));
}

static evidence_counts_t
recent_counts(const evidence_stats_t *stats, evidence_version_t version)
{
	evidence_counts_t recent =
	    stats->counts[EVIDENCE_WINDOW_PREVIOUS][version];

	counts_add(&recent, &stats->counts[EVIDENCE_WINDOW_CURRENT][version]);
	return recent;
}

/* Attempts of which the latency is known. */
static uint32_t
latency_samples(const evidence_counts_t *counts)
{
	uint32_t samples = 0;

	for (unsigned i = 0; i < EVIDENCE_LATENCY_BUCKETS; i++)
		samples += counts->latency[i];
	return samples;
}

/* Latency at a quantile, interpolated within its bucket. */
static double
quantile_ms(const evidence_counts_t *counts, double quantile)
{
	double rank = quantile * latency_samples(counts), below = 0;

	for (unsigned i = 0; i < EVIDENCE_LATENCY_BUCKETS; i++) {
		double in_bucket = counts->latency[i];

		if (in_bucket > 0 && below + in_bucket >= rank) {
			double fraction = (rank - below) / in_bucket;

			return FIRST_BUCKET_MAX_MS *
			       exp2((i - 1 + fraction) / BUCKETS_PER_OCTAVE);
		}
		below += in_bucket;
	}
	return 0;
}

static uint32_t
count_above(const evidence_counts_t *counts, unsigned bucket)
{
	uint32_t above = 0;

	for (unsigned i = bucket + 1; i < EVIDENCE_LATENCY_BUCKETS; i++)
		above += counts->latency[i];
	return above;
}

/* Latency above which an attempt is slow; old_ms: the old version's. */
static double
slow_threshold_ms(double old_ms)
{
	return MAX(SLOW_RATIO * old_ms, old_ms + SLOW_MIN_INCREASE_MS);
}

/* True if the attempt is an event of the hypothesis. */
static bool
is_event(const hypothesis_t *hypothesis, const evidence_counts_t *old,
    const evidence_attempt_t *attempt)
{
	if (hypothesis->slow_quantile <= 0)
		return !attempt->ok;
	return attempt->ok && latency_samples(old) >= MIN_LATENCY_SAMPLES &&
	       attempt->latency_ms > slow_threshold_ms(quantile_ms(
					 old, hypothesis->slow_quantile));
}

void
evidence_stats_add_score(
    evidence_stats_t *stats, unsigned hypothesis, double score, double events)
{
	stats->events[hypothesis] += events;
	stats->score_sum[hypothesis] += score;
	stats->cusum[hypothesis] = MAX(0, stats->cusum[hypothesis] + score);
}

/* Called before the attempt is counted: the old version's quantiles must not
 * include the attempt that is compared with them. */
static void
stats_score_attempt(evidence_stats_t *stats, const evidence_attempt_t *attempt)
{
	const evidence_counts_t *old =
	    &stats->counts[EVIDENCE_WINDOW_ALL][EVIDENCE_OLD_VERSION];

	if (attempt->new_version_share <= 0 || attempt->new_version_share >= 1)
		return;
	for (unsigned i = 0; i < EVIDENCE_HYPOTHESES; i++) {
		double odds_ratio = hypotheses[i].odds_ratio;
		double log_numerator = attempt->version == EVIDENCE_NEW_VERSION
					   ? log(odds_ratio)
					   : 0;

		if (is_event(&hypotheses[i], old, attempt))
			evidence_stats_add_score(stats, i,
			    log_numerator -
				log(1 + (odds_ratio - 1) *
					    attempt->new_version_share),
			    1);
	}
}

static void
stats_add_attempt(evidence_stats_t *stats, const evidence_attempt_t *attempt)
{
	evidence_counts_t one = {.attempts = 1};

	if (attempt->ok)
		one.latency[latency_bucket(attempt->latency_ms)] = 1;
	else
		one.errors = 1;
	stats_score_attempt(stats, attempt);
	evidence_stats_add_counts(stats, attempt->version, &one);
}

void
evidence_add(evidence_t *evidence, const evidence_attempt_t *attempt)
{
	evidence_stats_t *stats =
	    evidence_stats_find_or_add(evidence, attempt->route);

	stats_add_attempt(evidence->stats[0], attempt);
	if (stats != NULL)
		stats_add_attempt(stats, attempt);
}

static double
error_rate(const evidence_counts_t *counts)
{
	return counts->attempts == 0
		   ? 0
		   : (double)counts->errors / counts->attempts;
}

/* True if the new version's error rate is higher by enough to act on. */
static bool
error_rate_worse(const evidence_counts_t *old_counts,
    const evidence_counts_t *new_counts, unsigned min_errors)
{
	double old_rate = error_rate(old_counts),
	       new_rate = error_rate(new_counts);

	return new_counts->errors >= min_errors &&
	       new_rate >= old_rate + ERROR_RATE_MIN_INCREASE &&
	       new_rate >= old_rate * ERROR_RATE_MIN_RATIO;
}

typedef struct finding {
	double score_ratio; /* of the threshold of BAD; 1 and more: bad */
	bool suspect;
	const hypothesis_t *hypothesis;
	const evidence_stats_t *stats;
} finding_t;

/* A bad route replaces the finding for all routes, since it is more exact. */
static bool
is_better_finding(
    const finding_t *best, const evidence_stats_t *stats, double score_ratio)
{
	if (best->stats != NULL && best->stats->route == NULL &&
	    score_ratio >= 1)
		return true;
	return score_ratio > best->score_ratio;
}

static void
stats_evaluate(
    finding_t *best, const evidence_stats_t *stats, unsigned stats_count)
{
	evidence_counts_t old = recent_counts(stats, EVIDENCE_OLD_VERSION);
	evidence_counts_t new = recent_counts(stats, EVIDENCE_NEW_VERSION);
	bool errors_bad = error_rate_worse(&old, &new, MIN_ERRORS_BAD);
	bool errors_suspect =
	    error_rate_worse(&old, &new, MIN_ERRORS_SUSPECT) &&
	    stats->successes_since_failure * error_rate(&new) < RECOVERY_RATIO;
	/* Each route tested is one more chance of a false alarm. */
	double route_penalty = stats->route == NULL ? 0 : log(stats_count);

	for (unsigned i = 0; i < EVIDENCE_HYPOTHESES; i++) {
		bool is_latency = hypotheses[i].slow_quantile > 0;
		double bad_score =
		    (is_latency ? LATENCY_SCORE_BAD : ERROR_SCORE_BAD) +
		    route_penalty +
		    2 * log(1 + stats->events[i] / EVENTS_SCALE);
		double suspect_score =
		    is_latency ? LATENCY_SCORE_SUSPECT : ERROR_SCORE_SUSPECT;
		double score_ratio = stats->cusum[i] / bad_score;

		if (!is_latency && !errors_bad)
			score_ratio = MIN(score_ratio, 0.99);
		if ((is_latency || errors_suspect) &&
		    stats->cusum[i] > suspect_score + route_penalty)
			best->suspect = true;
		if (!is_better_finding(best, stats, score_ratio))
			continue;
		best->score_ratio = score_ratio;
		best->hypothesis = &hypotheses[i];
		best->stats = stats;
	}
}

static const char *
route_name(const evidence_stats_t *stats)
{
	return stats->route != NULL ? stats->route : "all routes";
}

static char *
describe_errors(const evidence_stats_t *stats, const evidence_counts_t *old,
    const evidence_counts_t *new)
{
	return g_strdup_printf("errors on %s: %u of %u, old version %u of %u",
	    route_name(stats), new->errors, new->attempts, old->errors,
	    old->attempts);
}

static char *
describe_latency(const evidence_stats_t *stats, const evidence_counts_t *old,
    const evidence_counts_t *new)
{
	return g_strdup_printf("latency on %s: median %.0f ms, p90 %.0f ms, "
			       "old version %.0f ms, %.0f ms",
	    route_name(stats), quantile_ms(new, 0.5), quantile_ms(new, 0.9),
	    quantile_ms(old, 0.5), quantile_ms(old, 0.9));
}

static char *
describe_finding(const finding_t *finding)
{
	const evidence_stats_t *stats = finding->stats;
	evidence_counts_t old = recent_counts(stats, EVIDENCE_OLD_VERSION);
	evidence_counts_t new = recent_counts(stats, EVIDENCE_NEW_VERSION);

	return finding->hypothesis->slow_quantile <= 0
		   ? describe_errors(stats, &old, &new)
		   : describe_latency(stats, &old, &new);
}

evidence_verdict_t
evidence_evaluate(const evidence_t *evidence, const char *route, char **reason)
{
	finding_t best = {0};

	for (unsigned i = 0; i < evidence->stats_count; i++)
		if (i == 0 || route == NULL ||
		    strcmp(evidence->stats[i]->route, route) == 0)
			stats_evaluate(
			    &best, evidence->stats[i], evidence->stats_count);
	if (best.stats == NULL || (best.score_ratio < 1 && !best.suspect))
		return EVIDENCE_CLEAR;
	if (reason != NULL)
		*reason = describe_finding(&best);
	return best.score_ratio >= 1 ? EVIDENCE_BAD : EVIDENCE_SUSPECT;
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
log_bayes_factor(double hits_new, double n_new, double hits_old, double n_old)
{
	return log_marginal(hits_new, n_new) + log_marginal(hits_old, n_old) -
	       log_marginal(hits_new + hits_old, n_new + n_old);
}

/*
 * True if the new version has the higher median and a significantly larger
 * share of its attempts lies above the pooled median.
 */
static bool
latency_regression_suspected(
    const evidence_counts_t *old, const evidence_counts_t *new)
{
	uint32_t old_samples = latency_samples(old);
	uint32_t new_samples = latency_samples(new);
	evidence_counts_t pooled = *old;
	double old_ms, new_ms, above_old, above_new;
	unsigned bucket;

	if (old_samples < MIN_LATENCY_SAMPLES ||
	    new_samples < MIN_LATENCY_SAMPLES)
		return false;
	old_ms = quantile_ms(old, 0.5);
	new_ms = quantile_ms(new, 0.5);
	if (new_ms < old_ms * REGRESSION_MEDIAN_MIN_RATIO ||
	    new_ms < slow_threshold_ms(old_ms))
		return false;
	counts_add(&pooled, new);
	bucket = latency_bucket(quantile_ms(&pooled, 0.5));
	above_old = count_above(old, bucket);
	above_new = count_above(new, bucket);
	return above_new * old_samples > above_old * new_samples &&
	       log_bayes_factor(above_new, new_samples, above_old,
		   old_samples) > LATENCY_LOG_FACTOR_MIN;
}

/* Counts of a version since the snapshot; NULL: since the start. */
static evidence_counts_t
counts_since(const evidence_stats_t *stats, const evidence_t *snapshot,
    evidence_version_t version)
{
	evidence_counts_t since = stats->counts[EVIDENCE_WINDOW_ALL][version];
	const evidence_stats_t *earlier_stats;
	const evidence_counts_t *earlier;

	if (snapshot == NULL)
		return since;
	earlier_stats = stats->route == NULL
			    ? snapshot->stats[0]
			    : evidence_stats_find(snapshot, stats->route);
	if (earlier_stats == NULL)
		return since;
	earlier = &earlier_stats->counts[EVIDENCE_WINDOW_ALL][version];
	since.attempts -= earlier->attempts;
	since.errors -= earlier->errors;
	for (unsigned i = 0; i < EVIDENCE_LATENCY_BUCKETS; i++)
		since.latency[i] -= earlier->latency[i];
	return since;
}

/*
 * Counts of the old version since the snapshot, if they suffice. In total it is
 * else compared by all its attempts, on a single route not at all.
 */
static evidence_counts_t
baseline_counts(const evidence_stats_t *stats, const evidence_t *snapshot)
{
	evidence_counts_t since =
	    counts_since(stats, snapshot, EVIDENCE_OLD_VERSION);

	return stats->route == NULL &&
		       latency_samples(&since) < MIN_LATENCY_SAMPLES
		   ? stats->counts[EVIDENCE_WINDOW_ALL][EVIDENCE_OLD_VERSION]
		   : since;
}

/* Why the statistics raise the suspicion, newly allocated; NULL: they do not.
 */
static char *
describe_regression(const evidence_stats_t *stats, const evidence_t *old_since,
    const evidence_t *new_since)
{
	const evidence_counts_t *all_old =
	    &stats->counts[EVIDENCE_WINDOW_ALL][EVIDENCE_OLD_VERSION];
	evidence_counts_t old = baseline_counts(stats, old_since);
	evidence_counts_t recent = recent_counts(stats, EVIDENCE_NEW_VERSION);
	evidence_counts_t new =
	    new_since == NULL
		? recent
		: counts_since(stats, new_since, EVIDENCE_NEW_VERSION);

	/* The first attempts after a snapshot are too few, the recent ones may
	 * all be older than it. */
	if (error_rate_worse(all_old, &new, MIN_ERRORS_SUSPECT) &&
	    error_rate_worse(all_old, &recent, MIN_ERRORS_SUSPECT) &&
	    log_bayes_factor(recent.errors, recent.attempts, all_old->errors,
		all_old->attempts) > ERROR_LOG_FACTOR_MIN)
		return describe_errors(stats, all_old, &recent);
	if (latency_regression_suspected(&old, &new))
		return describe_latency(stats, &old, &new);
	return NULL;
}

bool
evidence_regression_suspected(const evidence_t *evidence,
    const evidence_t *old_since, const evidence_t *new_since, char **reason)
{
	char *found = NULL;

	for (unsigned i = 0; i < evidence->stats_count && found == NULL; i++)
		found = describe_regression(
		    evidence->stats[i], old_since, new_since);
	if (found == NULL)
		return false;
	if (reason != NULL)
		*reason = found;
	else
		g_free(found);
	return true;
}

static unsigned
stats_attempts(const evidence_stats_t *stats, evidence_version_t version)
{
	return stats == NULL
		   ? 0
		   : stats->counts[EVIDENCE_WINDOW_ALL][version].attempts;
}

static unsigned
stats_attempts_since(const evidence_stats_t *stats,
    const evidence_stats_t *snapshot, evidence_version_t version)
{
	return stats_attempts(stats, version) -
	       stats_attempts(snapshot, version);
}

unsigned
evidence_attempts_since(const evidence_t *evidence, const evidence_t *snapshot,
    evidence_version_t version)
{
	return stats_attempts_since(
	    evidence->stats[0], snapshot->stats[0], version);
}

bool
evidence_sample_sufficient(const evidence_t *evidence,
    const evidence_t *snapshot, unsigned min_attempts)
{
	const evidence_stats_t *total = evidence->stats[0],
			       *earlier = snapshot->stats[0];
	unsigned new_attempts =
	    stats_attempts_since(total, earlier, EVIDENCE_NEW_VERSION);
	unsigned all_attempts =
	    new_attempts +
	    stats_attempts_since(total, earlier, EVIDENCE_OLD_VERSION);

	if (new_attempts < min_attempts)
		return false;
	for (unsigned i = 1; i < evidence->stats_count; i++) {
		const evidence_stats_t *stats = evidence->stats[i];

		earlier = evidence_stats_find(snapshot, stats->route);
		new_attempts =
		    stats_attempts_since(stats, earlier, EVIDENCE_NEW_VERSION);
		if ((new_attempts + stats_attempts_since(
					stats, earlier, EVIDENCE_OLD_VERSION)) *
			    ROUTE_SHARE_DIVISOR >=
			all_attempts &&
		    new_attempts < MIN_ROUTE_ATTEMPTS)
			return false;
	}
	return true;
}

unsigned
evidence_attempts(const evidence_t *evidence, evidence_version_t version)
{
	return evidence->stats[0]
	    ->counts[EVIDENCE_WINDOW_ALL][version]
	    .attempts;
}

unsigned
evidence_errors(const evidence_t *evidence, evidence_version_t version)
{
	return evidence->stats[0]->counts[EVIDENCE_WINDOW_ALL][version].errors;
}
