#include "clock.h"
#include "error.h"
#include "json.h"
#include "standin.h"

#include <string.h>
#include <sys/queue.h>

enum {
	DEFAULT_NOTICE_MS = 2000,
	NOTICE_TIMEOUT_MAX_MS = 60000,
};

/*
 * A host. Kept after it has left, because the list, which lags behind by the
 * fault "lag_ms", still shows it.
 */
typedef struct host {
	STAILQ_ENTRY(host) entries;
	char *name;
	char *zone;
	char *class;
	bool reclaimable;
	int64_t created_ms;
	int64_t notified_ms; /* time of the notice; 0: not leaving */
	int64_t leave_at_ms; /* 0: not leaving */
} host_t;

typedef struct notice {
	STAILQ_ENTRY(notice) entries;
	int64_t seq;
	const host_t *host;
} notice_t;

/* A long poll for notices; freed when its timeout has passed. */
typedef struct long_poll {
	LIST_ENTRY(long_poll) entries;
	http_request_t *request; /* NULL: response sent */
	int64_t after_seq;
	struct cloud *cloud;
} long_poll_t;

typedef struct cloud {
	standin_t standin;
	STAILQ_HEAD(, host) hosts;
	STAILQ_HEAD(, notice) notices;
	LIST_HEAD(, long_poll) polls;
	int64_t last_seq;
	int64_t generated_names; /* names made for hosts without one */
	int64_t refused_hosts;
} cloud_t;

static const char *
state_at(const host_t *host, int64_t at_ms)
{
	if (host->leave_at_ms > 0 && at_ms >= host->leave_at_ms)
		return "gone";
	if (host->notified_ms > 0 && at_ms >= host->notified_ms)
		return "leaving";
	return "live";
}

/* Lists the hosts as they were "lag_ms" ago. */
static void
serve_list(cloud_t *cloud, http_request_t *request)
{
	int64_t lag_ms =
	    (int64_t)standin_fault_value(&cloud->standin, "lag_ms");
	int64_t at_ms = clock_wall_ms() - lag_ms;
	json_t *list = json_array();
	const host_t *host;

	STAILQ_FOREACH (host, &cloud->hosts, entries) {
		const char *state = state_at(host, at_ms);

		if (host->created_ms > at_ms)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:b,s:s,s:I}", "host", host->name,
			"zone", host->zone, "class", host->class, "reclaimable",
			host->reclaimable, "state", state, "leave_at_ms",
			(json_int_t)(strcmp(state, "live") == 0
					 ? 0
					 : host->leave_at_ms)));
	}
	http_reply_json(request, 200, json_pack("{s:o}", "hosts", list));
}

static json_t *
notices_after(const cloud_t *cloud, int64_t after_seq)
{
	json_t *list = json_array();
	const notice_t *notice;

	STAILQ_FOREACH (notice, &cloud->notices, entries)
		if (notice->seq > after_seq)
			json_array_append_new(
			    list, json_pack("{s:I,s:s,s:s,s:I}", "seq",
				      (json_int_t)notice->seq, "host",
				      notice->host->name, "zone",
				      notice->host->zone, "leave_at_ms",
				      (json_int_t)notice->host->leave_at_ms));
	return json_pack(
	    "{s:o,s:I}", "notices", list, "next", (json_int_t)cloud->last_seq);
}

static void
reply_poll(long_poll_t *poll)
{
	LIST_REMOVE(poll, entries);
	http_reply_json(
	    poll->request, 200, notices_after(poll->cloud, poll->after_seq));
	http_request_unref(poll->request);
	poll->request = NULL;
}

static void
on_poll_timeout(void *data)
{
	long_poll_t *poll = data;

	if (poll->request != NULL)
		reply_poll(poll);
	g_free(poll);
}

static int64_t
number_param(const http_request_t *request, const char *name)
{
	char *value_text = http_request_query_param(request, name);
	gint64 value =
	    value_text == NULL ? 0 : g_ascii_strtoll(value_text, NULL, 10);

	g_free(value_text);
	return value;
}

