#include "lapse.h"

#include <glib.h>

enum {
	/*
	 * Entries are written again within about two seconds of the end of an
	 * outage.
	 */
	REWRITE_MS = 1800,
	/*
	 * An entry lapses after three heartbeats of silence, the first of which
	 * may be before the outage.
	 */
	LAPSE_HEARTBEATS = 2,
};

int64_t
lapse_keep_ms(const lapse_situation_t *situation)
{
	int64_t unknown_ms = situation->now_ms - situation->listed_ms;
	int64_t keep_until_ms =
	    MAX(situation->available_ms, situation->listed_ms) + REWRITE_MS;

	if (!situation->store_unstable ||
	    unknown_ms < LAPSE_HEARTBEATS * situation->heartbeat_ms)
		return 0;
	return MAX(keep_until_ms - situation->now_ms, 0);
}
