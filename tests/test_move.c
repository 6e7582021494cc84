#include "move_start.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum { WITHIN_MS = 103000, USABLE_MS = 100000 };

static move_record_t *
running_record(move_policy_t policy)
{
	move_record_t *record = g_new0(move_record_t, 1);

	record->id = g_strdup("m1");
	record->service = g_strdup("team/chat");
	record->from = g_strdup("v1");
	record->to = g_strdup("v2");
	record->base = g_strdup("v1");
	record->reason = g_strdup("");
	record->lease = g_strdup("lease");
	record->nonce = g_strdup("n");
	record->policy = policy;
	record->deadline_ms = WITHIN_MS;
	return record;
}

static move_t *
running_move(move_policy_t policy)
{
	move_record_t *record = running_record(policy);
	move_t *move = move_new(record);

	move_read_done(move, record, 1, false, 0, 0);
	move_record_free(record);
	return move;
}

static void
observe(move_t *move, const char *version, int count, bool ok, double ms,
    int64_t now_ms)
{
	for (int i = 0; i < count; i++)
		move_observe(move, version, "/", ok, ms, now_ms);
}

/* Checks that the next action is a swap to this state, and executes it. */
static void
expect_swap(move_t *move, int64_t now_ms, move_state_t state, unsigned stage)
{
	move_action_t action = move_step(move, true, now_ms, 0);

	ck_assert_int_eq(action.type, MOVE_ACTION_SWAP);
	ck_assert_int_eq(action.record->state, state);
	ck_assert_uint_eq(action.record->stage, stage);
	ck_assert(state == MOVE_RUNNING ? action.lease != NULL
					: action.lease == NULL);
	move_swap_done(
	    move, MOVE_WRITE_DONE, action.expected_revision + 1, now_ms, 0);
}

/*
 * Guards against a move to a good version that does not advance through its
 * stages and finish in time.
 */
START_TEST(good_version_finishes)
{
	static const int64_t stage_ends_ms[] = {
	    10000, 20000, 30000, 40000, 60000};
	move_t *move = running_move(MOVE_EVIDENCE);

	for (unsigned stage = 0; stage < MOVE_STAGES; stage++) {
		ck_assert_double_eq(
		    move_new_version_share(move, stage_ends_ms[stage] - 1),
		    move_stage_share[stage]);
		observe(move, "v1", 500, true, 10, stage_ends_ms[stage] - 1);
		observe(move, "v2", 80, true, 10, stage_ends_ms[stage] - 1);
		ck_assert_int_eq(
		    move_step(move, true, stage_ends_ms[stage] - 1000, 0).type,
		    MOVE_ACTION_NONE);
		expect_swap(move, stage_ends_ms[stage] + 5000,
		    stage < 4 ? MOVE_RUNNING : MOVE_FINISHED,
		    stage < 4 ? stage + 1 : 4);
	}
	ck_assert_int_eq(move_outcome(move, WITHIN_MS * 2), MOVE_FINISHED);
	ck_assert_str_eq(
	    move_select_version(move, WITHIN_MS * 2, UINT64_MAX), "v2");
	move_free(move);
}
END_TEST

/* Guards against further requests to a bad version after a few failures. */
START_TEST(bad_version_is_stopped_after_few_requests)
{
	move_t *move = running_move(MOVE_EVIDENCE);
	move_action_t action;

	observe(move, "v1", 300, true, 10, 500);
	observe(move, "v2", 3, false, 0, 500);
	ck_assert_double_eq(move_new_version_share(move, 500), 0);
	action = move_step(move, false, 500, 0);
	ck_assert_int_eq(action.type, MOVE_ACTION_BROADCAST_STOP);
	ck_assert_ptr_nonnull(strstr(action.reason, "3 of 3"));
	expect_swap(move, 500, MOVE_ROLLED_BACK, 0);
	ck_assert(move_recorded(move));
	move_free(move);
}
END_TEST

/* Guards against a rollback because of a fault that hits both versions. */
START_TEST(fault_of_both_versions_is_no_evidence)
{
	move_t *move = running_move(MOVE_EVIDENCE);

	for (int i = 0; i < 50; i++) {
		observe(move, "v1", 19, i % 3 == 0, 10, 500);
		observe(move, "v2", 1, i % 3 == 0, 10, 500);
	}
	ck_assert_double_gt(move_new_version_share(move, 500), 0);
	move_free(move);
}
END_TEST

