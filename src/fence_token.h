#ifndef PAPAYA_FENCE_TOKEN_H
#define PAPAYA_FENCE_TOKEN_H

#include <stdint.h>

/*
 * Fencing token of a leader whose key has the revision, in an era of the store
 * up to PLATFORM_ERA_MAX. It rises with the revision and is higher in each
 * later era, where revisions go back: as long as revisions stay below 2^40, or
 * below 2^31 where a store has begun with an era of 2^22 or more.
 */
int64_t fence_token(int64_t era, int64_t revision);

#endif
