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
 * ones select the same set without coordination. No I/O.
 */

enum { ACTIVE_SET_MAX = 32 };

typedef struct active_candidate {
	const char *name;  /* borrowed */
	double processors; /* that the node may use */
	void *data;	   /* of the caller */
} active_candidate_t;

/*
 * Sorts the candidates (active_candidate_t), the first to select first: those
 * with most processors, in pseudorandom order among equals.
 */
void active_set_sort(GArray *candidates);

/* Interval at which each of so many active nodes sends its digests, in ms. */
int64_t active_set_digest_interval_ms(unsigned active_nodes);

#endif
