#include "node_move.h"

#include "clock.h"
#include "json.h"
#include "log.h"
#include "member.h"

#include <string.h>

enum {
	TICK_MS = 100,
	/* Mean intervals between listings; peers push changes sooner. */
	LIST_INTERVAL_WATCHER_MS = 15000,
	LIST_INTERVAL_OTHER_MS = 60000,
	LIST_RETRY_MS = 1000,
	/* Between requests to peers, until the first listing succeeds. */
	RECORDS_REQUEST_INTERVAL_MS = 1000,
	EVIDENCE_INTERVAL_BASE_MS = 500,
	EVIDENCE_INTERVAL_PER_NODE_MS = 175,
	WATCH_TIMEOUT_MS = 20000,
	ACTIONS_MAX = 8, /* per move and call of node_move_execute_actions() */
};

char *
move_declaration_key(const char *service)
{
	return g_strconcat("move/", service, NULL);
}

char *
move_state_key(const char *service, const char *id)
{
	return g_strconcat("move/", service, "/", id, NULL);
}

move_op_t *
move_op_new(node_t *node, const char *service, const char *id)
{
	move_op_t *op = g_new0(move_op_t, 1);

	op->node = node;
	op->service = g_strdup(service);
	op->id = g_strdup(id);
	LIST_INSERT_HEAD(&node->moves->ops, op, entries);
	return op;
}

void
move_op_end(move_op_t *op)
{
	LIST_REMOVE(op, entries);
	if (op->request != NULL)
		http_request_unref(op->request);
	move_start_free(op->start);
	g_free(op->service);
	g_free(op->id);
	g_free(op);
}

static void
service_move_free(void *data)
{
	service_move_t *entry = data;

	move_free(entry->move);
	g_free(entry);
}

service_move_t *
node_move_find(node_t *node, const char *service)
{
	return g_hash_table_lookup(node->moves->services, service);
}

/* Entry of the operation's service; NULL if a newer move replaced its move. */
static service_move_t *
op_entry(const move_op_t *op)
{
	service_move_t *entry = node_move_find(op->node, op->service);

	if (entry == NULL || strcmp(move_record(entry->move)->id, op->id) != 0)
		return NULL;
	return entry;
}

static move_record_t *
parse_record(node_t *node, const char *text, size_t length)
{
	json_t *json = json_parse(text, length, "move", NULL);
	move_record_t *record = move_record_parse(json, NULL);

	json_decref(json);
	if (record == NULL)
		counter_add(node->counters, 1, "moves_malformed_total");
	return record;
}

move_record_t *
move_result_record(node_t *node, const store_result_t *result)
{
	if (result->status != STORE_OK || result->value == NULL)
		return NULL;
	return parse_record(node, result->value, result->value_length);
}

bool
move_result_failed(const store_result_t *result)
{
	return result->status != STORE_OK && result->status != STORE_NOT_FOUND;
}

move_write_result_t
move_result_write(const store_result_t *result)
{
	switch (result->status) {
	case STORE_OK:
		return MOVE_WRITE_DONE;
	case STORE_NOT_FOUND: /* the lease has expired */
	case STORE_CONFLICT:
	case STORE_UNCHANGED:
		return MOVE_WRITE_CONFLICT;
	case STORE_TOO_LARGE:
	case STORE_RATE_LIMITED:
	case STORE_NOT_SENT:
		return MOVE_WRITE_NOT_WRITTEN;
	case STORE_OUTCOME_UNKNOWN:
		break;
	}
	return MOVE_WRITE_UNKNOWN;
}

void
node_move_write(node_t *node, const char *key, const move_record_t *record,
    int64_t expected_revision, const char *lease, store_callback_t on_complete,
    void *data)
{
	json_t *json = move_record_to_json(record);
	char *text = json_text(json);

	counter_add(node->counters, 1, "moves_store_writes_total");
	store_compare_and_swap(node->store, key, expected_revision, text,
	    strlen(text), lease, on_complete, data);
	g_free(text);
	json_decref(json);
}

void
node_move_send_state(
    node_t *node, const char *to, const char *service, json_t *json)
{
	message_t message = {.type = MESSAGE_MOVE_STATE};

	message.move_state.service = g_strdup(service);
	message.move_state.record = json_text(json);
	if (to != NULL)
		node_peers_send(node, to, &message);
	else
		node_peers_broadcast(node, &message);
	message_clear(&message);
	json_decref(json);
}

