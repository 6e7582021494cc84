#include "proxy_state.h"

#include "clock.h"
#include "proxy_log.h"

/* True for requests that are compared with each other and may be hedged. */
static bool
is_hedgeable(const proxy_request_t *req)
{
	return hedge_is_enabled(req->context->hedge) &&
	       catalog_may_retry(req->route) && req->route->max_attempts > 1;
}

/* True where the request may be sent to a second server now. */
static bool
may_hedge(const proxy_request_t *req)
{
	return is_hedgeable(req) && !req->hedged && !req->response_started &&
	       req->tried->len < req->route->max_attempts;
}

static hedge_kind_t
attempt_kind(const proxy_attempt_t *attempt)
{
	const proxy_request_t *req = attempt->request;
	bool is_engine = req->service != NULL && req->service->is_engine;

	/* Prompts differ a hundredfold in size, plain requests do not. */
	return (hedge_kind_t){
	    .route = req->route->name,
	    .service = req->service_name,
	    .expected_ms = is_engine ? attempt->expected_ttft_ms : 0,
	};
}

void
proxy_record_hedge_time(proxy_attempt_t *attempt, bool answered)
{
	const proxy_request_t *req = attempt->request;
	int64_t now_ms = clock_boot_ms();
	hedge_kind_t kind;
	hedge_time_t time = {
	    .elapsed_ms = (double)(now_ms - attempt->start_ms),
	    .late_ms = attempt->late_since_ms == 0
			   ? -1
			   : (double)(now_ms - attempt->late_since_ms),
	    .answered = answered,
	};

	/* A stream that is resumed is no attempt like others. */
	if (!attempt->awaiting_response || attempt->hedge_time_recorded ||
	    req->stream_started || !is_hedgeable(req))
		return;
	attempt->hedge_time_recorded = true;
	kind = attempt_kind(attempt);
	hedge_add_time(req->context->hedge, &kind, &time, now_ms);
}

static void
log_race_end(const proxy_request_t *req, proxy_race_end_t end)
{
	const proxy_attempt_t *second = &req->attempts[HEDGE_SECOND];

	proxy_log_race_end(req->context->counters, req->facts.attempt_id,
	    req->service_name, end, clock_boot_ms() - second->start_ms);
}

/* Makes an attempt the current one and releases the one that it raced. */
static void
continue_with(proxy_attempt_t *attempt)
{
	proxy_request_t *req = attempt->request;
	proxy_attempt_t *ended =
	    attempt == req->attempt ? req->other_attempt : req->attempt;

	/* The two count once in the usage of the workspace. */
	attempt->usage_counted |= ended->usage_counted;
	proxy_attempt_clear(ended);
	req->attempt = attempt;
	req->other_attempt = ended;
	proxy_charge_buffered(req);
}

bool
proxy_win_race(proxy_attempt_t *attempt)
{
	proxy_request_t *req = attempt->request;

	if (!hedge_race_is_open(&req->race))
		return attempt == req->attempt;
	if (!hedge_race_win(&req->race, attempt->side))
		return false;
	proxy_record_lost_race(
	    attempt == req->attempt ? req->other_attempt : req->attempt);
	log_race_end(req,
	    attempt->side == HEDGE_SECOND ? PROXY_RACE_WON : PROXY_RACE_LOST);
	continue_with(attempt);
	return true;
}

bool
proxy_leave_race(proxy_attempt_t *attempt)
{
	proxy_request_t *req = attempt->request;
	bool is_current = attempt == req->attempt;

	if (!hedge_race_is_open(&req->race) ||
	    !hedge_race_fail(&req->race, attempt->side))
		return false;
	log_race_end(req, attempt->side == HEDGE_SECOND
			      ? PROXY_RACE_HEDGE_FAILED
			      : PROXY_RACE_FIRST_FAILED);
	continue_with(is_current ? req->other_attempt : req->attempt);
	if (is_current)
		proxy_start_idle_timer(req, req->route->objective_ms);
	return true;
}

void
proxy_end_race(proxy_request_t *req)
{
	if (req->attempt->server != NULL)
		proxy_record_hedge_time(req->attempt, false);
	if (hedge_race_is_open(&req->race))
		log_race_end(req, PROXY_RACE_ABANDONED);
}

