#include "scaler.h"

#include "autoscale.h"
#include "clock.h"
#include "json.h"
#include "log.h"
#include "platform_duty.h"

#include <string.h>

enum {
	TICK_MS = 500,
	/* A deployment is complete when no server was added for this long. */
	DEPLOYMENT_SETTLED_MS = 1600,
	/* Delay before the retry of a request that failed. */
	RETRY_MS = 1500,
	/* A request is repeated if its servers have not been listed this long
	 * after their boot time. */
	BOOT_MARGIN_MS = 4000,
};

const char scaler_baseline_prefix[] = "papaya/scale/";

/* The last request to the cloud API for one zone and kind of server. */
typedef struct resize {
	scaler_t *scaler;
	bool spot;
	unsigned requested_count; /* total servers, not additional ones */
	bool accepted;
	bool in_flight;
	int64_t fencing_token; /* under which it was sent */
	int64_t accepted_ms;
	int64_t next_try_ms;
} resize_t;

typedef struct service_state {
	/* Zone to unsigned; NULL: not recorded yet. Kept where the store has
	 * been restored from a copy without them. */
	GHashTable *baselines;
	GHashTable *resizes; /* "zone/spot" (0 or 1) to resize_t */
	bool baseline_stored;
	bool baseline_write_in_flight;
} service_state_t;

struct scaler {
	scaler_options_t options;
	GHashTable *services; /* name to service_state_t */
	int64_t last_tick_ms;
};

static void
service_state_free(gpointer data)
{
	service_state_t *state = data;

	if (state->baselines != NULL)
		g_hash_table_unref(state->baselines);
	g_hash_table_unref(state->resizes);
	g_free(state);
}

scaler_t *
scaler_new(const scaler_options_t *options)
{
	scaler_t *scaler = g_new0(scaler_t, 1);

	scaler->options = *options;
	scaler->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_state_free);
	return scaler;
}

static service_state_t *
find_or_add_service(scaler_t *scaler, const char *service)
{
	service_state_t *state = g_hash_table_lookup(scaler->services, service);

	if (state != NULL)
		return state;
	state = g_new0(service_state_t, 1);
	state->resizes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(scaler->services, g_strdup(service), state);
	return state;
}

void
scaler_set_baseline(
    scaler_t *scaler, const char *service, const char *value, size_t length)
{
	service_state_t *state = find_or_add_service(scaler, service);
	GError *error = NULL;
	json_t *json, *count;
	const char *zone;

	state->baseline_stored = value != NULL;
	if (value == NULL)
		return;
	json = json_parse(value, length, scaler_baseline_prefix, &error);
	if (json == NULL) {
		log_event(LOG_LEVEL_ERROR, "scale.malformed_record",
		    "service=%s error=\"%s\"", service, error->message);
		g_error_free(error);
		return;
	}
	g_clear_pointer(&state->baselines, g_hash_table_unref);
	state->baselines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	json_object_foreach (json, zone, count)
		g_hash_table_insert(state->baselines, g_strdup(zone),
		    GUINT_TO_POINTER(json_integer_value(count)));
	json_decref(json);
}

/* Counts a zone's servers of the version in effect that are not draining. The
 * servers of the other version are temporary during a rollout. */
static void
count_zone(const rollouts_t *rollouts, const GPtrArray *servers,
    autoscale_zone_t *zone)
{
	for (guint i = 0; servers != NULL && i < servers->len; i++) {
		const server_t *server = servers->pdata[i];

		if (server->info->draining ||
		    !rollouts_is_current_version(rollouts, server->info) ||
		    strcmp(server->info->zone, zone->name) != 0)
			continue;
		if (server->info->spot)
			zone->spot++;
		else
			zone->on_demand++;
	}
}

static bool
is_deployment_settled(const GPtrArray *servers, int64_t now_ms)
{
	if (servers == NULL || servers->len == 0)
		return false;
	for (guint i = 0; i < servers->len; i++) {
		const server_t *server = servers->pdata[i];

		if (now_ms - server->listed_at_ms < DEPLOYMENT_SETTLED_MS)
			return false;
	}
	return true;
}

