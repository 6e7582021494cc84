#include "node.h"

void
node_moves_start(node_t *node)
{
}

void
node_moves_free(node_t *node)
{
}

bool
node_moves_handle(node_t *node, http_request_t *request)
{
	return false;
}

void
node_moves_message(node_t *node, const message_t *message, const char *from)
{
}

const char *
node_moves_version(node_t *node, const service_t *service)
{
	return service->current;
}

void
node_moves_observe(node_t *node, const service_t *service, const char *version,
    const char *route, bool ok, double first_ms)
{
}
