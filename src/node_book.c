#include "node_book.h"

#include "clock.h"
#include "error.h"
#include "node_call.h"

#include <string.h>
#include <xxhash.h>

enum {
	TICK_INTERVAL_MS = 10,
	/*
	 * No start is added to a partition beyond this size, well below the
	 * store's limit, so that the outcomes of its records always fit.
	 */
	START_VALUE_MAX_BYTES = STORE_VALUE_MAX_BYTES / 4 * 3,
	START_TIMEOUT_MS = 1500,
	REPLY_DELAY_MAX_MS = 250,
	ENTRIES_MAX = 4096,
	/*
	 * Minimum retention, in service timeouts: if a record expired during
	 * its run, its key could run again.
	 */
	RETENTION_TIMEOUTS_MIN = 2,
};

/* Context of a partition's store calls. */
typedef struct book_partition {
	node_books_t *books;
	unsigned index;
} book_partition_t;

int64_t
books_now_ms(const node_books_t *books)
{
	return books->wall_clock_offset_ms + clock_mono_ms();
}

char *
book_response_key(ledger_id_t nonce)
{
	char *text = ledger_id_text(nonce);
	char *key = g_strconcat("ledger-response/", text, NULL);

	g_free(text);
	return key;
}

booking_t *
booking_ref(booking_t *booking)
{
	booking->refs++;
	return booking;
}

void
booking_unref(booking_t *booking)
{
	if (--booking->refs > 0)
		return;
	http_request_unref(booking->request);
	settings_tree_unref(booking->tree);
	g_ptr_array_free(booking->headers, TRUE);
	g_bytes_unref(booking->body);
	g_free(booking->key);
	g_free(booking->method);
	g_free(booking->path);
	g_free(booking);
}

static void
booking_unref_data(gpointer data)
{
	booking_unref(data);
}

static void
on_partition_read(const store_result_t *result, void *data)
{
	book_partition_t *partition = data;
	node_books_t *books = partition->books;

	ledger_on_read(books->ledger, partition->index, result->status,
	    result->revision, result->value, result->value_length,
	    books_now_ms(books), node_random(books->node));
	books_execute_actions(books);
}

static void
on_partition_swapped(const store_result_t *result, void *data)
{
	book_partition_t *partition = data;
	node_books_t *books = partition->books;

	ledger_on_swap(books->ledger, partition->index, result->status,
	    result->revision, books_now_ms(books), node_random(books->node));
	books_execute_actions(books);
}

static void
call_store(node_books_t *books, const ledger_action_t *action)
{
	static const store_result_t not_sent = {.status = STORE_NOT_SENT};
	book_partition_t *partition =
	    &books->partitions[action->partition_index];
	const void *bytes;
	gsize length;
	char *key;

	if (!books->partition_count_matches) {
		book_check_partition_count(books);
		if (action->kind == LEDGER_READ)
			on_partition_read(&not_sent, partition);
		else
			on_partition_swapped(&not_sent, partition);
		return;
	}
	key = g_strdup_printf("ledger/%04u", action->partition_index);
	if (action->kind == LEDGER_READ) {
		store_get(
		    books->node->store, key, on_partition_read, partition);
	} else {
		bytes = g_bytes_get_data(action->value, &length);
		store_compare_and_swap(books->node->store, key,
		    action->expected_revision, bytes, length, NULL,
		    on_partition_swapped, partition);
	}
	g_free(key);
}

static void
reply_error(node_books_t *books, booking_t *booking, papaya_error_t kind,
    const char *message, bool not_run)
{
	GError *error = NULL;

	counter_add(books->node->counters, 1,
	    "bookings_refused_total{kind=\"%s\"}", papaya_error_name(kind));
	papaya_error_set(&error, kind, "service %s, key %s: %s",
	    booking->service->name, booking->key, message);
	http_reply_error(booking->request, error, not_run);
	g_error_free(error);
}

static void
reply_response(booking_t *booking, const ledger_record_t *record,
    const void *body, size_t length)
{
	const char *attempt =
	    http_request_header(booking->request, "papaya-attempt");
	http_header_t headers[2];
	size_t count = 0;

	if (record->content_type != NULL && record->content_type[0] != '\0')
		headers[count++] =
		    (http_header_t){"content-type", record->content_type};
	if (attempt != NULL)
		headers[count++] = (http_header_t){"papaya-attempt", attempt};
	http_reply(
	    booking->request, record->status, headers, count, body, length);
}

/* Context of a reply whose body is being read from the store. */
typedef struct response_fetch {
	node_books_t *books;
	booking_t *booking;
	ledger_record_t *record;
} response_fetch_t;

static void
on_response_fetched(const store_result_t *result, void *data)
{
	response_fetch_t *fetch = data;

	if (result->status == STORE_OK)
		reply_response(fetch->booking, fetch->record, result->value,
		    result->value_length);
	else if (result->status == STORE_NOT_FOUND)
		reply_error(fetch->books, fetch->booking,
		    PAPAYA_ERROR_OUTCOME_UNKNOWN,
		    "it ran and its response is no longer stored", false);
	else
		reply_error(fetch->books, fetch->booking,
		    PAPAYA_ERROR_STORE_UNAVAILABLE,
		    "it ran and its response could not be read", false);
	booking_unref(fetch->booking);
	ledger_record_unref(fetch->record);
	g_free(fetch);
}

