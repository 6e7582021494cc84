#include "relay_fragment.h"
#include "suite.h"

#include <check.h>
#include <string.h>

/* Changes of the store that are larger than a datagram, such as a
 * configuration with many workspaces. */

static GByteArray *
response_of(size_t length, uint8_t first)
{
	GByteArray *response = g_byte_array_new();

	for (size_t i = 0; i < length; i++) {
		uint8_t byte = (uint8_t)(first + i * 7);

		g_byte_array_append(response, &byte, 1);
	}
	return response;
}

static relay_assembly_t
assemble(relay_assembler_t *assembler, const GByteArray *datagram,
    GByteArray **response)
{
	return relay_assemble(
	    assembler, (const char *)datagram->data, datagram->len, response);
}

/* Guards against responses of which bytes are lost, repeated or reordered. */
START_TEST(fragments_in_any_order_give_the_response)
{
	static const unsigned order[] = {2, 0, 0, 1};
	relay_assembler_t *assembler = relay_assembler_new();
	GByteArray *sent = response_of(20000, 1), *received = NULL;
	GPtrArray *fragments = relay_split(sent, 5);
	relay_assembly_t state = RELAY_INCOMPLETE;

	ck_assert_uint_eq(fragments->len, 3);
	for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
		ck_assert_int_eq(state, RELAY_INCOMPLETE);
		state =
		    assemble(assembler, fragments->pdata[order[i]], &received);
	}
	ck_assert_int_eq(state, RELAY_COMPLETE);
	ck_assert_uint_eq(received->len, sent->len);
	ck_assert_mem_eq(received->data, sent->data, sent->len);
	g_byte_array_unref(received);
	g_byte_array_unref(sent);
	g_ptr_array_unref(fragments);
	relay_assembler_free(assembler);
}
END_TEST

/* Guards against a response that is put together from two. */
START_TEST(fragments_of_two_responses_are_not_mixed)
{
	relay_assembler_t *assembler = relay_assembler_new();
	GByteArray *first = response_of(10000, 1),
		   *second = response_of(10000, 2);
	GPtrArray *early = relay_split(first, 5),
		  *late = relay_split(second, 6);
	GByteArray *received = NULL;

	ck_assert_int_eq(
	    assemble(assembler, early->pdata[0], &received), RELAY_INCOMPLETE);
	ck_assert_int_eq(
	    assemble(assembler, late->pdata[1], &received), RELAY_INCOMPLETE);
	ck_assert_int_eq(
	    assemble(assembler, late->pdata[0], &received), RELAY_COMPLETE);
	ck_assert_mem_eq(received->data, second->data, second->len);
	g_byte_array_unref(received);
	g_byte_array_unref(first);
	g_byte_array_unref(second);
	g_ptr_array_unref(early);
	g_ptr_array_unref(late);
	relay_assembler_free(assembler);
}
END_TEST

/* Guards against a crash on truncated or altered datagrams. */
START_TEST(altered_fragments_do_not_crash_the_assembler)
{
	GByteArray *sent = response_of(20000, 1);
	GPtrArray *fragments = relay_split(sent, 5);
	relay_assembler_t *assembler = relay_assembler_new();
	GRand *random = g_rand_new_with_seed(9);

	for (int i = 0; i < 20000; i++) {
		const GByteArray *fragment = fragments->pdata[i % 3];
		GByteArray *received = NULL;
		gint32 length =
		    g_rand_int_range(random, 0, (gint32)fragment->len);
		char *bytes = g_memdup2(fragment->data, (gsize)length + 1);

		if (length > 2)
			bytes[g_rand_int_range(random, 2, MIN(length, 20))] =
			    (char)g_rand_int(random);
		if (relay_assemble(assembler, bytes, (size_t)length,
			&received) == RELAY_COMPLETE)
			g_byte_array_unref(received);
		g_free(bytes);
	}
	g_rand_free(random);
	relay_assembler_free(assembler);
	g_ptr_array_unref(fragments);
	g_byte_array_unref(sent);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_fragment");
	TCase *cases = tcase_create("relay_fragment");

	tcase_add_test(cases, fragments_in_any_order_give_the_response);
	tcase_add_test(cases, fragments_of_two_responses_are_not_mixed);
	tcase_add_test(cases, altered_fragments_do_not_crash_the_assembler);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
