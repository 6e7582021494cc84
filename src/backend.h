#ifndef PAPAYA_BACKEND_H
#define PAPAYA_BACKEND_H

#include "settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

typedef enum backend_state {
	BACKEND_LIVE,
	BACKEND_SUSPECT,  /* failed repeatedly; gets trial requests */
	BACKEND_DRAINING, /* its host is leaving: no new requests */
	BACKEND_REMOVED,  /* deleted or replaced in the settings */
} backend_state_t;

/*
 * What one node knows of a backend server. Reference counted: a request in
 * flight keeps the struct after the server is removed from the settings.
 */
typedef struct backend {
	unsigned refs;
	LIST_ENTRY(backend) entries;
	char *name; /* TEAM/NAME */
	char *address;
	char *host;
	char *zone;
	char *class;
	char *service;
	char *version;
	double price_per_hour;
	bool reclaimable;
	fencing_t fencing;
	backend_state_t state;
	int64_t leave_at_ms; /* wall clock, if DRAINING; 0 if unknown */
	int64_t suspect_until_ms;
	unsigned consecutive_failures;
	unsigned in_flight;	   /* requests sent by this node */
	unsigned reported_running; /* from its load report, which lags */
	unsigned reported_waiting;
	int64_t reported_at_ms;
	unsigned in_flight_at_report; /* in_flight as of reported_at_ms */
	double average_latency_ms;    /* moving average; 0 before the first */
	uint64_t requests_total;
	int64_t last_new_request_ms;
} backend_t;

/* Every backend server known to a node. */
typedef struct backends backends_t;

backends_t *backends_new(void);
void backends_free(backends_t *backends);

/* Adds, updates and removes one team's backend servers as in its settings. */
void backends_apply(backends_t *backends, const settings_tree_t *tree);

backend_t *backend_ref(backend_t *backend);
void backend_unref(backend_t *backend);

/* Backend server by TEAM/NAME, borrowed; NULL if unknown. */
backend_t *backends_find(const backends_t *backends, const char *name);

/* Appends the service's backend servers, borrowed, to out (backend_t *). */
void backends_of_service(
    const backends_t *backends, const char *service, GPtrArray *out);

void backends_each(const backends_t *backends,
    void (*callback)(backend_t *backend, void *data), void *data);

/*
 * Marks every backend server of a host as draining, until its declaration has
 * another host, zone, address, service or version. Returns true on a change.
 */
bool backends_drain_host(
    backends_t *backends, const char *host, int64_t leave_at_ms);

/* True if a new request may be sent to it now. */
bool backend_usable(const backend_t *backend, int64_t now_ms);

/*
 * Records the start and the end of a request to a backend server. Several
 * failures in a row make it suspect, a success makes it live again.
 */
void backend_request_started(backend_t *backend, int64_t now_ms);
void backend_request_finished(
    backend_t *backend, bool ok, double latency_ms, int64_t now_ms);

/* Stores the counts of requests from its load report. */
void backend_update_load(
    backend_t *backend, unsigned running, unsigned waiting, int64_t now_ms);

#endif
