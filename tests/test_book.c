#include "suite.h"
#include "support.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/*
 * Bookings against real processes. Whether something ran, and how often, is
 * what the service stand-in counts at GET /runs, never the system's own word.
 */

enum {
	NODES = 3,
	SERVICE_TIMEOUT_MS = 3000,
	STORM_CLIENTS = 6,
	STORM_KEYS = 40, /* per client */
	STORM_TRIES_MAX = 4000,
	ADDRESS_LENGTH = 64,
};

static program_t *store, *service, *nodes[NODES];

/* Addresses of the nodes, which change at a restart; for client threads. */
static GMutex address_lock;
static char addresses[NODES][ADDRESS_LENGTH];

static bool
is_applied(void *data)
{
	static const char *const headers[] = {
	    "Papaya-Workspace: depot", "Papaya-Timeout-Ms: none", NULL};
	test_request_t ask = {.target = data,
	    .path = "/v1/services/t1/pickup/ready",
	    .headers = headers};
	test_response_t *answer = test_request_send(&ask);
	bool known = answer->status == 400;

	test_response_free(answer);
	return known;
}

static void
node_begin(int index, int partitions)
{
	char name[8];

	g_snprintf(name, sizeof(name), "n%d", index);
	nodes[index] = papayad_start(name, "zone-a", store, "t1",
	    json_pack("{s:i,s:i}", "ledger_partitions", partitions, "seed",
		index + 1));
	g_mutex_lock(&address_lock);
	g_strlcpy(
	    addresses[index], nodes[index]->address, sizeof(addresses[index]));
	g_mutex_unlock(&address_lock);
}

static void
node_restart(int index)
{
	program_end(nodes[index], SIGKILL);
	node_begin(index, 1);
}

static json_t *
team_tree(void)
{
	json_t *pickup =
	    json_pack("{s:s,s:b,s:s,s:[s],s:i,s:{s:i,s:f},s:{s:i,s:i}}", "kind",
		"plain", "repeatable", 0, "current", "v1", "versions", "v1",
		"timeout_ms", SERVICE_TIMEOUT_MS, "slo", "answer_ms", 200,
		"target", 0.95, "limit", "in_flight", 64, "waiting", 64);
	json_t *backend = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "address",
	    service->address, "host", "host-1", "zone", "zone-a", "class", "a",
	    "service", "pickup", "version", "v1");

	return json_pack("{s:{s:o},s:{s:o},s:{s:{s:i,s:i,s:b}}}", "services",
	    "pickup", pickup, "backends", "one", backend, "workspaces", "depot",
	    "weight", 1, "priority", 1, "large", 0);
}

static void
start(void)
{
	store = program_start("standin-store", NULL);
	service = program_start("standin-service", NULL);
	for (int i = 0; i < NODES; i++)
		node_begin(i, 1);
	settings_put(nodes[0], "t1", team_tree());
	for (int i = 0; i < NODES; i++)
		wait_until(is_applied, nodes[i]);
}

/* One request for a key at one node; the client cuts it at timeout_ms. */
static test_response_t *
book_once(int index, const char *key, const char *body, long timeout_ms)
{
	char address[ADDRESS_LENGTH];
	char *header = g_strdup_printf("Idempotency-Key: %s", key);
	const char *const headers[] = {"Papaya-Workspace: depot",
	    "Content-Type: text/plain", header, NULL};
	program_t to = {.address = address};
	test_request_t ask = {.target = &to,
	    .path = "/v1/services/t1/pickup/book",
	    .headers = headers,
	    .body = body,
	    .timeout_ms = timeout_ms};
	test_response_t *answer;

	g_mutex_lock(&address_lock);
	g_strlcpy(address, addresses[index], sizeof(address));
	g_mutex_unlock(&address_lock);
	answer = test_request_send(&ask);
	g_free(header);
	return answer;
}

