#ifndef PAPAYA_OVERLOAD_H
#define PAPAYA_OVERLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Decides which requests that can wait a service refuses while its urgent ones
 * miss their objective. Load: many engines are lost in a burst, and the prompts
 * of both kinds together need more than the remaining ones can read. Each node
 * decides alone, from what its urgent requests and those of the nodes that
 * report to it met. Refusals are divided fairly over the workspaces, by weight:
 * those that ask for more than their share are refused first. No I/O; times are
 * clock_boot_ms().
 */
typedef struct overload overload_t;

overload_t *overload_new(void);
void overload_free(overload_t *overload);

/*
 * Counts an urgent request whose response began, or that waits for longer than
 * overload_wait_max_ms().
 */
void overload_count_urgent(
    overload_t *overload, const char *service, bool late, int64_t now_ms);

/*
 * Longest time to the first byte of an urgent request with this objective that
 * does not count as late; unloaded_ms: what it takes at an idle server.
 */
int64_t overload_wait_max_ms(int64_t objective_ms, double unloaded_ms);

/* What the urgent requests of one node, or of several, met in the last second.
 */
typedef struct overload_counts {
	double on_time;
	double late;
} overload_counts_t;

/* Sum of what other nodes report. */
void overload_set_remote(overload_t *overload, const char *service,
    overload_counts_t counts, int64_t now_ms);

/*
 * Counts a request that can wait, and returns whether it may be sent. weight:
 * of its workspace, above 0; random: uniform in [0, 1).
 */
bool overload_admit(overload_t *overload, const char *service,
    const char *workspace, double weight, double random, int64_t now_ms);

/*
 * Time after which a refused request may be sent again. Spread over a second,
 * so that refused clients do not return at once; random: uniform in [0, 1).
 */
int64_t overload_retry_after_ms(double random);

/* Share of the requests that can wait which the service takes, up to 1. */
double overload_admitted_share(const overload_t *overload, const char *service);

/* True where so many urgent requests are late that others are refused. */
bool overload_is_present(
    overload_t *overload, const char *service, int64_t now_ms);

/* Calls the callback for each service with urgent requests. */
void overload_each(overload_t *overload, int64_t now_ms,
    void (*callback)(const char *service, overload_counts_t counts, void *data),
    void *data);

#endif
