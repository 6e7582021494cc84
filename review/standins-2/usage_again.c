#include "fleet.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * The store, which counts its eras from 0, comes back from a copy that is five
 * seconds old, and all entry hosts are killed at the same moment and start
 * again. Operators and servers write their keys again. The platform compares
 * the usage reports that it gets.
 */

enum {
	HOSTS = 3,
	SERVERS = 3,
	CALLERS = 6,
	WINDOW_MS = 5000,
	PAUSE_MS = 130,		/* between the requests of a caller */
	BEFORE_REPORT_MS = 700, /* of the copy, after the end of a window */
	COPY_AGE_MS = 5000,
	DOWN_MS = 500, /* the store is away, the processes too */
	AFTER_MS = 22000,
	START_MS = 15000,
	CALLS_MAX = 256,
	WAIT_MS = 3000,
};

static const char configuration[] =
    "{\"version\":3,\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000},"
    "\"services\":[{\"name\":\"app\",\"max_connections\":96}],"
    "\"routes\":[{\"name\":\"read\",\"host\":\"app.example\","
    "\"path_prefix\":\"/read/\",\"route_type\":\"idempotent\","
    "\"max_attempts\":2,\"timeout_ms\":3000,\"target_latency_ms\":300,"
    "\"priority\":1,\"service\":\"app\"}],"
    "\"tenants\":[{\"name\":\"depot\",\"api_keys\":[\"key-1\"],"
    "\"rate_per_s\":0,\"burst\":0}]}";

static server_t servers[SERVERS];
static bool stopping;

/* A report that the platform accepted. */
typedef struct report {
	long long window;
	long long count; /* of the tenant */
	char text[512];
} report_t;

static bool
serve(server_t *server, int fd, const message_t *request)
{
	char id[64] = "", text[512];

	header_value(request, "X-Attempt-Id", id, sizeof(id));
	record("server %s runs %s", server->id, id);
	sleep_ms(20);
	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
	    "X-Response-Stamp: %s.%s\r\nContent-Length: 2\r\n\r\nok",
	    id, server->id, id);
	return send_text(fd, text);
}

static void *
send_requests(void *data)
{
	int number = (int)(intptr_t)data;
	message_t *response = malloc(sizeof(*response));
	char text[512];

	for (int i = 0; !stopping; i++) {
		snprintf(text, sizeof(text),
		    "GET /read/1 HTTP/1.1\r\nHost: app.example\r\n"
		    "X-Attempt-Id: u%d-%d\r\nX-Deadline-Ms: %d\r\n"
		    "Authorization: Bearer key-1\r\n\r\n",
		    number, i, WAIT_MS);
		record("client sends u%d-%d", number, i);
		call(nodes[number % HOSTS].ip, front_port, text, response,
		    WAIT_MS);
		record("client got u%d-%d: status=%d complete=%d", number, i,
		    response->status, response->complete);
		sleep_ms(PAUSE_MS);
	}
	free(response);
	return NULL;
}

/* Reads the reports from the platform's list of calls. */
static int
read_reports(report_t *reports)
{
	static message_t response;
	const char *item = response.body;
	const char *count;
	int found = 0;

	if (!platform_call("GET", "/calls", "", &response))
		cannot_run("the platform does not list the calls");
	response.body[response.body_length] = '\0';
	/* The keys of each call are sorted. */
	while (found < CALLS_MAX &&
	       (item = strstr(item, "{\"body\":{\"counts\":")) != NULL) {
		const char *window = strstr(item, "\"window_id\":");
		const char *end = strstr(item, "\"path\":");
		report_t *report = &reports[found++];

		if (window == NULL || end == NULL)
			cannot_run("malformed report: %.200s", item);
		report->window = strtoll(window + 12, NULL, 10);
		count = strstr(item, "\"depot\":");
		report->count = count == NULL || count > window
				    ? 0
				    : strtoll(count + 8, NULL, 10);
		snprintf(report->text, sizeof(report->text), "%.*s",
		    (int)(end - item), item);
		item = end;
	}
	return found;
}