static void
reply_outcome(node_books_t *books, booking_t *booking, ledger_record_t *record)
{
	const void *bytes = NULL;
	gsize length = 0;
	response_fetch_t *fetch;
	char *key;

	counter_add(books->node->counters, 1, "bookings_answered_total");
	switch (record->body_location) {
	case LEDGER_BODY_INLINE:
		if (record->body != NULL)
			bytes = g_bytes_get_data(record->body, &length);
		reply_response(
		    booking, record, bytes != NULL ? bytes : "", length);
		return;
	case LEDGER_BODY_SEPARATE:
		fetch = g_new0(response_fetch_t, 1);
		fetch->books = books;
		fetch->booking = booking_ref(booking);
		fetch->record = ledger_record_ref(record);
		key = book_response_key(record->nonce);
		store_get(books->node->store, key, on_response_fetched, fetch);
		g_free(key);
		return;
	case LEDGER_BODY_OMITTED:
		reply_error(books, booking, PAPAYA_ERROR_OUTCOME_UNKNOWN,
		    "it ran and its response was too large to keep", false);
		return;
	}
}

static void
send_outcome_request(node_books_t *books, const ledger_record_t *record)
{
	char *nonce = ledger_id_text(record->nonce);
	message_t message = {
	    .type = MESSAGE_OUTCOME_REQUEST,
	    .outcome_request = {.service = record->service,
		.key = record->key,
		.nonce = nonce},
	};

	node_peers_send(books->node, record->node, &message);
	g_free(nonce);
}

/*
 * Sends only whether the outcome is known; the peer reads the response and
 * its headers from the store.
 */
static void
send_outcome_response(node_books_t *books, const ledger_action_t *action)
{
	char *nonce = ledger_id_text(action->record->nonce);
	message_t message = {
	    .type = MESSAGE_OUTCOME_RESPONSE,
	    .outcome_response = {.service = action->record->service,
		.key = action->record->key,
		.nonce = nonce,
		.known = action->outcome_known,
		.body = (char *)""},
	};

	node_peers_send(books->node, action->node, &message);
	g_free(nonce);
}

static void
execute_action(node_books_t *books, ledger_action_t *action)
{
	booking_t *booking = g_hash_table_lookup(books->bookings, &action->id);

	switch (action->kind) {
	case LEDGER_READ:
	case LEDGER_SWAP:
		call_store(books, action);
		return;
	case LEDGER_QUERY_OUTCOME:
		send_outcome_request(books, action->record);
		return;
	case LEDGER_NOTIFY_NODE:
		send_outcome_response(books, action);
		return;
	case LEDGER_RUN:
		counter_add(books->node->counters, 1, "bookings_run_total");
		book_run_start(books, booking, action->record);
		return;
	case LEDGER_REPLY:
		reply_outcome(books, booking, action->record);
		break;
	case LEDGER_REFUSE:
		reply_error(books, booking, action->error, action->message,
		    action->not_run);
		break;
	}
	g_hash_table_remove(books->bookings, &action->id);
}

static void
on_tick(uv_timer_t *timer)
{
	node_books_t *books = timer->data;
	book_run_t *run, *next;

	for (run = TAILQ_FIRST(&books->runs); run != NULL; run = next) {
		next = TAILQ_NEXT(run, entries);
		book_run_tick(run);
	}
	ledger_tick(books->ledger, books_now_ms(books));
	books_execute_actions(books);
}

