#include "node.h"

#include "error.h"

void
node_books_start(node_t *node)
{
}

void
node_books_free(node_t *node)
{
}

void
node_books_serve(node_t *node, http_request_t *request,
    const service_t *service, tree_t *tree, const char *path)
{
	GError *error = NULL;

	papaya_error_set(&error, PAPAYA_ERROR_INTERNAL, "not built");
	http_reply_error(request, error, true);
	g_error_free(error);
}

void
node_books_message(node_t *node, const message_t *message, const char *from)
{
}
