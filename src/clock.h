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
 * Like clock_mono_ms(), but also counts the time that the host was suspended.
 * Use it for the age of data that must not be used after it expires.
 */
int64_t clock_boot_ms(void);

#endif
