#include "evidence.h"
#include "suite.h"

#include <check.h>

enum { ATTEMPTS = 4000, SEED = 5 };

/* Equal shares of attempts at both versions, with these mean latencies. */
static evidence_t *
evidence_with_latencies(double old_ms, double new_ms)
{
	evidence_t *evidence = evidence_new();
	GRand *random = g_rand_new_with_seed(SEED);

	for (int i = 0; i < ATTEMPTS; i++) {
		bool is_new = g_rand_boolean(random);
		double base_ms = is_new ? new_ms : old_ms;
		evidence_attempt_t attempt = {
		    .version =
			is_new ? EVIDENCE_NEW_VERSION : EVIDENCE_OLD_VERSION,
		    .new_version_share = 0.5,
		    .route = "/x",
		    .ok = true,
		    .latency_ms = g_rand_double_range(
			random, 0.8 * base_ms, 1.2 * base_ms)};

		evidence_add(evidence, &attempt);
	}
	g_rand_free(random);
	return evidence;
}

/*
 * Guards against reverting a version for latency differences that no user
 * notices; equal servers show such differences on a busy machine.
 */
START_TEST(latency_difference_of_few_ms_is_clear)
{
	evidence_t *evidence = evidence_with_latencies(1, 8);

	ck_assert_int_eq(
	    evidence_evaluate(evidence, NULL, NULL), EVIDENCE_CLEAR);
	ck_assert(!evidence_regression_suspected(evidence, NULL, NULL, NULL));
	evidence_free(evidence);
}
END_TEST

/* Guards against completing the rollout of a slow version. */
START_TEST(slow_version_is_bad)
{
	evidence_t *evidence = evidence_with_latencies(40, 160);

	ck_assert_int_eq(evidence_evaluate(evidence, NULL, NULL), EVIDENCE_BAD);
	evidence_free(evidence);
}
END_TEST

/*
 * Guards against a node that cannot see a slow version by its own few attempts
 * and counts those of its peers without their latencies.
 */
START_TEST(slow_version_is_suspected_from_a_peers_attempts)
{
	evidence_t *peer = evidence_with_latencies(40, 160);
	evidence_t *evidence = evidence_new(), *snapshot;
	json_t *json = evidence_to_json(peer);

	ck_assert(evidence_merge_json(evidence, json, NULL));
	ck_assert(evidence_regression_suspected(evidence, NULL, NULL, NULL));
	/* The same counts once more are no further attempts. */
	snapshot = evidence_copy(evidence);
	ck_assert(evidence_merge_json(evidence, json, json));
	ck_assert(
	    !evidence_regression_suspected(evidence, NULL, snapshot, NULL));
	json_decref(json);
	evidence_free(snapshot);
	evidence_free(peer);
	evidence_free(evidence);
}
END_TEST

/* Guards against a crash on altered latencies. */
START_TEST(malformed_latencies_are_rejected)
{
	const char *const latencies[] = {
	    "[-1, 2]", "[59, 1, 1]", "[0, -1]", "[0, 1.5]", "7"};
	evidence_t *evidence = evidence_with_latencies(40, 160);

	for (size_t i = 0; i < G_N_ELEMENTS(latencies); i++) {
		json_t *json = evidence_to_json(evidence);
		json_t *item = json_array_get(json, 0);

		json_array_set_new(item, json_array_size(item) - 1,
		    json_loads(latencies[i], JSON_DECODE_ANY, NULL));
		ck_assert(!evidence_merge_json(evidence, json, NULL));
		json_decref(json);
	}
	evidence_free(evidence);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("evidence");
	TCase *cases = tcase_create("evidence");

	tcase_add_test(cases, latency_difference_of_few_ms_is_clear);
	tcase_add_test(cases, slow_version_is_bad);
	tcase_add_test(cases, slow_version_is_suspected_from_a_peers_attempts);
	tcase_add_test(cases, malformed_latencies_are_rejected);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