static bool
has_report(long long window)
{
	static report_t reports[CALLS_MAX];
	int count = read_reports(reports);

	for (int i = 0; i < count; i++)
		if (reports[i].window == window)
			return true;
	return false;
}

static void
start_deployment(void)
{
	static const char *const zones[HOSTS] = {"zone-a", "zone-b", "zone-c"};

	platform_start("target/review-2/standin-platform-era-0");
	platform_put("op/config", configuration);
	for (int i = 0; i < SERVERS; i++) {
		snprintf(servers[i].id, sizeof(servers[i].id), "i-%d", i);
		strcpy(servers[i].service, "app");
		strcpy(servers[i].zone, zones[i]);
		servers[i].slots = 6;
		servers[i].handler = serve;
		server_start(&servers[i]);
	}
	for (int i = 0; i < HOSTS; i++)
		node_start(i, zones[i], true);
	for (int i = 0; i < HOSTS; i++)
		node_await_ready(i, START_MS);
}

/* The store comes back from its copy, and all processes are killed. */
static void
restore_and_kill(void)
{
	static message_t response;

	platform_call("POST", "/faults", "{\"down\":1}", &response);
	record("the store is away");
	for (int i = 0; i < HOSTS; i++)
		node_kill(i);
	sleep_ms(DOWN_MS);
	platform_call("POST", "/restore", "{}", &response);
	platform_call("POST", "/faults", "{\"down\":0}", &response);
	record("the store is back from a copy");
	platform_put("op/config", configuration);
	for (int i = 0; i < SERVERS; i++)
		server_register(&servers[i]);
	record("operator and servers have written their keys again");
	for (int i = 0; i < HOSTS; i++)
		node_start(i, nodes[i].zone, false);
}

static int
judge(void)
{
	static report_t reports[CALLS_MAX];
	int count = read_reports(reports), broken = 0;

	for (int i = 0; i < count; i++) {
		record("report: %s", reports[i].text);
		for (int j = 0; j < i; j++) {
			if (reports[j].window != reports[i].window ||
			    reports[j].count == reports[i].count)
				continue;
			broken++;
			record("BROKEN: window %lld was reported with %lld "
			       "and with %lld requests",
			    reports[i].window, reports[j].count,
			    reports[i].count);
		}
	}
	record("%d reports, %d windows with different counts", count, broken);
	return broken;
}

int
main(int argc, char **argv)
{
	static message_t response;
	pthread_t callers[CALLERS];
	int64_t copied_ms;
	long long window;

	fleet_begin(argc, argv);
	start_deployment();
	for (int i = 0; i < CALLERS; i++)
		pthread_create(
		    &callers[i], NULL, send_requests, (void *)(intptr_t)i);
	sleep_ms(2 * WINDOW_MS);
	/* The copy is taken before the window that has just ended is known. */
	sleep_ms(WINDOW_MS - wall_ms() % WINDOW_MS + BEFORE_REPORT_MS);
	window = wall_ms() / WINDOW_MS - 1;
	platform_call("POST", "/snapshot", "{}", &response);
	copied_ms = now_ms();
	record("the store is copied; window %lld has ended", window);
	while (!has_report(window)) {
		if (now_ms() > copied_ms + COPY_AGE_MS)
			cannot_run("window %lld is not reported", window);
		sleep_ms(50);
	}
	record("window %lld has been reported", window);
	sleep_ms(copied_ms + COPY_AGE_MS - now_ms());
	if (has_trouble())
		restore_and_kill();
	sleep_ms(AFTER_MS);
	stopping = true;
	for (int i = 0; i < CALLERS; i++)
		pthread_join(callers[i], NULL);
	return judge() > 0 ? EXIT_BROKEN : EXIT_HELD;
}
