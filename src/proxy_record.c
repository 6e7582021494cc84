#include "proxy_state.h"

#include "clock.h"
#include "log.h"
#include "proxy_log.h"

enum { PERCENT = 100 };

static void
count_usage(proxy_request_t *req)
{
	if (req->workspace != NULL)
		usage_count(req->context->usage, req->workspace->name,
		    cluster_wall_ms(req->context->cluster));
}

service_times_t *
proxy_service_times(const proxy_request_t *req)
{
	GHashTable *services = req->context->service_times;
	service_times_t *times =
	    g_hash_table_lookup(services, req->service_name);

	if (times == NULL) {
		times = g_new0(service_times_t, 1);
		g_hash_table_insert(
		    services, g_strdup(req->service_name), times);
	}
	return times;
}

speed_kind_t
proxy_speed_kind(const proxy_request_t *req)
{
	return req->urgent ? SPEED_URGENT : SPEED_NOT_URGENT;
}

static bool
is_at_engine(const proxy_request_t *req)
{
	return req->service != NULL && req->service->is_engine;
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

	if (!is_at_engine(req))
		return ttft_ms;
	expected_ms = ttft_model_predict_ms(
	    &proxy_service_times(req)->ttft_model, req->prefill_tokens);
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

static void
record_times(proxy_request_t *req, double taken_ms, int64_t now_ms)
{
	service_times_t *times = proxy_service_times(req);
	server_t *server = req->server;
	server_speed_t *speed =
	    server_is_warming_up(server, now_ms) ? NULL : &server->speed;

	if (is_at_engine(req))
		service_times_add_prompt(times, speed, proxy_speed_kind(req),
		    req->prefill_tokens, taken_ms, now_ms);
	else
		service_times_add_response(times, speed, req->running_before,
		    server->info->slots, taken_ms, now_ms);
}

static void
clear_overdue(gpointer name, gpointer times, gpointer data)
{
	service_speed_clear_overdue(&((service_times_t *)times)->speed);
}

static void
log_service_speed(gpointer name, gpointer data, gpointer now_ms)
{
	service_times_t *times = data;

	for (int kind = 0; kind < SPEED_KINDS; kind++) {
		double factor = service_speed_factor(&times->speed, kind,
		    &times->ttft_model, *(int64_t *)now_ms);

		if (service_times_update_slow(times, kind, factor))
			log_event(LOG_LEVEL_INFO,
			    times->slow[kind] ? "service.slow"
					      : "service.normal",
			    "service=%s urgent=%d factor=%.2f",
			    (const char *)name, kind == SPEED_URGENT, factor);
	}
}

void
proxy_update_overdue(proxy_context_t *context, int64_t now_ms)
{
	proxy_request_t *req;

	g_hash_table_foreach(context->service_times, clear_overdue, NULL);
	TAILQ_FOREACH (req, &context->requests, entries) {
		service_times_t *times;

		if (!req->awaiting_response || !is_at_engine(req))
			continue;
		times = proxy_service_times(req);
		service_speed_add_waiting(&times->speed, proxy_speed_kind(req),
		    &times->ttft_model, &req->server->speed,
		    req->prefill_tokens,
		    (double)(now_ms - req->attempt_start_ms), now_ms);
	}
	g_hash_table_foreach(
	    context->service_times, log_service_speed, &now_ms);
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
	count_usage(req);
	ttft_ms = (double)(now_ms - req->attempt_start_ms);
	proxy_record_rollout_attempt(req, true, ttft_ms);
	req->ttft_ms = now_ms - req->received_ms;
	record_times(req, ttft_ms, now_ms);
	server_record_outcome(req->server, SERVER_SERVED, ttft_ms, now_ms);
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