void
node_move_send_record(
    node_t *node, const char *to, const move_t *move, int64_t revision)
{
	const move_record_t *record = move_record(move);

	node_move_send_state(node, to, record->service,
	    json_pack("{s:o, s:I}", "record", move_record_to_json(record),
		"revision", (json_int_t)revision));
}

static void
log_change(node_t *node, const move_record_t *record)
{
	log_event(LOG_LEVEL_INFO, "move.changed",
	    "node=%s service=%s move=%s from=%s to=%s state=%s stage=%u "
	    "reason=\"%s\"",
	    node->config->name, record->service, record->id, record->from,
	    record->to, move_state_name(record->state), record->stage,
	    record->reason);
	counter_add(node->counters, 1, "moves_changes_total{state=\"%s\"}",
	    move_state_name(record->state));
}

static void
add_move(node_t *node, const move_record_t *record, int64_t revision)
{
	service_move_t *entry = g_new0(service_move_t, 1);

	entry->move = move_new(record);
	move_merge_record(entry->move, record, revision);
	g_hash_table_replace(
	    node->moves->services, g_strdup(record->service), entry);
}

void
node_move_merge_record(
    node_t *node, const move_record_t *record, int64_t revision)
{
	service_move_t *entry = node_move_find(node, record->service);

	if (entry != NULL &&
	    strcmp(move_record(entry->move)->id, record->id) == 0) {
		if (!move_merge_record(entry->move, record, revision))
			return;
	} else if (entry != NULL &&
		   move_record_compare(record, move_record(entry->move)) < 0) {
		return;
	} else {
		add_move(node, record, revision);
		entry = node_move_find(node, record->service);
	}
	log_change(node, record);
	node_move_send_record(node, NULL, entry->move, revision);
}

/* State keys are move/TEAM/NAME/ID; declaration keys have no ID. */
static bool
is_state_key(const char *key)
{
	unsigned slashes = 0;

	for (; *key != '\0'; key++)
		slashes += *key == '/';
	return slashes > 2;
}

void
node_move_merge_list(node_t *node, const store_result_t *result)
{
	const json_t *item;
	size_t i;

	json_array_foreach (result->entries, i, item) {
		const char *key = json_get_string(item, "key", "");
		const char *value = json_get_string(item, "value", "");
		move_record_t *record =
		    parse_record(node, value, strlen(value));

		if (record == NULL)
			continue;
		node_move_merge_record(node, record,
		    is_state_key(key) ? json_get_int(item, "revision", 0) : 0);
		move_record_free(record);
	}
}

static void
on_moves_listed(const store_result_t *result, void *data)
{
	move_op_t *op = data;
	node_t *node = op->node;

	if (result->status == STORE_OK) {
		node->moves->teams_loaded++;
		node_move_merge_list(node, result);
	} else {
		node->moves->next_list_ms = MIN(
		    node->moves->next_list_ms, clock_mono_ms() + LIST_RETRY_MS);
	}
	move_op_end(op);
}

/* Lists all moves of the node's teams, to find those not yet known here. */
static void
list_moves(node_t *node, int64_t now_ms)
{
	char **teams = node->config->teams;
	int64_t interval_ms = LIST_INTERVAL_OTHER_MS;

	for (char **team = teams; *team != NULL; team++) {
		char *prefix = g_strconcat("move/", *team, "/", NULL);

		if (node_peers_watches_store(node, *team))
			interval_ms = LIST_INTERVAL_WATCHER_MS;
		store_list_keys(node->store, prefix, on_moves_listed,
		    move_op_new(node, "", ""));
		g_free(prefix);
	}
	node->moves->next_list_ms =
	    now_ms + interval_ms / 2 +
	    (int64_t)(node_random(node) % (uint64_t)interval_ms);
}

static void
on_state_read(const store_result_t *result, void *data)
{
	move_op_t *op = data;
	node_t *node = op->node;
	service_move_t *entry = op_entry(op);
	move_record_t *record = move_result_record(node, result);

	if (record != NULL)
		node_move_merge_record(node, record, result->revision);
	if (entry != NULL)
		move_read_done(entry->move, record, result->revision,
		    move_result_failed(result) ||
			(result->status == STORE_OK && record == NULL),
		    clock_wall_ms(), node_unique(node));
	move_record_free(record);
	move_op_end(op);
}