/* Guards against a slow version that passes because it has no errors. */
START_TEST(slower_version_is_stopped)
{
	move_t *move = running_move(MOVE_EVIDENCE);

	observe(move, "v1", 500, true, 10, 500);
	observe(move, "v2", 30, true, 25, 500);
	ck_assert_double_eq(move_new_version_share(move, 500), 0);
	move_free(move);
}
END_TEST

/* Guards against a fault on a rare route that the total hides. */
START_TEST(fault_on_one_route_is_found)
{
	move_t *move = running_move(MOVE_EVIDENCE);

	observe(move, "v1", 20000, true, 10, 500);
	observe(move, "v2", 1000, true, 10, 500);
	for (int i = 0; i < 200; i++)
		move_observe(move, "v1", "/rare", true, 10, 500);
	for (int i = 0; i < 5; i++)
		move_observe(move, "v2", "/rare", false, 0, 500);
	ck_assert_double_eq(move_new_version_share(move, 500), 0);
	ck_assert_ptr_nonnull(strstr(move_reason(move, 500), "/rare"));
	move_free(move);
}
END_TEST

/*
 * Guards against a fault in the last stage that is not found, or is blamed on
 * the new version alone, because nothing goes to the old version for
 * comparison.
 */
START_TEST(suspicion_in_last_stage_compares_again)
{
	move_t *move = running_move(MOVE_EVIDENCE);
	move_record_t *record = running_record(MOVE_EVIDENCE);

	observe(move, "v1", 500, true, 10, 500);
	observe(move, "v2", 80, true, 10, 500);
	record->stage = 4;
	move_merge_record(move, record, 2);
	observe(move, "v2", 100, true, 10, 600);
	ck_assert_double_eq(move_new_version_share(move, 600), 1);
	observe(move, "v2", 4, false, 0, 600);
	ck_assert_double_eq(move_new_version_share(move, 600), 0.5);
	/* The old version fails as well. */
	observe(move, "v1", 10, false, 0, 700);
	observe(move, "v2", 10, false, 0, 700);
	ck_assert_double_eq(move_new_version_share(move, 700), 0.5);
	/* Only the new version continues to fail. */
	observe(move, "v1", 60, true, 10, 800);
	observe(move, "v2", 20, false, 0, 800);
	ck_assert_double_eq(move_new_version_share(move, 800), 0);
	move_record_free(record);
	move_free(move);
}
END_TEST

/*
 * Guards against a node that keeps using the new version after the deadline
 * because the store is unavailable.
 */
START_TEST(deadline_passes_without_the_store)
{
	move_t *move = running_move(MOVE_EVIDENCE);
	move_record_t *record = running_record(MOVE_EVIDENCE);
	int64_t end_ms = WITHIN_MS - MOVE_CLOCK_SKEW_MS;

	ck_assert_double_gt(move_new_version_share(move, end_ms - 1), 0);
	ck_assert_double_eq(move_new_version_share(move, end_ms), 0);
	ck_assert_int_eq(move_outcome(move, end_ms), MOVE_ROLLED_BACK);
	ck_assert(!move_recorded(move));
	/* The store is available again and holds a finish from before. */
	record->state = MOVE_FINISHED;
	ck_assert(move_merge_record(move, record, 9));
	ck_assert_int_eq(move_outcome(move, WITHIN_MS), MOVE_FINISHED);
	move_record_free(record);
	move_free(move);
}
END_TEST

/* Guards against a lost response to a write that leaves the outcome unknown. */
START_TEST(lost_response_is_resolved_by_reading)
{
	move_t *move = running_move(MOVE_EVIDENCE);
	move_record_t *written;
	move_action_t action;

	move_stop(move, "bad");
	ck_assert_int_eq(
	    move_step(move, true, 9, 7).type, MOVE_ACTION_BROADCAST_STOP);
	action = move_step(move, true, 9, 7);
	ck_assert_int_eq(action.type, MOVE_ACTION_SWAP);
	written = move_record_copy(action.record);
	move_swap_done(move, MOVE_WRITE_UNKNOWN, 0, 9, 7);
	ck_assert(!move_recorded(move));
	ck_assert_int_eq(move_step(move, true, 1000, 7).type, MOVE_ACTION_READ);
	move_read_done(move, written, 2, false, 1000, 7);
	ck_assert(move_recorded(move));
	ck_assert_int_eq(move_step(move, true, 2000, 7).type, MOVE_ACTION_NONE);
	move_record_free(written);
	move_free(move);
}
END_TEST