static void
serve_notices(cloud_t *cloud, http_request_t *request)
{
	int64_t after_seq = number_param(request, "after");
	int64_t timeout_ms = number_param(request, "timeout_ms");
	long_poll_t *poll;

	if (after_seq < cloud->last_seq || timeout_ms <= 0) {
		http_reply_json(request, 200, notices_after(cloud, after_seq));
		return;
	}
	poll = g_new0(long_poll_t, 1);
	poll->request = http_request_ref(request);
	poll->after_seq = after_seq;
	poll->cloud = cloud;
	LIST_INSERT_HEAD(&cloud->polls, poll, entries);
	standin_call_after(&cloud->standin,
	    MIN(timeout_ms, NOTICE_TIMEOUT_MAX_MS), on_poll_timeout, poll);
}

static void
add_notice(cloud_t *cloud, const host_t *host)
{
	notice_t *notice;

	/* A host without a notice is shown as leaving only in the list. */
	if (standin_fault_occurs(&cloud->standin, "lose_notices"))
		return;
	notice = g_new0(notice_t, 1);
	notice->seq = ++cloud->last_seq;
	notice->host = host;
	STAILQ_INSERT_TAIL(&cloud->notices, notice, entries);
}

static void
reply_ready_polls(cloud_t *cloud)
{
	long_poll_t *poll, *next;

	for (poll = LIST_FIRST(&cloud->polls); poll != NULL; poll = next) {
		next = LIST_NEXT(poll, entries);
		if (poll->after_seq < cloud->last_seq)
			reply_poll(poll);
	}
}

static void
reclaim(cloud_t *cloud, host_t *host)
{
	int64_t now_ms = clock_wall_ms();
	int64_t notice_ms =
	    json_get_int(cloud->standin.faults, "notice_ms", DEFAULT_NOTICE_MS);

	if (!host->reclaimable || host->leave_at_ms > 0)
		return;
	host->notified_ms = now_ms;
	host->leave_at_ms = now_ms + notice_ms;
	add_notice(cloud, host);
}

typedef struct delayed_reclaim {
	cloud_t *cloud;
	host_t *host;
} delayed_reclaim_t;

static void
on_reclaim_due(void *data)
{
	delayed_reclaim_t *delayed = data;

	reclaim(delayed->cloud, delayed->host);
	reply_ready_polls(delayed->cloud);
	g_free(delayed);
}

/* Reclaims all hosts of a zone, spread evenly over the fault "wave_ms". */
static void
reclaim_zone(cloud_t *cloud, const char *zone)
{
	double wave_ms = standin_fault_value(&cloud->standin, "wave_ms");
	unsigned host_count = 0, host_index = 0;
	host_t *host;

	STAILQ_FOREACH (host, &cloud->hosts, entries)
		host_count += strcmp(host->zone, zone) == 0;
	STAILQ_FOREACH (host, &cloud->hosts, entries) {
		delayed_reclaim_t *delayed;

		if (strcmp(host->zone, zone) != 0)
			continue;
		if (wave_ms <= 0) {
			reclaim(cloud, host);
			continue;
		}
		delayed = g_new0(delayed_reclaim_t, 1);
		delayed->cloud = cloud;
		delayed->host = host;
		standin_call_after(&cloud->standin,
		    (int64_t)(wave_ms * host_index++ / host_count),
		    on_reclaim_due, delayed);
	}
}

static host_t *
find_host(cloud_t *cloud, const char *name)
{
	host_t *host;

	STAILQ_FOREACH (host, &cloud->hosts, entries)
		if (strcmp(host->name, name) == 0)
			return host;
	return NULL;
}

