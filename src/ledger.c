#include "ledger.h"

#include "ledger_partition.h"

#include <string.h>
#include <xxhash.h>

enum {
	/*
	 * A key from the future prolongs the retention of its record by the
	 * difference; this limits it.
	 */
	KEY_AHEAD_MAX_MS = 5 * 60 * 1000,
	QUERYING_NODES_MAX = 64,
};

ledger_t *
ledger_new(const ledger_options_t *options)
{
	ledger_t *ledger = g_new0(ledger_t, 1);
	counters_t *counters = options->counters;

	ledger->options = *options;
	ledger->node = g_strdup(options->node);
	ledger->swap_window = SWAP_WINDOW_MAX;
	ledger->entries_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&ledger->actions);
	ledger->partitions =
	    g_new0(ledger_partition_t, options->partition_count);
	for (unsigned i = 0; i < options->partition_count; i++) {
		ledger->partitions[i].index = i;
		ledger->partitions[i].unconfirmed_revision = -1;
		TAILQ_INIT(&ledger->partitions[i].entries);
	}
	ledger->reads = counter_get(counters, "ledger_reads_total");
	ledger->swaps = counter_get(counters, "ledger_swaps_total");
	ledger->changes = counter_get(counters, "ledger_changes_total");
	ledger->conflicts = counter_get(counters, "ledger_conflicts_total");
	ledger->lost_responses =
	    counter_get(counters, "ledger_lost_answers_total");
	ledger->withdrawals = counter_get(counters, "ledger_withdrawn_total");
	ledger->unreadable_values =
	    counter_get(counters, "ledger_unreadable_total");
	return ledger;
}

static void
entry_free(ledger_entry_t *entry)
{
	g_free(entry->name);
	g_free(entry->service);
	g_free(entry->key);
	ledger_record_unref(entry->response);
	ledger_record_unref(entry->outcome);
	g_array_free(entry->waiters, TRUE);
	g_ptr_array_free(entry->querying_nodes, TRUE);
	g_free(entry);
}

void
ledger_free(ledger_t *ledger)
{
	ledger_action_t *action;
	ledger_entry_t *entry;

	if (ledger == NULL)
		return;
	while ((action = g_queue_pop_head(&ledger->actions)) != NULL) {
		ledger_action_clear(action);
		g_free(action);
	}
	for (unsigned i = 0; i < ledger->options.partition_count; i++) {
		ledger_partition_t *partition = &ledger->partitions[i];

		while ((entry = TAILQ_FIRST(&partition->entries)) != NULL) {
			TAILQ_REMOVE(&partition->entries, entry, entries);
			entry_free(entry);
		}
		ledger_value_free(partition->value);
		ledger_value_free(partition->next_value);
	}
	g_free(ledger->partitions);
	g_hash_table_destroy(ledger->entries_by_name);
	g_free(ledger->node);
	g_free(ledger);
}

bool
ledger_next_action(ledger_t *ledger, ledger_action_t *action)
{
	ledger_action_t *head = g_queue_pop_head(&ledger->actions);

	if (head == NULL)
		return false;
	*action = *head;
	g_free(head);
	return true;
}

void
ledger_action_clear(ledger_action_t *action)
{
	g_bytes_unref(action->value);
	ledger_record_unref(action->record);
	g_free(action->node);
}

ledger_action_t *
ledger_queue_action(ledger_t *ledger, ledger_action_kind_t kind)
{
	ledger_action_t *action = g_new0(ledger_action_t, 1);

	action->kind = kind;
	g_queue_push_tail(&ledger->actions, action);
	return action;
}

void
ledger_queue_refusal(ledger_t *ledger, uint64_t id, papaya_error_t error,
    const char *message, bool not_run)
{
	ledger_action_t *action = ledger_queue_action(ledger, LEDGER_REFUSE);

	action->id = id;
	action->error = error;
	action->message = message;
	action->not_run = not_run;
}

void
ledger_queue_reply(ledger_t *ledger, uint64_t id, ledger_record_t *record)
{
	ledger_action_t *action;

	if (record->state == LEDGER_UNKNOWN) {
		ledger_queue_refusal(ledger, id, PAPAYA_ERROR_OUTCOME_UNKNOWN,
		    "the request was sent and no response came back", false);
		return;
	}
	action = ledger_queue_action(ledger, LEDGER_REPLY);
	action->id = id;
	action->record = ledger_record_ref(record);
}

void
ledger_entry_refuse(ledger_t *ledger, ledger_entry_t *entry,
    papaya_error_t error, const char *message, bool not_run)
{
	for (guint i = 0; i < entry->waiters->len; i++)
		ledger_queue_refusal(ledger,
		    g_array_index(entry->waiters, ledger_waiter_t, i).id, error,
		    message, not_run);
	g_array_set_size(entry->waiters, 0);
}

