#include "hedge.h"

#include "counter.h"
#include "error.h"

enum {
	SLOT_MS = 1000,
	SLOTS = 20, /* of the sliding time */
	/* Three attempts lie above the percentile then. */
	SAMPLES_MIN = 60,
	/* The percentile is computed again after this time. */
	DELAY_CACHE_MS = 200,
	/* Less is not worth another attempt's work. */
	DELAY_MIN_MS = 20,
	RECHECK_MIN_MS = 10,
	/* Histogram units of a millisecond, or of the ratio 1. */
	UNITS = 1000,
	/* Late attempts from which their further time is estimated. */
	LATE_MIN = 4,
};

const double hedge_share_max = 0.2;

static const double delay_quantile = 0.95;
/*
 * The histogram gives the lower bound of a bucket, whose upper bound is at most
 * this factor above it.
 */
static const double bucket_width = 1.125;
/*
 * Hedges that a quiet time may leave for a burst of late attempts: what a
 * server that stalls for half a second has in flight from one node.
 */
static const double credit_max = 8;
/* The other server's time must be below this share of what the first needs. */
static const double clear_gain = 0.8;
/* Time left, as a multiple of the other server's time, which is a mean. */
static const double deadline_factor = 2;
/* Fewer usable servers than this share of those that stay are an outage. */
static const double usable_share_min = 2.0 / 3;
/* Up to this share of the usable servers may be full. */
static const double full_share_max = 0.5;

/* Attempts that ended in one slot of the sliding time. */
typedef struct slot {
	int64_t number; /* of the slot since time 0 */
	histogram_t times;
	unsigned late;	       /* attempts that were late */
	unsigned late_answers; /* of them: with an answer */
	double late_sum;       /* of their time since they were late, UNITS */
} slot_t;

/* Recent attempts of one route at one service. */
typedef struct history {
	slot_t slots[SLOTS];
	int64_t newest;	     /* number of the newest slot */
	int64_t computed_ms; /* when the members below were computed; 0: never
			      */
	double delay;	     /* UNITS; negative: too few samples */
	/* Mean further time of a late attempt, in UNITS; 0: not known. */
	double further;
} history_t;

struct hedge {
	double share;
	GHashTable *histories; /* "route\nservice" to history_t */
	GHashTable *credits;   /* service to hedges that may be sent (double) */
};

bool
hedge_parse_share(
    const char *text, const char *source, double *share, GError **error)
{
	char *end;
	double value = g_ascii_strtod(text, &end);

	/* The comparison is false for a value that is not a number. */
	if (end != text && *end == '\0' && value >= 0 &&
	    value <= hedge_share_max) {
		*share = value;
		return true;
	}
	papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
	    "%s: \"%s\" is no share of the requests; give a number from 0 "
	    "(off) to %.1f",
	    source, text, hedge_share_max);
	return false;
}

hedge_t *
hedge_new(double share)
{
	hedge_t *hedge = g_new0(hedge_t, 1);

	hedge->share = share;
	hedge->histories =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	hedge->credits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return hedge;
}

void
hedge_free(hedge_t *hedge)
{
	if (hedge == NULL)
		return;
	g_hash_table_unref(hedge->histories);
	g_hash_table_unref(hedge->credits);
	g_free(hedge);
}

bool
hedge_is_enabled(const hedge_t *hedge)
{
	return hedge->share > 0;
}

void
hedge_count_request(hedge_t *hedge, const char *service)
{
	double *credit;

	if (!hedge_is_enabled(hedge))
		return;
	credit = g_hash_table_lookup(hedge->credits, service);
	if (credit == NULL) {
		credit = g_new0(double, 1);
		g_hash_table_insert(hedge->credits, g_strdup(service), credit);
	}
	*credit = MIN(*credit + hedge->share, credit_max);
}

static history_t *
find_history(hedge_t *hedge, const hedge_kind_t *kind)
{
	char *name = g_strconcat(kind->route, "\n", kind->service, NULL);
	history_t *history = g_hash_table_lookup(hedge->histories, name);

	if (history != NULL) {
		g_free(name);
		return history;
	}
	history = g_new0(history_t, 1);
	g_hash_table_insert(hedge->histories, name, history);
	return history;
}

/* Histogram units of one millisecond of an attempt. */
static double
units_per_ms(const hedge_kind_t *kind)
{
	return kind->expected_ms > 0 ? UNITS / MAX(kind->expected_ms, 1)
				     : UNITS;
}

static void
compute(history_t *history, int64_t now_ms)
{
	histogram_t times = {0};
	unsigned late = 0, answers = 0;
	double sum = 0;

	for (unsigned i = 0; i < SLOTS; i++) {
		const slot_t *slot = &history->slots[i];

		if (now_ms / SLOT_MS - slot->number >= SLOTS)
			continue;
		histogram_merge(&times, &slot->times);
		late += slot->late;
		answers += slot->late_answers;
		sum += slot->late_sum;
	}
	history->computed_ms = now_ms;
	history->delay = times.count < SAMPLES_MIN
			     ? -1
			     : bucket_width * (double)histogram_quantile(
						  &times, delay_quantile);
	/*
	 * The time of all late attempts for each answer: those that were
	 * cancelled count with the time for which they were watched.
	 */
	history->further = late < LATE_MIN ? 0 : sum / MAX(answers, 1);
}

