#ifndef PAPAYA_STORE_WATCH_STATE_H
#define PAPAYA_STORE_WATCH_STATE_H

#include "key_revisions.h"
#include "store_watch.h"

/*
 * Internals shared by store_watch.c, which lists and watches the store, and
 * store_watch_relay.c, which exchanges the changes with other nodes.
 */

/* A call of the store; its result is ignored once another one replaced it. */
typedef struct watch_call {
	store_watch_t *watch;
} watch_call_t;

struct store_watch {
	store_watch_options_t options;
	uv_timer_t timer;
	watch_call_t *call; /* in progress; NULL: none */
	key_revisions_t *keys;
	bool listing; /* a list is in progress */
	bool list_may_be_stale;
	/* Last key of the previous page of the list; NULL: first page. */
	char *last_page_key;
	int64_t list_revision; /* lowest store revision of the pages */
	int64_t list_started_ms;
	int64_t revision;     /* all changes up to it are applied */
	int64_t call_sent_ms; /* start of the call in progress */
	int64_t confirmed_ms;
	/* Keys that a restored store lacks are kept until the copy is confirmed
	 * as current at this time; INT64_MAX: not listed since the restoration;
	 * 0: no restoration. */
	int64_t hold_until_ms;
	int64_t last_response_ms; /* of the store, or a relay's confirmation */
	int64_t recovered_ms;	  /* last end of an outage here or at a relay */
	int64_t started_ms;
	int64_t last_refresh_ms;
	unsigned failures; /* consecutive */
	bool list_complete;
	bool unavailable;
	bool refresh_pending;
	relay_log_t *change_log;   /* for followers of this node */
	int64_t relay_interval_ms; /* 0: this node does not follow relays */
	int64_t last_request_ms;   /* to a relay */
	int64_t min_interval_ms;   /* between watches */
	bool has_followers;	   /* one has sent a request */
	bool listed_once;	/* a list has been completed since the start */
	bool stale_refused;	/* a stale list was of an earlier era */
	int64_t era_checked_ms; /* see store_watch_check_era(); 0: never */
	bool era_check_due;	/* the next watch asks for the era at once */
	bool changes_missing;	/* in a relay's response; cleared by a watch */
};

/* Applies changes, or listed keys, that have not been applied yet. */
void store_watch_apply_items(
    store_watch_t *watch, const platform_item_t *items, size_t count);
/* The store has responded, to this node or to its relay. */
void store_watch_mark_available(store_watch_t *watch);
/*
 * The copy has been confirmed as current at confirmed_ms, which may be the end
 * of a restoration.
 */
void store_watch_report_confirmed(store_watch_t *watch);

/* Longest watch without changes of a relay. */
int64_t store_watch_relay_ms(const store_watch_t *watch);
/* True while relay responses confirm the copy often enough. */
bool store_watch_is_kept_current(const store_watch_t *watch);

#endif
