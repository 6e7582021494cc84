#include "ledger_partition.h"

#include <string.h>

enum {
	BACKOFF_FIRST_MS = 10,
	BACKOFF_DOUBLINGS = 6,
	CONFLICT_SPREAD_MS = 8,
	POLL_FIRST_MS = 50,
	POLL_MAX_MS = 1000,
	BUSY_PAUSE_MS = 20,
	BUSY_SPREAD_MS = 80,
	CONTENDED_SWAPS = 4,
	FRESH_MS = 20, /* age of a value that is written without a read */
};

/*
 * LEDGER_MUTANT compiles a fault in, for the checks of the checks:
 * 1: a start is run before its swap is confirmed;
 * 2: a start record without an outcome is run again;
 * 3: a swap without an answer is taken as failed once it is read back absent.
 */
#ifndef LEDGER_MUTANT
#define LEDGER_MUTANT 0
#endif

static bool
part_settled(const ledger_partition_t *part)
{
	if (LEDGER_MUTANT == 3)
		return true;
	return part->value->revision > part->unconfirmed_revision;
}

static bool
is_own(const ledger_entry_t *entry, const ledger_record_t *record)
{
	return record != NULL && ledger_id_equal(entry->nonce, record->nonce);
}

/* The record that counts for an entry: another's past its time does not. */
static ledger_record_t *
find_record(
    const ledger_partition_t *part, const ledger_entry_t *entry, int64_t now_ms)
{
	ledger_record_t *record = ledger_value_find(part->value, entry->name);

	if (record == NULL || is_own(entry, record))
		return record;
	return now_ms < record->expires_at_ms ? record : NULL;
}

static bool
is_key_expired(
    const ledger_partition_t *part, const ledger_entry_t *entry, int64_t now_ms)
{
	int64_t key_ms = ledger_key_time_ms(entry->key);

	if (key_ms == LEDGER_NO_KEY_TIME)
		return false;
	return key_ms + entry->retention_ms <= now_ms ||
	       key_ms <= ledger_value_floor(part->value, entry->service);
}

static void
wait_for_other(ledger_partition_t *part, ledger_entry_t *entry,
    const ledger_record_t *record, int64_t now_ms)
{
	if (entry->state == LEDGER_ENTRY_WAITING &&
	    ledger_id_equal(entry->other_nonce, record->nonce))
		return;
	entry->state = LEDGER_ENTRY_WAITING;
	entry->start_may_be_stored = false;
	entry->other_nonce = record->nonce;
	entry->outcome_queried = false;
	entry->outcome_lost = false;
	part->poll_interval_ms = POLL_FIRST_MS;
	part->poll_at_ms = now_ms + POLL_FIRST_MS;
}

/* Another start record holds the key. */
static void
resolve_other(ledger_t *ledger, ledger_partition_t *part, ledger_entry_t *entry,
    ledger_record_t *record, int64_t now_ms)
{
	ledger_action_t *action;

	if (!ledger_id_equal(entry->hash, record->hash)) {
		ledger_entry_refuse(ledger, entry, PAPAYA_ERROR_KEY_REUSED,
		    "the idempotency key was used for another request", true);
		ledger_entry_remove(ledger, part, entry, false);
		return;
	}
	if (record->state != LEDGER_STARTED) {
		ledger_entry_reply(ledger, entry, record);
		ledger_entry_remove(ledger, part, entry, true);
		return;
	}
	wait_for_other(part, entry, record, now_ms);
	if (entry->outcome_lost) {
		ledger_entry_refuse(ledger, entry, PAPAYA_ERROR_OUTCOME_UNKNOWN,
		    "the request was started by a node that has stopped",
		    false);
		ledger_entry_remove(ledger, part, entry, false);
		return;
	}
	if (entry->outcome_queried)
		return;
	entry->outcome_queried = true;
	if (strcmp(record->node, ledger->node) == 0) {
		/* Started by this node's former process. */
		entry->outcome_lost = true;
		part->needs_read = true;
		return;
	}
	action = ledger_queue_action(ledger, LEDGER_QUERY_OUTCOME);
	action->record = ledger_record_ref(record);
}