static void
on_state_written(const store_result_t *result, void *data)
{
	move_op_t *op = data;
	node_t *node = op->node;
	service_move_t *entry = op_entry(op);
	const move_record_t *record;
	move_state_t old_state;
	unsigned old_stage;

	if (entry != NULL) {
		record = move_record(entry->move);
		old_state = record->state;
		old_stage = record->stage;
		move_swap_done(entry->move, move_result_write(result),
		    result->revision, clock_wall_ms(), node_unique(node));
		record = move_record(entry->move);
		if (record->state != old_state || record->stage != old_stage) {
			log_change(node, record);
			node_move_send_record(
			    node, NULL, entry->move, result->revision);
		}
	}
	move_op_end(op);
}

static void
broadcast_stop(node_t *node, const move_action_t *action)
{
	message_t message = {.type = MESSAGE_MOVE_STOP};

	message.move_stop.service = g_strdup(action->record->service);
	message.move_stop.move_id = g_strdup(action->record->id);
	message.move_stop.reason = g_strdup(action->reason);
	node_peers_broadcast(node, &message);
	message_clear(&message);
	counter_add(node->counters, 1, "moves_stopped_total");
	log_event(LOG_LEVEL_WARN, "move.stopped",
	    "node=%s service=%s move=%s version=%s reason=\"%s\"",
	    node->config->name, action->record->service, action->record->id,
	    action->record->to, action->reason);
}

static void
execute_action(node_t *node, const move_action_t *action)
{
	const move_record_t *record = action->record;
	char *key;

	switch (action->type) {
	case MOVE_ACTION_BROADCAST_STOP:
		broadcast_stop(node, action);
		return;
	case MOVE_ACTION_SWAP:
		key = move_state_key(record->service, record->id);
		node_move_write(node, key, record, action->expected_revision,
		    action->lease, on_state_written,
		    move_op_new(node, record->service, record->id));
		g_free(key);
		return;
	case MOVE_ACTION_READ:
	case MOVE_ACTION_NONE:
		return;
	}
}

static char *
service_team(const char *service)
{
	const char *slash = strchr(service, '/');

	return slash != NULL ? g_strndup(service, (gsize)(slash - service))
			     : g_strdup(service);
}

static bool
is_writer(node_t *node, const char *service)
{
	char *team = service_team(service);
	bool writer = node_peers_watches_store(node, team);

	g_free(team);
	return writer;
}

static void
read_state(node_t *node, const move_record_t *record)
{
	char *key = move_state_key(record->service, record->id);

	counter_add(node->counters, 1, "moves_store_reads_total");
	store_get(node->store, key, on_state_read,
	    move_op_new(node, record->service, record->id));
	g_free(key);
}

void
node_move_execute_actions(node_t *node, service_move_t *entry)
{
	move_t *move = entry->move;

	for (int i = 0; i < ACTIONS_MAX; i++) {
		move_action_t action = move_step(
		    move, entry->writer, clock_wall_ms(), node_unique(node));

		if (action.type == MOVE_ACTION_NONE)
			return;
		if (action.type == MOVE_ACTION_READ)
			read_state(node, move_record(move));
		else
			execute_action(node, &action);
	}
}

static void
on_state_watched(const store_result_t *result, void *data)
{
	move_op_t *op = data;
	service_move_t *entry = op_entry(op);
	move_record_t *record = move_result_record(op->node, result);

	if (entry != NULL)
		entry->watch_pending = false;
	if (record != NULL)
		node_move_merge_record(op->node, record, result->revision);
	else if (entry != NULL && result->status == STORE_NOT_FOUND)
		move_read_done(entry->move, NULL, 0, false, clock_wall_ms(),
		    node_unique(op->node));
	move_record_free(record);
	move_op_end(op);
}

static void
watch_state(node_t *node, service_move_t *entry)
{
	const move_record_t *record = move_record(entry->move);
	int64_t revision = move_state_revision(entry->move);
	char *key;

	if (entry->watch_pending || move_recorded(entry->move) || revision == 0)
		return;
	key = move_state_key(record->service, record->id);
	entry->watch_pending = true;
	store_watch_key(node->store, key, revision, WATCH_TIMEOUT_MS,
	    on_state_watched, move_op_new(node, record->service, record->id));
	g_free(key);
}

static void
count_node(const char *name, const char *http_address, void *data)
{
	++*(unsigned *)data;
}

