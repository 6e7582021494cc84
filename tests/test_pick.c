#include "pick.h"
#include "suite.h"

#include <check.h>
#include <string.h>

enum { SERVERS = 6, BATCH = 24, NOW_MS = 1000000 };

static pool_t *pool;
static prefix_cache_t *prefixes;
static ttft_model_t ttft_model;
static catalog_service_t engine = {
    .name = "s", .is_engine = true, .batch = BATCH, .cache_tokens = 400000};

static void
add_server(const char *id, const char *zone)
{
	server_info_t *info = g_new0(server_info_t, 1);

	info->id = g_strdup(id);
	info->service = g_strdup("s");
	info->address = g_strdup("127.0.0.1:9");
	info->zone = g_strdup(zone);
	info->version = g_strdup("v1");
	info->slots = BATCH;
	info->leaves_ms = -1;
	pool_put(pool, info, NOW_MS);
}

static void
setup(void)
{
	pool = pool_new(uv_default_loop(), 2000);
	prefixes = prefix_cache_new();
	memset(&ttft_model, 0, sizeof(ttft_model));
	for (int i = 0; i < SERVERS; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i-%d", i);
		add_server(id, "z");
	}
}

static void
teardown(void)
{
	pool_free(pool);
	prefix_cache_free(prefixes);
}

static request_facts_t
prompt(uint64_t thing, unsigned shared, unsigned own)
{
	return (request_facts_t){
	    .has_tokens = true,
	    .tokens_in = shared + own,
	    .tokens_out = 100,
	    .segment_count = 2,
	    .segments = {{.id = thing, .tokens = shared},
		{.id = thing + 1000000, .tokens = own}},
	};
}

static pick_choice_t
pick(const request_facts_t *facts, bool urgent, const GPtrArray *tried)
{
	pick_query_t query = {
	    .facts = facts,
	    .service = &engine,
	    .servers = pool_service(pool, "s"),
	    .tried = tried,
	    .prefixes = prefixes,
	    .ttft_model = &ttft_model,
	    .urgent = urgent,
	    .zone = "z",
	    .now_ms = NOW_MS,
	    .random = 3,
	};

	return pick_server(&query);
}

/* Guards against shared parts that every engine reads for itself. */
START_TEST(prompts_that_share_parts_meet_at_one_engine)
{
	for (uint64_t thing = 1; thing < 50; thing++) {
		request_facts_t facts = prompt(thing, 5000, 1000);
		server_t *first = pick(&facts, false, NULL).server;

		for (int i = 0; i < 5; i++)
			ck_assert_ptr_eq(
			    pick(&facts, false, NULL).server, first);
	}
}
END_TEST

/* Guards against one popular part that overloads the engine that holds it. */
START_TEST(a_popular_part_spreads_under_load)
{
	request_facts_t facts = prompt(7, 5000, 1000);
	unsigned used = 0;

	for (int i = 0; i < 120; i++) {
		pick_choice_t choice = pick(&facts, false, NULL);

		if (choice.server->own.in_flight++ == 0)
			used++;
		choice.server->own.waiting_tokens += choice.uncached_tokens;
		prefix_cache_record(
		    prefixes, choice.server->tag, &facts, NOW_MS);
	}
	ck_assert_uint_eq(used, SERVERS);
}
END_TEST

/* Guards against an engine that is used while it leaves or cannot be reached.
 */
START_TEST(leaving_and_unreachable_servers_are_passed_over)
{
	request_facts_t facts = prompt(7, 5000, 1000);
	server_t *first = pick(&facts, false, NULL).server;
	server_t *second;

	first->info->draining = true;
	second = pick(&facts, false, NULL).server;
	ck_assert_ptr_ne(second, first);
	server_observe(second, SERVER_UNREACHABLE, 0, NOW_MS);
	ck_assert_ptr_ne(pick(&facts, false, NULL).server, first);
	ck_assert_ptr_ne(pick(&facts, false, NULL).server, second);
}
END_TEST

START_TEST(a_server_that_had_the_request_is_not_picked_again)
{
	request_facts_t facts = prompt(7, 5000, 1000);
	GPtrArray *tried = g_ptr_array_new();

	for (int i = 0; i < SERVERS; i++) {
		server_t *server = pick(&facts, false, tried).server;

		ck_assert_ptr_nonnull(server);
		g_ptr_array_add(tried, server);
	}
	ck_assert_ptr_null(pick(&facts, false, tried).server);
	g_ptr_array_unref(tried);
}
END_TEST

/* Guards against urgent requests that count prompts read after their own. */
START_TEST(urgent_requests_wait_for_urgent_prompts_only)
{
	request_facts_t facts = prompt(7, 0, 1000);

	for (int i = 0; i < SERVERS; i++) {
		server_t *server = pool_service(pool, "s")->pdata[i];

		server->own.waiting_tokens = 50000;
		server->peers.urgent_tokens = 2000;
		server->peers.waiting_tokens = 2000;
	}
	ck_assert_double_le(pick(&facts, true, NULL).expected_ms, 150);
	ck_assert_double_ge(pick(&facts, false, NULL).expected_ms, 500);
}
END_TEST

/*
 * Guards against short urgent questions that wait behind a long prompt, which
 * its engine has begun to read, while other engines have none.
 */
