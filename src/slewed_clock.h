#ifndef PAPAYA_SLEWED_CLOCK_H
#define PAPAYA_SLEWED_CLOCK_H

#include <stdint.h>

/*
 * Time of day that does not follow steps of the host's clock: it runs with the
 * clock since boot and follows the time of day only where that drifts slowly,
 * or differs for long.
 */
typedef struct slewed_clock {
	int64_t offset_ms;     /* time of day less clock since boot */
	int64_t step_since_ms; /* since when the clocks differ; 0: agree */
} slewed_clock_t;

void slewed_clock_init(slewed_clock_t *clock, int64_t wall_ms, int64_t boot_ms);

/* Takes a reading of both clocks; call it several times a second. */
void slewed_clock_update(
    slewed_clock_t *clock, int64_t wall_ms, int64_t boot_ms);

/* Time of day in milliseconds since 1970. */
int64_t slewed_clock_now(const slewed_clock_t *clock, int64_t boot_ms);

#endif
