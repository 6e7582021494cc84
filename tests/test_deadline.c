#include "suite.h"
#include "support.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum {
	SERVICE_DELAY_MS = 1500, /* of each booking */
	/* Covers one booking, but not the time in the queue and a booking. */
	SECOND_TIMEOUT_MS = 2000,
};

static program_t *store, *service, *node;

static json_t *
make_settings(void)
{
	return json_pack(
	    "{s:{s:{s:s,s:b,s:s,s:[s],s:i,s:{s:i,s:f},s:{s:i,s:i},"
	    "s:{s:i}}},s:{s:{s:s,s:s,s:s,s:s,s:s,s:s}},s:{s:{s:i}}}",
	    "services", "pickup", "kind", "plain", "repeatable", 0, "current",
	    "v1", "versions", "v1", "timeout_ms", 10000, "slo", "answer_ms",
	    2000, "target", 0.95, "limit", "in_flight", 1, "waiting", 8,
	    "ledger", "retention_s", 3600, "backends", "s0", "address",
	    service->address, "host", "host-0", "zone", "zone-a", "class", "a",
	    "service", "pickup", "version", "v1", "workspaces", "depot",
	    "weight", 1);
}

static void
setup(void)
{
	char faults[64];

	store = program_start("standin-store", NULL);
	service = program_start("standin-service", NULL);
	node = papayad_start("n0", "zone-a", store, "t1", NULL);
	settings_put(node, "t1", make_settings());
	g_snprintf(
	    faults, sizeof(faults), "{\"delay_ms\": %d}", SERVICE_DELAY_MS);
	faults_set(service, faults);
}

static void
teardown(void)
{
	programs_end();
}

static test_response_t *
send_booking(const char *idempotency_key, int timeout_ms)
{
	char key_header[64], timeout_header[64];
	const char *const headers[] = {
	    "Papaya-Workspace: depot", key_header, timeout_header, NULL};
	test_request_t ask = {.target = node,
	    .path = "/v1/services/t1/pickup/book",
	    .headers = headers,
	    .body = "{}"};

	g_snprintf(key_header, sizeof(key_header), "Idempotency-Key: %s",
	    idempotency_key);
	g_snprintf(timeout_header, sizeof(timeout_header),
	    "Papaya-Timeout-Ms: %d", timeout_ms);
	return test_request_send(&ask);
}

static gpointer
send_booking_in_thread(gpointer idempotency_key)
{
	return send_booking(idempotency_key, 10000);
}

static bool
is_booking_started(void *data)
{
	return metric_read(node, "bookings_total") >= 1;
}

/*
 * Guards against a timeout that starts again when a booking leaves the queue,
 * so that the client waits longer than it asked for.
 */
START_TEST(queue_time_counts_towards_timeout)
{
	GThread *thread =
	    g_thread_new("first", send_booking_in_thread, "key-1");
	test_response_t *first, *second;

	wait_until(is_booking_started, NULL);
	second = send_booking("key-2", SECOND_TIMEOUT_MS);
	first = g_thread_join(thread);
	ck_assert_int_eq(first->status, 200);
	ck_assert_int_ne(second->status, 200);
	ck_assert_str_eq(
	    test_response_header(second, "papaya-not-run"), "false");
	test_response_free(first);
	test_response_free(second);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("deadline");
	TCase *tests = tcase_create("deadline");

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, queue_time_counts_towards_timeout);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
