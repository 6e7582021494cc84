#ifndef PAPAYA_CRASH_GUARD_H
#define PAPAYA_CRASH_GUARD_H

#include "digest.h"
#include "request_facts.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Finds prompt segments that crash every backend server which begins to write
 * on them, and blocks requests that have one. A server that crashes breaks all
 * its requests, most of them sound. A segment is blocked where attempts that
 * had it broke several servers one after the other, each sent after the crash
 * before it, and none of its requests was served meanwhile. A server that only
 * loses a response breaks a connection too: its later responses tell it from a
 * crash. The nodes pool what they see in their digests.
 *
 * Does no I/O. Times are those on which the nodes agree (Unix milliseconds).
 */
typedef struct crash_guard crash_guard_t;

/* An attempt at one process of a backend server. */
typedef struct crash_guard_attempt {
	const request_facts_t *facts; /* borrowed */
	uint32_t process; /* hash of the server's id and its start time */
	int64_t sent_ms;
} crash_guard_attempt_t;

crash_guard_t *crash_guard_new(void);
void crash_guard_free(crash_guard_t *guard);

/* The connection broke before the server had written for long. */
void crash_guard_add_crash(crash_guard_t *guard,
    const crash_guard_attempt_t *attempt, int64_t crashed_ms);

/*
 * A process of a server has responded, whatever the request. Where this shows
 * that it has not crashed, its reported crashes are dropped. confirmed_ms: when
 * the node's copy of service discovery was last confirmed.
 */
void crash_guard_add_response(crash_guard_t *guard, uint32_t process,
    int64_t now_ms, int64_t confirmed_ms);

/*
 * A server was able to write on the prompt; began_ms: when it started to.
 */
void crash_guard_add_survival(
    crash_guard_t *guard, const request_facts_t *facts, int64_t began_ms);

/*
 * How long requests with this prompt remain blocked; 0: they are not.
 */
int64_t crash_guard_blocked_ms(
    const crash_guard_t *guard, const request_facts_t *facts, int64_t now_ms);

/*
 * True where a blocked prompt may be sent all the same, as a trial: a segment
 * that is blocked by mistake is refused everywhere, so no other request can
 * show that it is sound. Trials are rare, since one may cost a server; only one
 * node at a time may take them.
 */
bool crash_guard_take_trial(
    crash_guard_t *guard, const request_facts_t *facts, int64_t now_ms);

/* Segments that are blocked. */
unsigned crash_guard_blocked_count(const crash_guard_t *guard, int64_t now_ms);

/* Forgets old crashes. */
void crash_guard_sweep(crash_guard_t *guard, int64_t now_ms);

/* Adds what this node knows to the digest that it sends to its peers. */
void crash_guard_add_to_digest(
    const crash_guard_t *guard, digest_t *digest, int64_t now_ms);
/* Merges what a peer knows. */
void crash_guard_merge_digest(
    crash_guard_t *guard, const digest_t *digest, int64_t now_ms);

#endif
