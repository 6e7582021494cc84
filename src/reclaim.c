#include "reclaim.h"

enum {
	/* Kept free of the notice, as hosts may go slightly early. */
	MARGIN_MS = 100,
	/* Two requests between hosts, besides the transfer. */
	EXPORT_OVERHEAD_MS = 20,
};

/* Assumed where no time between tokens is measured yet: the objective. */
static const double DEFAULT_TOKEN_MS = 61;

reclaim_choice_t
reclaim_choose(const reclaim_stream_t *stream)
{
	double left_ms = (double)(stream->left_ms - MARGIN_MS);
	double token_ms =
	    stream->token_ms > 0 ? stream->token_ms : DEFAULT_TOKEN_MS;
	double export_ms = EXPORT_OVERHEAD_MS;

	if (stream->kv_bytes_per_ms > 0)
		export_ms += (double)stream->kv_bytes / stream->kv_bytes_per_ms;
	if (stream->tokens_left * token_ms <= left_ms)
		return RECLAIM_FINISH;
	return export_ms <= left_ms ? RECLAIM_EXPORT : RECLAIM_RECOMPUTE;
}
