/*
 * A datagram that decodes as a digest has only finite numbers, and encodes to
 * bytes that decode to the same digest.
 */
#include "digest.h"
#include "oracle.h"

#include <math.h>
#include <string.h>

static void
check_numbers(const digest_t *digest)
{
	CHECK(isfinite(digest->processors));
	for (guint i = 0; i < digest->spending->len; i++) {
		const digest_spending_t *item =
		    &g_array_index(digest->spending, digest_spending_t, i);

		CHECK(isfinite(item->spent_units));
		CHECK(isfinite(item->bucket_level));
	}
	for (guint i = 0; i < digest->loads->len; i++)
		CHECK(isfinite(g_array_index(digest->loads, digest_load_t, i)
				   .load.kv_tokens));
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	digest_t *digest = digest_decode((const char *)bytes, length);
	GByteArray *encoded;
	digest_t *decoded;

	if (digest == NULL)
		return 0;
	check_numbers(digest);
	encoded = g_byte_array_new();
	digest_encode(digest, encoded);
	decoded = digest_decode((const char *)encoded->data, encoded->len);
	CHECK(decoded != NULL);
	CHECK(strcmp(decoded->node, digest->node) == 0);
	CHECK(decoded->sequence == digest->sequence);
	CHECK(decoded->spending->len == digest->spending->len);
	CHECK(decoded->usage->len == digest->usage->len);
	digest_free(decoded);
	digest_free(digest);
	g_byte_array_unref(encoded);
	return 0;
}
