#include "ledger_partition.h"

#include <string.h>

enum {
	BACKOFF_MIN_MS = 10,
	BACKOFF_DOUBLINGS = 6,
	CONFLICT_JITTER_MS = 8,
	POLL_MIN_MS = 50,
	POLL_MAX_MS = 1000,
	BUSY_PAUSE_MIN_MS = 20,
	BUSY_JITTER_MS = 80,
	CONTENDED_SWAPS = 4, /* after a conflict, swaps with a read first */
	VALUE_FRESH_MS = 20, /* a younger value is not read before a swap */
};

/*
 * LEDGER_MUTANT compiles in a fault that fuzz/fuzz_ledger.c must detect:
 * 1: a request runs before the swap with its start record is confirmed;
 * 2: a request whose start record has no outcome runs again;
 * 3: a swap with a lost response counts as failed if a read does not find it.
 */
#ifndef LEDGER_MUTANT
#define LEDGER_MUTANT 0
#endif

/* True if no swap with a lost response can still change the value. */
static bool
is_value_final(const ledger_partition_t *partition)
{
	if (LEDGER_MUTANT == 3)
		return true;
	return partition->value->revision > partition->unconfirmed_revision;
}

static bool
is_own_record(const ledger_entry_t *entry, const ledger_record_t *record)
{
	return record != NULL && ledger_id_equal(entry->nonce, record->nonce);
}

/* The record of an entry's key; NULL if it is another start's and expired. */
static ledger_record_t *
find_record(const ledger_partition_t *partition, const ledger_entry_t *entry,
    int64_t now_ms)
{
	ledger_record_t *record =
	    ledger_value_find(partition->value, entry->name);

	if (record == NULL || is_own_record(entry, record))
		return record;
	return now_ms < record->expires_at_ms ? record : NULL;
}

static bool
is_key_expired(const ledger_partition_t *partition, const ledger_entry_t *entry,
    int64_t now_ms)
{
	int64_t key_time_ms = ledger_key_time_ms(entry->key);

	if (key_time_ms == LEDGER_NO_KEY_TIME)
		return false;
	return key_time_ms + entry->retention_ms <= now_ms ||
	       key_time_ms <=
		   ledger_value_floor(partition->value, entry->service);
}

static void
wait_for_other_start(ledger_partition_t *partition, ledger_entry_t *entry,
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
	partition->poll_interval_ms = POLL_MIN_MS;
	partition->poll_at_ms = now_ms + POLL_MIN_MS;
}

/* The key has the record of another start. */
static void
resolve_other_start(ledger_t *ledger, ledger_partition_t *partition,
    ledger_entry_t *entry, ledger_record_t *record, int64_t now_ms)
{
	ledger_action_t *action;

	if (!ledger_id_equal(entry->hash, record->hash)) {
		ledger_entry_refuse(ledger, entry, PAPAYA_ERROR_KEY_REUSED,
		    "the idempotency key was used for another request", true);
		ledger_entry_remove(ledger, partition, entry, false);
		return;
	}
	if (record->state != LEDGER_STARTED) {
		ledger_entry_reply(ledger, entry, record);
		ledger_entry_remove(ledger, partition, entry, true);
		return;
	}
	wait_for_other_start(partition, entry, record, now_ms);
	if (entry->outcome_lost) {
		ledger_entry_refuse(ledger, entry, PAPAYA_ERROR_OUTCOME_UNKNOWN,
		    "the request was started by a node that has stopped",
		    false);
		ledger_entry_remove(ledger, partition, entry, false);
		return;
	}
	if (entry->outcome_queried)
		return;
	entry->outcome_queried = true;
	if (strcmp(record->node, ledger->node) == 0) {
		/* This node started it before a restart: no node knows. */
		entry->outcome_lost = true;
		partition->needs_read = true;
		return;
	}
	action = ledger_queue_action(ledger, LEDGER_QUERY_OUTCOME);
	action->record = ledger_record_ref(record);
}

static void
start_run(ledger_t *ledger, ledger_entry_t *entry, ledger_record_t *record)
{
	ledger_action_t *action = ledger_queue_action(ledger, LEDGER_RUN);

	action->id = g_array_index(entry->waiters, ledger_waiter_t, 0).id;
	action->record = ledger_record_ref(record);
	entry->state = LEDGER_ENTRY_RUNNING;
}

