#ifndef PAPAYA_NODE_ORDER_H
#define PAPAYA_NODE_ORDER_H

#include "node.h"

/*
 * Orders engines to load the version that the settings declare for them, one
 * holder per engine at a time. Owned by the node's part for backend servers.
 */
typedef struct node_orders node_orders_t;

node_orders_t *node_orders_new(node_t *node);
void node_orders_free(node_orders_t *part);

/* An engine reported the version that it has loaded. */
void node_orders_consider(
    node_orders_t *part, backend_t *backend, const char *loaded);

#endif
