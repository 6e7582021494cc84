#ifndef PAPAYA_FRAME_H
#define PAPAYA_FRAME_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Incremental decoder of frames: a 4-byte big-endian length, then that many
 * bytes. Owned by its connection. Keeps at most one frame plus one feed.
 */
typedef struct frame_decoder {
	GByteArray *buffer;
	size_t consumed;    /* bytes of frames handed out already */
	size_t max_payload; /* longest payload accepted */
} frame_decoder_t;

typedef enum frame_status {
	FRAME_READY,
	FRAME_INCOMPLETE, /* the next frame is not complete yet */
	FRAME_INVALID, /* empty or too long; the stream cannot be read further
			*/
} frame_status_t;

void frame_init(frame_decoder_t *decoder, size_t max_payload);
void frame_clear(frame_decoder_t *decoder);

/* Adds bytes; frame_next() must be called until FRAME_INCOMPLETE in between. */
void frame_feed(frame_decoder_t *decoder, const void *bytes, size_t length);

/* Next payload, valid until the next call on the decoder. */
frame_status_t frame_next(frame_decoder_t *decoder, const uint8_t **payload,
    size_t *length, GError **error);

#endif
