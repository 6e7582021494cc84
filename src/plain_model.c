#include "plain_model.h"

#include <glib.h>

/* Factor of all older weights per response; about the last 100 count. */
static const double decay = 0.99;
/* Weight from which the fit includes the usage. */
static const double min_fit_weight = 20;
/* Variance of the usage below which the fit leaves it out. */
static const double min_variance = 0.001;
/* Assumed before the first response. */
static const double default_ms = 50;
/* Responses are timed in whole milliseconds. */
static const double min_ms = 0.5;

static double
slot_usage(unsigned running, unsigned slots)
{
	return running >= slots ? 1 : (double)running / slots;
}

/* How many times longer a request takes as it waits for a slot. */
static double
queue_factor(unsigned running, unsigned slots)
{
	if (running < slots)
		return 1;
	return 1 + (double)(running - slots + 1) / MAX(slots, 1);
}

void
plain_model_add(
    plain_model_t *model, unsigned running, unsigned slots, double taken_ms)
{
	double usage = slot_usage(running, slots);
	double ms = taken_ms / queue_factor(running, slots);

	model->weight = model->weight * decay + 1;
	model->usage_sum = model->usage_sum * decay + usage;
	model->ms_sum = model->ms_sum * decay + ms;
	model->usage_squared_sum =
	    model->usage_squared_sum * decay + usage * usage;
	model->product_sum = model->product_sum * decay + usage * ms;
}

double
plain_model_predict_ms(
    const plain_model_t *model, unsigned running, unsigned slots)
{
	double mean_usage, mean_ms, variance, slope = 0;

	if (model == NULL || model->weight == 0)
		return default_ms * queue_factor(running, slots);
	mean_usage = model->usage_sum / model->weight;
	mean_ms = model->ms_sum / model->weight;
	variance =
	    model->usage_squared_sum / model->weight - mean_usage * mean_usage;
	if (model->weight >= min_fit_weight && variance > min_variance)
		slope = (model->product_sum / model->weight -
			    mean_usage * mean_ms) /
			variance;
	/* More requests in progress never make a server faster. */
	slope = MAX(slope, 0);
	if (mean_usage > 0)
		slope = MIN(slope, mean_ms / mean_usage);
	return MAX(mean_ms + slope * (slot_usage(running, slots) - mean_usage),
		   min_ms) *
	       queue_factor(running, slots);
}
