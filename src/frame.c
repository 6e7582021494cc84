#include "frame.h"

#include "error.h"

#include <string.h>

enum { LENGTH_BYTES = 4 };

void
frame_init(frame_decoder_t *decoder, size_t max_payload)
{
	decoder->buffer = g_byte_array_new();
	decoder->consumed = 0;
	decoder->max_payload = max_payload;
}

void
frame_clear(frame_decoder_t *decoder)
{
	g_byte_array_unref(decoder->buffer);
	decoder->buffer = NULL;
}

void
frame_feed(frame_decoder_t *decoder, const void *bytes, size_t length)
{
	if (decoder->consumed > 0) {
		g_byte_array_remove_range(
		    decoder->buffer, 0, (guint)decoder->consumed);
		decoder->consumed = 0;
	}
	g_byte_array_append(decoder->buffer, bytes, (guint)length);
}

frame_status_t
frame_next(frame_decoder_t *decoder, const uint8_t **payload, size_t *length,
    GError **error)
{
	const uint8_t *frame = decoder->buffer->data + decoder->consumed;
	size_t available = decoder->buffer->len - decoder->consumed;
	guint32 payload_length;

	if (available < LENGTH_BYTES)
		return FRAME_INCOMPLETE;
	memcpy(&payload_length, frame, sizeof(payload_length));
	payload_length = GUINT32_FROM_BE(payload_length);
	if (payload_length == 0 || payload_length > decoder->max_payload) {
		papaya_error_set(error,
		    payload_length == 0 ? PAPAYA_ERROR_BAD_FRAME
					: PAPAYA_ERROR_TOO_LARGE,
		    "frame length %u is not in 1 to %zu", payload_length,
		    decoder->max_payload);
		return FRAME_INVALID;
	}
	if (available - LENGTH_BYTES < payload_length)
		return FRAME_INCOMPLETE;
	*payload = frame + LENGTH_BYTES;
	*length = payload_length;
	decoder->consumed += LENGTH_BYTES + payload_length;
	return FRAME_READY;
}
