#include "store_watch_state.h"

#include "clock.h"

/* The requests of followers, and the responses of relays. */

/* Longest watch without changes in a fleet with relays. */
enum { RELAY_WATCH_MAX_MS = 450 };

/*
 * Relays confirm the copy after this share of max_staleness_ms at most, as
 * their confirmations are passed on.
 */
static const double relay_watch_staleness_share = 0.11;

int64_t
store_watch_relay_ms(const store_watch_t *watch)
{
	return MIN(RELAY_WATCH_MAX_MS,
	    (int64_t)(relay_watch_staleness_share *
		      (double)watch->options.max_staleness_ms));
}

bool
store_watch_is_kept_current(const store_watch_t *watch)
{
	return watch->relay_interval_ms > 0 && watch->list_complete &&
	       !watch->refresh_pending && !watch->changes_missing &&
	       relay_is_current(clock_boot_ms() - watch->confirmed_ms,
		   store_watch_relay_ms(watch));
}

bool
store_watch_next_request(store_watch_t *watch, relay_request_t *request)
{
	int64_t now_ms = clock_boot_ms();

	if (watch->relay_interval_ms == 0 || !watch->list_complete ||
	    now_ms - watch->last_request_ms < watch->relay_interval_ms)
		return false;
	watch->last_request_ms = now_ms;
	request->after_revision = watch->revision;
	request->sent_ms = now_ms;
	request->era = platform_store_era(watch->options.store);
	return true;
}

void
store_watch_apply_response(
    store_watch_t *watch, const relay_response_t *response)
{
	int64_t now_ms = clock_boot_ms();
	int64_t confirmed_ms;

	store_watch_check_era(watch, response->era);
	if (response->era != platform_store_era(watch->options.store) ||
	    watch->relay_interval_ms == 0 || !watch->list_complete)
		return;
	if (response->changes_missing) {
		/* A watch of the store returns all missing changes. */
		watch->changes_missing = true;
		return;
	}
	/* An outage that has left this node's copy current is no news. */
	if (response->store_unstable &&
	    now_ms - watch->confirmed_ms > 2 * store_watch_relay_ms(watch))
		watch->recovered_ms = now_ms;
	store_watch_apply_items(watch, response->items, response->count);
	watch->revision = MAX(watch->revision, response->revision);
	confirmed_ms =
	    response->request_sent_ms - response->confirmation_age_ms;
	if (response->confirmation_age_ms < 0 ||
	    !relay_is_current(
		now_ms - confirmed_ms, store_watch_relay_ms(watch)))
		return;
	watch->confirmed_ms = MAX(watch->confirmed_ms, confirmed_ms);
	store_watch_mark_available(watch);
	store_watch_report_confirmed(watch);
}

void
store_watch_encode_response(store_watch_t *watch,
    const relay_request_t *request, const GPtrArray *client_addresses,
    GByteArray *out)
{
	int64_t now_ms = clock_boot_ms();
	relay_state_t state = {
	    .client_addresses = client_addresses,
	    .revision = watch->revision,
	    .confirmation_age_ms =
		watch->confirmed_ms == 0 ? -1 : now_ms - watch->confirmed_ms,
	    .store_unstable = store_watch_is_unstable(watch),
	    .era = platform_store_era(watch->options.store),
	};

	store_watch_check_era(watch, request->era);
	watch->has_followers = true;
	relay_encode_response(watch->change_log, request, &state, out);
}
