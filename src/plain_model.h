#ifndef PAPAYA_PLAIN_MODEL_H
#define PAPAYA_PLAIN_MODEL_H

/*
 * Response time of a plain service's servers over the requests in progress at
 * one of them, fitted to recent responses. Load: servers whose responses take
 * longer the more of their slots are in use. No I/O; zeroed memory is an empty
 * model. All members are sums over responses, weighted by age.
 */
typedef struct plain_model {
	double weight;
	double usage_sum; /* portion of the slots in use, 0 to 1 */
	double ms_sum;	  /* without the wait for a slot */
	double usage_squared_sum;
	double product_sum;
} plain_model_t;

/*
 * Adds a response that took so long at a server that already had running
 * requests when this one was sent.
 */
void plain_model_add(
    plain_model_t *model, unsigned running, unsigned slots, double taken_ms);

/*
 * Expected response time at such a server, in milliseconds; above 0. model
 * NULL: nothing is known.
 */
double plain_model_predict_ms(
    const plain_model_t *model, unsigned running, unsigned slots);

#endif
