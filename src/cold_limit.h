#ifndef PAPAYA_COLD_LIMIT_H
#define PAPAYA_COLD_LIMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Decides whether this node may send a request to a cold backend server now,
 * and otherwise when: its next turn. No I/O; times are clock_boot_ms().
 *
 * Addresses the load of a server that has just started, which is slow and
 * crashes well above its rate, while every node sees an idle server. A server
 * with a limit of so many requests in any second has at most that many owners
 * among the active nodes, chosen by rendezvous hashing, and each of them sends
 * it one request a second; fewer nodes share the limit. Nodes that know of the
 * same active nodes agree without a counter in the store, and one that knows
 * too few of them sends nothing.
 */

enum {
	COLD_SLOT_MS = 50,
	/*
	 * Slots for which a request is counted, the present one included: for
	 * 1,050 to 1,100 ms. The part beyond a second covers requests that
	 * arrive at different delays.
	 */
	COLD_SLOTS = 22,
};

/* Requests in the present and in the previous slots. All zero: none. */
typedef struct cold_turns {
	int64_t newest_slot; /* number of the slot since time 0 */
	uint16_t counts[COLD_SLOTS];
} cold_turns_t;

/* Counts a request. For one that is sent: at the time at which it is sent. */
void cold_turns_count(cold_turns_t *turns, int64_t now_ms);
/* Requests of the last second, and a little longer. */
unsigned cold_turns_sum(const cold_turns_t *turns, int64_t now_ms);

typedef struct cold_limit cold_limit_t;

/* node: name of this node. */
cold_limit_t *cold_limit_new(const char *node);
void cold_limit_free(cold_limit_t *limit);

/*
 * Sets the active nodes (char *, copied), this one included. Without this one,
 * or with no node, this node may send nothing to cold servers.
 */
void cold_limit_set_nodes(cold_limit_t *limit, const GPtrArray *nodes);

/*
 * Requests that this node may send now to the cold server with this tag. sent:
 * those that it has sent to the server. per_s: the server's limit over all
 * nodes, in requests a second; at least 1 is used.
 */
unsigned cold_limit_turns_left(const cold_limit_t *limit, uint32_t server_tag,
    const cold_turns_t *sent, double per_s, int64_t now_ms);

/* When turns are left, now or later; INT64_MAX: not as far as is known. */
int64_t cold_limit_next_turn_ms(const cold_limit_t *limit, uint32_t server_tag,
    const cold_turns_t *sent, double per_s, int64_t now_ms);

/*
 * Counts a most urgent request of a service whose usable servers are all cold.
 */
void cold_limit_count_urgent(
    cold_limit_t *limit, const char *service, int64_t now_ms);

/*
 * True where a less urgent request of the service must leave the turns (their
 * number at all of its servers) to the most urgent ones: as many as of those
 * came in the last second.
 */
bool cold_limit_yields(const cold_limit_t *limit, const char *service,
    unsigned turns, int64_t now_ms);

#endif
