#include "quota.h"

#include "demand.h"

#include <math.h>

enum {
	/* Nothing is reserved for urgent requests when none came for so long.
	 */
	URGENT_MEMORY_MS = 10000,
	/* Span over which spending is averaged. */
	SMOOTHING_MS = 1000,
	SMOOTHING_SLOTS = 10,
	SLOT_MS = SMOOTHING_MS / SMOOTHING_SLOTS,
	/*
	 * Number of own requests at which a node's own spending predicts that
	 * of other nodes as well as their reports do.
	 */
	SAMPLE_REQUESTS = 8,
	/* Refused clients are told to return over no more than this time. */
	RETURNS_MAX_MS = 2000,
	MS_PER_S = 1000,
};

/*
 * Share of the burst that can be spent at once. The rest raises the refill
 * rate, so that a steady demand gets the whole limit of the window.
 */
static const double burst_capacity_share = 0.5;
/* Share of the capacity by which an overdraft may go below zero. */
static const double overdraft_share = 0.25;
/*
 * Share of the capacity that deferrable requests leave to urgent ones, and
 * share of the refill that they get nevertheless: urgent requests that use up
 * the quota must not starve them.
 */
static const double urgent_reserve_share = 0.3;
static const double deferrable_refill_share = 0.2;
/* Share of the capacity by which they may take it below zero for that. */
static const double deferrable_overdraft_share = 0.1;
/*
 * Largest capacity as a share of the limit: in a window that is not much longer
 * than the reports are old, nothing would be left to refill.
 */
static const double max_capacity_share = 0.5;
/* Capacity in seconds of the rate where the burst is smaller than that. */
static const double min_capacity_s = 0.25;

/*
 * Share of the tolerance that is added to the limit, so that a demand at the
 * limit is served although the refill rate is reduced by the capacity. The
 * rest covers spending that is reported late.
 */
static const double usable_tolerance_share = 0.4;

/*
 * Part of the refill that a node may spend where the bucket is empty, as a
 * multiple of its share of the demand, which reports show late.
 */
static const double least_part = 1.1;

typedef struct bucket {
	char *workspace;
	bool has_limit;
	double rate_per_s;    /* configured */
	double burst;	      /* configured */
	double refill_per_ms; /* derived from the limit */
	double capacity;
	double unreported_max; /* that the tolerance covers */
	double level; /* below zero after overdrafts and late reports */
	double spent; /* by this node since its start */
	int64_t refilled_ms;
	int64_t newest_slot;
	double own_units[SMOOTHING_SLOTS];	/* spent by this node */
	unsigned own_requests[SMOOTHING_SLOTS]; /* of own_units */
	double remote_units[SMOOTHING_SLOTS];	/* by time of the report */
	/* Deferrable requests may spend it while urgent ones take all. */
	double deferrable_level;
	demand_t demand;
	double share;		 /* of the demand, at the last request */
	int64_t urgent_until_ms; /* end of the reserve for urgent requests */
	int64_t next_return_ms;	 /* of the clients refused so far, the last */
} bucket_t;

struct quota {
	GHashTable *buckets; /* workspace to bucket_t */
	quota_options_t options;
	int64_t report_age_ms;
	unsigned nodes;
	unsigned unreachable;
};

static void
bucket_free(gpointer data)
{
	bucket_t *bucket = data;

	g_free(bucket->workspace);
	g_free(bucket);
}

quota_t *
quota_new(const quota_options_t *options)
{
	quota_t *quota = g_new0(quota_t, 1);

	quota->buckets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, bucket_free);
	quota->options = *options;
	quota->options.window_ms = MAX(options->window_ms, 1);
	quota->nodes = 1;
	return quota;
}

void
quota_free(quota_t *quota)
{
	if (quota == NULL)
		return;
	g_hash_table_unref(quota->buckets);
	g_free(quota);
}

/* Share of the rate that is reserved for unreachable nodes. */
static double
unreachable_share(const quota_t *quota)
{
	return (double)quota->unreachable / MAX(quota->nodes, 1);
}

