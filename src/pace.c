#include "pace.h"

#include <glib.h>

/* Weight of what was learned before; about the last 300 requests count. */
static const double decay = 0.997;
/* Requests after which the line is used in place of the default. */
static const double weight_least = 40;
/* What holds before enough is known, and the bounds of what is learned. */
static const double default_base_ms = 70;
static const double default_token_ms = 0.01;
static const double token_ms_least = 0.001;
static const double token_ms_most = 0.1;
static const double base_ms_most = 1000;

void
pace_learn(pace_t *pace, double tokens, double first_ms)
{
	pace->weight = pace->weight * decay + 1;
	pace->tokens = pace->tokens * decay + tokens;
	pace->first_ms = pace->first_ms * decay + first_ms;
	pace->tokens_squared = pace->tokens_squared * decay + tokens * tokens;
	pace->product = pace->product * decay + tokens * first_ms;
}

double
pace_expect_ms(const pace_t *pace, double tokens)
{
	double mean_tokens, mean_ms, variance, slope, base;

	if (pace->weight < weight_least)
		return default_base_ms + tokens * default_token_ms;
	mean_tokens = pace->tokens / pace->weight;
	mean_ms = pace->first_ms / pace->weight;
	variance =
	    pace->tokens_squared / pace->weight - mean_tokens * mean_tokens;
	slope = default_token_ms;
	if (variance > 1)
		slope = (pace->product / pace->weight - mean_tokens * mean_ms) /
			variance;
	slope = CLAMP(slope, token_ms_least, token_ms_most);
	base = CLAMP(mean_ms - slope * mean_tokens, 0, base_ms_most);
	return base + slope * tokens;
}
