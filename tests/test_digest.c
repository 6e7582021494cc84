#include "digest.h"
#include "evidence.h"
#include "suite.h"

#include <check.h>
#include <math.h>

enum {
	/* Fields behind the zone, of one byte each in the sample. */
	LATER_FIELDS = 5,
	LIVENESS_BYTES = 2, /* of the one item */
	LATER_BYTES = LATER_FIELDS + LIVENESS_BYTES,
};

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
	digest_liveness_t liveness = {.process = 7, .alive_ms = 5};

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
	digest->unproven = true;
	digest->store_era = 2;
	digest->recorded_window = 77;
	g_array_append_val(digest->spending, spending);
	g_array_append_val(digest->loads, load);
	g_array_append_val(digest->usage, usage);
	g_array_append_val(digest->liveness, liveness);
	return digest;
}

START_TEST(decode_restores_an_encoded_digest)
{
	digest_t *digest = sample_digest(), *read;
	GByteArray *bytes = g_byte_array_new();

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
	ck_assert_uint_eq(
	    g_array_index(read->liveness, digest_liveness_t, 0).process, 7);
	ck_assert_int_eq(
	    g_array_index(read->liveness, digest_liveness_t, 0).alive_ms, 5);
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

/*
 * Guards against a zone that peers do not learn, or that they take a deployment
 * with one region to have, and against digests that nodes of the last version
 * reject: they require a string there.
 */
START_TEST(a_digest_without_a_zone_has_a_string_in_its_place)
{
	digest_t *digest = sample_digest(), *read;
	GByteArray *without = g_byte_array_new(), *with = g_byte_array_new();

	digest_encode(digest, without);
	digest->zone = g_strdup("z1");
	digest_encode(digest, with);
	/* Only the zone differs. */
	ck_assert_uint_eq(with->len, without->len + strlen("z1") - 1);
	ck_assert_uint_eq(with->data[2], without->data[2]);
	ck_assert_mem_eq(with->data + 3, without->data + 3,
	    without->len - 3 - 1 - 1 - LATER_BYTES);
	read = digest_decode((const char *)with->data, with->len);
	ck_assert_str_eq(read->zone, "z1");
	digest_free(read);
	read = digest_decode((const char *)without->data, without->len);
	ck_assert_ptr_null(read->zone);
	digest_free(read);
	digest_free(digest);
	g_byte_array_unref(with);
	g_byte_array_unref(without);
}
END_TEST

/* Guards against nodes of different versions that reject each other's digests.
 */
START_TEST(digests_of_other_versions_are_read)
{
	digest_t *digest = sample_digest(), *read;
	GByteArray *bytes = g_byte_array_new();

	digest_encode(digest, bytes);
	g_byte_array_append(bytes, (const guint8 *)"\x07", 1);
	bytes->data[2]++;
	read = digest_decode((const char *)bytes->data, bytes->len);
	ck_assert(read->unproven);
	ck_assert_int_eq(read->store_era, digest->store_era);
	ck_assert_int_eq(read->recorded_window, digest->recorded_window);
	digest_free(read);
	bytes->data[2] = (guint8)(bytes->data[2] - 1 - LATER_FIELDS);
	read = digest_decode(
	    (const char *)bytes->data, bytes->len - 1 - LATER_BYTES);
	ck_assert_str_eq(read->node, "n1");
	ck_assert(!read->unproven);
	ck_assert_int_eq(read->store_era, 0);
	ck_assert_int_eq(read->recorded_window, 0);
	digest_free(read);
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
	    .era = 2,
	    .evidence = largest_evidence()};

	g_array_append_val(digest->moves, move);
	digest_encode(digest, bytes);
	read = digest_decode((const char *)bytes->data, bytes->len);
	ck_assert_ptr_nonnull(read);
	ck_assert_str_eq(g_array_index(read->moves, digest_move_t, 0).evidence,
	    move.evidence);
	ck_assert_int_eq(g_array_index(read->moves, digest_move_t, 0).era, 2);
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
	tcase_add_test(
	    cases, a_digest_without_a_zone_has_a_string_in_its_place);
	tcase_add_test(cases, digests_of_other_versions_are_read);
	tcase_add_test(cases, decode_rejects_an_empty_node_name);
	tcase_add_test(cases, decode_rejects_numbers_that_sums_cannot_hold);
	tcase_add_test(cases, decode_handles_truncated_or_altered_bytes);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