static void
run(ledger_t *ledger, ledger_entry_t *entry, ledger_record_t *record)
{
	ledger_action_t *action = ledger_queue_action(ledger, LEDGER_RUN);

	action->id = g_array_index(entry->waiters, ledger_waiter_t, 0).id;
	action->record = ledger_record_ref(record);
	entry->state = LEDGER_ENTRY_RUNNING;
}

static void
resolve_start(ledger_t *ledger, ledger_partition_t *part, ledger_entry_t *entry,
    int64_t now_ms)
{
	ledger_record_t *record = find_record(part, entry, now_ms);

	if (entry->start_may_be_stored && !part_settled(part))
		return;
	if (LEDGER_MUTANT == 2 && record != NULL && !is_own(entry, record) &&
	    record->state == LEDGER_STARTED)
		return;
	if (is_own(entry, record)) {
		if (now_ms >= entry->start_deadline_ms)
			ledger_entry_abort(ledger, part, entry,
			    PAPAYA_ERROR_STORE_UNAVAILABLE,
			    "the start was committed too late to be used");
		else
			run(ledger, entry, record);
		return;
	}
	if (entry->state == LEDGER_ENTRY_STARTING)
		entry->start_may_be_stored = false;
	if (record != NULL) {
		resolve_other(ledger, part, entry, record, now_ms);
		return;
	}
	if (is_key_expired(part, entry, now_ms)) {
		ledger_entry_refuse(ledger, entry, PAPAYA_ERROR_KEY_EXPIRED,
		    "the idempotency key is older than its retention", true);
		ledger_entry_remove(ledger, part, entry, false);
		return;
	}
	if (entry->state == LEDGER_ENTRY_WAITING) {
		entry->state = LEDGER_ENTRY_STARTING;
		entry->start_deadline_ms =
		    now_ms + ledger->options.start_timeout_ms;
	}
}

/* The start record is gone for good. True where the entry goes on. */
static bool
withdrawn(ledger_t *ledger, ledger_partition_t *part, ledger_entry_t *entry)
{
	(*ledger->withdrawals)++;
	if (entry->waiters->len == 0) {
		ledger_entry_remove(ledger, part, entry, false);
		return false;
	}
	ledger_entry_notify_nodes(ledger, entry, false);
	entry->state = LEDGER_ENTRY_STARTING;
	entry->nonce = entry->next_nonce;
	entry->start_may_be_stored = false;
	return true;
}

static void
resolve(ledger_t *ledger, ledger_partition_t *part, ledger_entry_t *entry,
    int64_t now_ms)
{
	ledger_record_t *record = find_record(part, entry, now_ms);

	switch (entry->state) {
	case LEDGER_ENTRY_STARTING:
	case LEDGER_ENTRY_WAITING:
		resolve_start(ledger, part, entry, now_ms);
		return;
	case LEDGER_ENTRY_FINISHING:
		if (is_own(entry, record) && record->state == LEDGER_STARTED)
			return;
		ledger_entry_reply(ledger, entry, entry->response);
		ledger_entry_remove(ledger, part, entry, true);
		return;
	case LEDGER_ENTRY_WITHDRAWING:
		if (!part_settled(part) || is_own(entry, record))
			return;
		if (withdrawn(ledger, part, entry))
			resolve_start(ledger, part, entry, now_ms);
		return;
	case LEDGER_ENTRY_RUNNING:
		return;
	}
}

static ledger_record_t *
start_record(
    const ledger_t *ledger, const ledger_entry_t *entry, int64_t now_ms)
{
	int64_t key_ms = ledger_key_time_ms(entry->key);
	ledger_record_t record = {
	    .service = entry->service,
	    .key = entry->key,
	    .node = ledger->node,
	    .hash = entry->hash,
	    .nonce = entry->nonce,
	    .start_ms = now_ms,
	    .expires_at_ms = MAX(now_ms, key_ms) + entry->retention_ms,
	    .key_time_ms = key_ms,
	    .state = LEDGER_STARTED,
	    .content_type = (char *)"",
	    .body_location = LEDGER_BODY_OMITTED,
	};

	return ledger_record_new(&record);
}

