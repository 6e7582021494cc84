#include "node.h"

void
node_backends_start(node_t *node)
{
}

void
node_backends_free(node_t *node)
{
}

void
node_backends_message(node_t *node, const message_t *message, const char *from)
{
}

void
node_backends_greet(node_t *node, const char *to)
{
}

const route_cache_t *
node_backends_cache(const node_t *node)
{
	return NULL;
}
