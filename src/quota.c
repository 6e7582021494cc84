#include "quota.h"

enum { MS_PER_S = 1000 };

/* Fill of a bucket when a node starts: what was spent before is not known. */
static const double start_fill = 0.5;

typedef struct bucket {
	char *workspace;
	double rate_per_s;
	double burst;
	double level; /* below zero after spending that was heard of late */
	double spent;
	int64_t filled_ms;
	bool limited;
} bucket_t;

struct quota {
	GHashTable *buckets; /* workspace to bucket_t */
	double silent;
};

static void
bucket_free(gpointer data)
{
	bucket_t *bucket = data;

	g_free(bucket->workspace);
	g_free(bucket);
}

quota_t *
quota_new(int64_t now_ms)
{
	quota_t *quota = g_new0(quota_t, 1);

	quota->buckets = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, bucket_free);
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

static void
fill(const quota_t *quota, bucket_t *bucket, int64_t now_ms)
{
	double rate = bucket->rate_per_s * (1 - quota->silent);
	double added = rate * (double)(now_ms - bucket->filled_ms) / MS_PER_S;

	bucket->filled_ms = now_ms;
	bucket->level = MIN(bucket->level + added, bucket->burst);
}

static void
configure(quota_t *quota, const catalog_workspace_t *workspace, int64_t now_ms)
{
	bucket_t *bucket =
	    g_hash_table_lookup(quota->buckets, workspace->name);

	if (bucket == NULL) {
		bucket = g_new0(bucket_t, 1);
		bucket->workspace = g_strdup(workspace->name);
		bucket->filled_ms = now_ms;
		bucket->level = workspace->burst * start_fill;
		g_hash_table_insert(
		    quota->buckets, bucket->workspace, bucket);
	}
	fill(quota, bucket, now_ms);
	bucket->rate_per_s = workspace->rate_per_s;
	bucket->burst = MAX(workspace->burst, workspace->rate_per_s / 10);
	bucket->level = MIN(bucket->level, bucket->burst);
	bucket->limited = workspace->rate_per_s > 0;
}

void
quota_configure(quota_t *quota, const catalog_t *catalog, int64_t now_ms)
{
	for (guint i = 0; i < catalog->workspaces->len; i++)
		configure(quota, catalog->workspaces->pdata[i], now_ms);
}

bool
quota_take(quota_t *quota, const char *workspace, double units, int64_t now_ms,
    int64_t *wait_ms)
{
	bucket_t *bucket = g_hash_table_lookup(quota->buckets, workspace);

	*wait_ms = 0;
	if (bucket == NULL || !bucket->limited)
		return true;
	fill(quota, bucket, now_ms);
	if (bucket->level <= 0) {
		*wait_ms = 1 + (int64_t)((units - bucket->level) * MS_PER_S /
					 bucket->rate_per_s);
		return false;
	}
	/* May fall below zero, so that large requests pass as small ones do. */
	bucket->level -= units;
	bucket->spent += units;
	return true;
}

void
quota_return(quota_t *quota, const char *workspace, double units)
{
	bucket_t *bucket = g_hash_table_lookup(quota->buckets, workspace);

	if (bucket == NULL || !bucket->limited)
		return;
	bucket->level = MIN(bucket->level + units, bucket->burst);
	bucket->spent -= units;
}

void
quota_set_silent(quota_t *quota, double part, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer bucket;

	g_hash_table_iter_init(&iter, quota->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &bucket))
		fill(quota, bucket, now_ms);
	quota->silent = part;
}

void
quota_spent_elsewhere(
    quota_t *quota, const char *workspace, double units, int64_t now_ms)
{
	bucket_t *bucket = g_hash_table_lookup(quota->buckets, workspace);

	if (bucket == NULL || !bucket->limited)
		return;
	fill(quota, bucket, now_ms);
	bucket->level = MIN(bucket->level - units, bucket->burst);
}

void
quota_adopt_level(quota_t *quota, const char *workspace, double level)
{
	bucket_t *bucket = g_hash_table_lookup(quota->buckets, workspace);

	if (bucket != NULL && bucket->limited)
		bucket->level = MIN(bucket->level, level);
}

double
quota_rate(const quota_t *quota, const char *workspace)
{
	const bucket_t *bucket =
	    g_hash_table_lookup(quota->buckets, workspace);

	return bucket == NULL || !bucket->limited
		   ? 0
		   : bucket->rate_per_s / MS_PER_S;
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

		if (!bucket->limited)
			continue;
		fill(quota, bucket, now_ms);
		state = (quota_state_t){.workspace = bucket->workspace,
		    .spent = bucket->spent,
		    .level = bucket->level};
		visit(&state, data);
	}
}
