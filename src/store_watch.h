#ifndef PAPAYA_STORE_WATCH_H
#define PAPAYA_STORE_WATCH_H

#include "platform_store.h"
#include "relay.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * Keeps a copy of the store's keys current: lists all keys once, then watches
 * for changes. Each completed call confirms that the copy was current at the
 * time the call was sent. In a large fleet a follower requests the changes from
 * another node (a relay) and watches the store only while the relays' responses
 * do not keep the copy current.
 */
typedef struct store_watch store_watch_t;

/*
 * After a restoration operators and backend servers write their keys again
 * within about two seconds.
 */
enum { STORE_RESTORE_HOLD_MS = 2500 };

typedef struct store_watch_options {
	platform_store_t *store; /* borrowed */
	/* Time after the last confirmation for which the copy may be used. */
	int64_t max_staleness_ms;
	/* A key was written; the item is borrowed. */
	void (*on_put)(const platform_item_t *item, void *data);
	/* revision: of the store, at which it did not have the key. */
	void (*on_removed)(const char *key, int64_t revision, void *data);
	/* All keys have been listed, for the first time or again. */
	void (*on_list_complete)(void *data);
	/* Keys that the restored store lacks have been removed; see below. */
	void (*on_restoration_over)(void *data);
	/* The copy has been confirmed as current. */
	void (*on_confirmed)(void *data);
	void *data;
} store_watch_options_t;

store_watch_t *store_watch_start(
    uv_loop_t *loop, const store_watch_options_t *options);

/*
 * Latest clock_boot_ms() at which the copy is known to have been current; 0:
 * not confirmed yet.
 */
int64_t store_watch_confirmed_ms(const store_watch_t *watch);

/* End of the store's last outage, here or at a relay; 0: there was none. */
int64_t store_watch_available_ms(const store_watch_t *watch);

/*
 * True while the store is unavailable or being restored, and shortly after,
 * when entries that were removed meanwhile may reappear.
 */
bool store_watch_is_unstable(const store_watch_t *watch);

/*
 * The store has been restored from a copy: lists all keys again. Each listed
 * key counts as written anew, whatever its revision. A key that the store lacks
 * is kept for a while, since its writer may write it again, and is removed
 * then.
 */
void store_watch_restore(store_watch_t *watch);

/*
 * A peer states an era of the store. Where it is later than the known one the
 * store is asked at once: its response decides.
 */
void store_watch_check_era(store_watch_t *watch, int64_t era);

/*
 * True from a restoration until the keys that the store lacks are removed: what
 * is listed may be older than what this node knows.
 */
bool store_watch_is_restoring(const store_watch_t *watch);

/*
 * Sets the interval at which this node requests the changes from relays; 0: it
 * watches the store itself.
 */
void store_watch_set_relay_interval(store_watch_t *watch, int64_t interval_ms);

/*
 * Sets the shortest time from one watch of the store to the next. In a fleet in
 * which every node watches, each change ends all watches.
 */
void store_watch_set_min_interval(store_watch_t *watch, int64_t interval_ms);

/* Fills in the request to send to a relay; false: no request is due. */
bool store_watch_next_request(store_watch_t *watch, relay_request_t *request);
/*
 * Applies a relay's response; it and its items are borrowed. One of an earlier
 * era is ignored.
 */
void store_watch_apply_response(
    store_watch_t *watch, const relay_response_t *response);
/*
 * Encodes the response to a follower's request. client_addresses: see
 * relay_state_t.
 */
void store_watch_encode_response(store_watch_t *watch,
    const relay_request_t *request, const GPtrArray *client_addresses,
    GByteArray *out);

/* Schedules a new list of all keys, as a change may have been missed. */
void store_watch_refresh(store_watch_t *watch);

#endif
