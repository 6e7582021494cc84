#include "lease.h"

#include "clock.h"
#include "log.h"

#include <string.h>

enum {
	TICK_INTERVAL_MS = 250,
	RENEW_INTERVAL_MS = 1000,
	/* Leadership ends this long before the lease can expire. */
	LEADER_MARGIN_MS = 500,
	/* Upper bound of the random delay after the leader key is removed. */
	CAMPAIGN_JITTER_MS = 400,
	CAMPAIGN_RETRY_MS = 1000,
};

const char lease_node_prefix[] = "papaya/node/";
const char lease_leader_key[] = "papaya/leader";

struct lease {
	const gateway_config_t *config;
	platform_store_t *store;
	uv_timer_t timer;
	int64_t id;	       /* 0: no lease */
	int64_t call_sent_ms;  /* of the lease call in progress */
	int64_t ttl_ms;	       /* granted by the store */
	int64_t renewed_ms;    /* send time of the last successful lease call */
	bool call_in_progress; /* grant or renewal */
	bool registered;
	bool registration_in_progress;
	bool revoked;
	bool campaign_enabled;
	bool campaign_in_progress; /* writing the leader key */
	int64_t next_campaign_ms;
	bool leader_exists; /* this node or another */
	bool is_leader;
	int64_t fencing_token; /* revision of the leader key */
	int64_t invalid_token; /* last rejected one; not used again */
	char *identity;	       /* this node's value of the leader key */
};

/*
 * Earliest time at which the lease can expire. The store counts the TTL from
 * the arrival of the grant or renewal, which is later than the time it was
 * sent.
 */
static int64_t
valid_until_ms(const lease_t *lease)
{
	return lease->renewed_ms + lease->ttl_ms;
}

static void
mark_lost(lease_t *lease)
{
	log_event(
	    LOG_LEVEL_WARN, "lease.lost", "lease=%" G_GINT64_FORMAT, lease->id);
	lease->id = 0;
	lease->registered = false;
	lease->is_leader = false;
}

static void
on_registered(const platform_result_t *result, void *data)
{
	lease_t *lease = data;

	lease->registration_in_progress = false;
	if (result->status == PLATFORM_OK)
		lease->registered = true;
	else if (result->status == PLATFORM_ABSENT)
		mark_lost(lease);
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
	    .lease_id = lease->id};

	lease->registration_in_progress = true;
	platform_store_commit(
	    lease->store, NULL, 0, &write, 1, on_registered, lease);
	g_free(key);
	g_free(address);
}

static void
on_granted(const platform_result_t *result, void *data)
{
	lease_t *lease = data;

	lease->call_in_progress = false;
	if (result->status != PLATFORM_OK || lease->revoked)
		return;
	lease->id = result->lease_id;
	lease->ttl_ms = result->lease_ttl_ms;
	lease->renewed_ms = lease->call_sent_ms;
	register_node(lease);
}

static void
on_renewed(const platform_result_t *result, void *data)
{
	lease_t *lease = data;

	lease->call_in_progress = false;
	if (result->status == PLATFORM_ABSENT) {
		mark_lost(lease);
		return;
	}
	if (result->status != PLATFORM_OK)
		return;
	lease->renewed_ms = lease->call_sent_ms;
}

static bool
may_campaign(const lease_t *lease, int64_t now_ms)
{
	return lease->campaign_enabled && !lease->campaign_in_progress &&
	       !lease->leader_exists && lease->id != 0 &&
	       now_ms < valid_until_ms(lease) &&
	       now_ms >= lease->next_campaign_ms;
}

static void
on_leader_key_written(const platform_result_t *result, void *data)
{
	lease_t *lease = data;

	lease->campaign_in_progress = false;
	if (result->status == PLATFORM_OK)
		lease_update_leader(lease, lease->identity,
		    strlen(lease->identity), result->revision);
	else if (result->status == PLATFORM_ABSENT)
		mark_lost(lease);
}

static void
write_leader_key(lease_t *lease, int64_t now_ms)
{
	platform_condition_t condition = {.key = lease_leader_key};
	platform_write_t write = {.key = lease_leader_key,
	    .value = lease->identity,
	    .length = strlen(lease->identity),
	    .lease_id = lease->id};

	lease->campaign_in_progress = true;
	lease->next_campaign_ms = now_ms + CAMPAIGN_RETRY_MS;
	platform_store_commit(lease->store, &condition, 1, &write, 1,
	    on_leader_key_written, lease);
}

static void
on_tick(uv_timer_t *timer)
{
	lease_t *lease = timer->data;
	int64_t now_ms = clock_boot_ms();

	if (lease->revoked)
		return;
	if (lease->id != 0 &&
	    now_ms > valid_until_ms(lease) + RENEW_INTERVAL_MS)
		mark_lost(lease);
	if (!lease->call_in_progress && lease->id == 0) {
		lease->call_in_progress = true;
		lease->call_sent_ms = now_ms;
		platform_store_grant_lease(lease->store,
		    lease->config->bounds.lease_ms, on_granted, lease);
	} else if (!lease->call_in_progress &&
		   now_ms - lease->renewed_ms >= RENEW_INTERVAL_MS) {
		lease->call_in_progress = true;
		lease->call_sent_ms = now_ms;
		platform_store_renew_lease(
		    lease->store, lease->id, on_renewed, lease);
	}
	if (lease->id != 0 && !lease->registered &&
	    !lease->registration_in_progress)
		register_node(lease);
	if (may_campaign(lease, now_ms))
		write_leader_key(lease, now_ms);
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
	uv_timer_init(loop, &lease->timer);
	lease->timer.data = lease;
	uv_timer_start(&lease->timer, on_tick, 0, TICK_INTERVAL_MS);
	return lease;
}

void
lease_update_leader(
    lease_t *lease, const char *value, size_t length, int64_t revision)
{
	bool was_leader = lease->is_leader;

	lease->leader_exists = value != NULL;
	lease->is_leader = value != NULL && length == strlen(lease->identity) &&
			   memcmp(value, lease->identity, length) == 0;
	if (lease->is_leader)
		lease->fencing_token = MAX(lease->fencing_token, revision);
	if (value == NULL)
		lease->next_campaign_ms =
		    clock_boot_ms() + g_random_int_range(0, CAMPAIGN_JITTER_MS);
	if (was_leader != lease->is_leader)
		log_event(LOG_LEVEL_INFO, "duty.holder",
		    "self=%d token=%" G_GINT64_FORMAT, lease->is_leader,
		    lease->fencing_token);
}

void
lease_enable_campaign(lease_t *lease)
{
	if (!lease->campaign_enabled)
		lease->next_campaign_ms =
		    clock_boot_ms() + g_random_int_range(0, CAMPAIGN_JITTER_MS);
	lease->campaign_enabled = true;
}

int64_t
lease_fencing_token(const lease_t *lease)
{
	if (!lease->is_leader || lease->revoked ||
	    lease->fencing_token == lease->invalid_token ||
	    clock_boot_ms() >= valid_until_ms(lease) - LEADER_MARGIN_MS)
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

void
lease_revoke(lease_t *lease)
{
	lease->revoked = true;
	if (lease->id != 0)
		platform_store_revoke_lease(
		    lease->store, lease->id, on_revoked, lease);
}
