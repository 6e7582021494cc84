#include "clock.h"
#include "node_book.h"
#include "route.h"

#include <string.h>

enum {
	/* Larger responses are stored under a key of their own. */
	RESPONSE_INLINE_MAX = 4096,
	RESPONSE_MAX = 8 * 1024 * 1024,
	/* How long a client waits for its response to be stored. */
	KEEP_WAIT_MS = 250,
	NO_BACKEND_WAIT_MS = 2000,
	RETRY_PAUSE_MS = 50,
	/* Longest content type that a record keeps. */
	TYPE_LENGTH_MAX = 128,
	ROUTE_LENGTH_MAX = 32,
};

static void attempt(book_run_t *run);

void
book_run_free(book_run_t *run)
{
	if (run->http != NULL)
		http_call_cancel(run->http);
	if (run->backend != NULL) {
		run->backend->in_flight--;
		backend_unref(run->backend);
	}
	TAILQ_REMOVE(&run->books->runs, run, entries);
	booking_unref(run->booking);
	ledger_record_unref(run->record);
	g_ptr_array_free(run->excluded, TRUE);
	g_clear_pointer(&run->body, g_bytes_unref);
	if (run->response != NULL)
		g_string_free(run->response, TRUE);
	g_free(run->version);
	g_free(run->id);
	g_free(run->type);
	g_free(run);
}

/* Tells the ledger how the run ended, and releases it. */
static void
run_end(book_run_t *run, const ledger_outcome_t *outcome)
{
	node_books_t *books = run->books;

	ledger_finish(books->ledger, run->record, outcome, books_now(books));
	book_run_free(run);
	books_pump(books);
}

static void
run_end_without(book_run_t *run, ledger_attempt_end_t end)
{
	ledger_outcome_t outcome = {.end = end};

	run_end(run, &outcome);
}

static void
run_end_answered(book_run_t *run, ledger_body_location_t kept)
{
	ledger_outcome_t outcome = {
	    .end = LEDGER_END_RESPONDED,
	    .status = run->status,
	    .content_type = run->type,
	    .body = run->body,
	    .body_location = kept,
	};

	run_end(run, &outcome);
}

/*
 * A store call for a large response. The run may have ended meanwhile, so it
 * is looked up by its nonce.
 */
typedef struct keeping {
	node_books_t *books;
	ledger_id_t nonce;
} keeping_t;

static book_run_t *
find_keeping(const keeping_t *keeping)
{
	book_run_t *run;

	TAILQ_FOREACH (run, &keeping->books->runs, entries)
		if (run->keeping &&
		    ledger_id_equal(run->record->nonce, keeping->nonce))
			return run;
	return NULL;
}

static void
on_kept(const store_result_t *result, void *data)
{
	keeping_t *keeping = data;
	book_run_t *run = find_keeping(keeping);

	if (run != NULL)
		run_end_answered(run, result->status == STORE_OK
					  ? LEDGER_BODY_SEPARATE
					  : LEDGER_BODY_OMITTED);
	g_free(keeping);
}

static void
on_lease(const store_result_t *result, void *data)
{
	keeping_t *keeping = data;
	book_run_t *run = find_keeping(keeping);
	const void *bytes;
	gsize length;
	char *key;

	if (run == NULL || result->status != STORE_OK) {
		if (run != NULL)
			run_end_answered(run, LEDGER_BODY_OMITTED);
		g_free(keeping);
		return;
	}
	bytes = g_bytes_get_data(run->body, &length);
	key = book_response_key(keeping->nonce);
	store_compare_and_swap(keeping->books->node->store, key,
	    STORE_REVISION_NONE, bytes, length, result->lease_id, on_kept,
	    keeping);
	g_free(key);
}

/*
 * Stores a large response before its outcome, under a lease that lasts as
 * long as the record, so that nobody has to delete it.
 */
