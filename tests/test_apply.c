#include "suite.h"
#include "support.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum {
	ROUNDS = 5,
	OPERATORS = 6,
};

static program_t *store, *nodes[2];

static void
start_pair(void)
{
	store = program_start("standin-store", NULL);
	nodes[0] = papayad_start("n0", "zone-a", store, "t1", NULL);
	nodes[1] = papayad_start("n1", "zone-a", store, "t1", NULL);
}

static void
stop_all(void)
{
	programs_end();
}

/* One apply, which may run in a thread of its own. */
typedef struct apply {
	const program_t *node;
	int64_t base;
	const char *author;
	const char *nonce; /* NULL: none */
	long status;
	int64_t revision; /* in the response */
	char *body;
} apply_t;

static gpointer
apply_run(gpointer data)
{
	apply_t *apply = data;
	char *match =
	    g_strdup_printf("If-Match: \"%" G_GINT64_FORMAT "\"", apply->base);
	const char *headers[] = {match, NULL};
	json_t *body = json_pack("{s:s,s:s,s:{s:{s:{s:I}}}}", "author",
	    apply->author, "message", "change", "tree", "workspaces", "w",
	    "weight", (json_int_t)apply->base + 1);
	test_request_t ask = {.method = "PUT",
	    .target = apply->node,
	    .path = "/v1/admin/settings/t1",
	    .headers = headers};
	test_response_t *answer;
	char *text;

	if (apply->nonce != NULL)
		json_object_set_new(body, "nonce", json_string(apply->nonce));
	text = json_dumps(body, 0);
	ask.body = text;
	answer = test_request_send(&ask);
	apply->status = answer->status;
	apply->body = g_strdup(answer->body->str);
	apply->revision =
	    json_integer_value(json_object_get(answer->json, "revision"));
	test_response_free(answer);
	json_decref(body);
	free(text);
	g_free(match);
	return NULL;
}

static void
apply_ok(const program_t *node, int64_t base, const char *nonce)
{
	apply_t apply = {
	    .node = node, .base = base, .author = "ann", .nonce = nonce};

	apply_run(&apply);
	ck_assert_msg(apply.status == 200, "%ld %s", apply.status, apply.body);
	ck_assert_int_eq(apply.revision, base + 1);
	g_free(apply.body);
}

/* Revision that a node shows; -1 where it has none. */
static int64_t
revision_at(const program_t *node)
{
	test_request_t ask = {.target = node, .path = "/v1/admin/settings/t1"};
	test_response_t *answer = test_request_send(&ask);
	int64_t revision = -1;

	if (answer->status == 200)
		revision = json_integer_value(
		    json_object_get(answer->json, "revision"));
	test_response_free(answer);
	return revision;
}

/* Every revision up to the present one is in the history exactly once. */
static void
check_history(const program_t *node, int64_t newest)
{
	test_response_t *answer = test_request_json(
	    node, "GET", "/v1/admin/settings/t1/history?limit=100", NULL, 200);
	const json_t *list = json_object_get(answer->json, "history");
	const json_t *entry;
	size_t i;

	ck_assert_int_eq((int64_t)json_array_size(list), newest);
	json_array_foreach (list, i, entry)
		ck_assert_int_eq(
		    json_integer_value(json_object_get(entry, "revision")),
		    newest - (int64_t)i);
	test_response_free(answer);
}

