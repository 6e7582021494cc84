#include "node_move.h"

#include "clock.h"
#include "error.h"
#include "json.h"

#include <string.h>

static const char moves_path[] = "/v1/admin/moves";

static void start_step(move_op_t *op);

static json_t *
move_json(const move_t *move)
{
	const move_record_t *record = move_record(move);
	int64_t now_ms = clock_wall_ms();

	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:f, s:i, s:I, s:I, s:s, "
			 "s:b}",
	    "id", record->id, "service", record->service, "from", record->from,
	    "to", record->to, "state",
	    move_state_name(move_outcome(move, now_ms)), "share",
	    move_new_version_share(move, now_ms), "stage", (int)record->stage,
	    "started_ms", (json_int_t)record->started_ms, "deadline_ms",
	    (json_int_t)record->deadline_ms, "reason",
	    move_reason(move, now_ms), "recorded", move_recorded(move) ? 1 : 0);
}

static void
fail_request(http_request_t *request, GError *error)
{
	http_reply_error(request, error, true);
	g_error_free(error);
}

static void
on_start_read(const store_result_t *result, void *data)
{
	move_op_t *op = data;
	move_record_t *record = move_result_record(op->node, result);

	move_start_read_done(op->start, record, result->revision,
	    move_result_failed(result) ||
		(result->status == STORE_OK && record == NULL),
	    clock_wall_ms());
	move_record_free(record);
	start_step(op);
}

static void
on_start_written(const store_result_t *result, void *data)
{
	move_op_t *op = data;

	move_start_swap_done(op->start, move_result_write(result),
	    result->revision, clock_wall_ms());
	start_step(op);
}

static void
on_start_leased(const store_result_t *result, void *data)
{
	move_op_t *op = data;

	move_start_lease_done(op->start,
	    result->status == STORE_OK ? result->lease_id : NULL,
	    clock_wall_ms());
	start_step(op);
}

static void
start_succeeded(move_op_t *op, const move_record_t *record)
{
	node_t *node = op->node;
	service_move_t *entry;

	node_move_merge_record(
	    node, record, move_start_state_revision(op->start));
	counter_add(node->counters, 1, "moves_started_total");
	entry = node_move_find(node, record->service);
	http_reply_json(op->request, 201, move_json(entry->move));
	move_op_end(op);
}

static void
start_failed(move_op_t *op, const GError *error)
{
	http_reply_error(op->request, error,
	    papaya_error_kind(error) != PAPAYA_ERROR_STORE_UNAVAILABLE);
	move_op_end(op);
}

static void
start_write(move_op_t *op, const move_start_action_t *action)
{
	bool writes_state = action->type == MOVE_START_SWAP_STATE;
	const move_record_t *record = action->record;
	char *key = writes_state ? move_state_key(op->service, record->id)
				 : move_declaration_key(op->service);

	node_move_write(op->node, key, record,
	    writes_state ? 0 : action->expected_revision,
	    writes_state ? record->lease : NULL, on_start_written, op);
	g_free(key);
}

static void
start_read(move_op_t *op, const move_start_action_t *action)
{
	char *key = action->type == MOVE_START_READ_STATE
			? move_state_key(op->service, action->move_id)
			: move_declaration_key(op->service);

	store_get(op->node->store, key, on_start_read, op);
	g_free(key);
}

static void
start_step(move_op_t *op)
{
	move_start_action_t action =
	    move_start_step(op->start, clock_wall_ms());

	switch (action.type) {
	case MOVE_START_READ_DECLARATION:
	case MOVE_START_READ_STATE:
		start_read(op, &action);
		break;
	case MOVE_START_SWAP_DECLARATION:
	case MOVE_START_SWAP_STATE:
		start_write(op, &action);
		break;
	case MOVE_START_GRANT_LEASE:
		store_grant_lease(
		    op->node->store, action.ttl_ms, on_start_leased, op);
		break;
	case MOVE_START_DONE:
		start_succeeded(op, action.record);
		break;
	case MOVE_START_FAILED:
		start_failed(op, action.error);
		break;
	}
}

