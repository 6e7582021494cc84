#ifndef PAPAYA_NODE_BOOK_H
#define PAPAYA_NODE_BOOK_H

#include "ledger.h"
#include "node.h"

#include <sys/queue.h>

/*
 * Bookings: non-idempotent requests to plain services, each run at most once
 * through the ledger. Shared by node_book (ledger actions, replies),
 * node_book_check (partition count) and node_book_run (attempts).
 */

/*
 * One client's request. Reference counted, because its run may continue after
 * the client got its reply. deadline_ms: in books_now_ms().
 */
typedef struct booking {
	unsigned refs;
	uint64_t id;
	http_request_t *request;
	settings_tree_t *tree; /* reference; owns service */
	const service_t *service;
	char *key;
	char *method;
	char *path;	    /* with the query string */
	GPtrArray *headers; /* "Name: value", NULL-terminated */
	GBytes *body;
	int64_t deadline_ms;
} booking_t;

/*
 * The run of a booking whose start is committed in the ledger. An attempt is
 * retried on another backend server only if no byte of it was sent. Times are
 * in books_now_ms() unless noted.
 */
typedef struct book_run {
	TAILQ_ENTRY(book_run) entries;
	node_books_t *books;
	booking_t *booking; /* reference */
	ledger_record_t *record;
	char *version;
	GPtrArray *excluded; /* backend_t, references */
	unsigned attempts;
	int64_t started_ms;
	int64_t retry_at_ms; /* next attempt; 0: none scheduled */
	/* The attempt in progress; its start is in clock_mono_ms(). */
	backend_t *backend;
	http_call_t *http;
	char *attempt_id;
	int64_t attempt_started_ms;
	GString *response_buffer;
	/* The complete response, and its storing under a separate key. */
	GBytes *response_body; /* NULL until complete */
	int response_status;
	char *content_type;
	int64_t store_deadline_ms;
	bool storing_response;
} book_run_t;

TAILQ_HEAD(book_run_list, book_run);

struct node_books {
	node_t *node;
	ledger_t *ledger;
	GHashTable *bookings; /* by id: booking_t without a reply yet */
	struct book_run_list runs;
	uv_timer_t timer;
	struct book_partition *partitions;
	/* Wall clock minus monotonic clock, at startup. */
	int64_t wall_clock_offset_ms;
	uint64_t last_booking_id;
	bool executing_actions; /* books_execute_actions() is on the stack */
	bool partition_check_pending;
	/* The store has this node's number of partitions. */
	bool partition_count_matches;
	bool mismatch_logged;
};

/*
 * Compares this node's number of partitions with the one at the store's key
 * "ledger/partitions", which the first node creates. A node with a different
 * number would look for a key's record in another partition and run the
 * request again, so it makes no store call for the ledger until they match.
 * Does nothing while a comparison is in progress.
 */
void book_check_partition_count(node_books_t *books);

/*
 * Milliseconds since the epoch as of startup, advanced by the monotonic clock.
 * Later steps of the wall clock have no effect, so the ledger can use it for
 * both timeouts and retention.
 */
int64_t books_now_ms(const node_books_t *books);

/*
 * Executes the ledger's pending actions, and runs the timer only while the
 * ledger has entries. Call it after each ledger call that may add actions. A
 * nested call returns at once; the outer one executes its actions.
 */
void books_execute_actions(node_books_t *books);

booking_t *booking_ref(booking_t *booking);
void booking_unref(booking_t *booking);

/* Store key of a response too large for its partition; free with g_free(). */
char *book_response_key(ledger_id_t nonce);

/* Starts a run whose start is committed; takes references to its arguments. */
void book_run_start(
    node_books_t *books, booking_t *booking, ledger_record_t *record);
/* Retries an attempt that is due, and applies the store timeout. */
void book_run_tick(book_run_t *run);
/* Cancels and frees a run without recording an outcome in the ledger. */
void book_run_free(book_run_t *run);

#endif
