#include "clock.h"
#include "engine_cache.h"
#include "error.h"
#include "json.h"
#include "standin.h"
#include "token.h"

#include <string.h>
#include <sys/queue.h>

enum {
	DEFAULT_SLOTS = 64, /* maximum batch size; fault "slots" */
	KV_BYTES_PER_TOKEN = 1024,
	MAX_COMPLETION_TOKENS = 65536,
	NO_CUT = G_MAXUINT, /* a cut_token that no response reaches */
};

/* Simulates a model engine with continuous batching and a prefix cache. */
typedef struct engine {
	standin_t standin;
	TAILQ_HEAD(, job) waiting; /* by priority, then by arrival */
	TAILQ_HEAD(, job) running;
	unsigned waiting_count, running_count;
	char *last_attempt, *last_prompt; /* sent by "cross_rate" */
	engine_cache_t *cache;
	int64_t highest_fence;
	json_t *load_report; /* cached for the fault "load_lag_ms" */
	int64_t load_report_ms;
	uint64_t cancelled_jobs, generated_tokens, prompt_tokens,
	    recomputed_tokens;
} engine_t;

/* A completion request. */
typedef struct job {
	TAILQ_ENTRY(job) entries;
	unsigned refs;
	engine_t *engine;
	http_request_t *request;
	char *attempt;
	char *prompt;
	char *version;
	int priority;
	bool stream;
	/* Whether "cut_rate", "cross_rate" and "late_ms" apply to the job. */
	bool faults_apply;
	bool queued, running;
	/* Indexes of tokens in the response; end_token is exclusive. */
	unsigned first_token, next_token, end_token;
	unsigned cut_token; /* index before which the response is cut */
	bool cut_cleanly;   /* end the HTTP body as if complete */
	unsigned recomputed_tokens;
	GString *response_text; /* of a response that is not streamed */
} job_t;

static void start_jobs(engine_t *engine);

static job_t *
job_ref(job_t *job)
{
	job->refs++;
	return job;
}

static void
job_unref(job_t *job)
{
	if (--job->refs > 0)
		return;
	http_request_unref(job->request);
	g_free(job->attempt);
	g_free(job->prompt);
	g_free(job->version);
	if (job->response_text != NULL)
		g_string_free(job->response_text, TRUE);
	g_free(job);
}

/* Caches the prompt; returns the number of tokens that were not cached. */
static unsigned
prefill_prompt(engine_t *engine, const job_t *job)
{
	unsigned total_tokens =
	    engine_count_words(job->prompt) + job->first_token;
	unsigned uncached_tokens =
	    engine_cache_prefill(engine->cache, job->prompt, job->first_token);

	engine->prompt_tokens += total_tokens;
	engine->recomputed_tokens += uncached_tokens;
	return uncached_tokens;
}

/* Frees the batch slot of a running job and starts the next ones. */
static void
job_stop(job_t *job)
{
	engine_t *engine = job->engine;

	if (!job->running)
		return;
	job->running = false;
	TAILQ_REMOVE(&engine->running, job, entries);
	engine->running_count--;
	g_free(engine->last_attempt);
	g_free(engine->last_prompt);
	engine->last_attempt = g_strdup(job->attempt);
	engine->last_prompt = g_strdup(job->prompt);
	start_jobs(engine);
	job_unref(job);
}

static json_t *
event_json(const job_t *job, const char *text, bool is_last)
{
	json_t *event = json_pack("{s:s,s:s,s:i,s:[{s:s,s:s?}]}", "id",
	    job->attempt, "model", job->version, "index", (int)job->next_token,
	    "choices", "text", text, "finish_reason", is_last ? "stop" : NULL);

	if (is_last)
		json_object_set_new(event, "usage",
		    json_pack("{s:i,s:i}", "completion_tokens",
			(int)(job->end_token - job->first_token),
			"recomputed_tokens", (int)job->recomputed_tokens));
	return event;
}

static void
write_token(job_t *job)
{
	papaya_token_t token =
	    papaya_token(job->version, job->prompt, job->next_token);
	char *text, *sse_event;
	json_t *event;

	job->engine->generated_tokens++;
	if (!job->stream) {
		g_string_append(job->response_text, token.text);
		job->next_token++;
		return;
	}
	event =
	    event_json(job, token.text, job->next_token + 1 == job->end_token);
	text = json_text(event);
	sse_event = g_strdup_printf("data: %s\n\n", text);
	http_stream_write(job->request, sse_event, strlen(sse_event));
	g_free(sse_event);
	g_free(text);
	json_decref(event);
	job->next_token++;
}