static int
runs_of(const char *key)
{
	test_request_t ask = {.target = service, .path = "/runs"};
	test_response_t *answer = test_request_send(&ask);
	json_t *runs = json_object_get(answer->json, "runs");
	int count;

	ck_assert_ptr_nonnull(runs);
	count = (int)json_integer_value(json_object_get(runs, key));
	test_response_free(answer);
	return count;
}

typedef enum verdict {
	VERDICT_ANSWERED,
	VERDICT_UNKNOWN, /* outcome_unknown */
	VERDICT_NOT_RUN,
	VERDICT_NONE, /* no or another response */
} verdict_t;

/* Takes an answer apart and checks that a response is the key's own. */
static verdict_t
verdict_of(test_response_t *answer, const char *key)
{
	const char *not_run = test_response_header(answer, "papaya-not-run");
	json_t *error = json_object_get(answer->json, "error");
	const char *kind = json_string_value(json_object_get(error, "kind"));
	verdict_t verdict = VERDICT_NONE;

	if (answer->complete && answer->status == 200) {
		ck_assert_str_eq(
		    json_string_value(json_object_get(answer->json, "key")),
		    key);
		ck_assert_str_eq(
		    json_string_value(json_object_get(answer->json, "echo")),
		    key);
		verdict = VERDICT_ANSWERED;
	} else if (answer->complete && not_run != NULL &&
		   strcmp(not_run, "true") == 0) {
		verdict = VERDICT_NOT_RUN;
	} else if (answer->complete && kind != NULL &&
		   strcmp(kind, "outcome_unknown") == 0) {
		verdict = VERDICT_UNKNOWN;
	}
	test_response_free(answer);
	return verdict;
}

/* A client that retries without pause, at the next node each time. */
typedef struct client {
	GThread *thread;
	const char *key;
	int first; /* node */
	int tries_max;
	long timeout_ms; /* per try */
	bool only_not_run;
	verdict_t verdict;
} client_t;

static gpointer
client_run(gpointer data)
{
	client_t *client = data;

	client->only_not_run = true;
	client->verdict = VERDICT_NONE;
	for (int i = 0; i < client->tries_max; i++) {
		client->verdict = verdict_of(
		    book_once((client->first + i) % NODES, client->key,
			client->key, client->timeout_ms),
		    client->key);
		client->only_not_run &= client->verdict == VERDICT_NOT_RUN;
		if (client->verdict == VERDICT_ANSWERED ||
		    client->verdict == VERDICT_UNKNOWN)
			break;
	}
	return NULL;
}

static void
client_start(client_t *client)
{
	client->thread = g_thread_new("client", client_run, client);
}

/* At most one run; exactly one if answered, none if always "not run". */
static void
check_runs(const char *key, const client_t *client)
{
	int runs = runs_of(key);

	ck_assert_msg(runs <= 1, "key %s ran %d times", key, runs);
	if (client->verdict == VERDICT_ANSWERED)
		ck_assert_msg(runs == 1, "key %s answered, not run", key);
	if (client->only_not_run)
		ck_assert_msg(runs == 0, "key %s ran, refused as not run", key);
}

typedef enum step {
	STEP_READING,  /* the partition */
	STEP_STARTING, /* the start's swap is out */
	STEP_SENT,     /* to the service, which has not run it */
	STEP_RAN,      /* the service has run it and holds its response */
	STEP_WRITING,  /* the outcome's swap is out */
	STEP_COUNT,
} step_t;

static bool
has_read(void *data)
{
	return metric_read(nodes[0], "ledger_reads_total") >= 1;
}

static bool
has_swap(void *data)
{
	return metric_read(nodes[0], "ledger_swaps_total") >= *(double *)data;
}

static bool
has_run(void *data)
{
	return runs_of(data) == 1;
}

static bool
has_started(void *data)
{
	return metric_read(nodes[0], "bookings_run_total") >= 1;
}

