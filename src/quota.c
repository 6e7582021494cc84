#include "quota.h"

enum {
	/* Span over which a node's own spending is smoothed. */
	SMOOTHING_MS = 1000,
	SMOOTHING_SLOTS = 10,
	/* Requests of its own from which a node can tell what the others spend
	 * as well as from what it has heard of them. */
	SAMPLE_REQUESTS = 8,
	MS_PER_S = 1000,
};

/*
 * Part of the burst that can be spent at once. The rest raises the rate, so
 * that a steady demand gets all that the window allows.
 */
static const double burst_capacity_share = 0.5;
/* Part of the capacity that small requests may go below zero. */
static const double overdraft_share = 0.25;
/* Time of the rate that can be spent at once where there is no burst. */
static const double min_capacity_s = 0.25;

/*
 * Part of the tolerance that is used, so that a demand at the limit is served
 * in spite of the capacity. The rest is for spending that is heard of late.
 */
static const double usable_tolerance_share = 0.5;

typedef struct bucket {
	char *workspace;
	bool has_limit;
	double rate_per_s; /* of the limit */
	double burst;
	double refill_per_ms; /* at which it fills */
	double capacity;
	double level; /* below zero after spending that was heard of late */
	double spent; /* by this node since its start */
	int64_t refilled_ms;
	int64_t newest_slot;
	double own_units[SMOOTHING_SLOTS];	/* spending of this node */
	unsigned own_requests[SMOOTHING_SLOTS]; /* that it is of */
	double remote_units[SMOOTHING_SLOTS];	/* spending of others, as it was
						   heard of */
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

/* What the silent nodes are taken to spend, as a part of the whole. */
static double
unreachable_share(const quota_t *quota)
{
	return (double)quota->unreachable / MAX(quota->nodes, 1);
}

static void
advance(const quota_t *quota, bucket_t *bucket, int64_t now_ms)
{
	int64_t slot = now_ms / (SMOOTHING_MS / SMOOTHING_SLOTS);
	double passed_ms = (double)(now_ms - bucket->refilled_ms);

	bucket->refilled_ms = now_ms;
	bucket->level +=
	    bucket->refill_per_ms * passed_ms * (1 - unreachable_share(quota));
	bucket->level = MIN(bucket->level, bucket->capacity);
	bucket->newest_slot = MAX(bucket->newest_slot, slot - SMOOTHING_SLOTS);
	while (bucket->newest_slot < slot) {
		size_t next = (size_t)(++bucket->newest_slot % SMOOTHING_SLOTS);

		bucket->own_units[next] = 0;
		bucket->own_requests[next] = 0;
		bucket->remote_units[next] = 0;
	}
}

/* The bucket of a workspace with a limit, filled up to now; else NULL. */
static bucket_t *
find_bucket(quota_t *quota, const char *workspace, int64_t now_ms)
{
	bucket_t *bucket = g_hash_table_lookup(quota->buckets, workspace);

	if (bucket == NULL || !bucket->has_limit)
		return NULL;
	advance(quota, bucket, now_ms);
	return bucket;
}

/* What a workspace may spend in any window. */
static double
window_limit(const quota_options_t *options, const bucket_t *bucket)
{
	double window_s = (double)options->window_ms / MS_PER_S;
	double limit = bucket->rate_per_s * window_s + bucket->burst;
	double tolerance =
	    options->tolerance_ratio * limit + options->tolerance_units;

	return limit + usable_tolerance_share * MIN(tolerance, limit);
}

/* Room for what is not heard of yet is on top of what can be spent at once. */
static void
apply_limits(const quota_t *quota, bucket_t *bucket)
{
	double unheard_s = (double)quota->report_age_ms / MS_PER_S;
	double at_once = MAX(bucket->burst * burst_capacity_share,
	    bucket->rate_per_s * min_capacity_s);

	bucket->capacity = at_once + bucket->rate_per_s * unheard_s;
	bucket->refill_per_ms =
	    (window_limit(&quota->options, bucket) - bucket->capacity) /
	    (double)quota->options.window_ms;
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
quota_set_nodes(quota_t *quota, unsigned nodes, unsigned silent,
    int64_t unheard_ms, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer bucket;

	g_hash_table_iter_init(&iter, quota->buckets);
	quota->report_age_ms = unheard_ms;
	while (g_hash_table_iter_next(&iter, NULL, &bucket)) {
		advance(quota, bucket, now_ms);
		apply_limits(quota, bucket);
	}
	quota->nodes = nodes;
	quota->unreachable = MIN(silent, nodes - 1);
}

/* What other nodes may have spent that has not been heard of. */
static double
unreported_units(const quota_t *quota, const bucket_t *bucket)
{
	double recent = 0, heard = 0, own, others;
	unsigned requests = 0;

	for (size_t i = 0; i < SMOOTHING_SLOTS; i++) {
		recent += bucket->own_units[i];
		requests += bucket->own_requests[i];
		heard += bucket->remote_units[i];
	}
	own = recent * (quota->nodes - 1 - quota->unreachable);
	others = (own * requests + heard * SAMPLE_REQUESTS) /
		 (requests + SAMPLE_REQUESTS);
	return others * (double)quota->report_age_ms / SMOOTHING_MS;
}

quota_decision_t
quota_take(quota_t *quota, const char *workspace, double units, bool is_small,
    int64_t now_ms)
{
	bucket_t *bucket = find_bucket(quota, workspace, now_ms);
	quota_decision_t verdict = {.allowed = true};
	double least;

	if (bucket == NULL)
		return verdict;
	least = is_small ? -overdraft_share * bucket->capacity : 0;
	verdict.available_units =
	    bucket->level - unreported_units(quota, bucket);
	/* May fall below zero, so that large requests pass as small ones do. */
	if (verdict.available_units <= least) {
		verdict.allowed = false;
		verdict.retry_after_ms =
		    1 + (int64_t)((units - verdict.available_units) /
				  bucket->refill_per_ms);
		return verdict;
	}
	bucket->level -= units;
	bucket->own_units[bucket->newest_slot % SMOOTHING_SLOTS] += units;
	bucket->own_requests[bucket->newest_slot % SMOOTHING_SLOTS]++;
	bucket->spent += units;
	return verdict;
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
    int64_t silent_ms, int64_t now_ms)
{
	bucket_t *bucket = find_bucket(quota, workspace, now_ms);
	double reserved;

	if (bucket == NULL)
		return;
	bucket->remote_units[bucket->newest_slot % SMOOTHING_SLOTS] +=
	    MAX(units, 0);
	reserved =
	    bucket->refill_per_ms * (double)silent_ms / MAX(quota->nodes, 1);
	if (units > 0)
		units -= MIN(units, reserved);
	bucket->level = MIN(bucket->level - units, bucket->capacity);
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
    void (*visit)(const quota_state_t *state, void *data), void *data)
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
		    .level = bucket->level};
		visit(&state, data);
	}
}
