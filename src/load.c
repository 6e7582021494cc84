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
	ENTRY_RETRY_MS = 50,
	DEFAULT_LIFETIME_MS = 5000,
	ATTEMPTS_MAX = 100000,
};

typedef struct address_list {
	char **addresses; /* NULL at the end */
	int64_t until_ms;
	bool asking;
	unsigned next_entry;
} address_list_t;

typedef struct load_call {
	LIST_ENTRY(load_call) entries;
	load_t *load;
	load_booking_t *booking; /* NULL: a model request */
	unsigned workspace;
	char *key;
	char *prompt;
	int64_t started_us;
	int64_t first_us;
	int64_t last_us;
	unsigned attempts;
	http_call_t *http;
	sse_t sse;
	unsigned tokens;
	char *version;
	bool finished; /* the last event said so */
	bool wrong;
	bool cut;
	uv_timer_t pause;
	bool pausing;
} load_call_t;

struct load {
	uv_loop_t *loop;
	load_options_t options;
	http_client_t *http;
	GRand *rand;
	uv_timer_t timer;
	int64_t started_us;
	double next_us;
	bool arrivals_over;
	bool closing;
	double *cumulative; /* of the workspaces' weights */
	address_list_t *lists;
	LIST_HEAD(, load_call) calls;
	unsigned active;
	unsigned serial;
	load_report_t *report;
	void (*done)(json_t *report, void *data);
	void *data;
	unsigned runs_pending;
};

static void attempt(load_call_t *call);

static void
build_weights(load_t *load)
{
	double sum = 0;

	load->cumulative = g_new0(double, load->options.workspaces);
	for (unsigned i = 0; i < load->options.workspaces; i++) {
		sum += 1.0 / pow(i + 1, load->options.skew);
		load->cumulative[i] = sum;
	}
}

static unsigned
pick_workspace(load_t *load)
{
	unsigned count = load->options.workspaces;
	double point = g_rand_double(load->rand) * load->cumulative[count - 1];
	unsigned i = 0;

	while (i + 1 < count && load->cumulative[i] < point)
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
on_pause_closed(uv_handle_t *handle)
{
	load_call_t *call = handle->data;

	g_free(call->key);
	g_free(call->prompt);
	g_free(call->version);
	sse_clear(&call->sse);
	g_free(call);
}

static void finish_load(load_t *load);

static void
call_end(load_call_t *call)
{
	load_t *load = call->load;

	LIST_REMOVE(call, entries);
	load->active--;
	uv_close((uv_handle_t *)&call->pause, on_pause_closed);
	if (load->arrivals_over && load->active == 0)
		finish_load(load);
}

static bool
out_of_patience(const load_call_t *call)
{
	const load_options_t *options = &call->load->options;

	return (!options->retry && call->attempts > 0) ||
	       call->attempts >= ATTEMPTS_MAX ||
	       clock_mono_us() - call->started_us >=
		   options->patience_ms * 1000;
}

/* Address for the next attempt; NULL where none is known yet. */
static const char *
next_address(load_call_t *call)
{
	load_t *load = call->load;
	address_list_t *list = &load->lists[call->workspace];
	unsigned count;

	if (load->options.direct) {
		count = g_strv_length(load->options.entries);
		return load->options.entries[load->serial++ % count];
	}
	if (list->addresses == NULL || list->addresses[0] == NULL)
		return NULL;
	count = g_strv_length(list->addresses);
	return list->addresses[(call->attempts + list->next_entry) % count];
}

static void
take_entries(address_list_t *list, const char *body, size_t length)
{
	json_t *answer = json_parse(body, length, "entry list", NULL);
	json_t *entries = json_object_get(answer, "entries");
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
		list->until_ms =
		    clock_mono_ms() +
		    json_get_int(answer, "lifetime_ms", DEFAULT_LIFETIME_MS);
	} else {
		g_ptr_array_free(addresses, TRUE);
	}
	json_decref(answer);
}

typedef struct entry_query {
	load_t *load;
	unsigned workspace;
} entry_query_t;

static void
on_entries(http_call_t *http, const http_result_t *result, void *data)
{
	entry_query_t *query = data;
	address_list_t *list = &query->load->lists[query->workspace];

	list->asking = false;
	if (result->outcome == HTTP_OUTCOME_COMPLETE && result->status == 200)
		take_entries(list, result->body, result->body_length);
	else
		query->load->report->entry_failures++;
	g_free(query);
}

