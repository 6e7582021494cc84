#include "json.h"
#include "node_move.h"

#include <string.h>

/* Start of a MOVE_STATE text with a record; json_text() sorts the names. */
static const char record_prefix[] = "{\"record\":";

/* Response to a node that has just started and requests all records. */
static void
send_all_records(node_t *node, const char *to)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->moves->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const service_move_t *entry = value;

		node_move_send_record(
		    node, to, entry->move, move_state_revision(entry->move));
	}
}

static void
handle_state_message(
    node_t *node, const json_t *json, const char *service, const char *from)
{
	const json_t *evidence = json_object_get(json, "evidence");
	service_move_t *entry = node_move_find(node, service);
	move_record_t *record;

	if (json_get_bool(json, "want", false)) {
		send_all_records(node, from);
	} else if (evidence != NULL) {
		if (entry != NULL && strcmp(json_get_string(json, "id", ""),
					 move_record(entry->move)->id) == 0)
			move_merge_evidence(entry->move,
			    json_get_string(json, "node", from), evidence);
	} else {
		record =
		    move_record_parse(json_object_get(json, "record"), NULL);
		if (record == NULL)
			counter_add(node->counters, 1, "moves_malformed_total");
		else
			node_move_merge_record(
			    node, record, json_get_int(json, "revision", 0));
		move_record_free(record);
	}
}

void
node_moves_message(node_t *node, const message_t *message, const char *from)
{
	service_move_t *entry;
	json_t *json;

	if (message->type == MESSAGE_MOVE_STOP) {
		entry = node_move_find(node, message->move_stop.service);
		if (entry != NULL && strcmp(message->move_stop.move_id,
					 move_record(entry->move)->id) == 0)
			move_stop(entry->move, message->move_stop.reason);
		return;
	}
	if (message->type != MESSAGE_MOVE_STATE)
		return;
	json = json_parse(message->move_state.record,
	    strlen(message->move_state.record), "message", NULL);
	if (json == NULL)
		counter_add(node->counters, 1, "moves_malformed_total");
	else
		handle_state_message(
		    node, json, message->move_state.service, from);
	json_decref(json);
}

/*
 * Evidence and requests for records stay within the zone, to save traffic
 * between zones.
 */
bool
node_moves_relays(const message_t *message)
{
	return message->type == MESSAGE_MOVE_STOP ||
	       g_str_has_prefix(message->move_state.record, record_prefix);
}
