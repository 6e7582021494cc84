#include "pick.h"
#include "suite.h"

#include <check.h>
#include <string.h>

enum { SERVERS = 6, BATCH = 24, NOW_MS = 1000000, COLD_PER_S = 4 };

static pool_t *pool;
static prefix_cache_t *prefixes;
static ttft_model_t ttft_model;
static evacuation_t *evacuation;
static cold_limit_t *cold_limit;
static catalog_service_t engine = {.name = "s",
    .is_engine = true,
    .batch_size = BATCH,
    .kv_capacity_tokens = 400000,
    .cold_per_s = COLD_PER_S};

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
	info->shutdown_in_ms = -1;
	pool_put(pool, info, NOW_MS);
}

static void
setup(void)
{
	pool = pool_new(uv_default_loop(), 2000);
	prefixes = prefix_cache_new();
	evacuation = evacuation_new();
	cold_limit = cold_limit_new("n1");
	memset(&ttft_model, 0, sizeof(ttft_model));
	for (int i = 0; i < SERVERS; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i-%d", i);
		add_server(id, "z");
	}
}

static region_rule_t region_rule;
static region_map_t *regions;

static void
teardown(void)
{
	region_rule = (region_rule_t){0};
	g_clear_pointer(&regions, region_map_free);
	pool_free(pool);
	prefix_cache_free(prefixes);
	evacuation_free(evacuation);
	cold_limit_free(cold_limit);
}

/* A prompt of a shared segment and one that no other request has. */
static request_facts_t
prompt(uint64_t id, unsigned shared_tokens, unsigned own_tokens)
{
	return (request_facts_t){
	    .has_tokens = true,
	    .tokens_in = shared_tokens + own_tokens,
	    .tokens_out = 100,
	    .segment_count = 2,
	    .segments = {{.id = id, .tokens = shared_tokens},
		{.id = id + 1000000, .tokens = own_tokens}},
	};
}

static pick_choice_t
pick(const request_facts_t *facts, bool urgent, const GPtrArray *tried)
{
	pick_query_t query = {
	    .facts = facts,
	    .service = &engine,
	    .servers = pool_servers(pool, "s"),
	    .tried = tried,
	    .prefixes = prefixes,
	    .ttft_model = &ttft_model,
	    .urgent = urgent,
	    .zone = "z",
	    .evacuation = evacuation,
	    .cold_limit = cold_limit,
	    .region_rule = region_rule,
	    .regions = regions,
	    .now_ms = NOW_MS,
	    .random = 3,
	};

	return pick_server(&query);
}

/* Guards against each engine reading the shared segments again. */
START_TEST(prompts_with_shared_segments_use_one_engine)
{
	for (uint64_t id = 1; id < 50; id++) {
		request_facts_t facts = prompt(id, 5000, 1000);
		server_t *first = pick(&facts, false, NULL).server;

		for (int i = 0; i < 5; i++)
			ck_assert_ptr_eq(
			    pick(&facts, false, NULL).server, first);
	}
}
END_TEST

/* Guards against overloading the engine that has cached a popular segment. */
START_TEST(popular_segment_is_spread_under_load)
{
	request_facts_t facts = prompt(7, 5000, 1000);
	unsigned used = 0;

	for (int i = 0; i < 120; i++) {
		pick_choice_t choice = pick(&facts, false, NULL);

		if (choice.server->local_load.in_flight++ == 0)
			used++;
		choice.server->local_load.prefill_tokens +=
		    choice.uncached_tokens;
		prefix_cache_record(
		    prefixes, choice.server->tag, &facts, NOW_MS);
	}
	ck_assert_uint_eq(used, SERVERS);
}
END_TEST

/* Guards against requests to servers that are draining or unreachable. */
START_TEST(draining_and_unreachable_servers_are_not_picked)
{
	request_facts_t facts = prompt(7, 5000, 1000);
	server_t *first = pick(&facts, false, NULL).server;
	server_t *second;

	first->info->draining = true;
	second = pick(&facts, false, NULL).server;
	ck_assert_ptr_ne(second, first);
	server_record_outcome(second, SERVER_UNREACHABLE, 0, NOW_MS);
	ck_assert_ptr_ne(pick(&facts, false, NULL).server, first);
	ck_assert_ptr_ne(pick(&facts, false, NULL).server, second);
}
END_TEST

