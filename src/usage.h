#ifndef PAPAYA_USAGE_H
#define PAPAYA_USAGE_H

#include <glib.h>
#include <stdint.h>

/*
 * Counts, by node, the requests of each workspace that began to run in each
 * window of wall-clock time. A window's number is its start, in Unix time,
 * divided by the length.
 */
typedef struct usage usage_t;

enum {
	USAGE_WINDOWS = 6, /* newest windows that are kept */
	USAGE_NEWEST_WINDOWS = 3,
};

usage_t *usage_new(int64_t window_ms);
void usage_free(usage_t *usage);

/* Number of the window that contains a time (Unix ms). */
int64_t usage_window(const usage_t *usage, int64_t wall_ms);

/* Counts a request of this node that began to run. */
void usage_count(usage_t *usage, const char *workspace, int64_t wall_ms);

/*
 * Calls callback for each count of this node in the newest windows; the name is
 * borrowed. Older windows are no longer reported.
 */
void usage_each(const usage_t *usage, int64_t wall_ms,
    void (*callback)(
	int64_t window, const char *workspace, double count, void *data),
    void *data);

/*
 * Sets the count of another process, replacing the earlier one. The source
 * identifies the node and its incarnation; counts of an incarnation that has
 * ended are kept.
 */
void usage_merge(usage_t *usage, const char *source, int64_t window,
    const char *workspace, double count);

/* Sum over all nodes: workspace to double *. The caller owns the table. */
GHashTable *usage_total(const usage_t *usage, int64_t window);

#endif
