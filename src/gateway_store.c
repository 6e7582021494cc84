#include "gateway_state.h"

#include "clock.h"
#include "lapse.h"
#include "log.h"
#include "platform_catalog.h"

#include <string.h>

static void
log_workspaces(const catalog_t *catalog)
{
	for (guint i = 0; i < catalog->workspaces->len; i++) {
		const catalog_workspace_t *workspace =
		    catalog->workspaces->pdata[i];

		log_event(LOG_LEVEL_INFO, "configuration.workspace",
		    "version=%" G_GINT64_FORMAT
		    " workspace=%s rate_per_s=%.0f burst=%.0f priority=%d",
		    catalog->version, workspace->name, workspace->rate_per_s,
		    workspace->burst, workspace->priority);
	}
}

static void
put_configuration(gateway_t *gateway, const platform_item_t *item)
{
	catalog_t *previous = gateway->proxy.catalog;
	GError *error = NULL;
	catalog_t *catalog =
	    platform_read_catalog(item->value, item->length, &error);

	if (catalog == NULL) {
		log_event(LOG_LEVEL_ERROR, "configuration.malformed",
		    "revision=%" G_GINT64_FORMAT " error=\"%s\"",
		    item->revision, error->message);
		g_error_free(error);
		return;
	}
	if (previous != NULL && catalog->version <= previous->version) {
		catalog_unref(catalog);
		return;
	}
	log_workspaces(catalog);
	log_event(LOG_LEVEL_INFO, "configuration.applied",
	    "version=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT
	    " routes=%u",
	    catalog->version, item->revision, catalog->route_count);
	gateway->proxy.catalog = catalog;
	gateway->newer_configuration_ms = 0;
	catalog_unref(previous);
	quota_configure(gateway->proxy.quota, catalog, clock_boot_ms());
}

/* Takes ownership of info. */
static void
put_outdated_server(gateway_t *gateway, server_info_t *info, int64_t now_ms)
{
	const server_info_t *known =
	    pool_find_known(gateway->proxy.pool, info->id)->info;

	log_event(LOG_LEVEL_INFO, "server.outdated",
	    "id=%s sequence=%" G_GINT64_FORMAT
	    " known_sequence=%" G_GINT64_FORMAT
	    " draining=%d known_draining=%d",
	    info->id, info->sequence, known->sequence, info->draining,
	    known->draining);
	counter_add(gateway->proxy.counters, 1, "outdated_entries_total");
	pool_put_outdated(gateway->proxy.pool, info, now_ms);
}

static void
put_server(gateway_t *gateway, const char *id, const platform_item_t *item)
{
	const server_t *server = pool_find(gateway->proxy.pool, server_tag(id));
	int64_t now_ms = clock_boot_ms();
	bool was_cold = server != NULL && server_is_cold(server, now_ms);
	GError *error = NULL;
	server_info_t *info =
	    platform_read_server(id, item->value, item->length, &error);

	if (info == NULL) {
		log_event(LOG_LEVEL_WARN, "server.malformed",
		    "id=%s error=\"%s\"", id, error->message);
		g_error_free(error);
		pool_remove(gateway->proxy.pool, id, 0, now_ms);
		return;
	}
	if (store_watch_is_restoring(gateway->store_watch) &&
	    pool_is_outdated(gateway->proxy.pool, info)) {
		put_outdated_server(gateway, info, now_ms);
		return;
	}
	log_event(LOG_LEVEL_INFO, "server.listed",
	    "id=%s service=%s address=%s zone=%s version=%s draining=%d "
	    "spot=%d leaves_ms=%" G_GINT64_FORMAT,
	    id, info->service, info->address, info->zone, info->version,
	    info->draining, info->spot, info->shutdown_in_ms);
	if (!was_cold && info->warmup_ms > 0)
		log_event(LOG_LEVEL_INFO, "server.cold",
		    "id=%s cold_ms=%" G_GINT64_FORMAT " source=entry", id,
		    info->warmup_ms);
	pool_put(gateway->proxy.pool, info, now_ms);
}

