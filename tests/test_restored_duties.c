#include "catalog.h"
#include "platform_duty.h"
#include "rollouts.h"
#include "scaler.h"
#include "suite.h"
#include "usage_report.h"

#include <check.h>
#include <string.h>

/*
 * The leader's duties in a store that is restored. The store, the leader's
 * lease and the platform are the test's own.
 */

enum {
	WINDOW_MS = 1000,
	NEWEST = 50, /* window that is complete */
	/* Past the time for all nodes' counts to arrive. */
	NOW_MS = (NEWEST + 1) * WINDOW_MS + 1600,
	LEADER_REVISION = 7,
	COMMIT_KEYS = 2,
};

const char lease_leader_key[] = "papaya/leader";
const char platform_rollout_prefix[] = "op/rollout/";
const char platform_rollout_status_prefix[] = "status/rollout/";

/* The last commit. */
static struct commit {
	char *value; /* NULL: none */
	int64_t leader_revision;
	int64_t revision; /* of the other condition */
	platform_callback_t callback;
	void *data;
} commit;

static int64_t era;
static int64_t sent_window; /* the last one; 0: none */
static double sent_count;   /* of workspace "a" */

int64_t
platform_store_era(const platform_store_t *store)
{
	return era;
}

int64_t
lease_fencing_token(const lease_t *lease)
{
	return 1;
}

int64_t
lease_leader_revision(const lease_t *lease)
{
	return LEADER_REVISION;
}

void
lease_invalidate_token(lease_t *lease, int64_t token)
{
}

void
platform_store_commit(platform_store_t *store,
    const platform_condition_t *conditions, size_t condition_count,
    const platform_write_t *writes, size_t write_count,
    platform_callback_t callback, void *data)
{
	ck_assert_uint_eq(condition_count, COMMIT_KEYS);
	g_free(commit.value);
	commit =
	    (struct commit){.value = g_strndup(writes->value, writes->length),
		.leader_revision = conditions[0].revision,
		.revision = conditions[1].revision,
		.callback = callback,
		.data = data};
}

void
platform_report_usage(http_client_t *http,
    const platform_duty_context_t *context, int64_t window, GHashTable *counts,
    platform_duty_callback_t callback, void *data)
{
	sent_window = window;
	sent_count = *(double *)g_hash_table_lookup(counts, "a");
	callback(PLATFORM_DUTY_DONE, data);
}

void
platform_order_servers(http_client_t *http,
    const platform_duty_context_t *context, const char *service,
    const char *zone, bool spot, unsigned count,
    platform_duty_callback_t callback, void *data)
{
}

static gateway_config_t config;
static usage_report_t *report;
static rollouts_t *rollouts;

static void
setup(void)
{
	config = (gateway_config_t){.name = "n1", .cloud_url = "http://x"};
	config.bounds.usage_window_ms = WINDOW_MS;
	config.bounds.usage_deadline_ms = 5 * WINDOW_MS;
	era = 1;
	sent_window = 0;
	g_clear_pointer(&commit.value, g_free);
	report = usage_report_new(&(usage_report_options_t){
	    .config = &config, .usage = usage_new(WINDOW_MS)});
	rollouts = rollouts_new(&(rollouts_options_t){
	    .config = &config, .pool = pool_new(uv_default_loop(), WINDOW_MS)});
	rollouts_set_time(rollouts, NOW_MS, 1);
}

static void
set_usage(int64_t window, double count, int64_t revision)
{
	char *text = g_strdup_printf("{\"window\":%" G_GINT64_FORMAT
				     ",\"counts\":{\"a\":%f}}",
	    window, count);

	usage_report_set_record(report, text, strlen(text), revision);
	g_free(text);
}

/* Guards against a window that is reported twice with different counts. */
START_TEST(a_recorded_window_stays_recorded)
{
	set_usage(NEWEST, 3, 90);
	era = 2;
	set_usage(NEWEST - 2, 8, 40);
	usage_report_tick(report, NOW_MS);
	ck_assert_int_eq(sent_window, NEWEST);
	ck_assert_double_eq(sent_count, 3);
	usage_report_tick(report, NOW_MS);
	ck_assert_ptr_null(commit.value);
	usage_report_tick(report, NOW_MS + WINDOW_MS);
	ck_assert_int_eq(commit.revision, 40);
	ck_assert_int_eq(commit.leader_revision, LEADER_REVISION);
}
END_TEST

/* Guards against windows without a report where the copy lacks the record. */
START_TEST(a_missing_record_is_written_anew)
{
	set_usage(NEWEST - 1, 3, 90);
	config.bounds.usage_deadline_ms = 0;
	era = 2;
	usage_report_tick(report, NOW_MS);
	ck_assert_ptr_nonnull(commit.value);
	ck_assert_int_eq(commit.revision, 0);
}
END_TEST

/* Guards against a node that starts later and records a window again. */
START_TEST(a_window_that_a_peer_knows_stays_recorded)
{
	usage_report_learn_record(report, NEWEST);
	usage_report_tick(report, NOW_MS);
	ck_assert_ptr_null(commit.value);
	usage_report_tick(report, NOW_MS + WINDOW_MS);
	ck_assert_ptr_nonnull(commit.value);
}
END_TEST

