#include "lease.h"

#include "clock.h"
#include "log.h"

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
};

const char lease_node_prefix[] = "papaya/node/";
const char lease_leader_key[] = "papaya/leader";

/* A lease in the store and the calls that keep it. */
typedef struct store_lease {
	lease_t *owner;
	int64_t ttl_wanted_ms;
	int64_t renew_interval_ms;
	int64_t retry_interval_ms; /* after a call that failed */
	void (*on_granted)(lease_t *owner);
	void (*on_lost)(lease_t *owner);
	int64_t id;	       /* 0: none */
	int64_t ttl_ms;	       /* granted by the store */
	int64_t call_sent_ms;  /* of the call in progress */
	int64_t renewed_ms;    /* send time of the last successful call */
	bool call_in_progress; /* grant or renewal */
	bool renewal_due;      /* before the interval has passed */
} store_lease_t;

struct lease {
	const gateway_config_t *config;
	platform_store_t *store;
	uv_timer_t timer;
	store_lease_t node;   /* of the node's address key */
	store_lease_t leader; /* of the leader key; only while needed */
	bool registered;
	bool registration_in_progress;
	bool revoked;
	bool campaign_enabled;
	int64_t campaign_delay_ms;
	bool campaigning;	   /* the leader lease is being kept */
	bool campaign_in_progress; /* writing the leader key */
	int64_t next_campaign_ms;
	bool leader_exists; /* this node or another */
	bool is_leader;
	int64_t fencing_token; /* revision of the leader key */
	int64_t invalid_token; /* last rejected one; not used again */
	char *identity;	       /* this node's value of the leader key */
};

/*
 * Earliest time at which a lease can expire. The store counts the TTL from the
 * arrival of the grant or renewal, which is later than the time it was sent.
 */
static int64_t
valid_until_ms(const store_lease_t *held)
{
	return held->renewed_ms + held->ttl_ms;
}

static void
mark_lost(store_lease_t *held)
{
	log_event(
	    LOG_LEVEL_WARN, "lease.lost", "lease=%" G_GINT64_FORMAT, held->id);
	held->id = 0;
	held->on_lost(held->owner);
}

static void
on_granted(const platform_result_t *result, void *data)
{
	store_lease_t *held = data;

	held->call_in_progress = false;
	if (result->status != PLATFORM_OK || held->owner->revoked)
		return;
	held->id = result->lease_id;
	held->ttl_ms = result->lease_ttl_ms;
	held->renewed_ms = held->call_sent_ms;
	held->on_granted(held->owner);
}

static void
on_renewed(const platform_result_t *result, void *data)
{
	store_lease_t *held = data;

	held->call_in_progress = false;
	if (result->status == PLATFORM_ABSENT && held->id != 0)
		mark_lost(held);
	if (result->status == PLATFORM_OK)
		held->renewed_ms = held->call_sent_ms;
}

/* Obtains the lease, or renews it where that is due. */
static void
keep_lease(store_lease_t *held, int64_t now_ms)
{
	platform_store_t *store = held->owner->store;

	if (held->id != 0 &&
	    now_ms > valid_until_ms(held) + held->renew_interval_ms) {
		mark_lost(held);
		return;
	}
	if (held->call_in_progress)
		return;
	if (now_ms - held->call_sent_ms < held->retry_interval_ms)
		return;
	if (held->id != 0 && !held->renewal_due &&
	    now_ms - held->renewed_ms < held->renew_interval_ms)
		return;
	held->call_in_progress = true;
	held->renewal_due = false;
	held->call_sent_ms = now_ms;
	if (held->id == 0)
		platform_store_grant_lease(
		    store, held->ttl_wanted_ms, on_granted, held);
	else
		platform_store_renew_lease(store, held->id, on_renewed, held);
}

static void
on_registered(const platform_result_t *result, void *data)
{
	lease_t *lease = data;

	lease->registration_in_progress = false;
	if (result->status == PLATFORM_OK)
		lease->registered = true;
	else if (result->status == PLATFORM_ABSENT)
		mark_lost(&lease->node);
}

static void
register_node(lease_t *lease)
{
	char *key = g_strconcat(lease_node_prefix, lease->config->name, NULL);
	char *address = g_strdup_printf(
	    "%s:%d", lease->config->ip, lease->config->peer_port);
	platform_write_t write = {.key = key,
	    .value = address,
	    .length = strlen(address),
	    .lease_id = lease->node.id};

	lease->registration_in_progress = true;
	platform_store_commit(
	    lease->store, NULL, 0, &write, 1, on_registered, lease);
	g_free(key);
	g_free(address);
}

static void
on_node_lease_lost(lease_t *lease)
{
	lease->registered = false;
}

static void
on_leader_lease_lost(lease_t *lease)
{
	lease->is_leader = false;
	lease->campaigning = false;
}

static bool
may_campaign(const lease_t *lease, int64_t now_ms)
{
	return lease->campaign_enabled && !lease->campaign_in_progress &&
	       !lease->leader_exists &&
	       now_ms >= lease->next_campaign_ms + lease->campaign_delay_ms;
}

