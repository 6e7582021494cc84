#include "node.h"

void
node_calls_start(node_t *node)
{
}

void
node_calls_free(node_t *node)
{
}

bool
node_calls_handle(node_t *node, http_request_t *request)
{
	return false;
}

void
node_calls_drain(node_t *node)
{
}
