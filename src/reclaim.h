#ifndef PAPAYA_RECLAIM_H
#define PAPAYA_RECLAIM_H

#include <stdint.h>

/* What happens to a stream whose backend server is about to leave. */
typedef enum reclaim_choice {
	RECLAIM_FINISH,	   /* it ends in time where it is */
	RECLAIM_EXPORT,	   /* its KV cache is moved, then it is resumed */
	RECLAIM_RECOMPUTE, /* resumed elsewhere from its tokens */
} reclaim_choice_t;

typedef struct reclaim_stream {
	int64_t left_ms;      /* until its backend server is gone */
	unsigned tokens_left; /* at most */
	double token_ms;      /* measured between tokens; 0: unknown */
	uint64_t kv_bytes;    /* estimated size of its KV cache */
	double kv_bytes_per_ms;
} reclaim_stream_t;

/* Chooses what fits into the time left and recomputes least. */
reclaim_choice_t reclaim_choose(const reclaim_stream_t *stream);

#endif
