#include "load.h"

#include "clock.h"
#include "error.h"
#include "http_client.h"
#include "json.h"
#include "load_report.h"
#include "sse.h"
#include "token.h"

#include <math.h>
#include <string.h>
#include <sys/queue.h>

enum {
	TICK_MS = 1,
	ENTRY_LIST_RETRY_MS = 50,
	ENTRY_LIST_LIFETIME_MS = 5000,
	ATTEMPTS_MAX = 100000,
	EVENT_MAX_BYTES = 1024 * 1024,
};

typedef struct workspace_entries {
	char **addresses; /* NULL-terminated */
	int64_t expires_at_ms;
	bool request_pending;
	unsigned next_index;
} workspace_entries_t;

typedef struct load_request {
	LIST_ENTRY(load_request) entries;
	load_t *load;
	load_booking_t *booking; /* NULL: a model request */
	unsigned workspace;
	char *key;
	char *prompt;
	int64_t started_us;
	int64_t first_token_us;
	int64_t last_token_us;
	unsigned attempts;
	http_call_t *http;
	sse_t sse;
	unsigned tokens;
	char *version;	/* model field of the first event */
	bool finished;	/* got a finish_reason or [DONE] */
	bool invalid;	/* malformed event or unexpected token text */
	bool truncated; /* got an error event */
	uv_timer_t entry_list_timer;
	bool waiting;
} load_request_t;

struct load {
	uv_loop_t *loop;
	load_options_t options;
	http_client_t *http;
	GRand *rand;
	uv_timer_t arrival_timer;
	int64_t started_us;
	double next_arrival_us;
	bool arrivals_over;
	bool finishing;
	double *cumulative_weights; /* prefix sums of the workspace weights */
	workspace_entries_t *entry_lists;
	LIST_HEAD(, load_request) requests;
	unsigned active_requests;
	unsigned next_serial;
	load_report_t *report;
	void (*on_report)(json_t *report, void *data);
	void *data;
	unsigned run_counts_pending;
};

static void start_attempt(load_request_t *request);

static void
build_weights(load_t *load)
{
	double sum = 0;

	load->cumulative_weights = g_new0(double, load->options.workspaces);
	for (unsigned i = 0; i < load->options.workspaces; i++) {
		sum += 1.0 / pow(i + 1, load->options.skew);
		load->cumulative_weights[i] = sum;
	}
}

static unsigned
pick_workspace(load_t *load)
{
	unsigned count = load->options.workspaces;
	double point =
	    g_rand_double(load->rand) * load->cumulative_weights[count - 1];
	unsigned i = 0;

	while (i + 1 < count && load->cumulative_weights[i] < point)
		i++;
	return i;
}

static char *
workspace_name(const load_t *load, unsigned workspace)
{
	if (load->options.workspace_names != NULL)
		return g_strdup(load->options.workspace_names[workspace]);
	return g_strdup_printf(
	    "%s%u", load->options.workspace_prefix, workspace);
}

static void
on_request_closed(uv_handle_t *handle)
{
	load_request_t *request = handle->data;

	g_free(request->key);
	g_free(request->prompt);
	g_free(request->version);
	sse_clear(&request->sse);
	g_free(request);
}

static void finish_load(load_t *load);

static void
end_request(load_request_t *request)
{
	load_t *load = request->load;

	LIST_REMOVE(request, entries);
	load->active_requests--;
	uv_close((uv_handle_t *)&request->entry_list_timer, on_request_closed);
	if (load->arrivals_over && load->active_requests == 0)
		finish_load(load);
}

static bool
should_give_up(const load_request_t *request)
{
	const load_options_t *options = &request->load->options;

	return (!options->retry && request->attempts > 0) ||
	       request->attempts >= ATTEMPTS_MAX ||
	       clock_mono_us() - request->started_us >=
		   options->request_timeout_ms * 1000;
}

