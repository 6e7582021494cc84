#include "digest.h"
#include "evidence.h"
#include "suite.h"

#include <check.h>
#include <math.h>

static digest_t *
sample_digest(void)
{
	digest_t *digest = digest_new();
	digest_spending_t spending = {.workspace = g_strdup("depot"),
	    .spent_units = 1.5,
	    .bucket_level = 20};
	digest_load_t load = {.server_tag = 0xfedcba98u,
	    .load = {.in_flight = 3,
		.prefill_tokens = 100,
		.urgent_prefill_tokens = 40,
		.kv_tokens = 900}};
	digest_usage_t usage = {
	    .window = 77, .workspace = g_strdup("depot"), .count = 12};
	digest_speed_t speed = {.server_tag = 0xfedcba98u,
	    .process = 0xf0000000u,
	    .report = {.factor = 1.43, .weight = 20.5}};

	digest->node = g_strdup("n1");
	digest->incarnation = 1234567890123;
	digest->sequence = 9;
	digest->client_address = g_strdup("10.0.0.1:80");
	digest->ready = true;
	digest->active = true;
	digest->leader = true;
	digest->processors = 0.25;
	digest->wall_ms = -5;
	digest->configuration_version = 7;
	g_array_append_val(digest->spending, spending);
	g_array_append_val(digest->loads, load);
	g_array_append_val(digest->usage, usage);
	g_array_append_val(digest->speeds, speed);
	return digest;
}

START_TEST(decode_restores_an_encoded_digest)
{
	digest_t *digest = sample_digest(), *read;
	GByteArray *bytes = g_byte_array_new();
	const digest_speed_t *speed;

	digest_encode(digest, bytes);
	read = digest_decode((const char *)bytes->data, bytes->len);
	ck_assert_ptr_nonnull(read);
	ck_assert_str_eq(read->node, "n1");
	ck_assert_int_eq(read->incarnation, 1234567890123);
	ck_assert_int_eq(read->wall_ms, -5);
	ck_assert(read->ready);
	ck_assert(read->active);
	ck_assert(read->leader);
	ck_assert_double_eq(read->processors, 0.25);
	ck_assert_str_eq(
	    g_array_index(read->spending, digest_spending_t, 0).workspace,
	    "depot");
	ck_assert_double_eq(
	    g_array_index(read->spending, digest_spending_t, 0).spent_units,
	    1.5);
	ck_assert_uint_eq(
	    g_array_index(read->loads, digest_load_t, 0).server_tag,
	    0xfedcba98u);
	ck_assert_double_eq(g_array_index(read->loads, digest_load_t, 0)
				.load.urgent_prefill_tokens,
	    40);
	ck_assert_int_eq(
	    g_array_index(read->usage, digest_usage_t, 0).window, 77);
	speed = &g_array_index(read->speeds, digest_speed_t, 0);
	ck_assert_uint_eq(speed->server_tag, 0xfedcba98u);
	ck_assert_uint_eq(speed->process, 0xf0000000u);
	ck_assert_double_eq_tol(speed->report.factor, 1.43, 0.006);
	ck_assert_double_eq_tol(speed->report.weight, 20.5, 0.006);
	digest_free(read);
	digest_free(digest);
	g_byte_array_unref(bytes);
}
END_TEST

/* Guards against a crash on a datagram with an empty node name. */
START_TEST(decode_rejects_an_empty_node_name)
{
	digest_t *digest = sample_digest();
	GByteArray *bytes = g_byte_array_new();

	g_free(digest->node);
	digest->node = g_strdup("");
	digest_encode(digest, bytes);
	ck_assert_ptr_null(
	    digest_decode((const char *)bytes->data, bytes->len));
	digest_free(digest);
	g_byte_array_unref(bytes);
}
END_TEST

/* Guards against one datagram that makes a workspace's quota useless. */
START_TEST(decode_rejects_numbers_that_sums_cannot_hold)
{
	static const double numbers[] = {INFINITY, -INFINITY, NAN, 1e300};

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		digest_t *digest = sample_digest();
		GByteArray *bytes = g_byte_array_new();

		g_array_index(digest->spending, digest_spending_t, 0)
		    .spent_units = numbers[i];
		digest_encode(digest, bytes);
		ck_assert_ptr_null(
		    digest_decode((const char *)bytes->data, bytes->len));
		digest_free(digest);
		g_byte_array_unref(bytes);
	}
}
END_TEST

/*
 * Guards against digests that nodes of an earlier version send, which end
 * before the speeds, and that they would reject.
 */
START_TEST(speeds_are_optional)
{
	digest_t *digest = sample_digest(), *read;
	GByteArray *bytes = g_byte_array_new();
	/* The array's head has two bytes of length after its type. */
	const guint head = 3, speed_bytes = 16;

	digest_encode(digest, bytes);
	ck_assert_uint_eq(bytes->data[0], 0xdc);
	/* Without the speeds, and without the empty array before them. */
	for (guint fields = 1; fields <= 2; fields++) {
		guint length = bytes->len - speed_bytes - (fields - 1);

		bytes->data[head - 1]--;
		read = digest_decode((const char *)bytes->data, length);
		ck_assert_ptr_nonnull(read);
		ck_assert_uint_eq(read->speeds->len, 0);
		ck_assert_uint_eq(read->loads->len, 1);
		digest_free(read);
	}
	digest_free(digest);
	g_byte_array_unref(bytes);
}
END_TEST