static void
on_baseline_written(const platform_result_t *result, void *data)
{
	service_state_t *state = data;

	/* A successful write takes effect when the watch reports it. */
	state->baseline_write_in_flight = false;
	if (result->status != PLATFORM_OK)
		log_event(LOG_LEVEL_WARN, "scale.not_recorded", "status=%d",
		    (int)result->status);
}

/* The servers that are listed now: zone to their number. */
static json_t *
count_baselines(const scaler_t *scaler, const catalog_service_t *service,
    const GPtrArray *servers)
{
	json_t *json = json_object();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, service->scaling->zone_prices);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		autoscale_zone_t zone = {.name = name};

		count_zone(scaler->options.rollouts, servers, &zone);
		json_object_set_new(
		    json, name, json_integer(zone.on_demand + zone.spot));
	}
	return json;
}

static json_t *
encode_baselines(GHashTable *baselines)
{
	json_t *json = json_object();
	GHashTableIter iter;
	gpointer name, count;

	g_hash_table_iter_init(&iter, baselines);
	while (g_hash_table_iter_next(&iter, &name, &count))
		json_object_set_new(
		    json, name, json_integer(GPOINTER_TO_UINT(count)));
	return json;
}

/* Records the number of servers in each zone of a service. Steals json. */
static void
write_baseline(
    scaler_t *scaler, service_state_t *state, const char *service, json_t *json)
{
	char *key = g_strconcat(scaler_baseline_prefix, service, NULL);
	char *text = json_text(json);
	platform_condition_t conditions[] = {
	    {.key = lease_leader_key,
		.revision = lease_leader_revision(scaler->options.lease)},
	    {.key = key}};
	platform_write_t write = {
	    .key = key, .value = text, .length = strlen(text)};

	state->baseline_write_in_flight = true;
	platform_store_commit(scaler->options.store, conditions,
	    G_N_ELEMENTS(conditions), &write, 1, on_baseline_written, state);
	json_decref(json);
	g_free(text);
	g_free(key);
}

/*
 * Counts the deployed servers only once: later the present ones are those that
 * were ordered.
 */
static void
record_baseline(scaler_t *scaler, service_state_t *state,
    const catalog_service_t *service, const GPtrArray *servers)
{
	if (state->baseline_stored || state->baseline_write_in_flight)
		return;
	if (state->baselines != NULL)
		write_baseline(scaler, state, service->name,
		    encode_baselines(state->baselines));
	else if (is_deployment_settled(servers, clock_boot_ms()))
		write_baseline(scaler, state, service->name,
		    count_baselines(scaler, service, servers));
}

static void
on_resize_response(platform_duty_status_t status, void *data)
{
	resize_t *resize = data;
	int64_t now_ms = clock_boot_ms();

	resize->in_flight = false;
	switch (status) {
	case PLATFORM_DUTY_DONE:
		resize->accepted = true;
		resize->accepted_ms = now_ms;
		return;
	case PLATFORM_DUTY_FENCED:
		lease_invalidate_token(
		    resize->scaler->options.lease, resize->fencing_token);
		return;
	case PLATFORM_DUTY_UNAVAILABLE:
	case PLATFORM_DUTY_REFUSED:
	case PLATFORM_DUTY_UNKNOWN:
		resize->next_try_ms = now_ms + RETRY_MS;
		return;
	}
}

static resize_t *
find_or_add_resize(
    scaler_t *scaler, service_state_t *state, const char *zone, bool spot)
{
	char *key = g_strdup_printf("%s/%d", zone, spot);
	resize_t *resize = g_hash_table_lookup(state->resizes, key);

	if (resize == NULL) {
		resize = g_new0(resize_t, 1);
		resize->scaler = scaler;
		resize->spot = spot;
		g_hash_table_insert(state->resizes, key, resize);
	} else {
		g_free(key);
	}
	return resize;
}

