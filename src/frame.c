#include "frame.h"

#include "error.h"

#include <string.h>

enum { LENGTH_BYTES = 4 };

void
frame_init(frame_decoder_t *decoder, size_t max)
{
	decoder->bytes = g_byte_array_new();
	decoder->taken = 0;
	decoder->max = max;
}

void
frame_clear(frame_decoder_t *decoder)
{
	g_byte_array_unref(decoder->bytes);
	decoder->bytes = NULL;
}

void
frame_feed(frame_decoder_t *decoder, const void *bytes, size_t length)
{
	if (decoder->taken > 0) {
		g_byte_array_remove_range(
		    decoder->bytes, 0, (guint)decoder->taken);
		decoder->taken = 0;
	}
	g_byte_array_append(decoder->bytes, bytes, (guint)length);
}

frame_status_t
frame_next(frame_decoder_t *decoder, const uint8_t **payload, size_t *length,
    GError **error)
{
	const uint8_t *at = decoder->bytes->data + decoder->taken;
	size_t left = decoder->bytes->len - decoder->taken;
	guint32 announced;

	if (left < LENGTH_BYTES)
		return FRAME_MORE;
	memcpy(&announced, at, sizeof(announced));
	announced = GUINT32_FROM_BE(announced);
	if (announced == 0 || announced > decoder->max) {
		papaya_error_set(error,
		    announced == 0 ? PAPAYA_ERROR_BAD_FRAME
				   : PAPAYA_ERROR_TOO_LARGE,
		    "frame length %u is not in 1 to %zu", announced,
		    decoder->max);
		return FRAME_BAD;
	}
	if (left - LENGTH_BYTES < announced)
		return FRAME_MORE;
	*payload = at + LENGTH_BYTES;
	*length = announced;
	decoder->taken += LENGTH_BYTES + announced;
	return FRAME_READY;
}
