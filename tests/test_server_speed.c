#include "pick.h"
#include "service_times.h"
#include "suite.h"

#include <check.h>
#include <string.h>

enum {
	BATCH = 24,
	START_MS = 1000000,
	TOKENS_MIN = 500,
	TOKENS_RANGE = 7000, /* with the minimum 4,000 on average */
	QUEUE_MAX = 1024,
	SERVERS_MAX = 10,
	REFRESH_INTERVAL_MS = 100, /* of overdue prompts and factors */
	SEED = 7,
};

/* Of an engine of speed 1: a prompt of 4,000 tokens takes 100 ms. */
static const double prompt_ms = 20;
static const double token_ms = 0.02;

/* Guards against a server that one slow answer excludes. */
START_TEST(little_evidence_counts_little)
{
	server_speed_t speed = {0};

	ck_assert_double_eq(server_speed_factor(&speed), 1);
	server_speed_add(&speed, 1000, 100, START_MS);
	ck_assert_double_gt(server_speed_factor(&speed), 1.05);
	ck_assert_double_lt(server_speed_factor(&speed), 1.5);
	for (int i = 0; i < 300; i++)
		server_speed_add(&speed, 200, 100, START_MS + 10 * i);
	ck_assert_double_eq_tol(server_speed_factor(&speed), 2, 0.1);
}
END_TEST

/* Guards against a server that is avoided for good after it was slow. */
START_TEST(old_evidence_decays)
{
	server_speed_t speed = {0};

	for (int i = 0; i < 300; i++)
		server_speed_add(&speed, 300, 100, START_MS);
	server_speed_update(&speed, START_MS + 60000);
	ck_assert_double_lt(server_speed_factor(&speed), 1.2);
}
END_TEST

/* Guards against reports that return to their sender and add up. */
START_TEST(reports_of_peers_are_not_passed_on)
{
	server_speed_t speed = {0};
	speed_report_t report = {.factor = 2, .weight = 90};

	server_speed_add_report(&speed, &report);
	server_speed_update(&speed, START_MS);
	ck_assert_double_gt(server_speed_factor(&speed), 1.8);
	ck_assert_double_eq(server_speed_report(&speed, START_MS).weight, 0);
	server_speed_clear_reports(&speed);
	server_speed_update(&speed, START_MS);
	ck_assert_double_eq(server_speed_factor(&speed), 1);
}
END_TEST

/* Guards against one datagram that makes a server useless for good. */
START_TEST(reports_out_of_range_are_bounded)
{
	server_speed_t speed = {0};

	for (int i = 0; i < 300; i++)
		server_speed_add(&speed, 100, 100, START_MS);
	server_speed_add_report(
	    &speed, &(speed_report_t){.factor = 1e15, .weight = 1e15});
	server_speed_update(&speed, START_MS);
	ck_assert_double_lt(server_speed_factor(&speed), 5);
	server_speed_clear_reports(&speed);
	server_speed_add_report(
	    &speed, &(speed_report_t){.factor = -1, .weight = -5});
	server_speed_update(&speed, START_MS);
	ck_assert_double_eq_tol(server_speed_factor(&speed), 1, 0.001);
}
END_TEST

/* Guards against urgent prompts that are refused because others wait. */
START_TEST(kinds_of_prompts_are_kept_apart)
{
	ttft_model_t model = {0};
	service_speed_t speed = {0};

	for (int i = 0; i < 50; i++)
		service_speed_add(
		    &speed, SPEED_NOT_URGENT, &model, 3000, 400, START_MS + i);
	ck_assert_double_gt(service_speed_factor(&speed, SPEED_NOT_URGENT,
				&model, START_MS + 50),
	    3);
	ck_assert_double_eq(
	    service_speed_factor(&speed, SPEED_URGENT, &model, START_MS + 50),
	    1);
}
END_TEST

/*
 * Guards against an estimate that is wrong for a second when the model, which
 * learns from the same requests, replaces its defaults or catches up.
 */
