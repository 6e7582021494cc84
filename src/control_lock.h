#ifndef PAPAYA_CONTROL_LOCK_H
#define PAPAYA_CONTROL_LOCK_H

#include "settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Who may give orders to one backend server. The record lives in the store
 * under order/BACKEND and changes by compare-and-swap. Deterministic: wall
 * clock times are handed in.
 */
typedef struct control_lock_record {
	char *holder;	  /* node */
	int64_t fence;	  /* goes up at each acquisition */
	int64_t until_ms; /* wall clock; end of the holding period */
} control_lock_record_t;

enum {
	CONTROL_LOCK_LEASE_MS = 30000,
	/* Longest time from the check of the clock to the end of an order. */
	CONTROL_LOCK_COMMAND_MAX_MS = 5000,
	/* Largest difference of two nodes' clocks that is allowed for. */
	CONTROL_LOCK_CLOCK_SKEW_MS = 500,
};

typedef enum control_lock_action {
	CONTROL_LOCK_SEND,    /* the order may go out now */
	CONTROL_LOCK_ACQUIRE, /* first swap the record to
				 control_lock_next_record()'s */
	CONTROL_LOCK_WAIT,    /* another node holds it, or held it lately */
} control_lock_action_t;

json_t *control_lock_record_json(const control_lock_record_t *record);
bool control_lock_record_parse(const char *text, size_t length,
    control_lock_record_t *record, GError **error);
void control_lock_record_clear(control_lock_record_t *record);

/*
 * Whether this node may order now. record is NULL where the store has none.
 * Where the engine ignores fencing tokens, an order needs half of the holding
 * period left, and an acquisition waits a whole holding period plus the
 * longest order after the last one ended.
 */
control_lock_action_t control_lock_check(const control_lock_record_t *record,
    const char *node, fencing_t fencing, int64_t now_ms);

/* Record to swap in for an acquisition or renewal. */
control_lock_record_t control_lock_next_record(
    const control_lock_record_t *record, const char *node, int64_t now_ms);

/* Wall-clock time until which control_lock_check() answers CONTROL_LOCK_WAIT.
 */
int64_t control_lock_available_at_ms(
    const control_lock_record_t *record, fencing_t fencing);

#endif