/*
 * Minimum interval between evidence messages of all moves together. A message
 * has about 700 bytes and goes to up to MEMBER_FULL_MESH_MAX nodes; the
 * interval keeps the traffic that a node sends below 4 KB/s.
 */
static int64_t
evidence_interval_ms(node_t *node)
{
	unsigned nodes = 0;

	node_peers_each(node, count_node, &nodes);
	return EVIDENCE_INTERVAL_BASE_MS +
	       EVIDENCE_INTERVAL_PER_NODE_MS * MIN(nodes, MEMBER_FULL_MESH_MAX);
}

static bool
has_evidence(const service_move_t *entry)
{
	const move_record_t *record = move_record(entry->move);

	return record->state == MOVE_RUNNING && record->lease[0] != '\0' &&
	       move_own_attempts(entry->move) != entry->attempts_sent &&
	       move_outcome(entry->move, clock_wall_ms()) == MOVE_RUNNING;
}

static void
send_evidence(node_t *node, service_move_t *entry, int64_t now_ms)
{
	const move_record_t *record = move_record(entry->move);

	entry->attempts_sent = move_own_attempts(entry->move);
	entry->evidence_sent_ms = now_ms;
	node->moves->next_evidence_ms = now_ms + evidence_interval_ms(node);
	node_move_send_state(node, NULL, record->service,
	    json_pack("{s:s, s:s, s:o}", "id", record->id, "node",
		node->config->name, "evidence",
		move_own_evidence_to_json(entry->move)));
}

const service_t *
node_move_service_settings(node_t *node, const char *name, int64_t *revision)
{
	settings_tree_t *tree = NULL;
	const service_t *service =
	    settings_service(node->settings, name, &tree);

	*revision = tree != NULL ? tree->revision : 0;
	return service;
}

static void
supersede_if_settings_changed(node_t *node, move_t *move)
{
	const move_record_t *record = move_record(move);
	int64_t revision;
	const service_t *service =
	    node_move_service_settings(node, record->service, &revision);

	if (service != NULL &&
	    move_record_superseded(record, service->current, revision))
		move_supersede(move);
}

static void
on_tick(uv_timer_t *timer)
{
	node_t *node = timer->data;
	node_moves_t *moves = node->moves;
	service_move_t *next_evidence = NULL; /* evidence sent least recently */
	int64_t now_ms = clock_mono_ms();
	GHashTableIter iter;
	gpointer name, value;

	if (now_ms >= moves->next_list_ms)
		list_moves(node, now_ms);
	if (moves->teams_loaded == 0 &&
	    now_ms >= moves->next_records_request_ms) {
		moves->next_records_request_ms =
		    now_ms + RECORDS_REQUEST_INTERVAL_MS;
		node_move_send_state(
		    node, NULL, "", json_pack("{s:b}", "want", 1));
	}
	g_hash_table_iter_init(&iter, moves->services);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		service_move_t *entry = value;

		supersede_if_settings_changed(node, entry->move);
		if (move_fully_recorded(entry->move))
			continue;
		entry->writer = is_writer(node, name);
		node_move_execute_actions(node, entry);
		if (has_evidence(entry) &&
		    (next_evidence == NULL ||
			entry->evidence_sent_ms <
			    next_evidence->evidence_sent_ms))
			next_evidence = entry;
		if (entry->writer)
			watch_state(node, entry);
	}
	if (next_evidence != NULL && now_ms >= moves->next_evidence_ms)
		send_evidence(node, next_evidence, now_ms);
}

void
node_moves_start(node_t *node)
{
	node_moves_t *moves = g_new0(node_moves_t, 1);

	moves->node = node;
	moves->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_move_free);
	LIST_INIT(&moves->ops);
	node->moves = moves;
	uv_timer_init(node->loop, &moves->timer);
	moves->timer.data = node;
	uv_timer_start(&moves->timer, on_tick, 0, TICK_MS);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void
node_moves_free(node_t *node)
{
	node_moves_t *moves = node->moves;
	move_op_t *op;

	if (moves == NULL)
		return;
	while ((op = LIST_FIRST(&moves->ops)) != NULL)
		move_op_end(op);
	g_hash_table_destroy(moves->services);
	moves->timer.data = moves;
	uv_close((uv_handle_t *)&moves->timer, on_timer_closed);
	node->moves = NULL;
}
