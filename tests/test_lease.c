#include "clock.h"
#include "lease.h"
#include "suite.h"

#include <check.h>
#include <string.h>

/* A node's leases in a store that is restored; the store is the test's own. */

enum {
	LEASE_MS = 1500,
	/* Enough for two ticks of the node. */
	TICKS_MS = 600,
	STEP_US = 5000,
	REVISION = 1000, /* of the store in each era at its start */
	FIRST_LEASE = 100,
	CALLS_MAX = 32,
};

typedef struct call {
	int64_t lease_id; /* renewal; 0: another kind of call */
	int64_t ttl_ms;	  /* grant; 0: another kind of call */
	bool leader_key;
	platform_condition_t condition;
	platform_callback_t callback;
	void *data;
} call_t;

struct platform_store {
	int64_t era;
	int64_t revision;
	int64_t last_lease; /* leases of the era: those after FIRST_LEASE */
	call_t calls[CALLS_MAX];
	size_t call_count;
	bool silent; /* calls are not answered */
	unsigned registrations;
	unsigned campaigns;
	platform_item_t leader; /* as last written; value NULL: never */
};

static uv_loop_t loop;
static platform_store_t store;
static gateway_config_t config;
static lease_t *lease;

int64_t
platform_store_era(const platform_store_t *from)
{
	return from->era;
}

static call_t *
add_call(platform_callback_t callback, void *data)
{
	call_t *call = &store.calls[store.call_count++];

	ck_assert_uint_lt(store.call_count, CALLS_MAX);
	*call = (call_t){.callback = callback, .data = data};
	return call;
}

void
platform_store_grant_lease(platform_store_t *to, int64_t ttl_ms,
    platform_callback_t callback, void *data)
{
	add_call(callback, data)->ttl_ms = ttl_ms;
}

/* A lease of an earlier era may be another node's. */
static void
assert_lease_of_era(int64_t lease_id)
{
	ck_assert_int_gt(lease_id, FIRST_LEASE * store.era);
}

void
platform_store_renew_lease(platform_store_t *to, int64_t lease_id,
    platform_callback_t callback, void *data)
{
	if (lease_id != store.leader.lease_id)
		assert_lease_of_era(lease_id);
	add_call(callback, data)->lease_id = lease_id;
}

void
platform_store_revoke_lease(platform_store_t *to, int64_t lease_id,
    platform_callback_t callback, void *data)
{
	assert_lease_of_era(lease_id);
}

void
platform_store_commit(platform_store_t *to,
    const platform_condition_t *conditions, size_t condition_count,
    const platform_write_t *writes, size_t write_count,
    platform_callback_t callback, void *data)
{
	call_t *call = add_call(callback, data);

	assert_lease_of_era(writes->lease_id);
	call->leader_key = strcmp(writes->key, lease_leader_key) == 0;
	if (!call->leader_key) {
		store.registrations++;
		return;
	}
	store.campaigns++;
	call->condition = *conditions;
	g_free((char *)store.leader.value);
	store.leader = (platform_item_t){.key = lease_leader_key,
	    .value = g_strndup(writes->value, writes->length),
	    .length = writes->length,
	    .revision = store.revision + 1,
	    .lease_id = writes->lease_id};
}

static void
answer(platform_status_t status)
{
	call_t calls[CALLS_MAX];
	size_t count = store.call_count;

	memcpy(calls, store.calls, sizeof(calls));
	store.call_count = 0;
	for (size_t i = 0; i < count; i++) {
		platform_result_t result = {.status = status};

		if (calls[i].ttl_ms != 0)
			result.lease_id = ++store.last_lease;
		result.lease_ttl_ms = calls[i].ttl_ms;
		result.revision = ++store.revision;
		if (calls[i].leader_key)
			store.leader.revision = result.revision;
		calls[i].callback(&result, calls[i].data);
	}
}

/* Runs the node until it has a fencing token; at most for_ms. */
static int64_t
run(int64_t for_ms)
{
	int64_t end_ms = clock_boot_ms() + for_ms;

	while (lease_fencing_token(lease) == 0 && clock_boot_ms() < end_ms) {
		uv_run(&loop, UV_RUN_NOWAIT);
		if (!store.silent)
			answer(PLATFORM_OK);
		g_usleep(STEP_US);
	}
	return lease_fencing_token(lease);
}

static void
setup(void)
{
	uv_loop_init(&loop);
	store = (platform_store_t){
	    .era = 1, .revision = REVISION, .last_lease = FIRST_LEASE};
	config = (gateway_config_t){.name = "n1", .ip = "127.0.0.1"};
	config.bounds.lease_ms = LEASE_MS;
	lease = lease_start(&loop, &config, &store);
}

static void
become_leader(void)
{
	lease_enable_campaign(lease);
	ck_assert_int_ne(run(LEASE_MS), 0);
}

