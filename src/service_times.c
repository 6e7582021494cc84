#include "service_times.h"

#include <stddef.h>

/* Factors from which a service counts as slow, and below which no longer. */
static const double slow_factor = 1.5;
static const double normal_factor = 1.2;

/*
 * Estimates are those before the sample. They leave out the server's own
 * factor, and include the service's: what all servers share says nothing of
 * one of them.
 */
void
service_times_add_prompt(service_times_t *times, server_speed_t *server,
    speed_kind_t kind, double tokens, double ttft_ms, int64_t now_ms)
{
	ttft_model_t *model = &times->ttft_model;
	double service_factor =
	    service_speed_factor(&times->speed, kind, model, now_ms);

	if (server != NULL)
		server_speed_add(server, ttft_ms,
		    service_factor * ttft_model_predict_ms(model, tokens),
		    now_ms);
	service_speed_add(&times->speed, kind, model, tokens, ttft_ms, now_ms);
	ttft_model_add(model, tokens, ttft_ms);
}

void
service_times_add_response(service_times_t *times, server_speed_t *server,
    unsigned running, unsigned slots, double taken_ms, int64_t now_ms)
{
	plain_model_t *model = &times->plain_model;

	if (server != NULL)
		server_speed_add(server, taken_ms,
		    plain_model_predict_ms(model, running, slots), now_ms);
	plain_model_add(model, running, slots, taken_ms);
}

bool
service_times_update_slow(
    service_times_t *times, speed_kind_t kind, double factor)
{
	bool was_slow = times->slow[kind];

	times->slow[kind] = factor >= (was_slow ? normal_factor : slow_factor);
	return times->slow[kind] != was_slow;
}