/* Guards against sizes that are taken from the servers ordered since. */
START_TEST(a_baseline_is_written_again_from_memory)
{
	static const char value[] = "{\"z1\":3}";
	scaler_t *scaler = scaler_new(&(scaler_options_t){.config = &config,
	    .rollouts = rollouts,
	    .pool = pool_new(uv_default_loop(), WINDOW_MS),
	    .evacuation = evacuation_new()});
	catalog_t *catalog = catalog_new();
	catalog_service_t *service = g_new0(catalog_service_t, 1);

	service->name = g_strdup("rooms");
	service->scaling = g_new0(catalog_scaling_t, 1);
	service->scaling->zone_prices =
	    g_hash_table_new(g_str_hash, g_str_equal);
	catalog_add_service(catalog, service);
	scaler_set_baseline(scaler, "rooms", value, strlen(value));
	scaler_set_baseline(scaler, "rooms", NULL, 0);
	scaler_tick(scaler, catalog);
	ck_assert_pstr_eq(commit.value, value);
	ck_assert_int_eq(commit.revision, 0);
}
END_TEST

static void
set_order(const char *target, int64_t revision)
{
	char *text = g_strdup_printf(
	    "{\"service\":\"a\",\"target\":\"%s\",\"duration_s\":60}", target);

	rollouts_set_spec(rollouts, "a", text, strlen(text), era, revision);
	g_free(text);
}

static void
set_stage(int64_t order, const char *stage, int step)
{
	char *text = g_strdup_printf("{\"order\":%" G_GINT64_FORMAT
				     ",\"started_ms\":5,\"stage\":\"%s\","
				     "\"step\":%d}",
	    order, stage, step);

	rollouts_set_record(rollouts, "a", text, strlen(text));
	g_free(text);
}

static void
restore(void)
{
	era++;
	rollouts_set_restoring(rollouts, true);
}

/* The revision of the one order that the node's digest reports; 0: none. */
static int64_t
reported_order(void)
{
	digest_t *digest = digest_new();
	int64_t revision = 0;

	rollouts_add_to_digest(rollouts, digest);
	if (digest->moves->len > 0)
		revision =
		    g_array_index(digest->moves, digest_move_t, 0).revision;
	digest_free(digest);
	return revision;
}

/* Guards against a rollout that begins again, or goes back to its copy. */
START_TEST(a_stage_stays_and_is_written_again)
{
	set_order("v2", 80);
	set_stage(80, "full", 2);
	restore();
	rollouts_tick(rollouts, NULL, NULL); /* the order is not known yet */
	ck_assert_ptr_null(commit.value);
	set_order("v2", 60);
	set_stage(60, "canary", 0);
	rollouts_tick(rollouts, NULL, NULL);
	ck_assert_ptr_nonnull(strstr(commit.value, "\"stage\":\"full\""));
	ck_assert_ptr_nonnull(strstr(commit.value, "\"started_ms\":5"));
	ck_assert_int_eq(commit.revision, 60);
	/* The leader may return to an earlier stage, and end it. */
	set_stage(60, "ramp", 3);
	set_stage(60, "reverted", 4);
	ck_assert_int_eq(reported_order(), 0);
	restore();
	set_order("v2", 70);
	ck_assert_int_eq(reported_order(), 0);
}
END_TEST

/* Guards against an order of the copy that replaces a later one. */
START_TEST(another_order_waits_for_the_end_of_the_restoration)
{
	set_order("v3", 80);
	restore();
	set_order("v2", 60);
	ck_assert_int_eq(reported_order(), 80);
	restore();
	rollouts_set_restoring(rollouts, false);
	ck_assert_int_eq(reported_order(), 80);
	restore();
	set_order("v2", 60);
	rollouts_set_restoring(rollouts, false);
	ck_assert_int_eq(reported_order(), 60);
}
END_TEST

/* Guards against evidence on an order with the revision of another era. */
START_TEST(evidence_is_of_the_order_of_its_era)
{
	digest_t *digest = digest_new();
	evidence_t *evidence = evidence_new();
	digest_move_t move = {.service = g_strdup("a"),
	    .revision = 80,
	    .era = 1,
	    .stopped = true,
	    .evidence = json_dumps(evidence_to_json(evidence), 0)};

	digest->node = g_strdup("n2");
	g_array_append_val(digest->moves, move);
	era = 2;
	set_order("v2", 80);
	set_stage(80, "canary", 0);
	rollouts_merge_digest(rollouts, digest);
	rollouts_tick(rollouts, NULL, NULL);
	ck_assert_ptr_null(commit.value);
	g_array_index(digest->moves, digest_move_t, 0).era = 2;
	rollouts_merge_digest(rollouts, digest);
	rollouts_tick(rollouts, NULL, NULL);
	ck_assert_ptr_nonnull(strstr(commit.value, "\"stage\":\"reverted\""));
	digest_free(digest);
	evidence_free(evidence);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("restored_duties");
	TCase *cases = tcase_create("restored_duties");

	tcase_add_checked_fixture(cases, setup, NULL);
	tcase_add_test(cases, a_recorded_window_stays_recorded);
	tcase_add_test(cases, a_missing_record_is_written_anew);
	tcase_add_test(cases, a_window_that_a_peer_knows_stays_recorded);
	tcase_add_test(cases, a_baseline_is_written_again_from_memory);
	tcase_add_test(cases, a_stage_stays_and_is_written_again);
	tcase_add_test(
	    cases, another_order_waits_for_the_end_of_the_restoration);
	tcase_add_test(cases, evidence_is_of_the_order_of_its_era);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
