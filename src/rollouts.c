#include "rollouts.h"

#include "clock.h"
#include "json.h"
#include "log.h"
#include "platform_rollout.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* After a write that failed or has no answer yet. */
	RETRY_MS = 300,
};

const char rollouts_prefix[] = "papaya/rollout/";

/* One service. */
typedef struct entry {
	char *service;
	rollout_t *move; /* NULL: no order */
	json_t *record;	 /* as in the store; NULL: none */
	bool writing;
	bool announced; /* the store has a record of this move */
	int64_t not_before_ms;
} entry_t;

struct rollouts {
	rollouts_options_t options;
	GHashTable *entries; /* service to entry_t */
	int64_t wall_ms;
	unsigned nodes;
};

static void
entry_free(gpointer data)
{
	entry_t *entry = data;

	g_free(entry->service);
	rollout_free(entry->move);
	json_decref(entry->record);
	g_free(entry);
}

rollouts_t *
rollouts_new(const rollouts_options_t *options)
{
	rollouts_t *rollouts = g_new0(rollouts_t, 1);

	rollouts->options = *options;
	rollouts->nodes = 1;
	rollouts->entries =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
	return rollouts;
}

static entry_t *
find_or_add(rollouts_t *rollouts, const char *service)
{
	entry_t *entry = g_hash_table_lookup(rollouts->entries, service);

	if (entry != NULL)
		return entry;
	entry = g_new0(entry_t, 1);
	entry->service = g_strdup(service);
	g_hash_table_insert(rollouts->entries, entry->service, entry);
	return entry;
}

/* The move of a service where it is still the one with this revision. */
static rollout_t *
find_move(const rollouts_t *rollouts, const char *service, int64_t revision)
{
	const entry_t *entry = g_hash_table_lookup(rollouts->entries, service);

	if (entry == NULL || entry->move == NULL ||
	    rollout_revision(entry->move) != revision)
		return NULL;
	return entry->move;
}

/* Takes over the stage in the store where it is about the present order. */
static void
apply_record(rollouts_t *rollouts, entry_t *entry)
{
	const json_t *record = entry->record;
	rollout_stage_t stage =
	    rollout_stage_parse(json_get_string(record, "stage", ""));

	if (entry->move == NULL || record == NULL ||
	    json_get_int(record, "order", 0) != rollout_revision(entry->move))
		return;
	if (stage == ROLLOUT_STAGES) {
		log_event(LOG_LEVEL_ERROR, "rollout.malformed_record",
		    "service=%s error=\"unknown stage\"", entry->service);
		return;
	}
	entry->announced = true;
	log_event(LOG_LEVEL_INFO, "rollout.stage",
	    "service=%s target=%s stage=%s reason=\"%s\"", entry->service,
	    rollout_target(entry->move), rollout_stage_name(stage),
	    json_get_string(record, "reason", ""));
	rollout_enter(entry->move, stage,
	    json_get_int(record, "started_ms", rollouts->wall_ms),
	    rollouts->wall_ms);
}

void
rollouts_see_order(rollouts_t *rollouts, const char *service, const char *value,
    size_t length, int64_t revision)
{
	const front_bounds_t *bounds = &rollouts->options.config->bounds;
	rollout_limits_t limits = {
	    .share = bounds->expose_share, .extra = bounds->expose_extra};
	entry_t *entry = find_or_add(rollouts, service);
	platform_rollout_order_t order;
	GError *error = NULL;

	g_clear_pointer(&entry->move, rollout_free);
	entry->announced = false;
	if (value == NULL)
		return;
	if (!platform_read_rollout(value, length, &order, &error)) {
		log_event(LOG_LEVEL_ERROR, "rollout.malformed",
		    "service=%s error=\"%s\"", service, error->message);
		g_error_free(error);
		return;
	}
	log_event(LOG_LEVEL_INFO, "rollout.ordered",
	    "service=%s target=%s duration_ms=%" G_GINT64_FORMAT
	    " order=%" G_GINT64_FORMAT,
	    service, order.target, order.duration_ms, revision);
	entry->move = rollout_new(&(rollout_order_t){.target = order.target,
				      .revision = revision,
				      .duration_ms = order.duration_ms},
	    &limits, rollouts->wall_ms);
	g_free(order.target);
	apply_record(rollouts, entry);
}

