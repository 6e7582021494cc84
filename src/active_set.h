#ifndef PAPAYA_ACTIVE_SET_H
#define PAPAYA_ACTIVE_SET_H

#include <glib.h>
#include <stdint.h>

/*
 * Selects the nodes that carry client traffic. In a large fleet only these
 * active nodes are offered to clients and exchange digests often; the others
 * are on standby, ready to replace them. What all nodes share, such as quotas,
 * is then shared by a number of nodes that does not grow with the fleet. The
 * order of selection depends on the nodes alone, so nodes that know of the same
 * ones select the same set without coordination. In a deployment with several
 * regions each of them has a minimum of active nodes, since some callers may
 * use only the hosts of one region. No I/O.
 */

enum { ACTIVE_SET_MAX = 32 };

typedef struct active_candidate {
	const char *name;   /* borrowed */
	double processors;  /* that the node may use */
	const char *region; /* borrowed; NULL: unknown, or there is only one */
	void *data;	    /* of the caller */
} active_candidate_t;

/*
 * Sorts the candidates (active_candidate_t), the first to select first: those
 * with most processors, in pseudorandom order among equals.
 */
void active_set_sort(GArray *candidates);

/*
 * Sorts the candidates and keeps those to select, ACTIVE_SET_MAX at most: the
 * first ones of each region, up to an equal share of half of the set, and the
 * first of the others. With one region, the first of all.
 */
void active_set_select(GArray *candidates);

/* Interval at which each of so many active nodes sends its digests, in ms. */
int64_t active_set_digest_interval_ms(unsigned active_nodes);

#endif
