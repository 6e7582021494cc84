#ifndef PAPAYA_USAGE_H
#define PAPAYA_USAGE_H

#include <glib.h>
#include <stdint.h>

/*
 * Requests of each workspace that began to run in each window of wall-clock
 * time, as counted by the nodes. Windows are numbered from 1970.
 */
typedef struct usage usage_t;

enum { USAGE_WINDOWS = 6 }; /* newest windows kept */

usage_t *usage_new(int64_t window_ms);
void usage_free(usage_t *usage);

int64_t usage_window(const usage_t *usage, int64_t wall_ms);

/* A request of this node began to run. */
void usage_count(usage_t *usage, const char *workspace, int64_t wall_ms);

/* Calls visit for each count of this node. */
void usage_each(const usage_t *usage,
    void (*visit)(
	int64_t window, const char *workspace, double count, void *data),
    void *data);

/*
 * Takes over another process's count; replaces its earlier one. The source
 * names the node and its start, whose counts stay when it has ended.
 */
void usage_merge(usage_t *usage, const char *source, int64_t window,
    const char *workspace, double count);

/* Sum over all nodes: workspace to double *, newly allocated. */
GHashTable *usage_total(const usage_t *usage, int64_t window);

#endif
