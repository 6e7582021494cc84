/*
 * Values that operators, backend servers and other writers put into the store:
 * a value is rejected with an error, or gives an object with its names set.
 */
#include "oracle.h"
#include "platform_catalog.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	char *text = g_strndup((const char *)bytes, length);
	GError *error = NULL;
	catalog_t *catalog = platform_read_catalog(text, length, &error);
	server_info_t *server;

	CHECK((catalog == NULL) == (error != NULL));
	g_clear_error(&error);
	if (catalog != NULL) {
		for (guint i = 0; i < catalog->workspaces->len; i++)
			CHECK(((const catalog_workspace_t *)
				      catalog->workspaces->pdata[i])
				  ->name != NULL);
		catalog_unref(catalog);
	}
	server = platform_read_server("i-1", text, length, &error);
	CHECK((server == NULL) == (error != NULL));
	g_clear_error(&error);
	if (server != NULL) {
		CHECK(server->service != NULL);
		CHECK(server->address != NULL);
		server_info_free(server);
	}
	g_free(text);
	return 0;
}