START_TEST(urgent_requests_avoid_long_prompts)
{
	request_facts_t facts = prompt(7, 0, 1000);

	for (int i = 0; i < SERVERS - 1; i++) {
		server_t *server = pool_service(pool, "s")->pdata[i];

		server->own.waiting_tokens = 50000;
	}
	for (int i = 0; i < SERVERS; i++) {
		facts.segments[0].id = (uint64_t)i;
		ck_assert_ptr_eq(pick(&facts, true, NULL).server,
		    pool_service(pool, "s")->pdata[SERVERS - 1]);
	}
}
END_TEST

/* Guards against a server whose answers fail while its entry looks good. */
START_TEST(a_failing_server_gets_little)
{
	request_facts_t facts = {0};
	server_t *bad = pool_service(pool, "s")->pdata[0];
	unsigned picked = 0;

	for (int i = 0; i < 30; i++)
		server_observe(bad, SERVER_FAILED, 0, NOW_MS);
	for (uint64_t thing = 1; thing < 200; thing++) {
		facts = prompt(thing, 5000, 1000);
		picked += pick(&facts, false, NULL).server == bad;
	}
	ck_assert_uint_eq(picked, 0);
}
END_TEST

/* One engine that reads prompts in turn, at a time for each token. */
typedef struct engine_model {
	double busy_until_ms;
	unsigned on_time;
	unsigned late;
	unsigned refused;
} engine_model_t;

/* Offers prompts of TOKENS every gap_ms for a while. */
static engine_model_t
offer_load(double gap_ms, bool sheds)
{
	enum { REQUESTS = 400, TOKENS = 10000, OBJECTIVE_MS = 800 };
	engine_model_t reader = {0};

	for (int i = 0; i < REQUESTS; i++) {
		double now_ms = i * gap_ms;
		double queue_ms = MAX(reader.busy_until_ms - now_ms, 0);
		pick_choice_t choice = {
		    .expected_ms = ttft_model_predict_ms(
			&ttft_model, queue_ms * 100 + TOKENS)};

		if (sheds && pick_should_shed(&choice, OBJECTIVE_MS, 10000)) {
			reader.refused++;
			continue;
		}
		reader.busy_until_ms = now_ms + queue_ms + TOKENS * 0.01;
		if (queue_ms + TOKENS * 0.01 + 70 <= OBJECTIVE_MS)
			reader.on_time++;
		else
			reader.late++;
	}
	return reader;
}

/*
 * The pattern: prompts that arrive one and a half times as fast as an engine
 * reads them. Guards against a queue that makes every response late.
 */
START_TEST(overload_leaves_many_requests_on_time)
{
	engine_model_t all = offer_load(67, false);
	engine_model_t shed = offer_load(67, true);

	ck_assert_uint_eq(all.refused, 0);
	ck_assert_uint_gt(shed.on_time, 2 * all.on_time);
	ck_assert_uint_lt(shed.late, all.late / 2);
}
END_TEST

/* Guards against refusals while the engine keeps up. */
START_TEST(a_load_that_fits_is_not_refused)
{
	engine_model_t shed = offer_load(105, true);

	ck_assert_uint_eq(shed.refused, 0);
	ck_assert_uint_eq(shed.late, 0);
}
END_TEST

/* Guards against long prompts that are refused at every load. */
START_TEST(a_long_prompt_is_served_by_an_idle_engine)
{
	pick_choice_t idle = {.expected_ms = 1500, .unloaded_ms = 1500};
	pick_choice_t busy = {.expected_ms = 2500, .unloaded_ms = 1500};

	ck_assert(!pick_should_shed(&idle, 800, 10000));
	ck_assert(pick_should_shed(&busy, 800, 10000));
}
END_TEST

START_TEST(a_refused_request_is_told_when_the_queue_is_short)
{
	pick_choice_t choice = {.expected_ms = 3000, .unloaded_ms = 200};

	ck_assert(pick_should_shed(&choice, 800, 10000));
	ck_assert(!pick_should_shed(&choice, 0, 10000));
	ck_assert(pick_should_shed(&choice, 0, 2000));
	ck_assert_int_eq(pick_retry_after_ms(&choice, 800), 2600);
}
END_TEST

START_TEST(the_time_to_the_first_token_is_learned)
{
	ttft_model_t learned = {0};

	for (int i = 0; i < 500; i++) {
		double tokens = (i * 37) % 20000;

		ttft_model_add(&learned, tokens, 60 + tokens * 0.02);
	}
	ck_assert_double_le(
	    ABS(ttft_model_predict_ms(&learned, 10000) - 260), 5);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("pick");
	TCase *cases = tcase_create("pick");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, prompts_that_share_parts_meet_at_one_engine);
	tcase_add_test(cases, a_popular_part_spreads_under_load);
	tcase_add_test(cases, leaving_and_unreachable_servers_are_passed_over);
	tcase_add_test(
	    cases, a_server_that_had_the_request_is_not_picked_again);
	tcase_add_test(cases, urgent_requests_wait_for_urgent_prompts_only);
	tcase_add_test(cases, urgent_requests_avoid_long_prompts);
	tcase_add_test(cases, a_failing_server_gets_little);
	tcase_add_test(cases, overload_leaves_many_requests_on_time);
	tcase_add_test(cases, a_long_prompt_is_served_by_an_idle_engine);
	tcase_add_test(cases, a_load_that_fits_is_not_refused);
	tcase_add_test(
	    cases, a_refused_request_is_told_when_the_queue_is_short);
	tcase_add_test(cases, the_time_to_the_first_token_is_learned);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
