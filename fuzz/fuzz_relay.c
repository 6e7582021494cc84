/*
 * Relay messages and fragments. Whatever comes before, the fragments of a
 * response give exactly its bytes.
 */
#include "oracle.h"
#include "relay.h"
#include "relay_fragment.h"

#include <string.h>

static void
take_datagram(relay_assembler_t *assembler, const char *bytes, size_t length)
{
	GByteArray *response = NULL;
	relay_message_t message;

	if (relay_assemble(assembler, bytes, length, &response) ==
	    RELAY_COMPLETE)
		g_byte_array_unref(response);
	relay_decode(bytes, length, &message);
	CHECK(message.kind != RELAY_RESPONSE ||
	      message.response.client_addresses != NULL);
	relay_message_clear(&message);
}

static void
check_round_trip(relay_assembler_t *assembler, const char *bytes, size_t length)
{
	GByteArray *sent = g_byte_array_new(), *received = NULL;
	relay_assembly_t state = RELAY_INCOMPLETE;
	GPtrArray *fragments;

	/* Makes several fragments of the input. */
	for (int i = 0; i < 20; i++)
		g_byte_array_append(sent, (const guint8 *)bytes, (guint)length);
	fragments = relay_split(sent, INT64_MAX);
	for (guint i = 0; i < fragments->len; i++) {
		const GByteArray *fragment = fragments->pdata[i];

		CHECK(state == RELAY_INCOMPLETE);
		state = relay_assemble(assembler, (const char *)fragment->data,
		    fragment->len, &received);
	}
	CHECK(state == RELAY_COMPLETE);
	CHECK(received->len == sent->len);
	CHECK(memcmp(received->data, sent->data, sent->len) == 0);
	g_ptr_array_unref(fragments);
	g_byte_array_unref(received);
	g_byte_array_unref(sent);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	relay_assembler_t *assembler = relay_assembler_new();
	size_t half = length / 2;

	take_datagram(assembler, (const char *)bytes, half);
	take_datagram(assembler, (const char *)bytes + half, length - half);
	if (length > 0)
		check_round_trip(assembler, (const char *)bytes, length);
	relay_assembler_free(assembler);
	return 0;
}
