#include "drain.h"

#include <glib.h>
#include <stdbool.h>

enum {
	/* A stream accepted later might not end within the grace period. */
	SERVE_MAX_MS = 2500,
	/* The process ends this long before it is killed, */
	KILL_MARGIN_MAX_MS = 400,
	/* but both are at most these parts of the grace period. */
	SERVE_DIVISOR = 3,
	KILL_MARGIN_DIVISOR = 8,
	QUIET_STEPS = 5,
};

void
drain_start(drain_t *drain, int64_t grace_ms, int64_t now_ms)
{
	int64_t serve_ms = MIN(SERVE_MAX_MS, grace_ms / SERVE_DIVISOR);
	int64_t margin_ms =
	    MIN(KILL_MARGIN_MAX_MS, grace_ms / KILL_MARGIN_DIVISOR);

	*drain = (drain_t){
	    .started_ms = now_ms,
	    .refuse_ms = now_ms + serve_ms,
	    .end_ms = now_ms + grace_ms - margin_ms,
	};
}

drain_phase_t
drain_step(
    drain_t *drain, unsigned connections, uint64_t accepted, int64_t now_ms)
{
	bool quiet = connections == 0 && accepted == drain->accepted;

	drain->accepted = accepted;
	if (now_ms >= drain->end_ms)
		return DRAIN_DONE;
	if (now_ms < drain->refuse_ms)
		return DRAIN_SERVING;
	drain->quiet_steps = quiet ? drain->quiet_steps + 1 : 0;
	return drain->quiet_steps > QUIET_STEPS ? DRAIN_DONE : DRAIN_REFUSING;
}
