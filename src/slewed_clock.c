#include "slewed_clock.h"

#include <stdlib.h>

enum {
	/* Smaller differences are drift. */
	STEP_MIN_MS = 300,
	/* A step that lasts for this long is applied. */
	STEP_ACCEPT_MS = 120000,
	/* Each update corrects 1/SLEW_DIVISOR of the drift. */
	SLEW_DIVISOR = 10,
};

void
slewed_clock_init(slewed_clock_t *clock, int64_t wall_ms, int64_t boot_ms)
{
	clock->offset_ms = wall_ms - boot_ms;
	clock->step_since_ms = 0;
}

void
slewed_clock_update(slewed_clock_t *clock, int64_t wall_ms, int64_t boot_ms)
{
	int64_t difference_ms = wall_ms - boot_ms - clock->offset_ms;

	if (llabs(difference_ms) < STEP_MIN_MS) {
		clock->offset_ms += difference_ms / SLEW_DIVISOR;
		clock->step_since_ms = 0;
		return;
	}
	if (clock->step_since_ms == 0)
		clock->step_since_ms = boot_ms;
	if (boot_ms - clock->step_since_ms >= STEP_ACCEPT_MS)
		slewed_clock_init(clock, wall_ms, boot_ms);
}

int64_t
slewed_clock_now(const slewed_clock_t *clock, int64_t boot_ms)
{
	return boot_ms + clock->offset_ms;
}
