#include "lease.h"

#include "clock.h"
#include "fence_token.h"
#include "log.h"
#include "store_lease.h"

#include <string.h>

enum {
	TICK_INTERVAL_MS = 250,
	/*
	 * The node's own lease: peers find a dead node by its digests, so its
	 * key may outlive it for a while.
	 */
	NODE_TTL_MS = 12000,
	NODE_RENEW_INTERVAL_MS = 4000,
	NODE_RETRY_INTERVAL_MS = 500,
	LEADER_RENEW_INTERVAL_MS = 1000,

	/* Leadership ends this long before the lease can expire. */
	LEADER_MARGIN_MS = 500,
	/* Upper bound of the random delay after the leader key is removed. */
	CAMPAIGN_JITTER_MS = 400,
	CAMPAIGN_RETRY_MS = 1000,
	ERA_NONE = -1,
};

const char lease_node_prefix[] = "papaya/node/";
const char lease_start_prefix[] = "papaya/start/";
const char lease_leader_key[] = "papaya/leader";

struct lease {
	const gateway_config_t *config;
	platform_store_t *store;
	uv_timer_t timer;
	store_lease_t *node;   /* of the node's address key */
	store_lease_t *leader; /* of the leader key; only while needed */
	unsigned restorations; /* of the store since the start */
	int64_t start_era; /* of the store at the start; ERA_NONE: unknown */
	bool listed_once;  /* the store's keys */
	bool registered;
	int64_t registered_revision; /* of the node's key; 0: none */
	bool registration_in_progress;
	bool revoked;
	bool campaign_enabled;
	int64_t campaign_delay_ms;
	bool campaigning;	   /* the leader lease is being kept */
	bool campaign_in_progress; /* writing the leader key */
	int64_t next_campaign_ms;
	/* Until then a leader that has not learned of the restoration acts. */
	int64_t restoration_wait_until_ms;
	/* No other node can be the leader before this time. */
	int64_t sole_until_ms;
	bool sole_leader;   /* at the restoration, and none since */
	bool leader_exists; /* this node or another */
	bool is_leader;
	int64_t leader_revision; /* of the key that made this node leader */
	/* Of the node's own key whose lease is lost, which the campaign
	 * replaces; 0: none. */
	int64_t replaced_revision;
	int64_t fencing_token;
	int64_t invalid_token; /* last rejected one; not used again */
	char *identity;	       /* this node's value of the leader key */
};

/* The write of a key in progress. */
typedef struct write {
	lease_t *owner;
	unsigned restorations; /* of the store, when it was sent */
	int64_t lease_id;      /* to which the key is bound */
} write_t;

static write_t *
new_write(lease_t *lease, const store_lease_t *held)
{
	write_t *write = g_new(write_t, 1);

	*write = (write_t){.owner = lease,
	    .restorations = lease->restorations,
	    .lease_id = store_lease_id(held)};
	return write;
}

/* True where the store has not been restored since the write was sent. */
static bool
is_current(const write_t *write)
{
	return write->restorations == write->owner->restorations;
}

static void
on_registered(const platform_result_t *result, void *data)
{
	write_t *written = data;
	lease_t *lease = written->owner;

	if (is_current(written)) {
		lease->registration_in_progress = false;
		if (result->status == PLATFORM_OK) {
			lease->registered = true;
			lease->registered_revision = result->revision;
		} else if (result->status == PLATFORM_ABSENT) {
			store_lease_mark_lost(lease->node);
		}
	}
	g_free(written);
}

/* The store's era at the start of this node, also after a restoration. */
static char *
start_era_text(lease_t *lease)
{
	if (lease->start_era == ERA_NONE)
		lease->start_era = platform_store_era(lease->store);
	return g_strdup_printf("%" G_GINT64_FORMAT, lease->start_era);
}

