#include "node_order.h"

#include "clock.h"
#include "control_lock.h"
#include "json.h"
#include "log.h"

#include <string.h>

enum {
	/* Pause after any step that did not lead to an order. */
	RETRY_MS = 2000,
	/*
	 * Engines that one node has loading at once: the weight store's rate is
	 * limited, and more loads at once only make each slower.
	 */
	LOADING_MAX = 2,
	LOAD_TIMEOUT_MS = 120000,
};

/*
 * One engine whose loaded version is not the declared one. Owned by its part;
 * the engine's loading time counts against LOADING_MAX.
 */
typedef struct order_job {
	node_orders_t *part;
	backend_t *backend;
	control_lock_record_t record; /* holder NULL: none known */
	int64_t revision;
	int64_t retry_at_ms;	  /* monotonic */
	int64_t loading_until_ms; /* monotonic; 0: not loading */
	bool busy;
} order_job_t;

struct node_orders {
	node_t *node;
	GHashTable *jobs; /* borrowed backend name: order_job_t */
};

static void
job_free(gpointer data)
{
	order_job_t *job = data;

	control_lock_record_clear(&job->record);
	backend_unref(job->backend);
	g_free(job);
}

node_orders_t *
node_orders_new(node_t *node)
{
	node_orders_t *part = g_new0(node_orders_t, 1);

	part->node = node;
	part->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	return part;
}

void
node_orders_free(node_orders_t *part)
{
	if (part == NULL)
		return;
	g_hash_table_destroy(part->jobs);
	g_free(part);
}

static void
job_rest(order_job_t *job)
{
	job->busy = false;
	job->retry_at_ms = clock_mono_ms() + RETRY_MS;
}

static char *
job_key(const order_job_t *job)
{
	return g_strconcat("order/", job->backend->name, NULL);
}

static control_lock_action_t
job_check(const order_job_t *job)
{
	return control_lock_check(
	    job->record.holder != NULL ? &job->record : NULL,
	    job->part->node->config->name, job->backend->fencing,
	    clock_wall_ms());
}

static void
on_ordered(http_call_t *call, const http_result_t *result, void *data)
{
	order_job_t *job = data;
	node_t *node = job->part->node;
	bool taken =
	    result->outcome == HTTP_OUTCOME_COMPLETE && result->status == 200;

	job_rest(job);
	counter_add(node->counters, 1, "orders_%s_total",
	    taken		    ? "taken"
	    : result->status == 409 ? "stale"
				    : "failed");
	if (!taken) {
		job->loading_until_ms = 0;
		return;
	}
	log_event(LOG_LEVEL_INFO, "order.taken",
	    "node=%s backend=%s op=load version=%s fence=%" G_GINT64_FORMAT,
	    node->config->name, job->backend->name, job->backend->version,
	    job->record.fence);
}

static void
job_send(order_job_t *job)
{
	json_t *json =
	    json_pack("{s:I,s:s,s:s}", "fence", (json_int_t)job->record.fence,
		"op", "load", "version", job->backend->version);
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	char *body = json_text(json);
	char *url =
	    g_strdup_printf("http://%s/v1/orders", job->backend->address);

	json_decref(json);
	job->loading_until_ms = clock_mono_ms() + LOAD_TIMEOUT_MS;
	http_call_start(job->part->node->http,
	    &(http_call_options_t){
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = body,
		.body_length = strlen(body),
		.timeout_ms = CONTROL_LOCK_COMMAND_MAX_MS,
		.fresh_connection = true,
		.on_complete = on_ordered,
		.data = job,
	    });
	g_free(url);
	g_free(body);
}

/* Sends where the holding period allows it at this very moment. */
static void
job_send_if_held(order_job_t *job)
{
	if (job_check(job) == CONTROL_LOCK_SEND)
		job_send(job);
	else
		job_rest(job);
}

static void
on_acquired(const store_result_t *result, void *data)
{
	order_job_t *job = data;

	/* Without an answer the next round reads who holds it. */
	if (result->status != STORE_OK) {
		control_lock_record_clear(&job->record);
		job_rest(job);
		return;
	}
	job->revision = result->revision;
	job_send_if_held(job);
}

static void
job_acquire(order_job_t *job)
{
	node_t *node = job->part->node;
	control_lock_record_t next = control_lock_next_record(
	    job->record.holder != NULL ? &job->record : NULL,
	    node->config->name, clock_wall_ms());
	json_t *json = control_lock_record_json(&next);
	char *text = json_text(json);
	char *key = job_key(job);

	control_lock_record_clear(&job->record);
	job->record = next;
	store_compare_and_swap(node->store, key, job->revision, text,
	    strlen(text), NULL, on_acquired, job);
	json_decref(json);
	g_free(text);
	g_free(key);
}

static void
on_read(const store_result_t *result, void *data)
{
	order_job_t *job = data;

	control_lock_record_clear(&job->record);
	job->revision = result->revision;
	if (result->status == STORE_NOT_FOUND)
		job->revision = STORE_REVISION_NONE;
	else if (result->status != STORE_OK ||
		 !control_lock_record_parse(
		     result->value, result->value_length, &job->record, NULL)) {
		job_rest(job);
		return;
	}
	switch (job_check(job)) {
	case CONTROL_LOCK_ACQUIRE:
		job_acquire(job);
		break;
	case CONTROL_LOCK_SEND:
		job_send(job);
		break;
	case CONTROL_LOCK_WAIT:
		job_rest(job);
		break;
	}
}

static unsigned
count_loading(const node_orders_t *part)
{
	int64_t now_ms = clock_mono_ms();
	unsigned loading = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, part->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		loading += ((order_job_t *)value)->loading_until_ms > now_ms;
	return loading;
}

/* A job whose backend server was declared anew starts over. */
static order_job_t *
find_job(node_orders_t *part, const backend_t *backend)
{
	order_job_t *job = g_hash_table_lookup(part->jobs, backend->name);

	if (job == NULL || job->busy || job->backend == backend)
		return job;
	g_hash_table_remove(part->jobs, backend->name);
	return NULL;
}

static order_job_t *
add_job(node_orders_t *part, backend_t *backend)
{
	order_job_t *job = g_new0(order_job_t, 1);

	job->part = part;
	job->backend = backend_ref(backend);
	g_hash_table_insert(part->jobs, backend->name, job);
	return job;
}

void
node_orders_consider(
    node_orders_t *part, backend_t *backend, const char *loaded)
{
	int64_t now_ms = clock_mono_ms();
	order_job_t *job = find_job(part, backend);
	char *key;

	if (job != NULL && job->busy)
		return;
	if (strcmp(loaded, backend->version) == 0) {
		if (job != NULL)
			g_hash_table_remove(part->jobs, backend->name);
		return;
	}
	if (backend->state == BACKEND_DRAINING ||
	    backend->state == BACKEND_REMOVED)
		return;
	if (job == NULL)
		job = add_job(part, backend);
	if (now_ms < job->retry_at_ms || job->loading_until_ms > now_ms ||
	    count_loading(part) >= LOADING_MAX)
		return;
	job->busy = true;
	key = job_key(job);
	store_get(part->node->store, key, on_read, job);
	g_free(key);
}
