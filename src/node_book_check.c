#include "log.h"
#include "node_book.h"

#include <stdlib.h>
#include <string.h>

static const char partitions_key[] = "ledger/partitions";

static void
compare_partition_count(node_books_t *books, const char *value, size_t length)
{
	unsigned configured_count = books->node->config->ledger_partitions;
	char *text = g_strndup(value, length);
	unsigned long stored_count = strtoul(text, NULL, 10);

	books->partition_count_matches = stored_count == configured_count;
	if (!books->partition_count_matches && !books->mismatch_logged)
		log_event(LOG_LEVEL_ERROR, "ledger.refused",
		    "node=%s ledger_partitions=%u stored=%.16s "
		    "remedy=\"use the stored number on every node\"",
		    books->node->config->name, configured_count, text);
	books->mismatch_logged = !books->partition_count_matches;
	g_free(text);
}

static void
on_partition_count_created(const store_result_t *result, void *data)
{
	node_books_t *books = data;

	books->partition_check_pending = false;
	/* On failure, the next store call of the ledger reads the key again. */
	if (result->status == STORE_OK)
		books->partition_count_matches = true;
}

static void
on_partition_count_read(const store_result_t *result, void *data)
{
	node_books_t *books = data;
	char *text;

	if (result->status != STORE_NOT_FOUND) {
		books->partition_check_pending = false;
		if (result->status == STORE_OK)
			compare_partition_count(
			    books, result->value, result->value_length);
		return;
	}
	text = g_strdup_printf("%u", books->node->config->ledger_partitions);
	store_compare_and_swap(books->node->store, partitions_key,
	    STORE_REVISION_NONE, text, strlen(text), NULL,
	    on_partition_count_created, books);
	g_free(text);
}

void
book_check_partition_count(node_books_t *books)
{
	if (books->partition_check_pending)
		return;
	books->partition_check_pending = true;
	store_get(
	    books->node->store, partitions_key, on_partition_count_read, books);
}
