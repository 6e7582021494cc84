#include "crash_guard.h"
#include "suite.h"

#include <check.h>

/*
 * Pattern: requests of which one prompt segment crashes each server that begins
 * to write on it, among sound requests that are broken by the same crashes.
 */

enum {
	NOW_MS = 1000000,
	FLIGHT_MS = 300,   /* from sending a request to the crash */
	INTERVAL_MS = 800, /* from crash to crash */
	FIRST = 1,	   /* segment of all prompts */
	SUBJECT = 2,	   /* segment of sound prompts and the deadly ones */
	DEADLY = 3,
	OTHER = 4, /* a sound segment */
	OWN = 99,
	LOSER = 9,		  /* a process that loses a response */
	RESPONDS_MS = 300,	  /* after that */
	REGISTERED_MS = 4000,	  /* for a server that starts again */
	TRIAL_MS = 2 * 60 * 1000, /* from a crash to the first trial */
};

static crash_guard_t *guard;

static void
setup(void)
{
	guard = crash_guard_new();
}

static void
teardown(void)
{
	crash_guard_free(guard);
}

/* A prompt of the segments, 0 for none, and one of its own. */
static request_facts_t
prompt(uint64_t a, uint64_t b, uint64_t c)
{
	const uint64_t ids[] = {a, b, c, OWN};
	request_facts_t facts = {0};

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		if (ids[i] != 0)
			facts.segments[facts.segment_count++].id = ids[i];
	return facts;
}

static void
crash(crash_guard_t *at, const request_facts_t *facts, uint32_t process,
    int64_t sent_ms, int64_t crashed_ms)
{
	crash_guard_attempt_t attempt = {
	    .facts = facts, .process = process, .sent_ms = sent_ms};

	crash_guard_add_crash(at, &attempt, crashed_ms);
}

/* Crashes of several servers, one after the other; returns the last time. */
static int64_t
crash_series(crash_guard_t *at, const request_facts_t *facts, uint32_t servers)
{
	int64_t now_ms = NOW_MS;

	for (uint32_t i = 0; i < servers; i++, now_ms += INTERVAL_MS)
		crash(at, facts, i + 1, now_ms - FLIGHT_MS, now_ms);
	return now_ms - INTERVAL_MS;
}

static bool
is_blocked(const request_facts_t *facts, int64_t now_ms)
{
	return crash_guard_blocked_ms(guard, facts, now_ms) > 0;
}

/* Guards against a deadly segment that reaches one server after the other. */
START_TEST(a_segment_that_crashes_three_servers_is_blocked)
{
	request_facts_t deadly = prompt(FIRST, DEADLY, 0);
	request_facts_t sound = prompt(FIRST, OTHER, 0);
	int64_t now_ms = crash_series(guard, &deadly, 2);

	ck_assert(!is_blocked(&deadly, now_ms));
	now_ms = crash_series(guard, &deadly, 3);
	crash_guard_add_survival(guard, &sound, now_ms - INTERVAL_MS / 2);
	ck_assert(is_blocked(&deadly, now_ms));
	ck_assert(!is_blocked(&sound, now_ms));
	ck_assert_uint_eq(crash_guard_blocked_count(guard, now_ms), 1);
}
END_TEST

/* Guards against blocking prompts for their own, last segment. */
START_TEST(the_last_segment_of_a_prompt_is_never_blocked)
{
	request_facts_t alone = prompt(0, 0, 0);
	int64_t now_ms = crash_series(guard, &alone, 5);

	ck_assert(!is_blocked(&alone, now_ms));
}
END_TEST

/*
 * Guards against taking a common segment for deadly because many servers went
 * down at once, as when a zone is reclaimed.
 */
START_TEST(crashes_at_once_block_no_segment)
{
	request_facts_t common = prompt(FIRST, OTHER, 0);

	for (uint32_t i = 0; i < 20; i++)
		crash(guard, &common, i + 1, NOW_MS - FLIGHT_MS,
		    NOW_MS + 100 * (int64_t)i);
	ck_assert(!is_blocked(&common, NOW_MS + 2000));
}
END_TEST

