#ifndef PAPAYA_STORE_H
#define PAPAYA_STORE_H

#include "http_client.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Client of the platform's key-value service: compare-and-swap, leases,
 * watches. The only place that knows its protocol. Every call counts against
 * the store's rate, a pending watch as one.
 */
typedef struct store store_t;

typedef enum store_status {
	STORE_OK,
	STORE_NOT_FOUND,       /* no such key */
	STORE_CONFLICT,	       /* the swap did not take effect */
	STORE_UNCHANGED,       /* a watch ended without a change */
	STORE_TOO_LARGE,       /* nothing written */
	STORE_RATE_LIMITED,    /* over the rate; nothing written */
	STORE_NOT_SENT,	       /* nothing written */
	STORE_OUTCOME_UNKNOWN, /* no answer: a write may have taken effect */
} store_status_t;

typedef struct store_result {
	store_status_t status;
	int64_t revision; /* of the key; on CONFLICT the other one, 0: absent */
	const void *value;
	size_t value_length;
	json_t *entries; /* store_list_keys: [{"key", "revision", "value"}] */
	const char *lease_id; /* store_grant_lease: its id */
} store_result_t;

typedef void (*store_callback_t)(const store_result_t *result, void *data);

enum { STORE_REVISION_NONE = 0, STORE_VALUE_MAX_BYTES = 1024 * 1024 };

/* timeout_ms bounds each call except watches. */
store_t *store_new(
    uv_loop_t *loop, http_client_t *http, const char *url, int64_t timeout_ms);
/* Cancels every call without done. */
void store_free(store_t *store);

void store_get(
    store_t *store, const char *key, store_callback_t on_complete, void *data);

/* Answers when the key's revision differs from the given one, or UNCHANGED. */
void store_watch_key(store_t *store, const char *key, int64_t known_revision,
    int64_t wait_ms, store_callback_t on_complete, void *data);

void store_list_keys(store_t *store, const char *prefix,
    store_callback_t on_complete, void *data);

/*
 * Writes where the key still has the expected revision
 * (STORE_REVISION_NONE: does not exist). lease may be NULL, which detaches
 * the key from its lease.
 */
void store_compare_and_swap(store_t *store, const char *key,
    int64_t expected_revision, const void *value, size_t length,
    const char *lease_id, store_callback_t on_complete, void *data);

void store_delete(store_t *store, const char *key, int64_t expected_revision,
    store_callback_t on_complete, void *data);

void store_grant_lease(
    store_t *store, int64_t ttl_ms, store_callback_t on_complete, void *data);
void store_renew_lease(store_t *store, const char *lease_id,
    store_callback_t on_complete, void *data);

#endif
