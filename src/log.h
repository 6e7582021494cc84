#ifndef PAPAYA_LOG_H
#define PAPAYA_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * Structured log lines. Writing never blocks: lines wait in a bounded buffer
 * while the reader is slow, and are dropped and counted once it is full. Lines
 * of the lowest level, which repeat, may use a part of it only, so that the
 * lines of failures are dropped last.
 */
typedef enum log_level {
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR,
	LOG_LEVELS
} log_level_t;

/*
 * Starts logging under a program's name to a descriptor. Returns 0, or -1 with
 * no log.
 */
int log_start(const char *program, int fd);

/*
 * Lines wait for a timer of the loop, which writes them several times a second;
 * without a loop each line is written at once, as far as the reader takes it.
 */
void log_use_loop(uv_loop_t *loop);

void log_stop(void);

/*
 * Writes one line: time, level, program, event, then the printf-like fields as
 * key=value pairs.
 */
void log_event(log_level_t level, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* Lines of a level given up because the reader was too slow. */
uint64_t log_dropped_count(log_level_t level);

/* Writes what waits, as far as the reader takes it. */
void log_flush(void);

#endif