static void
resolve_start(ledger_t *ledger, ledger_partition_t *partition,
    ledger_entry_t *entry, int64_t now_ms)
{
	ledger_record_t *record = find_record(partition, entry, now_ms);

	if (entry->start_may_be_stored && !is_value_final(partition))
		return;
	if (LEDGER_MUTANT == 2 && record != NULL &&
	    !is_own_record(entry, record) && record->state == LEDGER_STARTED)
		return;
	if (is_own_record(entry, record)) {
		if (now_ms >= entry->start_deadline_ms)
			ledger_entry_abort(ledger, partition, entry,
			    PAPAYA_ERROR_STORE_UNAVAILABLE,
			    "the start was committed too late to be used");
		else
			start_run(ledger, entry, record);
		return;
	}
	if (entry->state == LEDGER_ENTRY_STARTING)
		entry->start_may_be_stored = false;
	if (record != NULL) {
		resolve_other_start(ledger, partition, entry, record, now_ms);
		return;
	}
	if (is_key_expired(partition, entry, now_ms)) {
		ledger_entry_refuse(ledger, entry, PAPAYA_ERROR_KEY_EXPIRED,
		    "the idempotency key is older than its retention", true);
		ledger_entry_remove(ledger, partition, entry, false);
		return;
	}
	if (entry->state == LEDGER_ENTRY_WAITING) {
		entry->state = LEDGER_ENTRY_STARTING;
		entry->start_deadline_ms =
		    now_ms + ledger->options.start_timeout_ms;
	}
}

/*
 * The start record is not in the store and cannot get there any more. True if
 * the entry remains, to start the requests that arrived meanwhile.
 */
static bool
finish_withdrawal(
    ledger_t *ledger, ledger_partition_t *partition, ledger_entry_t *entry)
{
	(*ledger->withdrawals)++;
	if (entry->waiters->len == 0) {
		ledger_entry_remove(ledger, partition, entry, false);
		return false;
	}
	ledger_entry_notify_nodes(ledger, entry, false);
	entry->state = LEDGER_ENTRY_STARTING;
	entry->nonce = entry->next_nonce;
	entry->start_may_be_stored = false;
	return true;
}

/* Ends an entry, or changes its state, as the partition's value requires. */
static void
resolve_entry(ledger_t *ledger, ledger_partition_t *partition,
    ledger_entry_t *entry, int64_t now_ms)
{
	ledger_record_t *record = find_record(partition, entry, now_ms);

	switch (entry->state) {
	case LEDGER_ENTRY_STARTING:
	case LEDGER_ENTRY_WAITING:
		resolve_start(ledger, partition, entry, now_ms);
		return;
	case LEDGER_ENTRY_FINISHING:
		if (is_own_record(entry, record) &&
		    record->state == LEDGER_STARTED)
			return;
		ledger_entry_reply(ledger, entry, entry->response);
		ledger_entry_remove(ledger, partition, entry, true);
		return;
	case LEDGER_ENTRY_WITHDRAWING:
		if (!is_value_final(partition) || is_own_record(entry, record))
			return;
		if (finish_withdrawal(ledger, partition, entry))
			resolve_start(ledger, partition, entry, now_ms);
		return;
	case LEDGER_ENTRY_RUNNING:
		return;
	}
}

static ledger_record_t *
new_start_record(
    const ledger_t *ledger, const ledger_entry_t *entry, int64_t now_ms)
{
	int64_t key_time_ms = ledger_key_time_ms(entry->key);
	ledger_record_t record = {
	    .service = entry->service,
	    .key = entry->key,
	    .node = ledger->node,
	    .hash = entry->hash,
	    .nonce = entry->nonce,
	    .start_ms = now_ms,
	    .expires_at_ms = MAX(now_ms, key_time_ms) + entry->retention_ms,
	    .key_time_ms = key_time_ms,
	    .state = LEDGER_STARTED,
	    .content_type = (char *)"",
	    .body_location = LEDGER_BODY_OMITTED,
	};

	return ledger_record_new(&record);
}

