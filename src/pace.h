#ifndef PAPAYA_PACE_H
#define PAPAYA_PACE_H

/*
 * How long an engine takes to the first token, learned from recent requests
 * as a line over the prompt tokens that have to be read before it.
 */
typedef struct pace {
	double weight;
	double tokens; /* weighted sums */
	double first_ms;
	double tokens_squared;
	double product;
} pace_t;

/* A request whose first token took first_ms behind so many tokens. */
void pace_learn(pace_t *pace, double tokens, double first_ms);

/* Expected time to the first token, in milliseconds. */
double pace_expect_ms(const pace_t *pace, double tokens);

#endif
