#include "rollouts.h"

#include "clock.h"
#include "json.h"
#include "log.h"
#include "platform_rollout.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Minimum time between two writes of a service's stage. */
	WRITE_RETRY_MS = 300,
};

const char rollouts_record_prefix[] = "papaya/rollout/";

/* The rollout of one service. */
typedef struct service_state {
	char *service;
	rollout_t *rollout; /* NULL: no valid spec */
	json_t *record;	    /* as read from the store; NULL: none */
	bool write_in_flight;
	bool record_stored; /* the record belongs to this rollout */
	int64_t next_write_ms;
} service_state_t;

struct rollouts {
	rollouts_options_t options;
	GHashTable *services; /* service to service_state_t */
	int64_t wall_ms;
	unsigned node_count;
	bool restoring; /* see rollouts_set_restoring() */
};

static void
service_state_free(gpointer data)
{
	service_state_t *state = data;

	g_free(state->service);
	rollout_free(state->rollout);
	json_decref(state->record);
	g_free(state);
}

rollouts_t *
rollouts_new(const rollouts_options_t *options)
{
	rollouts_t *rollouts = g_new0(rollouts_t, 1);

	rollouts->options = *options;
	rollouts->node_count = 1;
	rollouts->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, service_state_free);
	return rollouts;
}

static service_state_t *
find_or_add_service(rollouts_t *rollouts, const char *service)
{
	service_state_t *state =
	    g_hash_table_lookup(rollouts->services, service);

	if (state != NULL)
		return state;
	state = g_new0(service_state_t, 1);
	state->service = g_strdup(service);
	g_hash_table_insert(rollouts->services, state->service, state);
	return state;
}

/* NULL if the service's rollout is not, or no longer, the one of this spec. */
static rollout_t *
find_rollout(const rollouts_t *rollouts, const char *service, int64_t revision)
{
	const service_state_t *state =
	    g_hash_table_lookup(rollouts->services, service);

	if (state == NULL || state->rollout == NULL ||
	    rollout_revision(state->rollout) != revision)
		return NULL;
	return state->rollout;
}

/* Applies the stage in the record if it belongs to the current spec, whose
 * revision is its "order". */
static void
apply_record(rollouts_t *rollouts, service_state_t *state)
{
	const json_t *record = state->record;
	rollout_stage_t stage =
	    rollout_stage_parse(json_get_string(record, "stage", ""));

	if (state->rollout == NULL || record == NULL ||
	    json_get_int(record, "order", 0) !=
		rollout_revision(state->rollout))
		return;
	if (stage == ROLLOUT_STAGES) {
		log_event(LOG_LEVEL_ERROR, "rollout.malformed_record",
		    "service=%s error=\"unknown stage\"", state->service);
		return;
	}
	state->record_stored = true;
	log_event(LOG_LEVEL_INFO, "rollout.stage",
	    "service=%s target=%s stage=%s reason=\"%s\"", state->service,
	    rollout_target(state->rollout), rollout_stage_name(stage),
	    json_get_string(record, "reason", ""));
	rollout_set_stage(state->rollout, stage,
	    json_get_clamped(
		record, "started_ms", rollouts->wall_ms, 0, G_MAXINT64 / 2),
	    rollouts->wall_ms);
}

void
rollouts_set_spec(rollouts_t *rollouts, const char *service, const char *value,
    size_t length, int64_t revision)
{
	const gateway_bounds_t *bounds = &rollouts->options.config->bounds;
	rollout_limits_t limits = {.share = bounds->exposure_share,
	    .extra_requests = bounds->exposure_extra};
	service_state_t *state = find_or_add_service(rollouts, service);
	platform_rollout_spec_t spec;
	GError *error = NULL;

	g_clear_pointer(&state->rollout, rollout_free);
	state->record_stored = false;
	if (value == NULL)
		return;
	if (!platform_read_rollout(value, length, &spec, &error)) {
		log_event(LOG_LEVEL_ERROR, "rollout.malformed",
		    "service=%s error=\"%s\"", service, error->message);
		g_error_free(error);
		return;
	}
	log_event(LOG_LEVEL_INFO, "rollout.ordered",
	    "service=%s target=%s duration_ms=%" G_GINT64_FORMAT
	    " order=%" G_GINT64_FORMAT,
	    service, spec.target, spec.duration_ms, revision);
	state->rollout = rollout_new(&(rollout_spec_t){.target = spec.target,
					 .revision = revision,
					 .duration_ms = spec.duration_ms},
	    &limits, rollouts->wall_ms);
	g_free(spec.target);
	apply_record(rollouts, state);
}

void
rollouts_set_record(
    rollouts_t *rollouts, const char *service, const char *value, size_t length)
{
	service_state_t *state = find_or_add_service(rollouts, service);
	GError *error = NULL;

	g_clear_pointer(&state->record, json_decref);
	if (value == NULL)
		return;
	state->record =
	    json_parse(value, length, rollouts_record_prefix, &error);
	if (state->record == NULL) {
		log_event(LOG_LEVEL_ERROR, "rollout.malformed_record",
		    "service=%s error=\"%s\"", service, error->message);
		g_error_free(error);
		return;
	}
	apply_record(rollouts, state);
}

