#ifndef PAPAYA_ORDER_H
#define PAPAYA_ORDER_H

#include "settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Who may give orders to one backend server. The record lives in the store
 * under order/BACKEND and changes by compare-and-swap. Deterministic: wall
 * clock times are handed in.
 */
typedef struct order_record {
	char *holder;	  /* node */
	int64_t fence;	  /* goes up at each acquisition */
	int64_t until_ms; /* wall clock; end of the holding period */
} order_record_t;

enum {
	ORDER_HOLD_MS = 30000,
	/* Longest time from the check of the clock to the end of an order. */
	ORDER_SEND_MAX_MS = 5000,
	/* Largest difference of two nodes' clocks that is allowed for. */
	ORDER_SKEW_MS = 500,
};

typedef enum order_verdict {
	ORDER_SEND,    /* the order may go out now */
	ORDER_ACQUIRE, /* first swap the record to order_acquire()'s */
	ORDER_WAIT,    /* another node holds it, or held it lately */
} order_verdict_t;

json_t *order_record_json(const order_record_t *record);
bool order_record_parse(
    const char *text, size_t length, order_record_t *record, GError **error);
void order_record_clear(order_record_t *record);

/*
 * Whether this node may order now. record is NULL where the store has none.
 * Where the engine ignores fencing tokens, an order needs half of the holding
 * period left, and an acquisition waits a whole holding period plus the
 * longest order after the last one ended.
 */
order_verdict_t order_check(const order_record_t *record, const char *node,
    fencing_t fencing, int64_t now_ms);

/* Record to swap in for an acquisition or renewal. */
order_record_t order_acquire(
    const order_record_t *record, const char *node, int64_t now_ms);

/* Wall-clock time until which order_check() answers ORDER_WAIT. */
int64_t order_free_ms(const order_record_t *record, fencing_t fencing);

#endif
