#ifndef PAPAYA_STORE_H
#define PAPAYA_STORE_H

#include "http_client.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Client of the platform's key-value service, with compare-and-swap, leases
 * and watches. No other module depends on the protocol of the service. Every
 * call counts against the store's rate limit, a pending watch as one call.
 */
typedef struct store store_t;

typedef enum store_status {
	STORE_OK,
	STORE_NOT_FOUND,    /* no such key or lease */
	STORE_CONFLICT,	    /* not the expected revision; nothing written */
	STORE_UNCHANGED,    /* a watch timed out without a change */
	STORE_TOO_LARGE,    /* nothing written */
	STORE_RATE_LIMITED, /* over the rate limit; nothing written */
	STORE_NOT_SENT,	    /* nothing written */
	/* No usable response; a write may have taken effect. */
	STORE_OUTCOME_UNKNOWN,
} store_status_t;

/* Valid during the callback only. */
typedef struct store_result {
	store_status_t status;
	int64_t revision; /* of the key, also on STORE_CONFLICT; 0: no key */
	const void *value;
	size_t value_length;
	json_t *entries; /* store_list_keys: [{"key", "revision", "value"}] */
	const char *lease_id; /* of store_grant_lease and store_renew_lease */
} store_result_t;

typedef void (*store_callback_t)(const store_result_t *result, void *data);

enum { STORE_REVISION_NONE = 0, STORE_VALUE_MAX_BYTES = 1024 * 1024 };

/* timeout_ms bounds each call; a watch may take its wait_ms in addition. */
store_t *store_new(
    uv_loop_t *loop, http_client_t *http, const char *url, int64_t timeout_ms);
/* Cancels all calls; their callbacks are not called. */
void store_free(store_t *store);

/* on_complete of this and the other calls may be NULL. */
void store_get(
    store_t *store, const char *key, store_callback_t on_complete, void *data);

/*
 * Completes once the key's revision differs from known_revision, or after
 * wait_ms with STORE_UNCHANGED.
 */
void store_watch_key(store_t *store, const char *key, int64_t known_revision,
    int64_t wait_ms, store_callback_t on_complete, void *data);

void store_list_keys(store_t *store, const char *prefix,
    store_callback_t on_complete, void *data);

/*
 * Writes the value if the key still has the expected revision
 * (STORE_REVISION_NONE: if it does not exist) and attaches the key to the
 * lease. A lease_id of NULL detaches the key from its lease.
 */
void store_compare_and_swap(store_t *store, const char *key,
    int64_t expected_revision, const void *value, size_t length,
    const char *lease_id, store_callback_t on_complete, void *data);

void store_delete(store_t *store, const char *key, int64_t expected_revision,
    store_callback_t on_complete, void *data);

/* The store deletes the keys attached to a lease once it expires. */
void store_grant_lease(
    store_t *store, int64_t ttl_ms, store_callback_t on_complete, void *data);
/* Completes with STORE_NOT_FOUND if the lease has expired. */
void store_renew_lease(store_t *store, const char *lease_id,
    store_callback_t on_complete, void *data);

#endif
