#include "log.h"

#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum {
	/* Size of the buffer for lines that are not written yet. */
	BUFFER_MAX_BYTES = 256 * 1024,
	/* An info line is dropped if the buffer would grow beyond this. */
	BUFFER_INFO_MAX_BYTES = 128 * 1024,
	/*
	 * PIPE_BUF of Linux: a pipe that polls as writable accepts a write of
	 * this size without blocking.
	 */
	WRITE_MAX_BYTES = 4096,
	FLUSH_INTERVAL_MS = 100,
};

static log4c_category_t *log_category;
static const char *log_program = "papaya";
static int log_fd = STDERR_FILENO;
static GString *log_buffer;
static bool log_flushes_by_timer; /* see log_use_loop() */
static uv_timer_t log_timer;
static uint64_t log_dropped_lines[LOG_LEVELS];
static uint64_t log_reported_lines[LOG_LEVELS];

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	static char line[1280];
	GDateTime *now = g_date_time_new_now_utc();
	char *timestamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");

	g_snprintf(line, sizeof(line), "%s.%03dZ %s %s %s\n", timestamp,
	    g_date_time_get_microsecond(now) / 1000,
	    log4c_priority_to_string(event->evt_priority), log_program,
	    event->evt_msg);
	g_free(timestamp);
	g_date_time_unref(now);
	return line;
}

static bool
output_ready(void)
{
	struct pollfd output = {.fd = log_fd, .events = POLLOUT};

	return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/* Length of the whole lines that fit into one write that does not block. */
static size_t
write_length(const GString *text)
{
	const char *end;

	if (text->len <= WRITE_MAX_BYTES)
		return text->len;
	end = memrchr(text->str, '\n', WRITE_MAX_BYTES);
	return end == NULL ? WRITE_MAX_BYTES : (size_t)(end - text->str) + 1;
}

/* Logs how many lines of each level were dropped since the last report. */
static void
report_dropped(void)
{
	uint64_t new_lines[LOG_LEVELS], total = 0;

	for (int level = 0; level < LOG_LEVELS; level++) {
		new_lines[level] =
		    log_dropped_lines[level] - log_reported_lines[level];
		total += new_lines[level];
	}
	if (total == 0 || log_category == NULL)
		return;
	memcpy(
	    log_reported_lines, log_dropped_lines, sizeof(log_reported_lines));
	log_event(LOG_LEVEL_WARN, "log.dropped",
	    "info=%" G_GUINT64_FORMAT " warn=%" G_GUINT64_FORMAT
	    " error=%" G_GUINT64_FORMAT,
	    new_lines[LOG_LEVEL_INFO], new_lines[LOG_LEVEL_WARN],
	    new_lines[LOG_LEVEL_ERROR]);
}

void
log_flush(void)
{
	while (log_buffer != NULL && log_buffer->len > 0 && output_ready()) {
		ssize_t written =
		    write(log_fd, log_buffer->str, write_length(log_buffer));

		if (written <= 0)
			return; /* the next flush tries again */
		g_string_erase(log_buffer, 0, written);
	}
	report_dropped();
}

uint64_t
log_dropped_count(log_level_t level)
{
	return log_dropped_lines[level];
}

static log_level_t
event_level(const log4c_logging_event_t *event)
{
	switch (event->evt_priority) {
	case LOG4C_PRIORITY_WARN:
		return LOG_LEVEL_WARN;
	case LOG4C_PRIORITY_INFO:
		return LOG_LEVEL_INFO;
	default:
		return LOG_LEVEL_ERROR;
	}
}

/*
 * Used in place of log4c's own appenders, which prefix each line with their
 * name and block while the reader is slow.
 */
static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	size_t length = strlen(event->evt_rendered_msg);
	log_level_t level = event_level(event);
	size_t max_bytes =
	    level == LOG_LEVEL_INFO ? BUFFER_INFO_MAX_BYTES : BUFFER_MAX_BYTES;

	if (log_buffer->len + length > max_bytes) {
		log_dropped_lines[level]++;
		return 0;
	}
	g_string_append_len(
	    log_buffer, event->evt_rendered_msg, (gssize)length);
	if (!log_flushes_by_timer || log_buffer->len >= WRITE_MAX_BYTES / 2)
		log_flush();
	return 0;
}

static const log4c_appender_type_t appender_type = {
    .name = "papaya_output", .append = append_line};

static const log4c_layout_type_t layout_type = {
    .name = "papaya", .format = format_line};

int
log_start(const char *program, int fd)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	log_program = program;
	log_fd = fd;
	log_buffer = g_string_new(NULL);
	if (log4c_init() != 0)
		return -1;
	log4c_layout_type_set(&layout_type);
	layout = log4c_layout_get("papaya_layout");
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_type_set(&appender_type);
	appender = log4c_appender_get("papaya_appender");
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	log_category = log4c_category_get("papaya");
	log4c_category_set_appender(log_category, appender);
	log4c_category_set_priority(log_category, LOG4C_PRIORITY_INFO);
	return 0;
}

static void
on_flush(uv_timer_t *timer)
{
	log_flush();
}

void
log_use_loop(uv_loop_t *loop)
{
	log_flushes_by_timer = true;
	uv_timer_init(loop, &log_timer);
	uv_timer_start(
	    &log_timer, on_flush, FLUSH_INTERVAL_MS, FLUSH_INTERVAL_MS);
	/* The timer does not keep the loop running. */
	uv_unref((uv_handle_t *)&log_timer);
}

void
log_stop(void)
{
	log_flush();
	log_category = NULL;
	log4c_fini();
}

/*
 * Replaces what would break the line, or the reader of it: ids and names in it
 * come from clients and other processes. Newly allocated.
 */
static char *
printable_text(const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);

	for (char *byte = valid; *byte != '\0'; byte++)
		if (g_ascii_iscntrl(*byte))
			*byte = '?';
	return valid;
}

void
log_event(log_level_t level, const char *event, const char *format, ...)
{
	static const int log4c_priorities[] = {
	    [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
	    [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
	    [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
	};
	char fields[1024], *printable;
	va_list args;

	if (log_category == NULL)
		return;
	va_start(args, format);
	g_vsnprintf(fields, sizeof(fields), format, args);
	va_end(args);
	printable = printable_text(fields);
	log4c_category_log(
	    log_category, log4c_priorities[level], "%s %s", event, printable);
	g_free(printable);
}
