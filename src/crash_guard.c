#include "crash_guard.h"

#include "log.h"
#include "process_liveness.h"

#include <sys/queue.h>

enum {
	/* Crashes, one after the other, that block a segment. */
	CRASHES_TO_BLOCK = 3,
	/* Least time from the first to the last of them: a sound segment that
	 * is used often is served within it. */
	CRASH_SPAN_MS = 1500,
	BLOCK_MS = 10 * 60 * 1000,
	/* Crashes of a segment that is not blocked are forgotten after this. */
	CRASH_MEMORY_MS = 2 * 60 * 1000,
	SEGMENTS_MAX = 2048,
	CRASHES_MAX = 32, /* kept of each segment */
	/* Of a digest, which has to fit into one datagram. */
	DIGEST_CRASHES_MAX = 48,
	DIGEST_SURVIVALS_MAX = 24,
	DIGEST_LIVENESS_MAX = 16,
	/* Wait for the first trial of a blocked segment, and the factor for
	 * each further one. */
	TRIAL_DELAY_MS = 2 * 60 * 1000,
	TRIAL_DELAY_FACTOR = 4,
	/* Later crashes are not believed: a clock is wrong. */
	CLOCK_ERROR_MAX_MS = 60 * 1000,
};

typedef struct crash {
	TAILQ_ENTRY(crash) entries;
	uint32_t process;
	int64_t sent_ms;
	int64_t crashed_ms;
} crash_t;

typedef TAILQ_HEAD(crash_list, crash) crash_list_t;

/* A segment that was part of a prompt when a server crashed. */
typedef struct segment {
	TAILQ_ENTRY(segment) entries;
	uint64_t id;
	crash_list_t crashes; /* by crashed_ms */
	unsigned crash_count;
	int64_t survived_ms; /* newest survival; crashes before do not count */
	int64_t blocked_until_ms; /* 0: not blocked */
	int64_t trial_delay_ms;	  /* of the next trial of this node */
	int64_t tried_ms;	  /* last trial of this node; 0: none */
} segment_t;

typedef TAILQ_HEAD(segment_list, segment) segment_list_t;

struct crash_guard {
	GHashTable *by_id;	 /* uint64_t * to segment_t; both borrowed */
	segment_list_t segments; /* that crashed last: first; owned */
	process_liveness_t *processes;
};

crash_guard_t *
crash_guard_new(void)
{
	crash_guard_t *guard = g_new0(crash_guard_t, 1);

	guard->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&guard->segments);
	guard->processes = process_liveness_new();
	return guard;
}

static void
remove_crash(segment_t *segment, crash_t *crash)
{
	TAILQ_REMOVE(&segment->crashes, crash, entries);
	segment->crash_count--;
	g_free(crash);
}

static void
remove_segment(crash_guard_t *guard, segment_t *segment)
{
	while (segment->crash_count > 0)
		remove_crash(segment, TAILQ_FIRST(&segment->crashes));
	g_hash_table_remove(guard->by_id, &segment->id);
	TAILQ_REMOVE(&guard->segments, segment, entries);
	g_free(segment);
}

void
crash_guard_free(crash_guard_t *guard)
{
	segment_t *segment;

	if (guard == NULL)
		return;
	while ((segment = TAILQ_FIRST(&guard->segments)) != NULL)
		remove_segment(guard, segment);
	g_hash_table_unref(guard->by_id);
	process_liveness_free(guard->processes);
	g_free(guard);
}

/* The segment that crashed longest ago and is not blocked; NULL: none. */
static segment_t *
oldest_unblocked(const crash_guard_t *guard)
{
	segment_t *segment;

	TAILQ_FOREACH_REVERSE(segment, &guard->segments, segment_list, entries)
	if (segment->blocked_until_ms == 0)
		return segment;
	return NULL;
}

static segment_t *
find_segment(const crash_guard_t *guard, uint64_t id)
{
	return g_hash_table_lookup(guard->by_id, &id);
}

/* NULL where there is no room. */
static segment_t *
find_or_add_segment(crash_guard_t *guard, uint64_t id)
{
	segment_t *segment = find_segment(guard, id);

	if (segment != NULL)
		return segment;
	if (g_hash_table_size(guard->by_id) >= SEGMENTS_MAX) {
		segment_t *oldest = oldest_unblocked(guard);

		if (oldest == NULL)
			return NULL;
		remove_segment(guard, oldest);
	}
	segment = g_new0(segment_t, 1);
	segment->id = id;
	segment->trial_delay_ms = TRIAL_DELAY_MS;
	TAILQ_INIT(&segment->crashes);
	TAILQ_INSERT_HEAD(&guard->segments, segment, entries);
	g_hash_table_insert(guard->by_id, &segment->id, segment);
	return segment;
}

