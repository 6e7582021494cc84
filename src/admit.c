#include "admit.h"

#include <math.h>
#include <string.h>

enum {
	LIMIT_MIN = 4,
	WINDOW_MS = 500,
	WINDOW_SAMPLES_MIN = 8,
	BASELINE_WINDOWS = 60, /* windows until the baseline may rise again */
	PACE_FIRST_MS = 100,
	PACE_MAX_MS = 2000,
	PACED_MAX = 1024,
	REFUSAL_WINDOW_MS = 1000,
	RETRY_BUDGET_CAP = 10,
};

/* Latency up to this multiple of the baseline is not taken for overload. */
static const double LATENCY_TOLERANCE = 2.0;
/* Latency up to this multiple of the baseline confirms it. */
static const double BASELINE_CONFIRM = 1.1;
static const double LIMIT_SHRINK_MOST = 0.7;
static const double FAILURE_SHARE_TO_SHRINK = 0.5;

TAILQ_HEAD(admit_queue, admit_request);

struct admit_workspace {
	char *name;
	struct admit_queue queue;
	unsigned waiting;
	unsigned running;
	unsigned weight;
	double served;	/* start tag of weighted fair queueing */
	double retries; /* left in the budget; below 0: debt */
};

struct admit {
	unsigned limit_max;
	unsigned waiting_max;
	double retry_budget;
	limit_policy_t policy;
	GHashTable *workspaces; /* name: admit_workspace_t */
	double virtual_time;
	unsigned running;
	unsigned waiting;
	double limit;
	/* Adaptive limit: one window of samples. */
	int64_t window_started_ms;
	unsigned window_samples;
	unsigned window_failures;
	unsigned window_peak; /* most running at once */
	double window_latency_sum;
	double baseline_ms;
	unsigned baseline_age;
	/* Pacing of refusals. */
	int64_t refusals_started_ms;
	unsigned refusals;
	unsigned refusals_before;
	unsigned paced;
};

static void
workspace_free(gpointer data)
{
	admit_workspace_t *workspace = data;

	g_free(workspace->name);
	g_free(workspace);
}

admit_t *
admit_new(const service_t *service)
{
	admit_t *admit = g_new0(admit_t, 1);

	admit->workspaces = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, workspace_free);
	admit_configure(admit, service);
	admit->limit = admit->limit_max;
	return admit;
}

void
admit_free(admit_t *admit)
{
	if (admit == NULL)
		return;
	g_hash_table_destroy(admit->workspaces);
	g_free(admit);
}

void
admit_configure(admit_t *admit, const service_t *service)
{
	admit->limit_max = MAX(service->in_flight_max, 1);
	admit->waiting_max = service->waiting_max;
	admit->retry_budget = service->retry_budget;
	admit->policy = service->limit_policy;
	if (admit->policy == LIMIT_FIXED || admit->limit > admit->limit_max)
		admit->limit = admit->limit_max;
}

static admit_workspace_t *
workspace_get(admit_t *admit, const char *name)
{
	admit_workspace_t *workspace =
	    g_hash_table_lookup(admit->workspaces, name);

	if (workspace == NULL) {
		workspace = g_new0(admit_workspace_t, 1);
		workspace->name = g_strdup(name);
		workspace->weight = 1;
		workspace->retries = RETRY_BUDGET_CAP;
		workspace->served = admit->virtual_time;
		TAILQ_INIT(&workspace->queue);
		g_hash_table_insert(
		    admit->workspaces, workspace->name, workspace);
	}
	return workspace;
}

static void
run(admit_t *admit, admit_request_t *request, int64_t now_ms)
{
	admit_workspace_t *workspace = request->workspace;

	/* An idle workspace gains no credit for the time that it was idle. */
	workspace->served = MAX(workspace->served, admit->virtual_time);
	admit->virtual_time = workspace->served;
	workspace->served += 1.0 / workspace->weight;
	workspace->running++;
	admit->running++;
	admit->window_peak = MAX(admit->window_peak, admit->running);
	request->running = true;
	request->started_ms = now_ms;
}