static void
register_node(lease_t *lease)
{
	char *key = g_strconcat(lease_node_prefix, lease->config->name, NULL);
	char *address = g_strdup_printf(
	    "%s:%d", lease->config->ip, lease->config->peer_port);
	char *start_key =
	    g_strconcat(lease_start_prefix, lease->config->name, NULL);
	char *era = start_era_text(lease);
	platform_write_t writes[] = {
	    {.key = key,
		.value = address,
		.length = strlen(address),
		.lease_id = store_lease_id(lease->node)},
	    {.key = start_key,
		.value = era,
		.length = strlen(era),
		.lease_id = store_lease_id(lease->node)}};

	lease->registration_in_progress = true;
	platform_store_commit(lease->store, NULL, 0, writes,
	    G_N_ELEMENTS(writes), on_registered, new_write(lease, lease->node));
	g_free(key);
	g_free(address);
	g_free(start_key);
	g_free(era);
}

static void
on_node_lease_granted(void *data)
{
	lease_t *lease = data;

	if (!lease->revoked)
		register_node(lease);
}

static void
on_node_lease_lost(void *data)
{
	((lease_t *)data)->registered = false;
}

static void
on_leader_lease_lost(void *data)
{
	lease_t *lease = data;

	lease->is_leader = false;
	lease->campaigning = false;
}

/* The last leader need not wait until others have stopped. */
static int64_t
campaign_due_ms(const lease_t *lease)
{
	if (lease->sole_leader)
		return lease->next_campaign_ms;
	return MAX(lease->restoration_wait_until_ms, lease->next_campaign_ms) +
	       lease->campaign_delay_ms;
}

static bool
may_campaign(const lease_t *lease, int64_t now_ms)
{
	return lease->campaign_enabled && !lease->campaign_in_progress &&
	       !lease->leader_exists && !lease->revoked &&
	       now_ms >= campaign_due_ms(lease);
}

static void
on_leader_key_written(const platform_result_t *result, void *data)
{
	write_t *write = data;
	lease_t *lease = write->owner;
	platform_item_t written = {.key = lease_leader_key,
	    .value = lease->identity,
	    .length = strlen(lease->identity),
	    .revision = result->revision,
	    .lease_id = write->lease_id};

	if (is_current(write)) {
		lease->campaign_in_progress = false;
		if (result->status == PLATFORM_OK)
			lease_update_leader(lease, &written);
		else if (result->status == PLATFORM_ABSENT)
			store_lease_mark_lost(lease->leader);
	}
	g_free(write);
}

static void
write_leader_key(lease_t *lease)
{
	platform_condition_t condition = {
	    .key = lease_leader_key, .revision = lease->replaced_revision};
	platform_write_t write = {.key = lease_leader_key,
	    .value = lease->identity,
	    .length = strlen(lease->identity),
	    .lease_id = store_lease_id(lease->leader)};

	lease->campaign_in_progress = true;
	lease->next_campaign_ms = clock_boot_ms() + CAMPAIGN_RETRY_MS;
	platform_store_commit(lease->store, &condition, 1, &write, 1,
	    on_leader_key_written, new_write(lease, lease->leader));
}

/*
 * Obtains a lease first, whose TTL bounds how long the duties stay with a dead
 * leader; the leader key is written once it is granted.
 */
static void
campaign(lease_t *lease, int64_t now_ms)
{
	lease->campaigning = true;
	if (now_ms < store_lease_valid_until_ms(lease->leader))
		write_leader_key(lease);
}

static void
on_leader_lease_granted(void *data)
{
	lease_t *lease = data;

	if (may_campaign(lease, clock_boot_ms()))
		write_leader_key(lease);
}

/* Not while a renewal may show that the lease is lost. */
static bool
needs_registration(const lease_t *lease)
{
	return !lease->registered && !lease->registration_in_progress &&
	       store_lease_id(lease->node) != 0 &&
	       !store_lease_is_renewal_due(lease->node);
}

static void
on_tick(uv_timer_t *timer)
{
	lease_t *lease = timer->data;
	int64_t now_ms = clock_boot_ms();

	if (lease->revoked)
		return;
	store_lease_keep(lease->node, now_ms);
	if (needs_registration(lease))
		register_node(lease);
	if (may_campaign(lease, now_ms))
		campaign(lease, now_ms);
	if (lease->campaigning)
		store_lease_keep(lease->leader, now_ms);
}

