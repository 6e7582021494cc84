#ifndef PAPAYA_SERVER_SPEED_H
#define PAPAYA_SERVER_SPEED_H

#include "ttft_model.h"

#include <stdint.h>

/*
 * Factors on the times that a service's model estimates: of each server, as
 * servers differ in speed, and of the whole service, as all of its servers may
 * become slower at once. A factor of 2 means twice the time.
 *
 * Loads: servers of unequal speed (0.7, 0.7 and 1.7 of the mean); servers that
 * are 2.5 times slower for 600 ms at a time, 15% of the time; half of the
 * servers lost in a burst. No I/O; times are clock_boot_ms(). Zeroed memory is
 * a server or a service of which nothing is known, whose factor is 1.
 *
 * Both are learned from the time that a request took and the model's estimate
 * without them, so that a factor does not become evidence for itself.
 */

/* Prompts whose evidence is kept apart: engines read urgent ones first. */
typedef enum speed_kind {
	SPEED_URGENT,
	SPEED_NOT_URGENT,
	SPEED_KINDS,
} speed_kind_t;

/* Sums over requests, weighted by age. */
typedef struct speed_sums {
	double weight; /* of the requests; 1 for a new one */
	double taken_ms;
	double expected_ms;
} speed_sums_t;

/* What is known of one server's speed. */
typedef struct server_speed {
	speed_sums_t own;   /* of this node's requests */
	int64_t updated_ms; /* of own */
	/* Sums over the peers' reports. */
	double report_weight;
	double report_factors; /* each times its weight */
	double excess;	       /* the factor minus 1 */
	/* Overdue prompts counted in a round, see service_speed_t. */
	unsigned overdue_round;
	unsigned overdue_count;
} server_speed_t;

/* This node's evidence on a server, for its peers. */
typedef struct speed_report {
	double factor;
	double weight; /* of the requests behind it; 0: no evidence */
} speed_report_t;

/*
 * Adds a request of this node that took taken_ms. expected_ms is what the
 * service's servers take for it at present, without the server's own factor.
 */
void server_speed_add(
    server_speed_t *speed, double taken_ms, double expected_ms, int64_t now_ms);

/* This node's evidence at a time; does not include that of its peers. */
speed_report_t server_speed_report(const server_speed_t *speed, int64_t now_ms);

/*
 * Replaces the peers' evidence: clear it, add each recent report, then update.
 * A report that is out of range counts as the nearest value that is not.
 */
void server_speed_clear_reports(server_speed_t *speed);
void server_speed_add_report(
    server_speed_t *speed, const speed_report_t *report);

/*
 * Computes the factor from all evidence. Called periodically, as old evidence
 * loses weight.
 */
void server_speed_update(server_speed_t *speed, int64_t now_ms);

/* The factor as of the last change. */
static inline double
server_speed_factor(const server_speed_t *speed)
{
	return 1 + speed->excess;
}

/* Recent evidence on all servers of an engines' service. */
typedef struct service_speed {
	struct service_speed_kind {
		double weight;
		double tokens; /* read up to the first token */
		double taken_ms;
		int64_t updated_ms;
		/* Of the prompts that are overdue at present. */
		double overdue_weight;
		double overdue_tokens;
		double overdue_ms;
	} kinds[SPEED_KINDS];
	unsigned round; /* counts replacements of the overdue prompts */
} service_speed_t;

/* Adds a prompt whose first token came after taken_ms and these tokens. */
void service_speed_add(service_speed_t *speed, speed_kind_t kind,
    const ttft_model_t *model, double tokens, double taken_ms, int64_t now_ms);

/*
 * Replaces the overdue prompts: clear them, then add each prompt that has been
 * sent and has no first token yet. Those that are not older than their
 * estimate are left out, as are further ones of the same server: a server
 * that hangs says nothing of the others.
 */
void service_speed_clear_overdue(service_speed_t *speed);
void service_speed_add_waiting(service_speed_t *speed, speed_kind_t kind,
    const ttft_model_t *model, server_speed_t *server, double tokens,
    double waited_ms, int64_t now_ms);

/* Factor of the service on the model's estimates of one kind of prompts. */
double service_speed_factor(const service_speed_t *speed, speed_kind_t kind,
    const ttft_model_t *model, int64_t now_ms);

#endif