void
rollouts_see_record(
    rollouts_t *rollouts, const char *service, const char *value, size_t length)
{
	entry_t *entry = find_or_add(rollouts, service);
	GError *error = NULL;

	g_clear_pointer(&entry->record, json_decref);
	if (value == NULL)
		return;
	entry->record = json_parse(value, length, rollouts_prefix, &error);
	if (entry->record == NULL) {
		log_event(LOG_LEVEL_ERROR, "rollout.malformed_record",
		    "service=%s error=\"%s\"", service, error->message);
		g_error_free(error);
		return;
	}
	apply_record(rollouts, entry);
}

void
rollouts_set_time(rollouts_t *rollouts, int64_t wall_ms, unsigned nodes)
{
	rollouts->wall_ms = wall_ms;
	rollouts->nodes = nodes;
}

static bool
is_new(const rollout_t *move, const server_info_t *info)
{
	return strcmp(info->version, rollout_target(move)) == 0;
}

static rollout_view_t
look_at(const rollouts_t *rollouts, const entry_t *entry)
{
	const GPtrArray *servers =
	    pool_servers(rollouts->options.pool, entry->service);
	int64_t now_ms = clock_boot_ms();
	rollout_view_t view = {
	    .now_ms = rollouts->wall_ms, .nodes = rollouts->nodes};

	for (guint i = 0; servers != NULL && i < servers->len; i++) {
		const server_t *server = servers->pdata[i];
		bool usable = server_usable(server, now_ms);

		if (is_new(entry->move, server->info)) {
			view.new_servers += usable;
			continue;
		}
		view.old_listed++;
		view.old_servers += usable;
		view.old_in_flight += server_in_flight(server);
	}
	return view;
}

static platform_rollout_state_t
state_of(rollout_stage_t stage)
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
record_text(const rollout_t *move, rollout_stage_t stage)
{
	json_t *json = json_pack("{s:I,s:I,s:s,s:s}", "order",
	    (json_int_t)rollout_revision(move), "started_ms",
	    (json_int_t)rollout_started_ms(move), "stage",
	    rollout_stage_name(stage), "reason", rollout_reason(move));
	char *text = json_text(json);

	json_decref(json);
	return text;
}

static void
on_written(const platform_result_t *result, void *data)
{
	entry_t *entry = data;

	/* Whether it was written, the watch tells. */
	entry->writing = false;
	if (result->status == PLATFORM_OK)
		return;
	log_event(LOG_LEVEL_WARN, "rollout.not_written", "service=%s status=%d",
	    entry->service, (int)result->status);
}

/* The order's condition keeps an outcome from being taken for a newer one's. */
static void
write_stage(platform_store_t *store, entry_t *entry, rollout_stage_t stage,
    int64_t token)
{
	const rollout_t *move = entry->move;
	char *order =
	    g_strconcat(platform_rollout_prefix, entry->service, NULL);
	char *status =
	    g_strconcat(platform_rollout_status_prefix, entry->service, NULL);
	char *key = g_strconcat(rollouts_prefix, entry->service, NULL);
	char *record = record_text(move, stage);
	char *report = platform_write_rollout(
	    entry->service, rollout_target(move), state_of(stage));
	platform_condition_t conditions[] = {
	    {.key = lease_holder_key, .revision = token},
	    {.key = order, .revision = rollout_revision(move)}};
	platform_write_t writes[] = {
	    {.key = key, .value = record, .length = strlen(record)},
	    {.key = status, .value = report, .length = strlen(report)}};

	entry->writing = true;
	entry->not_before_ms = clock_boot_ms() + RETRY_MS;
	platform_store_commit(store, conditions, G_N_ELEMENTS(conditions),
	    writes, G_N_ELEMENTS(writes), on_written, entry);
	g_free(report);
	g_free(record);
	g_free(key);
	g_free(status);
	g_free(order);
}

static void
log_verdict(const entry_t *entry)
{
	log_event(LOG_LEVEL_WARN, "rollout.stopped",
	    "service=%s target=%s stage=%s reason=\"%s\"", entry->service,
	    rollout_target(entry->move),
	    rollout_stage_name(rollout_stage(entry->move)),
	    rollout_reason(entry->move));
}