/* Adds a start record to the next value. True where it changes. */
static bool
add_start(ledger_t *ledger, ledger_partition_t *part, ledger_entry_t *entry,
    int64_t now_ms)
{
	ledger_record_t *record =
	    ledger_value_find(part->next_value, entry->name);

	if (record != NULL && LEDGER_MUTANT != 2)
		return false;
	record = start_record(ledger, entry, now_ms);
	if (part->next_value->size + ledger_record_size(record) >
	    ledger->options.start_value_size_max) {
		ledger_record_unref(record);
		ledger_entry_abort(ledger, part, entry,
		    PAPAYA_ERROR_LEDGER_FULL,
		    "the ledger partition of this key is full");
		return false;
	}
	ledger_value_put(part->next_value, record);
	entry->start_may_be_stored = true;
	return true;
}

/* Replaces a start record by the outcome, unless it was just dropped. */
static void
add_outcome(
    const ledger_t *ledger, ledger_partition_t *part, ledger_entry_t *entry)
{
	ledger_record_t *record =
	    ledger_value_find(part->next_value, entry->name);
	ledger_record_t *outcome;
	size_t others;

	if (!is_own(entry, record))
		return;
	others = part->next_value->size - ledger_record_size(record);
	outcome = ledger_record_new(entry->outcome);
	outcome->start_ms = record->start_ms;
	outcome->expires_at_ms = record->expires_at_ms;
	if (others + ledger_record_size(outcome) >
	    ledger->options.value_size_max) {
		/* Is never larger than the start record. */
		g_clear_pointer(&outcome->body, g_bytes_unref);
		outcome->content_type[0] = '\0';
		outcome->body_location = LEDGER_BODY_OMITTED;
	}
	ledger_value_put(part->next_value, outcome);
}

static void
add_withdrawal(ledger_partition_t *part, const ledger_entry_t *entry)
{
	if (is_own(entry, ledger_value_find(part->next_value, entry->name)))
		ledger_value_remove(part->next_value, entry->name);
}

/* Brings the next value to what the entries want. Returns changes. */
static unsigned
build_next(ledger_t *ledger, ledger_partition_t *part, int64_t now_ms)
{
	bool settled = part_settled(part);
	ledger_entry_t *entry, *following;
	unsigned changes = 0;

	part->next_value = ledger_value_copy(part->value);
	ledger_value_expire(part->next_value, now_ms);
	for (entry = TAILQ_FIRST(&part->entries); entry != NULL;
	     entry = following) {
		following = TAILQ_NEXT(entry, entries);
		switch (entry->state) {
		case LEDGER_ENTRY_STARTING:
			/* A write settles it even without a change. */
			if (entry->start_may_be_stored && !settled)
				changes++;
			if (add_start(ledger, part, entry, now_ms))
				changes++;
			break;
		case LEDGER_ENTRY_FINISHING:
			/* Is over, by resolve(), once nothing is to change. */
			add_outcome(ledger, part, entry);
			changes++;
			break;
		case LEDGER_ENTRY_WITHDRAWING:
			add_withdrawal(part, entry);
			changes++;
			break;
		case LEDGER_ENTRY_RUNNING:
		case LEDGER_ENTRY_WAITING:
			break;
		}
	}
	return changes;
}

static void
read_part(ledger_t *ledger, ledger_partition_t *part)
{
	ledger_action_t *action = ledger_queue_action(ledger, LEDGER_READ);

	action->partition_index = part->index;
	part->phase = LEDGER_PARTITION_READING;
	part->needs_read = false;
	(*ledger->reads)++;
}

/* True where the partition may write now; otherwise it waits for its turn. */
static bool
take_turn(ledger_t *ledger, const ledger_partition_t *part, int64_t now_ms)
{
	bool limited = ledger->swap_window < SWAP_WINDOW_MAX;

	if (!limited || (now_ms >= ledger->swaps_paused_until_ms &&
			    ledger->swaps_in_flight < ledger->swap_window &&
			    (ledger->in_round_robin || !ledger->swap_deferred)))
		return true;
	if (ledger->in_round_robin && !ledger->swap_deferred)
		ledger->round_robin_start = part->index;
	ledger->swap_deferred = true;
	return false;
}