static void
send_hedge(
    proxy_request_t *req, const pick_choice_t *choice, bool to_new_version)
{
	proxy_attempt_t *hedge = req->other_attempt;
	const proxy_attempt_t *first = req->attempt;
	proxy_hedge_t sent = {
	    .attempt_id = req->facts.attempt_id,
	    .service = req->service_name,
	    .route = req->route->name,
	    .first_server = first->server->info->id,
	    .second_server = choice->server->info->id,
	    .elapsed_ms = clock_boot_ms() - first->start_ms,
	    .delay_ms = first->late_since_ms - first->start_ms,
	    .target_ms = choice->expected_ms,
	};

	req->hedged = true;
	/* Not assigned at random: no evidence for a rollout. */
	hedge->trial = (rollouts_assignment_t){0};
	hedge_race_begin(&req->race);
	proxy_log_hedge_sent(req->context->counters, &sent);
	if (proxy_start_attempt(hedge, choice))
		rollouts_count_hedge(
		    req->context->rollouts, req->service_name, to_new_version);
	else
		proxy_handle_not_sent(hedge, SERVER_FULL, "no_connection");
}

static bool
is_over_quota(const proxy_request_t *req)
{
	return req->workspace != NULL &&
	       quota_is_spent(
		   req->context->quota, req->workspace->name, clock_boot_ms());
}

static bool
is_blocked(const proxy_request_t *req)
{
	return crash_guard_blocked_ms(req->context->crash_guard, &req->facts,
		   cluster_wall_ms(req->context->cluster)) > 0;
}

/* Decides on the current attempt, which is late, and sends the hedge. */
static hedge_verdict_t
try_hedge(proxy_request_t *req)
{
	proxy_context_t *context = req->context;
	int64_t now_ms = clock_boot_ms();
	hedge_kind_t kind = attempt_kind(req->attempt);
	hedge_situation_t situation = {
	    .late_ms = (double)(now_ms - req->attempt->late_since_ms),
	    .remaining_ms = proxy_remaining_ms(req) - PROXY_ATTEMPT_MIN_MS,
	    .over_quota = is_over_quota(req),
	};
	bool to_new_version;
	pick_choice_t choice =
	    proxy_pick_hedge(req, &to_new_version, &situation);
	hedge_verdict_t verdict;

	if (choice.server == NULL)
		return HEDGE_NO_SERVER;
	if (is_blocked(req))
		return HEDGE_BLOCKED;
	situation.target_ms = choice.expected_ms;
	verdict = hedge_decide(context->hedge, &kind, &situation, now_ms);
	if (verdict != HEDGE_SEND)
		return verdict;
	if (!retry_budget_take_hedge(context->budget, req->service_name,
		cluster_share_count(context->cluster), now_ms))
		return HEDGE_BUDGET;
	hedge_count_sent(context->hedge, req->service_name);
	send_hedge(req, &choice, to_new_version);
	return HEDGE_SEND;
}

static void
mark_late(proxy_attempt_t *attempt)
{
	if (attempt->late_since_ms != 0)
		return;
	attempt->late_since_ms = clock_boot_ms();
	attempt->server->late_attempts++;
}

static void
on_late(uv_timer_t *timer)
{
	proxy_request_t *req = timer->data;
	proxy_attempt_t *attempt = req->attempt;
	hedge_verdict_t verdict;

	if (attempt->call == NULL || !attempt->awaiting_response ||
	    !may_hedge(req))
		return;
	mark_late(attempt);
	verdict = try_hedge(req);
	if (verdict == HEDGE_SEND)
		return;
	if (verdict != req->hedge_verdict)
		proxy_log_hedge_refused(req->context->counters,
		    req->facts.attempt_id, req->service_name, verdict);
	req->hedge_verdict = verdict;
	uv_timer_start(timer, on_late,
	    (uint64_t)hedge_recheck_ms(
		(double)(clock_boot_ms() - attempt->start_ms)),
	    0);
}

void
proxy_start_hedge_timer(proxy_request_t *req)
{
	hedge_kind_t kind = attempt_kind(req->attempt);
	int64_t delay_ms;

	if (!may_hedge(req))
		return;
	delay_ms = hedge_delay_ms(req->context->hedge, &kind, clock_boot_ms());
	if (delay_ms >= 0)
		uv_timer_start(
		    &req->hedge_timer, on_late, (uint64_t)delay_ms, 0);
}
