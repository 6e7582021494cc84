#include "error.h"
#include "frame.h"
#include "message.h"
#include "suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static GByteArray *
encode(const message_t *message)
{
	GByteArray *frame = g_byte_array_new();

	message_encode(message, frame);
	return frame;
}

static void
fill_heartbeat(message_t *message, unsigned team_count)
{
	GArray *revisions =
	    g_array_new(FALSE, TRUE, sizeof(message_revision_t));

	for (unsigned i = 0; i < team_count; i++) {
		message_revision_t revision = {
		    .team = g_strdup_printf("team%u", i),
		    .revision = INT64_C(1) << 40 | i,
		};

		g_array_append_val(revisions, revision);
	}
	*message = (message_t){
	    .type = MESSAGE_HEARTBEAT,
	    .heartbeat = {.node = g_strdup("n1"),
		.sequence = 7,
		.draining = true,
		.in_flight = 70000,
		.revisions = revisions},
	};
}

static void
fill_outcome_response(message_t *message, size_t body_length)
{
	*message = (message_t){
	    .type = MESSAGE_OUTCOME_RESPONSE,
	    .outcome_response = {.service = g_strdup("team/pay"),
		.key = g_strdup("k"),
		.nonce = g_strdup(""),
		.known = true,
		.status = 201,
		.body = g_malloc0(body_length + 1),
		.body_length = body_length},
	};
}

/* Guards against fields that are lost, swapped or truncated. */
START_TEST(heartbeat_fields_survive_round_trip)
{
	message_t sent, decoded;
	GByteArray *frame;

	fill_heartbeat(&sent, 300);
	frame = encode(&sent);
	ck_assert(
	    message_decode(frame->data + 4, frame->len - 4, &decoded, NULL));
	ck_assert_str_eq(decoded.heartbeat.node, "n1");
	ck_assert_int_eq(decoded.heartbeat.sequence, 7);
	ck_assert(decoded.heartbeat.draining);
	ck_assert_uint_eq(decoded.heartbeat.in_flight, 70000);
	ck_assert_uint_eq(decoded.heartbeat.revisions->len, 300);
	ck_assert_int_eq(
	    g_array_index(decoded.heartbeat.revisions, message_revision_t, 299)
		.revision,
	    INT64_C(1) << 40 | 299);
	message_clear(&sent);
	message_clear(&decoded);
	g_byte_array_unref(frame);
}
END_TEST

/* Guards against rejecting nested lists, or numbers of more than 63 bits. */
START_TEST(engine_reports_survive_round_trip)
{
	message_engine_report_t report = {.backend = g_strdup("team/e1"),
	    .running_requests = 3,
	    .stored_prefixes = g_array_new(FALSE, FALSE, sizeof(uint64_t))};
	message_t decoded,
	    sent = {.type = MESSAGE_ENGINE_REPORTS,
		.engine_reports = {.list = g_array_new(FALSE, FALSE,
				       sizeof(message_engine_report_t))}};
	uint64_t prefix = UINT64_MAX;
	GByteArray *frame;

	g_array_append_val(report.stored_prefixes, prefix);
	g_array_append_val(sent.engine_reports.list, report);
	frame = encode(&sent);
	ck_assert(
	    message_decode(frame->data + 4, frame->len - 4, &decoded, NULL));
	report = g_array_index(
	    decoded.engine_reports.list, message_engine_report_t, 0);
	ck_assert_str_eq(report.backend, "team/e1");
	ck_assert_uint_eq(report.running_requests, 3);
	ck_assert_uint_eq(
	    g_array_index(report.stored_prefixes, uint64_t, 0), prefix);
	ck_assert_uint_eq(report.evicted_prefixes->len, 0);
	message_clear(&sent);
	message_clear(&decoded);
	g_byte_array_unref(frame);
}
END_TEST

/* Guards against binary bodies that are truncated at a NUL byte. */
START_TEST(binary_bodies_survive_round_trip)
{
	message_t sent, decoded;
	GByteArray *frame;

	fill_outcome_response(&sent, 3);
	sent.outcome_response.body[2] = '\xff';
	frame = encode(&sent);
	ck_assert(
	    message_decode(frame->data + 4, frame->len - 4, &decoded, NULL));
	ck_assert_uint_eq(decoded.outcome_response.body_length, 3);
	/* An empty string must not become NULL. */
	ck_assert_str_eq(decoded.outcome_response.nonce, "");
	ck_assert_mem_eq(decoded.outcome_response.body, "\0\0\xff", 3);
	message_clear(&sent);
	message_clear(&decoded);
	g_byte_array_unref(frame);
}
END_TEST

static void
expect_malformed(const void *payload, size_t length)
{
	GError *error = NULL;
	message_t message;

	ck_assert(!message_decode(payload, length, &message, &error));
	ck_assert_int_eq(papaya_error_kind(error), PAPAYA_ERROR_BAD_FRAME);
	g_error_free(error);
}

/* Guards against allocating by a count or length larger than the frame. */
START_TEST(oversized_counts_and_lengths_are_rejected)
{
	static const char array32[] = "\xdd\xff\xff\xff\xff\x01";
	static const char array16[] = "\x92\x01\xdc\xff\xff\x01";
	static const char str32[] = "\x92\x04\xdb\xff\xff\xff\xff";
	static const char map32[] = "\xdf\xff\xff\xff\xff\x01\x01";
	static const char deep[] = "\x91\x91\x91\x91\x91\x91\x91\x91\x01";

	expect_malformed(array32, sizeof(array32) - 1);
	expect_malformed(array16, sizeof(array16) - 1);
	expect_malformed(str32, sizeof(str32) - 1);
	expect_malformed(map32, sizeof(map32) - 1);
	expect_malformed(deep, sizeof(deep) - 1);
	expect_malformed("", 0);
}
END_TEST