void
ledger_advance_partitions(ledger_t *ledger, int64_t now_ms)
{
	unsigned first = ledger->round_robin_start;

	ledger->in_round_robin = true;
	ledger->swap_deferred = false;
	for (unsigned i = 0; i < ledger->options.partition_count; i++)
		ledger_partition_advance(ledger,
		    &ledger->partitions[(first + i) %
					ledger->options.partition_count],
		    now_ms);
	ledger->in_round_robin = false;
}

/* The store refuses calls over its rate. */
static void
slow_down(ledger_t *ledger, int64_t now_ms, uint64_t random)
{
	ledger->swap_window = 1;
	ledger->swaps_paused_until_ms =
	    now_ms + BUSY_PAUSE_MS + (int64_t)(random % BUSY_SPREAD_MS);
}

static void
swap_part(ledger_t *ledger, ledger_partition_t *part, unsigned changes)
{
	ledger_action_t *action = ledger_queue_action(ledger, LEDGER_SWAP);

	action->partition_index = part->index;
	action->expected_revision = part->value->revision;
	action->value = ledger_value_encode(part->next_value);
	part->phase = LEDGER_PARTITION_SWAPPING;
	ledger->swaps_in_flight++;
	(*ledger->swaps)++;
	*ledger->changes += changes;
}

static void
poll_for_waits(ledger_partition_t *part, int64_t now_ms)
{
	const ledger_entry_t *entry;

	TAILQ_FOREACH (entry, &part->entries, entries)
		if (entry->state == LEDGER_ENTRY_WAITING)
			break;
	if (entry == NULL || now_ms < part->poll_at_ms)
		return;
	part->needs_read = true;
	part->poll_interval_ms = MIN(part->poll_interval_ms * 2, POLL_MAX_MS);
	part->poll_at_ms = now_ms + part->poll_interval_ms;
}

static void
resolve_all(ledger_t *ledger, ledger_partition_t *part, int64_t now_ms)
{
	ledger_entry_t *entry, *following;

	for (entry = TAILQ_FIRST(&part->entries); entry != NULL;
	     entry = following) {
		following = TAILQ_NEXT(entry, entries);
		resolve(ledger, part, entry, now_ms);
	}
}

/* After resolve(), entries in these states are to be written. */
static bool
wants_write(const ledger_partition_t *part)
{
	const ledger_entry_t *entry;

	TAILQ_FOREACH (entry, &part->entries, entries)
		if (entry->state == LEDGER_ENTRY_STARTING ||
		    entry->state == LEDGER_ENTRY_FINISHING ||
		    entry->state == LEDGER_ENTRY_WITHDRAWING)
			return true;
	return false;
}

void
ledger_partition_advance(
    ledger_t *ledger, ledger_partition_t *part, int64_t now_ms)
{
	unsigned changes;

	if (part->phase != LEDGER_PARTITION_IDLE ||
	    now_ms < part->retry_at_ms || TAILQ_EMPTY(&part->entries))
		return;
	poll_for_waits(part, now_ms);
	if (!part->needs_read && part->value != NULL &&
	    part->value->revision >= part->revision_min)
		resolve_all(ledger, part, now_ms);
	if (TAILQ_EMPTY(&part->entries))
		return;
	if (part->needs_read || part->value == NULL ||
	    part->value->revision < part->revision_min) {
		read_part(ledger, part);
		return;
	}
	if (!wants_write(part) || !take_turn(ledger, part, now_ms))
		return;
	if (part->contended_swaps > 0 &&
	    now_ms >= part->value_time_ms + FRESH_MS) {
		read_part(ledger, part);
		return;
	}
	changes = build_next(ledger, part, now_ms);
	if (changes > 0)
		swap_part(ledger, part, changes);
	else
		g_clear_pointer(&part->next_value, ledger_value_free);
}

/* A failing store must not delay responses that are known already. */
static void
reply_finished(ledger_t *ledger, ledger_partition_t *part)
{
	ledger_entry_t *entry;

	TAILQ_FOREACH (entry, &part->entries, entries)
		if (entry->state == LEDGER_ENTRY_FINISHING)
			ledger_entry_reply(ledger, entry, entry->response);
}