static void
keep_separately(book_run_t *run)
{
	keeping_t *keeping = g_new0(keeping_t, 1);
	int64_t now_ms = books_now(run->books);

	keeping->books = run->books;
	keeping->nonce = run->record->nonce;
	run->keeping = true;
	run->keep_until_ms = now_ms + KEEP_WAIT_MS;
	store_grant_lease(run->books->node->store,
	    MAX(run->record->expires_at_ms - now_ms, 1), on_lease, keeping);
}

static void
run_answered(book_run_t *run, int status, const char *type)
{
	run->status = status;
	run->type = g_strndup(type != NULL ? type : "", TYPE_LENGTH_MAX);
	run->body = g_string_free_to_bytes(run->response);
	run->response = NULL;
	if (g_bytes_get_size(run->body) <= RESPONSE_INLINE_MAX)
		run_end_answered(run, LEDGER_BODY_INLINE);
	else if (g_bytes_get_size(run->body) <= STORE_VALUE_MAX_BYTES)
		keep_separately(run);
	else
		run_end_answered(run, LEDGER_BODY_OMITTED);
}

static bool
on_data(http_call_t *call, const char *bytes, size_t length, void *data)
{
	book_run_t *run = data;

	if (run->response->len + length > RESPONSE_MAX)
		return false;
	g_string_append_len(run->response, bytes, (gssize)length);
	return true;
}

static void
observe(book_run_t *run, bool ok)
{
	const booking_t *booking = run->booking;
	double latency_ms = (double)(clock_mono_ms() - run->attempt_ms);
	char *route = g_strndup(booking->path,
	    MIN(strcspn(booking->path + 1, "/?") + 1, ROUTE_LENGTH_MAX));

	backend_request_finished(run->backend, ok, latency_ms, clock_mono_ms());
	node_moves_observe(run->books->node, booking->service, run->version,
	    route, ok, latency_ms);
	g_ptr_array_add(run->excluded, run->backend);
	run->backend = NULL;
	g_free(route);
}

/* The attempt's own response, and nobody else's. */
static bool
is_own_response(
    const book_run_t *run, http_call_t *call, const http_result_t *result)
{
	const char *echoed = http_call_header(call, "Papaya-Attempt");

	if (result->outcome != HTTP_OUTCOME_COMPLETE)
		return false;
	if (echoed != NULL && strcmp(echoed, run->id) == 0)
		return true;
	counter_add(
	    run->books->node->counters, 1, "bookings_misdelivered_total");
	return false;
}

static void
on_done(http_call_t *call, const http_result_t *result, void *data)
{
	book_run_t *run = data;
	bool own = is_own_response(run, call, result);

	run->http = NULL;
	observe(run, own && result->status < 500);
	if (result->outcome == HTTP_OUTCOME_NOT_SENT) {
		counter_add(run->books->node->counters, 1,
		    "bookings_unreachable_total");
		attempt(run);
	} else if (own) {
		run_answered(run, (int)result->status,
		    http_call_header(call, "Content-Type"));
	} else {
		counter_add(
		    run->books->node->counters, 1, "bookings_unknown_total");
		run_end_without(run, LEDGER_END_UNKNOWN);
	}
}

static backend_t *
choose_of(book_run_t *run, const char *version)
{
	node_t *node = run->books->node;
	GPtrArray *candidates = g_ptr_array_new();
	route_query_t query = {
	    .policy = run->booking->service->route_policy,
	    .zone = node->config->zone,
	    .version = version,
	    .now_ms = clock_mono_ms(),
	    .random = node_random(node),
	    .excluded = run->excluded,
	};
	backend_t *backend;

	backends_of_service(
	    node->backends, run->booking->service->name, candidates);
	backend = route_choose(&query, candidates, node_calls_cache(node));
	g_ptr_array_free(candidates, TRUE);
	return backend;
}

static backend_t *
choose(book_run_t *run)
{
	const service_t *service = run->booking->service;
	const char *version = node_moves_version(run->books->node, service);
	backend_t *backend = choose_of(run, version);

	if (backend == NULL) {
		version = service->current;
		backend = choose_of(run, version);
	}
	g_free(run->version);
	run->version = g_strdup(version);
	return backend;
}

