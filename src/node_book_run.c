#include "clock.h"
#include "node_book.h"
#include "route.h"

#include <string.h>

enum {
	/* Larger responses are stored under a separate key. */
	RESPONSE_INLINE_MAX_BYTES = 4096,
	RESPONSE_MAX_BYTES = 8 * 1024 * 1024,
	/*
	 * How long the client waits for a large response to be stored. After
	 * that, the outcome is recorded without the response.
	 */
	RESPONSE_STORE_TIMEOUT_MS = 250,
	NO_BACKEND_TIMEOUT_MS = 2000,
	RETRY_DELAY_MS = 50,
	/* A record's content type is truncated to this. */
	CONTENT_TYPE_MAX_BYTES = 128,
	ROUTE_MAX_BYTES = 32,
};

static void start_attempt(book_run_t *run);

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
	g_clear_pointer(&run->response_body, g_bytes_unref);
	if (run->response_buffer != NULL)
		g_string_free(run->response_buffer, TRUE);
	g_free(run->version);
	g_free(run->attempt_id);
	g_free(run->content_type);
	g_free(run);
}

/* Records the outcome in the ledger and frees the run. */
static void
finish_run(book_run_t *run, const ledger_outcome_t *outcome)
{
	node_books_t *books = run->books;

	ledger_finish(books->ledger, run->record, outcome, books_now_ms(books));
	book_run_free(run);
	books_execute_actions(books);
}

static void
finish_without_response(book_run_t *run, ledger_attempt_end_t end)
{
	ledger_outcome_t outcome = {.end = end};

	finish_run(run, &outcome);
}

static void
finish_with_response(book_run_t *run, ledger_body_location_t body_location)
{
	ledger_outcome_t outcome = {
	    .end = LEDGER_END_RESPONDED,
	    .status = run->response_status,
	    .content_type = run->content_type,
	    .body = run->response_body,
	    .body_location = body_location,
	};

	finish_run(run, &outcome);
}

/*
 * Context of the store calls for a large response. It holds the nonce instead
 * of the run, because the run may end before a call completes.
 */
typedef struct response_store {
	node_books_t *books;
	ledger_id_t nonce;
} response_store_t;

static book_run_t *
find_storing_run(const response_store_t *response_store)
{
	book_run_t *run;

	TAILQ_FOREACH (run, &response_store->books->runs, entries)
		if (run->storing_response &&
		    ledger_id_equal(run->record->nonce, response_store->nonce))
			return run;
	return NULL;
}

static void
on_response_stored(const store_result_t *result, void *data)
{
	response_store_t *response_store = data;
	book_run_t *run = find_storing_run(response_store);

	if (run != NULL)
		finish_with_response(run, result->status == STORE_OK
					      ? LEDGER_BODY_SEPARATE
					      : LEDGER_BODY_OMITTED);
	g_free(response_store);
}

static void
on_lease_granted(const store_result_t *result, void *data)
{
	response_store_t *response_store = data;
	book_run_t *run = find_storing_run(response_store);
	const void *bytes;
	gsize length;
	char *key;

	if (run == NULL || result->status != STORE_OK) {
		if (run != NULL)
			finish_with_response(run, LEDGER_BODY_OMITTED);
		g_free(response_store);
		return;
	}
	bytes = g_bytes_get_data(run->response_body, &length);
	key = book_response_key(response_store->nonce);
	store_compare_and_swap(response_store->books->node->store, key,
	    STORE_REVISION_NONE, bytes, length, result->lease_id,
	    on_response_stored, response_store);
	g_free(key);
}

/*
 * Stores a large response before its outcome is recorded, under a lease that
 * expires with the record, so that the key needs no explicit deletion.
 */
static void
store_response(book_run_t *run)
{
	response_store_t *response_store = g_new0(response_store_t, 1);
	int64_t now_ms = books_now_ms(run->books);

	response_store->books = run->books;
	response_store->nonce = run->record->nonce;
	run->storing_response = true;
	run->store_deadline_ms = now_ms + RESPONSE_STORE_TIMEOUT_MS;
	store_grant_lease(run->books->node->store,
	    MAX(run->record->expires_at_ms - now_ms, 1), on_lease_granted,
	    response_store);
}

static void
handle_response(book_run_t *run, int status, const char *content_type)
{
	run->response_status = status;
	run->content_type = g_strndup(
	    content_type != NULL ? content_type : "", CONTENT_TYPE_MAX_BYTES);
	run->response_body = g_string_free_to_bytes(run->response_buffer);
	run->response_buffer = NULL;
	if (g_bytes_get_size(run->response_body) <= RESPONSE_INLINE_MAX_BYTES)
		finish_with_response(run, LEDGER_BODY_INLINE);
	else if (g_bytes_get_size(run->response_body) <= STORE_VALUE_MAX_BYTES)
		store_response(run);
	else
		finish_with_response(run, LEDGER_BODY_OMITTED);
}

static bool
on_response_data(
    http_call_t *call, const char *bytes, size_t length, void *data)
{
	book_run_t *run = data;

	if (run->response_buffer->len + length > RESPONSE_MAX_BYTES)
		return false;
	g_string_append_len(run->response_buffer, bytes, (gssize)length);
	return true;
}