static crash_t *
find_crash(const segment_t *segment, uint32_t process)
{
	crash_t *crash;

	TAILQ_FOREACH (crash, &segment->crashes, entries)
		if (crash->process == process)
			return crash;
	return NULL;
}

static bool
is_later(const crash_t *a, const crash_t *b)
{
	return a->crashed_ms != b->crashed_ms ? a->crashed_ms > b->crashed_ms
					      : a->sent_ms > b->sent_ms;
}

static void
insert_crash(segment_t *segment, crash_t *crash)
{
	crash_t *after;

	TAILQ_FOREACH_REVERSE(after, &segment->crashes, crash_list, entries)
	if (is_later(crash, after))
		break;
	if (after == NULL)
		TAILQ_INSERT_HEAD(&segment->crashes, crash, entries);
	else
		TAILQ_INSERT_AFTER(&segment->crashes, after, crash, entries);
}

/*
 * Makes room for further crashes: removes the oldest one if it no longer
 * counts, else the last but one, since the others show for how long servers
 * have crashed.
 */
static void
thin_out_crashes(segment_t *segment)
{
	crash_t *oldest = TAILQ_FIRST(&segment->crashes);
	crash_t *newest = TAILQ_LAST(&segment->crashes, crash_list);

	if (oldest->crashed_ms <= segment->survived_ms)
		remove_crash(segment, oldest);
	else
		remove_crash(segment, TAILQ_PREV(newest, crash_list, entries));
}

/*
 * Keeps the latest crash of each process: every node reports the same one, and
 * a process that resets connections without a crash counts once. False where
 * nothing changes.
 */
static bool
record_crash(segment_t *segment, const crash_t *values)
{
	crash_t *crash = find_crash(segment, values->process);

	if (crash != NULL && !is_later(values, crash))
		return false;
	if (crash != NULL) {
		TAILQ_REMOVE(&segment->crashes, crash, entries);
	} else {
		crash = g_new0(crash_t, 1);
		segment->crash_count++;
	}
	*crash = *values;
	insert_crash(segment, crash);
	if (segment->crash_count > CRASHES_MAX)
		thin_out_crashes(segment);
	return true;
}

/*
 * Time of the crash that completes the series which blocks the segment; 0: no
 * such series.
 */
static int64_t
series_end_ms(const segment_t *segment)
{
	int64_t first_ms = 0, last_ms = 0;
	unsigned count = 0;
	const crash_t *crash;

	TAILQ_FOREACH (crash, &segment->crashes, entries) {
		if (crash->crashed_ms <= segment->survived_ms ||
		    crash->sent_ms < last_ms)
			continue;
		if (count++ == 0)
			first_ms = crash->crashed_ms;
		last_ms = crash->crashed_ms;
		if (count >= CRASHES_TO_BLOCK &&
		    last_ms - first_ms >= CRASH_SPAN_MS)
			return last_ms;
	}
	return 0;
}

static void
update_block(segment_t *segment)
{
	int64_t end_ms = series_end_ms(segment);
	bool was_blocked = segment->blocked_until_ms != 0;

	segment->blocked_until_ms = end_ms == 0 ? 0 : end_ms + BLOCK_MS;
	if (was_blocked != (end_ms != 0))
		log_event(LOG_LEVEL_WARN,
		    end_ms != 0 ? "segment.blocked" : "segment.unblocked",
		    "segment=%" G_GINT64_MODIFIER "x crashes=%u", segment->id,
		    segment->crash_count);
}

static void
add_crash(crash_guard_t *guard, uint64_t id, const crash_t *values)
{
	segment_t *segment;

	if (!process_liveness_add_crash(
		guard->processes, values->process, values->crashed_ms))
		return;
	segment = find_or_add_segment(guard, id);
	if (segment == NULL || !record_crash(segment, values))
		return;
	TAILQ_REMOVE(&guard->segments, segment, entries);
	TAILQ_INSERT_HEAD(&guard->segments, segment, entries);
	update_block(segment);
}

void
crash_guard_add_crash(crash_guard_t *guard,
    const crash_guard_attempt_t *attempt, int64_t crashed_ms)
{
	crash_t values = {.process = attempt->process,
	    .sent_ms = attempt->sent_ms,
	    .crashed_ms = crashed_ms};

	for (size_t i = 0; i + 1 < attempt->facts->segment_count; i++)
		add_crash(guard, attempt->facts->segments[i].id, &values);
}