void
ledger_entry_reply(
    ledger_t *ledger, ledger_entry_t *entry, ledger_record_t *record)
{
	for (guint i = 0; i < entry->waiters->len; i++)
		ledger_queue_reply(ledger,
		    g_array_index(entry->waiters, ledger_waiter_t, i).id,
		    record);
	g_array_set_size(entry->waiters, 0);
	entry->replied = true;
}

static void
notify_node(ledger_t *ledger, const char *node, const ledger_record_t *record,
    bool outcome_known)
{
	ledger_action_t *action =
	    ledger_queue_action(ledger, LEDGER_NOTIFY_NODE);

	action->node = g_strdup(node);
	action->record = ledger_record_new(record);
	action->outcome_known = outcome_known;
}

void
ledger_entry_notify_nodes(
    ledger_t *ledger, ledger_entry_t *entry, bool outcome_known)
{
	ledger_record_t record = {
	    .service = entry->service,
	    .key = entry->key,
	    .nonce = entry->nonce,
	};

	for (guint i = 0; i < entry->querying_nodes->len; i++)
		notify_node(ledger, entry->querying_nodes->pdata[i], &record,
		    outcome_known);
	g_ptr_array_set_size(entry->querying_nodes, 0);
}

void
ledger_entry_remove(ledger_t *ledger, ledger_partition_t *partition,
    ledger_entry_t *entry, bool outcome_known)
{
	ledger_entry_notify_nodes(ledger, entry, outcome_known);
	TAILQ_REMOVE(&partition->entries, entry, entries);
	g_hash_table_remove(ledger->entries_by_name, entry->name);
	entry_free(entry);
}

void
ledger_entry_abort(ledger_t *ledger, ledger_partition_t *partition,
    ledger_entry_t *entry, papaya_error_t error, const char *message)
{
	ledger_entry_refuse(ledger, entry, error, message, true);
	if (entry->start_may_be_stored)
		entry->state = LEDGER_ENTRY_WITHDRAWING;
	else
		ledger_entry_remove(ledger, partition, entry, false);
}

static bool
is_key_well_formed(const char *key)
{
	size_t length = strlen(key);

	if (length == 0 || length > LEDGER_KEY_MAX)
		return false;
	for (size_t i = 0; i < length; i++)
		if (key[i] <= ' ' || key[i] > '~')
			return false;
	return true;
}

bool
ledger_check_key(const char *key, bool only_uuidv7, int64_t retention_ms,
    int64_t now_ms, GError **error)
{
	int64_t key_time_ms;

	if (key == NULL || key[0] == '\0') {
		papaya_error_set(error, PAPAYA_ERROR_KEY_MISSING,
		    "the service is not repeatable and the request has no "
		    "Idempotency-Key");
		return false;
	}
	key_time_ms = ledger_key_time_ms(key);
	if (!is_key_well_formed(key) ||
	    (only_uuidv7 && key_time_ms == LEDGER_NO_KEY_TIME)) {
		papaya_error_set(error, PAPAYA_ERROR_KEY_MALFORMED,
		    "Idempotency-Key \"%.*s\" is not %s", LEDGER_KEY_MAX, key,
		    only_uuidv7 ? "a UUIDv7" : "1 to 128 visible characters");
		return false;
	}
	if (key_time_ms == LEDGER_NO_KEY_TIME)
		return true;
	if (key_time_ms > now_ms + KEY_AHEAD_MAX_MS) {
		papaya_error_set(error, PAPAYA_ERROR_KEY_MALFORMED,
		    "Idempotency-Key %s is a UUIDv7 of the future", key);
		return false;
	}
	if (key_time_ms + retention_ms <= now_ms) {
		papaya_error_set(error, PAPAYA_ERROR_KEY_EXPIRED,
		    "Idempotency-Key %s is older than the retention of "
		    "%" G_GINT64_FORMAT " s",
		    key, retention_ms / 1000);
		return false;
	}
	return true;
}

static ledger_partition_t *
partition_of(ledger_t *ledger, const char *name)
{
	uint64_t hash = XXH3_64bits(name, strlen(name));

	return &ledger->partitions[hash % ledger->options.partition_count];
}

static void
add_waiter(ledger_entry_t *entry, const ledger_request_t *request)
{
	ledger_waiter_t waiter = {
	    .id = request->id, .deadline_ms = request->deadline_ms};

	g_array_append_val(entry->waiters, waiter);
}

static int64_t
start_deadline(
    const ledger_t *ledger, const ledger_request_t *request, int64_t now_ms)
{
	return MIN(
	    request->deadline_ms, now_ms + ledger->options.start_timeout_ms);
}