START_TEST(factor_is_relative_to_the_current_model)
{
	service_times_t times = {0};
	double estimate_ms;

	for (int i = 0; i < 80; i++) {
		double tokens = 100 * (i % 50);

		service_times_add_prompt(&times, NULL, SPEED_URGENT, tokens,
		    150 + tokens * 0.05, START_MS + 30 * i);
		if (i < 30)
			continue;
		estimate_ms = ttft_model_predict_ms(&times.ttft_model, 2500) *
			      service_speed_factor(&times.speed, SPEED_URGENT,
				  &times.ttft_model, START_MS + 30 * i);
		ck_assert_double_eq_tol(estimate_ms, 275, 60);
	}
}
END_TEST

/*
 * Guards against estimates that stay low until the first of the late prompts is
 * answered, and against prompts in time that count as late.
 */
START_TEST(overdue_prompts_count_before_their_answer)
{
	enum { SERVERS = 4, PROMPTS = 3 };
	service_times_t times = {0};
	int64_t now = START_MS;

	for (int i = 0; i < 60; i++, now += 30)
		service_times_add_prompt(
		    &times, NULL, SPEED_URGENT, 3000, 100, now);
	for (double waited_ms = 50; waited_ms < 600; waited_ms += 450) {
		server_speed_t servers[SERVERS] = {0};

		service_speed_clear_overdue(&times.speed);
		for (int i = 0; i < SERVERS * PROMPTS; i++)
			service_speed_add_waiting(&times.speed, SPEED_URGENT,
			    &times.ttft_model, &servers[i % SERVERS], 3000,
			    waited_ms, now);
		if (waited_ms < 100)
			ck_assert_double_eq_tol(
			    service_speed_factor(&times.speed, SPEED_URGENT,
				&times.ttft_model, now),
			    1, 0.001);
	}
	ck_assert_double_gt(service_speed_factor(&times.speed, SPEED_URGENT,
				&times.ttft_model, now),
	    2);
}
END_TEST

/* Guards against refusals at all servers because one of them hangs. */
START_TEST(hanging_server_does_not_slow_down_the_estimates_of_others)
{
	service_times_t times = {0};
	server_speed_t hanging = {0};
	int64_t now = START_MS;

	for (int i = 0; i < 60; i++, now += 30)
		service_times_add_prompt(
		    &times, NULL, SPEED_URGENT, 3000, 100, now);
	service_speed_clear_overdue(&times.speed);
	for (int i = 0; i < 20; i++)
		service_speed_add_waiting(&times.speed, SPEED_URGENT,
		    &times.ttft_model, &hanging, 3000, 3000, now);
	ck_assert_double_lt(service_speed_factor(&times.speed, SPEED_URGENT,
				&times.ttft_model, now),
	    1.6);
}
END_TEST

/* Guards against a log line for each small change. */
START_TEST(slow_service_is_reported_once)
{
	static const double factors[] = {1.4, 1.6, 1.4, 1.6, 1.3, 1.1, 1.3};
	service_times_t times = {0};
	unsigned changes = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(factors); i++)
		changes +=
		    service_times_update_slow(&times, SPEED_URGENT, factors[i]);
	ck_assert_uint_eq(changes, 2);
	ck_assert(!times.slow[SPEED_URGENT]);
}
END_TEST

/* An engine that reads one prompt after the other. */
typedef struct engine {
	double speed;
	server_t *server;
	struct prompt {
		int64_t sent_ms;
		double tokens;
		double prefill_tokens; /* including those before it */
		double remaining_ms;   /* at speed 1 */
		double estimate_ms;
		bool of_peer; /* sent by another node */
	} queue[QUEUE_MAX];
	unsigned first, count; /* in the queue */
	unsigned requests;     /* since the last reset */
} engine_t;

/* A node and the engines of a service. */
static struct sim {
	GRand *random;
	int64_t now_ms;
	double requests_per_s;
	double peer_requests_per_s;
	bool accepts_all; /* no prompt is refused */
	unsigned server_count;
	pool_t *pool;
	prefix_cache_t *prefixes;
	service_times_t times;
	engine_t engines[SERVERS_MAX];
	int64_t reset_ms; /* of the sums */
	/* Of the prompts that were sent since then, and their answers. */
	double answer_ms_sum;
	double estimate_ms_sum;
	unsigned answers;
} sim;

