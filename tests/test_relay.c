#include "relay.h"
#include "suite.h"

#include <check.h>
#include <string.h>

/* Changes that one node learns from another instead of the store. */

static const relay_state_t state = {.revision = 40, .confirmation_age_ms = 300};

static relay_log_t *
log_with(int first, int last, size_t length)
{
	relay_log_t *log = relay_log_new();
	char *value = g_strnfill(length, 'x');

	relay_log_reset(log, first - 1);
	for (int revision = first; revision <= last; revision++)
		relay_log_add(log, &(platform_item_t){.key = "servers/a",
				       .value = value,
				       .length = length,
				       .revision = revision});
	g_free(value);
	return log;
}

static relay_message_t
ask(const relay_log_t *log, int64_t since)
{
	relay_request_t question = {.after_revision = since, .sent_ms = 77};
	GByteArray *bytes = g_byte_array_new();
	relay_message_t message;

	relay_encode_request(&question, bytes);
	relay_decode((const char *)bytes->data, bytes->len, &message);
	ck_assert_int_eq(message.kind, RELAY_REQUEST);
	g_byte_array_set_size(bytes, 0);
	relay_encode_response(log, &message.request, &state, bytes);
	relay_decode((const char *)bytes->data, bytes->len, &message);
	ck_assert_int_eq(message.kind, RELAY_RESPONSE);
	ck_assert_int_eq(message.response.request_sent_ms, 77);
	g_byte_array_unref(bytes);
	return message;
}

/* Guards against changes that are lost or come twice on the way. */
START_TEST(an_answer_has_all_changes_after_the_revision)
{
	relay_log_t *log = log_with(31, 40, 10);
	relay_message_t message = ask(log, 35);
	const relay_response_t *answer = &message.response;

	ck_assert(!answer->changes_missing);
	ck_assert_uint_eq(answer->count, 5);
	ck_assert_int_eq(answer->items[0].revision, 36);
	ck_assert_int_eq(answer->revision, 40);
	ck_assert_int_eq(answer->confirmation_age_ms, 300);
	relay_message_clear(&message);
	relay_log_free(log);
}
END_TEST

/* Guards against taking a part of the changes for all of them. */
START_TEST(what_does_not_fit_proves_nothing)
{
	relay_log_t *log = log_with(31, 40, 3000);
	relay_message_t message = ask(log, 30);
	const relay_response_t *answer = &message.response;

	ck_assert(!answer->changes_missing);
	ck_assert_uint_ge(answer->count, 1);
	ck_assert_int_lt(answer->revision, 40);
	ck_assert_int_eq(
	    answer->items[answer->count - 1].revision, answer->revision);
	ck_assert_int_eq(answer->confirmation_age_ms, -1);
	relay_message_clear(&message);
	relay_log_free(log);
}
END_TEST

/* Guards against a transaction of which only one key arrives. */
START_TEST(changes_of_one_revision_stay_together)
{
	relay_log_t *log = log_with(31, 31, 10);
	char *value = g_strnfill(5000, 'x');
	relay_message_t message;

	for (int i = 0; i < 2; i++)
		relay_log_add(log, &(platform_item_t){.key = "k",
				       .value = value,
				       .length = 5000,
				       .revision = 40});
	message = ask(log, 30);
	ck_assert_uint_eq(message.response.count, 1);
	ck_assert_int_eq(message.response.revision, 39);
	relay_message_clear(&message);
	g_free(value);
	relay_log_free(log);
}
END_TEST

/* Guards against a follower that misses changes which are forgotten. */
START_TEST(forgotten_changes_are_a_gap)
{
	relay_log_t *log = log_with(31, 40, 10);
	relay_message_t message = ask(log, 29);

	ck_assert(message.response.changes_missing);
	ck_assert_int_eq(message.response.confirmation_age_ms, -1);
	relay_message_clear(&message);
	relay_log_free(log);
}
END_TEST

/* Guards against a change that never fits and holds up all later ones. */
START_TEST(a_change_that_is_too_large_is_a_gap)
{
	relay_log_t *log = log_with(40, 40, 20000);
	relay_message_t message = ask(log, 39);

	ck_assert(message.response.changes_missing);
	relay_message_clear(&message);
	relay_log_free(log);
}
END_TEST

/* Guards against a removal that arrives as an empty value. */
START_TEST(a_removal_stays_one)
{
	relay_log_t *log = relay_log_new();
	relay_message_t message;

	relay_log_reset(log, 39);
	relay_log_add(log,
	    &(platform_item_t){.key = "a", .revision = 40, .removed = true});
	message = ask(log, 39);
	ck_assert_uint_eq(message.response.count, 1);
	ck_assert(message.response.items[0].removed);
	ck_assert_ptr_null(message.response.items[0].value);
	relay_message_clear(&message);
	relay_log_free(log);
}
END_TEST

/*
 * Guards against following a node that has lost the store until a server that
 * leaves has to be left, two seconds after it said so.
 */
START_TEST(a_relay_that_lost_the_store_is_not_followed)
{
	enum { WATCH_MS = 1200, DRAIN_MS = 2000 };

	ck_assert(relay_is_current(WATCH_MS + 400, WATCH_MS));
	ck_assert(!relay_is_current(DRAIN_MS - 200, WATCH_MS));
}
END_TEST

/* Guards against a crash on datagrams that are cut or altered. */
START_TEST(altered_bytes_are_read_or_refused)
{
	relay_log_t *log = log_with(31, 40, 10);
	GByteArray *bytes = g_byte_array_new();
	GRand *random = g_rand_new_with_seed(3);

	for (int i = 0; i < 20000; i++) {
		relay_message_t message;
		size_t at;

		g_byte_array_set_size(bytes, 0);
		relay_encode_response(log,
		    &(relay_request_t){.after_revision = 30, .sent_ms = 1},
		    &state, bytes);
		at = (size_t)g_rand_int_range(random, 0, (gint)bytes->len);
		bytes->data[at] = (guint8)g_rand_int(random);
		relay_decode((const char *)bytes->data,
		    i % 2 == 0 ? bytes->len : at, &message);
		relay_message_clear(&message);
	}
	g_rand_free(random);
	g_byte_array_unref(bytes);
	relay_log_free(log);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay");
	TCase *cases = tcase_create("relay");

	tcase_add_test(cases, an_answer_has_all_changes_after_the_revision);
	tcase_add_test(cases, what_does_not_fit_proves_nothing);
	tcase_add_test(cases, changes_of_one_revision_stay_together);
	tcase_add_test(cases, forgotten_changes_are_a_gap);
	tcase_add_test(cases, a_change_that_is_too_large_is_a_gap);
	tcase_add_test(cases, a_removal_stays_one);
	tcase_add_test(cases, a_relay_that_lost_the_store_is_not_followed);
	tcase_add_test(cases, altered_bytes_are_read_or_refused);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
