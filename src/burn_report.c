#include "burn.h"

#include "json.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	CHART_WIDTH = 480,
	BAR_PITCH = 8,
	BAR_GAP = 2,
	SERVICE_CHART_HEIGHT = 96,
	ROW_CHART_HEIGHT = 32
};

/*
 * Limits of the burn rate at the top of the charts, which share one scale. The
 * maximum keeps one minute of failures from flattening the other bars.
 */
static const double SCALE_MAX = 10;
static const double SCALE_MIN = 2;

/*
 * One series of a report, or the sum of a service's series. Strings are
 * borrowed from the report.
 */
typedef struct view {
	const char *service;
	const char *version;
	const char *zone;
	double target;
	burn_counts_t short_window;
	burn_counts_t long_window;
	burn_counts_t minutes[BURN_LONG_SLOTS];
	burn_level_t level;
} view_t;

static burn_counts_t
read_counts(const json_t *counts)
{
	return (burn_counts_t){
	    .good = (uint64_t)json_get_int(counts, "good", 0),
	    .bad = (uint64_t)json_get_int(counts, "bad", 0),
	};
}

static uint64_t
read_minute_count(const json_t *minute, size_t index)
{
	return (uint64_t)json_integer_value(json_array_get(minute, index));
}

static void
read_view(const json_t *series, view_t *view)
{
	const json_t *minutes = json_object_get(series, "minutes");

	view->service = json_get_string(series, "service", "");
	view->version = json_get_string(series, "version", "");
	view->zone = json_get_string(series, "zone", "");
	view->target = json_get_double(series, "target", 0);
	view->short_window = read_counts(json_object_get(series, "short"));
	view->long_window = read_counts(json_object_get(series, "long"));
	view->level = burn_series_level(series);
	for (size_t i = 0; i < BURN_LONG_SLOTS; i++) {
		const json_t *minute = json_array_get(minutes, i);

		view->minutes[i].good = read_minute_count(minute, 0);
		view->minutes[i].bad = read_minute_count(minute, 1);
	}
}

static double
view_burn_rate(const view_t *view, burn_counts_t counts)
{
	return burn_rate((double)counts.good, (double)counts.bad, view->target);
}

static uint64_t
total_requests(burn_counts_t counts)
{
	return counts.good + counts.bad;
}

static int
compare_views(const void *a, const void *b)
{
	const view_t *x = a, *y = b;
	double x_rate = view_burn_rate(x, x->long_window),
	       y_rate = view_burn_rate(y, y->long_window);
	int order = (int)y->level - (int)x->level;

	if (order == 0)
		order = x_rate > y_rate ? -1 : x_rate < y_rate;
	if (order == 0)
		order = strcmp(x->service, y->service);
	if (order == 0)
		order = strcmp(x->version, y->version);
	return order != 0 ? order : strcmp(x->zone, y->zone);
}

/* Views of a report's series, worst first. Caller frees. */
static GArray *
read_views(const json_t *report)
{
	GArray *views = g_array_new(FALSE, TRUE, sizeof(view_t));
	const json_t *series;
	size_t i;

	json_array_foreach (json_object_get(report, "series"), i, series) {
		view_t view = {0};

		read_view(series, &view);
		g_array_append_val(views, view);
	}
	g_array_sort(views, compare_views);
	return views;
}

static void
add_counts(burn_counts_t *into, burn_counts_t from)
{
	into->good += from.good;
	into->bad += from.bad;
}

static void
add_view(view_t *into, const view_t *from)
{
	add_counts(&into->short_window, from->short_window);
	add_counts(&into->long_window, from->long_window);
	for (size_t i = 0; i < BURN_LONG_SLOTS; i++)
		add_counts(&into->minutes[i], from->minutes[i]);
	/* The level of a service is that of its worst series. */
	into->level = MAX(into->level, from->level);
	into->target = from->target;
}

/* One view per service, worst first. Caller frees. */
static GArray *
sum_services(const GArray *views)
{
	GArray *services = g_array_new(FALSE, TRUE, sizeof(view_t));

	for (guint i = 0; i < views->len; i++) {
		const view_t *view = &g_array_index(views, view_t, i);
		view_t *found = NULL;
		view_t sum = {.service = view->service};

		for (guint s = 0; s < services->len && found == NULL; s++) {
			view_t *other = &g_array_index(services, view_t, s);

			if (strcmp(other->service, view->service) == 0)
				found = other;
		}
		if (found == NULL) {
			g_array_append_val(services, sum);
			found =
			    &g_array_index(services, view_t, services->len - 1);
		}
		add_view(found, view);
	}
	g_array_sort(services, compare_views);
	return services;
}