static void
put_server(unsigned index, int64_t started_ms)
{
	server_info_t *info = g_new0(server_info_t, 1);

	info->id = g_strdup_printf("i-%u", index);
	info->service = g_strdup("s");
	info->address = g_strdup("127.0.0.1:9");
	info->zone = g_strdup("z");
	info->version = g_strdup("v1");
	info->slots = BATCH;
	info->shutdown_in_ms = -1;
	info->started_ms = started_ms;
	pool_put(sim.pool, info, START_MS);
}

static void
setup(void)
{
	memset(&sim, 0, sizeof(sim));
	sim.random = g_rand_new_with_seed(SEED);
	sim.now_ms = START_MS;
	sim.pool = pool_new(uv_default_loop(), 2000);
	sim.prefixes = prefix_cache_new();
}

static void
teardown(void)
{
	prefix_cache_free(sim.prefixes);
	pool_free(sim.pool);
	g_rand_free(sim.random);
}

static void
add_engine(double speed)
{
	engine_t *engine = &sim.engines[sim.server_count];

	put_server(sim.server_count, 1);
	engine->speed = speed;
	engine->server = pool_servers(sim.pool, "s")->pdata[sim.server_count++];
}

static engine_t *
engine_of(const server_t *server)
{
	for (unsigned i = 0; i < sim.server_count; i++)
		if (sim.engines[i].server == server)
			return &sim.engines[i];
	return NULL;
}

static pick_choice_t
pick(unsigned tokens)
{
	static const catalog_service_t service = {
	    .name = "s", .is_engine = true, .batch_size = BATCH};
	request_facts_t facts = {.has_tokens = true, .tokens_in = tokens};
	pick_query_t query = {
	    .facts = &facts,
	    .service = &service,
	    .servers = pool_servers(sim.pool, "s"),
	    .prefixes = sim.prefixes,
	    .ttft_model = &sim.times.ttft_model,
	    .service_factor = service_speed_factor(&sim.times.speed,
		SPEED_NOT_URGENT, &sim.times.ttft_model, sim.now_ms),
	    .zone = "z",
	    .now_ms = sim.now_ms,
	    .random = g_rand_int(sim.random),
	};

	return pick_server(&query);
}

static void
send_prompt(void)
{
	enum { OBJECTIVE_MS = 800, DEADLINE_MS = 10000 };
	unsigned tokens = TOKENS_MIN + (unsigned)g_rand_int_range(
					   sim.random, 0, TOKENS_RANGE);
	pick_choice_t choice = pick(tokens);
	engine_t *engine = engine_of(choice.server);

	if (!sim.accepts_all &&
	    pick_should_shed(&choice, OBJECTIVE_MS, DEADLINE_MS))
		return;
	ck_assert_uint_lt(engine->count, QUEUE_MAX);
	engine->queue[(engine->first + engine->count++) % QUEUE_MAX] =
	    (struct prompt){.sent_ms = sim.now_ms,
		.tokens = tokens,
		.prefill_tokens = choice.prefill_tokens,
		.estimate_ms = choice.expected_ms,
		.remaining_ms = prompt_ms + token_ms * tokens};
	engine->requests++;
	choice.server->local_load.in_flight++;
	choice.server->local_load.prefill_tokens += tokens;
}

static void
answer(engine_t *engine)
{
	const struct prompt *prompt = &engine->queue[engine->first];
	double ttft_ms = (double)(sim.now_ms - prompt->sent_ms);

	engine->first = (engine->first + 1) % QUEUE_MAX;
	engine->count--;
	if (prompt->of_peer)
		return;
	engine->server->local_load.in_flight--;
	engine->server->local_load.prefill_tokens -= prompt->tokens;
	service_times_add_prompt(&sim.times, &engine->server->speed,
	    SPEED_NOT_URGENT, prompt->prefill_tokens, ttft_ms, sim.now_ms);
	if (prompt->sent_ms >= sim.reset_ms) {
		sim.answer_ms_sum += ttft_ms;
		sim.estimate_ms_sum += prompt->estimate_ms;
		sim.answers++;
	}
}

/* The work of an engine in a millisecond. */
static void
run_engine(engine_t *engine)
{
	double left_ms = engine->speed;

	while (engine->count > 0 && left_ms > 0) {
		struct prompt *prompt = &engine->queue[engine->first];
		double work_ms = MIN(left_ms, prompt->remaining_ms);

		prompt->remaining_ms -= work_ms;
		left_ms -= work_ms;
		if (prompt->remaining_ms <= 0)
			answer(engine);
	}
}

