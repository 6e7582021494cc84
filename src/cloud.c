#include "cloud.h"

#include "json.h"

#include <string.h>
#include <sys/queue.h>

enum {
	/* Any further hosts or notices in a response are ignored. */
	HOSTS_MAX = 100000,
};

/* One call in progress. Owned by its cloud_t. */
typedef struct cloud_op {
	LIST_ENTRY(cloud_op) entries;
	cloud_t *cloud;
	http_call_t *call;
	const char *list_key; /* of the array of hosts; NULL: one host */
	cloud_callback_t on_complete;
	void *data;
} cloud_op_t;

struct cloud {
	http_client_t *http;
	char *url;
	int64_t timeout_ms;
	LIST_HEAD(, cloud_op) ops;
};

cloud_t *
cloud_new(http_client_t *http, const char *url, int64_t timeout_ms)
{
	cloud_t *cloud = g_new0(cloud_t, 1);
	size_t length = strlen(url);

	while (length > 0 && url[length - 1] == '/')
		length--;
	cloud->http = http;
	cloud->url = g_strndup(url, length);
	cloud->timeout_ms = timeout_ms;
	LIST_INIT(&cloud->ops);
	return cloud;
}

static void
op_free(cloud_op_t *op)
{
	LIST_REMOVE(op, entries);
	g_free(op);
}

void
cloud_free(cloud_t *cloud)
{
	cloud_op_t *op;

	if (cloud == NULL)
		return;
	while ((op = LIST_FIRST(&cloud->ops)) != NULL) {
		http_call_cancel(op->call);
		op_free(op);
	}
	g_free(cloud->url);
	g_free(cloud);
}

static cloud_status_t
status_of_response(const http_call_t *call, const http_result_t *result)
{
	if (result->outcome != HTTP_OUTCOME_COMPLETE)
		return CLOUD_FAILED;
	switch (http_call_status(call)) {
	case 200:
	case 201:
	case 204:
		return CLOUD_OK;
	case 404:
		return CLOUD_NOT_FOUND;
	case 409:
		return CLOUD_NO_CAPACITY;
	default:
		return CLOUD_FAILED;
	}
}

static cloud_host_state_t
parse_host_state(const json_t *json, int64_t leave_at_ms)
{
	const char *state = json_get_string(
	    json, "state", leave_at_ms > 0 ? "leaving" : "live");

	if (strcmp(state, "gone") == 0)
		return CLOUD_HOST_GONE;
	return strcmp(state, "leaving") == 0 ? CLOUD_HOST_LEAVING
					     : CLOUD_HOST_LIVE;
}

/* Skips an entry without a host name. */
static void
append_host(GArray *hosts, const json_t *json)
{
	cloud_host_t host = {
	    .host = json_get_string(json, "host", ""),
	    .zone = json_get_string(json, "zone", ""),
	    .class = json_get_string(json, "class", ""),
	    .reclaimable = json_get_bool(json, "reclaimable", false),
	    .leave_at_ms = MAX(json_get_int(json, "leave_at_ms", 0), 0),
	};

	host.state = parse_host_state(json, host.leave_at_ms);
	if (host.host[0] != '\0' && hosts->len < HOSTS_MAX)
		g_array_append_val(hosts, host);
}

static void
parse_hosts(const cloud_op_t *op, const json_t *json, GArray *hosts)
{
	const json_t *list = json_object_get(json, op->list_key);
	const json_t *entry;
	size_t i;

	if (!json_is_array(list)) {
		append_host(hosts, json);
		return;
	}
	json_array_foreach (list, i, entry)
		append_host(hosts, entry);
}

static void
on_response(http_call_t *call, const http_result_t *response, void *data)
{
	cloud_op_t *op = data;
	GArray *hosts = g_array_new(FALSE, FALSE, sizeof(cloud_host_t));
	cloud_result_t result = {.status = status_of_response(call, response)};
	cloud_callback_t on_complete = op->on_complete;
	void *callback_data = op->data;
	json_t *json = NULL;

	if (result.status == CLOUD_OK) {
		json = json_parse(
		    response->body, response->body_length, "cloud", NULL);
		result.next_after = json_get_int(json, "next", -1);
		parse_hosts(op, json, hosts);
		if (json == NULL ||
		    (op->list_key != NULL &&
			!json_is_array(json_object_get(json, op->list_key))))
			result.status = CLOUD_FAILED;
	}
	result.hosts = (const cloud_host_t *)(const void *)hosts->data;
	result.host_count = hosts->len;
	op_free(op);
	on_complete(&result, callback_data);
	g_array_free(hosts, TRUE);
	json_decref(json);
}

typedef struct cloud_request {
	const char *method;
	char *path;	      /* freed by start_op() */
	json_t *body;	      /* released by start_op(); or NULL */
	const char *list_key; /* see cloud_op_t */
	int64_t wait_ms;      /* of a long poll */
} cloud_request_t;

static void
start_op(cloud_t *cloud, const cloud_request_t *request,
    cloud_callback_t on_complete, void *data)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	cloud_op_t *op = g_new0(cloud_op_t, 1);
	char *url = g_strconcat(cloud->url, request->path, NULL);
	char *body = request->body == NULL ? NULL : json_text(request->body);
	http_call_options_t options = {
	    .method = request->method,
	    .url = url,
	    .headers = body == NULL ? NULL : headers,
	    .body = body,
	    .body_length = body == NULL ? 0 : strlen(body),
	    .timeout_ms = cloud->timeout_ms + request->wait_ms,
	    .on_complete = on_response,
	    .data = op,
	};

	op->cloud = cloud;
	op->list_key = request->list_key;
	op->on_complete = on_complete;
	op->data = data;
	LIST_INSERT_HEAD(&cloud->ops, op, entries);
	op->call = http_call_start(cloud->http, &options);
	json_decref(request->body);
	g_free(request->path);
	g_free(body);
	g_free(url);
}

void
cloud_list_hosts(cloud_t *cloud, cloud_callback_t on_complete, void *data)
{
	cloud_request_t request = {.method = "GET",
	    .path = g_strdup("/v1/hosts"),
	    .list_key = "hosts"};

	start_op(cloud, &request, on_complete, data);
}

void
cloud_poll_notices(cloud_t *cloud, int64_t after, int64_t wait_ms,
    cloud_callback_t on_complete, void *data)
{
	cloud_request_t request = {
	    .method = "GET",
	    .path = g_strdup_printf("/v1/notices?after=%" G_GINT64_FORMAT
				    "&timeout_ms=%" G_GINT64_FORMAT,
		after, wait_ms),
	    .list_key = "notices",
	    .wait_ms = wait_ms,
	};

	start_op(cloud, &request, on_complete, data);
}

void
cloud_create_host(cloud_t *cloud, const char *zone, const char *class,
    bool reclaimable, cloud_callback_t on_complete, void *data)
{
	cloud_request_t request = {
	    .method = "POST",
	    .path = g_strdup("/v1/hosts"),
	    .body = json_pack("{s:s,s:s,s:b}", "zone", zone, "class", class,
		"reclaimable", reclaimable),
	};

	start_op(cloud, &request, on_complete, data);
}

void
cloud_delete_host(
    cloud_t *cloud, const char *host, cloud_callback_t on_complete, void *data)
{
	char *escaped = g_uri_escape_string(host, NULL, FALSE);
	cloud_request_t request = {
	    .method = "DELETE",
	    .path = g_strconcat("/v1/hosts/", escaped, NULL),
	};

	g_free(escaped);
	start_op(cloud, &request, on_complete, data);
}