/* Guards against taking a server that resets connections for many crashes. */
START_TEST(failures_of_one_process_block_no_segment)
{
	request_facts_t facts = prompt(FIRST, OTHER, 0);

	for (int64_t i = 0; i < 20; i++)
		crash(guard, &facts, 1, NOW_MS + 500 * i, NOW_MS + 500 * i + 9);
	ck_assert(!is_blocked(&facts, NOW_MS + 10000));
}
END_TEST

/* Guards against blocking a segment that is served between crashes. */
START_TEST(a_segment_that_is_served_between_crashes_is_not_blocked)
{
	request_facts_t facts = prompt(FIRST, OTHER, 0);
	int64_t now_ms = NOW_MS;

	for (uint32_t i = 0; i < 20; i++, now_ms += INTERVAL_MS) {
		crash(guard, &facts, i + 1, now_ms - FLIGHT_MS, now_ms);
		crash_guard_add_survival(guard, &facts, now_ms + 10);
		ck_assert(!is_blocked(&facts, now_ms + 20));
	}
}
END_TEST

/* Guards against a block that stays after a request has been served. */
START_TEST(a_survival_that_is_known_late_ends_the_block)
{
	request_facts_t facts = prompt(FIRST, OTHER, 0);
	int64_t now_ms = crash_series(guard, &facts, 3);

	ck_assert(is_blocked(&facts, now_ms));
	crash_guard_add_survival(guard, &facts, NOW_MS + 10);
	ck_assert(!is_blocked(&facts, now_ms));
}
END_TEST

/*
 * Guards against refusing sound prompts of a subject all of whose crashes were
 * those of a deadly segment.
 */
START_TEST(prompts_without_the_deadly_segment_are_not_blocked)
{
	request_facts_t deadly = prompt(FIRST, SUBJECT, DEADLY);
	request_facts_t sound = prompt(FIRST, SUBJECT, 0);
	request_facts_t other = prompt(FIRST, OTHER, DEADLY);
	int64_t now_ms = crash_series(guard, &deadly, 3);

	ck_assert(is_blocked(&deadly, now_ms));
	ck_assert(!is_blocked(&sound, now_ms));
	crash_guard_add_survival(guard, &sound, now_ms + 10);
	ck_assert(is_blocked(&deadly, now_ms + 20));
	ck_assert(is_blocked(&other, now_ms + 20));
	ck_assert(!is_blocked(&sound, now_ms + 20));
}
END_TEST

/*
 * Guards against blaming a sound segment after a crash without it has shown
 * which of the two is deadly.
 */
START_TEST(a_crash_without_a_segment_acquits_it)
{
	request_facts_t deadly = prompt(FIRST, SUBJECT, DEADLY);
	request_facts_t other = prompt(0, OTHER, DEADLY);
	request_facts_t sound = prompt(FIRST, SUBJECT, 0);
	int64_t now_ms = crash_series(guard, &deadly, 3) + INTERVAL_MS;

	crash(guard, &other, 9, now_ms - FLIGHT_MS, now_ms);
	ck_assert(is_blocked(&other, now_ms));
	ck_assert(is_blocked(&deadly, now_ms));
	ck_assert(!is_blocked(&sound, now_ms));
}
END_TEST

/* Passes what one node knows to another by digest. */
static void
send_digest(const crash_guard_t *from, crash_guard_t *to, int64_t now_ms)
{
	digest_t *digest = digest_new(), *received;
	GByteArray *bytes = g_byte_array_new();

	digest->node = g_strdup("n");
	digest->client_address = g_strdup("127.0.0.1:1");
	crash_guard_add_to_digest(from, digest, now_ms);
	digest_encode(digest, bytes);
	received = digest_decode((const char *)bytes->data, bytes->len);
	ck_assert_ptr_nonnull(received);
	crash_guard_merge_digest(to, received, now_ms);
	digest_free(received);
	digest_free(digest);
	g_byte_array_unref(bytes);
}

/*
 * Guards against nodes of which each sees too few crashes to block: deadly
 * requests come at any node.
 */