static void
on_leader_key_written(const platform_result_t *result, void *data)
{
	lease_t *lease = data;
	platform_item_t written = {.key = lease_leader_key,
	    .value = lease->identity,
	    .length = strlen(lease->identity),
	    .revision = result->revision,
	    .lease_id = lease->leader.id};

	lease->campaign_in_progress = false;
	if (result->status == PLATFORM_OK)
		lease_update_leader(lease, &written);
	else if (result->status == PLATFORM_ABSENT)
		mark_lost(&lease->leader);
}

static void
write_leader_key(lease_t *lease)
{
	platform_condition_t condition = {.key = lease_leader_key};
	platform_write_t write = {.key = lease_leader_key,
	    .value = lease->identity,
	    .length = strlen(lease->identity),
	    .lease_id = lease->leader.id};

	lease->campaign_in_progress = true;
	lease->next_campaign_ms = clock_boot_ms() + CAMPAIGN_RETRY_MS;
	platform_store_commit(lease->store, &condition, 1, &write, 1,
	    on_leader_key_written, lease);
}

/*
 * Obtains a lease first, whose TTL bounds how long the duties stay with a dead
 * leader; the leader key is written once it is granted.
 */
static void
campaign(lease_t *lease, int64_t now_ms)
{
	lease->campaigning = true;
	if (lease->leader.id != 0 && now_ms < valid_until_ms(&lease->leader))
		write_leader_key(lease);
}

static void
on_leader_lease_granted(lease_t *lease)
{
	if (may_campaign(lease, clock_boot_ms()))
		write_leader_key(lease);
}

static void
on_tick(uv_timer_t *timer)
{
	lease_t *lease = timer->data;
	int64_t now_ms = clock_boot_ms();

	if (lease->revoked)
		return;
	keep_lease(&lease->node, now_ms);
	if (lease->node.id != 0 && !lease->registered &&
	    !lease->registration_in_progress)
		register_node(lease);
	if (may_campaign(lease, now_ms))
		campaign(lease, now_ms);
	if (lease->campaigning)
		keep_lease(&lease->leader, now_ms);
}

lease_t *
lease_start(
    uv_loop_t *loop, const gateway_config_t *config, platform_store_t *store)
{
	lease_t *lease = g_new0(lease_t, 1);

	lease->config = config;
	lease->store = store;
	lease->identity = g_strdup_printf("%s/%" G_GINT64_FORMAT "/%08x",
	    config->name, clock_wall_ms(), g_random_int());
	lease->node = (store_lease_t){.owner = lease,
	    .ttl_wanted_ms = NODE_TTL_MS,
	    .renew_interval_ms = NODE_RENEW_INTERVAL_MS,
	    .retry_interval_ms = NODE_RETRY_INTERVAL_MS,
	    .on_granted = register_node,
	    .on_lost = on_node_lease_lost};
	lease->leader = (store_lease_t){.owner = lease,
	    .ttl_wanted_ms = config->bounds.lease_ms,
	    .renew_interval_ms = LEADER_RENEW_INTERVAL_MS,
	    .retry_interval_ms = TICK_INTERVAL_MS,
	    .on_granted = on_leader_lease_granted,
	    .on_lost = on_leader_lease_lost};
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
	lease->leader.id = 0;
}

void
lease_update_leader(lease_t *lease, const platform_item_t *item)
{
	bool was_leader = lease->is_leader;

	lease->leader_exists = item != NULL;
	lease->is_leader =
	    item != NULL && item->length == strlen(lease->identity) &&
	    memcmp(item->value, lease->identity, item->length) == 0;
	if (lease->is_leader)
		lease->fencing_token =
		    MAX(lease->fencing_token, item->revision);
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
lease_restore(lease_t *lease)
{
	log_event(
	    LOG_LEVEL_INFO, "lease.restored", "leader=%d", lease->is_leader);
}

int64_t
lease_leader_revision(const lease_t *lease)
{
	return lease_fencing_token(lease);
}

void
lease_enable_campaign(lease_t *lease)
{
	if (!lease->campaign_enabled)
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
lease_check_registration(lease_t *lease)
{
	lease->node.renewal_due = true;
}

int64_t
lease_fencing_token(const lease_t *lease)
{
	if (!lease->is_leader || lease->revoked ||
	    lease->fencing_token == lease->invalid_token ||
	    clock_boot_ms() >=
		valid_until_ms(&lease->leader) - LEADER_MARGIN_MS)
		return 0;
	return lease->fencing_token;
}

void
lease_invalidate_token(lease_t *lease)
{
	log_event(LOG_LEVEL_WARN, "duty.fenced", "token=%" G_GINT64_FORMAT,
	    lease->fencing_token);
	lease->invalid_token = lease->fencing_token;
}

static void
on_revoked(const platform_result_t *result, void *data)
{
	if (result->status != PLATFORM_OK)
		log_event(LOG_LEVEL_WARN, "lease.not_ended", "status=%d",
		    (int)result->status);
}

static void
revoke_lease(lease_t *lease, const store_lease_t *held)
{
	if (held->id != 0)
		platform_store_revoke_lease(
		    lease->store, held->id, on_revoked, lease);
}

void
lease_revoke(lease_t *lease)
{
	lease->revoked = true;
	revoke_lease(lease, &lease->leader);
	revoke_lease(lease, &lease->node);
}