/* Guards against two operators who both get the same revision. */
START_TEST(concurrent_applies_give_one_conflict)
{
	static const char *const authors[] = {"ann", "bob"};

	start_pair();
	faults_set(store, "{\"delay_ms\": 20}");
	for (int64_t base = 0; base < ROUNDS; base++) {
		apply_t applies[2];
		GThread *threads[2];
		apply_t *won, *lost;

		for (int i = 0; i < 2; i++) {
			applies[i] = (apply_t){.node = nodes[i],
			    .base = base,
			    .author = authors[i]};
			threads[i] = g_thread_new(NULL, apply_run, &applies[i]);
		}
		for (int i = 0; i < 2; i++)
			g_thread_join(threads[i]);
		won = applies[0].status == 200 ? &applies[0] : &applies[1];
		lost = won == &applies[0] ? &applies[1] : &applies[0];
		ck_assert_int_eq(won->status, 200);
		ck_assert_int_eq(won->revision, base + 1);
		ck_assert_int_eq(lost->status, 409);
		ck_assert_ptr_nonnull(strstr(lost->body, "settings_conflict"));
		ck_assert_msg(strstr(lost->body, won->author) != NULL,
		    "the other author is not named: %s", lost->body);
		g_free(won->body);
		g_free(lost->body);
	}
	check_history(nodes[0], ROUNDS);
}
END_TEST

/*
 * Guards against an accepted apply that is lost, and a lost one that is
 * accepted, while the store loses responses and returns old values.
 */
START_TEST(each_accepted_apply_is_kept_under_store_faults)
{
	int64_t base = 0;

	start_pair();
	faults_set(store, "{\"lose_answers\": 0.4, \"stale_reads\": 0.3, "
			  "\"delay_ms\": 10, \"seed\": 5}");
	for (int round = 0; round < ROUNDS; round++) {
		apply_t applies[OPERATORS];
		GThread *threads[OPERATORS];
		int accepted = 0;

		for (int i = 0; i < OPERATORS; i++) {
			applies[i] = (apply_t){.node = nodes[i % 2],
			    .base = base,
			    .author = "ann"};
			threads[i] = g_thread_new(NULL, apply_run, &applies[i]);
		}
		for (int i = 0; i < OPERATORS; i++) {
			g_thread_join(threads[i]);
			accepted += applies[i].status == 200;
			ck_assert_msg(applies[i].status == 200 ||
					  applies[i].status == 409,
			    "%ld %s", applies[i].status, applies[i].body);
			g_free(applies[i].body);
		}
		ck_assert_int_eq(accepted, 1);
		base++;
	}
	faults_set(store, "{\"lose_answers\": 0, \"stale_reads\": 0}");
	check_history(nodes[1], base);
}
END_TEST

/* Step of an apply at which its node is killed. */
typedef struct step {
	const char *counter; /* shows that the step has begun */
	const char *faults;
} step_t;

static const step_t steps[] = {
    {"settings_apply_reads_total", "{\"delay_ms\": 150}"},
    {"settings_apply_archives_total", "{\"delay_ms\": 150}"},
    {"settings_apply_swaps_total", "{\"delay_ms\": 150}"},
    /* The swap has taken effect and the node tries to find that out. */
    {"settings_apply_reads_total", "{\"delay_ms\": 150, \"lose_answers\": 1}"},
};

typedef struct counted {
	const program_t *node;
	const char *counter;
	double least;
} counted_t;

static bool
is_counted(void *data)
{
	const counted_t *counted = data;

	return metric_read(counted->node, counted->counter) >= counted->least;
}

typedef struct shown {
	const program_t *node;
	int64_t revision;
} shown_t;

static bool
is_shown(void *data)
{
	const shown_t *shown = data;

	return revision_at(shown->node) == shown->revision;
}

/*
 * Guards against an apply that is half done, or done twice, when its node is
 * killed: the operator repeats it at another node.
 */