START_TEST(nodes_pool_the_crashes_that_they_see)
{
	request_facts_t deadly = prompt(FIRST, DEADLY, 0);
	int64_t now_ms = NOW_MS;

	for (uint32_t i = 0; i < 3; i++, now_ms += INTERVAL_MS) {
		crash_guard_t *node = crash_guard_new();

		crash(node, &deadly, i + 1, now_ms - FLIGHT_MS, now_ms);
		send_digest(node, guard, now_ms);
		send_digest(node, guard, now_ms + 150);
		crash_guard_free(node);
	}
	ck_assert(is_blocked(&deadly, now_ms));
}
END_TEST

/* Guards against a node that starts and has to see new crashes first. */
START_TEST(a_node_that_starts_learns_of_blocked_segments)
{
	request_facts_t deadly = prompt(FIRST, DEADLY, 0);
	crash_guard_t *node = crash_guard_new();
	int64_t now_ms = crash_series(node, &deadly, 3);

	for (uint64_t i = 0; i < 200; i++) {
		request_facts_t sound = prompt(1000 + i, 0, 0);

		crash(node, &sound, 50, now_ms, now_ms + 1);
	}
	send_digest(node, guard, now_ms);
	ck_assert(is_blocked(&deadly, now_ms));
	crash_guard_free(node);
}
END_TEST

/* Guards against memory that grows with each crash, and blocks for good. */
START_TEST(old_crashes_and_blocks_end)
{
	request_facts_t deadly = prompt(FIRST, DEADLY, 0);
	int64_t now_ms = crash_series(guard, &deadly, 3);
	int64_t later_ms =
	    now_ms + crash_guard_blocked_ms(guard, &deadly, now_ms);

	ck_assert(is_blocked(&deadly, later_ms - 1));
	ck_assert(!is_blocked(&deadly, later_ms));
	crash_guard_sweep(guard, later_ms);
	crash(guard, &deadly, 9, later_ms, later_ms + 1);
	ck_assert(!is_blocked(&deadly, later_ms + 2));
}
END_TEST

/*
 * Guards against a block that never comes, or ends, in a large fleet: so many
 * servers crash a second that the list of the latest crashes is shorter than
 * the time which a block needs.
 */
START_TEST(many_crashes_a_second_block_the_segment)
{
	enum { CRASH_MS = 15, SERVERS = 400 };
	request_facts_t deadly = prompt(FIRST, DEADLY, 0);

	for (uint32_t i = 0; i < SERVERS; i++) {
		int64_t now_ms = NOW_MS + (int64_t)i * CRASH_MS;

		crash(guard, &deadly, i + 1, now_ms - FLIGHT_MS, now_ms);
		if (now_ms - NOW_MS > 2000)
			ck_assert_msg(is_blocked(&deadly, now_ms),
			    "not blocked %d ms after the first crash",
			    (int)(now_ms - NOW_MS));
	}
}
END_TEST

/*
 * Crashes of the deadly segment, and a lost response of a sound prompt, after
 * which all prompts with the first segment are blocked. Returns the time of it.
 */
static int64_t
block_first_segment(const request_facts_t *deadly, const request_facts_t *sound)
{
	int64_t now_ms = crash_series(guard, deadly, 3) + INTERVAL_MS;

	crash(guard, sound, LOSER, now_ms - FLIGHT_MS, now_ms);
	ck_assert(is_blocked(deadly, now_ms));
	ck_assert(is_blocked(sound, now_ms));
	return now_ms;
}

/* Guards against taking a lost response for a crash for as long as it counts.
 */
START_TEST(a_process_that_responds_later_has_not_crashed)
{
	request_facts_t deadly = prompt(FIRST, DEADLY, 0);
	request_facts_t sound = prompt(FIRST, OTHER, 0);
	int64_t now_ms = block_first_segment(&deadly, &sound);
	int64_t responds_ms = now_ms + RESPONDS_MS;
	int64_t later_ms = now_ms + REGISTERED_MS;

	crash_guard_add_response(guard, LOSER, responds_ms, now_ms);
	crash_guard_add_response(guard, LOSER, later_ms, responds_ms);
	ck_assert(is_blocked(&sound, later_ms));
	crash_guard_add_response(guard, LOSER, later_ms, later_ms);
	ck_assert(!is_blocked(&sound, later_ms));
	ck_assert(is_blocked(&deadly, later_ms));
	/* A late report of the same does not count again. */
	crash(guard, &sound, LOSER, now_ms - FLIGHT_MS, now_ms);
	ck_assert(!is_blocked(&sound, later_ms));
}
END_TEST