void
books_execute_actions(node_books_t *books)
{
	ledger_action_t action;

	/* A run that ends as it starts calls this function again. */
	if (books->executing_actions)
		return;
	books->executing_actions = true;
	while (ledger_next_action(books->ledger, &action)) {
		execute_action(books, &action);
		ledger_action_clear(&action);
	}
	books->executing_actions = false;
	if (ledger_entries(books->ledger) == 0)
		uv_timer_stop(&books->timer);
	else if (!uv_is_active((uv_handle_t *)&books->timer))
		uv_timer_start(
		    &books->timer, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
}

void
node_books_start(node_t *node)
{
	node_books_t *books = g_new0(node_books_t, 1);
	unsigned partitions = node->config->ledger_partitions;
	ledger_options_t options = {
	    .node = node->config->name,
	    .partition_count = partitions,
	    .value_size_max = STORE_VALUE_MAX_BYTES,
	    .start_value_size_max = START_VALUE_MAX_BYTES,
	    .start_timeout_ms = START_TIMEOUT_MS,
	    .reply_delay_max_ms = REPLY_DELAY_MAX_MS,
	    .entries_max = ENTRIES_MAX,
	    .counters = node->counters,
	};

	node->books = books;
	books->node = node;
	books->ledger = ledger_new(&options);
	books->bookings = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, booking_unref_data);
	books->partitions = g_new0(book_partition_t, partitions);
	for (unsigned i = 0; i < partitions; i++)
		books->partitions[i] =
		    (book_partition_t){.books = books, .index = i};
	books->wall_clock_offset_ms = clock_wall_ms() - clock_mono_ms();
	TAILQ_INIT(&books->runs);
	uv_timer_init(node->loop, &books->timer);
	books->timer.data = books;
	book_check_partition_count(books);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void
node_books_free(node_t *node)
{
	node_books_t *books = node->books;

	if (books == NULL)
		return;
	while (!TAILQ_EMPTY(&books->runs))
		book_run_free(TAILQ_FIRST(&books->runs));
	g_hash_table_destroy(books->bookings);
	ledger_free(books->ledger);
	g_free(books->partitions);
	uv_close((uv_handle_t *)&books->timer, on_timer_closed);
	node->books = NULL;
}

unsigned
node_books_active(const node_t *node)
{
	return ledger_entries(node->books->ledger);
}

/*
 * Hashes what must be equal for two requests with the same key to be the same
 * request. The workspace is included so that one workspace does not get the
 * response of another.
 */
static ledger_id_t
request_hash(const booking_t *booking)
{
	const char *workspace =
	    http_request_header(booking->request, "papaya-workspace");
	GString *hash_input = g_string_new(workspace);
	XXH128_hash_t hash;
	gsize length;
	const char *body = g_bytes_get_data(booking->body, &length);

	g_string_append_printf(
	    hash_input, "\n%s %s\n", booking->method, booking->path);
	g_string_append_len(hash_input, body, (gssize)length);
	hash = XXH3_128bits(hash_input->str, hash_input->len);
	g_string_free(hash_input, TRUE);
	return (ledger_id_t){.high = hash.high64, .low = hash.low64};
}

static ledger_id_t
generate_nonce(node_books_t *books)
{
	return (ledger_id_t){
	    .high = node_unique(books->node),
	    .low = node_unique(books->node),
	};
}

static booking_t *
booking_new(node_books_t *books, http_request_t *request,
    const service_t *service, settings_tree_t *tree, const char *path,
    int64_t remaining_ms)
{
	booking_t *booking = g_new0(booking_t, 1);
	size_t length;
	const char *body = http_request_body(request, &length);

	booking->refs = 1;
	booking->id = ++books->last_booking_id;
	booking->request = http_request_ref(request);
	booking->tree = settings_tree_ref(tree);
	booking->service = service;
	booking->key =
	    g_strdup(http_request_header(request, "idempotency-key"));
	booking->method = g_strdup(http_request_method(request));
	booking->path = g_strdup(path);
	booking->headers = g_ptr_array_new_with_free_func(g_free);
	request_passed_headers(request, booking->headers);
	booking->body = g_bytes_new(body, length);
	booking->deadline_ms = books_now_ms(books) + remaining_ms;
	g_hash_table_insert(books->bookings, &booking->id, booking);
	return booking;
}

void
node_books_serve(node_t *node, http_request_t *request,
    const service_t *service, settings_tree_t *tree, const char *path,
    int64_t remaining_ms)
{
	node_books_t *books = node->books;
	int64_t now_ms = books_now_ms(books);
	const char *key = http_request_header(request, "idempotency-key");
	int64_t retention_ms = MAX(service->retention_s * 1000,
	    (int64_t)service->timeout_ms * RETENTION_TIMEOUTS_MIN);
	ledger_request_t ledger_request_data = {
	    .service = service->name, .retention_ms = retention_ms};
	GError *error = NULL;
	booking_t *booking;

	counter_add(node->counters, 1, "bookings_total");
	if (!ledger_check_key(key, service->require_uuidv7_keys, retention_ms,
		now_ms, &error)) {
		counter_add(node->counters, 1,
		    "bookings_refused_total{kind=\"%s\"}",
		    papaya_error_name(papaya_error_kind(error)));
		http_reply_error(request, error, true);
		g_error_free(error);
		return;
	}
	booking =
	    booking_new(books, request, service, tree, path, remaining_ms);
	ledger_request_data.id = booking->id;
	ledger_request_data.key = booking->key;
	ledger_request_data.hash = request_hash(booking);
	ledger_request_data.nonce = generate_nonce(books);
	ledger_request_data.deadline_ms = booking->deadline_ms;
	ledger_request(books->ledger, &ledger_request_data, now_ms);
	books_execute_actions(books);
}

void
node_books_message(
    node_t *node, const message_t *message, const char *from_node)
{
	node_books_t *books = node->books;
	int64_t now_ms = books_now_ms(books);
	ledger_id_t nonce;

	if (message->type == MESSAGE_OUTCOME_REQUEST &&
	    ledger_id_parse(message->outcome_request.nonce, &nonce))
		ledger_on_outcome_query(books->ledger, from_node,
		    message->outcome_request.service,
		    message->outcome_request.key, nonce, now_ms);
	else if (message->type == MESSAGE_OUTCOME_RESPONSE &&
		 ledger_id_parse(message->outcome_response.nonce, &nonce))
		ledger_on_outcome(books->ledger,
		    message->outcome_response.service,
		    message->outcome_response.key, nonce,
		    message->outcome_response.known, now_ms);
	books_execute_actions(books);
}