/* Asks for the entry list of a workspace when the known one is too old. */
static void
refresh_entries(load_t *load, unsigned workspace)
{
	address_list_t *list = &load->lists[workspace];
	unsigned count = g_strv_length(load->options.entries);
	entry_query_t *query;
	char *name, *url;

	if (load->options.direct || list->asking ||
	    (list->addresses != NULL && clock_mono_ms() < list->until_ms))
		return;
	list->asking = true;
	query = g_new0(entry_query_t, 1);
	query->load = load;
	query->workspace = workspace;
	name = workspace_name(load, workspace);
	url = g_strdup_printf("http://%s/v1/entry?workspace=%s",
	    load->options.entries[list->next_entry++ % count], name);
	http_call_start(load->http, &(http_call_options_t){
					.url = url,
					.timeout_ms = 1000,
					.on_complete = on_entries,
					.data = query,
				    });
	g_free(name);
	g_free(url);
}

static void
on_pause_over(uv_timer_t *timer)
{
	load_call_t *call = timer->data;

	call->pausing = false;
	attempt(call);
}

/* Waits for an entry list; a retry proper has no pause. */
static void
wait_for_entries(load_call_t *call)
{
	call->pausing = true;
	uv_timer_start(&call->pause, on_pause_over, ENTRY_RETRY_MS, 0);
}

static void
retry_or_give_up(load_call_t *call)
{
	load_report_t *report = call->load->report;

	if (!out_of_patience(call)) {
		report->retries++;
		attempt(call);
		return;
	}
	if (call->booking != NULL)
		report->bookings_given_up++;
	else
		report->streams_given_up++;
	call_end(call);
}

/* A request that is refused for good is not sent again. */
static void
retry_unless_refused(load_call_t *call, const http_result_t *result)
{
	if (result->status >= 400 && result->status < 500 &&
	    result->status != 429 && result->status != 409) {
		call->load->report->refusals_final++;
		call_end(call);
		return;
	}
	retry_or_give_up(call);
}

static void
on_booking_done(http_call_t *http, const http_result_t *result, void *data)
{
	load_call_t *call = data;
	load_report_t *report = call->load->report;
	load_booking_t *booking = call->booking;
	const char *not_run;

	call->http = NULL;
	if (result->outcome != HTTP_OUTCOME_COMPLETE) {
		booking->maybe_sent = true;
		retry_or_give_up(call);
		return;
	}
	not_run = http_call_header(http, "papaya-not-run");
	if (result->status == 200) {
		load_report_booking_answer(
		    report, booking, result->body, result->body_length);
		histogram_add(
		    &report->booking_us, clock_mono_us() - call->started_us);
		call_end(call);
		return;
	}
	if (not_run != NULL && strcmp(not_run, "true") == 0)
		report->refusals_not_run++;
	else
		booking->maybe_sent = true;
	if (strstr(result->body, "outcome_unknown") != NULL) {
		booking->unknown = true;
		report->bookings_unknown++;
		call_end(call);
		return;
	}
	retry_unless_refused(call, result);
}

static void
check_token(load_call_t *call, const json_t *event)
{
	load_report_t *report = call->load->report;
	const json_t *choice =
	    json_array_get(json_object_get(event, "choices"), 0);
	const char *text = json_get_string(choice, "text", "");
	const char *finish = json_get_string(choice, "finish_reason", NULL);
	const json_t *usage = json_object_get(event, "usage");
	int64_t now_us = clock_mono_us();

	if (json_object_get(event, "error") != NULL) {
		call->cut = true;
		return;
	}
	if (call->version == NULL)
		call->version = g_strdup(json_get_string(event, "model", ""));
	if (text[0] != '\0') {
		papaya_token_t token =
		    papaya_token(call->version, call->prompt, call->tokens);

		call->wrong |= strcmp(text, token.text) != 0;
		call->tokens++;
		report->tokens++;
		if (call->first_us == 0)
			call->first_us = now_us;
		else
			histogram_add(
			    &report->between_us, now_us - call->last_us);
		call->last_us = now_us;
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
	load_call_t *call = data;
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
			call->wrong = true;
		else
			check_token(call, json);
		json_decref(json);
	}
	return true;
}

static void
on_stream_done(http_call_t *http, const http_result_t *result, void *data)
{
	load_call_t *call = data;
	load_report_t *report = call->load->report;
	bool whole = result->outcome == HTTP_OUTCOME_COMPLETE &&
		     result->status == 200 && call->finished && !call->cut;

	call->http = NULL;
	if (whole && !call->wrong &&
	    call->tokens == call->load->options.max_tokens) {
		report->streams_whole++;
		histogram_add(
		    &report->first_us, call->first_us - call->started_us);
		counter_add(report->versions, 1, "%s", call->version);
		call_end(call);
		return;
	}
	if (call->wrong)
		report->streams_wrong++;
	else if (whole)
		report->streams_cut_shown_whole++;
	else if (call->tokens > 0)
		report->streams_cut++;
	else
		report->streams_refused++;
	retry_unless_refused(call, result);
}

static void
reset_stream(load_call_t *call)
{
	sse_clear(&call->sse);
	sse_init(&call->sse);
	call->tokens = 0;
	call->first_us = 0;
	call->finished = false;
	call->wrong = false;
	call->cut = false;
	g_clear_pointer(&call->version, g_free);
}