/* Guards against retries at a server that was tried for the request. */
START_TEST(tried_server_is_not_picked_again)
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

/*
 * Guards against requests in a region that is not allowed, also those whose
 * preferred engine is there, and against a retry that ignores the rule.
 */
START_TEST(servers_in_other_regions_are_excluded)
{
	static const char *const allowed[] = {"home", NULL};
	GPtrArray *tried = g_ptr_array_new();

	regions = region_map_new();
	region_map_add(regions, "z", "abroad");
	region_map_add(regions, "z-home", "home");
	add_server("h-1", "z-home");
	add_server("h-2", "z-home");
	region_rule.by_route = allowed;
	for (uint64_t id = 1; id < 50; id++) {
		request_facts_t facts = prompt(id, 5000, 1000);
		pick_choice_t first = pick(&facts, false, NULL), second;

		ck_assert_str_eq(first.server->info->zone, "z-home");
		ck_assert_uint_eq(
		    first.excluded[PICK_EXCLUDED_REGION], SERVERS);
		/* The preferred engine is one that may be used. */
		ck_assert_double_eq(first.uncached_tokens, 1000);
		g_ptr_array_add(tried, first.server);
		second = pick(&facts, false, tried);
		ck_assert_str_eq(second.server->info->zone, "z-home");
		g_ptr_array_add(tried, second.server);
		ck_assert_ptr_null(pick(&facts, false, tried).server);
		g_ptr_array_set_size(tried, 0);
	}
	g_ptr_array_unref(tried);
}
END_TEST

/* Guards against counting prompts that are read after the urgent one. */
START_TEST(urgent_estimate_counts_urgent_prompts_only)
{
	request_facts_t facts = prompt(7, 0, 1000);

	for (int i = 0; i < SERVERS; i++) {
		server_t *server = pool_servers(pool, "s")->pdata[i];

		server->local_load.prefill_tokens = 50000;
		server->peer_load.urgent_prefill_tokens = 2000;
		server->peer_load.prefill_tokens = 2000;
	}
	ck_assert_double_le(pick(&facts, true, NULL).expected_ms, 150);
	ck_assert_double_ge(pick(&facts, false, NULL).expected_ms, 500);
}
END_TEST

/*
 * Guards against sending short urgent requests to engines that have started a
 * long prompt, which they continue in between, while another engine is idle.
 */
START_TEST(urgent_requests_avoid_engines_with_long_prompts)
{
	request_facts_t facts = prompt(7, 0, 1000);

	for (int i = 0; i < SERVERS - 1; i++) {
		server_t *server = pool_servers(pool, "s")->pdata[i];

		server->local_load.prefill_tokens = 50000;
	}
	for (int i = 0; i < SERVERS; i++) {
		facts.segments[0].id = (uint64_t)i;
		ck_assert_ptr_eq(pick(&facts, true, NULL).server,
		    pool_servers(pool, "s")->pdata[SERVERS - 1]);
	}
}
END_TEST

/* Guards against requests to a server that fails but is listed as healthy. */
START_TEST(failing_server_is_not_picked)
{
	request_facts_t facts = {0};
	server_t *failing = pool_servers(pool, "s")->pdata[0];
	unsigned picked = 0;

	for (int i = 0; i < 30; i++)
		server_record_outcome(failing, SERVER_FAILED, 0, NOW_MS);
	for (uint64_t id = 1; id < 200; id++) {
		facts = prompt(id, 5000, 1000);
		picked += pick(&facts, false, NULL).server == failing;
	}
	ck_assert_uint_eq(picked, 0);
}
END_TEST

/* Adds three servers in zone "y" to those in zone "z". */
static void
add_other_zone(void)
{
	add_server("i-7", "y");
	add_server("i-8", "y");
	add_server("i-9", "y");
}

/*
 * Sends a request to one server after the other until none is left, as by
 * retries, and returns how many of them are in the zone. The zone is evacuated
 * after the first attempt; with ignores set the retries do not follow it.
 */
static unsigned
retries_in_zone(const char *zone, bool ignores)
{
	request_facts_t facts = prompt(7, 5000, 1000);
	GPtrArray *tried = g_ptr_array_new();
	unsigned in_zone = 0;
	server_t *server = pick(&facts, false, NULL).server;

	g_ptr_array_add(tried, server);
	if (!ignores)
		evacuation_begin(evacuation, zone);
	while ((server = pick(&facts, false, tried).server) != NULL) {
		g_ptr_array_add(tried, server);
		if (strcmp(server->info->zone, zone) == 0)
			in_zone++;
	}
	g_ptr_array_unref(tried);
	return in_zone;
}

