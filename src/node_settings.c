#include "node.h"

void
node_settings_start(node_t *node)
{
}

void
node_settings_free(node_t *node)
{
}

bool
node_settings_handle(node_t *node, http_request_t *request)
{
	return false;
}

void
node_settings_message(node_t *node, const message_t *message, const char *from)
{
}