/* Guards against an expired state that is never replaced by an outcome. */
START_TEST(expired_state_is_recorded_as_rolled_back)
{
	move_t *move = running_move(MOVE_EVIDENCE);
	move_action_t action = move_step(move, true, WITHIN_MS, 0);

	ck_assert_int_eq(action.type, MOVE_ACTION_READ);
	move_read_done(move, NULL, 0, false, WITHIN_MS, 0);
	action = move_step(move, true, WITHIN_MS, 0);
	ck_assert_int_eq(action.type, MOVE_ACTION_SWAP);
	ck_assert_int_eq(action.expected_revision, 0);
	ck_assert_int_eq(action.record->state, MOVE_ROLLED_BACK);
	move_free(move);
}
END_TEST

/* Guards against a move without traffic that never ends. */
START_TEST(too_little_evidence_is_rolled_back_before_the_deadline)
{
	move_t *move = running_move(MOVE_EVIDENCE);
	int64_t now_ms = 0;

	while (!move_recorded(move) && now_ms < USABLE_MS) {
		move_action_t action = move_step(move, true, now_ms, 0);

		if (action.type == MOVE_ACTION_SWAP)
			move_swap_done(move, MOVE_WRITE_DONE,
			    action.expected_revision + 1, now_ms, 0);
		now_ms += 100;
	}
	ck_assert(move_recorded(move));
	ck_assert_int_eq(move_record(move)->state, MOVE_ROLLED_BACK);
	ck_assert_uint_eq(move_record(move)->stage, 4);
	move_free(move);
}
END_TEST

/* Guards against an outcome that changes once it is recorded. */
START_TEST(recorded_outcome_never_changes)
{
	move_t *move = running_move(MOVE_EVIDENCE);
	move_record_t *record = running_record(MOVE_EVIDENCE);

	record->state = MOVE_FINISHED;
	ck_assert(move_merge_record(move, record, 5));
	record->state = MOVE_ROLLED_BACK;
	ck_assert(!move_merge_record(move, record, 6));
	record->state = MOVE_RUNNING;
	record->stage = 4;
	ck_assert(!move_merge_record(move, record, 7));
	move_stop(move, "late");
	ck_assert_int_eq(move_outcome(move, 0), MOVE_FINISHED);
	move_record_free(record);
	move_free(move);
}
END_TEST

/* Guards against evidence counted twice or taken from a malformed message. */
START_TEST(evidence_of_peers_is_checked_and_replaced)
{
	move_t *move = running_move(MOVE_EVIDENCE);
	move_t *peer = running_move(MOVE_EVIDENCE);
	json_t *json;

	observe(peer, "v1", 100, true, 10, 1);
	observe(peer, "v2", 2, false, 10, 1);
	json = move_own_evidence_to_json(peer);
	ck_assert(move_merge_evidence(move, "b", json));
	ck_assert(move_merge_evidence(move, "b", json)); /* counted once */
	ck_assert_int_eq(move_step(move, true, 1, 0).type, MOVE_ACTION_NONE);
	ck_assert(move_merge_evidence(move, "c", json));
	ck_assert_int_eq(move_step(move, true, 1000, 0).type, MOVE_ACTION_SWAP);
	json_array_append_new(json_array_get(json, 0), json_string("x"));
	ck_assert(!move_merge_evidence(move, "b", json));
	json_array_clear(json);
	ck_assert(!move_merge_evidence(move, "b", json));
	json_decref(json);
	move_free(peer);
	move_free(move);
}
END_TEST

static move_start_t *
start_new(void)
{
	return move_start_new(&(move_request_t){
	    .service = "team/chat",
	    .to = "v2",
	    .current_version = "v1",
	    .within_ms = WITHIN_MS,
	    .random_id = 5,
	});
}

