#include "admit.h"

#include <math.h>
#include <string.h>

enum {
	LIMIT_MIN = 4,
	LIMIT_WINDOW_MS = 500,
	LIMIT_WINDOW_SAMPLES_MIN = 8,
	/* Windows without a latency near the baseline before it is raised. */
	BASELINE_WINDOWS_MAX = 60,
	REFUSAL_DELAY_MIN_MS = 100,
	REFUSAL_DELAY_MAX_MS = 2000,
	DELAYED_REFUSALS_MAX = 1024,
	REFUSAL_WINDOW_MS = 1000,
	RETRY_CREDIT_MAX = 10,
};

/* Latency up to this multiple of the baseline does not count as overload. */
static const double LATENCY_TOLERANCE = 2.0;
/*
 * Latency up to this multiple of the baseline confirms it; also the factor by
 * which an unconfirmed baseline is raised.
 */
static const double BASELINE_TOLERANCE = 1.1;
static const double LIMIT_SHRINK_FACTOR_MIN = 0.7;
static const double FAILURE_SHARE_MAX = 0.5;

TAILQ_HEAD(admit_queue, admit_request);

struct admit_workspace {
	char *name;
	struct admit_queue queue;
	unsigned waiting;
	unsigned running;
	unsigned weight;
	double start_tag;    /* of weighted fair queueing, virtual time */
	double retry_credit; /* retries available; negative if overdrawn */
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
	/* Current sampling window of the adaptive limit. */
	int64_t window_start_ms;
	unsigned window_samples;
	unsigned window_failures;
	unsigned window_running_max; /* most requests running at once */
	double window_latency_sum;
	double baseline_ms;
	unsigned windows_since_baseline;
	/* Delays of refusals. */
	int64_t refusal_window_start_ms;
	unsigned refusals_in_window;
	unsigned refusals_in_previous_window;
	unsigned delayed_refusals;
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
		workspace->retry_credit = RETRY_CREDIT_MAX;
		workspace->start_tag = admit->virtual_time;
		TAILQ_INIT(&workspace->queue);
		g_hash_table_insert(
		    admit->workspaces, workspace->name, workspace);
	}
	return workspace;
}

static void
start_request(admit_t *admit, admit_request_t *request, int64_t now_ms)
{
	admit_workspace_t *workspace = request->workspace;

	/* An idle workspace accumulates no credit. */
	workspace->start_tag = MAX(workspace->start_tag, admit->virtual_time);
	admit->virtual_time = workspace->start_tag;
	workspace->start_tag += 1.0 / workspace->weight;
	workspace->running++;
	admit->running++;
	admit->window_running_max =
	    MAX(admit->window_running_max, admit->running);
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
queue_length_per_weight(const admit_workspace_t *workspace)
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
		    (largest == NULL || queue_length_per_weight(workspace) >
					    queue_length_per_weight(largest)))
			largest = workspace;
	}
	return largest;
}

static void
count_refusal(admit_t *admit, int64_t now_ms)
{
	int64_t age_ms = now_ms - admit->refusal_window_start_ms;

	if (age_ms >= REFUSAL_WINDOW_MS) {
		admit->refusals_in_previous_window =
		    age_ms < 2 * REFUSAL_WINDOW_MS ? admit->refusals_in_window
						   : 0;
		admit->refusals_in_window = 0;
		admit->refusal_window_start_ms = now_ms;
	}
	admit->refusals_in_window++;
}

admit_decision_t
admit_submit(admit_t *admit, admit_request_t *request,
    const char *workspace_name, unsigned weight, int64_t deadline_ms,
    int64_t now_ms, admit_request_t **evicted)
{
	admit_workspace_t *workspace = workspace_get(admit, workspace_name);
	admit_workspace_t *largest;

	*evicted = NULL;
	workspace->weight = MAX(weight, 1);
	workspace->retry_credit = MIN(
	    workspace->retry_credit + admit->retry_budget, RETRY_CREDIT_MAX);
	request->workspace = workspace;
	request->deadline_ms = deadline_ms;
	if (admit->waiting == 0 && admit->running < admit_limit(admit)) {
		start_request(admit, request, now_ms);
		return ADMIT_RUN;
	}
	if (admit->waiting < admit->waiting_max) {
		enqueue(admit, request);
		return ADMIT_QUEUE;
	}
	largest = largest_queue(admit);
	if (largest == NULL || largest == workspace ||
	    queue_length_per_weight(largest) <=
		(double)(workspace->waiting + 1) / workspace->weight) {
		count_refusal(admit, now_ms);
		return ADMIT_REFUSE;
	}
	*evicted = TAILQ_LAST(&largest->queue, admit_queue);
	dequeue(admit, *evicted);
	count_refusal(admit, now_ms);
	enqueue(admit, request);
	return ADMIT_QUEUE;
}

