#include "clock.h"
#include "engine_cache.h"
#include "error.h"
#include "json.h"
#include "standin.h"
#include "token.h"

#include <string.h>
#include <sys/queue.h>

enum {
	DEFAULT_SLOTS = 64, /* requests batched at once; fault "slots" */
	KV_BYTES_PER_TOKEN = 1024,
	MAX_TOKENS = 65536,
	NEVER = G_MAXUINT,
};

/* A model engine with continuous batching and a prefix cache. */
typedef struct engine {
	standin_t standin;
	TAILQ_HEAD(, job) waiting; /* by priority, then by arrival */
	TAILQ_HEAD(, job) running;
	unsigned waiting_count, running_count;
	char *last_attempt, *last_prompt; /* for "cross_rate" */
	engine_cache_t *cache;
	int64_t fence;
	json_t *load; /* as last reported */
	int64_t load_at_ms;
	uint64_t cancelled, tokens, prompt_tokens, recomputed;
} engine_t;

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
	bool faulty; /* the random faults apply to it */
	bool queued, running;
	unsigned first, next, end; /* token indexes */
	unsigned cut_at;	   /* the response ends before this token */
	bool cut_clean;		   /* with the last chunk, as if complete */
	unsigned recomputed;
	GString *text; /* where not streamed */
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
	if (job->text != NULL)
		g_string_free(job->text, TRUE);
	g_free(job);
}

static unsigned
prefill(engine_t *engine, const job_t *job)
{
	unsigned all = engine_words(job->prompt) + job->first;
	unsigned missing =
	    engine_cache_prefill(engine->cache, job->prompt, job->first);

	engine->prompt_tokens += all;
	engine->recomputed += missing;
	return missing;
}

static void
job_leave(job_t *job)
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
event_json(const job_t *job, const char *text, bool last)
{
	json_t *event = json_pack("{s:s,s:s,s:i,s:[{s:s,s:s?}]}", "id",
	    job->attempt, "model", job->version, "index", (int)job->next,
	    "choices", "text", text, "finish_reason", last ? "stop" : NULL);

	if (last)
		json_object_set_new(event, "usage",
		    json_pack("{s:i,s:i}", "completion_tokens",
			(int)(job->end - job->first), "recomputed_tokens",
			(int)job->recomputed));
	return event;
}

static void
write_token(job_t *job)
{
	papaya_token_t token =
	    papaya_token(job->version, job->prompt, job->next);
	char *text, *line;
	json_t *event;

	job->engine->tokens++;
	if (!job->stream) {
		g_string_append(job->text, token.text);
		job->next++;
		return;
	}
	event = event_json(job, token.text, job->next + 1 == job->end);
	text = json_text(event);
	line = g_strdup_printf("data: %s\n\n", text);
	http_stream_write(job->request, line, strlen(line));
	g_free(line);
	g_free(text);
	json_decref(event);
	job->next++;
}

static void
reply_whole(job_t *job)
{
	http_header_t headers[] = {{"content-type", "application/json"},
	    {"papaya-attempt", job->attempt}};
	json_t *body = json_pack("{s:s,s:s,s:[{s:s,s:s}],s:{s:i,s:i}}", "id",
	    job->attempt, "model", job->version, "choices", "text",
	    job->text->str, "finish_reason", "stop", "usage",
	    "completion_tokens", (int)(job->end - job->first),
	    "recomputed_tokens", (int)job->recomputed);
	char *text = json_text(body);

	http_reply(job->request, 200, headers, 2, text, strlen(text));
	g_free(text);
	json_decref(body);
}

static void
finish(job_t *job)
{
	static const char done[] = "data: [DONE]\n\n";

	job_leave(job);
	if (!job->stream) {
		reply_whole(job);
	} else if (job->next == job->end) {
		http_stream_write(job->request, done, strlen(done));
		http_stream_end(job->request);
	} else if (job->cut_clean) {
		http_stream_end(job->request);
	} else {
		http_stream_abort(job->request);
	}
}

/* Writes one token, or all of them where no time is set between tokens. */
static void
on_token(void *data)
{
	job_t *job = data;
	engine_t *engine = job->engine;
	int64_t token_ms = standin_time_ms(
	    &engine->standin, "token_ms", engine->running_count);

	while (
	    job->running && job->next < job->end && job->next < job->cut_at) {
		write_token(job);
		if (token_ms > 0)
			break;
	}
	if (!job->running) {
		job_unref(job);
		return;
	}
	if (job->next >= MIN(job->end, job->cut_at)) {
		finish(job);
		job_unref(job);
		return;
	}
	standin_after(&engine->standin, token_ms, on_token, job);
}

static void
plan_faults(job_t *job)
{
	engine_t *engine = job->engine;

	job->cut_at = NEVER;
	if (!job->faulty)
		return;
	if (standin_chance(&engine->standin, "cut_rate")) {
		job->cut_at = (job->first + job->end) / 2;
		job->cut_clean = g_rand_boolean(engine->standin.rand);
	}
	if (engine->last_attempt == NULL ||
	    !standin_chance(&engine->standin, "cross_rate"))
		return;
	g_free(job->attempt);
	g_free(job->prompt);
	job->attempt = g_strdup(engine->last_attempt);
	job->prompt = g_strdup(engine->last_prompt);
}