static void
record_attempt(book_run_t *run, bool ok)
{
	const booking_t *booking = run->booking;
	double latency_ms = (double)(clock_mono_ms() - run->attempt_started_ms);
	char *route = g_strndup(booking->path,
	    MIN(strcspn(booking->path + 1, "/?") + 1, ROUTE_MAX_BYTES));

	backend_request_finished(run->backend, ok, latency_ms, clock_mono_ms());
	node_moves_observe(run->books->node, booking->service, run->version,
	    route, ok, latency_ms);
	g_ptr_array_add(run->excluded, run->backend);
	run->backend = NULL;
	g_free(route);
}

/*
 * Whether a complete response belongs to this attempt: it must echo the
 * attempt's id, or else it may be the response to another request.
 */
static bool
is_own_response(
    const book_run_t *run, http_call_t *call, const http_result_t *result)
{
	const char *echoed = http_call_header(call, "Papaya-Attempt");

	if (result->outcome != HTTP_OUTCOME_COMPLETE)
		return false;
	if (echoed != NULL && strcmp(echoed, run->attempt_id) == 0)
		return true;
	counter_add(
	    run->books->node->counters, 1, "bookings_misdelivered_total");
	return false;
}

static void
on_attempt_complete(http_call_t *call, const http_result_t *result, void *data)
{
	book_run_t *run = data;
	bool own_response = is_own_response(run, call, result);

	run->http = NULL;
	record_attempt(run, own_response && result->status < 500);
	if (result->outcome == HTTP_OUTCOME_NOT_SENT) {
		counter_add(run->books->node->counters, 1,
		    "bookings_unreachable_total");
		start_attempt(run);
	} else if (own_response) {
		handle_response(run, (int)result->status,
		    http_call_header(call, "Content-Type"));
	} else {
		counter_add(
		    run->books->node->counters, 1, "bookings_unknown_total");
		finish_without_response(run, LEDGER_END_UNKNOWN);
	}
}

static backend_t *
choose_backend_of_version(book_run_t *run, const char *version)
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
choose_backend(book_run_t *run)
{
	const service_t *service = run->booking->service;
	const char *version = node_moves_version(run->books->node, service);
	backend_t *backend = choose_backend_of_version(run, version);

	if (backend == NULL) {
		version = service->current;
		backend = choose_backend_of_version(run, version);
	}
	g_free(run->version);
	run->version = g_strdup(version);
	return backend;
}

/*
 * No usable backend server is left to try: makes all of them eligible again
 * after a delay, or ends the run after NO_BACKEND_TIMEOUT_MS.
 */
static void
retry_or_give_up(book_run_t *run, int64_t now_ms)
{
	if (now_ms >= run->started_ms + NO_BACKEND_TIMEOUT_MS) {
		finish_without_response(run, LEDGER_END_NOT_SENT);
		return;
	}
	g_ptr_array_set_size(run->excluded, 0);
	run->retry_at_ms = now_ms + RETRY_DELAY_MS;
}

static GPtrArray *
attempt_headers(const book_run_t *run, int64_t timeout_ms)
{
	const booking_t *booking = run->booking;
	GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);

	for (size_t i = 0; booking->headers->pdata[i] != NULL; i++)
		g_ptr_array_add(headers, g_strdup(booking->headers->pdata[i]));
	g_ptr_array_add(
	    headers, g_strdup_printf("Papaya-Attempt: %s", run->attempt_id));
	g_ptr_array_add(
	    headers, g_strdup_printf(
			 "Papaya-Timeout-Ms: %" G_GINT64_FORMAT, timeout_ms));
	g_ptr_array_add(headers, NULL);
	return headers;
}

static void
send_attempt(book_run_t *run, int64_t timeout_ms)
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
	    .on_data = on_response_data,
	    .on_complete = on_attempt_complete,
	    .data = run,
	};

	g_free(run->attempt_id);
	run->attempt_id = g_strdup_printf("%s-%u", nonce, ++run->attempts);
	headers = attempt_headers(run, timeout_ms);
	options.headers = (const char *const *)headers->pdata;
	if (run->response_buffer == NULL)
		run->response_buffer = g_string_new(NULL);
	run->attempt_started_ms = clock_mono_ms();
	backend_request_started(run->backend, run->attempt_started_ms);
	run->http = http_call_start(run->books->node->http, &options);
	g_ptr_array_free(headers, TRUE);
	g_free(nonce);
	g_free(url);
}

/* Sends the request if its deadline has not passed and a server is usable. */
static void
start_attempt(book_run_t *run)
{
	int64_t now_ms = books_now_ms(run->books);
	int timeout_ms = run->booking->service->timeout_ms;
	backend_t *backend;

	run->retry_at_ms = 0;
	if (now_ms >= run->booking->deadline_ms) {
		finish_without_response(run, LEDGER_END_NOT_SENT);
		return;
	}
	backend = choose_backend(run);
	if (backend == NULL) {
		retry_or_give_up(run, now_ms);
		return;
	}
	run->backend = backend_ref(backend);
	/*
	 * The service's full timeout, not the client's remaining time: the
	 * client's retries wait for the same run.
	 */
	send_attempt(run, timeout_ms);
}

void
book_run_tick(book_run_t *run)
{
	int64_t now_ms = books_now_ms(run->books);

	if (run->retry_at_ms != 0 && now_ms >= run->retry_at_ms)
		start_attempt(run);
	else if (run->storing_response && now_ms >= run->store_deadline_ms)
		finish_with_response(run, LEDGER_BODY_OMITTED);
}

static void
backend_unref_data(gpointer data)
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
	run->excluded = g_ptr_array_new_with_free_func(backend_unref_data);
	run->started_ms = books_now_ms(books);
	TAILQ_INSERT_TAIL(&books->runs, run, entries);
	start_attempt(run);
}
