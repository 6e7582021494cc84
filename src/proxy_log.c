#include "proxy_log.h"

#include "log.h"

enum { US_PER_MS = 1000 };

void
proxy_log_outcome(counters_t *counters, const proxy_outcome_t *outcome)
{
	counter_add(counters, 1,
	    "requests_total{service=\"%s\",status=\"%u\",cause=\"%s\"}",
	    outcome->service, outcome->status, outcome->cause);
	if (outcome->cut)
		counter_add(counters, 1, "responses_cut_total{cause=\"%s\"}",
		    outcome->cause);
	histogram_add(histogram_get(counters, "request_us"),
	    outcome->elapsed_ms * US_PER_MS);
	log_event(outcome->status >= 200 && outcome->status < 300
		      ? LOG_LEVEL_INFO
		      : LOG_LEVEL_WARN,
	    "request.ended",
	    "id=%s status=%u cause=\"%s\" cut=%d "
	    "retry_after_ms=%" G_GINT64_FORMAT
	    " route=%s workspace=%s units=%.0f quota_left=%.0f service=%s "
	    "server=%s attempts=%u ran=%d elapsed_ms=%" G_GINT64_FORMAT
	    " first_ms=%" G_GINT64_FORMAT " expected_ms=%.0f ahead_tokens=%.0f"
	    " configuration=%" G_GINT64_FORMAT " usable_ms=%" G_GINT64_FORMAT,
	    outcome->attempt_id == NULL ? "" : outcome->attempt_id,
	    outcome->status, outcome->cause, outcome->cut,
	    outcome->retry_after_ms, outcome->route, outcome->workspace,
	    outcome->units, outcome->quota_available, outcome->service,
	    outcome->server, outcome->attempts, outcome->may_have_run,
	    outcome->elapsed_ms, outcome->ttft_ms, outcome->expected_ttft_ms,
	    outcome->prefill_tokens, outcome->catalog_version,
	    outcome->catalog_valid_ms);
}

/* The prompt's segments that other requests may have, as text. */
static char *
shared_segments(const request_facts_t *facts)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i + 1 < facts->segment_count; i++)
		g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x",
		    i == 0 ? "" : ",", facts->segments[i].id);
	return g_string_free(text, FALSE);
}

void
proxy_log_attempt_failure(
    counters_t *counters, const proxy_attempt_failure_t *failure)
{
	char *segments = shared_segments(failure->facts);

	counter_add(counters, 1,
	    "attempts_failed_total{why=\"%s\",sent=\"%d\"}", failure->reason,
	    failure->sent);
	log_event(LOG_LEVEL_WARN, "attempt.failed",
	    "id=%s attempt=%u server=%s why=\"%s\" sent=%d "
	    "took_ms=%" G_GINT64_FORMAT
	    " failure_rate=%.2f in_flight=%u segments=%s",
	    failure->attempt_id, failure->attempt_number, failure->server,
	    failure->reason, failure->sent, failure->elapsed_ms,
	    failure->failure_rate, failure->in_flight, segments);
	g_free(segments);
}

void
proxy_log_leaving_attempt(counters_t *counters, const char *attempt_id,
    const server_t *server, int64_t now_ms)
{
	counter_add(counters, 1, "attempts_at_leaving_servers_total");
	log_event(LOG_LEVEL_WARN, "attempt.leaving_server",
	    "id=%s server=%s leaving_ms=%" G_GINT64_FORMAT " draining=%d",
	    attempt_id, server->info->id, now_ms - server->leaving_since_ms,
	    server->info->draining);
}

void
proxy_log_hedge_sent(counters_t *counters, const proxy_hedge_t *sent)
{
	counter_add(
	    counters, 1, "hedges_sent_total{service=\"%s\"}", sent->service);
	log_event(LOG_LEVEL_INFO, "hedge.sent",
	    "id=%s service=%s route=%s first=%s second=%s "
	    "elapsed_ms=%" G_GINT64_FORMAT " late_after_ms=%" G_GINT64_FORMAT
	    " expected_ms=%.0f",
	    sent->attempt_id, sent->service, sent->route, sent->first_server,
	    sent->second_server, sent->elapsed_ms, sent->delay_ms,
	    sent->target_ms);
}

void
proxy_log_race_end(counters_t *counters, const char *attempt_id,
    const char *service, proxy_race_end_t end, int64_t elapsed_ms)
{
	static const char *const names[] = {
	    [PROXY_RACE_WON] = "won",
	    [PROXY_RACE_LOST] = "lost",
	    [PROXY_RACE_HEDGE_FAILED] = "hedge_failed",
	    [PROXY_RACE_FIRST_FAILED] = "first_failed",
	    [PROXY_RACE_ABANDONED] = "abandoned",
	};

	counter_add(counters, 1,
	    "hedges_ended_total{service=\"%s\",outcome=\"%s\"}", service,
	    names[end]);
	log_event(LOG_LEVEL_INFO, "hedge.ended",
	    "id=%s service=%s outcome=%s elapsed_ms=%" G_GINT64_FORMAT,
	    attempt_id, service, names[end], elapsed_ms);
}

void
proxy_log_hedge_refused(counters_t *counters, const char *attempt_id,
    const char *service, hedge_verdict_t verdict)
{
	counter_add(counters, 1,
	    "hedges_refused_total{service=\"%s\",reason=\"%s\"}", service,
	    hedge_verdict_name(verdict));
	if (verdict == HEDGE_LIMIT || verdict == HEDGE_BUDGET)
		log_event(LOG_LEVEL_INFO, "hedge.refused",
		    "id=%s service=%s reason=%s", attempt_id, service,
		    hedge_verdict_name(verdict));
}
