#include "server_speed.h"

#include <glib.h>
#include <math.h>

enum {
	/*
	 * Time in which evidence on a server loses all but 1/e of its weight:
	 * long enough that a slow spell of 600 ms is a small part of it.
	 */
	SERVER_MEMORY_MS = 10000,
	/* The same for the service, which must follow within a second. */
	SERVICE_MEMORY_MS = 500,
	/* Overdue prompts of one server that count for its service. */
	OVERDUE_PER_SERVER = 3,
};

/* Weight of the assumption that a server is like the others. */
static const double server_prior = 10;
/* Weight of the assumption that the service's model is right. */
static const double service_prior = 2;

/* Bounds of one request's time relative to its estimate. */
static const double min_sample = 0.1;
static const double max_sample = 5;

/* Bounds of the factors. */
static const double min_server_factor = 0.25;
static const double max_server_factor = 4;
static const double min_service_factor = 0.5;
static const double max_service_factor = 6;

/* Largest weight that one peer's report can have. */
static const double max_report_weight = 1000;

/* Share of the weight that evidence has kept since updated_ms. */
static double
kept_weight(int64_t updated_ms, int64_t now_ms, double memory_ms)
{
	return exp(-(double)MAX(now_ms - updated_ms, 0) / memory_ms);
}

static double
bounded_sample(double taken_ms, double expected_ms)
{
	return CLAMP(
	    taken_ms, min_sample * expected_ms, max_sample * expected_ms);
}

void
server_speed_add(
    server_speed_t *speed, double taken_ms, double expected_ms, int64_t now_ms)
{
	double kept = kept_weight(speed->updated_ms, now_ms, SERVER_MEMORY_MS);

	if (expected_ms <= 0)
		return;
	speed->own.weight = speed->own.weight * kept + 1;
	speed->own.taken_ms =
	    speed->own.taken_ms * kept + bounded_sample(taken_ms, expected_ms);
	speed->own.expected_ms = speed->own.expected_ms * kept + expected_ms;
	speed->updated_ms = now_ms;
	server_speed_update(speed, now_ms);
}

speed_report_t
server_speed_report(const server_speed_t *speed, int64_t now_ms)
{
	speed_report_t report = {.factor = 1};

	if (speed->own.weight <= 0)
		return report;
	report.factor = speed->own.taken_ms / speed->own.expected_ms;
	report.weight = speed->own.weight * kept_weight(speed->updated_ms,
						now_ms, SERVER_MEMORY_MS);
	return report;
}

void
server_speed_clear_reports(server_speed_t *speed)
{
	speed->report_weight = 0;
	speed->report_factors = 0;
}

void
server_speed_add_report(server_speed_t *speed, const speed_report_t *report)
{
	double weight = CLAMP(report->weight, 0, max_report_weight);

	speed->report_weight += weight;
	speed->report_factors +=
	    weight * CLAMP(report->factor, min_sample, max_sample);
}

void
server_speed_update(server_speed_t *speed, int64_t now_ms)
{
	speed_report_t own = server_speed_report(speed, now_ms);
	double weight = server_prior + own.weight + speed->report_weight;
	double factor =
	    (server_prior + own.weight * own.factor + speed->report_factors) /
	    weight;

	speed->excess = CLAMP(factor, min_server_factor, max_server_factor) - 1;
}

void
service_speed_add(service_speed_t *speed, speed_kind_t kind,
    const ttft_model_t *model, double tokens, double taken_ms, int64_t now_ms)
{
	struct service_speed_kind *sums = &speed->kinds[kind];
	double kept = kept_weight(sums->updated_ms, now_ms, SERVICE_MEMORY_MS);

	sums->weight = sums->weight * kept + 1;
	sums->tokens = sums->tokens * kept + tokens;
	sums->taken_ms =
	    sums->taken_ms * kept +
	    bounded_sample(taken_ms, ttft_model_predict_ms(model, tokens));
	sums->updated_ms = now_ms;
}

/*
 * Factor of the sums; the model's estimate is linear in the tokens. The tokens
 * are kept instead of the estimates, since the model learns from the same
 * requests: its change must not leave a factor for a model that is gone.
 */
static double
service_factor(
    double weight, double tokens, double taken_ms, const ttft_model_t *model)
{
	double expected_ms, factor;

	if (weight <= 0)
		return 1;
	expected_ms = weight * ttft_model_predict_ms(model, tokens / weight);
	if (expected_ms <= 0)
		return 1;
	factor = (service_prior + weight * taken_ms / expected_ms) /
		 (service_prior + weight);
	return CLAMP(factor, min_service_factor, max_service_factor);
}

/* Factor by the prompts that have their first token. */
static double
answered_factor(const struct service_speed_kind *sums,
    const ttft_model_t *model, int64_t now_ms)
{
	double kept = kept_weight(sums->updated_ms, now_ms, SERVICE_MEMORY_MS);

	return service_factor(sums->weight * kept, sums->tokens * kept,
	    sums->taken_ms * kept, model);
}

void
service_speed_clear_overdue(service_speed_t *speed)
{
	speed->round++;
	for (int kind = 0; kind < SPEED_KINDS; kind++) {
		speed->kinds[kind].overdue_weight = 0;
		speed->kinds[kind].overdue_tokens = 0;
		speed->kinds[kind].overdue_ms = 0;
	}
}

void
service_speed_add_waiting(service_speed_t *speed, speed_kind_t kind,
    const ttft_model_t *model, server_speed_t *server, double tokens,
    double waited_ms, int64_t now_ms)
{
	struct service_speed_kind *sums = &speed->kinds[kind];
	double expected_ms =
	    ttft_model_predict_ms(model, tokens) * server_speed_factor(server);

	if (waited_ms <= expected_ms * answered_factor(sums, model, now_ms))
		return;
	if (server->overdue_round != speed->round) {
		server->overdue_round = speed->round;
		server->overdue_count = 0;
	}
	if (server->overdue_count >= OVERDUE_PER_SERVER)
		return;
	server->overdue_count++;
	sums->overdue_weight += 1;
	sums->overdue_tokens += tokens;
	sums->overdue_ms += bounded_sample(waited_ms, expected_ms) /
			    server_speed_factor(server);
}

double
service_speed_factor(const service_speed_t *speed, speed_kind_t kind,
    const ttft_model_t *model, int64_t now_ms)
{
	const struct service_speed_kind *sums = &speed->kinds[kind];
	double kept = kept_weight(sums->updated_ms, now_ms, SERVICE_MEMORY_MS);

	return service_factor(sums->weight * kept + sums->overdue_weight,
	    sums->tokens * kept + sums->overdue_tokens,
	    sums->taken_ms * kept + sums->overdue_ms, model);
}
