#ifndef PAPAYA_SLEWED_CLOCK_H
#define PAPAYA_SLEWED_CLOCK_H

#include <stdint.h>

/*
 * Wall clock without the short steps of the host's wall clock. It runs with
 * the boot clock, is slewed to the host's wall clock while the two differ by
 * little, and steps only where a larger difference lasts.
 */
typedef struct slewed_clock {
	int64_t offset_ms;     /* wall clock minus boot clock */
	int64_t step_since_ms; /* boot clock at the start of a step; 0: none */
} slewed_clock_t;

void slewed_clock_init(slewed_clock_t *clock, int64_t wall_ms, int64_t boot_ms);

/* Applies a reading of both clocks; to be called several times a second. */
void slewed_clock_update(
    slewed_clock_t *clock, int64_t wall_ms, int64_t boot_ms);

/* Wall-clock time in milliseconds since 1970. */
int64_t slewed_clock_now(const slewed_clock_t *clock, int64_t boot_ms);

#endif