static void
reply_unstreamed(job_t *job)
{
	http_header_t headers[] = {{"content-type", "application/json"},
	    {"papaya-attempt", job->attempt}};
	json_t *body = json_pack("{s:s,s:s,s:[{s:s,s:s}],s:{s:i,s:i}}", "id",
	    job->attempt, "model", job->version, "choices", "text",
	    job->response_text->str, "finish_reason", "stop", "usage",
	    "completion_tokens", (int)(job->end_token - job->first_token),
	    "recomputed_tokens", (int)job->recomputed_tokens);
	char *text = json_text(body);

	http_reply(job->request, 200, headers, 2, text, strlen(text));
	g_free(text);
	json_decref(body);
}

static void
end_response(job_t *job)
{
	static const char done_event[] = "data: [DONE]\n\n";

	job_stop(job);
	if (!job->stream) {
		reply_unstreamed(job);
	} else if (job->next_token == job->end_token) {
		http_stream_write(job->request, done_event, strlen(done_event));
		http_stream_end(job->request);
	} else if (job->cut_cleanly) {
		http_stream_end(job->request);
	} else {
		http_stream_abort(job->request);
	}
}

/* Writes one token, or all of them where the fault "token_ms" is not set. */
static void
on_token_due(void *data)
{
	job_t *job = data;
	engine_t *engine = job->engine;
	int64_t token_ms = standin_fault_time_ms(
	    &engine->standin, "token_ms", engine->running_count);

	while (job->running && job->next_token < job->end_token &&
	       job->next_token < job->cut_token) {
		write_token(job);
		if (token_ms > 0)
			break;
	}
	if (!job->running) {
		job_unref(job);
		return;
	}
	if (job->next_token >= MIN(job->end_token, job->cut_token)) {
		end_response(job);
		job_unref(job);
		return;
	}
	standin_call_after(&engine->standin, token_ms, on_token_due, job);
}

/*
 * Draws the random faults of a job: "cut_rate" ends the response halfway, and
 * "cross_rate" responds with the attempt and text of an earlier request.
 */
static void
draw_faults(job_t *job)
{
	engine_t *engine = job->engine;

	job->cut_token = NO_CUT;
	if (!job->faults_apply)
		return;
	if (standin_fault_occurs(&engine->standin, "cut_rate")) {
		job->cut_token = (job->first_token + job->end_token) / 2;
		job->cut_cleanly = g_rand_boolean(engine->standin.rand);
	}
	if (engine->last_attempt == NULL ||
	    !standin_fault_occurs(&engine->standin, "cross_rate"))
		return;
	g_free(job->attempt);
	g_free(job->prompt);
	job->attempt = g_strdup(engine->last_attempt);
	job->prompt = g_strdup(engine->last_prompt);
}

static void
on_prefill_done(void *data)
{
	job_t *job = data;
	http_header_t headers[] = {{"content-type", "text/event-stream"},
	    {"papaya-attempt", job->attempt}};

	if (!job->running) {
		job_unref(job);
		return;
	}
	if (job->stream)
		http_stream_begin(job->request, 200, headers, 2);
	on_token_due(job);
}

static void
job_dequeue(job_t *job)
{
	job->queued = false;
	TAILQ_REMOVE(&job->engine->waiting, job, entries);
	job->engine->waiting_count--;
}

static void
start_job(engine_t *engine, job_t *job)
{
	standin_t *standin = &engine->standin;
	int64_t delay_ms;

	job_dequeue(job);
	TAILQ_INSERT_TAIL(&engine->running, job, entries);
	engine->running_count++;
	job->running = true;
	job->version = g_strdup(standin->version);
	job->recomputed_tokens = prefill_prompt(engine, job);
	draw_faults(job);
	delay_ms =
	    standin_fault_time_ms(standin, "delay_ms", engine->running_count);
	if (job->faults_apply)
		delay_ms += (int64_t)standin_fault_value(standin, "late_ms");
	delay_ms += (int64_t)(standin_fault_value(standin, "prefill_token_ms") *
			      job->recomputed_tokens);
	standin_call_after(standin, delay_ms, on_prefill_done, job_ref(job));
}