void
rollouts_set_restoring(rollouts_t *rollouts, bool restoring)
{
	rollouts->restoring = restoring;
}

void
rollouts_set_time(rollouts_t *rollouts, int64_t wall_ms, unsigned node_count)
{
	rollouts->wall_ms = wall_ms;
	rollouts->node_count = node_count;
}

static bool
is_new_version(const rollout_t *rollout, const server_info_t *info)
{
	return strcmp(info->version, rollout_target(rollout)) == 0;
}

static rollout_inputs_t
current_inputs(const rollouts_t *rollouts, const service_state_t *state)
{
	const GPtrArray *servers =
	    pool_servers(rollouts->options.pool, state->service);
	int64_t now_ms = clock_boot_ms();
	rollout_inputs_t inputs = {
	    .now_ms = rollouts->wall_ms, .node_count = rollouts->node_count};

	for (guint i = 0; servers != NULL && i < servers->len; i++) {
		const server_t *server = servers->pdata[i];
		bool usable = server_usable(server, now_ms);

		if (is_new_version(state->rollout, server->info)) {
			inputs.new_servers_usable += usable;
			continue;
		}
		inputs.old_servers_listed++;
		inputs.old_servers_usable += usable;
		inputs.old_requests_in_flight += server_in_flight(server);
	}
	return inputs;
}

static platform_rollout_state_t
reported_state(rollout_stage_t stage)
{
	switch (stage) {
	case ROLLOUT_COMPLETED:
		return PLATFORM_ROLLOUT_COMPLETED;
	case ROLLOUT_REVERTED:
		return PLATFORM_ROLLOUT_REVERTED;
	case ROLLOUT_CANARY:
	case ROLLOUT_RAMP:
	case ROLLOUT_FULL:
	case ROLLOUT_STAGES:
		break;
	}
	return PLATFORM_ROLLOUT_RUNNING;
}

static char *
format_record(const rollout_t *rollout, rollout_stage_t stage)
{
	json_t *json = json_pack("{s:I,s:I,s:s,s:s}", "order",
	    (json_int_t)rollout_revision(rollout), "started_ms",
	    (json_int_t)rollout_started_ms(rollout), "stage",
	    rollout_stage_name(stage), "reason", rollout_reason(rollout));
	char *text = json_text(json);

	json_decref(json);
	return text;
}

static void
on_stage_written(const platform_result_t *result, void *data)
{
	service_state_t *state = data;

	/* A successful write takes effect when the watch reports it. */
	state->write_in_flight = false;
	if (result->status == PLATFORM_OK)
		return;
	log_event(LOG_LEVEL_WARN, "rollout.not_written", "service=%s status=%d",
	    state->service, (int)result->status);
}

/* The condition on the spec's revision prevents that the outcome of an earlier
 * rollout is stored as that of a newer one. */
static void
write_stage(platform_store_t *store, service_state_t *state,
    rollout_stage_t stage, int64_t leader_revision)
{
	const rollout_t *rollout = state->rollout;
	char *spec_key =
	    g_strconcat(platform_rollout_prefix, state->service, NULL);
	char *status_key =
	    g_strconcat(platform_rollout_status_prefix, state->service, NULL);
	char *record_key =
	    g_strconcat(rollouts_record_prefix, state->service, NULL);
	char *record = format_record(rollout, stage);
	char *status = platform_write_rollout(
	    state->service, rollout_target(rollout), reported_state(stage));
	platform_condition_t conditions[] = {
	    {.key = lease_leader_key, .revision = leader_revision},
	    {.key = spec_key, .revision = rollout_revision(rollout)}};
	platform_write_t writes[] = {
	    {.key = record_key, .value = record, .length = strlen(record)},
	    {.key = status_key, .value = status, .length = strlen(status)}};

	state->write_in_flight = true;
	state->next_write_ms = clock_boot_ms() + WRITE_RETRY_MS;
	platform_store_commit(store, conditions, G_N_ELEMENTS(conditions),
	    writes, G_N_ELEMENTS(writes), on_stage_written, state);
	g_free(status);
	g_free(record);
	g_free(record_key);
	g_free(status_key);
	g_free(spec_key);
}

static void
log_rollout_stopped(const service_state_t *state)
{
	log_event(LOG_LEVEL_WARN, "rollout.stopped",
	    "service=%s target=%s stage=%s reason=\"%s\"", state->service,
	    rollout_target(state->rollout),
	    rollout_stage_name(rollout_stage(state->rollout)),
	    rollout_reason(state->rollout));
}

static void
tick_service(const rollouts_t *rollouts, service_state_t *state,
    platform_store_t *store, int64_t leader_revision)
{
	rollout_inputs_t inputs = current_inputs(rollouts, state);
	bool was_stopped = rollout_reason(state->rollout)[0] != '\0';
	rollout_stage_t next;

	if (!was_stopped && rollout_evaluate(state->rollout))
		log_rollout_stopped(state);
	if (leader_revision == 0 || state->write_in_flight ||
	    clock_boot_ms() < state->next_write_ms)
		return;
	next = rollout_next_stage(state->rollout, &inputs);
	if (next != rollout_stage(state->rollout) || !state->record_stored)
		write_stage(store, state, next, leader_revision);
}

