#ifndef PAPAYA_NODE_BOOK_H
#define PAPAYA_NODE_BOOK_H

#include "ledger.h"
#include "node.h"

#include <sys/queue.h>

/* Shared by node_book (ledger, store, replies) and node_book_run (attempts). */

/* One client's request. Reference counted: its run outlives its reply. */
typedef struct booking {
	unsigned refs;
	uint64_t id;
	http_request_t *request;
	settings_tree_t *tree; /* reference; owns service */
	const service_t *service;
	char *key;
	char *method;
	char *path;	    /* with its query */
	GPtrArray *headers; /* "Name: value", NULL at the end */
	GBytes *body;
	int64_t deadline_ms;
} booking_t;

/* One committed start: attempts until a backend server got a byte. */
typedef struct book_run {
	TAILQ_ENTRY(book_run) entries;
	node_books_t *books;
	booking_t *booking; /* reference */
	ledger_record_t *record;
	char *version;
	GPtrArray *excluded; /* backend_t, references */
	unsigned attempts;
	int64_t started_ms;  /* of the run */
	int64_t retry_at_ms; /* no usable backend server until then; 0: none */
	/* The attempt in progress. */
	backend_t *backend;
	http_call_t *http;
	char *attempt_id;
	int64_t attempt_started_ms;
	GString *response_buffer;
	/* A response that is stored under a key of its own. */
	GBytes *response_body; /* NULL: not yet */
	int response_status;
	char *content_type;
	int64_t store_deadline_ms;
	bool storing_response;
} book_run_t;

TAILQ_HEAD(book_run_list, book_run);

struct node_books {
	node_t *node;
	ledger_t *ledger;
	GHashTable *bookings; /* id: booking_t not replied yet */
	struct book_run_list runs;
	uv_timer_t timer;
	struct book_partition *partitions;
	int64_t
	    wall_clock_offset_ms; /* wall clock less monotonic, at the start */
	uint64_t last_booking_id;
	bool executing_actions;
	bool partition_check_pending; /* book_check_partition_count() is in
					 progress */
	bool partition_count_matches; /* this node's number of partitions is the
					 store's */
	bool mismatch_logged;	      /* logged that it is not */
};

/*
 * Compares the number of partitions with the one at the store's key
 * "ledger/partitions", which the first node creates. A node with another
 * number would look for a key's record in another partition and run it again,
 * so it makes no ledger call.
 */
void book_check_partition_count(node_books_t *books);

/*
 * Wall clock that never jumps: the ledger's timeouts and its retention use
 * the same time.
 */
int64_t books_now_ms(const node_books_t *books);

/* Carries the ledger's actions out. */
void books_execute_actions(node_books_t *books);

booking_t *booking_ref(booking_t *booking);
void booking_unref(booking_t *booking);

/* Key of a response that does not fit into its partition. */
char *book_response_key(ledger_id_t nonce);

/* Starts the run of a committed start. */
void book_run_start(
    node_books_t *books, booking_t *booking, ledger_record_t *record);
void book_run_tick(book_run_t *run);
/* Ends a run without telling the ledger. */
void book_run_free(book_run_t *run);

#endif