static void
start_jobs(engine_t *engine)
{
	double slots = standin_fault_value(&engine->standin, "slots");
	unsigned max_running = slots > 0 ? (unsigned)slots : DEFAULT_SLOTS;

	while (engine->running_count < max_running &&
	       !TAILQ_EMPTY(&engine->waiting))
		start_job(engine, TAILQ_FIRST(&engine->waiting));
}

static void
enqueue(engine_t *engine, job_t *job)
{
	job_t *other;

	job->queued = true;
	engine->waiting_count++;
	TAILQ_FOREACH (other, &engine->waiting, entries)
		if (other->priority < job->priority) {
			TAILQ_INSERT_BEFORE(other, job, entries);
			return;
		}
	TAILQ_INSERT_TAIL(&engine->waiting, job, entries);
}

/*
 * Runs when the client has disconnected or the response is complete. A job
 * still queued or running here was cancelled by its client.
 */
static void
on_request_closed(void *data)
{
	job_t *job = data;

	if (job->running) {
		job->engine->cancelled_jobs++;
		job_stop(job);
	} else if (job->queued) {
		job->engine->cancelled_jobs++;
		job_dequeue(job);
		job_unref(job);
	}
	job_unref(job);
}

static void
reply_bad_request(http_request_t *request, const char *message)
{
	GError *error = NULL;

	papaya_error_set(&error, PAPAYA_ERROR_BAD_REQUEST, "%s", message);
	http_reply_error(request, error, true);
	g_error_free(error);
}

static void
serve_completion(engine_t *engine, http_request_t *request, const json_t *body)
{
	standin_t *standin = &engine->standin;
	const char *attempt = http_request_header(request, "papaya-attempt");
	const char *prompt = json_get_string(body, "prompt", NULL);
	int64_t max_tokens = json_get_int(body, "max_tokens", 16);
	double over_bytes = standin_fault_value(standin, "only_over_bytes");
	size_t resumed_tokens =
	    json_array_size(json_object_get(body, "resume_tokens"));
	bool inject_error = standin_request_fails(standin);
	job_t *job;

	if (prompt == NULL || max_tokens < 1 ||
	    max_tokens > MAX_COMPLETION_TOKENS ||
	    resumed_tokens >= (size_t)max_tokens) {
		reply_bad_request(
		    request, "prompt, max_tokens or resume_tokens");
		return;
	}
	if (inject_error && (double)strlen(prompt) > over_bytes) {
		http_reply_json(request, 500,
		    json_pack("{s:{s:s}}", "error", "kind", "injected_fault"));
		return;
	}
	job = g_new0(job_t, 1);
	job->refs = 1;
	job->engine = engine;
	job->request = http_request_ref(request);
	job->attempt = g_strdup(attempt != NULL ? attempt : "");
	job->prompt = g_strdup(prompt);
	job->priority = (int)json_get_int(body, "priority", 0);
	job->stream = json_get_bool(body, "stream", false);
	job->faults_apply =
	    over_bytes == 0 || (double)strlen(prompt) > over_bytes;
	job->first_token = job->next_token = (unsigned)resumed_tokens;
	job->end_token = (unsigned)max_tokens;
	job->response_text = g_string_new(NULL);
	enqueue(engine, job);
	http_request_on_close(request, on_request_closed, job_ref(job));
	start_jobs(engine);
}

static void
serve_load(engine_t *engine, http_request_t *request)
{
	double lag_ms = standin_fault_value(&engine->standin, "load_lag_ms");

	if (engine->load_report == NULL ||
	    clock_mono_ms() >= engine->load_report_ms + (int64_t)lag_ms) {
		json_decref(engine->load_report);
		engine->load_report = json_pack("{s:i,s:i,s:f,s:s}", "running",
		    (int)engine->running_count, "waiting",
		    (int)engine->waiting_count, "kv_free",
		    engine_cache_free_fraction(engine->cache), "version",
		    engine->standin.version);
		engine->load_report_ms = clock_mono_ms();
	}
	http_reply_json(request, 200, json_incref(engine->load_report));
}

static void
serve_cache_events(engine_t *engine, http_request_t *request)
{
	char *after_seq = http_request_query_param(request, "after");

	http_reply_json(request, 200,
	    engine_cache_events(engine->cache,
		after_seq != NULL ? g_ascii_strtoull(after_seq, NULL, 10) : 0));
	g_free(after_seq);
}