/* Guards against a response that was under way when its server crashed. */
START_TEST(a_response_at_the_time_of_the_crash_proves_nothing)
{
	request_facts_t deadly = prompt(FIRST, DEADLY, 0);
	request_facts_t sound = prompt(FIRST, OTHER, 0);
	int64_t now_ms = block_first_segment(&deadly, &sound);

	crash_guard_add_response(
	    guard, LOSER, now_ms + 10, now_ms + REGISTERED_MS);
	ck_assert(is_blocked(&sound, now_ms + REGISTERED_MS));
}
END_TEST

/* Guards against nodes that keep a block which another one has disproved. */
START_TEST(nodes_pool_which_processes_live)
{
	request_facts_t deadly = prompt(FIRST, DEADLY, 0);
	request_facts_t sound = prompt(FIRST, OTHER, 0);
	int64_t now_ms = block_first_segment(&deadly, &sound);
	int64_t later_ms = now_ms + REGISTERED_MS;
	crash_guard_t *peer = crash_guard_new();
	digest_t *digest = digest_new();

	crash(peer, &sound, LOSER, now_ms - FLIGHT_MS, now_ms);
	crash_guard_add_response(peer, LOSER, now_ms + RESPONDS_MS, now_ms);
	crash_guard_add_response(peer, LOSER, later_ms, later_ms);
	crash_guard_add_to_digest(peer, digest, later_ms);
	crash_guard_merge_digest(guard, digest, later_ms);
	ck_assert(!is_blocked(&sound, later_ms));
	ck_assert(is_blocked(&deadly, later_ms));
	digest_free(digest);
	crash_guard_free(peer);
}
END_TEST

/*
 * Guards against a sound segment that stays blocked since all its requests are
 * refused, and against trials that crash one server after the other.
 */
START_TEST(a_blocked_segment_is_tried_rarely)
{
	request_facts_t facts = prompt(FIRST, 0, 0);
	int64_t now_ms = crash_series(guard, &facts, 3);

	ck_assert(!crash_guard_take_trial(guard, &facts, now_ms + 1000));
	now_ms += TRIAL_MS;
	ck_assert(crash_guard_take_trial(guard, &facts, now_ms));
	ck_assert(!crash_guard_take_trial(guard, &facts, now_ms + TRIAL_MS));
	ck_assert(is_blocked(&facts, now_ms));
	crash_guard_add_survival(guard, &facts, now_ms + FLIGHT_MS);
	ck_assert(!is_blocked(&facts, now_ms + FLIGHT_MS));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("crash_guard");
	TCase *cases = tcase_create("crash_guard");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, a_segment_that_crashes_three_servers_is_blocked);
	tcase_add_test(cases, the_last_segment_of_a_prompt_is_never_blocked);
	tcase_add_test(cases, crashes_at_once_block_no_segment);
	tcase_add_test(cases, failures_of_one_process_block_no_segment);
	tcase_add_test(
	    cases, a_segment_that_is_served_between_crashes_is_not_blocked);
	tcase_add_test(cases, a_survival_that_is_known_late_ends_the_block);
	tcase_add_test(
	    cases, prompts_without_the_deadly_segment_are_not_blocked);
	tcase_add_test(cases, a_crash_without_a_segment_acquits_it);
	tcase_add_test(cases, nodes_pool_the_crashes_that_they_see);
	tcase_add_test(cases, a_node_that_starts_learns_of_blocked_segments);
	tcase_add_test(cases, old_crashes_and_blocks_end);
	tcase_add_test(cases, many_crashes_a_second_block_the_segment);
	tcase_add_test(cases, a_process_that_responds_later_has_not_crashed);
	tcase_add_test(
	    cases, a_response_at_the_time_of_the_crash_proves_nothing);
	tcase_add_test(cases, nodes_pool_which_processes_live);
	tcase_add_test(cases, a_blocked_segment_is_tried_rarely);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
