#ifndef PAPAYA_LOG_H
#define PAPAYA_LOG_H

#include <glib.h>

/*
 * Structured log lines on stderr, for changes of state only; what happens at
 * each call is counted instead.
 */
typedef enum log_level {
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR
} log_level_t;

/* Starts logging under a program's name. Returns 0, or -1 with no log. */
int log_start(const char *program);
void log_stop(void);

/*
 * Writes one line: time, level, program, event, then the printf-like fields as
 * key=value pairs.
 */
void log_event(log_level_t level, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#endif