/* Every usable backend server was tried: again after a pause, or give up. */
static void
wait_for_backend(book_run_t *run, int64_t now_ms)
{
	if (now_ms >= run->begun_ms + NO_BACKEND_WAIT_MS) {
		run_end_without(run, LEDGER_END_NOT_SENT);
		return;
	}
	g_ptr_array_set_size(run->excluded, 0);
	run->retry_at_ms = now_ms + RETRY_PAUSE_MS;
}

static GPtrArray *
attempt_headers(const book_run_t *run, int64_t timeout_ms)
{
	const booking_t *booking = run->booking;
	GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);

	for (size_t i = 0; booking->headers->pdata[i] != NULL; i++)
		g_ptr_array_add(headers, g_strdup(booking->headers->pdata[i]));
	g_ptr_array_add(
	    headers, g_strdup_printf("Papaya-Attempt: %s", run->id));
	g_ptr_array_add(
	    headers, g_strdup_printf(
			 "Papaya-Timeout-Ms: %" G_GINT64_FORMAT, timeout_ms));
	g_ptr_array_add(headers, NULL);
	return headers;
}

static void
attempt_send(book_run_t *run, int64_t timeout_ms)
{
	const booking_t *booking = run->booking;
	char *nonce = ledger_id_text(run->record->nonce);
	GPtrArray *headers;
	gsize length;
	const void *body = g_bytes_get_data(booking->body, &length);
	char *url = g_strdup_printf(
	    "http://%s%s", run->backend->address, booking->path);
	http_call_options_t options = {
	    .method = booking->method,
	    .url = url,
	    .body = length > 0 ? body : NULL,
	    .body_length = length,
	    .timeout_ms = timeout_ms,
	    .fresh_connection = true,
	    .on_data = on_data,
	    .on_complete = on_done,
	    .data = run,
	};

	g_free(run->id);
	run->id = g_strdup_printf("%s-%u", nonce, ++run->attempts);
	headers = attempt_headers(run, timeout_ms);
	options.headers = (const char *const *)headers->pdata;
	if (run->response == NULL)
		run->response = g_string_new(NULL);
	run->attempt_ms = clock_mono_ms();
	backend_request_started(run->backend, run->attempt_ms);
	run->http = http_call_start(run->books->node->http, &options);
	g_ptr_array_free(headers, TRUE);
	g_free(nonce);
	g_free(url);
}

/* Sends the request, if time is left and a backend server is usable. */
static void
attempt(book_run_t *run)
{
	int64_t now_ms = books_now(run->books);
	int timeout_ms = run->booking->service->timeout_ms;
	backend_t *backend;

	run->retry_at_ms = 0;
	if (now_ms >= run->booking->until_ms) {
		run_end_without(run, LEDGER_END_NOT_SENT);
		return;
	}
	backend = choose(run);
	if (backend == NULL) {
		wait_for_backend(run, now_ms);
		return;
	}
	run->backend = backend_ref(backend);
	/*
	 * The whole timeout of the service, however soon this client leaves:
	 * its retries wait for the same run.
	 */
	attempt_send(run, timeout_ms);
}

void
book_run_tick(book_run_t *run)
{
	int64_t now_ms = books_now(run->books);

	if (run->retry_at_ms != 0 && now_ms >= run->retry_at_ms)
		attempt(run);
	else if (run->keeping && now_ms >= run->keep_until_ms)
		run_end_answered(run, LEDGER_BODY_OMITTED);
}

static void
free_backend_ref(gpointer data)
{
	backend_unref(data);
}

void
book_run_start(node_books_t *books, booking_t *booking, ledger_record_t *record)
{
	book_run_t *run = g_new0(book_run_t, 1);

	run->books = books;
	run->booking = booking_ref(booking);
	run->record = ledger_record_ref(record);
	run->excluded = g_ptr_array_new_with_free_func(free_backend_ref);
	run->begun_ms = books_now(books);
	TAILQ_INSERT_TAIL(&books->runs, run, entries);
	attempt(run);
}