/* Brings a booking of key, sent by client at node 0, to a step. */
static void
reach(step_t step, client_t *client)
{
	double swaps = 1;

	if (step == STEP_READING)
		faults_set(store, "{\"delay_ms\": 400}");
	if (step == STEP_SENT)
		faults_set(service, "{\"delay_ms\": 400}");
	if (step == STEP_RAN || step == STEP_WRITING)
		faults_set(service, "{\"late_ms\": 400}");
	if (step == STEP_STARTING) {
		ck_assert_int_eq(
		    verdict_of(book_once(0, "warm", "warm", 0), "warm"),
		    VERDICT_ANSWERED);
		swaps = 3;
		faults_set(store, "{\"delay_ms\": 400}");
	}
	client_start(client);
	switch (step) {
	case STEP_READING:
		wait_until(has_read, NULL);
		break;
	case STEP_STARTING:
		wait_until(has_swap, &swaps);
		break;
	case STEP_SENT:
		wait_until(has_started, NULL);
		break;
	case STEP_RAN:
		wait_until(has_run, (void *)client->key);
		break;
	case STEP_WRITING:
		wait_until(has_run, (void *)client->key);
		faults_set(store, "{\"delay_ms\": 400}");
		swaps = 2;
		wait_until(has_swap, &swaps);
		break;
	default:
		break;
	}
}

static void
heal(void)
{
	faults_set(store,
	    "{\"delay_ms\": 0, \"lose_answers\": 0, \"down\": false,"
	    " \"stale_reads\": 0}");
	faults_set(service,
	    "{\"delay_ms\": 0, \"late_ms\": 0, \"close_after_run_rate\": 0,"
	    " \"cut_rate\": 0, \"cross_rate\": 0}");
}

/* After the fault a patient client must get a final response. */
static void
check_final(client_t *client, bool must_answer)
{
	client_t last = {.key = client->key, .first = 1, .tries_max = 20};

	check_runs(client->key, client);
	client_run(&last);
	ck_assert_msg(last.verdict == VERDICT_ANSWERED ||
			  (!must_answer && last.verdict == VERDICT_UNKNOWN),
	    "key %s ended with verdict %d", client->key, last.verdict);
	last.only_not_run = false;
	check_runs(client->key, &last);
}

/* Guards against a second run after an entry node was killed at any step. */
START_TEST(killed_node_runs_nothing_twice)
{
	client_t client = {.key = "killed", .tries_max = 1};

	start();
	reach((step_t)_i, &client);
	node_restart(0);
	heal();
	g_thread_join(client.thread);
	wait_until(is_applied, nodes[0]);
	/* Only a start that may have been sent has no known outcome. */
	check_final(&client, _i == STEP_READING);
	programs_end();
}
END_TEST

/* Guards against a paused node that runs, after it goes on, a second time. */
START_TEST(paused_node_runs_nothing_twice)
{
	client_t client = {.key = "paused", .tries_max = 1};
	client_t other = {
	    .key = "paused", .first = 1, .tries_max = 2, .timeout_ms = 300};

	start();
	reach((step_t)_i, &client);
	kill(nodes[0]->pid, SIGSTOP);
	heal();
	client_run(&other);
	kill(nodes[0]->pid, SIGCONT);
	g_thread_join(client.thread);
	check_runs(client.key, &other);
	check_final(&client, _i >= STEP_SENT);
	programs_end();
}
END_TEST

/* Guards against a second run when a client cuts its connection and retries. */
START_TEST(client_that_cuts_and_retries_runs_once)
{
	client_t client = {.key = "cut", .tries_max = 40, .timeout_ms = 30};

	start();
	reach((step_t)_i, &client);
	heal();
	g_thread_join(client.thread);
	check_final(&client, true);
	ck_assert_int_eq(runs_of("cut"), 1);
	programs_end();
}
END_TEST

/*
 * Guards against a resend after the service ran and its response was lost, and
 * against the response of another request.
 */
START_TEST(lost_response_is_an_unknown_outcome)
{
	static const char *const faults[] = {"{\"close_after_run_rate\": 1}",
	    "{\"cut_rate\": 1}", "{\"cross_rate\": 1}"};
	client_t client = {.key = "lost", .tries_max = 1};

	start();
	ck_assert_int_eq(verdict_of(book_once(0, "other", "other", 0), "other"),
	    VERDICT_ANSWERED);
	faults_set(service, faults[_i]);
	client_run(&client);
	ck_assert_int_eq(client.verdict, VERDICT_UNKNOWN);
	heal();
	client.first = 1;
	client_run(&client);
	ck_assert_int_eq(client.verdict, VERDICT_UNKNOWN);
	ck_assert_int_eq(runs_of("lost"), 1);
	programs_end();
}
END_TEST

