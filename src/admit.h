#ifndef PAPAYA_ADMIT_H
#define PAPAYA_ADMIT_H

#include "settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Admission control of one service at one node: limits the requests in flight,
 * queues the excess fairly by workspace, refuses what the queue cannot take,
 * and limits internal retries. Deterministic: the caller passes the monotonic
 * time in ms. Owned by the node's request path.
 */
typedef struct admit admit_t;

typedef struct admit_workspace admit_workspace_t;

/* Embedded in the caller's request; linked into the queue while it waits. */
typedef struct admit_request {
	TAILQ_ENTRY(admit_request) entries;
	admit_workspace_t *workspace;
	int64_t deadline_ms;
	int64_t started_ms;
	bool running;
	bool waiting;
} admit_request_t;

typedef enum admit_decision {
	ADMIT_RUN,    /* started */
	ADMIT_QUEUE,  /* waits in the queue */
	ADMIT_REFUSE, /* neither started nor queued */
} admit_decision_t;

admit_t *admit_new(const service_t *service);
void admit_free(admit_t *admit);

/* Applies the limits of newer settings. */
void admit_configure(admit_t *admit, const service_t *service);

/*
 * Starts, queues or refuses a request. With ADMIT_QUEUE, *evicted may be set to
 * a request removed from the queue in favour of this one: the newest of the
 * workspace with the most waiting requests for its weight. The caller refuses
 * the evicted request as not run.
 */
admit_decision_t admit_submit(admit_t *admit, admit_request_t *request,
    const char *workspace_name, unsigned weight, int64_t deadline_ms,
    int64_t now_ms, admit_request_t **evicted);

/*
 * Starts the next waiting request by weighted fair queueing. NULL if none waits
 * or the limit is reached.
 */
admit_request_t *admit_start_next(admit_t *admit, int64_t now_ms);

/* Removes a waiting request past its deadline from the queue; NULL if none. */
admit_request_t *admit_remove_expired(admit_t *admit, int64_t now_ms);

/*
 * Records the end of a running request. latency_ms is the backend server's time
 * to the first token, or to the whole response of a plain service; ok is false
 * if the backend server failed.
 */
void admit_finish(admit_t *admit, admit_request_t *request, bool ok,
    double latency_ms, int64_t now_ms);

/*
 * Removes a request whose client disconnected or that was handed to a peer from
 * the queue; does nothing if it does not wait.
 */
void admit_cancel(admit_t *admit, admit_request_t *request);

/*
 * Removes the next waiting request from the queue without starting it; NULL if
 * none.
 */
admit_request_t *admit_remove_next(admit_t *admit);

/*
 * Milliseconds by which to delay a refusal; grows with the rate of refusals.
 * 0: too many refusals are delayed already; respond at once and close.
 */
int64_t admit_refusal_delay_ms(admit_t *admit, int64_t now_ms);
/* Call once a refusal delayed by a non-zero time is sent or dropped. */
void admit_refusal_sent(admit_t *admit);

/*
 * Takes one internal retry out of a workspace's retry budget; false if none is
 * left. Resuming an accepted stream is always allowed, but may overdraw the
 * budget.
 */
bool admit_take_retry(admit_t *admit, const char *workspace_name, bool resume);

unsigned admit_limit(const admit_t *admit);
unsigned admit_running(const admit_t *admit);
unsigned admit_waiting(const admit_t *admit);

#endif
