#include "gateway_state.h"

#include "platform_request.h"

#include <string.h>

/* Which hosts callers may use, and whether this one is ready. */

enum { ADDRESS_TTL_MS = 2000 };

/*
 * The regions that all routes of the host allow. Without a configuration they
 * are unknown, so none is taken to be allowed. Free with g_strfreev().
 */
static char **
allowed_by_routes(const catalog_t *catalog, const char *host)
{
	const GPtrArray *routes;
	char **allowed = NULL;

	if (catalog == NULL)
		return g_new0(char *, 1);
	if (host == NULL)
		return NULL;
	routes = catalog_find_host_routes(catalog, host);
	for (guint i = 0; routes != NULL && i < routes->len; i++) {
		const catalog_route_t *route = routes->pdata[i];
		char **both = region_intersect((const char *const *)allowed,
		    (const char *const *)route->allowed_regions);

		g_strfreev(allowed);
		allowed = both;
	}
	return allowed;
}

static bool
has_ready_host(const GArray *hosts)
{
	for (guint i = 0; i < hosts->len; i++)
		if (g_array_index(hosts, region_host_t, i).ready)
			return true;
	return false;
}

/*
 * Addresses to name to a caller (borrowed char *); NULL where no host is ready.
 * They may be none, where no known host is in a region that the caller may use.
 */
static GPtrArray *
select_addresses(gateway_t *gateway, const char *target)
{
	const region_map_t *regions = gateway->config->regions;
	region_caller_t caller;
	platform_directory_query_t query;
	GPtrArray *addresses = NULL;
	GArray *hosts = cluster_find_hosts(gateway->cluster);
	char **allowed;

	platform_read_directory_query(target, &query);
	allowed = allowed_by_routes(gateway->proxy.catalog, query.host);
	caller.allowed = (const char *const *)allowed;
	caller.region = query.region != NULL
			    ? query.region
			    : region_map_find(regions, query.zone);
	if (has_ready_host(hosts))
		addresses = region_select_hosts(hosts, &caller);
	g_strfreev(allowed);
	platform_clear_directory_query(&query);
	g_array_unref(hosts);
	return addresses;
}

/* The same in a deployment with one region, whatever the caller asks. */
static GPtrArray *
select_all_addresses(gateway_t *gateway)
{
	GPtrArray *addresses = cluster_client_addresses(gateway->cluster);

	if (addresses->len > 0)
		return addresses;
	g_ptr_array_unref(addresses);
	return NULL;
}

static void
reply_addresses(gateway_t *gateway, exchange_t *exchange)
{
	static const char type[] = "Content-Type: application/json\r\n";
	const char *target = exchange_request_head(exchange)->target;
	GPtrArray *addresses = region_map_has_many(gateway->config->regions)
				   ? select_addresses(gateway, target)
				   : select_all_addresses(gateway);
	int64_t ttl_ms =
	    MIN(ADDRESS_TTL_MS, gateway->config->bounds.address_ttl_max_ms);

	if (addresses == NULL) {
		exchange_reply(exchange, 503, NULL, "", 0);
	} else {
		char *body = platform_write_addresses(addresses, ttl_ms);

		exchange_reply(exchange, 200, type, body, strlen(body));
		g_free(body);
		g_ptr_array_unref(addresses);
	}
}

void
gateway_on_directory_request(exchange_t *exchange, void *data)
{
	gateway_t *gateway = data;

	switch (
	    platform_find_endpoint(exchange_request_head(exchange)->target)) {
	case PLATFORM_ENDPOINT_READINESS:
		exchange_reply(
		    exchange, gateway->ready ? 200 : 503, NULL, "", 0);
		break;
	case PLATFORM_ENDPOINT_ADDRESSES:
		reply_addresses(gateway, exchange);
		break;
	case PLATFORM_ENDPOINT_OTHER:
		exchange_reply(exchange, 404, NULL, "", 0);
		break;
	}
	exchange_unref(exchange);
}
