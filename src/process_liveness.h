#ifndef PAPAYA_PROCESS_LIVENESS_H
#define PAPAYA_PROCESS_LIVENESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Tells processes of backend servers that crashed from those that only lost a
 * response: both break a connection. A process that responds again, and that
 * service discovery still names some seconds later, has not crashed. A process
 * is the hash of its server's id and start time.
 *
 * Does no I/O. Times are those on which the nodes agree (Unix milliseconds).
 */
typedef struct process_liveness process_liveness_t;

process_liveness_t *process_liveness_new(void);
void process_liveness_free(process_liveness_t *processes);

/* A connection to the process broke. False where it has been alive since. */
bool process_liveness_add_crash(
    process_liveness_t *processes, uint32_t process, int64_t crashed_ms);

/*
 * The process has responded; confirmed_ms: when the node's copy of service
 * discovery was last confirmed. True where this proves that it is the process
 * of before the crash.
 */
bool process_liveness_add_response(process_liveness_t *processes,
    uint32_t process, int64_t now_ms, int64_t confirmed_ms);

/* A peer knows that it was alive then. True where this is news. */
bool process_liveness_merge(
    process_liveness_t *processes, uint32_t process, int64_t alive_ms);

/* When it was alive, after a crash was reported; 0: unknown. */
int64_t process_liveness_alive_ms(
    const process_liveness_t *processes, uint32_t process);

/* Calls back for each process that was alive after a report. */
void process_liveness_each(const process_liveness_t *processes,
    void (*callback)(uint32_t process, int64_t alive_ms, void *data),
    void *data);

/* Forgets processes of which nothing was reported since. */
void process_liveness_sweep(process_liveness_t *processes, int64_t since_ms);

#endif