/* Drops the reported crashes of a process that was alive after them. */
static void
drop_crashes(crash_guard_t *guard, uint32_t process)
{
	int64_t alive_ms = process_liveness_alive_ms(guard->processes, process);
	segment_t *segment = TAILQ_FIRST(&guard->segments);

	while (segment != NULL) {
		segment_t *next = TAILQ_NEXT(segment, entries);
		crash_t *crash = find_crash(segment, process);

		if (crash != NULL && crash->crashed_ms <= alive_ms) {
			remove_crash(segment, crash);
			update_block(segment);
			if (segment->crash_count == 0)
				remove_segment(guard, segment);
		}
		segment = next;
	}
}

void
crash_guard_add_response(crash_guard_t *guard, uint32_t process, int64_t now_ms,
    int64_t confirmed_ms)
{
	if (process_liveness_add_response(
		guard->processes, process, now_ms, confirmed_ms))
		drop_crashes(guard, process);
}

static void
add_survival(crash_guard_t *guard, uint64_t id, int64_t began_ms)
{
	segment_t *segment = find_segment(guard, id);

	if (segment == NULL || began_ms <= segment->survived_ms)
		return;
	segment->survived_ms = began_ms;
	update_block(segment);
}

void
crash_guard_add_survival(
    crash_guard_t *guard, const request_facts_t *facts, int64_t began_ms)
{
	for (size_t i = 0; i + 1 < facts->segment_count; i++)
		add_survival(guard, facts->segments[i].id, began_ms);
}

static bool
prompt_has(const request_facts_t *facts, uint64_t id)
{
	for (size_t i = 0; i + 1 < facts->segment_count; i++)
		if (facts->segments[i].id == id)
			return true;
	return false;
}

/* True where a was in the prompt at every crash that counts against b. */
static bool
explains(const segment_t *a, const segment_t *b)
{
	const crash_t *crash, *same;

	TAILQ_FOREACH (crash, &b->crashes, entries) {
		if (crash->crashed_ms <= b->survived_ms)
			continue;
		same = find_crash(a, crash->process);
		if (same == NULL || same->crashed_ms <= a->survived_ms)
			return false;
	}
	return true;
}

/*
 * True where the segment is a reason to block the prompt. Of segments that were
 * in the same crashes one may be sound: only a prompt that has all of them is
 * blocked, until a prompt without some of them is served or crashes.
 */
static bool
is_reason(const crash_guard_t *guard, const segment_t *segment,
    const request_facts_t *facts, int64_t now_ms)
{
	const segment_t *other;

	TAILQ_FOREACH (other, &guard->segments, entries) {
		if (other == segment || other->blocked_until_ms <= now_ms ||
		    !explains(other, segment))
			continue;
		if (!explains(segment, other) || !prompt_has(facts, other->id))
			return false;
	}
	return true;
}

/* The reason by which the prompt's segment blocks it; NULL: it does not. */
static segment_t *
blocking_segment(const crash_guard_t *guard, const request_facts_t *facts,
    size_t index, int64_t now_ms)
{
	segment_t *segment = find_segment(guard, facts->segments[index].id);

	if (segment == NULL || segment->blocked_until_ms <= now_ms ||
	    !is_reason(guard, segment, facts, now_ms))
		return NULL;
	return segment;
}

int64_t
crash_guard_blocked_ms(
    const crash_guard_t *guard, const request_facts_t *facts, int64_t now_ms)
{
	int64_t blocked_ms = 0;

	for (size_t i = 0; i + 1 < facts->segment_count; i++) {
		const segment_t *segment =
		    blocking_segment(guard, facts, i, now_ms);

		if (segment != NULL)
			blocked_ms =
			    MAX(blocked_ms, segment->blocked_until_ms - now_ms);
	}
	return blocked_ms;
}

static bool
is_trial_due(const segment_t *segment, int64_t now_ms)
{
	const crash_t *newest = TAILQ_LAST(&segment->crashes, crash_list);

	return now_ms >= MAX(newest->crashed_ms, segment->tried_ms) +
			     segment->trial_delay_ms;
}

bool
crash_guard_take_trial(
    crash_guard_t *guard, const request_facts_t *facts, int64_t now_ms)
{
	segment_t *only = NULL;

	for (size_t i = 0; i + 1 < facts->segment_count; i++) {
		segment_t *segment = blocking_segment(guard, facts, i, now_ms);

		if (segment == NULL)
			continue;
		if (only != NULL)
			return false;
		only = segment;
	}
	if (only == NULL || !is_trial_due(only, now_ms))
		return false;
	only->tried_ms = now_ms;
	only->trial_delay_ms *= TRIAL_DELAY_FACTOR;
	log_event(LOG_LEVEL_INFO, "segment.trial",
	    "segment=%" G_GINT64_MODIFIER "x", only->id);
	return true;
}