/* Adds a request to the entry of its key, or replies at once. */
static void
join_entry(ledger_t *ledger, ledger_entry_t *entry,
    const ledger_request_t *request, int64_t now_ms)
{
	if (!ledger_id_equal(entry->hash, request->hash)) {
		ledger_queue_refusal(ledger, request->id,
		    PAPAYA_ERROR_KEY_REUSED,
		    "the idempotency key is in use for another request", true);
		return;
	}
	if (entry->state == LEDGER_ENTRY_FINISHING && entry->replied) {
		ledger_queue_reply(ledger, request->id, entry->response);
		return;
	}
	add_waiter(entry, request);
	if (entry->state == LEDGER_ENTRY_WITHDRAWING) {
		entry->next_nonce = request->nonce;
		entry->start_deadline_ms =
		    start_deadline(ledger, request, now_ms);
	}
}

/* Replies from the latest known value: an outcome in it is final. */
static bool
reply_from_value(ledger_t *ledger, const ledger_value_t *value,
    const char *name, const ledger_request_t *request)
{
	ledger_record_t *record;

	record = value != NULL ? ledger_value_find(value, name) : NULL;
	if (record == NULL || record->state == LEDGER_STARTED ||
	    !ledger_id_equal(record->hash, request->hash))
		return false;
	ledger_queue_reply(ledger, request->id, record);
	return true;
}

static ledger_entry_t *
entry_new(ledger_t *ledger, ledger_partition_t *partition, const char *name,
    const ledger_request_t *request, int64_t now_ms)
{
	ledger_entry_t *entry = g_new0(ledger_entry_t, 1);

	entry->state = LEDGER_ENTRY_STARTING;
	entry->name = g_strdup(name);
	entry->service = g_strdup(request->service);
	entry->key = g_strdup(request->key);
	entry->hash = request->hash;
	entry->nonce = request->nonce;
	entry->retention_ms = request->retention_ms;
	entry->start_deadline_ms = start_deadline(ledger, request, now_ms);
	entry->waiters = g_array_new(FALSE, FALSE, sizeof(ledger_waiter_t));
	entry->querying_nodes = g_ptr_array_new_with_free_func(g_free);
	TAILQ_INSERT_TAIL(&partition->entries, entry, entries);
	g_hash_table_insert(ledger->entries_by_name, entry->name, entry);
	return entry;
}

void
ledger_request(
    ledger_t *ledger, const ledger_request_t *request, int64_t now_ms)
{
	char *name = ledger_record_name(request->service, request->key);
	ledger_partition_t *partition = partition_of(ledger, name);
	ledger_entry_t *entry =
	    g_hash_table_lookup(ledger->entries_by_name, name);

	if (entry != NULL) {
		join_entry(ledger, entry, request, now_ms);
	} else if (reply_from_value(ledger, partition->value, name, request)) {
		g_free(name);
		return;
	} else if (ledger_entries(ledger) >= ledger->options.entries_max) {
		ledger_queue_refusal(ledger, request->id,
		    PAPAYA_ERROR_OVERLOADED,
		    "too many non-idempotent requests in progress", true);
	} else {
		entry = entry_new(ledger, partition, name, request, now_ms);
		add_waiter(entry, request);
	}
	g_free(name);
	ledger_partition_advance(ledger, partition, now_ms);
}

static void
set_outcome(ledger_entry_t *entry, const ledger_record_t *start_record,
    const ledger_outcome_t *outcome)
{
	ledger_record_t record = *start_record;

	record.state = outcome->end == LEDGER_END_RESPONDED ? LEDGER_RESPONDED
							    : LEDGER_UNKNOWN;
	record.content_type = (char *)"";
	record.body_location = LEDGER_BODY_OMITTED;
	if (record.state == LEDGER_RESPONDED) {
		record.status = outcome->status;
		record.content_type =
		    (char *)(outcome->content_type ? outcome->content_type
						   : "");
		record.body_location = LEDGER_BODY_INLINE;
		record.body = outcome->body;
	}
	entry->response = ledger_record_new(&record);
	if (record.state == LEDGER_RESPONDED)
		record.body_location = outcome->body_location;
	if (record.body_location != LEDGER_BODY_INLINE)
		record.body = NULL;
	entry->outcome = ledger_record_new(&record);
	entry->state = LEDGER_ENTRY_FINISHING;
}

void
ledger_finish(ledger_t *ledger, const ledger_record_t *start_record,
    const ledger_outcome_t *outcome, int64_t now_ms)
{
	char *name =
	    ledger_record_name(start_record->service, start_record->key);
	ledger_partition_t *partition = partition_of(ledger, name);
	ledger_entry_t *entry =
	    g_hash_table_lookup(ledger->entries_by_name, name);

	g_free(name);
	if (entry == NULL || entry->state != LEDGER_ENTRY_RUNNING ||
	    !ledger_id_equal(entry->nonce, start_record->nonce))
		return;
	if (outcome->end == LEDGER_END_NOT_SENT) {
		ledger_entry_abort(ledger, partition, entry,
		    PAPAYA_ERROR_NO_BACKEND,
		    "no backend server of the service could be reached");
	} else {
		set_outcome(entry, start_record, outcome);
		entry->reply_deadline_ms =
		    now_ms + ledger->options.reply_delay_max_ms;
	}
	ledger_partition_advance(ledger, partition, now_ms);
}

