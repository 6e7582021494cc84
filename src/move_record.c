#include "move_record.h"

#include "error.h"
#include "json.h"

#include <string.h>

const double move_stage_share[MOVE_STAGES] = {0.01, 0.05, 0.25, 0.5, 1.0};

enum { STRING_LENGTH_MAX = 1024 };

static const char *const state_names[] = {
    [MOVE_RUNNING] = "running",
    [MOVE_FINISHED] = "finished",
    [MOVE_ROLLED_BACK] = "taken_back",
};

static const char *const policy_names[] = {
    [MOVE_EVIDENCE] = "evidence",
    [MOVE_FIXED_STEPS] = "fixed_steps",
};

const char *
move_state_name(move_state_t state)
{
	return state_names[state];
}

void
move_record_set_string(char **field, const char *value)
{
	char *copy = g_strdup(value);

	g_free(*field);
	*field = copy;
}

move_record_t *
move_record_copy(const move_record_t *record)
{
	move_record_t *copy = g_new(move_record_t, 1);

	*copy = *record;
	copy->id = g_strdup(record->id);
	copy->service = g_strdup(record->service);
	copy->from = g_strdup(record->from);
	copy->to = g_strdup(record->to);
	copy->base = g_strdup(record->base);
	copy->reason = g_strdup(record->reason);
	copy->lease = g_strdup(record->lease);
	copy->nonce = g_strdup(record->nonce);
	return copy;
}

void
move_record_free(move_record_t *record)
{
	if (record == NULL)
		return;
	g_free(record->id);
	g_free(record->service);
	g_free(record->from);
	g_free(record->to);
	g_free(record->base);
	g_free(record->reason);
	g_free(record->lease);
	g_free(record->nonce);
	g_free(record);
}

json_t *
move_record_to_json(const move_record_t *record)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, "
			 "s:i, s:I, s:I, s:I, s:I, s:b}",
	    "id", record->id, "service", record->service, "from", record->from,
	    "to", record->to, "base", record->base, "reason", record->reason,
	    "lease", record->lease, "nonce", record->nonce, "policy",
	    policy_names[record->policy], "state", state_names[record->state],
	    "stage", (int)record->stage, "started_ms",
	    (json_int_t)record->started_ms, "stage_ms",
	    (json_int_t)record->stage_ms, "deadline_ms",
	    (json_int_t)record->deadline_ms, "base_revision",
	    (json_int_t)record->base_revision, "superseded",
	    record->superseded ? 1 : 0);
}

static int
name_index(const char *const names[], int count, const char *name)
{
	for (int i = 0; i < count; i++)
		if (strcmp(names[i], name) == 0)
			return i;
	return -1;
}

static bool
read_string(const json_t *json, const char *name, bool required, char **out)
{
	const char *value = json_get_string(json, name, NULL);

	if (value == NULL || strlen(value) > STRING_LENGTH_MAX ||
	    (required && *value == '\0'))
		return false;
	*out = g_strdup(value);
	return true;
}

static bool
read_strings(const json_t *json, move_record_t *record)
{
	return read_string(json, "id", true, &record->id) &&
	       read_string(json, "service", true, &record->service) &&
	       read_string(json, "from", true, &record->from) &&
	       read_string(json, "to", true, &record->to) &&
	       read_string(json, "base", true, &record->base) &&
	       read_string(json, "reason", false, &record->reason) &&
	       read_string(json, "lease", false, &record->lease) &&
	       read_string(json, "nonce", false, &record->nonce);
}

static bool
read_numbers(const json_t *json, move_record_t *record)
{
	int state = name_index(state_names, G_N_ELEMENTS(state_names),
	    json_get_string(json, "state", ""));
	int policy = name_index(policy_names, G_N_ELEMENTS(policy_names),
	    json_get_string(json, "policy", ""));
	int64_t stage = json_get_int(json, "stage", -1);

	record->started_ms = json_get_int(json, "started_ms", -1);
	record->stage_ms = json_get_int(json, "stage_ms", -1);
	record->deadline_ms = json_get_int(json, "deadline_ms", -1);
	record->base_revision = json_get_int(json, "base_revision", 0);
	record->superseded = json_get_bool(json, "superseded", false);
	if (state < 0 || policy < 0 || stage < 0 || stage >= MOVE_STAGES)
		return false;
	record->state = (move_state_t)state;
	record->policy = (move_policy_t)policy;
	record->stage = (unsigned)stage;
	return record->started_ms >= 0 &&
	       record->stage_ms >= record->started_ms &&
	       record->deadline_ms > record->started_ms;
}

move_record_t *
move_record_parse(const json_t *json, GError **error)
{
	move_record_t *record = g_new0(move_record_t, 1);

	if (read_strings(json, record) && read_numbers(json, record))
		return record;
	papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
	    "a move record with id \"%s\" has a missing or invalid member",
	    json_get_string(json, "id", ""));
	move_record_free(record);
	return NULL;
}

bool
move_record_superseded(
    const move_record_t *record, const char *current, int64_t settings_revision)
{
	return record->superseded ||
	       (settings_revision > record->base_revision &&
		   strcmp(record->base, current) != 0);
}

const char *
move_record_final_version(
    const move_record_t *record, const char *current, int64_t settings_revision)
{
	if (move_record_superseded(record, current, settings_revision))
		return current;
	return record->state == MOVE_FINISHED ? record->to : record->from;
}

static int
compare_int(int64_t a, int64_t b)
{
	return a < b ? -1 : a > b;
}

int
move_record_compare(const move_record_t *a, const move_record_t *b)
{
	int order = compare_int(a->started_ms, b->started_ms);

	if (order == 0)
		order = strcmp(a->id, b->id);
	if (order == 0)
		order = compare_int(
		    a->state != MOVE_RUNNING, b->state != MOVE_RUNNING);
	if (order == 0 && a->state != MOVE_RUNNING)
		order = compare_int(a->superseded, b->superseded);
	if (order != 0 || a->state != MOVE_RUNNING)
		return order;
	/* A declaration has no lease. */
	order = compare_int(a->lease[0] != '\0', b->lease[0] != '\0');
	return order != 0 ? order : compare_int(a->stage, b->stage);
}