static void
tick_entry(const rollouts_t *rollouts, entry_t *entry, platform_store_t *store,
    int64_t token)
{
	rollout_view_t view = look_at(rollouts, entry);
	bool was_stopped = rollout_reason(entry->move)[0] != '\0';
	rollout_stage_t next;

	if (!was_stopped && rollout_judge(entry->move))
		log_verdict(entry);
	if (token == 0 || entry->writing ||
	    clock_boot_ms() < entry->not_before_ms)
		return;
	next = rollout_next(entry->move, &view);
	if (next != rollout_stage(entry->move) || !entry->announced)
		write_stage(store, entry, next, token);
}

void
rollouts_tick(
    rollouts_t *rollouts, platform_store_t *store, const lease_t *lease)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;

		if (entry->move != NULL)
			tick_entry(rollouts, entry, store, lease_token(lease));
	}
}

static bool
is_running(const entry_t *entry)
{
	return entry->move != NULL &&
	       state_of(rollout_stage(entry->move)) == PLATFORM_ROLLOUT_RUNNING;
}

rollouts_route_t
rollouts_choose(
    const rollouts_t *rollouts, const char *service, bool first, double random)
{
	const entry_t *entry = g_hash_table_lookup(rollouts->entries, service);
	rollouts_route_t route = {
	    .servers = pool_servers(rollouts->options.pool, service)};
	rollout_view_t view;

	if (entry == NULL || entry->move == NULL || route.servers == NULL)
		return route;
	view = look_at(rollouts, entry);
	route.trial.share = rollout_share(entry->move, &view);
	route.trial.to_new =
	    route.trial.share >= 1 || (first && random < route.trial.share);
	if (first && is_running(entry))
		route.trial.revision = rollout_revision(entry->move);
	if (view.old_listed == 0)
		return route; /* all are of the new version */
	route.owned[0] = pool_filter_version(
	    route.servers, rollout_target(entry->move), route.trial.to_new);
	if (route.trial.to_new)
		route.owned[1] = pool_filter_version(
		    route.servers, rollout_target(entry->move), false);
	route.servers = route.owned[0];
	route.others = route.owned[1];
	return route;
}

void
rollouts_route_clear(rollouts_route_t *route)
{
	for (size_t i = 0; i < G_N_ELEMENTS(route->owned); i++)
		if (route->owned[i] != NULL)
			g_ptr_array_unref(route->owned[i]);
}

void
rollouts_sent(
    rollouts_t *rollouts, const char *service, int64_t revision, bool to_new)
{
	rollout_t *move = find_move(rollouts, service, revision);

	if (move != NULL)
		rollout_sent(move, to_new);
}

void
rollouts_observe(rollouts_t *rollouts, const char *service, int64_t revision,
    const evidence_attempt_t *attempt)
{
	rollout_t *move = find_move(rollouts, service, revision);

	if (move != NULL)
		rollout_observe(move, attempt);
}

bool
rollouts_counts(const rollouts_t *rollouts, const server_info_t *info)
{
	const entry_t *entry =
	    g_hash_table_lookup(rollouts->entries, info->service);

	if (entry == NULL || entry->move == NULL)
		return true;
	return is_new(entry->move, info) ==
	       (rollout_stage(entry->move) == ROLLOUT_COMPLETED);
}

void
rollouts_fill(const rollouts_t *rollouts, digest_t *digest)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const entry_t *entry = value;
		digest_move_t item = {0};
		json_t *evidence;

		if (!is_running(entry))
			continue;
		evidence = rollout_evidence(entry->move);
		item.service = g_strdup(entry->service);
		item.revision = rollout_revision(entry->move);
		item.stopped = rollout_reason(entry->move)[0] != '\0';
		item.evidence = json_text(evidence);
		json_decref(evidence);
		g_array_append_val(digest->moves, item);
	}
}

void
rollouts_merge(rollouts_t *rollouts, const digest_t *digest)
{
	for (guint i = 0; i < digest->moves->len; i++) {
		const digest_move_t *item =
		    &g_array_index(digest->moves, digest_move_t, i);
		rollout_t *move =
		    find_move(rollouts, item->service, item->revision);
		json_t *evidence;

		if (move == NULL)
			continue;
		evidence = json_parse(
		    item->evidence, strlen(item->evidence), "digest", NULL);
		if (evidence == NULL ||
		    !rollout_merge(move, digest->node, evidence, item->stopped))
			log_event(LOG_LEVEL_WARN, "rollout.bad_evidence",
			    "service=%s node=%s", item->service, digest->node);
		json_decref(evidence);
	}
}