static void
begin_evacuation(gateway_t *gateway, const char *zone)
{
	if (evacuation_begin(gateway->proxy.evacuation, zone))
		log_event(
		    LOG_LEVEL_INFO, "zone.evacuation_begun", "zone=%s", zone);
}

/* The end of an evacuation, for the servers of its zone. */
typedef struct evacuation_end {
	const char *zone;
	const catalog_t *catalog; /* NULL: none */
	unsigned servers;	  /* that are taken to be cold */
	int64_t now_ms;
} evacuation_end_t;

static void
assume_cold(server_t *server, void *data)
{
	evacuation_end_t *end = data;
	const catalog_service_t *service;

	if (end->catalog == NULL || strcmp(server->info->zone, end->zone) != 0)
		return;
	service = catalog_find_service(end->catalog, server->info->service);
	if (service == NULL || service->cold_start_ms == 0)
		return;
	server_assume_cold(server, service->cold_start_ms, end->now_ms);
	end->servers++;
}

/*
 * A zone's servers may be cold when its evacuation ends, and their entries of
 * the time before do not show it.
 */
static void
end_evacuation(gateway_t *gateway, const char *zone)
{
	evacuation_end_t end = {
	    .zone = zone,
	    .catalog = gateway->proxy.catalog,
	    .now_ms = clock_boot_ms(),
	};

	if (!evacuation_end(gateway->proxy.evacuation, zone))
		return;
	pool_each(gateway->proxy.pool, assume_cold, &end);
	log_event(LOG_LEVEL_INFO, "zone.evacuation_ended",
	    "zone=%s servers_taken_for_cold=%u", zone, end.servers);
}

typedef enum key_kind {
	KEY_CONFIGURATION,
	KEY_SERVER,
	KEY_GATEWAY_NODE,
	KEY_LEASE_HOLDER,
	KEY_USAGE_REPORT,
	KEY_SCALE_ORDER,
	KEY_ROLLOUT,
	KEY_ROLLOUT_RECORD,
	KEY_EVACUATION,
	KEY_ERA_RECORD,
	KEY_NODE_START,
	KEY_OTHER,
} key_kind_t;

/*
 * Kind of a key in the store. *name points into key, behind the kind's prefix;
 * to the whole key for kinds without a prefix.
 */
static key_kind_t
classify_key(const char *key, const char **name)
{
	const struct {
		const char *prefix;
		key_kind_t kind;
	} kinds[] = {
	    {platform_servers_prefix, KEY_SERVER},
	    {lease_node_prefix, KEY_GATEWAY_NODE},
	    {lease_start_prefix, KEY_NODE_START},
	    {scaler_baseline_prefix, KEY_SCALE_ORDER},
	    {platform_rollout_prefix, KEY_ROLLOUT},
	    {rollouts_record_prefix, KEY_ROLLOUT_RECORD},
	    {platform_evacuation_prefix, KEY_EVACUATION},
	};

	*name = key;
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (!g_str_has_prefix(key, kinds[i].prefix))
			continue;
		*name = key + strlen(kinds[i].prefix);
		return kinds[i].kind;
	}
	if (strcmp(key, platform_configuration_key) == 0)
		return KEY_CONFIGURATION;
	if (strcmp(key, lease_leader_key) == 0)
		return KEY_LEASE_HOLDER;
	if (strcmp(key, usage_report_key) == 0)
		return KEY_USAGE_REPORT;
	if (strcmp(key, era_record_key) == 0)
		return KEY_ERA_RECORD;
	return KEY_OTHER;
}

/* True for keys that only a leader of the nodes writes. */
static bool
is_written_by_leaders(key_kind_t kind)
{
	return kind == KEY_LEASE_HOLDER || kind == KEY_USAGE_REPORT ||
	       kind == KEY_SCALE_ORDER || kind == KEY_ROLLOUT_RECORD;
}

static void
put_node(gateway_t *gateway, const char *name, const platform_item_t *item)
{
	char *address = g_strndup(item->value, item->length);

	cluster_put_node(gateway->cluster, name, address);
	g_free(address);
}

