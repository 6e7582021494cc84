#include "scale_order.h"

#include "autoscale.h"
#include "clock.h"
#include "json.h"
#include "log.h"
#include "platform_duty.h"

#include <string.h>

enum {
	TICK_MS = 500,
	/* No server is newly listed for so long: the deployment is complete. */
	SETTLED_MS = 1600,
	/* Between orders of one zone that could not be filled. */
	REFUSED_MS = 1500,
	/* Beyond the boot time, before an order counts as not carried out. */
	ARRIVAL_MARGIN_MS = 4000,
};

const char scale_order_prefix[] = "papaya/scale/";

/* What was ordered last for one zone and kind. */
typedef struct order {
	scale_orders_t *orders;
	bool spot;
	unsigned count;
	bool placed; /* accepted */
	bool busy;
	int64_t token;
	int64_t placed_ms;
	int64_t not_before_ms;
} order_t;

typedef struct service_state {
	GHashTable *baselines; /* zone to unsigned; NULL: no record yet */
	GHashTable *placed;    /* "zone/kind" to order_t */
	bool recording;
} service_state_t;

struct scale_orders {
	scale_order_options_t options;
	GHashTable *services; /* name to service_state_t */
	int64_t ticked_ms;
};

static void
service_free(gpointer data)
{
	service_state_t *state = data;

	if (state->baselines != NULL)
		g_hash_table_unref(state->baselines);
	g_hash_table_unref(state->placed);
	g_free(state);
}

scale_orders_t *
scale_orders_new(const scale_order_options_t *options)
{
	scale_orders_t *orders = g_new0(scale_orders_t, 1);

	orders->options = *options;
	orders->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_free);
	return orders;
}

static service_state_t *
find_state(scale_orders_t *orders, const char *service)
{
	service_state_t *state = g_hash_table_lookup(orders->services, service);

	if (state != NULL)
		return state;
	state = g_new0(service_state_t, 1);
	state->placed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(orders->services, g_strdup(service), state);
	return state;
}

void
scale_orders_see(scale_orders_t *orders, const char *service, const char *value,
    size_t length)
{
	service_state_t *state = find_state(orders, service);
	GError *error = NULL;
	json_t *json, *count;
	const char *zone;

	g_clear_pointer(&state->baselines, g_hash_table_unref);
	if (value == NULL)
		return;
	json = json_parse(value, length, scale_order_prefix, &error);
	if (json == NULL) {
		log_event(LOG_LEVEL_ERROR, "scale.malformed_record",
		    "service=%s error=\"%s\"", service, error->message);
		g_error_free(error);
		return;
	}
	state->baselines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	json_object_foreach (json, zone, count)
		g_hash_table_insert(state->baselines, g_strdup(zone),
		    GUINT_TO_POINTER(json_integer_value(count)));
	json_decref(json);
}

/* Servers of a zone that are listed and stay; those of a version that is only
 * on trial do not count. */
static void
count_zone(const rollouts_t *rollouts, const GPtrArray *servers,
    autoscale_zone_t *zone)
{
	for (guint i = 0; servers != NULL && i < servers->len; i++) {
		const server_t *server = servers->pdata[i];

		if (server->info->draining ||
		    !rollouts_counts(rollouts, server->info) ||
		    strcmp(server->info->zone, zone->name) != 0)
			continue;
		if (server->info->spot)
			zone->spot++;
		else
			zone->on_demand++;
	}
}

static bool
is_settled(const GPtrArray *servers, int64_t now_ms)
{
	if (servers == NULL || servers->len == 0)
		return false;
	for (guint i = 0; i < servers->len; i++) {
		const server_t *server = servers->pdata[i];

		if (now_ms - server->listed_at_ms < SETTLED_MS)
			return false;
	}
	return true;
}

static void
on_recorded(const platform_result_t *result, void *data)
{
	service_state_t *state = data;

	/* Whether it was written, the watch tells. */
	state->recording = false;
	if (result->status != PLATFORM_OK)
		log_event(LOG_LEVEL_WARN, "scale.not_recorded", "status=%d",
		    (int)result->status);
}

/* Records the deployed size of each zone of a service. */
static void
record(scale_orders_t *orders, service_state_t *state,
    const catalog_service_t *service, const GPtrArray *servers, int64_t token)
{
	char *key = g_strconcat(scale_order_prefix, service->name, NULL);
	json_t *json = json_object();
	platform_condition_t conditions[] = {
	    {.key = lease_holder_key, .revision = token}, {.key = key}};
	platform_write_t write = {.key = key};
	GHashTableIter iter;
	gpointer name;
	char *text;

	g_hash_table_iter_init(&iter, service->scaling->zone_prices);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		autoscale_zone_t zone = {.name = name};

		count_zone(orders->options.rollouts, servers, &zone);
		json_object_set_new(
		    json, name, json_integer(zone.on_demand + zone.spot));
	}
	text = json_text(json);
	write.value = text;
	write.length = strlen(text);
	state->recording = true;
	platform_store_commit(orders->options.store, conditions,
	    G_N_ELEMENTS(conditions), &write, 1, on_recorded, state);
	g_free(text);
	json_decref(json);
	g_free(key);
}