/* Until an engine has read all prompts that it has. */
static double
wait_ms(const engine_t *engine)
{
	double sum = 0;

	for (unsigned k = 0; k < engine->count; k++)
		sum +=
		    engine->queue[(engine->first + k) % QUEUE_MAX].remaining_ms;
	return sum / engine->speed;
}

/* Another node sends a prompt, of which this one does not know. */
static void
send_prompt_of_peer(void)
{
	engine_t *best = NULL;
	unsigned tokens = TOKENS_MIN + (unsigned)g_rand_int_range(
					   sim.random, 0, TOKENS_RANGE);

	for (unsigned i = 0; i < sim.server_count; i++) {
		engine_t *engine = &sim.engines[i];

		if (!engine->server->info->draining &&
		    (best == NULL || wait_ms(engine) < wait_ms(best)))
			best = engine;
	}
	ck_assert(best != NULL && best->count < QUEUE_MAX);
	best->queue[(best->first + best->count++) % QUEUE_MAX] =
	    (struct prompt){
		.remaining_ms = prompt_ms + token_ms * tokens, .of_peer = true};
}

static void
refresh(void)
{
	service_speed_clear_overdue(&sim.times.speed);
	for (unsigned i = 0; i < sim.server_count; i++) {
		engine_t *engine = &sim.engines[i];

		server_speed_update(&engine->server->speed, sim.now_ms);
		for (unsigned k = 0; k < engine->count; k++) {
			const struct prompt *prompt =
			    &engine->queue[(engine->first + k) % QUEUE_MAX];

			if (prompt->of_peer)
				continue;
			service_speed_add_waiting(&sim.times.speed,
			    SPEED_NOT_URGENT, &sim.times.ttft_model,
			    &engine->server->speed, prompt->prefill_tokens,
			    (double)(sim.now_ms - prompt->sent_ms), sim.now_ms);
		}
	}
}

static void
run(int64_t duration_ms)
{
	for (int64_t end = sim.now_ms + duration_ms; sim.now_ms < end;
	     sim.now_ms++) {
		if (g_rand_double(sim.random) < sim.requests_per_s / 1000)
			send_prompt();
		if (g_rand_double(sim.random) < sim.peer_requests_per_s / 1000)
			send_prompt_of_peer();
		for (unsigned i = 0; i < sim.server_count; i++)
			run_engine(&sim.engines[i]);
		if (sim.now_ms % REFRESH_INTERVAL_MS == 0)
			refresh();
	}
}

static void
reset_counts(void)
{
	for (unsigned i = 0; i < sim.server_count; i++)
		sim.engines[i].requests = 0;
	sim.answers = 0;
	sim.answer_ms_sum = 0;
	sim.estimate_ms_sum = 0;
	sim.reset_ms = sim.now_ms;
}

static double
share_of(const engine_t *engine)
{
	unsigned sum = 0;

	for (unsigned i = 0; i < sim.server_count; i++)
		sum += sim.engines[i].requests;
	return (double)engine->requests / sum;
}

/*
 * Guards against slow servers that are filled like fast ones, so that every
 * prompt there is late.
 */
START_TEST(work_is_spread_by_speed)
{
	static const double speeds[] = {0.7, 0.7, 1.7};
	double sum = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(speeds); i++) {
		add_engine(speeds[i]);
		sum += speeds[i];
	}
	sim.requests_per_s = 15;
	run(20000);
	reset_counts();
	run(30000);
	for (size_t i = 0; i < 2; i++)
		ck_assert_double_lt(
		    share_of(&sim.engines[i]), 1.1 * speeds[i] / sum);
	/* The slow ones get no prompt for which they need longer. */
	for (unsigned i = 0; i < sim.server_count; i++)
		sim.engines[i].server->local_load.prefill_tokens =
		    i == 2 ? 20000 : 12000;
	ck_assert_ptr_eq(pick(4000).server, sim.engines[2].server);
}
END_TEST

/*
 * Guards against a server that is left idle after a slow spell: 600 ms at 0.4
 * of its speed in every 4 s.
 */
