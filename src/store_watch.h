#ifndef PAPAYA_STORE_WATCH_H
#define PAPAYA_STORE_WATCH_H

#include "platform_store.h"
#include "relay.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * Keeps a copy of the store's keys current by one list and then watches. Every
 * completed call also proves that the copy was current when it was sent. A
 * follower in a large fleet asks another node instead, and watches by itself
 * only where it gets no answers.
 */
typedef struct sync store_watch_t;

typedef struct store_watch_options {
	platform_store_t *store;  /* borrowed */
	int64_t max_staleness_ms; /* for which a proof that the copy is current
				     holds */
	/* A key was written. */
	void (*on_put)(const platform_item_t *item, void *data);
	void (*on_removed)(const char *key, void *data);
	/* A list is complete. */
	void (*on_list_complete)(void *data);
	/* The copy has just been proved current. */
	void (*on_confirmed)(void *data);
	void *data;
} store_watch_options_t;

store_watch_t *store_watch_start(
    uv_loop_t *loop, const store_watch_options_t *options);

/* clock_boot_ms() at which the copy is known to have been current; 0: never. */
int64_t store_watch_confirmed_ms(const store_watch_t *sync);

/* True while the store is away, and just after: its entries may come back. */
bool store_watch_is_unstable(const store_watch_t *sync);

/* Whether the changes are to come from other nodes. */
void store_watch_set_follower(store_watch_t *sync, bool follow);

/* What to ask another node; false: nothing now. */
bool store_watch_next_request(store_watch_t *sync, relay_request_t *question);
/* The answer; it and its items are borrowed. */
void store_watch_apply_response(
    store_watch_t *sync, const relay_response_t *answer);
/* Answers another node's question. */
void store_watch_encode_response(const store_watch_t *sync,
    const relay_request_t *question, GByteArray *out);

/* Lists again at the next opportunity: a change may have been missed. */
void store_watch_refresh(store_watch_t *sync);

#endif
