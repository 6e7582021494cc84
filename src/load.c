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
};

typedef struct workspace_entries {
	char **addresses; /* NULL at the end */
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
	char *version;
	bool finished; /* the last event said so */
	bool invalid;
	bool truncated;
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
	double *cumulative_weights; /* of the workspaces' weights */
	workspace_entries_t *entry_lists;
	LIST_HEAD(, load_request) requests;
	unsigned active_requests;
	unsigned next_serial;
	load_report_t *report;
	void (*on_report)(json_t *report, void *data);
	void *data;
	unsigned run_counts_pending;
};

static void start_attempt(load_request_t *call);

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
	load_request_t *call = handle->data;

	g_free(call->key);
	g_free(call->prompt);
	g_free(call->version);
	sse_clear(&call->sse);
	g_free(call);
}

static void finish_load(load_t *load);

static void
end_request(load_request_t *call)
{
	load_t *load = call->load;

	LIST_REMOVE(call, entries);
	load->active_requests--;
	uv_close((uv_handle_t *)&call->entry_list_timer, on_request_closed);
	if (load->arrivals_over && load->active_requests == 0)
		finish_load(load);
}

static bool
should_give_up(const load_request_t *call)
{
	const load_options_t *options = &call->load->options;

	return (!options->retry && call->attempts > 0) ||
	       call->attempts >= ATTEMPTS_MAX ||
	       clock_mono_us() - call->started_us >=
		   options->request_timeout_ms * 1000;
}

/* Address for the next attempt; NULL where none is known yet. */
static const char *
next_address(load_request_t *call)
{
	load_t *load = call->load;
	workspace_entries_t *list = &load->entry_lists[call->workspace];
	unsigned count;

	if (load->options.direct) {
		count = g_strv_length(load->options.addresses);
		return load->options.addresses[load->next_serial++ % count];
	}
	if (list->addresses == NULL || list->addresses[0] == NULL)
		return NULL;
	count = g_strv_length(list->addresses);
	return list->addresses[(call->attempts + list->next_index) % count];
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

/* Asks for the entry list of a workspace when the known one is too old. */
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
	load_request_t *call = timer->data;

	call->waiting = false;
	start_attempt(call);
}

/* Waits for an entry list; a retry proper has no pause. */
static void
wait_for_entry_list(load_request_t *call)
{
	call->waiting = true;
	uv_timer_start(&call->entry_list_timer, on_entry_list_timer,
	    ENTRY_LIST_RETRY_MS, 0);
}

static void
retry_or_give_up(load_request_t *call)
{
	load_report_t *report = call->load->report;

	if (!should_give_up(call)) {
		report->retries++;
		start_attempt(call);
		return;
	}
	if (call->booking != NULL)
		report->bookings_given_up++;
	else
		report->streams_given_up++;
	end_request(call);
}

/* A request that is refused for good is not sent again. */
static void
retry_unless_refused(load_request_t *call, const http_result_t *result)
{
	if (result->status >= 400 && result->status < 500 &&
	    result->status != 429 && result->status != 409) {
		call->load->report->refusals_final++;
		end_request(call);
		return;
	}
	retry_or_give_up(call);
}

static void
on_booking_complete(http_call_t *http, const http_result_t *result, void *data)
{
	load_request_t *call = data;
	load_report_t *report = call->load->report;
	load_booking_t *booking = call->booking;
	const char *not_run;

	call->http = NULL;
	if (result->outcome != HTTP_OUTCOME_COMPLETE) {
		booking->maybe_run = true;
		retry_or_give_up(call);
		return;
	}
	not_run = http_call_header(http, "papaya-not-run");
	if (result->status == 200) {
		load_report_check_booking(
		    report, booking, result->body, result->body_length);
		histogram_add(&report->booking_latency_us,
		    clock_mono_us() - call->started_us);
		end_request(call);
		return;
	}
	if (not_run != NULL && strcmp(not_run, "true") == 0)
		report->refusals_not_run++;
	else
		booking->maybe_run = true;
	if (strstr(result->body, "outcome_unknown") != NULL) {
		booking->outcome_unknown = true;
		report->bookings_unknown++;
		end_request(call);
		return;
	}
	retry_unless_refused(call, result);
}

static void
check_stream_event(load_request_t *call, const json_t *event)
{
	load_report_t *report = call->load->report;
	const json_t *choice =
	    json_array_get(json_object_get(event, "choices"), 0);
	const char *text = json_get_string(choice, "text", "");
	const char *finish = json_get_string(choice, "finish_reason", NULL);
	const json_t *usage = json_object_get(event, "usage");
	int64_t now_us = clock_mono_us();

	if (json_object_get(event, "error") != NULL) {
		call->truncated = true;
		return;
	}
	if (call->version == NULL)
		call->version = g_strdup(json_get_string(event, "model", ""));
	if (text[0] != '\0') {
		papaya_token_t token =
		    papaya_token(call->version, call->prompt, call->tokens);

		call->invalid |= strcmp(text, token.text) != 0;
		call->tokens++;
		report->tokens++;
		if (call->first_token_us == 0)
			call->first_token_us = now_us;
		else
			histogram_add(&report->inter_token_us,
			    now_us - call->last_token_us);
		call->last_token_us = now_us;
	}
	if (finish != NULL)
		call->finished = true;
	if (usage != NULL)
		report->tokens_recomputed +=
		    (uint64_t)json_get_int(usage, "recomputed_tokens", 0);
}