/* Returns the address for the next attempt, or NULL if none is known yet. */
static const char *
next_address(load_request_t *request)
{
	load_t *load = request->load;
	workspace_entries_t *list = &load->entry_lists[request->workspace];
	unsigned count;

	if (load->options.direct) {
		count = g_strv_length(load->options.addresses);
		return load->options.addresses[load->next_serial++ % count];
	}
	if (list->addresses == NULL || list->addresses[0] == NULL)
		return NULL;
	count = g_strv_length(list->addresses);
	return list->addresses[(request->attempts + list->next_index) % count];
}

static void
store_entry_list(workspace_entries_t *list, const char *body, size_t length)
{
	json_t *response = json_parse(body, length, "entry list", NULL);
	json_t *entries = json_object_get(response, "entries");
	GPtrArray *addresses = g_ptr_array_new();
	const json_t *entry;
	size_t i;

	json_array_foreach (entries, i, entry) {
		const char *address = json_get_string(entry, "address", NULL);

		if (address != NULL)
			g_ptr_array_add(addresses, g_strdup(address));
	}
	if (addresses->len > 0) {
		g_ptr_array_add(addresses, NULL);
		g_strfreev(list->addresses);
		list->addresses = (char **)g_ptr_array_free(addresses, FALSE);
		list->expires_at_ms =
		    clock_mono_ms() + json_get_int(response, "lifetime_ms",
					  ENTRY_LIST_LIFETIME_MS);
	} else {
		g_ptr_array_free(addresses, TRUE);
	}
	json_decref(response);
}

typedef struct entry_list_query {
	load_t *load;
	unsigned workspace;
} entry_list_query_t;

static void
on_entry_list(http_call_t *http, const http_result_t *result, void *data)
{
	entry_list_query_t *query = data;
	workspace_entries_t *list = &query->load->entry_lists[query->workspace];

	list->request_pending = false;
	if (result->outcome == HTTP_OUTCOME_COMPLETE && result->status == 200)
		store_entry_list(list, result->body, result->body_length);
	else
		query->load->report->entry_list_failures++;
	g_free(query);
}

/* Requests the entry list of a workspace if the cached one has expired. */
static void
refresh_entry_list(load_t *load, unsigned workspace)
{
	workspace_entries_t *list = &load->entry_lists[workspace];
	unsigned count = g_strv_length(load->options.addresses);
	entry_list_query_t *query;
	char *name, *url;

	if (load->options.direct || list->request_pending ||
	    (list->addresses != NULL && clock_mono_ms() < list->expires_at_ms))
		return;
	list->request_pending = true;
	query = g_new0(entry_list_query_t, 1);
	query->load = load;
	query->workspace = workspace;
	name = workspace_name(load, workspace);
	url = g_strdup_printf("http://%s/v1/entry?workspace=%s",
	    load->options.addresses[list->next_index++ % count], name);
	http_call_start(load->http, &(http_call_options_t){
					.url = url,
					.timeout_ms = 1000,
					.on_complete = on_entry_list,
					.data = query,
				    });
	g_free(name);
	g_free(url);
}

static void
on_entry_list_timer(uv_timer_t *timer)
{
	load_request_t *request = timer->data;

	request->waiting = false;
	start_attempt(request);
}

/* Delays an attempt until an entry list may be known; retries have no delay. */
static void
wait_for_entry_list(load_request_t *request)
{
	request->waiting = true;
	uv_timer_start(&request->entry_list_timer, on_entry_list_timer,
	    ENTRY_LIST_RETRY_MS, 0);
}

static void
retry_or_give_up(load_request_t *request)
{
	load_report_t *report = request->load->report;

	if (!should_give_up(request)) {
		report->retries++;
		start_attempt(request);
		return;
	}
	if (request->booking != NULL)
		report->bookings_given_up++;
	else
		report->streams_given_up++;
	end_request(request);
}

