#ifndef PAPAYA_CLOCK_H
#define PAPAYA_CLOCK_H

#include <stdint.h>

/* Wall-clock time in milliseconds since the Unix epoch. */
int64_t clock_wall_ms(void);

/* Monotonic time in milliseconds, from an arbitrary origin. */
int64_t clock_mono_ms(void);

/* Monotonic time in microseconds, from an arbitrary origin. */
int64_t clock_mono_us(void);

/*
 * Milliseconds from an arbitrary origin, which count the time for which the
 * host was suspended. For the age of what must not be used once too old.
 */
int64_t clock_boot_ms(void);

#endif
