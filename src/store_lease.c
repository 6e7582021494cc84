#include "store_lease.h"

#include "clock.h"
#include "log.h"

struct store_lease {
	store_lease_options_t options;
	unsigned restorations; /* of the store since the start */
	int64_t id;	       /* 0: none */
	/* Held before the restoration and not expired then; 0: none. */
	int64_t earlier_id;
	int64_t earlier_valid_until_ms;
	int64_t ttl_ms;	       /* granted by the store */
	int64_t call_sent_ms;  /* of the last call */
	int64_t renewed_ms;    /* send time of the last successful call */
	bool call_in_progress; /* grant or renewal */
	bool renewal_due;      /* before the interval has passed */
};

/* A grant or renewal in progress. */
typedef struct call {
	store_lease_t *lease;
	unsigned restorations; /* of the store, when it was sent */
	int64_t sent_ms;
} call_t;

store_lease_t *
store_lease_new(const store_lease_options_t *options)
{
	store_lease_t *lease = g_new0(store_lease_t, 1);

	lease->options = *options;
	return lease;
}

int64_t
store_lease_id(const store_lease_t *lease)
{
	return lease->id;
}

/*
 * The store counts the TTL from the arrival of the grant or renewal, which is
 * later than the time it was sent.
 */
int64_t
store_lease_valid_until_ms(const store_lease_t *lease)
{
	return lease->id == 0 ? 0 : lease->renewed_ms + lease->ttl_ms;
}

void
store_lease_renew_soon(store_lease_t *lease)
{
	lease->renewal_due = true;
}

bool
store_lease_is_renewal_due(const store_lease_t *lease)
{
	return lease->renewal_due || lease->call_in_progress;
}

void
store_lease_mark_lost(store_lease_t *lease)
{
	log_event(
	    LOG_LEVEL_WARN, "lease.lost", "lease=%" G_GINT64_FORMAT, lease->id);
	lease->id = 0;
	lease->options.on_lost(lease->options.data);
}

/* Frees the call; false where the store has been restored since. */
static bool
finish_call(call_t *call)
{
	bool is_current = call->restorations == call->lease->restorations;

	if (is_current)
		call->lease->call_in_progress = false;
	g_free(call);
	return is_current;
}

static void
on_granted(const platform_result_t *result, void *data)
{
	store_lease_t *lease = ((call_t *)data)->lease;
	int64_t sent_ms = ((call_t *)data)->sent_ms;

	if (!finish_call(data) || result->status != PLATFORM_OK)
		return;
	lease->id = result->lease_id;
	lease->earlier_id = 0;
	lease->ttl_ms = result->lease_ttl_ms;
	lease->renewed_ms = sent_ms;
	lease->options.on_granted(lease->options.data);
}

static void
on_renewed(const platform_result_t *result, void *data)
{
	store_lease_t *lease = ((call_t *)data)->lease;
	int64_t sent_ms = ((call_t *)data)->sent_ms;

	if (!finish_call(data))
		return;
	if (result->status == PLATFORM_ABSENT && lease->id != 0)
		store_lease_mark_lost(lease);
	if (result->status == PLATFORM_OK)
		lease->renewed_ms = sent_ms;
}

static call_t *
new_call(store_lease_t *lease, int64_t now_ms)
{
	call_t *call = g_new(call_t, 1);

	*call = (call_t){.lease = lease,
	    .restorations = lease->restorations,
	    .sent_ms = now_ms};
	lease->call_in_progress = true;
	lease->renewal_due = false;
	lease->call_sent_ms = now_ms;
	return call;
}

void
store_lease_keep(store_lease_t *lease, int64_t now_ms)
{
	const store_lease_options_t *options = &lease->options;

	if (lease->id != 0 && now_ms > store_lease_valid_until_ms(lease) +
					   options->renew_interval_ms) {
		store_lease_mark_lost(lease);
		return;
	}
	if (lease->call_in_progress)
		return;
	if (now_ms - lease->call_sent_ms < options->retry_interval_ms)
		return;
	if (lease->id != 0 && !lease->renewal_due &&
	    now_ms - lease->renewed_ms < options->renew_interval_ms)
		return;
	if (lease->id == 0)
		platform_store_grant_lease(options->store, options->ttl_ms,
		    on_granted, new_call(lease, now_ms));
	else
		platform_store_renew_lease(options->store, lease->id,
		    on_renewed, new_call(lease, now_ms));
}

void
store_lease_drop(store_lease_t *lease)
{
	lease->id = 0;
	lease->earlier_id = 0;
}

void
store_lease_restore(store_lease_t *lease)
{
	if (lease->id != 0) {
		lease->earlier_valid_until_ms =
		    store_lease_valid_until_ms(lease);
		lease->earlier_id = lease->id;
	}
	if (clock_boot_ms() >= lease->earlier_valid_until_ms)
		lease->earlier_id = 0;
	lease->restorations++;
	lease->id = 0;
	lease->call_in_progress = false;
	lease->call_sent_ms = 0;
}

bool
store_lease_resume(store_lease_t *lease, int64_t id)
{
	if (lease->earlier_id == 0 || lease->earlier_id != id)
		return false;
	lease->id = id;
	lease->earlier_id = 0;
	lease->renewed_ms = clock_boot_ms() - lease->ttl_ms;
	lease->call_sent_ms = 0;
	lease->renewal_due = true;
	return true;
}

static void
on_ended(const platform_result_t *result, void *data)
{
	if (result->status != PLATFORM_OK)
		log_event(LOG_LEVEL_WARN, "lease.not_ended", "status=%d",
		    (int)result->status);
}

void
store_lease_end(store_lease_t *lease)
{
	if (lease->id != 0)
		platform_store_revoke_lease(
		    lease->options.store, lease->id, on_ended, lease);
	store_lease_drop(lease);
}