void
ledger_on_outcome_query(ledger_t *ledger, const char *querying_node,
    const char *service, const char *key, ledger_id_t nonce, int64_t now_ms)
{
	char *name = ledger_record_name(service, key);
	ledger_entry_t *entry =
	    g_hash_table_lookup(ledger->entries_by_name, name);
	ledger_record_t record = {
	    .service = (char *)service,
	    .key = (char *)key,
	    .nonce = nonce,
	};

	g_free(name);
	if (entry == NULL || entry->state == LEDGER_ENTRY_WAITING ||
	    !ledger_id_equal(entry->nonce, nonce))
		notify_node(ledger, querying_node, &record, false);
	else if (entry->querying_nodes->len < QUERYING_NODES_MAX &&
		 !g_ptr_array_find_with_equal_func(
		     entry->querying_nodes, querying_node, g_str_equal, NULL))
		g_ptr_array_add(entry->querying_nodes, g_strdup(querying_node));
}

void
ledger_on_outcome(ledger_t *ledger, const char *service, const char *key,
    ledger_id_t nonce, bool outcome_known, int64_t now_ms)
{
	char *name = ledger_record_name(service, key);
	ledger_partition_t *partition = partition_of(ledger, name);
	ledger_entry_t *entry =
	    g_hash_table_lookup(ledger->entries_by_name, name);

	g_free(name);
	if (entry == NULL || entry->state != LEDGER_ENTRY_WAITING ||
	    !ledger_id_equal(entry->other_nonce, nonce))
		return;
	/* The request is refused only if a read after this finds no outcome. */
	entry->outcome_lost = !outcome_known;
	partition->needs_read = true;
	ledger_partition_advance(ledger, partition, now_ms);
}

/* Refuses waiters whose deadline has passed. */
static void
refuse_expired_waiters(ledger_t *ledger, ledger_entry_t *entry, int64_t now_ms)
{
	guint i = 0;

	while (i < entry->waiters->len) {
		ledger_waiter_t waiter =
		    g_array_index(entry->waiters, ledger_waiter_t, i);

		if (now_ms < waiter.deadline_ms) {
			i++;
			continue;
		}
		ledger_queue_refusal(ledger, waiter.id,
		    PAPAYA_ERROR_OUTCOME_UNKNOWN,
		    "the request was started and has not ended in time", false);
		g_array_remove_index(entry->waiters, i);
	}
}

static void
tick_entry(ledger_t *ledger, ledger_partition_t *partition,
    ledger_entry_t *entry, int64_t now_ms)
{
	switch (entry->state) {
	case LEDGER_ENTRY_STARTING:
		if (now_ms >= entry->start_deadline_ms)
			ledger_entry_abort(ledger, partition, entry,
			    PAPAYA_ERROR_STORE_UNAVAILABLE,
			    "the start could not be committed in time");
		return;
	case LEDGER_ENTRY_RUNNING:
		refuse_expired_waiters(ledger, entry, now_ms);
		return;
	case LEDGER_ENTRY_WAITING:
		refuse_expired_waiters(ledger, entry, now_ms);
		if (entry->waiters->len == 0)
			ledger_entry_remove(ledger, partition, entry, false);
		return;
	case LEDGER_ENTRY_FINISHING:
		if (now_ms >= entry->reply_deadline_ms)
			ledger_entry_reply(ledger, entry, entry->response);
		return;
	case LEDGER_ENTRY_WITHDRAWING:
		if (now_ms >= entry->start_deadline_ms)
			ledger_entry_refuse(ledger, entry,
			    PAPAYA_ERROR_STORE_UNAVAILABLE,
			    "an earlier start could not be withdrawn in time",
			    true);
		return;
	}
}

void
ledger_tick(ledger_t *ledger, int64_t now_ms)
{
	ledger_entry_t *entry, *next_entry;

	for (unsigned i = 0; i < ledger->options.partition_count; i++) {
		ledger_partition_t *partition = &ledger->partitions[i];

		for (entry = TAILQ_FIRST(&partition->entries); entry != NULL;
		     entry = next_entry) {
			next_entry = TAILQ_NEXT(entry, entries);
			tick_entry(ledger, partition, entry, now_ms);
		}
	}
	ledger_advance_partitions(ledger, now_ms);
}

unsigned
ledger_entries(const ledger_t *ledger)
{
	return g_hash_table_size(ledger->entries_by_name);
}
