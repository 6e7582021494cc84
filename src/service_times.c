#include "service_times.h"

#include <stddef.h>

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
