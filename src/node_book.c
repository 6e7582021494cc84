#include "node_book.h"

#include "clock.h"
#include "error.h"
#include "node_call.h"

#include <string.h>
#include <xxhash.h>

enum {
	TICK_MS = 10,
	/*
	 * Starts stop well below the store's limit, so that the outcomes of
	 * the records in a partition always fit.
	 */
	START_MAX_BYTES = STORE_VALUE_MAX_BYTES / 4 * 3,
	START_WAIT_MS = 1500,
	OUTCOME_WAIT_MS = 250,
	ENTRIES_MAX = 4096,
	/* A retention shorter than a run would let its key run again. */
	RETENTION_TIMEOUTS_MIN = 2,
};

/* Context of a partition's store calls. */
typedef struct book_part {
	node_books_t *books;
	unsigned index;
} book_part_t;

int64_t
books_now(const node_books_t *books)
{
	return books->origin_ms + clock_mono_ms();
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
free_booking(gpointer data)
{
	booking_unref(data);
}

static void
on_read(const store_result_t *result, void *data)
{
	book_part_t *part = data;
	node_books_t *books = part->books;

	ledger_on_read(books->ledger, part->index, result->status,
	    result->revision, result->value, result->value_length,
	    books_now(books), node_random(books->node));
	books_pump(books);
}

static void
on_swapped(const store_result_t *result, void *data)
{
	book_part_t *part = data;
	node_books_t *books = part->books;

	ledger_on_swap(books->ledger, part->index, result->status,
	    result->revision, books_now(books), node_random(books->node));
	books_pump(books);
}

static void
call_store(node_books_t *books, const ledger_action_t *action)
{
	static const store_result_t not_sent = {.status = STORE_NOT_SENT};
	book_part_t *part = &books->parts[action->partition_index];
	const void *bytes;
	gsize length;
	char *key;

	if (!books->checked) {
		book_check_start(books);
		if (action->kind == LEDGER_READ)
			on_read(&not_sent, part);
		else
			on_swapped(&not_sent, part);
		return;
	}
	key = g_strdup_printf("ledger/%04u", action->partition_index);
	if (action->kind == LEDGER_READ) {
		store_get(books->node->store, key, on_read, part);
	} else {
		bytes = g_bytes_get_data(action->value, &length);
		store_compare_and_swap(books->node->store, key,
		    action->expected_revision, bytes, length, NULL, on_swapped,
		    part);
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

/* A reply whose body is read from the store. */
typedef struct fetch {
	node_books_t *books;
	booking_t *booking;
	ledger_record_t *record;
} fetch_t;

static void
on_fetched(const store_result_t *result, void *data)
{
	fetch_t *fetch = data;

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
reply(node_books_t *books, booking_t *booking, ledger_record_t *record)
{
	const void *bytes = NULL;
	gsize length = 0;
	fetch_t *fetch;
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
		fetch = g_new0(fetch_t, 1);
		fetch->books = books;
		fetch->booking = booking_ref(booking);
		fetch->record = ledger_record_ref(record);
		key = book_response_key(record->nonce);
		store_get(books->node->store, key, on_fetched, fetch);
		g_free(key);
		return;
	case LEDGER_BODY_OMITTED:
		reply_error(books, booking, PAPAYA_ERROR_OUTCOME_UNKNOWN,
		    "it ran and its response was too large to keep", false);
		return;
	}
}

static void
ask(node_books_t *books, const ledger_record_t *record)
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

/* The response itself is read from the store, which has its headers too. */
static void
tell(node_books_t *books, const ledger_action_t *action)
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
carry_out(node_books_t *books, ledger_action_t *action)
{
	booking_t *booking = g_hash_table_lookup(books->bookings, &action->id);

	switch (action->kind) {
	case LEDGER_READ:
	case LEDGER_SWAP:
		call_store(books, action);
		return;
	case LEDGER_QUERY_OUTCOME:
		ask(books, action->record);
		return;
	case LEDGER_NOTIFY_NODE:
		tell(books, action);
		return;
	case LEDGER_RUN:
		counter_add(books->node->counters, 1, "bookings_run_total");
		book_run_start(books, booking, action->record);
		return;
	case LEDGER_REPLY:
		reply(books, booking, action->record);
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
	ledger_tick(books->ledger, books_now(books));
	books_pump(books);
}

void
books_pump(node_books_t *books)
{
	ledger_action_t action;

	/* A run that ends at once comes back here. */
	if (books->pumping)
		return;
	books->pumping = true;
	while (ledger_next_action(books->ledger, &action)) {
		carry_out(books, &action);
		ledger_action_clear(&action);
	}
	books->pumping = false;
	if (ledger_entries(books->ledger) == 0)
		uv_timer_stop(&books->timer);
	else if (!uv_is_active((uv_handle_t *)&books->timer))
		uv_timer_start(&books->timer, on_tick, TICK_MS, TICK_MS);
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
	    .start_value_size_max = START_MAX_BYTES,
	    .start_timeout_ms = START_WAIT_MS,
	    .reply_delay_max_ms = OUTCOME_WAIT_MS,
	    .entries_max = ENTRIES_MAX,
	    .counters = node->counters,
	};

	node->books = books;
	books->node = node;
	books->ledger = ledger_new(&options);
	books->bookings = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_booking);
	books->parts = g_new0(book_part_t, partitions);
	for (unsigned i = 0; i < partitions; i++)
		books->parts[i] = (book_part_t){.books = books, .index = i};
	books->origin_ms = clock_wall_ms() - clock_mono_ms();
	TAILQ_INIT(&books->runs);
	uv_timer_init(node->loop, &books->timer);
	books->timer.data = books;
	book_check_start(books);
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
	g_free(books->parts);
	uv_close((uv_handle_t *)&books->timer, on_timer_closed);
	node->books = NULL;
}

unsigned
node_books_active(const node_t *node)
{
	return ledger_entries(node->books->ledger);
}

/*
 * Everything that makes a request a different one, so that one workspace does
 * not get a response of another under the same key.
 */
static ledger_id_t
request_hash(const booking_t *booking)
{
	const char *workspace =
	    http_request_header(booking->request, "papaya-workspace");
	GString *text = g_string_new(workspace);
	XXH128_hash_t hash;
	gsize length;
	const char *body = g_bytes_get_data(booking->body, &length);

	g_string_append_printf(
	    text, "\n%s %s\n", booking->method, booking->path);
	g_string_append_len(text, body, (gssize)length);
	hash = XXH3_128bits(text->str, text->len);
	g_string_free(text, TRUE);
	return (ledger_id_t){.high = hash.high64, .low = hash.low64};
}

static ledger_id_t
fresh_nonce(node_books_t *books)
{
	return (ledger_id_t){
	    .high = node_unique(books->node),
	    .low = node_unique(books->node),
	};
}

static booking_t *
booking_new(node_books_t *books, http_request_t *request,
    const service_t *service, settings_tree_t *tree, const char *path,
    int64_t left_ms)
{
	booking_t *booking = g_new0(booking_t, 1);
	size_t length;
	const char *body = http_request_body(request, &length);

	booking->refs = 1;
	booking->id = ++books->next_id;
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
	booking->until_ms = books_now(books) + left_ms;
	g_hash_table_insert(books->bookings, &booking->id, booking);
	return booking;
}

void
node_books_serve(node_t *node, http_request_t *request,
    const service_t *service, settings_tree_t *tree, const char *path,
    int64_t left_ms)
{
	node_books_t *books = node->books;
	int64_t now_ms = books_now(books);
	const char *key = http_request_header(request, "idempotency-key");
	int64_t retention_ms = MAX(service->retention_s * 1000,
	    (int64_t)service->timeout_ms * RETENTION_TIMEOUTS_MIN);
	ledger_request_t asked = {
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
	booking = booking_new(books, request, service, tree, path, left_ms);
	asked.id = booking->id;
	asked.key = booking->key;
	asked.hash = request_hash(booking);
	asked.nonce = fresh_nonce(books);
	asked.deadline_ms = booking->until_ms;
	ledger_request(books->ledger, &asked, now_ms);
	books_pump(books);
}

void
node_books_message(node_t *node, const message_t *message, const char *from)
{
	node_books_t *books = node->books;
	int64_t now_ms = books_now(books);
	ledger_id_t nonce;

	if (message->type == MESSAGE_OUTCOME_REQUEST &&
	    ledger_id_parse(message->outcome_request.nonce, &nonce))
		ledger_on_outcome_query(books->ledger, from,
		    message->outcome_request.service,
		    message->outcome_request.key, nonce, now_ms);
	else if (message->type == MESSAGE_OUTCOME_RESPONSE &&
		 ledger_id_parse(message->outcome_response.nonce, &nonce))
		ledger_on_outcome(books->ledger,
		    message->outcome_response.service,
		    message->outcome_response.key, nonce,
		    message->outcome_response.known, now_ms);
	books_pump(books);
}
