#ifndef PAPAYA_RECLAIM_H
#define PAPAYA_RECLAIM_H

#include <stdint.h>

/* What happens to a stream whose backend server is about to leave. */
typedef enum reclaim_action {
	RECLAIM_FINISH,	   /* it ends in time where it is */
	RECLAIM_EXPORT,	   /* its KV cache is moved, then it is resumed */
	RECLAIM_RECOMPUTE, /* resumed elsewhere from its tokens */
} reclaim_action_t;

typedef struct reclaim_stream {
	int64_t time_to_reclaim_ms;    /* until its backend server is gone */
	unsigned remaining_tokens_max; /* at most */
	double token_interval_ms;      /* measured between tokens; 0: unknown */
	uint64_t kv_cache_bytes;       /* estimated size of its KV cache */
	double transfer_bytes_per_ms;
} reclaim_stream_t;

/* Chooses what fits into the time left and recomputes least. */
reclaim_action_t reclaim_choose_action(const reclaim_stream_t *stream);

#endif
