#ifndef PAPAYA_TTFT_MODEL_H
#define PAPAYA_TTFT_MODEL_H

/*
 * How long an engine takes to the first token, learned from recent requests
 * as a line over the prompt tokens that have to be read before it.
 */
typedef struct ttft_model {
	double weight;
	double tokens_sum; /* weighted sums */
	double ttft_ms_sum;
	double tokens_squared_sum;
	double product_sum;
} ttft_model_t;

/* A request whose first token took first_ms behind so many tokens. */
void ttft_model_add(ttft_model_t *pace, double tokens, double first_ms);

/* Expected time to the first token, in milliseconds. */
double ttft_model_predict_ms(const ttft_model_t *pace, double tokens);

#endif