/*
 * Guards against a retry at a server of a zone that was evacuated after the
 * first attempt. The check finds a retry that ignores the evacuation.
 */
START_TEST(a_retry_follows_an_evacuation)
{
	add_other_zone();
	ck_assert_uint_gt(retries_in_zone("z", true), 0);
	ck_assert_uint_eq(retries_in_zone("z", false), 0);
}
END_TEST

/*
 * Guards against requests to an evacuated zone, and against prompts that are
 * spread because their preferred server is in that zone.
 */
START_TEST(servers_of_an_evacuated_zone_are_not_picked)
{
	add_other_zone();
	evacuation_begin(evacuation, "z");
	for (uint64_t id = 1; id < 50; id++) {
		request_facts_t facts = prompt(id, 5000, 1000);
		pick_choice_t choice = pick(&facts, false, NULL);

		ck_assert_str_eq(choice.server->info->zone, "y");
		/* Its shared segments count as cached where it is preferred. */
		ck_assert_double_le(choice.uncached_tokens, 1000);
		ck_assert_uint_eq(
		    choice.excluded[PICK_EXCLUDED_EVACUATED], SERVERS);
	}
	evacuation_begin(evacuation, "y");
	ck_assert_ptr_null(pick(&(request_facts_t){0}, false, NULL).server);
	evacuation_end(evacuation, "z");
	ck_assert_str_eq(
	    pick(&(request_facts_t){0}, false, NULL).server->info->zone, "z");
}
END_TEST

static void
set_all_cold(int64_t cold_ms)
{
	for (int i = 0; i < SERVERS; i++)
		server_report_cold(
		    pool_servers(pool, "s")->pdata[i], cold_ms, NOW_MS);
}

/* Makes this node the only one that sends requests to cold servers. */
static void
own_cold_servers(void)
{
	GPtrArray *nodes = g_ptr_array_new();

	g_ptr_array_add(nodes, "n1");
	cold_limit_set_nodes(cold_limit, nodes);
	g_ptr_array_unref(nodes);
}

/* Sends requests until one is refused; returns the number that are sent. */
static unsigned
send_until_refused(bool urgent)
{
	request_facts_t facts = prompt(7, 0, 10);
	unsigned sent = 0;
	server_t *server;

	while ((server = pick(&facts, urgent, NULL).server) != NULL) {
		cold_turns_count(&server->cold_turns, NOW_MS);
		sent++;
	}
	return sent;
}

/* Guards against more requests than the cold servers' turns. */
START_TEST(cold_servers_get_their_turns_only)
{
	set_all_cold(3000);
	ck_assert_uint_eq(send_until_refused(true), 0);
	own_cold_servers();
	ck_assert_uint_eq(send_until_refused(false), SERVERS * COLD_PER_S);
}
END_TEST

/* Guards against a retry time at which no server can take the request. */
START_TEST(a_refusal_tells_when_a_cold_server_may_be_used)
{
	request_facts_t facts = prompt(7, 0, 10);
	pick_choice_t choice;

	set_all_cold(3000);
	choice = pick(&facts, false, NULL);
	ck_assert_uint_eq(choice.excluded[PICK_EXCLUDED_COLD], SERVERS);
	ck_assert_int_eq(choice.cold_wait_ms, 3000);
	own_cold_servers();
	send_until_refused(false);
	choice = pick(&facts, false, NULL);
	ck_assert_int_gt(choice.cold_wait_ms, 1000);
	ck_assert_int_le(choice.cold_wait_ms, 1100);
}
END_TEST

/*
 * Guards against a warm server that is not used, and a limit of servers that
 * have become warm.
 */
START_TEST(warm_servers_have_no_limit)
{
	server_t *warm = pool_servers(pool, "s")->pdata[2];
	request_facts_t facts = prompt(7, 0, 10);

	set_all_cold(3000);
	warm->reported_cold_until_ms = NOW_MS;
	for (int i = 0; i < 3 * COLD_PER_S; i++) {
		pick_choice_t choice = pick(&facts, false, NULL);

		ck_assert_ptr_eq(choice.server, warm);
		ck_assert(!choice.only_cold);
		cold_turns_count(&warm->cold_turns, NOW_MS);
	}
}
END_TEST