START_TEST(short_slow_spells_do_not_exclude_a_server)
{
	enum {
		SPELLS = 20,
		SPELL_MS = 600,
		RECOVERY_MS = 1000,
		REST_MS = 2400
	};
	unsigned requests = 0, requests_of_all = 0;

	for (int i = 0; i < 3; i++)
		add_engine(1);
	sim.requests_per_s = 25;
	run(10000);
	for (int i = 0; i < SPELLS; i++) {
		sim.engines[0].speed = 0.4;
		run(SPELL_MS);
		sim.engines[0].speed = 1;
		run(RECOVERY_MS);
		reset_counts();
		run(REST_MS);
		requests += sim.engines[0].requests;
		for (int k = 0; k < 3; k++)
			requests_of_all += sim.engines[k].requests;
	}
	/* An equal share is a third. */
	ck_assert_double_gt((double)requests / requests_of_all, 0.25);
}
END_TEST

/* Sum of the answers' times, relative to that of their estimates. */
static double
answers_to_estimates(int64_t duration_ms)
{
	reset_counts();
	run(duration_ms);
	sim.requests_per_s = 0;
	run(10000); /* until all of them are answered */
	return sim.answer_ms_sum / sim.estimate_ms_sum;
}

static void
start_overload(void)
{
	enum { ENGINES = 6 };

	for (int i = 0; i < ENGINES; i++)
		add_engine(0.575);
	sim.requests_per_s = 27;
	run(20000);
	for (unsigned i = 0; i < ENGINES; i++)
		sim.engines[i].speed /= 2.5;
}

/*
 * Guards against ten seconds of prompts that are accepted and late, as the
 * model still knows the servers as they were before half of them were lost.
 * After a second two thirds of the difference, a factor of 2.5, must be known.
 */
START_TEST(estimate_follows_within_a_second_when_all_become_slower)
{
	start_overload();
	run(1000);
	ck_assert_double_lt(answers_to_estimates(1000), 1 + (2.5 - 1) / 3);
}
END_TEST

/* Of the prompts that the node would send from a second after the loss. */
static void
lose_half_of_the_engines(double *needed_ms, double *estimate_ms)
{
	enum { ENGINES = 10, PROBES = 10, PROBE_INTERVAL_MS = 100 };
	const unsigned tokens = 4000;

	for (int i = 0; i < ENGINES; i++)
		add_engine(1.4);
	sim.accepts_all = true;
	sim.requests_per_s = 30;
	sim.peer_requests_per_s = 90;
	run(20000);
	for (int i = 0; i < ENGINES / 2; i++)
		sim.engines[i].server->info->draining = true;
	run(1000);
	for (int i = 0; i < PROBES; i++) {
		pick_choice_t choice = pick(tokens);
		const engine_t *engine = engine_of(choice.server);

		*estimate_ms += choice.expected_ms;
		*needed_ms += wait_ms(engine) +
			      (prompt_ms + token_ms * tokens) / engine->speed;
		run(PROBE_INTERVAL_MS);
	}
}

/*
 * Guards against the same where this node does not know of the load that the
 * others add to the remaining servers: half of them are lost at 30 requests a
 * second here, and three times as many elsewhere. A single run varies by
 * chance.
 */
START_TEST(estimate_follows_within_a_second_when_half_are_lost)
{
	enum { RUNS = 8 };
	double needed_ms = 0, estimate_ms = 0;

	for (unsigned i = 0; i < RUNS; i++) {
		teardown();
		setup();
		g_rand_set_seed(sim.random, SEED + i);
		lose_half_of_the_engines(&needed_ms, &estimate_ms);
	}
	ck_assert_double_lt(needed_ms / estimate_ms, 1.5);
}
END_TEST

/* Guards against refusals that go on when the servers are fast again. */
START_TEST(estimate_follows_when_all_recover)
{
	start_overload();
	run(5000);
	for (unsigned i = 0; i < sim.server_count; i++)
		sim.engines[i].speed *= 2.5;
	run(3000);
	ck_assert_double_gt(answers_to_estimates(1000), 1 / 1.5);
}
END_TEST

