#include "usage.h"

#include <string.h>

typedef struct window_counts {
	int64_t window;
	GHashTable *sources; /* source to table of workspace to double */
} window_counts_t;

struct usage {
	int64_t window_ms;
	window_counts_t windows[USAGE_WINDOWS];
};

/* Source of the counts of this node. */
static const char local_source[] = "";

static void
unref_table(gpointer table)
{
	g_hash_table_unref(table);
}

usage_t *
usage_new(int64_t window_ms)
{
	usage_t *usage = g_new0(usage_t, 1);

	usage->window_ms = MAX(window_ms, 1);
	for (unsigned i = 0; i < USAGE_WINDOWS; i++)
		usage->windows[i].sources = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, unref_table);
	return usage;
}

void
usage_free(usage_t *usage)
{
	if (usage == NULL)
		return;
	for (unsigned i = 0; i < USAGE_WINDOWS; i++)
		g_hash_table_unref(usage->windows[i].sources);
	g_free(usage);
}

int64_t
usage_window(const usage_t *usage, int64_t wall_ms)
{
	return wall_ms / usage->window_ms;
}

/*
 * Counts of a window, which takes the slot of an older one if it is new; NULL
 * if it is older than the windows that are kept.
 */
static window_counts_t *
find_window(usage_t *usage, int64_t window)
{
	window_counts_t *counts =
	    &usage->windows[(uint64_t)window % USAGE_WINDOWS];

	if (window < counts->window)
		return NULL;
	if (window > counts->window) {
		counts->window = window;
		g_hash_table_remove_all(counts->sources);
	}
	return counts;
}

/* The count, which is added as 0 if there is none. */
static double *
ensure_count(window_counts_t *counts, const char *source, const char *workspace)
{
	GHashTable *table = g_hash_table_lookup(counts->sources, source);
	double *count;

	if (table == NULL) {
		table = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(counts->sources, g_strdup(source), table);
	}
	count = g_hash_table_lookup(table, workspace);
	if (count == NULL) {
		count = g_new0(double, 1);
		g_hash_table_insert(table, g_strdup(workspace), count);
	}
	return count;
}

void
usage_count(usage_t *usage, const char *workspace, int64_t wall_ms)
{
	window_counts_t *counts =
	    find_window(usage, usage_window(usage, wall_ms));

	if (counts != NULL)
		++*ensure_count(counts, local_source, workspace);
}

void
usage_merge(usage_t *usage, const char *source, int64_t window,
    const char *workspace, double count)
{
	window_counts_t *counts = find_window(usage, window);

	if (counts != NULL)
		*ensure_count(counts, source, workspace) = count;
}

void
usage_each(const usage_t *usage, int64_t wall_ms,
    void (*callback)(
	int64_t window, const char *workspace, double count, void *data),
    void *data)
{
	int64_t newest = usage_window(usage, wall_ms);

	for (unsigned i = 0; i < USAGE_WINDOWS; i++) {
		const window_counts_t *counts = &usage->windows[i];
		GHashTable *table =
		    g_hash_table_lookup(counts->sources, local_source);
		GHashTableIter iter;
		gpointer name, count;

		if (table == NULL ||
		    counts->window <= newest - USAGE_NEWEST_WINDOWS)
			continue;
		g_hash_table_iter_init(&iter, table);
		while (g_hash_table_iter_next(&iter, &name, &count))
			callback(counts->window, name, *(double *)count, data);
	}
}

static void
add_table(GHashTable *total, GHashTable *table)
{
	GHashTableIter iter;
	gpointer name, count;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &name, &count)) {
		double *sum = g_hash_table_lookup(total, name);

		if (sum == NULL) {
			sum = g_new0(double, 1);
			g_hash_table_insert(total, g_strdup(name), sum);
		}
		*sum += *(double *)count;
	}
}

GHashTable *
usage_total(const usage_t *usage, int64_t window)
{
	const window_counts_t *counts =
	    &usage->windows[(uint64_t)window % USAGE_WINDOWS];
	GHashTable *total =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter iter;
	gpointer table;

	if (counts->window != window)
		return total;
	g_hash_table_iter_init(&iter, counts->sources);
	while (g_hash_table_iter_next(&iter, NULL, &table))
		add_table(total, table);
	return total;
}
