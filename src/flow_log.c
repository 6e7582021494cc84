#include "flow_log.h"

#include "log.h"

enum { US_PER_MS = 1000 };

void
flow_log_outcome(counters_t *counters, const flow_log_t *line)
{
	counter_add(counters, 1,
	    "requests_total{service=\"%s\",status=\"%u\",cause=\"%s\"}",
	    line->service, line->status, line->cause);
	histogram_add(counter_histogram(counters, "request_us"),
	    line->elapsed_ms * US_PER_MS);
	log_event(line->status >= 200 && line->status < 300 ? LOG_LEVEL_INFO
							    : LOG_LEVEL_WARN,
	    "request.ended",
	    "id=%s status=%u cause=\"%s\" retry_after_ms=%" G_GINT64_FORMAT
	    " route=%s workspace=%s units=%.0f quota_left=%.0f service=%s "
	    "server=%s attempts=%u ran=%d elapsed_ms=%" G_GINT64_FORMAT
	    " first_ms=%" G_GINT64_FORMAT " expected_ms=%.0f ahead_tokens=%.0f"
	    " configuration=%" G_GINT64_FORMAT " usable_ms=%" G_GINT64_FORMAT,
	    line->attempt_id == NULL ? "" : line->attempt_id, line->status,
	    line->cause, line->retry_after_ms, line->route, line->workspace,
	    line->units, line->quota_left, line->service, line->server,
	    line->attempts, line->ran, line->elapsed_ms, line->first_ms,
	    line->expected_ms, line->ahead_tokens, line->configuration,
	    line->proof_age_ms);
}

void
flow_log_failure(counters_t *counters, const flow_log_attempt_t *line)
{
	counter_add(counters, 1,
	    "attempts_failed_total{why=\"%s\",sent=\"%d\"}", line->why,
	    line->sent);
	log_event(LOG_LEVEL_WARN, "attempt.failed",
	    "id=%s attempt=%u server=%s why=\"%s\" sent=%d "
	    "took_ms=%" G_GINT64_FORMAT " failure_rate=%.2f in_flight=%u",
	    line->attempt_id, line->number, line->server, line->why, line->sent,
	    line->took_ms, line->failure_rate, line->in_flight);
}
