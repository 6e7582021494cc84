#include "cloud.h"

#include "json.h"

#include <string.h>
#include <sys/queue.h>

enum {
	/* Hosts or notices taken from one response. */
	HOSTS_MAX = 100000,
};

/* One call in progress. Owned by its cloud. */
typedef struct cloud_op {
	LIST_ENTRY(cloud_op) entries;
	cloud_t *cloud;
	http_call_t *call;
	const char *list; /* member of the response that lists hosts */
	cloud_done_t done;
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
status_of(const http_call_t *call, const http_result_t *result)
{
	if (result->outcome != HTTP_OUTCOME_COMPLETE)
		return CLOUD_FAILED;
	switch (http_call_status(call)) {
	case 200:
	case 201:
	case 204:
		return CLOUD_OK;
	case 404:
		return CLOUD_ABSENT;
	case 409:
		return CLOUD_REFUSED;
	default:
		return CLOUD_FAILED;
	}
}

static cloud_host_state_t
state_of(const json_t *json, int64_t leave_at_ms)
{
	const char *state = json_get_string(
	    json, "state", leave_at_ms > 0 ? "leaving" : "live");

	if (strcmp(state, "gone") == 0)
		return CLOUD_HOST_GONE;
	return strcmp(state, "leaving") == 0 ? CLOUD_HOST_LEAVING
					     : CLOUD_HOST_LIVE;
}

/* An entry without a name is skipped. */
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

	host.state = state_of(json, host.leave_at_ms);
	if (host.host[0] != '\0' && hosts->len < HOSTS_MAX)
		g_array_append_val(hosts, host);
}

static void
read_hosts(const cloud_op_t *op, const json_t *json, GArray *hosts)
{
	const json_t *list = json_object_get(json, op->list);
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
on_answer(http_call_t *call, const http_result_t *http, void *data)
{
	cloud_op_t *op = data;
	GArray *hosts = g_array_new(FALSE, FALSE, sizeof(cloud_host_t));
	cloud_result_t result = {.status = status_of(call, http)};
	cloud_done_t done = op->done;
	void *done_data = op->data;
	json_t *json = NULL;

	if (result.status == CLOUD_OK) {
		json = json_parse(http->body, http->body_length, "cloud", NULL);
		result.next = json_get_int(json, "next", -1);
		read_hosts(op, json, hosts);
		if (json == NULL ||
		    (op->list != NULL &&
			!json_is_array(json_object_get(json, op->list))))
			result.status = CLOUD_FAILED;
	}
	result.hosts = (const cloud_host_t *)(const void *)hosts->data;
	result.count = hosts->len;
	op_free(op);
	done(&result, done_data);
	g_array_free(hosts, TRUE);
	json_decref(json);
}

typedef struct cloud_ask {
	const char *method;
	char *path;   /* taken over */
	json_t *body; /* taken over; or NULL */
	const char *list;
	int64_t wait_ms;
} cloud_ask_t;

static void
start(cloud_t *cloud, const cloud_ask_t *ask, cloud_done_t done, void *data)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	cloud_op_t *op = g_new0(cloud_op_t, 1);
	char *url = g_strconcat(cloud->url, ask->path, NULL);
	char *body = ask->body == NULL ? NULL : json_text(ask->body);
	http_call_options_t options = {
	    .method = ask->method,
	    .url = url,
	    .headers = body == NULL ? NULL : headers,
	    .body = body,
	    .body_length = body == NULL ? 0 : strlen(body),
	    .timeout_ms = cloud->timeout_ms + ask->wait_ms,
	    .on_complete = on_answer,
	    .data = op,
	};

	op->cloud = cloud;
	op->list = ask->list;
	op->done = done;
	op->data = data;
	LIST_INSERT_HEAD(&cloud->ops, op, entries);
	op->call = http_call_start(cloud->http, &options);
	json_decref(ask->body);
	g_free(ask->path);
	g_free(body);
	g_free(url);
}

void
cloud_hosts(cloud_t *cloud, cloud_done_t done, void *data)
{
	cloud_ask_t ask = {
	    .method = "GET", .path = g_strdup("/v1/hosts"), .list = "hosts"};

	start(cloud, &ask, done, data);
}

void
cloud_notices(cloud_t *cloud, int64_t after, int64_t wait_ms, cloud_done_t done,
    void *data)
{
	cloud_ask_t ask = {
	    .method = "GET",
	    .path = g_strdup_printf("/v1/notices?after=%" G_GINT64_FORMAT
				    "&timeout_ms=%" G_GINT64_FORMAT,
		after, wait_ms),
	    .list = "notices",
	    .wait_ms = wait_ms,
	};

	start(cloud, &ask, done, data);
}

void
cloud_create(cloud_t *cloud, const char *zone, const char *class,
    bool reclaimable, cloud_done_t done, void *data)
{
	cloud_ask_t ask = {
	    .method = "POST",
	    .path = g_strdup("/v1/hosts"),
	    .body = json_pack("{s:s,s:s,s:b}", "zone", zone, "class", class,
		"reclaimable", reclaimable),
	};

	start(cloud, &ask, done, data);
}

void
cloud_delete(cloud_t *cloud, const char *host, cloud_done_t done, void *data)
{
	char *escaped = g_uri_escape_string(host, NULL, FALSE);
	cloud_ask_t ask = {
	    .method = "DELETE",
	    .path = g_strconcat("/v1/hosts/", escaped, NULL),
	};

	g_free(escaped);
	start(cloud, &ask, done, data);
}