static void
serve_order(engine_t *engine, http_request_t *request, const json_t *body)
{
	standin_t *standin = &engine->standin;
	int64_t fence = json_get_int(body, "fence", 0);
	const char *version = json_get_string(body, "version", NULL);

	if (fence < engine->highest_fence &&
	    standin_fault_value(standin, "ignore_fence") == 0) {
		http_reply_json(request, 409,
		    json_pack("{s:{s:s,s:I}}", "error", "kind", "stale_fence",
			"fence", (json_int_t)engine->highest_fence));
		return;
	}
	engine->highest_fence = MAX(engine->highest_fence, fence);
	if (strcmp(json_get_string(body, "op", ""), "load") == 0 &&
	    version != NULL)
		standin->version = g_strdup(version);
	http_reply_json(request, 200,
	    json_pack("{s:I,s:s}", "fence", (json_int_t)fence, "version",
		standin->version));
}

static void
serve_export(engine_t *engine, http_request_t *request, const json_t *body)
{
	const char *attempt = json_get_string(body, "attempt", "");
	unsigned tokens;
	char *handle;
	job_t *job;

	TAILQ_FOREACH (job, &engine->running, entries)
		if (strcmp(job->attempt, attempt) == 0)
			break;
	if (job == NULL) {
		http_reply_json(request, 404,
		    json_pack("{s:{s:s}}", "error", "kind", "unknown_attempt"));
		return;
	}
	tokens = engine_count_words(job->prompt) + job->next_token;
	handle = engine_cache_export(job->prompt, tokens);
	http_reply_json(request, 200,
	    json_pack("{s:s,s:I}", "handle", handle, "bytes",
		(json_int_t)tokens * KV_BYTES_PER_TOKEN));
	g_free(handle);
}

static void
serve_import(engine_t *engine, http_request_t *request, const json_t *body)
{
	const char *handle = json_get_string(body, "handle", "");
	unsigned tokens;

	if (!engine_cache_import(engine->cache, handle, &tokens)) {
		reply_bad_request(request, "handle");
		return;
	}
	http_reply_json(
	    request, 200, json_pack("{s:i}", "tokens", (int)tokens));
}

static void
serve_stats(engine_t *engine, http_request_t *request)
{
	http_reply_json(request, 200,
	    json_pack("{s:I,s:I,s:I,s:I,s:I}", "calls",
		(json_int_t)engine->standin.request_count, "cancelled",
		(json_int_t)engine->cancelled_jobs, "tokens",
		(json_int_t)engine->generated_tokens, "prompt_tokens",
		(json_int_t)engine->prompt_tokens, "recomputed_tokens",
		(json_int_t)engine->recomputed_tokens));
}

static void
serve_post(engine_t *engine, http_request_t *request, const char *path)
{
	size_t length;
	const char *text = http_request_body(request, &length);
	json_t *body = json_parse(text, length, "request", NULL);

	if (!json_is_object(body))
		reply_bad_request(request, "the body is not a JSON object");
	else if (strcmp(path, "/v1/completions") == 0)
		serve_completion(engine, request, body);
	else if (strcmp(path, "/v1/orders") == 0)
		serve_order(engine, request, body);
	else if (strcmp(path, "/v1/kv/export") == 0)
		serve_export(engine, request, body);
	else if (strcmp(path, "/v1/kv/import") == 0)
		serve_import(engine, request, body);
	else
		http_reply_json(request, 404, json_object());
	json_decref(body);
}

static void
on_request(http_request_t *request, void *data)
{
	engine_t *engine = data;
	const char *path = http_request_path(request);

	if (strcmp(http_request_method(request), "POST") == 0)
		serve_post(engine, request, path);
	else if (strcmp(path, "/v1/load") == 0)
		serve_load(engine, request);
	else if (strcmp(path, "/v1/cache-events") == 0)
		serve_cache_events(engine, request);
	else if (strcmp(path, "/stats") == 0)
		serve_stats(engine, request);
	else
		http_reply_json(request, 404, json_object());
}

int
main(int argc, char **argv)
{
	static engine_t engine = {.standin = {.program = "standin-engine"}};

	TAILQ_INIT(&engine.waiting);
	TAILQ_INIT(&engine.running);
	engine.cache = engine_cache_new(&engine.standin);
	engine.standin.handler = on_request;
	engine.standin.data = &engine;
	engine.standin.version = "v1";
	return standin_run(&engine.standin, argc, argv);
}