/* Guards against accepting messages that no node sends. */
START_TEST(malformed_messages_are_rejected)
{
	/* MESSAGE_SETTINGS_REQUEST: unknown type, field missing, empty, NUL,
	 * not UTF-8, not a string, one field too many, one byte too many. */
	static const char *const payloads[] = {"\x92\x7f\xa1x", "\x91\x04",
	    "\x92\x04\xa0", "\x92\x04\xa1\xff", "\x92\x04\x05",
	    "\x93\x04\xa1x\x05", "\x92\x04\xa1xy", "\x92\xff\xa1x", "\xa1x",
	    "\x90", "\x93\x05\xa1h\xff"};

	for (size_t i = 0; i < G_N_ELEMENTS(payloads); i++)
		expect_malformed(payloads[i], strlen(payloads[i]));
	expect_malformed("\x92\x04\xa2x\0", 5);
}
END_TEST

/* Guards against reading past the end of a truncated message. */
START_TEST(truncated_messages_are_rejected)
{
	message_t message;
	GByteArray *frame;

	fill_heartbeat(&message, 20);
	frame = encode(&message);
	for (size_t length = 0; length < frame->len - 4; length++) {
		/* Allocated separately, so that ASan detects a read past it. */
		void *truncated = g_memdup2(frame->data + 4, length);

		expect_malformed(truncated, length);
		g_free(truncated);
	}
	message_clear(&message);
	g_byte_array_unref(frame);
}
END_TEST

/* Guards against sending frames for which receivers close the connection. */
START_TEST(unacceptable_messages_are_not_encoded)
{
	message_t message;
	GByteArray *frame;

	fill_outcome_response(&message, MESSAGE_FRAME_MAX_BYTES);
	frame = encode(&message);
	ck_assert_uint_eq(frame->len, 0);
	message_clear(&message);
	/* Receivers reject an empty name, too. */
	message.type = MESSAGE_SETTINGS_REQUEST;
	message.settings_request.team = g_strdup("");
	message_encode(&message, frame);
	ck_assert_uint_eq(frame->len, 0);
	message_clear(&message);
	g_byte_array_unref(frame);
}
END_TEST

/* Guards against losing or joining frames that TCP delivers in pieces. */
START_TEST(frames_decode_across_any_split)
{
	static const char stream[] = "\0\0\0\2ab\0\0\0\1c";
	frame_decoder_t decoder;
	const uint8_t *payload;
	size_t length;

	for (size_t split = 0; split < sizeof(stream); split++) {
		GString *payloads_text = g_string_new(NULL);
		size_t chunk_lengths[] = {split, sizeof(stream) - 1 - split};
		const char *next_chunk = stream;

		if (split == sizeof(stream) - 1)
			chunk_lengths[1] = 0;
		frame_init(&decoder, 16);
		for (int chunk = 0; chunk < 2; chunk++) {
			frame_feed(&decoder, next_chunk, chunk_lengths[chunk]);
			next_chunk += chunk_lengths[chunk];
			while (frame_next(&decoder, &payload, &length, NULL) ==
			       FRAME_READY)
				g_string_append_printf(payloads_text, "%.*s;",
				    (int)length, (const char *)payload);
		}
		ck_assert_str_eq(payloads_text->str, "ab;c;");
		g_string_free(payloads_text, TRUE);
		frame_clear(&decoder);
	}
}
END_TEST

/* Guards against buffering for a length that is not allowed. */
START_TEST(invalid_frame_lengths_are_rejected)
{
	frame_decoder_t decoder;
	const uint8_t *payload;
	GError *error = NULL;
	size_t length;

	frame_init(&decoder, 16);
	frame_feed(&decoder, "\0\0\0\x11", 4);
	ck_assert_int_eq(
	    frame_next(&decoder, &payload, &length, &error), FRAME_INVALID);
	ck_assert_int_eq(papaya_error_kind(error), PAPAYA_ERROR_TOO_LARGE);
	g_clear_error(&error);
	frame_clear(&decoder);
	frame_init(&decoder, 16);
	frame_feed(&decoder, "\0\0\0\0", 4);
	ck_assert_int_eq(
	    frame_next(&decoder, &payload, &length, &error), FRAME_INVALID);
	ck_assert_int_eq(papaya_error_kind(error), PAPAYA_ERROR_BAD_FRAME);
	g_clear_error(&error);
	frame_clear(&decoder);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("message");
	TCase *tests = tcase_create("message");

	tcase_add_test(tests, heartbeat_fields_survive_round_trip);
	tcase_add_test(tests, engine_reports_survive_round_trip);
	tcase_add_test(tests, binary_bodies_survive_round_trip);
	tcase_add_test(tests, oversized_counts_and_lengths_are_rejected);
	tcase_add_test(tests, malformed_messages_are_rejected);
	tcase_add_test(tests, truncated_messages_are_rejected);
	tcase_add_test(tests, unacceptable_messages_are_not_encoded);
	tcase_add_test(tests, frames_decode_across_any_split);
	tcase_add_test(tests, invalid_frame_lengths_are_rejected);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
