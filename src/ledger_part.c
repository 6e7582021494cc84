#include "ledger_part.h"

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
part_settled(const part_t *part)
{
	if (LEDGER_MUTANT == 3)
		return true;
	return part->value->revision > part->unsure_revision;
}

static bool
is_own(const entry_t *entry, const ledger_record_t *record)
{
	return record != NULL && ledger_id_equal(entry->nonce, record->nonce);
}

/* The record that counts for an entry: another's past its time does not. */
static ledger_record_t *
find_record(const part_t *part, const entry_t *entry, int64_t now_ms)
{
	ledger_record_t *record = ledger_value_find(part->value, entry->name);

	if (record == NULL || is_own(entry, record))
		return record;
	return now_ms < record->drop_ms ? record : NULL;
}

static bool
is_key_expired(const part_t *part, const entry_t *entry, int64_t now_ms)
{
	int64_t key_ms = ledger_key_ms(entry->key);

	if (key_ms == LEDGER_NO_KEY_MS)
		return false;
	return key_ms + entry->retention_ms <= now_ms ||
	       key_ms <= ledger_value_floor(part->value, entry->service);
}

static void
wait_for_other(
    part_t *part, entry_t *entry, const ledger_record_t *record, int64_t now_ms)
{
	if (entry->state == ENTRY_WAIT &&
	    ledger_id_equal(entry->other, record->nonce))
		return;
	entry->state = ENTRY_WAIT;
	entry->exposed = false;
	entry->other = record->nonce;
	entry->asked = false;
	entry->lost = false;
	part->poll_interval_ms = POLL_FIRST_MS;
	part->poll_ms = now_ms + POLL_FIRST_MS;
}

/* Another start record holds the key. */
static void
resolve_other(ledger_t *ledger, part_t *part, entry_t *entry,
    ledger_record_t *record, int64_t now_ms)
{
	ledger_action_t *action;

	if (!ledger_id_equal(entry->hash, record->hash)) {
		entry_refuse(ledger, entry, PAPAYA_ERROR_KEY_REUSED,
		    "the idempotency key was used for another request", true);
		entry_end(ledger, part, entry, false);
		return;
	}
	if (record->state != LEDGER_STARTED) {
		entry_reply(ledger, entry, record);
		entry_end(ledger, part, entry, true);
		return;
	}
	wait_for_other(part, entry, record, now_ms);
	if (entry->lost) {
		entry_refuse(ledger, entry, PAPAYA_ERROR_OUTCOME_UNKNOWN,
		    "the request was started by a node that has stopped",
		    false);
		entry_end(ledger, part, entry, false);
		return;
	}
	if (entry->asked)
		return;
	entry->asked = true;
	if (strcmp(record->node, ledger->node) == 0) {
		/* Started by this node's former process. */
		entry->lost = true;
		part->want_read = true;
		return;
	}
	action = ledger_act(ledger, LEDGER_ASK);
	action->record = ledger_record_ref(record);
}

static void
run(ledger_t *ledger, entry_t *entry, ledger_record_t *record)
{
	ledger_action_t *action = ledger_act(ledger, LEDGER_RUN);

	action->id = g_array_index(entry->waiters, waiter_t, 0).id;
	action->record = ledger_record_ref(record);
	entry->state = ENTRY_RUNNING;
}

static void
resolve_start(ledger_t *ledger, part_t *part, entry_t *entry, int64_t now_ms)
{
	ledger_record_t *record = find_record(part, entry, now_ms);

	if (entry->exposed && !part_settled(part))
		return;
	if (LEDGER_MUTANT == 2 && record != NULL && !is_own(entry, record) &&
	    record->state == LEDGER_STARTED)
		return;
	if (is_own(entry, record)) {
		if (now_ms >= entry->start_until_ms)
			entry_give_up(ledger, part, entry,
			    PAPAYA_ERROR_STORE_UNAVAILABLE,
			    "the start was committed too late to be used");
		else
			run(ledger, entry, record);
		return;
	}
	if (entry->state == ENTRY_START)
		entry->exposed = false;
	if (record != NULL) {
		resolve_other(ledger, part, entry, record, now_ms);
		return;
	}
	if (is_key_expired(part, entry, now_ms)) {
		entry_refuse(ledger, entry, PAPAYA_ERROR_KEY_EXPIRED,
		    "the idempotency key is older than its retention", true);
		entry_end(ledger, part, entry, false);
		return;
	}
	if (entry->state == ENTRY_WAIT) {
		entry->state = ENTRY_START;
		entry->start_until_ms = now_ms + ledger->options.start_wait_ms;
	}
}

