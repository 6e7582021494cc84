#include "suite.h"
#include "support_chat.h"

#include <check.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum {
	RECLAIM_NOTICE_MS = 2000,
	/* At 20 ms per token, longer than RECLAIM_NOTICE_MS. */
	LONG_RESPONSE_TOKENS = 200,
};

static program_t *cloud;

/* Starts a node that polls the cloud's notices, and engines on two hosts. */
static void
start_engines_on_cloud(int token_ms)
{
	static const char *const hosts[] = {"host-1", "host-2"};
	char *faults = g_strdup_printf("{\"token_ms\": %d}", token_ms);
	char *url;

	cloud = program_start("standin-cloud", NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++)
		test_response_free(test_request_json(cloud, "POST", "/v1/hosts",
		    json_pack("{s:s,s:s,s:s,s:b}", "host", hosts[i], "zone",
			"zone-a", "class", "a", "reclaimable", 1),
		    201));
	url = g_strdup_printf("http://%s", cloud->address);
	chat_start(
	    "standin-engine", "chat", 8, json_pack("{s:s}", "cloud", url));
	faults_set(chat.one, faults);
	faults_set(chat.two, faults);
	g_free(url);
	g_free(faults);
}

typedef struct reclaim {
	int notice_ms;
	gint64 notice_sent_us; /* 0: not yet */
	program_t *reclaimed_engine, *remaining_engine;
} reclaim_t;

/*
 * Reclaims the host of the stream's engine after 30 tokens, and kills the
 * engine when the notice has elapsed.
 */
static bool
reclaim_mid_stream(test_response_t *response, void *data)
{
	reclaim_t *reclaim = data;
	gint64 kill_at_us =
	    reclaim->notice_sent_us + reclaim->notice_ms * 1000LL;
	bool uses_first_engine;
	char *faults;

	if (reclaim->notice_sent_us == 0 &&
	    strstr(response->body->str, "\"index\":30") != NULL) {
		uses_first_engine = chat_stat(chat.one, "calls") > 0;
		reclaim->reclaimed_engine =
		    uses_first_engine ? chat.one : chat.two;
		reclaim->remaining_engine =
		    uses_first_engine ? chat.two : chat.one;
		reclaim->notice_sent_us = g_get_monotonic_time();
		faults = g_strdup_printf(
		    "{\"notice_ms\": %d, \"reclaim_host\": \"%s\"}",
		    reclaim->notice_ms,
		    uses_first_engine ? "host-1" : "host-2");
		faults_set(cloud, faults);
		g_free(faults);
	} else if (reclaim->notice_sent_us != 0 &&
		   reclaim->reclaimed_engine != NULL &&
		   g_get_monotonic_time() >= kill_at_us) {
		program_end(reclaim->reclaimed_engine, SIGKILL);
		reclaim->reclaimed_engine = NULL;
	}
	return true;
}

/*
 * Guards against a stream that outlasts the notice and is cut, or computed
 * again from its prompt, instead of moving with its KV cache.
 */
START_TEST(long_stream_moves_with_its_kv_cache)
{
	reclaim_t reclaim = {.notice_ms = RECLAIM_NOTICE_MS};

	start_engines_on_cloud(20);
	chat.max_tokens = LONG_RESPONSE_TOKENS;
	chat_check(chat_complete(true, "a long story", NULL, reclaim_mid_stream,
		       &reclaim),
	    "a long story");
	ck_assert_ptr_null(reclaim.reclaimed_engine);
	ck_assert_int_eq(metric_read(chat.node, "kv_transfers_total"), 1);
	ck_assert_int_eq(
	    metric_read(chat.node, "kv_transfers_failed_total"), 0);
	ck_assert_int_eq(metric_read(chat.node, "stream_resumes_total"), 1);
	ck_assert_int_eq(metric_read(chat.node,
			     "attempts_failed_total{reason=\"truncated\"}"),
	    0);
	/* Only tokens generated between export and resume are recomputed. */
	ck_assert_int_lt(
	    chat_stat(reclaim.remaining_engine, "recomputed_tokens"), 15);
}
END_TEST

/* Guards against moving a stream that would complete within the notice. */
START_TEST(short_stream_is_not_moved)
{
	reclaim_t reclaim = {.notice_ms = 4 * RECLAIM_NOTICE_MS};

	start_engines_on_cloud(10);
	chat.max_tokens = 60;
	chat_check(chat_complete(true, "a short story", NULL,
		       reclaim_mid_stream, &reclaim),
	    "a short story");
	ck_assert(reclaim.notice_sent_us != 0);
	ck_assert_int_eq(metric_read(chat.node, "attempts_total"), 1);
}
END_TEST

static int
count_entry_hosts(const program_t *node)
{
	test_request_t ask = {
	    .target = node, .path = "/v1/entry?workspace=depot"};
	test_response_t *response = test_request_send(&ask);
	int count =
	    (int)json_array_size(json_object_get(response->json, "entries"));

	test_response_free(response);
	return count;
}

static bool
has_discovered_peer(void *data)
{
	return count_entry_hosts(data) >= 2;
}

static gpointer
complete_in_thread(gpointer data)
{
	return chat_complete(true, data, NULL, NULL, NULL);
}

static bool
is_request_started(void *data)
{
	return chat_stat(chat.one, "calls") + chat_stat(chat.two, "calls") > 0;
}

static bool
is_request_queued(void *data)
{
	return metric_read(chat.node, "requests_queued_total") >= 1;
}

/*
 * Guards against a draining node that drops its queued requests or keeps them
 * waiting, although a node of another zone can serve them.
 */
START_TEST(queued_requests_move_to_another_zone_on_drain)
{
	GThread *first, *second;
	program_t *peer;

	chat_start("standin-engine", "chat", 1, NULL);
	peer = papayad_start("n2", "zone-b", chat.store, "t1", NULL);
	chat_wait_applied(peer);
	wait_until(has_discovered_peer, chat.node);
	faults_set(chat.one, "{\"token_ms\": 30}");
	faults_set(chat.two, "{\"token_ms\": 30}");
	first = g_thread_new("first", complete_in_thread, "first");
	wait_until(is_request_started, NULL);
	second = g_thread_new("second", complete_in_thread, "second");
	wait_until(is_request_queued, NULL);
	kill(chat.node->pid, SIGTERM);
	chat_check(g_thread_join(first), "first");
	chat_check(g_thread_join(second), "second");
	ck_assert_int_eq(metric_read(peer, "attempts_total"), 1);
	ck_assert_int_eq(program_wait(chat.node), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("handover");
	TCase *tests = tcase_create("handover");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_set_timeout(tests, 60);
	tcase_add_checked_fixture(tests, NULL, chat_end);
	tcase_add_test(tests, long_stream_moves_with_its_kv_cache);
	tcase_add_test(tests, short_stream_is_not_moved);
	tcase_add_test(tests, queued_requests_move_to_another_zone_on_drain);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
