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

/* A host. Kept after it is gone, as the lagging list still shows it. */
typedef struct host {
	STAILQ_ENTRY(host) entries;
	char *name;
	char *zone;
	char *class;
	bool reclaimable;
	int64_t created_ms;
	int64_t notified_ms; /* 0: not leaving */
	int64_t leave_at_ms; /* 0: not leaving */
} host_t;

typedef struct notice {
	STAILQ_ENTRY(notice) entries;
	int64_t seq;
	const host_t *host;
} notice_t;

/* A long poll in progress; freed when its timeout has passed. */
typedef struct waiting {
	LIST_ENTRY(waiting) entries;
	http_request_t *request; /* NULL: replied */
	int64_t after;
	struct cloud *cloud;
} waiting_t;

typedef struct cloud {
	standin_t standin;
	STAILQ_HEAD(, host) hosts;
	STAILQ_HEAD(, notice) notices;
	LIST_HEAD(, waiting) waiting;
	int64_t last_seq;
	int64_t created; /* hosts, for their names */
	int64_t refused;
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

/* Hosts as they were lag_ms ago. */
static void
serve_list(cloud_t *cloud, http_request_t *request)
{
	int64_t lag_ms = (int64_t)standin_fault(&cloud->standin, "lag_ms");
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
notices_after(const cloud_t *cloud, int64_t after)
{
	json_t *list = json_array();
	const notice_t *notice;

	STAILQ_FOREACH (notice, &cloud->notices, entries)
		if (notice->seq > after)
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
answer(waiting_t *waiting)
{
	LIST_REMOVE(waiting, entries);
	http_reply_json(waiting->request, 200,
	    notices_after(waiting->cloud, waiting->after));
	http_request_unref(waiting->request);
	waiting->request = NULL;
}

static void
on_poll_timeout(void *data)
{
	waiting_t *waiting = data;

	if (waiting->request != NULL)
		answer(waiting);
	g_free(waiting);
}

static int64_t
number_param(const http_request_t *request, const char *name)
{
	char *text = http_request_query_param(request, name);
	gint64 value = text == NULL ? 0 : g_ascii_strtoll(text, NULL, 10);

	g_free(text);
	return value;
}

static void
serve_notices(cloud_t *cloud, http_request_t *request)
{
	int64_t after = number_param(request, "after");
	int64_t timeout_ms = number_param(request, "timeout_ms");
	waiting_t *waiting;

	if (after < cloud->last_seq || timeout_ms <= 0) {
		http_reply_json(request, 200, notices_after(cloud, after));
		return;
	}
	waiting = g_new0(waiting_t, 1);
	waiting->request = http_request_ref(request);
	waiting->after = after;
	waiting->cloud = cloud;
	LIST_INSERT_HEAD(&cloud->waiting, waiting, entries);
	standin_after(&cloud->standin, MIN(timeout_ms, NOTICE_TIMEOUT_MAX_MS),
	    on_poll_timeout, waiting);
}

static void
notify(cloud_t *cloud, const host_t *host)
{
	notice_t *notice;

	/* Some hosts leave without a notice; only the list shows them. */
	if (standin_chance(&cloud->standin, "lose_notices"))
		return;
	notice = g_new0(notice_t, 1);
	notice->seq = ++cloud->last_seq;
	notice->host = host;
	STAILQ_INSERT_TAIL(&cloud->notices, notice, entries);
}

static void
answer_waiting(cloud_t *cloud)
{
	waiting_t *waiting, *next;

	for (waiting = LIST_FIRST(&cloud->waiting); waiting != NULL;
	     waiting = next) {
		next = LIST_NEXT(waiting, entries);
		if (waiting->after < cloud->last_seq)
			answer(waiting);
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
	notify(cloud, host);
}

typedef struct reclaim_later {
	cloud_t *cloud;
	host_t *host;
} reclaim_later_t;

static void
on_reclaim_due(void *data)
{
	reclaim_later_t *later = data;

	reclaim(later->cloud, later->host);
	answer_waiting(later->cloud);
	g_free(later);
}

/* Reclaims a zone, its hosts spread evenly over wave_ms. */
static void
reclaim_zone(cloud_t *cloud, const char *zone)
{
	double wave_ms = standin_fault(&cloud->standin, "wave_ms");
	unsigned count = 0, at = 0;
	host_t *host;

	STAILQ_FOREACH (host, &cloud->hosts, entries)
		count += strcmp(host->zone, zone) == 0;
	STAILQ_FOREACH (host, &cloud->hosts, entries) {
		reclaim_later_t *later;

		if (strcmp(host->zone, zone) != 0)
			continue;
		if (wave_ms <= 0) {
			reclaim(cloud, host);
			continue;
		}
		later = g_new0(reclaim_later_t, 1);
		later->cloud = cloud;
		later->host = host;
		standin_after(&cloud->standin,
		    (int64_t)(wave_ms * at++ / count), on_reclaim_due, later);
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

/* The reclaim faults are events: they act once and are not kept. */
static void
on_faults(standin_t *standin)
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
	answer_waiting(cloud);
}

static void
refuse(
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
		refuse(request, 400, "bad_request", "\"zone\" is missing");
		return;
	}
	if (name != NULL && find_host(cloud, name) != NULL) {
		refuse(request, 409, "exists", "this host exists already");
		return;
	}
	if (standin_chance(&cloud->standin, "refuse")) {
		cloud->refused++;
		refuse(request, 409, "refused", "no capacity in this zone");
		return;
	}
	host = g_new0(host_t, 1);
	host->name = name != NULL ? g_strdup(name)
				  : g_strdup_printf("host-%" G_GINT64_FORMAT,
					++cloud->created);
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
		refuse(request, 404, "not_found", "no such host");
		return;
	}
	if (host->leave_at_ms == 0 || host->leave_at_ms > now_ms) {
		host->notified_ms = now_ms;
		host->leave_at_ms = now_ms;
	}
	http_reply_json(request, 200, json_object());
}

static void
serve(http_request_t *request, void *data)
{
	static const char hosts[] = "/v1/hosts";
	cloud_t *cloud = data;
	const char *path = http_request_path(request);
	const char *method = http_request_method(request);

	if (strcmp(path, hosts) == 0 && strcmp(method, "GET") == 0)
		serve_list(cloud, request);
	else if (strcmp(path, hosts) == 0 && strcmp(method, "POST") == 0)
		serve_create(cloud, request);
	else if (g_str_has_prefix(path, "/v1/hosts/") &&
		 strcmp(method, "DELETE") == 0)
		serve_delete(cloud, request, path + sizeof(hosts));
	else if (strcmp(path, "/v1/notices") == 0)
		serve_notices(cloud, request);
	else
		refuse(request, 404, "not_found", "no such path");
}

int
main(int argc, char **argv)
{
	static cloud_t cloud = {.standin = {.program = "standin-cloud"}};

	STAILQ_INIT(&cloud.hosts);
	STAILQ_INIT(&cloud.notices);
	LIST_INIT(&cloud.waiting);
	cloud.standin.handler = serve;
	cloud.standin.data = &cloud;
	cloud.standin.faults_changed = on_faults;
	return standin_run(&cloud.standin, argc, argv);
}