/* Guards against a lease that expires within the margin of the deadline. */
START_TEST(start_bounds_the_lease)
{
	move_start_t *start = start_new();
	move_start_action_t action = move_start_step(start, 10);

	ck_assert_int_eq(action.type, MOVE_START_READ_DECLARATION);
	move_start_read_done(start, NULL, 0, false, 10);
	action = move_start_step(start, 10);
	ck_assert_int_eq(action.type, MOVE_START_SWAP_DECLARATION);
	move_start_swap_done(start, MOVE_WRITE_DONE, 1, 20);
	action = move_start_step(start, 30);
	ck_assert_int_eq(action.type, MOVE_START_GRANT_LEASE);
	ck_assert_int_eq(action.ttl_ms, WITHIN_MS + 10 - MOVE_MARGIN_MS - 30);
	/* The node was paused, so that lease may expire too late. */
	move_start_lease_done(start, "late", 31 + MOVE_STORE_TIMEOUT_MS);
	action = move_start_step(start, 3000);
	ck_assert_int_eq(action.type, MOVE_START_GRANT_LEASE);
	move_start_lease_done(start, "good", 3001);
	action = move_start_step(start, 3001);
	ck_assert_int_eq(action.type, MOVE_START_SWAP_STATE);
	ck_assert_str_eq(action.record->lease, "good");
	move_start_free(start);
}
END_TEST

/* Guards against two moves of one service at once. */
START_TEST(second_operator_gets_a_conflict)
{
	move_start_t *start = start_new();
	move_record_t *other = running_record(MOVE_EVIDENCE);

	move_start_step(start, 0);
	move_start_read_done(start, NULL, 0, false, 0);
	move_start_step(start, 0);
	move_start_swap_done(start, MOVE_WRITE_CONFLICT, 1, 0);
	ck_assert_int_eq(
	    move_start_step(start, 0).type, MOVE_START_READ_DECLARATION);
	move_start_read_done(start, other, 1, false, 0);
	ck_assert_int_eq(move_start_step(start, 0).type, MOVE_START_FAILED);
	move_record_free(other);
	move_start_free(start);
}
END_TEST

/*
 * Guards against a move that starts from the settings' version although an
 * earlier move to another version has finished.
 */
START_TEST(next_move_starts_from_the_finished_version)
{
	move_start_t *start = start_new();
	move_record_t *other = running_record(MOVE_EVIDENCE);

	move_start_step(start, 0);
	move_start_read_done(start, other, 3, false, 0);
	ck_assert_int_eq(move_start_step(start, 0).type, MOVE_START_READ_STATE);
	other->state = MOVE_FINISHED;
	move_record_set_string(&other->to, "v1b");
	move_start_read_done(start, other, 4, false, 0);
	ck_assert_str_eq(move_start_step(start, 0).record->from, "v1b");
	ck_assert_str_eq(move_start_step(start, 0).record->base, "v1");
	move_record_free(other);
	move_start_free(start);
}
END_TEST

/* Guards against a record that loses a member when written and parsed. */
START_TEST(record_survives_json)
{
	move_record_t *record = running_record(MOVE_FIXED_STEPS), *read;
	json_t *json;

	record->stage = 3;
	record->base_revision = 12;
	json = move_record_to_json(record);
	read = move_record_parse(json, NULL);
	ck_assert_ptr_nonnull(read);
	ck_assert_int_eq(move_record_compare(record, read), 0);
	ck_assert_int_eq(read->policy, MOVE_FIXED_STEPS);
	ck_assert_int_eq(read->base_revision, 12);
	move_record_free(read);
	json_object_set_new(json, "stage", json_integer(5));
	ck_assert_ptr_null(move_record_parse(json, NULL));
	json_decref(json);
	move_record_free(record);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("move");
	TCase *tests = tcase_create("move");

	tcase_add_test(tests, good_version_finishes);
	tcase_add_test(tests, bad_version_is_stopped_after_few_requests);
	tcase_add_test(tests, fault_of_both_versions_is_no_evidence);
	tcase_add_test(tests, slower_version_is_stopped);
	tcase_add_test(tests, fault_on_one_route_is_found);
	tcase_add_test(tests, suspicion_in_last_stage_compares_again);
	tcase_add_test(tests, deadline_passes_without_the_store);
	tcase_add_test(tests, lost_response_is_resolved_by_reading);
	tcase_add_test(tests, expired_state_is_recorded_as_rolled_back);
	tcase_add_test(
	    tests, too_little_evidence_is_rolled_back_before_the_deadline);
	tcase_add_test(tests, recorded_outcome_never_changes);
	tcase_add_test(tests, evidence_of_peers_is_checked_and_replaced);
	tcase_add_test(tests, start_bounds_the_lease);
	tcase_add_test(tests, second_operator_gets_a_conflict);
	tcase_add_test(tests, next_move_starts_from_the_finished_version);
	tcase_add_test(tests, record_survives_json);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
