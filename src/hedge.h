#ifndef PAPAYA_HEDGE_H
#define PAPAYA_HEDGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Decides when a request that may be repeated is sent to a second backend
 * server (a hedge), and which of its two attempts gives the answer. Load: a few
 * attempts take many times as long as comparable ones, since one server of many
 * is slow or stalls for a while. Where all servers are slow or full, or many
 * are lost, hedges are only more load, and none are sent. No I/O; times are
 * clock_boot_ms(). See docs/design/hedging.md.
 */
typedef struct hedge hedge_t;

/* Largest share of the requests that may be hedged. */
extern const double hedge_share_max;

/*
 * Parses a share of 0 to hedge_share_max. source: the setting's name, for the
 * message of *error. False with *error set, and *share unchanged, on failure.
 */
bool hedge_parse_share(
    const char *text, const char *source, double *share, GError **error);

/*
 * share: hedges per offered request of a service; 0: none are sent, and nothing
 * is recorded.
 */
hedge_t *hedge_new(double share);
void hedge_free(hedge_t *hedge);

bool hedge_is_enabled(const hedge_t *hedge);

/* Counts a request that is offered to a service. */
void hedge_count_request(hedge_t *hedge, const char *service);

/* Attempts are compared within one route at one service. Names are borrowed. */
typedef struct hedge_kind {
	const char *route;
	const char *service;
	/*
	 * Estimate of the attempt's time when it was sent; times are compared
	 * relative to it. 0: they are compared as they are.
	 */
	double expected_ms;
} hedge_kind_t;

/*
 * Time without an answer after which an attempt is late: later than nearly all
 * recent ones of its kind. -1: not known, as there were too few.
 */
int64_t hedge_delay_ms(
    hedge_t *hedge, const hedge_kind_t *kind, int64_t now_ms);

/* The time of an attempt to its first byte. */
typedef struct hedge_time {
	double elapsed_ms;
	double late_ms; /* since hedge_delay_ms() had passed; -1: it was not */
	/* False: ended without an answer, so that the times are lower bounds.
	 */
	bool answered;
} hedge_time_t;

void hedge_add_time(hedge_t *hedge, const hedge_kind_t *kind,
    const hedge_time_t *time, int64_t now_ms);

/* Time after which to decide again on an attempt that is late. */
int64_t hedge_recheck_ms(double elapsed_ms);

/* A late attempt, and the server to which its request might be sent too. */
typedef struct hedge_situation {
	double late_ms;	      /* since hedge_delay_ms() had passed */
	double target_ms;     /* estimate for an attempt at the other server */
	int64_t remaining_ms; /* to the request's deadline */
	/* Servers of the service. */
	unsigned staying; /* listed, and not about to leave */
	unsigned usable;  /* of them: they may get requests now */
	unsigned full;	  /* of these: without a free slot */
	bool over_quota;  /* the workspace has spent its quota */
} hedge_situation_t;

typedef enum hedge_verdict {
	HEDGE_SEND,
	HEDGE_NO_SERVER, /* no other server is clearly free */
	HEDGE_OUTAGE,	 /* many servers are lost or fail */
	HEDGE_FULL,	 /* many servers are full */
	HEDGE_NO_GAIN,	 /* the first attempt is expected to answer sooner */
	HEDGE_DEADLINE,	 /* too little time is left */
	HEDGE_OVER_QUOTA,
	HEDGE_BLOCKED, /* the prompt is suspected of crashing servers */
	HEDGE_LIMIT,   /* the share of the requests is used up */
	HEDGE_BUDGET,  /* the part of the retry budget is used up */
} hedge_verdict_t;

/* Name for logs and metrics. */
const char *hedge_verdict_name(hedge_verdict_t verdict);

/* Forgets kinds of attempts of which none is recent. */
void hedge_sweep(hedge_t *hedge, int64_t now_ms);

/* Whether to hedge a late attempt; takes nothing from the limit. */
hedge_verdict_t hedge_decide(hedge_t *hedge, const hedge_kind_t *kind,
    const hedge_situation_t *situation, int64_t now_ms);

/* Takes one hedge from the limit, after HEDGE_SEND. */
void hedge_count_sent(hedge_t *hedge, const char *service);

/* The two attempts of a hedged request. */
typedef enum hedge_side {
	HEDGE_FIRST,
	HEDGE_SECOND,
	HEDGE_SIDES,
} hedge_side_t;

/* Zeroed memory is a race that has not begun. */
typedef struct hedge_race {
	bool running[HEDGE_SIDES];
} hedge_race_t;

/* Both attempts are in flight from now on. */
void hedge_race_begin(hedge_race_t *race);

/* True while both are in flight and none has given the answer. */
bool hedge_race_is_open(const hedge_race_t *race);

/*
 * An attempt has its first whole answer. True where that is the request's
 * answer: the other attempt must be cancelled, and whatever still comes of it
 * dropped.
 */
bool hedge_race_win(hedge_race_t *race, hedge_side_t side);

/* An attempt has failed. True where the other one goes on. */
bool hedge_race_fail(hedge_race_t *race, hedge_side_t side);

#endif
