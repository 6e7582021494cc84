#include "gateway_state.h"

#include <string.h>

enum {
	/* Sockets reserved for connections to backend servers and platform. */
	RESERVED_SOCKETS = 1500,
	CONNECTIONS_MIN = 64,
	/* Parts of the sockets that clients of requests may not use, so that
	 * the directory can be asked, and those that both may not use. */
	SOCKET_PARTS = 16,
	DIRECTORY_SOCKET_PARTS = 1,
	READINESS_SOCKET_PARTS = 2,
};

static const catalog_limits_t *
current_limits(void *data)
{
	const gateway_t *gateway = data;

	return gateway->proxy.catalog == NULL ? &catalog_limits_default
					      : &gateway->proxy.catalog->limits;
}

static unsigned
max_client_connections(const gateway_config_t *config)
{
	return config->sockets_max > RESERVED_SOCKETS + CONNECTIONS_MIN
		   ? config->sockets_max - RESERVED_SOCKETS
		   : CONNECTIONS_MIN;
}

/* A listener of the gateway. */
typedef struct listener_plan {
	http1_server_t **listener;
	char **address; /* NULL there: the listener is not wanted */
	unsigned connections_max;
	/* Of the sockets, in SOCKET_PARTS, that only this listener and those
	 * with more parts may use. */
	unsigned reserved_parts;
	void (*handler)(exchange_t *exchange, void *data);
} listener_plan_t;

/* Most sockets that connections of the listener may use, with all others. */
static unsigned
listener_sockets_max(
    const gateway_config_t *config, const listener_plan_t *plan)
{
	unsigned shared_max =
	    MAX(max_client_connections(config), config->sockets_max / 2);

	return shared_max +
	       config->sockets_max * plan->reserved_parts / SOCKET_PARTS;
}

/* The settings may leave a port to the kernel: the address gets the real one.
 */
static void
set_assigned_port(char **address, const http1_server_t *listener)
{
	const char *colon = strrchr(*address, ':');
	char *assigned = g_strdup_printf("%.*s:%d", (int)(colon - *address),
	    *address, http1_server_port(listener));

	g_free(*address);
	*address = assigned;
}

static bool
open_listener(gateway_t *gateway, const listener_plan_t *plan, GError **error)
{
	http1_server_options_t options = {
	    .address = *plan->address,
	    .connections_max = plan->connections_max,
	    .sockets_max = listener_sockets_max(gateway->config, plan),
	    .memory = &gateway->memory,
	    .on_request = plan->handler,
	    .limits = current_limits,
	    .data = gateway,
	};

	*plan->listener = http1_server_start(gateway->loop, &options, error);
	if (*plan->listener == NULL)
		return false;
	set_assigned_port(plan->address, *plan->listener);
	return true;
}

bool
gateway_start_listeners(gateway_t *gateway, GError **error)
{
	gateway_config_t *config = gateway->config;
	unsigned connections_max = max_client_connections(config);
	char *metrics_address =
	    config->metrics_port == GATEWAY_PORT_NONE
		? NULL
		: g_strdup_printf("%s:%d", config->ip, config->metrics_port);
	const listener_plan_t plans[] = {
	    {
		.listener = &gateway->client_listener,
		.address = &config->client_address,
		.connections_max = connections_max,
		.handler = gateway_on_client_request,
	    },
	    {
		.listener = &gateway->readiness_listener,
		.address = &config->ready_address,
		.connections_max = CONNECTIONS_MIN,
		.reserved_parts = READINESS_SOCKET_PARTS,
		.handler = gateway_on_directory_request,
	    },
	    {
		.listener = &gateway->directory_listener,
		.address = &config->directory_address,
		.connections_max = connections_max / 4 + CONNECTIONS_MIN,
		.reserved_parts = DIRECTORY_SOCKET_PARTS,
		.handler = gateway_on_directory_request,
	    },
	    {
		.listener = &gateway->metrics_listener,
		.address = &metrics_address,
		.connections_max = CONNECTIONS_MIN,
		.reserved_parts = READINESS_SOCKET_PARTS,
		.handler = gateway_on_metrics,
	    },
	};
	bool ok = true;

	for (size_t i = 0; ok && i < G_N_ELEMENTS(plans); i++)
		if (*plans[i].address != NULL)
			ok = open_listener(gateway, &plans[i], error);
	if (gateway->metrics_listener != NULL)
		config->metrics_port =
		    http1_server_port(gateway->metrics_listener);
	g_free(metrics_address);
	return ok;
}
