#include "true_time.h"

#include <stdlib.h>

enum {
	/* A larger difference is a step of the clock and not its drift. */
	STEP_MS = 300,
	/* A step that lasts for so long is believed. */
	BELIEVE_MS = 120000,
	/* Part of a drift that one update takes over. */
	DRIFT_PART = 10,
};

void
true_time_start(true_time_t *time, int64_t wall_ms, int64_t boot_ms)
{
	time->offset_ms = wall_ms - boot_ms;
	time->differs_from_ms = 0;
}

void
true_time_update(true_time_t *time, int64_t wall_ms, int64_t boot_ms)
{
	int64_t difference_ms = wall_ms - boot_ms - time->offset_ms;

	if (llabs(difference_ms) < STEP_MS) {
		time->offset_ms += difference_ms / DRIFT_PART;
		time->differs_from_ms = 0;
		return;
	}
	if (time->differs_from_ms == 0)
		time->differs_from_ms = boot_ms;
	if (boot_ms - time->differs_from_ms >= BELIEVE_MS)
		true_time_start(time, wall_ms, boot_ms);
}

int64_t
true_time_now(const true_time_t *time, int64_t boot_ms)
{
	return boot_ms + time->offset_ms;
}
