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
	/*
	 * An order that a restored store lacks stays in force for so long after
	 * the restoration, as its operator may write it again.
	 */
	MISSING_ORDER_KEEP_MS = 10000,
};

const char rollouts_record_prefix[] = "papaya/rollout/";

/* The rollout of one service. */
typedef struct service_state {
	char *service;
	rollout_t *rollout;  /* NULL: no valid spec */
	unsigned rollout_id; /* at this node */
	json_t *record;	     /* as read from the store; NULL: none */
	bool write_in_flight;
	bool record_stored; /* the record is that of the rollout's stage */
	int64_t step;	    /* changes of the stage that led to it */
	int64_t next_write_ms;
	/* Until then an order that the restored store lacks stays in force;
	 * Unix milliseconds; 0: it is not missing. */
	int64_t missing_until_ms;
	/* A spec that takes effect when the restoration is over; target NULL:
	 * none. The target is owned. */
	rollout_spec_t deferred;
} service_state_t;

struct rollouts {
	rollouts_options_t options;
	GHashTable *services; /* service to service_state_t */
	int64_t wall_ms;
	unsigned node_count;
	unsigned last_rollout_id;
	bool restoring; /* see rollouts_set_restoring() */
};

static void
service_state_free(gpointer data)
{
	service_state_t *state = data;

	g_free(state->service);
	g_free((char *)state->deferred.target);
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

/* NULL if the service's rollout is not, or no longer, this one. */
static rollout_t *
find_rollout(const rollouts_t *rollouts, const char *service, unsigned id)
{
	const service_state_t *state =
	    g_hash_table_lookup(rollouts->services, service);

	return state == NULL || state->rollout_id != id ? NULL : state->rollout;
}

/*
 * True where the record is older than the stage that is known. A stage may be
 * entered again, so that the number of changes tells, not the stage.
 */
static bool
is_older_record(const service_state_t *state, const json_t *record)
{
	int64_t step = json_get_int(record, "step", state->step);

	return step < state->step;
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
	state->record_stored = !is_older_record(state, record);
	if (!state->record_stored)
		return;
	state->step = json_get_int(record, "step", state->step);
	log_event(LOG_LEVEL_INFO, "rollout.stage",
	    "service=%s target=%s stage=%s reason=\"%s\"", state->service,
	    rollout_target(state->rollout), rollout_stage_name(stage),
	    json_get_string(record, "reason", ""));
	rollout_set_stage(state->rollout, stage,
	    json_get_clamped(
		record, "started_ms", rollouts->wall_ms, 0, G_MAXINT64 / 2),
	    rollouts->wall_ms);
}

/* Steals the target. */
static void
defer_spec(service_state_t *state, const rollout_spec_t *spec)
{
	g_free((char *)state->deferred.target);
	state->deferred = *spec;
}

static void
start_rollout(
    rollouts_t *rollouts, service_state_t *state, const rollout_spec_t *spec)
{
	const gateway_bounds_t *bounds = &rollouts->options.config->bounds;
	rollout_limits_t limits = {.share = bounds->exposure_share,
	    .extra_requests = bounds->exposure_extra};

	log_event(LOG_LEVEL_INFO, "rollout.ordered",
	    "service=%s target=%s duration_ms=%" G_GINT64_FORMAT
	    " order=%" G_GINT64_FORMAT,
	    state->service, spec->target, spec->duration_ms, spec->revision);
	rollout_free(state->rollout);
	state->rollout = rollout_new(spec, &limits, rollouts->wall_ms);
	state->rollout_id = ++rollouts->last_rollout_id;
	state->record_stored = false;
	state->step = 0;
	apply_record(rollouts, state);
}

/* The record that the node knows may not be in the restored store. */
static void
renew_rollout(service_state_t *state, const rollout_spec_t *spec)
{
	log_event(LOG_LEVEL_INFO, "rollout.renewed",
	    "service=%s target=%s stage=%s order=%" G_GINT64_FORMAT,
	    state->service, spec->target,
	    rollout_stage_name(rollout_stage(state->rollout)), spec->revision);
	rollout_renew(state->rollout, spec);
	g_clear_pointer(&state->record, json_decref);
	state->record_stored = false;
}

/* Steals the target. */
static void
apply_spec(rollouts_t *rollouts, service_state_t *state, rollout_spec_t *spec)
{
	bool known = state->rollout != NULL &&
		     (rollouts->restoring || state->missing_until_ms != 0);
	bool same = known && rollout_has_content(state->rollout, spec);

	if (known && !same && rollouts->restoring) {
		defer_spec(state, spec);
		return;
	}
	defer_spec(state, &(rollout_spec_t){.target = NULL});
	state->missing_until_ms = 0;
	if (same)
		renew_rollout(state, spec);
	else
		start_rollout(rollouts, state, spec);
	g_free((char *)spec->target);
}

static void
end_rollout(service_state_t *state)
{
	defer_spec(state, &(rollout_spec_t){.target = NULL});
	g_clear_pointer(&state->rollout, rollout_free);
	state->record_stored = false;
	state->missing_until_ms = 0;
}

static void
keep_missing_order(const rollouts_t *rollouts, service_state_t *state)
{
	state->missing_until_ms = rollouts->wall_ms + MISSING_ORDER_KEEP_MS;
}

static void
log_missing_order(const service_state_t *state)
{
	log_event(LOG_LEVEL_WARN, "rollout.missing",
	    "service=%s target=%s stage=%s", state->service,
	    rollout_target(state->rollout),
	    rollout_stage_name(rollout_stage(state->rollout)));
}

/* An order that was not read in the present era may be written again. */
static void
remove_order(rollouts_t *rollouts, service_state_t *state, int64_t era)
{
	if (state->rollout == NULL || state->deferred.target != NULL ||
	    rollout_era(state->rollout) >= era) {
		end_rollout(state);
		return;
	}
	log_missing_order(state);
	keep_missing_order(rollouts, state);
}

void
rollouts_set_spec(rollouts_t *rollouts, const char *service, const char *value,
    size_t length, int64_t era, int64_t revision)
{
	service_state_t *state = find_or_add_service(rollouts, service);
	platform_rollout_spec_t spec;
	GError *error = NULL;

	if (value == NULL) {
		remove_order(rollouts, state, era);
		return;
	}
	if (!platform_read_rollout(value, length, &spec, &error)) {
		log_event(LOG_LEVEL_ERROR, "rollout.malformed",
		    "service=%s error=\"%s\"", service, error->message);
		g_error_free(error);
		remove_order(rollouts, state, era);
		return;
	}
	apply_spec(rollouts, state,
	    &(rollout_spec_t){.target = spec.target,
		.era = era,
		.revision = revision,
		.duration_ms = spec.duration_ms});
}

void
rollouts_set_record(
    rollouts_t *rollouts, const char *service, const char *value, size_t length)
{
	service_state_t *state = find_or_add_service(rollouts, service);
	GError *error = NULL;

	g_clear_pointer(&state->record, json_decref);
	state->record_stored = false;
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
	GHashTableIter iter;
	gpointer value;

	rollouts->restoring = restoring;
	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		service_state_t *state = value;
		rollout_spec_t spec = state->deferred;

		state->deferred = (rollout_spec_t){.target = NULL};
		if (!restoring && state->missing_until_ms != 0)
			keep_missing_order(rollouts, state);
		/* The list of another restoration shows the order again. */
		if (restoring)
			g_free((char *)spec.target);
		else if (spec.target != NULL)
			apply_spec(rollouts, state, &spec);
	}
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
format_record(const service_state_t *state, rollout_stage_t stage)
{
	const rollout_t *rollout = state->rollout;
	int64_t step = state->step + (stage != rollout_stage(rollout));
	json_t *json = json_pack("{s:I,s:I,s:I,s:s,s:s}", "order",
	    (json_int_t)rollout_revision(rollout), "started_ms",
	    (json_int_t)rollout_started_ms(rollout), "step", (json_int_t)step,
	    "stage", rollout_stage_name(stage), "reason",
	    rollout_reason(rollout));
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
	char *record = format_record(state, stage);
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

/* True where the time to write the order again is over. */
static bool
has_lost_order(const rollouts_t *rollouts, const service_state_t *state)
{
	return state->missing_until_ms != 0 && !rollouts->restoring &&
	       rollouts->wall_ms >= state->missing_until_ms;
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
	/* Its spec has not been read since the store was restored. */
	if (rollout_era(state->rollout) != platform_store_era(store))
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

		if (has_lost_order(rollouts, state))
			end_rollout(state);
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
		candidates.assignment.rollout_id = state->rollout_id;
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
    unsigned rollout_id, bool to_new_version)
{
	rollout_t *rollout = find_rollout(rollouts, service, rollout_id);

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
    unsigned rollout_id, const evidence_attempt_t *attempt)
{
	rollout_t *rollout = find_rollout(rollouts, service, rollout_id);

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
		item.era = rollout_era(state->rollout);
		item.revision = rollout_revision(state->rollout);
		item.stopped = rollout_reason(state->rollout)[0] != '\0';
		item.evidence = json_text(evidence);
		json_decref(evidence);
		g_array_append_val(digest->moves, item);
	}
}

/* NULL where this node does not know the order, or not as the peer does. */
static rollout_t *
find_order(const rollouts_t *rollouts, const digest_move_t *item)
{
	const service_state_t *state =
	    g_hash_table_lookup(rollouts->services, item->service);

	if (state == NULL || state->rollout == NULL ||
	    rollout_revision(state->rollout) != item->revision ||
	    rollout_era(state->rollout) != item->era)
		return NULL;
	return state->rollout;
}

void
rollouts_merge_digest(rollouts_t *rollouts, const digest_t *digest)
{
	for (guint i = 0; i < digest->moves->len; i++) {
		const digest_move_t *item =
		    &g_array_index(digest->moves, digest_move_t, i);
		rollout_t *rollout = find_order(rollouts, item);
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