static void
on_begin(void *data)
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
	on_token(job);
}

static void
job_unqueue(job_t *job)
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

	job_unqueue(job);
	TAILQ_INSERT_TAIL(&engine->running, job, entries);
	engine->running_count++;
	job->running = true;
	job->version = g_strdup(standin->version);
	job->recomputed = prefill(engine, job);
	plan_faults(job);
	delay_ms = standin_time_ms(standin, "delay_ms", engine->running_count);
	if (job->faulty)
		delay_ms += (int64_t)standin_fault(standin, "late_ms");
	delay_ms += (int64_t)(standin_fault(standin, "prefill_token_ms") *
			      job->recomputed);
	standin_after(standin, delay_ms, on_begin, job_ref(job));
}

static void
start_jobs(engine_t *engine)
{
	double slots = standin_fault(&engine->standin, "slots");
	unsigned most = slots > 0 ? (unsigned)slots : DEFAULT_SLOTS;

	while (engine->running_count < most && !TAILQ_EMPTY(&engine->waiting))
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

/* The client left or the response is complete. */
static void
on_gone(void *data)
{
	job_t *job = data;

	if (job->running) {
		job->engine->cancelled++;
		job_leave(job);
	} else if (job->queued) {
		job->engine->cancelled++;
		job_unqueue(job);
		job_unref(job);
	}
	job_unref(job);
}

static void
reply_bad(http_request_t *request, const char *message)
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
	double over = standin_fault(standin, "only_over_bytes");
	size_t resumed =
	    json_array_size(json_object_get(body, "resume_tokens"));
	bool fails = standin_call_fails(standin);
	job_t *job;

	if (prompt == NULL || max_tokens < 1 || max_tokens > MAX_TOKENS ||
	    resumed >= (size_t)max_tokens) {
		reply_bad(request, "prompt, max_tokens or resume_tokens");
		return;
	}
	if (fails && (double)strlen(prompt) > over) {
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
	job->faulty = over == 0 || (double)strlen(prompt) > over;
	job->first = job->next = (unsigned)resumed;
	job->end = (unsigned)max_tokens;
	job->text = g_string_new(NULL);
	enqueue(engine, job);
	http_request_on_close(request, on_gone, job_ref(job));
	start_jobs(engine);
}

static void
serve_load(engine_t *engine, http_request_t *request)
{
	double lag_ms = standin_fault(&engine->standin, "load_lag_ms");

	if (engine->load == NULL ||
	    clock_mono_ms() >= engine->load_at_ms + (int64_t)lag_ms) {
		json_decref(engine->load);
		engine->load = json_pack("{s:i,s:i,s:f,s:s}", "running",
		    (int)engine->running_count, "waiting",
		    (int)engine->waiting_count, "kv_free",
		    engine_cache_free_share(engine->cache), "version",
		    engine->standin.version);
		engine->load_at_ms = clock_mono_ms();
	}
	http_reply_json(request, 200, json_incref(engine->load));
}

static void
serve_cache_events(engine_t *engine, http_request_t *request)
{
	char *after = http_request_query_param(request, "after");

	http_reply_json(request, 200,
	    engine_cache_events(engine->cache,
		after != NULL ? g_ascii_strtoull(after, NULL, 10) : 0));
	g_free(after);
}

static void
serve_order(engine_t *engine, http_request_t *request, const json_t *body)
{
	standin_t *standin = &engine->standin;
	int64_t fence = json_get_int(body, "fence", 0);
	const char *version = json_get_string(body, "version", NULL);

	if (fence < engine->fence &&
	    standin_fault(standin, "ignore_fence") == 0) {
		http_reply_json(request, 409,
		    json_pack("{s:{s:s,s:I}}", "error", "kind", "stale_fence",
			"fence", (json_int_t)engine->fence));
		return;
	}
	engine->fence = MAX(engine->fence, fence);
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
	tokens = engine_words(job->prompt) + job->next;
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
		reply_bad(request, "handle");
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
		(json_int_t)engine->standin.calls, "cancelled",
		(json_int_t)engine->cancelled, "tokens",
		(json_int_t)engine->tokens, "prompt_tokens",
		(json_int_t)engine->prompt_tokens, "recomputed_tokens",
		(json_int_t)engine->recomputed));
}

static void
serve_post(engine_t *engine, http_request_t *request, const char *path)
{
	size_t length;
	const char *text = http_request_body(request, &length);
	json_t *body = json_parse(text, length, "request", NULL);

	if (!json_is_object(body))
		reply_bad(request, "the body is not a JSON object");
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
serve(http_request_t *request, void *data)
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
	engine.standin.handler = serve;
	engine.standin.data = &engine;
	engine.standin.version = "v1";
	return standin_run(&engine.standin, argc, argv);
}
