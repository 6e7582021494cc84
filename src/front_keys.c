#include "front_state.h"

#include "clock.h"
#include "log.h"
#include "platform_catalog.h"

#include <string.h>

enum {
	/* How long an entry may be missing after the store was away. */
	LAPSE_MS = 1800,
};

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
put_configuration(front_t *front, const platform_item_t *item)
{
	catalog_t *old = front->flow.catalog;
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
	if (old != NULL && catalog->version <= old->version) {
		catalog_unref(catalog);
		return;
	}
	log_workspaces(catalog);
	log_event(LOG_LEVEL_INFO, "configuration.applied",
	    "version=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT
	    " routes=%u",
	    catalog->version, item->revision, catalog->route_count);
	front->flow.catalog = catalog;
	catalog_unref(old);
	quota_configure(front->flow.quota, catalog, clock_boot_ms());
}

static void
put_server(front_t *front, const char *id, const platform_item_t *item)
{
	GError *error = NULL;
	server_info_t *info =
	    platform_read_server(id, item->value, item->length, &error);

	if (info == NULL) {
		log_event(LOG_LEVEL_WARN, "server.malformed",
		    "id=%s error=\"%s\"", id, error->message);
		g_error_free(error);
		pool_remove(front->flow.pool, id, 0, clock_boot_ms());
		return;
	}
	log_event(LOG_LEVEL_INFO, "server.listed",
	    "id=%s service=%s address=%s zone=%s version=%s draining=%d "
	    "spot=%d leaves_ms=%" G_GINT64_FORMAT,
	    id, info->service, info->address, info->zone, info->version,
	    info->draining, info->spot, info->shutdown_in_ms);
	pool_put(front->flow.pool, info, clock_boot_ms());
}

typedef enum key_kind {
	KEY_CONFIGURATION,
	KEY_SERVER,
	KEY_NODE,
	KEY_HOLDER,
	KEY_USAGE,
	KEY_SCALE,
	KEY_ROLLOUT,
	KEY_ROLLOUT_RECORD,
	KEY_OTHER,
} key_kind_t;

/* What a key of the store is; *name is what it is about. */
static key_kind_t
classify(const char *key, const char **name)
{
	const struct {
		const char *prefix;
		key_kind_t kind;
	} kinds[] = {
	    {platform_servers_prefix, KEY_SERVER},
	    {lease_node_prefix, KEY_NODE},
	    {scaler_baseline_prefix, KEY_SCALE},
	    {platform_rollout_prefix, KEY_ROLLOUT},
	    {rollouts_record_prefix, KEY_ROLLOUT_RECORD},
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
	if (strcmp(key, lease_holder_key) == 0)
		return KEY_HOLDER;
	if (strcmp(key, usage_report_key) == 0)
		return KEY_USAGE;
	return KEY_OTHER;
}

static void
put_node(front_t *front, const char *name, const platform_item_t *item)
{
	char *address = g_strndup(item->value, item->length);

	cluster_put_node(front->cluster, name, address);
	g_free(address);
}

void
front_on_put(const platform_item_t *item, void *data)
{
	front_t *front = data;
	const char *name;

	if (item->value == NULL)
		return;
	switch (classify(item->key, &name)) {
	case KEY_CONFIGURATION:
		put_configuration(front, item);
		break;
	case KEY_SERVER:
		put_server(front, name, item);
		break;
	case KEY_NODE:
		put_node(front, name, item);
		break;
	case KEY_HOLDER:
		lease_see_holder(
		    front->lease, item->value, item->length, item->revision);
		break;
	case KEY_USAGE:
		usage_report_set_record(front->usage_report, item->value,
		    item->length, item->revision);
		break;
	case KEY_SCALE:
		scaler_set_baseline(
		    front->scale_orders, name, item->value, item->length);
		break;
	case KEY_ROLLOUT:
		rollouts_set_spec(front->flow.rollouts, name, item->value,
		    item->length, item->revision);
		break;
	case KEY_ROLLOUT_RECORD:
		rollouts_set_record(
		    front->flow.rollouts, name, item->value, item->length);
		break;
	case KEY_OTHER:
		break;
	}
}

static void
remove_server(front_t *front, const char *id)
{
	int64_t now_ms = clock_boot_ms();
	/* An entry that was removed while the store was away may come back. */
	int64_t lapse = sync_is_unsettled(front->sync) ? LAPSE_MS : 0;

	log_event(LOG_LEVEL_INFO, "server.removed",
	    "id=%s kept_ms=%" G_GINT64_FORMAT, id, lapse);
	pool_remove(front->flow.pool, id, lapse, now_ms);
}

void
front_on_removed(const char *key, void *data)
{
	front_t *front = data;
	const char *name;

	switch (classify(key, &name)) {
	case KEY_SERVER:
		remove_server(front, name);
		break;
	case KEY_NODE:
		cluster_remove_node(front->cluster, name);
		break;
	case KEY_HOLDER:
		lease_see_holder(front->lease, NULL, 0, 0);
		break;
	case KEY_USAGE:
		usage_report_set_record(front->usage_report, NULL, 0, 0);
		break;
	case KEY_SCALE:
		scaler_set_baseline(front->scale_orders, name, NULL, 0);
		break;
	case KEY_ROLLOUT:
		rollouts_set_spec(front->flow.rollouts, name, NULL, 0, 0);
		break;
	case KEY_ROLLOUT_RECORD:
		rollouts_set_record(front->flow.rollouts, name, NULL, 0);
		break;
	case KEY_CONFIGURATION:
	case KEY_OTHER:
		break;
	}
}
