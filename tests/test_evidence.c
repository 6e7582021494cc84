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
	ck_assert(!evidence_regression_suspected(evidence));
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

int
main(void)
{
	Suite *suite = suite_create("evidence");
	TCase *cases = tcase_create("evidence");

	tcase_add_test(cases, latency_difference_of_few_ms_is_clear);
	tcase_add_test(cases, slow_version_is_bad);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
