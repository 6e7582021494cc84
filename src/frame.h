#ifndef PAPAYA_FRAME_H
#define PAPAYA_FRAME_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decodes frames from a byte stream. A frame is a 4-byte big-endian length and
 * a payload of that many bytes. Owned by its connection. Buffers at most one
 * incomplete frame and the bytes of one frame_feed().
 */
typedef struct frame_decoder {
	GByteArray *buffer;
	size_t consumed;    /* bytes of frames already returned */
	size_t max_payload; /* longest payload accepted, in bytes */
} frame_decoder_t;

typedef enum frame_status {
	FRAME_READY,
	FRAME_INCOMPLETE, /* the rest of the next frame is missing */
	FRAME_INVALID,	  /* empty or too long; decoding cannot go on */
} frame_status_t;

void frame_init(frame_decoder_t *decoder, size_t max_payload);
void frame_clear(frame_decoder_t *decoder);

/*
 * Appends received bytes. Between two calls, frame_next() must be called until
 * it returns FRAME_INCOMPLETE.
 */
void frame_feed(frame_decoder_t *decoder, const void *bytes, size_t length);

/*
 * Returns the next payload, which is valid until the next call on the decoder.
 * Sets *error only with FRAME_INVALID.
 */
frame_status_t frame_next(frame_decoder_t *decoder, const uint8_t **payload,
    size_t *length, GError **error);

#endif
