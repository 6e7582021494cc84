#include "fence_token.h"

enum {
	/* Low bits of a token: the revision; the others: the era. */
	REVISION_BITS = 40,
	/* The same from SMALL_ERAS on. */
	SHORT_REVISION_BITS = 31,
};

/* Eras that leave room for the longer revision. */
static const int64_t SMALL_ERAS = INT64_C(1) << 22;

int64_t
fence_token(int64_t era, int64_t revision)
{
	if (era < SMALL_ERAS)
		return (era << REVISION_BITS) + revision;
	return (SMALL_ERAS << REVISION_BITS) +
	       ((era - SMALL_ERAS) << SHORT_REVISION_BITS) + revision;
}
