#include "conn.h"
#include "digest.h"
#include "suite.h"
#include "support_gateway.h"
#include "support_wire.h"

#include <check.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A gateway whose store comes back from a copy that is some seconds old. */

enum {
	US_PER_MS = 1000,
	/* For a change of the store to reach the gateway. */
	CHANGE_DELIVERY_MS = 600,
	/* Backend servers write their entries again within this time. */
	REWRITE_MS = 2000,
	/* An entry that is not written again is out of use after this time. */
	REMOVED_MS = 6000,
	LATER_WRITES = 20,
	/* In CHANGE_DELIVERY_MS, with pauses that double from 60 ms on. */
	LISTS_MAX = 5,
};

static const char refused_lists[] =
    "store_calls_total{call=\"list\",result=\"refused\"}";

static void
wait_ms(int64_t duration_ms)
{
	g_usleep((gulong)duration_ms * US_PER_MS);
}

static void
call_store(const char *path)
{
	test_response_free(test_request_json(
	    platform_standin, "POST", path, json_object(), 200));
}

/* Raises the revisions of the store above those of its copy. */
static void
write_later_keys(void)
{
	for (int i = 0; i < LATER_WRITES; i++)
		gateway_store_put("other/key", "{}");
	gateway_configure(2, "[\"key-1\", \"key-2\"]");
	wait_ms(CHANGE_DELIVERY_MS);
}

/* Withdraws key-2, and checks that the gateway refuses it in time. */
static void
assert_change_applies(void)
{
	gateway_configure(3, "[\"key-1\"]");
	wait_ms(CHANGE_DELIVERY_MS);
	ck_assert_uint_eq(gateway_booking_status(gateway_node, "key-2"), 401);
}

/* Sends a booking, and checks that the backend server gets it. */
static void
assert_in_use(void)
{
	gateway_exchange_t exchange =
	    gateway_exchange_open("/book/", backend_listener_1);

	gateway_exchange_close(&exchange);
}

/*
 * Guards against changes that are passed over because their revisions are lower
 * than those of before the restoration: a withdrawn key stays in use.
 */
START_TEST(change_after_a_restoration_applies_at_once)
{
	call_store("/snapshot");
	write_later_keys();
	call_store("/restore");
	wait_ms(CHANGE_DELIVERY_MS);
	assert_change_applies();
}
END_TEST

/* Guards against a server that is dropped before it can write its entry again,
 * and against one that stays in use without an entry. */
START_TEST(server_that_the_copy_lacks_is_kept_for_a_while)
{
	gateway_store_remove("servers/i-1");
	call_store("/snapshot");
	gateway_register_server("i-1", "plain", backend_port_1, "ready");
	write_later_keys();
	call_store("/restore");
	for (int64_t passed_ms = 0; passed_ms < REWRITE_MS;
	     passed_ms += CHANGE_DELIVERY_MS) {
		assert_in_use();
		wait_ms(CHANGE_DELIVERY_MS);
	}
	wait_ms(REMOVED_MS - REWRITE_MS);
	ck_assert_uint_eq(gateway_booking_status(gateway_node, "key-1"), 503);
}
END_TEST

/*
 * Guards against a node that ignores a restoration during another one: the hold
 * must begin anew, and changes must apply although their revisions have been
 * seen in the era before.
 */
START_TEST(second_restoration_begins_anew)
{
	gateway_store_remove("servers/i-1");
	call_store("/snapshot");
	gateway_register_server("i-1", "plain", backend_port_1, "ready");
	write_later_keys();
	call_store("/restore");
	write_later_keys();
	wait_ms(REWRITE_MS - CHANGE_DELIVERY_MS);
	call_store("/restore");
	wait_ms(REWRITE_MS);
	assert_in_use();
	assert_change_applies();
}
END_TEST

/*
 * Guards against a node that reads the era of successful responses only, and
 * against one that calls a store which refuses its calls without a pause.
 */
START_TEST(restoration_shows_in_an_error)
{
	double lists;

	call_store("/snapshot");
	faults_set(platform_standin, "{\"down\": true}");
	call_store("/restore");
	wait_ms(CHANGE_DELIVERY_MS);
	ck_assert_double_eq(
	    gateway_metric(gateway_node, "store_restored_total"), 1);
	lists = gateway_metric(gateway_node, refused_lists);
	ck_assert_msg(lists >= 1 && lists <= LISTS_MAX, "%.0f lists", lists);
	faults_set(platform_standin, "{\"down\": false}");
	assert_change_applies();
}
END_TEST

/* Sends a digest of the registered node "n9" with an era of the store. */
static void
send_digest(int64_t era)
{
	struct sockaddr_in address;
	digest_t *digest = digest_new();
	GByteArray *bytes = g_byte_array_new();
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	ck_assert(conn_parse_address(gateway_node->address, &address));
	address.sin_port = htons((uint16_t)gateway_node->peer_port);
	digest->node = g_strdup("n9");
	digest->client_address = g_strdup("127.0.0.1:9");
	digest->sequence = 1;
	digest->store_era = era;
	digest_encode(digest, bytes);
	ck_assert_int_eq(sendto(fd, bytes->data, bytes->len, 0,
			     (struct sockaddr *)&address, sizeof(address)),
	    bytes->len);
	close(fd);
	g_byte_array_unref(bytes);
	digest_free(digest);
}

/* Guards against a node that believes a peer's wrong era, and then none of the
 * store's responses. */
START_TEST(era_that_only_a_peer_states_changes_nothing)
{
	gateway_store_put("papaya/node/n9", "127.0.0.1:9");
	wait_ms(CHANGE_DELIVERY_MS);
	send_digest(1000);
	wait_ms(REWRITE_MS);
	gateway_configure(2, "[\"key-1\", \"key-2\"]");
	assert_change_applies();
	ck_assert_double_eq(
	    gateway_metric(gateway_node, "store_restored_total"), 0);
	assert_in_use();
}
END_TEST

/* Guards against requests to servers that the copy shows as ready. */
START_TEST(draining_or_removed_server_of_the_copy_gets_no_request)
{
	call_store("/snapshot");
	if (_i == 0)
		gateway_store_remove("servers/i-1");
	else
		gateway_register_server(
		    "i-1", "plain", backend_port_1, "draining");
	wait_ms(CHANGE_DELIVERY_MS);
	call_store("/restore");
	wait_ms(CHANGE_DELIVERY_MS);
	ck_assert_uint_eq(gateway_booking_status(gateway_node, "key-1"), 503);
	if (_i == 0) {
		wait_ms(REMOVED_MS);
		assert_in_use();
	}
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("restored_store");
	TCase *cases = tcase_create("restored_store");

	tcase_set_timeout(cases, 60);
	tcase_add_checked_fixture(
	    cases, gateway_fixture_setup, gateway_fixture_teardown);
	tcase_add_test(cases, change_after_a_restoration_applies_at_once);
	tcase_add_test(cases, server_that_the_copy_lacks_is_kept_for_a_while);
	tcase_add_test(cases, second_restoration_begins_anew);
	tcase_add_test(cases, restoration_shows_in_an_error);
	tcase_add_test(cases, era_that_only_a_peer_states_changes_nothing);
	tcase_add_loop_test(cases,
	    draining_or_removed_server_of_the_copy_gets_no_request, 0, 2);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
