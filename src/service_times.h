#ifndef PAPAYA_SERVICE_TIMES_H
#define PAPAYA_SERVICE_TIMES_H

#include "plain_model.h"
#include "server_speed.h"
#include "ttft_model.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * What this node has learned of the times that the servers of one service take.
 * Loads: those of server_speed.h and plain_model.h. No I/O; times are
 * clock_boot_ms(). Zeroed memory is a service of which nothing is known.
 */
typedef struct service_times {
	ttft_model_t ttft_model;   /* engines */
	service_speed_t speed;	   /* engines */
	plain_model_t plain_model; /* other servers */
	bool slow[SPEED_KINDS];	   /* as last reported in the log */
} service_times_t;

/*
 * Adds a prompt whose first token came after ttft_ms and these tokens. server:
 * the speed of its engine; NULL: the engine still warms up, which shows nothing
 * of its later speed.
 */
void service_times_add_prompt(service_times_t *times, server_speed_t *server,
    speed_kind_t kind, double tokens, double ttft_ms, int64_t now_ms);

/*
 * Adds a response of a plain server that already had running requests when this
 * one was sent. server: as above.
 */
void service_times_add_response(service_times_t *times, server_speed_t *server,
    unsigned running, unsigned slots, double taken_ms, int64_t now_ms);

/*
 * Updates slow[kind] by the service's factor. True where it has changed, which
 * takes more than a small change of the factor.
 */
bool service_times_update_slow(
    service_times_t *times, speed_kind_t kind, double factor);

#endif
