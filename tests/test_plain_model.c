#include "plain_model.h"
#include "suite.h"

#include <check.h>
#include <glib.h>

enum { SLOTS = 20, RESPONSES = 600 };

/* Responses that take base_ms and slope_ms more with all slots in use. */
static plain_model_t
learned_model(double base_ms, double slope_ms)
{
	plain_model_t model = {0};

	for (unsigned i = 0; i < RESPONSES; i++) {
		unsigned running = i * 7 % SLOTS;

		plain_model_add(&model, running, SLOTS,
		    base_ms + slope_ms * running / SLOTS);
	}
	return model;
}

/* Guards against an estimate for another number of requests in progress. */
START_TEST(model_fits_time_to_the_slots_in_use)
{
	plain_model_t model = learned_model(40, 60);

	ck_assert_double_eq_tol(
	    plain_model_predict_ms(&model, 0, SLOTS), 40, 2);
	ck_assert_double_eq_tol(
	    plain_model_predict_ms(&model, SLOTS / 2, SLOTS), 70, 2);
}
END_TEST

/* Guards against estimates that ignore the wait for a slot. */
START_TEST(requests_beyond_the_slots_wait)
{
	plain_model_t model = learned_model(40, 0);

	ck_assert_double_eq_tol(
	    plain_model_predict_ms(&model, SLOTS - 1, SLOTS), 40, 2);
	ck_assert_double_ge(
	    plain_model_predict_ms(&model, 2 * SLOTS, SLOTS), 80);
}
END_TEST

/*
 * Guards against servers that are preferred for being full: fast servers have
 * more requests in progress than slow ones.
 */
START_TEST(more_requests_never_make_a_server_faster)
{
	plain_model_t model = learned_model(80, -60);

	ck_assert_double_ge(plain_model_predict_ms(&model, SLOTS - 1, SLOTS),
	    plain_model_predict_ms(&model, 0, SLOTS));
}
END_TEST

/* Guards against estimates of 0, infinity or no number. */
START_TEST(every_estimate_is_positive_and_finite)
{
	plain_model_t model = {0};
	static const unsigned slots[] = {0, 1, SLOTS};

	for (int i = 0; i < 50; i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(slots); k++) {
			double ms = plain_model_predict_ms(&model, 3, slots[k]);

			ck_assert_double_gt(ms, 0);
			ck_assert_double_lt(ms, 1e6);
			plain_model_add(&model, 3, slots[k], 0);
		}
	}
	ck_assert_double_gt(plain_model_predict_ms(NULL, 0, SLOTS), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("plain_model");
	TCase *cases = tcase_create("plain_model");

	tcase_add_test(cases, model_fits_time_to_the_slots_in_use);
	tcase_add_test(cases, requests_beyond_the_slots_wait);
	tcase_add_test(cases, more_requests_never_make_a_server_faster);
	tcase_add_test(cases, every_estimate_is_positive_and_finite);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