static history_t *
current_history(hedge_t *hedge, const hedge_kind_t *kind, int64_t now_ms)
{
	history_t *history = find_history(hedge, kind);

	if (history->computed_ms == 0 ||
	    now_ms - history->computed_ms >= DELAY_CACHE_MS)
		compute(history, now_ms);
	return history;
}

int64_t
hedge_delay_ms(hedge_t *hedge, const hedge_kind_t *kind, int64_t now_ms)
{
	const history_t *history;

	if (!hedge_is_enabled(hedge))
		return -1;
	history = current_history(hedge, kind, now_ms);
	if (history->delay < 0)
		return -1;
	return MAX(
	    (int64_t)(history->delay / units_per_ms(kind)), DELAY_MIN_MS);
}

void
hedge_add_time(hedge_t *hedge, const hedge_kind_t *kind,
    const hedge_time_t *time, int64_t now_ms)
{
	int64_t number = now_ms / SLOT_MS;
	double units = units_per_ms(kind);
	history_t *history;
	slot_t *slot;

	/*
	 * An attempt that ended before it was late shows nothing of the
	 * percentile.
	 */
	if (!hedge_is_enabled(hedge) || (!time->answered && time->late_ms < 0))
		return;
	history = find_history(hedge, kind);
	history->newest = number;
	slot = &history->slots[number % SLOTS];
	if (slot->number != number)
		*slot = (slot_t){.number = number};
	histogram_add(&slot->times, (int64_t)(time->elapsed_ms * units));
	if (time->late_ms < 0)
		return;
	slot->late++;
	slot->late_answers += time->answered;
	slot->late_sum += time->late_ms * units;
}

static gboolean
is_forgotten(gpointer name, gpointer value, gpointer now_ms)
{
	const history_t *history = value;

	return *(int64_t *)now_ms / SLOT_MS - history->newest >= SLOTS &&
	       *(int64_t *)now_ms - history->computed_ms >= SLOTS * SLOT_MS;
}

void
hedge_sweep(hedge_t *hedge, int64_t now_ms)
{
	g_hash_table_foreach_remove(hedge->histories, is_forgotten, &now_ms);
}

int64_t
hedge_recheck_ms(double elapsed_ms)
{
	return MAX((int64_t)elapsed_ms / 4, RECHECK_MIN_MS);
}

const char *
hedge_verdict_name(hedge_verdict_t verdict)
{
	static const char *const names[] = {
	    [HEDGE_SEND] = "send",
	    [HEDGE_NO_SERVER] = "no_server",
	    [HEDGE_OUTAGE] = "outage",
	    [HEDGE_FULL] = "full",
	    [HEDGE_NO_GAIN] = "no_gain",
	    [HEDGE_DEADLINE] = "deadline",
	    [HEDGE_OVER_QUOTA] = "over_quota",
	    [HEDGE_BLOCKED] = "blocked",
	    [HEDGE_LIMIT] = "limit",
	    [HEDGE_BUDGET] = "budget",
	};

	return names[verdict];
}

/*
 * What a late attempt still needs: as much as others that were late, or as long
 * again as it has been late already.
 */
static double
needed_ms(const history_t *history, const hedge_kind_t *kind, double late_ms)
{
	return MAX(history->further / units_per_ms(kind), late_ms);
}

static bool
has_credit(const hedge_t *hedge, const char *service)
{
	const double *credit = g_hash_table_lookup(hedge->credits, service);

	return credit != NULL && *credit >= 1;
}

hedge_verdict_t
hedge_decide(hedge_t *hedge, const hedge_kind_t *kind,
    const hedge_situation_t *situation, int64_t now_ms)
{
	const history_t *history;

	if (!hedge_is_enabled(hedge))
		return HEDGE_LIMIT;
	history = current_history(hedge, kind, now_ms);
	if (situation->over_quota)
		return HEDGE_OVER_QUOTA;
	if (situation->usable < usable_share_min * situation->staying)
		return HEDGE_OUTAGE;
	if (situation->full > full_share_max * situation->usable)
		return HEDGE_FULL;
	if (deadline_factor * situation->target_ms >
	    (double)situation->remaining_ms)
		return HEDGE_DEADLINE;
	if (situation->target_ms >
	    clear_gain * needed_ms(history, kind, situation->late_ms))
		return HEDGE_NO_GAIN;
	return has_credit(hedge, kind->service) ? HEDGE_SEND : HEDGE_LIMIT;
}

void
hedge_count_sent(hedge_t *hedge, const char *service)
{
	double *credit = g_hash_table_lookup(hedge->credits, service);

	if (credit != NULL)
		*credit -= 1;
}

void
hedge_race_begin(hedge_race_t *race)
{
	race->running[HEDGE_FIRST] = true;
	race->running[HEDGE_SECOND] = true;
}

bool
hedge_race_is_open(const hedge_race_t *race)
{
	return race->running[HEDGE_FIRST] && race->running[HEDGE_SECOND];
}

static hedge_side_t
other_side(hedge_side_t side)
{
	return side == HEDGE_FIRST ? HEDGE_SECOND : HEDGE_FIRST;
}

bool
hedge_race_win(hedge_race_t *race, hedge_side_t side)
{
	if (!race->running[side])
		return false;
	race->running[other_side(side)] = false;
	return true;
}

bool
hedge_race_fail(hedge_race_t *race, hedge_side_t side)
{
	if (!race->running[side])
		return false;
	race->running[side] = false;
	return race->running[other_side(side)];
}
