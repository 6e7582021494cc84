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

/* Milliseconds for each token of the learned line. */
static double
slope_of(const pace_t *pace)
{
	double mean_tokens, mean_ms, variance;

	if (pace->weight < weight_least)
		return default_token_ms;
	mean_tokens = pace->tokens / pace->weight;
	mean_ms = pace->first_ms / pace->weight;
	variance =
	    pace->tokens_squared / pace->weight - mean_tokens * mean_tokens;
	if (variance < 1)
		return default_token_ms;
	return CLAMP(
	    (pace->product / pace->weight - mean_tokens * mean_ms) / variance,
	    token_ms_least, token_ms_most);
}

double
pace_expect_ms(const pace_t *pace, double tokens)
{
	double slope = slope_of(pace);
	double base = default_base_ms;

	if (pace->weight >= weight_least)
		base = CLAMP((pace->first_ms - slope * pace->tokens) /
				 pace->weight,
		    0, base_ms_most);
	return base + slope * tokens;
}

double
pace_work_ms(const pace_t *pace, double tokens)
{
	return slope_of(pace) * tokens;
}