static bool
on_stream_data(http_call_t *http, const char *bytes, size_t length, void *data)
{
	load_request_t *call = data;
	char *event;
	size_t size;

	if (http_call_status(http) != 200)
		return true;
	if (!sse_feed(&call->sse, bytes, length))
		return false;
	while ((event = sse_next(&call->sse, &size)) != NULL) {
		json_t *json;

		if (strcmp(event, "[DONE]") == 0) {
			call->finished = true;
			continue;
		}
		json = json_parse(event, size, "event", NULL);
		if (json == NULL)
			call->invalid = true;
		else
			check_stream_event(call, json);
		json_decref(json);
	}
	return true;
}

static void
on_stream_complete(http_call_t *http, const http_result_t *result, void *data)
{
	load_request_t *call = data;
	load_report_t *report = call->load->report;
	bool complete = result->outcome == HTTP_OUTCOME_COMPLETE &&
			result->status == 200 && call->finished &&
			!call->truncated;

	call->http = NULL;
	if (complete && !call->invalid &&
	    call->tokens == call->load->options.max_tokens) {
		report->streams_complete++;
		histogram_add(
		    &report->ttft_us, call->first_token_us - call->started_us);
		counter_add(report->streams_by_version, 1, "%s", call->version);
		end_request(call);
		return;
	}
	if (call->invalid)
		report->streams_wrong++;
	else if (complete)
		report->streams_truncated_unmarked++;
	else if (call->tokens > 0)
		report->streams_truncated++;
	else
		report->streams_refused++;
	retry_unless_refused(call, result);
}

static void
reset_stream(load_request_t *call)
{
	sse_clear(&call->sse);
	sse_init(&call->sse);
	call->tokens = 0;
	call->first_token_us = 0;
	call->finished = false;
	call->invalid = false;
	call->truncated = false;
	g_clear_pointer(&call->version, g_free);
}

static void
send_attempt(load_request_t *call, const char *address)
{
	const load_options_t *options = &call->load->options;
	char *name = workspace_name(call->load, call->workspace);
	char *workspace = g_strdup_printf("Papaya-Workspace: %s", name);
	char *key = g_strdup_printf("Idempotency-Key: %s", call->key);
	const char *const headers[] = {
	    workspace, key, "Content-Type: application/json", NULL};
	http_call_options_t http = {
	    .method = "POST",
	    .headers = headers,
	    .timeout_ms = options->attempt_timeout_ms,
	    .connect_timeout_ms = 500,
	    .data = call,
	};
	char *url, *body;
	json_t *json;

	if (call->booking != NULL) {
		url = options->direct
			  ? g_strdup_printf("http://%s/book", address)
			  : g_strdup_printf("http://%s/v1/services/%s", address,
				options->booking);
		json = json_pack("{s:s}", "key", call->key);
		http.on_complete = on_booking_complete;
	} else {
		reset_stream(call);
		url = g_strdup_printf("http://%s/v1/completions", address);
		json = json_pack("{s:s,s:s,s:i,s:b}", "model", options->model,
		    "prompt", call->prompt, "max_tokens",
		    (int)options->max_tokens, "stream", 1);
		http.on_data = on_stream_data;
		http.on_complete = on_stream_complete;
	}
	body = json_text(json);
	json_decref(json);
	http.url = url;
	http.body = body;
	http.body_length = strlen(body);
	call->http = http_call_start(call->load->http, &http);
	g_free(body);
	g_free(url);
	g_free(name);
	g_free(workspace);
	g_free(key);
}

static void
start_attempt(load_request_t *call)
{
	const char *address;

	refresh_entry_list(call->load, call->workspace);
	address = next_address(call);
	if (address == NULL) {
		if (should_give_up(call))
			retry_or_give_up(call);
		else
			wait_for_entry_list(call);
		return;
	}
	call->attempts++;
	call->load->report->attempts++;
	send_attempt(call, address);
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
	load_request_t *call = g_new0(load_request_t, 1);
	const load_options_t *options = &load->options;
	bool booking = options->booking != NULL &&
		       (options->model == NULL ||
			   g_rand_double(load->rand) < options->booking_share);

	call->load = load;
	call->workspace = pick_workspace(load);
	call->key = make_idempotency_key(load);
	call->started_us = clock_mono_us();
	uv_timer_init(load->loop, &call->entry_list_timer);
	call->entry_list_timer.data = call;
	sse_init(&call->sse);
	if (booking) {
		call->booking =
		    load_report_add_booking(load->report, call->key);
	} else {
		call->prompt = g_strdup_printf(
		    "workspace %u asks prefix %u: request %u", call->workspace,
		    g_rand_int(load->rand) % MAX(options->prompts, 1),
		    load->next_serial++);
		load->report->streams_started++;
	}
	LIST_INSERT_HEAD(&load->requests, call, entries);
	load->active_requests++;
	start_attempt(call);
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

/* Every request has ended: reads what the plain services really ran. */
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
