#include "burn.h"
#include "clock.h"
#include "error.h"
#include "json.h"
#include "node.h"

#include <string.h>
#include <sys/queue.h>

enum {
	NODE_TIMEOUT_MS = 3000,
	CALLS_MAX = 16, /* to other nodes at once, per report */
};

static const char report_path[] = "/v1/admin/report";

typedef enum format { FORMAT_TEXT, FORMAT_JSON, FORMAT_HTML } format_t;

static const char *const format_names[] = {"text", "json", "html"};

/* A report that sums several nodes'. Owned by the part. */
typedef struct gather {
	LIST_ENTRY(gather) entries;
	node_t *node;
	http_request_t *request;
	format_t format;
	json_t *report;
	GPtrArray *addresses; /* IP:PORT still to be asked */
	unsigned calls;
	int nodes;
	int missing;
} gather_t;

struct node_reports {
	burn_t *burn;
	LIST_HEAD(, gather) gathers;
};

void
node_reports_start(node_t *node)
{
	node->reports = g_new0(node_reports_t, 1);
	node->reports->burn = burn_new();
	LIST_INIT(&node->reports->gathers);
}

static void
gather_free(gather_t *gather)
{
	LIST_REMOVE(gather, entries);
	http_request_unref(gather->request);
	json_decref(gather->report);
	g_ptr_array_free(gather->addresses, TRUE);
	g_free(gather);
}

/* Calls in progress end without an answer when the client is freed. */
void
node_reports_free(node_t *node)
{
	gather_t *gather;

	if (node->reports == NULL)
		return;
	while ((gather = LIST_FIRST(&node->reports->gathers)) != NULL)
		gather_free(gather);
	burn_free(node->reports->burn);
	g_free(node->reports);
	node->reports = NULL;
}

void
node_report_count(node_t *node, const service_t *service, const char *version,
    bool ok, double first_ms)
{
	int limit_ms = service->kind == SERVICE_MODEL
			   ? service->slo.first_token_ms
			   : service->slo.answer_ms;
	bool good = ok && (limit_ms == 0 || first_ms <= limit_ms);
	burn_key_t key = {service->name, version, node->config->zone};

	burn_record(node->reports->burn, &key, service->slo.target,
	    (burn_counts_t){.good = good, .bad = !good}, clock_wall_ms());
}

static void
reply(http_request_t *request, json_t *report, format_t format)
{
	http_header_t header = {"content-type",
	    format == FORMAT_HTML ? "text/html; charset=utf-8"
				  : "text/plain; charset=utf-8"};
	GString *out;

	if (format == FORMAT_JSON) {
		http_reply_json(request, 200, json_incref(report));
		return;
	}
	out = g_string_new(NULL);
	if (format == FORMAT_HTML)
		burn_render_html(report, out);
	else
		burn_render_text(report, out);
	http_reply(request, 200, &header, 1, out->str, out->len);
	g_string_free(out, TRUE);
}

static void gather_step(gather_t *gather);

static void
on_node_report(http_call_t *call, const http_result_t *result, void *data)
{
	gather_t *gather = data;
	json_t *json = NULL;

	if (result->outcome == HTTP_OUTCOME_COMPLETE && result->status == 200)
		json = json_parse(
		    result->body, result->body_length, "report", NULL);
	if (json != NULL && burn_report_merge(gather->report, json))
		gather->nodes++;
	else
		gather->missing++;
	json_decref(json);
	gather->calls--;
	gather_step(gather);
}

static void
ask_node(gather_t *gather, const char *address)
{
	char *url =
	    g_strdup_printf("http://%s%s?format=json", address, report_path);
	http_call_options_t options = {
	    .url = url,
	    .timeout_ms = NODE_TIMEOUT_MS,
	    .on_complete = on_node_report,
	    .data = gather,
	};

	gather->calls++;
	http_call_start(gather->node->http, &options);
	g_free(url);
}

static void
gather_step(gather_t *gather)
{
	GPtrArray *left = gather->addresses;

	while (left->len > 0 && gather->calls < CALLS_MAX) {
		ask_node(gather, left->pdata[left->len - 1]);
		g_ptr_array_remove_index(left, left->len - 1);
	}
	if (gather->calls > 0)
		return;
	json_object_set_new(
	    gather->report, "nodes", json_integer(gather->nodes));
	json_object_set_new(
	    gather->report, "nodes_missing", json_integer(gather->missing));
	reply(gather->request, gather->report, gather->format);
	gather_free(gather);
}

static void
add_address(const char *name, const char *http_address, void *data)
{
	g_ptr_array_add(data, g_strdup(http_address));
}

static void
gather_start(node_t *node, http_request_t *request, format_t format)
{
	gather_t *gather = g_new0(gather_t, 1);

	gather->node = node;
	gather->request = http_request_ref(request);
	gather->format = format;
	gather->report = burn_report(node->reports->burn, clock_wall_ms());
	gather->addresses = g_ptr_array_new_with_free_func(g_free);
	gather->nodes = 1;
	LIST_INSERT_HEAD(&node->reports->gathers, gather, entries);
	node_peers_each(node, add_address, gather->addresses);
	gather_step(gather);
}

static bool
read_format(const http_request_t *request, format_t *format)
{
	char *name = http_request_query_param(request, "format");
	bool found = name == NULL;

	*format = FORMAT_TEXT;
	for (unsigned i = 0; !found && i < G_N_ELEMENTS(format_names); i++) {
		found = strcmp(name, format_names[i]) == 0;
		*format = (format_t)i;
	}
	g_free(name);
	return found;
}

bool
node_report_handle(node_t *node, http_request_t *request)
{
	char *scope;
	format_t format;
	json_t *report;
	GError *error = NULL;

	if (strcmp(http_request_path(request), report_path) != 0 ||
	    strcmp(http_request_method(request), "GET") != 0)
		return false;
	scope = http_request_query_param(request, "scope");
	if (!read_format(request, &format)) {
		papaya_error_set(&error, PAPAYA_ERROR_BAD_REQUEST,
		    "parameter \"format\" is none of text, json, html; "
		    "correct it");
		http_reply_error(request, error, true);
		g_error_free(error);
	} else if (g_strcmp0(scope, "all") == 0) {
		gather_start(node, request, format);
	} else {
		report = burn_report(node->reports->burn, clock_wall_ms());
		reply(request, report, format);
		json_decref(report);
	}
	g_free(scope);
	return true;
}
