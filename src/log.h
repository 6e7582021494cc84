#ifndef PAPAYA_LOG_H
#define PAPAYA_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * Structured log lines. Logging never blocks: while the reader is slow, lines
 * are kept in a bounded buffer; when it is full, new lines are dropped and
 * counted. Info lines, which are frequent, may use only half of the buffer, so
 * that they are dropped before warnings and errors are.
 */
typedef enum log_level {
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR,
	LOG_LEVELS
} log_level_t;

/*
 * Starts logging to a file descriptor; each line has the program's name, which
 * is not copied. Returns 0, or -1 if log4c fails to start; nothing is logged
 * then.
 */
int log_start(const char *program, int fd);

/*
 * Writes buffered lines from a timer on the loop, ten times a second, or
 * as soon as 2 KiB are buffered. Without a loop, log_event() tries to write
 * each line at once.
 */
void log_use_loop(uv_loop_t *loop);

/* Flushes the buffer and stops logging. */
void log_stop(void);

/*
 * Logs one line: UTC time, level, program, event, then the fields as key=value
 * pairs, given in printf() style. Fields are cut after 1023 bytes.
 */
void log_event(log_level_t level, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* Number of lines of a level dropped because the buffer was full. */
uint64_t log_dropped_count(log_level_t level);

/*
 * Writes buffered lines until the buffer is empty or the reader accepts no
 * more.
 */
void log_flush(void);

#endif
