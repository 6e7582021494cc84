#include "node.h"

void
node_admin_start(node_t *node)
{
}

void
node_admin_free(node_t *node)
{
}

bool
node_admin_handle(node_t *node, http_request_t *request)
{
	return false;
}