static void
on_ordered(platform_duty_status_t status, void *data)
{
	order_t *order = data;
	int64_t now_ms = clock_boot_ms();

	order->busy = false;
	switch (status) {
	case PLATFORM_DUTY_DONE:
		order->placed = true;
		order->placed_ms = now_ms;
		return;
	case PLATFORM_DUTY_FENCED:
		lease_fenced(order->orders->options.lease);
		return;
	case PLATFORM_DUTY_UNAVAILABLE:
	case PLATFORM_DUTY_REFUSED:
	case PLATFORM_DUTY_UNKNOWN:
		order->not_before_ms = now_ms + REFUSED_MS;
		return;
	}
}

static order_t *
find_order(
    scale_orders_t *orders, service_state_t *state, const char *zone, bool spot)
{
	char *key = g_strdup_printf("%s/%d", zone, spot);
	order_t *order = g_hash_table_lookup(state->placed, key);

	if (order == NULL) {
		order = g_new0(order_t, 1);
		order->orders = orders;
		order->spot = spot;
		g_hash_table_insert(state->placed, key, order);
	} else {
		g_free(key);
	}
	return order;
}

/* True where the last order still has time to be carried out. */
static bool
is_pending(const order_t *order, unsigned want, int64_t token,
    const catalog_scaling_t *scaling, int64_t now_ms)
{
	return order->placed && order->count == want && order->token == token &&
	       now_ms - order->placed_ms < scaling->boot_ms + ARRIVAL_MARGIN_MS;
}

static void
order_servers(scale_orders_t *orders, service_state_t *state,
    const catalog_service_t *service, const autoscale_zone_t *zone, bool spot,
    int64_t token)
{
	order_t *order = find_order(orders, state, zone->name, spot);
	unsigned want = spot ? zone->want_spot : zone->want_on_demand;
	unsigned have = spot ? zone->spot : zone->on_demand;
	int64_t now_ms = clock_boot_ms();
	platform_duty_context_t holder = {
	    .cloud_url = orders->options.config->cloud_url,
	    .holder = orders->options.config->name,
	    .fencing_token = token,
	    .counters = orders->options.counters};

	if (want == have || order->busy || now_ms < order->not_before_ms ||
	    is_pending(order, want, token, service->scaling, now_ms))
		return;
	log_event(LOG_LEVEL_INFO, "scale.ordered",
	    "service=%s zone=%s spot=%d count=%u have=%u", service->name,
	    zone->name, spot, want, have);
	order->busy = true;
	order->placed = false;
	order->count = want;
	order->token = token;
	platform_order_servers(orders->options.http, &holder, service->name,
	    zone->name, spot, want, on_ordered, order);
}

static void
scale_service(
    scale_orders_t *orders, const catalog_service_t *service, int64_t token)
{
	service_state_t *state = find_state(orders, service->name);
	const GPtrArray *servers =
	    pool_servers(orders->options.pool, service->name);
	GHashTableIter iter;
	gpointer name, baseline;
	GArray *zones;

	if (state->baselines == NULL) {
		if (!state->recording && is_settled(servers, clock_boot_ms()))
			record(orders, state, service, servers, token);
		return;
	}
	zones = g_array_new(FALSE, TRUE, sizeof(autoscale_zone_t));
	g_hash_table_iter_init(&iter, state->baselines);
	while (g_hash_table_iter_next(&iter, &name, &baseline)) {
		const double *price =
		    g_hash_table_lookup(service->scaling->zone_prices, name);
		autoscale_zone_t zone = {.name = name,
		    .price = price == NULL ? 1 : *price,
		    .baseline = GPOINTER_TO_UINT(baseline)};

		count_zone(orders->options.rollouts, servers, &zone);
		g_array_append_val(zones, zone);
	}
	autoscale_decide(
	    service->scaling, (autoscale_zone_t *)zones->data, zones->len);
	for (guint i = 0; i < zones->len; i++) {
		const autoscale_zone_t *zone =
		    &g_array_index(zones, autoscale_zone_t, i);

		order_servers(orders, state, service, zone, true, token);
		order_servers(orders, state, service, zone, false, token);
	}
	g_array_unref(zones);
}

void
scale_orders_tick(scale_orders_t *orders, const catalog_t *catalog)
{
	int64_t token = lease_token(orders->options.lease);
	int64_t now_ms = clock_boot_ms();
	GHashTableIter iter;
	gpointer value;

	if (token == 0 || catalog == NULL ||
	    orders->options.config->cloud_url == NULL ||
	    now_ms - orders->ticked_ms < TICK_MS)
		return;
	orders->ticked_ms = now_ms;
	g_hash_table_iter_init(&iter, catalog->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const catalog_service_t *service = value;

		if (service->scaling != NULL)
			scale_service(orders, service, token);
	}
}
