#include "suite.h"
#include "support.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <string.h>
#include <unistd.h>

/* Entries of the store by other writers, which no host can use. */

enum {
	NESTING = 10000,
	SETTLE_US = 500000,
};

/*
 * Guards against a process that ends, or stops following the store, by one odd
 * entry of another writer; under the keys of the system too.
 */
START_TEST(odd_entries_in_the_store_are_passed_over)
{
	static const char *const keys[] = {"servers/odd", "servers/a b",
	    "servers/", "op/rollout/plain", "op/other", "status/rollout/plain",
	    "papaya/node/odd", "papaya/rollout/plain", "papaya/scale/plain",
	    "papaya/usage", "odd"};
	char *nested = g_strnfill(NESTING, '[');
	const char *const values[] = {"", "{", "null", "7", "\xff\xfe", nested,
	    "{\"window\": 1e300, \"counts\": {\"depot\": -1e300}}",
	    "{\"target\": \"v9\", \"duration_s\": 1e300}"};
	gateway_exchange_t exchange;

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(values); j++)
			gateway_store_put(keys[i], values[j]);
	/* An odd update of a server in use: it gets no more requests. */
	gateway_store_put("servers/i-1", nested);
	gateway_register_server("i-2", "plain", backend_port_2, "ready");
	g_usleep(SETTLE_US);
	exchange = gateway_exchange_open("/book/a", backend_listener_2);
	gateway_exchange_close(&exchange);
	g_free(nested);
}
END_TEST

/* Items that are not JSON, or that this process does not accept. */
static const char *const unreadable_items[] = {
    "{\"key\":\"servers/i-\\u0000a\",\"value\":\"\",\"revision\":1}",
    "{\"key\":\"servers/i-\\ud800\",\"value\":\"\",\"revision\":1}",
    "{\"key\":\"a\",\"value\":\"\",\"revision\":99999999999999999999}",
    "{\"key\":\"a\",\"key\":\"b\",\"revision\":1}",
    "{\"key\":\"a\",\"value\":\"]}\\\"\",\"revision\":1e999}",
    "nothing",
};

/*
 * Guards against one entry that keeps a host from reading the store: a change
 * of the others takes no effect.
 */
START_TEST(an_unreadable_item_costs_only_itself)
{
	json_t *faults = json_pack("{s:s}", "raw_item", unreadable_items[_i]);
	char *text = json_dumps(faults, 0);
	int client;

	faults_set(platform_standin, text);
	gateway_configure(2, "[\"key-2\"]");
	g_usleep(SETTLE_US);
	client = gateway_send_request("/read/a", "id-1");
	ck_assert_uint_eq(wire_read_status(client), 401);
	close(client);
	free(text);
	json_decref(faults);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("odd_entries");
	TCase *cases = tcase_create("odd_entries");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(cases, odd_entries_in_the_store_are_passed_over);
	tcase_add_loop_test(cases, an_unreadable_item_costs_only_itself, 0,
	    G_N_ELEMENTS(unreadable_items));
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
