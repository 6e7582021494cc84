#include "move_start.h"

#include "error.h"

#include <string.h>

struct move_start {
	move_start_action_type_t next_action;
	move_record_t *record;
	char *state_move_id; /* of the earlier move, later of this one */
	int64_t declaration_revision;
	int64_t state_revision;
	int64_t within_ms;
	int64_t lease_requested_ms;
	bool declaration_sent;
	bool state_sent;
	unsigned retries;
	GError *error;
};

enum { RETRIES_MAX = 5 };

move_start_t *
move_start_new(const move_request_t *request)
{
	move_start_t *start = g_new0(move_start_t, 1);
	move_record_t *record = g_new0(move_record_t, 1);

	record->id =
	    g_strdup_printf("%016" G_GINT64_MODIFIER "x", request->random_id);
	record->service = g_strdup(request->service);
	record->from = g_strdup(request->current_version);
	record->to = g_strdup(request->to);
	record->base = g_strdup(request->current_version);
	record->base_revision = request->settings_revision;
	record->reason = g_strdup("");
	record->lease = g_strdup("");
	record->nonce = g_strdup(record->id);
	record->policy = request->policy;
	record->state = MOVE_RUNNING;
	start->record = record;
	start->within_ms = request->within_ms;
	start->next_action = MOVE_START_READ_DECLARATION;
	return start;
}

void
move_start_free(move_start_t *start)
{
	if (start == NULL)
		return;
	move_record_free(start->record);
	g_free(start->state_move_id);
	g_clear_error(&start->error);
	g_free(start);
}

int64_t
move_start_state_revision(const move_start_t *start)
{
	return start->state_revision;
}

G_GNUC_PRINTF(3, 4)
static void
fail(move_start_t *start, papaya_error_t kind, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	papaya_error_set(&start->error, kind, "%s", text);
	g_free(text);
	start->next_action = MOVE_START_FAILED;
}

static void
fail_conflict(move_start_t *start, const char *id)
{
	fail(start, PAPAYA_ERROR_CONFLICT,
	    "move %s of %s has not ended; wait for its end, then start again",
	    id, start->record->service);
}

static void
fail_store(move_start_t *start)
{
	fail(start, PAPAYA_ERROR_STORE_UNAVAILABLE,
	    "the store did not confirm the start of move %s of %s; it ends as "
	    "taken back unless GET shows it running",
	    start->record->id, start->record->service);
}

/* Repeats the action, or fails after RETRIES_MAX retries. */
static void
retry(move_start_t *start)
{
	if (++start->retries > RETRIES_MAX)
		fail_store(start);
}

static void
prepare_declaration(move_start_t *start, int64_t now_ms)
{
	move_record_t *record = start->record;

	if (strcmp(record->from, record->to) == 0) {
		fail(start, PAPAYA_ERROR_CONFLICT,
		    "%s is at version %s already; name another one",
		    record->service, record->to);
		return;
	}
	if (record->started_ms == 0) {
		record->started_ms = now_ms;
		record->stage_ms = now_ms;
		record->deadline_ms = now_ms + start->within_ms;
	}
	start->next_action = MOVE_START_SWAP_DECLARATION;
}

static void
handle_declaration_read(move_start_t *start, const move_record_t *record,
    int64_t revision, int64_t now_ms)
{
	start->declaration_revision = revision;
	if (record == NULL) {
		prepare_declaration(start, now_ms);
		return;
	}
	if (start->declaration_sent &&
	    strcmp(record->id, start->record->id) == 0) {
		start->next_action = MOVE_START_GRANT_LEASE;
		return;
	}
	/* Unchanged: a swap without a response has not taken effect yet. */
	if (start->declaration_sent &&
	    g_strcmp0(record->id, start->state_move_id) == 0) {
		start->next_action = MOVE_START_SWAP_DECLARATION;
		return;
	}
	if (start->declaration_sent) {
		fail_conflict(start, record->id);
		return;
	}
	g_free(start->state_move_id);
	start->state_move_id = g_strdup(record->id);
	start->next_action = MOVE_START_READ_STATE;
}