/* Guards against the speed of a process that is gone. */
START_TEST(replaced_server_starts_anew)
{
	server_t *server;

	add_engine(0.5);
	server = server_ref(sim.engines[0].server);
	for (int i = 0; i < 100; i++)
		server_speed_add(&server->speed, 200, 100, START_MS);
	put_server(0, 1);
	ck_assert_double_gt(
	    server_speed_factor(&pool_find(sim.pool, server->tag)->speed), 1.5);
	put_server(0, 2);
	ck_assert_double_eq(
	    server_speed_factor(&pool_find(sim.pool, server->tag)->speed), 1);
	/* An answer of the old process arrives late. */
	server_speed_add(&server->speed, 200, 100, START_MS);
	ck_assert_double_eq(
	    server_speed_factor(&pool_find(sim.pool, server->tag)->speed), 1);
	server_unref(server);
}
END_TEST

static server_t *
pick_plain(void)
{
	request_facts_t facts = {0};
	pick_query_t query = {.facts = &facts,
	    .servers = pool_servers(sim.pool, "s"),
	    .prefixes = sim.prefixes,
	    .plain_model = &sim.times.plain_model,
	    .zone = "z",
	    .now_ms = START_MS,
	    .random = g_rand_int(sim.random)};

	return pick_server(&query).server;
}

/* Guards against slow plain servers that are filled to the same depth. */
START_TEST(plain_requests_are_spread_by_speed)
{
	static const double speeds[] = {0.7, 0.7, 1.7};

	for (size_t i = 0; i < G_N_ELEMENTS(speeds); i++)
		add_engine(speeds[i]);
	for (int i = 0; i < 900; i++)
		service_times_add_response(&sim.times,
		    &sim.engines[i % 3].server->speed, 2, BATCH,
		    50 / speeds[i % 3], START_MS + 10 * i);
	for (int i = 0; i < 2 * BATCH; i++)
		pick_plain()->local_load.in_flight++;
	for (int i = 0; i < 2; i++)
		ck_assert_uint_lt(
		    2 * sim.engines[i].server->local_load.in_flight,
		    sim.engines[2].server->local_load.in_flight);
}
END_TEST

/* Guards against a server that counts as slow because it has more requests. */
START_TEST(load_of_a_plain_server_is_not_its_speed)
{
	service_times_t times = {0};
	server_speed_t idle = {0}, busy = {0};

	for (int i = 0; i < 600; i++) {
		service_times_add_response(
		    &times, &idle, 2, BATCH, 50, START_MS + 20 * i);
		service_times_add_response(
		    &times, &busy, 22, BATCH, 90, START_MS + 20 * i);
		service_times_add_response(&times, &busy, 2 * BATCH, BATCH,
		    94 * (2 + 1.0 / BATCH), START_MS + 20 * i);
	}
	ck_assert_double_eq_tol(server_speed_factor(&idle), 1, 0.1);
	ck_assert_double_eq_tol(server_speed_factor(&busy), 1, 0.1);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("server_speed");
	TCase *cases = tcase_create("server_speed");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, little_evidence_counts_little);
	tcase_add_test(cases, old_evidence_decays);
	tcase_add_test(cases, reports_of_peers_are_not_passed_on);
	tcase_add_test(cases, reports_out_of_range_are_bounded);
	tcase_add_test(cases, kinds_of_prompts_are_kept_apart);
	tcase_add_test(cases, overdue_prompts_count_before_their_answer);
	tcase_add_test(cases, factor_is_relative_to_the_current_model);
	tcase_add_test(
	    cases, hanging_server_does_not_slow_down_the_estimates_of_others);
	tcase_add_test(cases, slow_service_is_reported_once);
	tcase_add_test(cases, work_is_spread_by_speed);
	tcase_add_test(cases, short_slow_spells_do_not_exclude_a_server);
	tcase_add_test(
	    cases, estimate_follows_within_a_second_when_all_become_slower);
	tcase_add_test(
	    cases, estimate_follows_within_a_second_when_half_are_lost);
	tcase_add_test(cases, estimate_follows_when_all_recover);
	tcase_add_test(cases, replaced_server_starts_anew);
	tcase_add_test(cases, plain_requests_are_spread_by_speed);
	tcase_add_test(cases, load_of_a_plain_server_is_not_its_speed);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
