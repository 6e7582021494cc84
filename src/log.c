#include "log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>

static log4c_category_t *log_category;
static const char *log_program = "papaya";

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	static char line[1280];
	GDateTime *now = g_date_time_new_now_utc();
	char *stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");

	g_snprintf(line, sizeof(line), "%s.%03dZ %s %s %s\n", stamp,
	    g_date_time_get_microsecond(now) / 1000,
	    log4c_priority_to_string(event->evt_priority), log_program,
	    event->evt_msg);
	g_free(stamp);
	g_date_time_unref(now);
	return line;
}

/* log4c's own stderr appender puts its name before each line. */
static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	return fputs(event->evt_rendered_msg, stderr) < 0 ? -1 : 0;
}

static const log4c_appender_type_t appender_type = {
    .name = "papaya_stderr", .append = append_line};

static const log4c_layout_type_t layout_type = {
    .name = "papaya", .format = format_line};

int
log_start(const char *program)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	log_program = program;
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

void
log_stop(void)
{
	log_category = NULL;
	log4c_fini();
}

void
log_event(log_level_t level, const char *event, const char *format, ...)
{
	static const int priorities[] = {
	    [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
	    [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
	    [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
	};
	char fields[1024];
	va_list args;

	if (log_category == NULL)
		return;
	va_start(args, format);
	g_vsnprintf(fields, sizeof(fields), format, args);
	va_end(args);
	log4c_category_log(
	    log_category, priorities[level], "%s %s", event, fields);
}