/* Does not retry after a 4xx status other than 409 and 429. */
static void
retry_unless_refused(load_request_t *request, const http_result_t *result)
{
	if (result->status >= 400 && result->status < 500 &&
	    result->status != 429 && result->status != 409) {
		request->load->report->refusals_final++;
		end_request(request);
		return;
	}
	retry_or_give_up(request);
}

static void
on_booking_complete(http_call_t *http, const http_result_t *result, void *data)
{
	load_request_t *request = data;
	load_report_t *report = request->load->report;
	load_booking_t *booking = request->booking;
	const char *not_run;

	request->http = NULL;
	if (result->outcome != HTTP_OUTCOME_COMPLETE) {
		booking->maybe_run = true;
		retry_or_give_up(request);
		return;
	}
	not_run = http_call_header(http, "papaya-not-run");
	if (result->status == 200) {
		load_report_check_booking(
		    report, booking, result->body, result->body_length);
		histogram_add(&report->booking_latency_us,
		    clock_mono_us() - request->started_us);
		end_request(request);
		return;
	}
	if (not_run != NULL && strcmp(not_run, "true") == 0)
		report->refusals_not_run++;
	else
		booking->maybe_run = true;
	if (strstr(result->body, "outcome_unknown") != NULL) {
		booking->outcome_unknown = true;
		report->bookings_unknown++;
		end_request(request);
		return;
	}
	retry_unless_refused(request, result);
}

static void
check_stream_event(load_request_t *request, const json_t *event)
{
	load_report_t *report = request->load->report;
	const json_t *choice =
	    json_array_get(json_object_get(event, "choices"), 0);
	const char *text = json_get_string(choice, "text", "");
	const char *finish = json_get_string(choice, "finish_reason", NULL);
	const json_t *usage = json_object_get(event, "usage");
	int64_t now_us = clock_mono_us();

	if (json_object_get(event, "error") != NULL) {
		request->truncated = true;
		return;
	}
	if (request->version == NULL)
		request->version =
		    g_strdup(json_get_string(event, "model", ""));
	if (text[0] != '\0') {
		papaya_token_t token = papaya_token(
		    request->version, request->prompt, request->tokens);

		request->invalid |= strcmp(text, token.text) != 0;
		request->tokens++;
		report->tokens++;
		if (request->first_token_us == 0)
			request->first_token_us = now_us;
		else
			histogram_add(&report->inter_token_us,
			    now_us - request->last_token_us);
		request->last_token_us = now_us;
	}
	if (finish != NULL)
		request->finished = true;
	if (usage != NULL)
		report->tokens_recomputed +=
		    (uint64_t)json_get_int(usage, "recomputed_tokens", 0);
}

static bool
on_stream_data(http_call_t *http, const char *bytes, size_t length, void *data)
{
	load_request_t *request = data;
	sse_event_t event;

	if (http_call_status(http) != 200)
		return true;
	if (!sse_feed(&request->sse, bytes, length))
		return false;
	while (sse_next(&request->sse, &event)) {
		json_t *json;

		if (event.data.bytes == NULL)
			continue;
		if (sse_value_equals(&event.data, "[DONE]")) {
			request->finished = true;
			continue;
		}
		json = json_parse(
		    event.data.bytes, event.data.length, "event", NULL);
		if (json == NULL)
			request->invalid = true;
		else
			check_stream_event(request, json);
		json_decref(json);
	}
	return true;
}

static void
on_stream_complete(http_call_t *http, const http_result_t *result, void *data)
{
	load_request_t *request = data;
	load_report_t *report = request->load->report;
	bool complete = result->outcome == HTTP_OUTCOME_COMPLETE &&
			result->status == 200 && request->finished &&
			!request->truncated;

	request->http = NULL;
	if (complete && !request->invalid &&
	    request->tokens == request->load->options.max_tokens) {
		report->streams_complete++;
		histogram_add(&report->ttft_us,
		    request->first_token_us - request->started_us);
		counter_add(
		    report->streams_by_version, 1, "%s", request->version);
		end_request(request);
		return;
	}
	if (request->invalid)
		report->streams_wrong++;
	else if (complete)
		report->streams_truncated_unmarked++;
	else if (request->tokens > 0)
		report->streams_truncated++;
	else
		report->streams_refused++;
	retry_unless_refused(request, result);
}