static const char *const level_names[] = {
    [BURN_OK] = "ok",
    [BURN_SLOW] = "over budget",
    [BURN_FAST] = "fast burn",
};

static const char *const level_classes[] = {
    [BURN_OK] = "ok",
    [BURN_SLOW] = "slow",
    [BURN_FAST] = "fast",
};

static void
append_time(const json_t *report, GString *out)
{
	time_t at = (time_t)(json_get_int(report, "at_ms", 0) / 1000);
	struct tm tm;
	char text[32];

	gmtime_r(&at, &tm);
	strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%S UTC", &tm);
	g_string_append(out, text);
}

/* Number of nodes in the report, and of those that did not respond. */
static void
append_nodes(const json_t *report, GString *out)
{
	int64_t nodes = json_get_int(report, "nodes", 1);
	int64_t missing = json_get_int(report, "nodes_missing", 0);

	g_string_append_printf(
	    out, "%" G_GINT64_FORMAT " node%s", nodes, nodes == 1 ? "" : "s");
	if (missing > 0)
		g_string_append_printf(
		    out, ", %" G_GINT64_FORMAT " not answering", missing);
}

void
burn_render_text(const json_t *report, GString *out)
{
	GArray *views = read_views(report);

	g_string_append(out, "SLO burn at ");
	append_time(report, out);
	g_string_append(out, " (");
	append_nodes(report, out);
	g_string_append(out, ")\n1.0 spends exactly the error budget.\n\n");
	g_string_append_printf(out,
	    "%-12s %-28s %-14s %-10s %8s %8s %10s %8s\n", "STATE", "SERVICE",
	    "VERSION", "ZONE", "5 MIN", "1 H", "REQUESTS", "MISSED");
	for (guint i = 0; i < views->len; i++) {
		const view_t *view = &g_array_index(views, view_t, i);

		g_string_append_printf(out,
		    "%-12s %-28s %-14s %-10s %8.2f %8.2f %10" G_GUINT64_FORMAT
		    " %8" G_GUINT64_FORMAT "\n",
		    level_names[view->level], view->service, view->version,
		    view->zone, view_burn_rate(view, view->short_window),
		    view_burn_rate(view, view->long_window),
		    total_requests(view->long_window), view->long_window.bad);
	}
	if (views->len == 0)
		g_string_append(out, "no request in the last hour\n");
	g_array_free(views, TRUE);
}

static const char page_head[] =
    "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<meta name=\"viewport\" content=\"width=device-width\">"
    "<title>SLO burn</title><style>"
    "body{font:14px/1.4 system-ui,sans-serif;margin:0;background:#f4f5f7;"
    "color:#1d2430}"
    "main{max-width:1120px;margin:0 auto;padding:20px 24px}"
    "h1{font-size:22px;margin:0}h2{font-size:17px;margin:0}"
    ".sub{color:#5b6676}.num{text-align:right;"
    "font-variant-numeric:tabular-nums}"
    ".tiles{display:flex;gap:12px;margin:14px 0}"
    ".tile{background:#fff;border-radius:8px;padding:10px 16px;flex:1;"
    "border:1px solid #dfe3e8}.tile b{display:block;font-size:24px}"
    ".card{background:#fff;border:1px solid #dfe3e8;border-radius:8px;"
    "margin:12px 0;padding:14px 16px;border-left:6px solid #2e8b57}"
    ".card.slow{border-left-color:#d98500}"
    ".card.fast{border-left-color:#c62828}"
    ".head{display:flex;align-items:center;gap:18px}"
    ".name{flex:1}.big{font-size:24px;font-weight:600;line-height:1.1}"
    ".stat{width:84px;text-align:right}.stat .sub{font-size:12px}"
    ".pill{display:inline-block;border-radius:10px;padding:1px 9px;"
    "font-size:12px;font-weight:600;background:#e3f3ea;color:#1d6b41}"
    ".pill.slow{background:#fdf0d9;color:#8a5500}"
    ".pill.fast{background:#fbe0e0;color:#a11616}"
    "table{width:100%;border-collapse:collapse;margin-top:10px}"
    "th{font-weight:500;color:#5b6676;font-size:12px;text-align:left}"
    "th.num{text-align:right}"
    "td,th{padding:3px 8px 3px 0;border-top:1px solid #eceff2}"
    "td:last-child{padding-right:0}td .pill{white-space:nowrap}"
    "tr>:nth-child(1){width:14%}tr>:nth-child(2){width:10%}"
    "tr>:nth-child(3){width:11%}"
    "svg{display:block}"
    "@media(prefers-color-scheme:dark){body{background:#14181f;"
    "color:#e6e9ee}.card,.tile{background:#1d232d;border-color:#313946}"
    ".sub,th{color:#9aa5b5}td,th{border-top-color:#313946}}"
    "</style></head><body><main>";

