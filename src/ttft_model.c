#include "ttft_model.h"

#include <glib.h>

/* Weight of what was learned before; about the last 300 requests count. */
static const double decay = 0.997;
/* Requests after which the line is used in place of the default. */
static const double min_weight = 40;
/* What holds before enough is known, and the bounds of what is learned. */
static const double default_base_ms = 70;
static const double default_token_ms = 0.01;
static const double min_token_ms = 0.001;
static const double max_token_ms = 0.1;
static const double max_base_ms = 1000;

void
ttft_model_add(ttft_model_t *pace, double tokens, double first_ms)
{
	pace->weight = pace->weight * decay + 1;
	pace->tokens_sum = pace->tokens_sum * decay + tokens;
	pace->ttft_ms_sum = pace->ttft_ms_sum * decay + first_ms;
	pace->tokens_squared_sum =
	    pace->tokens_squared_sum * decay + tokens * tokens;
	pace->product_sum = pace->product_sum * decay + tokens * first_ms;
}

double
ttft_model_predict_ms(const ttft_model_t *pace, double tokens)
{
	double mean_tokens, mean_ms, variance, slope, base;

	if (pace->weight < min_weight)
		return default_base_ms + tokens * default_token_ms;
	mean_tokens = pace->tokens_sum / pace->weight;
	mean_ms = pace->ttft_ms_sum / pace->weight;
	variance =
	    pace->tokens_squared_sum / pace->weight - mean_tokens * mean_tokens;
	slope = default_token_ms;
	if (variance > 1)
		slope =
		    (pace->product_sum / pace->weight - mean_tokens * mean_ms) /
		    variance;
	slope = CLAMP(slope, min_token_ms, max_token_ms);
	base = CLAMP(mean_ms - slope * mean_tokens, 0, max_base_ms);
	return base + slope * tokens;
}