static void
back_off(
    ledger_t *ledger, ledger_partition_t *part, int64_t now_ms, uint64_t random)
{
	int64_t most_ms = (int64_t)BACKOFF_FIRST_MS
			  << MIN(part->failures, BACKOFF_DOUBLINGS);

	part->failures++;
	part->retry_at_ms = now_ms + most_ms / 2 +
			    (int64_t)(random % (uint64_t)(most_ms / 2 + 1));
	reply_finished(ledger, part);
}

/* Takes over the value. False where it is older than one seen. */
static bool
adopt(ledger_partition_t *part, ledger_value_t *value)
{
	if (part->value != NULL && value->revision <= part->value->revision) {
		if (part->contended_swaps > 0)
			part->contended_swaps--;
		ledger_value_free(value);
		return part->value->revision >= part->revision_min;
	}
	ledger_value_free(part->value);
	part->value = value;
	return value->revision >= part->revision_min;
}

void
ledger_on_read(ledger_t *ledger, unsigned partition, store_status_t status,
    int64_t revision, const void *bytes, size_t length, int64_t now_ms,
    uint64_t random)
{
	ledger_partition_t *part = &ledger->partitions[partition];
	ledger_value_t *value = NULL;

	part->phase = LEDGER_PARTITION_IDLE;
	if (status == STORE_ABSENT) {
		value = ledger_value_new();
	} else if (status == STORE_OK) {
		value = ledger_value_decode(bytes, length, revision, NULL);
		if (value == NULL)
			(*ledger->unreadable_values)++;
	}
	if (value == NULL) {
		part->needs_read = true;
		back_off(ledger, part, now_ms, random);
	} else if (!adopt(part, value)) {
		back_off(ledger, part, now_ms, random);
	} else {
		part->failures = 0;
		part->value_time_ms = now_ms;
	}
	ledger_partition_advance(ledger, part, now_ms);
}

static void
on_swapped(ledger_t *ledger, ledger_partition_t *part, int64_t revision,
    int64_t now_ms)
{
	ledger_value_free(part->value);
	part->value = g_steal_pointer(&part->next_value);
	part->value->revision = revision;
	part->failures = 0;
	part->value_time_ms = now_ms;
	ledger->swap_window = MIN(ledger->swap_window + 1, SWAP_WINDOW_MAX);
}

static void
on_conflict(ledger_t *ledger, ledger_partition_t *part, int64_t revision,
    int64_t now_ms, uint64_t random)
{
	(*ledger->conflicts)++;
	part->contended_swaps = CONTENDED_SWAPS;
	part->revision_min = MAX(part->value->revision + 1, revision);
	part->retry_at_ms = now_ms + (int64_t)(random % CONFLICT_SPREAD_MS);
}

void
ledger_on_swap(ledger_t *ledger, unsigned partition, store_status_t status,
    int64_t revision, int64_t now_ms, uint64_t random)
{
	ledger_partition_t *part = &ledger->partitions[partition];

	part->phase = LEDGER_PARTITION_IDLE;
	ledger->swaps_in_flight--;
	if (LEDGER_MUTANT == 1 && status == STORE_UNKNOWN) {
		status = STORE_OK;
		revision = part->value->revision + 1;
	}
	if (status == STORE_OK && revision <= part->value->revision)
		status = STORE_UNKNOWN;
	switch (status) {
	case STORE_OK:
		on_swapped(ledger, part, revision, now_ms);
		break;
	case STORE_CONFLICT:
		on_conflict(ledger, part, revision, now_ms, random);
		break;
	case STORE_BUSY:
		slow_down(ledger, now_ms, random);
		reply_finished(ledger, part);
		break;
	case STORE_NOT_SENT:
	case STORE_TOO_LARGE:
		back_off(ledger, part, now_ms, random);
		break;
	default:
		(*ledger->lost_responses)++;
		part->unconfirmed_revision = part->value->revision;
		part->needs_read = true;
		back_off(ledger, part, now_ms, random);
	}
	g_clear_pointer(&part->next_value, ledger_value_free);
	ledger_partition_advance(ledger, part, now_ms);
	if (ledger->swap_deferred)
		ledger_advance_partitions(ledger, now_ms);
}
