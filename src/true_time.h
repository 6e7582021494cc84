#ifndef PAPAYA_TRUE_TIME_H
#define PAPAYA_TRUE_TIME_H

#include <stdint.h>

/*
 * Time of day that does not follow steps of the host's clock: it runs with the
 * clock since boot and follows the time of day only where that drifts slowly,
 * or differs for long.
 */
typedef struct true_time {
	int64_t offset_ms;	 /* time of day less clock since boot */
	int64_t differs_from_ms; /* since when the clocks differ; 0: agree */
} true_time_t;

void true_time_start(true_time_t *time, int64_t wall_ms, int64_t boot_ms);

/* Takes a reading of both clocks; call it several times a second. */
void true_time_update(true_time_t *time, int64_t wall_ms, int64_t boot_ms);

/* Time of day in milliseconds since 1970. */
int64_t true_time_now(const true_time_t *time, int64_t boot_ms);

#endif
