#ifndef PAPAYA_ADMIT_H
#define PAPAYA_ADMIT_H

#include "settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Admission of one service at one node: how many requests run, who waits, who
 * is refused, and how many internal retries are allowed. Deterministic: time
 * is handed in. Owned by the node's request path.
 */
typedef struct admit admit_t;

typedef struct admit_workspace admit_workspace_t;

/* Embedded in the request by its owner; the aggregate links it. */
typedef struct admit_request {
	TAILQ_ENTRY(admit_request) entries;
	admit_workspace_t *workspace;
	int64_t deadline_ms;
	int64_t started_ms;
	bool running;
	bool waiting;
} admit_request_t;

typedef enum admit_decision {
	ADMIT_RUN,
	ADMIT_QUEUE,
	ADMIT_REFUSE, /* not run */
} admit_decision_t;

admit_t *admit_new(const service_t *service);
void admit_free(admit_t *admit);

/* Takes over limits from newer settings. */
void admit_configure(admit_t *admit, const service_t *service);

/*
 * Offers a request. With ADMIT_QUEUE, *evicted may be set to a waiting request
 * of the workspace that holds most queue slots for its weight; its owner
 * refuses it as not run.
 */
admit_decision_t admit_submit(admit_t *admit, admit_request_t *request,
    const char *workspace_name, unsigned weight, int64_t deadline_ms,
    int64_t now_ms, admit_request_t **evicted);

/* Next waiting request to run, in weighted fair order; NULL if none may. */
admit_request_t *admit_start_next(admit_t *admit, int64_t now_ms);

/* A waiting request past its deadline, removed from the queue; or NULL. */
admit_request_t *admit_remove_expired(admit_t *admit, int64_t now_ms);

/*
 * A running request ended. latency_ms is the backend server's time to its
 * first token or whole answer; ok is false for a failure of the backend.
 */
void admit_finish(admit_t *admit, admit_request_t *request, bool ok,
    double latency_ms, int64_t now_ms);

/* Removes a waiting request whose client left or that was handed to a peer. */
void admit_cancel(admit_t *admit, admit_request_t *request);

/* Any waiting request, removed from the queue; NULL if none. */
admit_request_t *admit_remove_next(admit_t *admit);

/*
 * Milliseconds to hold back a refusal; grows with the rate of refusals.
 * 0: too many are held back already, answer at once and close.
 */
int64_t admit_refusal_delay_ms(admit_t *admit, int64_t now_ms);
/* A held-back refusal was answered. */
void admit_refusal_sent(admit_t *admit);

/*
 * Takes one internal retry out of a workspace's budget. A resume of a stream
 * that was accepted is never denied but leaves a debt.
 */
bool admit_take_retry(admit_t *admit, const char *workspace_name, bool resume);

unsigned admit_limit(const admit_t *admit);
unsigned admit_running(const admit_t *admit);
unsigned admit_waiting(const admit_t *admit);

#endif
