#ifndef PAPAYA_RECLAIM_H
#define PAPAYA_RECLAIM_H

#include <stdint.h>

/* What to do with a stream whose backend server is being reclaimed. */
typedef enum reclaim_action {
	RECLAIM_FINISH,	   /* let it finish at its present backend server */
	RECLAIM_EXPORT,	   /* transfer its KV cache, resume elsewhere */
	RECLAIM_RECOMPUTE, /* resume elsewhere, recompute from its tokens */
} reclaim_action_t;

typedef struct reclaim_stream {
	int64_t time_to_reclaim_ms;    /* until its host is reclaimed */
	unsigned remaining_tokens_max; /* upper limit of tokens to come */
	double token_interval_ms;      /* mean so far; 0: unknown */
	uint64_t kv_cache_bytes;       /* estimate */
	double transfer_bytes_per_ms;
} reclaim_stream_t;

/* Chooses the action that recomputes least in the remaining time. */
reclaim_action_t reclaim_choose_action(const reclaim_stream_t *stream);

#endif