void
gateway_on_store_put(const platform_item_t *item, void *data)
{
	gateway_t *gateway = data;
	const char *name;
	key_kind_t kind;

	if (item->value == NULL)
		return;
	kind = classify_key(item->key, &name);
	if (is_written_by_leaders(kind))
		era_record_note_leader_key(gateway->era_record);
	switch (kind) {
	case KEY_CONFIGURATION:
		put_configuration(gateway, item);
		break;
	case KEY_SERVER:
		put_server(gateway, name, item);
		break;
	case KEY_GATEWAY_NODE:
		put_node(gateway, name, item);
		if (strcmp(name, gateway->config->name) == 0)
			lease_update_registration(gateway->lease, item);
		break;
	case KEY_LEASE_HOLDER:
		lease_update_leader(gateway->lease, item);
		break;
	case KEY_USAGE_REPORT:
		usage_report_set_record(gateway->usage_report, item->value,
		    item->length, item->revision);
		break;
	case KEY_SCALE_ORDER:
		scaler_set_baseline(
		    gateway->scale_orders, name, item->value, item->length);
		break;
	case KEY_ROLLOUT:
		rollouts_set_spec(gateway->proxy.rollouts, name, item->value,
		    item->length, platform_store_era(gateway->store),
		    item->revision);
		break;
	case KEY_ROLLOUT_RECORD:
		rollouts_set_record(
		    gateway->proxy.rollouts, name, item->value, item->length);
		break;
	case KEY_EVACUATION:
		begin_evacuation(gateway, name);
		break;
	case KEY_ERA_RECORD:
		era_record_set(gateway->era_record, item->value, item->length);
		break;
	case KEY_NODE_START:
		era_record_note_start(
		    gateway->era_record, item->value, item->length);
		break;
	case KEY_OTHER:
		break;
	}
}

static void
remove_server(gateway_t *gateway, const char *id)
{
	int64_t now_ms = clock_boot_ms();
	const store_watch_t *watch = gateway->store_watch;
	int64_t keep_ms = lapse_keep_ms(&(lapse_situation_t){
	    .store_unstable = store_watch_is_unstable(watch),
	    .now_ms = now_ms,
	    .listed_ms = store_watch_confirmed_ms(watch),
	    .available_ms = store_watch_available_ms(watch),
	    .heartbeat_ms = gateway->config->server_heartbeat_ms,
	});

	log_event(LOG_LEVEL_INFO, "server.removed",
	    "id=%s kept_ms=%" G_GINT64_FORMAT, id, keep_ms);
	pool_remove(gateway->proxy.pool, id, keep_ms, now_ms);
}

void
gateway_on_store_remove(const char *key, int64_t revision, void *data)
{
	gateway_t *gateway = data;
	const char *name;

	switch (classify_key(key, &name)) {
	case KEY_SERVER:
		remove_server(gateway, name);
		break;
	case KEY_GATEWAY_NODE:
		cluster_remove_node(gateway->cluster, name);
		if (strcmp(name, gateway->config->name) == 0)
			lease_remove_registration(gateway->lease, revision);
		break;
	case KEY_LEASE_HOLDER:
		lease_remove_leader(gateway->lease, revision);
		break;
	case KEY_USAGE_REPORT:
		usage_report_set_record(gateway->usage_report, NULL, 0, 0);
		break;
	case KEY_SCALE_ORDER:
		scaler_set_baseline(gateway->scale_orders, name, NULL, 0);
		break;
	case KEY_ROLLOUT:
		rollouts_set_spec(gateway->proxy.rollouts, name, NULL, 0,
		    platform_store_era(gateway->store), 0);
		break;
	case KEY_ROLLOUT_RECORD:
		rollouts_set_record(gateway->proxy.rollouts, name, NULL, 0);
		break;
	case KEY_EVACUATION:
		end_evacuation(gateway, name);
		break;
	case KEY_ERA_RECORD:
		era_record_set(gateway->era_record, NULL, 0);
		break;
	case KEY_CONFIGURATION:
	case KEY_NODE_START:
	case KEY_OTHER:
		break;
	}
}
