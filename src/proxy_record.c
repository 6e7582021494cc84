#include "proxy_state.h"

#include "clock.h"
#include "proxy_log.h"

enum { PERCENT = 100 };

static void
count_usage(proxy_request_t *req)
{
	if (req->workspace != NULL)
		usage_count(req->context->usage, req->workspace->name,
		    cluster_wall_ms(req->context->cluster));
}

ttft_model_t *
proxy_ttft_model(const proxy_request_t *req)
{
	GHashTable *models = req->context->ttft_models;
	ttft_model_t *model = g_hash_table_lookup(models, req->service_name);

	if (model == NULL) {
		model = g_new0(ttft_model_t, 1);
		g_hash_table_insert(models, g_strdup(req->service_name), model);
	}
	return model;
}

/*
 * Latency recorded for a rollout. For engines it is the percentage of the time
 * expected for the tokens to prefill, so that the empty cache of a new server
 * does not count against its version; for plain services it is ttft_ms.
 */
static double
rollout_latency(const proxy_request_t *req, double ttft_ms)
{
	double expected_ms;

	if (req->service == NULL || !req->service->is_engine)
		return ttft_ms;
	expected_ms =
	    ttft_model_predict_ms(proxy_ttft_model(req), req->prefill_tokens);
	return PERCENT * ttft_ms / MAX(expected_ms, 1);
}

void
proxy_record_rollout_attempt(proxy_request_t *req, bool ok, double ttft_ms)
{
	evidence_attempt_t attempt = {
	    .version = req->trial.to_new_version ? EVIDENCE_NEW_VERSION
						 : EVIDENCE_OLD_VERSION,
	    .new_version_share = req->trial.new_version_share,
	    .route = req->route->name,
	    .ok = ok,
	    .latency_ms = ok ? rollout_latency(req, ttft_ms) : 0,
	};

	if (req->trial.revision != 0 &&
	    !(ok && server_is_warming_up(req->server, clock_boot_ms())))
		rollouts_add_attempt(req->context->rollouts, req->service_name,
		    req->trial.revision, &attempt);
}

static bool
is_late(const proxy_request_t *req, int64_t now_ms)
{
	return now_ms - req->received_ms >
	       overload_wait_max_ms(
		   req->route->objective_ms, req->unloaded_ttft_ms);
}

void
proxy_count_urgent(proxy_request_t *req, int64_t now_ms)
{
	if (!req->urgent || req->urgent_counted ||
	    req->route->objective_ms == 0)
		return;
	req->urgent_counted = true;
	overload_count_urgent(req->context->overload, req->service_name,
	    is_late(req, now_ms), now_ms);
}

void
proxy_count_overdue(proxy_context_t *context, int64_t now_ms)
{
	proxy_request_t *req;

	TAILQ_FOREACH (req, &context->requests, entries)
		if (req->awaiting_response && is_late(req, now_ms))
			proxy_count_urgent(req, now_ms);
}

void
proxy_record_first_byte(proxy_request_t *req)
{
	int64_t now_ms = clock_boot_ms();
	double ttft_ms;

	req->may_have_run = true;
	if (!req->awaiting_response)
		return;
	req->first_byte_ms = now_ms;
	proxy_remove_waiting_prompt(req);
	proxy_count_urgent(req, now_ms);
	count_usage(req);
	ttft_ms = (double)(now_ms - req->attempt_start_ms);
	proxy_record_rollout_attempt(req, true, ttft_ms);
	req->ttft_ms = now_ms - req->received_ms;
	if (req->service != NULL && req->service->is_engine)
		ttft_model_add(
		    proxy_ttft_model(req), req->prefill_tokens, ttft_ms);
	server_record_outcome(req->server, SERVER_SERVED, ttft_ms, now_ms);
}

void
proxy_record_run(const proxy_request_t *req)
{
	if (req->service != NULL && req->service->is_engine &&
	    req->first_byte_ms != 0)
		ttft_model_add_run(proxy_ttft_model(req),
		    (double)(clock_boot_ms() - req->first_byte_ms));
}

/* Time on which the nodes agree, of a time of this node's clock. */
static int64_t
wall_time_ms(const proxy_request_t *req, int64_t boot_ms)
{
	return cluster_wall_ms(req->context->cluster) - clock_boot_ms() +
	       boot_ms;
}

void
proxy_record_survival(proxy_request_t *req)
{
	if (req->survival_recorded || req->first_byte_ms == 0)
		return;
	req->survival_recorded = true;
	crash_guard_add_survival(req->context->crash_guard, &req->facts,
	    wall_time_ms(req, req->first_byte_ms));
}

void
proxy_record_crash(proxy_request_t *req)
{
	crash_guard_attempt_t attempt = {
	    .facts = &req->facts,
	    .process = server_process_hash(req->server->info),
	    .sent_ms = wall_time_ms(req, req->attempt_start_ms),
	};

	if (!req->survival_recorded)
		crash_guard_add_crash(req->context->crash_guard, &attempt,
		    cluster_wall_ms(req->context->cluster));
}

void
proxy_record_failure(proxy_request_t *req, const char *reason, bool sent)
{
	const server_t *server = req->server;
	proxy_attempt_failure_t failure = {
	    .attempt_id = req->facts.attempt_id,
	    .server = server->info->id,
	    .reason = reason,
	    .attempt_number = req->tried->len,
	    .sent = sent,
	    .elapsed_ms = clock_boot_ms() - req->attempt_start_ms,
	    .failure_rate = server->failure_rate,
	    .in_flight = server_in_flight(server),
	    .facts = &req->facts,
	};

	proxy_log_attempt_failure(req->context->counters, &failure);
}

void
proxy_record_failed_attempt(
    proxy_request_t *req, server_outcome_t outcome, const char *reason)
{
	if (req->awaiting_response)
		count_usage(req);
	req->may_have_run = true;
	proxy_record_failure(req, reason, true);
	proxy_record_rollout_attempt(req, false, 0);
	server_record_outcome(req->server, outcome, 0, clock_boot_ms());
}
