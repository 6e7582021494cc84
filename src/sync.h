#ifndef PAPAYA_SYNC_H
#define PAPAYA_SYNC_H

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
typedef struct sync sync_t;

typedef struct sync_options {
	platform_store_t *store; /* borrowed */
	int64_t use_ms; /* for which a proof that the copy is current holds */
	/* A key was written. */
	void (*on_put)(const platform_item_t *item, void *data);
	void (*on_removed)(const char *key, void *data);
	/* A list is complete. */
	void (*on_listed)(void *data);
	/* The copy has just been proved current. */
	void (*on_confirmed)(void *data);
	void *data;
} sync_options_t;

sync_t *sync_start(uv_loop_t *loop, const sync_options_t *options);

/* clock_boot_ms() at which the copy is known to have been current; 0: never. */
int64_t sync_confirmed_ms(const sync_t *sync);

/* True while the store is away, and just after: its entries may come back. */
bool sync_is_unsettled(const sync_t *sync);

/* Whether the changes are to come from other nodes. */
void sync_follow(sync_t *sync, bool follow);

/* What to ask another node; false: nothing now. */
bool sync_question(sync_t *sync, relay_question_t *question);
/* The answer; it and its items are borrowed. */
void sync_take_answer(sync_t *sync, const relay_answer_t *answer);
/* Answers another node's question. */
void sync_answer(
    const sync_t *sync, const relay_question_t *question, GByteArray *out);

/* Lists again at the next opportunity: a change may have been missed. */
void sync_refresh(sync_t *sync);

#endif