static void
enqueue(admit_t *admit, admit_request_t *request)
{
	TAILQ_INSERT_TAIL(&request->workspace->queue, request, entries);
	request->waiting = true;
	request->workspace->waiting++;
	admit->waiting++;
}

static void
dequeue(admit_t *admit, admit_request_t *request)
{
	TAILQ_REMOVE(&request->workspace->queue, request, entries);
	request->waiting = false;
	request->workspace->waiting--;
	admit->waiting--;
}

static double
queue_share(const admit_workspace_t *workspace)
{
	return (double)workspace->waiting / workspace->weight;
}

static admit_workspace_t *
largest_queue(admit_t *admit)
{
	admit_workspace_t *largest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, admit->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		admit_workspace_t *workspace = value;

		if (workspace->waiting > 0 &&
		    (largest == NULL ||
			queue_share(workspace) > queue_share(largest)))
			largest = workspace;
	}
	return largest;
}

static void
count_refusal(admit_t *admit, int64_t now_ms)
{
	int64_t age_ms = now_ms - admit->refusals_started_ms;

	if (age_ms >= REFUSAL_WINDOW_MS) {
		admit->refusals_before =
		    age_ms < 2 * REFUSAL_WINDOW_MS ? admit->refusals : 0;
		admit->refusals = 0;
		admit->refusals_started_ms = now_ms;
	}
	admit->refusals++;
}

admit_verdict_t
admit_offer(admit_t *admit, admit_request_t *request, const char *name,
    unsigned weight, int64_t deadline_ms, int64_t now_ms,
    admit_request_t **evicted)
{
	admit_workspace_t *workspace = workspace_get(admit, name);
	admit_workspace_t *largest;

	*evicted = NULL;
	workspace->weight = MAX(weight, 1);
	workspace->retries =
	    MIN(workspace->retries + admit->retry_budget, RETRY_BUDGET_CAP);
	request->workspace = workspace;
	request->deadline_ms = deadline_ms;
	if (admit->waiting == 0 && admit->running < admit_limit(admit)) {
		run(admit, request, now_ms);
		return ADMIT_RUN;
	}
	if (admit->waiting < admit->waiting_max) {
		enqueue(admit, request);
		return ADMIT_WAIT;
	}
	largest = largest_queue(admit);
	if (largest == NULL || largest == workspace ||
	    queue_share(largest) <=
		(double)(workspace->waiting + 1) / workspace->weight) {
		count_refusal(admit, now_ms);
		return ADMIT_REFUSE;
	}
	*evicted = TAILQ_LAST(&largest->queue, admit_queue);
	dequeue(admit, *evicted);
	count_refusal(admit, now_ms);
	enqueue(admit, request);
	return ADMIT_WAIT;
}

/* Waiting workspace that has been served least for its weight. */
static admit_workspace_t *
next_workspace(admit_t *admit)
{
	admit_workspace_t *next = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, admit->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		admit_workspace_t *workspace = value;

		if (workspace->waiting == 0)
			continue;
		if (next == NULL || workspace->served < next->served ||
		    (workspace->served == next->served &&
			strcmp(workspace->name, next->name) < 0))
			next = workspace;
	}
	return next;
}

admit_request_t *
admit_next(admit_t *admit, int64_t now_ms)
{
	admit_workspace_t *workspace;
	admit_request_t *request;

	if (admit->waiting == 0 || admit->running >= admit_limit(admit))
		return NULL;
	workspace = next_workspace(admit);
	request = TAILQ_FIRST(&workspace->queue);
	dequeue(admit, request);
	run(admit, request, now_ms);
	return request;
}

admit_request_t *
admit_expired(admit_t *admit, int64_t now_ms)
{
	admit_request_t *request;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, admit->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		admit_workspace_t *workspace = value;

		TAILQ_FOREACH (request, &workspace->queue, entries) {
			if (request->deadline_ms > now_ms)
				continue;
			dequeue(admit, request);
			return request;
		}
	}
	return NULL;
}

