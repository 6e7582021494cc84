#ifndef PAPAYA_STORE_LEASE_H
#define PAPAYA_STORE_LEASE_H

#include "platform_store.h"

#include <stdbool.h>
#include <stdint.h>

/* One lease in the store, to which keys of this node are bound. */
typedef struct store_lease store_lease_t;

typedef struct store_lease_options {
	platform_store_t *store; /* borrowed */
	int64_t ttl_ms;		 /* to request */
	int64_t renew_interval_ms;
	int64_t retry_interval_ms; /* after a call that failed */
	void (*on_granted)(void *data);
	/* The lease that was held does not exist, or may have expired. */
	void (*on_lost)(void *data);
	void *data;
} store_lease_options_t;

store_lease_t *store_lease_new(const store_lease_options_t *options);

/*
 * Obtains the lease, or renews it where that is due. Gives up one that may have
 * expired long ago and calls on_lost. Called periodically.
 */
void store_lease_keep(store_lease_t *lease, int64_t now_ms);

/* 0: none is held. */
int64_t store_lease_id(const store_lease_t *lease);

/*
 * Earliest clock_boot_ms() at which the lease can expire; 0 where none is held.
 */
int64_t store_lease_valid_until_ms(const store_lease_t *lease);

/* The next call of store_lease_keep() renews the lease. */
void store_lease_renew_soon(store_lease_t *lease);

/* True until that renewal, or another call in progress, has been answered. */
bool store_lease_is_renewal_due(const store_lease_t *lease);

/* Forgets the lease, which the store does not have, and calls on_lost. */
void store_lease_mark_lost(store_lease_t *lease);

/* Forgets the lease, which is left to expire, without calling on_lost. */
void store_lease_drop(store_lease_t *lease);

/*
 * The store has been restored from a copy: the lease is dropped, and the calls
 * in progress have no effect.
 */
void store_lease_restore(store_lease_t *lease);

/*
 * Takes up the lease that was dropped by store_lease_restore() if it has this
 * id and had not expired then; otherwise false. It counts as expired until it
 * has been renewed.
 */
bool store_lease_resume(store_lease_t *lease, int64_t id);

/* Ends the lease in the store, which removes the keys bound to it. */
void store_lease_end(store_lease_t *lease);

#endif