/* The start record is gone for good. True where the entry goes on. */
static bool
withdrawn(ledger_t *ledger, part_t *part, entry_t *entry)
{
	(*ledger->withdrawn)++;
	if (entry->waiters->len == 0) {
		entry_end(ledger, part, entry, false);
		return false;
	}
	entry_tell(ledger, entry, false);
	entry->state = ENTRY_START;
	entry->nonce = entry->next_nonce;
	entry->exposed = false;
	return true;
}

static void
resolve(ledger_t *ledger, part_t *part, entry_t *entry, int64_t now_ms)
{
	ledger_record_t *record = find_record(part, entry, now_ms);

	switch (entry->state) {
	case ENTRY_START:
	case ENTRY_WAIT:
		resolve_start(ledger, part, entry, now_ms);
		return;
	case ENTRY_FINISH:
		if (is_own(entry, record) && record->state == LEDGER_STARTED)
			return;
		entry_reply(ledger, entry, entry->answer);
		entry_end(ledger, part, entry, true);
		return;
	case ENTRY_WITHDRAW:
		if (!part_settled(part) || is_own(entry, record))
			return;
		if (withdrawn(ledger, part, entry))
			resolve_start(ledger, part, entry, now_ms);
		return;
	case ENTRY_RUNNING:
		return;
	}
}

static ledger_record_t *
start_record(const ledger_t *ledger, const entry_t *entry, int64_t now_ms)
{
	int64_t key_ms = ledger_key_ms(entry->key);
	ledger_record_t record = {
	    .service = entry->service,
	    .key = entry->key,
	    .node = ledger->node,
	    .hash = entry->hash,
	    .nonce = entry->nonce,
	    .start_ms = now_ms,
	    .drop_ms = MAX(now_ms, key_ms) + entry->retention_ms,
	    .key_ms = key_ms,
	    .state = LEDGER_STARTED,
	    .type = (char *)"",
	    .kept = LEDGER_KEPT_NOT,
	};

	return ledger_record_new(&record);
}

/* Adds a start record to the next value. True where it changes. */
static bool
add_start(ledger_t *ledger, part_t *part, entry_t *entry, int64_t now_ms)
{
	ledger_record_t *record = ledger_value_find(part->next, entry->name);

	if (record != NULL && LEDGER_MUTANT != 2)
		return false;
	record = start_record(ledger, entry, now_ms);
	if (part->next->size + ledger_record_size(record) >
	    ledger->options.start_max) {
		ledger_record_unref(record);
		entry_give_up(ledger, part, entry, PAPAYA_ERROR_LEDGER_FULL,
		    "the ledger partition of this key is full");
		return false;
	}
	ledger_value_put(part->next, record);
	entry->exposed = true;
	return true;
}

/* Replaces a start record by the outcome, unless it was just dropped. */
static void
add_outcome(const ledger_t *ledger, part_t *part, entry_t *entry)
{
	ledger_record_t *record = ledger_value_find(part->next, entry->name);
	ledger_record_t *outcome;
	size_t others;

	if (!is_own(entry, record))
		return;
	others = part->next->size - ledger_record_size(record);
	outcome = ledger_record_new(entry->outcome);
	outcome->start_ms = record->start_ms;
	outcome->drop_ms = record->drop_ms;
	if (others + ledger_record_size(outcome) > ledger->options.value_max) {
		/* Is never larger than the start record. */
		g_clear_pointer(&outcome->body, g_bytes_unref);
		outcome->type[0] = '\0';
		outcome->kept = LEDGER_KEPT_NOT;
	}
	ledger_value_put(part->next, outcome);
}

static void
add_withdrawal(part_t *part, const entry_t *entry)
{
	if (is_own(entry, ledger_value_find(part->next, entry->name)))
		ledger_value_remove(part->next, entry->name);
}

