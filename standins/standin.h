#ifndef PAPAYA_STANDIN_H
#define PAPAYA_STANDIN_H

#include "http_server.h"

#include <glib.h>
#include <jansson.h>
#include <stdint.h>
#include <uv.h>

/*
 * Common part of the stand-ins, which simulate external systems in tests:
 * command line, injected faults and an HTTP server.
 */
typedef struct standin {
	const char *program;
	uv_loop_t *loop;
	http_server_t *server;
	json_t *faults; /* object; POST /faults merges into it */
	GRand *rand;	/* seeded by --seed or the fault "seed" */
	http_handler_t handler;
	void *data;
	/*
	 * Optional. Called once before the server starts, with server NULL,
	 * and after every change of the faults.
	 */
	void (*faults_changed)(struct standin *standin);
	char *name;	     /* --name */
	const char *version; /* --model-version; default set by the program */
	uint64_t request_count; /* counted by standin_request_fails() */
} standin_t;

/*
 * Runs a stand-in until SIGTERM or SIGINT. Serves /faults and passes all
 * other requests to the handler. Returns the exit code of the process.
 */
int standin_run(standin_t *standin, int argc, char **argv);

/* The number set for a fault: 1 for true, 0 where it is not set. */
double standin_fault_value(const standin_t *standin, const char *name);

/* Returns true with the probability (0 to 1) set for the fault. */
bool standin_fault_occurs(standin_t *standin, const char *name);

/*
 * Counts a request and returns whether it has to fail because of the fault
 * "error_rate" or "error_after_calls".
 */
bool standin_request_fails(standin_t *standin);

/*
 * The time in milliseconds set for a fault. Where running, the requests in
 * progress, exceeds the fault "slow_over_running" (0: no limit), the time is
 * multiplied by 1 plus the excess.
 */
int64_t standin_fault_time_ms(
    const standin_t *standin, const char *name, unsigned running);

/* Calls callback(data) once after delay_ms; below 0 counts as 0. */
void standin_call_after(standin_t *standin, int64_t delay_ms,
    void (*callback)(void *data), void *data);

#endif
