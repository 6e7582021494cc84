#ifndef PAPAYA_TURN_H
#define PAPAYA_TURN_H

#include "counter.h"

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * Bounds how much of a turn of the process's loop goes to reading from clients
 * and backend servers. Once the budget of a turn is used up, the connections
 * that have not read wait for the next one; it begins with those that have
 * waited longest, as many as fit into the budget. Timers and the calls of
 * libcurl (store, platform) are not held back.
 *
 * State of the process, as it has one loop. Until turn_start() there is no
 * bound.
 */

/* What a part of a turn was spent on. */
typedef enum turn_part {
	TURN_CLIENT, /* bytes of a client */
	TURN_SERVER, /* bytes of a backend server */
	TURN_STORE,  /* a response of the store */
	TURN_PEER,   /* a datagram of another node */
	TURN_TICK,   /* the node's periodic work */
	TURN_PARTS,
} turn_part_t;

/*
 * Starts to measure the loop's turns. counters is borrowed until the process
 * ends; it gets the histogram of their durations and the number of readings
 * that were put off.
 */
void turn_start(uv_loop_t *loop, counters_t *counters);

/* Nanoseconds of a steady clock. */
uint64_t turn_clock_ns(void);

/* Notes what was done since since_ns. */
void turn_note(turn_part_t part, uint64_t since_ns);

/*
 * The same for the bytes of a connection, whose peer's address is logged where
 * the turn is long. Returns the duration in nanoseconds.
 */
uint64_t turn_note_connection(
    turn_part_t part, const uv_tcp_t *tcp, uint64_t since_ns);

/* True once the budget of this turn is used up: no connection reads. */
bool turn_is_spent(void);

/*
 * True where a connection that waits may read in this turn; cost_ns: what its
 * last reading took. Those whose bytes cost little have a budget of their own,
 * so that they do not wait for the others.
 */
bool turn_take(uint64_t cost_ns);

/*
 * Time in milliseconds after which a connection that has read, or that
 * turn_take() has refused, asks again: behind those that were put off.
 */
uint64_t turn_wait_ms(void);

/* Counts a connection whose reading is put off, as the turn is spent. It asks
 * again at the beginning of the next one. */
void turn_put_off(void);

/* True where a connection should wait for another turn after such a reading. */
bool turn_is_costly(uint64_t cost_ns);

/* Most bytes for the next read, where one of length bytes took cost_ns. */
size_t turn_read_max(size_t length, uint64_t cost_ns);

#endif
