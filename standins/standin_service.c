#include "json.h"
#include "standin.h"

#include <string.h>

/* Simulates a plain service; counts the runs for each idempotency key. */
typedef struct service {
	standin_t standin;
	GHashTable *run_counts; /* idempotency key to number of runs */
	unsigned running_requests;
	char *last_attempt, *last_body; /* sent by "cross_rate" */
} service_t;

typedef struct job {
	service_t *service;
	http_request_t *request;
	char *attempt;
	bool inject_error;
	bool faults_apply; /* the path starts with the fault "only_path" */
} job_t;

static unsigned
count_run(service_t *service, const char *key)
{
	unsigned runs =
	    GPOINTER_TO_UINT(g_hash_table_lookup(service->run_counts, key)) + 1;

	g_hash_table_replace(
	    service->run_counts, g_strdup(key), GUINT_TO_POINTER(runs));
	return runs;
}

static void
serve_runs(service_t *service, http_request_t *request)
{
	json_t *runs = json_object();
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, service->run_counts);
	while (g_hash_table_iter_next(&iter, &key, &value))
		json_object_set_new(
		    runs, key, json_integer(GPOINTER_TO_UINT(value)));
	http_reply_json(request, 200,
	    json_pack("{s:o,s:I}", "runs", runs, "calls",
		(json_int_t)service->standin.request_count));
}

static json_t *
result_json(job_t *job, const char *key, unsigned runs)
{
	http_request_t *request = job->request;
	size_t length;
	const char *body = http_request_body(request, &length);
	const char *query = http_request_query(request);

	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:s%}", "service",
	    job->service->standin.name, "version",
	    job->service->standin.version, "method",
	    http_request_method(request), "path", http_request_path(request),
	    "query", query != NULL ? query : "", "key", key, "runs", (int)runs,
	    "echo", body, length);
}

static void
job_free(job_t *job)
{
	http_request_unref(job->request);
	g_free(job->attempt);
	g_free(job);
}

/*
 * Sends the result, or with "cross_rate" the response of an earlier request.
 * "cut_rate" aborts the connection after half of the body.
 */
static void
reply_result(job_t *job, json_t *result)
{
	service_t *service = job->service;
	char *body = json_text(result);
	char *attempt = g_strdup(job->attempt);
	http_header_t headers[2] = {{"content-type", "application/json"}};
	size_t length;

	if (job->faults_apply && service->last_attempt != NULL &&
	    standin_fault_occurs(&service->standin, "cross_rate")) {
		g_free(attempt);
		g_free(body);
		attempt = g_strdup(service->last_attempt);
		body = g_strdup(service->last_body);
	}
	length = strlen(body);
	if (attempt != NULL)
		headers[1] = (http_header_t){"papaya-attempt", attempt};
	if (job->faults_apply &&
	    standin_fault_occurs(&service->standin, "cut_rate")) {
		http_stream_begin(
		    job->request, 200, headers, attempt != NULL ? 2 : 1);
		http_stream_write(job->request, body, length / 2);
		http_stream_abort(job->request);
	} else {
		http_reply(job->request, 200, headers, attempt != NULL ? 2 : 1,
		    body, length);
	}
	g_free(service->last_attempt);
	g_free(service->last_body);
	service->last_attempt = attempt;
	service->last_body = body;
}

static void
on_reply_due(void *data)
{
	job_t *job = data;
	service_t *service = job->service;
	const char *key = http_request_header(job->request, "idempotency-key");
	json_t *result;

	service->running_requests--;
	result = result_json(job, key != NULL ? key : "",
	    key != NULL ? GPOINTER_TO_UINT(
			      g_hash_table_lookup(service->run_counts, key))
			: 0);
	if (result == NULL) /* the body is not valid UTF-8 */
		result = json_object();
	reply_result(job, result);
	json_decref(result);
	job_free(job);
}

static void
on_run_due(void *data)
{
	job_t *job = data;
	service_t *service = job->service;
	const char *key = http_request_header(job->request, "idempotency-key");

	if (job->inject_error) {
		service->running_requests--;
		http_reply_json(job->request, 500,
		    json_pack("{s:{s:s}}", "error", "kind", "injected_fault"));
		job_free(job);
		return;
	}
	if (key != NULL)
		count_run(service, key);
	if (job->faults_apply &&
	    standin_fault_occurs(&service->standin, "close_after_run_rate")) {
		service->running_requests--;
		http_request_disconnect(job->request);
		job_free(job);
		return;
	}
	standin_call_after(&service->standin,
	    (int64_t)standin_fault_value(&service->standin, "late_ms"),
	    on_reply_due, job);
}

static void
on_request(http_request_t *request, void *data)
{
	service_t *service = data;
	standin_t *standin = &service->standin;
	const char *path_prefix =
	    json_get_string(standin->faults, "only_path", "");
	job_t *job;

	if (strcmp(http_request_path(request), "/runs") == 0) {
		serve_runs(service, request);
		return;
	}
	job = g_new0(job_t, 1);
	job->service = service;
	job->request = http_request_ref(request);
	job->attempt = g_strdup(http_request_header(request, "papaya-attempt"));
	job->faults_apply =
	    g_str_has_prefix(http_request_path(request), path_prefix);
	job->inject_error = standin_request_fails(standin) && job->faults_apply;
	service->running_requests++;
	standin_call_after(standin,
	    standin_fault_time_ms(
		standin, "delay_ms", service->running_requests),
	    on_run_due, job);
}

int
main(int argc, char **argv)
{
	static service_t service = {.standin = {.program = "standin-service"}};

	service.standin.handler = on_request;
	service.standin.data = &service;
	service.standin.version = "v1";
	service.run_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return standin_run(&service.standin, argc, argv);
}