/* Guards against a run without a store, and a start left behind by an outage.
 */
START_TEST(store_outage_refuses_and_recovers)
{
	client_t client = {.key = "outage", .tries_max = 3};

	start();
	faults_set(store, "{\"down\": true}");
	client_run(&client);
	ck_assert_int_eq(client.verdict, VERDICT_NOT_RUN);
	ck_assert_int_eq(runs_of("outage"), 0);
	heal();
	check_final(&client, true);
	/* The starts may have been written, though all answers are lost. */
	faults_set(store, "{\"lose_answers\": 1}");
	client = (client_t){.key = "loss", .tries_max = 3};
	client_run(&client);
	heal();
	check_final(&client, true);
	ck_assert_int_eq(runs_of("loss"), 1);
	programs_end();
}
END_TEST

/* Guards against a large response that is lost or altered for a retry. */
START_TEST(large_response_is_the_same_at_each_retry)
{
	char *body = g_strnfill(100000, 'x');
	test_response_t *first, *second;

	start();
	first = book_once(0, "large", body, 0);
	second = book_once(1, "large", body, 0);
	ck_assert_int_eq(first->status, 200);
	ck_assert_int_eq(second->status, 200);
	ck_assert_str_eq(first->body->str, second->body->str);
	ck_assert_str_eq(
	    test_response_header(second, "content-type"), "application/json");
	ck_assert_int_eq(runs_of("large"), 1);
	test_response_free(first);
	test_response_free(second);
	second = book_once(2, "large", "other", 0);
	ck_assert_int_eq(second->status, 422);
	test_response_free(second);
	g_free(body);
	programs_end();
}
END_TEST

/* Guards against an unreachable backend server that uses up the key. */
START_TEST(unsent_request_can_be_tried_again)
{
	client_t client = {.key = "unsent", .tries_max = 1};
	char *address;

	start();
	address = g_strdup(service->address);
	program_end(service, SIGKILL);
	client_run(&client);
	ck_assert_int_eq(client.verdict, VERDICT_NOT_RUN);
	service = program_start(
	    "standin-service", "--port", strchr(address, ':') + 1, NULL);
	check_final(&client, true);
	g_free(address);
	programs_end();
}
END_TEST

/* Guards against a planned stop that interrupts a booking at any step. */
START_TEST(planned_stop_finishes_bookings)
{
	client_t client = {.key = "stop", .tries_max = 1};
	client_t retry = {.key = "stop", .first = 1, .tries_max = 1};

	start();
	reach((step_t)_i, &client);
	ck_assert_int_eq(program_end(nodes[0], SIGTERM), 0);
	g_thread_join(client.thread);
	ck_assert_int_eq(client.verdict, VERDICT_ANSWERED);
	heal();
	client_run(&retry);
	ck_assert_int_eq(retry.verdict, VERDICT_ANSWERED);
	check_runs("stop", &retry);
	programs_end();
}
END_TEST

/* Guards against a node that looks for a key's record in another partition. */
START_TEST(node_with_other_partitions_runs_nothing)
{
	client_t client = {.key = "other", .tries_max = 1};

	start();
	ck_assert_int_eq(verdict_of(book_once(0, "first", "first", 0), "first"),
	    VERDICT_ANSWERED);
	program_end(nodes[0], SIGKILL);
	node_begin(0, 2);
	wait_until(is_applied, nodes[0]);
	client_run(&client);
	ck_assert_int_eq(client.verdict, VERDICT_NOT_RUN);
	check_runs("other", &client);
	programs_end();
}
END_TEST