/* True while the servers of the same request may still be booting or ending. */
static bool
is_pending(const resize_t *resize, unsigned desired, int64_t fencing_token,
    const catalog_scaling_t *scaling, int64_t now_ms)
{
	return resize->accepted && resize->requested_count == desired &&
	       resize->fencing_token == fencing_token &&
	       now_ms - resize->accepted_ms < scaling->boot_ms + BOOT_MARGIN_MS;
}

static void
request_resize(scaler_t *scaler, service_state_t *state,
    const catalog_service_t *service, const autoscale_zone_t *zone, bool spot,
    int64_t fencing_token)
{
	resize_t *resize = find_or_add_resize(scaler, state, zone->name, spot);
	unsigned desired = spot ? zone->desired_spot : zone->desired_on_demand;
	unsigned current = spot ? zone->spot : zone->on_demand;
	int64_t now_ms = clock_boot_ms();
	platform_duty_context_t duty_token = {
	    .cloud_url = scaler->options.config->cloud_url,
	    .holder = scaler->options.config->name,
	    .fencing_token = fencing_token,
	    .counters = scaler->options.counters};

	if (desired == current || resize->in_flight ||
	    now_ms < resize->next_try_ms ||
	    is_pending(
		resize, desired, fencing_token, service->scaling, now_ms))
		return;
	log_event(LOG_LEVEL_INFO, "scale.ordered",
	    "service=%s zone=%s spot=%d count=%u have=%u", service->name,
	    zone->name, spot, desired, current);
	resize->in_flight = true;
	resize->accepted = false;
	resize->requested_count = desired;
	resize->fencing_token = fencing_token;
	platform_order_servers(scaler->options.http, &duty_token, service->name,
	    zone->name, spot, desired, on_resize_response, resize);
}

static void
scale_service(
    scaler_t *scaler, const catalog_service_t *service, int64_t fencing_token)
{
	service_state_t *state = find_or_add_service(scaler, service->name);
	const GPtrArray *servers =
	    pool_servers(scaler->options.pool, service->name);
	GHashTableIter iter;
	gpointer name, baseline;
	GArray *zones;

	record_baseline(scaler, state, service, servers);
	if (state->baselines == NULL)
		return;
	zones = g_array_new(FALSE, TRUE, sizeof(autoscale_zone_t));
	g_hash_table_iter_init(&iter, state->baselines);
	while (g_hash_table_iter_next(&iter, &name, &baseline)) {
		const double *price =
		    g_hash_table_lookup(service->scaling->zone_prices, name);
		autoscale_zone_t zone = {.name = name,
		    .on_demand_price = price == NULL ? 1 : *price,
		    .baseline = GPOINTER_TO_UINT(baseline),
		    .evacuated =
			evacuation_has(scaler->options.evacuation, name)};

		count_zone(scaler->options.rollouts, servers, &zone);
		g_array_append_val(zones, zone);
	}
	autoscale_decide(
	    service->scaling, (autoscale_zone_t *)zones->data, zones->len);
	for (guint i = 0; i < zones->len; i++) {
		const autoscale_zone_t *zone =
		    &g_array_index(zones, autoscale_zone_t, i);

		if (zone->evacuated)
			continue;
		request_resize(
		    scaler, state, service, zone, true, fencing_token);
		request_resize(
		    scaler, state, service, zone, false, fencing_token);
	}
	g_array_unref(zones);
}

void
scaler_tick(scaler_t *scaler, const catalog_t *catalog)
{
	int64_t fencing_token = lease_fencing_token(scaler->options.lease);
	int64_t now_ms = clock_boot_ms();
	GHashTableIter iter;
	gpointer value;

	if (fencing_token == 0 || catalog == NULL ||
	    scaler->options.config->cloud_url == NULL ||
	    now_ms - scaler->last_tick_ms < TICK_MS)
		return;
	scaler->last_tick_ms = now_ms;
	g_hash_table_iter_init(&iter, catalog->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const catalog_service_t *service = value;

		if (service->scaling != NULL)
			scale_service(scaler, service, fencing_token);
	}
}
