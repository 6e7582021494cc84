#include "proxy_state.h"

#include "clock.h"
#include "log.h"
#include "proxy_log.h"

enum { PERCENT = 100 };

static void
count_usage(proxy_attempt_t *attempt)
{
	const proxy_request_t *req = attempt->request;

	if (req->workspace == NULL || attempt->usage_counted)
		return;
	attempt->usage_counted = true;
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
rollout_latency(const proxy_attempt_t *attempt, double ttft_ms)
{
	const proxy_request_t *req = attempt->request;
	double expected_ms;

	if (req->service == NULL || !req->service->is_engine)
		return ttft_ms;
	expected_ms = ttft_model_predict_ms(
	    proxy_ttft_model(req), attempt->prefill_tokens);
	return PERCENT * ttft_ms / MAX(expected_ms, 1);
}

void
proxy_record_rollout_attempt(proxy_attempt_t *attempt, bool ok, double ttft_ms)
{
	const proxy_request_t *req = attempt->request;
	const rollouts_assignment_t *trial = &attempt->trial;
	evidence_attempt_t evidence = {
	    .version = trial->to_new_version ? EVIDENCE_NEW_VERSION
					     : EVIDENCE_OLD_VERSION,
	    .new_version_share = trial->new_version_share,
	    .route = req->route->name,
	    .ok = ok,
	    .latency_ms = ok ? rollout_latency(attempt, ttft_ms) : 0,
	};

	if (trial->rollout_id != 0 &&
	    !(ok && server_is_cold(attempt->server, clock_boot_ms())))
		rollouts_add_attempt(req->context->rollouts, req->service_name,
		    trial->rollout_id, &evidence);
}

void
proxy_record_first_byte(proxy_attempt_t *attempt)
{
	proxy_request_t *req = attempt->request;
	int64_t now_ms = clock_boot_ms();
	double ttft_ms;

	req->may_have_run = true;
	if (!attempt->awaiting_response)
		return;
	attempt->first_byte_ms = now_ms;
	proxy_record_hedge_time(attempt, true);
	proxy_remove_waiting_prompt(attempt);
	count_usage(attempt);
	ttft_ms = (double)(now_ms - attempt->start_ms);
	proxy_record_rollout_attempt(attempt, true, ttft_ms);
	req->ttft_ms = now_ms - req->received_ms;
	if (req->service != NULL && req->service->is_engine)
		ttft_model_add(
		    proxy_ttft_model(req), attempt->prefill_tokens, ttft_ms);
	server_record_outcome(attempt->server, SERVER_SERVED, ttft_ms, now_ms);
}

void
proxy_record_lost_race(proxy_attempt_t *attempt)
{
	double elapsed_ms = (double)(clock_boot_ms() - attempt->start_ms);

	proxy_record_hedge_time(attempt, false);
	server_record_no_answer(attempt->server, elapsed_ms);
	/*
	 * Without the slow attempts that a hedge has replaced, a slow version
	 * would look like a fast one.
	 */
	proxy_record_rollout_attempt(attempt, true, elapsed_ms);
}

/* Time on which the nodes agree, of a time of this node's clock. */
static int64_t
wall_time_ms(const proxy_request_t *req, int64_t boot_ms)
{
	return cluster_wall_ms(req->context->cluster) - clock_boot_ms() +
	       boot_ms;
}

void
proxy_record_survival(proxy_attempt_t *attempt)
{
	const proxy_request_t *req = attempt->request;

	if (attempt->survival_recorded || attempt->first_byte_ms == 0)
		return;
	attempt->survival_recorded = true;
	crash_guard_add_survival(req->context->crash_guard, &req->facts,
	    wall_time_ms(req, attempt->first_byte_ms));
}

void
proxy_record_crash(proxy_attempt_t *attempt)
{
	const proxy_request_t *req = attempt->request;
	crash_guard_attempt_t crashed = {
	    .facts = &req->facts,
	    .process = server_process_hash(attempt->server->info),
	    .sent_ms = wall_time_ms(req, attempt->start_ms),
	};

	if (!attempt->survival_recorded)
		crash_guard_add_crash(req->context->crash_guard, &crashed,
		    cluster_wall_ms(req->context->cluster));
}

void
proxy_record_failure(proxy_attempt_t *attempt, const char *reason, bool sent)
{
	const proxy_request_t *req = attempt->request;
	const server_t *server = attempt->server;
	proxy_attempt_failure_t failure = {
	    .attempt_id = req->facts.attempt_id,
	    .server = server->info->id,
	    .reason = reason,
	    .attempt_number = req->tried->len,
	    .sent = sent,
	    .elapsed_ms = clock_boot_ms() - attempt->start_ms,
	    .failure_rate = server->failure_rate,
	    .in_flight = server_in_flight(server),
	    .facts = &req->facts,
	};

	proxy_log_attempt_failure(req->context->counters, &failure);
}

void
proxy_record_failed_attempt(
    proxy_attempt_t *attempt, server_outcome_t outcome, const char *reason)
{
	if (attempt->awaiting_response)
		count_usage(attempt);
	attempt->request->may_have_run = true;
	proxy_record_hedge_time(attempt, false);
	proxy_record_failure(attempt, reason, true);
	proxy_record_rollout_attempt(attempt, false, 0);
	server_record_outcome(attempt->server, outcome, 0, clock_boot_ms());
}

static void
note_leaving(const proxy_attempt_t *attempt)
{
	server_t *server = attempt->server;

	if (server->leaving_since_ms != 0)
		return;
	pool_set_leaving(
	    attempt->request->context->pool, server, clock_boot_ms());
	log_event(LOG_LEVEL_INFO, "server.leaving",
	    "id=%s draining=%d removed=%d", server->info->id,
	    server->info->draining, server->removed);
}

static void
record_cold(server_t *server, int64_t cold_ms, int64_t now_ms)
{
	bool was_cold = server_is_cold(server, now_ms);

	server_report_cold(server, cold_ms, now_ms);
	if (!was_cold && server_is_cold(server, now_ms))
		log_event(LOG_LEVEL_INFO, "server.cold",
		    "id=%s cold_ms=%" G_GINT64_FORMAT " source=response",
		    server->info->id, cold_ms);
}

/* A server whose start is not known cannot be told from its next process. */
static void
record_response(const proxy_attempt_t *attempt, int64_t now_ms)
{
	const proxy_request_t *req = attempt->request;
	const proxy_context_t *context = req->context;
	const server_info_t *info = attempt->server->info;

	if (info->started_ms != 0)
		crash_guard_add_response(context->crash_guard,
		    server_process_hash(info), wall_time_ms(req, now_ms),
		    wall_time_ms(req, context->store_confirmed_ms));
}

void
proxy_record_server_facts(
    const proxy_attempt_t *attempt, const response_facts_t *facts)
{
	int64_t now_ms = clock_boot_ms();

	record_response(attempt, now_ms);
	if (facts->retry_after_ms > 0)
		server_pause(attempt->server, facts->retry_after_ms, now_ms);
	if (facts->cold_ms > 0)
		record_cold(attempt->server, facts->cold_ms, now_ms);
	if (facts->leaving)
		note_leaving(attempt);
}