/* Refills the bucket and clears the slots that begin, up to now. */
static void
advance(const quota_t *quota, bucket_t *bucket, int64_t now_ms)
{
	int64_t slot = now_ms / SLOT_MS;
	double passed_ms = (double)(now_ms - bucket->refilled_ms);

	bucket->refilled_ms = now_ms;
	bucket->level +=
	    bucket->refill_per_ms * passed_ms * (1 - unreachable_share(quota));
	bucket->level = MIN(bucket->level, bucket->capacity);
	bucket->deferrable_level += deferrable_refill_share *
				    bucket->refill_per_ms * passed_ms *
				    bucket->share;
	bucket->deferrable_level = MIN(bucket->deferrable_level,
	    deferrable_refill_share * bucket->refill_per_ms * SMOOTHING_MS *
		bucket->share);
	bucket->newest_slot = MAX(bucket->newest_slot, slot - SMOOTHING_SLOTS);
	while (bucket->newest_slot < slot) {
		size_t next = (size_t)(++bucket->newest_slot % SMOOTHING_SLOTS);

		bucket->own_units[next] = 0;
		bucket->own_requests[next] = 0;
		bucket->remote_units[next] = 0;
	}
}

/* The refilled bucket of a workspace; NULL where it has no limit. */
static bucket_t *
find_bucket(quota_t *quota, const char *workspace, int64_t now_ms)
{
	bucket_t *bucket = g_hash_table_lookup(quota->buckets, workspace);

	if (bucket == NULL || !bucket->has_limit)
		return NULL;
	advance(quota, bucket, now_ms);
	return bucket;
}

/*
 * The capacity includes room for spending that is not reported yet. A window
 * spends the capacity and what is refilled in it.
 */
static void
apply_limits(const quota_t *quota, bucket_t *bucket)
{
	const quota_options_t *options = &quota->options;
	double window_s = (double)options->window_ms / MS_PER_S;
	double report_age_s = (double)quota->report_age_ms / MS_PER_S;
	double limit = bucket->rate_per_s * window_s + bucket->burst;
	double tolerance = MIN(
	    limit, options->tolerance_ratio * limit + options->tolerance_units);
	double usable_tolerance = usable_tolerance_share * tolerance;
	double base_capacity = MAX(bucket->burst * burst_capacity_share,
	    bucket->rate_per_s * min_capacity_s);

	bucket->capacity = MAX(usable_tolerance,
	    base_capacity + bucket->rate_per_s * report_age_s);
	bucket->capacity = MIN(bucket->capacity, max_capacity_share * limit);
	bucket->refill_per_ms = (limit + usable_tolerance - bucket->capacity) /
				(double)options->window_ms;
	bucket->unreported_max = tolerance - usable_tolerance;
	bucket->level = MIN(bucket->level, bucket->capacity);
}

static void
configure_workspace(
    quota_t *quota, const catalog_workspace_t *workspace, int64_t now_ms)
{
	bucket_t *bucket = g_hash_table_lookup(quota->buckets, workspace->name);

	if (bucket == NULL) {
		bucket = g_new0(bucket_t, 1);
		bucket->workspace = g_strdup(workspace->name);
		bucket->refilled_ms = now_ms;
		g_hash_table_insert(quota->buckets, bucket->workspace, bucket);
	}
	advance(quota, bucket, now_ms);
	bucket->has_limit = workspace->rate_per_s > 0;
	bucket->rate_per_s = workspace->rate_per_s;
	bucket->burst = workspace->burst;
	apply_limits(quota, bucket);
}

void
quota_configure(quota_t *quota, const catalog_t *catalog, int64_t now_ms)
{
	for (guint i = 0; i < catalog->workspaces->len; i++)
		configure_workspace(
		    quota, catalog->workspaces->pdata[i], now_ms);
}

void
quota_set_nodes(quota_t *quota, unsigned nodes, unsigned unreachable,
    int64_t report_age_ms, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer bucket;

	g_hash_table_iter_init(&iter, quota->buckets);
	quota->report_age_ms = report_age_ms;
	while (g_hash_table_iter_next(&iter, NULL, &bucket)) {
		advance(quota, bucket, now_ms);
		apply_limits(quota, bucket);
	}
	quota->nodes = nodes;
	quota->unreachable = MIN(unreachable, nodes - 1);
}

/* Estimates what other nodes have spent since their last reports. */
static double
unreported_units(const quota_t *quota, const bucket_t *bucket)
{
	double own_sum = 0, remote_sum = 0, own_estimate, estimate;
	double reachable =
	    (double)(quota->nodes - quota->unreachable) / quota->nodes;
	unsigned requests = 0;

	for (size_t i = 0; i < SMOOTHING_SLOTS; i++) {
		own_sum += bucket->own_units[i];
		requests += bucket->own_requests[i];
		remote_sum += bucket->remote_units[i];
	}
	own_estimate = own_sum * MAX(reachable / bucket->share - 1, 0);
	estimate = (own_estimate * requests + remote_sum * SAMPLE_REQUESTS) /
		   (requests + SAMPLE_REQUESTS);
	return estimate * (double)quota->report_age_ms / SMOOTHING_MS;
}