/* The earlier move must have ended. */
static void
handle_previous_state_read(
    move_start_t *start, const move_record_t *record, int64_t now_ms)
{
	if (record == NULL || record->state == MOVE_RUNNING) {
		fail_conflict(start, start->state_move_id);
		return;
	}
	move_record_set_string(&start->record->from,
	    move_record_final_version(
		record, start->record->base, start->record->base_revision));
	/* Must be later than the earlier move, even if this clock is slow. */
	prepare_declaration(start, MAX(now_ms, record->started_ms + 1));
}

static void
handle_own_state_read(
    move_start_t *start, const move_record_t *record, int64_t revision)
{
	if (record == NULL) {
		start->next_action = MOVE_START_SWAP_STATE;
		return;
	}
	if (strcmp(record->nonce, start->record->nonce) != 0 &&
	    record->state != MOVE_RUNNING) {
		fail(start, PAPAYA_ERROR_DEADLINE_EXCEEDED,
		    "move %s was taken back before it ran: %s", record->id,
		    record->reason);
		return;
	}
	start->state_revision = revision;
	start->next_action = MOVE_START_DONE;
}

void
move_start_read_done(move_start_t *start, const move_record_t *record,
    int64_t revision, bool failed, int64_t now_ms)
{
	if (failed)
		retry(start);
	else if (start->next_action == MOVE_START_READ_DECLARATION)
		handle_declaration_read(start, record, revision, now_ms);
	else if (start->state_sent)
		handle_own_state_read(start, record, revision);
	else
		handle_previous_state_read(start, record, now_ms);
}

static void
read_own_state(move_start_t *start)
{
	g_free(start->state_move_id);
	start->state_move_id = g_strdup(start->record->id);
	start->next_action = MOVE_START_READ_STATE;
}

static void
handle_declaration_swap(move_start_t *start, move_write_result_t result)
{
	if (result == MOVE_WRITE_DONE)
		start->next_action = MOVE_START_GRANT_LEASE;
	else if (result == MOVE_WRITE_NOT_WRITTEN)
		retry(start);
	else
		start->next_action = MOVE_START_READ_DECLARATION;
	start->declaration_sent = result != MOVE_WRITE_NOT_WRITTEN;
}

void
move_start_swap_done(move_start_t *start, move_write_result_t result,
    int64_t revision, int64_t now_ms)
{
	if (start->next_action == MOVE_START_SWAP_DECLARATION) {
		handle_declaration_swap(start, result);
		if (result == MOVE_WRITE_UNKNOWN)
			retry(start);
		return;
	}
	start->state_sent = true;
	start->state_revision = revision;
	if (result == MOVE_WRITE_DONE)
		start->next_action = MOVE_START_DONE;
	else if (result != MOVE_WRITE_NOT_WRITTEN)
		read_own_state(start);
	if (result != MOVE_WRITE_DONE)
		retry(start);
}

/*
 * The store starts the lease between the request and its response. A response
 * within the store timeout therefore ensures that the lease expires before the
 * deadline less the clock skew; a later one is discarded.
 */
void
move_start_lease_done(move_start_t *start, const char *lease, int64_t now_ms)
{
	if (lease == NULL ||
	    now_ms - start->lease_requested_ms > MOVE_STORE_TIMEOUT_MS) {
		retry(start);
		return;
	}
	move_record_set_string(&start->record->lease, lease);
	start->next_action = MOVE_START_SWAP_STATE;
}

move_start_action_t
move_start_step(move_start_t *start, int64_t now_ms)
{
	int64_t ttl_ms = 0;

	if (start->next_action == MOVE_START_GRANT_LEASE) {
		start->lease_requested_ms = now_ms;
		ttl_ms = move_write_deadline_ms(start->record) - now_ms;
		if (ttl_ms <= 0)
			fail(start, PAPAYA_ERROR_DEADLINE_EXCEEDED,
			    "move %s could not start before its deadline",
			    start->record->id);
	}
	return (move_start_action_t){
	    .type = start->next_action,
	    .move_id = start->state_move_id,
	    .record = start->record,
	    .expected_revision = start->declaration_revision,
	    .ttl_ms = ttl_ms,
	    .error = start->error,
	};
}