lease_t *
lease_start(
    uv_loop_t *loop, const gateway_config_t *config, platform_store_t *store)
{
	lease_t *lease = g_new0(lease_t, 1);

	lease->config = config;
	lease->store = store;
	lease->start_era = ERA_NONE;
	lease->identity = g_strdup_printf("%s/%" G_GINT64_FORMAT "/%08x",
	    config->name, clock_wall_ms(), g_random_int());
	lease->node = store_lease_new(&(store_lease_options_t){.store = store,
	    .ttl_ms = NODE_TTL_MS,
	    .renew_interval_ms = NODE_RENEW_INTERVAL_MS,
	    .retry_interval_ms = NODE_RETRY_INTERVAL_MS,
	    .on_granted = on_node_lease_granted,
	    .on_lost = on_node_lease_lost,
	    .data = lease});
	lease->leader = store_lease_new(&(store_lease_options_t){.store = store,
	    .ttl_ms = config->bounds.lease_ms,
	    .renew_interval_ms = LEADER_RENEW_INTERVAL_MS,
	    .retry_interval_ms = TICK_INTERVAL_MS,
	    .on_granted = on_leader_lease_granted,
	    .on_lost = on_leader_lease_lost,
	    .data = lease});
	uv_timer_init(loop, &lease->timer);
	lease->timer.data = lease;
	uv_timer_start(&lease->timer, on_tick, 0, TICK_INTERVAL_MS);
	return lease;
}

/* Another node is the leader: the lease is left to expire. */
static void
drop_leader_lease(lease_t *lease)
{
	lease->campaigning = false;
	lease->sole_leader = false;
	store_lease_drop(lease->leader);
}

/*
 * A restored store may show the key that made this node the leader before: it
 * goes on with the lease of the key, once it has renewed it.
 */
static void
resume_leader_lease(lease_t *lease, const platform_item_t *item)
{
	if (item->revision != lease->leader_revision ||
	    !store_lease_resume(lease->leader, item->lease_id))
		return;
	lease->campaigning = true;
	store_lease_keep(lease->leader, clock_boot_ms());
}

/* Copies of the key from relays do not tell its lease. */
static bool
is_bound_to_leader_lease(const lease_t *lease, const platform_item_t *item)
{
	int64_t id = store_lease_id(lease->leader);

	return id != 0 && (item->lease_id == 0 || item->lease_id == id);
}

static void
take_token(lease_t *lease, int64_t revision)
{
	int64_t token = fence_token(platform_store_era(lease->store), revision);

	lease->sole_leader = false;
	if (token < lease->fencing_token)
		return;
	lease->fencing_token = token;
	lease->leader_revision = revision;
}

void
lease_update_leader(lease_t *lease, const platform_item_t *item)
{
	bool was_leader = lease->is_leader;
	bool is_own = item != NULL && item->length == strlen(lease->identity) &&
		      memcmp(item->value, lease->identity, item->length) == 0;

	if (is_own)
		resume_leader_lease(lease, item);
	lease->is_leader = is_own && is_bound_to_leader_lease(lease, item);
	/* Nobody acts under a key of this node whose lease it has lost. */
	lease->replaced_revision =
	    is_own && !lease->is_leader ? item->revision : 0;
	lease->leader_exists = item != NULL && lease->replaced_revision == 0;
	if (lease->is_leader)
		take_token(lease, item->revision);
	else if (lease->leader_exists)
		drop_leader_lease(lease);
	if (item == NULL)
		lease->next_campaign_ms =
		    clock_boot_ms() + g_random_int_range(0, CAMPAIGN_JITTER_MS);
	if (was_leader != lease->is_leader)
		log_event(LOG_LEVEL_INFO, "duty.holder",
		    "self=%d token=%" G_GINT64_FORMAT, lease->is_leader,
		    lease->fencing_token);
}