static void
reset_stream(load_request_t *request)
{
	sse_clear(&request->sse);
	sse_init(&request->sse, EVENT_MAX_BYTES);
	request->tokens = 0;
	request->first_token_us = 0;
	request->finished = false;
	request->invalid = false;
	request->truncated = false;
	g_clear_pointer(&request->version, g_free);
}

static void
send_attempt(load_request_t *request, const char *address)
{
	const load_options_t *options = &request->load->options;
	char *name = workspace_name(request->load, request->workspace);
	char *workspace = g_strdup_printf("Papaya-Workspace: %s", name);
	char *key = g_strdup_printf("Idempotency-Key: %s", request->key);
	const char *const headers[] = {
	    workspace, key, "Content-Type: application/json", NULL};
	http_call_options_t http = {
	    .method = "POST",
	    .headers = headers,
	    .timeout_ms = options->attempt_timeout_ms,
	    .connect_timeout_ms = 500,
	    .data = request,
	};
	char *url, *body;
	json_t *json;

	if (request->booking != NULL) {
		url = options->direct
			  ? g_strdup_printf("http://%s/book", address)
			  : g_strdup_printf("http://%s/v1/services/%s", address,
				options->booking);
		json = json_pack("{s:s}", "key", request->key);
		http.on_complete = on_booking_complete;
	} else {
		reset_stream(request);
		url = g_strdup_printf("http://%s/v1/completions", address);
		json = json_pack("{s:s,s:s,s:i,s:b}", "model", options->model,
		    "prompt", request->prompt, "max_tokens",
		    (int)options->max_tokens, "stream", 1);
		http.on_data = on_stream_data;
		http.on_complete = on_stream_complete;
	}
	body = json_text(json);
	json_decref(json);
	http.url = url;
	http.body = body;
	http.body_length = strlen(body);
	request->http = http_call_start(request->load->http, &http);
	g_free(body);
	g_free(url);
	g_free(name);
	g_free(workspace);
	g_free(key);
}

static void
start_attempt(load_request_t *request)
{
	const char *address;

	refresh_entry_list(request->load, request->workspace);
	address = next_address(request);
	if (address == NULL) {
		if (should_give_up(request))
			retry_or_give_up(request);
		else
			wait_for_entry_list(request);
		return;
	}
	request->attempts++;
	request->load->report->attempts++;
	send_attempt(request, address);
}

static char *
make_idempotency_key(load_t *load)
{
	/* UUIDv7 (RFC 9562): 48 bits of milliseconds, then random bits. */
	uint64_t ms = (uint64_t)clock_wall_ms();
	uint32_t a = g_rand_int(load->rand), b = g_rand_int(load->rand);
	uint32_t c = g_rand_int(load->rand);

	return g_strdup_printf("%08x-%04x-7%03x-%04x-%04x%08x",
	    (unsigned)(ms >> 16), (unsigned)(ms & 0xffff), a & 0xfff,
	    0x8000 | (b & 0x3fff), (b >> 16) & 0xffff, c);
}

static void
start_request(load_t *load)
{
	load_request_t *request = g_new0(load_request_t, 1);
	const load_options_t *options = &load->options;
	bool booking = options->booking != NULL &&
		       (options->model == NULL ||
			   g_rand_double(load->rand) < options->booking_share);

	request->load = load;
	request->workspace = pick_workspace(load);
	request->key = make_idempotency_key(load);
	request->started_us = clock_mono_us();
	uv_timer_init(load->loop, &request->entry_list_timer);
	request->entry_list_timer.data = request;
	sse_init(&request->sse, EVENT_MAX_BYTES);
	if (booking) {
		request->booking =
		    load_report_add_booking(load->report, request->key);
	} else {
		request->prompt =
		    g_strdup_printf("workspace %u asks prefix %u: request %u",
			request->workspace,
			g_rand_int(load->rand) % MAX(options->prompts, 1),
			load->next_serial++);
		load->report->streams_started++;
	}
	LIST_INSERT_HEAD(&load->requests, request, entries);
	load->active_requests++;
	start_attempt(request);
}