/* Time in which this node may spend its part, see part_units(). */
static int64_t
part_interval_ms(const quota_t *quota)
{
	return CLAMP(2 * quota->report_age_ms, SLOT_MS, SMOOTHING_MS);
}

/* Units that this node has spent in the latest time of that length. */
static double
recent_own_units(const bucket_t *bucket, int64_t duration_ms)
{
	double sum = 0;

	for (int64_t i = 0; i < duration_ms / SLOT_MS; i++)
		sum += bucket->own_units[(bucket->newest_slot - i) %
					 SMOOTHING_SLOTS];
	return sum;
}

/*
 * This node's part of what the nodes may spend before they receive each other's
 * reports: the refill of that time, or the bucket's level if that is more. The
 * part follows the node's share of the demand where the bucket is empty, as the
 * other nodes admit requests at the same time, and grows to all of it where the
 * bucket is full, so that one node may serve all of a workspace.
 */
static double
part_units(const quota_t *quota, const bucket_t *bucket, double available_units)
{
	double fill = CLAMP(available_units / bucket->capacity, 0, 1);
	double refill = least_part * bucket->refill_per_ms *
			(double)part_interval_ms(quota);

	return MAX(refill, available_units) * pow(bucket->share, 1 - fill);
}

/* Time until this node has spent no more than its part; 0: it has not. */
static int64_t
part_wait_ms(const quota_t *quota, const bucket_t *bucket, double part)
{
	int64_t interval_ms = part_interval_ms(quota);
	int64_t passed_slots = 0;

	if (quota->nodes == 1)
		return 0;
	while (recent_own_units(bucket, interval_ms) > part) {
		interval_ms -= SLOT_MS;
		passed_slots++;
	}
	return passed_slots * SLOT_MS -
	       (passed_slots > 0 ? bucket->refilled_ms % SLOT_MS : 0);
}

/*
 * Retry-After of a refused request. Clients that all returned when the units
 * are available would be refused again, or exceed the limit at all nodes at
 * once: each gets a time of its own, as its node can serve them.
 */
static int64_t
book_return_ms(const quota_t *quota, bucket_t *bucket, double part,
    double units, int64_t wait_ms)
{
	int64_t now_ms = bucket->refilled_ms;
	double units_per_ms = part / (double)part_interval_ms(quota);
	int64_t return_ms = MAX(bucket->next_return_ms, now_ms + wait_ms);

	return_ms = MIN(return_ms, now_ms + wait_ms + RETURNS_MAX_MS);
	bucket->next_return_ms = return_ms + (int64_t)(units / units_per_ms);
	return return_ms - now_ms;
}

/*
 * Whether a request may spend when so many units are available. Its units may
 * take the level below zero, so that large requests are not refused more often
 * than small ones. min_units: how far others may have taken it before.
 */
static bool
may_spend(const quota_t *quota, const bucket_t *bucket, double available_units,
    double min_units)
{
	double part = part_units(quota, bucket, available_units);

	return available_units > min_units &&
	       part_wait_ms(quota, bucket, part) == 0;
}

/* Whether a request may spend what its class may use beyond the others. */
static bool
may_overdraw(const quota_t *quota, const bucket_t *bucket, quota_class_t class,
    double available_units)
{
	switch (class) {
	case QUOTA_URGENT:
		return false;
	case QUOTA_DEFERRABLE:
		return bucket->deferrable_level > 0 &&
		       may_spend(quota, bucket, available_units,
			   -deferrable_overdraft_share * bucket->capacity);
	case QUOTA_OVERDRAFT:
		return available_units > -overdraft_share * bucket->capacity;
	}
	return false;
}

static void
spend(bucket_t *bucket, double units)
{
	size_t slot = (size_t)(bucket->newest_slot % SMOOTHING_SLOTS);

	bucket->level -= units;
	bucket->own_units[slot] += units;
	bucket->own_requests[slot]++;
	bucket->spent += units;
}

/* Retry-After of a request for which usable_units were available. */
static int64_t
retry_after_ms(
    const quota_t *quota, bucket_t *bucket, double units, double usable_units)
{
	double part = part_units(quota, bucket, usable_units);
	double missing = MAX(units - usable_units, 0);
	int64_t units_ms = 1 + (int64_t)(missing / bucket->refill_per_ms);

	return book_return_ms(quota, bucket, part, units,
	    MAX(part_wait_ms(quota, bucket, part), units_ms));
}