/* As the store's client does: the calls in progress are of no effect. */
static void
restore(void)
{
	store.era++;
	store.revision = REVISION;
	store.last_lease = FIRST_LEASE * store.era;
	lease_restore(lease);
	ck_assert_int_eq(lease_fencing_token(lease), 0);
}

/* Guards against duties that the platform refuses, or sent by two holders. */
START_TEST(token_rises_where_the_copy_lacks_the_leader_key)
{
	int64_t token, revision;

	become_leader();
	token = lease_fencing_token(lease);
	revision = lease_leader_revision(lease);
	restore();
	ck_assert_int_eq(run(TICKS_MS), 0); /* before the list */
	lease_enable_campaign(lease);
	ck_assert_int_gt(run(TICKS_MS), token);
	/* The refusal of a call that was sent before. */
	lease_invalidate_token(lease, token);
	ck_assert_int_gt(lease_fencing_token(lease), token);
	ck_assert_int_le(lease_leader_revision(lease), revision + CALLS_MAX);
	ck_assert_int_eq(store.registrations, 2);
}
END_TEST

/* Guards against seconds without duties where the copy shows the leader. */
START_TEST(leader_goes_on_with_the_lease_that_the_copy_shows)
{
	int64_t token;

	become_leader();
	token = lease_fencing_token(lease);
	restore();
	lease_update_leader(lease, &store.leader);
	ck_assert_int_eq(lease_fencing_token(lease), 0); /* until renewed */
	ck_assert_int_gt(run(TICKS_MS), token);
	ck_assert_int_eq(lease_leader_revision(lease), store.leader.revision);
	ck_assert_uint_eq(store.campaigns, 1);
}
END_TEST

/* Guards against two leaders: an earlier one may not know of the restoration.
 */
START_TEST(other_nodes_wait_until_an_earlier_leader_has_stopped)
{
	int64_t restored_ms;

	run(TICKS_MS);
	restore();
	restored_ms = clock_boot_ms();
	lease_enable_campaign(lease);
	ck_assert_int_ne(run(LEASE_MS + TICKS_MS), 0);
	ck_assert_int_ge(clock_boot_ms() - restored_ms, LEASE_MS);
}
END_TEST

/* Guards against a leader that ignores the one that the copy shows. */
START_TEST(leader_yields_to_another_node_in_the_copy)
{
	platform_item_t other = {.key = lease_leader_key,
	    .value = "n2",
	    .length = 2,
	    .revision = REVISION};

	become_leader();
	restore();
	lease_update_leader(lease, &other);
	lease_enable_campaign(lease);
	ck_assert_int_eq(run(LEASE_MS), 0);
	lease_update_leader(lease, NULL);
	ck_assert_int_ne(run(LEASE_MS), 0);
}
END_TEST

/* Guards against a node that acts under a key whose lease is not its own. */
START_TEST(own_key_under_an_unknown_lease_is_replaced)
{
	int64_t revision;

	become_leader();
	restore();
	store.leader.revision--;
	revision = store.leader.revision;
	lease_update_leader(lease, &store.leader);
	ck_assert_int_eq(lease_fencing_token(lease), 0);
	store.silent = true;
	lease_enable_campaign(lease);
	run(TICKS_MS);
	answer(PLATFORM_OK); /* the leases */
	ck_assert_uint_eq(store.campaigns, 2);
	ck_assert_int_eq(
	    store.calls[store.call_count - 1].condition.revision, revision);
}
END_TEST

/* Guards against effects of calls that were sent before the restoration. */
START_TEST(calls_of_an_earlier_era_change_nothing)
{
	store.silent = true;
	run(TICKS_MS); /* grants in progress */
	restore();
	restore();
	/* Two of earlier eras, and that of the present one. */
	ck_assert_uint_eq(store.call_count, 3);
	answer(PLATFORM_NOT_SENT);
	store.silent = false;
	run(2 * TICKS_MS);
	ck_assert_uint_eq(store.registrations, 1);
	become_leader();
	store.silent = true;
	restore();
	lease_revoke(lease); /* ends no lease of an earlier era */
	answer(PLATFORM_OK);
	run(TICKS_MS);
	ck_assert_uint_eq(store.call_count, 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("lease");
	TCase *cases = tcase_create("lease");

	tcase_set_timeout(cases, 30);
	tcase_add_checked_fixture(cases, setup, NULL);
	tcase_add_test(cases, token_rises_where_the_copy_lacks_the_leader_key);
	tcase_add_test(
	    cases, leader_goes_on_with_the_lease_that_the_copy_shows);
	tcase_add_test(
	    cases, other_nodes_wait_until_an_earlier_leader_has_stopped);
	tcase_add_test(cases, leader_yields_to_another_node_in_the_copy);
	tcase_add_test(cases, own_key_under_an_unknown_lease_is_replaced);
	tcase_add_test(cases, calls_of_an_earlier_era_change_nothing);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