/* "reclaim_zone" and "reclaim_host" act once, so they are removed. */
static void
on_faults_changed(standin_t *standin)
{
	cloud_t *cloud = standin->data;
	const char *zone =
	    json_get_string(standin->faults, "reclaim_zone", NULL);
	const char *name =
	    json_get_string(standin->faults, "reclaim_host", NULL);
	host_t *host = name == NULL ? NULL : find_host(cloud, name);

	if (zone != NULL)
		reclaim_zone(cloud, zone);
	if (host != NULL)
		reclaim(cloud, host);
	json_object_del(standin->faults, "reclaim_zone");
	json_object_del(standin->faults, "reclaim_host");
	reply_ready_polls(cloud);
}

static void
reply_error(
    http_request_t *request, int status, const char *kind, const char *message)
{
	http_reply_json(request, status,
	    json_pack(
		"{s:{s:s,s:s}}", "error", "kind", kind, "message", message));
}

static void
create_host(cloud_t *cloud, http_request_t *request, const json_t *body)
{
	const char *name = json_get_string(body, "host", NULL);
	const char *zone = json_get_string(body, "zone", NULL);
	host_t *host;

	if (zone == NULL) {
		reply_error(request, 400, "bad_request", "\"zone\" is missing");
		return;
	}
	if (name != NULL && find_host(cloud, name) != NULL) {
		reply_error(request, 409, "exists", "this host exists already");
		return;
	}
	if (standin_fault_occurs(&cloud->standin, "refuse")) {
		cloud->refused_hosts++;
		reply_error(
		    request, 409, "refused", "no capacity in this zone");
		return;
	}
	host = g_new0(host_t, 1);
	host->name = name != NULL ? g_strdup(name)
				  : g_strdup_printf("host-%" G_GINT64_FORMAT,
					++cloud->generated_names);
	host->zone = g_strdup(zone);
	host->class = g_strdup(json_get_string(body, "class", "standard"));
	host->reclaimable = json_get_bool(body, "reclaimable", true);
	host->created_ms = clock_wall_ms();
	STAILQ_INSERT_TAIL(&cloud->hosts, host, entries);
	http_reply_json(request, 201,
	    json_pack("{s:s,s:s}", "host", host->name, "zone", host->zone));
}

static void
serve_create(cloud_t *cloud, http_request_t *request)
{
	size_t length;
	const char *text = http_request_body(request, &length);
	json_t *body = json_parse(text, length, "request", NULL);

	create_host(cloud, request, body);
	json_decref(body);
}

static void
serve_delete(cloud_t *cloud, http_request_t *request, const char *name)
{
	host_t *host = find_host(cloud, name);
	int64_t now_ms = clock_wall_ms();

	if (host == NULL) {
		reply_error(request, 404, "not_found", "no such host");
		return;
	}
	if (host->leave_at_ms == 0 || host->leave_at_ms > now_ms) {
		host->notified_ms = now_ms;
		host->leave_at_ms = now_ms;
	}
	http_reply_json(request, 200, json_object());
}

static void
on_request(http_request_t *request, void *data)
{
	static const char hosts_path[] = "/v1/hosts";
	cloud_t *cloud = data;
	const char *path = http_request_path(request);
	const char *method = http_request_method(request);

	if (strcmp(path, hosts_path) == 0 && strcmp(method, "GET") == 0)
		serve_list(cloud, request);
	else if (strcmp(path, hosts_path) == 0 && strcmp(method, "POST") == 0)
		serve_create(cloud, request);
	else if (g_str_has_prefix(path, "/v1/hosts/") &&
		 strcmp(method, "DELETE") == 0)
		serve_delete(cloud, request, path + sizeof(hosts_path));
	else if (strcmp(path, "/v1/notices") == 0)
		serve_notices(cloud, request);
	else
		reply_error(request, 404, "not_found", "no such path");
}

int
main(int argc, char **argv)
{
	static cloud_t cloud = {.standin = {.program = "standin-cloud"}};

	STAILQ_INIT(&cloud.hosts);
	STAILQ_INIT(&cloud.notices);
	LIST_INIT(&cloud.polls);
	cloud.standin.handler = on_request;
	cloud.standin.data = &cloud;
	cloud.standin.faults_changed = on_faults_changed;
	return standin_run(&cloud.standin, argc, argv);
}
