/*
 * Text of clients and other processes, whatever its bytes: what is written with
 * it is JSON that says the same, or nothing is written.
 */
#include "json.h"
#include "oracle.h"
#include "platform_migrate.h"
#include "platform_request.h"

#include <string.h>

/* The JSON body behind the head of a message; a new reference. */
static json_t *
message_json(const GString *message)
{
	const char *body = strstr(message->str, "\r\n\r\n");

	CHECK(body != NULL);
	return json_loads(body + strlen("\r\n\r\n"), 0, NULL);
}

static void
check_migration(const char *id)
{
	GString *message = g_string_new(NULL);
	bool written =
	    platform_write_migration(message, "127.0.0.1:1", id, "127.0.0.1:2");
	json_t *json;

	CHECK(written == g_utf8_validate(id, -1, NULL));
	CHECK(written || message->len == 0);
	if (written) {
		json = message_json(message);
		CHECK(strcmp(json_get_string(json, "id", ""), id) == 0);
		json_decref(json);
	}
	g_string_free(message, TRUE);
}

static void
check_addresses(char *address)
{
	GPtrArray *addresses = g_ptr_array_new();
	char *text;
	json_t *json;

	g_ptr_array_add(addresses, address);
	text = platform_write_addresses(addresses, 1000);
	CHECK(text != NULL);
	json = json_loads(text, 0, NULL);
	CHECK(json_is_array(json_object_get(json, "addresses")));
	json_decref(json);
	free(text);
	g_ptr_array_unref(addresses);
}

static void
check_echo(const char *id)
{
	json_t *json = json_pack("{s:o}", "id", json_from_bytes(id));
	char *text = json_text(json);
	json_t *parsed = json_loads(text, 0, NULL);
	const char *echoed = json_get_string(parsed, "id", NULL);

	CHECK(echoed != NULL);
	CHECK(!g_utf8_validate(id, -1, NULL) || strcmp(echoed, id) == 0);
	json_decref(parsed);
	json_decref(json);
	g_free(text);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	char *text = g_strndup((const char *)bytes, length);

	check_migration(text);
	check_addresses(text);
	check_echo(text);
	g_free(text);
	return 0;
}
