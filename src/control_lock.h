#ifndef PAPAYA_CONTROL_LOCK_H
#define PAPAYA_CONTROL_LOCK_H

#include "settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Lock on the control of one backend server: only its holder may send commands
 * (POST /v1/orders), each with the lock's fencing token. The record is stored
 * under order/BACKEND and changed by compare-and-swap. Deterministic: the
 * caller passes the wall clock time in ms.
 */
typedef struct control_lock_record {
	char *holder;	  /* name of a node */
	int64_t fence;	  /* fencing token; grows with each acquisition */
	int64_t until_ms; /* wall clock; end of the lease */
} control_lock_record_t;

enum {
	CONTROL_LOCK_LEASE_MS = 30000,
	/* Longest time from the check of the clock to the end of a command. */
	CONTROL_LOCK_COMMAND_MAX_MS = 5000,
	/* Largest clock skew between two nodes that the lock tolerates. */
	CONTROL_LOCK_CLOCK_SKEW_MS = 500,
};

typedef enum control_lock_action {
	CONTROL_LOCK_SEND, /* the node holds the lock; send the command now */
	/* acquire or renew first: store control_lock_next_record() */
	CONTROL_LOCK_ACQUIRE,
	CONTROL_LOCK_WAIT, /* the lock may still be in use by another node */
} control_lock_action_t;

json_t *control_lock_record_json(const control_lock_record_t *record);
bool control_lock_record_parse(const char *text, size_t length,
    control_lock_record_t *record, GError **error);
void control_lock_record_clear(control_lock_record_t *record);

/*
 * Whether a node may send a command now. record is NULL if the store has none.
 * The holder renews the lease once less than half of it remains. If the engine
 * ignores fencing tokens, another node waits a further lease period plus the
 * longest command after the lease has expired.
 */
control_lock_action_t control_lock_check(const control_lock_record_t *record,
    const char *node, fencing_t fencing, int64_t now_ms);

/*
 * Record to store for an acquisition or renewal; free it with
 * control_lock_record_clear().
 */
control_lock_record_t control_lock_next_record(
    const control_lock_record_t *record, const char *node, int64_t now_ms);

/*
 * Wall clock time in ms until which control_lock_check() returns
 * CONTROL_LOCK_WAIT for a node other than the holder.
 */
int64_t control_lock_available_at_ms(
    const control_lock_record_t *record, fencing_t fencing);

#endif
