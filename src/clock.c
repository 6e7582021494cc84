#include "clock.h"

#include <glib.h>
#include <time.h>

int64_t
clock_wall_ms(void)
{
	return g_get_real_time() / 1000;
}

int64_t
clock_mono_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

int64_t
clock_mono_us(void)
{
	return g_get_monotonic_time();
}

int64_t
clock_boot_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}