static void
append_escaped(GString *out, const char *text)
{
	char *escaped = g_markup_escape_text(text, -1);

	g_string_append(out, escaped);
	g_free(escaped);
}

static const char *
bar_colour(double rate)
{
	if (rate >= 6)
		return "#c62828";
	return rate > 1 ? "#d98500" : "#5b9bd5";
}

static void
append_bar(GString *out, size_t minute, double rate, double scale, int height)
{
	double bar_height = MIN(rate / scale, 1) * height;

	/* A minute with requests and no miss is still visible. */
	bar_height = MAX(bar_height, 1.5);
	g_string_append_printf(out,
	    "<rect x=\"%zu\" y=\"%.1f\" width=\"%d\" height=\"%.1f\" "
	    "fill=\"%s\"/>",
	    minute * BAR_PITCH, height - bar_height, BAR_PITCH - BAR_GAP,
	    bar_height, bar_colour(rate));
}

/* Bars of the burn rate per minute, and a dashed line at a rate of 1. */
static void
append_chart(GString *out, const view_t *view, double scale, int height)
{
	double budget_line_y = height - height / scale;

	g_string_append_printf(out,
	    "<svg role=\"img\" aria-label=\"burn per minute\" width=\"%d\" "
	    "height=\"%d\" viewBox=\"0 0 %d %d\">"
	    "<rect width=\"%d\" height=\"%d\" fill=\"#8892a0\" "
	    "fill-opacity=\"0.09\"/>",
	    CHART_WIDTH, height, CHART_WIDTH, height, CHART_WIDTH, height);
	for (size_t i = 0; i < BURN_LONG_SLOTS; i++)
		if (total_requests(view->minutes[i]) > 0)
			append_bar(out, i,
			    view_burn_rate(view, view->minutes[i]), scale,
			    height);
	g_string_append_printf(out,
	    "<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
	    "stroke=\"#66707e\" stroke-dasharray=\"4 3\"/>",
	    CHART_WIDTH, budget_line_y, budget_line_y);
	g_string_append(out, "</svg>");
}

static void
append_axis(GString *out)
{
	g_string_append_printf(out,
	    "<svg width=\"%d\" height=\"16\" viewBox=\"0 0 %d 16\" "
	    "font-size=\"11\" fill=\"#7b8594\">"
	    "<text x=\"0\" y=\"12\">60 min ago</text>"
	    "<text x=\"%d\" y=\"12\" text-anchor=\"middle\">"
	    "dashed: budget spent exactly (1&#215;)</text>"
	    "<text x=\"%d\" y=\"12\" text-anchor=\"end\">now</text></svg>",
	    CHART_WIDTH, CHART_WIDTH, CHART_WIDTH / 2, CHART_WIDTH);
}

static void
append_pill(GString *out, burn_level_t level)
{
	g_string_append_printf(out, "<span class=\"pill %s\">%s</span>",
	    level_classes[level], level_names[level]);
}

static void
append_stat(GString *out, double rate, const char *label)
{
	g_string_append_printf(out,
	    "<div class=\"stat\"><div class=\"big\">%.2f&#215;</div>"
	    "<div class=\"sub\">%s</div></div>",
	    rate, label);
}

static void
append_row(GString *out, const view_t *view, double scale)
{
	g_string_append(out, "<tr><td>");
	append_escaped(out, view->version);
	g_string_append(out, "</td><td>");
	append_escaped(out, view->zone);
	g_string_append(out, "</td><td>");
	append_pill(out, view->level);
	g_string_append_printf(out,
	    "</td><td class=\"num\">%.2f</td><td class=\"num\">%.2f</td>"
	    "<td class=\"num\">%" G_GUINT64_FORMAT
	    "</td><td class=\"num\">%" G_GUINT64_FORMAT
	    "</td><td style=\"width:%dpx\">",
	    view_burn_rate(view, view->short_window),
	    view_burn_rate(view, view->long_window),
	    total_requests(view->long_window), view->long_window.bad,
	    CHART_WIDTH);
	append_chart(out, view, scale, ROW_CHART_HEIGHT);
	g_string_append(out, "</td></tr>");
}