static void
deliver_report(load_t *load)
{
	load->on_report(load_report_json(load->report,
			    (double)(clock_mono_us() - load->started_us) / 1e6),
	    load->data);
}

static void
on_run_counts(http_call_t *http, const http_result_t *result, void *data)
{
	load_t *load = data;
	json_t *json;

	if (result->outcome == HTTP_OUTCOME_COMPLETE) {
		json =
		    json_parse(result->body, result->body_length, "runs", NULL);
		load_report_add_run_counts(
		    load->report, json_object_get(json, "runs"));
		json_decref(json);
	} else {
		load->report->run_count_failures++;
	}
	if (--load->run_counts_pending == 0)
		deliver_report(load);
}

/* Reads the run counts of the plain services once every request has ended. */
static void
finish_load(load_t *load)
{
	char **runs = load->options.run_count_servers;
	char *url;

	if (load->finishing)
		return;
	load->finishing = true;
	uv_timer_stop(&load->arrival_timer);
	load->run_counts_pending = runs == NULL ? 0 : g_strv_length(runs);
	if (load->run_counts_pending == 0) {
		deliver_report(load);
		return;
	}
	for (size_t i = 0; runs[i] != NULL; i++) {
		url = g_strdup_printf("http://%s/runs", runs[i]);
		http_call_start(load->http, &(http_call_options_t){
						.url = url,
						.timeout_ms = 5000,
						.on_complete = on_run_counts,
						.data = load,
					    });
		g_free(url);
	}
}

static void
on_tick(uv_timer_t *timer)
{
	load_t *load = timer->data;
	double now_us = (double)(clock_mono_us() - load->started_us);
	double end_us = load->options.duration_s * 1e6;

	while (
	    load->next_arrival_us <= now_us && load->next_arrival_us < end_us) {
		start_request(load);
		load->next_arrival_us += -log(1 - g_rand_double(load->rand)) *
					 1e6 / load->options.rate;
	}
	if (load->next_arrival_us < end_us)
		return;
	load->arrivals_over = true;
	uv_timer_stop(timer);
	if (load->active_requests == 0)
		finish_load(load);
}

load_t *
load_start(uv_loop_t *loop, const load_options_t *options,
    void (*on_report)(json_t *report, void *data), void *data)
{
	load_t *load = g_new0(load_t, 1);

	load->loop = loop;
	load->options = *options;
	if (options->workspace_names != NULL)
		load->options.workspaces =
		    g_strv_length(options->workspace_names);
	load->on_report = on_report;
	load->data = data;
	load->http = http_client_new(loop);
	load->rand = g_rand_new_with_seed((guint32)options->seed);
	load->report = load_report_new();
	load->entry_lists =
	    g_new0(workspace_entries_t, load->options.workspaces);
	LIST_INIT(&load->requests);
	build_weights(load);
	load->started_us = clock_mono_us();
	uv_timer_init(loop, &load->arrival_timer);
	load->arrival_timer.data = load;
	uv_timer_start(&load->arrival_timer, on_tick, 0, TICK_MS);
	return load;
}

static void
on_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void
load_free(load_t *load)
{
	for (unsigned i = 0; i < load->options.workspaces; i++)
		g_strfreev(load->entry_lists[i].addresses);
	g_free(load->entry_lists);
	g_free(load->cumulative_weights);
	http_client_free(load->http);
	load_report_free(load->report);
	g_rand_free(load->rand);
	uv_close((uv_handle_t *)&load->arrival_timer, on_timer_closed);
}