/* Guards against datagrams of a large deployment that do not arrive. */
START_TEST(digest_of_a_large_deployment_fits_a_datagram)
{
	enum { SERVERS = 90, WORKSPACES = 16, MAX_BYTES = 8 * 1024 };
	digest_t *digest = sample_digest(), *read;
	GByteArray *bytes = g_byte_array_new();

	for (int i = 0; i < SERVERS; i++) {
		digest_load_t load = {.server_tag = UINT32_MAX,
		    .load = {.in_flight = 1000,
			.prefill_tokens = 1e6,
			.urgent_prefill_tokens = 1e6,
			.kv_tokens = 1e6}};
		digest_speed_t speed = {.server_tag = UINT32_MAX,
		    .process = UINT32_MAX,
		    .report = {.factor = 5, .weight = 1000}};

		g_array_append_val(digest->loads, load);
		g_array_append_val(digest->speeds, speed);
	}
	for (int i = 0; i < WORKSPACES; i++) {
		digest_spending_t spending = {
		    .workspace = g_strdup("workspace-with-a-name"),
		    .spent_units = 1e12,
		    .bucket_level = 1e9,
		    .demand_per_s = 1e9};
		digest_usage_t usage = {.window = 1000000000,
		    .workspace = g_strdup("workspace-with-a-name"),
		    .count = 1e6};

		g_array_append_val(digest->spending, spending);
		g_array_append_val(digest->usage, usage);
	}
	digest_encode(digest, bytes);
	ck_assert_uint_lt(bytes->len, MAX_BYTES * 3 / 4);
	/* No more speeds than fit are sent. */
	g_array_set_size(digest->speeds, 2 * DIGEST_SPEEDS_MAX);
	g_byte_array_set_size(bytes, 0);
	digest_encode(digest, bytes);
	read = digest_decode((const char *)bytes->data, bytes->len);
	ck_assert_ptr_nonnull(read);
	ck_assert_uint_eq(read->speeds->len, DIGEST_SPEEDS_MAX);
	digest_free(read);
	digest_free(digest);
	g_byte_array_unref(bytes);
}
END_TEST

/* Evidence of the most routes, with latencies in every bucket. */
static char *
largest_evidence(void)
{
	evidence_t *evidence = evidence_new();
	json_t *json;
	char *text;

	for (int i = 0; i < EVIDENCE_ROUTES_MAX * 10000; i++) {
		char *route =
		    g_strdup_printf("/%0100d", i % EVIDENCE_ROUTES_MAX);

		evidence_add(
		    evidence, &(evidence_attempt_t){.version = i / 16 % 2,
				  .new_version_share = 0.3,
				  .route = route,
				  .ok = i % 7 != 0,
				  .latency_ms = exp2(i / 32 % 20)});
		g_free(route);
	}
	json = evidence_to_json(evidence);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	evidence_free(evidence);
	return text;
}

/*
 * Guards against a node whose digests are all rejected during a rollout, since
 * its evidence is larger than a digest may hold.
 */
START_TEST(the_largest_evidence_fits_a_digest)
{
	digest_t *digest = sample_digest(), *read;
	GByteArray *bytes = g_byte_array_new();
	digest_move_t move = {.service = g_strdup("rooms"),
	    .revision = 1,
	    .evidence = largest_evidence()};

	g_array_append_val(digest->moves, move);
	digest_encode(digest, bytes);
	read = digest_decode((const char *)bytes->data, bytes->len);
	ck_assert_ptr_nonnull(read);
	ck_assert_str_eq(g_array_index(read->moves, digest_move_t, 0).evidence,
	    move.evidence);
	digest_free(read);
	digest_free(digest);
	g_byte_array_unref(bytes);
}
END_TEST

/* Guards against a crash on truncated or altered datagrams. */
START_TEST(decode_handles_truncated_or_altered_bytes)
{
	digest_t *digest = sample_digest();
	GByteArray *bytes = g_byte_array_new();

	digest_encode(digest, bytes);
	for (guint length = 0; length < bytes->len; length++)
		ck_assert_ptr_null(
		    digest_decode((const char *)bytes->data, length));
	for (guint i = 0; i < bytes->len; i++) {
		for (int value = 0; value < 256; value += 5) {
			guint8 kept = bytes->data[i];

			bytes->data[i] = (guint8)value;
			digest_free(digest_decode(
			    (const char *)bytes->data, bytes->len));
			bytes->data[i] = kept;
		}
	}
	digest_free(digest);
	g_byte_array_unref(bytes);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("digest");
	TCase *cases = tcase_create("digest");

	tcase_add_test(cases, decode_restores_an_encoded_digest);
	tcase_add_test(cases, the_largest_evidence_fits_a_digest);
	tcase_add_test(cases, decode_rejects_an_empty_node_name);
	tcase_add_test(cases, decode_rejects_numbers_that_sums_cannot_hold);
	tcase_add_test(cases, speeds_are_optional);
	tcase_add_test(cases, digest_of_a_large_deployment_fits_a_datagram);
	tcase_add_test(cases, decode_handles_truncated_or_altered_bytes);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
