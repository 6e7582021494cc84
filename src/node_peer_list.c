#include "node_peer.h"

typedef struct visit {
	void (*visit)(const char *name, const char *http_address, void *data);
	void *data;
	const member_t *self;
} visit_t;

static void
visit_other(member_t *member, void *data)
{
	const visit_t *visit = data;

	if (member != visit->self && member->state != MEMBER_GONE)
		visit->visit(member->node, member->http_address, visit->data);
}

void
node_peers_each(node_t *node,
    void (*visit)(const char *name, const char *http_address, void *data),
    void *data)
{
	members_t *members = node->peers->members;
	visit_t others = {visit, data, members_self(members)};

	members_foreach(members, visit_other, &others);
}
