#include "clock.h"

#include <glib.h>

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
