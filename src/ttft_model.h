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
	double run_ms;	    /* from the first token to the end; 0: none yet */
} ttft_model_t;

/* Adds a request whose first token came after ttft_ms and these tokens. */
void ttft_model_add(ttft_model_t *model, double tokens, double ttft_ms);

/* Adds the time from a request's first token to its end. */
void ttft_model_add_run(ttft_model_t *model, double run_ms);

/*
 * Time until a request starts that is behind so many others in the queue of an
 * engine which runs batch_size requests at a time.
 */
double ttft_model_queue_ms(
    const ttft_model_t *model, unsigned ahead, unsigned batch_size);

/* Expected time to the first token, in milliseconds. */
double ttft_model_predict_ms(const ttft_model_t *model, double tokens);

#endif