unsigned
crash_guard_blocked_count(const crash_guard_t *guard, int64_t now_ms)
{
	const segment_t *segment;
	unsigned count = 0;

	TAILQ_FOREACH (segment, &guard->segments, entries)
		if (segment->blocked_until_ms > now_ms)
			count++;
	return count;
}

static bool
is_expired(const segment_t *segment, int64_t now_ms)
{
	const crash_t *newest = TAILQ_LAST(&segment->crashes, crash_list);

	if (segment->blocked_until_ms != 0)
		return segment->blocked_until_ms <= now_ms;
	return newest->crashed_ms + CRASH_MEMORY_MS <= now_ms;
}

void
crash_guard_sweep(crash_guard_t *guard, int64_t now_ms)
{
	segment_t *segment = TAILQ_FIRST(&guard->segments);

	while (segment != NULL) {
		segment_t *next = TAILQ_NEXT(segment, entries);

		if (is_expired(segment, now_ms))
			remove_segment(guard, segment);
		segment = next;
	}
	process_liveness_sweep(guard->processes, now_ms - BLOCK_MS);
}

static void
add_crashes_to_digest(const segment_t *segment, digest_t *digest)
{
	const crash_t *crash;

	TAILQ_FOREACH (crash, &segment->crashes, entries) {
		digest_crash_t item = {.segment = segment->id,
		    .process = crash->process,
		    .sent_ms = crash->sent_ms,
		    .crashed_ms = crash->crashed_ms};

		if (crash->crashed_ms > segment->survived_ms &&
		    digest->crashes->len < DIGEST_CRASHES_MAX)
			g_array_append_val(digest->crashes, item);
	}
}

static void
add_liveness_to_digest(uint32_t process, int64_t alive_ms, void *data)
{
	digest_t *digest = data;
	digest_liveness_t item = {.process = process, .alive_ms = alive_ms};

	if (digest->liveness->len < DIGEST_LIVENESS_MAX)
		g_array_append_val(digest->liveness, item);
}

void
crash_guard_add_to_digest(
    const crash_guard_t *guard, digest_t *digest, int64_t now_ms)
{
	const segment_t *segment;

	/* Blocked segments first: a peer that starts has to learn of them. */
	TAILQ_FOREACH (segment, &guard->segments, entries)
		if (segment->blocked_until_ms > now_ms)
			add_crashes_to_digest(segment, digest);
	TAILQ_FOREACH (segment, &guard->segments, entries) {
		digest_survival_t item = {
		    .segment = segment->id, .began_ms = segment->survived_ms};

		if (segment->blocked_until_ms == 0)
			add_crashes_to_digest(segment, digest);
		if (item.began_ms != 0 &&
		    digest->survivals->len < DIGEST_SURVIVALS_MAX)
			g_array_append_val(digest->survivals, item);
	}
	process_liveness_each(guard->processes, add_liveness_to_digest, digest);
}

static void
merge_liveness(crash_guard_t *guard, const GArray *liveness, int64_t now_ms)
{
	for (guint i = 0; i < liveness->len; i++) {
		const digest_liveness_t *item =
		    &g_array_index(liveness, digest_liveness_t, i);

		if (item->alive_ms <= now_ms + CLOCK_ERROR_MAX_MS &&
		    process_liveness_merge(
			guard->processes, item->process, item->alive_ms))
			drop_crashes(guard, item->process);
	}
}

void
crash_guard_merge_digest(
    crash_guard_t *guard, const digest_t *digest, int64_t now_ms)
{
	merge_liveness(guard, digest->liveness, now_ms);
	for (guint i = 0; i < digest->crashes->len; i++) {
		const digest_crash_t *item =
		    &g_array_index(digest->crashes, digest_crash_t, i);
		crash_t values = {.process = item->process,
		    .sent_ms = item->sent_ms,
		    .crashed_ms = item->crashed_ms};

		if (item->crashed_ms <= now_ms + CLOCK_ERROR_MAX_MS)
			add_crash(guard, item->segment, &values);
	}
	for (guint i = 0; i < digest->survivals->len; i++) {
		const digest_survival_t *item =
		    &g_array_index(digest->survivals, digest_survival_t, i);

		if (item->began_ms <= now_ms + CLOCK_ERROR_MAX_MS)
			add_survival(guard, item->segment, item->began_ms);
	}
}