void
lease_remove_leader(lease_t *lease, int64_t revision)
{
	/* The response to the write may come before the watch shows it. */
	if (!lease->is_leader || revision >= lease->leader_revision)
		lease_update_leader(lease, NULL);
}

static void
wait_for_earlier_leader(lease_t *lease, int64_t now_ms)
{
	lease->restoration_wait_until_ms =
	    now_ms + lease->config->bounds.lease_ms +
	    g_random_int_range(0, CAMPAIGN_JITTER_MS);
}

void
lease_restore(lease_t *lease)
{
	int64_t now_ms = clock_boot_ms();

	if (lease->is_leader)
		lease->sole_until_ms = MAX(lease->sole_until_ms,
		    store_lease_valid_until_ms(lease->leader));
	lease->sole_leader = now_ms < lease->sole_until_ms;
	log_event(LOG_LEVEL_INFO, "lease.restored", "leader=%d sole_leader=%d",
	    lease->is_leader, lease->sole_leader);
	lease->restorations++;
	store_lease_restore(lease->node);
	store_lease_restore(lease->leader);
	lease->registered = false;
	lease->registered_revision = 0;
	lease->registration_in_progress = false;
	lease->campaign_enabled = false;
	lease->campaigning = false;
	lease->campaign_in_progress = false;
	lease->leader_exists = false;
	lease->is_leader = false;
	lease->replaced_revision = 0;
	lease->next_campaign_ms = now_ms;
	wait_for_earlier_leader(lease, now_ms);
	if (!lease->revoked)
		store_lease_keep(lease->node, now_ms);
}

void
lease_enable_campaign(lease_t *lease, bool may_be_restored)
{
	/* The restoration may have been just before the start. */
	if (!lease->listed_once && lease->restorations == 0 && may_be_restored)
		wait_for_earlier_leader(lease, clock_boot_ms());
	lease->listed_once = true;
	if (!lease->campaign_enabled && !lease->sole_leader)
		lease->next_campaign_ms =
		    clock_boot_ms() + g_random_int_range(0, CAMPAIGN_JITTER_MS);
	lease->campaign_enabled = true;
}

void
lease_set_campaign_delay(lease_t *lease, int64_t delay_ms)
{
	lease->campaign_delay_ms = delay_ms;
}

void
lease_update_registration(lease_t *lease, const platform_item_t *item)
{
	/* Copies of the key from relays do not tell its lease. */
	if (!lease->registered ||
	    item->revision <= lease->registered_revision ||
	    item->lease_id == 0 ||
	    item->lease_id == store_lease_id(lease->node))
		return;
	log_event(LOG_LEVEL_WARN, "lease.registration_replaced",
	    "lease=%" G_GINT64_FORMAT " key_lease=%" G_GINT64_FORMAT,
	    store_lease_id(lease->node), item->lease_id);
	lease->registered = false;
}

void
lease_remove_registration(lease_t *lease, int64_t revision)
{
	if (revision < lease->registered_revision)
		return;
	lease->registered = false;
	store_lease_renew_soon(lease->node);
}

int64_t
lease_fencing_token(const lease_t *lease)
{
	if (!lease->is_leader || lease->revoked ||
	    lease->fencing_token <= lease->invalid_token ||
	    clock_boot_ms() >=
		store_lease_valid_until_ms(lease->leader) - LEADER_MARGIN_MS)
		return 0;
	return lease->fencing_token;
}

int64_t
lease_leader_revision(const lease_t *lease)
{
	return lease_fencing_token(lease) == 0 ? 0 : lease->leader_revision;
}

void
lease_invalidate_token(lease_t *lease, int64_t token)
{
	log_event(
	    LOG_LEVEL_WARN, "duty.fenced", "token=%" G_GINT64_FORMAT, token);
	lease->invalid_token = MAX(lease->invalid_token, token);
}

void
lease_revoke(lease_t *lease)
{
	lease->revoked = true;
	store_lease_end(lease->leader);
	store_lease_end(lease->node);
}
