#ifndef PAPAYA_STANDIN_H
#define PAPAYA_STANDIN_H

#include "http_server.h"

#include <glib.h>
#include <jansson.h>
#include <stdint.h>
#include <uv.h>

/* Frame of a stand-in: command line, faults, one HTTP server. */
typedef struct standin {
	const char *program;
	uv_loop_t *loop;
	http_server_t *server;
	json_t *faults; /* object; merged by POST /faults */
	GRand *rand;	/* seeded by the fault "seed" or --seed */
	http_handler_t handler;
	void *data;
	/* Optional: called after the faults change. */
	void (*faults_changed)(struct standin *standin);
	char *name;	     /* --name */
	const char *version; /* --model-version; default set by the program */
	uint64_t request_count; /* counted by standin_request_fails() */
} standin_t;

/*
 * Runs a stand-in until SIGTERM or SIGINT. Serves /faults itself and hands
 * every other request to the handler. Returns an exit code.
 */
int standin_run(standin_t *standin, int argc, char **argv);

double standin_fault_value(const standin_t *standin, const char *name);

/* True with the probability that the fault of this name gives. */
bool standin_fault_occurs(standin_t *standin, const char *name);

/*
 * Counts one request of a serving stand-in and says whether it fails by
 * "error_rate" or "error_after_calls".
 */
bool standin_request_fails(standin_t *standin);

/*
 * A fault's time in milliseconds, multiplied by the requests in progress over
 * "slow_over_running" where that is set and exceeded.
 */
int64_t standin_fault_time_ms(
    const standin_t *standin, const char *name, unsigned running);

/* Calls run(data) once after delay_ms. */
void standin_call_after(
    standin_t *standin, int64_t delay_ms, void (*run)(void *data), void *data);

#endif
