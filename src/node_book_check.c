#include "log.h"
#include "node_book.h"

#include <stdlib.h>
#include <string.h>

static const char partitions_key[] = "ledger/partitions";

static void
compare(node_books_t *books, const char *value, size_t length)
{
	unsigned own = books->node->config->ledger_partitions;
	char *text = g_strndup(value, length);
	unsigned long stored = strtoul(text, NULL, 10);

	books->checked = stored == own;
	if (!books->checked && !books->complained)
		log_event(LOG_LEVEL_ERROR, "ledger.refused",
		    "node=%s ledger_partitions=%u stored=%.16s "
		    "remedy=\"use the stored number on every node\"",
		    books->node->config->name, own, text);
	books->complained = !books->checked;
	g_free(text);
}

static void
on_created(const store_result_t *result, void *data)
{
	node_books_t *books = data;

	books->checking = false;
	/* Otherwise the next ledger call reads it again. */
	if (result->status == STORE_OK)
		books->checked = true;
}

static void
on_read(const store_result_t *result, void *data)
{
	node_books_t *books = data;
	char *text;

	if (result->status != STORE_NOT_FOUND) {
		books->checking = false;
		if (result->status == STORE_OK)
			compare(books, result->value, result->value_length);
		return;
	}
	text = g_strdup_printf("%u", books->node->config->ledger_partitions);
	store_compare_and_swap(books->node->store, partitions_key,
	    STORE_REVISION_NONE, text, strlen(text), NULL, on_created, books);
	g_free(text);
}

void
book_check_start(node_books_t *books)
{
	if (books->checking)
		return;
	books->checking = true;
	store_get(books->node->store, partitions_key, on_read, books);
}