static void
append_rows(
    GString *out, const GArray *views, const char *service, double scale)
{
	g_string_append(out,
	    "<table><tr><th>version</th><th>zone</th><th>state</th>"
	    "<th class=\"num\">5 min</th><th class=\"num\">1 h</th>"
	    "<th class=\"num\">requests</th><th class=\"num\">missed</th>"
	    "<th>last hour</th></tr>");
	for (guint i = 0; i < views->len; i++) {
		const view_t *view = &g_array_index(views, view_t, i);

		if (strcmp(view->service, service) == 0)
			append_row(out, view, scale);
	}
	g_string_append(out, "</table>");
}

static void
append_service(
    GString *out, const view_t *service, const GArray *views, double scale)
{
	g_string_append_printf(out,
	    "<section class=\"card %s\"><div class=\"head\">"
	    "<div class=\"name\"><h2>",
	    level_classes[service->level]);
	append_escaped(out, service->service);
	g_string_append(out, "</h2>");
	append_pill(out, service->level);
	g_string_append_printf(out,
	    "<div class=\"sub\">objective %.4g%% &#183; missed %.2f%%</div>"
	    "</div>",
	    service->target * 100,
	    burn_rate((double)service->long_window.good,
		(double)service->long_window.bad, 0) *
		100);
	append_stat(
	    out, view_burn_rate(service, service->short_window), "5 min");
	append_stat(out, view_burn_rate(service, service->long_window), "1 h");
	g_string_append(out, "<div>");
	append_chart(out, service, scale, SERVICE_CHART_HEIGHT);
	append_axis(out);
	g_string_append(out, "</div></div>");
	append_rows(out, views, service->service, scale);
	g_string_append(out, "</section>");
}

static void
append_tile(GString *out, uint64_t value, const char *label)
{
	g_string_append_printf(out,
	    "<div class=\"tile\"><b>%" G_GUINT64_FORMAT
	    "</b><span class=\"sub\">%s</span></div>",
	    value, label);
}

static void
append_tiles(GString *out, const GArray *services)
{
	uint64_t levels[BURN_FAST + 1] = {0}, requests = 0, missed = 0;

	for (guint i = 0; i < services->len; i++) {
		const view_t *view = &g_array_index(services, view_t, i);

		levels[view->level]++;
		requests += total_requests(view->long_window);
		missed += view->long_window.bad;
	}
	g_string_append(out, "<div class=\"tiles\">");
	append_tile(out, levels[BURN_FAST], "services in fast burn");
	append_tile(out, levels[BURN_SLOW], "services over budget");
	append_tile(out, levels[BURN_OK], "services ok");
	append_tile(out, requests, "requests in the last hour");
	append_tile(out, missed, "of them missed the objective");
	g_string_append(out, "</div>");
}

static double
chart_scale(const GArray *views)
{
	double max_rate = SCALE_MIN;

	for (guint i = 0; i < views->len; i++) {
		const view_t *view = &g_array_index(views, view_t, i);

		for (size_t m = 0; m < BURN_LONG_SLOTS; m++)
			max_rate = MAX(
			    max_rate, view_burn_rate(view, view->minutes[m]));
	}
	return MIN(max_rate, SCALE_MAX);
}

void
burn_render_html(const json_t *report, GString *out)
{
	GArray *views = read_views(report);
	GArray *services = sum_services(views);
	double scale = chart_scale(views);

	g_string_append(out, page_head);
	g_string_append(out, "<h1>SLO burn</h1><div class=\"sub\">");
	append_time(report, out);
	g_string_append(out, " &#183; ");
	append_nodes(report, out);
	g_string_append_printf(out,
	    " &#183; 1&#215; spends exactly the error budget; bars reach "
	    "%.0f&#215;</div>",
	    scale);
	append_tiles(out, services);
	for (guint i = 0; i < services->len; i++)
		append_service(
		    out, &g_array_index(services, view_t, i), views, scale);
	if (services->len == 0)
		g_string_append(out, "<p>No request in the last hour.</p>");
	g_string_append(out, "</main></body></html>\n");
	g_array_free(services, TRUE);
	g_array_free(views, TRUE);
}
