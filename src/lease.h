#ifndef PAPAYA_LEASE_H
#define PAPAYA_LEASE_H

#include "gateway_config.h"
#include "platform_store.h"

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * A node's lease in the store, the key under it by which other nodes find it,
 * and the key of the singleton duties while it holds them.
 */
typedef struct lease lease_t;

extern const char lease_node_prefix[];
extern const char lease_leader_key[];

lease_t *lease_start(
    uv_loop_t *loop, const gateway_config_t *config, platform_store_t *store);

/* The holder's key has been read; value NULL: removed. */
void lease_update_leader(
    lease_t *lease, const char *value, size_t length, int64_t revision);

/* Starts to campaign for the duties; before that the node only registers. */
void lease_enable_campaign(lease_t *lease);

/*
 * Fencing token of the duties while this node certainly holds them, or 0. It
 * ends before the lease can end.
 */
int64_t lease_fencing_token(const lease_t *lease);

/* A newer holder has acted: the token is not used again. */
void lease_invalidate_token(lease_t *lease);

/* Ends the lease: the node leaves. */
void lease_revoke(lease_t *lease);

#endif
