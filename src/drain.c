#include "drain.h"

#include <glib.h>
#include <stdbool.h>

enum {
	/* A stream accepted later might not end within the grace period. */
	SERVE_MS = 2500,
	QUIET_STEPS = 5,
};

void
drain_start(drain_t *drain, int64_t max_ms, int64_t now_ms)
{
	*drain = (drain_t){.started_ms = now_ms, .end_ms = now_ms + max_ms};
}

drain_phase_t
drain_step(
    drain_t *drain, unsigned connections, uint64_t accepted, int64_t now_ms)
{
	bool quiet = connections == 0 && accepted == drain->accepted;

	drain->accepted = accepted;
	if (now_ms >= drain->end_ms)
		return DRAIN_DONE;
	if (now_ms - drain->started_ms < SERVE_MS)
		return DRAIN_SERVING;
	drain->quiet_steps = quiet ? drain->quiet_steps + 1 : 0;
	return drain->quiet_steps > QUIET_STEPS ? DRAIN_DONE : DRAIN_REFUSING;
}