START_TEST(apply_survives_kill_of_its_node)
{
	const step_t *step = &steps[_i];
	bool resolving = strstr(step->faults, "lose_answers") != NULL;
	apply_t apply;
	GThread *thread;

	start_pair();
	apply_ok(nodes[0], 0, "first");
	apply_ok(nodes[0], 1, "second");
	faults_set(store, step->faults);
	apply = (apply_t){
	    .node = nodes[0], .base = 2, .author = "ann", .nonce = "third"};
	thread = g_thread_new(NULL, apply_run, &apply);
	/* Two earlier applies did each step once, the first no archive. */
	wait_until(is_counted, &(counted_t){nodes[0], step->counter,
				   strstr(step->counter, "archives") != NULL ? 2
				   : resolving				     ? 5
					       : 3});
	ck_assert_int_eq(program_end(nodes[0], SIGKILL), 128 + SIGKILL);
	g_thread_join(thread);
	ck_assert_int_eq(apply.status, 0);
	g_free(apply.body);
	apply_ok(nodes[1], 2, "third");
	apply_ok(nodes[1], 2, "third");
	faults_set(store, "{\"delay_ms\": 0, \"lose_answers\": 0}");
	nodes[0] = papayad_start("n0", "zone-a", store, "t1", NULL);
	wait_until(is_shown, &(shown_t){nodes[0], 3});
	apply_ok(nodes[0], 3, NULL);
	check_history(nodes[1], 4);
}
END_TEST

/* Guards against an apply that hangs, or claims more than it knows. */
START_TEST(apply_while_the_store_is_down_or_slow)
{
	apply_t apply;

	start_pair();
	apply_ok(nodes[0], 0, NULL);
	faults_set(store, "{\"down\": true}");
	apply = (apply_t){.node = nodes[0], .base = 1, .author = "ann"};
	apply_run(&apply);
	ck_assert_int_eq(apply.status, 503);
	ck_assert_ptr_nonnull(strstr(apply.body, "store_unavailable"));
	ck_assert_ptr_nonnull(strstr(apply.body, "\"not_run\":true"));
	g_free(apply.body);
	ck_assert_int_eq(revision_at(nodes[0]), 1);
	faults_set(store, "{\"down\": false, \"delay_ms\": 2600}");
	apply_run(&apply);
	ck_assert_int_eq(apply.status, 503);
	ck_assert_ptr_nonnull(strstr(apply.body, "\"not_run\":true"));
	g_free(apply.body);
	faults_set(store, "{\"delay_ms\": 700, \"lose_answers\": 1}");
	apply_ok(nodes[0], 1, NULL);
	faults_set(store, "{\"delay_ms\": 0, \"lose_answers\": 0}");
	wait_until(is_shown, &(shown_t){nodes[1], 2});
	check_history(nodes[1], 2);
}
END_TEST

/* Guards against a bad tree of which a part takes effect. */
START_TEST(bad_request_changes_nothing)
{
	static const struct {
		const char *match;
		const char *body;
		const char *part; /* of the message */
	} bad[] = {
	    {"If-Match: \"1\"",
		"{\"author\":\"a\",\"tree\":{\"workspaces\":{\"w\":{},"
		"\"x\":{\"weight\":0}}}}",
		"request: workspaces.x.weight: 0 "},
	    {"If-Match: 1", "{\"author\":\"a\",\"tree\":{}}", "If-Match"},
	    {"X: 1", "{\"author\":\"a\",\"tree\":{}}", "If-Match"},
	    {"If-Match: \"-1\"", "{\"author\":\"a\",\"tree\":{}}", "If-Match"},
	    {"If-Match: \"1\"", "{\"tree\":{}}", "request: author"},
	    {"If-Match: \"1\"", "{\"author\":\"a\"}", "request: tree"},
	    {"If-Match: \"1\"", "{\"author\":\"a\",\"tree\":{},\"x\":1}",
		"request: x: unknown field"},
	    {"If-Match: \"1\"", "{\"author\":", "request:1:"},
	    {"If-Match: \"1\"", "[]", "not an object"},
	};

	start_pair();
	apply_ok(nodes[0], 0, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		const char *headers[] = {bad[i].match, NULL};
		test_request_t ask = {.method = "PUT",
		    .target = nodes[0],
		    .path = "/v1/admin/settings/t1",
		    .headers = headers,
		    .body = bad[i].body};
		test_response_t *answer = test_request_send(&ask);

		ck_assert_int_eq(answer->status, 400);
		ck_assert_msg(strstr(answer->body->str, bad[i].part) != NULL,
		    "%s", answer->body->str);
		test_response_free(answer);
	}
	test_response_free(test_request_json(
	    nodes[0], "GET", "/v1/admin/settings/other", NULL, 404));
	test_response_free(test_request_json(
	    nodes[0], "DELETE", "/v1/admin/settings/t1", NULL, 400));
	ck_assert_int_eq(revision_at(nodes[0]), 1);
	check_history(nodes[0], 1);
}
END_TEST