/* Adds a start record to the next value. True if it was added. */
static bool
add_start(ledger_t *ledger, ledger_partition_t *partition,
    ledger_entry_t *entry, int64_t now_ms)
{
	ledger_record_t *record =
	    ledger_value_find(partition->next_value, entry->name);

	if (record != NULL && LEDGER_MUTANT != 2)
		return false;
	record = new_start_record(ledger, entry, now_ms);
	if (partition->next_value->size + ledger_record_size(record) >
	    ledger->options.start_value_size_max) {
		ledger_record_unref(record);
		ledger_entry_abort(ledger, partition, entry,
		    PAPAYA_ERROR_LEDGER_FULL,
		    "the ledger partition of this key is full");
		return false;
	}
	ledger_value_put(partition->next_value, record);
	entry->start_may_be_stored = true;
	return true;
}

/* Replaces a start record by the outcome, unless the record has expired. */
static void
add_outcome(const ledger_t *ledger, ledger_partition_t *partition,
    ledger_entry_t *entry)
{
	ledger_record_t *record =
	    ledger_value_find(partition->next_value, entry->name);
	ledger_record_t *outcome;
	size_t other_size;

	if (!is_own_record(entry, record))
		return;
	other_size = partition->next_value->size - ledger_record_size(record);
	outcome = ledger_record_new(entry->outcome);
	outcome->start_ms = record->start_ms;
	outcome->expires_at_ms = record->expires_at_ms;
	if (other_size + ledger_record_size(outcome) >
	    ledger->options.value_size_max) {
		/* Without them it is never larger than the start record. */
		g_clear_pointer(&outcome->body, g_bytes_unref);
		outcome->content_type[0] = '\0';
		outcome->body_location = LEDGER_BODY_OMITTED;
	}
	ledger_value_put(partition->next_value, outcome);
}

static void
add_withdrawal(ledger_partition_t *partition, const ledger_entry_t *entry)
{
	if (is_own_record(
		entry, ledger_value_find(partition->next_value, entry->name)))
		ledger_value_remove(partition->next_value, entry->name);
}