static void
start_http(load_call_t *call, const char *address)
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
	    .timeout_ms = options->slow_ms,
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
		http.on_complete = on_booking_done;
	} else {
		reset_stream(call);
		url = g_strdup_printf("http://%s/v1/completions", address);
		json = json_pack("{s:s,s:s,s:i,s:b}", "model", options->model,
		    "prompt", call->prompt, "max_tokens",
		    (int)options->max_tokens, "stream", 1);
		http.on_data = on_stream_data;
		http.on_complete = on_stream_done;
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
attempt(load_call_t *call)
{
	const char *address;

	refresh_entries(call->load, call->workspace);
	address = next_address(call);
	if (address == NULL) {
		if (out_of_patience(call))
			retry_or_give_up(call);
		else
			wait_for_entries(call);
		return;
	}
	call->attempts++;
	call->load->report->attempts++;
	start_http(call, address);
}

static char *
make_key(load_t *load)
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
arrive(load_t *load)
{
	load_call_t *call = g_new0(load_call_t, 1);
	const load_options_t *options = &load->options;
	bool booking = options->booking != NULL &&
		       (options->model == NULL ||
			   g_rand_double(load->rand) < options->booking_share);

	call->load = load;
	call->workspace = pick_workspace(load);
	call->key = make_key(load);
	call->started_us = clock_mono_us();
	uv_timer_init(load->loop, &call->pause);
	call->pause.data = call;
	sse_init(&call->sse);
	if (booking) {
		call->booking = load_report_booking(load->report, call->key);
	} else {
		call->prompt = g_strdup_printf(
		    "workspace %u asks prefix %u: request %u", call->workspace,
		    g_rand_int(load->rand) % MAX(options->prompts, 1),
		    load->serial++);
		load->report->streams_tried++;
	}
	LIST_INSERT_HEAD(&load->calls, call, entries);
	load->active++;
	attempt(call);
}

static void
report_done(load_t *load)
{
	load->done(load_report_json(load->report,
		       (double)(clock_mono_us() - load->started_us) / 1e6),
	    load->data);
}

static void
on_runs(http_call_t *http, const http_result_t *result, void *data)
{
	load_t *load = data;
	json_t *json;

	if (result->outcome == HTTP_OUTCOME_COMPLETE) {
		json =
		    json_parse(result->body, result->body_length, "runs", NULL);
		load_report_runs(load->report, json_object_get(json, "runs"));
		json_decref(json);
	} else {
		load->report->runs_unread++;
	}
	if (--load->runs_pending == 0)
		report_done(load);
}

/* Every request has ended: reads what the plain services really ran. */
static void
finish_load(load_t *load)
{
	char **runs = load->options.runs;
	char *url;

	if (load->closing)
		return;
	load->closing = true;
	uv_timer_stop(&load->timer);
	load->runs_pending = runs == NULL ? 0 : g_strv_length(runs);
	if (load->runs_pending == 0) {
		report_done(load);
		return;
	}
	for (size_t i = 0; runs[i] != NULL; i++) {
		url = g_strdup_printf("http://%s/runs", runs[i]);
		http_call_start(load->http, &(http_call_options_t){
						.url = url,
						.timeout_ms = 5000,
						.on_complete = on_runs,
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

	while (load->next_us <= now_us && load->next_us < end_us) {
		arrive(load);
		load->next_us += -log(1 - g_rand_double(load->rand)) * 1e6 /
				 load->options.rate;
	}
	if (load->next_us < end_us)
		return;
	load->arrivals_over = true;
	uv_timer_stop(timer);
	if (load->active == 0)
		finish_load(load);
}

load_t *
load_start(uv_loop_t *loop, const load_options_t *options,
    void (*done)(json_t *report, void *data), void *data)
{
	load_t *load = g_new0(load_t, 1);

	load->loop = loop;
	load->options = *options;
	if (options->workspace_names != NULL)
		load->options.workspaces =
		    g_strv_length(options->workspace_names);
	load->done = done;
	load->data = data;
	load->http = http_client_new(loop);
	load->rand = g_rand_new_with_seed((guint32)options->seed);
	load->report = load_report_new();
	load->lists = g_new0(address_list_t, load->options.workspaces);
	LIST_INIT(&load->calls);
	build_weights(load);
	load->started_us = clock_mono_us();
	uv_timer_init(loop, &load->timer);
	load->timer.data = load;
	uv_timer_start(&load->timer, on_tick, 0, TICK_MS);
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
		g_strfreev(load->lists[i].addresses);
	g_free(load->lists);
	g_free(load->cumulative);
	http_client_free(load->http);
	load_report_free(load->report);
	g_rand_free(load->rand);
	uv_close((uv_handle_t *)&load->timer, on_timer_closed);
}
