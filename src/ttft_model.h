#ifndef PAPAYA_TTFT_MODEL_H
#define PAPAYA_TTFT_MODEL_H

/*
 * Linear model of an engine's time to the first token over the prompt tokens
 * that the engine reads before it, fitted to recent requests. All members are
 * sums over requests, weighted by age; zeroed memory is an empty model.
 */
typedef struct ttft_model {
	double weight;
	double tokens_sum;
	double ttft_ms_sum;
	double tokens_squared_sum;
	double product_sum; /* of the tokens and the time */
} ttft_model_t;

/* Adds a request whose first token came after ttft_ms and these tokens. */
void ttft_model_add(ttft_model_t *model, double tokens, double ttft_ms);

/* Expected time to the first token, in milliseconds. */
double ttft_model_predict_ms(const ttft_model_t *model, double tokens);

#endif