void
rollouts_tick(
    rollouts_t *rollouts, platform_store_t *store, const lease_t *lease)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		service_state_t *state = value;

		if (state->rollout != NULL)
			tick_service(rollouts, state, store,
			    lease_leader_revision(lease));
	}
}

static bool
is_running(const service_state_t *state)
{
	return state->rollout != NULL &&
	       reported_state(rollout_stage(state->rollout)) ==
		   PLATFORM_ROLLOUT_RUNNING;
}

rollouts_candidates_t
rollouts_select(const rollouts_t *rollouts, const char *service,
    bool is_first_attempt, double random)
{
	const service_state_t *state =
	    g_hash_table_lookup(rollouts->services, service);
	rollouts_candidates_t candidates = {
	    .servers = pool_servers(rollouts->options.pool, service)};
	rollout_inputs_t inputs;

	if (state == NULL || state->rollout == NULL ||
	    candidates.servers == NULL)
		return candidates;
	inputs = current_inputs(rollouts, state);
	candidates.assignment.new_version_share =
	    rollout_traffic_share(state->rollout, &inputs);
	candidates.assignment.to_new_version =
	    candidates.assignment.new_version_share >= 1 ||
	    (is_first_attempt &&
		random < candidates.assignment.new_version_share);
	if (is_first_attempt && is_running(state))
		candidates.assignment.revision =
		    rollout_revision(state->rollout);
	if (inputs.old_servers_listed == 0)
		return candidates; /* all servers are of the new version */
	candidates.owned[0] = pool_filter_version(candidates.servers,
	    rollout_target(state->rollout),
	    candidates.assignment.to_new_version);
	if (candidates.assignment.to_new_version)
		candidates.owned[1] = pool_filter_version(
		    candidates.servers, rollout_target(state->rollout), false);
	candidates.servers = candidates.owned[0];
	candidates.fallback_servers = candidates.owned[1];
	return candidates;
}

void
rollouts_candidates_clear(rollouts_candidates_t *candidates)
{
	for (size_t i = 0; i < G_N_ELEMENTS(candidates->owned); i++)
		if (candidates->owned[i] != NULL)
			g_ptr_array_unref(candidates->owned[i]);
}

void
rollouts_count_request(rollouts_t *rollouts, const char *service,
    int64_t revision, bool to_new_version)
{
	rollout_t *rollout = find_rollout(rollouts, service, revision);

	if (rollout != NULL)
		rollout_count_request(rollout, to_new_version);
}

void
rollouts_count_hedge(
    rollouts_t *rollouts, const char *service, bool to_new_version)
{
	const service_state_t *state =
	    g_hash_table_lookup(rollouts->services, service);

	/* A hedge at the old version is no further request to compare with. */
	if (state != NULL && to_new_version && is_running(state))
		rollout_count_extra(state->rollout);
}

void
rollouts_add_attempt(rollouts_t *rollouts, const char *service,
    int64_t revision, const evidence_attempt_t *attempt)
{
	rollout_t *rollout = find_rollout(rollouts, service, revision);

	if (rollout != NULL)
		rollout_add_attempt(rollout, attempt);
}

bool
rollouts_is_current_version(
    const rollouts_t *rollouts, const server_info_t *info)
{
	const service_state_t *state =
	    g_hash_table_lookup(rollouts->services, info->service);

	if (state == NULL || state->rollout == NULL)
		return true;
	return is_new_version(state->rollout, info) ==
	       (rollout_stage(state->rollout) == ROLLOUT_COMPLETED);
}

void
rollouts_add_to_digest(const rollouts_t *rollouts, digest_t *digest)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const service_state_t *state = value;
		digest_move_t item = {0};
		json_t *evidence;

		if (!is_running(state))
			continue;
		evidence = rollout_evidence_json(state->rollout);
		item.service = g_strdup(state->service);
		item.revision = rollout_revision(state->rollout);
		item.stopped = rollout_reason(state->rollout)[0] != '\0';
		item.evidence = json_text(evidence);
		json_decref(evidence);
		g_array_append_val(digest->moves, item);
	}
}

void
rollouts_merge_digest(rollouts_t *rollouts, const digest_t *digest)
{
	for (guint i = 0; i < digest->moves->len; i++) {
		const digest_move_t *item =
		    &g_array_index(digest->moves, digest_move_t, i);
		rollout_t *rollout =
		    find_rollout(rollouts, item->service, item->revision);
		json_t *evidence;

		if (rollout == NULL)
			continue;
		evidence = json_parse(
		    item->evidence, strlen(item->evidence), "digest", NULL);
		if (evidence == NULL ||
		    !rollout_merge_evidence(
			rollout, digest->node, evidence, item->stopped))
			log_event(LOG_LEVEL_WARN, "rollout.bad_evidence",
			    "service=%s node=%s", item->service, digest->node);
		json_decref(evidence);
	}
}
