#ifndef PAPAYA_DRAIN_H
#define PAPAYA_DRAIN_H

#include <stdint.h>

/*
 * Decides how far a planned stop has come. A node leaves the address lists when
 * it starts to drain, but clients may use lists that they cached. So it serves
 * new requests for a while, then refuses them at once, and ends after no client
 * has come for some time. No I/O.
 */
typedef struct drain {
	int64_t started_ms; /* 0: not draining */
	int64_t refuse_ms;  /* new requests are refused from then on */
	int64_t end_ms;	    /* the latest end */
	unsigned quiet_steps;
	uint64_t accepted; /* at the previous step */
} drain_t;

typedef enum drain_phase {
	DRAIN_SERVING,	/* new requests are served */
	DRAIN_REFUSING, /* new requests are refused, idle connections closed */
	DRAIN_DONE,
} drain_phase_t;

/* grace_ms: time from now_ms after which the process is killed. */
void drain_start(drain_t *drain, int64_t grace_ms, int64_t now_ms);

/*
 * Returns the phase at now_ms. To be called at regular intervals, with the
 * event loop handling input in between: a node that was stalled may have
 * requests to read. connections: of clients at present; accepted: their number
 * since the start of the process.
 */
drain_phase_t drain_step(
    drain_t *drain, unsigned connections, uint64_t accepted, int64_t now_ms);

#endif