/* One client of the storm: its keys one after the other. */
typedef struct storm {
	GThread *thread;
	int index;
	client_t clients[STORM_KEYS];
	char keys[STORM_KEYS][16];
} storm_t;

static gint storm_running;

static gpointer
storm_run(gpointer data)
{
	storm_t *storm = data;

	for (int i = 0; i < STORM_KEYS; i++) {
		client_t *client = &storm->clients[i];

		g_snprintf(storm->keys[i], sizeof(storm->keys[i]), "s%d-%d",
		    storm->index, i);
		client->key = storm->keys[i];
		client->first = (storm->index + i) % NODES;
		client->tries_max = STORM_TRIES_MAX;
		client->timeout_ms = i % 3 == 0 ? 50 : 0;
		client_run(client);
	}
	g_atomic_int_add(&storm_running, -1);
	return NULL;
}

/* The next fault of the storm; a fixed sequence. */
static void
storm_fault(unsigned round)
{
	static const char *const faults[] = {"{\"lose_answers\": 0.4}",
	    "{\"down\": true}", "{\"delay_ms\": 30, \"stale_reads\": 0.4}",
	    "{\"lose_answers\": 0.2, \"stale_reads\": 0.2}"};
	int index = (int)(round / 3 % NODES);

	faults_set(store, faults[round % G_N_ELEMENTS(faults)]);
	if (round % 3 == 0)
		faults_set(service, "{\"close_after_run_rate\": 0.2}");
	if (round % 3 == 1)
		kill(nodes[index]->pid, SIGSTOP);
	if (round % 3 == 2)
		node_restart(index);
	g_usleep(100 * 1000); /* the length of the fault */
	kill(nodes[index]->pid, SIGCONT);
	heal();
	g_usleep(50 * 1000);
}

/* Guards against a second run in any mixture of faults and retries. */
START_TEST(storm_runs_nothing_twice)
{
	storm_t storms[STORM_CLIENTS] = {0};
	int answered = 0, unknown = 0;

	start();
	storm_running = STORM_CLIENTS;
	for (int i = 0; i < STORM_CLIENTS; i++) {
		storms[i].index = i;
		storms[i].thread = g_thread_new("storm", storm_run, &storms[i]);
	}
	for (unsigned round = 0; g_atomic_int_get(&storm_running) > 0; round++)
		storm_fault(round);
	for (int i = 0; i < STORM_CLIENTS; i++) {
		g_thread_join(storms[i].thread);
		for (int j = 0; j < STORM_KEYS; j++) {
			const client_t *client = &storms[i].clients[j];

			check_runs(client->key, client);
			answered += client->verdict == VERDICT_ANSWERED;
			unknown += client->verdict == VERDICT_UNKNOWN;
		}
	}
	ck_assert_int_eq(answered + unknown, STORM_CLIENTS * STORM_KEYS);
	ck_assert_int_ge(answered, STORM_CLIENTS * STORM_KEYS / 2);
	g_print("storm: %d answered, %d unknown\n", answered, unknown);
	programs_end();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("book");
	TCase *tests = tcase_create("book");

	tcase_set_timeout(tests, 100);
	tcase_add_checked_fixture(tests, NULL, programs_end);
	tcase_add_loop_test(
	    tests, killed_node_runs_nothing_twice, 0, STEP_COUNT);
	tcase_add_loop_test(
	    tests, paused_node_runs_nothing_twice, 0, STEP_COUNT);
	tcase_add_loop_test(
	    tests, client_that_cuts_and_retries_runs_once, 0, STEP_COUNT);
	tcase_add_loop_test(tests, lost_response_is_an_unknown_outcome, 0, 3);
	tcase_add_loop_test(
	    tests, planned_stop_finishes_bookings, 0, STEP_COUNT);
	tcase_add_test(tests, store_outage_refuses_and_recovers);
	tcase_add_test(tests, large_response_is_the_same_at_each_retry);
	tcase_add_test(tests, unsent_request_can_be_tried_again);
	tcase_add_test(tests, node_with_other_partitions_runs_nothing);
	tcase_add_test(tests, storm_runs_nothing_twice);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
