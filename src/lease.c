#include "lease.h"

#include "clock.h"
#include "log.h"

#include <string.h>

enum {
	TICK_MS = 250,
	RENEW_MS = 1000,
	/* The duties end this long before the lease can end. */
	HOLD_MARGIN_MS = 500,
	/* Nodes campaign at random within this time of a holder's end. */
	CAMPAIGN_JITTER_MS = 400,
	CAMPAIGN_RETRY_MS = 1000,
};

const char lease_node_prefix[] = "papaya/node/";
const char lease_holder_key[] = "papaya/leader";

struct lease {
	const gateway_config_t *config;
	platform_store_t *store;
	uv_timer_t timer;
	int64_t id;	 /* 0: none */
	int64_t sent_ms; /* of the call in progress */
	int64_t ttl_ms;	 /* that the store granted */
	int64_t renewed_ms;
	bool busy; /* a lease call is in progress */
	bool registered;
	bool registering;
	bool ended;
	bool campaigns;
	bool campaigning; /* a write of the holder's key is in progress */
	int64_t campaign_at_ms;
	bool holder_known; /* some node holds the duties */
	bool holder_self;
	int64_t token;
	int64_t fenced_token; /* not used again */
	char *identity;	      /* value of the holder's key */
};

/* The lease holds at least so long: it runs from the arrival of a call. */
static int64_t
valid_until_ms(const lease_t *lease)
{
	return lease->renewed_ms + lease->ttl_ms;
}

static void
lose(lease_t *lease)
{
	log_event(
	    LOG_LEVEL_WARN, "lease.lost", "lease=%" G_GINT64_FORMAT, lease->id);
	lease->id = 0;
	lease->registered = false;
	lease->holder_self = false;
}

static void
on_registered(const platform_result_t *result, void *data)
{
	lease_t *lease = data;

	lease->registering = false;
	if (result->status == PLATFORM_OK)
		lease->registered = true;
	else if (result->status == PLATFORM_ABSENT)
		lose(lease);
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
	    .lease = lease->id};

	lease->registering = true;
	platform_store_commit(
	    lease->store, NULL, 0, &write, 1, on_registered, lease);
	g_free(key);
	g_free(address);
}

static void
on_granted(const platform_result_t *result, void *data)
{
	lease_t *lease = data;

	lease->busy = false;
	if (result->status != PLATFORM_OK || lease->ended)
		return;
	lease->id = result->lease;
	lease->ttl_ms = result->ttl_ms;
	lease->renewed_ms = lease->sent_ms;
	register_node(lease);
}

static void
on_renewed(const platform_result_t *result, void *data)
{
	lease_t *lease = data;

	lease->busy = false;
	if (result->status == PLATFORM_ABSENT) {
		lose(lease);
		return;
	}
	if (result->status != PLATFORM_OK)
		return;
	lease->renewed_ms = lease->sent_ms;
}

static bool
may_campaign(const lease_t *lease, int64_t now_ms)
{
	return lease->campaigns && !lease->campaigning &&
	       !lease->holder_known && lease->id != 0 &&
	       now_ms < valid_until_ms(lease) &&
	       now_ms >= lease->campaign_at_ms;
}

static void
on_campaigned(const platform_result_t *result, void *data)
{
	lease_t *lease = data;

	lease->campaigning = false;
	if (result->status == PLATFORM_OK)
		lease_see_holder(lease, lease->identity,
		    strlen(lease->identity), result->revision);
	else if (result->status == PLATFORM_ABSENT)
		lose(lease);
}

static void
campaign(lease_t *lease, int64_t now_ms)
{
	platform_condition_t condition = {.key = lease_holder_key};
	platform_write_t write = {.key = lease_holder_key,
	    .value = lease->identity,
	    .length = strlen(lease->identity),
	    .lease = lease->id};

	lease->campaigning = true;
	lease->campaign_at_ms = now_ms + CAMPAIGN_RETRY_MS;
	platform_store_commit(
	    lease->store, &condition, 1, &write, 1, on_campaigned, lease);
}

static void
on_tick(uv_timer_t *timer)
{
	lease_t *lease = timer->data;
	int64_t now_ms = clock_boot_ms();

	if (lease->ended)
		return;
	if (lease->id != 0 && now_ms > valid_until_ms(lease) + RENEW_MS)
		lose(lease);
	if (!lease->busy && lease->id == 0) {
		lease->busy = true;
		lease->sent_ms = now_ms;
		platform_store_grant(lease->store,
		    lease->config->bounds.lease_ms, on_granted, lease);
	} else if (!lease->busy && now_ms - lease->renewed_ms >= RENEW_MS) {
		lease->busy = true;
		lease->sent_ms = now_ms;
		platform_store_renew(
		    lease->store, lease->id, on_renewed, lease);
	}
	if (lease->id != 0 && !lease->registered && !lease->registering)
		register_node(lease);
	if (may_campaign(lease, now_ms))
		campaign(lease, now_ms);
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
	uv_timer_start(&lease->timer, on_tick, 0, TICK_MS);
	return lease;
}

void
lease_see_holder(
    lease_t *lease, const char *value, size_t length, int64_t revision)
{
	bool was_self = lease->holder_self;

	lease->holder_known = value != NULL;
	lease->holder_self = value != NULL &&
			     length == strlen(lease->identity) &&
			     memcmp(value, lease->identity, length) == 0;
	if (lease->holder_self)
		lease->token = MAX(lease->token, revision);
	if (value == NULL)
		lease->campaign_at_ms =
		    clock_boot_ms() + g_random_int_range(0, CAMPAIGN_JITTER_MS);
	if (was_self != lease->holder_self)
		log_event(LOG_LEVEL_INFO, "duty.holder",
		    "self=%d token=%" G_GINT64_FORMAT, lease->holder_self,
		    lease->token);
}

void
lease_campaign(lease_t *lease)
{
	if (!lease->campaigns)
		lease->campaign_at_ms =
		    clock_boot_ms() + g_random_int_range(0, CAMPAIGN_JITTER_MS);
	lease->campaigns = true;
}

int64_t
lease_token(const lease_t *lease)
{
	if (!lease->holder_self || lease->ended ||
	    lease->token == lease->fenced_token ||
	    clock_boot_ms() >= valid_until_ms(lease) - HOLD_MARGIN_MS)
		return 0;
	return lease->token;
}

void
lease_fenced(lease_t *lease)
{
	log_event(LOG_LEVEL_WARN, "duty.fenced", "token=%" G_GINT64_FORMAT,
	    lease->token);
	lease->fenced_token = lease->token;
}

static void
on_ended(const platform_result_t *result, void *data)
{
	if (result->status != PLATFORM_OK)
		log_event(LOG_LEVEL_WARN, "lease.not_ended", "status=%d",
		    (int)result->status);
}

void
lease_end(lease_t *lease)
{
	lease->ended = true;
	if (lease->id != 0)
		platform_store_revoke(lease->store, lease->id, on_ended, lease);
}