static void
update_share(const quota_t *quota, bucket_t *bucket, int64_t now_ms)
{
	bucket->share = demand_share(
	    &bucket->demand, quota->nodes, quota->report_age_ms, now_ms);
}

/* Units that can be spent, less what is spent and not reported yet. */
static double
spendable_units(const quota_t *quota, const bucket_t *bucket)
{
	double uncovered =
	    unreported_units(quota, bucket) - bucket->unreported_max;

	return bucket->level - MAX(uncovered, 0);
}

quota_decision_t
quota_take(quota_t *quota, const char *workspace, double units,
    quota_class_t class, int64_t now_ms)
{
	bucket_t *bucket = find_bucket(quota, workspace, now_ms);
	quota_decision_t decision = {.allowed = true};
	double usable;

	if (bucket == NULL)
		return decision;
	demand_add(&bucket->demand, units, now_ms);
	update_share(quota, bucket, now_ms);
	decision.available_units = spendable_units(quota, bucket);
	usable = decision.available_units;
	if (class == QUOTA_URGENT)
		bucket->urgent_until_ms = now_ms + URGENT_MEMORY_MS;
	if (class == QUOTA_DEFERRABLE && now_ms < bucket->urgent_until_ms)
		usable -= urgent_reserve_share * bucket->capacity;
	if (may_spend(quota, bucket, usable, 0)) {
		spend(bucket, units);
		return decision;
	}
	if (may_overdraw(quota, bucket, class, decision.available_units)) {
		if (class == QUOTA_DEFERRABLE)
			bucket->deferrable_level -= units;
		spend(bucket, units);
		return decision;
	}
	decision.allowed = false;
	decision.retry_after_ms = retry_after_ms(quota, bucket, units, usable);
	return decision;
}

bool
quota_is_spent(quota_t *quota, const char *workspace, int64_t now_ms)
{
	bucket_t *bucket = find_bucket(quota, workspace, now_ms);

	if (bucket == NULL)
		return false;
	update_share(quota, bucket, now_ms);
	return !may_spend(quota, bucket, spendable_units(quota, bucket), 0);
}

void
quota_refund(
    quota_t *quota, const char *workspace, double units, int64_t now_ms)
{
	bucket_t *bucket = find_bucket(quota, workspace, now_ms);

	if (bucket == NULL)
		return;
	bucket->level = MIN(bucket->level + units, bucket->capacity);
	bucket->spent -= units;
}

void
quota_apply_remote(quota_t *quota, const char *workspace, double units,
    int64_t unreachable_ms, int64_t now_ms)
{
	bucket_t *bucket = find_bucket(quota, workspace, now_ms);
	double reserved;

	if (bucket == NULL)
		return;
	bucket->remote_units[bucket->newest_slot % SMOOTHING_SLOTS] +=
	    MAX(units, 0);
	reserved = bucket->refill_per_ms * (double)unreachable_ms /
		   MAX(quota->nodes, 1);
	if (units > 0)
		units -= MIN(units, reserved);
	bucket->level = MIN(bucket->level - units, bucket->capacity);
}

void
quota_set_remote_demand(
    quota_t *quota, const char *workspace, double units_per_s, int64_t now_ms)
{
	bucket_t *bucket = g_hash_table_lookup(quota->buckets, workspace);

	if (bucket != NULL)
		demand_set_remote(&bucket->demand, units_per_s, now_ms);
}

void
quota_follow_level(
    quota_t *quota, const char *workspace, double level, int64_t now_ms)
{
	bucket_t *bucket = find_bucket(quota, workspace, now_ms);

	if (bucket != NULL)
		bucket->level = MIN(level, bucket->capacity);
}

void
quota_adopt_level(
    quota_t *quota, const char *workspace, double level, int64_t now_ms)
{
	bucket_t *bucket = find_bucket(quota, workspace, now_ms);

	if (bucket != NULL)
		bucket->level =
		    MIN(MAX(bucket->level, level), bucket->capacity);
}

void
quota_each(quota_t *quota, int64_t now_ms,
    void (*callback)(const quota_state_t *state, void *data), void *data)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bucket_t *bucket = value;
		quota_state_t state;

		if (!bucket->has_limit)
			continue;
		advance(quota, bucket, now_ms);
		state = (quota_state_t){.workspace = bucket->workspace,
		    .spent = bucket->spent,
		    .level = bucket->level,
		    .demand_per_s =
			demand_own_units_per_s(&bucket->demand, now_ms)};
		callback(&state, data);
	}
}
