#ifndef PAPAYA_SERVER_H
#define PAPAYA_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What a backend server says of itself in service discovery. */
typedef struct server_info {
	char *id;
	char *service;
	char *address; /* IP:PORT */
	char *zone;
	char *version;
	unsigned slots;		/* requests that it runs at once */
	bool draining;		/* leaves: no new request */
	bool spot;		/* may be reclaimed */
	int64_t shutdown_in_ms; /* draining: time left; -1 unknown */
	int64_t warmup_ms;  /* time for which it stays slow after its start */
	int64_t started_ms; /* Unix time of its start; 0 unknown */
} server_info_t;

void server_info_free(server_info_t *info);

#endif