/* Workspace with waiting requests that has the lowest start tag. */
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
		if (next == NULL || workspace->start_tag < next->start_tag ||
		    (workspace->start_tag == next->start_tag &&
			strcmp(workspace->name, next->name) < 0))
			next = workspace;
	}
	return next;
}

admit_request_t *
admit_start_next(admit_t *admit, int64_t now_ms)
{
	admit_workspace_t *workspace;
	admit_request_t *request;

	if (admit->waiting == 0 || admit->running >= admit_limit(admit))
		return NULL;
	workspace = next_workspace(admit);
	request = TAILQ_FIRST(&workspace->queue);
	dequeue(admit, request);
	start_request(admit, request, now_ms);
	return request;
}

admit_request_t *
admit_remove_expired(admit_t *admit, int64_t now_ms)
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
	admit->window_start_ms = now_ms;
	admit->window_samples = 0;
	admit->window_failures = 0;
	admit->window_latency_sum = 0;
	admit->window_running_max = admit->running;
}

/*
 * The baseline is the lowest mean latency of a window. It is raised slowly if
 * no window comes near it for a while, as prompts may have become longer for
 * good.
 */
static void
update_baseline(admit_t *admit, double latency)
{
	admit->windows_since_baseline++;
	if (admit->baseline_ms == 0 || latency < admit->baseline_ms)
		admit->baseline_ms = latency;
	if (latency <= admit->baseline_ms * BASELINE_TOLERANCE)
		admit->windows_since_baseline = 0;
	if (admit->windows_since_baseline <= BASELINE_WINDOWS_MAX)
		return;
	admit->baseline_ms *= BASELINE_TOLERANCE;
	admit->windows_since_baseline = 0;
}

/*
 * Gradient-based concurrency limit: shrinks if latency exceeds the tolerated
 * multiple of the baseline or too many requests failed, and grows by its square
 * root if the limit was reached.
 */
static void
update_limit(admit_t *admit, int64_t now_ms)
{
	unsigned successes = admit->window_samples - admit->window_failures;
	double latency, gradient;

	if (admit->window_failures >
	    FAILURE_SHARE_MAX * admit->window_samples) {
		admit->limit =
		    MAX(admit->limit * LIMIT_SHRINK_FACTOR_MIN, LIMIT_MIN);
		start_window(admit, now_ms);
		return;
	}
	latency = admit->window_latency_sum / MAX(successes, 1);
	update_baseline(admit, MAX(latency, 0.1));
	gradient = LATENCY_TOLERANCE * admit->baseline_ms / MAX(latency, 0.1);
	gradient = CLAMP(gradient, LIMIT_SHRINK_FACTOR_MIN, 1.0);
	if (gradient < 1)
		admit->limit *= gradient;
	else if (admit->window_running_max + 1 >= admit_limit(admit))
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
	if (now_ms - admit->window_start_ms >= LIMIT_WINDOW_MS &&
	    admit->window_samples >= LIMIT_WINDOW_SAMPLES_MIN)
		update_limit(admit, now_ms);
}

void
admit_cancel(admit_t *admit, admit_request_t *request)
{
	if (request->waiting)
		dequeue(admit, request);
}

admit_request_t *
admit_remove_next(admit_t *admit)
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
admit_refusal_delay_ms(admit_t *admit, int64_t now_ms)
{
	int64_t delay_ms;

	if (admit->delayed_refusals >= DELAYED_REFUSALS_MAX)
		return 0;
	admit->delayed_refusals++;
	delay_ms =
	    REFUSAL_DELAY_MIN_MS + 10 * (int64_t)MAX(admit->refusals_in_window,
					    admit->refusals_in_previous_window);
	return MIN(delay_ms, REFUSAL_DELAY_MAX_MS);
}

void
admit_refusal_sent(admit_t *admit)
{
	admit->delayed_refusals--;
}

bool
admit_take_retry(admit_t *admit, const char *workspace_name, bool resume)
{
	admit_workspace_t *workspace = workspace_get(admit, workspace_name);

	if (workspace->retry_credit < 1 && !resume)
		return false;
	workspace->retry_credit -= 1;
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
