#include "node.h"

bool
node_peers_start(node_t *node, GError **error)
{
	return true;
}

void
node_peers_free(node_t *node)
{
}

int
node_peers_port(const node_t *node)
{
	return 0;
}

bool
node_peers_handle(node_t *node, http_request_t *request)
{
	return false;
}

void
node_peers_drain(node_t *node)
{
}

const char *
node_peers_other_zone(node_t *node)
{
	return NULL;
}

void
node_peers_broadcast(node_t *node, const message_t *message)
{
}

void
node_peers_send(node_t *node, const char *to, const message_t *message)
{
}

bool
node_peers_watches_store(node_t *node, const char *team)
{
	return true;
}
