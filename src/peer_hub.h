#ifndef PAPAYA_PEER_HUB_H
#define PAPAYA_PEER_HUB_H

#include "peer.h"

#include <sys/queue.h>

enum { PEER_READ_BUFFER_BYTES = 64 * 1024 };

/* Shared by peer.c and peer_link.c only. */
struct peer_hub {
	peer_hub_options_t options;
	uv_tcp_t listener;
	uv_timer_t sweep_timer;
	unsigned open_handles; /* listener and sweep_timer, until closed */
	unsigned accepted_count;
	LIST_HEAD(, accepted) accepted;
	LIST_HEAD(, peer_link) links;
	char read_buffer[PEER_READ_BUFFER_BYTES];
};

static inline void
peer_counter_increment(peer_hub_t *hub, const char *name)
{
	counter_add(hub->options.counters, 1, "%s", name);
}

#endif
