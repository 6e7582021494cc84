#ifndef PAPAYA_MEMBER_LIST_H
#define PAPAYA_MEMBER_LIST_H

#include "member.h"

#include <string.h>

/* Private to member.c and member_rank.c. */
struct members {
	LIST_HEAD(, member) list;
	GHashTable *by_node; /* node name: member_t, both borrowed */
	member_t *self;
	unsigned full_mesh_max;
	int64_t last_tick_ms;
};

static inline bool
same_zone(const member_t *a, const member_t *b)
{
	return strcmp(a->zone, b->zone) == 0;
}

#endif