/*
 * Guards against less urgent requests that take the turns of urgent ones where
 * all servers are cold.
 */
START_TEST(urgent_requests_go_first_where_all_servers_are_cold)
{
	request_facts_t facts = prompt(7, 0, 10);
	pick_choice_t choice;

	set_all_cold(3000);
	own_cold_servers();
	for (int i = 0; i < SERVERS * COLD_PER_S; i++)
		cold_limit_count_urgent(cold_limit, "s", NOW_MS);
	choice = pick(&facts, false, NULL);
	ck_assert_ptr_null(choice.server);
	ck_assert_int_le(choice.cold_wait_ms, 1000);
	ck_assert(pick(&facts, true, NULL).only_cold);
	ck_assert_uint_eq(send_until_refused(true), SERVERS * COLD_PER_S);
}
END_TEST

/* Sends a burst of prompts; returns how many the server gets. */
static unsigned
count_in_burst(const server_t *server)
{
	enum { PROMPTS = 100 };
	unsigned before = server->local_load.in_flight;

	for (uint64_t id = 1; id <= PROMPTS; id++) {
		request_facts_t facts = prompt(id, 0, 10);

		pick(&facts, false, NULL).server->local_load.in_flight++;
	}
	return server->local_load.in_flight - before;
}

/*
 * Guards against all nodes filling an engine at once when it becomes warm,
 * since it is idle, while the others have work.
 */
START_TEST(an_engine_that_becomes_warm_is_filled_gradually)
{
	server_t *server = pool_servers(pool, "s")->pdata[2];
	unsigned counts[3];

	engine.cold_start_ms = 3000;
	for (int i = 0; i < 3; i++) {
		for (int j = 0; j < SERVERS; j++) {
			server_t *other = pool_servers(pool, "s")->pdata[j];

			other->local_load.in_flight =
			    other == server ? 0 : BATCH / 2;
		}
		server->reported_cold_until_ms = NOW_MS - 1500 * i;
		counts[i] = count_in_burst(server);
	}
	engine.cold_start_ms = 0;
	ck_assert_uint_gt(counts[0], 0);
	ck_assert_uint_lt(counts[0], counts[1]);
	ck_assert_uint_lt(counts[1], counts[2]);
	ck_assert_uint_le(counts[0], BATCH * 3 / 4);
	ck_assert_uint_ge(counts[2], BATCH);
}
END_TEST

/*
 * Guards against a server that is chosen now for a request that is sent later,
 * when its turn may have passed.
 */
START_TEST(a_later_request_goes_to_warm_servers_only)
{
	request_facts_t facts = prompt(7, 0, 10);
	pick_query_t query = {
	    .facts = &facts,
	    .service = &engine,
	    .servers = pool_servers(pool, "s"),
	    .prefixes = prefixes,
	    .ttft_model = &ttft_model,
	    .zone = "z",
	    .evacuation = evacuation,
	    .cold_limit = cold_limit,
	    .warm_only = true,
	    .now_ms = NOW_MS,
	};

	own_cold_servers();
	ck_assert_ptr_nonnull(pick_server(&query).server);
	set_all_cold(3000);
	ck_assert_ptr_null(pick_server(&query).server);
}
END_TEST

/* An engine that reads one prompt at a time, at a constant rate. */
typedef struct engine_sim {
	double busy_until_ms;
	/* Numbers of requests within the objective, beyond it and refused. */
	unsigned on_time;
	unsigned late;
	unsigned refused;
} engine_sim_t;

/* Sends a prompt of TOKENS every interval_ms to an engine. */
static engine_sim_t
simulate_load(double interval_ms, bool sheds_load)
{
	enum { REQUESTS = 400, TOKENS = 10000, OBJECTIVE_MS = 800 };
	engine_sim_t sim = {0};

	for (int i = 0; i < REQUESTS; i++) {
		double now_ms = i * interval_ms;
		double queue_ms = MAX(sim.busy_until_ms - now_ms, 0);
		pick_choice_t choice = {
		    .expected_ms = ttft_model_predict_ms(
			&ttft_model, queue_ms * 100 + TOKENS)};

		if (sheds_load &&
		    pick_should_shed(&choice, OBJECTIVE_MS, 10000)) {
			sim.refused++;
			continue;
		}
		sim.busy_until_ms = now_ms + queue_ms + TOKENS * 0.01;
		if (queue_ms + TOKENS * 0.01 + 70 <= OBJECTIVE_MS)
			sim.on_time++;
		else
			sim.late++;
	}
	return sim;
}