/* Brings the next value to what the entries want. Returns changes. */
static unsigned
build_next(ledger_t *ledger, part_t *part, int64_t now_ms)
{
	bool settled = part_settled(part);
	entry_t *entry, *following;
	unsigned changes = 0;

	part->next = ledger_value_copy(part->value);
	ledger_value_expire(part->next, now_ms);
	for (entry = TAILQ_FIRST(&part->entries); entry != NULL;
	     entry = following) {
		following = TAILQ_NEXT(entry, entries);
		switch (entry->state) {
		case ENTRY_START:
			/* A write settles it even without a change. */
			if (entry->exposed && !settled)
				changes++;
			if (add_start(ledger, part, entry, now_ms))
				changes++;
			break;
		case ENTRY_FINISH:
			/* Is over, by resolve(), once nothing is to change. */
			add_outcome(ledger, part, entry);
			changes++;
			break;
		case ENTRY_WITHDRAW:
			add_withdrawal(part, entry);
			changes++;
			break;
		case ENTRY_RUNNING:
		case ENTRY_WAIT:
			break;
		}
	}
	return changes;
}

static void
read_part(ledger_t *ledger, part_t *part)
{
	ledger_action_t *action = ledger_act(ledger, LEDGER_READ);

	action->partition = part->index;
	part->phase = PART_READING;
	part->want_read = false;
	(*ledger->reads)++;
}

/* True where the partition may write now; otherwise it waits for its turn. */
static bool
take_turn(ledger_t *ledger, const part_t *part, int64_t now_ms)
{
	bool limited = ledger->window < SWAP_WINDOW_MAX;

	if (!limited || (now_ms >= ledger->pause_until_ms &&
			    ledger->swaps_out < ledger->window &&
			    (ledger->in_turns || !ledger->turn_waits)))
		return true;
	if (ledger->in_turns && !ledger->turn_waits)
		ledger->turn = part->index;
	ledger->turn_waits = true;
	return false;
}

void
ledger_take_turns(ledger_t *ledger, int64_t now_ms)
{
	unsigned first = ledger->turn;

	ledger->in_turns = true;
	ledger->turn_waits = false;
	for (unsigned i = 0; i < ledger->options.partitions; i++)
		part_step(ledger,
		    &ledger->parts[(first + i) % ledger->options.partitions],
		    now_ms);
	ledger->in_turns = false;
}

/* The store refuses calls over its rate. */
static void
slow_down(ledger_t *ledger, int64_t now_ms, uint64_t random)
{
	ledger->window = 1;
	ledger->pause_until_ms =
	    now_ms + BUSY_PAUSE_MS + (int64_t)(random % BUSY_SPREAD_MS);
}

static void
swap_part(ledger_t *ledger, part_t *part, unsigned changes)
{
	ledger_action_t *action = ledger_act(ledger, LEDGER_SWAP);

	action->partition = part->index;
	action->expected = part->value->revision;
	action->value = ledger_value_encode(part->next);
	part->phase = PART_SWAPPING;
	ledger->swaps_out++;
	(*ledger->swaps)++;
	*ledger->changes += changes;
}

static void
poll_for_waits(part_t *part, int64_t now_ms)
{
	const entry_t *entry;

	TAILQ_FOREACH (entry, &part->entries, entries)
		if (entry->state == ENTRY_WAIT)
			break;
	if (entry == NULL || now_ms < part->poll_ms)
		return;
	part->want_read = true;
	part->poll_interval_ms = MIN(part->poll_interval_ms * 2, POLL_MAX_MS);
	part->poll_ms = now_ms + part->poll_interval_ms;
}

static void
resolve_all(ledger_t *ledger, part_t *part, int64_t now_ms)
{
	entry_t *entry, *following;

	for (entry = TAILQ_FIRST(&part->entries); entry != NULL;
	     entry = following) {
		following = TAILQ_NEXT(entry, entries);
		resolve(ledger, part, entry, now_ms);
	}
}

/* After resolve(), entries in these states are to be written. */
static bool
wants_write(const part_t *part)
{
	const entry_t *entry;

	TAILQ_FOREACH (entry, &part->entries, entries)
		if (entry->state == ENTRY_START ||
		    entry->state == ENTRY_FINISH ||
		    entry->state == ENTRY_WITHDRAW)
			return true;
	return false;
}

