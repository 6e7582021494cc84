#ifndef PAPAYA_LAPSE_H
#define PAPAYA_LAPSE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides how long a backend server stays in use whose entry was removed about
 * an outage of the store. The server may have left, and must soon get no more
 * requests; or its entry has lapsed, as it could not renew it, and is written
 * again after the outage. No I/O. Times are those of clock_boot_ms().
 */
typedef struct lapse_situation {
	/* The store was unavailable, or has become available shortly before. */
	bool store_unstable;
	int64_t now_ms;
	/* The entry was there: the node's copy was current. */
	int64_t listed_ms;
	int64_t available_ms; /* end of the store's last outage; 0: none */
	int64_t heartbeat_ms; /* interval at which servers renew entries */
} lapse_situation_t;

/* Time for which the server stays in use; 0: it is not kept. */
int64_t lapse_keep_ms(const lapse_situation_t *situation);

#endif