/*
 * Guards against a queue that makes every response late: prompts arrive one
 * and a half times as fast as the engine reads them.
 */
START_TEST(shedding_keeps_requests_on_time_in_overload)
{
	engine_sim_t without_shedding = simulate_load(67, false);
	engine_sim_t with_shedding = simulate_load(67, true);

	ck_assert_uint_eq(without_shedding.refused, 0);
	ck_assert_uint_gt(with_shedding.on_time, 2 * without_shedding.on_time);
	ck_assert_uint_lt(with_shedding.late, without_shedding.late / 2);
}
END_TEST

/* Guards against refusals while the engine keeps up. */
START_TEST(load_within_capacity_is_not_shed)
{
	engine_sim_t result = simulate_load(105, true);

	ck_assert_uint_eq(result.refused, 0);
	ck_assert_uint_eq(result.late, 0);
}
END_TEST

/*
 * Guards against refusing long prompts at every load, as they exceed their
 * objective at an idle engine too.
 */
START_TEST(long_prompt_is_accepted_by_idle_engine)
{
	pick_choice_t idle = {.expected_ms = 1500, .unloaded_ms = 1500};
	pick_choice_t busy = {.expected_ms = 2500, .unloaded_ms = 1500};

	ck_assert(!pick_should_shed(&idle, 800, 10000));
	ck_assert(pick_should_shed(&busy, 800, 10000));
}
END_TEST

/* Guards against retry times at which the queue is still too long. */
START_TEST(shed_request_gets_a_retry_time)
{
	pick_choice_t choice = {.expected_ms = 3000, .unloaded_ms = 200};

	ck_assert(pick_should_shed(&choice, 800, 10000));
	ck_assert(!pick_should_shed(&choice, 0, 10000));
	ck_assert(pick_should_shed(&choice, 0, 2000));
	ck_assert_int_eq(pick_retry_after_ms(&choice, 800), 2600);
}
END_TEST

/* Guards against default estimates for an engine of another speed. */
START_TEST(ttft_model_fits_linear_times)
{
	ttft_model_t model = {0};

	for (int i = 0; i < 500; i++) {
		double tokens = (i * 37) % 20000;

		ttft_model_add(&model, tokens, 60 + tokens * 0.02);
	}
	ck_assert_double_le(ABS(ttft_model_predict_ms(&model, 10000) - 260), 5);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("pick");
	TCase *cases = tcase_create("pick");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, prompts_with_shared_segments_use_one_engine);
	tcase_add_test(cases, popular_segment_is_spread_under_load);
	tcase_add_test(cases, draining_and_unreachable_servers_are_not_picked);
	tcase_add_test(cases, tried_server_is_not_picked_again);
	tcase_add_test(cases, servers_in_other_regions_are_excluded);
	tcase_add_test(cases, urgent_estimate_counts_urgent_prompts_only);
	tcase_add_test(cases, urgent_requests_avoid_engines_with_long_prompts);
	tcase_add_test(cases, failing_server_is_not_picked);
	tcase_add_test(cases, shedding_keeps_requests_on_time_in_overload);
	tcase_add_test(cases, long_prompt_is_accepted_by_idle_engine);
	tcase_add_test(cases, load_within_capacity_is_not_shed);
	tcase_add_test(cases, shed_request_gets_a_retry_time);
	tcase_add_test(cases, ttft_model_fits_linear_times);
	tcase_add_test(cases, a_retry_follows_an_evacuation);
	tcase_add_test(cases, servers_of_an_evacuated_zone_are_not_picked);
	tcase_add_test(cases, cold_servers_get_their_turns_only);
	tcase_add_test(cases, a_refusal_tells_when_a_cold_server_may_be_used);
	tcase_add_test(cases, warm_servers_have_no_limit);
	tcase_add_test(
	    cases, urgent_requests_go_first_where_all_servers_are_cold);
	tcase_add_test(cases, an_engine_that_becomes_warm_is_filled_gradually);
	tcase_add_test(cases, a_later_request_goes_to_warm_servers_only);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
