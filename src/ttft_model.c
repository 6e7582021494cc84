#include "ttft_model.h"

#include <glib.h>

/* Factor of all older weights per request; about the last 300 count. */
static const double decay = 0.997;
/* Weight of the requests from which the fit replaces the defaults. */
static const double min_weight = 40;
/* Defaults until then. */
static const double default_base_ms = 70;
static const double default_token_ms = 0.01;
/* Bounds of the fit. */
static const double min_token_ms = 0.001;
static const double max_token_ms = 0.1;
static const double max_base_ms = 1000;
/* Weight of the newest request in the average time that one runs. */
static const double run_weight = 0.02;
/* The time that is assumed before the first one has ended. */
static const double default_run_ms = 640;

void
ttft_model_add(ttft_model_t *model, double tokens, double ttft_ms)
{
	model->weight = model->weight * decay + 1;
	model->tokens_sum = model->tokens_sum * decay + tokens;
	model->ttft_ms_sum = model->ttft_ms_sum * decay + ttft_ms;
	model->tokens_squared_sum =
	    model->tokens_squared_sum * decay + tokens * tokens;
	model->product_sum = model->product_sum * decay + tokens * ttft_ms;
}

double
ttft_model_predict_ms(const ttft_model_t *model, double tokens)
{
	double mean_tokens, mean_ms, variance, slope, base;

	if (model->weight < min_weight)
		return default_base_ms + tokens * default_token_ms;
	mean_tokens = model->tokens_sum / model->weight;
	mean_ms = model->ttft_ms_sum / model->weight;
	variance = model->tokens_squared_sum / model->weight -
		   mean_tokens * mean_tokens;
	slope = default_token_ms;
	if (variance > 1)
		slope = (model->product_sum / model->weight -
			    mean_tokens * mean_ms) /
			variance;
	slope = CLAMP(slope, min_token_ms, max_token_ms);
	base = CLAMP(mean_ms - slope * mean_tokens, 0, max_base_ms);
	return base + slope * tokens;
}

void
ttft_model_add_run(ttft_model_t *model, double run_ms)
{
	if (model->run_ms == 0)
		model->run_ms = default_run_ms;
	model->run_ms += run_weight * (run_ms - model->run_ms);
}

double
ttft_model_queue_ms(
    const ttft_model_t *model, unsigned ahead, unsigned batch_size)
{
	double run_ms = model->run_ms > 0 ? model->run_ms : default_run_ms;

	return ahead * run_ms / MAX(batch_size, 1);
}
