#ifndef PAPAYA_LEASE_H
#define PAPAYA_LEASE_H

#include "gateway_config.h"
#include "platform_store.h"

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * A node's keys in the store, each bound to a lease: its address, by which
 * other nodes find it, and the leader key while this node is the leader. The
 * leader alone performs the singleton duties, such as usage reports and scale
 * orders.
 */
typedef struct lease lease_t;

extern const char lease_node_prefix[];
/* Key prefix of the store's era at which each registered node started. */
extern const char lease_start_prefix[];
extern const char lease_leader_key[];

lease_t *lease_start(
    uv_loop_t *loop, const gateway_config_t *config, platform_store_t *store);

/* Applies a change of the leader key; NULL: removed. The item is borrowed. */
void lease_update_leader(lease_t *lease, const platform_item_t *item);

/*
 * The store had no leader key at this revision. Where this node has written the
 * key since, it stays leader.
 */
void lease_remove_leader(lease_t *lease, int64_t revision);

/*
 * The store has been restored from a copy, which may lack the node's leases and
 * keys or show an earlier leader: the node obtains and writes them anew.
 */
void lease_restore(lease_t *lease);

/*
 * Lets the node campaign as leader; before that it only registers itself. Where
 * the store may have been restored shortly before the start, it first waits
 * until an earlier leader has stopped.
 */
void lease_enable_campaign(lease_t *lease, bool may_be_restored);

/*
 * Sets how long this node waits where there is no leader until it campaigns.
 * Delays that differ keep the nodes of a large fleet from campaigning at once.
 */
void lease_set_campaign_delay(lease_t *lease, int64_t delay_ms);

/*
 * The node's own key has been read, or was removed at a revision. It is written
 * again where it is bound to another lease, as by a write of an earlier process
 * that the store has carried out late, and where it is missing although the
 * node's lease lives.
 */
void lease_update_registration(lease_t *lease, const platform_item_t *item);
void lease_remove_registration(lease_t *lease, int64_t revision);

/*
 * Returns the leader's fencing token while this node is certain to be the
 * leader, otherwise 0. It turns 0 shortly before the lease can expire. It is
 * made of the store's era and the revision of the leader key, so that it never
 * falls and is not given out twice.
 */
int64_t lease_fencing_token(const lease_t *lease);

/*
 * Revision of the leader key, for conditions of writes, where
 * lease_fencing_token() is not 0; otherwise 0. It may fall when the store is
 * restored from a copy; the token does not.
 */
int64_t lease_leader_revision(const lease_t *lease);

/* Stops the use of this token and lower ones: a newer leader has acted. */
void lease_invalidate_token(lease_t *lease, int64_t token);

/* Revokes the leases at shutdown, which removes the keys bound to them. */
void lease_revoke(lease_t *lease);

#endif