/* Builds the next value from the entries. Returns the number of changes. */
static unsigned
build_next_value(
    ledger_t *ledger, ledger_partition_t *partition, int64_t now_ms)
{
	bool value_final = is_value_final(partition);
	ledger_entry_t *entry, *next_entry;
	unsigned changes = 0;

	partition->next_value = ledger_value_copy(partition->value);
	ledger_value_expire(partition->next_value, now_ms);
	for (entry = TAILQ_FIRST(&partition->entries); entry != NULL;
	     entry = next_entry) {
		next_entry = TAILQ_NEXT(entry, entries);
		switch (entry->state) {
		case LEDGER_ENTRY_STARTING:
			/*
			 * The start may be in the store or not. A write decides
			 * that, even one that changes nothing.
			 */
			if (entry->start_may_be_stored && !value_final)
				changes++;
			if (add_start(ledger, partition, entry, now_ms))
				changes++;
			break;
		case LEDGER_ENTRY_FINISHING:
			/*
			 * resolve_entry() has ended the entry already if its
			 * start record is gone or has its outcome.
			 */
			add_outcome(ledger, partition, entry);
			changes++;
			break;
		case LEDGER_ENTRY_WITHDRAWING:
			add_withdrawal(partition, entry);
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
queue_read(ledger_t *ledger, ledger_partition_t *partition)
{
	ledger_action_t *action = ledger_queue_action(ledger, LEDGER_READ);

	action->partition_index = partition->index;
	partition->phase = LEDGER_PARTITION_READING;
	partition->needs_read = false;
	(*ledger->reads)++;
}

/* True if the partition may swap now; otherwise its swap is deferred. */
static bool
may_swap(ledger_t *ledger, const ledger_partition_t *partition, int64_t now_ms)
{
	bool swaps_limited = ledger->swap_window < SWAP_WINDOW_MAX;

	if (!swaps_limited ||
	    (now_ms >= ledger->swaps_paused_until_ms &&
		ledger->swaps_in_flight < ledger->swap_window &&
		(ledger->in_round_robin || !ledger->swap_deferred)))
		return true;
	if (ledger->in_round_robin && !ledger->swap_deferred)
		ledger->round_robin_start = partition->index;
	ledger->swap_deferred = true;
	return false;
}

void
ledger_advance_partitions(ledger_t *ledger, int64_t now_ms)
{
	unsigned start_index = ledger->round_robin_start;

	ledger->in_round_robin = true;
	ledger->swap_deferred = false;
	for (unsigned i = 0; i < ledger->options.partition_count; i++)
		ledger_partition_advance(ledger,
		    &ledger->partitions[(start_index + i) %
					ledger->options.partition_count],
		    now_ms);
	ledger->in_round_robin = false;
}

/* The store refused a swap as over its rate limit. */
static void
reduce_swap_rate(ledger_t *ledger, int64_t now_ms, uint64_t random)
{
	ledger->swap_window = 1;
	ledger->swaps_paused_until_ms =
	    now_ms + BUSY_PAUSE_MIN_MS + (int64_t)(random % BUSY_JITTER_MS);
}

static void
queue_swap(ledger_t *ledger, ledger_partition_t *partition, unsigned changes)
{
	ledger_action_t *action = ledger_queue_action(ledger, LEDGER_SWAP);

	action->partition_index = partition->index;
	action->expected_revision = partition->value->revision;
	action->value = ledger_value_encode(partition->next_value);
	partition->phase = LEDGER_PARTITION_SWAPPING;
	ledger->swaps_in_flight++;
	(*ledger->swaps)++;
	*ledger->changes += changes;
}

/* Requests a read at intervals while entries wait for another start. */
static void
poll_for_outcomes(ledger_partition_t *partition, int64_t now_ms)
{
	const ledger_entry_t *entry;

	TAILQ_FOREACH (entry, &partition->entries, entries)
		if (entry->state == LEDGER_ENTRY_WAITING)
			break;
	if (entry == NULL || now_ms < partition->poll_at_ms)
		return;
	partition->needs_read = true;
	partition->poll_interval_ms =
	    MIN(partition->poll_interval_ms * 2, POLL_MAX_MS);
	partition->poll_at_ms = now_ms + partition->poll_interval_ms;
}

static void
resolve_entries(ledger_t *ledger, ledger_partition_t *partition, int64_t now_ms)
{
	ledger_entry_t *entry, *next_entry;

	for (entry = TAILQ_FIRST(&partition->entries); entry != NULL;
	     entry = next_entry) {
		next_entry = TAILQ_NEXT(entry, entries);
		resolve_entry(ledger, partition, entry, now_ms);
	}
}

/* Entries that remain in these states after resolve_entry() need a write. */
static bool
needs_write(const ledger_partition_t *partition)
{
	const ledger_entry_t *entry;

	TAILQ_FOREACH (entry, &partition->entries, entries)
		if (entry->state == LEDGER_ENTRY_STARTING ||
		    entry->state == LEDGER_ENTRY_FINISHING ||
		    entry->state == LEDGER_ENTRY_WITHDRAWING)
			return true;
	return false;
}

void
ledger_partition_advance(
    ledger_t *ledger, ledger_partition_t *partition, int64_t now_ms)
{
	unsigned changes;

	if (partition->phase != LEDGER_PARTITION_IDLE ||
	    now_ms < partition->retry_at_ms || TAILQ_EMPTY(&partition->entries))
		return;
	poll_for_outcomes(partition, now_ms);
	if (!partition->needs_read && partition->value != NULL &&
	    partition->value->revision >= partition->revision_min)
		resolve_entries(ledger, partition, now_ms);
	if (TAILQ_EMPTY(&partition->entries))
		return;
	if (partition->needs_read || partition->value == NULL ||
	    partition->value->revision < partition->revision_min) {
		queue_read(ledger, partition);
		return;
	}
	if (!needs_write(partition) || !may_swap(ledger, partition, now_ms))
		return;
	if (partition->contended_swaps > 0 &&
	    now_ms >= partition->value_time_ms + VALUE_FRESH_MS) {
		queue_read(ledger, partition);
		return;
	}
	changes = build_next_value(ledger, partition, now_ms);
	if (changes > 0)
		queue_swap(ledger, partition, changes);
	else
		g_clear_pointer(&partition->next_value, ledger_value_free);
}

/* Sends known responses now: a failing store must not delay them. */
static void
reply_finished(ledger_t *ledger, ledger_partition_t *partition)
{
	ledger_entry_t *entry;

	TAILQ_FOREACH (entry, &partition->entries, entries)
		if (entry->state == LEDGER_ENTRY_FINISHING)
			ledger_entry_reply(ledger, entry, entry->response);
}

/* Delays the next store call exponentially, with jitter. */
static void
back_off(ledger_t *ledger, ledger_partition_t *partition, int64_t now_ms,
    uint64_t random)
{
	int64_t backoff_max_ms = (int64_t)BACKOFF_MIN_MS
				 << MIN(partition->failures, BACKOFF_DOUBLINGS);

	partition->failures++;
	partition->retry_at_ms =
	    now_ms + backoff_max_ms / 2 +
	    (int64_t)(random % (uint64_t)(backoff_max_ms / 2 + 1));
	reply_finished(ledger, partition);
}

/*
 * Stores a value that was read and owns it, or frees it if it is not newer.
 * False if the partition's value is still older than revision_min.
 */
static bool
update_value(ledger_partition_t *partition, ledger_value_t *value)
{
	if (partition->value != NULL &&
	    value->revision <= partition->value->revision) {
		if (partition->contended_swaps > 0)
			partition->contended_swaps--;
		ledger_value_free(value);
		return partition->value->revision >= partition->revision_min;
	}
	ledger_value_free(partition->value);
	partition->value = value;
	return value->revision >= partition->revision_min;
}

void
ledger_on_read(ledger_t *ledger, unsigned partition_index,
    store_status_t status, int64_t revision, const void *bytes, size_t length,
    int64_t now_ms, uint64_t random)
{
	ledger_partition_t *partition = &ledger->partitions[partition_index];
	ledger_value_t *value = NULL;

	partition->phase = LEDGER_PARTITION_IDLE;
	if (status == STORE_NOT_FOUND) {
		value = ledger_value_new();
	} else if (status == STORE_OK) {
		value = ledger_value_decode(bytes, length, revision, NULL);
		if (value == NULL)
			(*ledger->unreadable_values)++;
	}
	if (value == NULL) {
		partition->needs_read = true;
		back_off(ledger, partition, now_ms, random);
	} else if (!update_value(partition, value)) {
		back_off(ledger, partition, now_ms, random);
	} else {
		partition->failures = 0;
		partition->value_time_ms = now_ms;
	}
	ledger_partition_advance(ledger, partition, now_ms);
}

static void
on_swap_done(ledger_t *ledger, ledger_partition_t *partition, int64_t revision,
    int64_t now_ms)
{
	ledger_value_free(partition->value);
	partition->value = g_steal_pointer(&partition->next_value);
	partition->value->revision = revision;
	partition->failures = 0;
	partition->value_time_ms = now_ms;
	ledger->swap_window = MIN(ledger->swap_window + 1, SWAP_WINDOW_MAX);
}

static void
on_conflict(ledger_t *ledger, ledger_partition_t *partition, int64_t revision,
    int64_t now_ms, uint64_t random)
{
	(*ledger->conflicts)++;
	partition->contended_swaps = CONTENDED_SWAPS;
	partition->revision_min = MAX(partition->value->revision + 1, revision);
	partition->retry_at_ms =
	    now_ms + (int64_t)(random % CONFLICT_JITTER_MS);
}

void
ledger_on_swap(ledger_t *ledger, unsigned partition_index,
    store_status_t status, int64_t revision, int64_t now_ms, uint64_t random)
{
	ledger_partition_t *partition = &ledger->partitions[partition_index];

	partition->phase = LEDGER_PARTITION_IDLE;
	ledger->swaps_in_flight--;
	if (LEDGER_MUTANT == 1 && status == STORE_OUTCOME_UNKNOWN) {
		status = STORE_OK;
		revision = partition->value->revision + 1;
	}
	if (status == STORE_OK && revision <= partition->value->revision)
		status = STORE_OUTCOME_UNKNOWN;
	switch (status) {
	case STORE_OK:
		on_swap_done(ledger, partition, revision, now_ms);
		break;
	case STORE_CONFLICT:
		on_conflict(ledger, partition, revision, now_ms, random);
		break;
	case STORE_RATE_LIMITED:
		reduce_swap_rate(ledger, now_ms, random);
		reply_finished(ledger, partition);
		break;
	case STORE_NOT_SENT:
	case STORE_TOO_LARGE:
		back_off(ledger, partition, now_ms, random);
		break;
	default:
		(*ledger->lost_responses)++;
		partition->unconfirmed_revision = partition->value->revision;
		partition->needs_read = true;
		back_off(ledger, partition, now_ms, random);
	}
	g_clear_pointer(&partition->next_value, ledger_value_free);
	ledger_partition_advance(ledger, partition, now_ms);
	if (ledger->swap_deferred)
		ledger_advance_partitions(ledger, now_ms);
}