static void
start_window(admit_t *admit, int64_t now_ms)
{
	admit->window_started_ms = now_ms;
	admit->window_samples = 0;
	admit->window_failures = 0;
	admit->window_latency_sum = 0;
	admit->window_peak = admit->running;
}

/*
 * The lowest latency seen; rises slowly once it has not been seen for a while,
 * as prompts may have become longer for good.
 */
static void
update_baseline(admit_t *admit, double latency)
{
	admit->baseline_age++;
	if (admit->baseline_ms == 0 || latency < admit->baseline_ms)
		admit->baseline_ms = latency;
	if (latency <= admit->baseline_ms * BASELINE_CONFIRM)
		admit->baseline_age = 0;
	if (admit->baseline_age <= BASELINE_WINDOWS)
		return;
	admit->baseline_ms *= BASELINE_CONFIRM;
	admit->baseline_age = 0;
}

/*
 * Gradient limit: shrinks where latency is above the tolerated multiple of the
 * lowest latency seen, grows by its square root where the limit was reached.
 */
static void
adapt(admit_t *admit, int64_t now_ms)
{
	unsigned answered = admit->window_samples - admit->window_failures;
	double latency, gradient;

	if (admit->window_failures >
	    FAILURE_SHARE_TO_SHRINK * admit->window_samples) {
		admit->limit = MAX(admit->limit * LIMIT_SHRINK_MOST, LIMIT_MIN);
		start_window(admit, now_ms);
		return;
	}
	latency = admit->window_latency_sum / MAX(answered, 1);
	update_baseline(admit, MAX(latency, 0.1));
	gradient = LATENCY_TOLERANCE * admit->baseline_ms / MAX(latency, 0.1);
	gradient = CLAMP(gradient, LIMIT_SHRINK_MOST, 1.0);
	if (gradient < 1)
		admit->limit *= gradient;
	else if (admit->window_peak + 1 >= admit_limit(admit))
		admit->limit += sqrt(admit->limit);
	admit->limit = CLAMP(
	    admit->limit, MIN(LIMIT_MIN, admit->limit_max), admit->limit_max);
	start_window(admit, now_ms);
}

void
admit_finish(admit_t *admit, admit_request_t *request, bool ok,
    double latency_ms, int64_t now_ms)
{
	request->running = false;
	request->workspace->running--;
	admit->running--;
	if (admit->policy == LIMIT_FIXED)
		return;
	admit->window_samples++;
	if (ok)
		admit->window_latency_sum += latency_ms;
	else
		admit->window_failures++;
	if (now_ms - admit->window_started_ms >= WINDOW_MS &&
	    admit->window_samples >= WINDOW_SAMPLES_MIN)
		adapt(admit, now_ms);
}

void
admit_cancel(admit_t *admit, admit_request_t *request)
{
	if (request->waiting)
		dequeue(admit, request);
}

admit_request_t *
admit_take_waiting(admit_t *admit)
{
	admit_workspace_t *workspace;
	admit_request_t *request;

	if (admit->waiting == 0)
		return NULL;
	workspace = next_workspace(admit);
	request = TAILQ_FIRST(&workspace->queue);
	dequeue(admit, request);
	return request;
}

int64_t
admit_pace_ms(admit_t *admit, int64_t now_ms)
{
	int64_t pace_ms;

	if (admit->paced >= PACED_MAX)
		return 0;
	admit->paced++;
	pace_ms = PACE_FIRST_MS +
		  10 * (int64_t)MAX(admit->refusals, admit->refusals_before);
	return MIN(pace_ms, PACE_MAX_MS);
}

void
admit_paced(admit_t *admit)
{
	admit->paced--;
}

bool
admit_retry(admit_t *admit, const char *name, bool resume)
{
	admit_workspace_t *workspace = workspace_get(admit, name);

	if (workspace->retries < 1 && !resume)
		return false;
	workspace->retries -= 1;
	return true;
}

unsigned
admit_limit(const admit_t *admit)
{
	return (unsigned)admit->limit;
}

unsigned
admit_running(const admit_t *admit)
{
	return admit->running;
}

unsigned
admit_waiting(const admit_t *admit)
{
	return admit->waiting;
}
