#include "reclaim.h"

enum {
	/* Safety margin, as a host may be reclaimed slightly early. */
	RECLAIM_MARGIN_MS = 100,
	/* Time for an export's two requests between hosts, without the data. */
	EXPORT_REQUESTS_MS = 20,
};

/* Used while the stream has no token interval yet: the latency objective. */
static const double DEFAULT_TOKEN_INTERVAL_MS = 61;

reclaim_action_t
reclaim_choose_action(const reclaim_stream_t *stream)
{
	double remaining_ms =
	    (double)(stream->time_to_reclaim_ms - RECLAIM_MARGIN_MS);
	double token_interval_ms = stream->token_interval_ms > 0
				       ? stream->token_interval_ms
				       : DEFAULT_TOKEN_INTERVAL_MS;
	double export_ms = EXPORT_REQUESTS_MS;

	if (stream->transfer_bytes_per_ms > 0)
		export_ms += (double)stream->kv_cache_bytes /
			     stream->transfer_bytes_per_ms;
	if (stream->remaining_tokens_max * token_interval_ms <= remaining_ms)
		return RECLAIM_FINISH;
	return export_ms <= remaining_ms ? RECLAIM_EXPORT : RECLAIM_RECOMPUTE;
}