/*
 * Guards against an apply that is repeated after a later one has replaced it,
 * and is then refused although it took effect, or accepted although not.
 */
START_TEST(repeated_apply_is_found_in_the_history)
{
	apply_t other = {.base = 0, .author = "bob", .nonce = "other"};

	start_pair();
	for (int64_t base = 0; base < 3; base++) {
		char *nonce = g_strdup_printf("n%d", (int)base);

		apply_ok(nodes[0], base, nonce);
		g_free(nonce);
	}
	faults_set(store, "{\"stale_reads\": 0.6}");
	other.node = nodes[0];
	for (int i = 0; i < ROUNDS; i++) {
		apply_ok(nodes[i % 2], 0, "n0");
		apply_run(&other);
		ck_assert_int_eq(other.status, 409);
		ck_assert_ptr_nonnull(strstr(other.body, "revision"));
		g_free(other.body);
	}
	faults_set(store, "{\"stale_reads\": 0}");
	check_history(nodes[0], 3);
}
END_TEST

static bool
is_joined(void *data)
{
	test_request_t ask = {.target = store, .path = "/v1/kv/node/n0"};
	test_response_t *answer = test_request_send(&ask);
	bool joined = answer->status == 200;

	test_response_free(answer);
	return joined;
}

/* Newest revision shown so far; fails where an older one is shown. */
typedef struct rising {
	const program_t *node;
	int64_t seen;
	int64_t wanted;
} rising_t;

static bool
has_risen(void *data)
{
	rising_t *rising = data;
	int64_t revision = revision_at(rising->node);

	ck_assert_msg(revision >= rising->seen,
	    "revision %" G_GINT64_FORMAT " after %" G_GINT64_FORMAT, revision,
	    rising->seen);
	rising->seen = revision;
	return revision == rising->wanted;
}

/*
 * Guards against a restarted node that serves nothing, or older settings,
 * while the store is out or returns old values.
 */
START_TEST(restarted_node_takes_the_newest_from_a_peer)
{
	rising_t rising = {.seen = -1, .wanted = 3};
	char *peer;

	start_pair();
	wait_until(is_joined, NULL);
	peer = node_peer_address(store, "n0");
	for (int64_t base = 0; base < 3; base++)
		apply_ok(nodes[0], base, NULL);
	faults_set(store, "{\"down\": true}");
	program_end(nodes[1], SIGKILL);
	nodes[1] = papayad_start(
	    "n1", "zone-a", store, "t1", json_pack("{s:[s]}", "peers", peer));
	rising.node = nodes[1];
	wait_until(has_risen, &rising);
	faults_set(store, "{\"down\": false, \"stale_reads\": 1}");
	for (int i = 0; i < 20; i++)
		ck_assert(has_risen(&rising));
	faults_set(store, "{\"stale_reads\": 0}");
	apply_ok(nodes[1], 3, NULL);
	g_free(peer);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("apply");
	TCase *tests = tcase_create("apply");

	tcase_set_timeout(tests, 0);
	tcase_add_checked_fixture(tests, NULL, stop_all);
	tcase_add_test(tests, concurrent_applies_give_one_conflict);
	tcase_add_test(tests, each_accepted_apply_is_kept_under_store_faults);
	tcase_add_loop_test(
	    tests, apply_survives_kill_of_its_node, 0, G_N_ELEMENTS(steps));
	tcase_add_test(tests, apply_while_the_store_is_down_or_slow);
	tcase_add_test(tests, bad_request_changes_nothing);
	tcase_add_test(tests, repeated_apply_is_found_in_the_history);
	tcase_add_test(tests, restarted_node_takes_the_newest_from_a_peer);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