void
part_step(ledger_t *ledger, part_t *part, int64_t now_ms)
{
	unsigned changes;

	if (part->phase != PART_IDLE || now_ms < part->retry_ms ||
	    TAILQ_EMPTY(&part->entries))
		return;
	poll_for_waits(part, now_ms);
	if (!part->want_read && part->value != NULL &&
	    part->value->revision >= part->need_revision)
		resolve_all(ledger, part, now_ms);
	if (TAILQ_EMPTY(&part->entries))
		return;
	if (part->want_read || part->value == NULL ||
	    part->value->revision < part->need_revision) {
		read_part(ledger, part);
		return;
	}
	if (!wants_write(part) || !take_turn(ledger, part, now_ms))
		return;
	if (part->contended > 0 && now_ms >= part->read_ms + FRESH_MS) {
		read_part(ledger, part);
		return;
	}
	changes = build_next(ledger, part, now_ms);
	if (changes > 0)
		swap_part(ledger, part, changes);
	else
		g_clear_pointer(&part->next, ledger_value_free);
}

/* A failing store must not delay responses that are known already. */
static void
reply_finished(ledger_t *ledger, part_t *part)
{
	entry_t *entry;

	TAILQ_FOREACH (entry, &part->entries, entries)
		if (entry->state == ENTRY_FINISH)
			entry_reply(ledger, entry, entry->answer);
}

static void
back_off(ledger_t *ledger, part_t *part, int64_t now_ms, uint64_t random)
{
	int64_t most_ms = (int64_t)BACKOFF_FIRST_MS
			  << MIN(part->failures, BACKOFF_DOUBLINGS);

	part->failures++;
	part->retry_ms = now_ms + most_ms / 2 +
			 (int64_t)(random % (uint64_t)(most_ms / 2 + 1));
	reply_finished(ledger, part);
}

/* Takes over the value. False where it is older than one seen. */
static bool
adopt(part_t *part, ledger_value_t *value)
{
	if (part->value != NULL && value->revision <= part->value->revision) {
		if (part->contended > 0)
			part->contended--;
		ledger_value_free(value);
		return part->value->revision >= part->need_revision;
	}
	ledger_value_free(part->value);
	part->value = value;
	return value->revision >= part->need_revision;
}

void
ledger_read(ledger_t *ledger, unsigned partition, store_status_t status,
    int64_t revision, const void *bytes, size_t length, int64_t now_ms,
    uint64_t random)
{
	part_t *part = &ledger->parts[partition];
	ledger_value_t *value = NULL;

	part->phase = PART_IDLE;
	if (status == STORE_ABSENT) {
		value = ledger_value_new();
	} else if (status == STORE_OK) {
		value = ledger_value_decode(bytes, length, revision, NULL);
		if (value == NULL)
			(*ledger->unreadable)++;
	}
	if (value == NULL) {
		part->want_read = true;
		back_off(ledger, part, now_ms, random);
	} else if (!adopt(part, value)) {
		back_off(ledger, part, now_ms, random);
	} else {
		part->failures = 0;
		part->read_ms = now_ms;
	}
	part_step(ledger, part, now_ms);
}

static void
on_swapped(ledger_t *ledger, part_t *part, int64_t revision, int64_t now_ms)
{
	ledger_value_free(part->value);
	part->value = g_steal_pointer(&part->next);
	part->value->revision = revision;
	part->failures = 0;
	part->read_ms = now_ms;
	ledger->window = MIN(ledger->window + 1, SWAP_WINDOW_MAX);
}

static void
on_conflict(ledger_t *ledger, part_t *part, int64_t revision, int64_t now_ms,
    uint64_t random)
{
	(*ledger->conflicts)++;
	part->contended = CONTENDED_SWAPS;
	part->need_revision = MAX(part->value->revision + 1, revision);
	part->retry_ms = now_ms + (int64_t)(random % CONFLICT_SPREAD_MS);
}

void
ledger_swapped(ledger_t *ledger, unsigned partition, store_status_t status,
    int64_t revision, int64_t now_ms, uint64_t random)
{
	part_t *part = &ledger->parts[partition];

	part->phase = PART_IDLE;
	ledger->swaps_out--;
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
		(*ledger->lost)++;
		part->unsure_revision = part->value->revision;
		part->want_read = true;
		back_off(ledger, part, now_ms, random);
	}
	g_clear_pointer(&part->next, ledger_value_free);
	part_step(ledger, part, now_ms);
	if (ledger->turn_waits)
		ledger_take_turns(ledger, now_ms);
}