static bool
check_request(const service_t *service, const char *name, const char *to,
    int64_t within_ms, GError **error)
{
	if (service == NULL) {
		papaya_error_set(error, PAPAYA_ERROR_UNKNOWN_SERVICE,
		    "service %s is not in the settings", name);
		return false;
	}
	if (!g_strv_contains((const char *const *)service->versions, to)) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
		    "\"to\": version \"%s\" is not among the versions of %s; "
		    "add it to the settings first",
		    to, name);
		return false;
	}
	if (within_ms < MOVE_DURATION_MIN_MS ||
	    within_ms > MOVE_DURATION_MAX_MS) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
		    "\"within_ms\" is %" G_GINT64_FORMAT
		    "; give %d to %d milliseconds",
		    within_ms, MOVE_DURATION_MIN_MS, MOVE_DURATION_MAX_MS);
		return false;
	}
	return true;
}

static void
start_move(node_t *node, http_request_t *request, const json_t *body)
{
	char *name = g_strconcat(json_get_string(body, "team", ""), "/",
	    json_get_string(body, "service", ""), NULL);
	const char *to = json_get_string(body, "to", "");
	int64_t within_ms = json_get_int(body, "within_ms", 0);
	settings_tree_t *tree = NULL;
	const service_t *service =
	    settings_service(node->settings, name, &tree);
	GError *error = NULL;
	move_op_t *op;

	if (!check_request(service, name, to, within_ms, &error)) {
		fail_request(request, error);
		g_free(name);
		return;
	}
	op = move_op_new(node, name, "");
	op->request = http_request_ref(request);
	op->start = move_start_new(&(move_request_t){
	    .service = name,
	    .to = to,
	    .current_version = service->current,
	    .settings_revision = tree->revision,
	    .policy = service->move_policy,
	    .within_ms = within_ms,
	    .random_id = node_unique(node),
	});
	start_step(op);
	g_free(name);
}

static void
serve_post(node_t *node, http_request_t *request)
{
	GError *error = NULL;
	size_t length;
	const char *text = http_request_body(request, &length);
	json_t *body = json_parse(text, length, "request", &error);

	if (body != NULL && !json_is_object(body))
		papaya_error_set(&error, PAPAYA_ERROR_BAD_REQUEST,
		    "request: not a JSON object; give {\"team\", \"service\", "
		    "\"to\", \"within_ms\"}");
	if (error != NULL)
		fail_request(request, error);
	else
		start_move(node, request, body);
	json_decref(body);
}

static void
reply_move(node_t *node, http_request_t *request, const char *service)
{
	service_move_t *entry = node_move_find(node, service);
	GError *error = NULL;

	if (entry != NULL) {
		http_reply_json(request, 200, move_json(entry->move));
		return;
	}
	papaya_error_set(&error, PAPAYA_ERROR_NOT_FOUND,
	    "no move of %s is known; check the team and the service", service);
	fail_request(request, error);
}

/* If the store is unavailable, the response has the move known here. */
static void
on_get_listed(const store_result_t *result, void *data)
{
	move_op_t *op = data;

	if (result->status == STORE_OK)
		node_move_merge_list(op->node, result);
	reply_move(op->node, op->request, op->service);
	move_op_end(op);
}

/* Reads the store first, as another node may have advanced the move. */
static void
serve_get(node_t *node, http_request_t *request, const char *service)
{
	char *prefix = move_declaration_key(service);
	move_op_t *op = move_op_new(node, service, "");

	op->request = http_request_ref(request);
	store_list_keys(node->store, prefix, on_get_listed, op);
	g_free(prefix);
}

static void
serve_list(node_t *node, http_request_t *request)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->moves->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const service_move_t *entry = value;

		json_array_append_new(list, move_json(entry->move));
	}
	http_reply_json(request, 200, json_pack("{s:o}", "moves", list));
}

bool
node_moves_handle(node_t *node, http_request_t *request)
{
	const char *path = http_request_path(request);
	const char *method = http_request_method(request);
	const char *subpath = path + strlen(moves_path);

	if (!g_str_has_prefix(path, moves_path))
		return false;
	if (*subpath == '\0' && strcmp(method, "POST") == 0)
		serve_post(node, request);
	else if (*subpath == '\0' && strcmp(method, "GET") == 0)
		serve_list(node, request);
	else if (*subpath == '/' && strcmp(method, "GET") == 0)
		serve_get(node, request, subpath + 1);
	else
		return false;
	return true;
}
